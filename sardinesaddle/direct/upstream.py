"""HTTP/1.1 client for targets, with a connection pool; h11 does the framing.

aiohttp's client cannot distinguish a response that is ended by closing the connection
from one that was reset, and takes an extra response on a keep-alive connection for
the response to the next request. Both would be wrong here, so this module has its own
connection pool:

- A connection carries one request at a time. Bytes that arrive on an idle connection
  belong to no request; the connection is closed.
- A response with the id of another attempt is skipped, and the next one is read. A
  connection is not kept after a response without an id, since the target might write
  that response once more.
- A response with neither a length nor chunks is complete if the connection was closed
  in order, and incomplete if it was reset. The end of the target's process closes
  connections in order, too; ``responserelay`` tells the two apart.
- A target may drop an idle connection without notice, and the next request on it is
  reset. A request that may run at most once gets a new connection, since it cannot be
  retried after a reset.
"""

import asyncio
import dataclasses
import enum
import re
import typing

import h11

from sardinesaddle.direct import (
    headercodec,
    parserturns,
    responsebuffers,
    responsehead,
)

MAX_HEAD_BYTES: typing.Final = 64 * 1024
MAX_SKIPPED_RESPONSES: typing.Final = 4  # then the connection is closed
# That nothing comes of for the caller: framing, comments, responses to other attempts.
MAX_UNUSED_BYTES: typing.Final = 256 * 1024
# Of a response that states no length, and may be without end.
MAX_UNSIZED_BODY_BYTES: typing.Final = 64 * 1024 * 1024
IDLE_TIMEOUT_SHARE: typing.Final = 0.5  # of the idle timeout that a target states
DEFAULT_IDLE_S: typing.Final = 2.0  # for targets that state no idle timeout
MAX_IDLE_PER_TARGET: typing.Final = 8
STATUSES_WITHOUT_BODY: typing.Final = frozenset({204, 304})
# In a value of Keep-Alive: whole seconds.
_IDLE_TIMEOUT: typing.Final = re.compile(
    r"(?:^|,)[ \t]*timeout=([0-9]{1,9})[ \t]*(?=,|$)", re.IGNORECASE
)
HEAD_READ_BYTES: typing.Final = 8 * 1024  # given to h11 at a time
JOINED_BYTES: typing.Final = 4 * 1024  # of small chunks that are returned together


class FailureKind(enum.Enum):
    """Why an exchange failed.

    ``CONNECTION_REFUSED`` shows that no process listens at the target's address;
    ``CONNECT`` is any other failure to connect.
    """

    CONNECT = "connect"
    CONNECTION_REFUSED = "connection_refused"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    TIMED_OUT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Returned when an exchange failed; ``was_sent`` is False if nothing was sent."""

    kind: FailureKind
    was_sent: bool
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case.

    Those of ``HeaderCodec.single_response_headers`` occur once at most.
    """

    status: int
    headers: list[tuple[str, str]]

    def get(self, name: str) -> str | None:
        """Return the value of the first header of this name, or None."""
        wanted = name.lower()
        return next((v for n, v in self.headers if n == wanted), None)


class EndOfBody:
    """Returned when the body of a response is complete."""


END_OF_BODY: typing.Final = EndOfBody()


class Connection(asyncio.BufferedProtocol):
    """One connection to a target.

    ``was_idle`` is set if it was idle before its present request: the target may have
    fallen silent in the meantime. ``was_aborted`` is set if this process closed it.

    Reading pauses while the bytes that were read and not yet passed on exceed a bound;
    what ``receive`` returned last counts until the next call.
    """

    def __init__(
        self,
        buffers: responsebuffers.ResponseBuffers | None = None,
        turns: parserturns.ParserTurns | None = None,
    ) -> None:
        self.buffers = buffers or responsebuffers.ResponseBuffers()
        self.turns = turns or parserturns.ParserTurns()
        self._account = self.buffers.open_account()
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._received_bytes = 0  # by the last call of receive
        self._relayed_bytes = 0  # that the relay holds
        self._waiter: asyncio.Future[None] | None = None
        self._is_paused = False
        self.is_closed = False
        self.was_reset = False
        self.was_aborted = False
        self.is_idle = False
        self.was_idle = False
        self.idle_since = 0.0
        self.idle_limit_s = DEFAULT_IDLE_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast("asyncio.Transport", transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share for a read."""
        return self.buffers.get_read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read from the shared buffer."""
        self.data_received(bytes(self.buffers.scratch[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Buffer bytes for the reader; close the connection if it is idle."""
        if self.is_idle:
            self.abort()
            return
        self._buffer += data
        self._update_reading()
        self._wake_reader()

    def _update_reading(self) -> None:
        """Count the bytes that are held; pause or resume reading accordingly.

        If all were passed on, reading resumes in any case, so that it goes on for
        callers that read fast.
        """
        held = len(self._buffer) + self._received_bytes + self._relayed_bytes
        self._account.set_held(held)
        may_read = self._account.may_read or not (self._buffer or self._received_bytes)
        if may_read != self._is_paused:
            return
        if self._transport is None or self.is_closed or self._transport.is_closing():
            return
        self._is_paused = not may_read
        if may_read:
            self.buffers.paused -= 1
            self._transport.resume_reading()
        else:
            self.buffers.count_pause()
            self._transport.pause_reading()

    def hold(self, relayed_bytes: int) -> None:
        """Count bytes of the response that the relay holds."""
        self.buffers.unfinished_bytes += relayed_bytes - self._relayed_bytes
        self._relayed_bytes = relayed_bytes
        self._account.set_held(len(self._buffer) + self._received_bytes + relayed_bytes)

    def release(self) -> None:
        """Count that nothing of the last response is held, since it has ended."""
        self.hold(0)
        self._received_bytes = 0
        self._update_reading()

    def eof_received(self) -> bool:
        """Let asyncio close the transport after the end of the stream."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record whether the connection was closed in order or reset."""
        self.is_closed = True
        self._forget_pause()
        self.was_reset = self.was_reset or exc is not None
        self._wake_reader()

    def _wake_reader(self) -> None:
        """Resume the coroutine that waits in ``receive``."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closed."""
        if self._transport is not None and not self.is_closed:
            self._transport.write(data)

    async def receive(self) -> bytes | None:
        """Return all buffered bytes, waiting for some; None once it is closed."""
        self._received_bytes = 0
        self._update_reading()
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
        self._received_bytes = len(data)  # held as before, so reading goes on or not
        return data

    @property
    def has_unread(self) -> bool:
        """Whether there are bytes in the buffer that were not read."""
        return bool(self._buffer)

    def _forget_pause(self) -> None:
        """Count a connection that has ended as one that is not paused."""
        if self._is_paused:
            self._is_paused = False
            self.buffers.paused -= 1

    def abort(self) -> None:
        """Close the connection at once; the target cancels the request on it."""
        self.is_closed = self.was_aborted = True
        self._forget_pause()
        self._account.set_held(0)
        if self._transport is not None:
            self._transport.abort()
        self._wake_reader()


class Exchange:
    """One request on a connection and the response to it."""

    def __init__(
        self,
        conn: Connection,
        header_codec: headercodec.HeaderCodec,
        attempt_id: str,
    ) -> None:
        self._conn = conn
        self._echo_header = header_codec.attempt_id_header
        self._single_headers = header_codec.single_response_headers
        self._attempt_id = attempt_id
        self._h11 = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._unparsed = memoryview(b"")  # received, and not given to h11 yet
        self._needs_data = False  # whether all that was received is parsed
        self._read_bytes = HEAD_READ_BYTES  # given to h11 at a time
        self._parsed_pieces = 0  # that count against the next turn
        self._regained_at = 0.0  # the event loop's time
        # What came after the body that was returned last.
        self._next: typing.Any = None
        self._request: h11.Request | None = None
        self._head = bytearray()  # what was received of the next head, and after it
        self._body = b""
        self._body_bytes = 0
        self._unused_bytes = 0  # received since the relay last used a part
        self._relayed_bytes = 0  # that the relay holds
        self._has_length = False
        # Kept here, since a reading of the head may be cancelled and begun again.
        self._head_count = 0
        self._is_skipping = False  # whether a response to another attempt is read
        # Whether the response ends with its connection, as nothing else bounds it.
        self.is_unframed = False
        self._is_complete = False
        self._is_reusable = True
        self._idle_limit_s = DEFAULT_IDLE_S

    def send(
        self, method: str, path: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Write the whole request to the connection."""
        encoded = [(n.encode(), headercodec.encode_value(v)) for n, v in headers]
        self._request = h11.Request(method=method, target=path, headers=encoded)
        self._body = body
        self._conn.write(self._encode_request(self._h11))

    def _encode_request(self, state: h11.Connection) -> bytes:
        """Return the encoded request; ``state`` then expects the response."""
        assert self._request is not None
        data = state.send(self._request) or b""
        if self._body:
            data += state.send(h11.Data(data=self._body)) or b""
        return data + (state.send(h11.EndOfMessage()) or b"")

    async def read_head(self) -> ResponseHead | Failure:
        """Return the head of the response to this request, skipping others."""
        while self._head_count < MAX_SKIPPED_RESPONSES:
            if self._is_skipping and (failure := await self._skip_response()):
                return failure
            event = await self._next_event()
            if isinstance(event, Failure):
                return event
            self._head_count += 1
            if not isinstance(event, h11.InformationalResponse | h11.Response):
                return self._make_failure(
                    FailureKind.MALFORMED, f"unexpected {event!r:.60}"
                )
            end = responsehead.find_end(self._head)
            fields = responsehead.read_fields(bytes(self._head[:end]))
            if isinstance(fields, str):
                return self._make_failure(FailureKind.MALFORMED, fields)
            if isinstance(event, h11.InformationalResponse):
                del self._head[:end]
                continue
            self._head.clear()
            single = self._single_headers
            if fault := headercodec.find_ambiguity(fields, single, single):
                return self._make_failure(FailureKind.MALFORMED, fault)
            head = ResponseHead(event.status_code, fields)
            if head.get(self._echo_header) is None:
                # Once it is written again, nothing tells for which request it was.
                self._is_reusable = False
            if self._is_own_response(head):
                self._read_framing(head)
                self._read_keep_alive(head)
                self.mark_used()
                return head
            self._is_skipping = True
        return self._make_failure(
            FailureKind.MALFORMED, "too many responses to other attempts"
        )

    def _is_own_response(self, head: ResponseHead) -> bool:
        """Return whether the response belongs to this request.

        A response without an attempt id is accepted if it is not a success.
        """
        echoed = head.get(self._echo_header)
        if echoed is None:
            return head.status >= 300
        return echoed == self._attempt_id

    async def _skip_response(self) -> Failure | None:
        """Read the response to another request and reset the parser after it."""
        while True:
            event = await self._next_event()
            if isinstance(event, Failure):
                return event
            if isinstance(event, h11.EndOfMessage):
                break
        self._is_skipping = False
        rest, _ = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._encode_request(self._h11)
        if rest:
            self._give_parser(rest)
        return None

    def _read_framing(self, head: ResponseHead) -> None:
        """Read from the headers what bounds the body."""
        assert self._request is not None
        self._has_length = head.get("content-length") is not None
        self.is_unframed = (
            not self._has_length
            and head.get("transfer-encoding") is None
            and head.status not in STATUSES_WITHOUT_BODY
            and self._request.method != b"HEAD"
        )

    def _read_keep_alive(self, head: ResponseHead) -> None:
        """Read from the headers whether and how long the connection may be kept."""
        if "close" in headercodec.list_connection_options(head.headers):
            self._is_reusable = False
        timeouts = [
            float(seconds)
            for name, value in head.headers
            if name == "keep-alive"
            for seconds in _IDLE_TIMEOUT.findall(value)
        ]
        if timeouts:
            self._idle_limit_s = min(timeouts) * IDLE_TIMEOUT_SHARE

    @property
    def has_buffer_bound(self) -> bool:
        """Whether what the entry buffers is bounded in total."""
        return self._conn.buffers.is_bounded

    @property
    def has_news(self) -> bool:
        """Whether the next read returns at once."""
        return not self._needs_data or self._conn.has_unread or self._conn.is_closed

    def count_pieces(self, count: int) -> None:
        """Count pieces of the body that took as long as pieces of its framing."""
        self._parsed_pieces += count

    def hold(self, relayed_bytes: int) -> None:
        """Count bytes of the response that the relay holds."""
        if relayed_bytes != self._relayed_bytes:
            self._relayed_bytes = relayed_bytes
            self._conn.hold(relayed_bytes)

    def may_hold(self, unfinished_bytes: int) -> bool:
        """Return whether the relay may hold so much until an event or body is whole."""
        return self._conn.buffers.may_hold(unfinished_bytes)

    def mark_used(self) -> None:
        """Record that the relay used what was received up to now, or holds it."""
        self._unused_bytes = 0

    async def read_body(
        self, max_bytes: int = responsebuffers.RESPONSE_BYTES
    ) -> bytes | EndOfBody | Failure:
        """Return the next bytes of the body, ``END_OF_BODY`` or a failure.

        These are at most ``max_bytes`` and ``JOINED_BYTES`` more. Small chunks that
        are there are returned together.
        """
        self._read_bytes = max_bytes
        event = await self._next_event()
        if not isinstance(event, h11.Data):
            if isinstance(event, Failure):
                return event
            if isinstance(event, h11.EndOfMessage):
                self._is_complete = True
                return END_OF_BODY
            return self._make_failure(
                FailureKind.MALFORMED, f"unexpected {event!r:.60}"
            )
        data = bytes(event.data)
        # Does not wait, so a reading that is cancelled loses nothing.
        while (
            len(data) < JOINED_BYTES
            and self._parsed_pieces < parserturns.PIECES_PER_TURN
        ):
            event = self._parse()
            if not isinstance(event, h11.Data):
                self._next = event
                break
            data += event.data
        self._parsed_pieces += len(data) // parserturns.PIECE_BYTES
        self._body_bytes += len(data)
        if self._body_bytes > MAX_UNSIZED_BODY_BYTES and not self._has_length:
            return self._make_failure(FailureKind.MALFORMED, "response without end")
        return data

    async def _next_event(self) -> typing.Any:
        """Return h11's next event or a failure, receiving bytes as needed."""
        while True:
            if self._next is not None:
                event, self._next = self._next, None
                return event
            if self._parsed_pieces >= parserturns.PIECES_PER_TURN:
                await self._conn.turns.wait()
                self._parsed_pieces = 0
            if not self._needs_data:
                event = self._parse()
                if event is not None:
                    return event
            if self._unused_bytes > MAX_UNUSED_BYTES + self._relayed_bytes:
                return self._make_failure(
                    FailureKind.MALFORMED, "only bytes that belong to no answer"
                )
            if self._parsed_pieces > parserturns.PIECES_PER_TURN // 2:
                self._regain_pieces()
            data = await self._conn.receive()
            if data is None:
                if self._conn.was_reset:
                    return self._make_failure(FailureKind.RESET, "connection reset")
                data = b""
                if self._conn.was_aborted:
                    return self._make_failure(FailureKind.CLOSED, "target is gone")
                if self._h11.their_state is h11.SEND_RESPONSE:
                    return self._make_failure(
                        FailureKind.CLOSED, "closed before the response"
                    )
            self._needs_data = False
            self._unused_bytes += len(data)
            if len(data) <= self._read_bytes:
                self._give_parser(data)
            else:
                self._unparsed = memoryview(data)

    def _give_parser(self, data: bytes) -> None:
        """Pass bytes to h11, and keep those that may belong to a head."""
        if self._h11.their_state is h11.SEND_RESPONSE:
            self._head += data
        self._h11.receive_data(data)

    def _regain_pieces(self) -> None:
        """Deduct the pieces that were due since the last call."""
        now = asyncio.get_running_loop().time()
        due = int((now - self._regained_at) * parserturns.PIECES_PER_S)
        self._parsed_pieces = max(self._parsed_pieces - due, 0)
        self._regained_at = now

    def _parse(self) -> typing.Any:
        """Return h11's next event or a failure; None if it needs more bytes."""
        while True:
            self._parsed_pieces += 1
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                kind = FailureKind.MALFORMED
                if self._conn.is_closed:
                    kind = FailureKind.CLOSED
                return self._make_failure(kind, str(exc))
            if event is not h11.NEED_DATA:
                if event is h11.PAUSED:
                    return self._make_failure(
                        FailureKind.MALFORMED, "response is already complete"
                    )
                if isinstance(event, h11.ConnectionClosed):
                    return self._make_failure(
                        FailureKind.CLOSED, "closed before the response"
                    )
                return event
            if not self._unparsed:
                self._needs_data = True
                return None
            self._give_parser(bytes(self._unparsed[: self._read_bytes]))
            self._unparsed = self._unparsed[self._read_bytes :]

    def _make_failure(self, kind: FailureKind, detail: str) -> Failure:
        """Return a failure and mark the connection as not reusable."""
        self._is_reusable = False
        return Failure(kind, True, detail)

    def finish(self, now: float) -> bool:
        """Mark the connection idle, or close it; return whether it can be reused."""
        self._conn.release()
        rest, was_closed = self._h11.trailing_data
        is_kept = (
            self._is_complete
            and self._is_reusable
            and not rest
            and not self._unparsed
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
    """Pool of idle connections to targets, by address and target identifier."""

    def __init__(self, buffers: responsebuffers.ResponseBuffers | None = None) -> None:
        self._buffers = buffers or responsebuffers.ResponseBuffers()
        self._turns = parserturns.ParserTurns()
        self._idle: dict[PoolKey, list[Connection]] = {}
        self.opened = 0
        self.reused = 0

    async def acquire(
        self, key: PoolKey, now: float, connect_timeout_s: float, is_new: bool
    ) -> Connection | Failure:
        """Return a connection to a target, a new one if none is idle or ``is_new``."""
        idle = [] if is_new else self._idle.get(key, [])
        while idle:
            conn = idle.pop()
            if conn.is_closed or conn.has_unread:
                continue
            if now - conn.idle_since > conn.idle_limit_s:
                conn.abort()
                continue
            conn.is_idle = False
            conn.was_idle = True
            self.reused += 1
            return conn
        return await self._open(key, connect_timeout_s)

    async def open_idle(
        self, key: PoolKey, now: float, connect_timeout_s: float
    ) -> Failure | None:
        """Add a new idle connection to the pool; return the failure if there is one."""
        conn = await self._open(key, connect_timeout_s)
        if isinstance(conn, Failure):
            return conn
        conn.idle_since = now
        conn.is_idle = True
        self.release(key, conn)
        return None

    async def _open(
        self, key: PoolKey, connect_timeout_s: float
    ) -> Connection | Failure:
        """Open a connection to a target."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(connect_timeout_s):
                _, conn = await loop.create_connection(
                    lambda: Connection(self._buffers, self._turns), key[0], key[1]
                )
        except (TimeoutError, OSError) as exc:
            kind = FailureKind.CONNECT
            if isinstance(exc, ConnectionRefusedError):
                kind = FailureKind.CONNECTION_REFUSED
            return Failure(kind, False, f"{type(exc).__name__}: {exc}")
        self.opened += 1
        return conn

    def release(self, key: PoolKey, conn: Connection) -> None:
        """Return a connection to the pool; close it if the pool is full."""
        idle = self._idle.setdefault(key, [])
        if len(idle) >= MAX_IDLE_PER_TARGET:
            conn.abort()
            return
        idle.append(conn)

    def close_expired(self, now: float, live_keys: set[PoolKey]) -> None:
        """Close connections that are idle too long or whose target was removed."""
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
