"""Finds room for the requests of an entry: at once, or when their turn comes.

A request takes the target that the pool chooses. If none has room, it joins the line
of its service, which is served whenever something changes: an answer ends, a sidecar
reports, or a short while passed, since pauses after refusals end by time alone. A
target is counted as taken in the same step in which it is given to a request.
"""

import asyncio
import random
import typing

from sardinesaddle.direct import entrystate, requestqueue, targetpool

DISPATCH_PERIOD_S: typing.Final = 0.05  # a third of the pause after a refusal


class RequestScheduler:
    """Gives requests targets."""

    def __init__(
        self,
        entry_state: entrystate.EntryState,
        targets: targetpool.TargetPool,
        rng: random.Random,
    ) -> None:
        self._entry_state = entry_state
        self._targets = targets
        self._rng = rng
        self._queues: dict[str, requestqueue.RequestQueue] = {}
        self._assignments: dict[
            requestqueue.QueuedRequest, asyncio.Future[targetpool.Target | None]
        ] = {}
        self._dispatch_task: asyncio.Task[None] | None = None

    async def acquire_target(
        self, service: str, request: requestqueue.QueuedRequest
    ) -> targetpool.Target | None:
        """Return a target that counts the request already; None if none has room."""
        loop = asyncio.get_running_loop()
        queue = self._queues.setdefault(service, requestqueue.RequestQueue())
        if not len(queue):
            target = self._try_assign(service, request)
            if target is not None or not self._may_wait(service, request):
                return target
        queue.enqueue(request)
        assignment: asyncio.Future[targetpool.Target | None] = loop.create_future()
        self._assignments[request] = assignment
        self.dispatch(service)
        self._start_periodic_dispatch()
        try:
            async with asyncio.timeout_at(request.wait_deadline):
                return await assignment
        except TimeoutError:
            return self._withdraw(service, request)
        except asyncio.CancelledError:
            target = self._withdraw(service, request)
            if target is not None:
                self._targets.on_end(target, loop.time())
                self.dispatch(service)
            raise

    def _withdraw(
        self, service: str, request: requestqueue.QueuedRequest
    ) -> targetpool.Target | None:
        """Leave the line; return the target if it was given in the same moment."""
        assignment = self._assignments.pop(request, None)
        if assignment is not None:
            self._queues[service].remove(request)
            return None
        return request.assigned_target

    def _may_wait(self, service: str, request: requestqueue.QueuedRequest) -> bool:
        """Tell whether waiting may help."""
        now = asyncio.get_running_loop().time()
        return now < request.wait_deadline and self._targets.may_have_capacity_soon(
            now, service
        )

    def _try_assign(
        self, service: str, request: requestqueue.QueuedRequest
    ) -> targetpool.Target | None:
        """Take a target for a request if one has room."""
        now = asyncio.get_running_loop().time()
        entry_count = self._entry_state.count_entries()
        target = self._targets.choose_target(
            now, service, request.excluded_targets, entry_count, self._rng.random
        )
        if target is not None:
            self._targets.on_send(target, now)
            self._queues[service].record_dequeue(now, request)
        return target

    def dispatch(self, service: str) -> None:
        """Give room to those who wait, in the line's order."""
        queue = self._queues.get(service)
        if queue is None or not len(queue):
            return
        now = asyncio.get_running_loop().time()
        is_capacity_expected = self._targets.may_have_capacity_soon(now, service)
        for request in queue.list_in_dispatch_order(now):
            target = self._try_assign(service, request)
            if target is None and is_capacity_expected:
                if request.excluded_targets:
                    continue
                break
            self._resolve(queue, request, target)
        for request in queue.list_unservable(now):
            self._resolve(queue, request, None)

    def _resolve(
        self,
        queue: requestqueue.RequestQueue,
        request: requestqueue.QueuedRequest,
        target: targetpool.Target | None,
    ) -> None:
        """Tell a request its target, or that there is none."""
        queue.remove(request)
        request.assigned_target = target
        assignment = self._assignments.pop(request)
        if not assignment.done():
            assignment.set_result(target)

    def dispatch_all(self) -> None:
        """Give room to those who wait for any service."""
        for service in self._queues:
            self.dispatch(service)

    def _start_periodic_dispatch(self) -> None:
        """Look regularly while somebody waits."""
        if self._dispatch_task is None or self._dispatch_task.done():
            loop = asyncio.get_running_loop()
            self._dispatch_task = loop.create_task(self._dispatch_periodically())

    async def _dispatch_periodically(self) -> None:
        """Serve the lines until nobody waits."""
        while self._assignments:
            await asyncio.sleep(DISPATCH_PERIOD_S)
            self.dispatch_all()
