"""Connections of callers: aiohttp's protocol, with bounds on what it leaves unbounded.

- What a caller sends is parsed a piece at a time. After ``LINES_PER_TURN`` lines a
  connection waits for its turn, so that chunks of a byte keep no other caller waiting.
- A head, a trailer or the framing of a chunk is at most as long as the operators'
  limit for heads, and a head is complete within their time-out.
- Bytes that wait to be parsed, heads that wait for the response before them, and the
  kernel's buffer of a connection that is not read are counted in ``callermemory``.
- Over the greatest number of connections, those are closed first that have sent no
  head for longest, then idle ones, then those whose request or response makes no
  progress.
"""

import asyncio
import collections.abc
import enum
import math
import socket
import typing

import aiohttp.web

from sardinesaddle.direct import callermemory, catalog, parserturns

PIECE_BYTES: typing.Final = 4 * 1024  # parsed at a time
# Lines of heads and chunks, which take some 1 us each.
LINES_PER_TURN: typing.Final = 1024
LINES_PER_S: typing.Final = 640  # of each connection without waiting for turns
RECEIVE_BUFFER_BYTES: typing.Final = 64 * 1024  # of the kernel, for each connection
READ_BUFFER_BYTES: typing.Final = 16 * 1024  # of a body, until the handler reads it
MAX_QUEUED_REQUESTS: typing.Final = 2  # behind the present one
KEEPALIVE_FACTOR: typing.Final = 1.25  # of the idle time that callers may use
NEVER_S: typing.Final = 30 * 24 * 3600.0  # aiohttp's own idle time-out is not used
LINGERING_S: typing.Final = 2.0  # for the rest of a body after an early response
# The users' callers give up on a connection that is not read for so long.
FRESH_S: typing.Final = 1.0
CLOSED_SHARE: typing.Final = 1 / 32  # of the connections, when there are too many
LINE_END: typing.Final = b"\r\n"
REJECTIONS: typing.Final = {
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
}


class WaitKind(enum.IntEnum):
    """What a connection waits for, in the order in which connections are closed."""

    NO_HEAD = 0
    IDLE = 1
    UNFINISHED_BODY = 2
    UNREAD_RESPONSE = 3
    FRESH = 4  # it has had no time to send a head


class CallerConnection(aiohttp.web.RequestHandler, callermemory.Holder):
    """One connection of a caller; times are the event loop's.

    ``body`` counts what was read of the present request's body, while it is read.
    ``write_began_at`` is when the caller was last given bytes that it has not taken.
    """

    __slots__ = (
        "_body_bytes",
        "_head_began_at",
        "_holding",
        "_idle_since",
        "_is_transport_paused",
        "_line_count",
        "_lines_counted_at",
        "_payload",
        "_server",
        "_turn",
        "_unparsed",
        "_unused_bytes",
        "body",
        "write_began_at",
    )

    def __init__(self, server: "CallerServer", **kwargs: typing.Any) -> None:
        super().__init__(server, **kwargs)
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS - 1
        self._server = server
        self._unparsed = bytearray()
        self._is_transport_paused = False
        self._holding = server.memory.open(self, self)
        self._payload: aiohttp.StreamReader = aiohttp.streams.EMPTY_PAYLOAD
        self._body_bytes = 0  # of the payload, that were seen
        self._unused_bytes = 0  # since the last byte of a body or end of a head
        self._line_count = 0  # that count against the next turn
        self._lines_counted_at = 0.0
        self._turn: asyncio.Task[None] | None = None
        self._head_began_at: float | None = None
        self._idle_since = self._loop.time()
        self.body: callermemory.Holding | None = None
        self.write_began_at: float | None = None

    # Called by the event loop and by aiohttp.

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget what was not parsed."""
        self._drop_unparsed()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what was received and what is left of earlier data.

        aiohttp calls this without data to go on after a pause.
        """
        if self._parser is None:
            return
        if self._force_close or self._close:
            self._drop_unparsed()
            return
        self._unparsed += data
        is_paused = self._reading_paused or self._buffer_paused
        if self._turn is None and not (data and is_paused):
            self._parse()
        self._count_held()

    def _parse(self) -> None:
        """Parse pieces until nothing is left, reading pauses or a turn is over."""
        while True:
            piece = bytes(self._unparsed[:PIECE_BYTES])
            del self._unparsed[:PIECE_BYTES]
            self._parse_piece(piece)
            if not self._unparsed or self._reading_paused or self._buffer_paused:
                break
            if self._is_turn_over(piece.count(LINE_END) + 1):
                self._turn = self._loop.create_task(self._wait_for_turn())
                break
        if self._unparsed:
            self._pause_transport_reading()
        elif self._is_transport_paused and not (
            self._reading_paused or self._buffer_paused
        ):
            self._resume_transport_reading()

    def _parse_piece(self, piece: bytes) -> None:
        """Give a piece to the parser, and see what has come of it."""
        request_count = self._request_count
        super().data_received(piece)
        if self._request_count != request_count:
            self._payload = self._messages[-1][1]
            self._body_bytes = self._payload.total_bytes
            self._unused_bytes = 0
            self._head_began_at = None
        elif self._payload.total_bytes != self._body_bytes:
            self._body_bytes = self._payload.total_bytes
            self._unused_bytes = 0
        elif piece.strip(LINE_END):
            if self._payload.is_eof() and self._head_began_at is None:
                self._head_began_at = self._loop.time()
            self._unused_bytes += len(piece)
            max_bytes = self._server.get_limits().max_header_bytes
            if self._unused_bytes > max_bytes + PIECE_BYTES:
                self._reject(431)

    def _is_turn_over(self, line_count: int) -> bool:
        """Count parsed lines; return whether others are to go first."""
        self._line_count += line_count
        if self._line_count < LINES_PER_TURN:
            return False
        now = self._loop.time()
        due = int((now - self._lines_counted_at) * LINES_PER_S)
        self._lines_counted_at = now
        self._line_count = max(self._line_count - due, 0)
        return self._line_count >= LINES_PER_TURN

    async def _wait_for_turn(self) -> None:
        """Go on when it is this connection's turn."""
        await self._server.turns.wait()
        self._turn = None
        self._line_count = 0
        self.data_received(b"")

    def _pause_transport_reading(self) -> None:
        """Note that the kernel now buffers what the caller sends."""
        if not self._is_transport_paused:
            self._is_transport_paused = True
            super()._pause_transport_reading()

    def _resume_transport_reading(self) -> None:
        """Read on, once all that was received is parsed."""
        if self._unparsed and self._turn is None:
            self._parse()
        if not self._unparsed and not self._reading_paused and not self._buffer_paused:
            self._is_transport_paused = False
            super()._resume_transport_reading()
        self._count_held()

    # What is held.

    def _count_held(self) -> None:
        """Count the bytes that wait, here or in the kernel."""
        held_bytes = len(self._unparsed)
        if self._is_transport_paused:
            held_bytes += RECEIVE_BUFFER_BYTES
        # Without a present request, the first one is about to be handled.
        waiting = len(self._messages) - (self._current_request is None)
        if waiting > 0:
            held_bytes += waiting * self._server.get_limits().max_header_bytes
        self._holding.set_held(held_bytes)

    def _drop_unparsed(self) -> None:
        """Forget what was received and not parsed."""
        self._unparsed.clear()
        self._holding.set_held(0)
        if self._turn is not None:
            self._turn.cancel()
            self._turn = None

    def evict(self) -> None:
        """Close the connection, as what others hold leaves it no room."""
        self._drop_unparsed()
        self.abort()

    def write(self, data: bytes) -> None:
        """Send bytes that belong to no final response."""
        if self.transport is not None:
            self.transport.write(data)

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    # State for the server and the handler.

    @property
    def has_further_request(self) -> bool:
        """Whether the head of another request was read.

        aiohttp drops them if the connection closes after the response.
        """
        return bool(self._messages)

    @property
    def has_unsent(self) -> bool:
        """Whether some of what was written is not sent."""
        return self.transport is not None and bool(
            self.transport.get_write_buffer_size()
        )

    def mark_idle(self) -> None:
        """Record that a response has ended."""
        self._idle_since = self._loop.time()
        self.body = None
        self._count_held()

    @property
    def is_open(self) -> bool:
        """Whether the connection is not closed, nor about to be."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def _has_request(self) -> bool:
        """Whether a request is handled or waits."""
        return self._current_request is not None or bool(self._messages)

    def find_wait(self, now: float) -> tuple[WaitKind, float] | None:
        """Return what the connection waits for and since when; None if it moves."""
        if self._has_request:
            if self.body is not None:
                return WaitKind.UNFINISHED_BODY, self.body.progressed_at
            if self.write_began_at is not None:
                return WaitKind.UNREAD_RESPONSE, self.write_began_at
            return None
        if self._request_count and self._head_began_at is None:
            return WaitKind.IDLE, self._idle_since
        since = self._head_began_at or self._idle_since
        is_fresh = now - since < FRESH_S
        return WaitKind.FRESH if is_fresh else WaitKind.NO_HEAD, since

    def close_if_overdue(self, now: float, limits: catalog.Limits) -> None:
        """Close the connection if it has been idle, or without a head, for too long."""
        if self._is_transport_paused:
            return
        if self._head_began_at is not None:
            if now - self._head_began_at > limits.header_timeout_s:
                self._reject(408)
            return
        idle_s = now - self._idle_since
        if not self._has_request and idle_s > limits.idle_timeout_s * KEEPALIVE_FACTOR:
            self.force_close()

    def _reject(self, status: int) -> None:
        """Refuse a head or a trailer, and close the connection.

        A request before it still gets its response.
        """
        self._head_began_at = None
        self._drop_unparsed()
        if not self._payload.is_eof():
            if not self._has_request:
                # The response was sent before the end of the body.
                self.abort()
            fault = aiohttp.web.RequestPayloadError(REJECTIONS[status])
            self._payload.set_exception(fault)
        elif not self._has_request:
            if self.transport is not None:
                head = f"HTTP/1.1 {status} {REJECTIONS[status]}\r\n"
                head += "Connection: close\r\nContent-Length: 0\r\n\r\n"
                self.transport.write(head.encode())
            self.force_close()
            return
        self.close()


class CallerServer(aiohttp.web.Server):
    """Makes the connections of callers, and bounds their number."""

    def __init__(
        self,
        handler: collections.abc.Callable[
            [aiohttp.web.BaseRequest],
            collections.abc.Awaitable[aiohttp.web.StreamResponse],
        ],
        memory: callermemory.CallerMemory,
        get_limits: collections.abc.Callable[[], catalog.Limits],
        max_connections: int,
        **kwargs: typing.Any,
    ) -> None:
        super().__init__(
            handler,
            handler_cancellation=True,
            keepalive_timeout=NEVER_S,
            lingering_time=LINGERING_S,
            read_bufsize=READ_BUFFER_BYTES,
            **kwargs,
        )
        self.memory = memory
        self.get_limits = get_limits
        self.turns = parserturns.ParserTurns()
        self._max_connections = max_connections
        self.closed_count = 0  # to make room for others

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    def list_connections(self) -> list[CallerConnection]:
        """Return the connections; some may be closed already."""
        return typing.cast("list[CallerConnection]", list(self._connections))

    def connection_made(
        self, handler: aiohttp.web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Close others if there are too many connections now."""
        super().connection_made(handler, transport)
        if len(self._connections) > self._max_connections:
            self._make_room(typing.cast("CallerConnection", handler))

    def _make_room(self, newest: CallerConnection) -> None:
        """Close connections that wait for their callers, or else the newest one."""
        open_conns = [conn for conn in self.list_connections() if conn.is_open]
        excess = len(open_conns) - self._max_connections
        if excess <= 0:
            return
        now = self._loop.time()
        ranked: list[tuple[tuple[WaitKind, float], CallerConnection]] = []
        for conn in open_conns:
            wait = conn.find_wait(now)
            if conn is not newest and wait is not None:
                ranked.append((wait, conn))
        ranked.sort(key=lambda entry: entry[0])
        # Each search looks at all connections, so it is not made for each new one.
        count = excess + math.floor(CLOSED_SHARE * self._max_connections)
        for _, conn in ranked[:count]:
            conn.abort()
        self.closed_count += len(ranked[:count])
        if not ranked:
            newest.abort()
            self.closed_count += 1

    def close_overdue(self, now: float) -> None:
        """Close the connections that are idle, or without a head, for too long."""
        limits = self.get_limits()
        for conn in self.list_connections():
            if conn.is_open:
                conn.close_if_overdue(now, limits)


def open_socket(host: str, port: int) -> socket.socket:
    """Return a bound socket, whose connections have a receive buffer of a fixed size.

    The kernel would let it grow to some MB for each connection.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    except OSError:
        pass  # The kernel's own size is in force.
    sock.bind((host, port))
    return sock
