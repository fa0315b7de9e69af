"""Tests of the list of constraints that the target pool asks before each send."""

import math
import typing

from sardinesaddle.direct import catalog, messages, targetpool, targetstate
from sardinesaddle.direct.admission import (
    admissionpart,
    entryadmission,
    sendconstraint,
)

LATER: typing.Final = sendconstraint.Decision.LATER
NEVER: typing.Final = sendconstraint.Decision.NEVER


class FixedConstraint(sendconstraint.SendConstraint):
    """Returns a stated verdict for some targets, and allows the others."""

    name: typing.ClassVar[str] = "fixed"

    def __init__(self, verdicts: dict[str, sendconstraint.Verdict]) -> None:
        self.verdicts = verdicts

    def check(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> sendconstraint.Verdict:
        """Return the verdict for the target."""
        return self.verdicts.get(target.target_id, sendconstraint.ALLOWED)


class FixedPart(admissionpart.AdmissionPart):
    """A part with one constraint, which counts its sends and outcomes."""

    name: typing.ClassVar[str] = "fixed"

    def __init__(self) -> None:
        self.constraint = FixedConstraint({})
        self.events: list[str] = []

    def list_constraints(self) -> list[sendconstraint.SendConstraint]:
        """Return the constraint."""
        return [self.constraint]

    def on_send(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> None:
        """Count a send."""
        self.events.append("send")

    def on_outcome(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
        outcome: admissionpart.SendOutcome,
    ) -> None:
        """Count an outcome."""
        self.events.append(outcome.result.value)


def make_pool(part: FixedPart, target_count: int = 2) -> targetpool.TargetPool:
    """Return a pool with targets t0, t1 and so on of a plain service."""
    admission = entryadmission.EntryAdmission([part])
    pool = targetpool.TargetPool("p", admission=admission)
    for index in range(target_count):
        pool.register(
            catalog.TargetRegistration(
                f"t{index}", "plain", f"10.0.1.{index}", 80, "p", 4,
                catalog.TargetState.READY, 0.0,
            )
        )  # fmt: skip
    return pool


def choose(pool: targetpool.TargetPool) -> str | None:
    """Return the identifier of the target that the pool chooses."""
    target = pool.choose_target(1.0, "plain", (), 1, lambda: 0.5)
    return None if target is None else target.target_id


def test_target_that_a_constraint_holds_back_is_not_chosen() -> None:
    """Guards against a constraint that is asked but not obeyed."""
    part = FixedPart()
    pool = make_pool(part)
    for verdict in (
        sendconstraint.Verdict(LATER, "held", 2.0),
        sendconstraint.Verdict(NEVER, "forbidden"),
    ):
        part.constraint.verdicts = {"t0": verdict}
        assert choose(pool) == "t1"
        part.constraint.verdicts = {"t0": verdict, "t1": verdict}
        assert choose(pool) is None


def test_request_waits_for_later_and_not_for_never() -> None:
    """Guards against requests held until their deadline for what cannot come."""
    part = FixedPart()
    pool = make_pool(part)
    never = sendconstraint.Verdict(NEVER, "forbidden")
    part.constraint.verdicts = {"t0": never, "t1": never}
    assert not pool.may_have_capacity_soon(1.0, "plain")
    assert pool.may_run(1.0, "plain", sendconstraint.ANY_REQUEST) == never
    assert pool.compute_wait_s(1.0, "plain", (), 0) is None
    later = sendconstraint.Verdict(LATER, "held", 2.0)
    part.constraint.verdicts = {"t0": never, "t1": later}
    assert pool.may_have_capacity_soon(1.0, "plain")
    assert pool.may_run(1.0, "plain", sendconstraint.ANY_REQUEST).is_allowed
    assert pool.compute_wait_s(1.0, "plain", (), 0) == 2.0
    # A wait of unknown length is not a time to tell callers.
    unknown = sendconstraint.Verdict(LATER, "held", math.inf)
    part.constraint.verdicts = {"t0": unknown, "t1": later}
    assert pool.compute_wait_s(1.0, "plain", (), 0) is None


def test_never_counts_before_later_whatever_their_order() -> None:
    """Guards against a wait for a target that another constraint forbids."""
    part = FixedPart()
    pool = make_pool(part, 1)
    second = FixedConstraint({"t0": sendconstraint.Verdict(NEVER, "forbidden")})
    pool.admission.constraints.append(second)
    part.constraint.verdicts = {"t0": sendconstraint.Verdict(LATER, "held", 1.0)}
    verdict = pool.may_run(1.0, "plain", sendconstraint.ANY_REQUEST)
    assert (verdict.decision, verdict.reason) == (NEVER, "forbidden")


def test_each_send_has_one_outcome() -> None:
    """Guards against sends that a part counts as running for ever."""
    part = FixedPart()
    pool = make_pool(part)
    target = pool.get("t0")
    assert target is not None
    pool.on_send(target, 1.0)
    pool.on_end(target, 1.5)
    pool.on_send(target, 2.0)
    done = admissionpart.SendOutcome(admissionpart.SendResult.COMPLETED, 0.1, 0.05)
    pool.on_end(target, 2.1, outcome=done)
    assert part.events == ["send", "cancelled", "send", "completed"]


def test_entry_without_parts_tells_others_nothing() -> None:
    """Guards against heartbeats that grow where no part is on."""
    admission = entryadmission.EntryAdmission(())
    assert admission.make_update(0.0, "10.0.0.1") is None
    assert admission.constraints == []
    message = messages.Heartbeat("10.0.0.1", [])
    assert message.admission is None
