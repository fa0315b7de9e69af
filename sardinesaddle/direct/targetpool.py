"""What an entry knows of the targets, and which one takes the next request.

A target's load is the count that its sidecar last reported plus what this entry sent
since the reading behind the report and less what it saw end since; without a recent
report it is this entry's own requests times the number of entries. The target with the
lowest load for its slots is chosen; a slow pace and recent failures count as load, so
that a doubtful target is tried now and then and a good one is never starved.

Reports lag, so entries that all take the least loaded target meet at it. Each entry
therefore prefers its subset, an equal part of a service's targets, and looks elsewhere
only at a few targets drawn at random. Entries and targets are paired in the order of
their addresses, which puts most of a subset into the entry's own place; entries that
differ about who is there only prefer other targets. The load that this answers is
played by ``sardinesaddle bench rankchoice``.

A target is held apart for a while after failures in a row. If all targets of a
service are held apart, the one whose time is up first is taken: a wrong suspicion
must not stop a service.

If two targets are registered at one address, the one that came last is there: the
other's entry has not lapsed yet.

Ranks of a lock-step group work only while the whole group does, which their sidecars
report; the first word of a new epoch holds for all ranks, so that those who waited do
not all meet the rank that spoke first. An entry that has just started waits for those
reports before it trusts them. A rank takes as many requests as it has slots: the rest
waits at the entry, for whichever rank has room first.

A target is removed when its registration says that it leaves, when the store no longer
lists it, or when another target answers at its address. A registration that expires
while the store is unreachable may come back within ``REREGISTRATION_GRACE_S`` of the
store's return, so the target stays in use until then.
"""

import collections
import dataclasses
import typing

from sardinesaddle.direct import catalog, messages

REPORT_TTL_S: typing.Final = 0.8  # four report periods
REREGISTRATION_GRACE_S: typing.Final = (
    2.2  # the platform's two seconds and a watch's delay
)
BASE_EJECTION_S: typing.Final = 0.5
MAX_EJECTION_S: typing.Final = 5.0
CONSECUTIVE_FAILURES_TO_EJECT: typing.Final = 2
FAILURE_EWMA_WEIGHT: typing.Final = 0.2  # of the newest result in the moving average
FAILURE_LOAD_PENALTY: typing.Final = (
    1.5  # full slots that a target which always fails is worth
)
FULL_BACKOFF_S: typing.Final = 0.15  # after a refusal unrun: half a report period
MAX_LOAD: typing.Final = 1.0  # full slots; the rest waits here (bench rankchoice)
STARTUP_GRACE_S: typing.Final = 1.5  # sidecars that start with an entry report by then
REMOTE_PLACE_LOAD_PENALTY: typing.Final = 0.02  # full slots that another place is worth
OUTSIDE_SUBSET_LOAD_PENALTY: typing.Final = (
    0.4  # full slots that the subset is worth (bench rankchoice)
)
OUTSIDE_SUBSET_RESERVED_SLOTS: typing.Final = (
    1  # slots left to a target's own entry (bench rankchoice)
)
OUTSIDE_SUBSET_SAMPLE_SIZE: typing.Final = (
    3  # targets looked at beside the subset (bench rankchoice)
)
REPORT_DELAY_S: typing.Final = 0.01  # from a sidecar to an entry, and its handling


@dataclasses.dataclass(slots=True)
class Target:
    """A target and what this entry saw of it."""

    registration: catalog.TargetRecord
    created_rev: int = 0
    own_in_flight: int = 0
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
    removal_deadline: float | None = None

    @property
    def ident(self) -> str:
        """The target's incarnation."""
        return self.registration.ident

    @property
    def address(self) -> str:
        """Where the target listens."""
        return f"{self.registration.host}:{self.registration.port}"

    def has_fresh_report(self, now: float) -> bool:
        """Tell whether the sidecar's report is recent."""
        return self.report is not None and now - self.reported_at < REPORT_TTL_S

    def discard_before(self, when: float) -> None:
        """Drop the sends and ends that a reading at that time has counted."""
        for times in (self.recent_sends, self.recent_ends):
            while times and times[0] <= when:
                times.popleft()

    def estimate_in_flight(self, now: float, entry_count: int) -> float:
        """Return the requests that the target has now, of all entries."""
        if self.report is None or not self.has_fresh_report(now):
            return float(self.own_in_flight * max(entry_count, 1))
        estimate = self.report.running + self.report.waiting
        estimate += len(self.recent_sends) - len(self.recent_ends)
        return float(max(estimate, self.own_in_flight))


class TargetPool:
    """All targets of an entry."""

    def __init__(self, place: str) -> None:
        self._place = place
        self._own_host = ""
        self._entry_hosts: list[str] = []
        # Targets that may get new work, by service, and which are the subset.
        self._available: dict[str, list[Target]] = {}
        self._subsets: dict[str, frozenset[str]] = {}
        self._started_at: float | None = None
        self.lockstep_services: frozenset[str] = frozenset()
        # The newest epoch of each group, and whether the group is open in it.
        self._groups: dict[str, tuple[int, bool]] = {}
        self._targets: dict[str, Target] = {}
        self._by_address: dict[str, Target] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def set_entries(self, own_host: str, hosts: typing.Iterable[str]) -> None:
        """Take over the hosts of all entries, with the own one, for the subsets."""
        sorted_hosts = sorted({own_host, *hosts}, key=make_address_sort_key)
        if (own_host, sorted_hosts) != (self._own_host, self._entry_hosts):
            self._own_host = own_host
            self._entry_hosts = sorted_hosts
            self._subsets.clear()

    def list_available(self, service: str) -> list[Target]:
        """Return the targets of a service that may get new work."""
        available = self._available.get(service)
        if available is None:
            available = [
                candidate
                for candidate in self._targets.values()
                if candidate.registration.service == service
                and candidate.registration.state is catalog.TargetState.READY
                and not candidate.has_stale_address
                and self._by_address[candidate.address] is candidate
            ]
            self._available[service] = available
        return available

    def list_subset(self, service: str) -> frozenset[str]:
        """Return the targets of a service that this entry prefers."""
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
                candidate.ident
                for index, candidate in enumerate(ordered)
                if count
                and self._entry_hosts[index * count // len(ordered)] == self._own_host
            )
            self._subsets[service] = subset
        return subset

    def is_in_subset(self, address: str) -> bool:
        """Tell whether the target at an address is one that this entry prefers."""
        known = self._by_address.get(address)
        return known is not None and known.ident in self.list_subset(
            known.registration.service
        )

    def _invalidate_lists(self) -> None:
        """Let the lists be made anew: the targets changed."""
        self._available.clear()
        self._subsets.clear()

    def list_keys(self) -> set[tuple[str, int, str]]:
        """Return the addresses and incarnations of all targets."""
        return {
            (candidate.registration.host, candidate.registration.port, candidate.ident)
            for candidate in self._targets.values()
        }

    def get(self, ident: str) -> Target | None:
        """Return a target by its incarnation."""
        return self._targets.get(ident)

    def register(
        self, registration: catalog.TargetRecord, created_rev: int = 0
    ) -> bool:
        """Take over a target's entry; return whether its state is news.

        ``created_rev`` is the revision at which the entry was first written.
        """
        known = self._targets.get(registration.ident)
        self._invalidate_lists()
        if known is None:
            added = Target(registration, created_rev)
            self._targets[registration.ident] = added
            known = self._by_address.get(added.address)
            if known is None or known.created_rev < created_rev:
                self._by_address[added.address] = added
            return True
        is_state_changed = known.registration.state is not registration.state
        known.registration = registration
        known.removal_deadline = None
        return is_state_changed

    def remove(self, ident: str) -> None:
        """Drop a target that is gone."""
        removed = self._targets.pop(ident, None)
        if removed is None:
            return
        self._invalidate_lists()
        if self._by_address.get(removed.address) is not removed:
            return
        del self._by_address[removed.address]
        others = [t for t in self._targets.values() if t.address == removed.address]
        if others:
            self._by_address[removed.address] = max(others, key=lambda t: t.created_rev)

    def schedule_removal(self, ident: str, deadline: float) -> None:
        """Keep a target whose entry went missing around an outage for a while."""
        known = self._targets.get(ident)
        if known is not None and known.removal_deadline is None:
            known.removal_deadline = deadline

    def remove_expired(self, now: float) -> list[str]:
        """Drop the targets whose entries have not returned; return them."""
        expired = [
            ident
            for ident, candidate in self._targets.items()
            if candidate.removal_deadline is not None
            and candidate.removal_deadline <= now
        ]
        for ident in expired:
            self.remove(ident)
        return expired

    def on_report(self, now: float, report: messages.Report) -> None:
        """Take over a sidecar's report."""
        known = self._by_address.get(report.target)
        if known is None:
            return
        self._update_group(report)
        known.report = report
        known.reported_at = now
        known.discard_before(now - REPORT_DELAY_S - report.age_s)

    def _update_group(self, report: messages.Report) -> None:
        """Take note of a group's state; what breaks opens only in a new epoch."""
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
    ) -> Target | None:
        """Return the target that should take the next request."""
        candidates = [
            t for t in self.list_available(service) if t.ident not in excluded
        ]
        open_targets = [t for t in candidates if self.is_group_open(now, t)]
        with_capacity = [
            t for t in open_targets if self.has_capacity(now, t, entry_count)
        ]
        not_ejected = [t for t in with_capacity if t.ejected_until <= now]
        if not not_ejected:
            return min(with_capacity, key=lambda t: t.ejected_until, default=None)
        subset = self.list_subset(service)
        inside = [t for t in not_ejected if t.ident in subset]
        outside = [t for t in not_ejected if t.ident not in subset]
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

    def may_have_capacity_soon(self, now: float, service: str) -> bool:
        """Tell whether targets are there that may take a request soon."""
        return any(
            candidate.backoff_until > now
            or service in self.lockstep_services
            or not self.is_group_open(now, candidate)
            for candidate in self.list_available(service)
        )

    def has_capacity(self, now: float, target: Target, entry_count: int) -> bool:
        """Tell whether a request would begin soon enough at a target."""
        if target.backoff_until > now:
            return False
        if target.registration.service not in self.lockstep_services:
            return True
        max_in_flight = MAX_LOAD * target.registration.slots
        subset = self.list_subset(target.registration.service)
        if subset and target.ident not in subset:
            max_in_flight = max(max_in_flight - OUTSIDE_SUBSET_RESERVED_SLOTS, 1.0)
        return target.estimate_in_flight(now, entry_count) < max_in_flight

    def is_group_open(self, now: float, target: Target) -> bool:
        """Tell whether a target's group can work, as far as is known."""
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

    def compute_load(self, now: float, target: Target, entry_count: int) -> float:
        """Return a target's load as a share of its slots, with its handicaps."""
        load = (
            target.estimate_in_flight(now, entry_count) + 1.0
        ) / target.registration.slots
        if target.report is not None and target.has_fresh_report(now):
            load *= max(target.report.slowdown, 1.0)
        load += FAILURE_LOAD_PENALTY * target.failure_rate
        if target.registration.place != self._place:
            load += REMOTE_PLACE_LOAD_PENALTY
        return load

    def on_send(self, target: Target, now: float) -> None:
        """Take note of a request that is sent."""
        target.own_in_flight += 1
        target.recent_sends.append(now)
        target.discard_before(now - REPORT_TTL_S)

    def on_end(self, target: Target, now: float) -> None:
        """Take note of a request that ended."""
        target.own_in_flight -= 1
        target.recent_ends.append(now)

    def on_success(self, target: Target) -> None:
        """Take note of a good answer."""
        target.consecutive_failures = 0
        target.ejection_s = BASE_EJECTION_S
        target.failure_rate *= 1.0 - FAILURE_EWMA_WEIGHT

    def on_error_response(self, target: Target) -> None:
        """Take note of a target's own failure, which some requests always get."""
        target.failure_rate += FAILURE_EWMA_WEIGHT * (1.0 - target.failure_rate)

    def on_failure(self, now: float, target: Target, is_conclusive: bool) -> bool:
        """Take note of a broken exchange; return whether the target is ejected."""
        self.on_error_response(target)
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

    def on_capacity_refusal(self, now: float, target: Target) -> None:
        """Take note of a refusal for lack of room."""
        target.backoff_until = now + FULL_BACKOFF_S

    def on_stale_address(self, target: Target) -> None:
        """Take note that another target answers at this address."""
        target.has_stale_address = True
        self._invalidate_lists()


def make_address_sort_key(host: str) -> tuple[tuple[int, str], ...]:
    """Return a key that sorts addresses by their numbers."""
    return tuple(
        (int(part), "") if part.isdigit() else (0, part) for part in host.split(".")
    )
