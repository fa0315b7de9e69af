"""What an entry knows of a target: registration, last report, own requests.

The load that a report shows lags. Requests that this entry sent since the engine was
read for the report are added to it, and those that it saw end since are subtracted.
"""

import collections
import dataclasses
import math
import typing

from sardinesaddle.direct import catalog, messages, replica

REPORT_TTL_S: typing.Final = 0.8  # several report periods of at most 0.3 s
# A report is used for so much longer than the period of its sender.
REPORT_SLACK_S: typing.Final = REPORT_TTL_S - messages.REPORT_PERIOD_S
BASE_EJECTION_S: typing.Final = 0.5  # doubles with each ejection until a success


@dataclasses.dataclass(slots=True)
class Target:
    """A target, its last report, and this entry's own requests and results.

    ``created`` and ``listed`` are where in the store's history its registration was
    created and last changed. ``heard_at`` is when it last showed that it runs.
    ``unconfirmed_since`` is when it was registered at the address of another target; it
    is None once a response has shown that it is there. Times are the event loop's.
    """

    registration: catalog.TargetRegistration
    created: replica.Position = replica.BEGINNING
    listed: replica.Position = replica.BEGINNING
    own_in_flight: int = 0
    own_suspects: int = 0
    report: messages.Report | None = None
    reported_at: float = 0.0
    recent_sends: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    recent_ends: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    ejected_until: float = 0.0
    ejection_s: float = BASE_EJECTION_S
    backoff_until: float = 0.0
    has_stale_address: bool = False
    unconfirmed_since: float | None = None
    heard_at: float = -math.inf
    removal_deadline: float | None = None

    @property
    def target_id(self) -> str:
        """The identifier of the target's incarnation."""
        return self.registration.target_id

    @property
    def address(self) -> str:
        """The address on which the target listens, as in reports."""
        return make_address(self.registration)

    @property
    def group(self) -> str:
        """The lock-step group that the target reported last, or an empty string."""
        return "" if self.report is None else self.report.group

    def has_fresh_report(self, now: float) -> bool:
        """Return whether the sidecar's next report is not overdue."""
        report = self.report
        if report is None:
            return False
        return now - self.reported_at < report.period_s + REPORT_SLACK_S

    def discard_before(self, when: float) -> None:
        """Drop the sends and ends that an engine reading at ``when`` includes."""
        for times in (self.recent_sends, self.recent_ends):
            while times and times[0] <= when:
                times.popleft()

    def estimate_in_flight(self, now: float, entry_count: int) -> float:
        """Estimate the requests of all entries that the target has now."""
        if self.report is None or not self.has_fresh_report(now):
            return float(self.own_in_flight * max(entry_count, 1))
        estimate = self.report.running + self.report.waiting
        estimate += len(self.recent_sends) - len(self.recent_ends)
        return float(max(estimate, self.own_in_flight))


def make_address(registration: catalog.TargetRegistration) -> str:
    """Return the address at which a target is registered."""
    return f"{registration.host}:{registration.port}"
