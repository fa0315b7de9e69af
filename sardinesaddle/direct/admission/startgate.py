"""Decides when an entry that has started may use its parts of the cold bound.

Two things could make the requests of all entries exceed the bound after a start. The
previous process at this host may have sent its part just before it ended, and entries
that do not count this one yet may still use what it takes. Both are over one send
window after this entry reached the last of the entries that it knows: the previous
process ended before, and each entry counts this one from its first heartbeat on.

An entry has reached all others once each one that it knows has replied, including
those that the replies list, except those that others have lost. That is complete if an
entry that serves is among them: of two entries that start at once, each has to reach
all seeds, so the later one finds the earlier one in a reply and reaches it before its
own window begins. Where every entry has just started, a survivor may not have contacted
any of them yet; the gate then stays closed for ``DISCOVERY_S`` longer.

The argument and its hazards are in docs/design/cold-targets.md.
"""

import typing

from sardinesaddle.direct import limitshares, retrybudget

# Without an entry that serves, others have this time to contact this one.
DISCOVERY_S: typing.Final = retrybudget.ENTRY_DISCOVERY_S
# Entries that have not replied by then, after several heartbeats, count as unreachable.
UNREACHABLE_S: typing.Final = 2.0


class StartGate:
    """Whether an entry that has started may use its parts; opens once."""

    def __init__(self, started_at: float, window_s: float) -> None:
        self._started_at = started_at
        self._window_s = window_s
        self._has_serving_peer = False
        self.opened_at: float | None = None

    def on_serving_peer(self) -> None:
        """Note that another entry stated that its own gate is open."""
        self._has_serving_peer = True

    def on_stall(self, stall_s: float) -> None:
        """Leave out a time in which the process stood still and reached nobody.

        The gate opens under load, too, where stalls are short and follow each other.
        """
        self._started_at += stall_s

    def compute_wait_s(self, now: float, shares: limitshares.LimitShares) -> float:
        """Return the seconds until the gate opens, as far as is known; 0 if open."""
        if self.opened_at is not None:
            return 0.0
        # Later entries delay no start further: they reach this one before they send.
        reached_at = min(shares.reached_at, self._started_at + UNREACHABLE_S)
        earliest = reached_at + self._window_s
        has_reached_all = shares.has_reached_all
        if not has_reached_all:
            earliest = max(earliest, self._started_at + UNREACHABLE_S)
        if not self._has_serving_peer:
            shortest_s = DISCOVERY_S if has_reached_all else UNREACHABLE_S
            earliest = max(earliest, self._started_at + shortest_s + self._window_s)
        if now < earliest:
            return earliest - now
        self.opened_at = earliest
        return 0.0
