"""Runs several event loops on one thread, each of which can be paused.

A process that is paused and continues late is hard to bring about within one test
process. Here each process of the system has its own event loop, and one driver runs
the loops in turns. A paused loop runs no callbacks and reads no sockets while time
passes for the others. When it is resumed, its timers fire late and its sockets hold
the data that arrived in the meantime.

The clock is the machine's monotonic clock or a virtual one. A virtual clock advances
only when no loop has anything to do, and then directly to the next timer, so that a
test of a minute runs in a second.
"""

import asyncio
import collections.abc
import selectors
import time
import typing

LOOPBACK_DELAY_S: typing.Final = 0.002
MAX_POLL_S: typing.Final = 0.05
MAIN_LOOP: typing.Final = "main"

Result = typing.TypeVar("Result")


class NonBlockingSelector(selectors.EpollSelector):
    """A selector that polls without blocking, since the driver waits for all loops."""

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the files that are ready now; the timeout is ignored."""
        return super().select(0)


class ProcessLoop(asyncio.SelectorEventLoop):
    """The event loop of one process."""

    def __init__(self, driver: "LoopDriver", name: str) -> None:
        self._driver = driver
        self._poll_selector = NonBlockingSelector()
        super().__init__(self._poll_selector)
        self.name = name
        self.is_paused = False

    def time(self) -> float:
        """Return the driver's clock in seconds."""
        return self._driver.now

    def fileno(self) -> int:
        """Return a descriptor that is readable when a socket of this loop is ready."""
        return self._poll_selector.fileno()

    def has_ready(self) -> bool:
        """Return whether callbacks are waiting to run."""
        return bool(self._ready)  # type: ignore[attr-defined]

    def get_next_timer_at(self) -> float | None:
        """Return the time of the next timer, or None if there is none."""
        scheduled: list[asyncio.TimerHandle] = self._scheduled  # type: ignore[attr-defined]
        if scheduled and not scheduled[0].cancelled():
            return scheduled[0].when()
        return min(
            (timer.when() for timer in scheduled if not timer.cancelled()), default=None
        )

    def run_iteration(self) -> None:
        """Run one iteration of the loop: ready sockets, due timers and callbacks."""
        asyncio._set_running_loop(self)
        try:
            self._run_once()  # type: ignore[attr-defined]
        finally:
            asyncio._set_running_loop(None)


class LoopDriver:
    """Runs the event loops of several processes in turns.

    ``main`` is the loop of the test itself. ``loopback_delay_s`` is the time that bytes
    take to pass the loopback device, and 0 if the processes use no sockets.
    """

    def __init__(
        self, is_clock_virtual: bool, loopback_delay_s: float = LOOPBACK_DELAY_S
    ) -> None:
        self._is_clock_virtual = is_clock_virtual
        self._loopback_delay_s = loopback_delay_s
        self._virtual_now = 0.0
        self._epoll = selectors.EpollSelector()
        self._loops: dict[str, ProcessLoop] = {}
        self.main = self.add_loop(MAIN_LOOP)

    @property
    def now(self) -> float:
        """The current time in seconds, on the virtual or the machine's clock."""
        return self._virtual_now if self._is_clock_virtual else time.monotonic()

    def add_loop(self, name: str) -> ProcessLoop:
        """Create the loop of a process."""
        loop = ProcessLoop(self, name)
        self._loops[name] = loop
        self._epoll.register(loop.fileno(), selectors.EVENT_READ, loop)
        return loop

    def get_loop(self, name: str) -> ProcessLoop:
        """Return the loop of a process; create it if it does not exist."""
        return self._loops.get(name) or self.add_loop(name)

    def pause(self, name: str) -> None:
        """Pause a process: its loop does not run until it is resumed."""
        loop = self._loops[name]
        if not loop.is_paused:
            loop.is_paused = True
            self._epoll.unregister(loop.fileno())

    def resume(self, name: str) -> None:
        """Resume a paused process."""
        loop = self._loops[name]
        if loop.is_paused:
            loop.is_paused = False
            self._epoll.register(loop.fileno(), selectors.EVENT_READ, loop)

    async def run_in_process(
        self,
        name: str,
        make_coroutine: collections.abc.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, Result]
        ],
    ) -> Result:
        """Run a coroutine in a process's loop; await its result in the main loop."""
        done: asyncio.Future[None] = self.main.create_future()
        task = self.get_loop(name).create_task(make_coroutine())

        def finish(_: "asyncio.Task[Result]") -> None:
            if not done.done():
                done.set_result(None)

        task.add_done_callback(finish)
        await done
        return task.result()

    def run(
        self, coro: collections.abc.Coroutine[typing.Any, typing.Any, Result]
    ) -> Result:
        """Run a coroutine in the main loop to its end, then close all loops."""
        task = self.main.create_task(coro)
        try:
            while not task.done():
                self._run_ready_loops()
            return task.result()
        finally:
            self._close()

    def _run_ready_loops(self) -> None:
        """Run each loop that has work once; if none has, wait or advance the clock."""
        active = [loop for loop in self._loops.values() if not loop.is_paused]
        busy = [loop for loop in active if loop.has_ready()]
        wait_s = 0.0
        if not busy:
            timers = [loop.get_next_timer_at() for loop in active]
            due_at = min((t for t in timers if t is not None), default=None)
            wait_s = self._compute_poll_timeout(due_at)
        ready = {key.data for key, _ in self._epoll.select(wait_s)}
        if not busy and not ready and self._is_clock_virtual:
            self._advance_virtual_clock(active)
        for loop in active:
            timer = loop.get_next_timer_at()
            is_due = timer is not None and timer <= self.now
            if loop in ready or is_due or loop.has_ready():
                loop.run_iteration()

    def _compute_poll_timeout(self, due_at: float | None) -> float:
        """Return how long to wait for sockets, in seconds of the machine's clock."""
        if self._is_clock_virtual:
            return self._loopback_delay_s
        if due_at is None:
            return MAX_POLL_S
        return min(max(due_at - self.now, 0.0), MAX_POLL_S)

    def _advance_virtual_clock(self, active: list[ProcessLoop]) -> None:
        """Set the virtual clock to the next timer of the active loops."""
        timers = [loop.get_next_timer_at() for loop in active]
        due_at = min((t for t in timers if t is not None), default=None)
        if due_at is not None and due_at > self._virtual_now:
            self._virtual_now = due_at

    def _close(self) -> None:
        """Cancel all remaining tasks and close the loops."""
        for name, loop in self._loops.items():
            self.resume(name)
            for task in asyncio.all_tasks(loop):
                task.cancel()
        for _ in range(100):
            for loop in self._loops.values():
                if loop.has_ready():
                    loop.run_iteration()
        for loop in self._loops.values():
            self._epoll.unregister(loop.fileno())
            loop.close()
        self._epoll.close()
