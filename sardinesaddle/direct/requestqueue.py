"""Orders the requests of an entry that wait for capacity at a service's targets.

Under overload some requests are late or refused, whatever the order. First come, first
served makes all of them late, since each one waits for the whole queue. Here the
requests that can still meet their deadline go first, earliest deadline first. Late
requests come after them, the latest arrival first, since the callers of old requests
soon give up. Each step of lower priority counts as a slightly later deadline, so
priorities order requests without starving any.

A late request is refused at once if, at the recent rate of dequeued late requests, its
position would not be reached before its wait deadline. That rate is only meaningful
while requests are dequeued; while a group is broken, all requests wait.

Where the limits of all targets decide, few requests are served, and those of one busy
account or kind could take them all. There, the account that got the fewest targets
recently goes first, within it the kind (route) that got the fewest.
``sardinesaddle bench rankchoice`` simulates this load.
"""

import abc
import collections
import dataclasses
import math
import typing

from sardinesaddle.direct import targetstate
from sardinesaddle.direct.admission import sendconstraint

FIRST_EVENT_LATENCY_S: typing.Final = 0.2  # from send to first event: 3 passes
RATE_WINDOW_S: typing.Final = 1.0  # over which the dequeue rate is measured
# Shorter spans give no usable rate; they count as this long.
MIN_RATE_SPAN_S: typing.Final = 0.25
RATE_MARGIN_SIGMAS: typing.Final = 2.0  # standard deviations of the expected dequeues
MIN_DEQUEUES: typing.Final = 8  # in the window; fewer give no usable rate
FAIR_WINDOW_S: typing.Final = 10.0  # over which accounts and kinds are compared
PRIORITY_STEP_S: typing.Final = 0.05  # deadline offset per step of lower priority


@dataclasses.dataclass(eq=False, slots=True)
class QueuedRequest:
    """A request that waits for a target; times are the event loop's.

    ``priority`` 0 is the highest. ``first_event_deadline`` is when the response
    should begin, ``wait_deadline`` when the request leaves the queue.
    ``excluded_targets`` are identifiers of targets that already failed for it.
    ``crash_count`` is the number of targets that crashed while it ran there, ``group``
    the only lock-step group that it may run in, empty for any.
    ``account`` and ``kind`` name the client account and the route. ``traits`` is what
    the constraints of targets ask of the request.
    """

    priority: int
    arrived_at: float
    first_event_deadline: float
    wait_deadline: float
    excluded_targets: typing.Collection[str] = ()
    crash_count: int = 0
    group: str = ""
    account: str = ""
    kind: str = ""
    assigned_target: targetstate.Target | None = None
    traits: sendconstraint.RequestTraits = sendconstraint.ANY_REQUEST

    def can_meet_deadline(self, now: float) -> bool:
        """Return whether the response can still begin before its deadline."""
        return now + FIRST_EVENT_LATENCY_S <= self.first_event_deadline

    def make_sort_key(self, now: float) -> tuple[bool, float]:
        """Return the key that orders the queue; on-time requests sort first."""
        priority_offset_s = PRIORITY_STEP_S * self.priority
        if self.can_meet_deadline(now):
            return False, self.first_event_deadline + priority_offset_s
        return True, priority_offset_s - self.arrived_at


class QueuePolicy(abc.ABC):
    """Chooses who goes first in the queue of a service, and who waits."""

    # Whether a request that gets no target lets those behind it try.
    lets_others_pass: typing.ClassVar[bool] = False

    @abc.abstractmethod
    def sort(self, now: float, requests: list[QueuedRequest]) -> list[QueuedRequest]:
        """Return the waiting requests, the next one to dispatch first."""

    @abc.abstractmethod
    def compute_wait_deadline(self, now: float, request: QueuedRequest) -> float:
        """Return until when a request waits; it is refused if that has passed."""


class DeadlinePolicy(QueuePolicy):
    """The order by deadline, with an offset for priority, as described above."""

    def sort(self, now: float, requests: list[QueuedRequest]) -> list[QueuedRequest]:
        """Return the waiting requests; those that can meet their deadline first."""
        return sorted(requests, key=lambda queued: queued.make_sort_key(now))

    def compute_wait_deadline(self, now: float, request: QueuedRequest) -> float:
        """Return the wait deadline that the caller's patience sets."""
        return request.wait_deadline


DEADLINE_POLICY: typing.Final = DeadlinePolicy()


class RequestQueue:
    """The waiting requests of one service, with the recent dequeue rate."""

    __slots__ = (
        "_dequeue_times",
        "_late_dequeue_times",
        "_recent_dequeues",
        "_requests",
        "policy",
    )

    def __init__(self, policy: QueuePolicy = DEADLINE_POLICY) -> None:
        self.policy = policy
        self._requests: list[QueuedRequest] = []
        # When requests were dequeued: all of them, and the late ones.
        self._dequeue_times: collections.deque[float] = collections.deque()
        self._late_dequeue_times: collections.deque[float] = collections.deque()
        # Times, accounts and kinds of the dequeues within FAIR_WINDOW_S.
        self._recent_dequeues: collections.deque[tuple[float, str, str]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        return len(self._requests)

    def enqueue(self, request: QueuedRequest) -> None:
        """Add a request; the order is computed when the queue is read."""
        self._requests.append(request)

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request; raises ValueError if it is not queued."""
        self._requests.remove(request)

    def list_in_dispatch_order(self, now: float) -> list[QueuedRequest]:
        """Return all waiting requests, the next one to dispatch first."""
        return self.policy.sort(now, self._requests)

    def list_in_fair_order(self, now: float) -> list[QueuedRequest]:
        """Return all waiting requests; what got fewest targets lately goes first."""
        self._discard_old_dequeues(now)
        accounts = collections.Counter(a for _, a, _ in self._recent_dequeues)
        kinds = collections.Counter((a, k) for _, a, k in self._recent_dequeues)
        waiting = self.list_in_dispatch_order(now)
        ordered = []
        while waiting:
            index = min(
                range(len(waiting)),
                key=lambda i: (
                    accounts[waiting[i].account],
                    kinds[waiting[i].account, waiting[i].kind],
                    i,
                ),
            )
            request = waiting.pop(index)
            accounts[request.account] += 1
            kinds[request.account, request.kind] += 1
            ordered.append(request)
        return ordered

    def record_dequeue(self, now: float, request: QueuedRequest) -> None:
        """Record for the dequeue rate that a request got a target."""
        self._dequeue_times.append(now)
        self._recent_dequeues.append((now, request.account, request.kind))
        if not request.can_meet_deadline(now):
            self._late_dequeue_times.append(now)
        self._discard_old_dequeues(now)

    def _discard_old_dequeues(self, now: float) -> None:
        """Drop the dequeue times that are older than the rate window."""
        for times in (self._dequeue_times, self._late_dequeue_times):
            while times and times[0] < now - RATE_WINDOW_S:
                times.popleft()
        recent = self._recent_dequeues
        while recent and recent[0][0] < now - FAIR_WINDOW_S:
            recent.popleft()

    def list_unservable(self, now: float) -> list[QueuedRequest]:
        """Return the late requests that will not be reached before their deadline.

        After a suspension of the process, the deadline of some has passed.
        """
        self._discard_old_dequeues(now)
        if len(self._dequeue_times) < MIN_DEQUEUES:
            return []
        # For a group that has just opened, the rate counts from its first dequeue.
        span_s = max(now - self._dequeue_times[0], MIN_RATE_SPAN_S)
        late_rate = len(self._late_dequeue_times) / span_s
        late_requests = [
            queued
            for queued in self.list_in_dispatch_order(now)
            if not queued.can_meet_deadline(now)
        ]
        return [
            queued
            for index, queued in enumerate(late_requests)
            if queued.wait_deadline <= now
            or index >= compute_dequeue_bound(late_rate * (queued.wait_deadline - now))
        ]


def compute_dequeue_bound(expected: float) -> float:
    """Return an upper bound of dequeues, given the expected number.

    The margin is in standard deviations of a Poisson count.
    """
    return expected + RATE_MARGIN_SIGMAS * math.sqrt(expected + 1.0)
