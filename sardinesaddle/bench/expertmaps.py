"""Passes of lock-step groups in model time, with maps that follow shifting demand.

The load: every rank runs the same number of requests all the time; half of what is
liked changes every 4 s. A pass takes the slowest rank's own part and, set by set, the
part of the most loaded rank; copies make passes 15 in 100 longer. Policies: the map
that engines begin with, ours, and a greedy one that balances at each interval
whatever the copies cost. The lower bound is a pass with even loads.
"""

import dataclasses
import typing

from sardinesaddle.bench import report
from sardinesaddle.direct import (
    catalog,
    expertdemand,
    expertplan,
    groupleader,
    mapswitch,
)
from sardinesaddle.standins import rankgroup

SPAN_S: typing.Final = 30.0
SHIFT_PERIOD_S: typing.Final = 4.0
SHIFT_SHARE: typing.Final = 0.5
RUNNING: typing.Final = 4
PAUSE_S: typing.Final = 0.12  # between events of a stream, from the users' sheets
READ_PERIOD_S: typing.Final = 0.1
GREEDY_PERIOD_S: typing.Final = 0.5
GREEDY_COPIES: typing.Final = 6
LATE_SHARE: typing.Final = 0.05  # 95 passes in 100 in time, the users' target


@dataclasses.dataclass(slots=True)
class Played:
    """What a policy came to."""

    pass_times: list[float] = dataclasses.field(default_factory=list)
    copies: int = 0

    @property
    def mean_ms(self) -> float:
        """Mean time of a pass."""
        return 1000.0 * sum(self.pass_times) / len(self.pass_times)

    @property
    def late_share(self) -> float:
        """Share of passes that are longer than the pause."""
        return sum(one > PAUSE_S for one in self.pass_times) / len(self.pass_times)


class Group:
    """A group in model time."""

    def __init__(self, model: catalog.EngineModel, size: int, seed: int) -> None:
        self.ranks = rankgroup.RankGroup(size, seed, model)
        self.ranks.running = RUNNING
        self.estimate = expertdemand.ExpertDemand()
        self.shape = expertplan.GroupShape(
            (1.0,) * size,
            model.experts_per_set,
            model.max_experts_per_rank,
            model.max_new_per_copy,
            model.expert_share,
            model.copy_s_per_expert,
        )
        self.counts = [0] * (model.layer_sets * model.experts_per_set)
        self.next_experts: expertplan.ExpertMap | None = None
        self.ready_at = 0.0
        self.copying_until = 0.0

    def list_experts(self) -> expertplan.ExpertMap:
        """Return the map in force."""
        sets = range(self.ranks.model.layer_sets)
        return [[list(rank.experts[s]) for rank in self.ranks.ranks] for s in sets]

    def use_experts(self, experts: expertplan.ExpertMap) -> None:
        """Put a map in force."""
        for index, rank in enumerate(self.ranks.ranks):
            rank.experts = [list(one[index]) for one in experts]

    def count_pass(self) -> None:
        """Count what the requests of one pass chose."""
        rng = self.ranks.rng
        experts = self.ranks.model.experts_per_set
        for index, wanted in enumerate(self.ranks.demand):
            for expert, part in enumerate(wanted):
                mean = part * rankgroup.CHOICES_A_PASS
                chosen = max(round(rng.gauss(mean, mean**0.5)), 0)
                self.counts[index * experts + expert] += chosen

    def start_copies(
        self, now: float, experts: expertplan.ExpertMap, most: int
    ) -> None:
        """Begin to copy; the switch takes the usual passes after it."""
        self.next_experts = experts
        self.copying_until = now + most * self.shape.copy_s
        self.ready_at = self.copying_until + mapswitch.HOLD_LEAD_PASSES * 0.07


def plan_ours(group: Group) -> tuple[expertplan.ExpertMap, int, int] | None:
    """Return what the leader of a group would do: map, copies, most on a rank."""
    plan = expertplan.plan_map(
        group.estimate.estimate(),
        group.list_experts(),
        group.shape,
        groupleader.MAX_COPIES_PER_RANK,
    )
    if plan is None:
        return None
    return plan.experts, plan.copies, plan.max_copies_on_a_rank


def plan_greedy(group: Group) -> tuple[expertplan.ExpertMap, int, int] | None:
    """Return the map that is most even, within a bound of copies a rank."""
    room = [GREEDY_COPIES] * len(group.shape.paces)
    experts = group.shape.experts_per_set
    placed = [
        expertplan.LayerSetPlacement(
            group.estimate.fast_counts[index * experts : (index + 1) * experts],
            lists,
            group.shape,
        )
        for index, lists in enumerate(group.list_experts())
    ]
    copies = 0
    for one in placed:
        while (step := one.find_best_copy(room)) is not None:
            one.apply_copy(*step[1:])
            room[step[2]] -= 1
            copies += 1
    if not copies:
        return None
    return [one.experts_by_rank for one in placed], copies, GREEDY_COPIES - min(room)


Policy = typing.Callable[[Group], tuple[expertplan.ExpertMap, int, int] | None]


def play(
    model: catalog.EngineModel,
    size: int,
    seed: int,
    policy: Policy | None,
    period_s: float,
) -> Played:
    """Play a policy over the span."""
    group = Group(model, size, seed)
    played = Played()
    now = 0.0
    shift_at, read_at, plan_at = SHIFT_PERIOD_S, 0.0, period_s
    while now < SPAN_S:
        if now >= shift_at:
            group.ranks.shift(SHIFT_SHARE)
            shift_at += SHIFT_PERIOD_S
        if now >= read_at:
            group.estimate.record_counts(now, 1, list(group.counts))
            read_at = now + READ_PERIOD_S
        if group.next_experts is not None and now >= group.ready_at:
            group.use_experts(group.next_experts)
            group.next_experts = None
        if policy is not None and group.next_experts is None and now >= plan_at:
            plan_at = now + period_s
            planned = policy(group)
            if planned is not None:
                experts, copies, most = planned
                played.copies += copies
                group.start_copies(now, experts, most)
        lasts_s = group.ranks.compute_pass_s()
        if now < group.copying_until:
            lasts_s *= 1.0 + expertplan.COPY_SLOWDOWN
        group.count_pass()
        played.pass_times.append(lasts_s)
        now += lasts_s
    return played


def make_model(sets: int, experts: int, places: int) -> catalog.EngineModel:
    """Return the users' engines with other experts."""
    return dataclasses.replace(
        rankgroup.MODEL,
        layer_sets=sets,
        experts_per_set=experts,
        max_experts_per_rank=places,
        max_new_per_copy=4,
    )


def run(seed: int) -> report.Report:
    """Run the bench."""
    result = report.Report("expertmaps")
    for name, size, model in (
        ("8x6x64x11", 8, make_model(6, 64, 11)),
        ("32x12x128x5", 32, make_model(12, 128, 5)),
    ):
        base = model.steps_per_pass * (model.step_s + model.per_request_s * RUNNING)
        result.add(f"{name}_lower_bound_ms", 1000.0 * base)
        ours = play(model, size, seed, plan_ours, READ_PERIOD_S)
        greedy = play(model, size, seed, plan_greedy, GREEDY_PERIOD_S)
        static = play(model, size, seed, None, READ_PERIOD_S)
        for kind, played in (("ours", ours), ("greedy", greedy), ("static", static)):
            result.add(f"{name}_{kind}_pass_ms", played.mean_ms)
            result.add(f"{name}_{kind}_late_share", played.late_share)
            result.add(f"{name}_{kind}_copies", played.copies)
        result.add_at_most(f"{name}_ours_late_share", ours.late_share, LATE_SHARE)
        result.add_at_most(
            f"{name}_ours_to_static_pass", ours.mean_ms / static.mean_ms, 1.0
        )
        result.add_at_most(
            f"{name}_ours_to_greedy_copies", ours.copies / max(greedy.copies, 1), 1.0
        )
    return result
