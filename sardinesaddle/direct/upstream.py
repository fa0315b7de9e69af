"""Connections to targets, and a pool of those that are idle.

aiohttp's client cannot distinguish a response that is ended by closing the connection
from one that was reset, and takes an extra response on a keep-alive connection for
the response to the next request. Both would be wrong here, so there is a connection
pool of its own; ``httpexchange`` has the requests and responses.

- A connection carries one request at a time. Bytes that arrive on an idle connection
  belong to no request; the connection is closed.
- A target may drop an idle connection without notice, and the next request on it is
  reset. A request that may run at most once gets a new connection, since it cannot be
  retried after a reset.
"""

import asyncio
import collections.abc
import dataclasses
import enum
import typing

from sardinesaddle.direct import parserturns, responsebuffers

DEFAULT_IDLE_S: typing.Final = 2.0  # for targets that state no idle timeout
MAX_IDLE_PER_TARGET: typing.Final = 8
JOINED_BYTES: typing.Final = 64 * 1024  # of a body that is written with its head


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
        # Called when the kernel has the whole request.
        self._on_sent: collections.abc.Callable[[], None] | None = None
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

    def write_request(
        self, head: bytes, body: bytes, on_sent: collections.abc.Callable[[], None]
    ) -> None:
        """Send a request; ``on_sent`` is called once the kernel has all of it.

        A large body is not copied, and a small one counts as sent at once.
        """
        if len(body) <= JOINED_BYTES:
            self.write(head + body)
            on_sent()
            return
        if self._transport is None or self.is_closed:
            return
        self._on_sent = on_sent
        # The loop then tells when nothing is left.
        self._transport.set_write_buffer_limits(0)
        self._transport.write(head)
        self._transport.write(body)
        if not self.has_unsent:
            self.resume_writing()

    def resume_writing(self) -> None:
        """Tell that the kernel has all that was written."""
        on_sent, self._on_sent = self._on_sent, None
        if on_sent is not None:
            on_sent()

    @property
    def has_unsent(self) -> bool:
        """Whether some of what was written is not sent."""
        return self._transport is not None and bool(
            self._transport.get_write_buffer_size()
        )

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
        self._on_sent = None
        self._forget_pause()
        self._account.set_held(0)
        if self._transport is not None:
            self._transport.abort()
        self._wake_reader()


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
