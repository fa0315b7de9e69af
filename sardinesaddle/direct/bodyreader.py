"""Reads the bodies of callers' requests within the bound on what an entry holds.

A head is counted from the start, a body while it is read. If their part of the bound is
exceeded, they may be evicted; they are dropped, and the request is refused.
"""

import asyncio
import typing

import aiohttp.web

from sardinesaddle.direct import callerconnection, callermemory

FIELD_BYTES: typing.Final = len(": \r\n")  # of a header beside its name and value
HEAD_COPIES: typing.Final = 3  # as bytes, as text, and in the fields that are sent on
CONTINUE: typing.Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyReader(callermemory.Holder):
    """Reads the body of a request, which may be evicted meanwhile.

    ``holding`` counts the head and the body, also after it was read.
    """

    def __init__(
        self, request: aiohttp.web.BaseRequest, memory: callermemory.CallerMemory
    ) -> None:
        self._request = request
        self._body = bytearray()
        self._scope: asyncio.Timeout | None = None
        self.is_evicted = False
        self.head_bytes = measure_head(request)
        self.holding = memory.open(self, get_connection(request))
        self.holding.set_held(HEAD_COPIES * self.head_bytes)

    def evict(self) -> None:
        """Stop reading, and drop what was read."""
        self._body.clear()
        self.is_evicted = True
        if self._scope is not None and not self._scope.expired():
            self._scope.reschedule(asyncio.get_running_loop().time())

    def _is_asked_to_go_on(self) -> bool:
        """Return whether the caller sends the body only once it is told to."""
        expected = self._request.headers.get("Expect", "")
        return expected.strip().lower() == "100-continue"

    async def read(self, scope: asyncio.Timeout, max_bytes: int) -> bytes | None:
        """Return the body, or None if it is over the limit.

        The scope raises TimeoutError if the body is evicted.
        """
        self._scope = scope
        conn = get_connection(self._request)
        conn.body = self.holding
        if not self._request.content.is_eof() and self._is_asked_to_go_on():
            conn.write(CONTINUE)
        async for data in self._request.content.iter_any():
            if self.is_evicted:
                # The scope has not ended this task yet.
                continue
            self._body += data
            if len(self._body) > max_bytes:
                self._body.clear()
                return None
            self.holding.set_held(HEAD_COPIES * self.head_bytes + len(self._body))
        if self.is_evicted:
            raise TimeoutError
        conn.body = None
        body = bytes(self._body)
        self._body.clear()
        return body


def get_connection(
    request: aiohttp.web.BaseRequest,
) -> callerconnection.CallerConnection:
    """Return the connection of a request."""
    return typing.cast("callerconnection.CallerConnection", request.protocol)


def measure_head(request: aiohttp.web.BaseRequest) -> int:
    """Return how many bytes the head of a request has."""
    line = len(request.method) + len(request.raw_path) + len("  HTTP/1.1\r\n\r\n")
    return line + sum(
        len(name) + len(value) + FIELD_BYTES for name, value in request.raw_headers
    )
