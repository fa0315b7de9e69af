"""Calls of targets over HTTP/1.1, with the framing by h11.

aiohttp's client does not tell an answer that ends with its connection from one that
was reset, and takes an extra answer on a kept connection for the next one; both
matter here. So connections are kept in a pool of our own:

- One request at a time uses a connection. Bytes that arrive on an idle connection
  belong to no request and close it.
- An answer that bears another attempt's identifier is skipped, and the reading goes
  on with the next one.
- An answer without a length is whole if the connection was closed in order, and
  broken if it was reset.
- A target may drop an idle connection without notice, and what is sent next on it is
  reset. Work that may run once gets a new connection, since it cannot be sent again
  after a reset.
"""

import asyncio
import dataclasses
import enum
import typing

import h11

READ_HIGH_WATER_BYTES: typing.Final = 256 * 1024  # bytes kept before reading pauses
MAX_HEAD_BYTES: typing.Final = 64 * 1024
MAX_SKIPPED_RESPONSES: typing.Final = 4  # extra answers before a connection is given up
IDLE_TIMEOUT_SHARE: typing.Final = 0.5  # of the target's own idle timeout
DEFAULT_IDLE_S: typing.Final = 2.0  # for targets that state no timeout
MAX_IDLE_PER_TARGET: typing.Final = 8


class FailureKind(enum.Enum):
    """Why an exchange failed."""

    CONNECT = "connect"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    TIMED_OUT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A sentinel: the exchange failed; ``was_sent`` is False only if nothing left."""

    kind: FailureKind
    was_sent: bool
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """The start of an answer; names of headers are in lower case."""

    status: int
    headers: list[tuple[str, str]]

    def get(self, name: str) -> str | None:
        """Return a header's value, or None."""
        wanted = name.lower()
        return next((v for n, v in self.headers if n == wanted), None)


class EndOfBody:
    """A sentinel: the answer is whole."""


END_OF_BODY: typing.Final = EndOfBody()


class Connection(asyncio.Protocol):
    """One connection to a target."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._is_paused = False
        self.is_closed = False
        self.was_reset = False
        self.is_idle = False
        self.idle_since = 0.0
        self.idle_limit_s = DEFAULT_IDLE_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Keep bytes for the reader; an idle connection expects none."""
        if self.is_idle:
            self.abort()
            return
        self._buffer += data
        if len(self._buffer) > READ_HIGH_WATER_BYTES and self._transport is not None:
            self._transport.pause_reading()
            self._is_paused = True
        self._wake_reader()

    def eof_received(self) -> bool:
        """Let the transport close in order."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Take note of how the connection ended."""
        self.is_closed = True
        self.was_reset = self.was_reset or exc is not None
        self._wake_reader()

    def _wake_reader(self) -> None:
        """Let the reader go on."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self._transport is not None and not self.is_closed:
            self._transport.write(data)

    async def receive(self) -> bytes | None:
        """Return bytes as they arrive; None at the end of the connection."""
        while not self._buffer:
            if self.is_closed:
                return None
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        data = bytes(self._buffer)
        self._buffer.clear()
        if self._is_paused and self._transport is not None:
            self._transport.resume_reading()
            self._is_paused = False
        return data

    @property
    def has_unread(self) -> bool:
        """Whether bytes arrived that nobody has read."""
        return bool(self._buffer)

    def abort(self) -> None:
        """Close at once; the target drops what it does for this connection."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()
        self._wake_reader()


class Exchange:
    """One request on a connection and its answer."""

    def __init__(self, conn: Connection, echo_header: str, attempt_id: str) -> None:
        self._conn = conn
        self._echo_header = echo_header
        self._attempt_id = attempt_id
        self._h11 = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._body = b""
        self._is_complete = False
        self._is_reusable = True
        self._idle_limit_s = DEFAULT_IDLE_S

    def send(
        self, method: str, path: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send the request at once."""
        self._request = h11.Request(method=method, target=path, headers=headers)
        self._body = body
        self._conn.write(self._encode_request(self._h11))

    def _encode_request(self, state: h11.Connection) -> bytes:
        """Return the request's bytes and put the state behind them."""
        assert self._request is not None
        data = state.send(self._request) or b""
        if self._body:
            data += state.send(h11.Data(data=self._body)) or b""
        return data + (state.send(h11.EndOfMessage()) or b"")

    async def read_head(self) -> ResponseHead | Failure:
        """Return the start of the answer to this request."""
        for _ in range(MAX_SKIPPED_RESPONSES):
            event = await self._next_event()
            if isinstance(event, Failure):
                return event
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                return self._make_failure(
                    FailureKind.MALFORMED, f"unexpected {event!r:.60}"
                )
            headers = [(n.decode(), v.decode("latin-1")) for n, v in event.headers]
            head = ResponseHead(event.status_code, headers)
            if self._is_own_response(head):
                self._read_keep_alive(head)
                return head
            skipped = await self._skip_response()
            if skipped is not None:
                return skipped
        return self._make_failure(FailureKind.MALFORMED, "too many extra answers")

    def _is_own_response(self, head: ResponseHead) -> bool:
        """Tell whether the answer belongs to this request."""
        echoed = head.get(self._echo_header)
        if echoed is None:
            return head.status >= 300
        return echoed == self._attempt_id

    async def _skip_response(self) -> Failure | None:
        """Read an answer to another request and begin anew behind it."""
        while True:
            event = await self._next_event()
            if isinstance(event, Failure):
                return event
            if isinstance(event, h11.EndOfMessage):
                break
        rest, _ = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._encode_request(self._h11)
        if rest:
            self._h11.receive_data(rest)
        return None

    def _read_keep_alive(self, head: ResponseHead) -> None:
        """Learn whether and for how long the connection may be kept."""
        connection_options = (head.get("connection") or "").lower()
        if "close" in connection_options:
            self._is_reusable = False
        for part in (head.get("keep-alive") or "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                self._idle_limit_s = int(value) * IDLE_TIMEOUT_SHARE

    async def read_body(self) -> bytes | EndOfBody | Failure:
        """Return the next bytes of the body, or its end."""
        event = await self._next_event()
        if isinstance(event, Failure):
            return event
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._is_complete = True
            return END_OF_BODY
        return self._make_failure(FailureKind.MALFORMED, f"unexpected {event!r:.60}")

    async def _next_event(self) -> typing.Any:
        """Return h11's next event, or a failure."""
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                kind = FailureKind.MALFORMED
                if self._conn.is_closed:
                    kind = FailureKind.CLOSED
                return self._make_failure(kind, str(exc))
            if event is h11.PAUSED:
                return self._make_failure(FailureKind.MALFORMED, "the answer is over")
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.ConnectionClosed):
                    return self._make_failure(
                        FailureKind.CLOSED, "closed before the answer"
                    )
                return event
            data = await self._conn.receive()
            if data is None:
                if self._conn.was_reset:
                    return self._make_failure(FailureKind.RESET, "connection reset")
                data = b""
                if self._h11.their_state is h11.SEND_RESPONSE:
                    return self._make_failure(
                        FailureKind.CLOSED, "closed before the answer"
                    )
            self._h11.receive_data(data)

    def _make_failure(self, kind: FailureKind, detail: str) -> Failure:
        """Return a failure; the connection cannot be used again."""
        self._is_reusable = False
        return Failure(kind, True, detail)

    def finish(self, now: float) -> bool:
        """End the exchange; return whether the connection may be kept."""
        rest, was_closed = self._h11.trailing_data
        is_kept = (
            self._is_complete
            and self._is_reusable
            and not rest
            and not was_closed
            and not self._conn.is_closed
            and not self._conn.has_unread
            and self._h11.their_state is h11.DONE
        )
        if not is_kept:
            self._conn.abort()
            return False
        self._conn.idle_limit_s = self._idle_limit_s
        self._conn.idle_since = now
        self._conn.is_idle = True
        return True


PoolKey = tuple[str, int, str]


class ConnectionPool:
    """Kept connections to targets, by address and incarnation."""

    def __init__(self) -> None:
        self._idle: dict[PoolKey, list[Connection]] = {}
        self.opened = 0
        self.reused = 0

    async def acquire(
        self, key: PoolKey, now: float, connect_timeout_s: float, is_new: bool
    ) -> Connection | Failure:
        """Return a connection to a target, a kept one unless ``is_new`` is set."""
        idle = [] if is_new else self._idle.get(key, [])
        while idle:
            conn = idle.pop()
            if conn.is_closed or conn.has_unread:
                continue
            if now - conn.idle_since > conn.idle_limit_s:
                conn.abort()
                continue
            conn.is_idle = False
            self.reused += 1
            return conn
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(connect_timeout_s):
                _, opened_conn = await loop.create_connection(
                    Connection, key[0], key[1]
                )
        except (TimeoutError, OSError) as exc:
            return Failure(FailureKind.CONNECT, False, f"{type(exc).__name__}: {exc}")
        self.opened += 1
        return opened_conn

    def release(self, key: PoolKey, conn: Connection) -> None:
        """Keep an idle connection, unless there are enough."""
        idle = self._idle.setdefault(key, [])
        if len(idle) >= MAX_IDLE_PER_TARGET:
            conn.abort()
            return
        idle.append(conn)

    def close_expired(self, now: float, live_keys: set[PoolKey]) -> None:
        """Close what has been idle too long or leads to a target that is gone."""
        for key, idle in list(self._idle.items()):
            kept = []
            for conn in idle:
                is_expired = now - conn.idle_since > conn.idle_limit_s
                if conn.is_closed or is_expired or key not in live_keys:
                    conn.abort()
                else:
                    kept.append(conn)
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.abort()
        self._idle.clear()
