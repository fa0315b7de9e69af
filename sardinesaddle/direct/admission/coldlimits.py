"""Keeps requests to targets that may be cold within the users' bound.

A target of a service that states a warm-up rate crashes at a rate well above it while
it is cold, and it may turn cold at any moment. Reports and responses tell of that too
late, so the bound rests on what each entry may send to any such target at any time.

The bound on a sliding window is divided into permits. Each entry sends no more requests
within a window than it has permits, which ``limitshares`` divides among the entries: 13
entries for each target have equal standing parts, which need no messages, and the entry
that has the target in its subset claims half of the bound. A part that grows may be
used one window later, when what its previous owner sent is no longer in the window. So
the sum of the requests never exceeds the permits. A part does not accrue: an entry that
wakes up after a suspension has what it had before. See docs/design/cold-targets.md.

Tokens at a rate, as for stated limits, were ruled out: over a window of a second, the
tokens that buckets hold would leave too little of the bound for the rate.
"""

import collections
import collections.abc
import dataclasses
import math
import typing

import loguru

from sardinesaddle.direct import (
    catalog,
    headercodec,
    limitshares,
    messages,
    nodemetrics,
    targetlimits,
    targetstate,
)
from sardinesaddle.direct.admission import admissionpart, sendconstraint, startgate

WINDOW_S: typing.Final = 1.0  # the users' bound is on any second
# Sends within this time may arrive within one window.
SEND_WINDOW_S: typing.Final = WINDOW_S + targetlimits.ARRIVAL_JITTER_S
# With a bound of 53 requests, 13 entries for each target have 2 permits each, and the
# one that uses it has 27, or 24 if it is not among the 13. These sum up to 51 or 50,
# and leave 2 for an entry that does not know another one; 49 remain while one is lost.
POLICY: typing.Final = limitshares.SharePolicy(
    standing_claim=2,
    max_claim=26,
    used_claim=24,
    permits_per_sender=4,
    # One lost entry with a standing part, which does not depend on the others' claims.
    max_lost_share=1.0 / 16.0,
    # ``startgate`` decides when an entry that starts may use its parts.
    isolated_start_s=0.0,
    discovery_s=0.0,
    is_sparse=True,
)
# Longer than the time between two refreshes. Sends may be delayed by a stall.
STALL_S: typing.Final = 0.3
UNWRITTEN_S: typing.Final = 0.3  # to connect, after a send is counted
# A registration may lapse for some seconds; what was sent still counts then.
FORGET_S: typing.Final = 60.0
MAX_COLD_S: typing.Final = 600.0  # longer statements are cut to this
NO_PART: typing.Final = sendconstraint.Verdict(
    sendconstraint.Decision.LATER, "cold_limit", math.inf
)


class SendWindow:
    """The recent sends of an entry to a target, and how many it may have.

    A capacity counts for ``length_s`` longer than it is in force, if it is lower than
    the next.
    """

    __slots__ = ("_length_s", "_past", "_sends", "capacity")

    def __init__(self, length_s: float) -> None:
        self._length_s = length_s
        self.capacity = 0
        # Capacities that still count, with the times at which they no longer do.
        self._past: collections.deque[tuple[float, int]] = collections.deque()
        # The times that count, and the times of the sends.
        self._sends: collections.deque[tuple[float, float]] = collections.deque()

    def set_capacity(self, now: float, capacity: int, is_at_once: bool = False) -> None:
        """Change the capacity; a higher one counts later, unless at once."""
        if capacity > self.capacity and not is_at_once:
            self._past.append((now + self._length_s, self.capacity))
        self.capacity = capacity

    def get_capacity(self, now: float) -> int:
        """Return how many sends a window may have now."""
        while self._past and self._past[0][0] <= now:
            self._past.popleft()
        lowest = min((past for _, past in self._past), default=self.capacity)
        return min(lowest, self.capacity)

    def compute_wait_s(self, now: float) -> float:
        """Return the seconds until another send is allowed, infinite without a part."""
        self._discard_old(now)
        capacity = self.get_capacity(now)
        if len(self._sends) < capacity:
            return 0.0
        if capacity:
            counted_at, _ = self._sends[len(self._sends) - capacity]
            return counted_at + self._length_s - now
        if self.capacity and self._past:
            return self._past[-1][0] - now
        return math.inf

    def on_send(self, now: float) -> None:
        """Count a send."""
        self._sends.append((now, now))

    def postpone(self, now: float, since: float) -> None:
        """Count the sends since a time as made now, as they may have been delayed."""
        postponed = [sent_at for _, sent_at in self._sends if sent_at >= since]
        for _ in postponed:
            self._sends.pop()
        self._sends.extend((now, sent_at) for sent_at in postponed)

    def _discard_old(self, now: float) -> None:
        """Drop the sends that have left the window."""
        while self._sends and self._sends[0][0] <= now - self._length_s:
            self._sends.popleft()


@dataclasses.dataclass(slots=True)
class ColdTarget:
    """A target of a service with a warm-up rate; ``window`` is None without a part.

    ``cold_until`` is the latest time to which it is known to be cold.
    ``registered_at`` is when it was registered first, ``listed_at`` when last.
    """

    service: str
    registered_at: float
    listed_at: float
    window: SendWindow | None = None
    cold_until: float = -math.inf
    is_cold: bool = False
    # Whether this entry is a first sender, and of which entries and permits.
    is_first: bool = False
    is_first_of: tuple[int, int] = (-1, 0)
    # Whether the window's capacity was computed once.
    is_divided: bool = False


class ColdConstraint(sendconstraint.SendConstraint):
    """Keeps to this entry's part of the bound on targets that may be cold."""

    name: typing.ClassVar[str] = "cold"

    def __init__(self, part: "ColdLimits") -> None:
        self._part = part

    def check(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> sendconstraint.Verdict:
        """Return whether the entry's part allows a request now."""
        return self._part.check(now, target)


class ColdLimits(admissionpart.AdmissionPart):
    """The targets that may be cold, and this entry's part of the bound on each."""

    name: typing.ClassVar[str] = "cold"

    def __init__(
        self, host: str, started_at: float, overage: float, slack: float
    ) -> None:
        self._bound = limitshares.Bound(WINDOW_S, overage, slack)
        self._gate = startgate.StartGate(started_at, SEND_WINDOW_S)
        self._shares = limitshares.LimitShares(host, started_at, POLICY)
        self._permits: dict[str, int] = {}
        self._targets: dict[str, ColdTarget] = {}
        # What other entries asked for in a heartbeat, until the reply to it.
        self._asked: dict[str, list[str]] = {}
        self._seen_at = started_at
        self._filled_count = 0

    def list_constraints(self) -> list[sendconstraint.SendConstraint]:
        """Return the constraint on targets that may be cold."""
        return [ColdConstraint(self)]

    def on_catalog(self, now: float, current: catalog.Catalog) -> None:
        """Compute the permits of each service that states a warm-up rate."""
        permits = {
            service.name: max(
                int(self._bound.compute_allowed(service.cold_rate) + 1e-6), 1
            )
            for service in current.services.values()
            if service.cold_rate > 0.0
        }
        if permits != self._permits:
            self._permits = permits
            loguru.logger.info("event=cold_bounds permits={}", permits)

    # Which targets are cold.

    def is_cold(self, now: float, incarnation: str) -> bool:
        """Return whether a target is known to be cold; it is slow then, too."""
        known = self._targets.get(incarnation)
        return known is not None and known.cold_until > now

    def on_registered(self, now: float, target: targetstate.Target) -> None:
        """Note a target, and for how long its registration says that it is cold."""
        registration = target.registration
        permits = self._permits.get(registration.service)
        if permits is not None:
            known = self._targets.setdefault(
                registration.incarnation, ColdTarget(registration.service, now, now)
            )
            if known.window is None:
                # A part that starts to count at the next refresh would be used later.
                self._add_window(registration.incarnation, known, permits, False)
                if known.window is not None:
                    self._apply_share(
                        now, registration.incarnation, known, known.window
                    )
            if registration.warmup_s > 0.0:
                self._set_cold(
                    now, registration.incarnation, known, registration.warmup_s
                )

    def on_response(
        self, now: float, incarnation: str, metadata: headercodec.ResponseMetadata
    ) -> None:
        """Apply for how long a response says that its target is cold."""
        if metadata.invalid_cold is not None:
            loguru.logger.warning(
                "event=target_cold_invalid target={} value={!r:.60}"
                " remedy=state_the_milliseconds_as_a_decimal_number",
                incarnation,
                metadata.invalid_cold,
            )
        known = self._targets.get(incarnation)
        if known is None or metadata.cold_left_s is None:
            return
        if metadata.cold_left_s > 0.0:
            self._set_cold(now, incarnation, known, metadata.cold_left_s)

    def _set_cold(
        self, now: float, incarnation: str, known: ColdTarget, left_s: float
    ) -> None:
        """Note that a target is cold; statements that are older end earlier."""
        known.cold_until = max(known.cold_until, now + min(left_s, MAX_COLD_S))
        if not known.is_cold:
            known.is_cold = True
            loguru.logger.info(
                "event=target_cold target={} service={} left_s={:.2f}",
                incarnation,
                known.service,
                left_s,
            )

    # Sends.

    def check(self, now: float, target: targetstate.Target) -> sendconstraint.Verdict:
        """Return whether this entry may send a target a request now."""
        registration = target.registration
        if registration.service not in self._permits:
            return sendconstraint.ALLOWED
        self._note_time(now)
        known = self._targets.get(registration.incarnation)
        if known is None or known.window is None:
            return NO_PART
        wait_s = max(
            known.window.compute_wait_s(now),
            self._gate.compute_wait_s(now, self._shares),
        )
        if wait_s <= 0.0:
            return sendconstraint.ALLOWED
        return dataclasses.replace(NO_PART, wait_s=wait_s)

    def on_send(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> None:
        """Count a request that is about to be sent."""
        self._note_time(now)
        known = self._targets.get(target.registration.incarnation)
        if known is not None and known.window is not None:
            known.window.on_send(now)
            self._filled_count += known.window.compute_wait_s(now) > 0.0

    def _note_time(self, now: float) -> None:
        """Detect that the process stood still, which delays sends that were counted."""
        seen_at, self._seen_at = self._seen_at, now
        if now - seen_at <= STALL_S:
            return
        self._gate.on_stall(now - seen_at - STALL_S)
        for known in self._targets.values():
            if known.window is not None:
                known.window.postpone(now, seen_at - UNWRITTEN_S)

    # Other entries.

    def make_update(
        self, now: float, host: str, is_reply: bool, update: messages.AdmissionUpdate
    ) -> None:
        """Add the claims that another entry may lack."""
        if not self._permits or self._shares.get_peer(host) is None:
            return
        claims = self._shares.take_claims(host, is_reply)
        is_serving = self._gate.compute_wait_s(now, self._shares) <= 0.0
        unreached = [] if is_serving else self._shares.list_unreached()
        asked = self._asked.pop(host, []) if is_reply else []
        if claims is None and not unreached and not asked:
            return
        update.cold = messages.ClaimUpdate(
            self._shares.number,
            list(self._shares.list_claims().items()) if claims is None else claims,
            is_serving,
            self._shares.list_lost(now, host, asked) if is_serving else [],
            unreached,
        )

    def on_message(
        self,
        now: float,
        peer: admissionpart.PeerMessage,
        update: messages.AdmissionUpdate,
    ) -> None:
        """Apply the claims of another entry."""
        self._shares.add_entries(now, peer.listed)
        self._shares.on_process(now, peer.host, peer.process)
        self._shares.on_listed(peer.host, peer.listed)
        if update.cold is not None:
            self._shares.on_claims(peer.host, update.cold.number, update.cold.claims)
            if update.cold.is_serving:
                self._gate.on_serving_peer()
            self._shares.add_lost(now, update.cold.lost)
            if update.cold.unreached:
                self._asked[peer.host] = update.cold.unreached
        self._apply_shares(now)

    def on_reply(
        self,
        now: float,
        peer: admissionpart.PeerMessage,
        sent: messages.AdmissionUpdate,
    ) -> None:
        """Note that another entry has the claims that it was sent."""
        number, claims = 0, None
        if sent.cold is not None:
            number, claims = sent.cold.number, sent.cold.claims
        self._shares.on_reply(now, peer.host, peer.process, number, claims)

    def withdraw(self) -> None:
        """Give up what this entry claims beyond its standing parts."""
        self._shares.withdraw()

    # Periodic work.

    def refresh(
        self,
        now: float,
        entries: admissionpart.EntryView,
        targets: collections.abc.Collection[targetstate.Target],
    ) -> None:
        """Compute this entry's part of the bound on each target anew."""
        self._note_time(now)
        self._shares.set_entries(now, entries.alive, entries.contacted)
        for target in targets:
            registration = target.registration
            permits = self._permits.get(registration.service)
            if permits is None:
                continue
            incarnation = registration.incarnation
            known = self._targets.setdefault(
                incarnation, ColdTarget(registration.service, now, now)
            )
            known.listed_at = now
            is_used = target.target_id in entries.own_targets
            self._add_window(incarnation, known, permits, is_used)
            if known.window is not None:
                self._shares.set_used(incarnation, is_used)
        for incarnation, known in list(self._targets.items()):
            if known.is_cold and known.cold_until <= now:
                known.is_cold = False
                loguru.logger.info("event=target_warm target={}", incarnation)
            if known.listed_at < now - FORGET_S:
                del self._targets[incarnation]
                self._shares.remove_limit(incarnation)
        self._apply_shares(now)

    def _add_window(
        self, incarnation: str, known: ColdTarget, permits: int, is_used: bool
    ) -> None:
        """Divide the bound on a target of which this entry may have a part."""
        version = (self._shares.entries_number, permits)
        if known.is_first_of != version:
            known.is_first_of = version
            known.is_first = self._shares.is_first_sender(incarnation, permits)
        if is_used or known.is_first:
            self._shares.set_limit(incarnation, known.registered_at, permits)
            known.window = known.window or SendWindow(SEND_WINDOW_S)

    def _apply_shares(self, now: float) -> None:
        """Set the capacities of all windows."""
        for incarnation, known in self._targets.items():
            if known.window is not None:
                self._apply_share(now, incarnation, known, known.window)

    def _apply_share(
        self, now: float, incarnation: str, known: ColdTarget, window: SendWindow
    ) -> None:
        """Set the capacity of a window.

        The standing part of a target that is new is used at once, since no entry sent
        anything to it before; a part that grows later may have been used by others. An
        entry that starts cannot tell which targets are new.
        """
        self._gate.compute_wait_s(now, self._shares)
        opened_at = self._gate.opened_at
        is_new = (
            opened_at is not None
            and known.registered_at > opened_at
            and now - known.registered_at < WINDOW_S
        )
        share = self._shares.compute_share(now, incarnation)
        window.set_capacity(now, share.burst, is_new and not known.is_divided)
        known.is_divided = True

    def write_metrics(
        self, now: float, entry_metrics: nodemetrics.EntryMetrics
    ) -> None:
        """Set the gauges of cold targets and of this entry's parts."""
        if not self._permits:
            return
        capacities = [
            known.window.capacity
            for known in self._targets.values()
            if known.window is not None
        ]
        entry_metrics.set_cold_targets(
            sum(known.is_cold for known in self._targets.values()),
            sum(capacities),
            self._filled_count,
        )
        self._filled_count = 0
