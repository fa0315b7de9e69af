"""Targets that state a request limit, and the users' bound on what they receive."""

import asyncio
import typing

from test import directfleet as df

LIMIT_HEADER: typing.Final = "Server-Limit"
CONTACT_S: typing.Final = 3.0  # the users' bound for entries to learn of others
WINDOW_S: typing.Final = 4.0  # the users' window
EXCESS_FACTOR: typing.Final = 1.5
EXCESS_REQUESTS: typing.Final = 5
TOLD_S: typing.Final = 0.5  # the users' time for an entry to act on a statement


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


class LimitRecord:
    """The limit that one incarnation of a target states, and what it gets.

    Times are the event loop's. ``on_arrival`` checks the users' bound, as the target
    sees it.
    """

    def __init__(self) -> None:
        self.limit: float | None = None
        self._changes: list[tuple[float, float | None]] = []
        self._told_at: dict[str, float] = {}
        self._arrivals: list[float] = []

    def set_limit(self, now: float, limit: float | None) -> None:
        """Change the limit; None for none."""
        self.limit = limit
        self._changes.append((now, limit))

    def on_response(self, now: float, sender: str) -> None:
        """Note that a response, which states the limit if there is one, is sent."""
        if self.limit is not None:
            self._told_at.setdefault(sender, now)

    def on_arrival(self, now: float, sender: str, is_in_touch: bool) -> str | None:
        """Count a request; return what is wrong if that is one too many."""
        told_at = self._told_at.get(sender)
        if told_at is None or now < told_at + TOLD_S or not is_in_touch:
            return None
        self._arrivals.append(now)
        since = now - WINDOW_S
        self._arrivals = [at for at in self._arrivals if at > since]
        limit = self._find_highest_limit(since - CONTACT_S)
        if limit is None or len(self._arrivals) <= compute_allowed(limit):
            return None
        return f"{len(self._arrivals)} requests in {WINDOW_S} s, limit {limit}"

    def _find_highest_limit(self, since: float) -> float | None:
        """Return the highest limit since a time; None if there was none at times."""
        highest = 0.0
        for index, (_, limit) in enumerate(self._changes):
            is_last = index + 1 == len(self._changes)
            if not is_last and self._changes[index + 1][0] <= since:
                continue
            if limit is None:
                return None
            highest = max(highest, limit)
        return highest if self._changes and self._changes[0][0] <= since else None
