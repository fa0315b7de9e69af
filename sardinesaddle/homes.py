"""The home of an opaque key: the one target that may run its call.

The home is the active target of the service with the highest hash of target and
key (rendezvous hashing). Adding or removing a target moves only the keys that it
gains or loses.

A moved home is a hazard: the earlier home may have run the call, or may still be
running on an older table on the far side of a partition. ``HomeHistory`` therefore
keeps each earlier set of targets, from its own memory and from the manifest, and
names the earlier homes of a key. An earlier home drops out only when it has
confirmed that it holds the newer table and one retry horizon has passed since, or
when the operators' table calls it dead. Time alone never drops it: a partition may
outlast any horizon.
"""

import typing

from sardinesaddle import hashing, keys, manifest, table


def compute_home(key: keys.OpaqueKey, targets: typing.Iterable[str]) -> str:
    """Return the target with the highest hash, or '' if there is none."""
    best = ""
    best_score = -1
    for target in targets:
        text = f"{target}\0{key.account}\0{key.service}\0{key.text}"
        score = hashing.hash_text(text)
        if (score, target) > (best_score, best):
            best, best_score = target, score
    return best


def list_active(tab: table.Table, service: str) -> tuple[str, ...]:
    """Return the targets that can be homes of a service's keys."""
    rows = tab.list_service_targets(service)
    return tuple(sorted(row.target for row in rows if row.state == "active"))


Past = tuple[str, tuple[str, ...], int]
HistorySnapshot = tuple[
    int,
    tuple[tuple[str, tuple[str, ...]], ...],
    tuple[str, ...],
    tuple[Past, ...],
    tuple[tuple[str, int, float], ...],
]


class HomeHistory:
    """The sets of targets that were in force, until they cannot matter."""

    __slots__ = ("_confirmed", "_current", "_dead", "_horizon_s", "_past", "revision")

    def __init__(self, horizon_s: float) -> None:
        self._horizon_s = horizon_s
        self.revision = 0
        self._current: dict[str, tuple[str, ...]] = {}
        self._dead: frozenset[str] = frozenset()
        # Each past set: the service, its targets, the revision that ended it.
        self._past: tuple[Past, ...] = ()
        # The revision that another target confirmed, and when.
        self._confirmed: dict[str, tuple[int, float]] = {}

    def adopt(self, tab: table.Table, published: manifest.Manifest) -> None:
        """Take over a new revision of the table."""
        past = list(self._past)
        for service, row in tab.services.items():
            if row.idempotent:
                continue
            current = list_active(tab, service)
            sets = published.home_changes.get(service, [])
            for before, after in zip(sets, sets[1:], strict=False):
                past.append((service, tuple(before.targets), after.revision))
            held = self._current.get(service)
            if held is not None and held != current:
                past.append((service, held, tab.revision))
            self._current[service] = current
        self._past = tuple(sorted(set(past)))
        self._dead = frozenset(
            row.target for row in tab.rows.targets if row.state == "dead"
        )
        self.revision = tab.revision

    def confirm(self, now: float, target: str, revision: int) -> None:
        """Take another target's word that it holds a revision of the table."""
        held = self._confirmed.get(target)
        if held is None or held[0] < revision:
            self._confirmed[target] = (revision, now)

    def find_home(self, key: keys.OpaqueKey) -> str:
        """Return the key's home under the table in force."""
        return compute_home(key, self._current.get(key.service, ()))

    def list_earlier_homes(
        self, now: float, key: keys.OpaqueKey, own: str
    ) -> tuple[str, ...]:
        """Return the other homes of the key that may still hold it."""
        homes: list[str] = []
        for service, targets, ended in self._past:
            if service != key.service:
                continue
            home = compute_home(key, targets)
            if not home or home == own or home in homes or home in self._dead:
                continue
            if not self._is_settled(now, home, ended):
                homes.append(home)
        return tuple(homes)

    def _is_settled(self, now: float, home: str, ended: int) -> bool:
        """Tell whether an earlier home gave up the set a horizon ago."""
        revision, at = self._confirmed.get(home, (0, now))
        return revision >= ended and now - at >= self._horizon_s

    def take_snapshot(self) -> HistorySnapshot:
        """Return the whole state as a value."""
        confirmed = ((t, r, at) for t, (r, at) in self._confirmed.items())
        return (
            self.revision,
            tuple(sorted(self._current.items())),
            tuple(sorted(self._dead)),
            self._past,
            tuple(sorted(confirmed)),
        )

    def restore(self, snapshot: HistorySnapshot) -> None:
        """Take over a state that was taken before."""
        self.revision, current, dead, self._past, confirmed = snapshot
        self._current = dict(current)
        self._dead = frozenset(dead)
        self._confirmed = {target: (r, at) for target, r, at in confirmed}
