"""A local replica of the keys under one prefix of the platform's store.

The store numbers all changes with one increasing revision. A replica applies changes in
any order and any number of times: for each key the highest revision wins, and a
deletion is a change like any other. ``complete_rev`` is the revision up to which the
replica has every change. It advances with a full listing, with a watch that continues
from it, or with a delta that another replica made for it.

The pages of a listing are not a snapshot, so a listing is complete only up to the
revision of its first page; the watch delivers what it misses beyond that.

Deletions are kept as tombstones for a while so that deltas can carry them. A replica
that needs older deletions than those kept gets a full listing instead of a delta.
"""

import collections.abc
import dataclasses
import typing

MAX_TOMBSTONES: typing.Final = 4096  # beyond this, only the newest half is kept


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A key's value at a revision; ``value`` is None if it was deleted.

    ``created_rev`` is the revision that created the key.
    """

    key: str
    rev: int
    value: bytes | None
    created_rev: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """The changes after a revision, complete up to ``complete_rev``.

    If ``is_full`` is set, the delta lists all keys, and keys that it lacks do not
    exist. ``era`` is that of the store, 0 if it states none.
    """

    changes: tuple[Change, ...]
    complete_rev: int
    is_full: bool
    era: int = 0


class Replica:
    """The keys under one prefix, with tombstones.

    ``changed_rev`` is the highest revision of an applied change.
    """

    __slots__ = ("_compacted_rev", "_items", "changed_rev", "complete_rev")

    def __init__(self) -> None:
        self._items: dict[str, Change] = {}
        self.complete_rev = 0
        self.changed_rev = 0
        self._compacted_rev = 0

    def get_value(self, key: str) -> bytes | None:
        """Return a key's value, or None if it does not exist."""
        change = self._items.get(key)
        return None if change is None else change.value

    def list_existing(self) -> list[Change]:
        """Return the latest change of each key that exists."""
        return [item for item in self._items.values() if item.value is not None]

    def apply(self, delta: Delta) -> list[Change]:
        """Apply a delta; return the changes that changed a key's value."""
        changed = [item for item in delta.changes if self._put_change(item)]
        if delta.is_full:
            listed = {item.key for item in delta.changes}
            for key, known in list(self._items.items()):
                is_missing = key not in listed and known.value is not None
                if is_missing and known.rev <= delta.complete_rev:
                    deletion = Change(key, delta.complete_rev, None)
                    self._put_change(deletion)
                    changed.append(deletion)
        self.complete_rev = max(self.complete_rev, delta.complete_rev)
        self._compact_tombstones()
        return changed

    def _put_change(self, change: Change) -> bool:
        """Apply a change unless it is outdated; return whether the value changed."""
        known = self._items.get(change.key)
        if known is not None and known.rev >= change.rev:
            return False
        if known is None and change.value is None:
            # The tombstone is kept, since an older value of the key may still arrive.
            self._items[change.key] = change
            self.changed_rev = max(self.changed_rev, change.rev)
            return False
        self._items[change.key] = change
        self.changed_rev = max(self.changed_rev, change.rev)
        return known is None or known.value != change.value

    def make_delta(self, after: int) -> Delta:
        """Return the delta for a replica that is complete up to ``after``."""
        if after < self._compacted_rev or after <= 0:
            return Delta(tuple(self.list_existing()), self.complete_rev, True)
        changes = tuple(item for item in self._items.values() if item.rev > after)
        return Delta(changes, self.complete_rev, False)

    def _compact_tombstones(self) -> None:
        """Drop the oldest tombstones if there are more than ``MAX_TOMBSTONES``."""
        tombstones = [item for item in self._items.values() if item.value is None]
        if len(tombstones) <= MAX_TOMBSTONES:
            return
        tombstones.sort(key=lambda item: item.rev)
        for item in tombstones[: len(tombstones) - MAX_TOMBSTONES // 2]:
            self._compacted_rev = max(self._compacted_rev, item.rev)
            del self._items[item.key]


def join_pages(pages: collections.abc.Sequence[Delta]) -> Delta:
    """Join the pages of a listing, which are of one era, to a full delta."""
    changes = tuple(item for page in pages for item in page.changes)
    return Delta(changes, pages[0].complete_rev, True, pages[0].era)
