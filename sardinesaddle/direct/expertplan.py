"""Plans the next expert map of a group: which experts to replicate on which ranks.

The ranks that hold an expert share its tokens evenly. A pass takes, for each set of
layers, the time of the most loaded rank. The planner adds one replica at a time: of an
expert in high demand on the most loaded rank, onto a lightly loaded rank, where it
evicts a replica in low demand if the rank is full. The objective is a sum of high
powers of the ranks' loads, which also improves while several ranks are equally loaded.

Copies occupy their rank, and all passes take longer meanwhile. A plan is therefore
limited in copies per rank, and it is used only if the time that it saves until demand
shifts again exceeds the cost of the copies. The last copies, which together save
little, are left out: what they evict may be needed after the next shift.
"""

import collections
import dataclasses
import math
import typing

LOAD_EXPONENT: typing.Final = 8
# Passes take this share longer during a copy, as the platform states.
COPY_SLOWDOWN: typing.Final = 0.15
PLAN_LIFETIME_S: typing.Final = 3.0  # demand shifts every 3 to 4 s
# Share of the pass time; with 0.08, copies cost more than they gain.
MIN_PASS_TIME_GAIN: typing.Final = 0.20
# Of the skew that all copies of a plan would save; the fewest that do so are made.
KEPT_GAIN_SHARE: typing.Final = 0.9
ROUNDING: typing.Final = 1e-9
HOT_EXPERT_CANDIDATES: typing.Final = 3
COLD_RANK_CANDIDATES: typing.Final = 3
EVICTION_CANDIDATES: typing.Final = 2
# Relative gain of the objective below which the search ends.
MIN_OBJECTIVE_GAIN: typing.Final = 1e-3

ExpertMap = list[list[list[int]]]
"""The experts of a map, indexed by set of layers and rank."""


@dataclasses.dataclass(frozen=True, slots=True)
class GroupShape:
    """The size and speed of a group and its limits on maps.

    ``slowdowns`` has a factor for each rank: 1 is normal, 2 takes twice as long. A
    rank holds at most ``max_experts_per_rank`` experts of a set, and a switch adds at
    most ``max_added_per_rank`` of them. ``expert_share`` is the experts' share of the
    pass time with even loads, ``copy_s_per_expert`` the time to copy one expert.
    """

    slowdowns: tuple[float, ...]
    experts_per_set: int
    max_experts_per_rank: int
    max_added_per_rank: int
    expert_share: float
    copy_s_per_expert: float


@dataclasses.dataclass(frozen=True, slots=True)
class MapPlan:
    """A planned map with its skew, copies and gain.

    ``pass_time_gain`` is the share of the pass time that the map saves.
    """

    experts: ExpertMap
    skew_before: float
    skew_after: float
    copies: int
    max_copies_on_a_rank: int
    pass_time_gain: float


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """A replica to add to a rank of a set of layers; ``evicted`` is -1 for none.

    ``mean_skew`` is that of all sets after this copy and those before it.
    """

    layer_set: int
    expert: int
    rank: int
    evicted: int
    mean_skew: float


class LayerSetPlacement:
    """The placement of one set's experts on the ranks, and the ranks' loads.

    Loads are relative to the mean rank.
    """

    def __init__(
        self, demand: list[float], experts_by_rank: list[list[int]], shape: GroupShape
    ) -> None:
        self._demand = demand
        self._shape = shape
        self.experts_by_rank = [list(rank_experts) for rank_experts in experts_by_rank]
        self._ranks_by_expert: list[list[int]] = [[] for _ in demand]
        for rank, rank_list in enumerate(self.experts_by_rank):
            for expert in rank_list:
                self._ranks_by_expert[expert].append(rank)
        self._mean_load = max(sum(demand) / len(experts_by_rank), 1e-12)
        self.loads = [0.0] * len(experts_by_rank)
        for expert, ranks in enumerate(self._ranks_by_expert):
            for rank in ranks:
                self.loads[rank] += self._compute_replica_load(expert, len(ranks))
        self.added_by_rank = [0] * len(experts_by_rank)

    def _compute_replica_load(self, expert: int, replica_count: int) -> float:
        """Return the load of one of an expert's replicas."""
        return self._demand[expert] / replica_count / self._mean_load

    def compute_skew(self) -> float:
        """Return the slowest rank's time, with 1 for the mean load at normal speed."""
        return max(
            load * slowdown
            for load, slowdown in zip(self.loads, self._shape.slowdowns, strict=True)
        )

    def _compute_objective(self, loads: list[float]) -> float:
        """Return the objective that the planner minimizes: a sum of powers."""
        total = 0.0
        for load, slowdown in zip(loads, self._shape.slowdowns, strict=True):
            total += (load * slowdown) ** LOAD_EXPONENT
        return total

    def find_best_copy(
        self, copies_left: list[int]
    ) -> tuple[float, int, int, int] | None:
        """Return the best replica to add: (gain, expert, rank, evicted or -1).

        Returns None if none gains enough. ``copies_left`` is indexed by rank.
        """
        times = [
            load * slowdown
            for load, slowdown in zip(self.loads, self._shape.slowdowns, strict=True)
        ]
        ranks = sorted(range(len(times)), key=times.__getitem__)
        hottest = ranks[-1]
        current_objective = self._compute_objective(self.loads)
        hot_experts = sorted(
            self.experts_by_rank[hottest],
            key=lambda e: -self._compute_replica_load(e, len(self._ranks_by_expert[e])),
        )[:HOT_EXPERT_CANDIDATES]
        cold_ranks = [
            rank
            for rank in ranks[:-1]
            if copies_left[rank] > 0
            and self.added_by_rank[rank] < self._shape.max_added_per_rank
        ][:COLD_RANK_CANDIDATES]
        best: tuple[float, int, int, int] | None = None
        for rank in cold_ranks:
            for expert in hot_experts:
                if rank in self._ranks_by_expert[expert]:
                    continue
                for evicted in self._list_evictable(rank):
                    loads = self._compute_loads_after(expert, rank, evicted)
                    gain = 1.0 - (
                        self._compute_objective(loads) / current_objective
                    ) ** (1.0 / LOAD_EXPONENT)
                    if gain > MIN_OBJECTIVE_GAIN and (best is None or gain > best[0]):
                        best = (gain, expert, rank, evicted)
        return best

    def _list_evictable(self, rank: int) -> list[int]:
        """Return the experts to evict for a copy, or -1 if a slot is free.

        Only experts with another replica are evicted, those with the least load.
        """
        if len(self.experts_by_rank[rank]) < self._shape.max_experts_per_rank:
            return [-1]
        replicated = [
            e for e in self.experts_by_rank[rank] if len(self._ranks_by_expert[e]) > 1
        ]
        replicated.sort(
            key=lambda e: self._compute_replica_load(e, len(self._ranks_by_expert[e]))
        )
        return replicated[:EVICTION_CANDIDATES]

    def _compute_loads_after(self, expert: int, rank: int, evicted: int) -> list[float]:
        """Return the ranks' loads after a copy and its eviction."""
        loads = list(self.loads)
        count = len(self._ranks_by_expert[expert])
        load_before = self._compute_replica_load(expert, count)
        load_after = self._compute_replica_load(expert, count + 1)
        for holder in self._ranks_by_expert[expert]:
            loads[holder] += load_after - load_before
        loads[rank] += load_after
        if evicted >= 0:
            count = len(self._ranks_by_expert[evicted])
            evicted_load_before = self._compute_replica_load(evicted, count)
            evicted_load_after = self._compute_replica_load(evicted, count - 1)
            for holder in self._ranks_by_expert[evicted]:
                loads[holder] += evicted_load_after - evicted_load_before
            loads[rank] -= evicted_load_after
        return loads

    def apply_copy(self, expert: int, rank: int, evicted: int) -> None:
        """Add a replica to a rank and evict another one (-1 for none)."""
        self.loads = self._compute_loads_after(expert, rank, evicted)
        if evicted >= 0:
            self.experts_by_rank[rank].remove(evicted)
            self._ranks_by_expert[evicted].remove(rank)
        self.experts_by_rank[rank].append(expert)
        self._ranks_by_expert[expert].append(rank)
        self.added_by_rank[rank] += 1


def count_experts(experts_by_rank: list[list[int]]) -> int:
    """Return how many different experts the ranks hold of one set of layers."""
    return len(set().union(*experts_by_rank))


def is_complete_map(experts: ExpertMap) -> bool:
    """Return whether each set has the same experts, from 0 on, each on some rank."""
    count = count_experts(experts[0])
    numbers = set(range(count))
    return all(set().union(*by_rank) == numbers for by_rank in experts)


def plan_map(
    demand: list[float], current: ExpertMap, shape: GroupShape, max_copies: int
) -> MapPlan | None:
    """Return the next map, or None if no map is worth its copies.

    ``demand`` has one number for each expert, set by set. ``max_copies`` limits the
    copies to one rank over all sets.
    """
    placements = [
        LayerSetPlacement(
            demand[index * shape.experts_per_set : (index + 1) * shape.experts_per_set],
            experts_by_rank,
            shape,
        )
        for index, experts_by_rank in enumerate(current)
    ]
    skew_before = compute_mean_skew(placements)
    copies = find_copies(placements, shape, max_copies)
    kept = choose_copies(copies, skew_before)
    skew_after = kept[-1].mean_skew if kept else skew_before
    copies_by_rank = collections.Counter(copy.rank for copy in kept)
    busiest_copies = max(copies_by_rank.values(), default=0)
    pass_time_gain = compute_pass_time_gain(skew_before, skew_after, shape.expert_share)
    cost_s = COPY_SLOWDOWN * busiest_copies * shape.copy_s_per_expert
    if (
        pass_time_gain < MIN_PASS_TIME_GAIN
        or pass_time_gain * (PLAN_LIFETIME_S - busiest_copies * shape.copy_s_per_expert)
        < cost_s
    ):
        return None
    return MapPlan(
        apply_copies(current, kept),
        skew_before,
        skew_after,
        len(kept),
        busiest_copies,
        pass_time_gain,
    )


def compute_mean_skew(placements: list[LayerSetPlacement]) -> float:
    """Return the skew, averaged over the sets of layers."""
    return sum(placement.compute_skew() for placement in placements) / len(placements)


def find_copies(
    placements: list[LayerSetPlacement], shape: GroupShape, max_copies: int
) -> list[Copy]:
    """Return the copies that gain most, one after the other, and apply them."""
    skews = [placement.compute_skew() for placement in placements]
    copies_left = [max_copies] * len(shape.slowdowns)
    best_copies = [placement.find_best_copy(copies_left) for placement in placements]
    copies: list[Copy] = []
    while True:
        best = None
        for index, best_copy in enumerate(best_copies):
            if best_copy is None:
                continue
            weight = best_copy[0] * skews[index]
            if best is None or weight > best[0]:
                best = (weight, index, best_copy)
        if best is None:
            return copies
        _, index, (_, expert, rank, evicted) = best
        if copies_left[rank] > 0:
            placements[index].apply_copy(expert, rank, evicted)
            copies_left[rank] -= 1
            skews[index] = placements[index].compute_skew()
            mean_skew = sum(skews) / len(skews)
            copies.append(Copy(index, expert, rank, evicted, mean_skew))
        best_copies[index] = placements[index].find_best_copy(copies_left)


def choose_copies(copies: list[Copy], skew_before: float) -> list[Copy]:
    """Return the fewest copies that save ``KEPT_GAIN_SHARE`` of what all save.

    The search minimizes a sum of powers, so its copies may also raise the skew.
    """
    saved = skew_before - min((copy.mean_skew for copy in copies), default=math.inf)
    if saved <= 0.0:
        return []
    limit = skew_before - KEPT_GAIN_SHARE * saved + ROUNDING
    count = next(n for n, copy in enumerate(copies, 1) if copy.mean_skew <= limit)
    return copies[:count]


def apply_copies(current: ExpertMap, copies: list[Copy]) -> ExpertMap:
    """Return a map with some copies and without what they evict."""
    experts = [[list(on_rank) for on_rank in by_rank] for by_rank in current]
    for copy in copies:
        on_rank = experts[copy.layer_set][copy.rank]
        if copy.evicted >= 0:
            on_rank.remove(copy.evicted)
        on_rank.append(copy.expert)
    return experts


def make_unchanged_plan(current: ExpertMap, skew: float) -> MapPlan:
    """Return a plan for the current map, for a switch that only ends a hold."""
    return MapPlan(
        [
            [list(rank_experts) for rank_experts in experts_by_rank]
            for experts_by_rank in current
        ],
        skew,
        skew,
        0,
        0,
        0,
    )


def compute_pass_time_gain(
    skew_before: float, skew_after: float, expert_share: float
) -> float:
    """Return the share of the pass time that a lower skew saves."""
    other_share = 1.0 - expert_share
    return (
        expert_share
        * (skew_before - skew_after)
        / (other_share + expert_share * skew_before)
    )


def compute_skew(demand: list[float], current: ExpertMap, shape: GroupShape) -> float:
    """Return the skew of a map, averaged over the sets of layers."""
    total = 0.0
    for index, experts_by_rank in enumerate(current):
        part = demand[
            index * shape.experts_per_set : (index + 1) * shape.experts_per_set
        ]
        total += LayerSetPlacement(part, experts_by_rank, shape).compute_skew()
    return total / max(len(current), 1)
