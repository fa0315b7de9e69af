"""Decides at a sidecar whether an attempt with an idempotency key starts a call.

It combines the journal, which records what ran here, with the owner history, which
names the other targets that may have run an opaque key. Every attempt passes it, and
nothing else decides on a key.
"""

from sardinesaddle import errorcodes, journal, keyowners, keys

KeyAdmissionSnapshot = tuple[
    journal.JournalSnapshot,
    keyowners.HistorySnapshot,
    tuple[tuple[keys.OpaqueKey, tuple[str, ...]], ...],
]


class KeyAdmission:
    """The journal and the owner history of one target.

    It also remembers which previous owners released a key that has no call yet.
    """

    __slots__ = ("_released_by", "owners", "journal")

    def __init__(self, key_journal: journal.Journal, horizon_s: float) -> None:
        self.journal = key_journal
        self.owners = keyowners.OwnerHistory(horizon_s)
        self._released_by: dict[keys.OpaqueKey, tuple[str, ...]] = {}

    def decide(
        self,
        now: float,
        attempt: tuple[int, int],
        key: keys.Key | None,
        fingerprint: int,
    ) -> journal.Decision:
        """Return the decision on an attempt.

        An opaque key is refused if the table in force names another owner.
        """
        previous_owners: tuple[str, ...] = ()
        if isinstance(key, keys.OpaqueKey):
            owner = self.owners.find_owner(key)
            if owner != self.journal.target:
                return errorcodes.Refusal(
                    errorcodes.KEY_ELSEWHERE,
                    errorcodes.Ran.UNKNOWN,
                    f"the key's owner is {owner!r} at revision {self.owners.revision}",
                    1.0,
                )
            previous_owners = self._list_unreleased_owners(now, key)
        return self.journal.decide(now, attempt, key, fingerprint, previous_owners)

    def _list_unreleased_owners(
        self, now: float, key: keys.OpaqueKey
    ) -> tuple[str, ...]:
        """Return the previous owners that have not released the key."""
        previous_owners = self.owners.list_previous_owners(
            now, key, self.journal.target
        )
        released = self._released_by.get(key, ())
        return tuple(owner for owner in previous_owners if owner not in released)

    def record_release(
        self, now: float, key: keys.OpaqueKey, owner: str, is_free: bool, revision: int
    ) -> None:
        """Record a previous owner's reply and the table revision that it holds."""
        self.owners.record_revision(now, owner, revision)
        if is_free:
            known_owners = self._released_by.get(key, ())
            self._released_by[key] = tuple(sorted({*known_owners, owner}))

    def drop_releases(self, key: keys.Key) -> None:
        """Drop the releases of a key that now has a journal record."""
        if isinstance(key, keys.OpaqueKey):
            self._released_by.pop(key, None)

    def release(self, now: float, key: keys.OpaqueKey) -> bool:
        """Release a key to its new owner; return whether no call used it."""
        return self.journal.release(now, key)

    def take_snapshot(self) -> KeyAdmissionSnapshot:
        """Return the whole state as a hashable value, for the model checker."""
        released = sorted(self._released_by.items(), key=lambda item: item[0].text)
        return (
            self.journal.take_snapshot(),
            self.owners.take_snapshot(),
            tuple(released),
        )

    def restore(self, snapshot: KeyAdmissionSnapshot) -> None:
        """Replace the state by a snapshot."""
        journal_state, owner_state, released = snapshot
        self.journal.restore(journal_state)
        self.owners.restore(owner_state)
        self._released_by = dict(released)
