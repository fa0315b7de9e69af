"""Decides at one sidecar whether a keyed attempt starts a call.

The gate joins the journal, which knows what happened here, with the history of
homes, which knows who else may have run an opaque key. Every keyed attempt passes
it, and nothing else decides on a key.
"""

from sardinesaddle import errorcodes, homes, journal, keys

GateSnapshot = tuple[
    journal.JournalSnapshot,
    homes.HistorySnapshot,
    tuple[tuple[keys.OpaqueKey, tuple[str, ...]], ...],
]


class KeyGate:
    """The journal and the homes of one target."""

    __slots__ = ("_released", "homes", "journal")

    def __init__(self, held: journal.Journal, horizon_s: float) -> None:
        self.journal = held
        self.homes = homes.HomeHistory(horizon_s)
        self._released: dict[keys.OpaqueKey, tuple[str, ...]] = {}

    def offer(
        self,
        now: float,
        attempt: tuple[int, int],
        key: keys.Key | None,
        fingerprint: int,
    ) -> journal.Decision:
        """Decide what to do with an attempt."""
        earlier: tuple[str, ...] = ()
        if isinstance(key, keys.OpaqueKey):
            home = self.homes.find_home(key)
            if home != self.journal.target:
                return errorcodes.Refusal(
                    errorcodes.KEY_ELSEWHERE,
                    errorcodes.Ran.UNKNOWN,
                    f"the key's home is {home!r} at revision {self.homes.revision}",
                    1.0,
                )
            earlier = self._list_unreleased(now, key)
        return self.journal.offer(now, attempt, key, fingerprint, earlier)

    def _list_unreleased(self, now: float, key: keys.OpaqueKey) -> tuple[str, ...]:
        """Return the earlier homes that have not released the key."""
        earlier = self.homes.list_earlier_homes(now, key, self.journal.target)
        released = self._released.get(key, ())
        return tuple(home for home in earlier if home not in released)

    def note_release(
        self, now: float, key: keys.OpaqueKey, home: str, free: bool, revision: int
    ) -> None:
        """Take an earlier home's answer and the revision that it holds."""
        self.homes.confirm(now, home, revision)
        if free:
            known = self._released.get(key, ())
            self._released[key] = tuple(sorted({*known, home}))

    def forget_releases(self, key: keys.Key) -> None:
        """Drop the releases of a key that the journal now holds."""
        if isinstance(key, keys.OpaqueKey):
            self._released.pop(key, None)

    def release(self, now: float, key: keys.OpaqueKey) -> bool:
        """Give up a key to its new home; return whether no call used it."""
        return self.journal.release(now, key)

    def take_snapshot(self) -> GateSnapshot:
        """Return the whole state as a value."""
        released = sorted(self._released.items(), key=lambda item: item[0].text)
        return (
            self.journal.take_snapshot(),
            self.homes.take_snapshot(),
            tuple(released),
        )

    def restore(self, snapshot: GateSnapshot) -> None:
        """Take over a state that was taken before."""
        held, past, released = snapshot
        self.journal.restore(held)
        self.homes.restore(past)
        self._released = dict(released)
