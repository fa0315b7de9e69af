"""Engines of the soak test that crash above their rate while they are cold."""

import collections
import typing

COLD_S: typing.Final = 3.0  # after a start, and after an engine turned cold again
RATE: typing.Final = 8.0  # requests a second that a cold engine sustains
OVERAGE: typing.Final = 1.5  # this and the next are the users' figures
SLACK: typing.Final = 5.0
WINDOW_S: typing.Final = 1.0  # the users' bound is on any second
ALLOWED: typing.Final = int(RATE * OVERAGE + SLACK)
SLOTS: typing.Final = 8  # enough that slots alone allow more than the bound
# Without the bound, a burst brings each engine nearly twice what is allowed.
BURST_REQUESTS: typing.Final = 30 * 3
BURST_S: typing.Final = 0.3  # over which the requests of a burst are spread
BURST_PAUSES_S: typing.Final = (1.5, 3.0)


class ColdEngine:
    """The arrivals at one incarnation of an engine, and until when it is cold.

    Times are the event loop's.
    """

    def __init__(self, started_at: float) -> None:
        self._cold_until = started_at + COLD_S
        self._arrivals: collections.deque[float] = collections.deque()

    def turn_cold(self, now: float) -> None:
        """Let the engine be cold again, which it does not state."""
        self._cold_until = now + COLD_S

    def on_arrival(self, now: float, slack_s: float) -> str | None:
        """Count a request; return what is wrong if it crashes the engine.

        Requests that were sent within ``slack_s`` may arrive at once, so the window is
        shorter by that.
        """
        self._arrivals.append(now)
        while self._arrivals[0] <= now - (WINDOW_S - slack_s):
            self._arrivals.popleft()
            if not self._arrivals:
                return None
        if now >= self._cold_until or len(self._arrivals) <= ALLOWED:
            return None
        return f"{len(self._arrivals)} requests in a second while cold"
