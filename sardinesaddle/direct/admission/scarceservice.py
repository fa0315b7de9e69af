"""Decides which requests for one service are sent while its capacity is scarce.

All entries see the same reports and tell each other their demand. From these, each
computes the rate at which all entries together may send, so that the groups' load
reaches the load with the longest permitted passes, and divides it by priority and by
account (``capacityshares``). The result is the part of the requests of an account and
a priority that is sent, the same at all entries. While that is all of them, only the
groups' own room decides.

A request that is not among that part is refused at once. One that is, but finds no
group with room, waits for an eighth of its latency objective.
"""

import collections
import collections.abc
import dataclasses
import math
import typing

import loguru

from sardinesaddle.direct import catalog, messages, requestqueue, targetstate
from sardinesaddle.direct.admission import (
    capacityshares,
    groupload,
    kinddemand,
    passmodel,
    returnplaces,
    sendbalance,
    sendconstraint,
)

# Of the capacity, by which requests more urgent than the priority that is held back may
# exceed it. Their rate is sustained, so that this is by chance and for a short time.
URGENT_EXCESS: typing.Final = 0.05
# While less than half of the slots is taken nothing is refused. The margins are for the
# age of reports: to begin to hold back, and to go on.
HALF_FREE_SHARES: typing.Final = (0.55, 0.54)
STALE_S: typing.Final = 0.02  # for which the computed shares are used
FREE_WAIT_SHARE: typing.Final = 0.125  # of the latency objective, users' bound
USUAL_WINDOW_S: typing.Final = 30.0
# A late response is worth as much as one on time of a priority lower by this much.
LATE_STEPS: typing.Final = 1.8
# Requests of an account that are sent in excess of its share after some were not used.
MAX_CREDIT: typing.Final = 2.0
# A client returns a round trip and some jitter after the time that it was told.
EARLY_RETURN_S: typing.Final = 0.25
LATE_RETURN_S: typing.Final = 1.0
MAX_PROMISES: typing.Final = 4096
DEFAULT_REMAINING_S: typing.Final = 8.0  # of a request whose deadline is not known
NEVER_HELD_BACK: typing.Final = -1
MAX_LOGGED_SHARES: typing.Final = 4
GROUP_FULL: typing.Final = sendconstraint.Verdict(
    sendconstraint.Decision.LATER, "group_full", math.inf
)
NOT_SELECTED: typing.Final = sendconstraint.Verdict(
    sendconstraint.Decision.LATER, "capacity_share", math.inf
)
PROMPTS_WAIT: typing.Final = sendconstraint.Verdict(
    sendconstraint.Decision.LATER, "prompts_wait", math.inf
)


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """What may be sent now, in requests a second of all entries.

    That is by group and by priority, and for each priority the accounts' fair level.
    ``is_half_free`` is set while half of the slots are free. ``cutoff`` is the most
    urgent priority that is held back, NEVER_HELD_BACK if none is. ``own_rate`` is what
    this entry sends of all that.
    """

    computed_at: float
    load: groupload.ServiceLoad
    is_half_free: bool
    cutoff: int
    own_rate: float
    group_rates: dict[str, float]
    rates: dict[int, float]
    levels: dict[int, float]

    @property
    def is_scarce(self) -> bool:
        """Whether a priority is held back."""
        return self.cutoff != NEVER_HELD_BACK


class ScarceService(requestqueue.QueuePolicy):
    """One service whose capacity is shared: its groups, demand and queue order."""

    lets_others_pass: typing.ClassVar[bool] = True

    def __init__(
        self,
        name: str,
        engine: catalog.EngineModel,
        max_pause_s: float,
        is_available: collections.abc.Callable[[targetstate.Target], bool],
        random_fraction: collections.abc.Callable[[], float],
    ) -> None:
        self.name = name
        self.model = passmodel.PassModel(engine)
        self.loads = groupload.GroupLoads(self.model, max_pause_s, is_available)
        self.demand = kinddemand.KindDemand()
        self.usual = kinddemand.UsualDemand(USUAL_WINDOW_S)
        self._early_places = returnplaces.ReturnPlaces()
        self._late_places = returnplaces.ReturnPlaces()
        # The most urgent priority that is held back, NEVER_HELD_BACK if none is.
        self.cutoff = NEVER_HELD_BACK
        # When clients were told to return, by content.
        self._promises: dict[str, float] = {}
        # Requests that an account may send, by priority and account.
        self._credits: dict[tuple[int, str], float] = {}
        self._balance = sendbalance.SendBalance()
        self._random_fraction = random_fraction
        self._shares: Shares | None = None
        self._was_scarce = False
        self._learned_at = -math.inf
        # The groups to which requests may go, until loads or shares change.
        self._groups_by_priority: dict[int, frozenset[str]] = {}

    def set_model(self, engine: catalog.EngineModel, max_pause_s: float) -> None:
        """Use the figures of a new configuration."""
        self.model = passmodel.PassModel(engine)
        self.loads.set_model(self.model, max_pause_s)

    def invalidate(self) -> None:
        """Compute everything anew, since available targets changed."""
        self.loads.invalidate()
        self._shares = None

    # Shares.

    def compute_shares(self, now: float) -> Shares:
        """Return what may be sent now, computed at most ``STALE_S`` ago."""
        shares = self._shares
        if shares is None or now - shares.computed_at > STALE_S:
            shares = self._shares = self._compute_shares(now)
            self._groups_by_priority.clear()
        return shares

    def _compute_shares(self, now: float) -> Shares:
        """Compute the rate of sends and divide it."""
        load = self.loads.add_up(now)
        self.loads.learn_growth(now, load)
        group_rates = {
            group.name: self.loads.compute_send_rate(group)
            for group in load.open_groups
        }
        sustained = sum(map(self.loads.compute_sustained_rate, load.open_groups))
        available = sum(group_rates.values())
        rates = capacityshares.divide_by_priority(
            available, sustained, self.demand.rates
        )
        levels = {}
        for priority, rate in rates.items():
            demand = self.demand.rates[priority]
            if rate >= demand:
                levels[priority] = math.inf
                continue
            accounts = [
                r for (p, _), r in self.demand.accounts.items() if p == priority
            ]
            # Averages of accounts are over a longer time than those of priorities.
            factor = demand / max(sum(accounts), 1e-6)
            levels[priority] = capacityshares.compute_fair_level(
                accounts, rate / max(factor, 1e-6)
            )
        # By the reports alone, since the others may send less than their demand allows.
        reported = load.reported + self.loads.growth * groupload.REPORT_LAG_S
        taken = min(load.present, reported)
        is_half_free = taken < HALF_FREE_SHARES[self._was_scarce] * load.slots
        held_back = [p for p, level in levels.items() if math.isfinite(level)]
        cutoff = NEVER_HELD_BACK
        if held_back and not is_half_free:
            cutoff = min(held_back)
        own = self.demand.list_own_rates()
        own_rate = sum(
            rate * own.get(priority, 0.0) / self.demand.rates[priority]
            for priority, rate in rates.items()
            if rate > 0.0
        )
        own_rate *= available / max(sum(rates.values()), 1e-6)
        shares = Shares(
            now, load, is_half_free, cutoff, own_rate, group_rates, rates, levels
        )
        self._was_scarce = shares.is_scarce
        self._learn_sent_rates(shares)
        return shares

    def _learn_sent_rates(self, shares: Shares) -> None:
        """Learn what all entries send to each group."""
        span_s = shares.computed_at - self._learned_at
        self._learned_at = shares.computed_at
        groups = shares.load.open_groups
        available = sum(shares.group_rates.values())
        sent = sum(shares.rates.values())
        for group in groups:
            if shares.is_scarce:
                part = shares.group_rates[group.name] / max(available, 1e-6)
                rate = sent * part
            else:
                # The growth shows a burst before the entries have told their demand.
                growing = self.loads.compute_end_rate(group)
                growing += self.loads.growth / len(groups)
                rate = max(growing, sent / len(groups))
            self.loads.learn_sent_rate(group, max(rate, 0.0), span_s)

    def _settle_balance(self, now: float) -> None:
        """Bring the balance of sends up to date."""
        shares = self.compute_shares(now)
        if not shares.is_scarce:
            self._balance.reset(now)
            return
        part = shares.own_rate / max(sum(shares.group_rates.values()), 1e-6)
        rates = {name: rate * part for name, rate in shares.group_rates.items()}
        groups = shares.load.open_groups
        self._balance.settle(now, groups, rates, self.loads.duration_s)

    def compute_part(self, now: float, priority: int, account: str) -> float:
        """Return which part of an account's requests of a priority is sent."""
        shares = self.compute_shares(now)
        if not shares.is_scarce:
            return 1.0
        level = shares.levels.get(priority, math.inf)
        if math.isinf(level):
            return 1.0
        rate = self.demand.compute_account_rate(priority, account)
        return capacityshares.compute_account_share(rate, level)

    def on_request(self, now: float, request: sendconstraint.RequestTraits) -> None:
        """Count a request as demand, and give its account its part of a send."""
        self.demand.on_request(request.priority, request.account)
        self._settle_balance(now)
        key = request.priority, request.account
        part = self.compute_part(now, *key)
        known = self._credits.get(key)
        if known is None:
            known = self._random_fraction()
        # All of an account within its share are sent, whatever was not before.
        credit = known + part if part < 1.0 else max(known + 1.0, 1.0)
        self._credits[key] = min(credit, MAX_CREDIT)

    def on_change(self, target: targetstate.Target, added: int) -> None:
        """Count a request that this entry sent to a target (1) or that ended (-1)."""
        self.loads.on_change(target, added)
        self._balance.add(target.group, -added)
        self._groups_by_priority.clear()

    def on_report(self, target: targetstate.Target, report: messages.Report) -> None:
        """Apply a sidecar's report."""
        self.loads.on_report(target, report)
        self._groups_by_priority.clear()

    def count_send(self, request: sendconstraint.RequestTraits) -> None:
        """Take the credit of a request that is sent."""
        key = request.priority, request.account
        if not request.is_resumed and key in self._credits:
            self._credits[key] = max(self._credits[key] - 1.0, -MAX_CREDIT)

    def is_selected(self, now: float, request: sendconstraint.RequestTraits) -> bool:
        """Return whether a request is among those that are sent."""
        key = request.priority, request.account
        shares = self.compute_shares(now)
        if request.is_return or shares.is_half_free:
            return True
        if self.compute_part(now, *key) >= 1.0 and (
            request.priority != shares.cutoff or not self._balance.is_exhausted
        ):
            return True
        credit = self._credits.get(key, 1.0)
        if request.priority == shares.cutoff:
            credit += self._balance.compute_total()
        return credit >= 1.0

    # Targets.

    def check(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> sendconstraint.Verdict:
        """Return whether a request is sent, and whether the target's group has room."""
        if request.is_resumed:
            return sendconstraint.ALLOWED
        group = self.loads.read(now, target.group)
        if group is None or not group.is_open:
            return sendconstraint.ALLOWED
        if not self.is_selected(now, request):
            return NOT_SELECTED
        if group.name not in self._find_groups(now, request.priority):
            return GROUP_FULL
        report = target.report
        if report is not None and report.waiting and request.latency_objective_s > 0.0:
            load = passmodel.RankLoad(report.running, report.waiting, report.slowdown)
            first_s = self.model.compute_first_event_s(
                load, group.pass_s, request.prompt_tokens
            )
            if first_s > request.latency_objective_s:
                return PROMPTS_WAIT
        return sendconstraint.ALLOWED

    def _find_groups(self, now: float, priority: int) -> frozenset[str]:
        """Return the groups to which a request may go now, computed once for each load.

        While capacity is scarce, that is the group to which this entry should send
        most. If each chose the group with the most room, all would choose the same one
        until the next reports. While half
        of the slots are free and no group has room, all groups may get requests, since
        nothing may be refused then.
        """
        shares = self.compute_shares(now)
        found = self._groups_by_priority.get(priority)
        if found is not None:
            return found
        groups = shares.load.open_groups
        is_urgent = shares.is_scarce and priority < shares.cutoff
        excess = URGENT_EXCESS if is_urgent else 0.0
        names = [
            group.name
            for group in groups
            if self.loads.count_room(group) >= 1.0 - excess * group.capacity
        ]
        if not names and shares.is_half_free:
            names = [group.name for group in groups]
        elif names and shares.is_scarce:
            names = [max(names, key=self._balance.get)]
        found = self._groups_by_priority[priority] = frozenset(names)
        return found

    # The queue.

    def sort(
        self, now: float, requests: list[requestqueue.QueuedRequest]
    ) -> list[requestqueue.QueuedRequest]:
        """Return resumed streams first, then what is worth most, returns first."""

        def make_key(
            queued: requestqueue.QueuedRequest,
        ) -> tuple[bool, float, bool, float]:
            late_steps = 0.0 if queued.can_meet_deadline(now) else LATE_STEPS
            return (
                not queued.traits.is_resumed,
                queued.traits.priority + late_steps,
                not queued.traits.is_return,
                queued.first_event_deadline,
            )

        return sorted(requests, key=make_key)

    def compute_wait_deadline(
        self, now: float, request: requestqueue.QueuedRequest
    ) -> float:
        """Return until when a request waits for capacity, ``now`` if in vain.

        While no group is open or half of the slots are free, requests wait as in other
        services.
        """
        shares = self.compute_shares(now)
        if (
            request.traits.is_resumed
            or shares.is_half_free
            or not shares.load.open_groups
        ):
            return request.wait_deadline
        if not self.is_selected(now, request.traits):
            return now
        free_s = FREE_WAIT_SHARE * request.traits.latency_objective_s
        return min(request.wait_deadline, now + free_s)

    # Refusals.

    def is_return(self, now: float, content_id: str) -> bool:
        """Return whether a client comes back at the time it was told, or later.

        Only returns to the entry that refused the request are recognized. Clients that
        return early get no precedence.
        """
        due_at = self._promises.get(content_id)
        return due_at is not None and due_at - EARLY_RETURN_S <= now

    def choose_return_s(
        self, now: float, request: sendconstraint.RequestTraits, content_id: str
    ) -> float:
        """Return when the client of a refused request should come back.

        If more capacity becomes free than requests of its and more urgent priorities
        use, at that rate; otherwise at the latest time that serves it, at the rate that
        remains with the usual demand. If there is none, after its deadline.
        """
        full_rate = self.compute_shares(now).load.capacity / self.loads.duration_s
        fraction = self._random_fraction()
        remaining_s = request.deadline - now
        if not math.isfinite(remaining_s):
            remaining_s = DEFAULT_REMAINING_S
        latest_s = remaining_s - self.loads.duration_s
        share = self.loads.share
        demand = sum(r for p, r in self.demand.rates.items() if p <= request.priority)
        usual = self.usual.sum_up_to(request.priority)
        earliest_s = returnplaces.MIN_RETURN_S
        delay_s = self._early_places.choose_delay_s(
            now, earliest_s, latest_s, (full_rate - demand) * share, fraction
        )
        if delay_s is None:
            delay_s = self._late_places.choose_delay_s(
                now,
                max(latest_s - returnplaces.LATEST_SPAN_S, earliest_s),
                latest_s,
                (full_rate - usual) * share,
                fraction,
            )
        if delay_s is None:
            beyond_s = max(remaining_s, earliest_s)
            return beyond_s + returnplaces.BEYOND_SPAN_S * fraction
        if len(self._promises) < MAX_PROMISES:
            self._promises[content_id] = now + delay_s
        return delay_s

    # Periodic work.

    def refresh(
        self,
        now: float,
        alive: collections.abc.Collection[str],
        targets: collections.abc.Collection[targetstate.Target],
    ) -> None:
        """Compute loads, rates, and the most urgent priority that is held back."""
        self.loads.refresh(now, targets)
        self.demand.refresh(now, alive)
        self.usual.refresh(self.demand.rates)
        self.loads.share = self.demand.compute_own_share(len(alive) + 1)
        self._shares = None
        for content_id, due_at in list(self._promises.items()):
            if due_at + LATE_RETURN_S < now:
                del self._promises[content_id]
        shares = self.compute_shares(now)
        cutoff = shares.cutoff
        if cutoff != self.cutoff:
            loguru.logger.info(
                "event=capacity_cutoff service={} priority={} was={} present={:.0f}"
                " capacity={:.0f} groups={} share={:.3f}",
                self.name,
                cutoff,
                self.cutoff,
                shares.load.present,
                shares.load.capacity,
                len(shares.load.open_groups),
                self.loads.share,
            )
            self.cutoff = cutoff
        if cutoff == NEVER_HELD_BACK:
            self._credits.clear()

    def format_shares(self, now: float) -> str:
        """Return the rates by priority that are sent and requested, for the log."""
        rates = self.compute_shares(now).rates
        ordered = sorted(self.demand.rates.items())[:MAX_LOGGED_SHARES]
        return ",".join(f"{p}:{rates.get(p, 0.0):.1f}/{r:.1f}" for p, r in ordered)
