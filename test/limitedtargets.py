"""Targets that state a request limit, and the users' bound on what they receive."""

import asyncio
import typing

from test import directfleet as df

LIMIT_HEADER: typing.Final = "Server-Limit"
CONTACT_S: typing.Final = 3.0  # the users' bound for entries to learn of others
WINDOW_S: typing.Final = 4.0  # the users' window
EXCESS_FACTOR: typing.Final = 1.5
EXCESS_REQUESTS: typing.Final = 5


class LimitedTarget:
    """Responds like other targets and states its limit, if it has one.

    ``limit`` is the text of the header, None for none. ``arrivals`` are the event
    loop's times.
    """

    def __init__(self, limit: str | None) -> None:
        self.limit = limit
        self.arrivals: list[float] = []
        self.first_stated_at: float | None = None

    async def respond(
        self,
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Count a request and respond to it."""
        now = asyncio.get_running_loop().time()
        self.arrivals.append(now)
        extra = []
        if self.limit is not None:
            self.first_stated_at = self.first_stated_at or now
            extra.append((LIMIT_HEADER, self.limit))
        writer.write(df.make_response(request.attempt_id, extra_fields=extra))
        return True

    def count_worst_window(self) -> int:
        """Return the most requests in a window, from ``CONTACT_S`` on."""
        assert self.first_stated_at is not None
        start = self.first_stated_at + CONTACT_S
        times = [at for at in self.arrivals if at >= start]
        return count_worst_window(times)


def count_worst_window(times: list[float]) -> int:
    """Return the most of the increasing times that lie within one window."""
    worst = begin = 0
    for index, at in enumerate(times):
        while times[begin] <= at - WINDOW_S:
            begin += 1
        worst = max(worst, index + 1 - begin)
    return worst


def compute_allowed(limit: float) -> float:
    """Return how many requests a limited target may get in a window."""
    return EXCESS_FACTOR * limit * WINDOW_S + EXCESS_REQUESTS
