"""One rank's membership in a lock-step group: who leads, and what is sent to whom.

Every member can lead. The leader repeats its grant and hears each rank's progress;
a member that hears no grant for a while takes a higher epoch that is its own alone,
lower ranks sooner than higher ones, and asks every rank for its promise. Since grants
reach further than that while, a lost leader stalls no step that the horizon covers.

Messages may be lost, so everything that has not been answered is repeated at the next
tick. The decisions on steps and maps are those of ``steps.RankSteps`` and
``steps.LeaderSteps``; this class adds the time and the addressing.
"""

import dataclasses
import typing

from sardinesaddle import external, steps

TICK_S: typing.Final = 0.1
GRANT_PERIOD_S: typing.Final = 0.5
LEADER_TIMEOUT_S: typing.Final = 1.2
LEADER_STAGGER_S: typing.Final = 0.3
STAGGERED_RANKS: typing.Final = 8
HORIZON_S: typing.Final = 5.0
PLAN_MARGIN_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AskPromise:
    """A candidate asks for the promise of its epoch."""

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class AskPromised:
    """A rank that restarted asks the others what they have promised."""

    rank: int


@dataclasses.dataclass(frozen=True, slots=True)
class Promised:
    """The answer: the highest epoch that a rank has promised."""

    rank: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """The leader asks a rank to load the weights of a map."""

    epoch: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A rank tells its leader what it holds: plan, progress and loaded maps."""

    rank: int
    epoch: int
    plan: steps.PlanId
    ran_step: int
    prepared: frozenset[int]


Message = (
    AskPromise
    | AskPromised
    | Promised
    | Prepare
    | Report
    | steps.Promise
    | steps.Plan
    | steps.Grant
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a rank."""

    to: int
    msg: Message


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load the weights of a map from the store; report it when done."""

    version: int


Action = Send | Load


class Member:
    """The decisions of one rank's sidecar about its group."""

    def __init__(
        self,
        now: float,
        rank: int,
        ranks: int,
        incarnation: int,
        is_first_life: bool,
        steps_per_s: float,
    ) -> None:
        self.rank = rank
        self.ranks = ranks
        self.state = steps.RankSteps(rank, incarnation, is_first_life)
        self.leader: steps.LeaderSteps | None = None
        self.wanted_version = 0
        self.leader_rank = -1
        self._steps_per_s = steps_per_s
        self._heard_at = now
        self._granted_at = now
        self._highest_epoch = 0
        self._reports: dict[int, Report] = {}
        self._others: dict[int, int] = {}
        self._loading: set[int] = set()

    # Time.

    def tick(self, now: float) -> list[Action]:
        """Repeat what is not answered; take the lead when nobody does."""
        if not self.state.is_joined:
            others = [r for r in range(self.ranks) if r not in self._others]
            return [Send(r, AskPromised(self.rank)) for r in others if r != self.rank]
        if self.leader is not None:
            return self._lead(now, self.leader)
        position = self.rank % STAGGERED_RANKS
        patience_s = LEADER_TIMEOUT_S + LEADER_STAGGER_S * position
        if now - self._heard_at > patience_s:
            return self._stand(now)
        return []

    def _stand(self, now: float) -> list[Action]:
        """Become a candidate under an epoch that no other rank can take."""
        self._heard_at = now
        epoch = (self._highest_epoch // self.ranks + 1) * self.ranks + self.rank
        self._highest_epoch = epoch
        horizon = max(int(HORIZON_S * self._steps_per_s), 1)
        self.leader = steps.LeaderSteps(epoch, self.ranks, horizon)
        self._reports.clear()
        return self._lead(now, self.leader)

    def _lead(self, now: float, leader: steps.LeaderSteps) -> list[Action]:
        """Do the leader's next work."""
        if not leader.has_quorum:
            missing = [r for r in range(self.ranks) if r not in leader.promises]
            return [Send(r, AskPromise(leader.epoch)) for r in missing]
        out: list[Action] = []
        if not leader.is_settled:
            missing = [r for r in range(self.ranks) if r not in leader.accepted]
            out += [Send(r, leader.plan) for r in missing]
        elif self.wanted_version and self.wanted_version != leader.plan.maps[-1][1]:
            out += self._change_map(leader)
        out += self._bring_up(leader)
        if now - self._granted_at >= GRANT_PERIOD_S:
            self._granted_at = now
            out += self._grant(leader)
        return out

    def _bring_up(self, leader: steps.LeaderSteps) -> list[Action]:
        """Give ranks that restarted the plan and the weights that they lack."""
        out: list[Action] = []
        for rank, report in self._reports.items():
            versions = {version for _, version in leader.plan.maps}
            for version in sorted(versions - report.prepared):
                out.append(Send(rank, Prepare(leader.epoch, version)))
            if leader.is_settled and report.plan != leader.plan.ident:
                out.append(Send(rank, leader.plan))
        return out

    def _change_map(self, leader: steps.LeaderSteps) -> list[Action]:
        """Let every rank load the wanted map, then plan its first step."""
        version = self.wanted_version
        missing = [
            r
            for r in range(self.ranks)
            if r not in self._reports or version not in self._reports[r].prepared
        ]
        if missing:
            return [Send(r, Prepare(leader.epoch, version)) for r in missing]
        margin = int(PLAN_MARGIN_S * self._steps_per_s)
        done_step = min(report.ran_step for report in self._reports.values())
        plan = leader.propose(version, margin, done_step)
        return [] if plan is None else [Send(r, plan) for r in range(self.ranks)]

    def _grant(self, leader: steps.LeaderSteps) -> list[Action]:
        """Grant the horizon beyond the slowest rank that has reported."""
        known = [report.ran_step for report in self._reports.values()]
        slowest = min(known) if len(known) == self.ranks else 0
        grant = leader.make_grant(slowest)
        if grant is None:
            return []
        return [Send(r, leader.make_grant_for(r, grant)) for r in range(self.ranks)]

    # Messages.

    def on_message(self, now: float, sender: int, msg: Message) -> list[Action]:
        """Handle a message from a rank."""
        if isinstance(msg, AskPromise):
            return self._take_ask(now, sender, msg)
        if isinstance(msg, steps.Promise):
            if self.leader is not None:
                self.leader.on_promise(msg)
            return []
        if isinstance(msg, steps.Plan):
            self._note_epoch(now, sender, msg.epoch)
            self.state.on_plan(msg)
            return self._report(sender)
        if isinstance(msg, steps.Grant):
            self._note_epoch(now, sender, msg.plan[0])
            if self.state.on_grant(msg):
                self._heard_at = now
            return self._report(sender)
        if isinstance(msg, Prepare):
            return self._take_prepare(now, sender, msg)
        if isinstance(msg, Report):
            self._take_report(msg)
            return []
        if isinstance(msg, AskPromised):
            # A rank that has not joined answers too, with what its engine holds;
            # else a group whose sidecars all restarted would wait for ever.
            return [Send(msg.rank, Promised(self.rank, self.state.promised))]
        self._take_promised(msg)
        return []

    def _note_epoch(self, now: float, sender: int, epoch: int) -> None:
        """Step down before a higher epoch."""
        self._highest_epoch = max(self._highest_epoch, epoch)
        if epoch >= self.state.promised:
            self.leader_rank = sender
        if self.leader is not None and epoch > self.leader.epoch:
            self.leader = None
            self._heard_at = now

    def _take_ask(self, now: float, sender: int, msg: AskPromise) -> list[Action]:
        """Answer a candidate."""
        promise = self.state.on_ask_promise(msg.epoch)
        self._highest_epoch = max(self._highest_epoch, msg.epoch)
        if promise is None:
            return []
        self._note_epoch(now, sender, msg.epoch)
        self._heard_at = now
        return [Send(sender, promise)]

    def _take_prepare(self, now: float, sender: int, msg: Prepare) -> list[Action]:
        """Load weights for the leader of the promised epoch."""
        if msg.epoch != self.state.promised:
            return []
        if msg.version in self.state.prepared or msg.version in self._loading:
            return self._report(sender)
        self._loading.add(msg.version)
        return [Load(msg.version)]

    def on_loaded(self, version: int, is_loaded: bool) -> list[Action]:
        """Take note that a load ended; a failed one is asked for again."""
        self._loading.discard(version)
        if is_loaded:
            self.state.on_prepared(version)
        return self._report(self.leader_rank) if self.leader_rank >= 0 else []

    def _report(self, to: int) -> list[Action]:
        """Tell the leader what this rank holds."""
        state = self.state
        msg = Report(
            self.rank, state.promised, state.plan.ident, state.ran_step, state.prepared
        )
        return [Send(to, msg)]

    def _take_report(self, msg: Report) -> None:
        """Take a rank's report."""
        leader = self.leader
        if leader is None or msg.epoch != leader.epoch:
            return
        self._reports[msg.rank] = msg
        leader.on_accepted(msg.rank, msg.plan)

    def _take_promised(self, msg: Promised) -> None:
        """Take what another rank has promised; join when all have answered."""
        if self.state.is_joined:
            return
        self._others[msg.rank] = msg.epoch
        if len(self._others) == self.ranks - 1:
            self.state.join(self._others.values(), self.state.ran_step)
            self._highest_epoch = max(self._highest_epoch, *self._others.values())

    def on_engine_order(self, held: external.StepsState) -> None:
        """Take over the order that the engine holds, as this rank's memory."""
        order = held.order
        self.state.plan = steps.Plan(order.epoch, order.number, order.maps)
        self.state.promised = max(self.state.promised, order.epoch)
        self.state.last_step = order.last_step
        self._highest_epoch = max(self._highest_epoch, order.epoch)
        self.on_engine_state(held.ran_step, held.loaded)

    def on_engine_state(self, ran_step: int, prepared: frozenset[int]) -> None:
        """Take over what the engine says that it has run and loaded.

        The engine goes on under the order that it holds, so a sidecar that restarts
        does not stop its rank.
        """
        self.state.ran_step = max(self.state.ran_step, ran_step)
        self.state.prepared |= prepared
