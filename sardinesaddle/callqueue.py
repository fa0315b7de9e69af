"""The sidecar's queue: priorities, weighted fair shares and deadlines.

Three policies are nested. Priority levels share the target by stride scheduling: each
level has half the weight of the level above it, so an urgent call almost always goes
first and low priorities are never starved. Within a level, the accounts share by stride
scheduling with the weights of the table, so that a large account cannot delay a small
one by more than its share. Within an account, the earliest deadline goes first.

The queue is bounded. When it is full, a call that is more important than the least
important queued call replaces it. The evicted call has not run and is refused at once.
"""

import heapq
import typing

LEVEL_WEIGHT_RATIO: typing.Final = 2.0


class QueueItem(typing.Protocol):
    """The fields of a call that the queue reads; the number identifies it."""

    number: int
    account: str
    share: float
    priority: int
    deadline_at: float
    cost: float


AnyItem = typing.TypeVar("AnyItem", bound=QueueItem)


class AccountQueue(typing.Generic[AnyItem]):
    """One account's calls at one priority level, earliest deadline first.

    ``pass_value`` is the account's position in the stride schedule; the lowest is next.
    """

    __slots__ = ("heap", "pass_value")

    def __init__(self, pass_value: float) -> None:
        self.heap: list[tuple[float, int, AnyItem]] = []
        self.pass_value = pass_value


class PriorityLevel(typing.Generic[AnyItem]):
    """The account queues of one priority, with their own virtual time.

    ``pass_value`` is the level's position in the stride schedule of the levels.
    """

    __slots__ = ("virtual_time", "account_queues", "pass_value", "has_waiting")

    def __init__(self, pass_value: float) -> None:
        self.account_queues: dict[str, AccountQueue[AnyItem]] = {}
        self.pass_value = pass_value
        self.virtual_time = 0.0
        self.has_waiting = False


class CallQueue(typing.Generic[AnyItem]):
    """A bounded queue of calls.

    A removed call stays in its heap until it reaches the front, so that removal takes
    constant time.
    """

    __slots__ = (
        "_virtual_time",
        "_account_costs",
        "_levels",
        "_queued",
        "_account_shares",
        "max_items",
        "total_cost",
    )

    def __init__(self, max_items: int) -> None:
        self.max_items = max_items
        self.total_cost = 0.0
        self._levels: dict[int, PriorityLevel[AnyItem]] = {}
        self._queued: dict[int, AnyItem] = {}
        # The queued cost and the share of each account with queued calls.
        self._account_costs: dict[str, float] = {}
        self._account_shares: dict[str, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._queued)

    def list_items(self) -> list[AnyItem]:
        """Return the queued calls in order of arrival."""
        return list(self._queued.values())

    def enqueue(self, item: AnyItem) -> AnyItem | None:
        """Add a call; return the call that was evicted, which may be the new one."""
        evicted = None
        if len(self._queued) >= self.max_items:
            evicted = max(self._queued.values(), key=self._compute_eviction_rank)
            if self._compute_eviction_rank(item) >= self._compute_eviction_rank(
                evicted
            ):
                return item
            self.remove(evicted)
        level = self._levels.get(item.priority)
        if level is None:
            level = PriorityLevel(self._virtual_time)
            self._levels[item.priority] = level
        elif not level.has_waiting:
            level.pass_value = max(level.pass_value, self._virtual_time)
        level.has_waiting = True
        account_queue = level.account_queues.get(item.account)
        if account_queue is None:
            account_queue = AccountQueue(level.virtual_time)
            level.account_queues[item.account] = account_queue
        elif not account_queue.heap:
            account_queue.pass_value = max(account_queue.pass_value, level.virtual_time)
        heapq.heappush(account_queue.heap, (item.deadline_at, item.number, item))
        self._queued[item.number] = item
        self.total_cost += item.cost
        self._account_costs[item.account] = (
            self._account_costs.get(item.account, 0.0) + item.cost
        )
        self._account_shares[item.account] = item.share
        return evicted

    def estimate_wait(self, account: str, share: float) -> float:
        """Return the queued work, in the unit of cost, that is ahead of a new call.

        An account waits for its own calls at the rate of its share, whatever the other
        accounts have queued, and never for more than all queued work.
        """
        own_cost = self._account_costs.get(account, 0.0)
        other_shares = sum(self._account_shares.values()) - self._account_shares.get(
            account, 0.0
        )
        fair_wait = own_cost * (other_shares + share) / max(share, 1e-6)
        return min(fair_wait, self.total_cost)

    def remove(self, item: AnyItem) -> bool:
        """Remove a call; return whether it was queued."""
        if self._queued.pop(item.number, None) is None:
            return False
        self.total_cost -= item.cost
        remaining_cost = self._account_costs[item.account] - item.cost
        if remaining_cost > 1e-9:
            self._account_costs[item.account] = remaining_cost
        else:
            del self._account_costs[item.account]
            del self._account_shares[item.account]
        return True

    def dequeue(self) -> AnyItem | None:
        """Remove and return the next call to run, or None if the queue is empty."""
        for level in self._levels.values():
            self._drop_removed(level)
        waiting = {p: level for p, level in self._levels.items() if level.has_waiting}
        if not waiting:
            return None
        priority = min(waiting, key=lambda p: (waiting[p].pass_value, p))
        level = waiting[priority]
        item = self._dequeue_from_level(level)
        self._virtual_time = level.pass_value
        level.pass_value += item.cost * LEVEL_WEIGHT_RATIO**priority
        self.remove(item)
        return item

    def _drop_removed(self, level: PriorityLevel[AnyItem]) -> None:
        """Drop removed calls and the account queues that need no more accounting.

        An empty account queue that is ahead of the level's virtual time is kept, so
        that an account cannot get more than its share by sending one call at a time.
        """
        for account, account_queue in list(level.account_queues.items()):
            while account_queue.heap and account_queue.heap[0][1] not in self._queued:
                heapq.heappop(account_queue.heap)
            if (
                not account_queue.heap
                and account_queue.pass_value <= level.virtual_time
            ):
                del level.account_queues[account]
        level.has_waiting = any(queue.heap for queue in level.account_queues.values())

    def _dequeue_from_level(self, level: PriorityLevel[AnyItem]) -> AnyItem:
        """Return the next call of a level that has queued calls."""
        account_queues = {
            name: account_queue
            for name, account_queue in level.account_queues.items()
            if account_queue.heap
        }
        account = min(
            account_queues, key=lambda name: (account_queues[name].pass_value, name)
        )
        next_queue = account_queues[account]
        item = heapq.heappop(next_queue.heap)[2]
        level.virtual_time = next_queue.pass_value
        next_queue.pass_value += item.cost / max(item.share, 1e-6)
        return item

    def _compute_eviction_rank(self, item: AnyItem) -> tuple[int, float, int]:
        """Return a sort key; the call with the largest key is evicted first.

        The least urgent priority, which has the highest number, is evicted first, then
        the account with the most queued calls for its share, then the newest call.
        """
        weighted_length = sum(
            account_queue.heap.__len__() / max(item.share, 1e-6)
            for level in self._levels.values()
            for name, account_queue in level.account_queues.items()
            if name == item.account
        )
        return (item.priority, weighted_length, item.number)
