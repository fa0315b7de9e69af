"""An event loop whose clock stands still while there is anything to do.

The loop serves real loopback sockets, but its time advances only when no socket has
data and no callback is ready, and then straight to the next timer. A test of many
seconds therefore runs in little time and does not depend on the machine's speed.
"""

import asyncio
import collections.abc
import selectors
import typing

GRACE_S: typing.Final = 0.002
IDLE_GRACE_S: typing.Final = 1.0

Result = typing.TypeVar("Result")


class PausedSelector(selectors.SelectSelector):
    """Polls the sockets; moves the clock on when they are quiet."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self._inner = selectors.EpollSelector()

    def register(
        self, fileobj: typing.Any, events: int, data: typing.Any = None
    ) -> selectors.SelectorKey:
        """Watch a file."""
        return self._inner.register(fileobj, events, data)

    def unregister(self, fileobj: typing.Any) -> selectors.SelectorKey:
        """Stop watching a file."""
        return self._inner.unregister(fileobj)

    def modify(
        self, fileobj: typing.Any, events: int, data: typing.Any = None
    ) -> selectors.SelectorKey:
        """Watch a file for other events."""
        return self._inner.modify(fileobj, events, data)

    def get_map(self) -> typing.Any:
        """Return the watched files."""
        return self._inner.get_map()

    def close(self) -> None:
        """Close the selector."""
        self._inner.close()

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return ready files, or let the clock jump over the timeout."""
        events = self._inner.select(0)
        if events or (timeout is not None and timeout <= 0):
            return events
        grace_s = IDLE_GRACE_S if timeout is None else GRACE_S
        events = self._inner.select(grace_s)
        if not events and timeout is not None:
            self.now += timeout
        return events


class PausedLoop(asyncio.SelectorEventLoop):
    """An asyncio loop on the paused clock."""

    def __init__(self) -> None:
        self._paused = PausedSelector()
        super().__init__(self._paused)

    def time(self) -> float:
        """Return the paused clock in seconds."""
        return self._paused.now


def run(coro: collections.abc.Coroutine[typing.Any, typing.Any, Result]) -> Result:
    """Run a test on a paused clock."""
    loop = PausedLoop()
    try:
        asyncio.set_event_loop(loop)
        return loop.run_until_complete(coro)
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        loop.run_until_complete(loop.shutdown_asyncgens())
        asyncio.set_event_loop(None)
        loop.close()
