"""Tracks the targets that an entry can use and chooses one for each request.

A target's load is the number of requests in its sidecar's last report, plus those that
this entry sent since the engine was read for that report, minus those that this entry
saw end since. Without a recent report it is this entry's own requests times the number
of entries. The target with the lowest load per slot is chosen. Slowness and recent
failures count as additional load, so that a doubtful target is still tried now and then
and a good one always gets requests.

Reports lag, so entries that all choose the least loaded target would overload it
together. Each entry therefore prefers its subset, an equal part of a service's targets,
and considers only a small random sample of the other targets. Entries and targets are
sorted by address and paired in that order, which puts most of a subset into the entry's
own place. Entries that disagree about which entries exist only prefer other targets.
``sardinesaddle bench rankchoice`` simulates this load.

Requests under which targets crashed before (suspects) are kept apart, so that the next
crash tells which of them caused it. A suspect of one crash prefers a target without
other suspects of this entry. A suspect of more crashes waits for one in this entry's
subset, which no other entry uses for such suspects. In a lock-step service one crash
stops the whole group, so for a while suspects run only in the group that crashed under
them, once it is back; the other groups serve the rest.

Targets are ejected for a while after consecutive failures (outlier ejection). If all
targets of a service are ejected, the one whose ejection ends first is used, so that
wrong suspicions cannot stop a service.

If two targets are registered at one address, the one created last is tried: as a rule,
the registration of the other has not expired yet. If the other one has shown within
``RECENT_S`` that it runs, the requests that run there go on until the later one
responds. If it is of another service, it gets new requests until then, too. If the
address responds as another target (421), or the other one responds, the later one is
excluded.

The ranks of a lock-step group work only while the whole group does, which their
sidecars report. The first report of a new epoch applies to all ranks, so that waiting
requests are not all sent to the rank that reported first. An entry that has just
started waits for reports before it uses such targets. A rank gets as many requests as
it has slots; further requests wait at the entry for the first rank with a free slot.

A target gets no new requests once its registration is marked as draining, the store no
longer lists it, or another target responds at its address. A registration that expires
while the store is unreachable may come back within ``REREGISTRATION_GRACE_S`` of the
store's return, so the target stays in use until then.
"""

import math
import typing

from sardinesaddle.direct import (
    catalog,
    departures,
    messages,
    replica,
    targetlimits,
    targetrests,
    targetstate,
)
from sardinesaddle.direct.admission import (
    admissionpart,
    entryadmission,
    sendconstraint,
    targetconstraints,
)

# A registration may return two seconds after the store does; the rest is watch delay.
REREGISTRATION_GRACE_S: typing.Final = 2.2
MAX_EJECTION_S: typing.Final = 5.0
CONSECUTIVE_FAILURES_TO_EJECT: typing.Final = 2
FAILURE_EWMA_WEIGHT: typing.Final = 0.2  # of the newest result in the moving average
# Load of a target that always fails; 1.0 is the load of a target with full slots.
FAILURE_LOAD_PENALTY: typing.Final = 1.5
# After a refusal for lack of capacity; half a report period.
FULL_BACKOFF_S: typing.Final = 0.15
MAX_LOAD: typing.Final = 1.0  # share of a rank's slots; see bench rankchoice
STARTUP_GRACE_S: typing.Final = 1.5  # sidecars that start with an entry report by then
REMOTE_PLACE_LOAD_PENALTY: typing.Final = 0.02  # share of slots
# Share of slots. This and the next two values keep entries from overloading the same
# targets; see bench rankchoice.
OUTSIDE_SUBSET_LOAD_PENALTY: typing.Final = 0.4
# Slots of a target that only entries with the target in their subset may use.
OUTSIDE_SUBSET_RESERVED_SLOTS: typing.Final = 1
OUTSIDE_SUBSET_SAMPLE_SIZE: typing.Final = 3  # targets
# Share of slots. A target with a suspect is used when the others are nearly full.
SUSPECT_LOAD_PENALTY: typing.Final = 0.8
# From so many crashes on, a suspect waits for a target without other suspects.
CRASHES_TO_ISOLATE: typing.Final = 2
# An address gets another target two seconds after the end of the one before, or later.
RECENT_S: typing.Final = 1.0
REPORT_DELAY_S: typing.Final = 0.01  # network and handling, sidecar to entry
SLOTS_FULL: typing.Final = sendconstraint.Verdict(
    sendconstraint.Decision.LATER, "slots_full", math.inf
)
NOT_SENT: typing.Final = admissionpart.SendOutcome(
    admissionpart.SendResult.CANCELLED, 0.0
)


class TargetPool:
    """The targets known to an entry, with load balancing and outlier ejection."""

    def __init__(
        self,
        place: str,
        limits: targetlimits.TargetLimits | None = None,
        left: departures.Departures | None = None,
        admission: entryadmission.EntryAdmission | None = None,
    ) -> None:
        self._place = place
        self._limits = limits or targetlimits.TargetLimits("", 0.0)
        self._departures = left or departures.Departures()
        self.rests = targetrests.TargetRests()
        self.admission = admission or entryadmission.EntryAdmission(())
        # In the order in which they are asked; slots are asked last.
        self._constraints: list[sendconstraint.SendConstraint] = [
            targetconstraints.BackoffConstraint(),
            targetconstraints.RestConstraint(self.rests),
            targetconstraints.LimitConstraint(self._limits),
            *self.admission.constraints,
        ]
        self._own_host = ""
        self._entry_hosts: list[str] = []
        # Caches by service: the targets that may get new requests, and the subset.
        self._available: dict[str, list[targetstate.Target]] = {}
        self._subsets: dict[str, frozenset[str]] = {}
        self._started_at: float | None = None
        self.lockstep_services: frozenset[str] = frozenset()
        # By group: the newest epoch, and whether the group is open in it.
        self._groups: dict[str, tuple[int, bool]] = {}
        self._targets: dict[str, targetstate.Target] = {}
        self._by_address: dict[str, targetstate.Target] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def set_entries(self, own_host: str, hosts: typing.Iterable[str]) -> None:
        """Set the hosts of all entries, from which the subset is computed."""
        sorted_hosts = sorted({own_host, *hosts}, key=make_address_sort_key)
        if (own_host, sorted_hosts) != (self._own_host, self._entry_hosts):
            self._own_host = own_host
            self._entry_hosts = sorted_hosts
            self._subsets.clear()

    def list_available(self, service: str) -> list[targetstate.Target]:
        """Return the targets of a service that may get new requests.

        These are ready, have not left, and are the newest at their address, which no
        other target has taken.
        """
        available = self._available.get(service)
        if available is None:
            available = [
                candidate
                for candidate in self._list_ready(service)
                if self.admission.is_available(candidate)
            ]
            self._available[service] = available
        return available

    def _list_ready(self, service: str) -> list[targetstate.Target]:
        """Return the targets that could get new requests if all parts allow it."""
        return [
            candidate
            for candidate in self._targets.values()
            if candidate.registration.service == service
            and candidate.registration.state is catalog.TargetState.READY
            and not candidate.has_stale_address
            and self._departures.may_serve(
                candidate.registration.incarnation, candidate.listed
            )
            and self._may_be_at_address(candidate)
        ]

    def _may_be_at_address(self, target: targetstate.Target) -> bool:
        """Return whether a target is in use at its address.

        A target of another service stays in use until the later one has responded: if
        nobody asks for the service of the later one, nothing else would show that it
        is not there.
        """
        holder = self._by_address.get(target.address)
        if holder is None or holder is target:
            return holder is target
        return (
            holder.unconfirmed_since is not None
            and holder.registration.service != target.registration.service
        )

    def list_subset(self, service: str) -> frozenset[str]:
        """Return the identifiers of the targets in this entry's subset."""
        subset = self._subsets.get(service)
        if subset is None:
            ordered = sorted(
                self.list_available(service),
                key=lambda candidate: make_address_sort_key(
                    candidate.registration.host
                ),
            )
            count = len(self._entry_hosts)
            subset = frozenset(
                candidate.target_id
                for index, candidate in enumerate(ordered)
                if count
                and self._entry_hosts[index * count // len(ordered)] == self._own_host
            )
            self._subsets[service] = subset
        return subset

    def list_own_targets(self) -> frozenset[str]:
        """Return the identifiers of the targets in all subsets of this entry."""
        services = {target.registration.service for target in self._targets.values()}
        return frozenset().union(*map(self.list_subset, services))

    def is_in_subset(self, address: str) -> bool:
        """Return whether the target at an address is in this entry's subset."""
        known = self._by_address.get(address)
        return known is not None and known.target_id in self.list_subset(
            known.registration.service
        )

    def invalidate_lists(self) -> None:
        """Clear the cached lists and subsets after targets or departures changed."""
        self._available.clear()
        self._subsets.clear()

    def list_targets(self) -> list[targetstate.Target]:
        """Return all registered targets."""
        return list(self._targets.values())

    def list_keys(self) -> set[tuple[str, int, str]]:
        """Return host, port and identifier of all targets, as in connection pools."""
        return {
            (
                candidate.registration.host,
                candidate.registration.port,
                candidate.target_id,
            )
            for candidate in self._targets.values()
        }

    def list_incarnations(self) -> dict[str, str]:
        """Return the services of all registered incarnations."""
        return {
            candidate.registration.incarnation: candidate.registration.service
            for candidate in self._targets.values()
        }

    def get(self, target_id: str) -> targetstate.Target | None:
        """Return a target by its identifier, or None if it is not registered."""
        return self._targets.get(target_id)

    def get_at_address(self, address: str) -> targetstate.Target | None:
        """Return the target in use at an address, or None."""
        return self._by_address.get(address)

    def is_leaving(self, target: targetstate.Target) -> bool:
        """Return whether a target stated that it leaves."""
        return (
            target.registration.state is catalog.TargetState.DRAINING
            or self._departures.is_leaving(target.registration.incarnation)
        )

    def register(
        self,
        registration: catalog.TargetRegistration,
        created: replica.Position = replica.BEGINNING,
        listed: replica.Position = replica.BEGINNING,
        now: float = 0.0,
    ) -> bool:
        """Add or update a target; return whether it is new or its state changed.

        The positions are those at which the store created and last changed the
        registration. An incarnation that is known keeps the first one.
        """
        known = self._targets.get(registration.target_id)
        self.invalidate_lists()
        if known is None:
            added = targetstate.Target(registration, created, listed)
            self._targets[registration.target_id] = added
            self._claim_address(added, now)
            self.admission.on_registered(now, added)
            return True
        is_state_changed = known.registration.state is not registration.state
        is_address_changed = known.address != targetstate.make_address(registration)
        is_restarted = known.registration.incarnation != registration.incarnation
        is_placed_anew = is_address_changed or is_restarted
        if is_placed_anew:
            self._release_address(known)
            # What showed that it was not there is of another start or address.
            known.has_stale_address = False
        if is_restarted:
            known.created = created
        known.registration = registration
        known.listed = listed
        known.removal_deadline = None
        if is_placed_anew:
            self._claim_address(known, now)
        self.admission.on_registered(now, known)
        return is_state_changed or is_placed_anew

    def _claim_address(self, target: targetstate.Target, now: float | None) -> None:
        """Use a target at its address unless a later one is registered there.

        ``now`` is None for one that was registered there before.
        """
        known = self._by_address.get(target.address)
        if target.has_stale_address:
            self._by_address.setdefault(target.address, target)
        elif known is None or known.has_stale_address or is_later(target, known):
            if known is not None and not known.has_stale_address:
                target.unconfirmed_since = now
            self._by_address[target.address] = target

    def _release_address(self, target: targetstate.Target) -> None:
        """Use another target at a target's address, the last one if there are more."""
        if self._by_address.get(target.address) is not target:
            return
        del self._by_address[target.address]
        for other in self._targets.values():
            if other is not target and other.address == target.address:
                self._claim_address(other, None)

    def find_replaced(
        self,
        now: float,
        registration: catalog.TargetRegistration,
        created: replica.Position,
    ) -> list[targetstate.Target]:
        """Return the targets that must have ended, since another one is registered.

        That is one with the same identifier that started earlier, or one that was
        registered earlier at the same address and has not shown that it runs since
        ``RECENT_S``. Call this before ``register``.
        """
        replaced = []
        same_id = self._targets.get(registration.target_id)
        if same_id and same_id.registration.incarnation != registration.incarnation:
            replaced.append(same_id)
        known = self._by_address.get(targetstate.make_address(registration))
        if (
            known is not None
            and known.target_id != registration.target_id
            and is_later(targetstate.Target(registration, created), known)
            and now - known.heard_at > RECENT_S
        ):
            replaced.append(known)
        return replaced

    def confirm(
        self, target: targetstate.Target, asked_at: float
    ) -> list[targetstate.Target]:
        """Record that a target responded; return those whose address it has taken.

        These must have ended. ``asked_at`` is when the request was sent. A target that
        was registered at the address before that, but has not responded, is not there.
        """
        holder = self._by_address.get(target.address)
        if holder is None or holder.unconfirmed_since is None:
            return []
        if holder is not target:
            if asked_at > holder.unconfirmed_since:
                self.on_stale_address(holder)
            return []
        target.unconfirmed_since = None
        self.invalidate_lists()
        return [
            other
            for other in self._targets.values()
            if other is not target and other.address == target.address
        ]

    def remove(self, target_id: str) -> None:
        """Remove a target; another one registered at its address takes its place."""
        removed = self._targets.pop(target_id, None)
        if removed is None:
            return
        self.invalidate_lists()
        self._release_address(removed)

    def schedule_removal(self, target_id: str, deadline: float) -> None:
        """Remove a target at the deadline unless it is registered again before.

        Used for registrations that expire around an outage of the store.
        """
        known = self._targets.get(target_id)
        if known is not None and known.removal_deadline is None:
            known.removal_deadline = deadline

    def remove_expired(self, now: float) -> list[targetstate.Target]:
        """Remove the targets past their removal deadline and return them."""
        expired = [
            candidate
            for candidate in self._targets.values()
            if candidate.removal_deadline is not None
            and candidate.removal_deadline <= now
        ]
        for target in expired:
            self.remove(target.target_id)
        return expired

    def on_report(self, now: float, report: messages.Report) -> None:
        """Store a sidecar's report; reports of unknown addresses are ignored."""
        known = self._by_address.get(report.target)
        if known is None:
            return
        if report.is_alive and report.started_ms:
            known = self._record_sign(now - report.age_s, report, known)
        self._update_group(report)
        known.report = report
        known.reported_at = now
        known.discard_before(now - REPORT_DELAY_S - report.age_s)
        self.admission.on_report(now, known, report)

    def _record_sign(
        self, read_at: float, report: messages.Report, holder: targetstate.Target
    ) -> targetstate.Target:
        """Record which target a report is of; return that target."""
        if holder.registration.started_ms == report.started_ms:
            holder.heard_at = max(holder.heard_at, read_at)
        elif holder.unconfirmed_since is not None:
            for other in self._targets.values():
                if (
                    other.address == report.target
                    and other.registration.started_ms == report.started_ms
                ):
                    other.heard_at = max(other.heard_at, read_at)
                    self.confirm(other, read_at)
                    return other
        return holder

    def _update_group(self, report: messages.Report) -> None:
        """Update a group's state; a group that closes opens only in a new epoch."""
        if not report.group:
            return
        epoch, was_open = self._groups.get(report.group, (-1, False))
        if report.epoch > epoch:
            self._groups[report.group] = (report.epoch, report.is_group_open)
        elif report.epoch == epoch and not report.is_group_open:
            self._groups[report.group] = (epoch, False)

    def choose_target(
        self,
        now: float,
        service: str,
        excluded: typing.Collection[str],
        entry_count: int,
        random_fraction: typing.Callable[[], float],
        crash_count: int = 0,
        group: str = "",
        request: sendconstraint.RequestTraits = sendconstraint.ANY_REQUEST,
    ) -> targetstate.Target | None:
        """Return the target for the next request, or None if none has capacity.

        ``random_fraction`` returns numbers in [0, 1); they also break ties.
        ``crash_count`` is how many targets crashed while the request ran there, and
        ``group`` the only group that it may run in, empty for any. ``request`` is what
        the constraints ask of it.
        """
        candidates = [
            t
            for t in self._list_in_group(service, group)
            if t.target_id not in excluded
        ]
        if crash_count >= CRASHES_TO_ISOLATE:
            own_targets = self.list_subset(service)
            own = [t for t in candidates if t.target_id in own_targets]
            if own or not group:
                candidates = own
            candidates = [t for t in candidates if not t.own_suspects]
        open_targets = [t for t in candidates if self.is_group_open(now, t)]
        with_capacity = [
            t
            for t in open_targets
            if self.check_target(now, t, entry_count, request).is_allowed
        ]
        not_ejected = [t for t in with_capacity if t.ejected_until <= now]
        if not not_ejected:
            return min(with_capacity, key=lambda t: t.ejected_until, default=None)
        subset = self.list_subset(service)
        inside = [t for t in not_ejected if t.target_id in subset]
        outside = [t for t in not_ejected if t.target_id not in subset]
        if subset and len(outside) > OUTSIDE_SUBSET_SAMPLE_SIZE:
            outside = [
                outside[int(random_fraction() * len(outside))]
                for _ in range(OUTSIDE_SUBSET_SAMPLE_SIZE)
            ]
        loads = [
            (self.compute_load(now, t, entry_count), random_fraction(), t)
            for t in inside
        ]
        penalty = OUTSIDE_SUBSET_LOAD_PENALTY if subset else 0.0
        loads += [
            (self.compute_load(now, t, entry_count) + penalty, random_fraction(), t)
            for t in outside
        ]
        return min(loads, key=lambda scored: scored[:2])[2]

    def _list_in_group(self, service: str, group: str) -> list[targetstate.Target]:
        """Return the available targets in a group; all if none reports that group."""
        available = self.list_available(service)
        members = [t for t in available if group and t.group == group]
        return members or available

    def has_open_group(self, now: float, service: str, group: str) -> bool:
        """Return whether a group works, or any target if none reports that group."""
        members = self._list_in_group(service, group)
        return any(self.is_group_open(now, member) for member in members)

    def may_have_capacity_soon(
        self,
        now: float,
        service: str,
        crash_count: int = 0,
        group: str = "",
        request: sendconstraint.RequestTraits = sendconstraint.ANY_REQUEST,
    ) -> bool:
        """Return whether it is worth waiting for a target of the service.

        That is so if a target is in backoff, states a limit, rests, is a rank with
        limited slots, or belongs to a group that is not open; for a request that must
        run apart from other suspects, also if a target runs one. A request that may
        run in one group only does not wait for it to open: that takes seconds.
        """
        is_isolated = crash_count >= CRASHES_TO_ISOLATE
        if group and not self.has_open_group(now, service, group):
            return False
        return any(
            candidate.backoff_until > now
            or self._limits.is_limited(candidate.registration.incarnation)
            or self.rests.compute_wait_s(now, candidate.registration.incarnation)
            or (is_isolated and candidate.own_suspects)
            or service in self.lockstep_services
            or not self.is_group_open(now, candidate)
            or not self._check_parts(now, candidate, request).is_allowed
            for candidate in self.list_available(service)
            if not self._is_forbidden(now, candidate, request)
        )

    def may_run(
        self, now: float, service: str, request: sendconstraint.RequestTraits
    ) -> sendconstraint.Verdict:
        """Return NEVER with the reason if constraints forbid all available targets.

        If parts make all targets unavailable, their constraints tell the reason.
        """
        verdict = sendconstraint.ALLOWED
        for candidate in self.list_available(service) or self._list_ready(service):
            verdict = self._check_parts(now, candidate, request)
            if verdict.decision is not sendconstraint.Decision.NEVER:
                return sendconstraint.ALLOWED
        return verdict

    def _check_parts(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> sendconstraint.Verdict:
        """Return the verdict of the parts' constraints, NEVER before LATER."""
        found = sendconstraint.ALLOWED
        for constraint in self.admission.constraints:
            verdict = constraint.check(now, target, request)
            if verdict.decision is sendconstraint.Decision.NEVER:
                return verdict
            if found.is_allowed or verdict.wait_s > found.wait_s:
                found = found if verdict.is_allowed else verdict
        return found

    def _is_forbidden(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> bool:
        """Return whether a constraint forbids the request at a target for now."""
        verdict = self._check_parts(now, target, request)
        return verdict.decision is sendconstraint.Decision.NEVER

    def compute_wait_s(
        self,
        now: float,
        service: str,
        excluded: typing.Collection[str],
        position: int,
        request: sendconstraint.RequestTraits = sendconstraint.ANY_REQUEST,
    ) -> float | None:
        """Return how long the request at a position waits for what holds targets back.

        Position 0 is the next request. Returns None if no target of the service works,
        or one neither rests nor states a limit, even if it is closed now; then
        capacity decides.
        """
        held_back = self._list_if_all_held_back(now, service, excluded, request)
        if held_back is None:
            return None
        limited, rests = held_back
        waits = list(rests)
        if limited:
            waits.append(self._limits.compute_wait_s(now, limited, position))
        return min(waits, default=None)

    def compute_return_rate(self, now: float, service: str) -> float:
        """Return the requests a second at which callers return that were held back.

        Infinite if a target of the service neither rests nor states a limit.
        """
        held_back = self._list_if_all_held_back(
            now, service, (), sendconstraint.ANY_REQUEST
        )
        if held_back is None:
            return float("inf")
        limited, rests = held_back
        rate = targetrests.RETURN_RATE * len(rests)
        return rate + (self._limits.compute_return_rate(limited) if limited else 0.0)

    def is_resting(self, now: float, service: str) -> bool:
        """Return whether a target of a service wants nothing from this entry."""
        return any(
            self.rests.is_resting(now, candidate.registration.incarnation)
            for candidate in self.list_available(service)
        )

    def _list_if_all_held_back(
        self,
        now: float,
        service: str,
        excluded: typing.Collection[str],
        request: sendconstraint.RequestTraits,
    ) -> tuple[list[str], list[float]] | None:
        """Return the targets that limits or rests hold back, None if others may serve.

        These are the limited incarnations that work, and for those that rest, or that
        the constraints of a part hold back, the seconds until they may get a request.
        """
        limited, rests = [], []
        for candidate in self.list_available(service):
            if candidate.target_id in excluded:
                continue
            incarnation = candidate.registration.incarnation
            verdict = self._check_parts(now, candidate, request)
            if verdict.decision is sendconstraint.Decision.NEVER:
                continue
            if rest_s := self.rests.compute_wait_s(now, incarnation):
                rests.append(max(rest_s, verdict.wait_s))
            elif not verdict.is_allowed and math.isfinite(verdict.wait_s):
                rests.append(verdict.wait_s)
            elif not self._limits.is_limited(incarnation):
                return None
            elif self.is_group_open(now, candidate):
                limited.append(incarnation)
        return (limited, rests) if limited or rests else None

    def check_target(
        self,
        now: float,
        target: targetstate.Target,
        entry_count: int,
        request: sendconstraint.RequestTraits = sendconstraint.ANY_REQUEST,
    ) -> sendconstraint.Verdict:
        """Return the first verdict that does not allow another request, else ALLOWED.

        Whether the target is available and its group open is not checked here.
        """
        for constraint in self._constraints:
            verdict = constraint.check(now, target, request)
            if not verdict.is_allowed:
                return verdict
        return self.check_slots(now, target, entry_count)

    def list_verdicts(
        self,
        now: float,
        target: targetstate.Target,
        entry_count: int,
        request: sendconstraint.RequestTraits,
    ) -> list[tuple[str, sendconstraint.Verdict]]:
        """Return the names and verdicts of all constraints, in their order."""
        verdicts = [
            (constraint.name, constraint.check(now, target, request))
            for constraint in self._constraints
        ]
        return [*verdicts, ("slots", self.check_slots(now, target, entry_count))]

    def find_exclusion(self, target: targetstate.Target) -> str:
        """Return why a target gets no new requests at all, empty if it may."""
        incarnation = target.registration.incarnation
        if self.is_leaving(target):
            return "leaving"
        if not self._departures.may_serve(incarnation, target.listed):
            return "gone"
        if target.has_stale_address:
            return "address_taken"
        if not self._may_be_at_address(target):
            return "replaced"
        return "" if self.admission.is_available(target) else "out_of_service"

    def check_slots(
        self, now: float, target: targetstate.Target, entry_count: int
    ) -> sendconstraint.Verdict:
        """Return whether a rank has a free slot.

        Only ranks are limited to their slots. Ranks outside the subset keep slots free
        for the entries that prefer them.
        """
        if target.registration.service not in self.lockstep_services:
            return sendconstraint.ALLOWED
        max_in_flight = MAX_LOAD * target.registration.slots
        subset = self.list_subset(target.registration.service)
        if subset and target.target_id not in subset:
            max_in_flight = max(max_in_flight - OUTSIDE_SUBSET_RESERVED_SLOTS, 1.0)
        if target.estimate_in_flight(now, entry_count) < max_in_flight:
            return sendconstraint.ALLOWED
        return SLOTS_FULL

    def is_group_open(self, now: float, target: targetstate.Target) -> bool:
        """Return whether a target and its group work according to the last report.

        Without a fresh report, a rank is trusted if it has ever reported or the startup
        grace period is over; other targets are always trusted.
        """
        report = target.report
        if report is not None and target.has_fresh_report(now):
            if not report.group:
                return report.is_alive
            return report.is_alive and self._groups[report.group][1]
        if target.registration.service not in self.lockstep_services:
            return True
        if self._started_at is None:
            self._started_at = now
        return report is not None or now - self._started_at >= STARTUP_GRACE_S

    def compute_load(
        self, now: float, target: targetstate.Target, entry_count: int
    ) -> float:
        """Return the load with one more request, per slot, with all penalties."""
        load = (
            target.estimate_in_flight(now, entry_count) + 1.0
        ) / target.registration.slots
        if target.report is not None and target.has_fresh_report(now):
            load *= max(target.report.slowdown, 1.0)
        load += FAILURE_LOAD_PENALTY * target.failure_rate
        if target.registration.place != self._place:
            load += REMOTE_PLACE_LOAD_PENALTY
        if target.own_suspects:
            load += SUSPECT_LOAD_PENALTY
        return load

    def on_send(
        self,
        target: targetstate.Target,
        now: float,
        crash_count: int = 0,
        request: sendconstraint.RequestTraits = sendconstraint.ANY_REQUEST,
    ) -> None:
        """Count a request that is about to be sent.

        ``crash_count`` is the number of targets that crashed while it ran there.
        """
        self._limits.on_send(now, target.registration.incarnation)
        self.rests.on_send(target.registration.incarnation)
        target.own_in_flight += 1
        target.own_suspects += crash_count > 0
        target.recent_sends.append(now)
        target.discard_before(now - targetstate.REPORT_TTL_S)
        self.admission.on_send(now, target, request)

    def on_end(
        self,
        target: targetstate.Target,
        now: float,
        crash_count: int = 0,
        request: sendconstraint.RequestTraits = sendconstraint.ANY_REQUEST,
        outcome: admissionpart.SendOutcome = NOT_SENT,
    ) -> None:
        """Count the end of a request, however it ended; arguments as in on_send."""
        target.own_in_flight -= 1
        target.own_suspects -= crash_count > 0
        target.recent_ends.append(now)
        self.admission.on_outcome(now, target, request, outcome)

    def on_success(self, now: float, target: targetstate.Target) -> None:
        """Record a successful response, which resets the ejection backoff."""
        target.heard_at = now
        target.consecutive_failures = 0
        target.ejection_s = targetstate.BASE_EJECTION_S
        target.failure_rate *= 1.0 - FAILURE_EWMA_WEIGHT

    def on_error_response(self, target: targetstate.Target) -> None:
        """Record an error response; it does not eject, as some requests always fail."""
        target.failure_rate += FAILURE_EWMA_WEIGHT * (1.0 - target.failure_rate)

    def on_failure(
        self, now: float, target: targetstate.Target, is_conclusive: bool
    ) -> bool:
        """Record a broken exchange; return whether the target is ejected now.

        ``is_conclusive`` ejects at the first failure.
        """
        self.on_error_response(target)
        target.heard_at = -math.inf
        target.consecutive_failures += 1
        if (
            not is_conclusive
            and target.consecutive_failures < CONSECUTIVE_FAILURES_TO_EJECT
        ):
            return False
        if target.ejected_until <= now:
            target.ejected_until = now + target.ejection_s
            target.ejection_s = min(target.ejection_s * 2.0, MAX_EJECTION_S)
        return True

    def on_capacity_refusal(self, now: float, target: targetstate.Target) -> None:
        """Stop sending to a target for a short time after it refused for capacity."""
        target.backoff_until = now + FULL_BACKOFF_S

    def on_stale_address(self, target: targetstate.Target) -> None:
        """Exclude a target at whose address another target responds.

        The one that was registered there before it is used again.
        """
        target.has_stale_address = True
        target.unconfirmed_since = None
        self._release_address(target)
        self._claim_address(target, None)
        self.invalidate_lists()


def is_later(target: targetstate.Target, known: targetstate.Target) -> bool:
    """Return whether a target may have taken the address of a known one.

    It was registered after that, and started after that as far as both state it.
    """
    started_ms = target.registration.started_ms
    known_ms = known.registration.started_ms
    has_started_later = not started_ms or not known_ms or started_ms > known_ms
    return has_started_later and target.created.is_after(known.created)


def make_address_sort_key(host: str) -> tuple[tuple[int, str], ...]:
    """Return a key that sorts IP addresses by the values of their parts."""
    return tuple(
        (int(part), "") if part.isascii() and part.isdigit() else (0, part)
        for part in host.split(".")
    )
