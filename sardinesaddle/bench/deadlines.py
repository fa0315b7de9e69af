"""One sidecar's desk at its capacity and past it, against first come first served.

The desk is the real one; its target is a fake with 16 slots and service times that
spread around 0.2 s. Goodput counts answers that end before their deadline.
"""

import collections
import dataclasses
import heapq
import random
import typing

from sardinesaddle import calls, callscheduler, wire
from sardinesaddle.bench import report

SLOTS: typing.Final = 16
MEAN_S: typing.Final = 0.2
BUDGET_MS: typing.Final = 1000
SPAN_S: typing.Final = 60.0
CAPACITY: typing.Final = SLOTS / MEAN_S
SMALL_ACCOUNTS: typing.Final = 9


@dataclasses.dataclass(slots=True)
class Outcome:
    """What came of the calls."""

    sent: collections.Counter[str]
    good: collections.Counter[str]
    late: int = 0
    refused: int = 0


class Simulation:
    """Drives a desk, or the baseline, through arrivals in model time."""

    def __init__(self, seed: int, load: float, is_baseline: bool) -> None:
        self._rng = random.Random(f"{seed} {load}")
        self._load = load
        self._is_baseline = is_baseline
        self._desk = callscheduler.CallScheduler(
            "t", 1, 0.0, b"x" * 16, SLOTS, 512, 600.0
        )
        self._ends: list[tuple[float, int, calls.Call]] = []
        self._due: dict[int, tuple[str, float]] = {}
        self._waiting: collections.deque[tuple[int, float]] = collections.deque()
        self._busy: list[tuple[float, int]] = []
        self.outcome = Outcome(collections.Counter(), collections.Counter())

    def draw_service(self) -> float:
        """Return the time that a call takes at the target."""
        return MEAN_S * self._rng.uniform(0.5, 1.5)

    def draw_account(self, shares: dict[str, float]) -> str:
        """Return the account of the next call."""
        names = list(shares)
        return self._rng.choices(names, [shares[name] for name in names])[0]

    def run(self, shares: dict[str, float]) -> Outcome:
        """Run all arrivals; ``shares`` is each account's part of them."""
        now = 0.0
        number = 0
        next_tick = 0.0
        while now < SPAN_S:
            now += self._rng.expovariate(self._load * CAPACITY)
            while next_tick <= now:
                self._advance(next_tick)
                next_tick += 0.05
            self._advance(now)
            number += 1
            account = self.draw_account(shares)
            self.outcome.sent[account] += 1
            self._due[number] = (account, now + BUDGET_MS / 1000)
            self._arrive(now, number, account)
        self._advance(SPAN_S + 10)
        return self.outcome

    def _arrive(self, now: float, number: int, account: str) -> None:
        """Let a call arrive."""
        if self._is_baseline:
            self._waiting.append((number, self.draw_service()))
            self._start_baseline(now)
            return
        submit = wire.Submit(
            number, "s", account, "POST", "/", [], b"", "", 1, 5, BUDGET_MS, 0, 4096,
            True, number, "",
        )  # fmt: skip
        self._act(now, self._desk.on_submit(now, 1, submit))

    def _start_baseline(self, now: float) -> None:
        """Start calls of the baseline in the order in which they came."""
        while len(self._busy) < SLOTS and self._waiting:
            number, service_s = self._waiting.popleft()
            heapq.heappush(self._busy, (now + service_s, number))

    def _act(self, now: float, actions: list[calls.Action]) -> None:
        """Carry out the desk's decisions."""
        for action in actions:
            if isinstance(action, calls.RunCall):
                call = action.call
                end = (now + self.draw_service(), call.number, call)
                heapq.heappush(self._ends, end)
            elif isinstance(action, calls.Reply):
                if isinstance(action.msg, wire.Refused):
                    self.outcome.refused += 1
                elif isinstance(action.msg, wire.End):
                    self._count_end(now, action.msg.attempt)
                    credit = wire.Credit(action.msg.attempt, 0, 0)
                    self._desk.on_credit(1, credit)

    def _count_end(self, now: float, number: int) -> None:
        """Count an answer as good or late."""
        account, deadline = self._due.pop(number)
        if now <= deadline:
            self.outcome.good[account] += 1
        else:
            self.outcome.late += 1

    def _advance(self, until: float) -> None:
        """Let calls end up to a time."""
        while self._busy and self._busy[0][0] <= until:
            now, number = heapq.heappop(self._busy)
            self._count_end(now, number)
            self._start_baseline(now)
        while self._ends and self._ends[0][0] <= until:
            now, _, call = heapq.heappop(self._ends)
            self._act(now, self._desk.on_target_head(call, 200, []))
            self._act(now, self._desk.on_target_end(now, call))
        if not self._is_baseline:
            self._act(until, self._desk.tick(until))


def run(seed: int) -> report.Report:
    """Run the bench."""
    result = report.Report("deadlines")
    even = {f"small-{n}": 1.0 for n in range(SMALL_ACCOUNTS)} | {"large": 1.0}
    good: dict[float, float] = {}
    for load in (0.9, 1.0, 2.0, 4.0):
        outcome = Simulation(seed, load, is_baseline=False).run(even)
        good[load] = outcome.good.total() / SPAN_S
        ideal = min(load, 1.0) * CAPACITY
        result.add(f"goodput_share_of_ideal_{load:g}x", good[load] / ideal)
        baseline = Simulation(seed, load, is_baseline=True).run(even)
        share = baseline.good.total() / SPAN_S / ideal
        result.add(f"goodput_share_fcfs_{load:g}x", share)
    result.add_at_least("goodput_2x_to_ideal", good[2.0] / CAPACITY, 0.95)
    result.add_at_least("goodput_2x_to_1x", good[2.0] / good[1.0], 0.95)
    add_fairness(result, seed)
    return result


def add_fairness(result: report.Report, seed: int) -> None:
    """Let one account send ten times its fair share; the others keep theirs.

    A small account that sends half of its fair share must keep its calls. One that
    sends nine tenths of it, in bursts as chance brings them, has a queue of its own
    now and then, which no sharing can prevent; that figure is shown without a bound.
    """
    fair = 1 / (SMALL_ACCOUNTS + 1)
    for used in (0.5, 0.9):
        shares = {f"small-{n}": used * fair for n in range(SMALL_ACCOUNTS)}
        shares["large"] = 10 * fair
        kept = measure_kept(seed, shares, is_baseline=False)
        name = f"share_kept_by_small_accounts_at_{used:g}_of_theirs"
        if used == 0.5:
            result.add_at_least(name, kept, 0.99)
        else:
            result.add(name, kept)
        baseline = measure_kept(seed, shares, is_baseline=True)
        result.add(f"{name}_fcfs", baseline)


def measure_kept(seed: int, shares: dict[str, float], is_baseline: bool) -> float:
    """Return the least share of good answers that any small account keeps."""
    load = sum(shares.values())
    outcome = Simulation(seed, load, is_baseline).run(shares)
    small = [name for name in shares if name != "large"]
    return min(outcome.good[name] / outcome.sent[name] for name in small)
