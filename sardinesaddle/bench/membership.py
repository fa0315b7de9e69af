"""Measures load balance at full size with subsets, lagging reports and lost targets.

The design size is 370 entries and 3,100 targets of 27 services. One service with 115
targets is simulated, to which all entries send. Each entry connects to a small subset
of the targets and routes with the real router on its own calls in flight and on the
load reports that it receives. The simulation uses model time. The bytes per second of
control traffic are computed from the numbers of links.
"""

import heapq
import random
import statistics
import typing

from sardinesaddle import link, membership, router, subset
from sardinesaddle.bench import report

ENTRIES: typing.Final = 370
TARGETS: typing.Final = 115
SERVICES: typing.Final = 27
SUBSET_SIZE: typing.Final = 5  # targets of one service that an entry connects to
CALLS_PER_S: typing.Final = 6700 / SERVICES  # to the simulated service
MEAN_CALL_S: typing.Final = 9.3
DURATION_S: typing.Final = 90.0
WARMUP_S: typing.Final = 40.0
REPORT_PERIOD_S: typing.Final = link.LOAD_REPORT_PERIOD_S
HEARTBEAT_BYTES: typing.Final = 25
EDITS_PER_DAY: typing.Final = 12_000
# Compressed shard and manifest for an edit of one row, as bench capacity measures.
EDIT_BYTES: typing.Final = 906 + 3539


class Simulation:
    """Entries with their views of targets, and the targets' true loads."""

    def __init__(self, seed: int, policy: str) -> None:
        self._rng = random.Random(f"{seed} {policy}")
        self._policy = policy
        names = [f"target-{n}" for n in range(TARGETS)]
        self.loads = dict.fromkeys(names, 0)
        self.alive = set(names)
        self.links: dict[str, list[membership.TargetView]] = {n: [] for n in names}
        self._routers: list[router.Router] = []
        self._views: list[list[membership.TargetView]] = []
        for index in range(ENTRIES):
            self._add_entry(f"entry-{index}", names)
        self._ends: list[tuple[float, int, str, membership.TargetView]] = []
        self._round_robin_count = 0
        self.load_sums = dict.fromkeys(names, 0.0)
        self.lost_sends = 0

    def _add_entry(self, entry: str, names: list[str]) -> None:
        """Add an entry that is connected to its subset of the targets."""
        fleet = membership.Fleet()
        views = []
        for name in subset.choose_subset(entry, names, SUBSET_SIZE):
            view = membership.TargetView(name, "s", "p", 1.0)
            view.mark_connected(-1000.0, 1)
            fleet.add(view)
            self.links[name].append(view)
            views.append(view)
        self._routers.append(router.Router(fleet, "p"))
        self._views.append(views)

    def route_call(self, now: float, entry: int) -> membership.TargetView | None:
        """Return the target of one call under the policy, or None."""
        views = [view for view in self._views[entry] if view.is_connected]
        if self._policy == "round_robin":
            self._round_robin_count += 1
            return (
                views[self._round_robin_count // ENTRIES % len(views)]
                if views
                else None
            )
        if self._policy == "random":
            return self._rng.choice(views) if views else None
        samples = (self._rng.random(), self._rng.random(), 0.0)
        return self._routers[entry].choose_target(
            now, router.TargetQuery("s", random_samples=samples)
        )

    def run(self, failure_at: float) -> None:
        """Simulate Poisson arrivals; a tenth of the targets die at ``failure_at``."""
        now = 0.0
        next_report = 0.0
        has_failed = False
        number = 0
        while now < DURATION_S:
            now += self._rng.expovariate(CALLS_PER_S)
            while next_report <= now:
                self._deliver_reports(next_report)
                next_report += REPORT_PERIOD_S
            if now >= failure_at and not has_failed:
                has_failed = True
                self._kill_targets(now)
            self._end_calls(now)
            number += 1
            view = self.route_call(now, self._rng.randrange(ENTRIES))
            if view is None or view.name not in self.alive:
                self.lost_sends += 1
                continue
            view.in_flight += 1
            self.loads[view.name] += 1
            end = now + self._rng.expovariate(1 / MEAN_CALL_S)
            heapq.heappush(self._ends, (end, number, view.name, view))

    def _deliver_reports(self, now: float) -> None:
        """Deliver every live target's heartbeat to its entries, and sum up its load."""
        for name, views in self.links.items():
            if name not in self.alive:
                continue
            if now >= WARMUP_S:
                self.load_sums[name] += self.loads[name]
            for view in views:
                view.update_from_heartbeat(now, 0, self.loads[name], 0.0, False)

    def _kill_targets(self, now: float) -> None:
        """Kill every tenth target and disconnect its entries at once."""
        for name in list(self.loads)[::10]:
            self.alive.discard(name)
            for view in self.links[name]:
                view.mark_disconnected()

    def _end_calls(self, now: float) -> None:
        """End the calls that are due."""
        while self._ends and self._ends[0][0] <= now:
            _, _, name, view = heapq.heappop(self._ends)
            view.in_flight -= 1
            self.loads[name] -= 1

    def measure_imbalance(self) -> float:
        """Return the largest load of a live target, summed over time, over the mean."""
        loads = [self.load_sums[name] for name in sorted(self.alive)]
        return max(loads) / statistics.fmean(loads)


def run(seed: int) -> report.Report:
    """Compare load balance between policies, and compute the control traffic."""
    result = report.Report("membership")
    ours = Simulation(seed, "ours")
    links = [len(views) for views in ours.links.values()]
    result.add("links_per_sidecar_mean", statistics.fmean(links))
    result.add("links_per_sidecar_max", max(links))
    result.add("links_per_entry", SUBSET_SIZE * SERVICES)
    ours.run(failure_at=DURATION_S + 1)
    result.add_at_most("largest_load_over_mean", ours.measure_imbalance(), 1.15)
    after_failure = Simulation(seed, "ours")
    after_failure.run(failure_at=WARMUP_S - 10)
    result.add_at_most(
        "largest_load_over_mean_after_a_tenth_died",
        after_failure.measure_imbalance(),
        1.15,
    )
    for policy in ("round_robin", "random"):
        baseline = Simulation(seed, policy)
        baseline.run(failure_at=DURATION_S + 1)
        result.add(f"largest_load_over_mean_{policy}", baseline.measure_imbalance())
    link_heartbeat_bytes_per_s = 2 * HEARTBEAT_BYTES / link.HEARTBEAT_IDLE_PERIOD_S
    edits = EDITS_PER_DAY / 86_400
    for name, count in (("entry", SUBSET_SIZE * SERVICES), ("sidecar", max(links))):
        result.add(f"heartbeat_bytes_per_s_{name}", count * link_heartbeat_bytes_per_s)
        # An edit is announced about once over each link, in one direction.
        config_bytes_per_s = edits * (EDIT_BYTES + count * HEARTBEAT_BYTES)
        result.add(f"config_bytes_per_s_{name}", config_bytes_per_s)
        total = count * link_heartbeat_bytes_per_s + config_bytes_per_s
        result.add_at_most(f"control_bytes_per_s_idle_{name}", total, 2000.0)
    reports = SUBSET_SIZE * SERVICES * HEARTBEAT_BYTES / link.LOAD_REPORT_PERIOD_S
    result.add("load_report_bytes_per_s_entry_when_busy", reports)
    return result
