"""Grants steps to the ranks of a lock-step group, with one expert map in each step.

A plan states which map is used from which step on. The group's leader first makes
every rank load a map's weights, then sends every rank a plan whose new map begins
after all steps granted so far. A grant reaches the new map only once every rank has
accepted the plan. A rank runs no step beyond its grant, so a lost message can stall a
rank but never makes ranks run a step with different maps.

A new leader takes a higher epoch and needs the promise of every rank. It continues
from the newest plan among the promises. A rank that restarted may have lost a grant;
since no rank can be more than one step ahead of another, the leader treats one step
beyond the greatest reported grant as possibly run. A restarted rank promises nothing
before it has received the promised epoch of every other rank.

``RankSteps`` and ``LeaderSteps`` handle events and return messages, without I/O or
clocks. Their states can be saved as plain values, so the model checker runs the
production classes themselves.
"""

import typing

Maps = tuple[tuple[int, int], ...]
PlanId = tuple[int, int]

FIRST_MAP: typing.Final = 1


class Plan(typing.NamedTuple):
    """The map to use from each step on, as pairs of (first step, map version)."""

    epoch: int
    number: int
    maps: Maps

    @property
    def plan_id(self) -> PlanId:
        """The key that orders plans: the epoch, then the number within it."""
        return (self.epoch, self.number)

    def find_map(self, step: int) -> int:
        """Return the map version that a step uses."""
        version = self.maps[0][1]
        for first_step, map_version in self.maps:
            if first_step <= step:
                version = map_version
        return version


class Grant(typing.NamedTuple):
    """Permission to run all steps up to ``last_step``, under a plan."""

    plan_id: PlanId
    last_step: int


class Promise(typing.NamedTuple):
    """A rank's promise to accept no older epoch, with its plan and last grant."""

    rank: int
    epoch: int
    incarnation: int
    plan: Plan
    last_step: int


NO_PLAN: typing.Final = Plan(0, 0, ((1, FIRST_MAP),))

RankSnapshot = tuple[int, bool, int, Plan, int, int, tuple[int, ...]]


class RankSteps:
    """The state of one rank: its promise, plan, grant, loaded maps and last step run.

    A rank that is not on its first start must join before it promises anything.
    """

    __slots__ = (
        "incarnation",
        "is_joined",
        "last_step",
        "plan",
        "prepared",
        "promised_epoch",
        "ran_step",
        "rank",
    )

    def __init__(self, rank: int, incarnation: int, is_first_start: bool) -> None:
        self.rank = rank
        self.incarnation = incarnation
        self.is_joined = is_first_start
        self.promised_epoch = 0
        self.plan = NO_PLAN
        self.last_step = 0
        self.ran_step = 0
        self.prepared: frozenset[int] = frozenset({FIRST_MAP})

    def join(self, promised_epochs: typing.Iterable[int], ran_step: int) -> None:
        """Join after a restart, with the epochs that all other ranks have promised.

        ``ran_step`` is the last step that this rank's engine reports to have run.
        """
        self.promised_epoch = max([self.promised_epoch, *promised_epochs])
        self.ran_step = ran_step
        self.is_joined = True

    def on_promise_request(self, epoch: int) -> Promise | None:
        """Promise an epoch, or return None if a higher one is promised already."""
        if not self.is_joined or epoch < self.promised_epoch:
            return None
        self.promised_epoch = epoch
        return Promise(self.rank, epoch, self.incarnation, self.plan, self.last_step)

    def on_prepared(self, version: int) -> None:
        """Record that the weights of a map are loaded."""
        self.prepared |= {version}

    def on_plan(self, plan: Plan) -> bool:
        """Accept a plan of the promised epoch; return True if it is accepted.

        Rejected are plans older than the current one and plans whose last map is
        not loaded.
        """
        if not self.is_joined or plan.epoch != self.promised_epoch:
            return False
        if plan.plan_id < self.plan.plan_id:
            return False
        if any(version not in self.prepared for _, version in plan.maps[-1:]):
            return False
        self.plan = plan
        return True

    def on_grant(self, grant: Grant) -> bool:
        """Apply a grant of the accepted plan; return True if it is applied."""
        if (
            grant.plan_id[0] != self.promised_epoch
            or grant.plan_id != self.plan.plan_id
        ):
            return False
        self.last_step = max(self.last_step, grant.last_step)
        return True

    def find_next_step(self) -> tuple[int, int] | None:
        """Return the next step and its map, or None if the rank must wait."""
        step = self.ran_step + 1
        if step > self.last_step:
            return None
        version = self.plan.find_map(step)
        return (step, version) if version in self.prepared else None

    def on_step_run(self, step: int) -> None:
        """Record the last step that the engine has run."""
        self.ran_step = step

    def take_snapshot(self) -> RankSnapshot:
        """Return the whole state as a plain value, for the model checker."""
        return (
            self.incarnation,
            self.is_joined,
            self.promised_epoch,
            self.plan,
            self.last_step,
            self.ran_step,
            tuple(sorted(self.prepared)),
        )

    def restore(self, snapshot: RankSnapshot) -> None:
        """Replace the state by one that ``take_snapshot`` returned."""
        (
            self.incarnation,
            self.is_joined,
            self.promised_epoch,
            self.plan,
            self.last_step,
            self.ran_step,
            prepared,
        ) = snapshot
        self.prepared = frozenset(prepared)


LeaderSnapshot = tuple[
    int, tuple[Promise, ...], Plan, frozenset[int], int, int, Plan | None
]


class LeaderSteps:
    """The state of a leader in one epoch.

    A grant reaches at most ``horizon_steps`` beyond the slowest rank, unless a
    longer one was made before.
    """

    __slots__ = (
        "_possibly_run_step",
        "accepted_ranks",
        "epoch",
        "granted_step",
        "horizon_steps",
        "plan",
        "promises",
        "ranks",
        "previous_plan",
    )

    def __init__(self, epoch: int, ranks: int, horizon_steps: int) -> None:
        self.epoch = epoch
        self.ranks = ranks
        self.horizon_steps = horizon_steps
        self.promises: dict[int, Promise] = {}
        self.plan = NO_PLAN
        # The plan before the current one, until every rank has accepted the latter.
        self.previous_plan: Plan | None = None
        self.accepted_ranks: frozenset[int] = frozenset()
        self.granted_step = 0
        # Steps up to here may have been run under plans of earlier epochs.
        self._possibly_run_step = 0

    @property
    def has_all_promises(self) -> bool:
        """Whether every rank has promised this epoch."""
        return len(self.promises) == self.ranks

    @property
    def is_plan_accepted(self) -> bool:
        """Whether all promises are there and every rank accepted the current plan."""
        return self.has_all_promises and len(self.accepted_ranks) == self.ranks

    def on_promise(self, promise: Promise) -> None:
        """Record a rank's promise; the last missing one begins the epoch."""
        if promise.epoch != self.epoch or self.has_all_promises:
            return
        self.promises[promise.rank] = promise
        if self.has_all_promises:
            self._begin_epoch()

    def _begin_epoch(self) -> None:
        """Continue from the newest plan and the greatest grant of all promises."""
        newest = max((p.plan for p in self.promises.values()), key=lambda p: p.plan_id)
        self.granted_step = max(p.last_step for p in self.promises.values())
        self._possibly_run_step = self.granted_step + 1
        kept_maps = tuple(
            pair for pair in newest.maps if pair[0] <= self._possibly_run_step
        )
        self.plan = Plan(self.epoch, 1, kept_maps)

    def propose(
        self, version: int, margin_steps: int = 0, completed_step: int = 0
    ) -> Plan | None:
        """Return a plan that switches to a map that every rank has loaded.

        Return None while the last plan is not accepted by all, or if the map is the
        current one. The map begins ``margin_steps`` after all steps granted so far.

        Maps that only steps up to ``completed_step`` used are left out of the new
        plan, since every rank has run these steps.
        """
        if not self.is_plan_accepted or self.plan.maps[-1][1] == version:
            return None
        first_step = max(self.granted_step, self._possibly_run_step) + 1 + margin_steps
        self.previous_plan = self.plan
        current_maps = self.plan.maps
        starts = [first for first, _ in current_maps if first <= completed_step + 1]
        kept_maps = tuple(
            pair for pair in current_maps if pair[0] >= max(starts, default=0)
        )
        maps = (*kept_maps, (first_step, version))
        self.plan = Plan(self.epoch, self.plan.number + 1, maps)
        self.accepted_ranks = frozenset()
        return self.plan

    def on_accepted(self, rank: int, plan_id: PlanId) -> None:
        """Record that a rank accepted a plan; other plans are ignored."""
        if plan_id == self.plan.plan_id:
            self.accepted_ranks |= {rank}
            if self.is_plan_accepted:
                self.previous_plan = None

    def make_grant(self, slowest_step: int) -> Grant | None:
        """Return a grant that reaches the horizon beyond the slowest rank.

        While some rank has not accepted the current plan, no grant reaches its last
        map; ranks that still have the previous plan continue under their last grant.
        Return None if nothing can be granted yet.
        """
        if not self.has_all_promises:
            return None
        last_step = slowest_step + self.horizon_steps
        if not self.is_plan_accepted:
            if self.previous_plan is None:
                return None
            last_step = min(last_step, self.plan.maps[-1][0] - 1)
        self.granted_step = max(self.granted_step, last_step)
        return Grant(self.plan.plan_id, self.granted_step)

    def make_grant_for(self, rank: int, grant: Grant) -> Grant:
        """Return the grant under the plan that the rank has accepted."""
        if self.previous_plan is not None and rank not in self.accepted_ranks:
            return Grant(self.previous_plan.plan_id, grant.last_step)
        return grant

    def take_snapshot(self) -> LeaderSnapshot:
        """Return the whole state as a plain value, for the model checker."""
        promises = tuple(self.promises[rank] for rank in sorted(self.promises))
        return (
            self.epoch,
            promises,
            self.plan,
            self.accepted_ranks,
            self.granted_step,
            self._possibly_run_step,
            self.previous_plan,
        )

    def restore(self, snapshot: LeaderSnapshot) -> None:
        """Replace the state by one that ``take_snapshot`` returned."""
        (
            self.epoch,
            promises,
            self.plan,
            self.accepted_ranks,
            self.granted_step,
            self._possibly_run_step,
            self.previous_plan,
        ) = snapshot
        self.promises = {promise.rank: promise for promise in promises}
