"""A rank's membership in a lock-step group: leader election and message routing.

Every member can lead. The leader sends its grant periodically and receives each rank's
progress. A member that receives no grant for the leader timeout takes a higher epoch,
one that no other rank can take, and requests the promise of every rank. The timeout
is staggered, shorter for lower ranks. Grants reach further ahead than the timeout, so
the loss of a leader stalls no step within the horizon.

Messages may be lost, so every unanswered message is repeated at the next tick.
``steps.RankSteps`` and ``steps.LeaderSteps`` decide on steps and maps; ``Member`` adds
timing and addressing. It performs no I/O but returns actions.
"""

import dataclasses
import typing

from sardinesaddle import external, steps

TICK_S: typing.Final = 0.1
GRANT_PERIOD_S: typing.Final = 0.5
LEADER_TIMEOUT_S: typing.Final = 1.2
LEADER_STAGGER_S: typing.Final = 0.3  # added to the timeout for each rank
STAGGERED_RANKS: typing.Final = 8  # the stagger repeats after these
GRANT_HORIZON_S: typing.Final = 5.0
PLAN_MARGIN_S: typing.Final = 1.0  # from the last granted step to a new map


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseRequest:
    """A candidate requests a rank's promise for its epoch."""

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromisedEpochRequest:
    """A rank that restarted requests the promised epoch of another rank."""

    rank: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromisedEpochReply:
    """The highest epoch that a rank has promised, sent to a rank that restarted."""

    rank: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class PrepareMap:
    """The leader requests that a rank loads the weights of a map."""

    epoch: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RankReport:
    """A rank's state for its leader: accepted plan, last step run and loaded maps."""

    rank: int
    epoch: int
    plan: steps.PlanId
    ran_step: int
    prepared: frozenset[int]


Message = (
    PromiseRequest
    | PromisedEpochRequest
    | PromisedEpochReply
    | PrepareMap
    | RankReport
    | steps.Promise
    | steps.Plan
    | steps.Grant
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a rank, possibly to this one."""

    to_rank: int
    msg: Message


@dataclasses.dataclass(frozen=True, slots=True)
class LoadMap:
    """Load the weights of a map on the engine; call ``Member.on_loaded`` at the end."""

    version: int


Action = SendMessage | LoadMap


class Member:
    """One rank of a group: handles messages and ticks, and returns actions.

    ``steps_per_s`` is the group's expected step rate; it converts the horizon and the
    plan margin from seconds to steps.
    """

    def __init__(
        self,
        now: float,
        rank: int,
        ranks: int,
        incarnation: int,
        is_first_start: bool,
        steps_per_s: float,
    ) -> None:
        self.rank = rank
        self.ranks = ranks
        self.rank_steps = steps.RankSteps(rank, incarnation, is_first_start)
        self.leader: steps.LeaderSteps | None = None
        self.wanted_map_version = 0
        self.leader_rank = -1
        self._steps_per_s = steps_per_s
        self._leader_heard_at = now
        self._last_grant_at = now
        self._highest_epoch = 0
        self._reports: dict[int, RankReport] = {}
        self._promised_epochs: dict[int, int] = {}
        self._loading_versions: set[int] = set()

    # Timers.

    def tick(self, now: float) -> list[Action]:
        """Repeat unanswered messages; become a candidate when the leader is silent.

        Called every ``TICK_S``.
        """
        if not self.rank_steps.is_joined:
            unanswered = [
                r for r in range(self.ranks) if r not in self._promised_epochs
            ]
            return [
                SendMessage(r, PromisedEpochRequest(self.rank))
                for r in unanswered
                if r != self.rank
            ]
        if self.leader is not None:
            return self._run_leader(now, self.leader)
        position = self.rank % STAGGERED_RANKS
        timeout_s = LEADER_TIMEOUT_S + LEADER_STAGGER_S * position
        if now - self._leader_heard_at > timeout_s:
            return self._become_candidate(now)
        return []

    def _become_candidate(self, now: float) -> list[Action]:
        """Become a candidate with an epoch that no other rank can take.

        The epoch modulo the number of ranks is this rank.
        """
        self._leader_heard_at = now
        epoch = (self._highest_epoch // self.ranks + 1) * self.ranks + self.rank
        self._highest_epoch = epoch
        horizon_steps = max(int(GRANT_HORIZON_S * self._steps_per_s), 1)
        self.leader = steps.LeaderSteps(epoch, self.ranks, horizon_steps)
        self._reports.clear()
        return self._run_leader(now, self.leader)

    def _run_leader(self, now: float, leader: steps.LeaderSteps) -> list[Action]:
        """Return the leader's messages: promise requests, plans, weights or grants."""
        if not leader.has_all_promises:
            missing = [r for r in range(self.ranks) if r not in leader.promises]
            return [SendMessage(r, PromiseRequest(leader.epoch)) for r in missing]
        actions: list[Action] = []
        if not leader.is_plan_accepted:
            missing = [r for r in range(self.ranks) if r not in leader.accepted_ranks]
            actions += [SendMessage(r, leader.plan) for r in missing]
        elif (
            self.wanted_map_version
            and self.wanted_map_version != leader.plan.maps[-1][1]
        ):
            actions += self._change_map(leader)
        actions += self._catch_up_ranks(leader)
        if now - self._last_grant_at >= GRANT_PERIOD_S:
            self._last_grant_at = now
            actions += self._send_grants(leader)
        return actions

    def _catch_up_ranks(self, leader: steps.LeaderSteps) -> list[Action]:
        """Send ranks that restarted the plan and the weights that they lack."""
        actions: list[Action] = []
        for rank, report in self._reports.items():
            versions = {version for _, version in leader.plan.maps}
            for version in sorted(versions - report.prepared):
                actions.append(SendMessage(rank, PrepareMap(leader.epoch, version)))
            if leader.is_plan_accepted and report.plan != leader.plan.plan_id:
                actions.append(SendMessage(rank, leader.plan))
        return actions

    def _change_map(self, leader: steps.LeaderSteps) -> list[Action]:
        """Request that every rank loads the wanted map; plan it once all have."""
        version = self.wanted_map_version
        missing = [
            r
            for r in range(self.ranks)
            if r not in self._reports or version not in self._reports[r].prepared
        ]
        if missing:
            return [SendMessage(r, PrepareMap(leader.epoch, version)) for r in missing]
        margin_steps = int(PLAN_MARGIN_S * self._steps_per_s)
        completed_step = min(report.ran_step for report in self._reports.values())
        plan = leader.propose(version, margin_steps, completed_step)
        return [] if plan is None else [SendMessage(r, plan) for r in range(self.ranks)]

    def _send_grants(self, leader: steps.LeaderSteps) -> list[Action]:
        """Grant the horizon beyond the slowest rank.

        A rank that has not reported in this epoch counts as at step 0.
        """
        ran_steps = [report.ran_step for report in self._reports.values()]
        slowest_step = min(ran_steps) if len(ran_steps) == self.ranks else 0
        grant = leader.make_grant(slowest_step)
        if grant is None:
            return []
        return [
            SendMessage(r, leader.make_grant_for(r, grant)) for r in range(self.ranks)
        ]

    # Messages.

    def on_message(self, now: float, sender: int, msg: Message) -> list[Action]:
        """Handle a message from a rank, possibly from this one."""
        if isinstance(msg, PromiseRequest):
            return self._on_promise_request(now, sender, msg)
        if isinstance(msg, steps.Promise):
            if self.leader is not None:
                self.leader.on_promise(msg)
            return []
        if isinstance(msg, steps.Plan):
            self._observe_epoch(now, sender, msg.epoch)
            self.rank_steps.on_plan(msg)
            return self._send_report(sender)
        if isinstance(msg, steps.Grant):
            self._observe_epoch(now, sender, msg.plan_id[0])
            if self.rank_steps.on_grant(msg):
                self._leader_heard_at = now
            return self._send_report(sender)
        if isinstance(msg, PrepareMap):
            return self._on_prepare(now, sender, msg)
        if isinstance(msg, RankReport):
            self._on_report(msg)
            return []
        if isinstance(msg, PromisedEpochRequest):
            # A rank that has not joined replies too, with the epoch of its engine's
            # order. Otherwise a group whose sidecars all restarted would never join.
            return [
                SendMessage(
                    msg.rank,
                    PromisedEpochReply(self.rank, self.rank_steps.promised_epoch),
                )
            ]
        self._on_promised_epoch(msg)
        return []

    def _observe_epoch(self, now: float, sender: int, epoch: int) -> None:
        """Record an epoch and its leader; stop leading if it is above its own."""
        self._highest_epoch = max(self._highest_epoch, epoch)
        if epoch >= self.rank_steps.promised_epoch:
            self.leader_rank = sender
        if self.leader is not None and epoch > self.leader.epoch:
            self.leader = None
            self._leader_heard_at = now

    def _on_promise_request(
        self, now: float, sender: int, msg: PromiseRequest
    ) -> list[Action]:
        """Promise the candidate's epoch, unless a higher one is promised."""
        promise = self.rank_steps.on_promise_request(msg.epoch)
        self._highest_epoch = max(self._highest_epoch, msg.epoch)
        if promise is None:
            return []
        self._observe_epoch(now, sender, msg.epoch)
        self._leader_heard_at = now
        return [SendMessage(sender, promise)]

    def _on_prepare(self, now: float, sender: int, msg: PrepareMap) -> list[Action]:
        """Load a map for the leader of the promised epoch; report if that is done."""
        if msg.epoch != self.rank_steps.promised_epoch:
            return []
        if (
            msg.version in self.rank_steps.prepared
            or msg.version in self._loading_versions
        ):
            return self._send_report(sender)
        self._loading_versions.add(msg.version)
        return [LoadMap(msg.version)]

    def on_loaded(self, version: int, is_loaded: bool) -> list[Action]:
        """Record that a load ended; the leader requests a failed one again."""
        self._loading_versions.discard(version)
        if is_loaded:
            self.rank_steps.on_prepared(version)
        return self._send_report(self.leader_rank) if self.leader_rank >= 0 else []

    def _send_report(self, to_rank: int) -> list[Action]:
        """Report this rank's state to a leader."""
        state = self.rank_steps
        msg = RankReport(
            self.rank,
            state.promised_epoch,
            state.plan.plan_id,
            state.ran_step,
            state.prepared,
        )
        return [SendMessage(to_rank, msg)]

    def _on_report(self, msg: RankReport) -> None:
        """Record a rank's report of this leader's epoch."""
        leader = self.leader
        if leader is None or msg.epoch != leader.epoch:
            return
        self._reports[msg.rank] = msg
        leader.on_accepted(msg.rank, msg.plan)

    def _on_promised_epoch(self, msg: PromisedEpochReply) -> None:
        """Record another rank's promised epoch; join when all have replied."""
        if self.rank_steps.is_joined:
            return
        self._promised_epochs[msg.rank] = msg.epoch
        if len(self._promised_epochs) == self.ranks - 1:
            self.rank_steps.join(
                self._promised_epochs.values(), self.rank_steps.ran_step
            )
            self._highest_epoch = max(
                self._highest_epoch, *self._promised_epochs.values()
            )

    def on_engine_order(self, engine_steps: external.StepsState) -> None:
        """Restore this rank's plan and grant from the order that its engine holds.

        The sidecar stores nothing itself; called once after its start.
        """
        order = engine_steps.order
        self.rank_steps.plan = steps.Plan(order.epoch, order.number, order.maps)
        self.rank_steps.promised_epoch = max(
            self.rank_steps.promised_epoch, order.epoch
        )
        self.rank_steps.last_step = order.last_step
        self._highest_epoch = max(self._highest_epoch, order.epoch)
        self.on_engine_state(engine_steps.ran_step, engine_steps.loaded)

    def on_engine_state(self, ran_step: int, prepared: frozenset[int]) -> None:
        """Record the last step that the engine ran and the maps that it has loaded.

        The engine continues under its last order, so a sidecar that restarts does not
        stop its rank.
        """
        self.rank_steps.ran_step = max(self.rank_steps.ran_step, ran_step)
        self.rank_steps.prepared |= prepared
