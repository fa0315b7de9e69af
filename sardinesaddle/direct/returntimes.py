"""Tells callers that a limit refused when to come back.

The callers of a service get consecutive places at the pace of its limits, so that they
do not return together and the first one refused returns first. Beyond
``MAX_RETURN_S`` the places are no longer meaningful, and callers get random times of
the second half of that span.
"""

import math
import typing

MAX_RETURN_S: typing.Final = 10.0


class ReturnTimes:
    """The last place that was given out, by service; times are the event loop's."""

    __slots__ = ("_last_places",)

    def __init__(self) -> None:
        self._last_places: dict[str, float] = {}

    def choose_delay_s(
        self,
        now: float,
        service: str,
        earliest_s: float,
        rate: float,
        random_fraction: float,
    ) -> float:
        """Return after how many seconds a caller should come back.

        ``earliest_s`` is when the limits next allow a request of this entry, infinite
        if it has no part of them. ``rate`` is how many callers may come back a second;
        ``random_fraction`` is in [0, 1).
        """
        interval_s = 1.0 / rate
        next_place = self._last_places.get(service, now) + interval_s
        if math.isinf(earliest_s):
            earliest_s = 0.0
        place = max(now + earliest_s, next_place)
        if place - now > MAX_RETURN_S:
            return MAX_RETURN_S * (0.5 + 0.5 * random_fraction)
        self._last_places[service] = place
        return place - now + interval_s * random_fraction
