"""Takes the targets of evacuated places out of service.

The store names the places that are evacuated. Requests that already run there finish;
first sends, retries, queued requests and resumed streams go elsewhere.

Entries also tell each other the statements that they know, ended ones included, in
their heartbeats. A store that was restored from an older copy may lack an evacuation,
or its end, and an entry that starts then learns it from the others. Of two statements
about a place, the one that was certainly written after the other holds, see
``replica.Position``. That the first listing of an era lacks a key states nothing.

A process that was suspended for nearly the users' bound may have missed an evacuation
that is in force by then. It sends nothing until its configuration is confirmed again,
for ``MAX_HOLD_S`` at most, since an outage of the store must not stop it.
"""

import collections.abc
import dataclasses
import typing

import loguru

from sardinesaddle.direct import (
    messages,
    nodemetrics,
    replica,
    storedecoder,
    targetstate,
)
from sardinesaddle.direct.admission import admissionpart, sendconstraint

# Bounds memory and heartbeats if the keys are faulty; deployments have a few places.
MAX_STATEMENTS: typing.Final = 64
# How much earlier than the users' bound a suspension counts; maintenance and the send.
SUSPENSION_MARGIN_S: typing.Final = 1.0
MAX_HOLD_S: typing.Final = 0.5  # two periods of heartbeats, which reply within 0.1 s
EVACUATED: typing.Final = sendconstraint.Verdict(
    sendconstraint.Decision.NEVER, "evacuated"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """Whether a place is evacuated, and where in the store that was written."""

    is_in_force: bool
    position: replica.Position


class EvacuationConstraint(sendconstraint.SendConstraint):
    """Forbids requests at targets of evacuated places."""

    name: typing.ClassVar[str] = "evacuation"

    def __init__(self, part: "EvacuationPart") -> None:
        self._part = part

    def check(
        self,
        now: float,
        target: targetstate.Target,
        request: sendconstraint.RequestTraits,
    ) -> sendconstraint.Verdict:
        """Return whether the target's place is in service."""
        if not self._part.is_available(target):
            return EVACUATED
        hold_s = self._part.compute_hold_s(now)
        if hold_s <= 0.0:
            return sendconstraint.ALLOWED
        return sendconstraint.Verdict(
            sendconstraint.Decision.LATER, "suspended", hold_s
        )


class EvacuationPart(admissionpart.AdmissionPart):
    """The evacuated places that an entry knows.

    ``max_delay_s`` is the users' bound for an evacuation to be in force.
    ``on_peer_change`` is called when another entry's message changes the places.
    """

    name: typing.ClassVar[str] = "evacuation"

    def __init__(
        self,
        store_decoder: storedecoder.StoreDecoder,
        max_delay_s: float,
        on_peer_change: collections.abc.Callable[[], None],
    ) -> None:
        self._store_decoder = store_decoder
        self._max_delay_s = max_delay_s
        self._on_peer_change = on_peer_change
        self._statements: dict[str, Statement] = {}
        self._evacuated: set[str] = set()
        # Evacuated places for which no targets were looked up yet.
        self._unchecked: set[str] = set()
        self._is_uncertain = False
        # The last refresh, and until when nothing is sent; the event loop's times.
        self._refreshed_at: float | None = None
        self._held_until = 0.0
        self._resumed_at = 0.0

    def list_constraints(self) -> list[sendconstraint.SendConstraint]:
        """Return the constraint that forbids evacuated places."""
        return [EvacuationConstraint(self)]

    def is_available(self, target: targetstate.Target) -> bool:
        """Return whether the target's place is in service."""
        return target.registration.place not in self._evacuated

    def compute_hold_s(self, now: float) -> float:
        """Return for how long nothing is sent after a suspension, 0 for none."""
        return MAX_HOLD_S if self._has_stood_still(now) else self._held_until - now

    def _has_stood_still(self, now: float) -> bool:
        """Return whether the process was suspended since the last refresh."""
        limit_s = self._max_delay_s - SUSPENSION_MARGIN_S
        refreshed_at = self._refreshed_at
        return refreshed_at is not None and now - refreshed_at > max(limit_s, 1.0)

    def on_store_change(
        self, now: float, change: replica.Change, position: replica.Position
    ) -> bool:
        """Apply a key that names a place; return whether that changes its state."""
        if not change.key.startswith(self._store_decoder.evacuation_prefix):
            return False
        place = self._store_decoder.get_evacuated_place(change.key)
        if place is None:
            loguru.logger.warning(
                "event=evacuation_key_invalid key={!r:.80} rev={} remedy={!r}",
                change.key,
                change.rev,
                "delete this key and write one that ends with the name of a zone",
            )
            return False
        if change.is_unlisted:
            if place in self._evacuated:
                loguru.logger.warning(
                    "event=evacuation_kept place={} era={} rev={} remedy={!r}",
                    place,
                    position.era,
                    change.rev,
                    "the restored store lacks the key; to end the evacuation, write"
                    " the key and delete it",
                )
            return False
        statement = Statement(change.value is not None, position)
        return self._apply(place, statement, "store")

    def _apply(self, place: str, statement: Statement, source: str) -> bool:
        """Apply a later statement; return whether that changes the place's state."""
        known = self._statements.get(place)
        if known is not None and not statement.position.is_after(known.position):
            return False
        if known is None and len(self._statements) >= MAX_STATEMENTS:
            loguru.logger.error(
                "event=evacuation_ignored place={} known={} remedy={!r}",
                place,
                len(self._statements),
                "delete evacuations of zones that do not exist; restart the entries",
            )
            return False
        self._statements[place] = statement
        if (place in self._evacuated) == statement.is_in_force:
            return False
        if statement.is_in_force:
            self._evacuated.add(place)
            self._unchecked.add(place)
        else:
            self._evacuated.discard(place)
            self._unchecked.discard(place)
        loguru.logger.info(
            "event=evacuation_{} place={} era={} rev={} copied={} source={}",
            "begins" if statement.is_in_force else "ends",
            place,
            statement.position.era,
            statement.position.rev,
            statement.position.may_be_copied,
            source,
        )
        return True

    def make_update(
        self, now: float, host: str, is_reply: bool, update: messages.AdmissionUpdate
    ) -> None:
        """Tell another entry all statements; there are as many as places."""
        if self._statements:
            update.evacuations = [
                messages.Evacuation(
                    place,
                    statement.is_in_force,
                    dataclasses.astuple(statement.position),
                )
                for place, statement in self._statements.items()
            ]

    def on_message(
        self,
        now: float,
        peer: admissionpart.PeerMessage,
        update: messages.AdmissionUpdate,
    ) -> None:
        """Apply the statements that another entry knows."""
        changes = [
            self._apply(
                wire.place,
                Statement(wire.is_in_force, replica.Position(*wire.position)),
                peer.host,
            )
            for wire in update.evacuations or ()
        ]
        if any(changes):
            self._on_peer_change()

    def refresh(
        self,
        now: float,
        entries: admissionpart.EntryView,
        targets: collections.abc.Collection[targetstate.Target],
    ) -> None:
        """Log evacuated places without targets, and when evacuations may be missed."""
        self._refresh_hold(now, entries.config_age_s)
        is_uncertain = entries.config_age_s > self._max_delay_s
        if is_uncertain != self._is_uncertain:
            self._is_uncertain = is_uncertain
            loguru.logger.warning(
                "event=evacuations_{} config_age_s={:.2f}",
                "uncertain" if is_uncertain else "certain",
                entries.config_age_s,
            )
        if not self._unchecked or not targets:
            return
        places = {target.registration.place for target in targets}
        for place in self._unchecked - places:
            loguru.logger.warning(
                "event=evacuation_without_targets place={} places={} remedy={!r}",
                place,
                ",".join(sorted(places)),
                "no target is in this zone; if its name is wrong, delete the key",
            )
        self._unchecked.clear()

    def _refresh_hold(self, now: float, config_age_s: float) -> None:
        """Begin to hold requests back after a suspension, or end it."""
        if self._has_stood_still(now):
            self._resumed_at = now
            self._held_until = now + MAX_HOLD_S
            loguru.logger.warning(
                "event=evacuation_hold stood_still_s={:.2f} max_hold_s={}",
                now - (self._refreshed_at or now),
                MAX_HOLD_S,
            )
        elif now < self._held_until and config_age_s < now - self._resumed_at:
            self._held_until = now
        self._refreshed_at = now

    def write_metrics(
        self, now: float, entry_metrics: nodemetrics.EntryMetrics
    ) -> None:
        """Set a gauge for each place that is or was evacuated."""
        for place, statement in self._statements.items():
            entry_metrics.set_evacuation(place, statement.is_in_force)
