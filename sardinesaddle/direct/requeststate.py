"""A request on its way through an entry: what it asks, and what has been tried."""

import abc
import dataclasses
import typing

from sardinesaddle.direct import catalog, headercodec

STATUS_NOT_RUN: typing.Final = 503
STATUS_OUTCOME_UNKNOWN: typing.Final = 502
STATUS_TIMEOUT: typing.Final = 504
RETRY_AFTER_SHORT_S: typing.Final = 0.3  # targets and entries come back within a second
RETRY_AFTER_NO_CAPACITY_S: typing.Final = (
    0.8  # to twice this: a group takes 1 to 3 s to open again
)
RETRY_AFTER_OUTAGE_S: typing.Final = 1.0  # an outage of the store lasts for seconds


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request; ``arrived_at`` is the loop's time."""

    method: str
    host: str
    path: str
    headers: headercodec.Headers
    body: bytes
    arrived_at: float
    terms: headercodec.RequestMetadata


class Responder(abc.ABC):
    """The caller's end of a request."""

    is_started = False

    @abc.abstractmethod
    async def send_whole(
        self, status: int, headers: headercodec.Headers, body: bytes
    ) -> None:
        """Send a whole answer."""

    @abc.abstractmethod
    async def start(
        self, status: int, headers: headercodec.Headers, length: int | None
    ) -> None:
        """Send the start of an answer."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send more of an answer's body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the answer."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection so that the answer does not look complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A sentinel: no answer of a target, with the reason for the log.

    A ``status`` of 503 says that the request was not run.
    """

    status: int
    reason: str
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetError:
    """A sentinel: a target ran the request and answered with its own failure."""

    target: str
    status: int
    headers: headercodec.Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """A sentinel: the caller has the target's whole answer."""

    status: int


@dataclasses.dataclass(slots=True)
class RequestState:
    """A request with its route and account, and how far it has come.

    ``may_have_run`` is set while a target may run or have run it. ``last_event`` is
    the last event of a stream that the caller was sent.
    """

    req: Request
    route: catalog.Route
    service: str
    account: catalog.Account | None
    deadline: float
    send_count: int = 0
    may_have_run: bool = False
    connect_failures: int = 0
    tried_targets: set[str] = dataclasses.field(default_factory=set)
    last_event: int | None = None
    attempt_log: list[str] = dataclasses.field(default_factory=list)
    first_event_at: float = 0.0

    @property
    def may_run_twice(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.execution is catalog.Execution.REPEATABLE
