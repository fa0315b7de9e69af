"""Forwards a caller's request to a target and relays the response.

A request passes these steps: match the route, authenticate the account, set the
deadline, select a target, send the request and relay the response, and retry where
that is allowed. A request that may run at most once is retried only if the target
stated that it did not run it. The entry responds "not run" (503) only if nothing was
sent or every target stated that it did not run the request. If the outcome is
unknown, it responds 502 or 504. So it does when it stops, to all that still runs.

A request whose content has crashed several targets, at any entry, is refused; see
``crashledger``.

A stream that breaks off is resumed at another target after the last complete event if
its route allows that. Otherwise the caller's connection is aborted, so that the
response does not look complete.
"""

import asyncio
import collections.abc
import copy
import dataclasses
import random
import typing

import loguru

from sardinesaddle.direct import (
    callermemory,
    catalog,
    crashdetector,
    crashledger,
    entrystate,
    headercodec,
    httpexchange,
    nodemetrics,
    requestqueue,
    requestscheduler,
    requeststate,
    responserelay,
    responsetimes,
    retrybudget,
    returntimes,
    stopdeadline,
    targetlimits,
    targetpool,
    targetpresence,
    targetstate,
    upstream,
)
from sardinesaddle.direct.admission import admissionpart, sendconstraint

BODY_METHODS: typing.Final = frozenset({"POST", "PUT", "PATCH"})
# Two round trips and the retransmission of a lost packet.
CONNECT_TIMEOUT_S: typing.Final = 0.3
MAX_CONNECT_ATTEMPTS: typing.Final = 4
MAX_QUEUE_S: typing.Final = 1.5  # callers give up on a silent stream after 2 s
# Callers give up after 2 s of silence, and 1.2 s pass until a target's times out.
MAX_RESUME_WAIT_S: typing.Final = 0.8
LOWEST_PRIORITY: typing.Final = 9  # the engines' scale is from 0 to 9
# Clients return after up to a third of the time that they have left.
REPEAT_SHARE: typing.Final = 0.75
# A late response is worth about as much as one on time of a priority lower by this.
REPEAT_STEPS: typing.Final = 2
GROUP_RETURN_S: typing.Final = 3.2  # from the crash of a rank until its group is back
MAX_GROUP_WAIT_S: typing.Final = 6.0  # if it is not back then, suspects run anywhere
MIN_GROUP_WAIT_S: typing.Final = 0.5
CONTAINED_SPREAD_S: typing.Final = 0.5  # over which callers return to the group
MAX_LOGGED_PARTS: typing.Final = 8  # of a prompt
EVICTED: typing.Final = "memory"  # reason: there is no room for the request's body
MIN_REMAINING_S: typing.Final = 0.02  # with less time left no target can respond
# From a target's deadline to the end of this process: the target's statement that a
# request which waited in its queue was not run must still reach the caller.
STOP_LEAD_S: typing.Final = 0.1


class Forwarder:
    """Forwards the requests that an entry receives."""

    def __init__(
        self,
        entry_state: entrystate.EntryState,
        targets: targetpool.TargetPool,
        pool: upstream.ConnectionPool,
        header_codec: headercodec.HeaderCodec,
        bounds: entrystate.RequestBounds,
        entry_metrics: nodemetrics.EntryMetrics,
        rng: random.Random,
        crashes: crashdetector.CrashDetector,
        limits: targetlimits.TargetLimits,
        stop_deadline: stopdeadline.StopDeadline,
        on_target_leaving: collections.abc.Callable[[str, str], None],
        on_target_response: collections.abc.Callable[[targetstate.Target, float], None],
    ) -> None:
        self._entry_state = entry_state
        self._stop_deadline = stop_deadline
        self._on_target_response = on_target_response
        self._on_target_leaving = on_target_leaving
        self._limits = limits
        self.crashes = crashes
        self._header_codec = header_codec
        self._targets = targets
        self._pool = pool
        self._bounds = bounds
        self._metrics = entry_metrics
        self._rng = rng
        self.scheduler = requestscheduler.RequestScheduler(entry_state, targets, rng)
        self._retry_budgets: dict[str, retrybudget.RetryBudget] = {}
        self._return_times = returntimes.ReturnTimes()
        self._response_times = responsetimes.ResponseTimes()

    def set_bounds(self, bounds: entrystate.RequestBounds) -> None:
        """Apply new bounds; what was spent of the retry budgets still counts."""
        self._bounds = bounds
        for budget in self._retry_budgets.values():
            budget.set_limits(
                bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window_s
            )

    async def handle(
        self, req: requeststate.Request, responder: requeststate.Responder
    ) -> None:
        """Forward a request; send the caller the response or a refusal."""
        loop = asyncio.get_running_loop()
        state = self.resolve_request(req, self._rng)
        if isinstance(state, requeststate.Refusal):
            await self.refuse(req, responder, state, None)
            return
        self._limits.on_request(loop.time(), state.service)
        self._targets.admission.on_request(loop.time(), state.service, state.traits)
        budget = self._get_retry_budget(state.service)
        budget.on_request(loop.time())
        budget.on_entry_count(loop.time(), self._entry_state.count_entries())
        try:
            async with self._stop_deadline.timeout_at(state.deadline) as scope:
                req.holding.holder = BodyHolder(state, scope)
                refusal = await self._attempt_all(state, responder)
        except TimeoutError:
            refusal = self._make_timeout_refusal(state)
        except asyncio.CancelledError:
            self._log(req, state, "caller_left", 0)
            raise
        if refusal is not None:
            await self.refuse(req, responder, refusal, state)

    def _make_timeout_refusal(
        self, state: requeststate.RequestState
    ) -> requeststate.Refusal:
        """Return why a request has ended without a response, and with which status."""
        now = asyncio.get_running_loop().time()
        reason = "stopped" if now < state.deadline else "timeout"
        status = requeststate.STATUS_TIMEOUT
        if state.was_evicted:
            reason, status = EVICTED, requeststate.STATUS_OUTCOME_UNKNOWN
        if not state.may_have_run:
            status = requeststate.STATUS_NOT_RUN
        return requeststate.Refusal(status, reason, requeststate.RETRY_AFTER_SHORT_S)

    def match_request(
        self, req: requeststate.Request
    ) -> requeststate.RouteMatch | requeststate.Refusal:
        """Find the route, account and deadline by the head, or return a refusal."""
        current_catalog = self._entry_state.catalog
        if current_catalog is None:
            return refuse_not_run("no_configuration")
        is_config_stale = (
            self._entry_state.compute_config_age() > self._bounds.stale_age_s
            or self._entry_state.may_lack_config()
        )
        route = current_catalog.find_route(req.host, req.path)
        if route is None:
            if is_config_stale:
                return refuse_not_run(
                    "route_unknown_stale", requeststate.RETRY_AFTER_OUTAGE_S
                )
            return requeststate.Refusal(404, "no_route")
        key = req.metadata.api_key
        account = None if key is None else current_catalog.accounts.get(key)
        if current_catalog.requires_keys and not route.allows_anonymous:
            if self._entry_state.compute_config_age() > self._bounds.max_key_age_s:
                return refuse_not_run("keys_stale", requeststate.RETRY_AFTER_OUTAGE_S)
            if account is None:
                if is_config_stale:
                    return refuse_not_run(
                        "key_unknown_stale", requeststate.RETRY_AFTER_OUTAGE_S
                    )
                return requeststate.Refusal(401, "unknown_key")
        caller_timeout_s = req.metadata.timeout_s
        limit_s = route.timeout_s
        if caller_timeout_s is not None:
            limit_s = min(limit_s, caller_timeout_s)
        deadline = req.arrived_at + limit_s
        return requeststate.RouteMatch(route, account, deadline)

    def resolve_request(
        self, req: requeststate.Request, rng: random.Random
    ) -> requeststate.RequestState | requeststate.Refusal:
        """Find the route, service, account and deadline, or return a refusal."""
        match = self.match_request(req)
        if isinstance(match, requeststate.Refusal):
            return match
        route, account, deadline = match.route, match.account, match.deadline
        service = catalog.pick_service(route, rng.random())
        content_id = requeststate.compute_content_id(
            req.path, "" if account is None else account.name, req.body
        )
        fingerprint = crashledger.Fingerprint(content_id, req.metadata.prompt_parts)
        traits = make_traits(req, route, account, deadline)
        now = asyncio.get_running_loop().time()
        if self._targets.admission.is_return(now, service, content_id):
            traits = dataclasses.replace(traits, is_return=True)
        state = requeststate.RequestState(
            req,
            route,
            service,
            account,
            fingerprint,
            deadline,
            traits,
        )
        if state.may_run_twice:
            state.last_event = req.metadata.last_event_id
        return state

    def _get_retry_budget(self, service: str) -> retrybudget.RetryBudget:
        """Return the service's retry budget, created on first use."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self._bounds
            budget = retrybudget.RetryBudget(
                bounds.retry_ratio,
                bounds.retry_allowance,
                bounds.retry_window_s,
                self._entry_state.started_at,
                self._entry_state.is_first_start,
            )
            self._retry_budgets[service] = budget
        return budget

    async def _attempt_all(
        self, state: requeststate.RequestState, responder: requeststate.Responder
    ) -> requeststate.Refusal | None:
        """Try targets until one responds; return a refusal if none does."""
        last_error: requeststate.TargetError | None = None
        while True:
            refusal = self.crashes.find_refusal(state.fingerprint)
            is_too_late = refusal is None and self._would_be_cut(state)
            target = None
            if refusal is None and not is_too_late:
                target = await self._find_target(state)
                is_too_late = self._would_be_cut(state)
            if is_too_late:
                if target is not None:
                    self._end_attempt(state, target)
                return await self._finish_without_response(
                    state, responder, last_error, "stopping"
                )
            if refusal is None and target is not None:
                # Another entry may have reported crashes while the request waited.
                refusal = self.crashes.begin_run(state.fingerprint)
            if refusal is not None:
                if target is not None:
                    self._end_attempt(state, target)
                self._log_quarantine(state, refusal)
                return await self._finish_without_response(
                    state, responder, last_error, "quarantined", refusal.retry_after_s
                )
            if target is None:
                reason, retry_after_s = self.explain_no_target(
                    state, self._rng, self._return_times
                )
                return await self._finish_without_response(
                    state, responder, last_error, reason, retry_after_s
                )
            outcome = await self._attempt(state, target, responder)
            if isinstance(outcome, requeststate.Completed):
                self._targets.on_success(asyncio.get_running_loop().time(), target)
                if outcome.is_success:
                    self.crashes.on_completed(state.fingerprint)
                self._log(state.req, state, "answered", outcome.status, target)
                return None
            reason = self._record_outcome(target, outcome)
            self._log_malformed(state, target, outcome)
            state.attempt_log.append(f"{target.target_id}:{reason}")
            state.tried_targets.add(target.target_id)
            if is_not_run(outcome):
                # It would have gone on at the target that it left.
                state.tried_targets.discard(state.left_target)
            if isinstance(outcome, requeststate.TargetError):
                last_error = outcome
            if is_broken(outcome):
                await self.crashes.probe(target)
            if not self._may_retry(state, responder, outcome):
                self._log_broken_off(state, target, responder, reason)
                return await self._finish_without_response(
                    state, responder, last_error, reason, self._choose_return_s(state)
                )

    def _log_quarantine(
        self, state: requeststate.RequestState, refusal: crashledger.Refusal
    ) -> None:
        """Log which content or part a request is refused for."""
        loguru.logger.info(
            "event=quarantine id={} suspect={} crashes={} age_s={:.1f}"
            " retry_after_s={:.1f}",
            state.req.metadata.attempt_id,
            refusal.suspect,
            refusal.crash_count,
            refusal.age_s,
            refusal.retry_after_s,
        )

    def _log_malformed(
        self,
        state: requeststate.RequestState,
        target: targetstate.Target,
        outcome: responserelay.Outcome,
    ) -> None:
        """Log what is wrong with a response that is malformed, and count it."""
        kind = upstream.FailureKind.MALFORMED
        if not isinstance(outcome, upstream.Failure) or outcome.kind is not kind:
            return
        self._metrics.count_malformed(state.service)
        loguru.logger.warning(
            "event=response_malformed id={} target={} last_event={} reason={!r:.160}",
            state.req.metadata.attempt_id,
            target.target_id,
            "" if state.last_event is None else state.last_event,
            outcome.detail,
        )

    def _log_broken_off(
        self,
        state: requeststate.RequestState,
        target: targetstate.Target,
        responder: requeststate.Responder,
        reason: str,
    ) -> None:
        """Log which run broke off the response that the caller has a part of."""
        if not responder.is_started:
            return
        loguru.logger.warning(
            "event=response_broken_off id={} target={} started={} last_event={}"
            " reason={}",
            state.req.metadata.attempt_id,
            target.target_id,
            responder.started.value,
            "" if state.last_event is None else state.last_event,
            reason,
        )

    def _choose_return_s(self, state: requeststate.RequestState) -> float:
        """Return when the caller of a request that is not sent again may come back."""
        now = asyncio.get_running_loop().time()
        wait_s = self._targets.compute_wait_s(now, state.service, (), 0, state.traits)
        if wait_s is None:
            return requeststate.RETRY_AFTER_SHORT_S
        return self.explain_no_target(state, self._rng, self._return_times)[1]

    def copy_return_times(self) -> returntimes.ReturnTimes:
        """Return a copy of the return times, to explain one without giving it."""
        return copy.deepcopy(self._return_times)

    def explain_no_target(
        self,
        state: requeststate.RequestState,
        rng: random.Random,
        return_times: returntimes.ReturnTimes,
        is_counted: bool = True,
    ) -> tuple[str, float]:
        """Return why a request got no target, and when its caller may come back.

        The time is given to the caller by an entry of ``return_times``. Parts count and
        log their refusals, so they are asked only if ``is_counted`` is set.
        """
        now = asyncio.get_running_loop().time()
        suspicion = self.crashes.find_suspicion(state.fingerprint)
        if not state.first_event_at and self._choose_group(state, suspicion):
            group_wait_s = max(GROUP_RETURN_S - suspicion.age_s, MIN_GROUP_WAIT_S)
            return "contained", group_wait_s + CONTAINED_SPREAD_S * rng.random()
        forbidden = self._targets.may_run(now, state.service, state.traits)
        if not forbidden.is_allowed:
            return forbidden.reason, requeststate.RETRY_AFTER_NO_CAPACITY_S * (
                1.0 + rng.random()
            )
        ids = admissionpart.RequestIds(
            state.fingerprint.content_id, state.req.metadata.attempt_id
        )
        refused = None
        if is_counted:
            refused = self._targets.admission.refuse(
                now, state.service, state.traits, ids
            )
        if refused is not None:
            return refused.reason, refused.return_s
        wait_s = self._targets.compute_wait_s(now, state.service, (), 0, state.traits)
        if wait_s is None:
            # Random times keep callers from retrying simultaneously.
            return "no_target", requeststate.RETRY_AFTER_NO_CAPACITY_S * (
                1.0 + rng.random()
            )
        rate = self._targets.compute_return_rate(now, state.service)
        delay_s = return_times.choose_delay_s(
            now, state.service, wait_s, rate, rng.random()
        )
        is_resting = self._targets.is_resting(now, state.service)
        return "target_rest" if is_resting else "target_limit", delay_s

    def _choose_group(
        self, state: requeststate.RequestState, suspicion: crashledger.Suspicion
    ) -> str:
        """Return the group that a suspect must run in, an empty string for any."""
        if suspicion.age_s <= MAX_GROUP_WAIT_S:
            return suspicion.group
        now = asyncio.get_running_loop().time()
        is_open = self._targets.has_open_group(now, state.service, suspicion.group)
        return suspicion.group if is_open else ""

    def _find_target_deadline(self, state: requeststate.RequestState) -> float:
        """Return until when targets may work on a request.

        A stream has the whole time of this process: at its deadline, a target has
        nothing to state about a stream that has begun.
        """
        lead_s = 0.0 if state.route.is_stream else STOP_LEAD_S
        return min(state.deadline, self._stop_deadline.at - lead_s)

    def _would_be_cut(self, state: requeststate.RequestState) -> bool:
        """Return whether the end of this process would cut a request that is sent now.

        That is so if most of the recent responses of its route took longer than the
        time that is left. Such a request is better begun at another entry: not run, it
        may be sent there; cut, it is lost or begins anew. A stream that may be resumed
        goes on there.
        """
        if not self._stop_deadline.is_set or state.may_have_run:
            return False
        if state.route.is_stream and state.may_run_twice:
            return False
        return self._has_time_to_run(state) is False

    def _has_time_to_run(self, state: requeststate.RequestState) -> bool | None:
        """Return whether a response fits in before this process ends; None: unknown."""
        usual_s = self._response_times.find_usual(state.route.name)
        if usual_s is None:
            return None
        now = asyncio.get_running_loop().time()
        return now + usual_s <= self._stop_deadline.at - STOP_LEAD_S

    async def _find_target(
        self, state: requeststate.RequestState
    ) -> targetstate.Target | None:
        """Return the target for the next attempt; wait in the queue if none is free."""
        now = asyncio.get_running_loop().time()
        queued_request = self.make_queued_request(state, now)
        state.crash_count = queued_request.crash_count
        return await self.scheduler.acquire_target(state.service, queued_request)

    def make_queued_request(
        self, state: requeststate.RequestState, now: float
    ) -> requestqueue.QueuedRequest:
        """Return the request as the scheduler sees it, for the attempt at ``now``."""
        suspicion = self.crashes.find_suspicion(state.fingerprint)
        # A stream whose caller has received events is not what crashed its target.
        group = "" if state.first_event_at else self._choose_group(state, suspicion)
        waiting_since = state.req.arrived_at
        due_at, expires_at = (
            waiting_since + state.route.latency_objective_s,
            waiting_since + MAX_QUEUE_S,
        )
        if state.first_event_at:
            # The caller has received part of a stream and does not wait long for more.
            waiting_since = now
            due_at = expires_at = waiting_since + MAX_RESUME_WAIT_S
            state.traits = dataclasses.replace(state.traits, is_resumed=True)
        return requestqueue.QueuedRequest(
            compute_priority(state.route, state.account),
            waiting_since,
            due_at,
            min(expires_at, self._find_target_deadline(state) - MIN_REMAINING_S),
            state.tried_targets,
            suspicion.crash_count,
            group,
            "" if state.account is None else state.account.name,
            state.route.name,
            traits=state.traits,
        )

    def _record_outcome(
        self, target: targetstate.Target, outcome: responserelay.Outcome
    ) -> str:
        """Record a failed attempt in the target pool; return the reason for the log."""
        now = asyncio.get_running_loop().time()
        if isinstance(outcome, requeststate.TargetError):
            self._targets.on_error_response(target)
            return f"error_{outcome.status}"
        if isinstance(outcome, requeststate.Refusal):
            if outcome.reason == responserelay.MISPLACED:
                self._targets.on_stale_address(target)
                self.crashes.on_target_ended(target, crashdetector.Evidence.REPLACED)
            elif is_not_run(outcome) and outcome.reason != EVICTED:
                self._targets.on_capacity_refusal(now, target)
            return outcome.reason
        assert isinstance(outcome, upstream.Failure)
        is_unreachable = not outcome.was_sent
        if self._targets.on_failure(now, target, is_unreachable):
            loguru.logger.info(
                "event=target_ejected target={} reason={} streak={} for_s={:.1f}",
                target.target_id,
                outcome.kind.value,
                target.consecutive_failures,
                target.ejected_until - now,
            )
        return outcome.kind.value

    def _may_retry(
        self,
        state: requeststate.RequestState,
        responder: requeststate.Responder,
        outcome: responserelay.Outcome,
    ) -> bool:
        """Return whether the request may be sent to another target."""
        if responder.started is requeststate.Started.BODY:
            # No other run can complete it.
            return False
        if isinstance(outcome, upstream.Failure) and not outcome.was_sent:
            state.connect_failures += 1
            return state.connect_failures < MAX_CONNECT_ATTEMPTS
        if self._count_attempts(state) >= state.route.max_attempts:
            return False
        if isinstance(outcome, requeststate.Refusal) and (
            outcome.reason == responserelay.UNREAD
        ):
            # Another target would be held back by the same caller.
            return False
        if state.may_have_run and not state.may_run_twice:
            return False
        if not state.has_body:
            return False
        now = asyncio.get_running_loop().time()
        if self._find_target_deadline(state) - now < MIN_REMAINING_S:
            return False
        if self._would_be_cut(state):
            return False
        if not self._get_retry_budget(state.service).try_spend(now):
            return False
        self._metrics.count_retry(state.service)
        # From here to the next send, the body is not a mere copy.
        state.req.holding.is_retry_copy = False
        state.req.holding.mark_progress()
        return True

    def _count_attempts(self, state: requeststate.RequestState) -> int:
        """Return the attempts that count against the route's greatest number.

        If a request left a target that may have gone on, refusals do not count: they
        must not end what the target would have completed.
        """
        refused = state.refused_count if state.left_target else 0
        return state.send_count - refused

    async def may_leave(
        self, state: requeststate.RequestState, target: targetstate.Target
    ) -> bool:
        """Return whether a request may leave a target that is silent.

        That is so if another target can take it now, or if this one is gone: its
        sidecar does not report it as alive, and it accepts no connection.
        """
        now = asyncio.get_running_loop().time()
        if self._can_go_on_elsewhere(now, state, target):
            state.left_target = target.target_id
            return True
        report = target.report
        if report is not None and target.has_fresh_report(now) and report.is_alive:
            return False
        return not await self.crashes.probe(target)

    async def has_target_ended(
        self,
        state: requeststate.RequestState,
        responder: requeststate.Responder,
        target: targetstate.Target,
        incarnation: str,
    ) -> bool:
        """Find out whether a target ended with its response.

        A request that may go on at another target does not wait for long.
        """
        loop = asyncio.get_running_loop()
        search = loop.create_task(self.crashes.has_ended(target, incarnation))
        try:
            while True:
                await asyncio.wait([search], timeout=targetpresence.LOOK_SPACING_S)
                if search.done():
                    return search.result()
                if responder.started is not requeststate.Started.BODY and (
                    self._can_go_on_elsewhere(loop.time(), state, target)
                ):
                    state.left_target = target.target_id
                    return True
        finally:
            search.cancel()

    def _can_go_on_elsewhere(
        self, now: float, state: requeststate.RequestState, target: targetstate.Target
    ) -> bool:
        """Return whether a request may be sent again and another target is free."""
        if (
            self._count_attempts(state) >= state.route.max_attempts
            or not state.may_run_twice
            or not state.has_body
            or self._find_target_deadline(state) - now < MIN_REMAINING_S
            or not self._get_retry_budget(state.service).may_spend(now)
            or self.crashes.find_refusal(state.fingerprint) is not None
        ):
            return False
        if (
            self._stop_deadline.is_set
            and not state.route.is_stream
            and not self._has_time_to_run(state)
        ):
            # It would begin anew and be cut, where this target may be nearly done.
            return False
        traits = state.traits
        queued = self.make_queued_request(state, now)
        state.traits = traits
        other = self._targets.choose_target(
            now,
            state.service,
            {*state.tried_targets, target.target_id},
            self._entry_state.count_entries(),
            self._rng.random,
            queued.crash_count,
            queued.group,
            queued.traits,
        )
        return other is not None

    async def _finish_without_response(
        self,
        state: requeststate.RequestState,
        responder: requeststate.Responder,
        last_error: requeststate.TargetError | None,
        reason: str,
        retry_after_s: float = requeststate.RETRY_AFTER_SHORT_S,
    ) -> requeststate.Refusal | None:
        """Send the caller the last error of a target, or return a refusal."""
        if last_error is not None and not responder.is_started:
            status = last_error.status
            await responder.send_whole(status, last_error.headers, last_error.body)
            self._log(state.req, state, "target_error", status)
            return None
        if state.may_have_run or responder.is_started:
            return requeststate.Refusal(requeststate.STATUS_OUTCOME_UNKNOWN, reason)
        return refuse_not_run(reason, retry_after_s)

    async def _attempt(
        self,
        state: requeststate.RequestState,
        target: targetstate.Target,
        responder: requeststate.Responder,
    ) -> responserelay.Outcome:
        """Send the request to a target and its response to the caller."""
        registration = target.registration
        key = (registration.host, registration.port, registration.target_id)
        now = asyncio.get_running_loop().time
        timing = AttemptTiming(now())
        result: responserelay.Outcome | None = None
        try:
            is_new = not state.may_run_twice or self.crashes.needs_new_connection(
                state.fingerprint.content_id
            )
            began_at = self.crashes.read_clock()
            conn = await self._pool.acquire(key, now(), CONNECT_TIMEOUT_S, is_new)
            if isinstance(conn, upstream.Failure):
                if conn.kind is upstream.FailureKind.CONNECTION_REFUSED:
                    self.crashes.on_target_ended(target, crashdetector.Evidence.REFUSED)
                result = conn
                return conn
            if not conn.was_idle:
                self.crashes.on_connected(registration.incarnation, began_at)
            if not self._targets.admission.is_available(target):
                # Its place was evacuated while the connection was set up.
                conn.abort()
                result = refuse_not_run("unavailable")
                return result
            if not state.has_body:
                # It was evicted in the meantime. Nothing waits from here to the send.
                conn.abort()
                result = refuse_not_run(EVICTED)
                return result
            exchange = httpexchange.Exchange(
                conn,
                self._header_codec,
                state.req.metadata.attempt_id,
            )
            if not state.send_count:
                self.crashes.on_first_send(state.fingerprint)
            sent = self.crashes.on_sent(target, state.fingerprint, conn)
            is_resumed = responder.is_started
            try:
                observer = ExchangeObserver(
                    self, state, responder, target, sent, timing
                )
                result = await self._exchange(
                    state, target, exchange, responder, observer
                )
                if not is_resumed and isinstance(result, requeststate.Completed):
                    self._record_response_time(state, result, now() - timing.began_at)
                return result
            finally:
                if exchange.finish(now()):
                    self._pool.release(key, conn)
                how = classify_exchange_end(result)
                self.crashes.on_exchange_end(sent, how)
        finally:
            self._end_attempt(state, target, timing.make_outcome(now(), result))

    def _record_response_time(
        self,
        state: requeststate.RequestState,
        result: requeststate.Completed,
        seconds: float,
    ) -> None:
        """Record how long a target took for a whole response."""
        if result.is_success:
            self._response_times.record(state.route.name, seconds)

    def _end_attempt(
        self,
        state: requeststate.RequestState,
        target: targetstate.Target,
        outcome: admissionpart.SendOutcome = targetpool.NOT_SENT,
    ) -> None:
        """Give up the target's slot and dispatch the next request to it."""
        now = asyncio.get_running_loop().time()
        if (
            not state.route.is_stream
            and outcome.first_event_s is not None
            and outcome.result is admissionpart.SendResult.COMPLETED
        ):
            self._targets.admission.on_first_event(
                now, target, state.traits, outcome.first_event_s
            )
        self._targets.on_end(target, now, state.crash_count, state.traits, outcome)
        self.scheduler.dispatch(target.registration.service)

    async def _exchange(
        self,
        state: requeststate.RequestState,
        target: targetstate.Target,
        exchange: httpexchange.Exchange,
        responder: requeststate.Responder,
        observer: "ExchangeObserver",
    ) -> responserelay.Outcome:
        """Send the request on a connection and relay the response."""
        req = state.req
        headers = self._make_upstream_headers(state, target)
        req.holding.is_retry_copy = False
        req.holding.mark_progress()
        state.send_count += 1
        exchange.send(
            req.method, req.path, headers, req.body, lambda: self._on_sent(state)
        )
        may_have_run_before, state.may_have_run = state.may_have_run, True
        relay = responserelay.ResponseRelay(
            state, exchange, responder, self._header_codec, observer
        )
        outcome = await relay.run(target)
        if is_not_run(outcome):
            state.may_have_run = may_have_run_before
            state.refused_count += 1
        return outcome

    def record_statements(
        self,
        state: requeststate.RequestState,
        target: targetstate.Target,
        incarnation: str,
        sent_at: float,
        metadata: headercodec.ResponseMetadata,
    ) -> None:
        """Record what a target states of itself in the head of a response."""
        if metadata.is_wrong_target:
            # What another target states of itself is not about this one.
            return
        if metadata.is_signed:
            # A full target may refuse a request before it looks for whom that is.
            self._on_target_response(target, sent_at)
            target.heard_at = asyncio.get_running_loop().time()
        self._record_limit(incarnation, sent_at, metadata)
        self._record_rest(state, incarnation, metadata)
        now = asyncio.get_running_loop().time()
        self._targets.admission.on_response(now, incarnation, metadata)
        if metadata.is_leaving:
            self._on_target_leaving(incarnation, "response")

    def record_first_event(
        self,
        state: requeststate.RequestState,
        target: targetstate.Target,
        first_event_s: float,
    ) -> None:
        """Record when the caller gets the first event of a stream."""
        state.first_event_at = asyncio.get_running_loop().time()
        self._targets.admission.on_first_event(
            state.first_event_at, target, state.traits, first_event_s
        )
        self._metrics.observe_first_event(
            state.service, state.first_event_at - state.req.arrived_at
        )

    def record_event_gap(
        self,
        state: requeststate.RequestState,
        target: targetstate.Target,
        gap_s: float,
    ) -> None:
        """Pass on the time between two events of a stream."""
        target.heard_at = asyncio.get_running_loop().time()
        self._targets.admission.on_event_gap(
            target, state.req.metadata.attempt_id, gap_s
        )

    def _record_limit(
        self,
        incarnation: str,
        sent_at: float,
        metadata: headercodec.ResponseMetadata,
    ) -> None:
        """Record the limit that a target states, or that it states none."""
        if metadata.invalid_rate_limit is not None:
            loguru.logger.warning(
                "event=target_limit_invalid target={} value={!r:.60}",
                incarnation,
                metadata.invalid_rate_limit,
            )
            if metadata.rate_limit is None:
                return
        now = asyncio.get_running_loop().time()
        self._limits.on_response(now, incarnation, sent_at, metadata.rate_limit)

    def _record_rest(
        self,
        state: requeststate.RequestState,
        incarnation: str,
        metadata: headercodec.ResponseMetadata,
    ) -> None:
        """Record for how long a target that refused the request wants nothing."""
        if metadata.invalid_rest is not None:
            loguru.logger.warning(
                "event=target_rest_invalid target={} value={!r:.60}",
                incarnation,
                metadata.invalid_rest,
            )
        if metadata.rest_s is None:
            return
        now = asyncio.get_running_loop().time()
        self._targets.rests.on_refusal(now, incarnation, metadata.rest_s)
        self._targets.admission.on_rest(now, incarnation, metadata.rest_s)
        self._metrics.count_rest(state.service)
        loguru.logger.info(
            "event=target_rests target={} rest_s={:.2f} id={} not_run={}",
            incarnation,
            metadata.rest_s,
            state.req.metadata.attempt_id,
            metadata.was_not_run,
        )

    def _make_upstream_headers(
        self, state: requeststate.RequestState, target: targetstate.Target
    ) -> headercodec.Headers:
        """Return the headers of the request to the target."""
        req = state.req
        dropped = responserelay.HOP_BY_HOP_HEADERS
        for value in (v for n, v in req.headers if n.lower() == "connection"):
            dropped |= {token.strip().lower() for token in value.split(",")}
        kept = [(n, v) for n, v in req.headers if n.lower() not in dropped]
        now = asyncio.get_running_loop().time()
        metadata = headercodec.UpstreamMetadata(
            target=target.target_id,
            remaining_s=self._find_target_deadline(state) - now,
            account=None if state.account is None else state.account.name,
            last_event_id=state.last_event,
            priority=compute_priority(state.route, state.account),
        )
        upstream_headers = self._header_codec.make_upstream_headers(kept, metadata)
        if req.body or req.method in BODY_METHODS:
            upstream_headers.append(("Content-Length", str(len(req.body))))
        return upstream_headers

    def _on_sent(self, state: requeststate.RequestState) -> None:
        """Keep the body of a request that was sent only as long as there is room.

        It is dropped if the request may not be sent again in any case. One that left a
        target may be, as refusals do not count then.
        """
        state.req.holding.is_retry_copy = True
        if state.send_count >= state.route.max_attempts and not state.left_target:
            drop_body(state)

    async def refuse(
        self,
        req: requeststate.Request,
        responder: requeststate.Responder,
        refusal: requeststate.Refusal,
        state: requeststate.RequestState | None,
    ) -> None:
        """Send a response of the entry itself, or abort one that has started."""
        self._metrics.count_refusal(refusal.reason, refusal.status)
        self._log(
            req, state, refusal.reason, 0 if responder.is_started else refusal.status
        )
        if responder.is_started:
            responder.abort()
            return
        headers: headercodec.Headers = []
        if req.metadata.attempt_id:
            headers.append(
                (self._header_codec.attempt_id_header, req.metadata.attempt_id)
            )
        if refusal.retry_after_s > 0.0:
            headers.append(("Retry-After", f"{refusal.retry_after_s:.2f}"))
        await responder.send_whole(refusal.status, headers, b"")

    def _log(
        self,
        req: requeststate.Request,
        state: requeststate.RequestState | None,
        outcome: str,
        status: int,
        target: targetstate.Target | None = None,
    ) -> None:
        """Log and count the end of a request; status 0 is an aborted response."""
        now = asyncio.get_running_loop().time()
        service = state.service if state else ""
        self._metrics.count_response(service, status, now - req.arrived_at)
        loguru.logger.info(
            "event=request id={} content={} parts={} crashes={} outcome={} status={}"
            " route={} service={} target={} sends={} tried={} first_ms={:.0f} ms={:.0f}"
            " left_ms={:.0f} config={} config_age_s={:.2f} last_event={}",
            req.metadata.attempt_id,
            state.fingerprint.content_id if state else "",
            ",".join(req.metadata.prompt_parts[:MAX_LOGGED_PARTS]),
            state.crash_count if state else 0,
            outcome,
            status,
            state.route.name if state else "",
            service,
            target.target_id if target else "",
            state.send_count if state else 0,
            ",".join(state.attempt_log) if state else "",
            (state.first_event_at - req.arrived_at) * 1000
            if state and state.first_event_at
            else 0,
            (now - req.arrived_at) * 1000,
            (state.deadline - now) * 1000 if state else 0,
            self._entry_state.config_version,
            self._entry_state.compute_config_age(),
            "" if state is None or state.last_event is None else state.last_event,
        )


class BodyHolder(callermemory.Holder):
    """Holds the body of a request that is forwarded."""

    def __init__(
        self, state: requeststate.RequestState, scope: asyncio.Timeout
    ) -> None:
        self._state = state
        self._scope = scope

    def evict(self) -> None:
        """Drop a body that was sent, or end its request."""
        if self._state.req.holding.is_retry_copy:
            drop_body(self._state)
            return
        self._state.req.body = b""
        self._state.has_body = False
        self._state.was_evicted = True
        if not self._scope.expired():
            self._scope.reschedule(asyncio.get_running_loop().time())


@dataclasses.dataclass(slots=True)
class AttemptTiming:
    """When an attempt began, and when the target responded; the event loop's times."""

    began_at: float
    first_event_at: float | None = None

    def make_outcome(
        self, now: float, outcome: responserelay.Outcome | None
    ) -> admissionpart.SendOutcome:
        """Return how the attempt ended now."""
        first_event_s = None
        if self.first_event_at is not None:
            first_event_s = self.first_event_at - self.began_at
        return admissionpart.SendOutcome(
            classify_send_result(outcome), now - self.began_at, first_event_s
        )


class ExchangeObserver(responserelay.RelayObserver):
    """Passes what the response of one exchange shows to the forwarder and detector."""

    def __init__(
        self,
        forwarder: Forwarder,
        state: requeststate.RequestState,
        responder: requeststate.Responder,
        target: targetstate.Target,
        sent: crashdetector.SentRequest,
        timing: AttemptTiming,
    ) -> None:
        self._responder = responder
        self._timing = timing
        self._forwarder = forwarder
        self._state = state
        self._target = target
        self._sent = sent
        self._sent_at = asyncio.get_running_loop().time()

    def on_head(self, metadata: headercodec.ResponseMetadata) -> None:
        """Record what the target states of itself."""
        if metadata.is_signed and not metadata.is_wrong_target:
            self._forwarder.crashes.on_answered(self._sent)
        if not metadata.was_not_run and not self._state.may_run_twice:
            drop_body(self._state)
        if not self._state.route.is_stream:
            self._timing.first_event_at = asyncio.get_running_loop().time()
        self._forwarder.record_statements(
            self._state,
            self._target,
            self._sent.incarnation,
            self._sent_at,
            metadata,
        )

    def on_unframed(self) -> None:
        """Record that the end of the response will have to be told from a crash."""
        self._sent.is_unframed = True

    def on_begun(self) -> None:
        """Record that the target wrote on this prompt without a crash."""
        self._forwarder.crashes.on_begun(self._sent)

    def on_first_event(self) -> None:
        """Record when the caller gets its first event."""
        now = asyncio.get_running_loop().time()
        self._timing.first_event_at = now
        self._forwarder.record_first_event(
            self._state, self._target, now - self._timing.began_at
        )

    def on_event_gap(self, gap_s: float) -> None:
        """Pass on how long the target took for the next event."""
        self._forwarder.record_event_gap(self._state, self._target, gap_s)

    async def may_leave(self) -> bool:
        """Find out whether the request may leave its target, which is silent."""
        return await self._forwarder.may_leave(self._state, self._target)

    async def has_target_ended(self) -> bool:
        """Find out whether the target's process has ended."""
        return await self._forwarder.has_target_ended(
            self._state, self._responder, self._target, self._sent.incarnation
        )


def drop_body(state: requeststate.RequestState) -> None:
    """Drop a body that the target has, so that the request is not sent again."""
    if state.req.holding.is_retry_copy:
        state.req.body = b""
        state.req.holding.set_held(0)
        state.has_body = False


def compute_priority(route: catalog.Route, account: catalog.Account | None) -> int:
    """Return the priority of the account or else the route; 0 is the highest."""
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return min(max(priority, 0), LOWEST_PRIORITY)


def compute_urgency(
    route: catalog.Route, account: catalog.Account | None, remaining_s: float
) -> int:
    """Return the rank of a request among those of a service; 0 goes first.

    The priority of the account takes precedence, and that of the route orders the
    requests of accounts of the same priority. A repeated request, which has less time
    left than its route permits, can only be late, and goes after new ones that are
    worth more.
    """
    is_repeated = remaining_s < REPEAT_SHARE * route.timeout_s
    steps = REPEAT_STEPS if is_repeated else 0
    within = min(max(route.priority, 0) + steps, LOWEST_PRIORITY)
    first = within
    if account is not None and account.priority is not None:
        first = min(max(account.priority, 0), LOWEST_PRIORITY)
    return first * (LOWEST_PRIORITY + 1) + within


def make_traits(
    req: requeststate.Request,
    route: catalog.Route,
    account: catalog.Account | None,
    deadline: float,
) -> sendconstraint.RequestTraits:
    """Return what the constraints of targets ask of a request."""
    metadata = req.metadata
    hint = metadata.output_tokens_hint
    return sendconstraint.RequestTraits(
        account="" if account is None else account.name,
        kind=route.name,
        priority=compute_urgency(route, account, deadline - req.arrived_at),
        homes=catalog.intersect_homes(route, account),
        prompt_tokens=metadata.prompt_tokens,
        output_tokens=metadata.max_output_tokens if hint is None else hint,
        latency_objective_s=route.latency_objective_s,
        max_event_gap_s=route.max_event_gap_s,
        deadline=deadline,
        max_output_tokens=metadata.max_output_tokens,
        has_events=route.is_stream,
    )


def is_not_run(outcome: responserelay.Outcome) -> bool:
    """Return whether the target stated that it did not run the request."""
    return (
        isinstance(outcome, requeststate.Refusal)
        and outcome.status == requeststate.STATUS_NOT_RUN
    )


def is_broken(outcome: responserelay.Outcome) -> bool:
    """Return whether the target closed the connection before its response ended."""
    return (
        isinstance(outcome, upstream.Failure)
        and outcome.was_sent
        and outcome.kind in crashdetector.BROKEN_KINDS
    )


def classify_send_result(
    outcome: responserelay.Outcome | None,
) -> admissionpart.SendResult:
    """Return how a send ended; without an outcome it was cancelled."""
    results = admissionpart.SendResult
    if outcome is None:
        return results.CANCELLED
    if isinstance(outcome, upstream.Failure):
        return results.BROKEN if outcome.was_sent else results.UNREACHABLE
    if isinstance(outcome, requeststate.TargetError):
        return results.ERROR_RESPONSE
    if isinstance(outcome, requeststate.Refusal):
        return results.REFUSED
    return results.COMPLETED


def classify_exchange_end(
    outcome: responserelay.Outcome | None,
) -> crashdetector.ExchangeEnd:
    """Return how an exchange ended; without an outcome it was cancelled."""
    if outcome is None:
        return crashdetector.ExchangeEnd.SILENT
    if isinstance(outcome, upstream.Failure):
        is_closed = outcome.kind in crashdetector.BROKEN_KINDS
        ends = crashdetector.ExchangeEnd
        return ends.BROKEN if is_closed else ends.SILENT
    if (
        isinstance(outcome, requeststate.Refusal)
        and outcome.reason == responserelay.MISPLACED
    ):
        return crashdetector.ExchangeEnd.MISDIRECTED
    return crashdetector.ExchangeEnd.ANSWERED


def refuse_not_run(
    reason: str, retry_after_s: float = requeststate.RETRY_AFTER_SHORT_S
) -> requeststate.Refusal:
    """Return a refusal that states that the request was not and will not be run."""
    return requeststate.Refusal(requeststate.STATUS_NOT_RUN, reason, retry_after_s)
