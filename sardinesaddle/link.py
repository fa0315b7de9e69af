"""An authenticated connection between two processes.

The link reads frames, runs the handshake, sends heartbeats and detects a silent peer.
It passes every message to its owner and holds no state of requests, so the owner can
continue them on another link after this one is lost.

On an idle link, heartbeats are sent less often and silence is tolerated longer.
"""

import abc
import asyncio
import typing

from sardinesaddle import frames, handshake, wire

HANDSHAKE_TIMEOUT_S: typing.Final = 3.0
HEARTBEAT_BUSY_PERIOD_S: typing.Final = 1.0
HEARTBEAT_IDLE_PERIOD_S: typing.Final = 8.0
LOAD_REPORT_PERIOD_S: typing.Final = 2.0
SILENCE_LIMIT_BUSY_S: typing.Final = 3.0
SILENCE_LIMIT_IDLE_S: typing.Final = 24.0
MAX_TICK_GAP_S: typing.Final = 5.0
MAX_WRITE_BUFFER_BYTES: typing.Final = 8 * 1024 * 1024


class LinkOwner(abc.ABC):
    """Handles the events of a link."""

    @abc.abstractmethod
    def on_open(self, link: "Link") -> None:
        """Handle a completed handshake; ``link.peer`` is set."""

    @abc.abstractmethod
    def on_message(self, link: "Link", msg: wire.Message) -> None:
        """Handle a message that arrived after the handshake."""

    @abc.abstractmethod
    def on_closed(self, link: "Link", reason: str) -> None:
        """Handle the end of the connection; called once for each link."""

    @abc.abstractmethod
    def make_heartbeat(self) -> wire.Heartbeat:
        """Return the heartbeat to send to the peer."""

    @abc.abstractmethod
    def is_busy(self, link: "Link") -> bool:
        """Return True if open requests depend on the link."""


class Link(asyncio.Protocol):
    """Protocol of one connection; exactly one of ``client`` and ``server`` is given."""

    def __init__(
        self,
        owner: LinkOwner,
        loop: asyncio.AbstractEventLoop,
        client: handshake.ClientHandshake | None = None,
        server: handshake.ServerHandshake | None = None,
    ) -> None:
        self._owner = owner
        self._loop = loop
        self._client = client
        self._server = server
        self._reader = frames.FrameReader()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._close_reason = "the peer closed the connection"
        self._opened_at = loop.time()
        self._received_at = loop.time()
        self._sent_at = loop.time()
        self._busy_since = loop.time()
        self._ticked_at = loop.time()
        self._reported_at = loop.time()
        self._unsent_frames: list[bytes] = []
        self._is_closed = False
        self.peer: handshake.Peer | None = None
        self.bytes_in = 0
        self.bytes_out = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake and the heartbeat timer."""
        # The transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = typing.cast("asyncio.Transport", transport)
        self._received_at = self._loop.time()
        self._ticked_at = self._received_at
        if self._client is not None:
            self.send(self._client.hello)
        self._timer = self._loop.call_later(HEARTBEAT_BUSY_PERIOD_S, self._tick)

    def data_received(self, data: bytes) -> None:
        """Handle all complete frames."""
        now = self._loop.time()
        if now - self._ticked_at > MAX_TICK_GAP_S:
            # This data may have been sent long ago, and the peer may have reconnected.
            self.close("this process was paused")
            return
        self._received_at = now
        self.bytes_in += len(data)
        self._reader.feed(data)
        while not self._is_closed:
            msg = self._reader.read_message()
            if msg is None:
                return
            if isinstance(msg, frames.FrameFault):
                self.close(msg.reason)
                return
            self._handle(msg)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection, unless it was closed from this side."""
        self._report_closed(self._close_reason if exc is None else str(exc))

    def send(self, msg: wire.Message) -> None:
        """Queue a message.

        All messages queued in one iteration of the event loop go out in one write.
        """
        if self._is_closed or self._transport is None:
            return
        frame = frames.encode_frame(msg)
        self.bytes_out += len(frame)
        if not self._unsent_frames:
            self._loop.call_soon(self._flush)
        self._unsent_frames.append(frame)

    def _flush(self) -> None:
        """Write the queued frames; close the link if the peer reads too slowly."""
        if self._is_closed or self._transport is None:
            return
        data = b"".join(self._unsent_frames)
        self._unsent_frames.clear()
        self._sent_at = self._loop.time()
        self._transport.write(data)
        if self._transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            self.close("the peer reads too slowly; the write buffer is over its limit")

    def close(self, reason: str) -> None:
        """Abort the connection and report its end."""
        self._close_reason = reason
        if self._transport is not None:
            self._transport.abort()
        self._report_closed(reason)

    @property
    def is_open(self) -> bool:
        """Whether the handshake is complete and the connection is not closed."""
        return self.peer is not None and not self._is_closed

    def seconds_since_received(self) -> float:
        """Return the seconds since data was last received."""
        return self._loop.time() - self._received_at

    def _handle(self, msg: wire.Message) -> None:
        """Pass a message to the handshake until it is complete, then to the owner."""
        if self.peer is not None:
            self._owner.on_message(self, msg)
            return
        if self._client is not None:
            self._advance_client_handshake(self._client, msg)
        elif self._server is not None:
            self._advance_server_handshake(self._server, msg)

    def _advance_client_handshake(
        self, client: handshake.ClientHandshake, msg: wire.Message
    ) -> None:
        """Advance the handshake of the connecting side."""
        result = client.handle_welcome(msg)
        if isinstance(result, handshake.HandshakeFault):
            self.close(result.reason)
            return
        proof, peer = result
        self.send(proof)
        self._open(peer)

    def _advance_server_handshake(
        self, server: handshake.ServerHandshake, msg: wire.Message
    ) -> None:
        """Advance the handshake of the accepting side."""
        result = (
            server.handle_hello(msg)
            if isinstance(msg, wire.Hello)
            else server.handle_proof(msg)
        )
        if isinstance(result, handshake.HandshakeFault):
            self.send(wire.Rejected(result.reason))
            self._flush()
            if self._transport is not None:
                self._close_reason = result.reason
                self._transport.close()
            return
        if isinstance(result, wire.Welcome):
            self.send(result)
            return
        self._open(result)

    def _open(self, peer: handshake.Peer) -> None:
        """Complete the handshake; from now on, full-size frames are accepted."""
        self.peer = peer
        self._reader.max_frame_bytes = frames.MAX_FRAME_BYTES
        self._owner.on_open(self)
        self.send(self._owner.make_heartbeat())

    def _tick(self) -> None:
        """Send a heartbeat if one is due; close the link if the peer is silent.

        The link is also closed if this process was suspended between two ticks, since
        its state is then out of date.
        """
        if self._is_closed:
            return
        now = self._loop.time()
        if now - self._ticked_at > MAX_TICK_GAP_S:
            self.close("this process was paused")
            return
        self._ticked_at = now
        self._timer = self._loop.call_later(HEARTBEAT_BUSY_PERIOD_S, self._tick)
        if self.peer is None:
            if now - self._opened_at > HANDSHAKE_TIMEOUT_S:
                self.close("the handshake took too long")
            return
        busy = self._owner.is_busy(self)
        if not busy:
            self._busy_since = now
        # After requests start, the next heartbeat may still follow the idle period.
        silent_since = (
            max(self._received_at, self._busy_since) if busy else self._received_at
        )
        if now - silent_since > (
            SILENCE_LIMIT_BUSY_S if busy else SILENCE_LIMIT_IDLE_S
        ):
            self.close("the peer was silent")
            return
        if self._is_heartbeat_due(now, busy):
            self._reported_at = now
            self.send(self._owner.make_heartbeat())

    def _is_heartbeat_due(self, now: float, busy: bool) -> bool:
        """Return True if the peer needs a sign of liveness or a load report.

        Any message shows liveness. The accepting side also reports its load in
        heartbeats, since answers do not contain it.
        """
        slack_s = HEARTBEAT_BUSY_PERIOD_S / 2
        period_s = HEARTBEAT_BUSY_PERIOD_S if busy else HEARTBEAT_IDLE_PERIOD_S
        if now - self._sent_at >= period_s - slack_s:
            return True
        needs_load_report = busy and self._server is not None
        return (
            needs_load_report
            and now - self._reported_at >= LOAD_REPORT_PERIOD_S - slack_s
        )

    def _report_closed(self, reason: str) -> None:
        """Stop the timer and report the end of the connection, once."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._owner.on_closed(self, reason)
