"""A stand-in for a lock-step group of engines that accept orders.

All ranks execute a pass together, so it takes as long as its slowest rank: the share
of the time that experts take grows with the load of the most loaded rank in each layer
set. Orders may be executed late and without a response. The group records each pass in
which ranks used different maps.
"""

import asyncio
import dataclasses
import random
import typing

from sardinesaddle.direct import catalog, engine

ENGINE_MODEL: typing.Final = catalog.EngineModel(
    slots=6,
    step_s=0.00484,
    per_request_s=0.000724,
    context_s_per_token=0.0,
    prefill_tokens_per_s=74800.0,
    prefill_chunk_tokens=512,
    steps_per_pass=6,
    mean_prompt_tokens=835.0,
    mean_output_tokens=159.0,
    layer_sets=3,
    experts_per_set=16,
    max_experts_per_rank=6,
    max_added_per_rank=2,
    expert_share=0.85,
    copy_s_per_expert=0.148,
)
CHOICES_PER_PASS: typing.Final = 2000  # expert selections by rank and layer set


@dataclasses.dataclass(slots=True)
class RankState:
    """State of one rank: its map in force, the prepared and the armed map.

    ``order_log`` lists the kind and the response status of each order.
    """

    map_version: int = 0
    experts: list[list[int]] = dataclasses.field(default_factory=list)
    preparing_version: int = 0
    prepared_version: int = 0
    prepared_experts: list[list[int]] = dataclasses.field(default_factory=list)
    armed_version: int = 0
    armed_step: int = 0
    expert_counts: list[int] = dataclasses.field(default_factory=list)
    order_log: list[tuple[str, int]] = dataclasses.field(default_factory=list)


class RankGroup:
    """The ranks of one group and the expert demand of their requests.

    ``late_share`` is the share of orders that are executed late. ``mixed_passes`` lists
    the passes in which ranks used different maps.
    """

    def __init__(
        self, size: int, seed: int, model: catalog.EngineModel = ENGINE_MODEL
    ) -> None:
        self.model = model
        self.size = size
        self.rng = random.Random(seed)
        self.epoch = 1
        self.is_open = True
        self.step = 0
        self.held_step = 0
        self.running = 4
        self.late_share = 0.0
        self.mixed_passes: list[int] = []
        self.pass_durations_s: list[float] = []
        self.total_held_s = 0.0
        self.demand: list[list[float]] = []
        self.shift_demand(1.0)
        self.ranks = [self._make_rank(index) for index in range(size)]
        self._late: list[asyncio.TimerHandle] = []

    def _make_rank(self, index: int) -> RankState:
        """Return a rank with map 0, which assigns experts to ranks round-robin."""
        model = self.model
        held = [e for e in range(model.experts_per_set) if e % self.size == index]
        return RankState(
            experts=[list(held) for _ in range(model.layer_sets)],
            expert_counts=[0] * (model.layer_sets * model.experts_per_set),
        )

    def shift_demand(self, share: float) -> None:
        """Replace a share of the demand in each layer set by a new random one."""
        model = self.model
        for index in range(model.layer_sets):
            weights = [1.0 / (1 + n) ** 1.6 for n in range(model.experts_per_set)]
            self.rng.shuffle(weights)
            total = sum(weights)
            new_weights = [weight / total for weight in weights]
            if len(self.demand) <= index:
                self.demand.append(new_weights)
            else:
                old = self.demand[index]
                self.demand[index] = [
                    (1 - share) * a + share * b
                    for a, b in zip(old, new_weights, strict=True)
                ]

    def compute_skew(self) -> float:
        """Return the greatest rank load over the mean load, averaged over sets."""
        total = 0.0
        for index, demand in enumerate(self.demand):
            holders = [
                sum(1 for rank in self.ranks if expert in rank.experts[index])
                for expert in range(self.model.experts_per_set)
            ]
            loads = [
                sum(demand[expert] / holders[expert] for expert in rank.experts[index])
                for rank in self.ranks
            ]
            total += max(loads) * self.size
        return total / len(self.demand)

    def compute_pass_s(self) -> float:
        """Return the duration of the next pass in seconds."""
        model = self.model
        base = model.steps_per_pass * (
            model.step_s + model.per_request_s * self.running
        )
        share = model.expert_share
        return base * (1.0 - share + share * self.compute_skew())

    async def run(self) -> None:
        """Run passes until cancelled.

        It waits while the next pass is held or the group is closed.
        """
        loop = asyncio.get_running_loop()
        while True:
            wait_began_at = loop.time()
            while self.held_step == self.step + 1 or not self.is_open:
                await asyncio.sleep(0.001)
            self.total_held_s += loop.time() - wait_began_at
            self._begin_pass()
            pass_s = self.compute_pass_s()
            self.pass_durations_s.append(pass_s)
            await asyncio.sleep(pass_s)

    def _begin_pass(self) -> None:
        """Start the next pass on all ranks; put maps in force that are armed for it."""
        self.step += 1
        for rank in self.ranks:
            if rank.armed_version and rank.armed_step == self.step:
                rank.map_version = rank.armed_version
                rank.experts = [
                    list(layer_experts) for layer_experts in rank.prepared_experts
                ]
                rank.armed_version = 0
                rank.armed_step = 0
            self._count_choices(rank)
        if len({rank.map_version for rank in self.ranks}) > 1:
            self.mixed_passes.append(self.step)

    def _count_choices(self, rank: RankState) -> None:
        """Add the expert selections of one pass to a rank's counts."""
        experts = self.model.experts_per_set
        for index, demand in enumerate(self.demand):
            for expert, share in enumerate(demand):
                rank.expert_counts[index * experts + expert] += round(
                    share * CHOICES_PER_PASS
                )

    def reform(self) -> None:
        """Form the group again in a new epoch, with map 0 and no orders in force."""
        self.epoch += 1
        self.held_step = 0
        for index in range(self.size):
            new_rank = self._make_rank(index)
            new_rank.order_log = self.ranks[index].order_log
            self.ranks[index] = new_rank

    def execute_order(self, index: int, order: engine.EngineOrder) -> int:
        """Execute an order; return the HTTP status of the response."""
        if order.epoch != self.epoch:
            return 409
        rank = self.ranks[index]
        status = self._apply_order(rank, order)
        rank.order_log.append((order.kind, status))
        return status

    def _apply_order(self, rank: RankState, order: engine.EngineOrder) -> int:
        """Apply an order to a rank; return 409 if it conflicts with its state."""
        if order.kind == "prepare":
            return self._prepare(rank, order)
        if order.kind == "arm":
            if rank.prepared_version != order.version or self.step >= order.step:
                return 409
            rank.armed_version, rank.armed_step = order.version, order.step
            return 200
        if order.kind == "hold":
            if self.held_step == order.step:
                return 200
            if self.held_step or self.step >= order.step:
                return 409
            self.held_step = order.step
            return 200
        if self.held_step != order.step:
            return 409
        self.held_step = 0
        return 200

    def _prepare(self, rank: RankState, order: engine.EngineOrder) -> int:
        """Start to copy the experts of a map that a rank does not hold yet."""
        assert order.experts is not None
        if rank.armed_version or order.version <= rank.preparing_version:
            return 409
        index = self.ranks.index(rank)
        rank_experts = [by_rank[index] for by_rank in order.experts]
        new_counts = [
            len(set(new) - set(old))
            for new, old in zip(rank_experts, rank.experts, strict=True)
        ]
        if max(new_counts) > self.model.max_added_per_rank:
            return 409
        if (
            max(len(experts) for experts in rank_experts)
            > self.model.max_experts_per_rank
        ):
            return 400
        rank.preparing_version = order.version
        delay_s = sum(new_counts) * self.model.copy_s_per_expert
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._finish_copy, rank, order.version, rank_experts)
        return 202

    def _finish_copy(
        self, rank: RankState, version: int, rank_experts: list[list[int]]
    ) -> None:
        """Mark a copied map as prepared, unless a newer one has replaced it."""
        if rank.preparing_version == version:
            rank.prepared_version, rank.prepared_experts = version, rank_experts

    def make_engines(self) -> list["RankEngine"]:
        """Return an engine client for each rank."""
        return [RankEngine(self, index) for index in range(self.size)]


class RankEngine(engine.Engine):
    """Engine client of one rank, for its sidecar."""

    def __init__(self, group: RankGroup, index: int) -> None:
        self._group = group
        self._index = index

    async def read_state(self) -> engine.EngineState | engine.EngineFault:
        """Return the current state of the rank and its group."""
        group, rank = self._group, self._group.ranks[self._index]
        return engine.EngineState(
            running=group.running,
            waiting=0,
            slowdown=1.0,
            accepted_orders=0,
            group="g",
            epoch=group.epoch,
            rank=self._index,
            size=group.size,
            is_group_open=group.is_open,
            step=group.step,
            map_version=rank.map_version,
            prepared_version=rank.prepared_version,
            armed_version=rank.armed_version,
            armed_step=rank.armed_step,
            held_step=group.held_step if self._index == 0 else 0,
        )

    async def read_counts(self) -> engine.ExpertCounts | engine.EngineFault:
        """Return how often each expert was selected since the group formed."""
        group = self._group
        counts = list(group.ranks[self._index].expert_counts)
        return engine.ExpertCounts(group.step, group.epoch, counts)

    async def read_experts(self) -> engine.RankExperts | engine.EngineFault:
        """Return the experts of the rank in the map in force, by layer set."""
        rank = self._group.ranks[self._index]
        experts = [list(layer_experts) for layer_experts in rank.experts]
        return engine.RankExperts(rank.map_version, experts)

    async def send_order(self, order: engine.EngineOrder) -> int | engine.EngineFault:
        """Execute an order at once, or late and without a response."""
        group = self._group
        if group.rng.random() < group.late_share:
            delay_s = group.rng.uniform(2.0, 12.0)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, group.execute_order, self._index, order)
            await asyncio.sleep(0.05)
            return engine.EngineFault("no answer")
        return group.execute_order(self._index, order)
