"""Bounds the retries that the entries together may cause at each service.

The operators allow, in a sliding window, a share of the requests plus a fixed
allowance, summed over all entries. The entries exchange no messages for this: each one
uses the share of its own requests and an equal part of the allowance.

The sum must hold when entries restart or lose each other, too. An entry that has just
started does not know how many entries there are, and uses none of the allowance until
it had time to find them. After a restart it does not know what its predecessor spent,
and uses a smaller part of the allowance for one window. An entry that loses others
keeps dividing by the largest number that it knew in the last
``ENTRY_COUNT_MEMORY_S``, since those that it no longer hears may be serving requests.
"""

import collections
import typing

SAFETY_FACTOR: typing.Final = 0.7  # leaves a part for entries that have restarted
# Two restarts within a window use up what SAFETY_FACTOR leaves.
RESTART_FACTOR: typing.Final = 0.15
ENTRY_DISCOVERY_S: typing.Final = 1.0  # two heartbeats, and one that fails
ENTRY_COUNT_MEMORY_S: typing.Final = 600.0  # longer than partitions usually last


class EntryCountBound:
    """The largest number of entries that a process knew recently."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        # Times and counts; the times increase, the counts decrease.
        self._counts: collections.deque[tuple[float, int]] = collections.deque()

    def add(self, now: float, count: int) -> None:
        """Record the present number of entries, this one included."""
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))
        while self._counts[0][0] < now - ENTRY_COUNT_MEMORY_S:
            self._counts.popleft()

    @property
    def largest(self) -> int:
        """The largest recent number; 1 before the first."""
        return max(self._counts[0][1], 1) if self._counts else 1


class RetryBudget:
    """The retry budget of one entry for one service, over a sliding window.

    ``process_started_at`` and all other times are the event loop's. ``is_first_start``
    is set if no process of the system ran before.
    """

    __slots__ = (
        "_allowance",
        "_entry_counts",
        "_is_first_start",
        "_process_started_at",
        "_ratio",
        "_request_times",
        "_retry_times",
        "_window_s",
    )

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window_s: float,
        process_started_at: float,
        is_first_start: bool,
    ) -> None:
        self._is_first_start = is_first_start
        self._process_started_at = process_started_at
        self._request_times: collections.deque[float] = collections.deque()
        self._retry_times: collections.deque[float] = collections.deque()
        self._entry_counts = EntryCountBound()
        self.set_limits(ratio, allowance, window_s)

    def set_limits(self, ratio: float, allowance: float, window_s: float) -> None:
        """Apply new limits; what was spent still counts."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s

    def on_entry_count(self, now: float, count: int) -> None:
        """Record the number of entries that this one knows, itself included."""
        self._entry_counts.add(now, count)

    def on_request(self, now: float) -> None:
        """Record a first send, which adds to the budget."""
        self._request_times.append(now)
        self._expire(now)

    def may_spend(self, now: float) -> bool:
        """Return whether the budget has another retry."""
        self._expire(now)
        limit = self._compute_own_allowance(now)
        limit += SAFETY_FACTOR * self._ratio * len(self._request_times)
        return len(self._retry_times) + 1 <= limit

    def try_spend(self, now: float) -> bool:
        """Use one retry; return False if the budget is spent."""
        if not self.may_spend(now):
            return False
        self._retry_times.append(now)
        return True

    def _compute_own_allowance(self, now: float) -> float:
        """Return this entry's part of the allowance."""
        uptime_s = now - self._process_started_at
        if uptime_s < ENTRY_DISCOVERY_S:
            return 0.0
        is_settled = self._is_first_start or uptime_s >= self._window_s
        factor = SAFETY_FACTOR if is_settled else RESTART_FACTOR
        return factor * self._allowance / self._entry_counts.largest

    def _expire(self, now: float) -> None:
        """Drop the times that are older than the window."""
        start = now - self._window_s
        for times in (self._request_times, self._retry_times):
            while times and times[0] < start:
                times.popleft()
