"""An HTTP client for the platform's key-value store."""

import asyncio
import binascii
import collections.abc
import dataclasses
import typing

import aiohttp
import loguru
import msgspec

from sardinesaddle.direct import replica, storewatcher
from sardinesaddle.platform import strictjson

READ_TIMEOUT_S: typing.Final = 1.0  # a response takes 4 ms, a slow one 260 ms
WATCH_SLACK_S: typing.Final = 0.7  # after the wait; a slow response takes 260 ms
MAX_PAGES: typing.Final = 200  # of one listing
STATUS_OK: typing.Final = 200
STATUS_HISTORY_COMPACTED: typing.Final = 410
# Rises by one each time the store comes back from an older copy.
ERA_HEADER: typing.Final = "Store-Era"
MAX_ERA_DIGITS: typing.Final = 18  # integers of 64 bits can be told to other entries

_FAILURES: typing.Final = (
    aiohttp.ClientError,
    OSError,
    asyncio.TimeoutError,
    msgspec.DecodeError,
    binascii.Error,
    UnicodeDecodeError,
    RecursionError,
)


# Integers of 64 bits can be told to other entries.
Revision = typing.Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class WireItem(msgspec.Struct, frozen=True):
    """A write or the deletion of a key; ``value`` is base64."""

    key: str
    rev: Revision
    created_rev: Revision = 0
    value: str | None = None
    deleted: bool = False


class WirePage(msgspec.Struct, frozen=True):
    """A page of a listing; more follow after its last key if ``more_pages``."""

    items: list[WireItem]
    store_revision: Revision
    more_pages: bool = False


class WireEvents(msgspec.Struct, frozen=True):
    """The result of a watch: the changes up to ``store_revision``."""

    events: list[WireItem]
    store_revision: Revision


_PAGE_DECODER: typing.Final = strictjson.StrictDecoder(WirePage)
_EVENTS_DECODER: typing.Final = strictjson.StrictDecoder(WireEvents)


def decode_items(
    wires: collections.abc.Iterable[WireItem], prefix: str
) -> tuple[replica.Change, ...]:
    """Convert the items under a prefix; others would be keys of something else."""
    changes = []
    for wire in wires:
        if wire.key.startswith(prefix):
            changes.append(decode_item(wire))
        else:
            loguru.logger.warning(
                "event=item_of_another_prefix key={!r} prefix={} rev={}",
                wire.key,
                prefix,
                wire.rev,
            )
    return tuple(changes)


def decode_item(wire: WireItem) -> replica.Change:
    """Convert an item and decode its value.

    An item of which readers find different values, or none, gets an empty value, which
    names no target and no configuration. The others of its page hold, and it does not
    count as deleted, which would end an evacuation.
    """
    if wire.deleted and wire.value is None:
        return replica.Change(wire.key, wire.rev, None)
    data = b""
    fault = ""
    if wire.deleted:
        fault = "deleted_with_a_value"
    elif wire.created_rev > wire.rev:
        fault = "changed_before_its_creation"
    elif (decoded := decode_value(wire.value)) is None:
        fault = "not_standard_base64"
    else:
        data = decoded
    if fault:
        # Values are not logged: they may hold keys of accounts.
        loguru.logger.warning(
            "event=item_unreadable key={!r} rev={} fault={}", wire.key, wire.rev, fault
        )
    return replica.Change(wire.key, wire.rev, data, wire.created_rev)


def decode_value(text: str | None) -> bytes | None:
    """Decode standard base64 with padding; return None for any other form.

    The decoder skips characters of other alphabets, blanks and spare bits, of which
    other readers make other bytes.
    """
    if text is None or not text.isascii():
        return None
    try:
        data = binascii.a2b_base64(text)
    except binascii.Error:
        return None
    is_standard = binascii.b2a_base64(data, newline=False) == text.encode()
    return data if is_standard else None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreBody:
    """The body of a successful response, and the era that the store states."""

    data: bytes
    era: int


def parse_era(statements: collections.abc.Collection[str]) -> int | None:
    """Parse the era that headers state, 0 for none; return None if it is not clear."""
    eras = {statement.strip() for statement in statements}
    if not eras:
        return 0
    text = eras.pop()
    is_number = text.isdigit() and text.isascii() and len(text) <= MAX_ERA_DIGITS
    return int(text) if is_number and not eras else None


class PlatformStore(storewatcher.Store):
    """A read-only client of the store; failed calls return ``StoreFault``."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base_url = f"http://{address}"

    async def read_all(self, prefix: str) -> replica.Delta | storewatcher.StoreFault:
        """List all keys under a prefix, page by page, and join the pages."""
        pages: list[replica.Delta] = []
        after = ""
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix} | ({"after": after} if after else {})
            body = await self._get("/kv-range", query, READ_TIMEOUT_S)
            if isinstance(body, storewatcher.StoreFault):
                return body
            try:
                page = _PAGE_DECODER.decode(body.data)
                items = decode_items(page.items, prefix)
            except _FAILURES as exc:
                return storewatcher.StoreFault(f"invalid page: {exc}", False, body.era)
            pages.append(replica.Delta(items, page.store_revision, True, body.era))
            if body.era != pages[0].era:
                return storewatcher.StoreFault(
                    "the store was restored during the listing", False, body.era
                )
            if not page.more_pages or not page.items:
                return replica.join_pages(pages)
            after = page.items[-1].key
        return storewatcher.StoreFault(
            f"{prefix} has more than {MAX_PAGES} pages", False
        )

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> replica.Delta | storewatcher.StoreFault:
        """Wait up to ``wait_s`` for changes after a revision."""
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(round(wait_s * 1000)),
        }
        body = await self._get("/kv-watch", query, wait_s + WATCH_SLACK_S)
        if isinstance(body, storewatcher.StoreFault):
            return body
        try:
            wire = _EVENTS_DECODER.decode(body.data)
            changes = decode_items(wire.events, prefix)
        except _FAILURES as exc:
            return storewatcher.StoreFault(f"invalid events: {exc}", False, body.era)
        return replica.Delta(changes, wire.store_revision, False, body.era)

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> StoreBody | storewatcher.StoreFault:
        """GET a resource of the store and return its body."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.get(
                self._base_url + path, params=query, timeout=timeout
            ) as resp:
                data = await resp.read()
                statements = resp.headers.getall(ERA_HEADER, ())
                era = parse_era(statements)
                if era is None:
                    text = ", ".join(statements)
                    loguru.logger.error("event=store_era_invalid value={!r:.60}", text)
                    return storewatcher.StoreFault("the era is no number", False)
                if resp.status == STATUS_HISTORY_COMPACTED:
                    return storewatcher.StoreFault(
                        "the store does not have this revision", True, era
                    )
                if resp.status != STATUS_OK:
                    return storewatcher.StoreFault(f"status {resp.status}", False, era)
                return StoreBody(data, era)
        except _FAILURES as exc:
            return storewatcher.StoreFault(f"{type(exc).__name__}: {exc}", False)
