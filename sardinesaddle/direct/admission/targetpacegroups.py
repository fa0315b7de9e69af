"""Limits lock-step groups that have just opened, by the predicted time of their passes.

A group opens with the initial expert map. Until its leader has switched the map, the
most loaded rank makes passes so long that with full slots all streams of the group are
late. For that time each rank gets only as many requests as keep the passes within the
permitted pause. All entries compute the same limit from the same reports, so that
nothing is exchanged and no entry waits for a part. See ``docs/design/ramp-up.md``.
"""

import bisect
import dataclasses
import math
import typing

import loguru

from sardinesaddle.direct import catalog, messages, targetstate
from sardinesaddle.direct.admission import groupload, passmodel

# Of the initial expert map, as operators state it for groups that have just opened.
INITIAL_SKEW: typing.Final = 3.5
# The map is balanced 1.5 s after the opening; 1.5 times that is the longest time in
# which a group must reach full use.
MAX_LIMIT_S: typing.Final = 2.25
# Earlier reports may have the skew of the map before the group closed, since the leader
# computes it anew only once the ranks have served some requests.
SKEW_DELAY_S: typing.Final = 0.5
MAX_RANKS: typing.Final = 1000  # of a reported size, which is not checked elsewhere
UNKNOWN_SKEW: typing.Final = 1.0  # of a leader that has not computed one yet


@dataclasses.dataclass(frozen=True, slots=True)
class GroupModel:
    """How long the passes of a service's groups take and may take."""

    passes: passmodel.PassModel
    max_pass_s: float

    def fits(self, load: passmodel.RankLoad, size: int, skew: float) -> bool:
        """Return whether passes with the same load at each rank are short enough."""
        loads = [load] * min(max(size, 1), MAX_RANKS)
        return self.passes.compute_pass_s(loads, skew) <= self.max_pass_s

    def compute_limit(self, slots: int, size: int, skew: float) -> int:
        """Return the requests that each rank bears, 1 at least."""
        fitting = bisect.bisect_left(
            range(1, slots + 1),
            True,
            key=lambda count: not self.fits(passmodel.RankLoad(count), size, skew),
        )
        return max(fitting, 1)


@dataclasses.dataclass(slots=True)
class OpenedGroup:
    """A group in its newest epoch; ``limit`` is that of each rank, None for none."""

    service: str
    epoch: int
    is_open: bool = False
    opened_at: float = -math.inf
    limit: int | None = None


class OpenedGroups:
    """The lock-step groups that an entry knows, with the limits of their ranks."""

    def __init__(self) -> None:
        self._models: dict[str, GroupModel] = {}
        self._groups: dict[str, OpenedGroup] = {}

    def on_catalog(self, current: catalog.Catalog) -> frozenset[str]:
        """Learn the pass times of services; return those with lock-step groups."""
        lockstep = {
            service.name: service.engine
            for service in current.services.values()
            if service.engine is not None and service.engine.layer_sets
        }
        pauses: dict[str, float] = {}
        for route in current.list_routes():
            if not route.is_stream or not 0.0 < route.max_event_gap_s < math.inf:
                continue
            for weighted in route.weighted_services:
                known = pauses.get(weighted.service, math.inf)
                pauses[weighted.service] = min(known, route.max_event_gap_s)
        self._models = {
            name: GroupModel(
                passmodel.PassModel(engine), pauses[name] - groupload.TRANSIT_S
            )
            for name, engine in lockstep.items()
            if name in pauses
        }
        return frozenset(lockstep)

    def on_report(
        self,
        now: float,
        target: targetstate.Target,
        report: messages.Report,
        has_just_opened: bool,
    ) -> None:
        """Limit a group that opens, and end the limit once its map is balanced.

        ``has_just_opened`` is whether a group that is open in the first report of it
        counts as one that opens.
        """
        group = self._groups.get(report.group)
        if group is not None and report.epoch < group.epoch:
            return
        is_first = group is None
        if group is None or report.epoch > group.epoch:
            group = OpenedGroup(target.registration.service, report.epoch)
            self._groups[report.group] = group
        if not report.is_group_open:
            group.is_open, group.limit = False, None
        elif report.is_alive and not group.is_open:
            group.is_open = True
            if has_just_opened or not is_first:
                self._open(now, group, target, report)
        elif report.rank == 0 and group.limit is not None:
            self._on_skew(now, group, target, report)

    def _open(
        self,
        now: float,
        group: OpenedGroup,
        target: targetstate.Target,
        report: messages.Report,
    ) -> None:
        """Set the limit of a group that has opened."""
        model = self._models.get(group.service)
        slots = max(target.registration.slots, 1)
        if model is None:
            return
        limit = model.compute_limit(slots, report.size, INITIAL_SKEW)
        if limit >= slots:
            return
        group.opened_at = now
        group.limit = limit
        loguru.logger.info(
            "event=ramp_up_begins target={}/{} service={} cause=group_opened window={}",
            report.group,
            group.epoch,
            group.service,
            limit,
        )

    def _on_skew(
        self,
        now: float,
        group: OpenedGroup,
        target: targetstate.Target,
        report: messages.Report,
    ) -> None:
        """End a limit if full slots and a new prompt at each rank fit the passes.

        All ranks get further requests at the same moment when a limit ends.
        """
        model = self._models.get(group.service)
        is_known = now - report.age_s >= group.opened_at + SKEW_DELAY_S
        if model is None or not is_known or report.skew <= UNKNOWN_SKEW:
            return
        slots = max(target.registration.slots, 1)
        load = passmodel.RankLoad(slots - 1, 1)
        if model.fits(load, report.size, report.skew):
            self._end(now, report.group, group, "balanced")

    def _end(self, now: float, name: str, group: OpenedGroup, reason: str) -> None:
        """End the limit of a group."""
        loguru.logger.info(
            "event=ramp_up_ends target={}/{} reason={} window={} seconds={:.2f}",
            name,
            group.epoch,
            reason,
            group.limit,
            now - group.opened_at,
        )
        group.limit = None

    def refresh(self, now: float, names: typing.Container[str]) -> None:
        """End limits after their longest time, and drop groups that are gone."""
        for name, group in list(self._groups.items()):
            if group.limit is not None and now - group.opened_at >= MAX_LIMIT_S:
                self._end(now, name, group, "time")
            if name not in names:
                del self._groups[name]

    def get_limit(self, target: targetstate.Target) -> int | None:
        """Return the limit of a rank, None if there is none."""
        group = self._groups.get(target.group)
        return None if group is None else group.limit

    def may_send(self, now: float, target: targetstate.Target) -> bool:
        """Return whether a rank has fewer requests than its limit."""
        limit = self.get_limit(target)
        if limit is None:
            return True
        return target.estimate_in_flight(now, 1) < limit
