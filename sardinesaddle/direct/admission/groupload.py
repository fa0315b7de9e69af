"""What an entry knows of the load of lock-step groups, from the reports of their ranks.

The load of a group is what its ranks reported, with what this entry sent and saw end
since. What the other entries sent and saw end since is taken to cancel out, except for
a surge that ``GroupLoads`` bounds from the rate at which requests end.
"""

import dataclasses
import math
import typing

from sardinesaddle.direct import messages, targetstate
from sardinesaddle.direct.admission import passmodel

# Part of the permitted pause that the network takes, not the pass.
TRANSIT_S: typing.Final = 0.005
# From a send at another entry to the report that shows it: most of a report period of
# 0.3 s, as the sends of a burst are the newest.
REPORT_LAG_S: typing.Final = 0.25
# Requests that may arrive at the other entries in that time, in excess of those that
# end: offered work is up to 2.5 times what the groups sustain.
SURGE_FACTOR: typing.Final = 1.5
REFRESH_S: typing.Final = 0.25  # the period of ``GroupLoads.refresh``
GROWTH_WEIGHT: typing.Final = 0.7  # of a new value in the moving average
CHANCE_SIGMAS: typing.Final = 1.0  # standard deviations of arrivals, kept free
SPARE_GAIN: typing.Final = 0.5  # of the spare capacity, used within that time
# Of the capacity that comes free, divided equally among entries, whatever they carry.
EQUAL_SHARE: typing.Final = 0.25
DURATION_WEIGHT: typing.Final = 0.02  # of a request in the moving average
SHARE_WEIGHT: typing.Final = 0.2  # of a new value in the moving average, 4 a second


@dataclasses.dataclass(slots=True)
class Group:
    """A lock-step group: its ranks by target, and the newest prediction.

    ``net_sent`` is what this entry sent since the ranks' reports were read, less what
    it saw end; None if it must be counted anew, as must ``headroom``.
    """

    name: str
    ranks: dict[str, targetstate.Target] = dataclasses.field(default_factory=dict)
    epoch: int = -1
    skew: float = 1.0
    headroom: passmodel.Headroom | None = None
    net_sent: float | None = None
    # Requests a second by which the reported load grew lately.
    growth: float = 0.0
    last_reported: int = 0

    def invalidate(self) -> None:
        """Compute the prediction anew when it is next needed."""
        self.headroom = None
        self.net_sent = None

    def list_loads(self) -> list[passmodel.RankLoad]:
        """Return the loads of the ranks as they reported them."""
        return [
            passmodel.RankLoad(
                target.report.running, target.report.waiting, target.report.slowdown
            )
            for target in self.ranks.values()
            if target.report is not None
        ]

    def count_reported(self) -> int:
        """Return the requests of all entries that the ranks reported."""
        return sum(
            target.report.running + target.report.waiting
            for target in self.ranks.values()
            if target.report is not None
        )


class GroupLoads:
    """The groups of one service and what each of them takes now."""

    __slots__ = (
        "_model",
        "duration_s",
        "entry_count",
        "groups",
        "half_slots",
        "in_flight",
        "max_pass_s",
        "share",
    )

    def __init__(
        self, model: passmodel.PassModel, max_pause_s: float, entry_count: int = 1
    ) -> None:
        self._model = model
        self.groups: dict[str, Group] = {}
        self.max_pass_s = max(max_pause_s - TRANSIT_S, 0.0)
        self.entry_count = entry_count
        # This entry's share of the capacity that comes free.
        self.share = 1.0 / entry_count
        self.duration_s = model.compute_mean_duration_s(self.max_pass_s)
        # Requests of all entries at open groups, and half of these groups' slots.
        self.in_flight = 0.0
        self.half_slots = 0.0

    def set_model(self, model: passmodel.PassModel, max_pause_s: float) -> None:
        """Use the figures of a new configuration."""
        self._model = model
        self.max_pass_s = max(max_pause_s - TRANSIT_S, 0.0)
        for group in self.groups.values():
            group.invalidate()

    def learn_duration(self, duration_s: float) -> None:
        """Learn how long requests run from one that was completed."""
        self.duration_s += DURATION_WEIGHT * (max(duration_s, 0.1) - self.duration_s)

    @property
    def end_rate(self) -> float:
        """The requests a second that end, which is the capacity that comes free."""
        return self.in_flight / max(self.duration_s, 0.1)

    @property
    def is_half_free(self) -> bool:
        """Whether fewer than half of the slots of open groups are taken."""
        return self.in_flight < self.half_slots

    def on_report(self, target: targetstate.Target, report: messages.Report) -> None:
        """Apply a report; only that of rank 0 has the skew of the group's map."""
        if not report.group:
            return
        group = self.groups.get(report.group)
        if group is None:
            group = self.groups[report.group] = Group(report.group)
        if report.epoch < group.epoch:
            return
        if report.epoch > group.epoch:
            group.epoch = report.epoch
            group.ranks = {}
            group.skew = 1.0
        group.ranks[target.target_id] = target
        if report.rank == 0:
            group.skew = max(report.skew, 1.0)
        group.invalidate()

    def on_change(self, target: targetstate.Target, added: int) -> None:
        """Count a request that this entry sent to a target (1) or that ended (-1)."""
        self.in_flight = max(self.in_flight + added, 0.0)
        group = self.groups.get(target.group)
        if group is not None:
            group.net_sent = None

    def refresh(
        self,
        now: float,
        targets: typing.Collection[targetstate.Target],
        demand_share: float,
    ) -> None:
        """Drop ranks that are gone, and compute loads and this entry's share.

        ``demand_share`` is this entry's share of the demand at all entries.
        """
        registered = {target.target_id for target in targets}
        own = in_flight = slots = 0.0
        for group in list(self.groups.values()):
            group.ranks = {
                target_id: target
                for target_id, target in group.ranks.items()
                if target_id in registered and target.group == group.name
            }
            group.invalidate()
            reported = group.count_reported()
            growth = (reported - group.last_reported) / REFRESH_S
            group.growth += GROWTH_WEIGHT * (growth - group.growth)
            group.last_reported = reported
            if not group.ranks:
                del self.groups[group.name]
                continue
            if not self.is_open(now, group):
                continue
            for target in group.ranks.values():
                own += target.own_in_flight
                in_flight += target.estimate_in_flight(now, self.entry_count)
                slots += target.registration.slots
        self.in_flight = in_flight
        self.half_slots = slots / 2.0
        carried = own / in_flight if in_flight else 1.0 / self.entry_count
        by_load = (min(carried, 1.0) + demand_share) / 2.0
        share = EQUAL_SHARE / self.entry_count + (1.0 - EQUAL_SHARE) * by_load
        self.share += SHARE_WEIGHT * (min(share, 1.0) - self.share)

    def is_open(self, now: float, group: Group) -> bool:
        """Return whether a group has ranks, and those with fresh reports all work."""
        fresh = [t for t in group.ranks.values() if t.has_fresh_report(now)]
        return bool(fresh) and all(
            t.report is not None and t.report.is_alive and t.report.is_group_open
            for t in fresh
        )

    def predict(self, group: Group) -> passmodel.Headroom:
        """Return the group's headroom as its ranks reported it."""
        if group.headroom is None:
            group.headroom = self._model.compute_headroom(
                group.list_loads(), group.skew, self.max_pass_s
            )
        return group.headroom

    def count_net_sent(self, group: Group) -> float:
        """Return what this entry sent since the reports, less what it saw end."""
        if group.net_sent is None:
            group.net_sent = float(
                sum(
                    len(t.recent_sends) - len(t.recent_ends)
                    for t in group.ranks.values()
                )
            )
        return group.net_sent

    def sustains_half(self, group: Group) -> bool:
        """Return whether a group sustains half of its slots, with room for a surge."""
        capacity = group.count_reported() + self.predict(group).requests
        surge = SURGE_FACTOR * REPORT_LAG_S * self.compute_full_rate(group)
        slots = sum(t.registration.slots for t in group.ranks.values())
        return capacity - surge > slots / 2.0

    def compute_full_rate(self, group: Group) -> float:
        """Return the requests a second that end at a group with full passes."""
        capacity = max(group.count_reported() + self.predict(group).requests, 0.0)
        return capacity / self.duration_s

    def count_spare(self, group: Group, reserved: float) -> float:
        """Return how many requests more a group takes, as far as this entry knows.

        ``reserved`` is how many requests the service keeps free for others.
        """
        headroom = self.predict(group).requests - reserved / max(len(self.groups), 1)
        return headroom - self.count_net_sent(group)

    def compute_admission(
        self, group: Group, reserved: float, urgent_rate: float, rate: float
    ) -> float:
        """Return the probability with which to send a request to a group.

        ``urgent_rate`` is that of more urgent requests at all entries, and ``rate``
        that of requests of the same priority. Until the next report the other entries
        send the former and that share of the latter, and some of their requests end.
        The probability is such that, with these, half of the spare capacity is used;
        more would overshoot, since reports lag by as long. The entries' sum is right
        whichever entry the requests arrive at.
        """
        full_rate = self.compute_full_rate(group)
        spare = self.count_spare(group, reserved)
        if spare < 1.0:
            return 0.0
        # What arrives by chance until the next report, beyond the mean.
        # A burst shows in the growth of the load before entries tell their demand.
        spare -= max(group.growth, 0.0) * REPORT_LAG_S * (1.0 - min(self.share, 1.0))
        spare -= CHANCE_SIGMAS * math.sqrt(full_rate * REPORT_LAG_S)
        others = REPORT_LAG_S * (1.0 - min(self.share, 1.0))
        ends = full_rate - urgent_rate / max(len(self.groups), 1)
        arrivals = rate / max(len(self.groups), 1)
        if spare >= 1.0 and others * (arrivals - ends) <= spare - 1.0:
            return 1.0
        free = SPARE_GAIN * spare + others * ends
        return min(max(free / max(others * arrivals, 1e-6), 0.0), 1.0)
