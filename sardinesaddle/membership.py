"""What an entry believes of its targets: who is there, and in what state.

The host list lags, so it only proposes targets and addresses. What a target's own
sidecar says goes before it: its heartbeats show that it lives, its leaving mark ends
new work at once, and its incarnation tells a restart. A target whose answers fail
or are far slower than its peers' is ejected for a time that doubles with each
ejection; ejection never takes more than half of a service's targets.
"""

import dataclasses
import statistics
import typing

from sardinesaddle import estimate

EJECTION_FIRST_S: typing.Final = 5.0
EJECTION_LIMIT_S: typing.Final = 60.0
FAILURES_TO_EJECT: typing.Final = 3
SLOWNESS_TO_EJECT: typing.Final = 3.0
MIN_SAMPLES: typing.Final = 10
MAX_EJECTED_SHARE: typing.Final = 0.5
SLOW_START_S: typing.Final = 10.0
SLOW_START_FIRST_SHARE: typing.Final = 0.1
REPORT_TRUST_S: typing.Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A row of the host list."""

    name: str
    host: str
    port: int
    place: str
    is_leaving: bool


class TargetView:
    """One target as this entry sees it."""

    __slots__ = (
        "ejected_until",
        "ejections",
        "failures",
        "in_flight",
        "incarnation",
        "is_leaving",
        "is_linked",
        "linked_at",
        "name",
        "place",
        "reported_at",
        "reported_others",
        "service",
        "slots",
        "times",
        "uptime_at",
        "uptime_ms",
        "version",
        "wait_s",
        "weight",
    )

    def __init__(self, name: str, service: str, place: str, weight: float) -> None:
        self.name = name
        self.service = service
        self.place = place
        self.weight = weight
        self.is_linked = False
        self.is_leaving = False
        self.linked_at = 0.0
        self.incarnation = 0
        self.in_flight = 0
        self.reported_others = 0.0
        self.reported_at = -1e9
        self.version = 0
        self.wait_s = 0.0
        self.slots = 1
        self.uptime_ms = 0
        self.uptime_at = 0.0
        self.ejected_until = -1e9
        self.ejections = 0
        self.failures = 0
        self.times = estimate.DurationEstimate()

    def link(self, now: float, incarnation: int) -> None:
        """Take note of a new connection to the target's sidecar."""
        if incarnation != self.incarnation:
            self.linked_at = now
            self.failures = 0
        self.is_linked = True
        self.incarnation = incarnation

    def unlink(self) -> None:
        """Take note that the connection is lost."""
        self.is_linked = False

    def report(
        self, now: float, uptime_ms: int, load: int, wait_s: float, leaving: bool
    ) -> None:
        """Take a heartbeat's state; our own calls are not counted twice."""
        self.uptime_ms = uptime_ms
        self.uptime_at = now
        self.reported_others = max(load - self.in_flight, 0)
        self.reported_at = now
        self.wait_s = wait_s
        self.is_leaving = leaving

    def estimate_uptime_ms(self, now: float) -> int:
        """Return the sidecar's own clock, at most a network delay ahead."""
        return self.uptime_ms + int((now - self.uptime_at) * 1000)

    def is_usable(self, now: float) -> bool:
        """Tell whether new work may go there."""
        return (
            self.is_linked
            and not self.is_leaving
            and self.weight > 0
            and self.ejected_until <= now
        )

    def compute_load(self, now: float) -> float:
        """Return the calls at the target for each unit of weight.

        Our own calls count in full; the others' are as old as the last report and
        fade with its age.
        """
        age_s = now - self.reported_at
        trust = max(0.0, 1.0 - age_s / REPORT_TRUST_S)
        load = self.in_flight + self.reported_others * trust
        return load / max(self.weight * self._compute_warmth(now), 1e-6)

    def _compute_warmth(self, now: float) -> float:
        """Return the share of its weight that a returning target takes."""
        age_s = now - self.linked_at
        if age_s >= SLOW_START_S:
            return 1.0
        return max(SLOW_START_FIRST_SHARE, age_s / SLOW_START_S)


class Fleet:
    """All targets that this entry knows, by service."""

    __slots__ = ("_by_service", "targets")

    def __init__(self) -> None:
        self.targets: dict[str, TargetView] = {}
        self._by_service: dict[str, list[TargetView]] = {}

    def add(self, view: TargetView) -> None:
        """Add a target."""
        self.targets[view.name] = view
        self._by_service.setdefault(view.service, []).append(view)

    def remove(self, name: str) -> None:
        """Forget a target."""
        view = self.targets.pop(name, None)
        if view is not None:
            self._by_service[view.service].remove(view)

    def move(self, view: TargetView, service: str) -> None:
        """Put a target under another service, as the table says."""
        if view.service != service:
            self._by_service[view.service].remove(view)
            view.service = service
            self._by_service.setdefault(service, []).append(view)

    def list_service(self, service: str) -> list[TargetView]:
        """Return the targets of a service, in any state."""
        return self._by_service.get(service, [])

    def list_usable(self, now: float, service: str) -> list[TargetView]:
        """Return the targets that may get new work; ejection never empties it."""
        views = self.list_service(service)
        usable = [view for view in views if view.is_usable(now)]
        if usable:
            return usable
        return [v for v in views if v.is_linked and not v.is_leaving and v.weight > 0]

    def add_success(self, now: float, view: TargetView, duration_s: float) -> None:
        """Take note of an answer, and eject the target if it is far too slow."""
        view.failures = 0
        view.times.add(duration_s)
        if view.times.count < MIN_SAMPLES:
            return
        peers = [
            other.times.mean_s
            for other in self.list_service(view.service)
            if other is not view and other.times.count >= MIN_SAMPLES
        ]
        if len(peers) < 2:
            return
        if view.times.mean_s > SLOWNESS_TO_EJECT * statistics.median(peers):
            self._eject(now, view)

    def add_failure(self, now: float, view: TargetView) -> None:
        """Take note of a failed attempt."""
        view.failures += 1
        if view.failures >= FAILURES_TO_EJECT:
            self._eject(now, view)

    def _eject(self, now: float, view: TargetView) -> None:
        """Stop new work for a while, unless too many targets are ejected."""
        peers = [v for v in self.list_service(view.service) if v.is_linked]
        ejected = sum(1 for v in peers if v.ejected_until > now)
        if view.ejected_until > now or (ejected + 1) > len(peers) * MAX_EJECTED_SHARE:
            return
        span_s = min(EJECTION_FIRST_S * 2**view.ejections, EJECTION_LIMIT_S)
        view.ejections += 1
        view.ejected_until = now + span_s
        view.failures = 0
        view.times = estimate.DurationEstimate()
