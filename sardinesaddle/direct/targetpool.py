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

Targets leave by their own mark, by the store's word, or by an answer from another
target at their address. Entries of targets that lapse while the store cannot be
reached may return within ``LAPSE_GRACE_S`` of its return, so they stay in use until
then.
"""

import collections
import dataclasses
import typing

from sardinesaddle.direct import catalog, messages

REPORT_TTL_S: typing.Final = 0.8  # four report periods
LAPSE_GRACE_S: typing.Final = 2.2  # the platform's two seconds and a watch's delay
FIRST_EJECTION_S: typing.Final = 0.5
LONGEST_EJECTION_S: typing.Final = 5.0
STREAK_TO_EJECT: typing.Final = 2
FAILURE_WEIGHT: typing.Final = 0.2  # of the newest result in the moving average
FAILURE_LOAD: typing.Final = 1.5  # full slots that a target which always fails is worth
FULL_PAUSE_S: typing.Final = 0.15  # after a refusal unrun: half a report period
MOST_LOAD: typing.Final = 1.0  # full slots; the rest waits here (bench rankchoice)
START_GRACE_S: typing.Final = 1.5  # sidecars that start with an entry report by then
PLACE_LOAD: typing.Final = 0.02  # full slots that another place is worth
AWAY_LOAD: typing.Final = 0.4  # full slots that the subset is worth (bench rankchoice)
AWAY_ROOM: typing.Final = 1  # slots left to a target's own entry (bench rankchoice)
AWAY_CHOICES: typing.Final = 3  # targets looked at beside the subset (bench rankchoice)
REPORT_HOP_S: typing.Final = 0.01  # from a sidecar to an entry, and its handling


@dataclasses.dataclass(slots=True)
class Target:
    """A target and what this entry saw of it."""

    entry: catalog.TargetRecord
    created_rev: int = 0
    own: int = 0
    report: messages.Report | None = None
    reported_at: float = 0.0
    sends: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    ends: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    streak: int = 0
    failure_share: float = 0.0
    ejected_until: float = 0.0
    ejection_s: float = FIRST_EJECTION_S
    full_until: float = 0.0
    is_misplaced: bool = False
    lapses_at: float | None = None

    @property
    def ident(self) -> str:
        """The target's incarnation."""
        return self.entry.ident

    @property
    def address(self) -> str:
        """Where the target listens."""
        return f"{self.entry.host}:{self.entry.port}"

    def has_report(self, now: float) -> bool:
        """Tell whether the sidecar's report is recent."""
        return self.report is not None and now - self.reported_at < REPORT_TTL_S

    def forget_before(self, when: float) -> None:
        """Drop the sends and ends that a reading at that time has counted."""
        for times in (self.sends, self.ends):
            while times and times[0] <= when:
                times.popleft()

    def estimate_running(self, now: float, entries: int) -> float:
        """Return the requests that the target has now, of all entries."""
        if self.report is None or not self.has_report(now):
            return float(self.own * max(entries, 1))
        counted = self.report.running + self.report.waiting
        counted += len(self.sends) - len(self.ends)
        return float(max(counted, self.own))


class TargetPool:
    """All targets of an entry."""

    def __init__(self, place: str) -> None:
        self._place = place
        self._own_host = ""
        self._entries: list[str] = []
        # Targets that may get new work, by service, and which are the subset.
        self._listed: dict[str, list[Target]] = {}
        self._subsets: dict[str, frozenset[str]] = {}
        self._started_at: float | None = None
        self.lockstep_services: frozenset[str] = frozenset()
        # The newest epoch of each group, and whether the group is open in it.
        self._groups: dict[str, tuple[int, bool]] = {}
        self._targets: dict[str, Target] = {}
        self._by_address: dict[str, Target] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def set_entries(self, own: str, hosts: typing.Iterable[str]) -> None:
        """Take over the hosts of all entries, with the own one, for the subsets."""
        listed = sorted({own, *hosts}, key=make_address_key)
        if (own, listed) != (self._own_host, self._entries):
            self._own_host = own
            self._entries = listed
            self._subsets.clear()

    def list_targets(self, service: str) -> list[Target]:
        """Return the targets of a service that may get new work."""
        listed = self._listed.get(service)
        if listed is None:
            listed = [
                one
                for one in self._targets.values()
                if one.entry.service == service
                and one.entry.state is catalog.TargetState.READY
                and not one.is_misplaced
                and self._by_address[one.address] is one
            ]
            self._listed[service] = listed
        return listed

    def list_subset(self, service: str) -> frozenset[str]:
        """Return the targets of a service that this entry prefers."""
        subset = self._subsets.get(service)
        if subset is None:
            listed = sorted(
                self.list_targets(service),
                key=lambda one: make_address_key(one.entry.host),
            )
            count = len(self._entries)
            subset = frozenset(
                one.ident
                for index, one in enumerate(listed)
                if count
                and self._entries[index * count // len(listed)] == self._own_host
            )
            self._subsets[service] = subset
        return subset

    def is_in_subset(self, address: str) -> bool:
        """Tell whether the target at an address is one that this entry prefers."""
        held = self._by_address.get(address)
        return held is not None and held.ident in self.list_subset(held.entry.service)

    def _forget_lists(self) -> None:
        """Let the lists be made anew: the targets changed."""
        self._listed.clear()
        self._subsets.clear()

    def list_keys(self) -> set[tuple[str, int, str]]:
        """Return the addresses and incarnations of all targets."""
        return {
            (one.entry.host, one.entry.port, one.ident)
            for one in self._targets.values()
        }

    def get(self, ident: str) -> Target | None:
        """Return a target by its incarnation."""
        return self._targets.get(ident)

    def put(self, entry: catalog.TargetRecord, created_rev: int = 0) -> bool:
        """Take over a target's entry; return whether its state is news.

        ``created_rev`` is the revision at which the entry was first written.
        """
        held = self._targets.get(entry.ident)
        self._forget_lists()
        if held is None:
            made = Target(entry, created_rev)
            self._targets[entry.ident] = made
            held = self._by_address.get(made.address)
            if held is None or held.created_rev < created_rev:
                self._by_address[made.address] = made
            return True
        is_news = held.entry.state is not entry.state
        held.entry = entry
        held.lapses_at = None
        return is_news

    def remove(self, ident: str) -> None:
        """Drop a target that is gone."""
        held = self._targets.pop(ident, None)
        if held is None:
            return
        self._forget_lists()
        if self._by_address.get(held.address) is not held:
            return
        del self._by_address[held.address]
        others = [t for t in self._targets.values() if t.address == held.address]
        if others:
            self._by_address[held.address] = max(others, key=lambda t: t.created_rev)

    def lapse(self, ident: str, until: float) -> None:
        """Keep a target whose entry went missing around an outage for a while."""
        held = self._targets.get(ident)
        if held is not None and held.lapses_at is None:
            held.lapses_at = until

    def remove_lapsed(self, now: float) -> list[str]:
        """Drop the targets whose entries have not returned; return them."""
        gone = [
            ident
            for ident, one in self._targets.items()
            if one.lapses_at is not None and one.lapses_at <= now
        ]
        for ident in gone:
            self.remove(ident)
        return gone

    def on_report(self, now: float, report: messages.Report) -> None:
        """Take over a sidecar's report."""
        held = self._by_address.get(report.target)
        if held is None:
            return
        self._note_group(report)
        held.report = report
        held.reported_at = now
        held.forget_before(now - REPORT_HOP_S - report.age_s)

    def _note_group(self, report: messages.Report) -> None:
        """Take note of a group's state; what breaks opens only in a new epoch."""
        if not report.group:
            return
        epoch, was_open = self._groups.get(report.group, (-1, False))
        if report.epoch > epoch:
            self._groups[report.group] = (report.epoch, report.is_group_open)
        elif report.epoch == epoch and not report.is_group_open:
            self._groups[report.group] = (epoch, False)

    def choose(
        self,
        now: float,
        service: str,
        excluded: typing.Collection[str],
        entries: int,
        draws: typing.Callable[[], float],
    ) -> Target | None:
        """Return the target that should take the next request."""
        listed = [t for t in self.list_targets(service) if t.ident not in excluded]
        is_open = [t for t in listed if self.is_open(now, t)]
        with_room = [t for t in is_open if self.has_room(now, t, entries)]
        usable = [t for t in with_room if t.ejected_until <= now]
        if not usable:
            return min(with_room, key=lambda t: t.ejected_until, default=None)
        subset = self.list_subset(service)
        near = [t for t in usable if t.ident in subset]
        away = [t for t in usable if t.ident not in subset]
        if subset and len(away) > AWAY_CHOICES:
            away = [away[int(draws() * len(away))] for _ in range(AWAY_CHOICES)]
        loads = [(self.compute_load(now, t, entries), draws(), t) for t in near]
        handicap = AWAY_LOAD if subset else 0.0
        loads += [
            (self.compute_load(now, t, entries) + handicap, draws(), t) for t in away
        ]
        return min(loads, key=lambda one: one[:2])[2]

    def has_hope(self, now: float, service: str) -> bool:
        """Tell whether targets are there that may take a request soon."""
        return any(
            one.full_until > now
            or service in self.lockstep_services
            or not self.is_open(now, one)
            for one in self.list_targets(service)
        )

    def has_room(self, now: float, target: Target, entries: int) -> bool:
        """Tell whether a request would begin soon enough at a target."""
        if target.full_until > now:
            return False
        if target.entry.service not in self.lockstep_services:
            return True
        most = MOST_LOAD * target.entry.slots
        subset = self.list_subset(target.entry.service)
        if subset and target.ident not in subset:
            most = max(most - AWAY_ROOM, 1.0)
        return target.estimate_running(now, entries) < most

    def is_open(self, now: float, target: Target) -> bool:
        """Tell whether a target's group can work, as far as is known."""
        report = target.report
        if report is not None and target.has_report(now):
            if not report.group:
                return report.is_alive
            return report.is_alive and self._groups[report.group][1]
        if target.entry.service not in self.lockstep_services:
            return True
        if self._started_at is None:
            self._started_at = now
        return report is not None or now - self._started_at >= START_GRACE_S

    def compute_load(self, now: float, target: Target, entries: int) -> float:
        """Return a target's load as a share of its slots, with its handicaps."""
        load = (target.estimate_running(now, entries) + 1.0) / target.entry.slots
        if target.report is not None and target.has_report(now):
            load *= max(target.report.slowdown, 1.0)
        load += FAILURE_LOAD * target.failure_share
        if target.entry.place != self._place:
            load += PLACE_LOAD
        return load

    def on_send(self, target: Target, now: float) -> None:
        """Take note of a request that is sent."""
        target.own += 1
        target.sends.append(now)
        target.forget_before(now - REPORT_TTL_S)

    def on_end(self, target: Target, now: float) -> None:
        """Take note of a request that ended."""
        target.own -= 1
        target.ends.append(now)

    def on_success(self, target: Target) -> None:
        """Take note of a good answer."""
        target.streak = 0
        target.ejection_s = FIRST_EJECTION_S
        target.failure_share *= 1.0 - FAILURE_WEIGHT

    def on_error_answer(self, target: Target) -> None:
        """Take note of a target's own failure, which some requests always get."""
        target.failure_share += FAILURE_WEIGHT * (1.0 - target.failure_share)

    def on_failure(self, now: float, target: Target, is_sure: bool) -> bool:
        """Take note of a broken exchange; return whether the target is ejected."""
        self.on_error_answer(target)
        target.streak += 1
        if not is_sure and target.streak < STREAK_TO_EJECT:
            return False
        if target.ejected_until <= now:
            target.ejected_until = now + target.ejection_s
            target.ejection_s = min(target.ejection_s * 2.0, LONGEST_EJECTION_S)
        return True

    def on_full(self, now: float, target: Target) -> None:
        """Take note of a refusal for lack of room."""
        target.full_until = now + FULL_PAUSE_S

    def on_misplaced(self, target: Target) -> None:
        """Take note that another target answers at this address."""
        target.is_misplaced = True
        self._forget_lists()


def make_address_key(host: str) -> tuple[tuple[int, str], ...]:
    """Return a key that sorts addresses by their numbers."""
    return tuple(
        (int(part), "") if part.isdigit() else (0, part) for part in host.split(".")
    )
