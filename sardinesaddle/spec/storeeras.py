"""Models a store that is restored from older copies, and the entries that follow it.

The operators write versions of one configuration. The store is copied and restored at
any moment: the latest versions are gone, revisions are given out again, and the
operators write their newest version again, which counts as done once ``SETTLING_S`` has
passed at an entry that saw the restore. Responses of the store arrive at any time
later. Two entries fetch from each other, and one of them may restart while the other
has all that the store confirmed: what no process remembers cannot be known.

An entry confirms its configuration when a read that it sent outside the settling
returns. It is wrong if it lacks a version that the store had confirmed when it replied.
The production class ``Replica`` applies what arrives.
"""

import dataclasses
import typing

from sardinesaddle.direct import replica
from sardinesaddle.spec import model

KEY: typing.Final = "config"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreState:
    """The store: its era, its revision, and the configuration with its revision.

    ``copy`` has revision, configuration's revision and version at the copy's time.
    ``confirmed`` is the newest version that the operators were told to be stored.
    """

    era: int = 1
    rev: int = 1
    config_rev: int = 1
    version: int = 1
    confirmed: int = 1
    copy: tuple[int, int, int] = (1, 1, 1)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryState:
    """An entry: its replica's state, the version in force, and whether it settles.

    ``knows_restore`` is set if it knows when the present era began. ``has_asked`` is
    set once it asked the other entry since its start.
    """

    era: int = 0
    copied_rev: int = 0
    complete_rev: int = 0
    config_rev: int = 0
    version: int = 0
    in_force: int = 0
    is_settling: bool = False
    knows_restore: bool = False
    has_asked: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response of the store in flight to an entry that asked in ``asked_era``.

    ``config`` is revision and version, None if a watch found no change. ``confirms``
    is what the store had confirmed when it replied to a read that may confirm, else 0.
    """

    entry: int
    asked_era: int
    era: int
    rev: int
    config: tuple[int, int] | None
    is_full: bool
    confirms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Violations:
    """What went wrong so far."""

    has_confirmed_wrongly: bool = False
    has_reverted: bool = False


class StoreEras(model.Model):
    """A store, two entries, and the responses in flight."""

    name = "entries follow a restored store"
    fields = ("store", "entries", "responses", "violations")
    last_version = 3
    last_era = 2

    def make_initial(self) -> model.State:
        """Return entries that have listed the first configuration."""
        entry = EntryState(1, 1, 1, 1, 1, 1, has_asked=True)
        return (StoreState(), (entry, entry), frozenset(), Violations())

    def list_transitions(self, state: model.State) -> list[model.Transition]:
        """Return the transitions of operators, store, entries and responses."""
        store, entries, responses, violations = state
        if violations != Violations():
            return []
        transitions = [
            (label, (changed, entries, responses, violations))
            for label, changed in self._list_store_steps(store)
        ]
        for index, entry in enumerate(entries):
            other = entries[1 - index]
            if not responses:
                for response in self._list_responses(store, index, entry):
                    transitions.append(
                        ("asks", (store, entries, responses | {response}, violations))
                    )
            for label, changed in self._list_entry_steps(store, entry, other):
                transitions.append((label, self._replace(state, index, changed)))
        for response in responses:
            arrived = (store, entries, responses - {response}, violations)
            transitions.append(("receives", self._receive(arrived, response)))
        return transitions

    def _list_store_steps(self, store: StoreState) -> list[tuple[str, StoreState]]:
        """Return what operators and store may do."""
        steps = []
        copy = (store.rev, store.config_rev, store.version)
        if copy != store.copy:
            steps.append(("copy", dataclasses.replace(store, copy=copy)))
        newest = store.confirmed
        writes = {newest} if store.version < newest else set()
        if newest < self.last_version:
            writes.add(newest + 1)
        for version in writes:
            rev = store.rev + 1
            written = dataclasses.replace(
                store,
                rev=rev,
                config_rev=rev,
                version=version,
                confirmed=max(version, newest),
            )
            steps.append((f"write {version}", written))
        if store.era < self.last_era:
            rev, config_rev, version = store.copy
            restored = dataclasses.replace(
                store,
                era=store.era + 1,
                rev=rev,
                config_rev=config_rev,
                version=version,
            )
            steps.append(("restore", restored))
        return steps

    def _list_responses(
        self, store: StoreState, index: int, entry: EntryState
    ) -> list[Response]:
        """Return the store's possible responses to an entry."""
        confirms = 0 if entry.is_settling else store.confirmed
        config = (store.config_rev, store.version)
        listing = Response(
            index, entry.era, store.era, store.rev, config, True, confirms
        )
        if not entry.complete_rev or entry.complete_rev > store.rev:
            # Before the first listing, or the watch would get no events, but 410.
            return [listing]
        news = config if store.config_rev > entry.complete_rev else None
        watch = Response(index, entry.era, store.era, store.rev, news, False, confirms)
        return [listing, watch]

    def _list_entry_steps(
        self, store: StoreState, entry: EntryState, other: EntryState
    ) -> list[tuple[str, EntryState]]:
        """Return what an entry may do without a response of the store."""
        steps = [("fetches", self._fetch(entry, other))]
        # What was lost is written again in this time, unless there is a later restore.
        is_written_again = store.version == store.confirmed or store.era != entry.era
        if entry.is_settling and is_written_again:
            steps.append(("settled", dataclasses.replace(entry, is_settling=False)))
        if other.has_asked and other.in_force == store.confirmed:
            steps.append(("restarts", EntryState()))
        return steps

    def _replace(
        self, state: model.State, index: int, changed: EntryState
    ) -> model.State:
        """Return the state with another state of one entry, as its process goes on."""
        store, entries, responses, violations = state
        if not changed.complete_rev and not changed.has_asked:
            # A new process gets no response that its predecessor asked for.
            responses = frozenset(r for r in responses if r.entry != index)
        elif changed.in_force < entries[index].in_force:
            violations = dataclasses.replace(violations, has_reverted=True)
        if changed.knows_restore and not entries[index].knows_restore:
            # What was asked before the end of the settling confirms nothing.
            responses = frozenset(
                dataclasses.replace(r, confirms=0) if r.entry == index else r
                for r in responses
            )
        new_entries = tuple(
            changed if number == index else entry
            for number, entry in enumerate(entries)
        )
        return (store, new_entries, responses, violations)

    def _receive(self, state: model.State, response: Response) -> model.State:
        """Return the state after an entry received a response of the store."""
        entry = state[1][response.entry]
        if self._is_outdated(entry, response):
            return state
        if response.era > entry.era and not response.is_full:
            # The entry lists the store anew.
            return state
        changes: tuple[replica.Change, ...] = ()
        if response.config is not None:
            rev, version = response.config
            changes = (replica.Change(KEY, rev, encode_version(version)),)
        delta = replica.Delta(changes, response.rev, response.is_full, response.era)
        changed = self._apply(entry, delta)
        after = self._replace(state, response.entry, changed)
        confirms = (
            response.confirms
            if response.era == changed.era and self._may_confirm(changed)
            else 0
        )
        if confirms > changed.in_force:
            violations = dataclasses.replace(after[3], has_confirmed_wrongly=True)
            after = (*after[:3], violations)
        return after

    def _is_outdated(self, entry: EntryState, response: Response) -> bool:
        """Return whether the other entry relayed the next era meanwhile."""
        return entry.era != response.asked_era

    def _may_confirm(self, entry: EntryState) -> bool:
        """Return whether a read confirms the configuration of an entry."""
        return entry.has_asked and not entry.is_settling

    def _fetch(self, entry: EntryState, other: EntryState) -> EntryState:
        """Return an entry after it fetched what the other one has."""
        if (other.era, other.config_rev) > (entry.era, entry.complete_rev):
            delta = make_replica(other).make_delta(entry.era, entry.complete_rev)
            entry = self._apply(entry, delta)
        is_settling, knows_restore = entry.is_settling, entry.knows_restore
        if not entry.has_asked and self._shows_settling(entry, other):
            is_settling |= other.is_settling or other.era < entry.era
            knows_restore = True
        in_force = self._choose_version(entry.in_force, other.in_force)
        return dataclasses.replace(
            entry,
            in_force=in_force,
            is_settling=is_settling,
            knows_restore=knows_restore,
            has_asked=True,
        )

    def _shows_settling(self, entry: EntryState, other: EntryState) -> bool:
        """Return whether the other one shows when the present era began."""
        return other.knows_restore or 0 < other.era < entry.era

    def _apply(self, entry: EntryState, delta: replica.Delta) -> EntryState:
        """Return an entry after it applied a delta."""
        copy = make_replica(entry)
        is_restored = delta.era > entry.era and entry.complete_rev > 0
        changed = copy.may_apply(delta) and copy.apply(delta)
        item = next(iter(copy.list_existing()), None)
        version = 0 if item is None else decode_version(item)
        rev = 0 if item is None else item.rev
        is_settling = entry.is_settling or (is_restored and copy.era == delta.era)
        if changed and self._shows_writing(copy, rev):
            is_settling = False
        return dataclasses.replace(
            entry,
            era=copy.era,
            copied_rev=copy.copied_rev,
            complete_rev=copy.complete_rev,
            config_rev=rev,
            version=version,
            in_force=self._choose_version(entry.in_force, version),
            is_settling=is_settling,
            knows_restore=entry.knows_restore or is_restored,
        )

    def _shows_writing(self, copy: replica.Replica, rev: int) -> bool:
        """Return whether the operators wrote again what a restore lost."""
        return not copy.make_position(rev).may_be_copied

    def _choose_version(self, in_force: int, offered: int) -> int:
        """Return the version in force after another one was offered."""
        return max(in_force, offered)

    def list_invariants(
        self,
    ) -> dict[str, typing.Callable[[dict[str, typing.Any]], bool]]:
        """Return that nothing is confirmed wrongly, reverted or missed."""
        return {
            "no confirmation without what was confirmed to the operators": lambda s: (
                not s["violations"].has_confirmed_wrongly
            ),
            "no version reverts": lambda s: not s["violations"].has_reverted,
            "an entry that has the store's revision has its version": lambda s: all(
                has_version(s["store"], entry) for entry in s["entries"]
            ),
        }


def has_version(store: StoreState, entry: EntryState) -> bool:
    """Return whether an entry at the store's revision has the store's version."""
    is_complete = (entry.era, entry.complete_rev) == (store.era, store.rev)
    return not is_complete or entry.in_force >= store.version


def encode_version(version: int) -> bytes:
    """Return a version as a stored value."""
    return str(version).encode()


def decode_version(change: replica.Change) -> int:
    """Return the version in a stored value."""
    return int(change.value or b"0")


def make_replica(entry: EntryState) -> replica.Replica:
    """Return a replica with the state of an entry."""
    made = replica.Replica()
    if entry.complete_rev:
        item = replica.Change(KEY, entry.config_rev, encode_version(entry.version))
        made.apply(
            replica.Delta(
                (item,), entry.complete_rev, True, entry.era, entry.copied_rev
            )
        )
    return made


class TwoRestores(StoreEras):
    """A store that is restored twice, with fewer versions."""

    name = "entries follow a store that is restored twice"
    last_version = 2
    last_era = 3


VARIANTS: typing.Final = (TwoRestores,)


class ErasIgnored(StoreEras):
    """Mutant: all revisions are compared as if there were one era."""

    def _apply(self, entry: EntryState, delta: replica.Delta) -> EntryState:
        """Apply a delta as if it were of the replica's era."""
        applied = super()._apply(entry, dataclasses.replace(delta, era=entry.era))
        return dataclasses.replace(applied, era=delta.era)


class WatchContinued(StoreEras):
    """Mutant: a watch goes on in the next era from the revision of the last one."""

    def _receive(self, state: model.State, response: Response) -> model.State:
        """Take the response of the next era to a watch for one of the present era."""
        entry = state[1][response.entry]
        if response.era > entry.era and not response.is_full:
            response = dataclasses.replace(response, era=entry.era)
        return super()._receive(state, response)


class LateListingApplied(StoreEras):
    """Mutant: a listing of an earlier era begins that era again."""

    def _is_outdated(self, entry: EntryState, response: Response) -> bool:
        """Take any response."""
        return False

    def _apply(self, entry: EntryState, delta: replica.Delta) -> EntryState:
        """Begin the era of any listing."""
        if delta.is_full and delta.era < entry.era:
            entry = dataclasses.replace(entry, era=0)
        return super()._apply(entry, delta)


class NoSettling(StoreEras):
    """Mutant: a restored store is trusted at once."""

    def _may_confirm(self, entry: EntryState) -> bool:
        """Ignore that the store may lack what it had confirmed."""
        return entry.has_asked

    def _list_responses(
        self, store: StoreState, index: int, entry: EntryState
    ) -> list[Response]:
        """Let each read confirm."""
        return super()._list_responses(
            store, index, dataclasses.replace(entry, is_settling=False)
        )


class CopyEndsSettling(StoreEras):
    """Mutant: what the copy holds counts as written again."""

    def _shows_writing(self, copy: replica.Replica, rev: int) -> bool:
        """Take any change for a new one."""
        return True


class StartsWithoutAsking(StoreEras):
    """Mutant: an entry that starts uses the store's version at once."""

    def _may_confirm(self, entry: EntryState) -> bool:
        """Ignore that the other entry was not asked."""
        return not entry.is_settling


class SettlingNotAsked(StoreEras):
    """Mutant: an entry that starts does not ask whether the store was restored."""

    def _shows_settling(self, entry: EntryState, other: EntryState) -> bool:
        """Ignore what the other one knows of the store."""
        return False


class StoreDecides(StoreEras):
    """Mutant: the version that arrives last is in force."""

    def _choose_version(self, in_force: int, offered: int) -> int:
        """Take the offered version."""
        return offered or in_force


def list_mutants() -> dict[str, model.Model]:
    """Return the mutants by name; each breaks one guard."""
    return {
        mutant.__name__: mutant()
        for mutant in (
            ErasIgnored,
            WatchContinued,
            LateListingApplied,
            NoSettling,
            CopyEndsSettling,
            StartsWithoutAsking,
            SettlingNotAsked,
            StoreDecides,
        )
    }
