"""HTTP client of a target: a model engine or a plain service.

The control endpoints have the format of the stand-ins. A request is sent once. The
journal records whether any byte of it may have reached the target, so only a failure
to connect is reported as not sent. An answer whose status no final answer has is a
failure of the target, which may have run the request.
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
# Of an answer, by RFC 9110. aiohttp accepts any number of three digits.
FINAL_STATUSES: typing.Final = range(200, 600)
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
    """JSON format of a load report."""

    running: int
    waiting: int
    cached_prefixes: list[int] = []


class CacheEventBody(msgspec.Struct, frozen=True):
    """JSON format of a cache event."""

    sequence: int
    prefix: int
    is_held: bool


def make_timeout(total_s: float | None) -> aiohttp.ClientTimeout:
    """Return the time limits of a request; None leaves its total time unlimited."""
    return aiohttp.ClientTimeout(
        total=total_s, sock_connect=CONNECT_TIMEOUT_S, sock_read=READ_TIMEOUT_S
    )


class HttpTarget(external.Target):
    """Client of the target at a base URL.

    ``unpooled_session`` opens a new connection for each request. It is used for
    requests that must not be repeated: aiohttp resends some methods if a pooled
    connection turns out to be closed, and a silent pooled connection would leave the
    outcome of such a request unknown.
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
        """Send a request and yield the parts of its answer or one failure."""
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
                if resp.status not in FINAL_STATUSES:
                    reason = f"status {resp.status:03}"
                    yield external.TargetFailure(reason, was_sent=True)
                    return
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
        """Request one of the target's control endpoints and return the body."""
        try:
            async with self._session.get(
                self._url + path, timeout=make_timeout(CONTROL_TIMEOUT_S)
            ) as resp:
                if resp.status != 200:
                    return external.Unavailable(f"HTTP status {resp.status}")
                return await resp.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            return external.Unavailable(f"{type(exc).__name__}: {exc}")

    async def read_load(self) -> external.LoadReport | external.Unavailable:
        """Return the target's load report, which may be out of date."""
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
        """Return cache events after a sequence number."""
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
        """Send an order; return False if the target refused its fencing token."""
        body = msgspec.json.encode(order)
        status = await self._post("/control/orders", body)
        if isinstance(status, external.Unavailable):
            return status
        return status != 409

    async def read_steps(self) -> external.StepsState | external.Unavailable:
        """Return the target's progress in its group's steps."""
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
        """Send an order to run steps; return False if the target refused its epoch."""
        status = await self._post("/control/steps", msgspec.json.encode(order))
        if isinstance(status, external.Unavailable):
            return status
        return status == 200

    async def load_map(self, version: int) -> bool | external.Unavailable:
        """Make the target load an expert map's weights; return False if it cannot."""
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
        """Transfer the KV cache of a prefix to the target; return False if refused."""
        status = await self._post(f"/control/kv/{prefix}", data)
        if isinstance(status, external.Unavailable):
            return status
        return status == 200

    async def _post(self, path: str, body: bytes) -> int | external.Unavailable:
        """Post to one of the target's control endpoints; return the HTTP status."""
        try:
            async with self._session.post(
                self._url + path, data=body, timeout=make_timeout(CONTROL_TIMEOUT_S)
            ) as resp:
                await resp.read()
                return resp.status
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            return external.Unavailable(f"{type(exc).__name__}: {exc}")
