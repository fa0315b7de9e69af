"""Finds out which targets crashed, and which requests were running there.

A broken exchange alone does not show that its target crashed: connections are reset for
many reasons, and the target may run on. The entry therefore connects to the target once
more. If that is refused, no process listens any more, and the target has crashed. A
connection that is neither accepted nor refused shows nothing, since the network may be
down.

The crash counts against all requests of this entry whose exchange with the target ended
without a response within ``UNANSWERED_MEMORY_S`` of it. That includes exchanges that
were cancelled because their caller had left. The end of a target that is leaving counts
against nobody.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import enum
import typing

import loguru

from sardinesaddle.direct import (
    catalog,
    crashledger,
    freshness,
    nodemetrics,
    targetpool,
    upstream,
)

UNANSWERED_MEMORY_S: typing.Final = 1.0  # exchanges end at once when a target crashes
PROBE_TIMEOUT_S: typing.Final = 0.3  # two round trips and a lost packet
MAX_TRACKED_TARGETS: typing.Final = 256
BROKEN_KINDS: typing.Final = frozenset(
    {upstream.FailureKind.CLOSED, upstream.FailureKind.RESET}
)


class Evidence(enum.Enum):
    """What showed that a target crashed."""

    REFUSED = "refused"


@dataclasses.dataclass(slots=True)
class TargetExchanges:
    """The unanswered exchanges with one incarnation of a target.

    ``unanswered`` are the times and contents of those that ended recently.
    ``crashed_at`` is when the target was last found to have crashed.
    """

    unanswered: collections.deque[tuple[float, str]] = dataclasses.field(
        default_factory=collections.deque
    )
    crashed_at: float = freshness.NEVER
    probe: asyncio.Task[None] | None = None

    def has_just_crashed(self, now: float) -> bool:
        """Return whether a crash was found within ``UNANSWERED_MEMORY_S``."""
        return now - self.crashed_at <= UNANSWERED_MEMORY_S


class CrashDetector:
    """Tells the ledger of an entry which targets crashed under which requests.

    ``on_recorded`` is called after a crash was recorded.
    """

    def __init__(
        self,
        ledger: crashledger.CrashLedger,
        pool: upstream.ConnectionPool,
        clock: freshness.SuspendAwareClock,
        entry_metrics: nodemetrics.EntryMetrics,
        on_recorded: collections.abc.Callable[[], None],
    ) -> None:
        self._ledger = ledger
        self._pool = pool
        self._clock = clock
        self._metrics = entry_metrics
        self._on_recorded = on_recorded
        # By incarnation, the least recently used first.
        self._exchanges: collections.OrderedDict[str, TargetExchanges] = (
            collections.OrderedDict()
        )

    def compute_refusal_s(self, content_id: str) -> float:
        """Return for how long a content is still refused, 0.0 if it may run."""
        return self._ledger.compute_refusal_s(self._clock.read(), content_id)

    def get_crash_count(self, content_id: str) -> int:
        """Return how many targets crashed while this content ran there."""
        return self._ledger.get_crash_count(content_id)

    def on_completed(self, content_id: str) -> None:
        """Record that a target ran a content to its end."""
        if self._ledger.record_completion(self._clock.read(), content_id):
            loguru.logger.info("event=content_cleared content={}", content_id)

    def _get_exchanges(self, target: targetpool.Target) -> TargetExchanges:
        """Return what is tracked for a target's incarnation."""
        incarnation = target.registration.incarnation
        exchanges = self._exchanges.setdefault(incarnation, TargetExchanges())
        self._exchanges.move_to_end(incarnation)
        if len(self._exchanges) > MAX_TRACKED_TARGETS:
            self._exchanges.popitem(last=False)
        return exchanges

    def on_unanswered(self, target: targetpool.Target, content_id: str) -> None:
        """Record that an exchange ended without a response."""
        exchanges = self._get_exchanges(target)
        now = self._clock.read()
        exchanges.unanswered.append((now, content_id))
        while exchanges.unanswered[0][0] < now - UNANSWERED_MEMORY_S:
            exchanges.unanswered.popleft()
        if exchanges.has_just_crashed(now):
            self._record(target, exchanges)

    async def probe(self, target: targetpool.Target) -> None:
        """Find out whether a target crashed; call after a broken exchange."""
        exchanges = self._get_exchanges(target)
        if exchanges.has_just_crashed(self._clock.read()):
            return
        if exchanges.probe is None:
            loop = asyncio.get_running_loop()
            exchanges.probe = loop.create_task(self._run_probe(target, exchanges))
        await asyncio.shield(exchanges.probe)

    async def _run_probe(
        self, target: targetpool.Target, exchanges: TargetExchanges
    ) -> None:
        """Connect to a target; it crashed if the connection is refused."""
        registration = target.registration
        key = (registration.host, registration.port, registration.target_id)
        now = asyncio.get_running_loop().time()
        try:
            failure = await self._pool.open_idle(key, now, PROBE_TIMEOUT_S)
        finally:
            exchanges.probe = None
        outcome = "accepted" if failure is None else failure.kind.value
        self._metrics.count_probe(outcome)
        loguru.logger.info(
            "event=target_probed target={} outcome={} unanswered={}",
            registration.target_id,
            outcome,
            len(exchanges.unanswered),
        )
        if (
            failure is not None
            and failure.kind is upstream.FailureKind.CONNECTION_REFUSED
        ):
            self.on_connection_refused(target)

    def on_connection_refused(self, target: targetpool.Target) -> None:
        """Record that a target crashed: nothing listens at its address."""
        exchanges = self._get_exchanges(target)
        exchanges.crashed_at = self._clock.read()
        self._record(target, exchanges)

    def _record(self, target: targetpool.Target, exchanges: TargetExchanges) -> None:
        """Count the target's crash against the requests that it left unanswered."""
        if target.registration.state is catalog.TargetState.DRAINING:
            return
        now = self._clock.read()
        changed = []
        for ended_at, content_id in exchanges.unanswered:
            if now - ended_at <= UNANSWERED_MEMORY_S and self._ledger.record_crash(
                now, content_id, target.registration.incarnation
            ):
                changed.append(content_id)
        exchanges.unanswered.clear()
        if not changed:
            return
        self._metrics.count_crash(Evidence.REFUSED.value)
        loguru.logger.info(
            "event=target_crashed target={} evidence={} contents={}",
            target.target_id,
            Evidence.REFUSED.value,
            self._ledger.format_counts(changed),
        )
        self._on_recorded()
