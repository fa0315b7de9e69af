"""Compares leases of an account's rate limit with equal static shares.

Entries and issuers exchange messages with a delay of 1.5 ms. In each scenario the
number of admitted requests in every time window is compared with the limit.
"""

import bisect
import heapq
import random
import typing

from sardinesaddle import leases, limits
from sardinesaddle.bench import report

REQUESTS_PER_S: typing.Final = 200.0
BURST_REQUESTS: typing.Final = 100.0
ENTRIES: typing.Final = 4
ISSUERS: typing.Final = 8
DURATION_S: typing.Final = 30.0
TICK_S: typing.Final = 0.005
MESSAGE_DELAY_S: typing.Final = 0.0015
WINDOWS_S: typing.Final = (0.1, 1.0, 5.0)


class Simulation:
    """Entries with lease holders, and the issuers, in model time.

    Entries in ``dead`` and ``paused`` send nothing; requests over the pairs of entry
    and issuer in ``partitioned`` are lost.
    """

    def __init__(self) -> None:
        names = [f"issuer-{index}" for index in range(ISSUERS)]
        lifetime_s = leases.compute_lease_lifetime(REQUESTS_PER_S, BURST_REQUESTS)
        self.holders = [leases.LeaseHolder(names, lifetime_s) for _ in range(ENTRIES)]
        self._issuers = {name: leases.LeaseIssuer(0.0) for name in names}
        self._messages: list[tuple[float, int, int, str, int, float]] = []
        self._message_count = 0
        self.dead: set[int] = set()
        self.paused: set[int] = set()
        self.partitioned: set[tuple[int, str]] = set()

    def restart_issuer(self, now: float, name: str) -> None:
        """Replace an issuer by a new one without state."""
        self._issuers[name] = leases.LeaseIssuer(now)

    def advance(self, now: float) -> None:
        """Send the lease requests that are due and deliver the grants that arrive."""
        for index, holder in enumerate(self.holders):
            if index in self.dead or index in self.paused:
                continue
            for request in holder.make_requests(now):
                if (index, request.issuer) in self.partitioned:
                    continue
                granted = self._issuers[request.issuer].grant(
                    now + MESSAGE_DELAY_S,
                    "a",
                    "s",
                    request.requested,
                    REQUESTS_PER_S,
                    BURST_REQUESTS,
                    ISSUERS,
                )
                self._message_count += 1
                arrives_at = now + 2 * MESSAGE_DELAY_S
                message = (
                    arrives_at,
                    self._message_count,
                    index,
                    request.issuer,
                    granted,
                    now,
                )
                heapq.heappush(self._messages, message)
        while self._messages and self._messages[0][0] <= now:
            _, _, index, _, granted, asked_at = heapq.heappop(self._messages)
            if index not in self.dead:
                self.holders[index].add_lease(asked_at, granted)


def measure_excess(admitted: list[float]) -> float:
    """Return the largest excess over the rate in any window, in bursts."""
    max_excess = 0.0
    for window_s in WINDOWS_S:
        for index, window_start in enumerate(admitted):
            end = bisect.bisect_left(admitted, window_start + window_s)
            max_excess = max(
                max_excess, (end - index - REQUESTS_PER_S * window_s) / BURST_REQUESTS
            )
    return max_excess


def simulate_leases(seed: int, demand: list[float], scenario: str) -> list[float]:
    """Run a scenario with leases; return the times of admitted requests.

    ``demand`` is the requests per second at each entry.
    """
    rng = random.Random(f"{seed} {scenario}")
    simulation = Simulation()
    admitted: list[float] = []
    for tick in range(int(DURATION_S / TICK_S)):
        now = tick * TICK_S
        if scenario == "entry_dies" and tick == 2000:
            simulation.dead.add(0)
        if scenario == "entry_paused":
            is_paused = 2000 <= tick < 3000
            (simulation.paused.add if is_paused else simulation.paused.discard)(0)
        if scenario == "cut_off" and tick == 2000:
            simulation.partitioned = {(0, f"issuer-{i}") for i in range(ISSUERS // 2)}
        if scenario == "issuer_restarts" and tick % 500 == 250:
            simulation.restart_issuer(now, f"issuer-{tick // 500 % ISSUERS}")
        simulation.advance(now)
        for index, rate in enumerate(demand):
            if index in simulation.dead or index in simulation.paused:
                continue
            for _ in range(sample_arrivals(rng, rate * TICK_S)):
                if simulation.holders[index].take(now):
                    admitted.append(now)
    return admitted


def sample_arrivals(rng: random.Random, mean: float) -> int:
    """Return a random count with this mean, one of the two nearest integers."""
    count = int(mean)
    return count + (1 if rng.random() < mean - count else 0)


def simulate_static_shares(seed: int, demand: list[float]) -> list[float]:
    """Run the baseline, where each entry has an equal, fixed share of the limit."""
    rng = random.Random(f"{seed} static")
    share = 1 / len(demand)
    buckets = [
        limits.TokenBucket(0.0, REQUESTS_PER_S * share, BURST_REQUESTS * share)
        for _ in demand
    ]
    admitted = []
    for tick in range(int(DURATION_S / TICK_S)):
        now = tick * TICK_S
        for bucket, rate in zip(buckets, demand, strict=True):
            for _ in range(sample_arrivals(rng, rate * TICK_S)):
                if bucket.take(now):
                    admitted.append(now)
    return admitted


def run(seed: int) -> report.Report:
    """Measure the usable share of the limit, and the excess over it in failures."""
    result = report.Report("limits")
    skewed_demand = [4 * REQUESTS_PER_S, 0.0, 0.0, 0.0]
    even_demand = [REQUESTS_PER_S] * ENTRIES
    usable = len(simulate_leases(seed, skewed_demand, "one_entry")) / (
        REQUESTS_PER_S * DURATION_S
    )
    result.add_at_least("share_of_limit_usable_at_one_entry", usable, 0.95)
    static = len(simulate_static_shares(seed, skewed_demand)) / (
        REQUESTS_PER_S * DURATION_S
    )
    result.add("share_of_limit_usable_with_static_shares", static)
    for name in ("calm", "entry_dies", "entry_paused", "cut_off", "issuer_restarts"):
        admitted = simulate_leases(seed, even_demand, name)
        result.add(f"share_used_{name}", len(admitted) / (REQUESTS_PER_S * DURATION_S))
        result.add_at_most(f"bursts_above_limit_{name}", measure_excess(admitted), 1.0)
    return result
