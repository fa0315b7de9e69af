"""Keeps a replica of one prefix of the store current: one listing, then watches.

The client abandons a watch a little after the watch's own time limit, since a response
may be lost for good on a connection that stays open. Every successful call updates the
replica's freshness. After a fault the next call follows soon, with backoff and jitter,
so that many processes do not all call at once when the store returns.

Calls to the store are billed. Where many processes relay changes to each other, only
some of them watch the store. The others are passive: they start to watch once the state
that they get from peers is older than ``MAX_RELAYED_AGE_S``.
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
OUTAGE_WATCH_WAIT_S: typing.Final = 0.2  # time limit of a watch during an outage
MAX_BACKOFF_S: typing.Final = 0.5  # bounds the delay of changes after an outage
MIN_WAIT_SHARE: typing.Final = 0.75  # of a watch's time limit; the rest is jitter
PASSIVE_POLL_S: typing.Final = 0.2  # between checks of the age of relayed state
MAX_RELAYED_AGE_S: typing.Final = 1.2  # target changes must apply in 2 s, others later


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFault:
    """Returned when a call to the store failed; ``reason`` is for logs.

    ``is_history_gone`` means that the store does not have the revision that a watch
    would continue from. ``era`` is the store's, None if there was no valid response.
    """

    reason: str
    is_history_gone: bool
    era: int | None = None


class Store(abc.ABC):
    """The platform's key-value store, which can be listed and watched."""

    @abc.abstractmethod
    async def read_all(self, prefix: str) -> replica.Delta | StoreFault:
        """Return all keys under a prefix as a full delta."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> replica.Delta | StoreFault:
        """Return the changes after a revision; wait at most ``wait_s`` for one."""


class OutageTracker:
    """Whether the store is unreachable, the last fault and the last recovery."""

    __slots__ = ("last_fault_at", "is_out", "recovered_at")

    def __init__(self) -> None:
        self.is_out = False
        self.last_fault_at = freshness.NEVER
        self.recovered_at = freshness.NEVER

    def on_fault(self, now: float) -> bool:
        """Record a fault; return whether it begins an outage."""
        is_first = not self.is_out
        self.is_out = True
        self.last_fault_at = now
        return is_first

    def on_response(self, now: float) -> bool:
        """Record a response; return whether it ends an outage."""
        was_out = self.is_out
        if was_out:
            self.recovered_at = now
        self.is_out = False
        return was_out


ChangeListener = collections.abc.Callable[[list[replica.Change], str], None]


class StoreWatcher:
    """Watches one prefix of the store.

    ``on_changes`` is called with new changes and their source. ``may_rely_on_peers``
    returns whether enough other processes watch the store.
    """

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
        self.era = 0  # the one that the store stated last

    def apply(self, delta: replica.Delta, source: str) -> None:
        """Apply a delta from the store or a peer, and report what changed."""
        new_changes = self.replica.apply(delta)
        if new_changes:
            self._on_changes(new_changes, source)

    def compute_age(self) -> float:
        """Return the replica's staleness in seconds."""
        return self.freshness.compute_age(self._clock.read())

    @property
    def is_passive(self) -> bool:
        """Whether peers relay recent enough state, so that no watch is needed."""
        return (
            self._is_listed
            and not self.outage.is_out
            and self.compute_age() < MAX_RELAYED_AGE_S
            and self._may_rely_on_peers()
        )

    async def run(self) -> None:
        """List and watch the store until cancelled."""
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
        """List or watch once; return False if the backoff applies."""
        asked_at = self._clock.read()
        wait_s = 0.0
        if self._is_listed:
            revision = self.replica.complete_rev
            # A change ends all watches at once; jitter spreads the next ones.
            wait_share = MIN_WAIT_SHARE + (1.0 - MIN_WAIT_SHARE) * self._rng.random()
            wait_s = round(self._wait_s * wait_share, 3)
            if self.outage.is_out:
                wait_s = OUTAGE_WATCH_WAIT_S
            result = await self._store.watch(self.prefix, revision, wait_s)
        else:
            result = await self._store.read_all(self.prefix)
        now = self._clock.read()
        self._record_era(result.era)
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
        if self.outage.on_response(now):
            loguru.logger.info(
                "event=store_regained prefix={} out_s={:.2f} rev={}",
                self.prefix,
                now - self.freshness.confirmed_at,
                result.complete_rev,
            )
        self._is_listed = True
        self.apply(result, "store")
        is_unchanged_for_whole_wait = not result.changes and now - asked_at >= wait_s
        # Without changes, a whole wait confirms the state at the end of the wait.
        self.freshness.confirm_by_store(
            asked_at + (wait_s if is_unchanged_for_whole_wait else 0.0)
        )
        return True

    def _record_era(self, era: int | None) -> None:
        """Log a change of the store's era."""
        if era is None or era == self.era:
            return
        loguru.logger.info(
            "event=store_era prefix={} era={} previous={} rev={}",
            self.prefix,
            era,
            self.era,
            self.replica.complete_rev,
        )
        self.era = era
