"""Measures the amplification by retries while targets fail, with and without a budget.

Amplification is the number of attempts per request. Each attempt between
``FAILURE_START_S`` and ``FAILURE_END_S`` fails with a given probability.
"""

import random
import typing

from sardinesaddle import dispatch, errorcodes, retries
from sardinesaddle.bench import report

REQUESTS: typing.Final = 20_000
REQUESTS_PER_S: typing.Final = 200.0
FAILURE_START_S: typing.Final = 20.0
FAILURE_END_S: typing.Final = 60.0


class UnlimitedBudget(retries.RetryBudget):
    """A baseline that limits no retries."""

    def try_withdraw(self) -> bool:
        """Return True, so that every retry is allowed."""
        return True


def simulate(
    seed: int, budget: retries.RetryBudget, failure_rate: float
) -> tuple[float, float, float]:
    """Return attempts per request, their peak in any second, and the success rate."""
    rng = random.Random(f"{seed} {failure_rate}")
    attempts_by_second: dict[int, int] = {}
    requests_by_second: dict[int, int] = {}
    answered = 0
    for number in range(REQUESTS):
        now = number / REQUESTS_PER_S
        state = dispatch.Dispatch(True, False, now + 10, budget)
        decision = dispatch.Decision(dispatch.Step.SEND)
        second = int(now)
        requests_by_second[second] = requests_by_second.get(second, 0) + 1
        while decision.step is dispatch.Step.SEND:
            state.on_sent("t")
            attempts_by_second[second] = attempts_by_second.get(second, 0) + 1
            is_failure = (
                FAILURE_START_S <= now < FAILURE_END_S and rng.random() < failure_rate
            )
            if not is_failure:
                answered += 1
                break
            refusal = errorcodes.Refusal(
                errorcodes.TARGET_FAILED, errorcodes.Ran.UNKNOWN
            )
            decision = state.on_refused(now, refusal, rng.random())
    peak = max(
        attempts_by_second[s] / requests_by_second[s] for s in requests_by_second
    )
    total = sum(attempts_by_second.values()) / REQUESTS
    return total, peak, answered / REQUESTS


def run(seed: int) -> report.Report:
    """Compare both budgets at several failure rates."""
    result = report.Report("retries")
    for failure_rate in (0.05, 0.5, 1.0):
        total, peak, answered = simulate(seed, retries.RetryBudget(), failure_rate)
        name = f"{failure_rate:g}_failing"
        result.add_at_most(f"amplification_{name}", total, 1.1)
        result.add(f"peak_amplification_in_a_second_{name}", peak)
        result.add(f"answered_{name}", answered)
        total, _, answered = simulate(seed, UnlimitedBudget(), failure_rate)
        result.add(f"amplification_without_budget_{name}", total)
        result.add(f"answered_without_budget_{name}", answered)
    return result
