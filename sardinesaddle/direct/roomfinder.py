"""Finds room for the requests of an entry: at once, or when their turn comes.

A request takes the target that the pool chooses. If none has room, it joins the line
of its service, which is served whenever something changes: an answer ends, a sidecar
reports, or a short while passed, since pauses after refusals end by time alone. A
target is counted as taken in the same step in which it is given to a request.
"""

import asyncio
import random
import typing

from sardinesaddle.direct import knowledge, targetpool, waitline

LOOK_PERIOD_S: typing.Final = 0.05  # a third of the pause after a refusal


class RoomFinder:
    """Gives requests targets."""

    def __init__(
        self,
        know: knowledge.Knowledge,
        targets: targetpool.TargetPool,
        rng: random.Random,
    ) -> None:
        self._know = know
        self._targets = targets
        self._rng = rng
        self._lines: dict[str, waitline.WaitLine] = {}
        self._turns: dict[
            waitline.Waiter, asyncio.Future[targetpool.Target | None]
        ] = {}
        self._looker: asyncio.Task[None] | None = None

    async def find(
        self, service: str, waiter: waitline.Waiter
    ) -> targetpool.Target | None:
        """Return a target that counts the request already; None if none has room."""
        loop = asyncio.get_running_loop()
        line = self._lines.setdefault(service, waitline.WaitLine())
        if not len(line):
            target = self._take(service, waiter)
            if target is not None or not self._may_wait(service, waiter):
                return target
        line.add(waiter)
        turn: asyncio.Future[targetpool.Target | None] = loop.create_future()
        self._turns[waiter] = turn
        self.serve(service)
        self._start_looking()
        try:
            async with asyncio.timeout_at(waiter.until):
                return await turn
        except TimeoutError:
            return self._leave(service, waiter)
        except asyncio.CancelledError:
            target = self._leave(service, waiter)
            if target is not None:
                self._targets.on_end(target, loop.time())
                self.serve(service)
            raise

    def _leave(self, service: str, waiter: waitline.Waiter) -> targetpool.Target | None:
        """Leave the line; return the target if it was given in the same moment."""
        turn = self._turns.pop(waiter, None)
        if turn is not None:
            self._lines[service].remove(waiter)
            return None
        return waiter.taken

    def _may_wait(self, service: str, waiter: waitline.Waiter) -> bool:
        """Tell whether waiting may help."""
        now = asyncio.get_running_loop().time()
        return now < waiter.until and self._targets.has_hope(now, service)

    def _take(self, service: str, waiter: waitline.Waiter) -> targetpool.Target | None:
        """Take a target for a request if one has room."""
        now = asyncio.get_running_loop().time()
        entries = self._know.count_entries()
        target = self._targets.choose(
            now, service, waiter.excluded, entries, self._rng.random
        )
        if target is not None:
            self._targets.on_send(target, now)
            self._lines[service].on_turn(now, waiter)
        return target

    def serve(self, service: str) -> None:
        """Give room to those who wait, in the line's order."""
        line = self._lines.get(service)
        if line is None or not len(line):
            return
        now = asyncio.get_running_loop().time()
        has_hope = self._targets.has_hope(now, service)
        for waiter in line.list_in_order(now):
            target = self._take(service, waiter)
            if target is None and has_hope:
                if waiter.excluded:
                    continue
                break
            self._end_wait(line, waiter, target)
        for waiter in line.list_hopeless(now):
            self._end_wait(line, waiter, None)

    def _end_wait(
        self,
        line: waitline.WaitLine,
        waiter: waitline.Waiter,
        target: targetpool.Target | None,
    ) -> None:
        """Tell a request its target, or that there is none."""
        line.remove(waiter)
        waiter.taken = target
        turn = self._turns.pop(waiter)
        if not turn.done():
            turn.set_result(target)

    def serve_all(self) -> None:
        """Give room to those who wait for any service."""
        for service in self._lines:
            self.serve(service)

    def _start_looking(self) -> None:
        """Look regularly while somebody waits."""
        if self._looker is None or self._looker.done():
            loop = asyncio.get_running_loop()
            self._looker = loop.create_task(self._look())

    async def _look(self) -> None:
        """Serve the lines until nobody waits."""
        while self._turns:
            await asyncio.sleep(LOOK_PERIOD_S)
            self.serve_all()
