"""Places experts on the ranks of a group, with replicas, by load and rank speed.

A map gives each rank a set of experts, at most as many as it has memory slots, and
gives each replica the share of its expert's tokens that it takes. A step lasts as
long as its slowest rank, so the aim is to make the greatest time, load over speed,
small.

Changing shares costs nothing, since the weights are there already; changing the set
of experts on a rank loads weights and disturbs steps. ``balance_shares`` therefore
finds the best shares for a given set first. It minimises the sum of load squared
over speed, expert by expert, by filling each expert's replicas to an equal time; the
result is also the one with the smallest greatest time. A small term favours many
small pieces over few large ones, since the loads of the next interval are not quite
those that were counted and small pieces average out. Only then are moves considered:
each adds a replica of an expert of the slowest rank where the most time is free. A
series of moves is made when the time that it saves until the next drift, times the
deployment's weight for skew, pays for the loads times its weight for moves.
"""

import abc
import dataclasses
import typing

SHARE_SWEEPS: typing.Final = 12
TRIAL_SWEEPS: typing.Final = 5
MIN_TOTAL_SHARE: typing.Final = 1e-9
MAX_MOVES: typing.Final = 64
TARGET_SKEW: typing.Final = 1.01
MOVE_CANDIDATES: typing.Final = 4
# At 0.15 the sweeps left 8 % of excess at 256 ranks; at 0 drift cost 2 % more skew.
SPREAD_WEIGHT: typing.Final = 0.03


@dataclasses.dataclass(slots=True)
class PlacementProblem:
    """A group at one time: loads of experts, speeds and slots of ranks."""

    loads: list[float]
    speeds: list[float]
    slots: int

    @property
    def lower_bound(self) -> float:
        """Total load over total speed: no map can make a step shorter."""
        return sum(self.loads) / sum(self.speeds)


class ExpertMap:
    """Which rank holds which experts, and each replica's share of the load."""

    __slots__ = ("holders", "shares")

    def __init__(self, experts: int) -> None:
        self.holders: list[set[int]] = [set() for _ in range(experts)]
        self.shares: list[dict[int, float]] = [{} for _ in range(experts)]

    def copy(self) -> "ExpertMap":
        """Return a map that can be changed by itself."""
        clone = ExpertMap(len(self.holders))
        clone.holders = [set(ranks) for ranks in self.holders]
        clone.shares = [dict(shares) for shares in self.shares]
        return clone

    def add(self, expert: int, rank: int) -> None:
        """Give a rank a replica, without load yet."""
        self.holders[expert].add(rank)
        self.shares[expert].setdefault(rank, 0.0)

    def remove(self, expert: int, rank: int) -> None:
        """Take a replica from a rank."""
        self.holders[expert].discard(rank)
        self.shares[expert].pop(rank, None)

    def share_equally(self) -> None:
        """Give all replicas of an expert the same share."""
        for expert, ranks in enumerate(self.holders):
            self.shares[expert] = {rank: 1 / len(ranks) for rank in ranks}

    def list_experts(self, ranks: int) -> list[set[int]]:
        """Return the experts of each rank."""
        experts_by_rank: list[set[int]] = [set() for _ in range(ranks)]
        for expert, holders in enumerate(self.holders):
            for rank in holders:
                experts_by_rank[rank].add(expert)
        return experts_by_rank

    def compute_loads(self, problem: PlacementProblem) -> list[float]:
        """Return the load of each rank."""
        loads = [0.0] * len(problem.speeds)
        for expert, shares in enumerate(self.shares):
            for rank, share in shares.items():
                loads[rank] += share * problem.loads[expert]
        return loads

    def compute_times(self, problem: PlacementProblem) -> list[float]:
        """Return the time of each rank in a step."""
        loads = self.compute_loads(problem)
        return [load / s for load, s in zip(loads, problem.speeds, strict=True)]

    def count_new_replicas(self, previous: "ExpertMap") -> int:
        """Return how many replicas must be loaded to go from another map to this."""
        pairs = zip(self.holders, previous.holders, strict=True)
        return sum(len(now - then) for now, then in pairs)


def water_fill(
    amount: float, ranks: list[int], loads: list[float], speeds: list[float]
) -> dict[int, float]:
    """Spread an amount over ranks so that the lowest times rise to one level."""
    order = sorted(ranks, key=lambda rank: loads[rank] / speeds[rank])
    speed_sum = load_sum = 0.0
    level = 0.0
    for index, rank in enumerate(order):
        speed_sum += speeds[rank]
        load_sum += loads[rank]
        level = (load_sum + amount) / speed_sum
        next_rank = order[index + 1] if index + 1 < len(order) else None
        if next_rank is None or level <= loads[next_rank] / speeds[next_rank]:
            break
    return {rank: max(level * speeds[rank] - loads[rank], 0.0) for rank in ranks}


def balance_shares(
    expert_map: ExpertMap, problem: PlacementProblem, sweeps: int
) -> list[float]:
    """Find the best shares for the sets that ranks hold; return the rank times."""
    loads = expert_map.compute_loads(problem)
    for _ in range(sweeps):
        for expert, ranks in enumerate(expert_map.holders):
            expert_load = problem.loads[expert]
            shares = expert_map.shares[expert]
            if len(ranks) == 1 or expert_load <= 0:
                continue
            for rank, share in shares.items():
                loads[rank] -= share * expert_load
            padded_load = expert_load * (1 + SPREAD_WEIGHT)
            rank_loads = water_fill(padded_load, sorted(ranks), loads, problem.speeds)
            for rank, part in rank_loads.items():
                shares[rank] = part / padded_load
                loads[rank] += shares[rank] * expert_load
    return [load / s for load, s in zip(loads, problem.speeds, strict=True)]


def pack_experts(problem: PlacementProblem) -> ExpertMap:
    """Return a map from nothing: fill rank after rank to the bound, then spread.

    Experts are cut where a rank is full, so that no rank is above the bound as long
    as its slots suffice; slots that are left get replicas of the largest pieces.
    """
    ranks = len(problem.speeds)
    expert_map = ExpertMap(len(problem.loads))
    free_slots = [problem.slots] * ranks
    free_load = [problem.lower_bound * speed for speed in problem.speeds]
    order = sorted(range(len(problem.loads)), key=lambda e: -problem.loads[e])
    for expert in order:
        unassigned = problem.loads[expert]
        while True:
            rank = max(
                (r for r in range(ranks) if free_slots[r]),
                key=lambda r: (free_load[r] / free_slots[r], free_slots[r], -r),
            )
            expert_map.add(expert, rank)
            free_slots[rank] -= 1
            assigned = min(unassigned, max(free_load[rank], 0.0))
            expert_map.shares[expert][rank] = assigned
            free_load[rank] -= assigned
            unassigned -= assigned
            spare_slots = sum(free_slots) - (len(order) - order.index(expert) - 1)
            if unassigned <= problem.loads[expert] * 0.01 or spare_slots <= 0:
                expert_map.shares[expert][rank] += unassigned
                break
    for shares in expert_map.shares:
        total = sum(shares.values())
        for rank in shares:
            shares[rank] = shares[rank] / total if total else 1 / len(shares)
    fill_free_slots(expert_map, problem, free_slots)
    balance_shares(expert_map, problem, SHARE_SWEEPS)
    return expert_map


def fill_free_slots(
    expert_map: ExpertMap, problem: PlacementProblem, free_slots: list[int]
) -> None:
    """Give slots that are left replicas of the experts with the largest pieces."""
    for rank, count in enumerate(free_slots):
        for _ in range(count):
            candidates = [
                e for e, ranks in enumerate(expert_map.holders) if rank not in ranks
            ]
            if not candidates:
                break
            largest = max(
                candidates, key=lambda e: problem.loads[e] / len(expert_map.holders[e])
            )
            expert_map.add(largest, rank)


class Placer(abc.ABC):
    """Decides on a group's map, interval by interval."""

    @abc.abstractmethod
    def start(self, problem: PlacementProblem) -> ExpertMap:
        """Return the first map."""

    @abc.abstractmethod
    def update(self, problem: PlacementProblem, current_map: ExpertMap) -> ExpertMap:
        """Return the map for the next interval."""


class StaticPlacer(Placer):
    """Baseline: experts in turn over the ranks, never changed."""

    def start(self, problem: PlacementProblem) -> ExpertMap:
        """Return the map in turn."""
        expert_map = ExpertMap(len(problem.loads))
        ranks = len(problem.speeds)
        for index in range(max(ranks, len(problem.loads))):
            expert_map.add(index % len(problem.loads), index % ranks)
        expert_map.share_equally()
        return expert_map

    def update(self, problem: PlacementProblem, current_map: ExpertMap) -> ExpertMap:
        """Keep the map."""
        return current_map


class GreedyPlacer(Placer):
    """Baseline: replicate the largest, pack greedily, anew in each interval."""

    def __init__(self, uses_rank_speeds: bool = True) -> None:
        self._uses_rank_speeds = uses_rank_speeds

    def start(self, problem: PlacementProblem) -> ExpertMap:
        """Return a packed map."""
        return self.update(problem, ExpertMap(len(problem.loads)))

    def update(self, problem: PlacementProblem, current_map: ExpertMap) -> ExpertMap:
        """Return a packed map, whatever was held."""
        ranks = len(problem.speeds)
        counts = [1] * len(problem.loads)
        for _ in range(problem.slots * ranks - len(counts)):
            expert = max(
                (e for e in range(len(counts)) if counts[e] < ranks),
                key=lambda e: problem.loads[e] / counts[e],
            )
            counts[expert] += 1
        expert_map = ExpertMap(len(problem.loads))
        pieces = [
            (problem.loads[expert] / count, expert)
            for expert, count in enumerate(counts)
            for _ in range(count)
        ]
        loads = [0.0] * ranks
        free_slots = [problem.slots] * ranks
        speeds = problem.speeds if self._uses_rank_speeds else [1.0] * ranks
        for load, expert in sorted(pieces, reverse=True):
            candidates = [
                r
                for r in range(ranks)
                if free_slots[r] and r not in expert_map.holders[expert]
            ]
            if not candidates:
                continue
            rank = min(candidates, key=lambda r: ((loads[r] + load) / speeds[r], r))
            expert_map.add(expert, rank)
            loads[rank] += load
            free_slots[rank] -= 1
        expert_map.share_equally()
        return expert_map


@dataclasses.dataclass(frozen=True, slots=True)
class MovePolicy:
    """What a deployment gives for less skew and for fewer moves.

    ``drift_s`` is the expected time until the next drift and ``move_s`` what one
    load of an expert costs, both in seconds of the group's time.
    """

    skew_weight: float
    move_weight: float
    drift_interval_s: float = 300.0
    move_cost_s: float = 0.5


class CostAwarePlacer(Placer):
    """Ours: shares first, then moves that pay for themselves."""

    def __init__(self, policy: MovePolicy) -> None:
        self._policy = policy
        self.last_reason = "no decision yet"

    def start(self, problem: PlacementProblem) -> ExpertMap:
        """Return a packed map."""
        return pack_experts(problem)

    def update(self, problem: PlacementProblem, current_map: ExpertMap) -> ExpertMap:
        """Return the held map with new shares, or one with moves that pay."""
        balanced = current_map.copy()
        times = balance_shares(balanced, problem, SHARE_SWEEPS)
        max_time_before = max_time = max(times)
        trial = balanced
        moves = 0
        for _ in range(MAX_MOVES):
            if max_time <= problem.lower_bound * TARGET_SKEW:
                break
            improved = self._try_best_move(trial, problem, max_time)
            if improved is None:
                break
            trial, max_time = improved
            moves += 1
        if not moves:
            self.last_reason = "shares alone reach what moves could"
            return balanced
        saved_s = (max_time_before / max_time - 1) * self._policy.drift_interval_s
        gain = saved_s * self._policy.skew_weight
        cost = moves * self._policy.move_cost_s * self._policy.move_weight
        if gain <= cost:
            self.last_reason = f"{moves} moves cost {cost:.1f}, save {gain:.1f}"
            return balanced
        self.last_reason = f"{moves} moves pay: cost {cost:.1f}, save {gain:.1f}"
        return trial

    def _try_best_move(
        self, expert_map: ExpertMap, problem: PlacementProblem, max_time: float
    ) -> tuple[ExpertMap, float] | None:
        """Return the map after the best single move, or None if none helps."""
        times = expert_map.compute_times(problem)
        slowest = max(range(len(times)), key=lambda rank: times[rank])
        experts = [e for e, ranks in enumerate(expert_map.holders) if slowest in ranks]
        experts.sort(
            key=lambda e: -expert_map.shares[e].get(slowest, 0.0) * problem.loads[e]
        )
        ranks_by_free_load = sorted(
            range(len(times)),
            key=lambda rank: (times[rank] - max_time) * problem.speeds[rank],
        )
        best_move: tuple[float, int, int] | None = None
        loads = expert_map.compute_loads(problem)
        for expert in experts[:MOVE_CANDIDATES]:
            candidates = [
                r for r in ranks_by_free_load if r not in expert_map.holders[expert]
            ]
            for rank in candidates[:MOVE_CANDIDATES]:
                new_max_time = estimate_max_time(
                    expert_map, problem, loads, expert, rank
                )
                if best_move is None or new_max_time < best_move[0]:
                    best_move = (new_max_time, expert, rank)
        if best_move is None:
            return None
        trial = expert_map.copy()
        if not free_slot_on(trial, problem, best_move[2]):
            return None
        trial.add(best_move[1], best_move[2])
        new_max_time = max(balance_shares(trial, problem, TRIAL_SWEEPS))
        return (trial, new_max_time) if new_max_time < max_time * 0.999 else None


def estimate_max_time(
    expert_map: ExpertMap,
    problem: PlacementProblem,
    loads: list[float],
    expert: int,
    rank: int,
) -> float:
    """Return the greatest time of an expert's ranks once one more holds it."""
    expert_load = problem.loads[expert]
    shares = expert_map.shares[expert]
    other_loads = {
        r: loads[r] - shares.get(r, 0.0) * expert_load for r in (*shares, rank)
    }
    ranks = list(other_loads)
    base = [other_loads[r] for r in ranks]
    speeds = [problem.speeds[r] for r in ranks]
    added_loads = water_fill(expert_load, list(range(len(ranks))), base, speeds)
    return max((base[i] + part) / speeds[i] for i, part in added_loads.items())


def free_slot_on(expert_map: ExpertMap, problem: PlacementProblem, rank: int) -> bool:
    """Free a slot of a rank by dropping the replica that carries the least."""
    held_experts = [e for e, ranks in enumerate(expert_map.holders) if rank in ranks]
    if len(held_experts) < problem.slots:
        return True
    replicated = [e for e in held_experts if len(expert_map.holders[e]) > 1]
    if not replicated:
        return False
    dropped = min(
        replicated, key=lambda e: expert_map.shares[e].get(rank, 0.0) * problem.loads[e]
    )
    expert_map.remove(dropped, rank)
    remaining_shares = expert_map.shares[dropped]
    remaining_total = sum(remaining_shares.values())
    for other_rank in remaining_shares:
        share = (
            remaining_shares[other_rank] / remaining_total
            if remaining_total > MIN_TOTAL_SHARE
            else 1 / len(remaining_shares)
        )
        remaining_shares[other_rank] = share
    return True
