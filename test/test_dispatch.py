"""Data-driven tests of the state machine that dispatches one request."""

import pytest

from sardinesaddle import dispatch, errorcodes, retries
from test import casefile


def format_decision(decision: dispatch.Decision) -> str:
    """Return a decision as the case file writes it."""
    if decision.refusal is None:
        return decision.step.value
    return f"finish {decision.refusal.code.name} {decision.refusal.ran.value}"


def run_events(lines: list[str]) -> list[str]:
    """Apply a case's events to a new request; return the decisions."""
    kind = lines[0]
    request_dispatch = dispatch.Dispatch(
        kind == "idempotent", kind == "keyed", 10.0, retries.RetryBudget(tokens=1.0)
    )
    decisions = []
    for line in lines[1:]:
        time, event, *args = line.split()
        now = float(time)
        if event == "sent":
            request_dispatch.on_sent(args[0])
        elif event == "started":
            request_dispatch.on_answer_started()
        elif event == "lost":
            decisions.append(
                format_decision(request_dispatch.on_attempt_lost(now, 0.0))
            )
        elif event == "deadline":
            decisions.append(format_decision(request_dispatch.on_deadline()))
        else:
            retry_after_s = float(args[2]) if args[2:] else 0.0
            refusal = errorcodes.Refusal(
                errorcodes.REGISTRY[args[0]], errorcodes.Ran(args[1]), "", retry_after_s
            )
            decisions.append(
                format_decision(request_dispatch.on_refused(now, refusal, 0.0))
            )
    return decisions


@pytest.mark.parametrize(
    "case", casefile.read_cases("dispatch.test"), ids=lambda case: case.name
)
def test_dispatch(case: casefile.Case) -> None:
    assert run_events(case.input_lines) == case.expected_lines
