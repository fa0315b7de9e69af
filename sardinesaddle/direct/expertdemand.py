"""Estimates the current demand for each expert of a rank.

The engine counts how often each expert was selected since its start. The differences
between readings are added to two exponentially decayed sums: a fast one for the current
demand and a slow one for the usual demand. Demand shifts every few seconds, but most of
it stays or returns, so a map for a blend of both serves better after the next shift,
when passes are longest. The slow sum is kept when the engine restarts, so that a map
can be planned as soon as the group opens again.
"""

import math
import typing

# Some five passes; 0.6 s lowers goodput by 0.03.
FAST_TIME_CONSTANT_S: typing.Final = 0.35
SLOW_TIME_CONSTANT_S: typing.Final = 5.0  # one or two shifts of demand
# Of the blend; a weight of 0.5 with a time constant of 8 s does as well.
SLOW_WEIGHT: typing.Final = 0.3
MAX_LEVEL: typing.Final = 15  # demand is sent as 4 bits for each expert


class ExpertDemand:
    """The decayed expert counts of one rank."""

    __slots__ = (
        "_epoch",
        "_last_counts",
        "_last_read_at",
        "_slow_counts",
        "fast_counts",
    )

    def __init__(self) -> None:
        self.fast_counts: list[float] = []
        self._slow_counts: list[float] = []
        self._last_counts: list[int] = []
        self._epoch = -1
        self._last_read_at = 0.0

    def record_counts(self, now: float, epoch: int, counts: list[int]) -> None:
        """Add a reading of the engine's counts, made at ``now``.

        After a restart of the engine only the slow sum is kept.
        """
        is_new = epoch != self._epoch or len(counts) != len(self._last_counts)
        if is_new or any(a < b for a, b in zip(counts, self._last_counts, strict=True)):
            self.fast_counts = [0.0] * len(counts)
            if len(self._slow_counts) != len(counts):
                self._slow_counts = [0.0] * len(counts)
        else:
            elapsed_s = now - self._last_read_at
            fast_decay = math.exp(-elapsed_s / FAST_TIME_CONSTANT_S)
            slow_decay = math.exp(-elapsed_s / SLOW_TIME_CONSTANT_S)
            for index, count in enumerate(counts):
                increment = count - self._last_counts[index]
                self.fast_counts[index] = (
                    self.fast_counts[index] * fast_decay + increment
                )
                self._slow_counts[index] = (
                    self._slow_counts[index] * slow_decay + increment
                )
        self._last_counts = counts
        self._epoch = epoch
        self._last_read_at = now

    def estimate(self) -> list[float]:
        """Return the blend of current and usual demand for each expert."""
        scale = SLOW_WEIGHT * FAST_TIME_CONSTANT_S / SLOW_TIME_CONSTANT_S
        return [
            (1.0 - SLOW_WEIGHT) * fast_count + scale * slow_count
            for fast_count, slow_count in zip(
                self.fast_counts, self._slow_counts, strict=True
            )
        ]

    def pack(self, random_fraction: typing.Callable[[], float]) -> tuple[bytes, float]:
        """Return 4 bits for each expert, and the demand that a value of 1 stands for.

        ``random_fraction`` returns numbers in [0, 1). Values are rounded at random, so
        that small values are not lost in the sum over ranks.
        """
        values = self.estimate()
        peak = max(values, default=0.0)
        if peak <= 0.0:
            return bytes((len(values) + 1) // 2), 0.0
        unit = peak / MAX_LEVEL
        levels = [int(value / unit + random_fraction()) for value in values]
        if len(levels) % 2:
            levels.append(0)
        pairs = zip(levels[::2], levels[1::2], strict=True)
        return bytes(high << 4 | min(low, MAX_LEVEL) for high, low in pairs), unit


def sum_packed(parts: list[tuple[bytes, float]]) -> list[float]:
    """Return the sum of packed demand over ranks.

    With an odd number of experts the result ends with one additional zero. Parts of
    another length, or without demand, are left out.
    """
    total = [0.0] * (2 * max((len(data) for data, _ in parts), default=0))
    for data, unit in parts:
        if unit > 0.0 and 2 * len(data) == len(total):
            for index, pair in enumerate(data):
                total[2 * index] += (pair >> 4) * unit
                total[2 * index + 1] += (pair & MAX_LEVEL) * unit
    return total
