"""The owner of an opaque key: the one target that may run its call.

The owner is the active target of the service with the highest hash of target and key
(rendezvous hashing). Adding or removing a target moves only the keys that it gains or
loses.

When a key's owner changes, the previous owner may have run the call, or may still run
it from an older table on the far side of a partition. ``OwnerHistory`` therefore keeps
every earlier set of targets, from its own memory and from the manifest, and lists the
previous owners of a key. A previous owner is left out only when it has confirmed that
it holds the newer table and one retry horizon has passed since, or when the operators'
table marks it dead. Time alone is never enough, since a partition may outlast any
horizon.
"""

import typing

from sardinesaddle import hashing, keys, manifest, table


def compute_owner(key: keys.OpaqueKey, targets: typing.Iterable[str]) -> str:
    """Return the target with the highest hash, or '' if there is none."""
    best = ""
    best_score = -1
    for target in targets:
        text = f"{target}\0{key.account}\0{key.service}\0{key.text}"
        score = hashing.hash_text(text)
        if (score, target) > (best_score, best):
            best, best_score = target, score
    return best


def list_active_targets(tab: table.Table, service: str) -> tuple[str, ...]:
    """Return the targets that can own keys of a service."""
    rows = tab.list_service_targets(service)
    return tuple(sorted(row.target for row in rows if row.state == "active"))


PastTargets = tuple[str, tuple[str, ...], int]
HistorySnapshot = tuple[
    int,
    tuple[tuple[str, tuple[str, ...]], ...],
    tuple[str, ...],
    tuple[PastTargets, ...],
    tuple[tuple[str, int, float], ...],
]


class OwnerHistory:
    """The current and earlier sets of targets that can own keys, by service."""

    __slots__ = (
        "_confirmed_revisions",
        "_current_targets",
        "_dead_targets",
        "_horizon_s",
        "_past_targets",
        "revision",
    )

    def __init__(self, horizon_s: float) -> None:
        self._horizon_s = horizon_s
        self.revision = 0
        self._current_targets: dict[str, tuple[str, ...]] = {}
        self._dead_targets: frozenset[str] = frozenset()
        # Each earlier set: the service, its targets, the revision that replaced it.
        self._past_targets: tuple[PastTargets, ...] = ()
        # The latest revision that each other target confirmed, and when it did.
        self._confirmed_revisions: dict[str, tuple[int, float]] = {}

    def adopt(self, tab: table.Table, published: manifest.Manifest) -> None:
        """Apply a new revision of the table.

        The manifest supplies the sets of revisions that this process skipped.
        """
        past = list(self._past_targets)
        for service, row in tab.services.items():
            if row.idempotent:
                continue
            current = list_active_targets(tab, service)
            sets = published.home_changes.get(service, [])
            for before, after in zip(sets, sets[1:], strict=False):
                past.append((service, tuple(before.targets), after.revision))
            previous = self._current_targets.get(service)
            if previous is not None and previous != current:
                past.append((service, previous, tab.revision))
            self._current_targets[service] = current
        self._past_targets = tuple(sorted(set(past)))
        self._dead_targets = frozenset(
            row.target for row in tab.rows.targets if row.state == "dead"
        )
        self.revision = tab.revision

    def record_revision(self, now: float, target: str, revision: int) -> None:
        """Record the time at which another target confirmed a newer revision."""
        recorded = self._confirmed_revisions.get(target)
        if recorded is None or recorded[0] < revision:
            self._confirmed_revisions[target] = (revision, now)

    def find_owner(self, key: keys.OpaqueKey) -> str:
        """Return the key's owner under the table in force."""
        return compute_owner(key, self._current_targets.get(key.service, ()))

    def list_previous_owners(
        self, now: float, key: keys.OpaqueKey, own_target: str
    ) -> tuple[str, ...]:
        """Return the other targets that may still run the key or have run it."""
        owners: list[str] = []
        for service, targets, ended_revision in self._past_targets:
            if service != key.service:
                continue
            owner = compute_owner(key, targets)
            if (
                not owner
                or owner == own_target
                or owner in owners
                or owner in self._dead_targets
            ):
                continue
            if not self._is_past_horizon(now, owner, ended_revision):
                owners.append(owner)
        return tuple(owners)

    def _is_past_horizon(self, now: float, owner: str, ended_revision: int) -> bool:
        """Return whether an owner adopted the set's successor a horizon ago."""
        revision, confirmed_at = self._confirmed_revisions.get(owner, (0, now))
        return revision >= ended_revision and now - confirmed_at >= self._horizon_s

    def take_snapshot(self) -> HistorySnapshot:
        """Return the whole state as a hashable value, for the model checker."""
        confirmed = ((t, r, at) for t, (r, at) in self._confirmed_revisions.items())
        return (
            self.revision,
            tuple(sorted(self._current_targets.items())),
            tuple(sorted(self._dead_targets)),
            self._past_targets,
            tuple(sorted(confirmed)),
        )

    def restore(self, snapshot: HistorySnapshot) -> None:
        """Replace the state by a snapshot."""
        self.revision, current, dead, self._past_targets, confirmed = snapshot
        self._current_targets = dict(current)
        self._dead_targets = frozenset(dead)
        self._confirmed_revisions = {target: (r, at) for target, r, at in confirmed}
