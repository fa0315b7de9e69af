"""An entry's connection to one sidecar, and the attempts that use it.

The peer keeps one link open. It replaces a link that is silent or on which a request
is not acknowledged in time. Open attempts move to the new link: an attempt that was
sent before is resumed at the offset up to which the entry has the answer; one that was
not sent is submitted. A sidecar with another incarnation has restarted and does not
have the old attempts, so they are reported as lost.
"""

import abc
import asyncio
import dataclasses
import typing

import loguru

from sardinesaddle import errorcodes, handshake, link, mailbox, membership, wire

ACKNOWLEDGE_TIMEOUT_S: typing.Final = 1.0
RECONNECT_MIN_DELAY_S: typing.Final = 0.05
RECONNECT_MAX_DELAY_S: typing.Final = 2.0
CHECK_PERIOD_S: typing.Final = 0.25
WINDOW_BYTES: typing.Final = 128 * 1024
CREDIT_STEP_BYTES: typing.Final = WINDOW_BYTES // 2


@dataclasses.dataclass(frozen=True, slots=True)
class HeadReceived:
    """The status and headers of the answer arrived."""

    status: int
    headers: list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class DataReceived:
    """Body bytes arrived, in order and without a gap."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnded:
    """The sidecar sent the end of the answer; the digest covers all of its bytes."""

    length: int
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRefused:
    """The sidecar refused the attempt."""

    refusal: errorcodes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLost:
    """The attempt cannot be resumed: the sidecar restarted or this peer stopped."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLost:
    """The connection used by the attempt was lost; the peer reconnects."""


Event = (
    HeadReceived | DataReceived | AnswerEnded | AttemptRefused | TargetLost | LinkLost
)


class Attempt:
    """The entry's state of one attempt.

    ``offset`` is the end of the bytes received; ``send_limit`` is the last one
    sent to the sidecar. ``sent_at`` is 0 until the attempt is submitted.
    """

    __slots__ = (
        "incarnation",
        "is_accepted",
        "is_head_received",
        "mailbox",
        "number",
        "offset",
        "sent_at",
        "submit",
        "send_limit",
    )

    def __init__(self, submit: wire.Submit, events: mailbox.Mailbox[Event]) -> None:
        self.number = submit.attempt
        self.submit = submit
        self.mailbox = events
        self.offset = submit.start_offset
        self.send_limit = submit.start_offset + submit.window_bytes
        self.incarnation = 0
        self.is_accepted = False
        self.is_head_received = False
        self.sent_at = 0.0


class PeerListener(abc.ABC):
    """Receives messages that belong to no attempt, and provides heartbeats."""

    @abc.abstractmethod
    def on_peer_message(self, peer: "SidecarPeer", msg: wire.Message) -> None:
        """Handle a message that belongs to no attempt."""

    @abc.abstractmethod
    def make_heartbeat(self) -> wire.Heartbeat:
        """Return a heartbeat with this process's state."""


class SidecarPeer(link.LinkOwner):
    """Keeps a link to one sidecar open and runs attempts over it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: PeerListener,
        view: membership.TargetView,
        host: str,
        port: int,
        hello: wire.Hello,
        secret: bytes,
    ) -> None:
        self._loop = loop
        self._listener = listener
        self._hello = hello
        self._secret = secret
        self._link: link.Link | None = None
        self._generation = 0
        self._failures = 0
        self._is_stopped = False
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.view = view
        self.host = host
        self.port = port
        self.attempts: dict[int, Attempt] = {}
        self.bytes_in = 0
        self.bytes_out = 0
        # Send time of the oldest unanswered request made with send_request; -1 if none.
        self._request_sent_at = -1.0

    def start(self) -> None:
        """Connect, and start checking for overdue acknowledgements."""
        self._schedule_connect(0.0)
        self._timer = self._loop.call_later(CHECK_PERIOD_S, self._check_timeouts)

    def stop(self) -> None:
        """Close the connection and report all attempts as lost."""
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
        if self._link is not None:
            self._link.close("this process is stopping")
        for attempt in list(self.attempts.values()):
            attempt.mailbox.put(TargetLost())

    # Attempts.

    def submit(self, attempt: Attempt) -> None:
        """Register an attempt and send it as soon as the link is open."""
        self.attempts[attempt.number] = attempt
        self.view.in_flight += 1
        if self._link is not None and self._link.is_open:
            self._send_attempt(self._link, attempt)

    def _send_attempt(self, current: link.Link, attempt: Attempt) -> None:
        """Submit an attempt to the sidecar and record its incarnation."""
        attempt.incarnation = self.view.incarnation
        attempt.sent_at = self._loop.time()
        current.send(attempt.submit)

    def extend_window(self, attempt: Attempt) -> None:
        """Extend the send window once ``CREDIT_STEP_BYTES`` of it have been used."""
        if attempt.send_limit - attempt.offset > WINDOW_BYTES - CREDIT_STEP_BYTES:
            return
        attempt.send_limit = attempt.offset + WINDOW_BYTES
        self.send(wire.Credit(attempt.number, attempt.offset, attempt.send_limit))

    def finish(self, attempt: Attempt, is_complete: bool) -> None:
        """Remove an attempt: acknowledge a full answer or a refusal, or cancel it."""
        if self.attempts.pop(attempt.number, None) is None:
            return
        self.view.in_flight -= 1
        if not attempt.sent_at:
            return
        if is_complete:
            offset = attempt.offset
            self.send(wire.Credit(attempt.number, offset, offset))
        else:
            self.send(wire.Cancel(attempt.number))

    def send_request(self, msg: wire.Message) -> None:
        """Send a message that the sidecar replies to at once.

        The link is replaced if no reply arrives within ``ACKNOWLEDGE_TIMEOUT_S``.
        """
        if self.send(msg) and self._request_sent_at < 0:
            self._request_sent_at = self._loop.time()

    def send(self, msg: wire.Message) -> bool:
        """Send a message if the link is open; return False if it is not."""
        if self._link is None or not self._link.is_open:
            return False
        self._link.send(msg)
        return True

    # The link.

    def _schedule_connect(self, delay_s: float) -> None:
        """Start a connection attempt after a delay, unless the peer is stopped."""
        if not self._is_stopped:
            self._task = self._loop.create_task(self._connect(delay_s))

    async def _connect(self, delay_s: float) -> None:
        """Open one connection; when it ends, ``on_closed`` schedules the next."""
        await asyncio.sleep(delay_s)
        self._generation += 1
        hello = wire.Hello(
            self._hello.version,
            self._hello.name,
            self._hello.incarnation,
            self._generation,
            self._hello.nonce,
        )
        client = handshake.ClientHandshake(self._secret, hello, self.view.name)
        new_link = link.Link(self, self._loop, client=client)
        self._link = new_link
        try:
            async with asyncio.timeout(link.HANDSHAKE_TIMEOUT_S):
                await self._loop.create_connection(
                    lambda: new_link, self.host, self.port
                )
        except OSError as exc:
            new_link.close(f"cannot connect: {exc}")

    def on_open(self, opened: link.Link) -> None:
        """Submit, resume or report as lost every open attempt."""
        assert opened.peer is not None
        self._failures = 0
        self._request_sent_at = -1.0
        self.view.mark_connected(self._loop.time(), opened.peer.incarnation)
        for attempt in list(self.attempts.values()):
            if not attempt.sent_at:
                self._send_attempt(opened, attempt)
            elif attempt.incarnation != opened.peer.incarnation:
                attempt.mailbox.put(TargetLost())
            else:
                attempt.sent_at = self._loop.time()
                attempt.is_accepted = False
                attempt.send_limit = attempt.offset + WINDOW_BYTES
                opened.send(
                    wire.Resume(attempt.number, attempt.offset, attempt.send_limit)
                )

    def on_closed(self, closed: link.Link, reason: str) -> None:
        """Report the loss to the open attempts and reconnect after a backoff."""
        self.bytes_in += closed.bytes_in
        self.bytes_out += closed.bytes_out
        if closed is not self._link:
            return
        self.view.mark_disconnected()
        if not self._is_stopped:
            loguru.logger.debug(
                "event=link_closed peer={} reason={!r}", self.view.name, reason
            )
        for attempt in list(self.attempts.values()):
            attempt.mailbox.put(LinkLost())
        self._failures += 1
        delay_s = min(
            RECONNECT_MIN_DELAY_S * 2 ** (self._failures - 1), RECONNECT_MAX_DELAY_S
        )
        self._schedule_connect(delay_s)

    def _check_timeouts(self) -> None:
        """Close the link if a request is not acknowledged in time.

        ``on_closed`` then opens another.
        """
        self._timer = self._loop.call_later(CHECK_PERIOD_S, self._check_timeouts)
        current = self._link
        if current is None or not current.is_open:
            return
        overdue_before = self._loop.time() - ACKNOWLEDGE_TIMEOUT_S
        if 0 <= self._request_sent_at < overdue_before:
            current.close("a control request was not answered in time")
            return
        for attempt in self.attempts.values():
            is_overdue = attempt.sent_at and attempt.sent_at < overdue_before
            if is_overdue and not attempt.is_accepted:
                current.close("a request was not acknowledged in time")
                return

    def is_busy(self, current: link.Link) -> bool:
        """Return True if there are open attempts."""
        return bool(self.attempts)

    def make_heartbeat(self) -> wire.Heartbeat:
        """Return a heartbeat with this process's state."""
        return self._listener.make_heartbeat()

    def count_bytes(self) -> tuple[int, int]:
        """Return the bytes received and sent on all links to this peer."""
        current_in = self._link.bytes_in if self._link is not None else 0
        current_out = self._link.bytes_out if self._link is not None else 0
        return self.bytes_in + current_in, self.bytes_out + current_out

    # Messages.

    def on_message(self, current: link.Link, msg: wire.Message) -> None:
        """Pass a message to its attempt, or to the listener if it belongs to none."""
        if current is not self._link:
            return
        if isinstance(msg, wire.Data):
            self._handle_data(msg)
        elif isinstance(msg, wire.Heartbeat):
            self._handle_heartbeat(msg)
        elif isinstance(msg, wire.RateLeaseReply):
            self._request_sent_at = -1.0
            self._listener.on_peer_message(self, msg)
        elif isinstance(msg, wire.Accepted | wire.Head | wire.End | wire.Refused):
            attempt = self.attempts.get(msg.attempt)
            if attempt is not None:
                attempt.is_accepted = True
                self._handle_answer(attempt, msg)
        else:
            self._listener.on_peer_message(self, msg)

    def _handle_data(self, msg: wire.Data) -> None:
        """Append body bytes at the attempt's offset.

        Bytes that were received before, as after a resume, are skipped. Data after a
        gap is ignored.
        """
        attempt = self.attempts.get(msg.attempt)
        if attempt is None:
            return
        attempt.is_accepted = True
        skip = attempt.offset - msg.offset
        if skip < 0 or skip >= len(msg.data):
            return
        data = msg.data[skip:]
        attempt.offset += len(data)
        attempt.mailbox.put(DataReceived(data))

    def _handle_answer(
        self,
        attempt: Attempt,
        msg: wire.Accepted | wire.Head | wire.End | wire.Refused,
    ) -> None:
        """Pass an answer message to its attempt as an event."""
        if isinstance(msg, wire.Head):
            if not attempt.is_head_received:
                attempt.is_head_received = True
                attempt.mailbox.put(HeadReceived(msg.status, msg.headers))
        elif isinstance(msg, wire.End):
            attempt.mailbox.put(AnswerEnded(msg.length, msg.digest))
        elif isinstance(msg, wire.Refused):
            code = errorcodes.REGISTRY.get(msg.code, errorcodes.TARGET_FAILED)
            refusal = errorcodes.Refusal(
                code,
                errorcodes.Ran(msg.ran),
                msg.detail,
                msg.retry_after_ms / 1000.0,
            )
            attempt.mailbox.put(AttemptRefused(refusal))

    def _handle_heartbeat(self, msg: wire.Heartbeat) -> None:
        """Store the target's reported state, and notify the listener."""
        self.view.config_version = msg.config_version
        self.view.update_from_heartbeat(
            self._loop.time(),
            msg.uptime_ms,
            msg.running + msg.queued,
            msg.wait_ms / 1000.0,
            msg.is_draining,
        )
        self._listener.on_peer_message(self, msg)
