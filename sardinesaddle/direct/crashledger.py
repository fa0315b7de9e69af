"""Remembers under which requests targets crashed, and which requests to refuse.

Some requests crash every target that runs them, and their callers send them again, at
any entry. Or a part of prompts does, and it comes with other content each time.
The ledger records, for each request content, the incarnations of targets that crashed
while it ran there, and its parts. ``crashindex`` finds what explains the crashes: the
content or the part that is then quarantined, that is, refused.

Requests that only ran beside the cause of a crash differ from it in two ways. First,
crashes that quarantined contents or parts explain do not count against them. Second,
they run when they are sent again. Content that was completed is cleared, and so are the
parts of a request whose response began: the crashes recorded so far no longer count.
Content that many callers send at once, and parts that many requests share, may be
running on several targets that crash for other reasons, so what was completed in the
last ``COMPLETION_MEMORY_S`` is not suspected at all.

A refusal ends ``FIRST_REFUSAL_S`` after the last crash, so that a wrong one does not
last. If the content or part crashes another target then, the next refusal is longer.
Within ``SETTLING_S`` of a crash callers are told to come back after that time, since a
record that explains it may still be on its way from another entry.

All entries merge their ledgers. A record holds sets that only grow: incarnations that
crashed, and those that are cleared; merging takes the union, so records may arrive in
any order and any number of times. A part has a record of its own for what is cleared.
It also tells when an entry last had a response for the part, as far as that matters for
a crash: an entry that starts, and one that has none of a caller's requests, cannot know
which parts are served.
A ledger holds ``MAX_RECORDS`` at most; those with the fewest crashes are dropped first.
"""

import collections
import dataclasses
import typing

from sardinesaddle.direct import crashindex, messages, parttraffic

SETTLING_S: typing.Final = 3.0  # the time in which all entries learn of a crash
FIRST_REFUSAL_S: typing.Final = 600.0
REFUSAL_GROWTH: typing.Final = 4.0
MAX_REFUSAL_S: typing.Final = 24 * 3600.0
# Callers complete content that many of them send several times a second.
COMPLETION_MEMORY_S: typing.Final = 2.0
SOUND_S: typing.Final = 10.0  # a part that was sound so lately is no suspect at first
SERVED_S: typing.Final = 60.0  # one that was served so lately needs more evidence
# Entries tell each other of a later response only if it is later by this time.
SERVED_STEP_S: typing.Final = 5.0
PEER_JUDGEMENT_S: typing.Final = 3.0  # that of another entry counts for so long
MAX_COMPLETIONS: typing.Final = 8192  # remembered; the oldest are forgotten first
CONTAINMENT_S: typing.Final = 60.0  # suspects that do not run in this time are free
MAX_RECORDS: typing.Final = 1024  # beyond this, those with the fewest crashes go
DROPPED_RECORDS: typing.Final = 64
INDEX_MAX_AGE_S: typing.Final = 1.0  # after a crash; the traffic changes, too
INDEX_UPDATED_S: typing.Final = 30.0  # for so long after the last crash
PART_PREFIX: typing.Final = "part:"  # of the key of a part's record


@dataclasses.dataclass(frozen=True, slots=True)
class Fingerprint:
    """What the attempts of a request, or several requests, have in common.

    ``content_id`` is the same for all attempts of a caller at one request. ``parts``
    are those of its prompt that it shares with other requests, in order.
    """

    content_id: str
    parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused: a quarantined content or part, and its crashes.

    ``retry_after_s`` is when callers may come back, 0.0 if the time has been over for
    ``overdue_s``; ``age_s`` is the time since the last crash.
    """

    suspect: str
    crash_count: int
    age_s: float
    retry_after_s: float
    overdue_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """How many crashes a request may have caused, and where it may run.

    ``group`` is the lock-step group that crashed last under what it may be suspected
    for, empty if the request may run anywhere; ``age_s`` is the time since then.
    """

    crash_count: int = 0
    group: str = ""
    age_s: float = 0.0


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """The incarnations of targets that crashed while a request content ran there.

    ``cleared`` are those that no longer count; a record of a part has only these and
    ``served_at``, when an entry last had a response for it.
    ``parts`` are those of the content that may be the cause. ``last_crash_at`` is the
    time of the last crash, ``group`` the lock-step group that it broke,
    ``change_number`` that of the last change to this record in this process's ledger.
    ``is_own`` tells whether this entry sent the content to a target that crashed,
    ``was_resent`` whether it came again after a crash.
    """

    last_crash_at: float
    change_number: int = 0
    crashed: set[str] = dataclasses.field(default_factory=set)
    cleared: set[str] = dataclasses.field(default_factory=set)
    parts: tuple[str, ...] = ()
    group: str = ""
    is_own: bool = False
    was_resent: bool = False
    served_at: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class PeerJudgement:
    """The parts of prompts that another entry refused at a time."""

    at: float
    refused_parts: frozenset[str]


class CrashLedger:
    """The crash records of an entry, merged with those of the others.

    Times are of a clock that counts suspension. ``change_number`` increases with each
    change. ``entry_count`` is the number of entries, which share the traffic.
    """

    __slots__ = (
        "_completed_at",
        "_content_index",
        "_crashed_at",
        "_index_at",
        "_index_change_number",
        "_is_index_outdated",
        "_last_crash_at",
        "_part_index",
        "_peer_judgements",
        "_records",
        "change_number",
        "entry_count",
        "traffic",
    )

    def __init__(self) -> None:
        self._records: dict[str, CrashRecord] = {}
        # The last completion of each content and part, the oldest first.
        self._completed_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # When each target crashed, as far as this ledger knows.
        self._crashed_at: dict[str, float] = {}
        self._peer_judgements: dict[str, PeerJudgement] = {}
        self.traffic = parttraffic.PartTraffic()
        self.change_number = 0
        self.entry_count = 1
        self._index_change_number = 0
        self._is_index_outdated = False
        self._index_at = 0.0
        self._last_crash_at = float("-inf")
        evidence = self._make_evidence(0.0)
        self._part_index = crashindex.PartIndex(evidence)
        self._content_index = crashindex.ContentIndex(evidence.crashes, set())

    def _update_index(self, now: float) -> None:
        """Compute the indices anew after a change, or when they are old."""
        has_changed = (
            self._is_index_outdated or self._index_change_number != self.change_number
        )
        is_old = (
            self._index_at < self._last_crash_at + INDEX_UPDATED_S
            and now - self._index_at >= INDEX_MAX_AGE_S
        )
        if not has_changed and not is_old:
            return
        self._index_change_number = self.change_number
        self._is_index_outdated = False
        self._index_at = now
        evidence = self._make_evidence(now)
        self._part_index = crashindex.PartIndex(evidence)
        explained = set().union(*self._part_index.quarantined.values())
        self._content_index = crashindex.ContentIndex(evidence.crashes, explained)

    def _make_evidence(self, now: float) -> crashindex.Evidence:
        """Return what the indices are computed from."""
        return crashindex.Evidence(
            now,
            {
                content_id: counted
                for content_id, record in self._records.items()
                if (counted := record.crashed - record.cleared)
            },
            {key: record.crashed for key, record in self._records.items()},
            {key: record.parts for key, record in self._records.items()},
            {key for key, record in self._records.items() if record.is_own},
            {key for key, record in self._records.items() if record.was_resent},
            {
                key.removeprefix(PART_PREFIX): record.cleared
                for key, record in self._records.items()
                if key.startswith(PART_PREFIX)
            },
            self._crashed_at,
            self.traffic,
            lambda part: self._find_served_at(part) >= now - SERVED_S,
            self.entry_count,
            self._list_refused_elsewhere(now),
        )

    def _find_served_at(self, part: str) -> float:
        """Return when an entry last had a response for a part, as far as is known."""
        key = PART_PREFIX + part
        own = self._completed_at.get(key, float("-inf"))
        record = self._records.get(key)
        return own if record is None else max(own, record.served_at)

    def _list_refused_elsewhere(self, now: float) -> set[str] | None:
        """Return the parts that others refuse, None if no other entry can judge."""
        judgements = [
            judgement.refused_parts
            for judgement in self._peer_judgements.values()
            if now - judgement.at <= PEER_JUDGEMENT_S
        ]
        return set().union(*judgements) if judgements else None

    def on_peer_judgement(
        self, now: float, host: str, refused_parts: list[str] | None
    ) -> None:
        """Record which parts another entry refuses; None if it cannot judge yet."""
        known = self._peer_judgements.pop(host, None)
        judged = None
        if refused_parts is not None:
            judged = PeerJudgement(now, frozenset(refused_parts))
            self._peer_judgements[host] = judged
        if (known and known.refused_parts) != (judged and judged.refused_parts):
            self._is_index_outdated = True

    def list_refused_parts(self, now: float) -> list[str] | None:
        """Return the parts refused here, None before enough traffic was seen."""
        if not self.traffic.is_observed(now):
            return None
        self._update_index(now)
        return sorted(self._part_index.quarantined)

    def get_crash_count(self, now: float, fingerprint: Fingerprint) -> int:
        """Return how many crashes the content, or its refused part, may have caused."""
        self._update_index(now)
        if part := self._find_quarantined_part(fingerprint):
            return len(self._part_index.quarantined[part])
        return self._count_unexplained(fingerprint.content_id)

    def _count_unexplained(self, content_id: str) -> int:
        """Count the crashes that a content may have caused."""
        index = self._content_index
        if content_id not in index.counted:
            return 0
        if content_id in index.quarantined:
            return len(index.counted[content_id])
        return index.count_unexplained(content_id, index.quarantined)

    def find_suspicion(self, now: float, fingerprint: Fingerprint) -> Suspicion:
        """Return what a request that is not refused is suspected of.

        Parts of much of the traffic, and those with a response in the last
        ``SOUND_S``, are only suspected once they are quarantined.
        """
        self._update_index(now)
        suspects = []
        if count := self._count_unexplained(fingerprint.content_id):
            suspects.append((count, fingerprint.content_id))
        for part in fingerprint.parts:
            if self._was_completed_recently(now, PART_PREFIX + part, SOUND_S):
                continue
            if part in self._part_index.counted and not self._part_index.is_broad(part):
                part_count = self._part_index.count_unexplained(part)
                content_id = self._find_last_content(part)
                if part_count and content_id:
                    suspects.append((part_count, content_id))
        if not suspects:
            return Suspicion()
        records = [self._records[content_id] for _, content_id in suspects]
        last = max(records, key=lambda record: record.last_crash_at)
        age_s = now - last.last_crash_at
        group = last.group if age_s < CONTAINMENT_S else ""
        return Suspicion(max(count for count, _ in suspects), group, age_s)

    def _find_last_content(self, part: str) -> str | None:
        """Return the content with a part under which a target crashed last."""
        contents = self._part_index.list_contents(part)
        return max(
            (content_id for content_id in contents if content_id in self._records),
            key=lambda content_id: self._records[content_id].last_crash_at,
            default=None,
        )

    def _find_quarantined_part(self, fingerprint: Fingerprint) -> str | None:
        """Return the part of a request that is quarantined, with most crashes."""
        quarantined = self._part_index.quarantined
        return max(
            (part for part in fingerprint.parts if part in quarantined),
            key=lambda part: len(quarantined[part]),
            default=None,
        )

    def find_refusal(self, now: float, fingerprint: Fingerprint) -> Refusal | None:
        """Return why a request is refused, or None if nothing of it is quarantined.

        It may run in spite of a refusal whose time is over.
        """
        self._update_index(now)
        if part := self._find_quarantined_part(fingerprint):
            crashes = self._part_index.quarantined[part]
            last_crash_at = max(self._crashed_at[crash] for crash in crashes)
            return make_refusal(now, PART_PREFIX + part, len(crashes), last_crash_at)
        content_id = fingerprint.content_id
        if content_id not in self._content_index.quarantined:
            return None
        count = len(self._content_index.counted[content_id])
        last_crash_at = self._records[content_id].last_crash_at
        return make_refusal(now, content_id, count, last_crash_at)

    def format_counts(self, now: float, keys: list[str]) -> str:
        """Return contents with their crash counts, for the log."""
        return ",".join(
            f"{key}:{self.get_crash_count(now, Fingerprint(key))}"
            for key in keys
            if not key.startswith(PART_PREFIX)
        )

    def count_refused(self, now: float) -> int:
        """Return the number of contents and parts that are refused."""
        self._update_index(now)
        prints = [Fingerprint("", (part,)) for part in self._part_index.quarantined]
        prints += [Fingerprint(c) for c in self._content_index.quarantined]
        refusals = [self.find_refusal(now, fingerprint) for fingerprint in prints]
        return sum(r is not None and r.retry_after_s > 0.0 for r in refusals)

    def record_first_send(self, now: float, fingerprint: Fingerprint) -> None:
        """Record that a request is sent: its parts, and a content that comes again."""
        self.traffic.on_request(now, fingerprint.parts)
        record = self._records.get(fingerprint.content_id)
        if record and not record.was_resent and record.crashed - record.cleared:
            record.was_resent = True
            self._number_change(record)

    def record_crash(
        self, now: float, fingerprint: Fingerprint, incarnation: str, group: str = ""
    ) -> bool:
        """Count a target's crash against a request; return whether it is new.

        ``group`` is the target's lock-step group.
        """
        if self._was_completed_recently(now, fingerprint.content_id):
            return False
        parts = tuple(p for p in fingerprint.parts if not self._is_common(now, p))
        is_new = self._merge_record(
            now, fingerprint.content_id, {incarnation}, set(), parts, group
        )
        if record := self._records.get(fingerprint.content_id):
            record.is_own = True
        self._update_parts(now, parts)
        return is_new

    def _update_parts(self, now: float, parts: typing.Iterable[str]) -> None:
        """Record which parts of a crash were served lately; clear those just served."""
        for part in parts:
            if self._was_completed_recently(now, PART_PREFIX + part, SERVED_S):
                served_at = self._completed_at[PART_PREFIX + part]
                self._merge_served_at(now, PART_PREFIX + part, served_at)
            if self._was_completed_recently(now, PART_PREFIX + part):
                self._clear_part(now, part)

    def _merge_served_at(self, now: float, key: str, served_at: float) -> bool:
        """Merge a part's last response into its record; return whether it changes."""
        record = self._records.setdefault(key, CrashRecord(now))
        if served_at <= record.served_at + SERVED_STEP_S:
            return False
        record.served_at = served_at
        self._number_change(record)
        return True

    def _is_common(self, now: float, part: str) -> bool:
        """Return whether a part is in much of the traffic, which is being served.

        It is left out of records: an entry that starts could not tell it from others.
        """
        key = PART_PREFIX + part
        is_sound = self._was_completed_recently(now, key, SOUND_S)
        return is_sound and self.traffic.is_broad(now, part)

    def record_completion(self, now: float, fingerprint: Fingerprint) -> list[str]:
        """Clear a request that a target completed; return what that changes."""
        changed = self.record_begin(now, fingerprint.parts)
        self._record_time(now, fingerprint.content_id)
        if self._clear(fingerprint.content_id):
            changed.append(fingerprint.content_id)
        return changed

    def record_begin(self, now: float, parts: typing.Collection[str]) -> list[str]:
        """Clear the parts of a request whose response began; return those changed."""
        for part in parts:
            self._record_time(now, PART_PREFIX + part)
        if not self._crashed_at:
            return []
        return [PART_PREFIX + part for part in parts if self._clear_part(now, part)]

    def _record_time(self, now: float, key: str) -> None:
        """Remember for ``SERVED_S`` that a content or part was completed."""
        self._completed_at[key] = now
        self._completed_at.move_to_end(key)
        while (
            next(iter(self._completed_at.values())) < now - SERVED_S
            or len(self._completed_at) > MAX_COMPLETIONS
        ):
            self._completed_at.popitem(last=False)

    def _was_completed_recently(
        self, now: float, key: str, within_s: float = COMPLETION_MEMORY_S
    ) -> bool:
        """Return whether a content or part was completed within a time."""
        completed_at = self._completed_at.get(key)
        return completed_at is not None and now - completed_at <= within_s

    def _clear(self, content_id: str) -> bool:
        """Clear the crashes of a content counted so far; return if there were any."""
        record = self._records.get(content_id)
        if record is None or record.crashed <= record.cleared:
            return False
        record.cleared |= record.crashed
        self._number_change(record)
        return True

    def _clear_part(self, now: float, part: str) -> bool:
        """Clear the crashes of a part counted so far; return if there were any."""
        self._update_index(now)
        crashes = self._part_index.counted.get(part)
        if not crashes:
            return False
        key = PART_PREFIX + part
        self._merge_served_at(now, key, self._completed_at.get(key, float("-inf")))
        return self._merge_record(now, key, set(), crashes)

    def _number_change(self, record: CrashRecord) -> None:
        """Give a record the next change number."""
        self.change_number += 1
        record.change_number = self.change_number

    def _merge_record(
        self,
        crash_at: float,
        key: str,
        crashed: typing.AbstractSet[str],
        cleared: typing.AbstractSet[str],
        parts: tuple[str, ...] = (),
        group: str = "",
    ) -> bool:
        """Merge incarnations into a record; return whether the record changes."""
        record = self._records.get(key)
        if record is None:
            record = CrashRecord(crash_at)
            self._records[key] = record
        if crash_at >= record.last_crash_at:
            record.last_crash_at = crash_at
            record.group = group or record.group
        for incarnation in crashed:
            known_at = self._crashed_at.get(incarnation, crash_at)
            self._crashed_at[incarnation] = min(known_at, crash_at)
            self._last_crash_at = max(self._last_crash_at, crash_at)
        is_known = crashed <= record.crashed and cleared <= record.cleared
        merged_parts = max(record.parts, parts, key=lambda p: (len(p), p))
        if is_known and merged_parts == record.parts:
            return False
        record.crashed |= crashed
        record.cleared |= cleared
        record.parts = merged_parts
        self._number_change(record)
        if len(self._records) > MAX_RECORDS:
            self._drop_least_important()
        return True

    def _drop_least_important(self) -> None:
        """Drop the records with the fewest crashes that count, of these the oldest.

        When many targets end at once, the contents that ran there fill the ledger.
        Several are dropped at a time, since finding them takes a millisecond.
        """

        def get_importance(key: str) -> tuple[int, float]:
            record = self._records[key]
            is_part = key.startswith(PART_PREFIX)
            counted = record.cleared if is_part else record.crashed - record.cleared
            return len(counted), record.last_crash_at

        for key in sorted(self._records, key=get_importance)[:DROPPED_RECORDS]:
            del self._records[key]
        kept = set().union(*(record.crashed for record in self._records.values()))
        for incarnation in self._crashed_at.keys() - kept:
            del self._crashed_at[incarnation]

    def list_changes(self, now: float, after: int) -> list[messages.CrashRecord]:
        """Return the records changed after a change number, for other entries."""
        return [
            messages.CrashRecord(
                key,
                sorted(record.crashed),
                sorted(record.cleared),
                max(now - record.last_crash_at, 0.0),
                list(record.parts),
                record.group,
                record.was_resent,
                now - record.served_at if record.served_at > float("-inf") else None,
            )
            for key, record in self._records.items()
            if record.change_number > after
        ]

    def merge(self, now: float, records: list[messages.CrashRecord]) -> list[str]:
        """Merge the records of another entry; return the contents that changed."""
        changed = []
        parts: set[str] = set()
        for wire in records:
            is_changed = self._merge_record(
                now - wire.last_crash_age_s,
                wire.content_id,
                set(wire.crashed),
                set(wire.cleared),
                tuple(wire.parts),
                wire.group,
            )
            if wire.served_age_s is not None:
                is_changed |= self._merge_served_at(
                    now, wire.content_id, now - wire.served_age_s
                )
            record = self._records.get(wire.content_id)
            if record and wire.was_resent and not record.was_resent:
                record.was_resent = is_changed = True
                self._number_change(record)
            if self._was_completed_recently(now, wire.content_id):
                is_changed |= self._clear(wire.content_id)
            if is_changed:
                changed.append(wire.content_id)
                parts.update(wire.parts)
        self._update_parts(now, parts)
        return changed


def make_refusal(
    now: float, suspect: str, crash_count: int, last_crash_at: float
) -> Refusal:
    """Return the refusal of a suspect with a number of crashes."""
    age_s = now - last_crash_at
    extra_crashes = max(crash_count - crashindex.MIN_CRASHES, 0)
    refusal_s = min(FIRST_REFUSAL_S * REFUSAL_GROWTH**extra_crashes, MAX_REFUSAL_S)
    if age_s < SETTLING_S:
        refusal_s = SETTLING_S
    remaining_s = refusal_s - age_s
    return Refusal(
        suspect, crash_count, age_s, max(remaining_s, 0.0), max(-remaining_s, 0.0)
    )
