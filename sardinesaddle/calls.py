"""The calls and attempts of a sidecar's call scheduler, and the actions it returns.

The target runs a call at most once. An attempt is one entry's subscription to the
answer of a call.
"""

import dataclasses
import typing

from sardinesaddle import answerbuffer, errorcodes, journal, keys, quarantine, wire

DEFAULT_SHARE: typing.Final = 1.0

AttemptId = tuple[int, int]


class Call:
    """One call for the target, with its queue parameters and its buffered answer.

    Times are in seconds on the sidecar's clock; -1 means not yet. ``cost`` is the
    expected run time in seconds.
    """

    __slots__ = (
        "account",
        "answer",
        "attempts",
        "cost",
        "deadline_at",
        "ended_at",
        "key",
        "number",
        "priority",
        "queued_at",
        "share",
        "started_at",
        "state",
        "submit",
    )

    def __init__(
        self, number: int, now: float, submit: wire.Submit, key: keys.Key | None
    ) -> None:
        self.number = number
        self.submit = submit
        self.key = key
        self.account = submit.account
        self.priority = submit.priority
        self.share = DEFAULT_SHARE
        self.cost = 1.0
        self.deadline_at = now + submit.remaining_ms / 1000.0
        self.queued_at = now
        self.started_at = -1.0
        self.ended_at = -1.0
        self.state = journal.CallState.QUEUED
        self.answer = answerbuffer.AnswerBuffer()
        self.attempts: list[Attempt] = []


class Attempt:
    """One entry's subscription to a call's answer.

    ``sent_offset`` is the next body byte to send, and ``credit_limit`` the offset at
    which sending stops until the reader grants more credit.
    """

    __slots__ = (
        "call",
        "attempt_id",
        "has_sent_head",
        "has_sent_all",
        "credit_limit",
        "sent_offset",
    )

    def __init__(
        self, attempt_id: AttemptId, call: Call, offset: int, credit_limit: int
    ) -> None:
        self.attempt_id = attempt_id
        self.call = call
        self.sent_offset = offset
        self.credit_limit = credit_limit
        self.has_sent_head = False
        self.has_sent_all = False


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Send a message to the entry whose process has this incarnation."""

    entry: int
    msg: wire.Message


@dataclasses.dataclass(frozen=True, slots=True)
class RunCall:
    """Send the call to the target."""

    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class CancelCall:
    """Stop the call at the target, since no attempt waits for it."""

    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRelease:
    """Ask a key's previous owners to release it, then submit the attempt again."""

    entry: int
    submit: wire.Submit
    key: keys.OpaqueKey
    owners: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceVerdict:
    """Send the verdict on a fingerprint to every connected entry."""

    fingerprint: int
    verdict: quarantine.Verdict


Action = Reply | RunCall | CancelCall | RequestRelease | AnnounceVerdict


def make_refused_message(attempt: int, refusal: errorcodes.Refusal) -> wire.Refused:
    """Return the wire message for a refusal of an attempt."""
    return wire.Refused(
        attempt,
        refusal.code.name,
        refusal.ran.value,
        refusal.detail,
        round(refusal.retry_after_s * 1000),
    )
