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

MAX_DELETIONS: typing.Final = 4096


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

    __slots__ = ("_forgotten_rev", "_items", "changed_rev", "complete_rev")

    def __init__(self) -> None:
        self._items: dict[str, Change] = {}
        self.complete_rev = 0
        self.changed_rev = 0
        self._forgotten_rev = 0

    def get_value(self, key: str) -> bytes | None:
        """Return a key's value, or None if it does not exist."""
        change = self._items.get(key)
        return None if change is None else change.value

    def list_values(self) -> list[Change]:
        """Return all keys that exist."""
        return [one for one in self._items.values() if one.value is not None]

    def apply(self, delta: Delta) -> list[Change]:
        """Take over a delta; return the changes that were news."""
        news = [one for one in delta.changes if self._put(one)]
        if delta.is_whole:
            listed = {one.key for one in delta.changes}
            for key, held in list(self._items.items()):
                is_missing = key not in listed and held.value is not None
                if is_missing and held.rev <= delta.complete_rev:
                    gone = Change(key, delta.complete_rev, None)
                    self._put(gone)
                    news.append(gone)
        self.complete_rev = max(self.complete_rev, delta.complete_rev)
        self._forget_old_deletions()
        return news

    def _put(self, change: Change) -> bool:
        """Take over one change unless a newer one is known."""
        held = self._items.get(change.key)
        if held is not None and held.rev >= change.rev:
            return False
        if held is None and change.value is None:
            # Kept all the same: an older value of the key may still arrive.
            self._items[change.key] = change
            self.changed_rev = max(self.changed_rev, change.rev)
            return False
        self._items[change.key] = change
        self.changed_rev = max(self.changed_rev, change.rev)
        return held is None or held.value != change.value

    def make_delta(self, after: int) -> Delta:
        """Return what a replica that is complete up to ``after`` misses."""
        if after < self._forgotten_rev or after <= 0:
            return Delta(tuple(self.list_values()), self.complete_rev, True)
        changes = tuple(one for one in self._items.values() if one.rev > after)
        return Delta(changes, self.complete_rev, False)

    def _forget_old_deletions(self) -> None:
        """Bound the deletions that are kept."""
        deleted = [one for one in self._items.values() if one.value is None]
        if len(deleted) <= MAX_DELETIONS:
            return
        deleted.sort(key=lambda one: one.rev)
        for one in deleted[: len(deleted) - MAX_DELETIONS // 2]:
            self._forgotten_rev = max(self._forgotten_rev, one.rev)
            del self._items[one.key]


def join_pages(
    pages: collections.abc.Sequence[tuple[tuple[Change, ...], int]],
) -> Delta:
    """Return a listing's pages, each with the store's revision, as a whole delta."""
    changes = tuple(one for page, _ in pages for one in page)
    return Delta(changes, pages[0][1], True)
