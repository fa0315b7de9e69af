"""Interface of a feature that decides on sends: constraints, state and messages.

A part is on only where the settings or the configuration of a deployment ask for it.
All hooks are called on the event loop's thread and must not block; ``now`` is the event
loop's time.
"""

import abc
import collections.abc
import dataclasses
import enum
import typing

from sardinesaddle.direct import (
    catalog,
    headercodec,
    messages,
    nodemetrics,
    replica,
    requestqueue,
    targetstate,
)
from sardinesaddle.direct.admission import sendconstraint


class SendResult(enum.Enum):
    """How a send to a target ended."""

    COMPLETED = "completed"
    ERROR_RESPONSE = "error_response"
    # The target stated that it did not run the request.
    REFUSED = "refused"
    # The exchange broke off after the request was sent.
    BROKEN = "broken"
    # Nothing was sent: no connection.
    UNREACHABLE = "unreachable"
    # This entry ended the exchange: the caller left or the deadline passed.
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class SendOutcome:
    """The end of a send; times in seconds.

    ``first_event_s`` is the time from the send to the head of the response, or to the
    first event of a stream; None if there was none.
    """

    result: SendResult
    duration_s: float
    first_event_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestIds:
    """The identifiers of a request's content and of the caller's attempt."""

    content_id: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShareRefusal:
    """Why a part refuses a request, and when its caller may return."""

    reason: str
    return_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """Where an update comes from: the entry, its process, and the entries it lists."""

    host: str
    process: int
    listed: collections.abc.Sequence[str]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryView:
    """The entries as this one knows them.

    ``alive`` are the hosts of the other live entries, ``contacted`` those that get
    heartbeats, whether they reply or not. ``config_age_s`` is the time since the store,
    or an entry that reached it, confirmed this entry's configuration. ``own_targets``
    are the identifiers of the targets in this entry's subsets of all services.
    """

    host: str
    alive: collections.abc.Collection[str]
    contacted: collections.abc.Collection[str]
    config_age_s: float
    own_targets: collections.abc.Collection[str] = frozenset()


class AdmissionPart(abc.ABC):
    """A feature that decides on sends; hooks that it does not need stay empty."""

    name: typing.ClassVar[str]

    def list_constraints(self) -> list[sendconstraint.SendConstraint]:
        """Return the constraints of the part, in the order in which to ask them."""
        return []

    def on_catalog(self, now: float, current: catalog.Catalog) -> None:
        """Handle that a configuration came into force."""

    def on_store_change(
        self, now: float, change: replica.Change, position: replica.Position
    ) -> bool:
        """Handle a change of the store; return whether available targets change."""
        return False

    def is_available(self, target: targetstate.Target) -> bool:
        """Return whether a target may get new requests at all.

        Targets that may not are left out of the entries' subsets. A change must be
        reported by ``on_store_change`` or through a callback, and a constraint of the
        part must forbid requests at such a target, so that refusals state the reason.
        """
        return True

    def on_registered(self, now: float, target: targetstate.Target) -> None:
        """Handle that a target was registered or its registration changed."""

    def on_report(
        self, now: float, target: targetstate.Target, report: messages.Report
    ) -> None:
        """Handle a sidecar's report."""

    def make_memory_use(
        self, now: float, target: targetstate.Target
    ) -> messages.MemoryUse | None:
        """Return what the reply to a report states on the engine's memory.

        Called after ``on_report``; None if this part does not decide on memory.
        """
        return None

    def on_request(
        self, now: float, service: str, request: sendconstraint.RequestTraits
    ) -> None:
        """Handle that a caller's request arrived."""

    def find_policy(self, service: str) -> requestqueue.QueuePolicy | None:
        """Return the part's policy for the queue of a service, None for none."""
        return None

    def is_return(self, now: float, service: str, content_id: str) -> bool:
        """Return whether this part refused a content that comes back as told."""
        return False

    def refuse(
        self,
        now: float,
        service: str,
        request: sendconstraint.RequestTraits,
        ids: RequestIds,
    ) -> ShareRefusal | None:
        """Decide on the refusal of a request that got no target, None if not this part.

        The part counts and logs the refusal.
        """
        return None

    def on_send(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> None:
        """Count a request that is about to be sent."""

    def on_response(
        self, now: float, incarnation: str, metadata: headercodec.ResponseMetadata
    ) -> None:
        """Apply what a target states of itself in the head of a response."""

    def on_first_event(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
        first_event_s: float,
    ) -> None:
        """Handle the first event of a stream, or a response that is not one.

        Unlike ``on_outcome`` it comes before a stream ends, and not for refusals.
        """

    def on_event_gap(
        self, target: targetstate.Target, stream: str, gap_s: float
    ) -> None:
        """Handle the time between two events of a stream, named by its attempt."""

    def on_rest(self, now: float, incarnation: str, rest_s: float) -> None:
        """Handle that a target asked this entry to send nothing for a time."""

    def on_outcome(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
        outcome: SendOutcome,
    ) -> None:
        """Count the end of a send; there is one for each ``on_send``."""

    def refresh(
        self,
        now: float,
        entries: EntryView,
        targets: collections.abc.Collection[targetstate.Target],
    ) -> None:
        """Do periodic work, about four times a second."""

    def make_update(
        self, now: float, host: str, is_reply: bool, update: messages.AdmissionUpdate
    ) -> None:
        """Set this part's field of the update for another entry, if it needs one."""

    def on_message(
        self, now: float, peer: PeerMessage, update: messages.AdmissionUpdate
    ) -> None:
        """Apply the update in a heartbeat of another entry, or in its reply."""

    def on_reply(
        self, now: float, peer: PeerMessage, sent: messages.AdmissionUpdate
    ) -> None:
        """Note that another entry replied to the heartbeat with the update ``sent``.

        Called before ``on_message`` for the update in the reply.
        """

    def write_metrics(
        self, now: float, entry_metrics: nodemetrics.EntryMetrics
    ) -> None:
        """Set the gauges that show the part's state; follows each ``refresh``."""

    def withdraw(self) -> None:
        """Give up what this entry has claimed, since it stops."""
