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

FIRST_EVENT_S: typing.Final = 0.2  # from a send to a first event: three passes
PACE_WINDOW_S: typing.Final = 1.0  # over which the pace of turns is measured
LEAST_SPAN_S: typing.Final = 0.25  # that a pace can be measured over
CHANCE: typing.Final = 2.0  # standard deviations of a count of turns
MIN_TURNS: typing.Final = 8  # in the window; fewer say nothing about the pace
URGENCY_S: typing.Final = 0.05  # of waiting that a step of urgency is worth


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits; times are the loop's.

    ``due_at`` is when its answer ought to begin, ``until`` when waiting is given up.
    Targets in ``excluded`` are not for it; ``taken`` is the one that it was given.
    """

    urgency: int
    since: float
    due_at: float
    until: float
    excluded: typing.Collection[str] = ()
    taken: targetpool.Target | None = None

    def can_be_in_time(self, now: float) -> bool:
        """Tell whether an answer can still begin in time."""
        return now + FIRST_EVENT_S <= self.due_at

    def make_order_key(self, now: float) -> tuple[bool, float]:
        """Return the key by which the line is ordered."""
        handicap = URGENCY_S * self.urgency
        if self.can_be_in_time(now):
            return False, self.due_at + handicap
        return True, handicap - self.since


class WaitLine:
    """The requests that wait for one service."""

    __slots__ = ("_late_turns", "_turns", "_waiters")

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        # When requests were given a target, and when those that were late were.
        self._turns: collections.deque[float] = collections.deque()
        self._late_turns: collections.deque[float] = collections.deque()

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Let a request wait."""
        self._waiters.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Take a request out."""
        self._waiters.remove(waiter)

    def list_in_order(self, now: float) -> list[Waiter]:
        """Return who waits, the next one first."""
        return sorted(self._waiters, key=lambda one: one.make_order_key(now))

    def on_turn(self, now: float, waiter: Waiter) -> None:
        """Take note that a request is given a target."""
        self._turns.append(now)
        if not waiter.can_be_in_time(now):
            self._late_turns.append(now)
        self._forget(now)

    def _forget(self, now: float) -> None:
        """Drop the turns that left the window."""
        for turns in (self._turns, self._late_turns):
            while turns and turns[0] < now - PACE_WINDOW_S:
                turns.popleft()

    def list_hopeless(self, now: float) -> list[Waiter]:
        """Return the late requests whose turn will not come in their time."""
        self._forget(now)
        if len(self._turns) < MIN_TURNS:
            return []
        # A group that has just opened is judged by the time since its first turn.
        span_s = max(now - self._turns[0], LEAST_SPAN_S)
        pace = len(self._late_turns) / span_s
        late = [one for one in self.list_in_order(now) if not one.can_be_in_time(now)]
        return [
            one
            for index, one in enumerate(late)
            if index >= count_turns(pace * (one.until - now))
        ]


def count_turns(expected: float) -> float:
    """Return how many turns may come where some are expected, by chance included."""
    return expected + CHANCE * math.sqrt(expected + 1.0)
