"""The home of an opaque key: the one target that may run its call.

The home is the active target of the service with the highest hash of target and
key (rendezvous hashing). Adding or removing a target moves only the keys that it
gains or loses.

A moved home is a hazard: the earlier home may have run the call. ``HomeHistory``
keeps each set of targets that was in force during the last horizon and names the
earlier homes of a key. If revisions were skipped in which the set changed more than
once, the earlier homes are not known and the answer is None.
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


class HomeHistory:
    """The sets of targets that were in force during the last horizon."""

    __slots__ = ("_current", "_dead", "_gap_until", "_horizon_s", "_past", "_revision")

    def __init__(self, horizon_s: float) -> None:
        self._horizon_s = horizon_s
        self._revision = 0
        self._current: dict[str, tuple[str, ...]] = {}
        self._dead: set[str] = set()
        self._past: list[tuple[float, str, tuple[str, ...]]] = []
        self._gap_until: dict[str, float] = {}

    def adopt(self, now: float, tab: table.Table, published: manifest.Manifest) -> None:
        """Take over a new revision of the table."""
        first = self._revision == 0
        for service in set(self._current) | set(tab.services):
            active = list_active(tab, service)
            changes = published.home_changes.get(service, [])
            missed = [r for r in changes if r > self._revision]
            if not first and self._current.get(service, ()) != active:
                old = self._current.get(service, ())
                self._past.append((now + self._horizon_s, service, old))
            if not first and len(missed) > 1:
                self._gap_until[service] = now + self._horizon_s
            self._current[service] = active
        self._dead = {r.target for r in tab.rows.targets if r.state == "dead"}
        self._revision = tab.revision

    def find_home(self, key: keys.OpaqueKey) -> str:
        """Return the key's home under the table in force."""
        return compute_home(key, self._current.get(key.service, ()))

    def list_earlier_homes(
        self, now: float, key: keys.OpaqueKey, own: str
    ) -> tuple[str, ...] | None:
        """Return the other homes that the key had in the last horizon."""
        if self._gap_until.get(key.service, 0.0) > now:
            return None
        self._past = [entry for entry in self._past if entry[0] > now]
        homes: list[str] = []
        for _, service, targets in self._past:
            if service != key.service:
                continue
            home = compute_home(key, targets)
            if home and home != own and home not in self._dead and home not in homes:
                homes.append(home)
        return tuple(homes)
