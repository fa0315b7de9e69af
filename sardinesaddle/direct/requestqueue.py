"""The requests of an entry that wait for room at a service's targets, and their order.

Under overload someone is late or refused whatever the order. First come, first served
makes everybody late: each request waits as long as the line is. Here those that can
still be in time go first, and of them the one whose time is up first; what is late
already waits behind them, the latest arrival first, since callers of old requests
soon give up. A less urgent request counts as if its time were up a little later, so
urgency orders requests without starving anyone.

What cannot be served is refused at once: a late request whose turn would not come
before it is given up, at the pace at which late requests were served of late. That pace
says something only while requests are served; while a group is broken, all wait.
``sardinesaddle bench rankchoice`` plays the load that this answers.
"""

import collections
import dataclasses
import math
import typing

from sardinesaddle.direct import targetpool

FIRST_EVENT_LATENCY_S: typing.Final = 0.2  # from a send to a first event: three passes
RATE_WINDOW_S: typing.Final = 1.0  # over which the pace of turns is measured
MIN_RATE_SPAN_S: typing.Final = 0.25  # that a pace can be measured over
RATE_MARGIN_SIGMAS: typing.Final = 2.0  # standard deviations of a count of turns
MIN_DEQUEUES: typing.Final = 8  # in the window; fewer say nothing about the pace
PRIORITY_STEP_S: typing.Final = 0.05  # of waiting that a step of urgency is worth


@dataclasses.dataclass(eq=False, slots=True)
class QueuedRequest:
    """A request that waits; times are the loop's.

    ``due_at`` is when its answer ought to begin, ``until`` when waiting is given up.
    Targets in ``excluded`` are not for it; ``taken`` is the one that it was given.
    """

    priority: int
    arrived_at: float
    first_event_deadline: float
    wait_deadline: float
    excluded_targets: typing.Collection[str] = ()
    assigned_target: targetpool.Target | None = None

    def can_meet_deadline(self, now: float) -> bool:
        """Tell whether an answer can still begin in time."""
        return now + FIRST_EVENT_LATENCY_S <= self.first_event_deadline

    def make_sort_key(self, now: float) -> tuple[bool, float]:
        """Return the key by which the line is ordered."""
        priority_offset_s = PRIORITY_STEP_S * self.priority
        if self.can_meet_deadline(now):
            return False, self.first_event_deadline + priority_offset_s
        return True, priority_offset_s - self.arrived_at


class RequestQueue:
    """The requests that wait for one service."""

    __slots__ = ("_late_dequeue_times", "_dequeue_times", "_requests")

    def __init__(self) -> None:
        self._requests: list[QueuedRequest] = []
        # When requests were given a target, and when those that were late were.
        self._dequeue_times: collections.deque[float] = collections.deque()
        self._late_dequeue_times: collections.deque[float] = collections.deque()

    def __len__(self) -> int:
        return len(self._requests)

    def enqueue(self, request: QueuedRequest) -> None:
        """Let a request wait."""
        self._requests.append(request)

    def remove(self, request: QueuedRequest) -> None:
        """Take a request out."""
        self._requests.remove(request)

    def list_in_dispatch_order(self, now: float) -> list[QueuedRequest]:
        """Return who waits, the next one first."""
        return sorted(self._requests, key=lambda queued: queued.make_sort_key(now))

    def record_dequeue(self, now: float, request: QueuedRequest) -> None:
        """Take note that a request is given a target."""
        self._dequeue_times.append(now)
        if not request.can_meet_deadline(now):
            self._late_dequeue_times.append(now)
        self._discard_old_dequeues(now)

    def _discard_old_dequeues(self, now: float) -> None:
        """Drop the turns that left the window."""
        for times in (self._dequeue_times, self._late_dequeue_times):
            while times and times[0] < now - RATE_WINDOW_S:
                times.popleft()

    def list_unservable(self, now: float) -> list[QueuedRequest]:
        """Return the late requests whose turn will not come in their time."""
        self._discard_old_dequeues(now)
        if len(self._dequeue_times) < MIN_DEQUEUES:
            return []
        # A group that has just opened is judged by the time since its first turn.
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
            if index >= compute_dequeue_bound(late_rate * (queued.wait_deadline - now))
        ]


def compute_dequeue_bound(expected: float) -> float:
    """Return how many turns may come where some are expected, by chance included."""
    return expected + RATE_MARGIN_SIGMAS * math.sqrt(expected + 1.0)
