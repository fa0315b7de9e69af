"""A local replica of the keys under one prefix of the platform's store.

The store numbers every change with one increasing revision. A replica applies
changes in any order and any number of times: per key the highest revision wins, and
a deletion is a change like any other. ``complete_rev`` says up to which revision
every change is known here. It grows by a whole listing, by a watch that continues
from it, or by a delta from another replica that was asked for what follows it.

Pages of a listing are no snapshot, so a listing is complete only up to the revision
of its first page; what it misses beyond that comes with the watch.

Deletions are kept for a while so that a delta can carry them. A delta that would
reach back further than the kept deletions is sent whole instead.
"""

import collections.abc
import dataclasses
import typing

MAX_TOMBSTONES: typing.Final = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A key's value at a revision; ``value`` is None if it was deleted.

    ``created_rev`` is the revision at which the key came to be.
    """

    key: str
    rev: int
    value: bytes | None
    created_rev: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """The changes after a revision, complete up to another one.

    ``is_whole`` means that all keys are listed, so that others do not exist.
    """

    changes: tuple[Change, ...]
    complete_rev: int
    is_whole: bool


class Replica:
    """The keys under one prefix, as far as they are known here."""

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
        """Return all keys that exist."""
        return [item for item in self._items.values() if item.value is not None]

    def apply(self, delta: Delta) -> list[Change]:
        """Take over a delta; return the changes that were news."""
        changed = [item for item in delta.changes if self._put_change(item)]
        if delta.is_whole:
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
        """Take over one change unless a newer one is known."""
        known = self._items.get(change.key)
        if known is not None and known.rev >= change.rev:
            return False
        if known is None and change.value is None:
            # Kept all the same: an older value of the key may still arrive.
            self._items[change.key] = change
            self.changed_rev = max(self.changed_rev, change.rev)
            return False
        self._items[change.key] = change
        self.changed_rev = max(self.changed_rev, change.rev)
        return known is None or known.value != change.value

    def make_delta(self, after: int) -> Delta:
        """Return what a replica that is complete up to ``after`` misses."""
        if after < self._compacted_rev or after <= 0:
            return Delta(tuple(self.list_existing()), self.complete_rev, True)
        changes = tuple(item for item in self._items.values() if item.rev > after)
        return Delta(changes, self.complete_rev, False)

    def _compact_tombstones(self) -> None:
        """Bound the deletions that are kept."""
        tombstones = [item for item in self._items.values() if item.value is None]
        if len(tombstones) <= MAX_TOMBSTONES:
            return
        tombstones.sort(key=lambda item: item.rev)
        for item in tombstones[: len(tombstones) - MAX_TOMBSTONES // 2]:
            self._compacted_rev = max(self._compacted_rev, item.rev)
            del self._items[item.key]


def join_pages(
    pages: collections.abc.Sequence[tuple[tuple[Change, ...], int]],
) -> Delta:
    """Return a listing's pages, each with the store's revision, as a whole delta."""
    changes = tuple(item for page, _ in pages for item in page)
    return Delta(changes, pages[0][1], True)
