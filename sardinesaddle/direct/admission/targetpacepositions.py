"""Divides the windows of targets that ramp up over the entries, by position.

Each entry takes its part by its own position among the entries, so that the parts add
up to the window without a message. The positions begin at the entry whose subset has
the target, which is the one that prefers it.
"""

import collections.abc
import functools
import typing

from sardinesaddle.direct import catalog, targetstate
from sardinesaddle.direct.admission import admissionpart, targetpace

ENTRY_MEMORY_S: typing.Final = 60.0  # in which a lost entry keeps its position


class EntryPositions:
    """The entries among which windows are divided; ``host`` is this one."""

    def __init__(self, host: str) -> None:
        self._host = host
        # By service, sorted; computed when needed.
        self._ready: dict[str, dict[str, int]] = {}
        self._entries: list[str] = [host]
        self._own_index = 0
        self._seen_entries: dict[str, float] = {}

    def invalidate(self) -> None:
        """Compute the order of targets anew when it is next needed."""
        self._ready.clear()

    def update_entries(self, now: float, view: admissionpart.EntryView) -> None:
        """Update the entries among which the windows are divided.

        An entry that reaches less than half of those that it knew may be cut off while
        the others serve. It keeps the positions that it had.
        """
        alive = {*view.alive, self._host}
        for host in {*alive, *view.contacted}:
            if host in alive or host not in self._seen_entries:
                self._seen_entries[host] = now
        self._seen_entries = {
            host: seen_at
            for host, seen_at in self._seen_entries.items()
            if now - seen_at < ENTRY_MEMORY_S
        }
        is_cut_off = 2 * len(alive) < len(self._seen_entries)
        members = set(self._seen_entries) if is_cut_off else alive
        if members != set(self._entries):
            self._entries = sorted(members, key=make_sort_key)
            self._own_index = self._entries.index(self._host)

    def get_position(
        self,
        target: targetstate.Target,
        targets: collections.abc.Mapping[str, targetstate.Target],
    ) -> tuple[int, int]:
        """Return this entry's position for a target, and how many hold a part.

        Entries and targets are paired like the subsets of the target pool.
        """
        indices = self._list_ready(target.registration.service, targets)
        count = len(self._entries)
        holders = targetpace.compute_holder_count(count, len(indices))
        index = indices.get(target.registration.incarnation)
        if index is None:
            return -1, holders
        first = index * count // len(indices)
        return (self._own_index - first) % count, holders

    def _list_ready(
        self, service: str, targets: collections.abc.Mapping[str, targetstate.Target]
    ) -> dict[str, int]:
        """Return the indices of the ready targets of a service by address."""
        ready = self._ready.get(service)
        if ready is None:
            ordered = sorted(
                (
                    target
                    for target in targets.values()
                    if target.registration.service == service
                    and target.registration.state is catalog.TargetState.READY
                ),
                key=lambda target: (
                    make_sort_key(target.registration.host),
                    target.registration.port,
                ),
            )
            ready = {t.registration.incarnation: i for i, t in enumerate(ordered)}
            self._ready[service] = ready
        return ready


@functools.lru_cache(maxsize=8192)
def make_sort_key(host: str) -> tuple[tuple[int, str], ...]:
    """Return a key that sorts IP addresses by the values of their parts."""
    return tuple(
        (int(part), "") if part.isdigit() else (0, part) for part in host.split(".")
    )
