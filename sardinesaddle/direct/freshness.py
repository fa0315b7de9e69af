"""How recent this process's knowledge of the store is.

The word of the store is dated by the moment at which the question that it answers
was sent, never by the moment of its arrival: an answer may lie in a buffer while the
process is suspended. A watch that ends with its wait and without a change is dated by
the end of the wait, counted from the question. Word of another process is dated
likewise by our question to it, less the age that it states. Times count suspension
(CLOCK_BOOTTIME).
"""

import abc
import time
import typing


class SuspendAwareClock(abc.ABC):
    """A clock that keeps counting while the process or its host is suspended."""

    @abc.abstractmethod
    def read(self) -> float:
        """Return seconds since an arbitrary moment."""


class BootTimeClock(SuspendAwareClock):
    """The host's time since boot."""

    def read(self) -> float:
        """Return seconds since the host started, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


NEVER: typing.Final = float("-inf")


class Freshness:
    """The latest moment for which the content of the store is known here."""

    __slots__ = ("_confirmed_at",)

    def __init__(self) -> None:
        self._confirmed_at = NEVER

    def confirm_by_store(self, asked_at: float) -> None:
        """Take note that the store answered for a moment not before ``asked_at``."""
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def confirm_by_peer(self, asked_at: float, peer_age: float) -> None:
        """Take note of a peer's age; the caller holds all that the peer holds."""
        self._confirmed_at = max(self._confirmed_at, asked_at - max(peer_age, 0.0))

    @property
    def confirmed_at(self) -> float:
        """The moment for which the content is known."""
        return self._confirmed_at

    def compute_age(self, now: float) -> float:
        """Return the seconds since the content was known; infinite at first."""
        return now - self._confirmed_at
