"""Estimates the token rate of each expert and the speed of each rank.

Expert counts arrive late and with gaps, and the mix of prompts drifts by season, so
counts are averaged with exponential decay over the time that they cover; a missing
report leaves the estimate as it is. A rank's speed is the median of its recent ratios
of load to time, so that one late report does not make a rank look slow. A rank that
reports no progress at all is stalled, which is a different state from slow.
"""

import collections
import statistics
import typing

HALF_LIFE_S: typing.Final = 120.0
SPEED_SAMPLES: typing.Final = 9  # latest samples of the median
STALL_TIMEOUT_S: typing.Final = 5.0
MIN_SPEED: typing.Final = 0.05  # relative to a rank of speed 1


class ExpertPopularity:
    """The token rate of each expert, with exponential decay, in tokens per second."""

    __slots__ = ("_half_life_s", "_reported_at", "rates")

    def __init__(self, experts: int, half_life_s: float = HALF_LIFE_S) -> None:
        self._half_life_s = half_life_s
        self._reported_at = -1.0
        self.rates = [1.0] * experts

    def add_counts(
        self, now: float, counts: typing.Sequence[float], span_s: float
    ) -> None:
        """Add the token counts of an interval that ended at ``now``.

        A report that is not newer than the last one is ignored.
        """
        if now <= self._reported_at or span_s <= 0:
            return
        is_first = self._reported_at < 0
        self._reported_at = now
        old_weight = 0.0 if is_first else 0.5 ** (span_s / self._half_life_s)
        self.rates = [
            old_weight * rate + (1 - old_weight) * count / span_s
            for rate, count in zip(self.rates, counts, strict=True)
        ]


class RankSpeed:
    """The speed of one rank, relative to a rank that serves a load of 1 in 1 s."""

    __slots__ = ("_last_progress_at", "_ratios", "speed")

    def __init__(self, now: float) -> None:
        self._ratios: collections.deque[float] = collections.deque(maxlen=SPEED_SAMPLES)
        self._last_progress_at = now
        self.speed = 1.0

    def add_sample(self, now: float, load: float, time_s: float) -> None:
        """Add a sample: the time that the rank spent on its own load in a step."""
        self._last_progress_at = now
        if load <= 0 or time_s <= 0:
            return
        self._ratios.append(load / time_s)
        self.speed = max(statistics.median(self._ratios), MIN_SPEED)

    def is_stalled(self, now: float) -> bool:
        """Return whether the rank reports no progress.

        No expert load explains that: a high load only slows a rank down.
        """
        return now - self._last_progress_at > STALL_TIMEOUT_S
