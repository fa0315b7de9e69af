"""Leads a group of ranks from the sidecar beside its rank 0.

The leader reads every rank through the rank's sidecar, plans a better expert map from
the demand summed over all ranks, and sends the orders that ``mapswitch`` decides on.
"""

import abc
import asyncio
import math
import random
import typing

import loguru

from sardinesaddle.direct import (
    catalog,
    engine,
    expertdemand,
    expertplan,
    mapswitch,
    messages,
    nodemetrics,
    orderrelay,
    rankagent,
    rpc,
)

IDLE_POLL_S: typing.Final = 0.08  # for a group of up to RANKS_PER_IDLE_POLL ranks
# Larger groups are read proportionally less often, to suit links of 4 Mbit/s.
RANKS_PER_IDLE_POLL: typing.Final = 16
ACTIVE_POLL_S: typing.Final = 0.02  # during a switch
CALL_TIMEOUT_S: typing.Final = 0.3
# At a time, with demand or maps of several kilobytes. More would keep a link of
# 3 Mbit/s busy for longer than ``CALL_TIMEOUT_S``.
MAX_BULK_CALLS: typing.Final = 8
# In one switch; 3 or 4 lower goodput by 0.02.
MAX_COPIES_PER_RANK: typing.Final = 2
# Decayed expert selections over the group; fewer do not show the demand.
MIN_TOTAL_DEMAND: typing.Final = 400.0


class GroupContext(abc.ABC):
    """The sidecar as the leader of the group uses it."""

    @abc.abstractmethod
    def get_state(self) -> engine.EngineState | None:
        """Return the last state read of the local engine; None if it failed."""

    @abc.abstractmethod
    def get_rank_hosts(self) -> dict[int, str]:
        """Return the hosts of the group's sidecars by rank; ranks may be missing."""

    @abc.abstractmethod
    async def get_model(self) -> catalog.EngineModel | None:
        """Return the service's engine model; None if no entry has sent it."""


class HoldTracker:
    """Tells from when no hold of this or an earlier process can be in flight.

    ``quiet_from`` is the event loop's time. A hold is not in flight once its pass has
    begun, or ``MAX_ORDER_DELAY_S`` after it was sent, or in a later epoch.
    """

    __slots__ = ("_epoch", "_last_pass", "quiet_from")

    def __init__(self) -> None:
        self._epoch: int | None = None
        self._last_pass = 0
        self.quiet_from = -math.inf

    def record_gate(self, read_at: float, gate: mapswitch.RankView) -> None:
        """Record a view of rank 0 whose read began at ``read_at``."""
        if self._epoch is None:
            # An earlier process may have ordered a hold just before it ended.
            self._last_pass = gate.step + mapswitch.MAX_HOLD_LEAD_PASSES
            self.quiet_from = read_at + mapswitch.MAX_ORDER_DELAY_S
        elif self._epoch != gate.epoch:
            self._last_pass = 0
        self._epoch = gate.epoch
        if gate.step >= self._last_pass:
            self.quiet_from = -math.inf

    def record_orders(
        self, now: float, orders: typing.Sequence[mapswitch.Order]
    ) -> None:
        """Record orders after the last attempt to send them."""
        for order in orders:
            if order.kind is mapswitch.OrderKind.HOLD:
                self._last_pass = order.step
                self.quiet_from = now + mapswitch.MAX_ORDER_DELAY_S


class GroupLeader:
    """Leads the group while the local engine is its rank 0."""

    def __init__(
        self,
        context: GroupContext,
        agent: rankagent.RankAgent,
        metrics: nodemetrics.SidecarMetrics,
        port: int,
        rng: random.Random,
        has_backup: bool = False,
    ) -> None:
        self._holds = HoldTracker() if has_backup else None
        self._context = context
        self._agent = agent
        self._metrics = metrics
        self._port = port
        self._rng = rng
        self._peers: dict[str, rpc.Peer] = {}
        self._bulk_calls = asyncio.Semaphore(MAX_BULK_CALLS)
        self._coordinator = mapswitch.SwitchCoordinator(0)
        self._switch_plan: expertplan.MapPlan | None = None
        self._hold_started_at = 0.0
        self._demand = 0.0  # of the group, when a map was last planned
        # By rank: epoch, map version, and the rank's experts by set of layers.
        self._experts_by_rank: dict[int, tuple[int, int, list[list[int]]]] = {}
        # The epoch and map version for which the ranks' lists made no map.
        self._refused_experts = (-1, -1)
        self.skew = 1.0
        self.last_decision = ""

    async def run(self) -> None:
        """Poll the group and carry out switches until cancelled."""
        while True:
            is_active = False
            state = self._context.get_state()
            if state is not None and state.is_group_open and state.rank == 0:
                is_active = state.size > 1 and await self._poll_group(state)
            idle_s = IDLE_POLL_S
            if state is not None:
                idle_s *= compute_idle_factor(state.size)
            await asyncio.sleep(ACTIVE_POLL_S if is_active else idle_s)

    async def _poll_group(self, state: engine.EngineState) -> bool:
        """Read the ranks and send orders; return whether a switch is in progress."""
        loop = asyncio.get_running_loop()
        if self._coordinator.size != state.size:
            self._coordinator = mapswitch.SwitchCoordinator(state.size)
        is_idle = self._coordinator.attempt is None
        read_at = loop.time()
        replies = await self._read_ranks(state, is_idle)
        if replies is None:
            return False
        views = [make_rank_view(rank_reply) for rank_reply in replies]
        if self._holds is not None:
            self._holds.record_gate(read_at, views[0])
            self._coordinator.quiet_from = self._holds.quiet_from
        orders = self._coordinator.decide(loop.time(), views)
        if orders:
            await self._send_orders(orders)
        if self._holds is not None:
            self._holds.record_orders(loop.time(), orders)
            self._coordinator.quiet_from = self._holds.quiet_from
        self._record_outcome()
        if self._coordinator.may_begin(views, read_at):
            await self._maybe_begin_switch(replies, views)
        return self._coordinator.attempt is not None

    async def _read_ranks(
        self, state: engine.EngineState, is_idle: bool
    ) -> list[messages.RankReply] | None:
        """Return all ranks' states in the same group and epoch, else None."""
        hosts = self._context.get_rank_hosts()
        if not all(rank in hosts for rank in range(1, state.size)):
            return None
        own = await self._agent.read_rank(
            is_idle, is_idle and 0 not in self._experts_by_rank
        )
        others = await asyncio.gather(
            *(
                self._read_other(hosts[rank], rank, is_idle)
                for rank in range(1, state.size)
            )
        )
        replies = [own, *others]
        rank_replies = [
            rank_reply
            for rank_reply in replies
            if isinstance(rank_reply, messages.RankReply)
        ]
        if len(rank_replies) != state.size:
            return None
        for rank, rank_reply in enumerate(rank_replies):
            if (rank_reply.group, rank_reply.epoch, rank_reply.rank) != (
                state.group,
                state.epoch,
                rank,
            ):
                return None
            if rank_reply.experts is not None:
                self._experts_by_rank[rank] = (
                    rank_reply.epoch,
                    rank_reply.map_version,
                    rank_reply.experts,
                )
        return rank_replies

    async def _read_other(
        self, host: str, rank: int, is_idle: bool
    ) -> messages.Reply | None:
        """Read a rank through its sidecar, with its demand if no switch is going on."""
        msg = messages.ReadRank(is_idle, is_idle and rank not in self._experts_by_rank)
        return await (self._ask_in_turn(host, msg) if is_idle else self._ask(host, msg))

    def _get_experts(self, reply: messages.RankReply) -> list[list[int]] | None:
        """Return a rank's experts if they were read for its current map, else None."""
        epoch, version, experts = self._experts_by_rank.get(reply.rank, (0, -1, []))
        if (epoch, version) == (reply.epoch, reply.map_version):
            return experts
        self._experts_by_rank.pop(reply.rank, None)
        return None

    async def _ask_in_turn(
        self, host: str, msg: messages.Request
    ) -> messages.Reply | None:
        """Call another rank's sidecar once few other large calls are in progress.

        Each call has its time limit to itself, so a large group does not exceed it.
        """
        async with self._bulk_calls:
            return await self._ask(host, msg)

    async def _ask(self, host: str, msg: messages.Request) -> messages.Reply | None:
        """Call another rank's sidecar; return None if the call fails."""
        peer = self._peers.get(host)
        if peer is None:
            peer = rpc.Peer(host, self._port)
            self._peers[host] = peer
        reply = await peer.call(msg, CALL_TIMEOUT_S)
        return None if isinstance(reply, rpc.RpcFault) else reply

    async def _send_orders(self, orders: list[mapswitch.Order]) -> None:
        """Send orders to the ranks; those to prepare a map go through relays."""
        direct: list[mapswitch.Order] = []
        prepares: list[mapswitch.Order] = []
        for order in orders:
            is_prepare = order.kind is mapswitch.OrderKind.PREPARE
            (prepares if is_prepare and order.rank else direct).append(order)
        await asyncio.gather(
            *(self._send_order(order) for order in direct),
            self._send_prepares(prepares),
        )

    async def _send_prepares(self, orders: list[mapswitch.Order]) -> None:
        """Send the planned map to ranks, through others each time it is sent again."""
        if not orders or self._switch_plan is None:
            return
        known = self._context.get_rank_hosts()
        hosts = [known[order.rank] for order in orders if order.rank in known]
        if len(hosts) > orderrelay.MAX_DIRECT_RANKS:
            self._rng.shuffle(hosts)  # so that a lost relay is not chosen again
        order = orders[0]
        await asyncio.gather(
            *(
                self._ask_in_turn(
                    relay,
                    messages.OrderRank(
                        "prepare",
                        order.epoch,
                        order.version,
                        order.step,
                        self._switch_plan.experts,
                        relay_hosts,
                    ),
                )
                for relay, relay_hosts in orderrelay.split_among_relays(hosts)
            )
        )

    async def _send_order(self, order: mapswitch.Order) -> None:
        """Send an order to a rank: directly to rank 0, else through its sidecar."""
        kind = order.kind
        experts = None
        if kind is mapswitch.OrderKind.PREPARE:
            if self._switch_plan is None:
                return
            experts = self._switch_plan.experts
        if order.rank == 0:
            await self._agent.apply_order(
                engine.EngineOrder(
                    kind.value, order.epoch, None, order.version, order.step, experts
                )
            )
            self._observe_hold(kind)
            return
        host = self._context.get_rank_hosts().get(order.rank)
        if host is None or kind is not mapswitch.OrderKind.ARM:
            return
        await self._ask(
            host, messages.OrderRank("arm", order.epoch, order.version, order.step)
        )

    def _observe_hold(self, kind: mapswitch.OrderKind) -> None:
        """Record the time from a hold to its release."""
        now = asyncio.get_running_loop().time()
        if kind is mapswitch.OrderKind.HOLD:
            self._hold_started_at = now
        elif kind is mapswitch.OrderKind.RELEASE and self._hold_started_at:
            self._metrics.observe_hold(now - self._hold_started_at)
            self._hold_started_at = 0.0

    def _record_outcome(self) -> None:
        """Log and count the end of a switch, if one has ended."""
        if not self._coordinator.outcome:
            return
        outcome = self._coordinator.outcome
        self._coordinator.outcome = ""
        self._metrics.count_map_switch(outcome)
        self._experts_by_rank.clear()
        loguru.logger.info("event=map_switch_ends outcome={}", outcome)
        self._switch_plan = None

    def _join_experts(
        self, replies: list[messages.RankReply]
    ) -> list[list[list[int]]] | None:
        """Return the experts by set and rank, or None unless all ranks' are known.

        Lists that make no map together are forgotten, so that they are read again.
        """
        by_rank = [self._get_experts(rank_reply) for rank_reply in replies]
        known = [experts for experts in by_rank if experts is not None]
        if len(known) < len(by_rank) or not any(known):
            return None
        if len({len(sets) for sets in known}) == 1:
            experts = [list(sets) for sets in zip(*known, strict=True)]
            if expertplan.is_complete_map(experts):
                return experts
        self._experts_by_rank.clear()
        key = (replies[0].epoch, replies[0].map_version)
        if self._refused_experts != key:
            self._refused_experts = key
            loguru.logger.warning(
                "event=experts_refused epoch={} version={} remedy=they_are_read_again",
                *key,
            )
        return None

    def _plan_map(
        self,
        model: catalog.EngineModel,
        replies: list[messages.RankReply],
        experts: list[list[list[int]]],
    ) -> expertplan.MapPlan | None:
        """Return a map that is worth a switch by the group's demand, or None."""
        if not model.layer_sets or len(experts) != model.layer_sets:
            return None
        if expertplan.count_experts(experts[0]) != model.experts_per_set:
            return None
        demand_count = model.layer_sets * model.experts_per_set
        parts = [
            (rank_reply.demand or b"", rank_reply.demand_unit) for rank_reply in replies
        ]
        # A rank whose counts have another length is left out.
        packed_length = (demand_count + 1) // 2
        total_demand = expertdemand.sum_packed(
            [part for part in parts if len(part[0]) == packed_length]
        )
        if len(total_demand) < demand_count:
            return None
        del total_demand[demand_count:]
        self._demand = sum(total_demand)
        if self._demand < MIN_TOTAL_DEMAND:
            return None
        shape = expertplan.GroupShape(
            tuple(max(rank_reply.slowdown, 0.1) for rank_reply in replies),
            model.experts_per_set,
            model.max_experts_per_rank,
            model.max_added_per_rank,
            model.expert_share,
            model.copy_s_per_expert,
        )
        self.skew = expertplan.compute_skew(total_demand, experts, shape)
        self._metrics.set_skew(self.skew)
        plan = expertplan.plan_map(total_demand, experts, shape, MAX_COPIES_PER_RANK)
        if plan is None:
            self.last_decision = f"kept at skew {self.skew:.2f}"
        return plan

    async def _maybe_begin_switch(
        self,
        replies: list[messages.RankReply],
        views: list[mapswitch.RankView],
    ) -> None:
        """Begin a switch if a better map is worth it or a stale hold requires one."""
        experts = self._join_experts(replies)
        if experts is None:
            return
        if self._coordinator.must_begin(views):
            # The group stands still, so no entry is asked for the engine's model.
            plan = expertplan.make_unchanged_plan(experts, self.skew)
        else:
            model = await self._context.get_model()
            better = None if model is None else self._plan_map(model, replies, experts)
            if better is None:
                return
            plan = better
        version = self._coordinator.choose_version(views, self._rng.random())
        self._switch_plan = plan
        now = asyncio.get_running_loop().time()
        self._coordinator.begin_switch(now, views[0].epoch, version)
        self.last_decision = f"version {version} at skew {plan.skew_before:.2f}"
        loguru.logger.info(
            "event=map_switch_begins epoch={} version={} skew={:.2f} planned={:.2f}"
            " copies={} most={} gain={:.2f} demand={:.0f}",
            views[0].epoch,
            version,
            plan.skew_before,
            plan.skew_after,
            plan.copies,
            plan.max_copies_on_a_rank,
            plan.pass_time_gain,
            self._demand,
        )

    def close(self) -> None:
        """Close the connections to other sidecars."""
        for peer in self._peers.values():
            peer.close()


def compute_idle_factor(size: int) -> float:
    """Return how many times less often a group is read than a small one."""
    return max(size / RANKS_PER_IDLE_POLL, 1.0)


def make_rank_view(reply: messages.RankReply) -> mapswitch.RankView:
    """Return the part of a reply that decides on a switch."""
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
