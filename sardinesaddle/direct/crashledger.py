"""Remembers under which requests targets crashed, and which requests to refuse.

Some requests crash every target that runs them, and their callers send them again, at
any entry. The ledger records, for each request content, the incarnations of targets
that crashed while it ran there. Content with two crashes is quarantined, that is,
refused, unless another content has the same two and so explains them as well; then both
may run once more, apart from each other. Content with three crashes is always
quarantined.

Requests that only ran beside the cause of a crash differ from it in two ways. First,
crashes that quarantined contents explain do not count against them. Second, they run to
their end when they are sent again. Content that was completed is cleared: the crashes
recorded so far no longer count. Content that many callers send at once may be running
on several targets that crash for other reasons, so content that was completed in the
last ``COMPLETION_MEMORY_S`` is not recorded at all.

A refusal ends ``FIRST_REFUSAL_S`` after the last crash, so that a wrong one does not
last. If the content crashes another target then, the next refusal is longer. Within
``SETTLING_S`` of a crash callers are told to come back after that time, since a record
that explains it may still be on its way from another entry.

All entries merge their ledgers. A record holds two sets of incarnations, those that
crashed and those that are cleared, which only grow; merging takes the union, so records
may arrive in any order and any number of times.
"""

import collections
import dataclasses
import typing

from sardinesaddle.direct import messages

MIN_CRASHES: typing.Final = 2  # quarantined if no other content explains them
MAX_CRASHES: typing.Final = 3  # quarantined in any case
SETTLING_S: typing.Final = 3.0  # the time in which all entries learn of a crash
FIRST_REFUSAL_S: typing.Final = 600.0
REFUSAL_GROWTH: typing.Final = 4.0
MAX_REFUSAL_S: typing.Final = 24 * 3600.0
# Callers complete content that many of them send several times a second.
COMPLETION_MEMORY_S: typing.Final = 2.0
MAX_RECORDS: typing.Final = 1024  # beyond this, those with the fewest crashes go
DROPPED_RECORDS: typing.Final = 64


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """The incarnations of targets that crashed while a request content ran there.

    ``last_crash_at`` is the time of the last crash, ``change_number`` that of the last
    change to this record in this process's ledger.
    """

    last_crash_at: float
    change_number: int = 0
    crashed: set[str] = dataclasses.field(default_factory=set)
    cleared: set[str] = dataclasses.field(default_factory=set)


class CrashIndex:
    """The contents by crash, and which of them are quarantined.

    ``counted`` are the crashes of each content that count against it.
    """

    __slots__ = ("_by_crash", "counted", "quarantined")

    def __init__(self, records: dict[str, CrashRecord]) -> None:
        self.counted = {
            content_id: counted
            for content_id, record in records.items()
            if (counted := record.crashed - record.cleared)
        }
        self._by_crash: dict[str, set[str]] = {}
        for content_id, counted in self.counted.items():
            for incarnation in counted:
                self._by_crash.setdefault(incarnation, set()).add(content_id)
        suspects = {
            content_id
            for content_id, counted in self.counted.items()
            if len(counted) >= MAX_CRASHES
            or (len(counted) >= MIN_CRASHES and not self._has_alternative(content_id))
        }
        self.quarantined = {
            content_id
            for content_id in suspects
            if len(self.counted[content_id]) >= MAX_CRASHES
            or self.count_unexplained(content_id, suspects)
        }

    def _has_alternative(self, content_id: str) -> bool:
        """Return whether another content explains all crashes of a content."""
        same_crashes = [self._by_crash[crash] for crash in self.counted[content_id]]
        return len(set.intersection(*same_crashes)) > 1

    def count_unexplained(self, content_id: str, explaining: set[str]) -> int:
        """Count the crashes of a content that none of the explaining contents explains.

        A content whose crashes are all among the given one's explains none of them.
        """
        counted = self.counted[content_id]
        return sum(
            all(
                self.counted[other] <= counted
                for other in self._by_crash[crash] & explaining
            )
            for crash in counted
        )


class CrashLedger:
    """The crash records of an entry, merged with those of the others.

    Times are of a clock that counts suspension. ``change_number`` increases with each
    change.
    """

    __slots__ = (
        "_completed_at",
        "_index",
        "_index_change_number",
        "_records",
        "change_number",
    )

    def __init__(self) -> None:
        self._records: dict[str, CrashRecord] = {}
        # The last completion of each content, the oldest first.
        self._completed_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.change_number = 0
        self._index = CrashIndex({})
        self._index_change_number = 0

    def _get_index(self) -> CrashIndex:
        """Return the index of the records, computed anew after a change."""
        if self._index_change_number != self.change_number:
            self._index_change_number = self.change_number
            self._index = CrashIndex(self._records)
        return self._index

    def get_crash_count(self, content_id: str) -> int:
        """Return how many crashes the content may have caused."""
        index = self._get_index()
        if content_id not in index.counted:
            return 0
        if content_id in index.quarantined:
            return len(index.counted[content_id])
        return index.count_unexplained(content_id, index.quarantined)

    def compute_refusal_s(self, now: float, content_id: str) -> float:
        """Return after how long callers may come back, 0.0 if the content may run."""
        index = self._get_index()
        if content_id not in index.quarantined:
            return 0.0
        settling_s = self._records[content_id].last_crash_at + SETTLING_S - now
        if settling_s > 0.0:
            return settling_s
        extra_crashes = len(index.counted[content_id]) - MIN_CRASHES
        refusal_s = min(FIRST_REFUSAL_S * REFUSAL_GROWTH**extra_crashes, MAX_REFUSAL_S)
        return max(self._records[content_id].last_crash_at + refusal_s - now, 0.0)

    def format_counts(self, content_ids: list[str]) -> str:
        """Return contents with their crash counts, for the log."""
        return ",".join(f"{c}:{self.get_crash_count(c)}" for c in content_ids)

    def count_refused(self, now: float) -> int:
        """Return the number of contents that are refused."""
        return sum(
            self.compute_refusal_s(now, c) > 0.0 for c in self._get_index().quarantined
        )

    def record_crash(self, now: float, content_id: str, incarnation: str) -> bool:
        """Count a target's crash against a content; return whether it is new."""
        if self._was_completed_recently(now, content_id):
            return False
        return self._merge_record(now, content_id, {incarnation}, set())

    def record_completion(self, now: float, content_id: str) -> bool:
        """Clear a content that a target completed; return whether that changes it."""
        self._completed_at[content_id] = now
        self._completed_at.move_to_end(content_id)
        while next(iter(self._completed_at.values())) < now - COMPLETION_MEMORY_S:
            self._completed_at.popitem(last=False)
        return self._clear(content_id)

    def _was_completed_recently(self, now: float, content_id: str) -> bool:
        """Return whether a content was completed within ``COMPLETION_MEMORY_S``."""
        completed_at = self._completed_at.get(content_id)
        return completed_at is not None and now - completed_at <= COMPLETION_MEMORY_S

    def _clear(self, content_id: str) -> bool:
        """Clear the crashes counted so far; return whether there were any."""
        record = self._records.get(content_id)
        if record is None or record.crashed <= record.cleared:
            return False
        record.cleared |= record.crashed
        self._number_change(record)
        return True

    def _number_change(self, record: CrashRecord) -> None:
        """Give a record the next change number."""
        self.change_number += 1
        record.change_number = self.change_number

    def _merge_record(
        self,
        crash_at: float,
        content_id: str,
        crashed: typing.AbstractSet[str],
        cleared: typing.AbstractSet[str],
    ) -> bool:
        """Merge incarnations into a record; return whether the record changes."""
        record = self._records.get(content_id)
        if record is None:
            record = CrashRecord(crash_at)
            self._records[content_id] = record
        record.last_crash_at = max(record.last_crash_at, crash_at)
        if crashed <= record.crashed and cleared <= record.cleared:
            return False
        record.crashed |= crashed
        record.cleared |= cleared
        self._number_change(record)
        if len(self._records) > MAX_RECORDS:
            self._drop_least_important()
        return True

    def _drop_least_important(self) -> None:
        """Drop the records with the fewest crashes that count, of these the oldest.

        When many targets end at once, the contents that ran there fill the ledger.
        Several are dropped at a time, since finding them takes a millisecond.
        """

        def get_importance(content_id: str) -> tuple[int, float]:
            record = self._records[content_id]
            return len(record.crashed - record.cleared), record.last_crash_at

        for content_id in sorted(self._records, key=get_importance)[:DROPPED_RECORDS]:
            del self._records[content_id]

    def list_changes(self, now: float, after: int) -> list[messages.CrashRecord]:
        """Return the records changed after a change number, for other entries."""
        return [
            messages.CrashRecord(
                content_id,
                sorted(record.crashed),
                sorted(record.cleared),
                max(now - record.last_crash_at, 0.0),
            )
            for content_id, record in self._records.items()
            if record.change_number > after
        ]

    def merge(self, now: float, records: list[messages.CrashRecord]) -> list[str]:
        """Merge the records of another entry; return the contents that changed."""
        changed = []
        for wire in records:
            is_changed = self._merge_record(
                now - wire.last_crash_age_s,
                wire.content_id,
                set(wire.crashed),
                set(wire.cleared),
            )
            if self._was_completed_recently(now, wire.content_id):
                is_changed |= self._clear(wire.content_id)
            if is_changed:
                changed.append(wire.content_id)
        return changed
