"""Keeps the paces of an entry, and exchanges their windows with other entries."""

import collections.abc
import dataclasses
import typing

import loguru

from sardinesaddle.direct import limitshares, messages, targetstate
from sardinesaddle.direct.admission import targetpace

# Ended paces are remembered until every record of them is too old to be taken over.
ENDED_TTL_S: typing.Final = targetpace.MAX_SLOW_PACE_S
ENDED_SENT_S: typing.Final = 10.0  # gossip reaches 370 entries in about 1 s
MAX_PENDING: typing.Final = 1000  # records of targets that this entry does not know
MAX_RECORDS: typing.Final = 64  # in an update: 1.2 KB at 19 bytes
MAX_COUNT: typing.Final = 2**31
MAX_WINDOW: typing.Final = 2**20


@dataclasses.dataclass(frozen=True, slots=True)
class EndedPace:
    """The version in which a pace ended, and when."""

    version: tuple[int, int]
    ended_at: float


class PaceStore:
    """The paces in force by incarnation, and those that ended a short time ago."""

    def __init__(self) -> None:
        self.paces: dict[str, targetpace.TargetPace] = {}
        self._ended: dict[str, EndedPace] = {}
        self._names: dict[int, str] = {}
        self._pending: dict[int, messages.PaceRecord] = {}
        # By service, the incarnations that do not ramp up.
        self._warm: dict[str, set[str]] = {}

    def is_service_cold(self, service: str) -> bool:
        """Return whether no target of a service is warm."""
        return not self._warm.get(service)

    def add_name(self, incarnation: str) -> None:
        """Learn an incarnation, of which records have only the hash."""
        self._names[limitshares.compute_limit_id(incarnation)] = incarnation

    def add_warm(self, target: targetstate.Target) -> None:
        """Note that a target does not ramp up."""
        warm = self._warm.setdefault(target.registration.service, set())
        warm.add(target.registration.incarnation)

    def begin(
        self,
        now: float,
        target: targetstate.Target,
        cause: str,
        is_careful: bool = False,
    ) -> None:
        """Begin a pace, unless one is in force or others have ended it already."""
        key = target.registration.incarnation
        if key in self.paces:
            return
        slots = max(target.registration.slots, 1)
        ended = self._ended.pop(key, None)
        self._discard_warm(target)
        is_cold = self.is_service_cold(target.registration.service)
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
        self.paces[key] = pace
        self._discard_warm(target)
        pending = self._pending.pop(limitshares.compute_limit_id(key), None)
        if pending is not None:
            self._merge(now, key, pending)

    def _discard_warm(self, target: targetstate.Target) -> None:
        """Note that a target ramps up."""
        warm = self._warm.get(target.registration.service, set())
        warm.discard(target.registration.incarnation)

    def find_warm(self, targets: collections.abc.Iterable[targetstate.Target]) -> None:
        """Find the targets of each service that do not ramp up."""
        self._warm = {}
        for target in targets:
            incarnation = target.registration.incarnation
            if incarnation not in self.paces:
                self.add_warm(target)

    def end(self, now: float, key: str) -> None:
        """End a pace; the target is no longer restrained."""
        pace = self.paces.pop(key)
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

    def forget(self, key: str) -> None:
        """Drop a pace whose target is gone."""
        self.paces.pop(key, None)
        self._ended.pop(key, None)
        self._names.pop(limitshares.compute_limit_id(key), None)

    def make_records(self, now: float) -> list[messages.PaceRecord] | None:
        """Return the paces in force, and those that ended a short time ago."""
        records = [
            messages.PaceRecord(
                limitshares.compute_limit_id(key),
                pace.begun,
                pace.shrink_count,
                max(int(pace.window), 1),
                int((now - pace.changed_at) * 1000.0),
            )
            for key, pace in self.paces.items()
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
        if not records:
            return None
        # More than fit are sent in turn, as the order changes with each update.
        start = int(now * 4.0) * MAX_RECORDS % len(records)
        return (records[start:] + records[:start])[:MAX_RECORDS]

    def on_record(
        self,
        now: float,
        record: messages.PaceRecord,
        targets: collections.abc.Iterable[targetstate.Target],
    ) -> None:
        """Apply one record of another entry."""
        key = self._names.get(record.key)
        if key is not None and key in self.paces:
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
        self._adopt(now, key, record, find_target(key, targets))

    def adopt_pending(self, now: float, target: targetstate.Target) -> None:
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
        pace = self.paces[key]
        before = pace.window
        has_shrunk = pace.merge(
            record.begun,
            record.shrink_count,
            float(record.window),
            now - record.age_ms / 1000.0,
        )
        if pace.is_over:
            self.end(now, key)
        elif has_shrunk and pace.window < before:
            log_decrease(key, "peer", before, pace)


def find_target(
    incarnation: str, targets: collections.abc.Iterable[targetstate.Target]
) -> targetstate.Target | None:
    """Return the target of an incarnation, None if it is not registered."""
    return next((t for t in targets if t.registration.incarnation == incarnation), None)


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
