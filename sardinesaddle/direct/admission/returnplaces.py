"""Chooses when refused clients return, at the rate that the expected capacity allows.

Each entry gives out its share of the capacity that is expected to be free, so that the
clients of all entries together find capacity when they return, at whichever entry that
is. Consecutive clients get consecutive places.
"""

import typing

MIN_RETURN_S: typing.Final = 0.3
# Over which clients return before the latest time that serves them.
LATEST_SPAN_S: typing.Final = 1.0
# Of the capacity that is expected to be free; with more, some are refused by chance.
FILL: typing.Final = 0.85
# A client that no place remains for is told a time after its deadline, spread over
# this: a return in vain would be refused again, or displace a request that is on time.
BEYOND_SPAN_S: typing.Final = 1.0


class ReturnPlaces:
    """The last place that this entry gave out for one service."""

    __slots__ = ("_last_place",)

    def __init__(self) -> None:
        self._last_place = 0.0

    def choose_delay_s(
        self,
        now: float,
        earliest_s: float,
        latest_s: float,
        rate: float,
        random_fraction: float,
    ) -> float | None:
        """Take the next place between two delays; None if there is none.

        ``rate`` is how many clients of this entry may return a second, and
        ``random_fraction`` is in [0, 1).
        """
        if rate <= 0.0:
            return None
        interval_s = 1.0 / (FILL * rate)
        place = max(now + earliest_s, self._last_place + interval_s)
        if place > now + latest_s:
            return None
        self._last_place = place
        return place - now + interval_s * random_fraction
