"""Interface for reasons why a target may not take a request now.

The target pool asks a list of constraints in a stated order, so that refusals, log
lines, metrics and the command that explains a choice all read the same verdicts. A
check changes nothing; what a constraint must count, it counts in ``on_send``.
"""

import abc
import dataclasses
import enum
import math
import typing

from sardinesaddle.direct import targetstate


class Decision(enum.Enum):
    """Whether a request may be sent to a target."""

    ALLOWED = "allowed"
    LATER = "later"
    # Not while the statements hold that forbid it; waiting does not help.
    NEVER = "never"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What a constraint decides; ``reason`` is for logs and metrics.

    ``wait_s`` is the time until a later send may be allowed, infinite if it is not
    known.
    """

    decision: Decision
    reason: str = ""
    wait_s: float = 0.0

    @property
    def is_allowed(self) -> bool:
        """Whether the request may be sent now."""
        return self.decision is Decision.ALLOWED


ALLOWED: typing.Final = Verdict(Decision.ALLOWED)


@dataclasses.dataclass(slots=True, eq=False)
class ResponseProgress:
    """How many events of a response the entry has received, over all attempts."""

    events: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTraits:
    """What constraints may ask of a request.

    ``account`` and ``kind`` name the client account and the route. ``priority`` orders
    the requests of a service, 0 first: by account, then by route. ``homes`` are the
    regions in which the request may run, None for any. ``output_tokens`` is the
    expected number, 0 if it is not known, and ``max_output_tokens`` is 0 if the caller
    states no maximum. Times are in seconds: ``latency_objective_s`` to the first event
    or the response, and ``max_event_gap_s`` between two events of a stream.
    ``is_resumed`` is set for a stream whose caller has received events, ``is_return``
    for a request that was refused before and whose caller was told when to return.
    ``deadline`` is the event loop's time after which the caller does not wait, infinite
    if it is not known. ``has_events`` is set for a stream, whose ``progress`` is
    counted while it lasts. ``progress`` is shared by the copies and identifies
    the request.
    """

    account: str = ""
    kind: str = ""
    priority: int = 5
    homes: frozenset[str] | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    latency_objective_s: float = 0.0
    max_event_gap_s: float = 0.0
    is_resumed: bool = False
    is_return: bool = False
    deadline: float = math.inf
    max_output_tokens: int = 0
    has_events: bool = True
    progress: ResponseProgress = dataclasses.field(
        default_factory=ResponseProgress, compare=False
    )


ANY_REQUEST: typing.Final = RequestTraits()


class SendConstraint(abc.ABC):
    """One reason why a target may not take a request now.

    ``name`` identifies the constraint in logs and metrics.
    """

    name: typing.ClassVar[str]

    @abc.abstractmethod
    def check(
        self, now: float, target: targetstate.Target, request: RequestTraits
    ) -> Verdict:
        """Return whether the target may take the request; changes nothing."""
