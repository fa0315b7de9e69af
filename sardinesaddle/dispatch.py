"""Decides what an entry does with one request, from routing to the final answer.

Dispatch is a state machine for one request. Its methods take the events of the
request's attempts and return the next step: send an attempt, wait, or finish with a
refusal. The rules are:

* A request that may be repeated goes to another target when an attempt fails, as long
  as the caller has received no byte, time is left and the retry budget allows it.
* A request that may not be repeated is sent again only when the sidecar confirmed
  that the attempt did not run and will not run.
* A keyed request goes only to the target that owns its key.
* "Not run" is reported only if no attempt left this entry and no key could have been
  used through another, or if the sidecar confirmed it for every attempt.
"""

import dataclasses
import enum
import typing

from sardinesaddle import errorcodes, retries

RECONNECT_WAIT_S: typing.Final = 1.0


class Step(enum.Enum):
    """The entry's next step with a request."""

    SEND = "send"
    WAIT = "wait"
    FINISH = "finish"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The next step, with the delay before it or the refusal to finish with."""

    step: Step
    delay_s: float = 0.0
    refusal: errorcodes.Refusal | None = None


WAIT: typing.Final = Decision(Step.WAIT)


class Dispatch:
    """The state of one request at its entry."""

    __slots__ = (
        "_retry_budget",
        "_is_idempotent",
        "_is_keyed",
        "_unconfirmed_attempts",
        "attempts",
        "deadline_at",
        "excluded_targets",
        "has_answer_started",
    )

    def __init__(
        self,
        is_idempotent: bool,
        is_keyed: bool,
        deadline_at: float,
        retry_budget: retries.RetryBudget,
    ) -> None:
        self._is_idempotent = is_idempotent
        self._is_keyed = is_keyed
        self._retry_budget = retry_budget
        # Attempts that were sent and that no sidecar has confirmed as not run.
        self._unconfirmed_attempts = 0
        self.deadline_at = deadline_at
        self.attempts = 0
        self.excluded_targets: set[str] = set()
        self.has_answer_started = False

    @property
    def ran(self) -> errorcodes.Ran:
        """What this entry alone can say about the request's execution."""
        if self._unconfirmed_attempts or self._is_keyed:
            return errorcodes.Ran.UNKNOWN
        return errorcodes.Ran.NOT_RUN

    def on_sent(self, target: str) -> None:
        """Record an attempt that was sent; the first one earns retry budget."""
        self.attempts += 1
        self._unconfirmed_attempts += 1
        self.excluded_targets.add(target)
        if self.attempts == 1:
            self._retry_budget.deposit()

    def on_answer_started(self) -> None:
        """Record that the caller received the first part of the answer."""
        self.has_answer_started = True

    def on_no_target(self, now: float, random_sample: float) -> Decision:
        """Decide when no target is usable, or the key's owner is not connected."""
        delay_s = retries.compute_backoff(4, random_sample)
        if now + delay_s >= self.deadline_at:
            return self._finish(errorcodes.NO_TARGET, self.ran, "", 1.0)
        return Decision(Step.SEND, delay_s)

    def on_refused(
        self, now: float, refusal: errorcodes.Refusal, random_sample: float
    ) -> Decision:
        """Decide when a sidecar refused an attempt."""
        is_confirmed_not_run = refusal.ran is errorcodes.Ran.NOT_RUN
        if is_confirmed_not_run:
            self._unconfirmed_attempts -= 1
        if refusal.code is errorcodes.TOMBSTONED:
            # Only this attempt is known not to have run; the key may have run. It never
            # reached the target, so a retry adds no load there.
            code = errorcodes.OUTCOME_UNKNOWN
            return self._retry(now, random_sample, code, refusal, is_budget_exempt=True)
        if self._is_keyed:
            if refusal.code is errorcodes.KEY_ELSEWHERE and refusal.retry_after_s:
                return self._retry_at_owner(now, refusal)
            return Decision(Step.FINISH, refusal=refusal)
        if refusal.code in (errorcodes.KEY_MISMATCH, errorcodes.QUARANTINED):
            return Decision(Step.FINISH, refusal=refusal)
        if is_confirmed_not_run or self._is_idempotent:
            return self._retry(now, random_sample, refusal.code, refusal)
        return self._finish(refusal.code, self.ran, refusal.detail)

    def _retry_at_owner(self, now: float, refusal: errorcodes.Refusal) -> Decision:
        """Send the opaque key's call again after a delay that lets its owner settle."""
        delay_s = min(refusal.retry_after_s, 1.0)
        if not self._may_send_again(now, delay_s):
            return Decision(Step.FINISH, refusal=refusal)
        return Decision(Step.SEND, delay_s)

    def _may_send_again(self, now: float, delay_s: float) -> bool:
        """Return whether another attempt may answer the request after a delay.

        An answer that has started belongs to its attempt.
        """
        return (
            not self.has_answer_started
            and self.attempts < retries.MAX_ATTEMPTS
            and now + delay_s < self.deadline_at
        )

    def on_attempt_lost(self, now: float, random_sample: float) -> Decision:
        """Decide when the target's sidecar restarted or stays unreachable."""
        if self._is_idempotent and not self._is_keyed:
            return self._retry(now, random_sample, errorcodes.TARGET_FAILED, None)
        return self._finish(
            errorcodes.OUTCOME_UNKNOWN,
            errorcodes.Ran.UNKNOWN,
            "the target was lost after the request was sent",
        )

    def may_switch_target(self) -> bool:
        """Return whether an attempt with a lost connection may go to another target.

        If so, the entry waits only ``RECONNECT_WAIT_S`` for a reconnect.
        """
        return (
            self._is_idempotent and not self._is_keyed and not self.has_answer_started
        )

    def on_deadline(self) -> Decision:
        """Decide when the caller's deadline passes."""
        return self._finish(errorcodes.DEADLINE_PASSED, self.ran, "")

    def _retry(
        self,
        now: float,
        random_sample: float,
        code: errorcodes.ErrorCode,
        refusal: errorcodes.Refusal | None,
        is_budget_exempt: bool = False,
    ) -> Decision:
        """Send another attempt if the answer has not started and all limits allow it.

        A retry that is exempt from the budget still counts as an attempt.
        """
        detail = refusal.detail if refusal else ""
        retry_after_s = refusal.retry_after_s if refusal else 0.0
        delay_s = retries.compute_backoff(self.attempts, random_sample)
        if not self._may_send_again(now, delay_s):
            return self._finish(code, self.ran, detail, retry_after_s)
        if not is_budget_exempt and not self._retry_budget.try_withdraw():
            text = detail or "the last attempt failed"
            spent = errorcodes.RETRY_BUDGET_SPENT
            return self._finish(spent, self.ran, text, max(retry_after_s, 0.5))
        return Decision(Step.SEND, delay_s)

    def _finish(
        self,
        code: errorcodes.ErrorCode,
        ran: errorcodes.Ran,
        detail: str,
        retry_after_s: float = 0.0,
    ) -> Decision:
        """Return the decision to finish with a refusal."""
        refusal = errorcodes.Refusal(code, ran, detail, retry_after_s)
        return Decision(Step.FINISH, refusal=refusal)
