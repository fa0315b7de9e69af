"""Shares the capacity of model engines by urgency and by account while it is scarce.

The part applies to services of lock-step engines to which routes of different
priorities lead; for others it decides nothing. ``groupload`` tells how many requests
more a group takes while its passes stay within the permitted pause. A request is sent
only while that leaves what is reserved for others: for more urgent requests at their
usual rate, for callers that were told to return now, and, against accounts that had
more than their share, for the other accounts of the same priority. Less urgent requests
keep ``FLOOR_SHARE``. Since running streams are not interrupted, capacity can only be
kept free before it is needed.

A request waits for an eighth of its latency objective at most, and only if capacity is
expected by then; otherwise it is refused at once and told when to return.
"""

import collections
import dataclasses
import math
import random
import typing

import loguru

from sardinesaddle.direct import (
    catalog,
    messages,
    nodemetrics,
    requestqueue,
    returntimes,
    targetstate,
)
from sardinesaddle.direct.admission import (
    admissionpart,
    groupload,
    passmodel,
    sendconstraint,
)

# How long arrivals of more urgent requests find reserved capacity, until reports show
# that they use it and less urgent requests stop.
RESERVE_S: typing.Final = 0.25
# Of the more urgent sends, kept for each less urgent kind, so that none starves.
FLOOR_SHARE: typing.Final = 0.02
RATE_WINDOW_S: typing.Final = 5.0  # of the usual rates of requests
ACCOUNT_WINDOW_S: typing.Final = 5.0  # over which the shares of accounts are compared
REFRESH_S: typing.Final = 0.25  # the period of ``refresh``
FREE_WAIT_SHARE: typing.Final = 0.125  # of the latency objective, users' bound
# With streams that end at random times, half of the requests that are expected to wait
# for this multiple of the free wait are served within it; others are refused at once.
LONGEST_HOPEFUL_WAIT: typing.Final = 1.44
# Around the time that a caller was told; it returns a round trip and some jitter later.
EARLY_RETURN_S: typing.Final = 0.25
LATE_RETURN_S: typing.Final = 1.0
# A heartbeat or its reply tells an entry the demand of another one every second with
# 13 entries, and every 15 s with 370.
DEMAND_TTL_S: typing.Final = 3.0
DEMAND_TTL_PER_ENTRY_S: typing.Final = 0.1
MIN_TOLD_RATE: typing.Final = 0.05  # requests a second
MAX_TOLD_TENTHS: typing.Final = 10**7
MAX_PROMISES: typing.Final = 4096
MIN_RETURN_RATE: typing.Final = 0.2  # requests a second
MIN_RETURN_S: typing.Final = 0.3
MAX_LOGGED_ACCOUNTS: typing.Final = 4
NEVER_HELD_BACK: typing.Final = -1
GROUP_FULL: typing.Final = sendconstraint.Verdict(
    sendconstraint.Decision.LATER, "group_full", math.inf
)
PROMPTS_WAIT: typing.Final = sendconstraint.Verdict(
    sendconstraint.Decision.LATER, "prompts_wait", math.inf
)


@dataclasses.dataclass(slots=True)
class Usage:
    """Requests that an account offered and that were sent, discounted over time."""

    offered: float = 0.0
    sent: float = 0.0


class PriorityClass:
    """The demand of one priority at this entry."""

    __slots__ = (
        "_arrived",
        "_weights",
        "accounts",
        "fair_level",
        "floor_credit",
        "rate",
    )

    def __init__(self) -> None:
        self._arrived = 0
        self._weights = 0.0  # of the periods in the average, at most 1
        # Requests a second.
        self.rate = 0.0
        # Sends that the kind may still make of what others reserve.
        self.floor_credit = 0.0
        self.accounts: dict[str, Usage] = {}
        # The discounted sends of an account that has its max-min share.
        self.fair_level = math.inf

    def on_request(self, account: str) -> None:
        """Count a request."""
        self._arrived += 1
        self.accounts.setdefault(account, Usage()).offered += 1.0

    def on_send(self, account: str) -> None:
        """Count a request that is sent."""
        self.accounts.setdefault(account, Usage()).sent += 1.0

    def refresh(self) -> None:
        """Compute the usual rate and the accounts' fair level."""
        weight = REFRESH_S / RATE_WINDOW_S
        self._weights += weight * (1.0 - self._weights)
        weight /= self._weights
        self.rate += weight * (self._arrived / REFRESH_S - self.rate)
        self._arrived = 0
        decay = math.exp(-REFRESH_S / ACCOUNT_WINDOW_S)
        for account, usage in list(self.accounts.items()):
            usage.offered *= decay
            usage.sent *= decay
            if usage.offered < 0.01:
                del self.accounts[account]
        self.fair_level = compute_fair_level(
            [usage.offered for usage in self.accounts.values()],
            sum(usage.sent for usage in self.accounts.values()),
        )

    def compute_excess(self, account: str) -> float:
        """Return by how much of its share an account had more, at most 1."""
        usage = self.accounts.get(account)
        if usage is None or math.isinf(self.fair_level) or self.fair_level <= 0.0:
            return 0.0
        return min(max(usage.sent / self.fair_level - 1.0, 0.0), 1.0)


def compute_fair_level(demands: list[float], capacity: float) -> float:
    """Return the largest max-min share, infinite if the capacity meets all demands."""
    if capacity >= sum(demands):
        return math.inf
    left = capacity
    for index, demand in enumerate(sorted(demands)):
        level = left / (len(demands) - index)
        if demand >= level:
            return level
        left -= demand
    return math.inf


class PeerDemand:
    """The demand that other entries told, by priority.

    An entry that has not told its demand is taken to have the mean of those that did.
    """

    __slots__ = ("_told", "missing")

    def __init__(self) -> None:
        self._told: dict[str, tuple[float, dict[int, float]]] = {}
        self.missing = 0

    def on_message(self, now: float, host: str, rates: dict[int, float]) -> None:
        """Store the demand of another entry."""
        self._told[host] = (now, rates)

    def refresh(self, now: float, alive: typing.Collection[str]) -> None:
        """Forget entries that are gone, and those that told nothing for long."""
        ttl_s = DEMAND_TTL_S + DEMAND_TTL_PER_ENTRY_S * len(alive)
        for host, (told_at, _) in list(self._told.items()):
            if host not in alive or told_at + ttl_s < now:
                del self._told[host]
        self.missing = len(alive) - len(self._told)

    def add_up(self, own: dict[int, float]) -> dict[int, float]:
        """Return the demand at all entries."""
        total = collections.Counter(own)
        for _, rates in self._told.values():
            total.update(rates)
        factor = 1.0 + self.missing / (1.0 + len(self._told))
        return {priority: rate * factor for priority, rate in total.items()}


class ScarceService(requestqueue.QueuePolicy):
    """One service whose capacity is shared: its groups, demand and queue order."""

    lets_others_pass: typing.ClassVar[bool] = True

    def __init__(
        self, name: str, engine: catalog.EngineModel, max_pause_s: float
    ) -> None:
        self.name = name
        self.model = passmodel.PassModel(engine)
        self.loads = groupload.GroupLoads(self.model, max_pause_s)
        self.classes: dict[int, PriorityClass] = {}
        # The most urgent priority that is held back, NEVER_HELD_BACK if none is.
        self.cutoff = NEVER_HELD_BACK
        # When callers were told to return, and the priority, by content.
        self.promises: dict[str, tuple[float, int]] = {}
        self._due: collections.Counter[int] = collections.Counter()
        self.peers = PeerDemand()
        self.total_rates: dict[int, float] = {}
        # By group, priority, account and whether the caller returns.
        self._chances: dict[tuple[str, int, str, bool], float] = {}
        # Decides whether a request is among those that are sent; drawn for each.
        self.draw = 0.5

    def get_class(self, priority: int) -> PriorityClass:
        """Return the demand of a priority, created on first use."""
        found = self.classes.get(priority)
        if found is None:
            found = self.classes[priority] = PriorityClass()
        return found

    # Demand at all entries.

    def list_rates(self) -> dict[int, float]:
        """Return the requests a second at this entry by priority."""
        return {p: c.rate for p, c in self.classes.items() if c.rate >= MIN_TOLD_RATE}

    def compute_rates(
        self, request: sendconstraint.RequestTraits
    ) -> tuple[float, float]:
        """Return the rates at all entries: more urgent ones, and of this priority."""
        urgent = sum(r for p, r in self.total_rates.items() if p < request.priority)
        return urgent, self.total_rates.get(request.priority, 0.0)

    # Capacity.

    def compute_reserved(
        self, request: sendconstraint.RequestTraits, with_floor: bool = True
    ) -> float:
        """Return how many requests of the headroom are kept from a request."""
        own_class = self.get_class(request.priority)
        if with_floor and own_class.floor_credit >= 1.0:
            return 0.0
        rate = self.compute_rates(request)[0]
        due = 0
        if not request.is_return:
            due = sum(n for p, n in self._due.items() if p <= request.priority)
        excess = own_class.compute_excess(request.account)
        share = max(self.loads.share, 1e-3)
        most = RESERVE_S * self.loads.end_rate
        return min(rate * RESERVE_S, most) + min(due / share, most) + excess * most

    def check(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> sendconstraint.Verdict:
        """Return whether a target's group sustains one request more."""
        group = self.loads.groups.get(target.group)
        if group is None or request.is_resumed or not self.loads.is_open(now, group):
            return sendconstraint.ALLOWED
        draw = self.draw / 2.0 if request.is_return else self.draw
        if draw >= self._find_chance(group, request):
            return GROUP_FULL
        report = target.report
        if report is not None and report.waiting and request.latency_objective_s > 0.0:
            load = passmodel.RankLoad(report.running, report.waiting, report.slowdown)
            first_s = self.model.compute_first_event_s(
                load, self.loads.predict(group).pass_s, request.prompt_tokens
            )
            if first_s > request.latency_objective_s:
                return PROMPTS_WAIT
        return sendconstraint.ALLOWED

    def _find_chance(
        self, group: groupload.Group, request: sendconstraint.RequestTraits
    ) -> float:
        """Return the chance with which a group gets a request, computed once each."""
        key = (group.name, request.priority, request.account, request.is_return)
        chance = self._chances.get(key)
        if chance is None:
            chance = self._chances[key] = self._compute_chance(group, request)
        return chance

    def _compute_chance(
        self, group: groupload.Group, request: sendconstraint.RequestTraits
    ) -> float:
        """Return the chance with which a group gets a request."""
        reserved = self.compute_reserved(request)
        if self.loads.is_half_free:
            # No request is refused while half of the slots are free, so nothing is
            # reserved, and groups that sustain less than half of them get more.
            reserved = 0.0
            if not self.loads.sustains_half(group):
                return 1.0
        urgent_rate, rate = self.compute_rates(request)
        if self.get_class(request.priority).floor_credit >= 1.0:
            urgent_rate = 0.0
        return self.loads.compute_admission(group, reserved, urgent_rate, rate)

    def invalidate(self) -> None:
        """Compute chances anew, since loads or demand changed."""
        self._chances.clear()

    def compute_capacity_wait_s(
        self, now: float, request: sendconstraint.RequestTraits
    ) -> float | None:
        """Return when a group is expected to sustain a request; None if none is open.

        Streams end at an even rate in all groups.
        """
        groups = [g for g in self.loads.groups.values() if self.loads.is_open(now, g)]
        if not groups:
            return None
        if self.loads.is_half_free:
            return 0.0
        reserved = self.compute_reserved(request)
        spare = max(self.loads.count_spare(group, reserved) for group in groups)
        urgent_rate, rate = self.compute_rates(request)
        if spare >= 1.0 and self.loads.end_rate >= urgent_rate + rate:
            return 0.0
        free_rate = (self.loads.end_rate - urgent_rate) * self.loads.share
        missing = max(1.0 - spare, 1.0)
        return missing / free_rate if free_rate > 0.0 else math.inf

    # The queue.

    def sort(
        self, now: float, requests: list[requestqueue.QueuedRequest]
    ) -> list[requestqueue.QueuedRequest]:
        """Return resumed streams first, then by priority, return, account, deadline."""
        taken: collections.Counter[tuple[int, str]] = collections.Counter()
        keys = {}
        for queued in sorted(requests, key=lambda q: q.first_event_deadline):
            traits = queued.traits
            usage = self.get_class(traits.priority).accounts.get(traits.account)
            place = (traits.priority, traits.account)
            sent = (usage.sent if usage else 0.0) + taken[place]
            taken[place] += 1
            keys[queued] = (
                not traits.is_resumed,
                traits.priority,
                not traits.is_return,
                sent,
                queued.first_event_deadline,
            )
        return sorted(requests, key=keys.__getitem__)

    def compute_wait_deadline(
        self, now: float, request: requestqueue.QueuedRequest
    ) -> float:
        """Return until when a request waits for capacity, ``now`` if in vain.

        While no group is open or half of the slots are free, requests wait as in other
        services.
        """
        if request.traits.is_resumed or self.loads.is_half_free:
            return request.wait_deadline
        wait_s = self.compute_capacity_wait_s(now, request.traits)
        if wait_s is None:
            return request.wait_deadline
        free_s = FREE_WAIT_SHARE * request.traits.latency_objective_s
        if wait_s > LONGEST_HOPEFUL_WAIT * free_s:
            return now
        return min(request.wait_deadline, now + free_s)

    # Periodic work.

    def refresh(self, now: float) -> None:
        """Compute rates, fair levels, due returns and the cutoff priority."""
        self.invalidate()
        for own_class in self.classes.values():
            own_class.refresh()
        self.total_rates = self.peers.add_up(self.list_rates())
        self._due.clear()
        for content_id, (due_at, priority) in list(self.promises.items()):
            if due_at + LATE_RETURN_S < now:
                del self.promises[content_id]
            elif due_at - EARLY_RETURN_S <= now <= due_at + EARLY_RETURN_S:
                self._due[priority] += 1
        cutoff = NEVER_HELD_BACK
        for priority in sorted(self.classes):
            traits = sendconstraint.RequestTraits(priority=priority)
            if self.compute_capacity_wait_s(now, traits):
                cutoff = priority
                break
        if cutoff != self.cutoff:
            loguru.logger.info(
                "event=capacity_cutoff service={} priority={} was={} in_flight={:.0f}"
                " ends_per_s={:.1f} share={:.3f}",
                self.name,
                cutoff,
                self.cutoff,
                self.loads.in_flight,
                self.loads.end_rate,
                self.loads.share,
            )
            self.cutoff = cutoff

    def count_send(self, request: sendconstraint.RequestTraits) -> None:
        """Count a send for the accounts and for what less urgent kinds keep."""
        own_class = self.get_class(request.priority)
        own_class.on_send(request.account)
        if (
            own_class.floor_credit >= 1.0
            and self.compute_reserved(request, with_floor=False) > 0.0
        ):
            own_class.floor_credit -= 1.0
        for priority, other in self.classes.items():
            if priority > request.priority:
                other.floor_credit = min(other.floor_credit + FLOOR_SHARE, 1.0)

    def compute_return_rate(self, priority: int) -> float:
        """Return how many requests of a priority this entry can send a second.

        That is its share of what comes free, less what new requests of this priority
        and more urgent ones use.
        """
        urgent = sum(c.rate for p, c in self.classes.items() if p <= priority)
        available = self.loads.end_rate * self.loads.share
        return max(available - urgent, FLOOR_SHARE * available, MIN_RETURN_RATE)

    def format_accounts(self, priority: int) -> str:
        """Return the accounts that had most of what this entry sent, for the log."""
        sent: collections.Counter[tuple[str, int]] = collections.Counter()
        for other, own_class in self.classes.items():
            if other <= priority:
                for account, usage in own_class.accounts.items():
                    sent[account, other] += round(usage.sent * 10.0)
        return ",".join(
            f"{account or '-'}/{other}:{tenths / 10.0:.1f}"
            for (account, other), tenths in sent.most_common(MAX_LOGGED_ACCOUNTS)
        )


class GroupConstraint(sendconstraint.SendConstraint):
    """Keeps the passes of lock-step groups within the permitted pause."""

    name: typing.ClassVar[str] = "group_capacity"

    def __init__(self, services: dict[str, ScarceService]) -> None:
        self._services = services

    def check(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> sendconstraint.Verdict:
        """Return whether the target's group sustains the request."""
        service = self._services.get(target.registration.service)
        if service is None:
            return sendconstraint.ALLOWED
        return service.check(now, target, request)


class ScarceCapacity(admissionpart.AdmissionPart):
    """The services of an entry whose capacity is shared while it is scarce."""

    name: typing.ClassVar[str] = "scarce_capacity"

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.services: dict[str, ScarceService] = {}
        self._return_times = returntimes.ReturnTimes()
        # Services, accounts and priorities of refusals not yet counted in metrics.
        self._refusals: list[tuple[str, str, int]] = []

    def list_constraints(self) -> list[sendconstraint.SendConstraint]:
        """Return the constraint on the passes of groups."""
        return [GroupConstraint(self.services)]

    def on_catalog(self, now: float, current: catalog.Catalog) -> None:
        """Find the services that the part applies to; keep what is known of them."""
        found = find_scarce_services(current)
        for name in list(self.services):
            if name not in found:
                del self.services[name]
        for name, (engine, max_pause_s) in found.items():
            known = self.services.get(name)
            if known is None:
                self.services[name] = ScarceService(name, engine, max_pause_s)
            else:
                known.model = passmodel.PassModel(engine)
                known.loads.set_model(known.model, max_pause_s)

    def find_policy(self, service: str) -> requestqueue.QueuePolicy | None:
        """Return the order of a service's queue, None if the part does not apply."""
        return self.services.get(service)

    def is_return(self, now: float, service: str, content_id: str) -> bool:
        """Return whether a caller comes back at the time it was told, or later.

        Only returns to the entry that refused the request are recognized. Callers that
        return early get no precedence.
        """
        scarce = self.services.get(service)
        promise = None if scarce is None else scarce.promises.get(content_id)
        return promise is not None and promise[0] - EARLY_RETURN_S <= now

    def on_report(
        self, now: float, target: targetstate.Target, report: messages.Report
    ) -> None:
        """Apply a sidecar's report."""
        scarce = self.services.get(target.registration.service)
        if scarce is not None:
            scarce.loads.on_report(target, report)
            scarce.invalidate()

    def on_request(
        self, now: float, service: str, request: sendconstraint.RequestTraits
    ) -> None:
        """Count a request as demand of its priority and account."""
        scarce = self.services.get(service)
        if scarce is not None:
            own_class = scarce.get_class(request.priority)
            own_class.on_request(request.account)
            scarce.draw = self._rng.random()

    def on_send(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> None:
        """Count a request that is about to be sent."""
        scarce = self.services.get(target.registration.service)
        if scarce is not None:
            scarce.loads.on_change(target, 1)
            scarce.invalidate()
            scarce.count_send(request)

    def on_outcome(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
        outcome: admissionpart.SendOutcome,
    ) -> None:
        """Count the end of a send, and learn how long requests run."""
        scarce = self.services.get(target.registration.service)
        if scarce is None:
            return
        scarce.loads.on_change(target, -1)
        scarce.invalidate()
        if outcome.result is admissionpart.SendResult.COMPLETED:
            scarce.loads.learn_duration(outcome.duration_s)

    def refuse(
        self,
        now: float,
        service: str,
        request: sendconstraint.RequestTraits,
        ids: admissionpart.RequestIds,
    ) -> admissionpart.ShareRefusal | None:
        """Refuse a request for lack of capacity, with the time at which to return."""
        scarce = self.services.get(service)
        if scarce is None or request.is_resumed:
            return None
        wait_s = scarce.compute_capacity_wait_s(now, request)
        if not wait_s:
            return None
        place = f"{service}/{request.priority}"
        rate = scarce.compute_return_rate(request.priority)
        return_s = self._return_times.choose_delay_s(
            now, place, max(wait_s, MIN_RETURN_S), rate, self._rng.random()
        )
        if len(scarce.promises) < MAX_PROMISES:
            scarce.promises[ids.content_id] = (now + return_s, request.priority)
        self._refusals.append((service, request.account, request.priority))
        loguru.logger.info(
            "event=capacity_refused id={} service={} account={} route={} priority={}"
            " cutoff={} wait_s={:.2f} return_s={:.2f} share={:.3f} ahead={}",
            ids.attempt_id,
            service,
            request.account,
            request.kind,
            request.priority,
            scarce.cutoff,
            wait_s,
            return_s,
            scarce.loads.share,
            scarce.format_accounts(request.priority),
        )
        return admissionpart.ShareRefusal("capacity_share", return_s)

    def refresh(
        self,
        now: float,
        entries: admissionpart.EntryView,
        targets: typing.Collection[targetstate.Target],
    ) -> None:
        """Compute loads, rates and the cutoff priority of each service."""
        for scarce in self.services.values():
            scarce.loads.entry_count = len(entries.alive) + 1
            own = [t for t in targets if t.registration.service == scarce.name]
            scarce.peers.refresh(now, entries.alive)
            total = sum(scarce.total_rates.values())
            demand = sum(scarce.list_rates().values())
            equal = 1.0 / scarce.loads.entry_count
            demand_share = min(demand / total, 1.0) if total > 0.0 else equal
            scarce.loads.refresh(now, own, demand_share)
            scarce.refresh(now)

    def write_metrics(
        self, now: float, entry_metrics: nodemetrics.EntryMetrics
    ) -> None:
        """Set the predicted pass times and cutoffs, and count the refusals."""
        pass_times = {
            (name, group.name): scarce.loads.predict(group).pass_s
            for name, scarce in self.services.items()
            for group in scarce.loads.groups.values()
        }
        cutoffs = {name: scarce.cutoff for name, scarce in self.services.items()}
        entry_metrics.set_capacity(pass_times, cutoffs)
        for refusal in self._refusals:
            entry_metrics.count_capacity_refusal(*refusal)
        self._refusals.clear()

    def make_update(
        self, now: float, host: str, is_reply: bool, update: messages.AdmissionUpdate
    ) -> None:
        """Tell another entry the demand at this one."""
        demand = []
        for name, scarce in self.services.items():
            rates = [(p, round(r * 10.0)) for p, r in scarce.list_rates().items()]
            demand.append(messages.ServiceDemand(name, rates))
        update.demand = demand or None

    def on_message(
        self,
        now: float,
        peer: admissionpart.PeerMessage,
        update: messages.AdmissionUpdate,
    ) -> None:
        """Store the demand at another entry; what is not plausible is left out."""
        for told in update.demand or ():
            scarce = self.services.get(told.service)
            if scarce is None:
                continue
            rates = {p: t / 10.0 for p, t in told.rates if 0 <= t <= MAX_TOLD_TENTHS}
            if len(rates) < len(told.rates):
                loguru.logger.warning(
                    "event=capacity_demand_invalid source={} service={} remedy={!r}",
                    peer.host,
                    told.service,
                    "check that the entries run the same version",
                )
            scarce.peers.on_message(now, peer.host, rates)


def find_scarce_services(
    current: catalog.Catalog,
) -> dict[str, tuple[catalog.EngineModel, float]]:
    """Return the services whose capacity is shared: engine model, permitted pause.

    These are services of lock-step engines to which routes of different priorities
    lead, of which one at least states a pause.
    """
    routes: dict[str, list[catalog.Route]] = {}
    for route in current.list_routes():
        for weighted in route.weighted_services:
            routes.setdefault(weighted.service, []).append(route)
    found = {}
    for service in current.services.values():
        engine = service.engine
        own = routes.get(service.name, [])
        if engine is None or not engine.layer_sets:
            continue
        pauses = [
            route.max_event_gap_s
            for route in own
            if route.is_stream and 0.0 < route.max_event_gap_s < math.inf
        ]
        if len({route.priority for route in own}) > 1 and pauses:
            found[service.name] = (engine, min(pauses))
    return found
