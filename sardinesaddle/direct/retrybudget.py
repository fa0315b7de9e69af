"""Bounds the retries that the entries together may cause at each service.

The operators allow, in a sliding window, a share of the requests plus a fixed
allowance, summed over all entries. The entries exchange no messages for this: each one
uses the share of its own requests and an equal part of the allowance. The sum stays
within the bound as long as the entries underestimate their number by no more than the
margin that ``SAFETY_FACTOR`` leaves.
"""

import collections
import typing

# Leaves a margin for entries that have started but are not yet found by the others.
SAFETY_FACTOR: typing.Final = 0.7


class RetryBudget:
    """The retry budget of one entry for one service, over a sliding window."""

    __slots__ = ("_allowance", "_request_times", "_ratio", "_retry_times", "_window_s")

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._request_times: collections.deque[float] = collections.deque()
        self._retry_times: collections.deque[float] = collections.deque()

    def on_request(self, now: float) -> None:
        """Record a first send, which adds to the budget."""
        self._request_times.append(now)
        self._expire(now)

    def try_spend(self, now: float, entry_count: int) -> bool:
        """Use one retry; return False if the budget is spent."""
        self._expire(now)
        own_allowance = self._allowance / max(entry_count, 1)
        limit = SAFETY_FACTOR * (own_allowance + self._ratio * len(self._request_times))
        if len(self._retry_times) + 1 > limit:
            return False
        self._retry_times.append(now)
        return True

    def _expire(self, now: float) -> None:
        """Drop the times that are older than the window."""
        start = now - self._window_s
        for times in (self._request_times, self._retry_times):
            while times and times[0] < start:
                times.popleft()
