"""Models step grants: two ranks, two leaders, two steps, one map change per leader.

A message arrives at once or never, and its reply arrives at once: a leader that missed
a reply could do less, never more. In addition, every plan that a leader ever sent, and
the greatest grant under it, may arrive again at any later time; smaller grants change
nothing. A leader that is paused or partitioned needs no state of its own: its
transitions come late. One rank may restart and lose its state, and then receives the
other rank's promised epoch before it promises anything. The engines run in lock-step:
no rank begins a step before all have run the previous one.
"""

import typing

from sardinesaddle import steps
from sardinesaddle.spec import model

RANK_COUNT: typing.Final = 2
LEADER_EPOCHS: typing.Final = (1, 2)
LAST_STEP: typing.Final = 2
HORIZON_STEPS: typing.Final = 1
MAX_RESTARTS: typing.Final = 1


class StepGrants(model.Model):
    """The ranks and leaders of one group, and the messages that may arrive again.

    The field ``made`` has each leader's plans, each with the last step granted under
    it; ``used`` has the map versions that ran each step.
    """

    name = "one map in each step"
    fields = ("leaders", "ranks", "made", "used", "restarts", "mixed", "unprepared")

    def __init__(
        self,
        rank_class: type[steps.RankSteps] = steps.RankSteps,
        leader_class: type[steps.LeaderSteps] = steps.LeaderSteps,
        needs_join: bool = True,
        max_restarts: int = MAX_RESTARTS,
    ) -> None:
        self._rank_class = rank_class
        self._leader_class = leader_class
        self._needs_join = needs_join
        self._max_restarts = max_restarts

    def make_initial(self) -> model.State:
        """Return new ranks, and leaders that have no promises."""
        ranks = tuple(
            self._rank_class(i, 1, True).take_snapshot() for i in range(RANK_COUNT)
        )
        leaders = tuple(
            self._leader_class(epoch, RANK_COUNT, HORIZON_STEPS).take_snapshot()
            for epoch in LEADER_EPOCHS
        )
        # The map versions that ranks ran each step with.
        used = ((),) * (LAST_STEP + 1)
        return (leaders, ranks, ((),) * len(LEADER_EPOCHS), used, 0, False, False)

    def _restore_rank(self, state: model.State, index: int) -> steps.RankSteps:
        """Return a rank with its state in the model."""
        rank = self._rank_class(index, 1, True)
        rank.restore(state[1][index])
        return rank

    def _restore_leader(self, state: model.State, index: int) -> steps.LeaderSteps:
        """Return a leader with its state in the model."""
        leader = self._leader_class(LEADER_EPOCHS[index], RANK_COUNT, HORIZON_STEPS)
        leader.restore(state[0][index])
        return leader

    def list_transitions(self, state: model.State) -> list[model.Transition]:
        """Return the transitions of the leaders, the engines and restarts."""
        transitions: list[model.Transition] = []
        for index in range(len(LEADER_EPOCHS)):
            transitions += self._list_leader_actions(state, index)
        for rank in range(RANK_COUNT):
            transitions += self._run_next_step(state, rank)
            transitions += self._restart_rank(state, rank)
        return transitions

    def _list_leader_actions(
        self, state: model.State, index: int
    ) -> list[model.Transition]:
        """Return a leader's requests, plans, grants and late messages."""
        transitions: list[model.Transition] = []
        name = f"leader {LEADER_EPOCHS[index]}"
        leader = self._restore_leader(state, index)
        if not leader.has_all_promises:
            for rank in range(RANK_COUNT):
                transitions += self._request_promise(state, index, rank)
            return transitions
        for rank in range(RANK_COUNT):
            if state[1][rank][2] < LEADER_EPOCHS[index]:
                # The rank restarted, so the leader asks it again.
                transitions += self._request_promise(state, index, rank)
        proposing = self._restore_leader(state, index)
        if proposing.plan.number == 1 and proposing.propose(10 + LEADER_EPOCHS[index]):
            after = replace_leader(state, index, proposing)
            transitions.append(
                (f"{name} plans", record_sent(after, index, proposing.plan, 0))
            )
        granting = self._restore_leader(state, index)
        slowest_rank_step = min(
            min(rank_snapshot[5] for rank_snapshot in state[1]),
            LAST_STEP - HORIZON_STEPS,
        )
        grant = granting.make_grant(slowest_rank_step)
        if grant is not None:
            after = replace_leader(state, index, granting)
            for rank in range(RANK_COUNT):
                rank_grant = granting.make_grant_for(rank, grant)
                plan = granting.plan
                if (
                    granting.previous_plan
                    and rank_grant.plan_id == granting.previous_plan.plan_id
                ):
                    plan = granting.previous_plan
                after = record_sent(after, index, plan, rank_grant.last_step)
            transitions.append((f"{name} grants {grant.last_step}", after))
        for plan, last_step in state[2][index]:
            for rank in range(RANK_COUNT):
                transitions += self._deliver_messages(
                    state, index, rank, plan, last_step
                )
        return transitions

    def _deliver_messages(
        self,
        state: model.State,
        index: int,
        rank: int,
        plan: steps.Plan,
        last_step: int,
    ) -> list[model.Transition]:
        """Return a rank's receipt of a plan, and of the greatest grant under it."""
        transitions: list[model.Transition] = []
        receiver = self._restore_rank(state, rank)
        receiver.on_prepared(plan.maps[-1][1])
        name = f"{plan.plan_id} of leader {LEADER_EPOCHS[index]}"
        if receiver.on_plan(plan):
            after = replace_rank(state, rank, receiver)
            leader = self._restore_leader(state, index)
            leader.on_accepted(rank, plan.plan_id)
            after_reply = replace_leader(after, index, leader)
            transitions.append((f"rank {rank} takes plan {name}", after_reply))
        receiver = self._restore_rank(state, rank)
        if last_step and receiver.on_grant(steps.Grant(plan.plan_id, last_step)):
            label = f"rank {rank} takes grant {last_step} under {name}"
            transitions.append((label, replace_rank(state, rank, receiver)))
        return transitions

    def _request_promise(
        self, state: model.State, index: int, rank: int
    ) -> list[model.Transition]:
        """Return a leader's request for a rank's promise, with its reply."""
        asked = self._restore_rank(state, rank)
        promise = asked.on_promise_request(LEADER_EPOCHS[index])
        if promise is None:
            return []
        after = replace_rank(state, rank, asked)
        leader = self._restore_leader(state, index)
        leader.on_promise(promise)
        after_reply = replace_leader(after, index, leader)
        if leader.has_all_promises:
            after_reply = record_sent(after_reply, index, leader.plan, 0)
        name = f"leader {LEADER_EPOCHS[index]}"
        return [(f"rank {rank} promises {name}", after_reply)]

    def _run_next_step(self, state: model.State, index: int) -> list[model.Transition]:
        """Return the run of a rank's next step, if the lock-step allows it."""
        rank = self._restore_rank(state, index)
        next_step = rank.find_next_step()
        if next_step is None or next_step[0] > LAST_STEP:
            return []
        step, version = next_step
        if any(rank_snapshot[5] < step - 1 for rank_snapshot in state[1]):
            return []
        rank.on_step_run(step)
        used = state[3]
        versions = tuple(sorted({*used[step], version}))
        after = replace_rank(state, index, rank)
        mixed = state[5] or len(versions) > 1
        unprepared = state[6] or version not in rank.prepared
        used = (*used[:step], versions, *used[step + 1 :])
        label = f"rank {index} runs {step} with map {version}"
        return [(label, (*after[:3], used, after[4], mixed, unprepared))]

    def _restart_rank(self, state: model.State, index: int) -> list[model.Transition]:
        """Return a rank's restart; its engine reports the last step that it ran."""
        if state[4] >= self._max_restarts:
            return []
        ran_step = state[1][index][5]
        rank = self._rank_class(index, 2, False)
        other_promises = [
            rank_snapshot[2] for i, rank_snapshot in enumerate(state[1]) if i != index
        ]
        rank.join(other_promises if self._needs_join else [], ran_step)
        after = replace_rank(state, index, rank)
        return [(f"rank {index} restarts", (*after[:4], state[4] + 1, *after[5:]))]

    def list_invariants(
        self,
    ) -> dict[str, typing.Callable[[dict[str, typing.Any]], bool]]:
        """Return the invariants that a step has one map, loaded on all its ranks."""
        return {
            "one map in each step": lambda s: not s["mixed"],
            "only prepared maps": lambda s: not s["unprepared"],
        }


def record_sent(
    state: model.State, index: int, plan: steps.Plan, last_step: int
) -> model.State:
    """Return the state after a leader sent a plan, or a grant under it."""
    made = dict(state[2][index])
    made[plan] = max(made.get(plan, 0), last_step)
    pairs = tuple(sorted(made.items(), key=lambda pair: pair[0].plan_id))
    made_by_leader = (*state[2][:index], pairs, *state[2][index + 1 :])
    return (*state[:2], made_by_leader, *state[3:])


def replace_rank(state: model.State, index: int, rank: steps.RankSteps) -> model.State:
    """Return the state with one rank replaced."""
    ranks = state[1]
    ranks = (*ranks[:index], rank.take_snapshot(), *ranks[index + 1 :])
    return (state[0], ranks, *state[2:])


def replace_leader(
    state: model.State, index: int, leader: steps.LeaderSteps
) -> model.State:
    """Return the state with one leader replaced."""
    leaders = state[0]
    leaders = (*leaders[:index], leader.take_snapshot(), *leaders[index + 1 :])
    return (leaders, *state[1:])


class FirstStepInsideGrant(steps.LeaderSteps):
    """Mutant: a new map begins at a step that is already granted."""

    def propose(
        self, version: int, margin_steps: int = 0, completed_step: int = 0
    ) -> steps.Plan | None:
        """Plan the map one step too early."""
        return super().propose(version, margin_steps - 1, completed_step)


class UnsettledGrant(steps.LeaderSteps):
    """Mutant: a grant reaches a new map before every rank accepted its plan."""

    def make_grant(self, slowest_step: int) -> steps.Grant | None:
        """Grant up to the horizon, whichever ranks accepted the plan."""
        if not self.has_all_promises:
            return None
        self.granted_step = max(self.granted_step, slowest_step + self.horizon_steps)
        return steps.Grant(self.plan.plan_id, self.granted_step)


class MajorityPromise(steps.LeaderSteps):
    """Mutant: the promises and acceptances of all ranks but one are enough."""

    @property
    def has_all_promises(self) -> bool:
        """Require one promise fewer."""
        return len(self.promises) >= self.ranks - 1

    @property
    def is_plan_accepted(self) -> bool:
        """Require one acceptance fewer."""
        return self.has_all_promises and len(self.accepted_ranks) >= self.ranks - 1


class FloorForgotten(steps.LeaderSteps):
    """Mutant: the step after the greatest grant does not count as possibly run."""

    def _begin_epoch(self) -> None:
        """Let a map begin right after the greatest reported grant."""
        super()._begin_epoch()
        self._possibly_run_step = self.granted_step


class EpochIgnored(steps.RankSteps):
    """Mutant: a rank accepts plans and grants of any epoch."""

    def on_plan(self, plan: steps.Plan) -> bool:
        """Accept every plan."""
        self.plan = plan
        return True

    def on_grant(self, grant: steps.Grant) -> bool:
        """Accept every grant."""
        self.last_step = max(self.last_step, grant.last_step)
        return True


class PlanIgnored(steps.RankSteps):
    """Mutant: a grant is accepted under whichever plan the rank holds."""

    def on_grant(self, grant: steps.Grant) -> bool:
        """Compare only the epoch."""
        if grant.plan_id[0] != self.promised_epoch:
            return False
        self.last_step = max(self.last_step, grant.last_step)
        return True


class UnpreparedRun(steps.RankSteps):
    """Mutant: a plan is accepted and run before its weights are loaded."""

    def on_prepared(self, version: int) -> None:
        """Do not record that the weights are loaded."""

    def on_plan(self, plan: steps.Plan) -> bool:
        """Accept a plan without a check of its weights."""
        prepared_before = self.prepared
        self.prepared |= {version for _, version in plan.maps}
        accepted = super().on_plan(plan)
        self.prepared = prepared_before
        return accepted

    def find_next_step(self) -> tuple[int, int] | None:
        """Return any granted step."""
        step = self.ran_step + 1
        return (step, self.plan.find_map(step)) if step <= self.last_step else None


class OldPlanTaken(steps.RankSteps):
    """Mutant: a late plan of the same epoch replaces a newer one."""

    def on_plan(self, plan: steps.Plan) -> bool:
        """Compare only the epoch."""
        if plan.epoch != self.promised_epoch:
            return False
        self.plan = plan
        return True

    def on_grant(self, grant: steps.Grant) -> bool:
        """Accept a grant under any plan of the epoch."""
        if grant.plan_id[0] != self.promised_epoch:
            return False
        self.last_step = max(self.last_step, grant.last_step)
        return True


def list_mutants() -> dict[str, model.Model]:
    """Return the mutants by name; each breaks one guard."""
    return {
        "FirstStepInsideGrant": StepGrants(leader_class=FirstStepInsideGrant),
        "UnsettledGrant": StepGrants(leader_class=UnsettledGrant),
        "MajorityPromise": StepGrants(leader_class=MajorityPromise, max_restarts=0),
        "FloorForgotten": StepGrants(leader_class=FloorForgotten),
        "EpochIgnored": StepGrants(rank_class=EpochIgnored, max_restarts=0),
        "PlanIgnored": StepGrants(rank_class=PlanIgnored),
        "UnpreparedRun": StepGrants(rank_class=UnpreparedRun),
        "OldPlanTaken": StepGrants(rank_class=OldPlanTaken),
        "RestartTrustsItself": StepGrants(needs_join=False),
    }
