"""Finds out which targets crashed, and which requests were running there.

A broken exchange alone does not show that its target crashed: connections are reset for
many reasons, and the target may run on. An exchange that ended without a response stays
unresolved until it is known what became of its target, for ``UNRESOLVED_S`` at most.

Each of these shows that a target's process has ended:

- A new connection is refused: no process listens any more. After a broken exchange the
  entry connects to the target once more to find that out.
- Another incarnation has taken its address or its identifier, as its registration or a
  misdirected request shows. Connections are accepted again then.
- The store no longer lists it, although it did not state that it would leave, and it
  accepts no connection.

Some targets leave without notice: the store no longer lists them, and they serve on for
a while. So the process at the address of an unlisted target is asked which one it is,
see ``targetidentity``. If it is the target, that serves on, and its end counts against
nobody. If another process has the address, the target has ended. If the process does
not state which one it is, nothing is recorded.

A response that only the end of its connection bounds is whole if its target did not end
with it. That is so if the target is seen after the response ended, see ``sightings``
and ``targetpresence``. Until then it is not known: a whole response that is lost does
less harm than a part of one that is taken for the whole, and one that waits for its end
does less harm than either. If processes do not state who they are, the store's list
decides.

The crash then counts against the contents of all unresolved exchanges with the target.
That includes exchanges that were cancelled because their caller had left. A response of
the target to a later request shows the opposite and resolves them, and so does the
completion of their content at another target. The end of a target that is leaving
counts against nobody. Parts of prompts are suspected only in exchanges whose response
had not begun.

A request that was sent on an idle connection may never have reached its target, if that
had fallen silent before. It counts only if the target closed the connection. Content
that got no response is sent on new connections from then on.
"""

import asyncio
import collections.abc
import dataclasses
import enum
import typing

import loguru

from sardinesaddle.direct import (
    catalog,
    crashledger,
    departures,
    freshness,
    nodemetrics,
    partprobes,
    sightings,
    targetidentity,
    targetpresence,
    targetstate,
    upstream,
)

# Between contacts with a target that gets no new requests.
CONTACT_PERIOD_S: typing.Final = 0.5 * sightings.SUCCESSOR_DELAY_S
# A target that is not listed, and has a slot, states who it is in that time.
ASKED_FIRST_S: typing.Final = targetpresence.LOOK_SPACING_S - targetpresence.MIN_WAIT_S
# Longer than the registration of a target that ended lasts, with the watch's delay.
UNRESOLVED_S: typing.Final = 10.0
BROKEN_KINDS: typing.Final = frozenset(
    {upstream.FailureKind.CLOSED, upstream.FailureKind.RESET}
)


class Evidence(enum.Enum):
    """What showed that a target ended; ``UNREGISTERED`` ones may come back."""

    REFUSED = "refused"
    REPLACED = "replaced"
    UNREGISTERED = "unregistered"


class ExchangeEnd(enum.Enum):
    """How an exchange ended.

    ``BROKEN``: the target closed the connection; ``SILENT``: the entry did, without a
    response; ``MISDIRECTED``: another target responded.
    """

    ANSWERED = "answered"
    BROKEN = "broken"
    SILENT = "silent"
    MISDIRECTED = "misdirected"


@dataclasses.dataclass(eq=False, slots=True)
class SentRequest:
    """A request that was sent to an incarnation of a target.

    ``ended_at`` is when its exchange ended without a response. ``has_arrived`` is set
    if the target was there when the request was sent, ``has_begun`` once the response
    began, ``is_unframed`` if only the end of its connection bounds it. Times are of a
    clock that counts suspension.
    """

    incarnation: str
    fingerprint: crashledger.Fingerprint
    conn: upstream.Connection
    sent_at: float
    has_arrived: bool
    has_begun: bool = False
    is_unframed: bool = False
    ended_at: float = freshness.NEVER
    was_aborted: bool = False


@dataclasses.dataclass(slots=True)
class TargetExchanges:
    """The exchanges with one incarnation of a target.

    ``evidence`` shows since ``found_at`` that the target has ended; it is None while
    the target may run, and ``group`` is its lock-step group then. ``is_leaving`` is set
    if it had stated that it would leave, or serves on though it ``is_unlisted``, that
    is, though the store no longer lists it. ``target`` is None before the first send.
    """

    target: targetstate.Target | None = None
    running: set[SentRequest] = dataclasses.field(default_factory=set)
    unresolved: list[SentRequest] = dataclasses.field(default_factory=list)
    evidence: Evidence | None = None
    group: str = ""
    found_at: float = freshness.NEVER
    is_leaving: bool = False
    is_unlisted: bool = False
    presence: targetpresence.Presence = dataclasses.field(
        default_factory=targetpresence.Presence
    )

    @property
    def has_ended(self) -> bool:
        """Whether the target's process is known to have ended for good."""
        return self.evidence not in (None, Evidence.UNREGISTERED)

    def is_needed(self, oldest: float) -> bool:
        """Return whether this holds more than what was found before ``oldest``."""
        return bool(
            self.running
            or self.unresolved
            or self.presence.is_sought
            or self.found_at >= oldest
        )


class CrashDetector(targetpresence.PresenceListener):
    """Tells the ledger of an entry which targets crashed under which requests.

    ``on_recorded`` is called after a crash was recorded. ``compute_turn`` returns the
    turn of this entry to probe a suspect, see ``partprobes``. ``find_service`` returns
    the service with a name, None if the configuration has none.
    """

    def __init__(
        self,
        ledger: crashledger.CrashLedger,
        pool: upstream.ConnectionPool,
        clock: freshness.SuspendAwareClock,
        entry_metrics: nodemetrics.EntryMetrics,
        on_recorded: collections.abc.Callable[[], None],
        left: departures.Departures,
        compute_turn: collections.abc.Callable[[str], int],
        identifier: targetidentity.TargetIdentifier,
        find_service: collections.abc.Callable[[str], catalog.Service | None],
    ) -> None:
        self._checker = targetpresence.PresenceChecker(
            pool, identifier, clock, entry_metrics, find_service, self
        )
        # For targets that the store no longer lists.
        self._looks: set[asyncio.Task[None]] = set()
        self._ledger = ledger
        self._probes = partprobes.PartProbes()
        self._compute_turn = compute_turn
        self._departures = left
        self._clock = clock
        self._metrics = entry_metrics
        self._on_recorded = on_recorded
        self._exchanges: dict[str, TargetExchanges] = {}  # by incarnation
        # When the last exchange of a content ended without a response.
        self._unanswered_at: dict[str, float] = {}

    def read_clock(self) -> float:
        """Return the time of the clock that counts suspension."""
        return self._clock.read()

    def find_refusal(
        self, fingerprint: crashledger.Fingerprint
    ) -> crashledger.Refusal | None:
        """Return why a request is refused, or None if it may run now."""
        now = self._clock.read()
        refusal = self._ledger.find_refusal(now, fingerprint)
        if refusal is None or refusal.retry_after_s > 0.0:
            return refusal
        if not refusal.suspect.startswith(crashledger.PART_PREFIX):
            return None
        turn = self._compute_turn(refusal.suspect)
        if self._probes.may_begin(now, refusal.suspect, turn, refusal.overdue_s):
            return None
        return dataclasses.replace(refusal, retry_after_s=partprobes.TURN_S)

    def begin_run(
        self, fingerprint: crashledger.Fingerprint
    ) -> crashledger.Refusal | None:
        """Check once more before a send; a part whose refusal is over is probed."""
        refusal = self.find_refusal(fingerprint)
        if refusal is not None:
            return refusal
        now = self._clock.read()
        suspect = self._ledger.find_refusal(now, fingerprint)
        if suspect and suspect.suspect.startswith(crashledger.PART_PREFIX):
            self._probes.begin(now, suspect.suspect)
            loguru.logger.info(
                "event=part_probe suspect={} content={} crashes={}",
                suspect.suspect,
                fingerprint.content_id,
                suspect.crash_count,
            )
        return None

    def find_suspicion(
        self, fingerprint: crashledger.Fingerprint
    ) -> crashledger.Suspicion:
        """Return how many crashes a request may have caused, and where it may run."""
        return self._ledger.find_suspicion(self._clock.read(), fingerprint)

    def needs_new_connection(self, content_id: str) -> bool:
        """Return whether a content got no response before, and no completion since."""
        return content_id in self._unanswered_at

    def on_first_send(self, fingerprint: crashledger.Fingerprint) -> None:
        """Record that a request which is not refused is sent for the first time."""
        self._ledger.record_first_send(self._clock.read(), fingerprint)

    def on_begun(self, sent: SentRequest) -> None:
        """Record that the response to a request began, which clears its parts."""
        sent.has_begun = True
        self._log_cleared(
            self._ledger.record_begin(self._clock.read(), sent.fingerprint.parts)
        )

    def on_completed(self, fingerprint: crashledger.Fingerprint) -> None:
        """Record that a target ran a request to its end."""
        content_id = fingerprint.content_id
        self._unanswered_at.pop(content_id, None)
        for exchanges in self._exchanges.values():
            if exchanges.unresolved:
                exchanges.unresolved = [
                    sent
                    for sent in exchanges.unresolved
                    if sent.fingerprint.content_id != content_id
                ]
        self._log_cleared(
            self._ledger.record_completion(self._clock.read(), fingerprint)
        )

    def _log_cleared(self, cleared: list[str]) -> None:
        """Log which contents and parts are no longer suspected."""
        if cleared:
            loguru.logger.info("event=suspects_cleared suspects={}", ",".join(cleared))

    def _get_exchanges(self, incarnation: str) -> TargetExchanges:
        """Return the exchanges with an incarnation of a target."""
        return self._exchanges.setdefault(incarnation, TargetExchanges())

    def on_sent(
        self,
        target: targetstate.Target,
        fingerprint: crashledger.Fingerprint,
        conn: upstream.Connection,
    ) -> SentRequest:
        """Record that a request is sent to a target on a connection."""
        incarnation = target.registration.incarnation
        now = self._clock.read()
        sent = SentRequest(incarnation, fingerprint, conn, now, not conn.was_idle)
        exchanges = self._get_exchanges(incarnation)
        exchanges.target = target
        exchanges.running.add(sent)
        return sent

    def on_exchange_end(self, sent: SentRequest, how: ExchangeEnd) -> None:
        """Record how the exchange that ``on_sent`` began has ended."""
        # The target may have been registered again, under its id, in the meantime.
        exchanges = self._get_exchanges(sent.incarnation)
        exchanges.running.discard(sent)
        if how is ExchangeEnd.ANSWERED:
            exchanges.evidence = None
            exchanges.unresolved = [
                other for other in exchanges.unresolved if other.ended_at > sent.sent_at
            ]
        elif how is not ExchangeEnd.MISDIRECTED:
            sent.ended_at = self._clock.read()
            sent.has_arrived |= how is ExchangeEnd.BROKEN and not sent.was_aborted
            self._unanswered_at[sent.fingerprint.content_id] = sent.ended_at
            exchanges.unresolved.append(sent)
            if exchanges.evidence is not None:
                self._record_crash(sent.incarnation, exchanges, exchanges.evidence)

    def expire(self) -> None:
        """Drop what ended more than ``UNRESOLVED_S`` ago."""
        oldest = self._clock.read() - UNRESOLVED_S
        for incarnation, exchanges in list(self._exchanges.items()):
            exchanges.unresolved = [
                sent for sent in exchanges.unresolved if sent.ended_at >= oldest
            ]
            if not exchanges.is_needed(oldest):
                del self._exchanges[incarnation]
        for content_id, ended_at in list(self._unanswered_at.items()):
            if ended_at < oldest:
                del self._unanswered_at[content_id]
        self._probes.expire(self._clock.read())

    async def probe(self, target: targetstate.Target) -> bool:
        """Find out whether a target crashed; return whether it accepts connections.

        Call this after a broken exchange, or if the target is silent.
        """
        exchanges = self._get_exchanges(target.registration.incarnation)
        if exchanges.has_ended:
            return False
        return await self._checker.probe(target, exchanges.presence)

    async def has_ended(self, target: targetstate.Target, incarnation: str) -> bool:
        """Return whether an incarnation of a target has ended by now.

        Waits until that is known: until it is seen from now on, or known to have ended.
        """
        exchanges = self._get_exchanges(incarnation)
        since = self._clock.read()
        while (has_ended := self._judge(exchanges, since)) is None:
            if target.registration.incarnation != incarnation:
                return True
            asks = exchanges.is_unlisted
            await self._checker.look(target, exchanges.presence, since, asks)
        loguru.logger.info(
            "event=response_end_judged target={} outcome={} listed={} waited_s={:.3f}",
            incarnation,
            "broken" if has_ended else "whole",
            not exchanges.is_unlisted,
            self._clock.read() - since,
        )
        return has_ended

    def _judge(self, exchanges: TargetExchanges, since: float) -> bool | None:
        """Return whether a target has ended that was to be seen since some time.

        None if that is not known yet. The end of a target that is not listed is to be
        expected, so contacts count only if it did not state at once who it is.
        """
        presence = exchanges.presence
        is_seen = presence.seen.seen_at >= since
        if exchanges.has_ended:
            return not is_seen or exchanges.evidence is Evidence.REPLACED
        if presence.identified_at >= since:
            return False
        if presence.unstated_at >= since:
            if exchanges.is_unlisted:
                return True
            return False if presence.accepted_at >= since else None
        looked_s = self._clock.read() - since
        if exchanges.is_unlisted and looked_s < ASKED_FIRST_S:
            return None
        return False if is_seen else None

    def on_connected(self, incarnation: str, began_at: float) -> None:
        """Record a connection to a target that was opened since ``began_at``."""
        presence = self._get_exchanges(incarnation).presence
        presence.seen.on_accepted(began_at, self._clock.read())
        presence.notify()

    def on_answered(self, sent: SentRequest) -> None:
        """Record that the target itself answered a request."""
        presence = self._get_exchanges(sent.incarnation).presence
        presence.seen.on_answered(sent.sent_at)
        presence.notify()

    def on_refused(self, target: targetstate.Target) -> None:
        """Record that nothing listens at a target's address: it has ended."""
        self.on_target_ended(target, Evidence.REFUSED)

    def on_replaced(self, target: targetstate.Target) -> None:
        """Record that another process is at a target's address: it has ended."""
        self.on_target_ended(target, Evidence.REPLACED)

    def on_identified(self, target: targetstate.Target) -> None:
        """Record that a target runs; one that is not listed serves on, and leaves."""
        exchanges = self._get_exchanges(target.registration.incarnation)
        if exchanges.is_unlisted:
            exchanges.evidence = None
            exchanges.is_leaving = True

    async def _look_for_unlisted(
        self, target: targetstate.Target, exchanges: TargetExchanges
    ) -> None:
        """Find out whether a target runs that the store no longer lists."""
        if await self._checker.probe(target, exchanges.presence):
            self._checker.ask(target, exchanges.presence)
        elif exchanges.is_unlisted and not exchanges.has_ended:
            self.on_target_ended(target, Evidence.UNREGISTERED)

    def contact_departing(self) -> None:
        """Connect to targets that get no new requests and still send responses.

        Contacts show those that run, however busy they are, to responses that only the
        end of their connection bounds. Call this twice in ``CONTACT_PERIOD_S``.
        """
        now = self._clock.read()
        for incarnation, exchanges in self._exchanges.items():
            target, presence = exchanges.target, exchanges.presence
            is_departing = exchanges.is_unlisted or (
                self._departures.is_leaving(incarnation)
            )
            if (
                is_departing
                and target is not None
                and target.registration.incarnation == incarnation
                and not exchanges.has_ended
                and now - presence.probe_began_at >= CONTACT_PERIOD_S
                and any(sent.is_unframed for sent in exchanges.running)
            ):
                self._checker.start_probe(target, presence)

    def on_target_ended(self, target: targetstate.Target, evidence: Evidence) -> None:
        """Record that a target's process has ended.

        The exchanges that run there are broken off if the target was replaced. One that
        is only unlisted may still respond.
        """
        incarnation = target.registration.incarnation
        exchanges = self._update_exchanges(target)
        if not exchanges.has_ended:
            exchanges.evidence = evidence
        self._record_crash(incarnation, exchanges, exchanges.evidence or evidence)
        if evidence is Evidence.REPLACED:
            for sent in exchanges.running:
                sent.was_aborted = True
                sent.conn.abort()
        exchanges.presence.notify()

    def _update_exchanges(self, target: targetstate.Target) -> TargetExchanges:
        """Return the exchanges with a target that may have ended, updated."""
        incarnation = target.registration.incarnation
        exchanges = self._get_exchanges(incarnation)
        exchanges.is_leaving |= (
            target.registration.state is catalog.TargetState.DRAINING
            or self._departures.is_leaving(incarnation)
        )
        exchanges.group = target.group or exchanges.group
        exchanges.found_at = self._clock.read()
        return exchanges

    def on_target_unlisted(self, target: targetstate.Target) -> None:
        """Record that the store no longer lists a target, and check whether it runs."""
        exchanges = self._update_exchanges(target)
        exchanges.is_unlisted = True
        if not exchanges.is_leaving and (exchanges.running or exchanges.unresolved):
            loop = asyncio.get_running_loop()
            look = loop.create_task(self._look_for_unlisted(target, exchanges))
            self._looks.add(look)
            look.add_done_callback(self._looks.discard)

    def on_target_listed(self, incarnation: str) -> None:
        """Record that the store lists an incarnation, perhaps once more."""
        exchanges = self._exchanges.get(incarnation)
        if exchanges is None or not exchanges.is_unlisted:
            return
        exchanges.is_unlisted = False
        exchanges.is_leaving = self._departures.is_leaving(incarnation)
        if not exchanges.has_ended:
            exchanges.evidence = None

    def _record_crash(
        self, incarnation: str, exchanges: TargetExchanges, evidence: Evidence
    ) -> None:
        """Count a target's end against its unresolved requests."""
        unresolved, exchanges.unresolved = exchanges.unresolved, []
        if exchanges.is_leaving:
            return
        now = self._clock.read()
        changed = [
            sent.fingerprint.content_id
            for sent in unresolved
            if sent.has_arrived
            and now - sent.ended_at <= UNRESOLVED_S
            and self._ledger.record_crash(
                now, make_suspect(sent), incarnation, exchanges.group
            )
        ]
        if not changed:
            return
        self._metrics.count_crash(evidence.value)
        loguru.logger.info(
            "event=target_crashed target={} evidence={} contents={}",
            incarnation,
            evidence.value,
            self._ledger.format_counts(now, changed),
        )
        self._on_recorded()


def make_suspect(sent: SentRequest) -> crashledger.Fingerprint:
    """Return what of a request may have crashed its target.

    A part crashes its target before the response begins.
    """
    if sent.has_begun:
        return crashledger.Fingerprint(sent.fingerprint.content_id)
    return sent.fingerprint
