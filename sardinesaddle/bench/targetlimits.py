"""Simulates entries that share the request limit of one target, in model time.

Entries decide with the real ``TargetLimits`` and exchange heartbeats as often as real
ones do. Their messages are delayed, sometimes by most of the heartbeat's timeout, and
are lost between partitions. Entries restart with nothing in memory, or are suspended.
Callers arrive at random; a request waits for a token, at most ``MAX_QUEUE_S``.

A window over the bound is one in which the target gets more than the users allow,
whichever entries know the limit, from ``CONTACT_S`` after the first statement on.
"""

import collections
import dataclasses
import heapq
import random
import typing

from sardinesaddle.bench import report
from sardinesaddle.direct import entrypeers, messages, targetlimits

SERVICE: typing.Final = "model"
TARGET: typing.Final = "i-f54d2c6809@1764835200000"
SEED_COUNT: typing.Final = 3
REFRESH_PERIOD_S: typing.Final = 0.5
NAMED_AT_S: typing.Final = 5.0  # when the target begins to state its limit
CONTACT_S: typing.Final = 3.0  # the users' bound for entries to learn of others
MAX_QUEUE_S: typing.Final = 1.5
MESSAGE_DELAY_S: typing.Final = 0.003
LATE_MESSAGE_SHARE: typing.Final = 0.02
RESPONSE_S: typing.Final = 0.1
REDRAW_S: typing.Final = 0.5
DOWNTIME_S: typing.Final = 1.5
FAULTS_OF_ONE_ENTRY: typing.Final = 4  # restarts, and as many suspensions
AMPLE_FACTOR: typing.Final = 3.0  # demand over the limit
MIN_AMPLE_RATE: typing.Final = 2.0  # requests a second at each entry
PROCESS_BYTES: typing.Final = 5  # the number of the sender's process in a heartbeat
MAX_BYTES_PER_S: typing.Final = 512.0


@dataclasses.dataclass(slots=True)
class Entry:
    """An entry; ``generation`` counts its processes.

    ``known`` are the entries that get its heartbeats, in the order of ``round``.
    ``listed`` are those that it tells others to be alive, itself included.
    """

    index: int
    host: str
    limits: targetlimits.TargetLimits
    generation: int = 1
    is_up: bool = True
    suspended_until: float = 0.0
    known: set[str] = dataclasses.field(default_factory=set)
    last_heard: dict[str, float] = dataclasses.field(default_factory=dict)
    listed: frozenset[str] = frozenset()
    waiting: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    round: list[str] = dataclasses.field(default_factory=list)
    next_peer: int = 0

    def hear(self, now: float, host: str) -> None:
        """Record that another entry is alive."""
        if host not in self.last_heard:
            self.listed |= {host}
        self.last_heard[host] = now

    def lose(self, host: str) -> None:
        """Record that another entry is not alive."""
        del self.last_heard[host]
        self.listed -= {host}

    def can_run(self, now: float) -> bool:
        """Return whether the entry is up and not suspended."""
        return self.is_up and now >= self.suspended_until


class Simulation:
    """A discrete-event simulation of entries and one target with a limit.

    ``demand_of`` returns the requests a second at an entry at a time.
    """

    def __init__(
        self,
        entry_count: int,
        limit: float,
        demand_of: typing.Callable[[int, float], float],
        duration_s: float,
        seed: int,
    ) -> None:
        self._rng = random.Random(seed)
        self._limit = limit
        self._demand_of = demand_of
        self._duration_s = duration_s
        self._events: list[tuple[float, int, typing.Callable[[float], None]]] = []
        self._event_count = 0
        self._hosts = [f"10.0.{n // 250}.{n % 250}" for n in range(entry_count)]
        self._index_by_host = {host: n for n, host in enumerate(self._hosts)}
        # An entry reaches those of its own side.
        self._sides = [0] * entry_count
        self.entries = [
            Entry(n, host, targetlimits.TargetLimits(host, -10.0))
            for n, host in enumerate(self._hosts)
        ]
        for entry in self.entries:
            entry.known = set(self._hosts) - {entry.host}
            entry.last_heard = dict.fromkeys(entry.known, 0.0)
            entry.listed = frozenset(self._hosts)
            for host in entry.known:
                entry.limits.on_reply(-1.0, host, 1, (), None, None)
        self.arrivals: list[float] = []
        self.sent_bytes = 0

    def call_at(self, at: float, handler: typing.Callable[[float], None]) -> None:
        """Call a handler at a time."""
        self._event_count += 1
        heapq.heappush(self._events, (at, self._event_count, handler))

    def run(self) -> None:
        """Run the simulation to its end."""
        for entry in self.entries:
            self.call_at(self._rng.random() * 0.25, self._make_heartbeat(entry))
            self.call_at(self._rng.random() * 0.25, self._make_refresh(entry))
            self.call_at(self._rng.random(), self._make_arrival(entry))
        while self._events and self._events[0][0] < self._duration_s:
            at, _, handler = heapq.heappop(self._events)
            handler(at)

    # Faults.

    def restart_at(self, at: float, index: int) -> None:
        """Kill an entry at a time; it starts again with nothing in memory."""

        def kill(now: float) -> None:
            entry = self.entries[index]
            entry.is_up = False
            entry.waiting.clear()
            self.call_at(now + DOWNTIME_S, start)

        def start(now: float) -> None:
            entry = self.entries[index]
            entry.limits = targetlimits.TargetLimits(entry.host, now)
            entry.generation += 1
            entry.is_up = True
            entry.known = set(self._hosts[:SEED_COUNT]) - {entry.host}
            entry.last_heard = {}
            entry.listed = frozenset((entry.host,))

        self.call_at(at, kill)

    def suspend_at(self, at: float, index: int, seconds: float) -> None:
        """Suspend an entry for a while."""

        def suspend(now: float) -> None:
            self.entries[index].suspended_until = now + seconds

        self.call_at(at, suspend)

    def part_at(self, at: float, side_of: typing.Callable[[int], int]) -> None:
        """Let entries reach only those of the same side from a time on."""

        def part(now: float) -> None:
            self._sides = [side_of(n) for n in range(len(self.entries))]

        self.call_at(at, part)

    # Heartbeats.

    def _draw_delay(self) -> float:
        """Return the delay of a message in seconds."""
        if self._rng.random() < LATE_MESSAGE_SHARE:
            return self._rng.random() * entrypeers.HEARTBEAT_TIMEOUT_S / 2
        return MESSAGE_DELAY_S

    def _make_heartbeat(self, entry: Entry) -> typing.Callable[[float], None]:
        """Return the handler that sends an entry's next heartbeat."""

        def beat(now: float) -> None:
            if len(entry.round) != len(entry.known):
                entry.round = sorted(entry.known)
            count = len(entry.round)
            if entry.can_run(now) and count:
                entry.next_peer = (entry.next_peer + 1) % count
                self._send_heartbeat(now, entry, entry.round[entry.next_peer])
            per_period = min(entrypeers.HEARTBEATS_PER_PERIOD, max(count, 1))
            period_s = entrypeers.HEARTBEAT_PERIOD_S / per_period
            self.call_at(now + period_s * (0.75 + self._rng.random() / 2), beat)

        return beat

    def _send_heartbeat(self, now: float, sender: Entry, host: str) -> None:
        """Send a heartbeat; the reply comes unless the receiver is not reached."""
        receiver = self.entries[self._index_by_host[host]]
        generation = sender.generation
        update = sender.limits.make_update(now, host)
        self._count_bytes(now, update)
        self.sent_bytes += PROCESS_BYTES * (now > NAMED_AT_S)

        def arrive(at: float) -> None:
            is_reached = self._sides[sender.index] == self._sides[receiver.index]
            if not is_reached or not receiver.can_run(at):
                self._expire(at, sender, host)
                return
            receiver.known.add(sender.host)
            receiver.hear(at, sender.host)
            receiver.limits.on_message(
                at, sender.host, generation, sender.listed, update
            )
            reply = receiver.limits.make_update(at, sender.host, is_reply=True)
            self._count_bytes(at, reply)
            listed = receiver.listed
            process = receiver.generation
            self.call_at(
                at + self._draw_delay(), lambda end: finish(end, process, reply, listed)
            )

        def finish(
            at: float,
            process: int,
            reply: messages.LimitUpdate | None,
            listed: frozenset[str],
        ) -> None:
            if generation != sender.generation or not sender.can_run(at):
                return
            sender.hear(at, host)
            sender.known |= listed - {sender.host}
            sender.limits.on_reply(at, host, process, listed, update, reply)

        self.call_at(now + self._draw_delay(), arrive)

    def _expire(self, now: float, entry: Entry, host: str) -> None:
        """Take an entry that was not heard of for long for lost."""
        if now - entry.last_heard.get(host, now) > entrypeers.ENTRY_TTL_S:
            entry.lose(host)

    def _count_bytes(self, now: float, update: messages.LimitUpdate | None) -> None:
        """Count what a message has for the limits."""
        if now > NAMED_AT_S:
            self.sent_bytes += len(messages.ENCODER.encode(update))

    # Requests.

    def _make_refresh(self, entry: Entry) -> typing.Callable[[float], None]:
        """Return the handler of an entry's periodic work."""
        period_s = REFRESH_PERIOD_S * max(len(self.entries) / 100, 1.0)

        def refresh(now: float) -> None:
            if entry.can_run(now):
                entry.limits.refresh(
                    now, entry.last_heard.keys(), entry.known, {TARGET: SERVICE}
                )
            self.call_at(now + period_s, refresh)

        return refresh

    def _make_arrival(self, entry: Entry) -> typing.Callable[[float], None]:
        """Return the handler of a caller's request at an entry."""

        def arrive(now: float) -> None:
            schedule_next(now)
            if not entry.can_run(now):
                return
            entry.limits.on_request(now, SERVICE)
            entry.waiting.append(now)
            if len(entry.waiting) == 1:
                send_waiting(now)

        def schedule_next(now: float) -> None:
            # Drawn anew now and then, as the rate changes.
            rate = self._demand_of(entry.index, now)
            delay_s = self._rng.expovariate(rate) if rate else REDRAW_S
            if delay_s < REDRAW_S:
                self.call_at(now + delay_s, arrive)
            else:
                self.call_at(now + REDRAW_S, schedule_next)

        def send_waiting(now: float) -> None:
            while entry.waiting and entry.waiting[0] < now - MAX_QUEUE_S:
                entry.waiting.popleft()
            if not entry.can_run(now):
                entry.waiting.clear()
            while entry.waiting and entry.limits.may_send(now, TARGET):
                entry.waiting.popleft()
                self._send_request(now, entry)
            if entry.waiting:
                wait_s = 0.25
                if entry.limits.is_limited(TARGET):
                    wait_s = entry.limits.compute_wait_s(now, [TARGET], 0)
                self.call_at(now + min(wait_s + 1e-6, 0.25), send_waiting)

        return schedule_next

    def _send_request(self, now: float, entry: Entry) -> None:
        """Send a request to the target, whose response states the limit."""
        entry.limits.on_send(now, TARGET)
        generation = entry.generation
        limit = self._limit if now >= NAMED_AT_S else None
        if limit is not None:
            self.arrivals.append(now + MESSAGE_DELAY_S)

        def respond(at: float) -> None:
            if generation == entry.generation and entry.can_run(at):
                entry.limits.on_response(at, TARGET, now, limit)

        self.call_at(now + RESPONSE_S, respond)

    # Results.

    def count_windows_over(self) -> int:
        """Return the number of windows over the users' bound, by their last arrival."""
        allowed = (
            targetlimits.EXCESS_FACTOR * self._limit * targetlimits.WINDOW_S
            + targetlimits.EXCESS_REQUESTS
        )
        times = sorted(at for at in self.arrivals if at >= NAMED_AT_S + CONTACT_S)
        begin = over = 0
        for index, at in enumerate(times):
            while times[begin] <= at - targetlimits.WINDOW_S:
                begin += 1
            over += index + 1 - begin > allowed
        return over

    def compute_used(self, start: float) -> float:
        """Return the requests from a time to the end, as a share of the limit."""
        count = sum(start <= at < self._duration_s for at in self.arrivals)
        return count / ((self._duration_s - start) * self._limit)

    def compute_bytes_per_s(self) -> float:
        """Return what an entry sends for the limits, in bytes a second."""
        seconds = self._duration_s - NAMED_AT_S
        return self.sent_bytes / seconds / len(self.entries)


def make_even_demand(
    entry_count: int, limit: float
) -> typing.Callable[[int, float], float]:
    """Return an even demand that is ample for a limit."""
    rate = max(AMPLE_FACTOR * limit / entry_count, MIN_AMPLE_RATE)
    return lambda index, now: rate


def make_single_demand(limit: float) -> typing.Callable[[int, float], float]:
    """Return an ample demand at one entry alone."""
    return lambda index, now: AMPLE_FACTOR * limit if index == 1 else 0.0


def make_moving_demand(
    entry_count: int, limit: float, seed: int
) -> typing.Callable[[int, float], float]:
    """Return a skewed demand that moves between the entries every 8 s."""

    def demand_of(index: int, now: float) -> float:
        rng = random.Random(f"{seed} {int(now / 8)} {index}")
        return 2 * AMPLE_FACTOR * limit / entry_count * rng.random() ** 3

    return demand_of


def add_faults(simulation: Simulation, rng: random.Random, duration_s: float) -> None:
    """Add restarts one by one and together, suspensions and partitions."""
    count = len(simulation.entries)
    for _ in range(FAULTS_OF_ONE_ENTRY):
        at = rng.uniform(NAMED_AT_S, duration_s)
        simulation.restart_at(at, rng.randrange(count))
        at = rng.uniform(NAMED_AT_S, duration_s)
        simulation.suspend_at(at, rng.randrange(count), rng.uniform(0.5, 6.0))
    for index in range(count):
        simulation.restart_at(duration_s * 0.8 + rng.random(), index)
    # An entry alone, then halves.
    simulation.part_at(duration_s * 0.25, lambda n: int(n == 0))
    simulation.part_at(duration_s * 0.4, lambda n: 0)
    simulation.part_at(duration_s * 0.5, lambda n: n % 2)
    simulation.part_at(duration_s * 0.7, lambda n: 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A run; the use of the limit is measured in its last ``measured_s``."""

    entry_count: int
    limit: int
    demand: typing.Literal["even", "at_one", "faults"]
    duration_s: float = 60.0
    measured_s: float = 30.0

    def simulate(self, seed: int) -> Simulation:
        """Return the finished simulation."""
        count, limit = self.entry_count, float(self.limit)
        demand_of = {
            "even": make_even_demand(count, limit),
            "at_one": make_single_demand(limit),
            "faults": make_moving_demand(count, limit, seed),
        }[self.demand]
        simulation = Simulation(count, limit, demand_of, self.duration_s, seed)
        if self.demand == "faults":
            rng = random.Random(f"{seed} {count} {limit}")
            add_faults(simulation, rng, self.duration_s)
        simulation.run()
        return simulation


CASES: typing.Final = (
    *(
        Case(count, limit, demand)
        for count in (4, 30)
        for limit in (1, 5, 50, 500)
        for demand in ("even", "at_one", "faults")
    ),
    # Heartbeats between two of 370 entries are half a minute apart.
    Case(370, 5, "even", 30.0, 15.0),
    Case(370, 500, "even", 30.0, 15.0),
    Case(370, 5, "at_one", 65.0, 15.0),
    Case(370, 500, "faults", 30.0, 15.0),
)
USED_BOUNDS: typing.Final = {"even": 0.9, "at_one": 0.8}


def run(seed: int) -> report.Report:
    """Simulate sizes, limits, demands and faults."""
    result = report.Report("targetlimits")
    for case in CASES:
        simulation = case.simulate(seed)
        name = f"{case.entry_count}_entries_{case.limit}_per_s_{case.demand}"
        used = simulation.compute_used(case.duration_s - case.measured_s)
        # Of 1 a second, half a minute shows too few requests for a share.
        if case.demand in USED_BOUNDS and case.limit >= 5:
            result.add_at_least(f"used_{name}", used, USED_BOUNDS[case.demand])
        else:
            result.add(f"used_{name}", used)
        over = simulation.count_windows_over()
        result.add_at_most(f"windows_over_{name}", over, 0)
        if case.entry_count == 370:
            sent = simulation.compute_bytes_per_s()
            result.add_at_most(f"bytes_per_s_{name}", sent, MAX_BYTES_PER_S)
    return result
