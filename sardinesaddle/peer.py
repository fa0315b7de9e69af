"""An entry's connection to one sidecar, and the attempts that depend on it.

The peer keeps one link open, replaces it when it is silent or does not acknowledge
a request in time, and carries every open attempt over to the new link: an attempt
that had left is resumed at the offset that the entry holds, one that had not is
submitted. A sidecar with another incarnation cannot know the old attempts, so they
are reported as lost.
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
    """The answer's status and headers arrived."""

    status: int
    headers: list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class DataReceived:
    """Body bytes arrived, in order and without a gap."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnded:
    """The answer is whole; the digest covers all of its bytes."""

    length: int
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRefused:
    """The sidecar refused the attempt."""

    refusal: errorcodes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLost:
    """The sidecar that had the attempt is gone for good."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLost:
    """The connection that carried the attempt was lost; the peer reconnects."""


Event = (
    HeadReceived | DataReceived | AnswerEnded | AttemptRefused | TargetLost | LinkLost
)


class Attempt:
    """One attempt as its entry sees it."""

    __slots__ = (
        "incarnation",
        "is_accepted",
        "is_head_received",
        "mailbox",
        "number",
        "offset",
        "sent_at",
        "submit",
        "window_end",
    )

    def __init__(self, submit: wire.Submit, events: mailbox.Mailbox[Event]) -> None:
        self.number = submit.attempt
        self.submit = submit
        self.mailbox = events
        self.offset = submit.start_offset
        self.window_end = submit.start_offset + submit.window_bytes
        self.incarnation = 0
        self.is_accepted = False
        self.is_head_received = False
        self.sent_at = 0.0


class PeerListener(abc.ABC):
    """What a peer reports besides attempts."""

    @abc.abstractmethod
    def on_peer_message(self, peer: "SidecarPeer", msg: wire.Message) -> None:
        """Handle a message that belongs to no attempt."""

    @abc.abstractmethod
    def make_heartbeat(self) -> wire.Heartbeat:
        """Return this process's state."""


class SidecarPeer(link.LinkOwner):
    """Keeps a link to one sidecar."""

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
        # When a question was sent that the sidecar answers at once, if one is open.
        self._request_sent_at = -1.0

    def start(self) -> None:
        """Open the first connection."""
        self._schedule_connect(0.0)
        self._timer = self._loop.call_later(CHECK_PERIOD_S, self._check_timeouts)

    def stop(self) -> None:
        """Close the connection for good."""
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
        """Send an attempt, at once or when the link is open."""
        self.attempts[attempt.number] = attempt
        self.view.in_flight += 1
        if self._link is not None and self._link.is_open:
            self._send_attempt(self._link, attempt)

    def _send_attempt(self, current: link.Link, attempt: Attempt) -> None:
        """Send an attempt for the first time."""
        attempt.incarnation = self.view.incarnation
        attempt.sent_at = self._loop.time()
        current.send(attempt.submit)

    def extend_window(self, attempt: Attempt) -> None:
        """Take note that the caller took bytes; let the sidecar send more."""
        if attempt.window_end - attempt.offset > WINDOW_BYTES - CREDIT_STEP_BYTES:
            return
        attempt.window_end = attempt.offset + WINDOW_BYTES
        self.send(wire.Credit(attempt.number, attempt.offset, attempt.window_end))

    def finish(self, attempt: Attempt, is_complete: bool) -> None:
        """Forget an attempt; acknowledge its answer or cancel it."""
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
        """Send a question; a link that brings no answer in time is replaced."""
        if self.send(msg) and self._request_sent_at < 0:
            self._request_sent_at = self._loop.time()

    def send(self, msg: wire.Message) -> bool:
        """Send a message if the link is open."""
        if self._link is None or not self._link.is_open:
            return False
        self._link.send(msg)
        return True

    # The link.

    def _schedule_connect(self, delay_s: float) -> None:
        """Open a connection after a delay."""
        if not self._is_stopped:
            self._task = self._loop.create_task(self._connect(delay_s))

    async def _connect(self, delay_s: float) -> None:
        """Open one connection; its end leads to the next."""
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
        """Carry the open attempts over to the new link."""
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
                attempt.window_end = attempt.offset + WINDOW_BYTES
                opened.send(
                    wire.Resume(attempt.number, attempt.offset, attempt.window_end)
                )

    def on_closed(self, closed: link.Link, reason: str) -> None:
        """Open another connection; tell the attempts."""
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
        """Replace the link when it does not acknowledge a request in time."""
        self._timer = self._loop.call_later(CHECK_PERIOD_S, self._check_timeouts)
        current = self._link
        if current is None or not current.is_open:
            return
        overdue_before = self._loop.time() - ACKNOWLEDGE_TIMEOUT_S
        if 0 <= self._request_sent_at < overdue_before:
            current.close("a question was not answered in time")
            return
        for attempt in self.attempts.values():
            is_overdue = attempt.sent_at and attempt.sent_at < overdue_before
            if is_overdue and not attempt.is_accepted:
                current.close("a request was not acknowledged in time")
                return

    def is_busy(self, current: link.Link) -> bool:
        """Tell whether attempts depend on the link."""
        return bool(self.attempts)

    def make_heartbeat(self) -> wire.Heartbeat:
        """Return this process's state."""
        return self._listener.make_heartbeat()

    def count_bytes(self) -> tuple[int, int]:
        """Return the bytes received and sent on all links to this peer."""
        current_in = self._link.bytes_in if self._link is not None else 0
        current_out = self._link.bytes_out if self._link is not None else 0
        return self.bytes_in + current_in, self.bytes_out + current_out

    # Messages.

    def on_message(self, current: link.Link, msg: wire.Message) -> None:
        """Pass a message to its attempt, or to the listener."""
        if current is not self._link:
            return
        if isinstance(msg, wire.Data):
            self._handle_data(msg)
        elif isinstance(msg, wire.Heartbeat):
            self._handle_heartbeat(msg)
        elif isinstance(msg, wire.LeaseReply):
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
        """Take body bytes that continue what the attempt holds."""
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
        """Turn a message into an event of its attempt."""
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
        """Update what is known of the target."""
        self.view.config_version = msg.config_version
        self.view.update_from_heartbeat(
            self._loop.time(),
            msg.uptime_ms,
            msg.running + msg.queued,
            msg.wait_ms / 1000.0,
            msg.is_leaving,
        )
        self._listener.on_peer_message(self, msg)
