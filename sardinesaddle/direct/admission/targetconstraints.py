"""The constraints that apply to every target: backoff, rest and stated limit."""

import typing

from sardinesaddle.direct import targetlimits, targetrests, targetstate
from sardinesaddle.direct.admission import sendconstraint


class BackoffConstraint(sendconstraint.SendConstraint):
    """Waits for a short time after a target refused for lack of capacity."""

    name: typing.ClassVar[str] = "backoff"

    def check(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> sendconstraint.Verdict:
        """Return whether the backoff is over."""
        return make_wait_verdict(target.backoff_until - now, "target_full")


class RestConstraint(sendconstraint.SendConstraint):
    """Waits for the rest that a target asked for."""

    name: typing.ClassVar[str] = "rest"

    def __init__(self, rests: targetrests.TargetRests) -> None:
        self._rests = rests

    def check(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> sendconstraint.Verdict:
        """Return whether the target rests, or is returned to gradually."""
        wait_s = self._rests.compute_wait_s(now, target.registration.incarnation)
        return make_wait_verdict(wait_s, "target_rest")


class LimitConstraint(sendconstraint.SendConstraint):
    """Keeps to this entry's part of the limit that a target states."""

    name: typing.ClassVar[str] = "limit"

    def __init__(self, limits: targetlimits.TargetLimits) -> None:
        self._limits = limits

    def check(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> sendconstraint.Verdict:
        """Return whether the entry's part allows a request now."""
        incarnation = target.registration.incarnation
        if self._limits.may_send(now, incarnation):
            return sendconstraint.ALLOWED
        wait_s = self._limits.compute_wait_s(now, [incarnation], 0)
        return sendconstraint.Verdict(
            sendconstraint.Decision.LATER, "target_limit", wait_s
        )


def make_wait_verdict(wait_s: float, reason: str) -> sendconstraint.Verdict:
    """Return a verdict that allows the request once the wait is over."""
    if wait_s <= 0.0:
        return sendconstraint.ALLOWED
    return sendconstraint.Verdict(sendconstraint.Decision.LATER, reason, wait_s)
