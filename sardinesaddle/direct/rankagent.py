"""Reads the engine beside a sidecar and executes the group leader's orders on it.

Orders are sent from the engine's own host, each with the epoch that the leader saw and
with the engine's order count as just read. An order that is already in effect is not
sent again. The reply is always the state read after the order.
"""

import asyncio
import random
import typing

import loguru

from sardinesaddle.direct import engine, expertdemand, messages, nodemetrics

DEMAND_POLL_S: typing.Final = 0.1
# Up to half of the orders may get no response.
MAX_ORDER_ATTEMPTS: typing.Final = 5


class RankAgent:
    """The leader's access to one rank: its state, demand, experts and orders."""

    def __init__(
        self,
        rank_engine: engine.Engine,
        metrics: nodemetrics.SidecarMetrics,
        rng: random.Random,
    ) -> None:
        self._engine = rank_engine
        self._metrics = metrics
        self._rng = rng
        self.demand = expertdemand.ExpertDemand()

    async def read_demand(self) -> None:
        """Read the engine's expert counts into the demand estimate."""
        reading = await self._engine.read_counts()
        if isinstance(reading, engine.ExpertCounts):
            now = asyncio.get_running_loop().time()
            self.demand.record_counts(now, reading.epoch, reading.counts)

    async def read_rank(
        self, with_demand: bool, with_experts: bool
    ) -> messages.RankReply | None:
        """Read the rank's state; return None if the engine does not respond."""
        state = await self._engine.read_state()
        if isinstance(state, engine.EngineFault):
            return None
        return await self.make_reply(state, with_demand, with_experts)

    async def make_reply(
        self, state: engine.EngineState, with_demand: bool, with_experts: bool
    ) -> messages.RankReply:
        """Return the reply for a state, with demand and experts if requested."""
        packed, demand_unit = None, 0.0
        if with_demand:
            packed, demand_unit = self.demand.pack(self._rng.random)
        experts = await self._read_experts(state) if with_experts else None
        return messages.RankReply(
            group=state.group,
            epoch=state.epoch,
            rank=state.rank,
            is_group_open=state.is_group_open,
            step=state.step,
            map_version=state.map_version,
            prepared_version=state.prepared_version,
            armed_version=state.armed_version,
            armed_step=state.armed_step,
            held_step=state.held_step,
            slowdown=state.slowdown,
            demand=packed,
            demand_unit=demand_unit,
            experts=experts,
        )

    async def _read_experts(self, state: engine.EngineState) -> list[list[int]] | None:
        """Return the rank's experts, or None if they are not those of the state's map.

        The leader keeps them while the map is in force. They are not kept here, so that
        it can have them read again.
        """
        reading = await self._engine.read_experts()
        if isinstance(reading, engine.EngineFault):
            return None
        return reading.experts if reading.version == state.map_version else None

    async def apply_order(self, order: engine.EngineOrder) -> engine.EngineState | None:
        """Send an order unless it is in effect; return the state after it.

        Sends it again while there is no response. Returns None if the state cannot be
        read, and the state without an order if the epoch has changed.
        """
        state = await self._engine.read_state()
        if isinstance(state, engine.EngineFault):
            return None
        if (
            state.epoch != order.epoch
            or not state.is_group_open
            or is_in_effect(state, order)
        ):
            return state
        for _ in range(MAX_ORDER_ATTEMPTS):
            status = await self._send_order(order, state)
            after = await self._engine.read_state()
            if isinstance(after, engine.EngineFault):
                return None
            state = after
            if isinstance(status, int) or is_in_effect(state, order):
                break
        return state

    async def _send_order(
        self, order: engine.EngineOrder, state: engine.EngineState
    ) -> int | engine.EngineFault:
        """Send an order once, with the order count of the given state."""
        sent_order = engine.EngineOrder(
            order.kind,
            order.epoch,
            state.accepted_orders,
            order.version,
            order.step,
            order.experts,
        )
        status = await self._engine.send_order(sent_order)
        self._metrics.count_order(order.kind, status if isinstance(status, int) else 0)
        loguru.logger.info(
            "event=order kind={} epoch={} version={} step={} expected={} at_step={}"
            " outcome={!r}",
            order.kind,
            order.epoch,
            order.version,
            order.step,
            state.accepted_orders,
            state.step,
            status if isinstance(status, int) else status.reason,
        )
        return status


def is_in_effect(state: engine.EngineState, order: engine.EngineOrder) -> bool:
    """Return whether the engine's state already shows the order's effect."""
    if order.kind == "prepare":
        return (
            state.prepared_version == order.version
            or state.map_version == order.version
        )
    if order.kind == "arm":
        return (state.armed_version, state.armed_step) == (order.version, order.step)
    if order.kind == "hold":
        return state.held_step == order.step
    return state.held_step != order.step
