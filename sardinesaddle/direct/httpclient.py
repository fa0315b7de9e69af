"""An HTTP/1.1 client for one server on the same host; httptools does the parsing.

It keeps one connection for each request that runs at a time. Unlike a general client it
takes no memory for what a sidecar never uses: encryption, cookies, redirects, proxies.

A GET on a connection that had been idle is sent once more on a new one if the server
closed it without a response, as servers do with idle connections. Other requests are
not: they may have been carried out.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import httptools

# Of a response without its body: head, informational responses, chunks, trailers.
MAX_FRAMING_BYTES: typing.Final = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response; header names are in lower case.

    The values of a header that comes twice are joined by commas, as HTTP defines.
    """

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HttpFault:
    """Returned when there is no complete response; ``reason`` is for logs.

    ``is_unanswered`` is set if the server closed the connection before any byte of it.
    """

    reason: str
    is_unanswered: bool = False


class Connection(asyncio.Protocol):
    """A connection with one request at a time."""

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._done: asyncio.Future[HttpResponse | HttpFault] | None = None
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._received_bytes = 0
        self._has_head = False
        self.is_closed = False
        self.was_used = False

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the response; on an idle connection they belong to none."""
        if self._done is None:
            self.close()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._fail(f"{type(exc).__name__}: {exc}")
            return
        if self._received_bytes - len(self._body) > MAX_FRAMING_BYTES:
            self._fail(f"over {MAX_FRAMING_BYTES} bytes of head and framing")

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request; without a length the end of the connection completes it."""
        self.is_closed = True
        is_framed = self._headers.keys() & {"content-length", "transfer-encoding"}
        if exc is None and self._has_head and not is_framed:
            self.on_message_complete()
        is_unanswered = self._received_bytes == 0
        reason = f"connection closed: {exc}" if exc else "connection closed"
        self._finish(HttpFault(reason, is_unanswered))

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Close the connection if a further response follows; it belongs to none."""
        if self._done is None or self._done.done():
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; the values of a repeated one are joined, trailers dropped."""
        if self._has_head:
            return
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        known = self._headers.get(key)
        self._headers[key] = text if known is None else f"{known}, {text}"

    def on_headers_complete(self) -> None:
        """Begin with the body; of other framings readers find different ends."""
        self._has_head = True
        version = self._parser.get_http_version()
        encoding = self._headers.get("transfer-encoding")
        is_chunked = encoding is not None and encoding.strip().lower() == "chunked"
        if version not in ("1.0", "1.1") or (version == "1.0" and is_chunked):
            self._fail(f"the framing of HTTP/{version}")
        elif encoding is not None and not is_chunked:
            self._fail(f"transfer encoding {encoding!r:.60}")

    def on_body(self, data: bytes) -> None:
        """Store a part of the body, up to its limit."""
        self._body += data
        if len(self._body) > self._max_body_bytes:
            self._fail(f"a body of over {self._max_body_bytes} bytes")

    def on_message_complete(self) -> None:
        """End the request with its response, unless it was an informational one."""
        status = self._parser.get_status_code()
        if status < 200:
            self._headers.clear()
            self._has_head = False
            return
        if not self._parser.should_keep_alive():
            self.close()
        self._finish(HttpResponse(status, self._headers, bytes(self._body)))

    def _fail(self, reason: str) -> None:
        """End the request without a response, and the connection."""
        self.close()
        self._finish(HttpFault(reason))

    def _finish(self, outcome: HttpResponse | HttpFault) -> None:
        """Resume the coroutine that waits for the response."""
        if self._done is not None and not self._done.done():
            self._done.set_result(outcome)

    # Called by the client.

    async def exchange(self, data: bytes) -> HttpResponse | HttpFault:
        """Send an encoded request and return its response."""
        assert self._transport is not None
        self._headers, self._body = {}, bytearray()
        self._received_bytes, self._has_head = 0, False
        self._done = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        try:
            return await self._done
        finally:
            if not self._done.done() or self._done.cancelled():
                self.close()
            self._done = None
            self.was_used = True

    def close(self) -> None:
        """Close the connection at once."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()


class HttpClient:
    """A client of the server at an address; ``max_body_bytes`` bounds responses.

    ``fields`` are further headers of all its requests.
    """

    def __init__(
        self,
        address: str,
        max_body_bytes: int,
        fields: collections.abc.Iterable[tuple[str, str]] = (),
    ) -> None:
        self._address = address
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._max_body_bytes = max_body_bytes
        self._fields = "".join(f"{name}: {value}\r\n" for name, value in fields)
        self._idle: list[Connection] = []

    async def request(
        self, method: str, path: str, timeout_s: float, body: bytes = b""
    ) -> HttpResponse | HttpFault:
        """Send a request, with a JSON body if there is one; return its response."""
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._address}\r\n{self._fields}"
        if body:
            head += "Content-Type: application/json\r\n"
            head += f"Content-Length: {len(body)}\r\n"
        data = f"{head}\r\n".encode() + body
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    conn = await self._acquire()
                    is_retried = method == "GET" and conn.was_used
                    outcome = await conn.exchange(data)
                    if not conn.is_closed:
                        self._idle.append(conn)
                    if isinstance(outcome, HttpResponse):
                        return outcome
                    if not (outcome.is_unanswered and is_retried):
                        return outcome
        except (TimeoutError, OSError, RuntimeError) as exc:
            # uvloop raises RuntimeError for a write to a connection that was closed.
            return HttpFault(f"{type(exc).__name__}: {exc}")

    async def _acquire(self) -> Connection:
        """Return an idle connection, or a new one."""
        while self._idle:
            conn = self._idle.pop()
            if not conn.is_closed:
                return conn
        loop = asyncio.get_running_loop()
        _, opened = await loop.create_connection(
            lambda: Connection(self._max_body_bytes), self._host, self._port
        )
        return opened

    def close(self) -> None:
        """Close the idle connections."""
        for conn in self._idle:
            conn.close()
        self._idle.clear()
