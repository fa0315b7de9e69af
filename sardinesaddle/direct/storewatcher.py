"""Keeps a replica of one prefix of the store current: one listing, then watches.

The client abandons a watch a little after the watch's own time limit, since a response
may be lost for good on a connection that stays open. Every successful call updates the
replica's freshness. After a fault the next call follows soon, with backoff and jitter,
so that many processes do not all call at once when the store returns.

A store that was restored from an older copy states a higher era. Every response tells;
the watcher then lists the store anew and never continues from a revision of the earlier
era. A response of an earlier era that arrives late is dropped. For ``SETTLING_S`` after
the rise, the store may lack what it had confirmed before, until it is written again, so
no read confirms the replica in that time, or until ``end_settling`` is called.

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
WATCH_RESOLUTION_S: typing.Final = 0.001
MAX_BACKOFF_S: typing.Final = 0.5  # bounds the delay of changes after an outage
MIN_WAIT_SHARE: typing.Final = 0.75  # of a watch's time limit; the rest is jitter
PASSIVE_POLL_S: typing.Final = 0.2  # between checks of the age of relayed state
MAX_RELAYED_AGE_S: typing.Final = 1.2  # target changes must apply in 2 s, others later
# What was lost with a restore is written again within two seconds; the rest is delay.
SETTLING_S: typing.Final = 2.2


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
        # Whether the last watch found that the store lacks its revision.
        self._is_history_gone = False
        self._settled_at = freshness.NEVER

    def apply(self, delta: replica.Delta, source: str) -> None:
        """Apply a delta from the store or a peer, and report what changed."""
        if self.replica.may_apply(delta) and delta.era > self.replica.era:
            self._begin_era(delta, source)
        new_changes = self.replica.apply(delta)
        if new_changes:
            self._on_changes(new_changes, source)

    def _begin_era(self, listing: replica.Delta, source: str) -> None:
        """Record that the store was restored, unless this is the first listing."""
        if self.replica.complete_rev:
            now = self._clock.read()
            self._settled_at = now + SETTLING_S
            self.freshness.distrust_until(self._settled_at)
            # Registrations that the copy lacks are lapsed ones.
            self.outage.recovered_at = now
        loguru.logger.info(
            "event=store_era prefix={} era={} previous={} rev={} previous_rev={}"
            " source={}",
            self.prefix,
            listing.era,
            self.replica.era,
            listing.complete_rev,
            self.replica.complete_rev,
            source,
        )

    @property
    def is_settling(self) -> bool:
        """Whether the store may lack what it had confirmed before it was restored."""
        return self._clock.read() < self._settled_at

    def end_settling(self) -> None:
        """Record that what was lost with a restore has been written again."""
        self._settled_at = self._clock.read()
        self.freshness.distrust_until(freshness.NEVER)

    def compute_settled_age(self) -> float | None:
        """Return the seconds since the settling ended, negative during it.

        Returns None if no restore is known.
        """
        if self._settled_at == freshness.NEVER:
            return None
        return self._clock.read() - self._settled_at

    def learn_restore(self, era: int, settled_age_s: float | None) -> None:
        """Apply what another process knows of the store; call this after the start.

        A process that starts cannot tell from its first listing that the store has just
        been restored.
        """
        now = self._clock.read()
        if 0 < era < self.replica.era:
            settled_age_s = -SETTLING_S
        elif era != self.replica.era or settled_age_s is None:
            return
        if now - settled_age_s > self._settled_at:
            self._settled_at = now - settled_age_s
            self.freshness.reset()
            self.freshness.distrust_until(self._settled_at)
            loguru.logger.info(
                "event=store_settles prefix={} era={} age_s={:.2f}",
                self.prefix,
                self.replica.era,
                settled_age_s,
            )

    def is_ahead(self, era: int, changed_rev: int) -> bool:
        """Return whether a replica with a change at this point has more than this."""
        own = (self.replica.era, self.replica.complete_rev)
        return changed_rev > 0 and (era, changed_rev) > own

    def read_clock(self) -> float:
        """Return the time of the clock that counts suspension."""
        return self._clock.read()

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
        era = self.replica.era
        if self._is_listed:
            revision = self.replica.complete_rev
            # A change ends all watches at once; jitter spreads the next ones.
            wait_share = MIN_WAIT_SHARE + (1.0 - MIN_WAIT_SHARE) * self._rng.random()
            wait_s = self._wait_s * wait_share
            if self.outage.is_out:
                wait_s = OUTAGE_WATCH_WAIT_S
            if self.is_settling:
                # A watch that ends then is the first that confirms the replica.
                settles_in_s = self._settled_at - asked_at + WATCH_RESOLUTION_S
                wait_s = min(wait_s, settles_in_s)
            wait_s = round(wait_s, 3)
            result = await self._store.watch(self.prefix, revision, wait_s)
        else:
            result = await self._store.read_all(self.prefix)
        now = self._clock.read()
        if self.replica.era != era or (result.era is not None and result.era < era):
            # A peer relayed the next era, or the response is of an earlier one.
            loguru.logger.info(
                "event=store_response_outdated prefix={} era={} in_force={}",
                self.prefix,
                result.era,
                self.replica.era,
            )
            return self.replica.era != era
        if result.era is not None and result.era > era:
            self._is_listed = False
        if isinstance(result, StoreFault):
            return self._handle_fault(now, result)
        if not self.replica.may_apply(result):
            return True
        if self.outage.on_response(now):
            loguru.logger.info(
                "event=store_regained prefix={} out_s={:.2f} rev={}",
                self.prefix,
                now - self.freshness.confirmed_at,
                result.complete_rev,
            )
        if not result.is_full:
            self._is_history_gone = False
        self._is_listed = True
        self.apply(result, "store")
        is_unchanged_for_whole_wait = not result.changes and now - asked_at >= wait_s
        # Without changes, a whole wait confirms the state at the end of the wait.
        self.freshness.confirm_by_store(
            asked_at + (wait_s if is_unchanged_for_whole_wait else 0.0)
        )
        return True

    def _handle_fault(self, now: float, fault: StoreFault) -> bool:
        """Handle a failed call; return False if the backoff applies."""
        if fault.is_history_gone:
            # After a listing that did not help, another one can wait.
            is_repeated, self._is_history_gone = self._is_history_gone, True
            self._is_listed = False
            loguru.logger.info(
                "event=history_gone prefix={} rev={} repeated={}",
                self.prefix,
                self.replica.complete_rev,
                is_repeated,
            )
            return not is_repeated
        if self.outage.on_fault(now):
            loguru.logger.warning(
                "event=store_lost prefix={} reason={!r} age_s={:.2f}",
                self.prefix,
                fault.reason,
                self.compute_age(),
            )
        return False
