"""Keeps a replica of a prefix of the store up to date: one listing, then watches.

A watch is given up a little after its own wait, since an answer may be lost for good
on a connection that stays open. Every answered call dates what is known here. After
a fault the next call follows soon, with jitter, so that many processes do not call
together when the store returns.

Calls of the store are paid for, so where many processes relay to each other only some
follow the store. The others rest, and follow it themselves once what they know through
the relay is older than ``MAX_RELAYED_AGE_S``.
"""

import abc
import asyncio
import collections.abc
import dataclasses
import random
import typing

import loguru

from sardinesaddle.direct import freshness, replica

INITIAL_BACKOFF_S: typing.Final = 0.1
OUTAGE_WATCH_WAIT_S: typing.Final = 0.2  # of a watch while the store is out
MAX_BACKOFF_S: typing.Final = 0.5  # bounds how late a change is seen on return
MIN_WAIT_SHARE: typing.Final = 0.75  # share of a watch's wait that is always waited
PASSIVE_POLL_S: typing.Final = 0.2  # between looks at the word of other processes
MAX_RELAYED_AGE_S: typing.Final = (
    1.2  # of their word; the bounds on news are 2 s and more
)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFault:
    """A sentinel: the store did not answer, with the reason."""

    reason: str
    is_history_gone: bool


class Store(abc.ABC):
    """The platform's store, which can be listed and watched."""

    @abc.abstractmethod
    async def read_all(self, prefix: str) -> replica.Delta | StoreFault:
        """List all keys under a prefix."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> replica.Delta | StoreFault:
        """Return the changes after a revision, at most ``wait_s`` later."""


class OutageTracker:
    """When the store last failed and answered this process."""

    __slots__ = ("last_fault_at", "is_out", "recovered_at")

    def __init__(self) -> None:
        self.is_out = False
        self.last_fault_at = freshness.NEVER
        self.recovered_at = freshness.NEVER

    def on_fault(self, now: float) -> bool:
        """Take note of a fault; return whether it is the first of its outage."""
        is_first = not self.is_out
        self.is_out = True
        self.last_fault_at = now
        return is_first

    def on_answer(self, now: float) -> bool:
        """Take note of an answer; return whether it ended an outage."""
        was_out = self.is_out
        if was_out:
            self.recovered_at = now
        self.is_out = False
        return was_out


ChangeListener = collections.abc.Callable[[list[replica.Change], str], None]


class StoreWatcher:
    """Follows one prefix of the store."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        wait_s: float,
        on_changes: ChangeListener,
        clock: freshness.SuspendAwareClock,
        rng: random.Random,
        may_rely_on_peers: collections.abc.Callable[[], bool],
    ) -> None:
        self.prefix = prefix
        self.replica = replica.Replica()
        self.freshness = freshness.Freshness()
        self.outage = OutageTracker()
        self._store = store
        self._wait_s = wait_s
        self._on_changes = on_changes
        self._clock = clock
        self._rng = rng
        self._may_rely_on_peers = may_rely_on_peers
        self._is_listed = False

    def apply(self, delta: replica.Delta, source: str) -> None:
        """Take over changes from the store or another replica."""
        new_changes = self.replica.apply(delta)
        if new_changes:
            self._on_changes(new_changes, source)

    def compute_age(self) -> float:
        """Return the seconds since the content was known to be the store's."""
        return self.freshness.compute_age(self._clock.read())

    @property
    def is_passive(self) -> bool:
        """Whether the store is left to other processes while their word is recent."""
        return (
            self._is_listed
            and not self.outage.is_out
            and self.compute_age() < MAX_RELAYED_AGE_S
            and self._may_rely_on_peers()
        )

    async def run(self) -> None:
        """Follow the store until cancelled."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            if self.is_passive:
                await asyncio.sleep(PASSIVE_POLL_S)
                continue
            if await self._call_store():
                backoff_s = INITIAL_BACKOFF_S
                continue
            await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _call_store(self) -> bool:
        """Make one call; return whether it was answered."""
        asked_at = self._clock.read()
        wait_s = 0.0
        if self._is_listed:
            revision = self.replica.complete_rev
            # A change ends all watches at once; drawn waits part them again.
            wait_share = MIN_WAIT_SHARE + (1.0 - MIN_WAIT_SHARE) * self._rng.random()
            wait_s = round(self._wait_s * wait_share, 3)
            if self.outage.is_out:
                wait_s = OUTAGE_WATCH_WAIT_S
            result = await self._store.watch(self.prefix, revision, wait_s)
        else:
            result = await self._store.read_all(self.prefix)
        now = self._clock.read()
        if isinstance(result, StoreFault):
            if result.is_history_gone:
                self._is_listed = False
                loguru.logger.info(
                    "event=history_gone prefix={} rev={}",
                    self.prefix,
                    self.replica.complete_rev,
                )
                return True
            if self.outage.on_fault(now):
                loguru.logger.warning(
                    "event=store_lost prefix={} reason={!r} age_s={:.2f}",
                    self.prefix,
                    result.reason,
                    self.compute_age(),
                )
            return False
        if self.outage.on_answer(now):
            loguru.logger.info(
                "event=store_regained prefix={} out_s={:.2f} rev={}",
                self.prefix,
                now - self.freshness.confirmed_at,
                result.complete_rev,
            )
        self._is_listed = True
        self.apply(result, "store")
        is_unchanged_for_whole_wait = not result.changes and now - asked_at >= wait_s
        # The store answered that nothing changed after the whole wait, not before.
        self.freshness.confirm_by_store(
            asked_at + (wait_s if is_unchanged_for_whole_wait else 0.0)
        )
        return True
