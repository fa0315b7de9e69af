"""The calls and attempts that a sidecar's desk holds, and the actions it decides on.

A call is run at most once by the target. An attempt is one entry's wait for a call.
"""

import dataclasses
import typing

from sardinesaddle import answer, errorcodes, journal, keys, quarantine, wire

DEFAULT_SHARE: typing.Final = 1.0

AttemptId = tuple[int, int]


class Call:
    """One call that the target runs at most once."""

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
        self.state = journal.State.QUEUED
        self.answer = answer.Answer()
        self.attempts: list[Attempt] = []


class Attempt:
    """One entry's wait for a call: what was sent and what may be sent."""

    __slots__ = ("call", "ident", "is_headed", "is_over", "limit", "sent")

    def __init__(self, ident: AttemptId, call: Call, offset: int, limit: int) -> None:
        self.ident = ident
        self.call = call
        self.sent = offset
        self.limit = limit
        self.is_headed = False
        self.is_over = False


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Send a message to the entry of this incarnation."""

    entry: int
    msg: wire.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Give the call to the target."""

    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRun:
    """Tell the target that nobody waits for the call."""

    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class AskHomes:
    """Ask earlier homes to release a key, then offer the attempt again."""

    entry: int
    submit: wire.Submit
    key: keys.OpaqueKey
    homes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Tell:
    """Tell every entry how requests with a fingerprint may be run."""

    fingerprint: int
    verdict: quarantine.Verdict


Action = Reply | Run | CancelRun | AskHomes | Tell


def make_refused(attempt: int, refusal: errorcodes.Refusal) -> wire.Refused:
    """Return the message that carries a refusal."""
    return wire.Refused(
        attempt,
        refusal.code.name,
        refusal.ran.value,
        refusal.detail,
        round(refusal.retry_after_s * 1000),
    )
