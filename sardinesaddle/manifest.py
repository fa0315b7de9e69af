"""The published form of a table: a manifest and content-addressed shards.

A shard is plain JSON with some rows of the table. Its name is the first half of the
SHA-256 digest of its bytes, so a shard never changes and can be fetched from any
peer. The manifest contains the revision, the digests of all shards and, for each
service that is not idempotent, the latest sets of its active targets. A sidecar that
restarted or missed revisions learns from these sets which targets may have run a call
with an opaque key.
"""

import hashlib
import typing
import zlib

import msgspec

from sardinesaddle import table

MANIFEST_NAME: typing.Final = "manifest"
# With 2,000 rows per shard, each edit of a table of 40,000 rows makes every process
# fetch a shard of 200 KB.
ROWS_PER_SHARD: typing.Final = 256
DIGEST_HEX_CHARS: typing.Final = 32
MAX_VALUE_BYTES: typing.Final = 1024 * 1024  # of a manifest or shard
MAX_TARGET_SETS: typing.Final = 32  # the latest of each service
VERSION_TAG_BYTES: typing.Final = 3


class TargetSet(msgspec.Struct, frozen=True, array_like=True):
    """The active targets of a service since a revision."""

    revision: int
    targets: list[str]


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A revision of the table; ``shards`` are the digests of its shards.

    ``home_changes`` lists, for each service that is not idempotent, the latest sets of
    targets that can own its opaque keys, oldest first.
    """

    revision: int
    shards: list[str]
    home_changes: dict[str, list[TargetSet]] = {}


class ParseFault(msgspec.Struct, frozen=True):
    """A sentinel: published content cannot be decoded, for the given reason."""

    reason: str


def compute_digest(data: bytes) -> str:
    """Return the name of a shard: a prefix of its SHA-256 digest in hexadecimal."""
    return hashlib.sha256(data).hexdigest()[:DIGEST_HEX_CHARS]


def compute_version(revision: int, data: bytes) -> int:
    """Return a number that orders manifests by revision, then by a content tag."""
    tag = int.from_bytes(hashlib.sha256(data).digest()[:VERSION_TAG_BYTES], "big")
    return revision << 8 * VERSION_TAG_BYTES | tag


def compress_value(data: bytes) -> bytes:
    """Compress a manifest or shard for a peer; empty data stays empty."""
    return zlib.compress(data) if data else b""


def decompress_value(compressed: bytes) -> bytes:
    """Decompress content from a peer.

    Return b"" if it is malformed or larger than ``MAX_VALUE_BYTES``.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(compressed, MAX_VALUE_BYTES)
    except zlib.error:
        return b""
    return data if decompressor.eof else b""


def parse_manifest(data: bytes) -> Manifest | ParseFault:
    """Decode and validate a published manifest."""
    try:
        manifest = msgspec.json.decode(data, type=Manifest)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return ParseFault(f"the manifest cannot be read: {exc}")
    if manifest.revision < 1:
        return ParseFault(f"revision {manifest.revision} must be 1 or more")
    return manifest


def parse_shard(data: bytes) -> table.Rows | ParseFault:
    """Decode a published shard."""
    try:
        return msgspec.json.decode(data, type=table.Rows)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return ParseFault(f"a shard cannot be read: {exc}")


def split_rows(rows: table.Rows) -> list[bytes]:
    """Return the encoded shards of a table; equal rows yield equal shards.

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
    """Return the sorted active targets, which can own a service's opaque keys."""
    return sorted(
        row.target
        for row in rows.targets
        if row.service == service and row.state == "active"
    )


def build_manifest(
    rows: table.Rows, revision: int, previous: Manifest | None
) -> tuple[Manifest, dict[str, bytes]]:
    """Return the manifest and the shards that publish a table.

    ``previous`` is the manifest of the revision before; its target sets are continued.
    """
    shards = {compute_digest(data): data for data in split_rows(rows)}
    sets_by_service: dict[str, list[TargetSet]] = {}
    for row in rows.services:
        if row.idempotent:
            continue
        target_sets = previous.home_changes.get(row.service, []) if previous else []
        active = list_active_targets(rows, row.service)
        if not target_sets or target_sets[-1].targets != active:
            target_sets = [*target_sets, TargetSet(revision, active)][-MAX_TARGET_SETS:]
        sets_by_service[row.service] = list(target_sets)
    return Manifest(revision, sorted(shards), sets_by_service), shards
