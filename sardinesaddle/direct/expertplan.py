"""Plans the next expert map of a group: which copies are worth making.

The ranks that hold an expert share its tokens evenly, and a pass takes, set by set,
the time of the most loaded rank. The planner adds one replica after the other: of a
much wanted expert of the most loaded rank, onto a lightly loaded one, dropping a
little wanted replica there if the rank is full. The measure is a sum of high powers
of the ranks' loads, which also makes progress while several ranks are equally full.

Copies take time on their rank, and all passes take longer meanwhile. So a plan has a
bound of copies a rank, and it is carried out only if the time that it saves until
demand shifts again exceeds what the copies cost.
"""

import dataclasses
import typing

POWER: typing.Final = 8
COPY_SLOWDOWN: typing.Final = 0.15  # the platform's figure for passes during a copy
SHIFT_S: typing.Final = 3.0  # how long a plan is of use: demand shifts every 3 to 4 s
MIN_GAIN: typing.Final = (
    0.20  # of the pass time; at 0.08 copies cost more than they gain
)
HOT_EXPERTS: typing.Final = 3
COLD_RANKS: typing.Final = 3
DROP_CHOICES: typing.Final = 2
MIN_STEP: typing.Final = 1e-3  # relative gain of the measure that ends the search

Experts = list[list[list[int]]]
"""The experts of a map by set of layers and rank."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """A group: its ranks' relative pace (1 is normal, 2 takes twice as long)."""

    paces: tuple[float, ...]
    experts: int
    places: int
    spare: int
    expert_share: float
    copy_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A map with its skew before and after, and the most copies on one rank."""

    experts: Experts
    before: float
    after: float
    copies: int
    most_copies: int
    gain: float


class SetPlacement:
    """The experts of one set of layers on the ranks, and the ranks' loads."""

    def __init__(
        self, demand: list[float], lists: list[list[int]], shape: Shape
    ) -> None:
        self._demand = demand
        self._shape = shape
        self.lists = [list(one) for one in lists]
        self._holders: list[list[int]] = [[] for _ in demand]
        for rank, held in enumerate(self.lists):
            for expert in held:
                self._holders[expert].append(rank)
        self._mean = max(sum(demand) / len(lists), 1e-12)
        self.loads = [0.0] * len(lists)
        for expert, ranks in enumerate(self._holders):
            for rank in ranks:
                self.loads[rank] += self._compute_part(expert, len(ranks))
        self.added = [0] * len(lists)

    def _compute_part(self, expert: int, holders: int) -> float:
        """Return the load of one replica relative to the mean rank."""
        return self._demand[expert] / holders / self._mean

    def compute_skew(self) -> float:
        """Return the most loaded rank's time over the mean rank's load."""
        return max(
            load * pace
            for load, pace in zip(self.loads, self._shape.paces, strict=True)
        )

    def _measure(self, loads: list[float]) -> float:
        """Return the sum of powers that the planner makes small."""
        total = 0.0
        for load, pace in zip(loads, self._shape.paces, strict=True):
            total += (load * pace) ** POWER
        return total

    def find_step(self, room: list[int]) -> tuple[float, int, int, int] | None:
        """Return the best replica to add: (gain, expert, rank, dropped or -1)."""
        times = [
            load * pace
            for load, pace in zip(self.loads, self._shape.paces, strict=True)
        ]
        ranks = sorted(range(len(times)), key=times.__getitem__)
        hot = ranks[-1]
        base = self._measure(self.loads)
        wanted = sorted(
            self.lists[hot],
            key=lambda e: -self._compute_part(e, len(self._holders[e])),
        )[:HOT_EXPERTS]
        free = [
            rank
            for rank in ranks[:-1]
            if room[rank] > 0 and self.added[rank] < self._shape.spare
        ][:COLD_RANKS]
        best: tuple[float, int, int, int] | None = None
        for rank in free:
            for expert in wanted:
                if rank in self._holders[expert]:
                    continue
                for dropped in self._list_drops(rank):
                    loads = self._compute_loads(expert, rank, dropped)
                    gain = 1.0 - (self._measure(loads) / base) ** (1.0 / POWER)
                    if gain > MIN_STEP and (best is None or gain > best[0]):
                        best = (gain, expert, rank, dropped)
        return best

    def _list_drops(self, rank: int) -> list[int]:
        """Return what the rank can give up: nothing (-1), or little wanted ones."""
        if len(self.lists[rank]) < self._shape.places:
            return [-1]
        spare = [e for e in self.lists[rank] if len(self._holders[e]) > 1]
        spare.sort(key=lambda e: self._compute_part(e, len(self._holders[e])))
        return spare[:DROP_CHOICES]

    def _compute_loads(self, expert: int, rank: int, dropped: int) -> list[float]:
        """Return the loads after a step."""
        loads = list(self.loads)
        count = len(self._holders[expert])
        less = self._compute_part(expert, count)
        more = self._compute_part(expert, count + 1)
        for holder in self._holders[expert]:
            loads[holder] += more - less
        loads[rank] += more
        if dropped >= 0:
            count = len(self._holders[dropped])
            part = self._compute_part(dropped, count)
            grown = self._compute_part(dropped, count - 1)
            for holder in self._holders[dropped]:
                loads[holder] += grown - part
            loads[rank] -= grown
        return loads

    def take_step(self, expert: int, rank: int, dropped: int) -> None:
        """Add a replica and drop another."""
        self.loads = self._compute_loads(expert, rank, dropped)
        if dropped >= 0:
            self.lists[rank].remove(dropped)
            self._holders[dropped].remove(rank)
        self.lists[rank].append(expert)
        self._holders[expert].append(rank)
        self.added[rank] += 1


def plan_map(
    demand: list[float], current: Experts, shape: Shape, copies_a_rank: int
) -> Plan | None:
    """Return the next map, or None if none pays for its copies.

    ``demand`` has one number an expert, set by set.
    """
    sets = [
        SetPlacement(
            demand[index * shape.experts : (index + 1) * shape.experts], lists, shape
        )
        for index, lists in enumerate(current)
    ]
    before = sum(one.compute_skew() for one in sets) / len(sets)
    room = [copies_a_rank] * len(shape.paces)
    steps = [one.find_step(room) for one in sets]
    copies = 0
    while True:
        best = None
        for index, step in enumerate(steps):
            if step is None:
                continue
            weight = step[0] * sets[index].compute_skew()
            if best is None or weight > best[0]:
                best = (weight, index, step)
        if best is None:
            break
        _, index, (_, expert, rank, dropped) = best
        if room[rank] <= 0:
            steps[index] = sets[index].find_step(room)
            continue
        sets[index].take_step(expert, rank, dropped)
        room[rank] -= 1
        copies += 1
        steps[index] = sets[index].find_step(room)
    after = sum(one.compute_skew() for one in sets) / len(sets)
    most = copies_a_rank - min(room)
    gain = compute_gain(before, after, shape.expert_share)
    cost_s = COPY_SLOWDOWN * most * shape.copy_s
    if gain < MIN_GAIN or gain * (SHIFT_S - most * shape.copy_s) < cost_s:
        return None
    return Plan([one.lists for one in sets], before, after, copies, most, gain)


def keep_map(current: Experts, skew: float) -> Plan:
    """Return a plan that changes nothing."""
    return Plan(
        [[list(one) for one in lists] for lists in current], skew, skew, 0, 0, 0
    )


def compute_gain(before: float, after: float, expert_share: float) -> float:
    """Return the share of the pass time that a lower skew saves."""
    own = 1.0 - expert_share
    return expert_share * (before - after) / (own + expert_share * before)


def compute_skew(demand: list[float], current: Experts, shape: Shape) -> float:
    """Return the mean over sets of the slowest rank's time over the mean."""
    total = 0.0
    for index, lists in enumerate(current):
        part = demand[index * shape.experts : (index + 1) * shape.experts]
        total += SetPlacement(part, lists, shape).compute_skew()
    return total / max(len(current), 1)
