"""Carries out the dispatch of one request: attempts, answer, final refusal.

The relay is the coroutine of one request. It asks the router for a target, hands an
attempt to that target's peer, and passes the answer to a sink as it arrives. What to
do next is decided by ``dispatch.Dispatch``.
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

LOST_LIMIT_S: typing.Final = 15.0
HELD_BYTES: typing.Final = 64 * 1024
STREAM_TYPE: typing.Final = "text/event-stream"
HOP_HEADERS: typing.Final = frozenset(
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


class Sink(abc.ABC):
    """Where an answer goes."""

    @abc.abstractmethod
    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the status and headers."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send body bytes; wait while the caller does not read."""

    @abc.abstractmethod
    async def finish(
        self, status: int, headers: list[tuple[str, str]], data: bytes
    ) -> None:
        """Send the whole answer, or the end of one that has begun."""

    @abc.abstractmethod
    async def refuse(self, refusal: errorcodes.Refusal) -> None:
        """Send the refusal, as an event if the answer has begun."""


class Relay:
    """Runs requests for one entry."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        all_peers: peers.Peers,
        routes: router.Router,
        rng: random.Random,
        counts: metrics.EntryMetrics,
        tracer: tracing.Tracer,
        on_target_lost: collections.abc.Callable[[callcontext.CallContext], None],
    ) -> None:
        self.on_target_lost = on_target_lost
        self._loop = loop
        self._peers = all_peers
        self._router = routes
        self._rng = rng
        self._metrics = counts
        self._tracer = tracer
        self._budgets: dict[str, retries.RetryBudget] = {}
        self._next_attempt = 1

    async def run(
        self, tab: table.Table, req: callcontext.CallContext, sink: Sink
    ) -> None:
        """Run a request until its final answer is with the sink."""
        assert req.service is not None
        service = req.service.service
        budget = self._budgets.get(service)
        if budget is None:
            budget = retries.RetryBudget()
            self._budgets[service] = budget
        state = dispatch.Dispatch(
            req.is_idempotent, bool(req.key_text), req.deadline_at, budget
        )
        run = Run(self, tab, req, sink, state)
        try:
            await run.run()
        finally:
            run.leave()

    def choose_peer(
        self, tab: table.Table, req: callcontext.CallContext, state: dispatch.Dispatch
    ) -> peer.SidecarPeer | None:
        """Return the peer for the next attempt."""
        assert req.service is not None and req.limit is not None
        now = self._loop.time()
        if req.key is not None:
            name = self._find_home(tab, req.key)
            one = self._peers.connect(name) if name else None
            return one if one is not None and one.view.is_connected else None
        wish = router.TargetQuery(
            req.service.service,
            req.prefix,
            frozenset(state.excluded_targets),
            list_place_weights(tab, req),
            (self._rng.random(), self._rng.random(), self._rng.random()),
        )
        view = self._router.choose_target(now, wish)
        return self._peers.by_name.get(view.name) if view is not None else None

    def _find_home(self, tab: table.Table, key: keys.Key) -> str:
        """Return the only target that may run a keyed call."""
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
        """Return the message of the next attempt."""
        assert req.service is not None and req.limit is not None
        number = self._next_attempt
        self._next_attempt += 1
        budget_s = req.deadline_at - self._loop.time()
        return wire.Submit(
            number,
            req.service.service,
            req.account,
            req.method,
            req.path,
            [h for h in req.headers if h[0].lower() not in HOP_HEADERS],
            req.body,
            req.key_text,
            tab.revision,
            req.limit.priority,
            max(int(budget_s * 1000), 0),
            offset,
            peer.WINDOW_BYTES,
            req.is_idempotent,
            req.fingerprint,
            traceparent,
            req.is_suspect,
        )

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop that gives the time."""
        return self._loop

    @property
    def fleet(self) -> membership.Fleet:
        """The targets that are known."""
        return self._peers.fleet

    @property
    def counts(self) -> metrics.EntryMetrics:
        """The entry's metrics."""
        return self._metrics

    @property
    def tracer(self) -> tracing.Tracer:
        """The entry's tracer."""
        return self._tracer

    def draw(self) -> float:
        """Return a uniform random number in [0, 1)."""
        return self._rng.random()


class Run:
    """The coroutine state of one request."""

    def __init__(
        self,
        relay: Relay,
        tab: table.Table,
        req: callcontext.CallContext,
        sink: Sink,
        state: dispatch.Dispatch,
    ) -> None:
        self._relay = relay
        self._tab = tab
        self._req = req
        self._sink = sink
        self._state = state
        self._loop = relay.loop
        self._box: mailbox.Mailbox[peer.Event] = mailbox.Mailbox(relay.loop)
        self._peer: peer.SidecarPeer | None = None
        self._attempt: peer.Attempt | None = None
        self._attempt_at = 0.0
        self._silent_since = -1.0
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._held = bytearray()
        self._digest = xxhash.xxh64()
        self._is_stream = False
        self._span: tracing.Span | None = None

    async def run(self) -> None:
        """Send attempts until one gives the whole answer, or give up."""
        decision: dispatch.Decision | None = dispatch.Decision(dispatch.Step.SEND)
        while decision is not None:
            if decision.step is dispatch.Step.FINISH:
                assert decision.refusal is not None
                await self._sink.refuse(decision.refusal)
                return
            if decision.step is dispatch.Step.SEND:
                decision = await self._send(decision.delay_s)
                continue
            decision = await self._take_event()

    def leave(self, is_whole: bool = False) -> None:
        """Give up the current attempt, or acknowledge its answer."""
        if self._peer is not None and self._attempt is not None:
            self._peer.finish(self._attempt, is_whole)
        if self._span is not None:
            self._span.set("whole", is_whole)
            self._span.end()
            self._span = None
        self._peer = None
        self._attempt = None

    async def _send(self, delay_s: float) -> dispatch.Decision:
        """Send the next attempt."""
        self.leave()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        now = self._loop.time()
        if now >= self._req.deadline_at:
            return self._state.on_deadline()
        chosen = self._relay.choose_peer(self._tab, self._req, self._state)
        if chosen is None:
            return self._state.on_no_target(now, self._relay.draw())
        assert self._req.service is not None
        if self._state.attempts:
            self._relay.counts.add_retry(self._req.service.service)
        self._span = self._relay.tracer.start("entry.attempt", self._req.traceparent)
        self._span.set("target", chosen.view.name)
        submit = self._relay.make_submit(
            self._tab, self._req, self._req.offset, self._span.traceparent
        )
        self._box = mailbox.Mailbox(self._loop)
        self._reset_answer()
        self._peer = chosen
        self._attempt = peer.Attempt(submit, self._box)
        self._attempt_at = now
        self._silent_since = -1.0
        self._state.on_sent(chosen.view.name)
        chosen.submit(self._attempt)
        return dispatch.WAIT

    def _reset_answer(self) -> None:
        """Forget what a failed attempt had answered."""
        self._status = 0
        self._headers = []
        self._held.clear()
        self._digest = xxhash.xxh64()

    def _compute_patience(self) -> float:
        """Return until when to wait for the next event."""
        until = self._req.deadline_at
        if self._silent_since < 0:
            return until
        limit_s = LOST_LIMIT_S
        if self._state.may_switch_target():
            limit_s = dispatch.RECONNECT_WAIT_S
        return min(until, self._silent_since + limit_s)

    async def _take_event(self) -> dispatch.Decision | None:
        """Handle the next event; None means that the answer is whole."""
        event = await self._box.get(self._compute_patience())
        now = self._loop.time()
        if event is None:
            if now >= self._req.deadline_at:
                return self._state.on_deadline()
            return self._lose(now)
        if isinstance(event, peer.WentSilent):
            if self._silent_since < 0:
                self._silent_since = now
            return dispatch.WAIT
        self._silent_since = -1.0
        if isinstance(event, peer.Headed):
            return await self._take_head(now, event)
        if isinstance(event, peer.Arrived):
            return await self._take_data(event)
        if isinstance(event, peer.Ended):
            return await self._take_end(now, event)
        if isinstance(event, peer.WasRefused):
            return self._take_refusal(now, event.refusal)
        self._relay.on_target_lost(self._req)
        return self._lose(now)

    def _lose(self, now: float) -> dispatch.Decision:
        """Handle the loss of the target that had the attempt."""
        if self._peer is not None:
            self._relay.fleet.record_failure(now, self._peer.view)
        return self._state.on_attempt_lost(now, self._relay.draw())

    async def _take_head(self, now: float, event: peer.Headed) -> dispatch.Decision:
        """Take the status; begin at once only if the answer is a stream."""
        self._status = event.status
        self._headers = event.headers
        kinds = [v for n, v in event.headers if n.lower() == "content-type"]
        self._is_stream = any(kind.startswith(STREAM_TYPE) for kind in kinds)
        assert self._req.service is not None
        self._relay.counts.add_first_byte(
            self._req.service.service, now - self._req.arrived_at
        )
        if self._is_stream:
            await self._begin()
        return dispatch.WAIT

    async def _begin(self) -> None:
        """Send what is held; from now on no other attempt can answer."""
        if not self._state.has_answer_started:
            self._state.on_answer_started()
            await self._guard(self._sink.begin(self._status, self._headers))
        if self._held:
            data = bytes(self._held)
            self._held.clear()
            await self._guard(self._sink.write(data))

    async def _guard(self, coro: collections.abc.Coroutine[None, None, None]) -> None:
        """Write to the caller until its deadline."""
        async with asyncio.timeout_at(self._req.deadline_at):
            await coro

    async def _take_data(self, event: peer.Arrived) -> dispatch.Decision:
        """Take body bytes."""
        self._digest.update(event.data)
        self._held += event.data
        if self._is_stream or len(self._held) > HELD_BYTES:
            try:
                await self._begin()
            except TimeoutError:
                return self._state.on_deadline()
        if self._peer is not None and self._attempt is not None:
            self._peer.consume(self._attempt)
        return dispatch.WAIT

    async def _take_end(
        self, now: float, event: peer.Ended
    ) -> dispatch.Decision | None:
        """Check that the answer is whole and pass on the rest."""
        assert self._attempt is not None and self._peer is not None
        whole = self._attempt.offset == event.length
        if self._req.offset == 0:
            whole = whole and self._digest.intdigest() == event.digest
        if not whole:
            return self._lose(now)
        service = self._req.service
        assert service is not None
        view = self._peer.view
        if self._status < 500:
            self._relay.fleet.record_success(now, view, now - self._attempt_at)
        else:
            self._relay.fleet.record_failure(now, view)
        self.leave(is_whole=True)
        await self._sink.finish(self._status, self._headers, bytes(self._held))
        self._relay.counts.add_answer(
            service.service, self._status, now - self._req.arrived_at
        )
        return None

    def _take_refusal(
        self, now: float, refusal: errorcodes.Refusal
    ) -> dispatch.Decision:
        """Handle a refusal by the sidecar."""
        if refusal.code is errorcodes.TARGET_FAILED and self._peer is not None:
            self._relay.fleet.record_failure(now, self._peer.view)
        if self._peer is not None and self._attempt is not None:
            self._peer.finish(self._attempt, is_whole=True)
            self._attempt = None
        return self._state.on_refused(now, refusal, self._relay.draw())


def list_place_weights(
    tab: table.Table, req: callcontext.CallContext
) -> tuple[tuple[str, float], ...]:
    """Return the weight of each place for the call's account and service."""
    assert req.service is not None
    name = req.service.service
    places = {row.place for row in tab.list_service_targets(name)}
    weights = []
    for place in sorted(places):
        row = tab.find_limit(name, req.account, place)
        weights.append((place, 1.0 if row is None else row.weight))
    return tuple(weights)
