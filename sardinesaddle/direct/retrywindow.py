"""Bounds the repeated arrivals at each service over all entries together.

The operators allow, in any window of some seconds, a share of the requests plus a
fixed allowance, summed over all entries. No message is exchanged for it: each entry
takes its own requests' share and an equal part of the allowance, so that the sum
holds while the entries count each other too low by no more than the margin.
"""

import collections
import typing

# Keeps room for entries that start before the others hear of them.
SAFETY: typing.Final = 0.7


class RetryWindow:
    """The repeated arrivals that one entry may cause at one service."""

    __slots__ = ("_allowance", "_arrivals", "_ratio", "_repeats", "_window_s")

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._arrivals: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def on_request(self, now: float) -> None:
        """Take note of a request for the service."""
        self._arrivals.append(now)
        self._expire(now)

    def spend(self, now: float, entries: int) -> bool:
        """Take one repeat; return False if the window is full."""
        self._expire(now)
        part = self._allowance / max(entries, 1)
        room = SAFETY * (part + self._ratio * len(self._arrivals))
        if len(self._repeats) + 1 > room:
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        """Drop what left the window."""
        start = now - self._window_s
        for times in (self._arrivals, self._repeats):
            while times and times[0] < start:
                times.popleft()
