"""A request in an entry: what the caller sent, the attempts so far, and outcomes.

A response that was started belongs to the run that it was started for. Another run may
only go on with a stream, after the last event that the caller has; ``Responder`` holds
what was started, and refuses anything else.
"""

import abc
import dataclasses
import enum
import hashlib
import typing

from sardinesaddle.direct import callermemory, catalog, crashledger, headercodec
from sardinesaddle.direct.admission import sendconstraint

STATUS_NOT_RUN: typing.Final = 503
STATUS_OUTCOME_UNKNOWN: typing.Final = 502
STATUS_TIMEOUT: typing.Final = 504
# Values for the header Retry-After.
RETRY_AFTER_SHORT_S: typing.Final = 0.3  # targets and entries return within a second
# Up to 100% jitter is added; a group takes 1 to 3 s to open again.
RETRY_AFTER_NO_CAPACITY_S: typing.Final = 0.8
RETRY_AFTER_OUTAGE_S: typing.Final = 1.0  # outages of the store last for seconds
CONTENT_ID_BYTES: typing.Final = 8


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request; ``arrived_at`` is the event loop's time.

    ``holding`` counts the body, which is empty before it is read and once it is
    dropped.
    """

    method: str
    host: str
    path: str
    headers: headercodec.Headers
    body: bytes
    arrived_at: float
    metadata: headercodec.RequestMetadata
    holding: callermemory.Holding


class Started(enum.Enum):
    """What the caller has been sent of a response.

    ``STREAM`` may be continued by another run of the request, ``BODY`` only by the run
    that it was started for.
    """

    NOTHING = "nothing"
    STREAM = "stream"
    BODY = "body"


class Responder(abc.ABC):
    """Sends the response to the caller; ``started`` is what it has been sent."""

    started = Started.NOTHING

    @property
    def is_started(self) -> bool:
        """Whether the head of a response was sent."""
        return self.started is not Started.NOTHING

    def may_follow(self, kind: Started) -> bool:
        """Return whether a response of a kind may follow what was started."""
        return not self.is_started or self.started is kind is Started.STREAM

    async def send_whole(
        self, status: int, headers: headercodec.Headers, body: bytes
    ) -> None:
        """Send a complete response."""
        await self.start(status, headers, len(body))
        if body:
            await self.write(body)
        await self.finish()

    async def start(
        self, status: int, headers: headercodec.Headers, length: int | None
    ) -> None:
        """Send the head of a response; ``length`` is None if it is not known.

        Raises RuntimeError if a response was started.
        """
        self._begin(Started.BODY)
        await self._send_head(status, headers, length)

    async def start_stream(self, status: int, headers: headercodec.Headers) -> None:
        """Send the head of a stream, whose events follow.

        Raises RuntimeError if a response was started.
        """
        self._begin(Started.STREAM)
        await self._send_head(status, headers, None)

    def _begin(self, kind: Started) -> None:
        """Record what is started."""
        if self.is_started:
            raise RuntimeError(f"a {self.started.value} of this response was started")
        self.started = kind

    @abc.abstractmethod
    async def _send_head(
        self, status: int, headers: headercodec.Headers, length: int | None
    ) -> None:
        """Send status and headers; ``length`` is None if it is not known."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a part of the response's body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Complete the response after its last part."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection, so that a partial response does not look complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Returned when there is no response to relay; ``reason`` is for the log.

    A ``status`` of 503 states that the request was not run.
    """

    status: int
    reason: str
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetError:
    """Returned when a target ran the request and responded with an error."""

    target: str
    status: int
    headers: headercodec.Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """Returned when the target's whole response was relayed to the caller."""

    status: int

    @property
    def is_success(self) -> bool:
        """Whether the target ran the request with success."""
        return 200 <= self.status < 300


@dataclasses.dataclass(slots=True)
class RequestState:
    """A request with its route and account, and the state of its attempts.

    Times are the event loop's. ``traits`` is what the constraints of targets ask of
    the request. ``may_have_run`` is set while a target may run or have
    run the request. ``crash_count`` is how many targets had crashed under the
    ``fingerprint`` when the present attempt began. ``last_event`` is the number of the
    last stream event that the caller has, from an earlier request or from this one.
    ``attempt_log`` lists target and reason of each failed attempt. ``refused_count`` is
    how many sends were not run. ``left_target`` is the target that the request left
    though it may have gone on, an empty string for none. ``has_body`` is False once the
    body was dropped, so that the request cannot be sent again. ``was_evicted`` is set
    if it was dropped while the request waited to be sent, which ends it.
    """

    req: Request
    route: catalog.Route
    service: str
    account: catalog.Account | None
    fingerprint: crashledger.Fingerprint
    deadline: float
    traits: sendconstraint.RequestTraits = sendconstraint.ANY_REQUEST
    crash_count: int = 0
    send_count: int = 0
    refused_count: int = 0
    left_target: str = ""
    may_have_run: bool = False
    connect_failures: int = 0
    tried_targets: set[str] = dataclasses.field(default_factory=set)
    last_event: int | None = None
    attempt_log: list[str] = dataclasses.field(default_factory=list)
    first_event_at: float = 0.0
    has_body: bool = True
    was_evicted: bool = False

    @property
    def may_run_twice(self) -> bool:
        """Whether the route allows the request to run more than once."""
        return self.route.execution is catalog.Execution.REPEATABLE


@dataclasses.dataclass(frozen=True, slots=True)
class RouteMatch:
    """What the head of a request selects; ``deadline`` is the event loop's time."""

    route: catalog.Route
    account: catalog.Account | None
    deadline: float


def compute_content_id(path: str, account: str, body: bytes) -> str:
    """Return the id of a request's content, as a hexadecimal number.

    Attempts with the same path, account and body have the same id, at every entry.
    """
    digest = hashlib.blake2b(digest_size=CONTENT_ID_BYTES)
    for part in (path.encode(), account.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
