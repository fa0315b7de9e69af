"""Keeps the requests of all entries at an engine below the engine's memory.

The engine's sidecar states in its reports what this entry's requests there may need
together; see ``memorygrants``. The entry counts for each of its requests what the
prompt and the output, as far as it is likely, need; see ``responselengths``. A request
that does not fit into the limit waits. One that is larger than the engine's memory is
refused at once.

A limit counts while its lease lasts. Without a lease, an entry that had one holds its
standing part, which the sidecar keeps for it: the sidecar, the entry or the network
between them has failed, but not the engine. An entry whose engine's sidecar never
stated a limit sends nothing for ``FIRST_LIMIT_S``, then the standing part.

Engines that state no memory get no decisions. See docs/design/engine-memory.md.
"""

import collections.abc
import math
import operator
import typing

import loguru

from sardinesaddle.direct import (
    catalog,
    memorygrants,
    messages,
    nodemetrics,
    targetstate,
)
from sardinesaddle.direct.admission import (
    admissionpart,
    enginestate,
    responselengths,
    sendconstraint,
)

REASON: typing.Final = "engine_memory"
# After the registration of an engine, until its sidecar is taken to have failed.
FIRST_LIMIT_S: typing.Final = 5.0
# After the end of a lease; a single sidecar that restarts is back by then.
STANDING_AFTER_S: typing.Final = 1.0
# A request that waits longer is refused, so its size is no longer asked for.
WANTED_S: typing.Final = 1.5
# Until an engine has cancelled a request whose connection was closed: some passes.
CANCEL_S: typing.Final = 0.5
FORGET_S: typing.Final = 60.0  # after the registration of an engine has lapsed
# Some responses have no events that would tell how long they are by now.
MAX_UNSEEN_FACTOR: typing.Final = 10.0  # of the expected length
DEFAULT_HOLD_S: typing.Final = 10.0
LENGTH_CHANCES: typing.Final = (0.5, 0.1)  # that a response is longer; in metrics
TOO_LARGE: typing.Final = sendconstraint.Verdict(
    sendconstraint.Decision.NEVER, REASON, math.inf
)
NO_ROOM: typing.Final = sendconstraint.Verdict(
    sendconstraint.Decision.LATER, REASON, math.inf
)


class MemoryConstraint(sendconstraint.SendConstraint):
    """Keeps to this entry's limit on the memory of an engine."""

    name: typing.ClassVar[str] = "engine_memory"

    def __init__(self, part: "EngineMemory") -> None:
        self._part = part

    def check(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> sendconstraint.Verdict:
        """Return whether the request fits into the limit now."""
        return self._part.check(now, target, request)


class EngineMemory(admissionpart.AdmissionPart):
    """The memory of engines, and what this entry's requests need of it.

    ``process`` is a random number of this process.
    """

    name: typing.ClassVar[str] = "engine_memory"

    def __init__(self, process: int) -> None:
        self._process = process
        self._services: dict[str, enginestate.ServiceState] = {}
        self._engines: dict[str, enginestate.EngineState] = {}
        self._entry_count = 1
        self._full_count = 0
        # The need of the request that was checked last, as each is for many targets.
        self._checked: tuple[sendconstraint.RequestTraits | None, str, list[float]] = (
            None,
            "",
            [],
        )

    def list_constraints(self) -> list[sendconstraint.SendConstraint]:
        """Return the constraint on engines with a bounded memory."""
        return [MemoryConstraint(self)]

    def on_catalog(self, now: float, current: catalog.Catalog) -> None:
        """Note the services whose engines state a capacity."""
        services = {}
        for service in current.services.values():
            model = service.engine
            if model is None or model.memory_tokens <= 0.0:
                continue
            timeouts = [
                route.timeout_s
                for route in current.list_routes()
                if any(
                    split.service == service.name for split in route.weighted_services
                )
            ]
            known = self._services.get(service.name)
            services[service.name] = enginestate.ServiceState(
                model.memory_tokens,
                max(model.steps_per_pass, 1),
                max(model.step_s, 1e-4),
                max(model.mean_output_tokens, 1.0),
                max(timeouts, default=DEFAULT_HOLD_S),
                known.lengths if known else responselengths.ResponseLengths(),
                known.wanted if known else [],
            )
        if {name: s.capacity for name, s in services.items()} != {
            name: s.capacity for name, s in self._services.items()
        }:
            loguru.logger.info(
                "event=engine_memory_bounds tokens={}",
                {name: int(state.capacity) for name, state in services.items()},
            )
        self._services = services
        self._checked = (None, "", [])

    # Sizes of requests.

    def _make_size(
        self, service: enginestate.ServiceState, request: sendconstraint.RequestTraits
    ) -> responselengths.RequestSize:
        """Return the size of a request, with the usual output if it states none."""
        maximum = float(max(request.max_output_tokens, 0))
        expected = float(request.output_tokens) or service.mean_output
        expected = max(min(expected, maximum or expected), 1.0)
        return responselengths.RequestSize(
            float(max(request.prompt_tokens, 0)), expected, maximum
        )

    def _compute_need(
        self, service_name: str, request: sendconstraint.RequestTraits
    ) -> list[float]:
        """Return what a request needs at its start."""
        last, last_service, need = self._checked
        if last is request and last_service == service_name:
            return need
        service = self._services[service_name]
        size = self._make_size(service, request)
        produced = float(request.progress.events * service.event_tokens)
        need = service.lengths.compute_need(size, produced, service.capacity)
        self._checked = (request, service_name, need)
        return need

    def _count_produced(
        self,
        now: float,
        service: enginestate.ServiceState,
        held: enginestate.HeldRequest,
    ) -> float:
        """Return the output tokens that a request has by now, at most."""
        size = held.size
        if held.has_events:
            return float(held.progress.events * service.event_tokens)
        # A prompt is processed for some time, so this is more than there are.
        produced = (now - held.sent_at) / service.token_s
        longest = MAX_UNSEEN_FACTOR * size.expected
        return min(produced, size.maximum or longest, longest)

    # Sends.

    def on_request(
        self, now: float, service: str, request: sendconstraint.RequestTraits
    ) -> None:
        """Note the size of a request that arrived."""
        state = self._services.get(service)
        if state is None:
            return
        need = self._compute_need(service, request)
        # Of the sizes, those count that no later one exceeds.
        while state.wanted and sum(state.wanted[-1][1]) <= sum(need):
            state.wanted.pop()
        state.wanted.append((now, need))

    def check(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> sendconstraint.Verdict:
        """Return whether an engine's memory allows a request now."""
        registration = target.registration
        service = self._services.get(registration.service)
        if service is None:
            return sendconstraint.ALLOWED
        known = self._engines.get(registration.incarnation)
        if known is not None and not known.states_memory:
            return sendconstraint.ALLOWED
        total = self._get_total(service, known)
        size = self._make_size(service, request)
        if size.prompt + size.expected > total:
            return TOO_LARGE
        if known is None:
            return NO_ROOM
        need = self._compute_need(registration.service, request)
        limit = self._get_limit(now, service, known)
        if all(map(operator.le, map(operator.add, known.held, need), limit)):
            return sendconstraint.ALLOWED
        return NO_ROOM

    def _get_total(
        self, service: enginestate.ServiceState, known: enginestate.EngineState | None
    ) -> float:
        """Return the memory of an engine in tokens."""
        if known is None or not known.total:
            return service.capacity
        return min(service.capacity, known.total)

    def _get_limit(
        self,
        now: float,
        service: enginestate.ServiceState,
        known: enginestate.EngineState,
    ) -> collections.abc.Sequence[float]:
        """Return what this entry's requests at an engine may need now, by horizon."""
        if now < known.lease_until:
            return known.limit
        standing_at = known.lease_until + STANDING_AFTER_S
        if math.isinf(known.lease_until):
            standing_at = known.registered_at + FIRST_LIMIT_S
        if now < standing_at:
            return [0.0] * enginestate.COUNT
        share = memorygrants.compute_standing_share(self._entry_count)
        return [share * self._get_total(service, known)] * enginestate.COUNT

    def on_send(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> None:
        """Count a request that is about to be sent."""
        registration = target.registration
        service = self._services.get(registration.service)
        if service is None:
            return
        known = self._get_engine(now, target)
        need = self._compute_need(registration.service, request)
        size = self._make_size(service, request)
        known.requests.append(
            enginestate.HeldRequest(
                request.progress, size, now, need, request.has_events
            )
        )
        known.held = list(map(operator.add, known.held, need))

    def on_outcome(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
        outcome: admissionpart.SendOutcome,
    ) -> None:
        """Give back what a request needed; learn from the length of its response."""
        known = self._engines.get(target.registration.incarnation)
        service = self._services.get(target.registration.service)
        if known is None or service is None:
            return
        for held in known.requests:
            if held.progress is request.progress and held.ended_at is None:
                break
        else:
            return
        results = admissionpart.SendResult
        if outcome.result in (results.BROKEN, results.CANCELLED):
            held.ended_at = now
            return
        known.requests.remove(held)
        known.held = list(map(operator.sub, known.held, held.need))
        if outcome.result is results.COMPLETED and held.progress.events:
            tokens = float(held.progress.events * service.event_tokens)
            self._count_reached(service, held, tokens)
            service.lengths.count_ended(held.size, tokens)

    def _count_reached(
        self,
        service: enginestate.ServiceState,
        held: enginestate.HeldRequest,
        tokens: float,
    ) -> None:
        """Count the length that a response has reached, if that is known."""
        if held.has_events and tokens > held.counted:
            service.lengths.count_reached(held.size, held.counted, tokens)
            held.counted = tokens

    # Engines.

    def _get_engine(
        self, now: float, target: targetstate.Target
    ) -> enginestate.EngineState:
        """Return the state of an engine, which is new if it was not known."""
        incarnation = target.registration.incarnation
        known = self._engines.get(incarnation)
        if known is None:
            known = enginestate.EngineState(target.registration.service, now, now)
            self._engines[incarnation] = known
        return known

    def on_registered(self, now: float, target: targetstate.Target) -> None:
        """Note an engine."""
        if target.registration.service in self._services:
            self._get_engine(now, target)

    def on_report(
        self, now: float, target: targetstate.Target, report: messages.Report
    ) -> None:
        """Apply what a sidecar states on the memory of its engine."""
        if target.registration.service not in self._services or not report.is_alive:
            return
        known = self._get_engine(now, target)
        state = report.memory
        if (state is not None) != known.states_memory:
            known.states_memory = state is not None
            loguru.logger.log(
                "WARNING" if state is None else "INFO",
                "event=engine_memory_stated target={} stated={}{}",
                target.registration.incarnation,
                state is not None,
                " remedy=use_an_engine_and_a_sidecar_that_report_kv_used"
                if state is None
                else "",
            )
        # A report that was delayed must not replace a newer one.
        if state is None or (state.number < known.number and now < known.lease_until):
            return
        known.number = state.number
        known.total, known.used = max(state.total, 0), max(state.used, 0)
        # A limit of the process that ran here before counts against that one.
        limit = state.limit or []
        if len(limit) == enginestate.COUNT and state.process == self._process:
            known.limit = limit
            lease_until = state.echo_ms / 1000.0 + memorygrants.LEASE_S
            known.lease_until = min(lease_until, now + memorygrants.LEASE_S)
            if now < known.lease_until and not known.has_lease:
                known.has_lease = True
                self._log_lease(target.registration.incarnation, known)

    def _log_lease(self, incarnation: str, known: enginestate.EngineState) -> None:
        """Log that the lease of an engine's memory began or ended."""
        loguru.logger.info(
            "event=engine_memory_lease target={} in_force={} limit={} held={:.0f}",
            incarnation,
            known.has_lease,
            known.limit[0],
            known.held[0],
        )

    def make_memory_use(
        self, now: float, target: targetstate.Target
    ) -> messages.MemoryUse | None:
        """Return what this entry's requests at an engine need."""
        service = self._services.get(target.registration.service)
        if service is None:
            return None
        known = self._get_engine(now, target)
        self._refresh_needs(now, service, known)
        wanted = self._find_wanted(now, service)
        return messages.MemoryUse(
            self._process,
            [max(math.ceil(held), 0) for held in known.held],
            list(map(math.ceil, wanted)),
            int(now * 1000.0),
            math.ceil(service.hold_s * 1000.0),
        )

    def _find_wanted(
        self, now: float, service: enginestate.ServiceState
    ) -> list[float]:
        """Return what the largest recent request of a service needs."""
        while service.wanted and service.wanted[0][0] < now - WANTED_S:
            service.wanted.pop(0)
        return service.wanted[0][1] if service.wanted else [0.0] * enginestate.COUNT

    def _refresh_needs(
        self,
        now: float,
        service: enginestate.ServiceState,
        known: enginestate.EngineState,
    ) -> None:
        """Compute what the requests at an engine need anew, as they have grown."""
        kept = []
        for held in known.requests:
            if held.ended_at is not None:
                if now - held.ended_at < CANCEL_S:
                    kept.append(held)
                continue
            produced = self._count_produced(now, service, held)
            self._count_reached(service, held, produced)
            held.need = service.lengths.compute_need(
                held.size, produced, service.capacity
            )
            kept.append(held)
        known.requests = kept
        known.held = [0.0] * enginestate.COUNT
        if kept:
            known.held = list(map(sum, zip(*(held.need for held in kept), strict=True)))

    def refresh(
        self,
        now: float,
        entries: admissionpart.EntryView,
        targets: collections.abc.Collection[targetstate.Target],
    ) -> None:
        """Compute all needs anew; forget engines that are gone."""
        self._entry_count = max(
            len({entries.host, *entries.alive, *entries.contacted}), 1
        )
        for target in targets:
            if target.registration.service in self._services:
                self._get_engine(now, target).listed_at = now
        for incarnation, known in list(self._engines.items()):
            service = self._services.get(known.service)
            if service is None or (
                known.listed_at < now - FORGET_S and not known.requests
            ):
                del self._engines[incarnation]
                continue
            self._refresh_needs(now, service, known)
            if known.has_lease and now >= known.lease_until:
                known.has_lease = False
                self._log_lease(incarnation, known)
            self._note_fullness(now, incarnation, service, known)

    def _note_fullness(
        self,
        now: float,
        incarnation: str,
        service: enginestate.ServiceState,
        known: enginestate.EngineState,
    ) -> None:
        """Log when an engine no longer takes the largest recent request, or again."""
        wanted = self._find_wanted(now, service)
        limit = self._get_limit(now, service, known)
        room = map(operator.sub, limit, known.held)
        is_full = (
            known.states_memory and any(wanted) and any(map(operator.lt, room, wanted))
        )
        if is_full == known.is_full:
            return
        known.is_full = is_full
        self._full_count += is_full
        loguru.logger.info(
            "event=engine_memory_full target={} full={} limit={} held={:.0f} used={}"
            " total={}",
            incarnation,
            is_full,
            known.limit[0],
            known.held[0],
            known.used,
            known.total,
        )

    def write_metrics(
        self, now: float, entry_metrics: nodemetrics.EntryMetrics
    ) -> None:
        """Set the gauges of engine memory."""
        if not self._services:
            return
        known = [engine for engine in self._engines.values() if engine.states_memory]
        entry_metrics.set_engine_memory(
            held=sum(engine.held[0] for engine in known),
            limit=sum(e.limit[0] for e in known if now < e.lease_until),
            full=sum(engine.is_full for engine in known),
            became_full=self._full_count,
            lengths={
                (name, chance): service.lengths.find_quantile(chance)
                for name, service in self._services.items()
                for chance in LENGTH_CHANCES
            },
        )
        self._full_count = 0
