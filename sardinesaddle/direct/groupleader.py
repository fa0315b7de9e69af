"""Leads a group of ranks from the sidecar beside its rank 0.

Reads every rank through its sidecar, plans a better expert map from the demand of
all, and carries the switch out as ``mapswitch`` decides.
"""

import abc
import asyncio
import random
import typing

import loguru

from sardinesaddle.direct import (
    catalog,
    counts,
    demand,
    engine,
    expertplan,
    mapswitch,
    messages,
    rankdesk,
    rpc,
)

IDLE_PERIOD_S: typing.Final = 0.08  # between looks at a group of up to 16 ranks
RANKS_IN_PERIOD: typing.Final = 16  # larger groups are read less often: 4 Mbit/s links
ACTIVE_PERIOD_S: typing.Final = 0.02  # while a switch waits for reports
CALL_TIMEOUT_S: typing.Final = 0.3
COPIES_A_RANK: typing.Final = 2  # of one switch; with 3 or 4 worth fell by 0.02
MIN_DEMAND: typing.Final = 400.0  # choices; fewer say little of what is liked


class GroupSource(abc.ABC):
    """What the leader needs of its sidecar."""

    @abc.abstractmethod
    def get_state(self) -> engine.EngineState | None:
        """Return the state of the own engine as last read."""

    @abc.abstractmethod
    def get_rank_hosts(self) -> dict[int, str]:
        """Return the hosts of the group's sidecars by rank."""

    @abc.abstractmethod
    async def get_model(self) -> catalog.EngineModel | None:
        """Return the model of the service's engines."""


class GroupLeader:
    """Leads the group while the own engine is its rank 0."""

    def __init__(
        self,
        source: GroupSource,
        desk: rankdesk.RankDesk,
        counted: counts.SidecarCounts,
        port: int,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._desk = desk
        self._counts = counted
        self._port = port
        self._rng = rng
        self._peers: dict[str, rpc.Peer] = {}
        self._leader = mapswitch.Leader(0)
        self._plan: expertplan.Plan | None = None
        self._held_at = 0.0
        # By rank: the epoch and the version of the map, and the rank's experts.
        self._experts: dict[int, tuple[int, int, list[list[int]]]] = {}
        self.skew = 1.0
        self.last_decision = ""

    async def run(self) -> None:
        """Lead until cancelled."""
        while True:
            is_active = False
            state = self._source.get_state()
            if state is not None and state.is_group_open and state.rank == 0:
                is_active = state.size > 1 and await self._lead(state)
            idle_s = IDLE_PERIOD_S
            if state is not None:
                idle_s *= max(state.size / RANKS_IN_PERIOD, 1.0)
            await asyncio.sleep(ACTIVE_PERIOD_S if is_active else idle_s)

    async def _lead(self, state: engine.EngineState) -> bool:
        """Look at the group once; return whether a switch is under way."""
        loop = asyncio.get_running_loop()
        if self._leader.size != state.size:
            self._leader = mapswitch.Leader(state.size)
        is_idle = self._leader.attempt is None
        replies = await self._read_ranks(state, is_idle)
        if replies is None:
            return False
        views = [make_view(one) for one in replies]
        orders = self._leader.decide(loop.time(), views)
        if orders:
            await asyncio.gather(*(self._give(one) for one in orders))
        self._note_outcome()
        if self._leader.may_begin(views):
            await self._consider(replies, views)
        return self._leader.attempt is not None

    async def _read_ranks(
        self, state: engine.EngineState, is_idle: bool
    ) -> list[messages.RankReply] | None:
        """Return every rank's state, or None if one is missing."""
        hosts = self._source.get_rank_hosts()
        if not all(rank in hosts for rank in range(1, state.size)):
            return None
        own = await self._desk.read_now(is_idle, is_idle)
        others = await asyncio.gather(
            *(
                self._ask(
                    hosts[rank],
                    messages.ReadRank(is_idle, is_idle and rank not in self._experts),
                )
                for rank in range(1, state.size)
            )
        )
        replies = [own, *others]
        found = [one for one in replies if isinstance(one, messages.RankReply)]
        if len(found) != state.size:
            return None
        for rank, one in enumerate(found):
            if (one.group, one.epoch, one.rank) != (state.group, state.epoch, rank):
                return None
            if one.experts is not None:
                self._experts[rank] = (one.epoch, one.map_version, one.experts)
        return found

    def _get_experts(self, reply: messages.RankReply) -> list[list[int]] | None:
        """Return a rank's experts, which are read once for each map."""
        epoch, version, experts = self._experts.get(reply.rank, (0, -1, []))
        if (epoch, version) == (reply.epoch, reply.map_version):
            return experts
        self._experts.pop(reply.rank, None)
        return None

    async def _ask(self, host: str, msg: messages.Request) -> messages.Reply | None:
        """Ask the sidecar of another rank."""
        peer = self._peers.get(host)
        if peer is None:
            peer = rpc.Peer(host, self._port)
            self._peers[host] = peer
        reply = await peer.call(msg, CALL_TIMEOUT_S)
        return None if isinstance(reply, rpc.RpcFault) else reply

    async def _give(self, order: mapswitch.Order) -> None:
        """Give an order to a rank, through its sidecar."""
        kind = order.kind
        experts = None
        if kind is mapswitch.OrderKind.PREPARE:
            if self._plan is None:
                return
            experts = self._plan.experts
        if order.rank == 0:
            await self._desk.carry_out(
                engine.EngineOrder(
                    kind.value, order.epoch, None, order.version, order.step, experts
                )
            )
            self._note_hold(kind)
            return
        host = self._source.get_rank_hosts().get(order.rank)
        if host is None or kind.value not in ("prepare", "arm"):
            return
        name = typing.cast("typing.Literal['prepare', 'arm']", kind.value)
        await self._ask(
            host,
            messages.OrderRank(name, order.epoch, order.version, order.step, experts),
        )

    def _note_hold(self, kind: mapswitch.OrderKind) -> None:
        """Measure how long a hold stands."""
        now = asyncio.get_running_loop().time()
        if kind is mapswitch.OrderKind.HOLD:
            self._held_at = now
        elif kind is mapswitch.OrderKind.GO and self._held_at:
            self._counts.add_hold(now - self._held_at)
            self._held_at = 0.0

    def _note_outcome(self) -> None:
        """Log the end of a switch."""
        if not self._leader.outcome:
            return
        outcome = self._leader.outcome
        self._leader.outcome = ""
        self._counts.add_switch(outcome)
        self._experts.clear()
        loguru.logger.info("event=map_switch_ends outcome={}", outcome)
        self._plan = None

    async def _consider(
        self,
        replies: list[messages.RankReply],
        views: list[mapswitch.RankView],
    ) -> None:
        """Begin a switch if a better map pays for it."""
        model = await self._source.get_model()
        current = [self._get_experts(one) for one in replies]
        if model is None or not model.layer_sets:
            return
        total = demand.sum_packed(
            [(one.demand or b"", one.demand_unit) for one in replies]
        )
        numbers = model.layer_sets * model.experts_per_set
        if len(total) not in (numbers, numbers + 1):
            return
        del total[numbers:]
        if sum(total) < MIN_DEMAND and not self._leader.must_begin(views):
            return
        if any(one is None or len(one) != model.layer_sets for one in current):
            return
        experts = [
            [list((one or [])[index]) for one in current]
            for index in range(model.layer_sets)
        ]
        shape = expertplan.Shape(
            tuple(max(one.slowdown, 0.1) for one in replies),
            model.experts_per_set,
            model.max_experts_per_rank,
            model.max_new_per_copy,
            model.expert_share,
            model.copy_s_per_expert,
        )
        self.skew = expertplan.compute_skew(total, experts, shape)
        self._counts.set_skew(self.skew)
        plan = expertplan.plan_map(total, experts, shape, COPIES_A_RANK)
        if plan is None and self._leader.must_begin(views):
            plan = expertplan.keep_map(experts, self.skew)
        if plan is None:
            self.last_decision = f"kept at skew {self.skew:.2f}"
            return
        version = self._leader.choose_version(views, self._rng.random())
        self._plan = plan
        now = asyncio.get_running_loop().time()
        self._leader.begin(now, views[0].epoch, version)
        self.last_decision = f"version {version} at skew {plan.before:.2f}"
        loguru.logger.info(
            "event=map_switch_begins epoch={} version={} skew={:.2f} planned={:.2f}"
            " copies={} most={} gain={:.2f} demand={:.0f}",
            views[0].epoch,
            version,
            plan.before,
            plan.after,
            plan.copies,
            plan.most_copies,
            plan.gain,
            sum(total),
        )

    def close(self) -> None:
        """Close the connections to other sidecars."""
        for peer in self._peers.values():
            peer.close()


def make_view(reply: messages.RankReply) -> mapswitch.RankView:
    """Return a reply as the switch sees it."""
    return mapswitch.RankView(
        epoch=reply.epoch,
        is_open=reply.is_group_open,
        step=reply.step,
        map_version=reply.map_version,
        prepared=reply.prepared_version,
        armed=reply.armed_version,
        armed_step=reply.armed_step,
        held_step=reply.held_step,
    )
