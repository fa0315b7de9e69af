"""Compares the call scheduler with first come, first served, below and above capacity.

The real scheduler of a sidecar runs calls at a simulated target with 16 slots and
service times spread around 0.2 s. Goodput counts answers that end by their deadline.
"""

import collections
import dataclasses
import heapq
import random
import typing

from sardinesaddle import calls, callscheduler, wire
from sardinesaddle.bench import report

SLOTS: typing.Final = 16
MEAN_SERVICE_S: typing.Final = 0.2
CALL_TIMEOUT_MS: typing.Final = 1000
DURATION_S: typing.Final = 60.0
CAPACITY_PER_S: typing.Final = SLOTS / MEAN_SERVICE_S
SMALL_ACCOUNTS: typing.Final = 9


@dataclasses.dataclass(slots=True)
class Outcome:
    """Counts of calls: sent and on time by account, late and refused in total."""

    sent: collections.Counter[str]
    on_time: collections.Counter[str]
    late: int = 0
    refused: int = 0


class Simulation:
    """Runs a scheduler, or the baseline, on arrivals in model time."""

    def __init__(self, seed: int, load: float, is_baseline: bool) -> None:
        self._rng = random.Random(f"{seed} {load}")
        self._load = load
        self._is_baseline = is_baseline
        self._scheduler = callscheduler.CallScheduler(
            "t", 1, 0.0, b"x" * 16, SLOTS, 512, 600.0
        )
        self._ends: list[tuple[float, int, calls.Call]] = []
        self._deadlines: dict[int, tuple[str, float]] = {}
        self._baseline_queue: collections.deque[tuple[int, float]] = collections.deque()
        self._baseline_ends: list[tuple[float, int]] = []
        self.outcome = Outcome(collections.Counter(), collections.Counter())

    def sample_service_time(self) -> float:
        """Return a random service time at the target, in seconds."""
        return MEAN_SERVICE_S * self._rng.uniform(0.5, 1.5)

    def sample_account(self, shares: dict[str, float]) -> str:
        """Return a random account for the next call, weighted by the shares."""
        names = list(shares)
        return self._rng.choices(names, [shares[name] for name in names])[0]

    def run(self, shares: dict[str, float]) -> Outcome:
        """Simulate Poisson arrivals; ``shares`` weights the accounts among them."""
        now = 0.0
        number = 0
        next_tick = 0.0
        while now < DURATION_S:
            now += self._rng.expovariate(self._load * CAPACITY_PER_S)
            while next_tick <= now:
                self._advance(next_tick)
                next_tick += 0.05
            self._advance(now)
            number += 1
            account = self.sample_account(shares)
            self.outcome.sent[account] += 1
            self._deadlines[number] = (account, now + CALL_TIMEOUT_MS / 1000)
            self._arrive(now, number, account)
        self._advance(DURATION_S + 10)
        return self.outcome

    def _arrive(self, now: float, number: int, account: str) -> None:
        """Submit a call to the scheduler, or append it to the baseline's queue."""
        if self._is_baseline:
            self._baseline_queue.append((number, self.sample_service_time()))
            self._start_baseline(now)
            return
        submit = wire.Submit(
            number, "s", account, "POST", "/", [], b"", "", 1, 5, CALL_TIMEOUT_MS, 0,
            4096, True, number, "",
        )  # fmt: skip
        self._perform_actions(now, self._scheduler.on_submit(now, 1, submit))

    def _start_baseline(self, now: float) -> None:
        """Start the baseline's queued calls, oldest first, while slots are free."""
        while len(self._baseline_ends) < SLOTS and self._baseline_queue:
            number, service_s = self._baseline_queue.popleft()
            heapq.heappush(self._baseline_ends, (now + service_s, number))

    def _perform_actions(self, now: float, actions: list[calls.Action]) -> None:
        """Perform the scheduler's actions."""
        for action in actions:
            if isinstance(action, calls.RunCall):
                call = action.call
                end = (now + self.sample_service_time(), call.number, call)
                heapq.heappush(self._ends, end)
            elif isinstance(action, calls.Reply):
                if isinstance(action.msg, wire.Refused):
                    self.outcome.refused += 1
                elif isinstance(action.msg, wire.End):
                    self._count_end(now, action.msg.attempt)
                    credit = wire.Credit(action.msg.attempt, 0, 0)
                    self._scheduler.on_credit(1, credit)

    def _count_end(self, now: float, number: int) -> None:
        """Count an answer as on time or late."""
        account, deadline = self._deadlines.pop(number)
        if now <= deadline:
            self.outcome.on_time[account] += 1
        else:
            self.outcome.late += 1

    def _advance(self, end_at: float) -> None:
        """End the calls that are due by a time, and tick the scheduler."""
        while self._baseline_ends and self._baseline_ends[0][0] <= end_at:
            now, number = heapq.heappop(self._baseline_ends)
            self._count_end(now, number)
            self._start_baseline(now)
        while self._ends and self._ends[0][0] <= end_at:
            now, _, call = heapq.heappop(self._ends)
            self._perform_actions(now, self._scheduler.on_target_head(call, 200, []))
            self._perform_actions(now, self._scheduler.on_target_end(now, call))
        if not self._is_baseline:
            self._perform_actions(end_at, self._scheduler.tick(end_at))


def run(seed: int) -> report.Report:
    """Compare goodput at several loads, and the fairness between accounts."""
    result = report.Report("deadlines")
    equal_shares = {f"small-{n}": 1.0 for n in range(SMALL_ACCOUNTS)} | {"large": 1.0}
    goodput: dict[float, float] = {}
    for load in (0.9, 1.0, 2.0, 4.0):
        outcome = Simulation(seed, load, is_baseline=False).run(equal_shares)
        goodput[load] = outcome.on_time.total() / DURATION_S
        ideal = min(load, 1.0) * CAPACITY_PER_S
        result.add(f"goodput_share_of_ideal_{load:g}x", goodput[load] / ideal)
        baseline = Simulation(seed, load, is_baseline=True).run(equal_shares)
        share = baseline.on_time.total() / DURATION_S / ideal
        result.add(f"goodput_share_fcfs_{load:g}x", share)
    result.add_at_least("goodput_2x_to_ideal", goodput[2.0] / CAPACITY_PER_S, 0.95)
    result.add_at_least("goodput_2x_to_1x", goodput[2.0] / goodput[1.0], 0.95)
    add_fairness(result, seed)
    return result


def add_fairness(result: report.Report, seed: int) -> None:
    """Measure what small accounts keep while one sends ten times its fair share.

    A small account that sends half of its fair share must keep its calls. One that
    sends nine tenths of it in random bursts has a queue of its own now and then, which
    no fair sharing can prevent, so that figure has no bound.
    """
    fair_share = 1 / (SMALL_ACCOUNTS + 1)
    for used_share in (0.5, 0.9):
        shares = {f"small-{n}": used_share * fair_share for n in range(SMALL_ACCOUNTS)}
        shares["large"] = 10 * fair_share
        kept = measure_kept_share(seed, shares, is_baseline=False)
        name = f"share_kept_by_small_accounts_at_{used_share:g}_of_theirs"
        if used_share == 0.5:
            result.add_at_least(name, kept, 0.99)
        else:
            result.add(name, kept)
        baseline = measure_kept_share(seed, shares, is_baseline=True)
        result.add(f"{name}_fcfs", baseline)


def measure_kept_share(seed: int, shares: dict[str, float], is_baseline: bool) -> float:
    """Return the smallest share of calls answered on time of any small account."""
    load = sum(shares.values())
    outcome = Simulation(seed, load, is_baseline).run(shares)
    small = [name for name in shares if name != "large"]
    return min(outcome.on_time[name] / outcome.sent[name] for name in small)
