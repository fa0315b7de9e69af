"""Lets targets that have just started or recovered get requests gradually.

A pace is kept for each such target; ``targetpace`` decides on its window. Entries
exchange the windows in their heartbeats. Each takes its part by its own position among
the entries, so that the parts add up to the window without a message. The positions
begin at the entry whose subset has the target, which is the one that prefers it.
Lock-step groups have limits of their own (``targetpacegroups``).
See ``docs/design/ramp-up.md``.
"""

import collections.abc
import math
import time
import typing

import loguru

from sardinesaddle.direct import (
    catalog,
    messages,
    nodemetrics,
    targetstate,
)
from sardinesaddle.direct.admission import (
    admissionpart,
    sendconstraint,
    targetpace,
    targetpacegroups,
    targetpacelatencies,
    targetpacepositions,
    targetpacereturns,
    targetpacestore,
)

# Targets that an entry learns of within this time of its start are served by others.
SETTLE_S: typing.Final = 5.0
# An entry that has just started may not know the others yet, and so not its position.
UNKNOWN_POSITION_S: typing.Final = 2.0
# A target that started this recently ramps up even if an entry learns of it at its own
# start; as long as the longest pace of a target that is not slow.
RECENT_START_MS: typing.Final = 1000.0 * targetpace.MAX_PACE_S
SUSPENDED_S: typing.Final = 1.5  # between two refreshes, which are 0.25 s apart
FAILURE_MEMORY_S: typing.Final = 60.0  # of targets that failed while they ramped up

RAMP_UP: typing.Final = sendconstraint.Verdict(
    sendconstraint.Decision.LATER, "ramp_up", math.inf
)


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
        self._read_wall_s = read_wall_s
        self._started_at: float | None = None
        self._refreshed_at: float | None = None
        self._lockstep_services: frozenset[str] = frozenset()
        self._opened_groups = targetpacegroups.OpenedGroups()
        self._store = targetpacestore.PaceStore()
        self._positions = targetpacepositions.EntryPositions(host)
        self._returning = targetpacereturns.ReturningTargets(is_available)
        self._usual = targetpacelatencies.UsualLatencies()
        # By target identifier: incarnation, warm-up time, service.
        self._targets: dict[str, targetstate.Target] = {}
        self._incarnations: dict[str, str] = {}
        self._warmups: dict[str, float] = {}
        # By target identifier, which the next incarnation keeps.
        self._failed_at: dict[str, float] = {}

    def list_constraints(self) -> list[sendconstraint.SendConstraint]:
        """Return the constraint that keeps to this entry's parts."""
        return [PaceConstraint(self)]

    # What requests ask.

    def may_send(self, now: float, target: targetstate.Target) -> bool:
        """Return whether this entry's part of the target's window has room."""
        if target.registration.service in self._lockstep_services:
            return self._opened_groups.may_send(now, target)
        pace = self._store.paces.get(target.registration.incarnation)
        if pace is None:
            return True
        if target.own_in_flight >= self._get_part(now, target, pace):
            return False
        if not target.has_fresh_report(now):
            return True
        return target.estimate_in_flight(now, 1) < self._get_window(target, pace)

    def get_window(self, incarnation: str) -> float | None:
        """Return the window of a target, None if it is not restrained."""
        pace = self._store.paces.get(incarnation)
        return None if pace is None else pace.window

    def get_part(self, now: float, target: targetstate.Target) -> int | None:
        """Return this entry's part of a window, None if it is not restrained."""
        pace = self._store.paces.get(target.registration.incarnation)
        return None if pace is None else self._get_part(now, target, pace)

    def _get_window(
        self, target: targetstate.Target, pace: targetpace.TargetPace
    ) -> float:
        """Return the window in force.

        If no target of the service is warm, each entry that holds a part has a request
        at least, as the others cannot serve instead.
        """
        if not self._store.is_service_cold(target.registration.service):
            return pace.window
        _, holders = self._positions.get_position(target, self._targets)
        return max(pace.window, holders)

    def _get_part(
        self, now: float, target: targetstate.Target, pace: targetpace.TargetPace
    ) -> int:
        """Return this entry's part of the window in force."""
        is_cold = self._store.is_service_cold(target.registration.service)
        started_at = now if self._started_at is None else self._started_at
        if now - started_at < UNKNOWN_POSITION_S and not is_cold:
            return 0
        position, holders = self._positions.get_position(target, self._targets)
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
        self._store.add_name(registration.incarnation)
        self._targets[registration.target_id] = target
        self._positions.invalidate()
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
            self._store.forget(previous)
        is_known_to_others = now - self._started_at < SETTLE_S and previous is None
        if not is_known_to_others or self._is_recent(registration):
            self._begin(now, target, "started", is_careful=failed)
        else:
            self._store.add_warm(target)
            self._store.adopt_pending(now, target)

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
            if report.is_alive and self._returning.end_silence(
                registration.incarnation
            ):
                self._begin(now, target, "outage")
            return
        if self._started_at is None:
            self._started_at = now
        is_settled = now - self._started_at >= SETTLE_S
        has_just_opened = is_settled or self._is_recent(registration)
        self._opened_groups.on_report(now, target, report, has_just_opened)

    def on_rest(self, now: float, incarnation: str, rest_s: float) -> None:
        """Begin a pace when a rest ends."""
        self._returning.on_rest(now, incarnation, rest_s)

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
        if target.registration.service not in self._lockstep_services:
            self._store.begin(now, target, cause, is_careful)

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
        pace = self._store.paces.get(incarnation)
        if pace is None:
            self._usual.note(target, first_event_s)
            return
        total = None
        if target.has_fresh_report(now):
            total = target.estimate_in_flight(now, 1)
        pace.on_answer(
            now,
            first_event_s,
            self._usual.get_reference(target),
            self._get_part(now, target, pace),
            target.own_in_flight,
            total,
        )
        if pace.is_over:
            self._store.end(now, incarnation)

    def on_outcome(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
        outcome: admissionpart.SendOutcome,
    ) -> None:
        """Shrink a window after a refusal or failure."""
        key = target.registration.incarnation
        pace = self._store.paces.get(key)
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
            targetpacestore.log_decrease(key, outcome.result.value, before, pace)

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
            self._positions.invalidate()
        self._targets = known
        self._forget_gone(now)
        self._positions.update_entries(now, entries)
        if not was_suspended:
            self._returning.find_silent(now, targets)
        for target, cause in self._returning.find_returning(now, targets):
            self._begin(now, target, cause)
        for key, pace in list(self._store.paces.items()):
            pace.refresh(now)
            if pace.is_over:
                self._store.end(now, key)
        self._opened_groups.refresh(now, {target.group for target in targets})
        services = {
            target.registration.service
            for target in targets
            if target.registration.incarnation in self._store.paces
        }
        self._store.find_warm(targets)
        self._usual.compute_references(
            services,
            lambda target_id: self._incarnations.get(target_id) in self._store.paces,
        )

    def _forget_gone(self, now: float) -> None:
        """Drop what is kept of targets that are no longer registered."""
        incarnations = {t.registration.incarnation for t in self._targets.values()}
        for target_id in self._incarnations.keys() - self._targets.keys():
            self._store.forget(self._incarnations.pop(target_id))
            self._warmups.pop(target_id, None)
            self._usual.forget(target_id)
        for incarnation in self._store.paces.keys() - incarnations:
            self._store.forget(incarnation)
        self._returning.keep_only(incarnations)
        for target_id, failed_at in list(self._failed_at.items()):
            if now - failed_at >= FAILURE_MEMORY_S:
                del self._failed_at[target_id]

    # Messages of other entries.

    def make_update(
        self, now: float, host: str, is_reply: bool, update: messages.AdmissionUpdate
    ) -> None:
        """Add the paces in force, and those that ended a short time ago."""
        update.paces = self._store.make_records(now)

    def on_message(
        self,
        now: float,
        peer: admissionpart.PeerMessage,
        update: messages.AdmissionUpdate,
    ) -> None:
        """Take over the paces of another entry that are newer."""
        for record in update.paces or ():
            if not targetpacestore.is_valid(record):
                loguru.logger.warning(
                    "event=ramp_up_record_invalid source={} record={!r:.120}"
                    " remedy='run the same release on all entries'",
                    peer.host,
                    record,
                )
                continue
            self._store.on_record(now, record, self._targets.values())

    def write_metrics(
        self, now: float, entry_metrics: nodemetrics.EntryMetrics
    ) -> None:
        """Set the gauges of windows and parts."""
        windows, parts = {}, {}
        for target in self._targets.values():
            incarnation = target.registration.incarnation
            pace = self._store.paces.get(incarnation)
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
