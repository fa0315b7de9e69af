"""The sidecar's record of keyed calls, which makes a call run at most once.

Every attempt passes ``decide`` before any work starts. For a keyed attempt the decision
is one of four:

* Start: no call with this key was ever accepted here, and none can have been
  accepted elsewhere or by an earlier incarnation.
* Join: a call with this key is queued, running or done; the attempt gets its answer.
* ReleaseNeeded: the table moved the key to this target, so the previous owners must
  release it first.
* Refusal: no call is started, and the refusal says what is known.

The journal is held in memory only, so a restart empties it. A minted key names the
incarnation that may run it. An opaque key is refused until the journal is one horizon
old, because its call may have run before the restart. The horizon is the time in which
callers resend a key, plus the greatest age of a message.

``add_tombstone`` keeps "not run" true: it refuses the attempt if it arrives late. A
keyed call is reported as not run only when ``decide`` returned ``Start``, so that no
earlier attempt with the key ran either.

Times are in seconds on the sidecar's own clock.
"""

import dataclasses
import enum
import typing

from sardinesaddle import errorcodes, keys

RETRY_HORIZON_S: typing.Final = 600.0
# A link is closed after 24 s of silence, or by a side that notices its own pause.
MAX_MESSAGE_AGE_S: typing.Final = 26.0
TOMBSTONE_LIFETIME_S: typing.Final = 60.0
MAX_KEY_LIFETIME_S: typing.Final = 86_400.0


class CallState(enum.Enum):
    """The state of a call, and of the record of its key."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class KeyRecord:
    """The call of one key: its state, number and request fingerprint.

    ``expires_at`` is when the record of a finished call may be dropped.
    """

    __slots__ = ("call_number", "expires_at", "fingerprint", "state")

    def __init__(
        self, state: CallState, call_number: int, fingerprint: int, expires_at: float
    ) -> None:
        self.state = state
        self.call_number = call_number
        self.fingerprint = fingerprint
        self.expires_at = expires_at


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start a new call for the attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Give the attempt the answer of the call with this number."""

    call_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseNeeded:
    """Ask these previous owners to release the key, then decide again."""

    owners: tuple[str, ...]


RecordSnapshot = tuple[keys.Key, str, int, int, float]
JournalSnapshot = tuple[
    int,
    float,
    tuple[RecordSnapshot, ...],
    tuple[tuple[tuple[int, int], float], ...],
]
Decision = Start | Join | ReleaseNeeded | errorcodes.Refusal


class Journal:
    """Decides which keyed attempts start a call, and records their calls."""

    __slots__ = (
        "_horizon_s",
        "_records",
        "_started_at",
        "_tombstones",
        "incarnation",
        "target",
    )

    def __init__(
        self,
        target: str,
        incarnation: int,
        started_at: float,
        horizon_s: float = RETRY_HORIZON_S + MAX_MESSAGE_AGE_S,
    ) -> None:
        self.target = target
        self.incarnation = incarnation
        self._started_at = started_at
        self._horizon_s = horizon_s
        self._records: dict[keys.Key, KeyRecord] = {}
        self._tombstones: dict[tuple[int, int], float] = {}

    def __len__(self) -> int:
        return len(self._records)

    def decide(
        self,
        now: float,
        attempt: tuple[int, int],
        key: keys.Key | None,
        fingerprint: int = 0,
        previous_owners: tuple[str, ...] = (),
    ) -> Decision:
        """Return the decision on an attempt that arrived.

        ``previous_owners`` are the targets that owned an opaque key under earlier
        tables and have not released it.
        """
        if attempt in self._tombstones:
            return errorcodes.Refusal(errorcodes.TOMBSTONED, errorcodes.Ran.NOT_RUN)
        if key is None:
            return Start()
        if isinstance(key, keys.MintedKey):
            refusal = self._check_minted(now, key)
        else:
            refusal = None
        if refusal is not None:
            return refusal
        record = self._records.get(key)
        if record is not None:
            return self._decide_recorded(record, fingerprint)
        if isinstance(key, keys.OpaqueKey):
            return self._decide_new_opaque(now, previous_owners)
        return Start()

    def _check_minted(
        self, now: float, key: keys.MintedKey
    ) -> errorcodes.Refusal | None:
        """Refuse a minted key of another target or incarnation, or an expired key."""
        if key.target != self.target:
            return errorcodes.Refusal(
                errorcodes.KEY_ELSEWHERE,
                errorcodes.Ran.UNKNOWN,
                f"the key belongs to target {key.target!r}",
            )
        if key.incarnation != self.incarnation:
            return errorcodes.Refusal(errorcodes.KEY_FORGOTTEN, errorcodes.Ran.UNKNOWN)
        if self._compute_expiry(now, key) <= now:
            return errorcodes.Refusal(errorcodes.KEY_EXPIRED, errorcodes.Ran.UNKNOWN)
        return None

    def _decide_recorded(self, record: KeyRecord, fingerprint: int) -> Decision:
        """Return the decision for a key that has a record."""
        if record.state is CallState.RELEASED:
            return errorcodes.Refusal(
                errorcodes.KEY_ELSEWHERE,
                errorcodes.Ran.UNKNOWN,
                "the key was released to another target",
                1.0,
            )
        if record.fingerprint != fingerprint:
            return errorcodes.Refusal(errorcodes.KEY_MISMATCH, errorcodes.Ran.NOT_RUN)
        if record.state is CallState.UNKNOWN:
            return errorcodes.Refusal(
                errorcodes.OUTCOME_UNKNOWN, errorcodes.Ran.UNKNOWN
            )
        return Join(record.call_number)

    def _decide_new_opaque(
        self, now: float, previous_owners: tuple[str, ...]
    ) -> Decision:
        """Return the decision for an opaque key without a record."""
        uptime_s = now - self._started_at
        if uptime_s < self._horizon_s:
            return errorcodes.Refusal(
                errorcodes.KEY_FORGOTTEN,
                errorcodes.Ran.UNKNOWN,
                "the sidecar restarted less than a retry horizon ago",
                self._horizon_s - uptime_s,
            )
        if previous_owners:
            return ReleaseNeeded(previous_owners)
        return Start()

    def _compute_expiry(self, now: float, key: keys.Key) -> float:
        """Return when the key's record may be dropped."""
        if isinstance(key, keys.MintedKey):
            return self._started_at + key.expires_ms / 1000.0
        return now + MAX_KEY_LIFETIME_S

    def record_queued(
        self, now: float, key: keys.Key, call_number: int, fingerprint: int
    ) -> None:
        """Record that a call with this key was queued."""
        expires_at = self._compute_expiry(now, key)
        self._records[key] = KeyRecord(
            CallState.QUEUED, call_number, fingerprint, expires_at
        )

    def mark_running(self, key: keys.Key) -> None:
        """Record that the call is being sent to the target."""
        self._records[key].state = CallState.RUNNING

    def mark_done(self, key: keys.Key) -> None:
        """Record that the answer is complete and buffered."""
        self._records[key].state = CallState.DONE

    def mark_unknown(self, key: keys.Key) -> None:
        """Record that the answer was lost after the call was sent."""
        self._records[key].state = CallState.UNKNOWN

    def mark_queued(self, key: keys.Key) -> None:
        """Record that a call marked as running never reached the target."""
        self._records[key].state = CallState.QUEUED

    def drop_queued(self, key: keys.Key) -> None:
        """Drop the record of a call that was refused before it was sent."""
        record = self._records.get(key)
        if record is not None and record.state is CallState.QUEUED:
            del self._records[key]

    def add_tombstone(self, now: float, attempt: tuple[int, int]) -> None:
        """Refuse the attempt if it arrives from now on.

        A connection that is silent for longer than a tombstone's lifetime has been
        replaced, and its messages are rejected.
        """
        self._tombstones[attempt] = now + TOMBSTONE_LIFETIME_S

    def release(self, now: float, key: keys.OpaqueKey) -> bool:
        """Give up the key for good if no call used it; return whether it is free.

        A journal younger than the horizon refuses, since an earlier incarnation may
        have run the key.
        """
        record = self._records.get(key)
        if record is not None:
            return record.state is CallState.RELEASED
        if now - self._started_at < self._horizon_s:
            return False
        expires_at = now + MAX_KEY_LIFETIME_S
        self._records[key] = KeyRecord(CallState.RELEASED, 0, 0, expires_at)
        return True

    def expire(self, now: float) -> list[int]:
        """Drop expired records and tombstones; return the records' call numbers."""
        expired = [k for k, r in self._records.items() if self._is_expired(r, now)]
        call_numbers = [self._records[key].call_number for key in expired]
        for key in expired:
            del self._records[key]
        expired_tombstones = [a for a, at in self._tombstones.items() if at <= now]
        for attempt in expired_tombstones:
            del self._tombstones[attempt]
        return call_numbers

    def _is_expired(self, record: KeyRecord, now: float) -> bool:
        """Return whether a record may be dropped; never while its call is open."""
        if record.state in (CallState.QUEUED, CallState.RUNNING):
            return False
        return record.expires_at <= now

    def count_by_state(self) -> dict[str, int]:
        """Return the number of records in each state, for the status page."""
        counts = {state.value: 0 for state in CallState}
        for record in self._records.values():
            counts[record.state.value] += 1
        return counts

    def take_snapshot(self) -> JournalSnapshot:
        """Return the whole state as a hashable value, for the model checker."""
        records = (
            (key, r.state.value, r.call_number, r.fingerprint, r.expires_at)
            for key, r in self._records.items()
        )
        return (
            self.incarnation,
            self._started_at,
            tuple(sorted(records, key=repr)),
            tuple(sorted(self._tombstones.items())),
        )

    def restore(self, snapshot: JournalSnapshot) -> None:
        """Replace the state by a snapshot."""
        self.incarnation, self._started_at, records, tombstones = snapshot
        self._records = {
            key: KeyRecord(CallState(state), call, fingerprint, expires_at)
            for key, state, call, fingerprint, expires_at in records
        }
        self._tombstones = dict(tombstones)
