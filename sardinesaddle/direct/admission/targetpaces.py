"""Lets targets that have just started or recovered get requests gradually.

A pace is kept for each such target; ``targetpace`` decides on its window. Entries
exchange the windows in their heartbeats. Each takes its part by its own position among
the entries, so that the parts add up to the window without a message. The positions
begin at the entry whose subset has the target, which is the one that prefers it.
Lock-step groups have limits of their own (``targetpacegroups``).
See ``docs/design/ramp-up.md``.
"""

import collections.abc
import dataclasses
import functools
import math
import statistics
import time
import typing

import loguru

from sardinesaddle.direct import (
    catalog,
    limitshares,
    messages,
    nodemetrics,
    targetstate,
)
from sardinesaddle.direct.admission import (
    admissionpart,
    sendconstraint,
    targetpace,
    targetpacegroups,
)

# Targets that an entry learns of within this time of its start are served by others.
SETTLE_S: typing.Final = 5.0
# An entry that has just started may not know the others yet, and so not its position.
UNKNOWN_POSITION_S: typing.Final = 2.0
# A target that started this recently ramps up even if an entry learns of it at its own
# start; as long as the longest pace of a target that is not slow.
RECENT_START_MS: typing.Final = 1000.0 * targetpace.MAX_PACE_S
OUTAGE_S: typing.Final = 3.0  # without a report, several times REPORT_TTL_S
# Silence of a larger share of all targets is a fault of this entry's own links.
OWN_FAULT_SHARE: typing.Final = 0.5
SUSPENDED_S: typing.Final = 1.5  # between two refreshes, which are 0.25 s apart
# A pace begins this early before a rest or ejection ends, more than one refresh.
RETURN_LEAD_S: typing.Final = 0.3
# One entry whose own link fails must not make others restrain a target all the time.
EJECTION_PERIOD_S: typing.Final = 10.0
FAILURE_MEMORY_S: typing.Final = 60.0  # of targets that failed while they ramped up
ENTRY_MEMORY_S: typing.Final = 60.0  # in which a lost entry keeps its position
# Ended paces are remembered until every record of them is too old to be taken over.
ENDED_TTL_S: typing.Final = targetpace.MAX_SLOW_PACE_S
ENDED_SENT_S: typing.Final = 10.0  # gossip reaches 370 entries in about 1 s
MAX_PENDING: typing.Final = 1000  # records of targets that this entry does not know
MAX_RECORDS: typing.Final = 64  # in an update: 1.2 KB at 19 bytes
MIN_REFERENCE_SAMPLES: typing.Final = 3
USUAL_EWMA_WEIGHT: typing.Final = 0.1  # of the newest response of a warm target
MAX_COUNT: typing.Final = 2**31
MAX_WINDOW: typing.Final = 2**20

RAMP_UP: typing.Final = sendconstraint.Verdict(
    sendconstraint.Decision.LATER, "ramp_up", math.inf
)


@dataclasses.dataclass(slots=True)
class UsualLatency:
    """The mean latency of a target while it is warm, and what it is a mean of."""

    service: str
    latency_s: float
    sample_count: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class EndedPace:
    """The version in which a pace ended, and when."""

    version: tuple[int, int]
    ended_at: float


class TargetPaces(admissionpart.AdmissionPart):
    """The paces of an entry; ``is_available`` is asked for evacuations."""

    name: typing.ClassVar[str] = "ramp_up"

    def __init__(
        self,
        host: str,
        is_available: collections.abc.Callable[
            [targetstate.Target], bool
        ] = lambda target: True,
        read_wall_s: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self._host = host
        self._is_available = is_available
        self._read_wall_s = read_wall_s
        self._started_at: float | None = None
        self._refreshed_at: float | None = None
        self._lockstep_services: frozenset[str] = frozenset()
        self._opened_groups = targetpacegroups.OpenedGroups()
        # By incarnation.
        self._paces: dict[str, targetpace.TargetPace] = {}
        self._ended: dict[str, EndedPace] = {}
        self._names: dict[int, str] = {}
        self._pending: dict[int, messages.PaceRecord] = {}
        # By target identifier: incarnation, warm-up time, service.
        self._targets: dict[str, targetstate.Target] = {}
        # By service, sorted; computed when needed.
        self._ready: dict[str, dict[str, int]] = {}
        self._incarnations: dict[str, str] = {}
        self._warmups: dict[str, float] = {}
        self._usual: dict[str, UsualLatency] = {}
        self._references: dict[str, float] = {}
        # By service, the incarnations that do not ramp up.
        self._warm: dict[str, set[str]] = {}
        # By incarnation: when it is returned to, and since when it does not report.
        self._returns: dict[str, float] = {}
        self._silent: set[str] = set()
        self._unavailable: set[str] = set()
        self._ejected_at: dict[str, float] = {}
        # By target identifier, which the next incarnation keeps.
        self._failed_at: dict[str, float] = {}
        self._entries: list[str] = [host]
        self._own_index = 0
        self._seen_entries: dict[str, float] = {}

    def list_constraints(self) -> list[sendconstraint.SendConstraint]:
        """Return the constraint that keeps to this entry's parts."""
        return [PaceConstraint(self)]

    # What requests ask.

    def may_send(self, now: float, target: targetstate.Target) -> bool:
        """Return whether this entry's part of the target's window has room."""
        if target.registration.service in self._lockstep_services:
            return self._opened_groups.may_send(now, target)
        pace = self._paces.get(target.registration.incarnation)
        if pace is None:
            return True
        if target.own_in_flight >= self._get_part(now, target, pace):
            return False
        if not target.has_fresh_report(now):
            return True
        return target.estimate_in_flight(now, 1) < self._get_window(target, pace)

    def get_window(self, incarnation: str) -> float | None:
        """Return the window of a target, None if it is not restrained."""
        pace = self._paces.get(incarnation)
        return None if pace is None else pace.window

    def get_part(self, now: float, target: targetstate.Target) -> int | None:
        """Return this entry's part of a window, None if it is not restrained."""
        pace = self._paces.get(target.registration.incarnation)
        return None if pace is None else self._get_part(now, target, pace)

    def _get_window(
        self, target: targetstate.Target, pace: targetpace.TargetPace
    ) -> float:
        """Return the window in force.

        If no target of the service is warm, each entry that holds a part has a request
        at least, as the others cannot serve instead.
        """
        if self._warm.get(target.registration.service):
            return pace.window
        _, holders = self._get_position(target)
        return max(pace.window, holders)

    def _get_part(
        self, now: float, target: targetstate.Target, pace: targetpace.TargetPace
    ) -> int:
        """Return this entry's part of the window in force."""
        is_cold = not self._warm.get(target.registration.service)
        started_at = now if self._started_at is None else self._started_at
        if now - started_at < UNKNOWN_POSITION_S and not is_cold:
            return 0
        position, holders = self._get_position(target)
        return targetpace.compute_part(
            self._get_window(target, pace), position, holders
        )

    # What begins a pace.

    def on_catalog(self, now: float, current: catalog.Catalog) -> None:
        """Learn which services have lock-step groups."""
        self._lockstep_services = self._opened_groups.on_catalog(current)

    def on_registered(self, now: float, target: targetstate.Target) -> None:
        """Begin a pace for a new incarnation and for one that turned cold."""
        if self._started_at is None:
            self._started_at = now
        registration = target.registration
        previous = self._incarnations.get(registration.target_id)
        self._names[limitshares.compute_limit_id(registration.incarnation)] = (
            registration.incarnation
        )
        self._targets[registration.target_id] = target
        self._ready.clear()
        self._incarnations[registration.target_id] = registration.incarnation
        was_cold = self._warmups.get(registration.target_id, 0.0) > 0.0
        self._warmups[registration.target_id] = registration.warmup_s
        if registration.service in self._lockstep_services:
            return
        if previous == registration.incarnation:
            if registration.warmup_s > 0.0 and not was_cold:
                self._begin(now, target, "cold")
            return
        # An incarnation that ended while it ramped up may have been overloaded.
        failed_at = self._failed_at.get(registration.target_id, -math.inf)
        failed = now - failed_at < FAILURE_MEMORY_S
        if previous is not None:
            self._forget(previous)
        is_known_to_others = now - self._started_at < SETTLE_S and previous is None
        if not is_known_to_others or self._is_recent(registration):
            self._begin(now, target, "started", is_careful=failed)
        else:
            warm = self._warm.setdefault(registration.service, set())
            warm.add(registration.incarnation)
            self._adopt_pending(now, target)

    def _is_recent(self, registration: catalog.TargetRegistration) -> bool:
        """Return whether a target states that it started or is cold just now."""
        if registration.warmup_s > 0.0:
            return True
        age_ms = self._read_wall_s() * 1000.0 - registration.started_ms
        return registration.started_ms > 0 and age_ms < RECENT_START_MS

    def on_report(
        self, now: float, target: targetstate.Target, report: messages.Report
    ) -> None:
        """Begin a pace after an outage; limit a group that opened."""
        registration = target.registration
        if not report.group or registration.service not in self._lockstep_services:
            if report.is_alive and registration.incarnation in self._silent:
                self._silent.discard(registration.incarnation)
                self._begin(now, target, "outage")
            return
        if self._started_at is None:
            self._started_at = now
        is_settled = now - self._started_at >= SETTLE_S
        has_just_opened = is_settled or self._is_recent(registration)
        self._opened_groups.on_report(now, target, report, has_just_opened)

    def on_rest(self, now: float, incarnation: str, rest_s: float) -> None:
        """Begin a pace when a rest ends."""
        self._returns[incarnation] = max(
            self._returns.get(incarnation, 0.0), now + rest_s
        )

    def begin(self, now: float, target: targetstate.Target, cause: str) -> None:
        """Begin a pace for a cause that another component found."""
        self._begin(now, target, cause)

    def _begin(
        self,
        now: float,
        target: targetstate.Target,
        cause: str,
        is_careful: bool = False,
    ) -> None:
        """Begin a pace, unless one is in force or others have ended it already."""
        key = target.registration.incarnation
        if target.registration.service in self._lockstep_services or key in self._paces:
            return
        slots = max(target.registration.slots, 1)
        ended = self._ended.pop(key, None)
        self._discard_warm(target)
        is_cold = not self._warm.get(target.registration.service)
        pace = targetpace.TargetPace(
            1 if ended is None else ended.version[0] + 1,
            targetpace.make_first_window(slots, is_cold),
            now,
            slots,
            shrink_count=int(is_careful),
            grown_at=now,
        )
        self._add(now, target, pace)
        loguru.logger.info(
            "event=ramp_up_begins target={} service={} cause={} window={:.1f}"
            " begun={} careful={}",
            key,
            target.registration.service,
            cause,
            pace.window,
            pace.begun,
            is_careful,
        )

    def _add(
        self, now: float, target: targetstate.Target, pace: targetpace.TargetPace
    ) -> None:
        """Put a pace in force, with what is known of it from other entries."""
        key = target.registration.incarnation
        self._paces[key] = pace
        self._discard_warm(target)
        pending = self._pending.pop(limitshares.compute_limit_id(key), None)
        if pending is not None:
            self._merge(now, key, pending)

    def _discard_warm(self, target: targetstate.Target) -> None:
        """Note that a target ramps up."""
        warm = self._warm.get(target.registration.service, set())
        warm.discard(target.registration.incarnation)

    def _find_warm(self) -> None:
        """Find the targets of each service that do not ramp up."""
        self._warm = {}
        for target in self._targets.values():
            incarnation = target.registration.incarnation
            if incarnation not in self._paces:
                warm = self._warm.setdefault(target.registration.service, set())
                warm.add(incarnation)

    # What a target shows.

    def on_first_event(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
        first_event_s: float,
    ) -> None:
        """Let a window grow, or note how long a warm target usually takes."""
        incarnation = target.registration.incarnation
        pace = self._paces.get(incarnation)
        if pace is None:
            self._note_usual(target, first_event_s)
            return
        total = None
        if target.has_fresh_report(now):
            total = target.estimate_in_flight(now, 1)
        pace.on_answer(
            now,
            first_event_s,
            self._get_reference(target),
            self._get_part(now, target, pace),
            target.own_in_flight,
            total,
        )
        if pace.is_over:
            self._end(now, incarnation)

    def _note_usual(self, target: targetstate.Target, latency_s: float) -> None:
        """Update the usual latency of a warm target."""
        usual = self._usual.get(target.target_id)
        if usual is None:
            self._usual[target.target_id] = UsualLatency(
                target.registration.service, latency_s
            )
            return
        usual.sample_count += 1
        usual.latency_s += USUAL_EWMA_WEIGHT * (latency_s - usual.latency_s)

    def _get_reference(self, target: targetstate.Target) -> float | None:
        """Return the median of the warm targets of the service, or its own usual."""
        reference = self._references.get(target.registration.service)
        if reference is None and target.target_id in self._usual:
            return self._usual[target.target_id].latency_s
        return reference

    def on_outcome(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
        outcome: admissionpart.SendOutcome,
    ) -> None:
        """Shrink a window after a refusal or failure."""
        key = target.registration.incarnation
        pace = self._paces.get(key)
        if pace is None or target.has_stale_address:
            return
        results = admissionpart.SendResult
        is_failure = outcome.result in (results.BROKEN, results.UNREACHABLE)
        if not is_failure and outcome.result is not results.REFUSED:
            return
        before = pace.window
        if is_failure:
            self._failed_at[target.target_id] = now
        if pace.shrink(now, now - outcome.duration_s, is_failure):
            log_decrease(key, outcome.result.value, before, pace)

    # Periodic work.

    def refresh(
        self,
        now: float,
        entries: admissionpart.EntryView,
        targets: collections.abc.Collection[targetstate.Target],
    ) -> None:
        """Find targets that return, place the entries, and end paces."""
        if self._started_at is None:
            self._started_at = now
        was_suspended = (
            self._refreshed_at is not None and now - self._refreshed_at > SUSPENDED_S
        )
        self._refreshed_at = now
        known = {target.target_id: target for target in targets}
        if known.keys() != self._targets.keys():
            self._ready.clear()
        self._targets = known
        self._forget_gone(now)
        self._update_entries(now, entries)
        if not was_suspended:
            self._find_silent(now)
        self._find_returning(now)
        for key, pace in list(self._paces.items()):
            pace.refresh(now)
            if pace.is_over:
                self._end(now, key)
        self._opened_groups.refresh(now, {target.group for target in targets})
        services = {
            target.registration.service
            for target in targets
            if target.registration.incarnation in self._paces
        }
        self._find_warm()
        self._compute_references(services)

    def _forget_gone(self, now: float) -> None:
        """Drop what is kept of targets that are no longer registered."""
        incarnations = {t.registration.incarnation for t in self._targets.values()}
        for target_id in self._incarnations.keys() - self._targets.keys():
            self._forget(self._incarnations.pop(target_id))
            self._warmups.pop(target_id, None)
            self._usual.pop(target_id, None)
        for incarnation in self._paces.keys() - incarnations:
            self._forget(incarnation)
        for kept in (self._returns, self._ejected_at):
            for incarnation in kept.keys() - incarnations:
                del kept[incarnation]
        for target_id, failed_at in list(self._failed_at.items()):
            if now - failed_at >= FAILURE_MEMORY_S:
                del self._failed_at[target_id]
        self._silent &= incarnations
        self._unavailable &= incarnations

    def _forget(self, key: str) -> None:
        """Drop a pace whose target is gone."""
        self._paces.pop(key, None)
        self._ended.pop(key, None)
        self._names.pop(limitshares.compute_limit_id(key), None)

    def _update_entries(self, now: float, view: admissionpart.EntryView) -> None:
        """Update the entries among which the windows are divided.

        An entry that reaches less than half of those that it knew may be cut off while
        the others serve. It keeps the positions that it had.
        """
        alive = {*view.alive, self._host}
        for host in {*alive, *view.contacted}:
            if host in alive or host not in self._seen_entries:
                self._seen_entries[host] = now
        self._seen_entries = {
            host: seen_at
            for host, seen_at in self._seen_entries.items()
            if now - seen_at < ENTRY_MEMORY_S
        }
        is_cut_off = 2 * len(alive) < len(self._seen_entries)
        members = set(self._seen_entries) if is_cut_off else alive
        if members != set(self._entries):
            self._entries = sorted(members, key=make_sort_key)
            self._own_index = self._entries.index(self._host)

    def _find_silent(self, now: float) -> None:
        """Find targets whose sidecars stopped to report."""
        reporting = [t for t in self._targets.values() if t.report is not None]
        silent = {
            target.registration.incarnation
            for target in reporting
            if now - target.reported_at >= OUTAGE_S
            or (target.report is not None and not target.report.is_alive)
        }
        if len(silent) > max(OWN_FAULT_SHARE * len(reporting), 1):
            silent = set()
        self._silent = silent

    def _find_returning(self, now: float) -> None:
        """Begin paces of targets whose rest, ejection or evacuation ends."""
        for target in self._targets.values():
            incarnation = target.registration.incarnation
            if not self._is_available(target):
                self._unavailable.add(incarnation)
            elif incarnation in self._unavailable:
                self._unavailable.discard(incarnation)
                self._begin(now, target, "evacuation")
            ejected_at = self._ejected_at.get(incarnation, -math.inf)
            if (
                target.ejected_until > now
                and now - ejected_at >= EJECTION_PERIOD_S
                and incarnation not in self._returns
            ):
                self._ejected_at[incarnation] = now
                self._returns[incarnation] = target.ejected_until
            returns_at = self._returns.get(incarnation)
            if returns_at is not None and returns_at - now <= RETURN_LEAD_S:
                del self._returns[incarnation]
                self._begin(now, target, "returns")

    def _get_position(self, target: targetstate.Target) -> tuple[int, int]:
        """Return this entry's position for a target, and how many hold a part.

        Entries and targets are paired like the subsets of the target pool.
        """
        indices = self._list_ready(target.registration.service)
        count = len(self._entries)
        holders = targetpace.compute_holder_count(count, len(indices))
        index = indices.get(target.registration.incarnation)
        if index is None:
            return -1, holders
        first = index * count // len(indices)
        return (self._own_index - first) % count, holders

    def _list_ready(self, service: str) -> dict[str, int]:
        """Return the indices of the ready targets of a service by address."""
        ready = self._ready.get(service)
        if ready is None:
            ordered = sorted(
                (
                    target
                    for target in self._targets.values()
                    if target.registration.service == service
                    and target.registration.state is catalog.TargetState.READY
                ),
                key=lambda target: (
                    make_sort_key(target.registration.host),
                    target.registration.port,
                ),
            )
            ready = {t.registration.incarnation: i for i, t in enumerate(ordered)}
            self._ready[service] = ready
        return ready

    def _compute_references(self, services: collections.abc.Iterable[str]) -> None:
        """Compute the median latency of the warm targets of services."""
        self._references = {}
        samples: dict[str, list[float]] = {service: [] for service in services}
        if not samples:
            return
        for target_id, usual in self._usual.items():
            if usual.service not in samples:
                continue
            if self._incarnations.get(target_id) in self._paces:
                continue
            if usual.sample_count >= MIN_REFERENCE_SAMPLES:
                samples[usual.service].append(usual.latency_s)
        for service, latencies in samples.items():
            if latencies:
                self._references[service] = statistics.median(latencies)

    def _end(self, now: float, key: str) -> None:
        """End a pace; the target is no longer restrained."""
        pace = self._paces.pop(key)
        self._ended[key] = EndedPace(pace.version, now)
        loguru.logger.info(
            "event=ramp_up_ends target={} reason={} window={:.1f} seconds={:.2f}"
            " decreases={}",
            key,
            "" if pace.end_reason is None else pace.end_reason.value,
            pace.window,
            now - pace.changed_at,
            pace.shrink_count,
        )

    # Messages of other entries.

    def make_update(
        self, now: float, host: str, is_reply: bool, update: messages.AdmissionUpdate
    ) -> None:
        """Add the paces in force, and those that ended a short time ago."""
        records = [
            messages.PaceRecord(
                limitshares.compute_limit_id(key),
                pace.begun,
                pace.shrink_count,
                max(int(pace.window), 1),
                int((now - pace.changed_at) * 1000.0),
            )
            for key, pace in self._paces.items()
        ]
        for key, ended in list(self._ended.items()):
            age_s = now - ended.ended_at
            if age_s >= ENDED_TTL_S:
                del self._ended[key]
            elif age_s < ENDED_SENT_S:
                records.append(
                    messages.PaceRecord(
                        limitshares.compute_limit_id(key),
                        *ended.version,
                        0,
                        int(age_s * 1000.0),
                    )
                )
        if records:
            # More than fit are sent in turn, as the order changes with each update.
            start = int(now * 4.0) * MAX_RECORDS % len(records)
            update.paces = (records[start:] + records[:start])[:MAX_RECORDS]

    def on_message(
        self,
        now: float,
        peer: admissionpart.PeerMessage,
        update: messages.AdmissionUpdate,
    ) -> None:
        """Take over the paces of another entry that are newer."""
        for record in update.paces or ():
            if not is_valid(record):
                loguru.logger.warning(
                    "event=ramp_up_record_invalid source={} record={!r:.120}"
                    " remedy='run the same release on all entries'",
                    peer.host,
                    record,
                )
                continue
            self._on_record(now, record)

    def _on_record(self, now: float, record: messages.PaceRecord) -> None:
        """Apply one record of another entry."""
        key = self._names.get(record.key)
        if key is not None and key in self._paces:
            self._merge(now, key, record)
            return
        version = record.begun, record.shrink_count
        ended = self._ended.get(key or "")
        if ended is not None and version <= ended.version:
            return
        if record.age_ms >= ENDED_TTL_S * 1000.0:
            return
        if key is None:
            if len(self._pending) >= MAX_PENDING:
                self._pending.pop(next(iter(self._pending)))
            self._pending[record.key] = record
            return
        self._adopt(now, key, record, self._find_target(key))

    def _find_target(self, incarnation: str) -> targetstate.Target | None:
        """Return the target of an incarnation, None if it is not registered."""
        targets = self._targets.values()
        return next(
            (t for t in targets if t.registration.incarnation == incarnation), None
        )

    def _adopt_pending(self, now: float, target: targetstate.Target) -> None:
        """Take over a pace that another entry told of before the target was known."""
        key = target.registration.incarnation
        record = self._pending.pop(limitshares.compute_limit_id(key), None)
        if record is not None and record.window:
            self._adopt(now, key, record, target)

    def _adopt(
        self,
        now: float,
        key: str,
        record: messages.PaceRecord,
        target: targetstate.Target | None,
    ) -> None:
        """Begin the pace that another entry began, or note that it is over."""
        version = record.begun, record.shrink_count
        if not record.window:
            self._ended[key] = EndedPace(version, now)
            return
        if target is None:
            return
        self._ended.pop(key, None)
        pace = targetpace.TargetPace(
            record.begun,
            float(record.window),
            now - record.age_ms / 1000.0,
            max(target.registration.slots, 1),
            record.shrink_count,
            grown_at=now,
        )
        self._add(now, target, pace)
        loguru.logger.info(
            "event=ramp_up_begins target={} service={} cause=peer window={:.1f}"
            " begun={} decreases={}",
            key,
            target.registration.service,
            pace.window,
            pace.begun,
            pace.shrink_count,
        )

    def _merge(self, now: float, key: str, record: messages.PaceRecord) -> None:
        """Merge another entry's record into a pace in force."""
        pace = self._paces[key]
        before = pace.window
        has_shrunk = pace.merge(
            record.begun,
            record.shrink_count,
            float(record.window),
            now - record.age_ms / 1000.0,
        )
        if pace.is_over:
            self._end(now, key)
        elif has_shrunk and pace.window < before:
            log_decrease(key, "peer", before, pace)

    def write_metrics(
        self, now: float, entry_metrics: nodemetrics.EntryMetrics
    ) -> None:
        """Set the gauges of windows and parts."""
        windows, parts = {}, {}
        for target in self._targets.values():
            incarnation = target.registration.incarnation
            pace = self._paces.get(incarnation)
            limit = self._opened_groups.get_limit(target)
            if pace is not None:
                windows[incarnation] = pace.window
                parts[incarnation] = self._get_part(now, target, pace)
            elif limit is not None:
                windows[incarnation], parts[incarnation] = float(limit), limit
        entry_metrics.set_paces(windows, parts)


class PaceConstraint(sendconstraint.SendConstraint):
    """Keeps to this entry's part of the window of a target that ramps up."""

    name: typing.ClassVar[str] = "ramp_up"

    def __init__(self, paces: TargetPaces) -> None:
        self._paces = paces

    def check(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> sendconstraint.Verdict:
        """Return whether the entry's part has room for another request."""
        if self._paces.may_send(now, target):
            return sendconstraint.ALLOWED
        return RAMP_UP


def is_valid(record: messages.PaceRecord) -> bool:
    """Return whether the numbers of a record are in their ranges."""
    return (
        1 <= record.begun <= MAX_COUNT
        and 0 <= record.shrink_count <= MAX_COUNT
        and 0 <= record.window <= MAX_WINDOW
        and record.age_ms >= 0
    )


def log_decrease(
    key: str, cause: str, before: float, pace: targetpace.TargetPace
) -> None:
    """Log that a window shrank."""
    loguru.logger.info(
        "event=ramp_up_decrease target={} cause={} window={:.1f} before={:.1f}"
        " decreases={}",
        key,
        cause,
        pace.window,
        before,
        pace.shrink_count,
    )


@functools.lru_cache(maxsize=8192)
def make_sort_key(host: str) -> tuple[tuple[int, str], ...]:
    """Return a key that sorts IP addresses by the values of their parts."""
    return tuple(
        (int(part), "") if part.isdigit() else (0, part) for part in host.split(".")
    )
