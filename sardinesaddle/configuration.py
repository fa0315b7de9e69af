"""Puts published revisions of the table in force, and never reverts to an older one.

Inputs are manifests and shards, from the configuration service or from a peer, and
the versions that peers announce in their heartbeats. Outputs are actions: fetch a
manifest or a shard, adopt a table, or report why a revision is rejected. Whether a
revision is accepted depends on its content alone, so all processes decide alike; if
it is rejected, the previous revision stays in force.

Two operators may publish different content under the same revision. Versions are
therefore ordered by revision and then by a tag of the manifest's bytes, so that all
processes converge on the same one of the two.

A starting process becomes ready only after it has compared versions with the peers
that it can reach, so that a stale configuration service cannot make it serve with an
older revision than the fleet.
"""

import dataclasses
import typing

from sardinesaddle import manifest, table

# After this an unanswered request is repeated. An edit must reach all processes within
# 13 s; with 1 s, the last of 3,470 had it after 14 to 21 s when a third of the
# messages was lost.
REQUEST_TIMEOUT_S: typing.Final = 0.4
STARTUP_WAIT_S: typing.Final = 2.0  # for newer versions from peers
MAX_SHARDS: typing.Final = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class FetchManifest:
    """Request the manifest of a peer."""

    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class FetchShard:
    """Request a shard from the configuration service or a peer."""

    source: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Adopt:
    """Use a table, and its manifest, from now on."""

    tab: table.Table
    published: manifest.Manifest


@dataclasses.dataclass(frozen=True, slots=True)
class ReportFaults:
    """Report to the operators why a revision is rejected.

    Revision 0 stands for a manifest that cannot be decoded.
    """

    revision: int
    faults: list[str]


Action = FetchManifest | FetchShard | Adopt | ReportFaults


class Configuration:
    """The revision in force in a process, and the pending one that it is fetching."""

    def __init__(self, now: float) -> None:
        self.tab: table.Table | None = None
        self.published: manifest.Manifest | None = None
        self.manifest_data = b""
        # Of the manifest in force, by manifest.compute_version; 0 before the first.
        self.version = 0
        self._shards: dict[str, bytes] = {}
        self._parsed_shards: dict[str, table.Rows] = {}
        self._pending: manifest.Manifest | None = None
        self._pending_data = b""
        self._pending_version = 0
        self._rejected_versions: set[int] = set()
        self._source_versions: dict[str, int] = {}
        self._requested_at: dict[str, float] = {}
        self._started_at = now
        self._has_heard_peer = False
        self.adoptions = 0

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first."""
        return 0 if self.tab is None else self.tab.revision

    def is_ready(self, now: float) -> bool:
        """Return whether the process may serve with the revision in force.

        It may after ``STARTUP_WAIT_S``, or earlier once it has heard a peer and is as
        new as every known source.
        """
        if self.tab is None:
            return False
        has_waited = now - self._started_at >= STARTUP_WAIT_S
        if not self._has_heard_peer:
            return has_waited
        return has_waited or self.version >= max(
            self._source_versions.values(), default=0
        )

    def on_peer_version(self, now: float, source: str, version: int) -> list[Action]:
        """Record the version that a peer has in force; fetch it if it is newer."""
        self._has_heard_peer = True
        self._source_versions[source] = version
        return self._advance(now)

    def is_behind(self, source: str) -> bool:
        """Return whether a peer may lack the version in force here."""
        return self._source_versions.get(source, 0) < self.version

    def on_peer_disconnected(self, source: str) -> None:
        """Stop requesting content from a peer."""
        self._source_versions.pop(source, None)

    def on_manifest(self, now: float, source: str, data: bytes) -> list[Action]:
        """Handle a manifest from the configuration service or a peer.

        It becomes pending if it is newer than all others and was not rejected.
        """
        if not data:
            return []
        parsed = manifest.parse_manifest(data)
        if isinstance(parsed, manifest.ParseFault):
            return [ReportFaults(0, [parsed.reason])]
        version = manifest.compute_version(parsed.revision, data)
        self._source_versions[source] = max(
            self._source_versions.get(source, 0), version
        )
        if version <= self._find_newest():
            return self._report_duplicate(parsed, data) + self._advance(now)
        if version in self._rejected_versions:
            return []
        if len(parsed.shards) > MAX_SHARDS:
            self._rejected_versions.add(version)
            text = f"{len(parsed.shards)} shards exceed the limit of {MAX_SHARDS}"
            return [ReportFaults(parsed.revision, [text])]
        self._pending = parsed
        self._pending_data = data
        self._pending_version = version
        self._requested_at.clear()
        return self._advance(now)

    def _find_newest(self) -> int:
        """Return the version in force or the pending one, whichever is higher."""
        if self._pending is None:
            return self.version
        return max(self.version, self._pending_version)

    def _report_duplicate(self, parsed: manifest.Manifest, data: bytes) -> list[Action]:
        """Report a manifest that differs from the one in force under its revision."""
        if parsed.revision != self.revision or data == self.manifest_data:
            return []
        text = (
            "different content was published under this revision; publish a higher one"
        )
        return [ReportFaults(parsed.revision, [text])]

    def on_shard(self, now: float, digest: str, data: bytes) -> list[Action]:
        """Handle a shard; its digest is verified, because peers are not trusted."""
        self._requested_at.pop(f"shard {digest}", None)
        if not data or self._pending is None or digest not in self._pending.shards:
            return []
        if not self._matches_digest(digest, data):
            return [
                ReportFaults(
                    self._pending.revision,
                    [f"shard {digest} does not match its digest"],
                )
            ]
        self._shards[digest] = data
        return self._advance(now)

    def _matches_digest(self, digest: str, data: bytes) -> bool:
        """Return whether the digest of the data is the requested one."""
        return manifest.compute_digest(data) == digest

    def tick(self, now: float) -> list[Action]:
        """Repeat requests without an answer; called periodically."""
        return self._advance(now)

    def find_shard(self, digest: str) -> bytes:
        """Return a shard for a peer, or nothing if it is not stored here."""
        return self._shards.get(digest, b"")

    def _request_once(
        self, now: float, request_key: str, action: Action
    ) -> list[Action]:
        """Return the request, unless it was made less than the timeout ago."""
        if now - self._requested_at.get(request_key, -1e9) < REQUEST_TIMEOUT_S:
            return []
        self._requested_at[request_key] = now
        return [action]

    def _advance(self, now: float) -> list[Action]:
        """Request missing content, or decide once all shards are there."""
        pending = self._pending
        actions = self._request_manifest(now)
        if pending is None:
            return actions
        missing = [digest for digest in pending.shards if digest not in self._shards]
        if not missing:
            return self._decide_pending(pending)
        ready_sources = sorted(
            s for s, v in self._source_versions.items() if v >= self._pending_version
        )
        for index, digest in enumerate(missing):
            if ready_sources:
                # Each repetition asks another source, in case one is down.
                rotation = int(now / REQUEST_TIMEOUT_S) + index
                source = ready_sources[rotation % len(ready_sources)]
                request_key = f"shard {digest}"
                actions += self._request_once(
                    now, request_key, FetchShard(source, digest)
                )
        return actions

    def _request_manifest(self, now: float) -> list[Action]:
        """Request the manifest from one of the peers with a newer version."""
        newest = self._find_newest()
        if max(self._source_versions.values(), default=0) <= newest:
            return []
        newer_sources = sorted(
            source
            for source, version in self._source_versions.items()
            if version > newest and version not in self._rejected_versions
        )
        if not newer_sources:
            return []
        source = newer_sources[int(now / REQUEST_TIMEOUT_S) % len(newer_sources)]
        return self._request_once(now, "manifest", FetchManifest(source))

    def _decide_pending(self, pending: manifest.Manifest) -> list[Action]:
        """Adopt or reject the pending revision by its content."""
        self._pending = None
        faults: list[str] = []
        parts: list[table.Rows] = []
        for digest in pending.shards:
            rows = self._parse_shard(digest)
            if isinstance(rows, manifest.ParseFault):
                faults.append(f"shard {digest[:12]}: {rows.reason}")
            else:
                parts.append(rows)
        joined = table.join_rows(parts)
        faults += self._list_faults(joined)
        if faults:
            self._rejected_versions.add(self._pending_version)
            return [ReportFaults(pending.revision, faults)]
        self.published = pending
        self.manifest_data = self._pending_data
        self.version = self._pending_version
        self.tab = table.Table(pending.revision, joined)
        self.adoptions += 1
        current_digests = set(pending.shards)
        self._shards = {d: s for d, s in self._shards.items() if d in current_digests}
        self._parsed_shards = {
            d: p for d, p in self._parsed_shards.items() if d in current_digests
        }
        self._rejected_versions = {
            v for v in self._rejected_versions if v > self.version
        }
        return [Adopt(self.tab, pending)]

    def _list_faults(self, rows: table.Rows) -> list[str]:
        """Return the faults of a table's content, one line each."""
        return [fault.render() for fault in table.check_rows(rows)]

    def _parse_shard(self, digest: str) -> table.Rows | manifest.ParseFault:
        """Return a shard's rows; parsed shards are cached."""
        cached = self._parsed_shards.get(digest)
        if cached is not None:
            return cached
        rows = manifest.parse_shard(self._shards[digest])
        if isinstance(rows, table.Rows):
            self._parsed_shards[digest] = rows
        return rows
