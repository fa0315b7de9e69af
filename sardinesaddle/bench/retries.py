"""Amplification by retries while targets fail, with the budget and without."""

import random
import typing

from sardinesaddle import dispatch, errorcodes, retries
from sardinesaddle.bench import report

REQUESTS: typing.Final = 20_000
RATE: typing.Final = 200.0
FAIL_FROM_S: typing.Final = 20.0
FAIL_TO_S: typing.Final = 60.0


class Unlimited(retries.RetryBudget):
    """Baseline: every failed attempt is sent again."""

    def try_withdraw(self) -> bool:
        """Allow every retry."""
        return True


def play(
    seed: int, budget: retries.RetryBudget, failing: float
) -> tuple[float, float, float]:
    """Return attempts a request, the greatest in any second, and the success rate."""
    rng = random.Random(f"{seed} {failing}")
    attempts: dict[int, int] = {}
    sent: dict[int, int] = {}
    answered = 0
    for number in range(REQUESTS):
        now = number / RATE
        state = dispatch.Dispatch(True, False, now + 10, budget)
        decision = dispatch.Decision(dispatch.Step.SEND)
        second = int(now)
        sent[second] = sent.get(second, 0) + 1
        while decision.step is dispatch.Step.SEND:
            state.on_sent("t")
            attempts[second] = attempts.get(second, 0) + 1
            is_bad = FAIL_FROM_S <= now < FAIL_TO_S and rng.random() < failing
            if not is_bad:
                answered += 1
                break
            refusal = errorcodes.Refusal(
                errorcodes.TARGET_FAILED, errorcodes.Ran.UNKNOWN
            )
            decision = state.on_refused(now, refusal, rng.random())
    peak = max(attempts[s] / sent[s] for s in sent)
    total = sum(attempts.values()) / REQUESTS
    return total, peak, answered / REQUESTS


def run(seed: int) -> report.Report:
    """Run the bench."""
    result = report.Report("retries")
    for failing in (0.05, 0.5, 1.0):
        total, peak, answered = play(seed, retries.RetryBudget(), failing)
        name = f"{failing:g}_failing"
        result.add_at_most(f"amplification_{name}", total, 1.1)
        result.add(f"peak_amplification_in_a_second_{name}", peak)
        result.add(f"answered_{name}", answered)
        total, _, answered = play(seed, Unlimited(), failing)
        result.add(f"amplification_without_budget_{name}", total)
        result.add(f"answered_without_budget_{name}", answered)
    return result
