"""Tracks how recently this process's replica of the store was confirmed.

A read of the store confirms the state at the time at which the request was sent, never
at the time of the response's arrival: a response may stay in a buffer while the process
is suspended. A watch that ends at its time limit without a change confirms the state at
the end of that limit, counted from the request. A peer's reply is dated likewise by the
time of this process's request to it, minus the age that the peer states. Times include
suspension (CLOCK_BOOTTIME).

A store that was restored lacks what it had confirmed last until that is written again.
Reads before then confirm nothing.
"""

import abc
import time
import typing


class SuspendAwareClock(abc.ABC):
    """A clock that keeps counting while the process or its host is suspended."""

    @abc.abstractmethod
    def read(self) -> float:
        """Return the seconds since an arbitrary but fixed time."""


class BootTimeClock(SuspendAwareClock):
    """The kernel's clock since boot, CLOCK_BOOTTIME."""

    def read(self) -> float:
        """Return the seconds since the host started, including suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


NEVER: typing.Final = float("-inf")


class Freshness:
    """The latest time for which a replica of the store is confirmed."""

    __slots__ = ("_confirmed_at", "_distrusted_until")

    def __init__(self) -> None:
        self._confirmed_at = NEVER
        self._distrusted_until = NEVER

    def reset(self) -> None:
        """Forget what was confirmed."""
        self._confirmed_at = NEVER

    def distrust_until(self, when: float) -> None:
        """Ignore what is dated before ``when``; what was confirmed stays so."""
        self._distrusted_until = when

    def confirm_by_store(self, asked_at: float) -> None:
        """Record a read of the store whose request was sent at ``asked_at``."""
        if asked_at >= self._distrusted_until:
            self._confirmed_at = max(self._confirmed_at, asked_at)

    def confirm_by_peer(self, asked_at: float, peer_age: float) -> None:
        """Record a peer's reply with the age that the peer states.

        The replica must already contain everything that the peer has.
        """
        self.confirm_by_store(asked_at - max(peer_age, 0.0))

    @property
    def confirmed_at(self) -> float:
        """The time of the last confirmation, or ``NEVER``."""
        return self._confirmed_at

    def compute_age(self, now: float) -> float:
        """Return the staleness in seconds; infinite before the first confirmation."""
        return now - self._confirmed_at
