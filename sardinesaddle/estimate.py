"""Estimates the duration of requests and its deviation.

The mean and the mean deviation are exponentially weighted, as in TCP's estimate of the
round-trip time (Jacobson and Karels, 1988). The upper bound is the mean plus a multiple
of the deviation; it follows a changing workload within a few dozen samples.
"""

import typing

MEAN_GAIN: typing.Final = 1 / 8
DEVIATION_GAIN: typing.Final = 1 / 4
DEVIATION_FACTOR: typing.Final = 2.0


class DurationEstimate:
    """A running mean and mean deviation of a duration, in seconds."""

    __slots__ = ("count", "deviation_s", "mean_s")

    def __init__(self, initial_s: float = 0.0) -> None:
        self.mean_s = initial_s
        self.deviation_s = initial_s / 2
        self.count = 0

    def add(self, sample_s: float) -> None:
        """Add a duration sample."""
        if self.count == 0:
            self.mean_s = sample_s
            self.deviation_s = sample_s / 2
        else:
            error_s = sample_s - self.mean_s
            self.mean_s += MEAN_GAIN * error_s
            self.deviation_s += DEVIATION_GAIN * (abs(error_s) - self.deviation_s)
        self.count += 1

    def compute_upper_bound(self) -> float:
        """Return a duration that most requests do not exceed."""
        return self.mean_s + DEVIATION_FACTOR * self.deviation_s
