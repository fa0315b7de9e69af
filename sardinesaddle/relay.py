"""Runs a request at its entry: sends attempts to targets and passes on the answer.

For each attempt, the relay asks the router for a target, submits the request to the
target's sidecar and passes the answer to a sink as it arrives. ``dispatch.Dispatch``
decides on retries and refusals.
"""

import abc
import asyncio
import collections.abc
import random
import typing

import xxhash

from sardinesaddle import (
    callcontext,
    dispatch,
    errorcodes,
    keyowners,
    keys,
    mailbox,
    membership,
    metrics,
    peer,
    peers,
    retries,
    router,
    table,
    tracing,
    wire,
)

MAX_RECONNECT_WAIT_S: typing.Final = 15.0
BUFFER_LIMIT_BYTES: typing.Final = 64 * 1024
EVENT_STREAM_TYPE: typing.Final = "text/event-stream"
UNFORWARDED_HEADERS: typing.Final = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "traceparent",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-deadline-ms",
        "x-priority",
        "x-resume-offset",
    }
)


class ResponseSink(abc.ABC):
    """Receives the answer to one request and writes it to the caller."""

    @abc.abstractmethod
    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the status and headers; body bytes follow through ``write``."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send body bytes; block while the caller does not read."""

    @abc.abstractmethod
    async def finish(
        self, status: int, headers: list[tuple[str, str]], data: bytes
    ) -> None:
        """Send the last body bytes, or the whole answer if it has not begun."""

    @abc.abstractmethod
    async def refuse(self, refusal: errorcodes.Refusal) -> None:
        """Send a refusal; if an event stream has begun, send it as an error event."""


class Relay:
    """Runs the requests of one entry, with a retry budget for each service."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sidecar_peers: peers.Peers,
        target_router: router.Router,
        rng: random.Random,
        entry_metrics: metrics.EntryMetrics,
        tracer: tracing.Tracer,
        on_target_lost: collections.abc.Callable[[callcontext.CallContext], None],
    ) -> None:
        self.on_target_lost = on_target_lost
        self._loop = loop
        self._peers = sidecar_peers
        self._router = target_router
        self._rng = rng
        self._metrics = entry_metrics
        self._tracer = tracer
        self._budgets: dict[str, retries.RetryBudget] = {}
        self._next_attempt = 1

    async def run(
        self, tab: table.Table, req: callcontext.CallContext, sink: ResponseSink
    ) -> None:
        """Run a request until the sink has its final answer or refusal."""
        assert req.service is not None
        service = req.service.service
        budget = self._budgets.get(service)
        if budget is None:
            budget = retries.RetryBudget()
            self._budgets[service] = budget
        state = dispatch.Dispatch(
            req.is_idempotent, bool(req.key_text), req.deadline_at, budget
        )
        run = RequestRun(self, tab, req, sink, state)
        try:
            await run.run()
        finally:
            run.end_attempt()

    def choose_peer(
        self, tab: table.Table, req: callcontext.CallContext, state: dispatch.Dispatch
    ) -> peer.SidecarPeer | None:
        """Return the peer for the next attempt, or None if no target is usable.

        A request with a key may run only on the key's owner.
        """
        assert req.service is not None and req.limit is not None
        now = self._loop.time()
        if req.key is not None:
            owner = self._find_key_owner(tab, req.key)
            owner_peer = self._peers.connect(owner) if owner else None
            return (
                owner_peer
                if owner_peer is not None and owner_peer.view.is_connected
                else None
            )
        query = router.TargetQuery(
            req.service.service,
            req.prefix,
            frozenset(state.excluded_targets),
            list_place_weights(tab, req),
            (self._rng.random(), self._rng.random(), self._rng.random()),
        )
        view = self._router.choose_target(now, query)
        return self._peers.by_name.get(view.name) if view is not None else None

    def _find_key_owner(self, tab: table.Table, key: keys.Key) -> str:
        """Return the only target that may run a call with this key, or ''."""
        if isinstance(key, keys.MintedKey):
            return key.target
        return keyowners.compute_owner(
            key, keyowners.list_active_targets(tab, key.service)
        )

    def make_submit(
        self,
        tab: table.Table,
        req: callcontext.CallContext,
        offset: int,
        traceparent: str,
    ) -> wire.Submit:
        """Return the message that submits the next attempt."""
        assert req.service is not None and req.limit is not None
        attempt_number = self._next_attempt
        self._next_attempt += 1
        remaining_s = req.deadline_at - self._loop.time()
        return wire.Submit(
            attempt_number,
            req.service.service,
            req.account,
            req.method,
            req.path,
            [h for h in req.headers if h[0].lower() not in UNFORWARDED_HEADERS],
            req.body,
            req.key_text,
            tab.revision,
            req.limit.priority,
            max(int(remaining_s * 1000), 0),
            offset,
            peer.WINDOW_BYTES,
            req.is_idempotent,
            req.fingerprint,
            traceparent,
            req.is_suspect,
        )

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop of this entry."""
        return self._loop

    @property
    def fleet(self) -> membership.Fleet:
        """The state of the targets as this entry sees it."""
        return self._peers.fleet

    @property
    def entry_metrics(self) -> metrics.EntryMetrics:
        """The entry's metrics."""
        return self._metrics

    @property
    def tracer(self) -> tracing.Tracer:
        """The entry's tracer."""
        return self._tracer

    def random_unit(self) -> float:
        """Return a uniform random number in [0, 1)."""
        return self._rng.random()


class RequestRun:
    """Runs one request; holds its current attempt and the answer received so far.

    Body bytes are buffered until the answer is complete, so that a failed attempt
    can still be replaced by another. Event streams, and answers over
    ``BUFFER_LIMIT_BYTES``, are passed on as they arrive.
    """

    def __init__(
        self,
        relay: Relay,
        tab: table.Table,
        req: callcontext.CallContext,
        sink: ResponseSink,
        state: dispatch.Dispatch,
    ) -> None:
        self._relay = relay
        self._tab = tab
        self._req = req
        self._sink = sink
        self._state = state
        self._loop = relay.loop
        self._events: mailbox.Mailbox[peer.Event] = mailbox.Mailbox(relay.loop)
        self._peer: peer.SidecarPeer | None = None
        self._attempt: peer.Attempt | None = None
        self._attempt_sent_at = 0.0
        self._link_lost_at = -1.0
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._buffered = bytearray()
        self._digest = xxhash.xxh64()
        self._is_stream = False
        self._span: tracing.Span | None = None

    async def run(self) -> None:
        """Send attempts until one is answered completely or a refusal is final."""
        decision: dispatch.Decision | None = dispatch.Decision(dispatch.Step.SEND)
        while decision is not None:
            if decision.step is dispatch.Step.FINISH:
                assert decision.refusal is not None
                await self._sink.refuse(decision.refusal)
                return
            if decision.step is dispatch.Step.SEND:
                decision = await self._send_attempt(decision.delay_s)
                continue
            decision = await self._handle_next_event()

    def end_attempt(self, is_complete: bool = False) -> None:
        """End the current attempt: acknowledge a complete answer, or cancel it."""
        if self._peer is not None and self._attempt is not None:
            self._peer.finish(self._attempt, is_complete)
        if self._span is not None:
            self._span.set_attribute("whole", is_complete)
            self._span.end()
            self._span = None
        self._peer = None
        self._attempt = None

    async def _send_attempt(self, delay_s: float) -> dispatch.Decision:
        """End the current attempt and send the next one after a delay."""
        self.end_attempt()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        now = self._loop.time()
        if now >= self._req.deadline_at:
            return self._state.on_deadline()
        chosen = self._relay.choose_peer(self._tab, self._req, self._state)
        if chosen is None:
            return self._state.on_no_target(now, self._relay.random_unit())
        assert self._req.service is not None
        if self._state.attempts:
            self._relay.entry_metrics.record_retry(self._req.service.service)
        self._span = self._relay.tracer.start("entry.attempt", self._req.traceparent)
        self._span.set_attribute("target", chosen.view.name)
        submit = self._relay.make_submit(
            self._tab, self._req, self._req.offset, self._span.traceparent
        )
        self._events = mailbox.Mailbox(self._loop)
        self._reset_answer()
        self._peer = chosen
        self._attempt = peer.Attempt(submit, self._events)
        self._attempt_sent_at = now
        self._link_lost_at = -1.0
        self._state.on_sent(chosen.view.name)
        chosen.submit(self._attempt)
        return dispatch.WAIT

    def _reset_answer(self) -> None:
        """Discard the partial answer of a failed attempt."""
        self._status = 0
        self._headers = []
        self._buffered.clear()
        self._digest = xxhash.xxh64()

    def _compute_wait_deadline(self) -> float:
        """Return the deadline, in loop time, of the wait for the next event.

        While the link is lost, the wait is shorter if another target may be tried.
        """
        deadline_at = self._req.deadline_at
        if self._link_lost_at < 0:
            return deadline_at
        limit_s = MAX_RECONNECT_WAIT_S
        if self._state.may_switch_target():
            limit_s = dispatch.RECONNECT_WAIT_S
        return min(deadline_at, self._link_lost_at + limit_s)

    async def _handle_next_event(self) -> dispatch.Decision | None:
        """Handle the next event; return None if the answer is complete.

        Without an event in time, the caller's deadline has passed, or the target
        counts as lost because its link was not restored.
        """
        event = await self._events.get(self._compute_wait_deadline())
        now = self._loop.time()
        if event is None:
            if now >= self._req.deadline_at:
                return self._state.on_deadline()
            return self._handle_target_loss(now)
        if isinstance(event, peer.LinkLost):
            if self._link_lost_at < 0:
                self._link_lost_at = now
            return dispatch.WAIT
        self._link_lost_at = -1.0
        if isinstance(event, peer.HeadReceived):
            return await self._handle_head(now, event)
        if isinstance(event, peer.DataReceived):
            return await self._handle_data(event)
        if isinstance(event, peer.AnswerEnded):
            return await self._handle_end(now, event)
        if isinstance(event, peer.AttemptRefused):
            return self._handle_refusal(now, event.refusal)
        self._relay.on_target_lost(self._req)
        return self._handle_target_loss(now)

    def _handle_target_loss(self, now: float) -> dispatch.Decision:
        """Count a failure of the attempt's target, and decide what follows.

        An answer of the wrong length or digest counts as such a failure.
        """
        if self._peer is not None:
            self._relay.fleet.record_failure(now, self._peer.view)
        return self._state.on_attempt_lost(now, self._relay.random_unit())

    async def _handle_head(
        self, now: float, event: peer.HeadReceived
    ) -> dispatch.Decision:
        """Store the status and headers; pass them on at once for an event stream."""
        self._status = event.status
        self._headers = event.headers
        content_types = [v for n, v in event.headers if n.lower() == "content-type"]
        self._is_stream = any(
            content_type.startswith(EVENT_STREAM_TYPE) for content_type in content_types
        )
        assert self._req.service is not None
        self._relay.entry_metrics.record_first_byte(
            self._req.service.service, now - self._req.arrived_at
        )
        if self._is_stream:
            await self._start_answer()
        return dispatch.WAIT

    async def _start_answer(self) -> None:
        """Send the head and the buffered bytes.

        From then on, no other attempt can answer the request.
        """
        if not self._state.has_answer_started:
            self._state.on_answer_started()
            await self._write_before_deadline(
                self._sink.begin(self._status, self._headers)
            )
        if self._buffered:
            data = bytes(self._buffered)
            self._buffered.clear()
            await self._write_before_deadline(self._sink.write(data))

    async def _write_before_deadline(
        self, pending_write: collections.abc.Coroutine[None, None, None]
    ) -> None:
        """Await a write to the caller; raise ``TimeoutError`` at its deadline."""
        async with asyncio.timeout_at(self._req.deadline_at):
            await pending_write

    async def _handle_data(self, event: peer.DataReceived) -> dispatch.Decision:
        """Buffer or pass on body bytes, and extend the sidecar's send window."""
        self._digest.update(event.data)
        self._buffered += event.data
        if self._is_stream or len(self._buffered) > BUFFER_LIMIT_BYTES:
            try:
                await self._start_answer()
            except TimeoutError:
                return self._state.on_deadline()
        if self._peer is not None and self._attempt is not None:
            self._peer.extend_window(self._attempt)
        return dispatch.WAIT

    async def _handle_end(
        self, now: float, event: peer.AnswerEnded
    ) -> dispatch.Decision | None:
        """Check length and digest, then send the rest of the answer.

        The digest covers the whole answer, so it is checked only if the answer was
        received from offset 0.
        """
        assert self._attempt is not None and self._peer is not None
        is_answer_complete = self._attempt.offset == event.length
        if self._req.offset == 0:
            is_answer_complete = (
                is_answer_complete and self._digest.intdigest() == event.digest
            )
        if not is_answer_complete:
            return self._handle_target_loss(now)
        service = self._req.service
        assert service is not None
        view = self._peer.view
        if self._status < 500:
            self._relay.fleet.record_success(now, view, now - self._attempt_sent_at)
        else:
            self._relay.fleet.record_failure(now, view)
        self.end_attempt(is_complete=True)
        await self._sink.finish(self._status, self._headers, bytes(self._buffered))
        self._relay.entry_metrics.record_answer(
            service.service, self._status, now - self._req.arrived_at
        )
        return None

    def _handle_refusal(
        self, now: float, refusal: errorcodes.Refusal
    ) -> dispatch.Decision:
        """Acknowledge a refusal by the sidecar and decide what follows."""
        if refusal.code is errorcodes.TARGET_FAILED and self._peer is not None:
            self._relay.fleet.record_failure(now, self._peer.view)
        if self._peer is not None and self._attempt is not None:
            self._peer.finish(self._attempt, is_complete=True)
            self._attempt = None
        return self._state.on_refused(now, refusal, self._relay.random_unit())


def list_place_weights(
    tab: table.Table, req: callcontext.CallContext
) -> tuple[tuple[str, float], ...]:
    """Return the routing weight of each place for the call's account and service."""
    assert req.service is not None
    name = req.service.service
    places = {row.place for row in tab.list_service_targets(name)}
    weights = []
    for place in sorted(places):
        row = tab.find_limit(name, req.account, place)
        weights.append((place, 1.0 if row is None else row.weight))
    return tuple(weights)
