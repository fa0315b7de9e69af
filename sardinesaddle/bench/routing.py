"""Prefix hits and load over 16 engines, against other ways to route.

Conversations share prefixes with popularity as a power law; an engine keeps a bounded
number of prefixes, and a hit saves the prompt's time. Two entries route with the real
router on their own counts and on reports that lag. Pure affinity sends each prefix to
its own engine whatever the load.
"""

import collections
import heapq
import random
import statistics
import typing

from sardinesaddle import membership, router
from sardinesaddle.bench import report

TARGETS: typing.Final = 16
ENTRIES: typing.Final = 2
PREFIXES: typing.Final = 1200
CACHE: typing.Final = 90
RATE: typing.Final = 60.0
HIT_S: typing.Final = 1.5
MISS_S: typing.Final = 2.0
SPAN_S: typing.Final = 200.0
WARM_S: typing.Final = 50.0
REPORT_S: typing.Final = 1.0
SKEW: typing.Final = 0.75

Ways = typing.Literal["ours", "pure_affinity", "round_robin", "least", "two_choices"]


class Simulation:
    """Engines with caches, and entries that route to them."""

    def __init__(self, seed: int, way: Ways) -> None:
        self._rng = random.Random(seed)
        self._way = way
        self._fleets = [membership.Fleet() for _ in range(ENTRIES)]
        for fleet in self._fleets:
            for index in range(TARGETS):
                view = membership.TargetView(f"t{index}", "s", "p", 1.0)
                view.mark_connected(-1000.0, 1)
                fleet.add(view)
        self._routers = [router.Router(fleet, "p") for fleet in self._fleets]
        self._caches: list[collections.OrderedDict[int, bool]] = [
            collections.OrderedDict() for _ in range(TARGETS)
        ]
        self.loads = [0] * TARGETS
        self.integral = [0.0] * TARGETS
        self.hits = self.calls = 0
        self._turn = 0
        weights = [1 / (n + 1) ** SKEW for n in range(PREFIXES)]
        self._weights = weights

    def _choose(self, now: float, entry: int, prefix: int) -> membership.TargetView:
        """Route one call."""
        views = self._fleets[entry].list_service_targets("s")
        if self._way == "round_robin":
            self._turn += 1
            return views[self._turn % TARGETS]
        if self._way == "least":
            return min(views, key=lambda v: (v.compute_load(now), v.name))
        if self._way == "pure_affinity":
            return max(views, key=lambda v: router.score_prefix(prefix, v))
        draws = (self._rng.random(), self._rng.random(), 0.0)
        affine = prefix if self._way == "ours" else 0
        wish = router.TargetQuery("s", prefix=affine, random_samples=draws)
        chosen = self._routers[entry].choose_target(now, wish)
        assert chosen is not None
        return chosen

    def run(self) -> None:
        """Run all arrivals."""
        now = next_report = 0.0
        ends: list[tuple[float, int, int, membership.TargetView]] = []
        prefixes = range(1, PREFIXES + 1)
        number = 0
        while now < SPAN_S:
            now += self._rng.expovariate(RATE)
            while next_report <= now:
                self._report(next_report)
                next_report += REPORT_S
            while ends and ends[0][0] <= now:
                _, _, index, view = heapq.heappop(ends)
                self.loads[index] -= 1
                view.in_flight -= 1
            number += 1
            prefix = self._rng.choices(prefixes, self._weights)[0] * 7919
            view = self._choose(now, number % ENTRIES, prefix)
            index = int(view.name[1:])
            view.in_flight += 1
            self.loads[index] += 1
            is_hit = self._touch(index, prefix)
            if now >= WARM_S:
                self.calls += 1
                self.hits += is_hit
            heapq.heappush(
                ends, (now + (HIT_S if is_hit else MISS_S), number, index, view)
            )

    def _touch(self, index: int, prefix: int) -> bool:
        """Use an engine's cache; return whether it held the prefix."""
        cache = self._caches[index]
        is_hit = prefix in cache
        cache[prefix] = True
        cache.move_to_end(prefix)
        if len(cache) > CACHE:
            cache.popitem(last=False)
        return is_hit

    def _report(self, now: float) -> None:
        """Let load reports arrive at the entries."""
        for index, load in enumerate(self.loads):
            if now >= WARM_S:
                self.integral[index] += load
            for fleet in self._fleets:
                fleet.targets[f"t{index}"].update_from_heartbeat(
                    now, 0, load, 0.0, False
                )


def run(seed: int) -> report.Report:
    """Run the bench."""
    result = report.Report("routing")
    rates: dict[str, float] = {}
    spreads: dict[str, float] = {}
    ways: tuple[Ways, ...] = (
        "ours",
        "pure_affinity",
        "round_robin",
        "least",
        "two_choices",
    )
    for way in ways:
        simulation = Simulation(seed, way)
        simulation.run()
        rates[way] = simulation.hits / simulation.calls
        loads = simulation.integral
        spreads[way] = max(loads) / statistics.fmean(loads)
        result.add(f"prefix_hits_{way}", rates[way])
        result.add(f"largest_load_over_mean_{way}", spreads[way])
    ratio = rates["ours"] / rates["pure_affinity"]
    result.add_at_least("hits_to_pure_affinity", ratio, 0.90)
    result.add_at_most("largest_load_over_mean", spreads["ours"], 1.25)
    return result
