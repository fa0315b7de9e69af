"""A target that speaks HTTP: the stand-in's form of an engine or plain service.

A call is sent once. Whether any byte of it can have reached the target decides what
the journal records, so only a failure to connect counts as not sent.
"""

import collections.abc
import typing

import aiohttp
import msgspec

from sardinesaddle import external

CONNECT_TIMEOUT_S: typing.Final = 1.0
READ_TIMEOUT_S: typing.Final = 60.0
CONTROL_TIMEOUT_S: typing.Final = 5.0
CHUNK_BYTES: typing.Final = 16 * 1024
DROPPED_HEADERS: typing.Final = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "date",
        "server",
    }
)


class LoadBody(msgspec.Struct, frozen=True):
    """The form of a load report."""

    running: int
    waiting: int
    cached_prefixes: list[int] = []


class CacheEventBody(msgspec.Struct, frozen=True):
    """The form of a cache event."""

    sequence: int
    prefix: int
    is_held: bool


def make_timeout(total_s: float | None) -> aiohttp.ClientTimeout:
    """Return the time limits of a call to the target."""
    return aiohttp.ClientTimeout(
        total=total_s, sock_connect=CONNECT_TIMEOUT_S, sock_read=READ_TIMEOUT_S
    )


class HttpTarget(external.Target):
    """Speaks HTTP to the target at a base address.

    ``single_use`` opens a connection for each call. It carries the calls that may
    not be repeated: aiohttp sends some methods again when a kept connection turns
    out to be closed, and a kept connection that has gone silent would leave the
    outcome of such a call unknown.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        unpooled_session: aiohttp.ClientSession,
        url: str,
    ) -> None:
        self._session = session
        self._unpooled_session = unpooled_session
        self._url = url.rstrip("/")

    async def run(
        self, req: external.TargetRequest
    ) -> collections.abc.AsyncGenerator[external.TargetEvent, None]:
        """Run a call and yield its answer."""
        headers = [*req.headers, ("X-Priority", str(req.priority))]
        session = self._session if req.is_idempotent else self._unpooled_session
        try:
            async with session.request(
                req.method,
                self._url + req.path,
                headers=headers,
                data=req.body or None,
                timeout=make_timeout(None),
                allow_redirects=False,
            ) as resp:
                kept_headers = [
                    (str(name), value)
                    for name, value in resp.headers.items()
                    if name.lower() not in DROPPED_HEADERS
                ]
                yield external.TargetHead(resp.status, kept_headers)
                async for chunk in resp.content.iter_any():
                    yield external.TargetData(chunk)
                yield external.TargetEnd()
        except aiohttp.ClientConnectorError as exc:
            yield external.TargetFailure(str(exc), was_sent=False)
        except aiohttp.ConnectionTimeoutError as exc:
            yield external.TargetFailure(str(exc), was_sent=False)
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            reason = f"{type(exc).__name__}: {exc}"
            yield external.TargetFailure(reason, was_sent=True)

    async def _get(self, path: str) -> bytes | external.Unavailable:
        """Read one of the target's own pages."""
        try:
            async with self._session.get(
                self._url + path, timeout=make_timeout(CONTROL_TIMEOUT_S)
            ) as resp:
                if resp.status != 200:
                    return external.Unavailable(f"status {resp.status}")
                return await resp.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            return external.Unavailable(f"{type(exc).__name__}: {exc}")

    async def read_load(self) -> external.LoadReport | external.Unavailable:
        """Return the target's lagging load report."""
        data = await self._get("/control/load")
        if isinstance(data, external.Unavailable):
            return data
        try:
            body = msgspec.json.decode(data, type=LoadBody)
        except msgspec.DecodeError as exc:
            return external.Unavailable(str(exc))
        return external.LoadReport(body.running, body.waiting, body.cached_prefixes)

    async def read_cache_events(
        self, after: int
    ) -> list[external.CacheEvent] | external.Unavailable:
        """Return cache events past a sequence number."""
        data = await self._get(f"/control/cache-events?after={after}")
        if isinstance(data, external.Unavailable):
            return data
        try:
            rows = msgspec.json.decode(data, type=list[CacheEventBody])
        except msgspec.DecodeError as exc:
            return external.Unavailable(str(exc))
        return [external.CacheEvent(r.sequence, r.prefix, r.is_held) for r in rows]

    async def send_order(
        self, order: external.TargetOrder
    ) -> bool | external.Unavailable:
        """Give an order; False means that the target refused its fence."""
        body = msgspec.json.encode(order)
        status = await self._post("/control/orders", body)
        if isinstance(status, external.Unavailable):
            return status
        return status != 409

    async def read_steps(self) -> external.StepsState | external.Unavailable:
        """Return what the target holds of its group's steps."""
        data = await self._get("/control/steps")
        if isinstance(data, external.Unavailable):
            return data
        try:
            return msgspec.json.decode(data, type=external.StepsState)
        except msgspec.DecodeError as exc:
            return external.Unavailable(str(exc))

    async def send_steps_order(
        self, order: external.StepsOrder
    ) -> bool | external.Unavailable:
        """Order steps; False means that the target refused the epoch."""
        status = await self._post("/control/steps", msgspec.json.encode(order))
        if isinstance(status, external.Unavailable):
            return status
        return status == 200

    async def load_map(self, version: int) -> bool | external.Unavailable:
        """Let the target load a map's weights."""
        status = await self._post(f"/control/maps/{version}", b"")
        if isinstance(status, external.Unavailable):
            return status
        return status == 200

    async def export_cache(self, prefix: int) -> bytes | external.Unavailable:
        """Return the KV cache of a prefix."""
        return await self._get(f"/control/kv/{prefix}")

    async def import_cache(
        self, prefix: int, data: bytes
    ) -> bool | external.Unavailable:
        """Give the target the KV cache of a prefix."""
        status = await self._post(f"/control/kv/{prefix}", data)
        if isinstance(status, external.Unavailable):
            return status
        return status == 200

    async def _post(self, path: str, body: bytes) -> int | external.Unavailable:
        """Send something to the target; return the status."""
        try:
            async with self._session.post(
                self._url + path, data=body, timeout=make_timeout(CONTROL_TIMEOUT_S)
            ) as resp:
                await resp.read()
                return resp.status
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            return external.Unavailable(f"{type(exc).__name__}: {exc}")
