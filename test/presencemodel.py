"""A model, without a network, of an address, its processes, and an entry that looks.

The target's process may end, which ends all its connections in order, and another may
take its address. The entry may be suspended, the path between them cut, and each
connection may lose its end for a while. What is under way then arrives late.
"""

import asyncio
import collections.abc
import dataclasses
import functools
import math
import random
import typing

from sardinesaddle.direct import (
    catalog,
    crashdetector,
    crashledger,
    departures,
    entrynode,
    freshness,
    nodemetrics,
    targetidentity,
    targetstate,
    upstream,
)
from sardinesaddle.standins import loopdriver

ENTRY: typing.Final = "entry"
ROUND_TRIP_S: typing.Final = 0.003
REUSE_S: typing.Final = 2.0  # from the end of a process to the next at its address
DEADLINE_S: typing.Final = 8.0  # of callers
REGISTRATION: typing.Final = catalog.TargetRegistration(
    "t1", "plain", "127.0.0.1", 1, "p", 6, catalog.TargetState.READY, 0.0, 1
)


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """A request; ``begins_s`` and ``lasts_s`` are the target's, after it is sent.

    Its end arrives ``delay_s`` late.
    """

    sent_at: float
    begins_s: float
    lasts_s: float
    delay_s: float = 0.0

    @property
    def ends_at(self) -> float:
        """When the target ends its response, unless it has ended before."""
        return self.sent_at + self.begins_s + self.lasts_s


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """What happens; times are in seconds from the start, ``inf`` for never.

    ``question_s`` is how long the process at the address takes to say who it is; the
    connections of the first ``silent_questions`` questions are silent for good.
    """

    exchanges: list[Exchange]
    question_s: float = 0.0
    silent_questions: int = 0
    ends_at: float = math.inf
    next_at: float = math.inf
    leaves_at: float = math.inf
    unlisted_at: float = math.inf
    suspensions: tuple[tuple[float, float], ...] = ()
    cuts: tuple[tuple[float, float], ...] = ()

    def find_passage(self, sent_at: float) -> float:
        """Return when what is sent at a time gets through."""
        for began_at, ended_at in sorted(self.cuts):
            if began_at <= sent_at < ended_at:
                sent_at = ended_at
        return sent_at


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What the entry took the end of a response for; None if it did not get to know.

    ``read_at`` is when it read the end, ``waited_s`` how long it looked after that.
    """

    exchange: Exchange
    has_ended: bool | None
    read_at: float
    waited_s: float


class DriverClock(freshness.SuspendAwareClock):
    """The driver's clock, which goes on while the entry is suspended."""

    def __init__(self, driver: loopdriver.LoopDriver) -> None:
        self._driver = driver

    def read(self) -> float:
        """Return the time in seconds."""
        return self._driver.now


class World(upstream.ConnectionPool, targetidentity.TargetIdentifier):
    """Plays a scenario, and is the network of the entry in it."""

    def __init__(self, scenario: Scenario) -> None:
        super().__init__()
        self._scenario = scenario
        self._driver = loopdriver.LoopDriver(True, 0.0)
        self._entry = self._driver.add_loop(ENTRY)
        self.verdicts: list[Verdict] = []
        self.question_count = 0
        self._target = targetstate.Target(REGISTRATION)
        self._departures = departures.Departures()
        self._detector = crashdetector.CrashDetector(
            crashledger.CrashLedger(),
            self,
            DriverClock(self._driver),
            nodemetrics.EntryMetrics("e1"),
            lambda: None,
            self._departures,
            lambda suspect: 0,
            self,
            lambda name: None,
        )

    def play(self) -> list[Verdict]:
        """Play the scenario; return the entry's verdicts on the ends that it read."""
        self._driver.run(self._run())
        return self.verdicts

    async def _run(self) -> None:
        """Schedule all that happens, and wait for its end."""
        loop = self._driver.main
        scenario = self._scenario
        for began_at, ended_at in scenario.suspensions:
            loop.call_at(began_at, self._driver.pause, ENTRY)
            loop.call_at(ended_at, self._driver.resume, ENTRY)
        if scenario.leaves_at < math.inf:
            self._call_entry(scenario.leaves_at, self._begin_leaving)
        if scenario.unlisted_at < math.inf:
            self._call_entry(
                scenario.unlisted_at,
                lambda: self._detector.on_target_unlisted(self._target),
            )
        tasks: list[asyncio.Task[None]] = []

        def begin(exchange: Exchange) -> None:
            tasks.append(self._entry.create_task(self._exchange(exchange)))

        for exchange in scenario.exchanges:
            self._call_entry(exchange.sent_at, functools.partial(begin, exchange))
        maintenance = self._entry.create_task(self._maintain())
        last_at = max(exchange.ends_at for exchange in scenario.exchanges)
        await asyncio.sleep(last_at + 2 * DEADLINE_S)
        maintenance.cancel()
        assert all(task.done() for task in tasks)
        for task in tasks:
            task.result()

    def _begin_leaving(self) -> None:
        """Record that the target states that it leaves."""
        self._departures.on_leaving(self._driver.now, REGISTRATION.incarnation)

    async def _maintain(self) -> None:
        """Do what the entry does periodically."""
        while True:
            await asyncio.sleep(entrynode.MAINTENANCE_PERIOD_S)
            self._detector.contact_departing()

    def _call_entry(
        self, at: float, callback: collections.abc.Callable[[], object]
    ) -> None:
        """Call something in the entry at a time, or once it goes on."""
        self._driver.main.call_at(at, lambda: self._entry.call_soon(callback))

    def _make_future(
        self, at: float, compute: collections.abc.Callable[[], object]
    ) -> "asyncio.Future[typing.Any]":
        """Return a future of the entry that is resolved with a result at a time."""
        future: asyncio.Future[typing.Any] = self._entry.create_future()

        def resolve() -> None:
            if not future.done():
                future.set_result(compute())

        if at < math.inf:
            self._driver.main.call_at(at, resolve)
        return future

    def _find_process(self, now: float) -> str | None:
        """Return the id of the process that listens at a time, None if none does."""
        if now < self._scenario.ends_at:
            return REGISTRATION.target_id
        return "t2" if now >= self._scenario.next_at else None

    # What the entry calls.

    async def open_idle(
        self, key: upstream.PoolKey, now: float, connect_timeout_s: float
    ) -> upstream.Failure | None:
        """Connect to the address."""

        def connect() -> upstream.Failure | None:
            if self._find_process(self._driver.now) is None:
                refused = upstream.FailureKind.CONNECTION_REFUSED
                return upstream.Failure(refused, False)
            return None

        try:
            async with asyncio.timeout(connect_timeout_s):
                future = self._make_future(self._find_arrival(), connect)
                return typing.cast("upstream.Failure | None", await future)
        except TimeoutError:
            return upstream.Failure(upstream.FailureKind.CONNECT, False)

    def _find_arrival(self) -> float:
        """Return when a call that is made now is at the address."""
        sent_at = self._driver.now
        passage = self._scenario.find_passage(sent_at)
        return passage + ROUND_TRIP_S if passage == sent_at else math.inf

    async def identify(
        self,
        registration: catalog.TargetRegistration,
        service: catalog.Service | None,
        timeout_s: float,
    ) -> targetidentity.Occupant:
        """Ask the process at the address who it is; it answers when it has a slot."""
        self.question_count += 1
        occupants = targetidentity.Occupant
        arrival = self._find_arrival()
        is_silent = self.question_count <= self._scenario.silent_questions
        if is_silent or arrival == math.inf:
            await asyncio.sleep(timeout_s)
            return occupants.UNKNOWN
        asked = self._find_process(arrival)
        if asked is None:
            return occupants.UNKNOWN
        answered_at = arrival + self._scenario.question_s

        def answer() -> targetidentity.Occupant:
            if self._find_process(self._driver.now) != asked:
                return occupants.UNKNOWN
            is_target = asked == REGISTRATION.target_id
            return occupants.TARGET if is_target else occupants.OTHER

        at = self._scenario.find_passage(answered_at)
        try:
            async with asyncio.timeout(timeout_s):
                future = self._make_future(at, answer)
                return typing.cast("targetidentity.Occupant", await future)
        except TimeoutError:
            return occupants.UNKNOWN

    # The exchanges.

    async def _exchange(self, exchange: Exchange) -> None:
        """Send a request to the target, and judge the end of its response."""
        connecting_at = self._driver.now
        failure = await self.open_idle(("", 0, ""), 0.0, 0.3)
        sent_at = self._driver.now
        if failure is not None or self._find_process(sent_at) != "t1":
            return  # A target with another name refuses what is not meant for it.
        incarnation = REGISTRATION.incarnation
        self._detector.on_connected(incarnation, connecting_at)
        conn = upstream.Connection()
        fingerprint = crashledger.Fingerprint(f"{exchange.sent_at}")
        sent = self._detector.on_sent(self._target, fingerprint, conn)
        scenario = self._scenario
        begins_at = sent_at + exchange.begins_s
        ends_at = min(begins_at + exchange.lasts_s, scenario.ends_at)
        if begins_at < scenario.ends_at:
            # Bytes on a connection stay in order.
            await self._make_future(scenario.find_passage(begins_at), lambda: None)
            self._detector.on_answered(sent)
            sent.is_unframed = True
        arrives_at = scenario.find_passage(ends_at + exchange.delay_s)
        await self._make_future(max(arrives_at, self._driver.now), lambda: None)
        read_at = self._driver.now
        has_ended: bool | None = None
        if not conn.was_aborted and begins_at < scenario.ends_at:
            try:
                async with asyncio.timeout_at(exchange.sent_at + DEADLINE_S):
                    has_ended = await self._detector.has_ended(
                        self._target, incarnation
                    )
            except TimeoutError:
                pass
            waited_s = self._driver.now - read_at
            self.verdicts.append(Verdict(exchange, has_ended, read_at, waited_s))
        self._detector.on_exchange_end(sent, crashdetector.ExchangeEnd.ANSWERED)


def make_scenario(rng: random.Random) -> Scenario:
    """Return a scenario of which each part may be a fault or none."""
    question_s = rng.choice((0.0, 0.1, 1.0, 2.5))
    exchanges = [
        Exchange(
            rng.uniform(0.0, 6.0),
            rng.choice((0.0, question_s)),
            rng.choice((0.02, 0.3, 2.0, 4.0)) * rng.uniform(0.5, 1.0),
            rng.choice((0.0, 0.0, 0.0, rng.uniform(0.0, 4.0))),
        )
        for _ in range(rng.choice((1, 3, 30)))
    ]
    ends_at = rng.choice((math.inf, rng.uniform(1.0, 8.0)))
    next_at = rng.choice((math.inf, ends_at + REUSE_S + rng.uniform(0.0, 2.0)))
    return Scenario(
        exchanges,
        question_s,
        rng.choice((0, 0, 1)),
        ends_at,
        next_at,
        rng.choice((math.inf, rng.uniform(0.0, 8.0))),
        rng.choice((math.inf, rng.uniform(0.0, 8.0))),
        make_intervals(rng),
        make_intervals(rng),
    )


def make_intervals(rng: random.Random) -> tuple[tuple[float, float], ...]:
    """Return no interval, or one."""
    if rng.random() < 0.5:
        return ()
    began_at = rng.uniform(0.5, 8.0)
    return ((began_at, began_at + rng.uniform(0.1, 5.0)),)
