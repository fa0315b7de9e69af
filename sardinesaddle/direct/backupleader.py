"""Completes a group's held map switch if the sidecar beside rank 0 is lost.

The sidecars of the ranks after rank 0 observe the passes at their own engines. If the
passes stop while requests are running, the backup asks rank 0's sidecar for the state
of its engine, or, if that does not respond, reads the engine over the network. If the
next pass is held, the backup reads all ranks, arms those that are not armed, and
releases the pass, as ``mapswitch.BackupCoordinator`` decides. A leader whose sidecar
responds gets more time. Ranks are reached through their sidecars, or else at their
engines. Calls to engines of other hosts are priced, so they are made only after passes
have stopped.
"""

import abc
import asyncio
import collections
import random
import typing

import loguru

from sardinesaddle.direct import (
    engine,
    groupleader,
    mapswitch,
    messages,
    nodemetrics,
    rankagent,
    rpc,
)

# Two sidecars beside rank 0's, so that a switch is also completed if one more is lost.
BACKUP_COUNT: typing.Final = 2
POLL_S: typing.Final = 0.05
# Users' bound: a group is held for at most 0.5 s beyond a pass for a lost leader. State
# is up to 0.15 s old, and reading, arming and releasing take at most 0.25 s.
FIRST_DELAY_S: typing.Final = 0.05
NEXT_DELAY_S: typing.Final = 0.1  # for each rank between the backup and rank 1
LEADER_TIMEOUT_S: typing.Final = 0.05
CALL_TIMEOUT_S: typing.Final = 0.1
# A leader that responds may still be arming ranks while every second order is lost.
LIVE_LEADER_DELAY_S: typing.Final = 0.2
# A long pass looks like a hold from other ranks. The longest period keeps the bound for
# a hold that begins just after a check.
CHECK_PERIOD_S: typing.Final = 0.1
MAX_CHECK_PERIOD_S: typing.Final = 0.4
MAX_ROUNDS: typing.Final = 8
RECENT_PASSES: typing.Final = 8


class BackupContext(abc.ABC):
    """The sidecar as a backup leader uses it."""

    @abc.abstractmethod
    def get_state(self) -> engine.EngineState | None:
        """Return the last state read of the local engine; None if it failed."""

    @abc.abstractmethod
    def get_rank_hosts(self) -> dict[int, str]:
        """Return the hosts of the group's sidecars by rank; ranks may be missing."""

    @abc.abstractmethod
    def get_rank_targets(self) -> dict[int, str]:
        """Return the addresses of the group's engines by rank; some may be missing."""

    @abc.abstractmethod
    def connect_engine(self, address: str) -> engine.Engine:
        """Return a client of the engine at an address."""


class StallDetector:
    """Tells for how long passes have stopped, from the passes of one engine."""

    __slots__ = ("_changed_at", "_durations_s", "_key")

    def __init__(self) -> None:
        self._key = (0, 0)
        self._changed_at: float | None = None
        self._durations_s: collections.deque[float] = collections.deque(
            maxlen=RECENT_PASSES
        )

    def record_state(self, now: float, state: engine.EngineState) -> bool:
        """Record a state; return whether it shows a pass begun or no work."""
        key = (state.epoch, state.step)
        has_work = state.is_group_open and state.running + state.waiting > 0
        if key == self._key and has_work:
            return False
        if not has_work or state.epoch != self._key[0]:
            self._durations_s.clear()
        elif self._changed_at is not None and state.step > self._key[1]:
            duration_s = (now - self._changed_at) / (state.step - self._key[1])
            self._durations_s.append(duration_s)
        self._key = key
        self._changed_at = now
        return True

    def get_stall_s(self, now: float) -> float:
        """Return for how long the next pass is overdue, by recent passes.

        The median is used, since a pass that was held is not a normal one.
        """
        if self._changed_at is None or not self._durations_s:
            return 0.0
        durations_s = sorted(self._durations_s)
        return now - self._changed_at - durations_s[len(durations_s) // 2]


class BackupLeader:
    """Watches the local engine's passes and takes over when a hold is not released."""

    def __init__(
        self,
        context: BackupContext,
        agent: rankagent.RankAgent,
        metrics: nodemetrics.SidecarMetrics,
        port: int,
        rng: random.Random,
    ) -> None:
        self._context = context
        self._agent = agent
        self._metrics = metrics
        self._port = port
        self._rng = rng
        self._coordinator = mapswitch.BackupCoordinator()
        self._stall = StallDetector()
        self._check_at = 0.0
        self._check_period_s = CHECK_PERIOD_S
        self._peers: dict[str, rpc.Peer] = {}
        self._engines: dict[str, engine.Engine] = {}
        self._lost_hosts: set[str] = set()

    async def run(self) -> None:
        """Watch the passes, and complete held switches until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            state = self._context.get_state()
            if state is not None:
                await self._watch(state)

    async def _watch(self, state: engine.EngineState) -> None:
        """Record the state; check the gate if passes have stopped for too long."""
        now = asyncio.get_running_loop().time()
        if self._stall.record_state(now, state):
            self._check_at = now
            self._check_period_s = CHECK_PERIOD_S
            return
        if not 1 <= state.rank <= BACKUP_COUNT or now < self._check_at:
            return
        overdue_s = self._stall.get_stall_s(now) - NEXT_DELAY_S * (state.rank - 1)
        if overdue_s < FIRST_DELAY_S:
            return
        is_priced = await self._check_gate(state, overdue_s)
        self._check_at = asyncio.get_running_loop().time() + self._check_period_s
        if is_priced:
            self._check_period_s = min(2 * self._check_period_s, MAX_CHECK_PERIOD_S)

    async def _check_gate(self, state: engine.EngineState, overdue_s: float) -> bool:
        """Read rank 0's state, and take over if it holds the next pass.

        Return whether its engine was read over the network.
        """
        targets = self._context.get_rank_targets()
        if not all(rank in targets for rank in range(state.size)):
            self._metrics.count_backup_check("ranks_unknown", "none")
            return False
        self._lost_hosts.clear()
        gate = await self._ask(0, messages.ReadRank(False, False), LEADER_TIMEOUT_S)
        is_priced = gate is None
        if gate is None:
            gate = await self._read_engine(targets[0])
        source = "engine" if is_priced else "sidecar"
        if gate is None or not is_rank_of(gate, state, 0):
            self._metrics.count_backup_check("no_response", source)
            return is_priced
        if not gate.held_step or gate.held_step != gate.step + 1:
            self._metrics.count_backup_check("not_held", source)
            return is_priced
        self._metrics.count_backup_check("held", source)
        if is_priced or overdue_s >= LIVE_LEADER_DELAY_S:
            await self._take_over(state, gate, overdue_s, source)
        return is_priced

    async def _take_over(
        self,
        state: engine.EngineState,
        gate: messages.RankReply,
        overdue_s: float,
        source: str,
    ) -> None:
        """Complete the switch of a held pass; log and count it."""
        began_at = asyncio.get_running_loop().time()
        outcome, orders = await self._complete_switch(state, gate)
        seconds = asyncio.get_running_loop().time() - began_at
        self._metrics.count_takeover(outcome)
        loguru.logger.warning(
            "event=backup_takeover group={} epoch={} rank={} held={} source={}"
            " outcome={} orders={} overdue_s={:.2f} s={:.2f}",
            state.group,
            state.epoch,
            state.rank,
            gate.held_step,
            source,
            outcome,
            orders,
            overdue_s,
            seconds,
        )

    async def _complete_switch(
        self, state: engine.EngineState, gate: messages.RankReply
    ) -> tuple[str, int]:
        """Arm the ranks and release the pass; return the outcome and the orders sent.

        Each reply to an order is the rank's state after it.
        """
        ranks = range(1, state.size)
        others = await asyncio.gather(*(self._read_rank(rank) for rank in ranks))
        replies = dict(enumerate([gate, *others]))
        order_count = 0
        for _ in range(MAX_ROUNDS):
            views = []
            for rank in range(state.size):
                reply = replies[rank]
                if reply is None or not is_rank_of(reply, state, rank):
                    return "rank_unreachable", order_count
                views.append(groupleader.make_rank_view(reply))
            has_begun = any(view.step >= gate.held_step for view in views)
            if has_begun or views[0].held_step != gate.held_step:
                outcome = "released" if order_count else "ended_by_another"
                return outcome, order_count
            orders = self._coordinator.decide(views)
            if not orders:
                return "unknown_version", order_count
            order_count += len(orders)
            results = await asyncio.gather(
                *(self._send_order(pending_order) for pending_order in orders)
            )
            for pending_order, result in zip(orders, results, strict=True):
                if result is None:  # Only the order's response may be lost.
                    result = await self._read_rank(pending_order.rank)
                replies[pending_order.rank] = result
        return "not_armed", order_count

    async def _read_rank(self, rank: int) -> messages.RankReply | None:
        """Read a rank: the own one, through its sidecar, or at its engine."""
        own = self._context.get_state()
        if own is not None and own.rank == rank:
            return await self._agent.read_rank(False, False)
        if rank != 0:
            reply = await self._ask(rank, messages.ReadRank(False, False))
            if reply is not None:
                return reply
        address = self._context.get_rank_targets().get(rank)
        return None if address is None else await self._read_engine(address)

    async def _send_order(self, order: mapswitch.Order) -> messages.RankReply | None:
        """Send an order, and return the rank's state after it."""
        rank_order = engine.EngineOrder(
            order.kind.value, order.epoch, None, order.version, order.step
        )
        own = self._context.get_state()
        if own is not None and own.rank == order.rank:
            return await self._apply_order(self._agent, rank_order)
        if order.rank != 0 and order.kind is mapswitch.OrderKind.ARM:
            message = messages.OrderRank("arm", order.epoch, order.version, order.step)
            reply = await self._ask(order.rank, message)
            if reply is not None:
                return reply
        address = self._context.get_rank_targets().get(order.rank)
        if address is None:
            return None
        return await self._apply_order(self._make_agent(address), rank_order)

    async def _apply_order(
        self, agent: rankagent.RankAgent, order: engine.EngineOrder
    ) -> messages.RankReply | None:
        """Send an order to an engine, and return the rank's state after it."""
        state = await agent.apply_order(order)
        return None if state is None else await agent.make_reply(state, False, False)

    async def _ask(
        self, rank: int, msg: messages.Request, timeout_s: float = CALL_TIMEOUT_S
    ) -> messages.RankReply | None:
        """Call a rank's sidecar; remember in this takeover that it does not reply."""
        host = self._context.get_rank_hosts().get(rank)
        if host is None or host in self._lost_hosts:
            return None
        reply = await self._call(host, msg, timeout_s)
        if isinstance(reply, messages.RankReply):
            return reply
        self._lost_hosts.add(host)
        return None

    async def _call(
        self, host: str, msg: messages.Request, timeout_s: float
    ) -> messages.Reply | None:
        """Call another sidecar; return None if the call fails."""
        peer = self._peers.get(host)
        if peer is None:
            peer = self._peers[host] = rpc.Peer(host, self._port)
        reply = await peer.call(msg, timeout_s)
        return None if isinstance(reply, rpc.RpcFault) else reply

    async def _read_engine(self, address: str) -> messages.RankReply | None:
        """Read an engine over the network; return None if it does not respond."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._make_agent(address).read_rank(False, False)
        except TimeoutError:
            return None

    def _make_agent(self, address: str) -> rankagent.RankAgent:
        """Return an agent for an engine of another host."""
        remote = self._engines.get(address)
        if remote is None:
            remote = self._engines[address] = self._context.connect_engine(address)
        return rankagent.RankAgent(remote, self._metrics, self._rng)

    async def close(self) -> None:
        """Close the connections to other sidecars and engines."""
        for peer in self._peers.values():
            peer.close()
        for remote in self._engines.values():
            await remote.close()


def is_rank_of(reply: messages.RankReply, state: engine.EngineState, rank: int) -> bool:
    """Return whether a reply is of a rank in the same group and epoch."""
    return (reply.group, reply.epoch, reply.rank) == (state.group, state.epoch, rank)
