"""Compares prefix-cache hits and load balance of routing policies over 16 engines.

The popularity of prefixes follows a power law. An engine caches a bounded number of
prefixes, and a hit saves the time of the prompt. Two entries route with the real router
on their own calls in flight and on load reports that lag. Pure affinity sends each
prefix to one engine whatever its load.
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
CACHED_PREFIXES: typing.Final = 90  # per engine
CALLS_PER_S: typing.Final = 60.0
HIT_DURATION_S: typing.Final = 1.5
MISS_DURATION_S: typing.Final = 2.0
DURATION_S: typing.Final = 200.0
WARMUP_S: typing.Final = 50.0
REPORT_PERIOD_S: typing.Final = 1.0
POPULARITY_EXPONENT: typing.Final = 0.75

Policy = typing.Literal["ours", "pure_affinity", "round_robin", "least", "two_choices"]


class Simulation:
    """Engines with prefix caches, and entries that route calls to them."""

    def __init__(self, seed: int, policy: Policy) -> None:
        self._rng = random.Random(seed)
        self._policy = policy
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
        self.load_sums = [0.0] * TARGETS
        self.hits = self.calls = 0
        self._round_robin_count = 0
        weights = [1 / (n + 1) ** POPULARITY_EXPONENT for n in range(PREFIXES)]
        self._weights = weights

    def _choose_target(
        self, now: float, entry: int, prefix: int
    ) -> membership.TargetView:
        """Return the target of one call under the policy."""
        views = self._fleets[entry].list_service_targets("s")
        if self._policy == "round_robin":
            self._round_robin_count += 1
            return views[self._round_robin_count % TARGETS]
        if self._policy == "least":
            return min(views, key=lambda v: (v.compute_load(now), v.name))
        if self._policy == "pure_affinity":
            return max(views, key=lambda v: router.score_prefix(prefix, v))
        samples = (self._rng.random(), self._rng.random(), 0.0)
        affinity_prefix = prefix if self._policy == "ours" else 0
        query = router.TargetQuery("s", prefix=affinity_prefix, random_samples=samples)
        target = self._routers[entry].choose_target(now, query)
        assert target is not None
        return target

    def run(self) -> None:
        """Simulate Poisson arrivals; only calls after the warm-up are counted."""
        now = next_report = 0.0
        ends: list[tuple[float, int, int, membership.TargetView]] = []
        prefixes = range(1, PREFIXES + 1)
        number = 0
        while now < DURATION_S:
            now += self._rng.expovariate(CALLS_PER_S)
            while next_report <= now:
                self._deliver_reports(next_report)
                next_report += REPORT_PERIOD_S
            while ends and ends[0][0] <= now:
                _, _, index, view = heapq.heappop(ends)
                self.loads[index] -= 1
                view.in_flight -= 1
            number += 1
            prefix = self._rng.choices(prefixes, self._weights)[0] * 7919
            view = self._choose_target(now, number % ENTRIES, prefix)
            index = int(view.name[1:])
            view.in_flight += 1
            self.loads[index] += 1
            is_hit = self._use_cache(index, prefix)
            if now >= WARMUP_S:
                self.calls += 1
                self.hits += is_hit
            heapq.heappush(
                ends,
                (
                    now + (HIT_DURATION_S if is_hit else MISS_DURATION_S),
                    number,
                    index,
                    view,
                ),
            )

    def _use_cache(self, index: int, prefix: int) -> bool:
        """Access a prefix in an engine's LRU cache; return whether it was a hit."""
        cache = self._caches[index]
        is_hit = prefix in cache
        cache[prefix] = True
        cache.move_to_end(prefix)
        if len(cache) > CACHED_PREFIXES:
            cache.popitem(last=False)
        return is_hit

    def _deliver_reports(self, now: float) -> None:
        """Deliver every engine's load to all entries, and add it to the load sums."""
        for index, load in enumerate(self.loads):
            if now >= WARMUP_S:
                self.load_sums[index] += load
            for fleet in self._fleets:
                fleet.targets[f"t{index}"].update_from_heartbeat(
                    now, 0, load, 0.0, False
                )


def run(seed: int) -> report.Report:
    """Run all policies; the bounds are on the product's own, 'ours'."""
    result = report.Report("routing")
    hit_rates: dict[str, float] = {}
    load_imbalances: dict[str, float] = {}
    policies: tuple[Policy, ...] = (
        "ours",
        "pure_affinity",
        "round_robin",
        "least",
        "two_choices",
    )
    for policy in policies:
        simulation = Simulation(seed, policy)
        simulation.run()
        hit_rates[policy] = simulation.hits / simulation.calls
        loads = simulation.load_sums
        load_imbalances[policy] = max(loads) / statistics.fmean(loads)
        result.add(f"prefix_hits_{policy}", hit_rates[policy])
        result.add(f"largest_load_over_mean_{policy}", load_imbalances[policy])
    ratio = hit_rates["ours"] / hit_rates["pure_affinity"]
    result.add_at_least("hits_to_pure_affinity", ratio, 0.90)
    result.add_at_most("largest_load_over_mean", load_imbalances["ours"], 1.25)
    return result
