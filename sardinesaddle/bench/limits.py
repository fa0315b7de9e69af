"""Leases of an account's rate, against equal static shares.

Entries and issuers exchange messages with a delay of a millisecond and a half. In
each scenario the number of admitted requests in every window is held against the
limit.
"""

import bisect
import heapq
import random
import typing

from sardinesaddle import leases, limits
from sardinesaddle.bench import report

RATE: typing.Final = 200.0
BURST: typing.Final = 100.0
ENTRIES: typing.Final = 4
ISSUERS: typing.Final = 8
SPAN_S: typing.Final = 30.0
TICK_S: typing.Final = 0.005
DELAY_S: typing.Final = 0.0015
WINDOWS_S: typing.Final = (0.1, 1.0, 5.0)


class Fleet:
    """Entries with leases, and their issuers, in model time."""

    def __init__(self) -> None:
        names = [f"issuer-{index}" for index in range(ISSUERS)]
        lifetime_s = leases.compute_lease_lifetime(RATE, BURST)
        self.holders = [leases.LeaseHolder(names, lifetime_s) for _ in range(ENTRIES)]
        self._issuers = {name: leases.LeaseIssuer(0.0) for name in names}
        self._messages: list[tuple[float, int, int, str, int, float]] = []
        self._count = 0
        self.dead: set[int] = set()
        self.paused: set[int] = set()
        self.cut: set[tuple[int, str]] = set()

    def restart_issuer(self, now: float, name: str) -> None:
        """Let an issuer forget everything."""
        self._issuers[name] = leases.LeaseIssuer(now)

    def run(self, now: float) -> None:
        """Send what is due and let messages arrive."""
        for index, holder in enumerate(self.holders):
            if index in self.dead or index in self.paused:
                continue
            for ask in holder.make_requests(now):
                if (index, ask.issuer) in self.cut:
                    continue
                granted = self._issuers[ask.issuer].grant(
                    now + DELAY_S, "a", "s", ask.requested, RATE, BURST, ISSUERS
                )
                self._count += 1
                due = now + 2 * DELAY_S
                message = (due, self._count, index, ask.issuer, granted, now)
                heapq.heappush(self._messages, message)
        while self._messages and self._messages[0][0] <= now:
            _, _, index, _, granted, asked_at = heapq.heappop(self._messages)
            if index not in self.dead:
                self.holders[index].add_lease(asked_at, granted)


def measure_excess(admitted: list[float]) -> float:
    """Return the most by which any window is above the rate, in bursts."""
    worst = 0.0
    for window_s in WINDOWS_S:
        for index, at in enumerate(admitted):
            end = bisect.bisect_left(admitted, at + window_s)
            worst = max(worst, (end - index - RATE * window_s) / BURST)
    return worst


def play(seed: int, demand: list[float], scenario: str) -> list[float]:
    """Run a scenario; return when requests were admitted."""
    rng = random.Random(f"{seed} {scenario}")
    fleet = Fleet()
    admitted: list[float] = []
    for tick in range(int(SPAN_S / TICK_S)):
        now = tick * TICK_S
        if scenario == "entry_dies" and tick == 2000:
            fleet.dead.add(0)
        if scenario == "entry_paused":
            asleep = 2000 <= tick < 3000
            (fleet.paused.add if asleep else fleet.paused.discard)(0)
        if scenario == "cut_off" and tick == 2000:
            fleet.cut = {(0, f"issuer-{i}") for i in range(ISSUERS // 2)}
        if scenario == "issuer_restarts" and tick % 500 == 250:
            fleet.restart_issuer(now, f"issuer-{tick // 500 % ISSUERS}")
        fleet.run(now)
        for index, rate in enumerate(demand):
            if index in fleet.dead or index in fleet.paused:
                continue
            for _ in range(draw_count(rng, rate * TICK_S)):
                if fleet.holders[index].take(now):
                    admitted.append(now)
    return admitted


def draw_count(rng: random.Random, mean: float) -> int:
    """Return a count of arrivals with this mean."""
    count = int(mean)
    return count + (1 if rng.random() < mean - count else 0)


def play_static(seed: int, demand: list[float]) -> list[float]:
    """Run the baseline: every entry has an equal, fixed share."""
    rng = random.Random(f"{seed} static")
    share = 1 / len(demand)
    buckets = [limits.TokenBucket(0.0, RATE * share, BURST * share) for _ in demand]
    admitted = []
    for tick in range(int(SPAN_S / TICK_S)):
        now = tick * TICK_S
        for bucket, rate in zip(buckets, demand, strict=True):
            for _ in range(draw_count(rng, rate * TICK_S)):
                if bucket.take(now):
                    admitted.append(now)
    return admitted


def run(seed: int) -> report.Report:
    """Run the bench."""
    result = report.Report("limits")
    one_sided = [4 * RATE, 0.0, 0.0, 0.0]
    even = [RATE] * ENTRIES
    usable = len(play(seed, one_sided, "one_entry")) / (RATE * SPAN_S)
    result.add_at_least("share_of_limit_usable_at_one_entry", usable, 0.95)
    static = len(play_static(seed, one_sided)) / (RATE * SPAN_S)
    result.add("share_of_limit_usable_with_static_shares", static)
    for name in ("calm", "entry_dies", "entry_paused", "cut_off", "issuer_restarts"):
        admitted = play(seed, even, name)
        result.add(f"share_used_{name}", len(admitted) / (RATE * SPAN_S))
        result.add_at_most(f"bursts_above_limit_{name}", measure_excess(admitted), 1.0)
    return result
