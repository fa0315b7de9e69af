"""Places experts on the ranks of a group, with replicas, by load and rank speed.

An expert map gives each rank a set of experts, at most as many as it has memory
slots, and gives each replica the share of its expert's tokens that it serves. A step
lasts as long as its slowest rank, so the objective is to minimise the greatest rank
time, where a rank's time is its load divided by its speed.

Changing shares costs nothing, because the weights are loaded already; changing the
set of experts on a rank loads weights and disturbs steps. ``balance_shares`` therefore
first finds the best shares for the given sets. It minimises the sum of load squared
over speed by coordinate descent: one expert after another, it fills the replicas to
an equal time. The result also has the smallest greatest time. Each expert's load is
padded slightly, which favours many small pieces over few large ones: the loads of the
next interval differ from the counted ones, and small pieces average out.

Only then are moves considered. Each move adds a replica of an expert of the slowest
rank to a rank with much free time. A series of moves is made if the time that it
saves until the next drift, times the deployment's weight for skew, exceeds the time
for loading the replicas, times the weight for moves.
"""

import abc
import dataclasses
import typing

SHARE_SWEEPS: typing.Final = 12  # passes over all experts
TRIAL_SWEEPS: typing.Final = 5  # passes to evaluate one move
MIN_TOTAL_SHARE: typing.Final = 1e-9
MAX_MOVES: typing.Final = 64  # in one update
TARGET_SKEW: typing.Final = 1.01  # slowest rank's time over the lower bound
MOVE_CANDIDATES: typing.Final = 4  # experts, and ranks for each of them
# Padding relative to an expert's load. With 0.15 the slowest of 256 ranks stays 8 %
# above the lower bound; without padding, load drift adds 2 % of skew.
SPREAD_WEIGHT: typing.Final = 0.03


@dataclasses.dataclass(slots=True)
class PlacementProblem:
    """The input of a placement: expert loads, rank speeds and memory slots per rank."""

    loads: list[float]
    speeds: list[float]
    slots: int

    @property
    def lower_bound(self) -> float:
        """Total load over total speed, the shortest step that any map can reach."""
        return sum(self.loads) / sum(self.speeds)


class ExpertMap:
    """The ranks that hold each expert, and each replica's share of its load."""

    __slots__ = ("holders", "shares")

    def __init__(self, experts: int) -> None:
        self.holders: list[set[int]] = [set() for _ in range(experts)]
        self.shares: list[dict[int, float]] = [{} for _ in range(experts)]

    def copy(self) -> "ExpertMap":
        """Return a deep copy."""
        clone = ExpertMap(len(self.holders))
        clone.holders = [set(ranks) for ranks in self.holders]
        clone.shares = [dict(shares) for shares in self.shares]
        return clone

    def add(self, expert: int, rank: int) -> None:
        """Add a replica to a rank, with a share of 0 if it is new."""
        self.holders[expert].add(rank)
        self.shares[expert].setdefault(rank, 0.0)

    def remove(self, expert: int, rank: int) -> None:
        """Remove a replica from a rank, if the rank holds it."""
        self.holders[expert].discard(rank)
        self.shares[expert].pop(rank, None)

    def share_equally(self) -> None:
        """Split each expert's load equally over its replicas."""
        for expert, ranks in enumerate(self.holders):
            self.shares[expert] = {rank: 1 / len(ranks) for rank in ranks}

    def list_experts(self, ranks: int) -> list[set[int]]:
        """Return the set of experts that each of the ranks holds."""
        experts_by_rank: list[set[int]] = [set() for _ in range(ranks)]
        for expert, holders in enumerate(self.holders):
            for rank in holders:
                experts_by_rank[rank].add(expert)
        return experts_by_rank

    def compute_loads(self, problem: PlacementProblem) -> list[float]:
        """Return the load of each rank: its shares of its experts' loads."""
        loads = [0.0] * len(problem.speeds)
        for expert, shares in enumerate(self.shares):
            for rank, share in shares.items():
                loads[rank] += share * problem.loads[expert]
        return loads

    def compute_times(self, problem: PlacementProblem) -> list[float]:
        """Return the time that each rank needs in a step: load over speed."""
        loads = self.compute_loads(problem)
        return [load / s for load, s in zip(loads, problem.speeds, strict=True)]

    def count_new_replicas(self, previous: "ExpertMap") -> int:
        """Return how many replicas must be loaded to switch here from another map."""
        pairs = zip(self.holders, previous.holders, strict=True)
        return sum(len(now - then) for now, then in pairs)


def water_fill(
    amount: float, ranks: list[int], loads: list[float], speeds: list[float]
) -> dict[int, float]:
    """Distribute a load over ranks so that the lowest rank times become equal.

    Return the load that each rank receives; ranks above the common time receive 0.
    """
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
    """Set the best shares for the current replicas; return the rank times."""
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
    """Return a new map that packs the experts, largest first, onto the ranks.

    An expert is split where a rank reaches the lower bound, so that no rank exceeds
    it as long as the slots suffice. Remaining slots receive replicas of the experts
    with the largest pieces, and the shares are balanced at the end.
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
    """Fill remaining slots with replicas of the experts with the largest pieces."""
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
    """Chooses a group's expert map for each interval."""

    @abc.abstractmethod
    def start(self, problem: PlacementProblem) -> ExpertMap:
        """Return the map for the first interval."""

    @abc.abstractmethod
    def update(self, problem: PlacementProblem, current_map: ExpertMap) -> ExpertMap:
        """Return the map that replaces the current one in the next interval."""


class StaticPlacer(Placer):
    """Baseline: experts are assigned round-robin and never moved."""

    def start(self, problem: PlacementProblem) -> ExpertMap:
        """Return the round-robin map, with equal shares."""
        expert_map = ExpertMap(len(problem.loads))
        ranks = len(problem.speeds)
        for index in range(max(ranks, len(problem.loads))):
            expert_map.add(index % len(problem.loads), index % ranks)
        expert_map.share_equally()
        return expert_map

    def update(self, problem: PlacementProblem, current_map: ExpertMap) -> ExpertMap:
        """Return the current map unchanged."""
        return current_map


class GreedyPlacer(Placer):
    """Baseline: replicates the largest experts and repacks all in each interval."""

    def __init__(self, uses_rank_speeds: bool = True) -> None:
        self._uses_rank_speeds = uses_rank_speeds

    def start(self, problem: PlacementProblem) -> ExpertMap:
        """Return a packed map."""
        return self.update(problem, ExpertMap(len(problem.loads)))

    def update(self, problem: PlacementProblem, current_map: ExpertMap) -> ExpertMap:
        """Return a greedily packed map; the current map is not considered."""
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
    """How a deployment weighs less skew against fewer moves.

    ``drift_interval_s`` is the expected time until the loads drift again, and
    ``move_cost_s`` the cost of loading one replica; both are seconds of group time.
    """

    skew_weight: float
    move_weight: float
    drift_interval_s: float = 300.0
    move_cost_s: float = 0.5


class CostAwarePlacer(Placer):
    """Balances shares first, then makes moves whose gain exceeds their cost."""

    def __init__(self, policy: MovePolicy) -> None:
        self._policy = policy
        self.last_reason = "no decision yet"

    def start(self, problem: PlacementProblem) -> ExpertMap:
        """Return a packed map."""
        return pack_experts(problem)

    def update(self, problem: PlacementProblem, current_map: ExpertMap) -> ExpertMap:
        """Return the current map with new shares, also with moves if they are worth it.

        ``last_reason`` states why the moves were made or left out.
        """
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
            self.last_reason = "no move is needed, or none improves on balanced shares"
            return balanced
        saved_s = (max_time_before / max_time - 1) * self._policy.drift_interval_s
        gain = saved_s * self._policy.skew_weight
        cost = moves * self._policy.move_cost_s * self._policy.move_weight
        if gain <= cost:
            self.last_reason = (
                f"{moves} moves not made: cost {cost:.1f}, gain {gain:.1f}"
            )
            return balanced
        self.last_reason = f"{moves} moves made: cost {cost:.1f}, gain {gain:.1f}"
        return trial

    def _try_best_move(
        self, expert_map: ExpertMap, problem: PlacementProblem, max_time: float
    ) -> tuple[ExpertMap, float] | None:
        """Return the map after the best single move and its greatest rank time.

        Return None if no move shortens the step.
        """
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
    """Return the greatest time of an expert's ranks if one more rank holds it."""
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
    """Free a slot of a rank by dropping its replica with the least load.

    Only experts that other ranks hold too are dropped; their load is added to the
    remaining replicas. Return False if there is none.
    """
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
