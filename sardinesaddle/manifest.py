"""The published form of a table: a manifest and shards named by their content.

A shard is plain JSON with some rows of the table. Its name is the first half of the
SHA-256 digest of its bytes, so a shard never changes and may come from any peer. The
manifest holds the revision, the digests of all shards, and for each service whose
calls may not be repeated the last sets of targets that it had; a sidecar that
restarted or missed revisions learns from these where an opaque key may have run.
"""

import hashlib
import typing
import zlib

import msgspec

from sardinesaddle import table

MANIFEST_NAME: typing.Final = "manifest"
# At 40,000 rows, 2,000 made each edit cost every process 200 KB of shard.
ROWS_PER_SHARD: typing.Final = 256
DIGEST_HEX_CHARS: typing.Final = 32
MAX_VALUE_BYTES: typing.Final = 1024 * 1024
MAX_HOME_CHANGES: typing.Final = 32
VERSION_TAG_BYTES: typing.Final = 3


class HomeSet(msgspec.Struct, frozen=True, array_like=True):
    """The active targets of a service from a revision on."""

    revision: int
    targets: list[str]


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A revision of the table, by reference."""

    revision: int
    shards: list[str]
    home_changes: dict[str, list[HomeSet]] = {}


class ParseFault(msgspec.Struct, frozen=True):
    """A sentinel: published content cannot be read, with the reason."""

    reason: str


def compute_digest(data: bytes) -> str:
    """Return the name of a shard."""
    return hashlib.sha256(data).hexdigest()[:DIGEST_HEX_CHARS]


def compute_version(revision: int, data: bytes) -> int:
    """Return a number that orders manifests by revision, then by content."""
    tag = int.from_bytes(hashlib.sha256(data).digest()[:VERSION_TAG_BYTES], "big")
    return revision << 8 * VERSION_TAG_BYTES | tag


def compress_value(data: bytes) -> bytes:
    """Return published content as peers send it to each other."""
    return zlib.compress(data) if data else b""


def decompress_value(compressed: bytes) -> bytes:
    """Return published content from a peer, or nothing if it is malformed."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(compressed, MAX_VALUE_BYTES)
    except zlib.error:
        return b""
    return data if decompressor.eof else b""


def parse_manifest(data: bytes) -> Manifest | ParseFault:
    """Read a published manifest."""
    try:
        manifest = msgspec.json.decode(data, type=Manifest)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return ParseFault(f"the manifest cannot be read: {exc}")
    if manifest.revision < 1:
        return ParseFault(f"revision {manifest.revision} must be 1 or more")
    return manifest


def parse_shard(data: bytes) -> table.Rows | ParseFault:
    """Read a published shard."""
    try:
        return msgspec.json.decode(data, type=table.Rows)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return ParseFault(f"a shard cannot be read: {exc}")


def split_rows(rows: table.Rows) -> list[bytes]:
    """Return the shards of a table; equal rows give equal shards.

    Rows are grouped by sheet, and limits by service, so that an edit of one row
    changes one shard.
    """
    shards = [
        msgspec.json.encode(table.Rows(accounts=rows.accounts)),
        msgspec.json.encode(table.Rows(services=rows.services, groups=rows.groups)),
    ]
    for start in range(0, len(rows.targets), ROWS_PER_SHARD):
        part = rows.targets[start : start + ROWS_PER_SHARD]
        shards.append(msgspec.json.encode(table.Rows(targets=part)))
    by_service: dict[str, list[table.LimitRow]] = {}
    for row in rows.limits:
        by_service.setdefault(row.service, []).append(row)
    for service in sorted(by_service):
        limits = by_service[service]
        for start in range(0, len(limits), ROWS_PER_SHARD):
            part_limits = limits[start : start + ROWS_PER_SHARD]
            shards.append(msgspec.json.encode(table.Rows(limits=part_limits)))
    return shards


def list_active_targets(rows: table.Rows, service: str) -> list[str]:
    """Return the targets that can be homes of a service's opaque keys."""
    return sorted(
        row.target
        for row in rows.targets
        if row.service == service and row.state == "active"
    )


def build_manifest(
    rows: table.Rows, revision: int, previous: Manifest | None
) -> tuple[Manifest, dict[str, bytes]]:
    """Return the manifest and the shards that publish a table.

    ``before`` is the manifest that this one follows.
    """
    shards = {compute_digest(data): data for data in split_rows(rows)}
    changes: dict[str, list[HomeSet]] = {}
    for row in rows.services:
        if row.idempotent:
            continue
        home_sets = previous.home_changes.get(row.service, []) if previous else []
        active = list_active_targets(rows, row.service)
        if not home_sets or home_sets[-1].targets != active:
            home_sets = [*home_sets, HomeSet(revision, active)][-MAX_HOME_CHANGES:]
        changes[row.service] = list(home_sets)
    return Manifest(revision, sorted(shards), changes), shards
