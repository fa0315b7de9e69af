"""A queue of events for one waiting coroutine, with a deadline on the loop's clock."""

import asyncio
import collections
import typing

Event = typing.TypeVar("Event")


class Mailbox(typing.Generic[Event]):
    """Holds events until their one reader takes them."""

    __slots__ = ("_events", "_loop", "_waiter")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._events: collections.deque[Event] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None

    def put(self, event: Event) -> None:
        """Add an event and wake the reader."""
        self._events.append(event)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def get(self, deadline: float) -> Event | None:
        """Return the next event, or None when the time ``until`` has come."""
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
    """End the wait without an event."""
    if not waiter.done():
        waiter.set_result(None)
