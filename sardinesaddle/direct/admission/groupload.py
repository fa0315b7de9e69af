"""What an entry knows of the load of lock-step groups, from the reports of their ranks.

The load of a group is what its ranks reported, with what this entry sent and saw end
since. Sends of other entries since the reports are not visible; they are estimated from
the rates that all entries compute, or, while nothing is held back, from the rate at
which the reported load changes.
"""

import collections
import collections.abc
import dataclasses
import math
import typing

from sardinesaddle.direct import messages, targetstate
from sardinesaddle.direct.admission import groupskew, passmodel

# Part of the permitted pause that the network takes, not the pass.
TRANSIT_S: typing.Final = 0.005
# Mean time from a send to the report that shows it: half of a report period of 0.3 s,
# reading the engine and the network.
REPORT_LAG_S: typing.Final = 0.2
GROWTH_SPAN_S: typing.Final = 0.25  # over which the rate of change is measured
# In which a group's load is led to its target; twice the lag of reports is stable.
APPROACH_S: typing.Final = 0.5
# Standard deviations of the requests that other entries send between reports, by which
# the load stays below the capacity.
CHANCE_SIGMAS: typing.Final = 1.3
MAX_SEEN_SHARE: typing.Final = 0.8  # of the sends; ends come by chance in any case
# Of the slots of a group; with more taken, entries that do not see each other's newest
# sends choose the same last slots.
SLOT_FILL: typing.Final = 0.97
# Over which ends are counted to learn how long requests run, and the number of ends
# that the mean of the configuration counts for. This entry alone may see few.
DURATION_WINDOW_S: typing.Final = 20.0
PRIOR_ENDS: typing.Final = 20.0
MIN_DURATION_S: typing.Final = 0.1
REFRESH_S: typing.Final = 0.25  # the period of ``GroupLoads.refresh``


@dataclasses.dataclass(slots=True)
class Group:
    """A lock-step group: its ranks by target, and what its reports show.

    ``capacity`` is the number of requests at which passes last as long as permitted,
    at most the slots. ``net_sent`` is what this entry sent since the ranks' reports
    were read, less what it saw end.
    """

    name: str
    ranks: dict[str, targetstate.Target] = dataclasses.field(default_factory=dict)
    epoch: int = -1
    skew: float = 1.0
    skews: groupskew.SkewMemory = dataclasses.field(
        default_factory=groupskew.SkewMemory
    )
    is_current: bool = False
    is_open: bool = False
    reported: int = 0
    net_sent: int = 0
    own_in_flight: int = 0
    slots: int = 0
    capacity: float = 0.0
    pass_s: float = 0.0
    # Requests a second that all entries sent lately, as far as this one can tell.
    sent_rate: float = 0.0

    def list_loads(self) -> list[passmodel.RankLoad]:
        """Return the loads of the ranks as they reported them."""
        return [
            passmodel.RankLoad(
                target.report.running, target.report.waiting, target.report.slowdown
            )
            for target in self.ranks.values()
            if target.report is not None
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The open groups of a service together, at one time.

    ``present`` estimates the requests of all entries that run or are on their way.
    """

    capacity: float
    reported: int
    present: float
    slots: int
    open_groups: list[Group]


class GroupLoads:
    """The groups of one service and what each of them takes now."""

    __slots__ = (
        "_history",
        "_is_available",
        "_model",
        "_own_ends",
        "_own_seconds",
        "duration_s",
        "groups",
        "growth",
        "max_pass_s",
        "share",
    )

    def __init__(
        self,
        model: passmodel.PassModel,
        max_pause_s: float,
        is_available: collections.abc.Callable[[targetstate.Target], bool],
    ) -> None:
        self._model = model
        self._is_available = is_available
        self.groups: dict[str, Group] = {}
        self.max_pass_s = max(max_pause_s - TRANSIT_S, 0.0)
        # Discounted ends of this entry's requests, and the seconds that these ran.
        self._own_ends = 0.0
        self._own_seconds = 0.0
        self.duration_s = model.compute_mean_duration_s(self.max_pass_s)
        # Requests a second by which the reported load of all open groups grows.
        self.growth = 0.0
        # This entry's share of the demand, and so of what is sent between reports.
        self.share = 1.0
        # Times, numbers of open groups and their reported loads.
        self._history: collections.deque[tuple[float, int, int]] = collections.deque()

    def set_model(self, model: passmodel.PassModel, max_pause_s: float) -> None:
        """Use the figures of a new configuration."""
        self._model = model
        self.max_pass_s = max(max_pause_s - TRANSIT_S, 0.0)
        self.invalidate()

    def invalidate(self) -> None:
        """Read all groups anew when they are next needed."""
        for group in self.groups.values():
            group.is_current = False

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
            group.skews = groupskew.SkewMemory()
        group.ranks[target.target_id] = target
        if report.rank == 0:
            group.skew = max(report.skew, 1.0)
        group.is_current = False

    def on_change(self, target: targetstate.Target, added: int) -> None:
        """Count a request that this entry sent to a target (1) or that ended (-1)."""
        self._own_ends += added < 0
        group = self.groups.get(target.group)
        if group is not None:
            group.net_sent += added
            group.own_in_flight += added

    def on_event_gap(
        self, target: targetstate.Target, stream: str, gap_s: float
    ) -> None:
        """Record the time between two events of a stream, which is a pass."""
        group = self.groups.get(target.group)
        if group is not None:
            group.skews.on_gap(stream, gap_s)

    def refresh(
        self, now: float, targets: collections.abc.Collection[targetstate.Target]
    ) -> None:
        """Drop ranks that are gone, and learn how long requests run."""
        registered = {target.target_id for target in targets}
        for group in list(self.groups.values()):
            group.ranks = {
                target_id: target
                for target_id, target in group.ranks.items()
                if target_id in registered and target.group == group.name
            }
            group.is_current = False
            group.skews.learn(now, self._model, group.list_loads())
            if not group.ranks:
                del self.groups[group.name]
        self._learn_duration(sum(target.own_in_flight for target in targets))

    def learn_growth(self, now: float, load: ServiceLoad) -> None:
        """Learn how the reported load changes."""
        count = len(load.open_groups)
        if self._history and self._history[-1][1] != count:
            # A group that opened or closed is no change of the demand.
            self._history.clear()
        self._history.append((now, count, load.reported))
        while len(self._history) > 2 and self._history[1][0] <= now - GROWTH_SPAN_S:
            self._history.popleft()
        began_at, _, was = self._history[0]
        span_s = max(now - began_at, GROWTH_SPAN_S)
        self.growth = (load.reported - was) / span_s

    def _learn_duration(self, own_in_flight: int) -> None:
        """Learn how long requests run: the seconds that they run for each that ends.

        A mean of those that ended would be too short after a burst began.
        """
        decay = 1.0 - REFRESH_S / DURATION_WINDOW_S
        self._own_ends *= decay
        self._own_seconds = self._own_seconds * decay + own_in_flight * REFRESH_S
        prior_s = self._model.compute_mean_duration_s(self.max_pass_s)
        self.duration_s = max(
            (self._own_seconds + PRIOR_ENDS * prior_s) / (self._own_ends + PRIOR_ENDS),
            MIN_DURATION_S,
        )

    def read(self, now: float, name: str) -> Group | None:
        """Return a group with what its reports show now, None if it is unknown."""
        group = self.groups.get(name)
        if group is None:
            return None
        if not group.is_current:
            self._read_reports(now, group)
        return group

    def _read_reports(self, now: float, group: Group) -> None:
        """Compute load and capacity of a group from the reports of its ranks."""
        ranks = list(group.ranks.values())
        fresh = [t for t in ranks if t.has_fresh_report(now)]
        group.is_open = bool(fresh) and all(
            t.report is not None
            and t.report.is_alive
            and t.report.is_group_open
            and self._is_available(t)
            for t in fresh
        )
        loads = group.list_loads()
        group.reported = round(sum(load.running + load.waiting for load in loads))
        group.net_sent = sum(len(t.recent_sends) - len(t.recent_ends) for t in ranks)
        group.own_in_flight = sum(t.own_in_flight for t in ranks)
        group.slots = sum(t.registration.slots for t in ranks)
        planned = group.skews.find_highest(group.skew)
        headroom = self._model.compute_headroom(loads, planned, self.max_pass_s)
        group.pass_s = headroom.pass_s
        group.capacity = min(
            max(group.reported + headroom.requests, 0.0), SLOT_FILL * group.slots
        )
        group.is_current = True

    def list_open(self, now: float) -> list[Group]:
        """Return the groups that work and may get requests."""
        groups = [self.read(now, name) for name in self.groups]
        return [group for group in groups if group is not None and group.is_open]

    def add_up(self, now: float) -> ServiceLoad:
        """Return the load and the capacity of all open groups."""
        groups = self.list_open(now)
        return ServiceLoad(
            sum(group.capacity for group in groups),
            sum(group.reported for group in groups),
            sum(self.estimate_present(group) for group in groups),
            sum(group.slots for group in groups),
            groups,
        )

    def estimate_present(self, group: Group) -> float:
        """Estimate the requests of all entries that run or are on their way."""
        others = (1.0 - self.share) * (group.sent_rate - self.compute_end_rate(group))
        return max(group.reported + group.net_sent + others * REPORT_LAG_S, 0.0)

    def compute_end_rate(self, group: Group) -> float:
        """Return the requests a second that end."""
        return group.reported / self.duration_s

    def learn_sent_rate(self, group: Group, rate: float, span_s: float) -> None:
        """Learn the rate at which all entries sent to a group for some time."""
        weight = 1.0 - math.exp(-span_s / REPORT_LAG_S)
        group.sent_rate += weight * (rate - group.sent_rate)

    def count_room(self, group: Group) -> float:
        """Return how many requests more a group takes, as far as this entry knows."""
        return group.capacity - self.estimate_present(group)

    def compute_aim(self, group: Group) -> float:
        """Return the load that is aimed at.

        It leaves room for what the other entries send by chance between reports.
        """
        others = 1.0 - min(self.share, MAX_SEEN_SHARE)
        unseen = others * group.capacity / self.duration_s * REPORT_LAG_S
        chance = math.sqrt(unseen)
        return max(group.capacity - CHANCE_SIGMAS * chance, 0.0)

    def compute_sustained_rate(self, group: Group) -> float:
        """Return the rate of sends that keeps a group at the load that is aimed at."""
        return self.compute_aim(group) / self.duration_s

    def compute_send_rate(self, group: Group) -> float:
        """Return the rate of sends that leads a group to the load that is aimed at.

        That is as many as end, and the missing load within ``APPROACH_S``.
        """
        missing = self.compute_aim(group) - self.estimate_present(group)
        return max(self.compute_end_rate(group) + missing / APPROACH_S, 0.0)
