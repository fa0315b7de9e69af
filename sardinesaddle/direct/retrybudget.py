"""Bounds the repeated arrivals at each service over all entries together.

The operators allow, in any window of some seconds, a share of the requests plus a
fixed allowance, summed over all entries. No message is exchanged for it: each entry
takes its own requests' share and an equal part of the allowance, so that the sum
holds while the entries count each other too low by no more than the margin.
"""

import collections
import typing

# Keeps room for entries that start before the others hear of them.
SAFETY_FACTOR: typing.Final = 0.7


class RetryBudget:
    """The repeated arrivals that one entry may cause at one service."""

    __slots__ = ("_allowance", "_request_times", "_ratio", "_retry_times", "_window_s")

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._request_times: collections.deque[float] = collections.deque()
        self._retry_times: collections.deque[float] = collections.deque()

    def on_request(self, now: float) -> None:
        """Take note of a request for the service."""
        self._request_times.append(now)
        self._expire(now)

    def try_spend(self, now: float, entry_count: int) -> bool:
        """Take one repeat; return False if the window is full."""
        self._expire(now)
        own_allowance = self._allowance / max(entry_count, 1)
        limit = SAFETY_FACTOR * (own_allowance + self._ratio * len(self._request_times))
        if len(self._retry_times) + 1 > limit:
            return False
        self._retry_times.append(now)
        return True

    def _expire(self, now: float) -> None:
        """Drop what left the window."""
        start = now - self._window_s
        for times in (self._request_times, self._retry_times):
            while times and times[0] < start:
                times.popleft()
