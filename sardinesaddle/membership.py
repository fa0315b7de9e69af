"""An entry's view of its targets: which exist, and in what state.

The host list lags, so it only supplies targets and addresses. The reports of a target's
own sidecar take precedence: heartbeats show that it is alive, its draining flag ends
new work at once, and a new incarnation shows a restart. Outlier ejection removes a
target whose answers fail or are far slower than its peers' for a time that doubles with
each ejection; it never ejects more than half of a service's targets.
"""

import dataclasses
import statistics
import typing

from sardinesaddle import estimate

EJECTION_BASE_S: typing.Final = 5.0
EJECTION_MAX_S: typing.Final = 60.0
CONSECUTIVE_FAILURES_TO_EJECT: typing.Final = 3
SLOWNESS_RATIO_TO_EJECT: typing.Final = 3.0
MIN_DURATION_SAMPLES: typing.Final = 10
MAX_EJECTED_SHARE: typing.Final = 0.5
SLOW_START_S: typing.Final = 10.0
SLOW_START_MIN_SHARE: typing.Final = 0.1
REPORT_FADE_S: typing.Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One host of the host list."""

    name: str
    host: str
    port: int
    place: str
    is_draining: bool


class TargetView:
    """One target as this entry sees it; times are in seconds on the entry's clock."""

    __slots__ = (
        "ejected_until",
        "ejection_count",
        "consecutive_failures",
        "in_flight",
        "incarnation",
        "is_draining",
        "is_connected",
        "slow_start_at",
        "name",
        "place",
        "reported_at",
        "others_in_flight",
        "service",
        "slots",
        "durations",
        "uptime_received_at",
        "uptime_ms",
        "config_version",
        "queue_wait_s",
        "weight",
    )

    def __init__(self, name: str, service: str, place: str, weight: float) -> None:
        self.name = name
        self.service = service
        self.place = place
        self.weight = weight
        self.is_connected = False
        self.is_draining = False
        self.slow_start_at = 0.0
        self.incarnation = 0
        self.in_flight = 0
        self.others_in_flight = 0.0
        self.reported_at = -1e9
        self.config_version = 0
        self.queue_wait_s = 0.0
        self.slots = 1
        self.uptime_ms = 0
        self.uptime_received_at = 0.0
        self.ejected_until = -1e9
        self.ejection_count = 0
        self.consecutive_failures = 0
        self.durations = estimate.DurationEstimate()

    def mark_connected(self, now: float, incarnation: int) -> None:
        """Record a connection to the target's sidecar.

        A new incarnation is a sidecar that started or restarted; it begins a slow
        start.
        """
        if incarnation != self.incarnation:
            self.slow_start_at = now
            self.consecutive_failures = 0
        self.is_connected = True
        self.incarnation = incarnation

    def mark_disconnected(self) -> None:
        """Record that the connection to the sidecar was lost."""
        self.is_connected = False

    def update_from_heartbeat(
        self, now: float, uptime_ms: int, load: int, queue_wait_s: float, draining: bool
    ) -> None:
        """Store the state that a heartbeat reports.

        The entry's own calls are subtracted from the load, to count them only once.
        """
        self.uptime_ms = uptime_ms
        self.uptime_received_at = now
        self.others_in_flight = max(load - self.in_flight, 0)
        self.reported_at = now
        self.queue_wait_s = queue_wait_s
        self.is_draining = draining

    def estimate_uptime_ms(self, now: float) -> int:
        """Return the sidecar's uptime, estimated from its last heartbeat.

        The estimate is behind the true uptime by the heartbeat's network delay.
        """
        return self.uptime_ms + int((now - self.uptime_received_at) * 1000)

    def is_usable(self, now: float) -> bool:
        """Return whether the target may receive new calls."""
        return (
            self.is_connected
            and not self.is_draining
            and self.weight > 0
            and self.ejected_until <= now
        )

    def compute_load(self, now: float) -> float:
        """Return the calls at the target for each unit of weight.

        The entry's own calls in flight count in full. Other entries' calls are as old
        as the last report, so their weight falls to zero over ``REPORT_FADE_S``.
        """
        report_age_s = now - self.reported_at
        report_weight = max(0.0, 1.0 - report_age_s / REPORT_FADE_S)
        load = self.in_flight + self.others_in_flight * report_weight
        return load / max(self.weight * self._compute_slow_start_share(now), 1e-6)

    def _compute_slow_start_share(self, now: float) -> float:
        """Return the share of its weight that a newly started target gets."""
        age_s = now - self.slow_start_at
        if age_s >= SLOW_START_S:
            return 1.0
        return max(SLOW_START_MIN_SHARE, age_s / SLOW_START_S)


class Fleet:
    """All targets that this entry has views of, by service."""

    __slots__ = ("_by_service", "targets")

    def __init__(self) -> None:
        self.targets: dict[str, TargetView] = {}
        self._by_service: dict[str, list[TargetView]] = {}

    def add(self, view: TargetView) -> None:
        """Add a target under its service."""
        self.targets[view.name] = view
        self._by_service.setdefault(view.service, []).append(view)

    def remove(self, name: str) -> None:
        """Remove a target, if it is present."""
        view = self.targets.pop(name, None)
        if view is not None:
            self._by_service[view.service].remove(view)

    def move_to_service(self, view: TargetView, service: str) -> None:
        """Move a target to the service that the table assigns it to."""
        if view.service != service:
            self._by_service[view.service].remove(view)
            view.service = service
            self._by_service.setdefault(service, []).append(view)

    def list_service_targets(self, service: str) -> list[TargetView]:
        """Return the targets of a service, in any state."""
        return self._by_service.get(service, [])

    def list_usable(self, now: float, service: str) -> list[TargetView]:
        """Return the targets that may receive new calls.

        If ejection leaves none, the ejected targets are returned.
        """
        views = self.list_service_targets(service)
        usable = [view for view in views if view.is_usable(now)]
        if usable:
            return usable
        return [
            v for v in views if v.is_connected and not v.is_draining and v.weight > 0
        ]

    def record_success(self, now: float, view: TargetView, duration_s: float) -> None:
        """Record an answer's duration and eject the target if it is far too slow.

        The mean duration is compared with the median of the peers' means, if at least
        two peers have enough samples.
        """
        view.consecutive_failures = 0
        view.durations.add(duration_s)
        if view.durations.count < MIN_DURATION_SAMPLES:
            return
        peers = [
            other.durations.mean_s
            for other in self.list_service_targets(view.service)
            if other is not view and other.durations.count >= MIN_DURATION_SAMPLES
        ]
        if len(peers) < 2:
            return
        if view.durations.mean_s > SLOWNESS_RATIO_TO_EJECT * statistics.median(peers):
            self._eject(now, view)

    def record_failure(self, now: float, view: TargetView) -> None:
        """Record a failed attempt; consecutive failures eject the target."""
        view.consecutive_failures += 1
        if view.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT:
            self._eject(now, view)

    def _eject(self, now: float, view: TargetView) -> None:
        """Eject a target, unless more than half of the connected ones would be."""
        peers = [v for v in self.list_service_targets(view.service) if v.is_connected]
        ejected = sum(1 for v in peers if v.ejected_until > now)
        if view.ejected_until > now or (ejected + 1) > len(peers) * MAX_EJECTED_SHARE:
            return
        ejection_s = min(EJECTION_BASE_S * 2**view.ejection_count, EJECTION_MAX_S)
        view.ejection_count += 1
        view.ejected_until = now + ejection_s
        view.consecutive_failures = 0
        view.durations = estimate.DurationEstimate()
