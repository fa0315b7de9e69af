"""Keeps requests to targets that may be cold within the users' bound.

A target of a service that states a warm-up rate crashes at a rate well above it while
it is cold, and it may turn cold at any moment. Reports and responses tell of that too
late, so the bound rests on what each entry may send to any such target at any time.

The bound on a sliding window is divided into permits. Each entry sends no more requests
within a window than it has permits, which ``limitshares`` divides among the entries: a
dozen entries for each target have equal standing parts, which need no messages, and the
entries that have the target in their subset claim more. A part that grows may be used
one window later, when what its previous owner sent is no longer in the window. So the
sum of the requests never exceeds the permits. A part does not accrue: an entry that
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
from sardinesaddle.direct.admission import admissionpart, sendconstraint

WINDOW_S: typing.Final = 1.0  # the users' bound is on any second
# Sends within this time may arrive within one window.
SEND_WINDOW_S: typing.Final = WINDOW_S + targetlimits.ARRIVAL_JITTER_S
# With a bound of 53 requests, 12 entries for each target have 4 permits each, or 3
# beside one that uses it and has 16. Other numbers leave more unused by rounding.
POLICY: typing.Final = limitshares.SharePolicy(
    standing_claim=1,
    max_claim=5,
    permits_per_sender=4,
    spare_senders=1,
    # One lost entry with a standing part among twelve: it may have one permit more
    # than the others count, which rounding leaves.
    max_lost_share=1.0 / 16.0,
    isolated_start_s=2.0,  # several heartbeats; longer refuses too much after a start
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
    ``had_part`` is set once this entry had a part of the bound.
    """

    service: str
    registered_at: float
    listed_at: float
    window: SendWindow | None = None
    had_part: bool = False
    cold_until: float = -math.inf
    is_cold: bool = False
    # Whether this entry is a first sender, and of which entries and permits.
    is_first: bool = False
    is_first_of: tuple[int, int] = (-1, 0)


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
        self._started_at = started_at
        self._shares = limitshares.LimitShares(host, started_at, POLICY)
        self._permits: dict[str, int] = {}
        self._targets: dict[str, ColdTarget] = {}
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
        if registration.service in self._permits:
            known = self._targets.setdefault(
                registration.incarnation, ColdTarget(registration.service, now, now)
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
        wait_s = known.window.compute_wait_s(now)
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
        if claims is not None:
            update.cold = messages.ClaimUpdate(self._shares.number, claims)

    def on_message(
        self,
        now: float,
        peer: admissionpart.PeerMessage,
        update: messages.AdmissionUpdate,
    ) -> None:
        """Apply the claims of another entry."""
        self._shares.add_entries(now, peer.listed)
        self._shares.on_process(now, peer.host, peer.process)
        if update.cold is not None:
            self._shares.on_claims(peer.host, update.cold.number, update.cold.claims)
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
            version = (self._shares.entries_number, permits)
            if known.is_first_of != version:
                known.is_first_of = version
                known.is_first = self._shares.is_first_sender(incarnation, permits)
            if is_used or known.is_first:
                self._shares.set_limit(incarnation, known.registered_at, permits)
                self._shares.set_used(incarnation, is_used)
                known.window = known.window or SendWindow(SEND_WINDOW_S)
            elif known.window is not None:
                self._shares.set_used(incarnation, False)
        for incarnation, known in list(self._targets.items()):
            if known.is_cold and known.cold_until <= now:
                known.is_cold = False
                loguru.logger.info("event=target_warm target={}", incarnation)
            if known.listed_at < now - FORGET_S:
                del self._targets[incarnation]
                self._shares.remove_limit(incarnation)
        self._apply_shares(now)

    def _apply_shares(self, now: float) -> None:
        """Set the capacities of all windows."""
        for incarnation, known in self._targets.items():
            if known.window is None:
                continue
            # No entry sent anything to a target that is new. After its start, this one
            # cannot tell which targets are. A part that grows by a claim waits for the
            # window even then, since the others sent by their larger parts before.
            age_s = known.registered_at - self._started_at
            is_new = age_s > SEND_WINDOW_S and now - known.registered_at < WINDOW_S
            share = self._shares.compute_share(now, incarnation)
            is_first_part = is_new and not known.had_part
            known.window.set_capacity(now, share.burst, is_first_part)
            known.had_part = known.had_part or share.burst > 0

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
