"""A local replica of the keys under one prefix of the platform's store.

The store numbers all changes with one increasing revision. A replica applies changes in
any order and any number of times: for each key the highest revision wins, and a
deletion is a change like any other. ``complete_rev`` is the revision up to which the
replica has every change. It advances with a full listing, with a watch that continues
from it, or with a delta that another replica made for it.

The pages of a listing are not a snapshot, so a listing is complete only up to the
revision of its first page; the watch delivers what it misses beyond that.

A store that comes back from an older copy is in a new era, and gives revisions out
again. Revisions of different eras cannot be compared, so a replica is of one era: it
drops what is from an earlier one, and only a full listing moves it to a later one.

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

    ``created_rev`` is the revision that created the key. ``is_unlisted`` is set if the
    first listing of an era lacks the key: it may have been deleted, or the copy that
    the store was restored from may be older than the key.
    """

    key: str
    rev: int
    value: bytes | None
    created_rev: int = 0
    is_unlisted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """Where in the history of the store a change was written.

    ``may_be_copied`` is set if the change may have been in the copy that began the
    era, and thus may be older than the era.
    """

    era: int = 0
    rev: int = 0
    may_be_copied: bool = False

    def is_after(self, other: "Position") -> bool:
        """Return whether this change was certainly written after another one.

        Revisions rise within an era, and before it up to its copy, so a copied change
        with the higher revision is the later one.
        """
        if self.era == other.era or (self.era > other.era and self.may_be_copied):
            return self.rev > other.rev
        return self.era > other.era


BEGINNING: typing.Final = Position()


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """The changes after a revision, complete up to ``complete_rev``.

    If ``is_full`` is set, the delta lists all keys, and keys that it lacks do not
    exist. ``era`` is that of the store, 0 if it states none. Changes up to
    ``copied_rev`` may be of an earlier era; None if only the store knows.
    """

    changes: tuple[Change, ...]
    complete_rev: int
    is_full: bool
    era: int = 0
    copied_rev: int | None = None


class Replica:
    """The keys under one prefix, with tombstones.

    ``era`` is 0 until the first listing and if the store states none. ``changed_rev``
    is the highest revision of an applied change. ``copied_rev`` is the revision of the
    listing that began the era: what has a higher one was written in this era, the rest
    may come from the copy that the store was restored from.
    """

    __slots__ = (
        "_compacted_rev",
        "_items",
        "changed_rev",
        "complete_rev",
        "copied_rev",
        "era",
    )

    def __init__(self) -> None:
        self._items: dict[str, Change] = {}
        self.era = 0
        self.copied_rev = 0
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

    def make_position(self, rev: int) -> Position:
        """Return the position of a change with this revision."""
        return Position(self.era, rev, rev <= self.copied_rev)

    def may_apply(self, delta: Delta) -> bool:
        """Return whether a delta is of this era, or begins a later one."""
        return delta.era == self.era or (delta.era > self.era and delta.is_full)

    def apply(self, delta: Delta) -> list[Change]:
        """Apply a delta; return the changes that changed a key's value."""
        if not self.may_apply(delta):
            return []
        if delta.era > self.era:
            return self._begin_era(delta)
        changed = [item for item in delta.changes if self._put_change(item)]
        if delta.is_full:
            changed += self._delete_unlisted(delta)
        self.complete_rev = max(self.complete_rev, delta.complete_rev)
        self._compact_tombstones()
        return changed

    def _begin_era(self, listing: Delta) -> list[Change]:
        """Replace everything by the first listing of an era; return what changed."""
        previous, self._items = self._items, {}
        for item in listing.changes:
            known = self._items.get(item.key)
            if known is None or known.rev < item.rev:
                self._items[item.key] = item
        self.era = listing.era
        self.complete_rev = self._compacted_rev = listing.complete_rev
        self.copied_rev = (
            listing.complete_rev if listing.copied_rev is None else listing.copied_rev
        )
        self.changed_rev = max((item.rev for item in listing.changes), default=0)
        changed = [
            item
            for item in self._items.values()
            if item.key not in previous or previous[item.key].value != item.value
        ]
        return changed + [
            Change(key, listing.complete_rev, None, is_unlisted=True)
            for key, lost in previous.items()
            if key not in self._items and lost.value is not None
        ]

    def _delete_unlisted(self, listing: Delta) -> list[Change]:
        """Delete the keys that a listing lacks; return the deletions."""
        listed = {item.key for item in listing.changes}
        deletions = [
            Change(key, listing.complete_rev, None)
            for key, known in self._items.items()
            if key not in listed
            and known.value is not None
            and known.rev <= listing.complete_rev
        ]
        for deletion in deletions:
            self._put_change(deletion)
        return deletions

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

    def make_delta(self, era: int, after: int) -> Delta:
        """Return the delta for a replica of an era that is complete up to ``after``."""
        is_full = era != self.era or after < self._compacted_rev or after <= 0
        changes = (
            self.list_existing()
            if is_full
            else [item for item in self._items.values() if item.rev > after]
        )
        return Delta(
            tuple(changes), self.complete_rev, is_full, self.era, self.copied_rev
        )

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
