"""A sidecar's work on its own engine for the leader of the group.

Orders are given from the engine's own host, each with the epoch that the leader saw
and with the engine's count of orders as just read. An order whose effect is already
there is not given again. The reply is always the state as read after the order.
"""

import asyncio
import random
import typing

import loguru

from sardinesaddle.direct import engine, expertdemand, messages, nodemetrics

DEMAND_POLL_S: typing.Final = 0.1
MAX_ORDER_ATTEMPTS: typing.Final = (
    5  # up to one order in two gets no answer in bad times
)


class RankAgent:
    """Reads and orders the engine beside a sidecar."""

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
        self._experts: list[list[int]] = []
        self._experts_key: tuple[int, int] = (-1, -1)

    async def read_demand(self) -> None:
        """Take a reading of the engine's counts."""
        reading = await self._engine.read_counts()
        if isinstance(reading, engine.ExpertCounts):
            now = asyncio.get_running_loop().time()
            self.demand.record_counts(now, reading.epoch, reading.counts)

    async def read_rank(
        self, with_demand: bool, with_experts: bool
    ) -> messages.RankReply | None:
        """Return the rank's state as of now."""
        state = await self._engine.read_state()
        if isinstance(state, engine.EngineFault):
            return None
        return await self.make_reply(state, with_demand, with_experts)

    async def make_reply(
        self, state: engine.EngineState, with_demand: bool, with_experts: bool
    ) -> messages.RankReply:
        """Return a rank's state with what else was asked for."""
        packed, level = None, 0.0
        if with_demand:
            packed, level = self.demand.pack(self._rng.random)
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
            demand_unit=level,
            experts=experts,
        )

    async def _read_experts(self, state: engine.EngineState) -> list[list[int]] | None:
        """Return the rank's experts; they are read once for each map."""
        key = (state.epoch, state.map_version)
        if self._experts_key != key:
            reading = await self._engine.read_experts()
            if isinstance(reading, engine.EngineFault):
                return None
            self._experts = reading
            self._experts_key = key
        return self._experts

    async def apply_order(self, order: engine.EngineOrder) -> engine.EngineState | None:
        """Give an order unless it has taken effect; return the state after it."""
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
        """Give an order once; the state is what it was decided on."""
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
    """Tell whether the engine is as the order wants it."""
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
