"""How long the responses of each route took, to tell what can still end in a stop."""

import collections
import statistics
import typing

WINDOW: typing.Final = 32  # responses of a route that are remembered
MIN_RESPONSES: typing.Final = 8  # fewer tell nothing about the next one
MAX_ROUTES: typing.Final = 256  # configurations add and remove routes without end


class ResponseTimes:
    """The last successful responses of each route, from the send to their end."""

    def __init__(self) -> None:
        self._seconds: dict[str, collections.deque[float]] = {}

    def record(self, route: str, seconds: float) -> None:
        """Add a response that a target gave whole."""
        recent = self._seconds.get(route)
        if recent is None:
            if len(self._seconds) >= MAX_ROUTES:
                del self._seconds[next(iter(self._seconds))]
            recent = self._seconds[route] = collections.deque(maxlen=WINDOW)
        recent.append(seconds)

    def find_usual(self, route: str) -> float | None:
        """Return the median in seconds; None if there were too few responses."""
        recent = self._seconds.get(route, ())
        return statistics.median(recent) if len(recent) >= MIN_RESPONSES else None
