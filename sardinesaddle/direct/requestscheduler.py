"""Assigns targets to the requests of an entry, at once or when a target has capacity.

A request gets the target that the pool chooses. If none has capacity, the request joins
the queue of its service. Queues are dispatched whenever something changes: a response
ends, a sidecar reports, or a short period has passed, since backoffs after refusals end
without an event. A request counts as load of its target as soon as that is assigned, so
that the entry assigns no slot twice.

If every target of a service states a limit or rests, that tells when a request would be
reached. One that would not be reached before its wait deadline is refused at once.
"""

import asyncio
import random
import typing

from sardinesaddle.direct import (
    entrystate,
    requestqueue,
    supervision,
    targetpool,
    targetstate,
)

DISPATCH_PERIOD_S: typing.Final = 0.05  # a third of the backoff after a refusal


class RequestScheduler:
    """Assigns targets to requests, with one queue for each service."""

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
            requestqueue.QueuedRequest, asyncio.Future[targetstate.Target | None]
        ] = {}
        self._dispatch_task: asyncio.Task[None] | None = None

    async def acquire_target(
        self, service: str, request: requestqueue.QueuedRequest
    ) -> targetstate.Target | None:
        """Return a target for a request, or None if the request must be refused.

        The returned target already counts the request as sent. Waits until the
        request's wait deadline at most.
        """
        loop = asyncio.get_running_loop()
        if not self._targets.may_run(loop.time(), service, request.traits).is_allowed:
            return None
        queue = self._queues.setdefault(service, requestqueue.RequestQueue())
        policy = self._targets.admission.find_policy(service)
        queue.policy = policy or requestqueue.DEADLINE_POLICY
        if not len(queue):
            target = self._try_assign(service, request)
            now = loop.time()
            if target is not None or not self.may_wait(now, service, request):
                return target
        request.wait_deadline = queue.policy.compute_wait_deadline(loop.time(), request)
        queue.enqueue(request)
        assignment: asyncio.Future[targetstate.Target | None] = loop.create_future()
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
                self._targets.on_end(
                    target, loop.time(), request.crash_count, request.traits
                )
                self.dispatch(service)
            raise

    def _withdraw(
        self, service: str, request: requestqueue.QueuedRequest
    ) -> targetstate.Target | None:
        """Leave the queue; return a target that was assigned at the same moment."""
        assignment = self._assignments.pop(request, None)
        if assignment is not None:
            self._queues[service].remove(request)
            return None
        return request.assigned_target

    def count_waiting(self, service: str) -> int:
        """Return the number of requests that wait for a target of a service."""
        queue = self._queues.get(service)
        return 0 if queue is None else len(queue)

    def may_wait(
        self, now: float, service: str, request: requestqueue.QueuedRequest
    ) -> bool:
        """Return whether a target may get capacity before the wait deadline."""
        if now >= request.wait_deadline or not self._targets.may_have_capacity_soon(
            now, service, request.crash_count, request.group, request.traits
        ):
            return False
        wait_s = self._targets.compute_wait_s(
            now, service, request.excluded_targets, 0, request.traits
        )
        return wait_s is None or now + wait_s < request.wait_deadline

    def _try_assign(
        self, service: str, request: requestqueue.QueuedRequest
    ) -> targetstate.Target | None:
        """Assign a target with capacity and count the request; else return None."""
        now = asyncio.get_running_loop().time()
        entry_count = self._entry_state.count_entries()
        target = self._targets.choose_target(
            now,
            service,
            request.excluded_targets,
            entry_count,
            self._rng.random,
            request.crash_count,
            request.group,
            request.traits,
        )
        if target is not None:
            self._targets.on_send(target, now, request.crash_count, request.traits)
            self._queues[service].record_dequeue(now, request)
        return target

    def dispatch(self, service: str) -> None:
        """Assign targets to the waiting requests of a service, in the queue's order.

        Requests that cannot be served in time are refused.
        """
        queue = self._queues.get(service)
        if queue is None or not len(queue):
            return
        now = asyncio.get_running_loop().time()
        is_held_back = self._targets.compute_wait_s(now, service, (), 0) is not None
        ordered = (
            queue.list_in_fair_order(now)
            if is_held_back
            else queue.list_in_dispatch_order(now)
        )
        for request in ordered:
            target = self._try_assign(service, request)
            if target is None and self._targets.may_have_capacity_soon(
                now, service, request.crash_count, request.group, request.traits
            ):
                is_choosy = request.excluded_targets or request.crash_count
                if (
                    is_choosy
                    or request.traits.homes is not None
                    or queue.policy.lets_others_pass
                    or self._targets.admission.lets_others_pass
                ):
                    continue
                break
            self._resolve(queue, request, target)
        for request in queue.list_unservable(now):
            self._resolve(queue, request, None)
        if is_held_back:
            self._refuse_unreached(now, service, queue)

    def _refuse_unreached(
        self, now: float, service: str, queue: requestqueue.RequestQueue
    ) -> None:
        """Refuse the requests that limits and rests do not let through in time."""
        position = 0
        for request in queue.list_in_fair_order(now):
            wait_s = self._targets.compute_wait_s(
                now, service, request.excluded_targets, position, request.traits
            )
            if wait_s is not None and now + wait_s >= request.wait_deadline:
                self._resolve(queue, request, None)
            else:
                position += 1

    def _resolve(
        self,
        queue: requestqueue.RequestQueue,
        request: requestqueue.QueuedRequest,
        target: targetstate.Target | None,
    ) -> None:
        """Dequeue a request with its target, or refuse it if there is none."""
        queue.remove(request)
        request.assigned_target = target
        assignment = self._assignments.pop(request)
        if not assignment.done():
            assignment.set_result(target)

    def dispatch_all(self) -> None:
        """Dispatch the queues of all services."""
        for service in self._queues:
            self.dispatch(service)

    def _start_periodic_dispatch(self) -> None:
        """Start the periodic dispatch unless it is running."""
        if self._dispatch_task is None or self._dispatch_task.done():
            loop = asyncio.get_running_loop()
            self._dispatch_task = loop.create_task(
                supervision.run_restarting(
                    "periodic dispatch", self._dispatch_periodically
                )
            )

    async def _dispatch_periodically(self) -> None:
        """Dispatch all queues periodically until no request waits."""
        while self._assignments:
            await asyncio.sleep(DISPATCH_PERIOD_S)
            self.dispatch_all()
