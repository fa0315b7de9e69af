"""A request on its way through an entry: what it asks, and what has been tried."""

import abc
import dataclasses
import typing

from sardinesaddle.direct import catalog, headercodec

STATUS_NOT_RUN: typing.Final = 503
STATUS_UNKNOWN: typing.Final = 502
STATUS_TIMEOUT: typing.Final = 504
RETRY_SOON_S: typing.Final = 0.3  # targets and entries come back within a second
RETRY_ROOM_S: typing.Final = 0.8  # to twice this: a group takes 1 to 3 s to open again
RETRY_LATER_S: typing.Final = 1.0  # an outage of the store lasts for seconds


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
class Refused:
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
class Answered:
    """A sentinel: the caller has the target's whole answer."""

    status: int


@dataclasses.dataclass(slots=True)
class Work:
    """A request with its route and account, and how far it has come.

    ``may_have_run`` is set while a target may run or have run it. ``last_event`` is
    the last event of a stream that the caller was sent.
    """

    req: Request
    route: catalog.Route
    service: str
    account: catalog.Account | None
    ends_at: float
    sends: int = 0
    may_have_run: bool = False
    connects: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    last_event: int | None = None
    trail: list[str] = dataclasses.field(default_factory=list)
    first_at: float = 0.0

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.execution is catalog.Execution.REPEATABLE
