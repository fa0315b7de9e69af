"""Switches a group of ranks to a new expert map so that no pass mixes two maps.

Engines do not compare maps: a rank switches as the pass begins for which it is armed.
What can be relied on is the hold: while rank 0, the gate, holds pass N, no rank
begins N. The sidecar of rank 0 alone leads its group, so holds are given and
released by one process, next to the engine that they hold. A switch goes so:

1. prepare version v on every rank, until every rank reports it prepared;
2. hold a pass N a few passes ahead at the gate, and see it held;
3. arm every rank for (v, N), until every rank reports exactly that;
4. release N.

N cannot begin before step 4, and step 4 follows only on every rank's own word. There
is no way back from step 3: an order without an answer may be carried out seconds
later, so a rank that was not seen armed may still become so. A switch is therefore
always completed, by this process or by its next life, which finds the hold in place.
A hold that is found with no rank armed is never released either, since that release,
carried out late, could end a later hold of the same pass: it is used for the next
switch, if need be to the map that is in force. What ends a switch otherwise is a new
epoch of the group, in which the engines know of no hold, arm or preparation and
refuse the orders of the old one.

Other late orders do no harm. A late hold finds its pass begun; a late release or arm
names a pass that began; a late prepare is lower than what the rank has had. Each
order also carries the engine's count of orders as just read. Versions are drawn with
a random part, so that two lives of the leader never give one version two contents.
"""

import dataclasses
import enum
import typing

HOLD_LEAD_PASSES: typing.Final = 3  # passes; arming takes one or two
MAX_HOLD_LEAD_PASSES: typing.Final = 10  # passes; arming with every other order lost
VERSION_RANDOM_RANGE: typing.Final = 1 << 16
PREPARE_TIMEOUT_S: typing.Final = 3.0  # a copy takes at most one or two
PREPARE_RETRY_S: typing.Final = 0.5  # a copy of two experts takes 0.3 s
MAX_ORDER_DELAY_S: typing.Final = (
    13.0  # the platform carries orders out up to 12 s late
)


class Phase(enum.Enum):
    """How far a switch is."""

    PREPARING = "preparing"
    HOLDING = "holding"
    ARMING = "arming"
    RELEASING = "releasing"
    SETTLING = "settling"


@dataclasses.dataclass(frozen=True, slots=True)
class RankView:
    """What a rank reported; zeros stand for none."""

    epoch: int
    is_open: bool
    step: int
    map_version: int
    prepared: int
    armed: int
    armed_step: int
    held_step: int


class OrderKind(enum.Enum):
    """What a rank is told."""

    PREPARE = "prepare"
    HOLD = "hold"
    ARM = "arm"
    RELEASE = "go"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to one rank."""

    kind: OrderKind
    rank: int
    epoch: int
    version: int = 0
    step: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchAttempt:
    """A switch under way; ``begun_at`` is the loop's time."""

    epoch: int
    version: int
    step: int
    phase: Phase
    started_at: float


class SwitchCoordinator:
    """The decisions of the process that leads a group."""

    __slots__ = (
        "_lead_passes",
        "_arm_rounds",
        "_min_lead_passes",
        "_prepare_sent_at",
        "attempt",
        "outcome",
        "size",
    )

    def __init__(self, size: int, min_lead_passes: int = HOLD_LEAD_PASSES) -> None:
        self.size = size
        self._min_lead_passes = min_lead_passes
        self._lead_passes = min_lead_passes
        self._arm_rounds = 0
        self.attempt: SwitchAttempt | None = None
        self.outcome = ""
        self._prepare_sent_at: dict[int, float] = {}

    def choose_version(
        self, views: typing.Sequence[RankView], random_fraction: float
    ) -> int:
        """Return a version that no rank has had; ``draw`` is in [0, 1)."""
        highest = max(
            max(view.map_version, view.prepared, view.armed) for view in views
        )
        return highest + 1 + int(random_fraction * VERSION_RANDOM_RANGE)

    def begin_switch(self, now: float, epoch: int, version: int) -> None:
        """Begin a switch; the group must be idle as far as switches go."""
        self.attempt = SwitchAttempt(epoch, version, 0, Phase.PREPARING, now)
        self._prepare_sent_at.clear()

    def may_begin(self, views: typing.Sequence[RankView]) -> bool:
        """Tell whether a new switch may begin."""
        return self.attempt is None and is_settled(views)

    def must_begin(self, views: typing.Sequence[RankView]) -> bool:
        """Tell whether a held group waits for a switch, to any map, to go on."""
        return self.may_begin(views) and bool(views[0].held_step)

    def decide(self, now: float, views: typing.Sequence[RankView]) -> list[Order]:
        """Return the orders that follow from the ranks' newest reports.

        ``views`` has one entry for each rank, of one epoch; the gate's comes first.
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
        # Phases may follow at once; each either gives orders or waits or goes on.
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
        """Return the orders of the present phase, or go on to the next one."""
        if attempt.phase is Phase.PREPARING:
            return self._prepare(now, attempt, views)
        if attempt.phase is Phase.HOLDING:
            return self._hold(now, attempt, views)
        if attempt.phase is Phase.ARMING:
            return self._arm(attempt, views)
        if attempt.phase is Phase.RELEASING:
            return self._release(attempt, views)
        if all(view.map_version == attempt.version for view in views):
            self._finish("switched")
        return []

    def _prepare(
        self, now: float, attempt: SwitchAttempt, views: typing.Sequence[RankView]
    ) -> list[Order]:
        """Have every rank copy what it lacks."""
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
        """Hold a pass at the gate."""
        gate = views[0]
        if gate.held_step:
            # Maybe the late hold of an earlier try; it serves as well.
            self._enter_phase(attempt, Phase.ARMING, gate.held_step)
            return []
        if attempt.step and gate.step < attempt.step:
            # The order may yet be carried out; the pass must begin first.
            if now - attempt.started_at > MAX_ORDER_DELAY_S + PREPARE_TIMEOUT_S:
                self._finish("not_held")
            return []
        step = max(view.step for view in views) + self._lead_passes
        self._enter_phase(attempt, Phase.HOLDING, step)
        return [Order(OrderKind.HOLD, 0, attempt.epoch, 0, step)]

    def _arm(
        self, attempt: SwitchAttempt, views: typing.Sequence[RankView]
    ) -> list[Order]:
        """Arm every rank; only their own reports count."""
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
        """Hold further ahead if ranks had to be told again, else less far.

        While orders get lost, arming takes longer than the usual passes ahead, and the
        group would stand still meanwhile.
        """
        if self._arm_rounds > 1:
            self._lead_passes = min(self._lead_passes * 2, MAX_HOLD_LEAD_PASSES)
        else:
            self._lead_passes = max(self._lead_passes - 1, self._min_lead_passes)
        self._arm_rounds = 0

    def _release(
        self, attempt: SwitchAttempt, views: typing.Sequence[RankView]
    ) -> list[Order]:
        """Let the held pass begin."""
        if views[0].held_step == attempt.step:
            return [Order(OrderKind.RELEASE, 0, attempt.epoch, 0, attempt.step)]
        self._enter_phase(attempt, Phase.SETTLING, attempt.step)
        return []

    def _recover(self, now: float, views: typing.Sequence[RankView]) -> None:
        """Complete what an earlier life of this process began."""
        held_pass = views[0].held_step
        if not held_pass:
            return
        armed_versions = {
            view.armed for view in views if view.armed_step == held_pass and view.armed
        }
        prepared_versions = {view.prepared for view in views}
        if armed_versions:
            version = max(armed_versions)
        elif len(prepared_versions) == 1 and views[0].prepared > views[0].map_version:
            # Every rank is prepared, so some may have been told to arm.
            version = views[0].prepared
        else:
            return
        self.attempt = SwitchAttempt(
            views[0].epoch, version, held_pass, Phase.ARMING, now
        )

    def _enter_phase(self, attempt: SwitchAttempt, phase: Phase, step: int) -> None:
        """Go on to another phase."""
        self.attempt = dataclasses.replace(attempt, phase=phase, step=step)

    def _finish(self, outcome: str) -> None:
        """End the switch."""
        self.attempt = None
        self.outcome = outcome


def is_settled(views: typing.Sequence[RankView]) -> bool:
    """Tell whether all ranks are open in one epoch, with one map and none armed."""
    first = views[0]
    return all(
        view.is_open
        and view.epoch == first.epoch
        and view.map_version == first.map_version
        and not view.armed
        for view in views
    )
