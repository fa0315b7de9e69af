"""Switches a group of ranks to a new expert map so that no pass mixes two maps.

Engines do not compare maps: each rank switches at the start of the pass for which it is
armed. The protocol relies on the hold: while rank 0, the gate, holds pass N, no rank
begins N. Only the sidecar of rank 0 leads its group, so holds are set and released by
one process, next to the engine that they hold. A switch has four phases, after which it
waits until every rank reports the new version:

1. prepare version v on every rank, until every rank reports it prepared;
2. hold a pass N a few passes ahead at the gate, until the gate reports it held;
3. arm every rank for (v, N), until every rank reports exactly that;
4. release N.

N cannot begin before phase 4, which follows only after every rank itself reported that
it is armed. There is no way back from phase 3: an order without a response may be
executed seconds later, so a rank that was not seen armed may still become armed. A
switch is therefore always completed, by this process or after its restart, which finds
the hold in place.

Before phase 3, a switch is abandoned if ranks are not prepared or no hold is reported
in time. A hold that is found with no rank armed is never released either, since that
release, executed late, could end a later hold of the same pass. The next switch uses
the hold, if need be a switch to the map that is in force. From phase 3 on, the only
other end of a switch is a new epoch of the group, in which the engines have no hold,
arm or preparation and refuse the orders of the old epoch.

Other late orders are harmless. A late hold finds that its pass has begun, a late
release or arm names a pass that has begun, and a late prepare names a lower version
than the rank has had. Each order also carries the engine's order count as just read.
Versions have a random part, so that a leader that restarts never reuses a version for
another map.

If the leader is lost, a backup leader in another sidecar completes a switch whose hold
is in place. It never begins or gives up a switch and keeps no state between decisions:
it gives only orders for the held pass that follow from what all ranks report, which are
those that the leader would give. Two leaders agree on the version since each hold
belongs to one switch: the leader begins a switch only after a read that began when no
hold of an earlier one could be in flight (``quiet_from``). When the leader continues,
the pass has begun, so its orders for it have no effect, and it ends a switch that it
finds completed without a second hold.
"""

import dataclasses
import enum
import math
import typing

HOLD_LEAD_PASSES: typing.Final = 3  # arming takes one or two passes
MAX_HOLD_LEAD_PASSES: typing.Final = 10  # arming while every second order is lost
VERSION_RANDOM_RANGE: typing.Final = 1 << 16
PREPARE_TIMEOUT_S: typing.Final = 3.0  # a copy takes at most 1 to 2 s
PREPARE_RETRY_S: typing.Final = 0.5  # a copy of two experts takes 0.3 s
# The platform executes orders up to 12 s late.
MAX_ORDER_DELAY_S: typing.Final = 13.0


class Phase(enum.Enum):
    """The phases of a switch, in order."""

    PREPARING = "preparing"
    HOLDING = "holding"
    ARMING = "arming"
    RELEASING = "releasing"
    SETTLING = "settling"


@dataclasses.dataclass(frozen=True, slots=True)
class RankView:
    """A rank's state as it reported it; 0 means none.

    ``step`` is the last pass that began. ``prepared`` and ``armed`` are map versions,
    ``armed_step`` and ``held_step`` are passes.
    """

    epoch: int
    is_open: bool
    step: int
    map_version: int
    prepared: int
    armed: int
    armed_step: int
    held_step: int


class OrderKind(enum.Enum):
    """The kinds of orders; the values are those of the engines' interface."""

    PREPARE = "prepare"
    HOLD = "hold"
    ARM = "arm"
    RELEASE = "go"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to one rank; ``step`` is the pass that it concerns."""

    kind: OrderKind
    rank: int
    epoch: int
    version: int = 0
    step: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchAttempt:
    """A switch in progress.

    ``step`` is the pass to hold, 0 until one is chosen. ``started_at`` is the event
    loop's time.
    """

    epoch: int
    version: int
    step: int
    phase: Phase
    started_at: float


class SwitchCoordinator:
    """Decides on the orders of map switches in the process that leads a group.

    It performs no I/O. The leader reads the ranks, passes their views, and sends the
    orders. ``outcome`` is set when a switch ends; the leader clears it. If there are
    backup leaders, ``quiet_from`` is the event loop's time from which no hold of an
    earlier switch can be in flight.
    """

    __slots__ = (
        "_lead_passes",
        "_arm_rounds",
        "_last_version",
        "_min_lead_passes",
        "_prepare_sent_at",
        "attempt",
        "outcome",
        "quiet_from",
        "size",
    )

    def __init__(self, size: int, min_lead_passes: int = HOLD_LEAD_PASSES) -> None:
        self.size = size
        self._min_lead_passes = min_lead_passes
        self._lead_passes = min_lead_passes
        self._arm_rounds = 0
        self._last_version = 0
        self.attempt: SwitchAttempt | None = None
        self.outcome = ""
        self.quiet_from = -math.inf
        self._prepare_sent_at: dict[int, float] = {}

    def choose_version(
        self, views: typing.Sequence[RankView], random_fraction: float
    ) -> int:
        """Return a version that no rank has had and no earlier switch has used.

        ``random_fraction`` is in [0, 1). A late prepare of a higher version would
        replace the prepared map of a switch in progress.
        """
        highest = max(
            max(view.map_version, view.prepared, view.armed) for view in views
        )
        highest = max(highest, self._last_version)
        return highest + 1 + int(random_fraction * VERSION_RANDOM_RANGE)

    def begin_switch(self, now: float, epoch: int, version: int) -> None:
        """Begin a switch; ``may_begin`` must hold."""
        self._last_version = version
        self.attempt = SwitchAttempt(epoch, version, 0, Phase.PREPARING, now)
        self._prepare_sent_at.clear()

    def may_begin(
        self, views: typing.Sequence[RankView], read_at: float = math.inf
    ) -> bool:
        """Return whether no switch is in progress and all ranks have one map.

        ``read_at`` is the event loop's time at which the read of the views began.
        """
        return self.attempt is None and is_settled(views) and read_at >= self.quiet_from

    def must_begin(self, views: typing.Sequence[RankView]) -> bool:
        """Return whether the group is held and only a switch, to any map, ends that."""
        return self.may_begin(views) and bool(views[0].held_step)

    def decide(self, now: float, views: typing.Sequence[RankView]) -> list[Order]:
        """Return the orders that follow from the ranks' newest state.

        ``views`` is indexed by rank, so the gate comes first. Without an open group in
        one epoch there are no orders.
        """
        gate = views[0]
        if not all(view.is_open and view.epoch == gate.epoch for view in views):
            return []
        if self.attempt is not None and self.attempt.epoch != gate.epoch:
            self._finish("group_changed")
        if self.attempt is None:
            self._recover(now, views)
        if self.attempt is None:
            return []
        orders: list[Order] = []
        # Several phases may pass at once; the loop ends when one has orders or waits.
        for _ in Phase:
            previous = self.attempt
            if previous is None:
                break
            orders = self._advance(now, previous, views)
            if orders or self.attempt is previous:
                break
        return orders

    def _advance(
        self, now: float, attempt: SwitchAttempt, views: typing.Sequence[RankView]
    ) -> list[Order]:
        """Return the orders of the current phase, or enter the next phase."""
        if attempt.phase is Phase.PREPARING:
            return self._prepare(now, attempt, views)
        if self._is_completed(attempt, views):
            self._finish("switched")
            return []
        if attempt.phase is Phase.HOLDING:
            return self._hold(now, attempt, views)
        if attempt.phase is Phase.ARMING:
            return self._arm(attempt, views)
        return self._release(attempt, views)

    def _is_completed(
        self, attempt: SwitchAttempt, views: typing.Sequence[RankView]
    ) -> bool:
        """Return whether all ranks have the new map, perhaps by a backup leader."""
        has_begun = views[0].step >= attempt.step
        return has_begun and all(view.map_version == attempt.version for view in views)

    def _prepare(
        self, now: float, attempt: SwitchAttempt, views: typing.Sequence[RankView]
    ) -> list[Order]:
        """Order the missing ranks to prepare; give up after ``PREPARE_TIMEOUT_S``."""
        missing = [
            rank for rank, view in enumerate(views) if view.prepared != attempt.version
        ]
        if not missing:
            self._enter_phase(attempt, Phase.HOLDING, 0)
            return []
        if now - attempt.started_at > PREPARE_TIMEOUT_S:
            self._finish("not_prepared")
            return []
        due = [
            rank
            for rank in missing
            if now - self._prepare_sent_at.get(rank, -PREPARE_RETRY_S)
            >= PREPARE_RETRY_S
        ]
        self._prepare_sent_at |= dict.fromkeys(due, now)
        return [
            Order(OrderKind.PREPARE, rank, attempt.epoch, attempt.version)
            for rank in due
        ]

    def _hold(
        self, now: float, attempt: SwitchAttempt, views: typing.Sequence[RankView]
    ) -> list[Order]:
        """Order the gate to hold a pass, and wait until it reports a held pass."""
        gate = views[0]
        if gate.held_step:
            # This may be a late hold of an earlier attempt, which can be used as well.
            self._enter_phase(attempt, Phase.ARMING, gate.held_step)
            return []
        if attempt.step and gate.step < attempt.step:
            # The order may still be executed, so the next hold waits for this pass.
            if now - attempt.started_at > MAX_ORDER_DELAY_S + PREPARE_TIMEOUT_S:
                self._finish("not_held")
            return []
        if gate.map_version == attempt.version:
            # A backup leader completed the switch; other ranks' views may be older.
            return []
        step = max(view.step for view in views) + self._lead_passes
        self._enter_phase(attempt, Phase.HOLDING, step)
        return [Order(OrderKind.HOLD, 0, attempt.epoch, 0, step)]

    def _arm(
        self, attempt: SwitchAttempt, views: typing.Sequence[RankView]
    ) -> list[Order]:
        """Order the ranks to arm that do not report being armed."""
        missing = [
            rank
            for rank, view in enumerate(views)
            if (view.armed, view.armed_step) != (attempt.version, attempt.step)
        ]
        if not missing:
            self._adjust_lead()
            self._enter_phase(attempt, Phase.RELEASING, attempt.step)
            return []
        self._arm_rounds += 1
        return [
            Order(OrderKind.ARM, rank, attempt.epoch, attempt.version, attempt.step)
            for rank in missing
        ]

    def _adjust_lead(self) -> None:
        """Hold further ahead after repeated arm orders, else less far.

        While orders get lost, arming takes longer than the usual lead, and the group
        would stop at the held pass until all ranks are armed.
        """
        if self._arm_rounds > 1:
            self._lead_passes = min(self._lead_passes * 2, MAX_HOLD_LEAD_PASSES)
        else:
            self._lead_passes = max(self._lead_passes - 1, self._min_lead_passes)
        self._arm_rounds = 0

    def _release(
        self, attempt: SwitchAttempt, views: typing.Sequence[RankView]
    ) -> list[Order]:
        """Order the gate to release the held pass until it reports the release.

        It does so again if a later view shows the hold: the view without it may have
        been older than the hold, and nothing else would end it.
        """
        if views[0].held_step == attempt.step:
            return [Order(OrderKind.RELEASE, 0, attempt.epoch, 0, attempt.step)]
        if attempt.phase is Phase.RELEASING:
            self._enter_phase(attempt, Phase.SETTLING, attempt.step)
        return []

    def _recover(self, now: float, views: typing.Sequence[RankView]) -> None:
        """Resume a switch that this process began before it restarted."""
        held_pass = views[0].held_step
        version = find_held_version(views)
        if not version:
            return
        self.attempt = SwitchAttempt(
            views[0].epoch, version, held_pass, Phase.ARMING, now
        )

    def _enter_phase(self, attempt: SwitchAttempt, phase: Phase, step: int) -> None:
        """Continue the switch in another phase, for the pass ``step``."""
        self.attempt = dataclasses.replace(attempt, phase=phase, step=step)

    def _finish(self, outcome: str) -> None:
        """End the switch with an outcome for logs and metrics."""
        self.attempt = None
        self.outcome = outcome


class BackupCoordinator:
    """Decides on the orders with which a backup leader completes a switch.

    It keeps no state, so a decision on old views gives only orders for a pass that has
    begun, which have no effect.
    """

    __slots__ = ()

    def decide(self, views: typing.Sequence[RankView]) -> list[Order]:
        """Return the orders that end the hold, if a switch can be completed.

        ``views`` is indexed by rank and has every rank of the group.
        """
        gate = views[0]
        if not all(view.is_open and view.epoch == gate.epoch for view in views):
            return []
        version = self._find_version(views)
        if not version:
            return []
        missing = self._list_unarmed(version, views)
        if not missing:
            return [Order(OrderKind.RELEASE, 0, gate.epoch, 0, gate.held_step)]
        return [
            Order(OrderKind.ARM, rank, gate.epoch, version, gate.held_step)
            for rank in missing
        ]

    def _find_version(self, views: typing.Sequence[RankView]) -> int:
        """Return the version of the switch that the hold belongs to; 0 if unknown."""
        return find_held_version(views)

    def _list_unarmed(
        self, version: int, views: typing.Sequence[RankView]
    ) -> list[int]:
        """Return the ranks that do not report to be armed for the held pass."""
        held_pass = views[0].held_step
        return [
            rank
            for rank, view in enumerate(views)
            if (view.armed, view.armed_step) != (version, held_pass)
        ]


def find_held_version(views: typing.Sequence[RankView]) -> int:
    """Return the version for which the gate holds a pass; 0 if none is known.

    It is the one that ranks are armed with, or, since arm orders may have been sent,
    the one that every rank has prepared.
    """
    gate = views[0]
    if not gate.held_step:
        return 0
    armed_versions = {
        view.armed for view in views if view.armed_step == gate.held_step and view.armed
    }
    if armed_versions:
        return max(armed_versions)
    prepared_versions = {view.prepared for view in views}
    if len(prepared_versions) == 1 and gate.prepared > gate.map_version:
        return gate.prepared
    return 0


def is_settled(views: typing.Sequence[RankView]) -> bool:
    """Return whether all ranks are open in one epoch, with one map and none armed."""
    first = views[0]
    return all(
        view.is_open
        and view.epoch == first.epoch
        and view.map_version == first.map_version
        and not view.armed
        for view in views
    )
