"""HTTP clients of the platform's configuration service and host list.

The formats are those of the stand-ins. ``GET /v1/values/NAME`` reads a value of the
configuration service; with ``?after=TAG`` it is a long poll that waits for another
tag. ``GET /v1/hosts`` reads the host list. All requests have a time limit, and all
responses a size limit.
"""

import asyncio
import typing

import aiohttp
import msgspec

from sardinesaddle import external, manifest, membership

READ_TIMEOUT_S: typing.Final = 2.0
WATCH_TIMEOUT_S: typing.Final = 30.0
MAX_HOSTS_BYTES: typing.Final = 4 * 1024 * 1024

_REQUEST_ERRORS: typing.Final = (aiohttp.ClientError, OSError, asyncio.TimeoutError)


class HostRow(msgspec.Struct, frozen=True):
    """A row of the host list in the platform's JSON format."""

    name: str
    host: str
    port: int
    place: str
    state: typing.Literal["live", "leaving"]


async def read_bounded(resp: aiohttp.ClientResponse, limit: int) -> bytes | None:
    """Return a body of at most ``limit`` bytes, or None if it is larger."""
    data = bytearray()
    async for chunk in resp.content.iter_chunked(64 * 1024):
        data += chunk
        if len(data) > limit:
            return None
    return bytes(data)


class HttpConfigSource(external.ConfigSource):
    """Client of the configuration service."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip("/")

    async def read(self, name: str) -> external.ConfigValue | external.Unavailable:
        """Return the value with this name."""
        return await self._get(f"/v1/values/{name}", READ_TIMEOUT_S)

    async def watch(
        self, name: str, tag: str
    ) -> external.ConfigValue | external.Unavailable:
        """Return the value once its tag differs from ``tag``, or after a time limit."""
        path = f"/v1/values/{name}?after={tag}"
        return await self._get(path, WATCH_TIMEOUT_S)

    async def _get(
        self, path: str, timeout_s: float
    ) -> external.ConfigValue | external.Unavailable:
        """Request a value; a response other than 200 counts as unavailable."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.get(self._url + path, timeout=timeout) as resp:
                if resp.status != 200:
                    return external.Unavailable(f"HTTP status {resp.status} for {path}")
                data = await read_bounded(resp, manifest.MAX_VALUE_BYTES)
                tag = resp.headers.get("ETag", "")
        except _REQUEST_ERRORS as exc:
            return external.Unavailable(f"{type(exc).__name__}: {exc}")
        if data is None:
            limit = manifest.MAX_VALUE_BYTES
            return external.Unavailable(
                f"the value of {path} is over the limit of {limit} bytes"
            )
        return external.ConfigValue(data, tag)


class HttpHostSource(external.HostSource):
    """Client of the host list."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip("/") + "/v1/hosts"

    async def list_hosts(self) -> list[membership.Host] | external.Unavailable:
        """Return the hosts as the platform lists them."""
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        try:
            async with self._session.get(self._url, timeout=timeout) as resp:
                data = await read_bounded(resp, MAX_HOSTS_BYTES)
            rows = msgspec.json.decode(data or b"", type=list[HostRow])
        except (*_REQUEST_ERRORS, msgspec.DecodeError) as exc:
            return external.Unavailable(f"{type(exc).__name__}: {exc}")
        return [
            membership.Host(
                row.name, row.host, row.port, row.place, row.state == "leaving"
            )
            for row in rows
        ]
