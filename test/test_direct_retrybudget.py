"""Tests that the retries of all entries together stay within the operators' limit."""

import typing

import pytest

from sardinesaddle.direct import retrybudget

RATIO: typing.Final = 0.2
ALLOWANCE: typing.Final = 90.0
WINDOW_S: typing.Final = 10.0
STEP_S: typing.Final = 0.1
ENTRY_COUNT: typing.Final = 4
DISCOVERY_S: typing.Final = 0.5  # from an entry's start until it knows the others


class Entry:
    """An entry with one request in each step, which fails and is always retried."""

    def __init__(self) -> None:
        self.start(-100.0, True)

    def start(self, now: float, is_first_start: bool = False) -> None:
        """Start the process, with an empty memory."""
        self._started_at = now
        self._budget = retrybudget.RetryBudget(
            RATIO, ALLOWANCE, WINDOW_S, now, is_first_start
        )

    def run_step(self, now: float, reachable_count: int) -> int:
        """Serve one request; return its number of retries."""
        known_count = reachable_count
        if now - self._started_at < DISCOVERY_S:
            known_count = 1
        self._budget.on_request(now)
        self._budget.on_entry_count(now, known_count)
        retries = 0
        while retries < 20 and self._budget.try_spend(now):
            retries += 1
        return retries


def find_excess(
    restarts: dict[int, typing.Collection[int]], partition: tuple[int, int]
) -> float:
    """Return by how much the retries in the worst window exceed the limit.

    ``restarts`` lists the entries that restart in a step. Between the steps of
    ``partition`` each entry reaches no other.
    """
    entries = [Entry() for _ in range(ENTRY_COUNT)]
    retries: list[int] = []
    window_steps = round(WINDOW_S / STEP_S)
    excess = float("-inf")
    for step in range(600):
        now = step * STEP_S
        for index in restarts.get(step, ()):
            entries[index].start(now)
        is_partitioned = partition[0] <= step < partition[1]
        count = 1 if is_partitioned else ENTRY_COUNT
        retries.append(sum(entry.run_step(now, count) for entry in entries))
        requests = min(step + 1, window_steps) * ENTRY_COUNT
        limit = RATIO * requests + ALLOWANCE
        excess = max(excess, sum(retries[-window_steps:]) - limit)
    return excess


@pytest.mark.parametrize(
    ("restarts", "partition"),
    [
        ({}, (0, 0)),
        ({200: range(ENTRY_COUNT)}, (0, 0)),
        ({200: range(ENTRY_COUNT), 220: range(ENTRY_COUNT)}, (0, 0)),
        ({200 + 15 * n: [n] for n in range(ENTRY_COUNT)}, (0, 0)),
        ({}, (200, 450)),
    ],
    ids=["steady", "all restart", "all restart twice", "in turn", "partition"],
)
def test_retries_of_all_entries_stay_within_the_limit(
    restarts: dict[int, typing.Collection[int]], partition: tuple[int, int]
) -> None:
    assert find_excess(restarts, partition) <= 0.0


def test_entry_retries_a_little_soon_after_a_restart() -> None:
    budget = retrybudget.RetryBudget(RATIO, ALLOWANCE, WINDOW_S, 0.0, False)
    budget.on_entry_count(0.0, ENTRY_COUNT)
    assert not budget.try_spend(0.9)
    assert [budget.try_spend(1.1) for _ in range(4)] == [True, True, True, False]
    budget.on_entry_count(11.2, 1)
    assert sum(budget.try_spend(11.2) for _ in range(99)) == 15


def test_new_limits_do_not_forget_what_was_spent() -> None:
    budget = retrybudget.RetryBudget(0.0, 10.0, WINDOW_S, 0.0, True)
    assert sum(budget.try_spend(2.0) for _ in range(99)) == 7
    budget.set_limits(0.0, 20.0, WINDOW_S)
    assert sum(budget.try_spend(3.0) for _ in range(99)) == 7
