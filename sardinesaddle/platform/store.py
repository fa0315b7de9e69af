"""Calls of the platform's store over HTTP, read with aiohttp."""

import asyncio
import base64
import binascii
import typing

import aiohttp
import msgspec

from sardinesaddle.direct import replica, storewatcher

READ_TIMEOUT_S: typing.Final = 1.0  # answers take 4 ms, 260 ms when slow
WATCH_SLACK_S: typing.Final = 0.7  # beyond the wait itself; a slow answer's 260 ms
MAX_PAGES: typing.Final = 200
STATUS_OK: typing.Final = 200
STATUS_HISTORY_COMPACTED: typing.Final = 410

_FAILURES: typing.Final = (
    aiohttp.ClientError,
    OSError,
    asyncio.TimeoutError,
    msgspec.DecodeError,
    binascii.Error,
    UnicodeDecodeError,
)


class WireItem(msgspec.Struct, frozen=True):
    """A key as it was written, or ``deleted``."""

    key: str
    rev: int
    created_rev: int = 0
    value: str | None = None
    deleted: bool = False


class WirePage(msgspec.Struct, frozen=True):
    """A page of a listing."""

    items: list[WireItem]
    store_revision: int
    more_pages: bool = False


class WireEvents(msgspec.Struct, frozen=True):
    """What a watch returned."""

    events: list[WireItem]
    store_revision: int


def decode_item(wire: WireItem) -> replica.Change:
    """Return an item as a change; values come as base64."""
    if wire.deleted or wire.value is None:
        return replica.Change(wire.key, wire.rev, None)
    data = base64.b64decode(wire.value)
    return replica.Change(wire.key, wire.rev, data, wire.created_rev)


class PlatformStore(storewatcher.Store):
    """The store that the platform runs; it can only be read."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base_url = f"http://{address}"

    async def read_all(self, prefix: str) -> replica.Delta | storewatcher.StoreFault:
        """List all keys under a prefix, page by page."""
        pages: list[tuple[tuple[replica.Change, ...], int]] = []
        after = ""
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix} | ({"after": after} if after else {})
            body = await self._get("/kv-range", query, READ_TIMEOUT_S)
            if isinstance(body, storewatcher.StoreFault):
                return body
            try:
                page = msgspec.json.decode(body, type=WirePage)
                items = tuple(decode_item(item) for item in page.items)
            except _FAILURES as exc:
                return storewatcher.StoreFault(f"a page cannot be read: {exc}", False)
            pages.append((items, page.store_revision))
            if not page.more_pages or not items:
                return replica.join_pages(pages)
            after = items[-1].key
        return storewatcher.StoreFault(f"{prefix} has over {MAX_PAGES} pages", False)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> replica.Delta | storewatcher.StoreFault:
        """Wait for changes after a revision."""
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(round(wait_s * 1000)),
        }
        body = await self._get("/kv-watch", query, wait_s + WATCH_SLACK_S)
        if isinstance(body, storewatcher.StoreFault):
            return body
        try:
            wire = msgspec.json.decode(body, type=WireEvents)
            changes = tuple(decode_item(event) for event in wire.events)
        except _FAILURES as exc:
            return storewatcher.StoreFault(f"events cannot be read: {exc}", False)
        return replica.Delta(changes, wire.store_revision, False)

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> bytes | storewatcher.StoreFault:
        """Make one call."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.get(
                self._base_url + path, params=query, timeout=timeout
            ) as resp:
                data = await resp.read()
                if resp.status == STATUS_HISTORY_COMPACTED:
                    return storewatcher.StoreFault("history is gone", True)
                if resp.status != STATUS_OK:
                    return storewatcher.StoreFault(f"status {resp.status}", False)
                return data
        except _FAILURES as exc:
            return storewatcher.StoreFault(f"{type(exc).__name__}: {exc}", False)
