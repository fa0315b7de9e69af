"""An event queue with a single consumer that waits up to a deadline."""

import asyncio
import collections
import typing

Event = typing.TypeVar("Event")


class Mailbox(typing.Generic[Event]):
    """Unbounded FIFO queue of events; only one coroutine may call ``get``."""

    __slots__ = ("_events", "_loop", "_waiter")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._events: collections.deque[Event] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None

    def put(self, event: Event) -> None:
        """Append an event and wake the consumer."""
        self._events.append(event)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def get(self, deadline: float) -> Event | None:
        """Return the next event, or None if none arrives by the deadline.

        ``deadline`` is a time on the loop's clock.
        """
        if self._events:
            return self._events.popleft()
        if self._loop.time() >= deadline:
            return None
        waiter = self._loop.create_future()
        self._waiter = waiter
        timer = self._loop.call_at(deadline, _wake, waiter)
        try:
            await waiter
        finally:
            timer.cancel()
            self._waiter = None
        return self._events.popleft() if self._events else None


def _wake(waiter: "asyncio.Future[None]") -> None:
    """Wake the consumer at its deadline."""
    if not waiter.done():
        waiter.set_result(None)
