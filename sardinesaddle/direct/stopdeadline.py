"""The time by which all requests of a process that stops must have been answered.

It is not known until the process is asked to stop. Then it also ends what is already
running: ``StopDeadline`` moves the time-outs that were entered before.
"""

import asyncio
import collections.abc
import contextlib
import math


class StopDeadline:
    """Bounds time-outs by the end of the process; ``at`` is the event loop's time."""

    def __init__(self) -> None:
        self.at = math.inf
        self._scopes: set[asyncio.Timeout] = set()

    def set(self, at: float) -> None:
        """Let all time-outs end at ``at`` unless they end sooner."""
        self.at = at
        for scope in self._scopes:
            when = scope.when()
            if not scope.expired() and (when is None or when > at):
                scope.reschedule(at)

    @property
    def is_set(self) -> bool:
        """Whether the process stops."""
        return self.at < math.inf

    @contextlib.asynccontextmanager
    async def timeout_at(
        self, deadline: float | None
    ) -> collections.abc.AsyncIterator[asyncio.Timeout]:
        """Raise TimeoutError at a deadline (None: no limit), or when the process ends.

        As with ``asyncio.timeout_at``, what runs inside is cancelled.
        """
        when = min(deadline or math.inf, self.at)
        async with asyncio.timeout_at(when if when < math.inf else None) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)
