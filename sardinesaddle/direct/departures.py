"""Remembers which incarnations of targets leave or are gone.

A store that comes back from an older copy lists targets as ready that had left since.
The entries are the memory: each one records what it learned, and they merge their
records, so that one that starts then knows, too.

Leaving is final: an incarnation that states it does not come back. One that the store
no longer listed may only have been silent for a while, and is back once it registers
again after that. Within an era of the store the order of its changes tells, and the
registrations alone decide. Across eras a registration counts only if it was certainly
written after the removal, see ``replica.Position``.

A record only grows (a flag and two positions that rise), so records may arrive in any
order and any number of times. It is dropped when the incarnation has not been
registered and the record has not changed for ``FORGET_S``; copies that a store is
restored from are seconds old.
"""

import dataclasses
import typing

from sardinesaddle.direct import messages, replica

FORGET_S: typing.Final = 300.0
# Beyond this, the oldest records are dropped, also those of registered incarnations.
MAX_RECORDS: typing.Final = 4096


@dataclasses.dataclass(slots=True)
class Record:
    """What is known of the end of an incarnation.

    ``removed`` is where the store removed it, ``returned`` where it registered after
    that. ``changed_at`` is the event loop's time, ``change_number`` that of the last
    change to this record in this process.
    """

    changed_at: float
    change_number: int = 0
    is_leaving: bool = False
    removed: replica.Position | None = None
    returned: replica.Position | None = None


class Departures:
    """The departures that an entry knows; ``change_number`` rises with each change."""

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self.change_number = 0

    def is_leaving(self, incarnation: str) -> bool:
        """Return whether an incarnation stated that it leaves."""
        record = self._records.get(incarnation)
        return record is not None and record.is_leaving

    def may_serve(self, incarnation: str, listed: replica.Position) -> bool:
        """Return whether an incarnation that is registered may get new requests.

        ``listed`` is the position of its registration.
        """
        record = self._records.get(incarnation)
        if record is None:
            return True
        if record.is_leaving:
            return False
        removed = record.removed
        return (
            removed is None
            or removed.era >= listed.era
            or listed.is_after(removed)
            or (record.returned is not None and record.returned.is_after(removed))
        )

    def on_leaving(self, now: float, incarnation: str) -> bool:
        """Record that an incarnation leaves; return whether that is new."""
        return self._merge(now, incarnation, True, None, None)

    def on_removed(
        self, now: float, incarnation: str, position: replica.Position
    ) -> None:
        """Record that the store no longer lists an incarnation."""
        self._merge(now, incarnation, False, position, None)

    def on_registered(
        self, now: float, incarnation: str, position: replica.Position
    ) -> None:
        """Record a registration, which may show that an incarnation is back."""
        record = self._records.get(incarnation)
        if record and record.removed and position.is_after(record.removed):
            self._merge(now, incarnation, False, None, position)

    def _merge(
        self,
        now: float,
        incarnation: str,
        is_leaving: bool,
        removed: replica.Position | None,
        returned: replica.Position | None,
        age_s: float = 0.0,
    ) -> bool:
        """Merge into the record of an incarnation; return whether that changes it."""
        record = self._records.setdefault(incarnation, Record(now))
        merged = (
            record.is_leaving or is_leaving,
            choose_later(record.removed, removed),
            choose_later(record.returned, returned),
        )
        if merged == (record.is_leaving, record.removed, record.returned):
            return False
        record.is_leaving, record.removed, record.returned = merged
        record.changed_at = now - age_s
        self.change_number += 1
        record.change_number = self.change_number
        if len(self._records) > MAX_RECORDS:
            del self._records[next(iter(self._records))]
        return True

    def forget(self, now: float, registered: typing.Container[str]) -> None:
        """Drop old records of incarnations that are not registered."""
        for incarnation, record in list(self._records.items()):
            if now - record.changed_at > FORGET_S and incarnation not in registered:
                del self._records[incarnation]

    def list_changes(self, now: float, after: int) -> list[messages.Departure]:
        """Return the records changed after a change number, for other entries."""
        return [
            messages.Departure(
                incarnation,
                record.is_leaving,
                encode_position(record.removed),
                encode_position(record.returned),
                round(now - record.changed_at, 1),
            )
            for incarnation, record in self._records.items()
            if record.change_number > after
        ]

    def merge(self, now: float, received: list[messages.Departure]) -> list[str]:
        """Merge another entry's records; return the incarnations that changed."""
        return [
            wire.incarnation
            for wire in received
            if wire.age_s <= FORGET_S
            and self._merge(
                now,
                wire.incarnation,
                wire.is_leaving,
                decode_position(wire.removed),
                decode_position(wire.returned),
                wire.age_s,
            )
        ]


def choose_later(
    known: replica.Position | None, new: replica.Position | None
) -> replica.Position | None:
    """Return the later one of two positions, the known one if they are equal."""
    if known is None or new is None:
        return known or new
    return new if new.is_after(known) else known


def encode_position(
    position: replica.Position | None,
) -> tuple[int, int, bool] | None:
    """Return a position as messages have it."""
    if position is None:
        return None
    return position.era, position.rev, position.may_be_copied


def decode_position(wire: tuple[int, int, bool] | None) -> replica.Position | None:
    """Return the position in a message."""
    return None if wire is None else replica.Position(*wire)
