"""What an entry knows of the load of lock-step groups, from the reports of their ranks.

The load of a group is what its ranks reported, with what this entry sent and saw end
since. What the other entries sent and saw end since is taken to cancel out, except for
a surge that ``GroupLoads`` bounds from the rate at which requests end.
"""

import dataclasses
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
    # Draws the fraction of a request that a share leaves; new with each refresh.
    rounding: float = 0.5

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
        random_fraction: typing.Callable[[], float],
    ) -> None:
        """Drop ranks that are gone, and compute loads and this entry's share."""
        registered = {target.target_id for target in targets}
        own = in_flight = slots = 0.0
        for group in list(self.groups.values()):
            group.ranks = {
                target_id: target
                for target_id, target in group.ranks.items()
                if target_id in registered and target.group == group.name
            }
            group.invalidate()
            group.rounding = random_fraction()
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
        share = EQUAL_SHARE / self.entry_count + (1.0 - EQUAL_SHARE) * carried
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

    def compute_surge(self, group: Group) -> float:
        """Return what other entries may have sent to a group since the reports."""
        capacity = max(group.count_reported() + self.predict(group).requests, 0.0)
        rate = capacity / self.duration_s
        return SURGE_FACTOR * REPORT_LAG_S * rate * (1.0 - self.share)

    def sustains_half(self, group: Group) -> bool:
        """Return whether a group sustains half of its slots, with room for a surge."""
        capacity = group.count_reported() + self.predict(group).requests
        slots = sum(t.registration.slots for t in group.ranks.values())
        return capacity - self.compute_surge(group) > slots / 2.0

    def count_missing(self, group: Group, reserved: float) -> float:
        """Return how many requests must end before this entry may send one more.

        0 or less if it may send one now. ``reserved`` is how many requests the service
        keeps free for others. While what other entries may have sent since the reports
        fits, this entry is not limited to its share.
        """
        count = max(len(self.groups), 1)
        reported = self.predict(group).requests
        headroom = reported - reserved / count
        net_sent = self.count_net_sent(group)
        if reserved > 0.0 and headroom - net_sent < 1.0:
            # Shares do not divide what is reserved: it is kept from every entry.
            return 1.0 + net_sent - headroom
        surge = self.compute_surge(group)
        shared = self.share * headroom + group.rounding
        return net_sent + 1.0 - max(shared, headroom - surge)
