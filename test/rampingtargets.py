"""A model of entries and of a target that has just started, in model time.

The target serves ``WORKERS`` requests at once and queues the others. Its service time
falls to the usual one over its warm-up, and it crashes if more requests arrive in
``CRASH_WINDOW_S`` than it can serve then, times a margin. The other targets are warm.
Entries choose as the target pool does: by load per slot, with a penalty outside their
subset.
"""

import abc
import collections
import dataclasses
import functools
import heapq
import itertools
import random
import typing

from sardinesaddle.direct import catalog, messages, targetstate
from sardinesaddle.direct.admission import (
    admissionpart,
    sendconstraint,
    targetpaces,
)

WORKERS: typing.Final = 16
SERVICE_S: typing.Final = 0.08
COLD_FACTOR: typing.Final = 5.0  # service time at the start, of the usual one
CRASH_WINDOW_S: typing.Final = 0.25
CRASH_MARGIN: typing.Final = 1.25
UTILIZATION: typing.Final = 0.7
OBJECTIVE_S: typing.Final = 0.25
OUTSIDE_PENALTY: typing.Final = 0.4
BEAT_S: typing.Final = 0.25
REPORT_S: typing.Final = 0.25
RESTART_S: typing.Final = 1.0
NEW: typing.Final = "new"
BEGIN_S: typing.Final = 20.0  # when the new target starts; the entries start at 0


class Policy(abc.ABC):
    """Whether an entry may send to the new target."""

    @abc.abstractmethod
    def may_send(self, now: float, entry: "Entry") -> bool:
        """Return whether the entry may send now."""


class NoPace(Policy):
    """The behaviour without the part."""

    def may_send(self, now: float, entry: "Entry") -> bool:
        """Return True."""
        return True


class Paced(Policy):
    """The part under test."""

    def may_send(self, now: float, entry: "Entry") -> bool:
        """Return what the part decides."""
        return entry.paces.may_send(now, entry.new)


class SlowStart(Policy):
    """A ramp of fixed length: the owner's window rises in proportion to time."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    def may_send(self, now: float, entry: "Entry") -> bool:
        """Return whether the window of the time has room."""
        part = WORKERS * (now - BEGIN_S) / self._seconds
        return entry.new.own_in_flight < max(part if entry.is_owner else 0.0, 1.0)


@dataclasses.dataclass(slots=True)
class Server:
    """A target as it is: what runs, what waits, and what it served when."""

    name: str
    warmup_s: float = 0.0
    running: int = 0
    waiting: collections.deque[typing.Any] = dataclasses.field(
        default_factory=collections.deque
    )
    arrivals: list[float] = dataclasses.field(default_factory=list)
    served: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    down_until: float = -1.0
    started_at: float = BEGIN_S
    crashes: int = 0

    @property
    def load(self) -> int:
        """The requests at the target."""
        return self.running + len(self.waiting)

    def compute_service_s(self, now: float) -> float:
        """Return the service time of a request that begins now."""
        if self.warmup_s <= 0.0:
            return SERVICE_S
        left = max(1.0 - (now - self.started_at) / self.warmup_s, 0.0)
        return SERVICE_S * (1.0 + (COLD_FACTOR - 1.0) * left)

    def count_rate(self, begin: float, end: float) -> float:
        """Return the requests served a second in a time after ``BEGIN_S``."""
        begin, end = begin + BEGIN_S, end + BEGIN_S
        return sum(begin <= at < end for at, _ in self.served) / (end - begin)


@dataclasses.dataclass(slots=True)
class Entry:
    """An entry with its part and its view of the new target."""

    host: str
    paces: targetpaces.TargetPaces
    new: targetstate.Target
    others: list[targetstate.Target]
    subset: list[Server]
    is_owner: bool = False
    is_informed: bool = False  # of the new target's registration
    is_suspended: bool = False
    is_cut_off: bool = False
    peers: list[str] = dataclasses.field(default_factory=list)


def make_target(
    number: int, name: str, service: str = "plain", slots: int = WORKERS
) -> targetstate.Target:
    """Return a registered target; its host follows from the number."""
    return targetstate.Target(
        catalog.TargetRegistration(
            name,
            service,
            f"10.1.{number // 250}.{number % 250}",
            80,
            "a",
            slots,
            catalog.TargetState.READY,
            0.0,
            1,
        )
    )


class Model:
    """Entries, one new target, and the warm targets of the entries near its owner.

    ``target_count`` includes the new one. All entries keep a part and exchange
    messages; only ``sending`` of them, from the owner on, have callers, as the others
    may not send to the target.
    """

    def __init__(
        self,
        entry_count: int,
        target_count: int,
        policy: Policy,
        warmup_s: float,
        seed: int = 1,
        has_new: bool = True,
        loss: float = 0.0,
        max_delay_s: float = 0.03,
        utilization: float = UTILIZATION,
    ) -> None:
        self.rng = random.Random(seed)
        self.policy = policy
        self.now = 0.0
        self._events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._order = itertools.count()
        self._loss = loss
        self._max_delay_s = max_delay_s
        self.has_new = has_new
        self.server = Server(NEW, warmup_s)
        self.new_index = target_count // 2
        per_entry = max(target_count // entry_count, 1)
        self._rate = utilization * per_entry * WORKERS / SERVICE_S
        if target_count < entry_count:
            self._rate *= target_count / entry_count
        self._sending: list[Entry] = []
        self.max_sum = 0
        self.excess = 0.0
        self._others = [
            make_target(i, f"t{i}") for i in range(target_count) if i != self.new_index
        ]
        self.entries = [
            self._make_entry(i, entry_count, target_count) for i in range(entry_count)
        ]
        self._connect()

    def _make_entry(self, number: int, count: int, target_count: int) -> Entry:
        host = f"10.0.{number // 250}.{number % 250}"
        new = make_target(self.new_index, NEW)
        owner = self.new_index * count // target_count
        subset = [
            Server(f"{number}-{i}")
            for i in range(target_count)
            if i != self.new_index and i * count // target_count == number
        ]
        paces = targetpaces.TargetPaces(host, read_wall_s=lambda: 1e9)
        return Entry(host, paces, new, self._others, subset, number == owner)

    def _connect(self) -> None:
        for entry in self.entries:
            entry.peers = [e.host for e in self.entries if e is not entry]
            self.rng.shuffle(entry.peers)
            for target in entry.others:
                entry.paces.on_registered(self.now, target)
            self.refresh(entry)
        self.now = BEGIN_S
        self._by_host = {entry.host: entry for entry in self.entries}

    @property
    def owner(self) -> Entry:
        """The entry whose subset has the new target."""
        return next(entry for entry in self.entries if entry.is_owner)

    def call_in(self, delay_s: float, action: typing.Callable[[], None]) -> None:
        """Run an action after a time."""
        self.call_at(self.now + delay_s, action)

    def call_at(self, when: float, action: typing.Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def refresh(self, entry: Entry) -> None:
        """Do the entry's periodic work."""
        hosts = [] if entry.is_cut_off else entry.peers
        view = admissionpart.EntryView(entry.host, hosts, entry.peers, 0.0)
        known = [entry.new] if self.now >= BEGIN_S and self.has_new else []
        entry.paces.refresh(self.now, view, [*entry.others, *known])

    def run(self, seconds: float, sending: int = 4) -> None:
        """Register the new target and run for a time."""
        for entry in self.entries:
            for target in entry.others[:5]:
                for _ in range(5):
                    entry.paces.on_first_event(
                        self.now, target, sendconstraint.ANY_REQUEST, SERVICE_S
                    )
            if self.has_new:
                register = functools.partial(self._register, entry)
                self.call_in(0.2 * self.rng.random(), register)
            beat = functools.partial(self._beat, entry)
            self.call_in(BEAT_S * self.rng.random(), beat)
        first = self.entries.index(self.owner)
        for offset in range(min(sending, len(self.entries))):
            entry = self.entries[(first + offset) % len(self.entries)]
            self._sending.append(entry)
            self.call_in(0.0, functools.partial(self._arrive, entry))
        self.call_in(0.0, self._report)
        while self._events and self._events[0][0] < BEGIN_S + seconds:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _register(self, entry: Entry) -> None:
        entry.is_informed = True
        entry.paces.on_registered(self.now, entry.new)

    def _beat(self, entry: Entry) -> None:
        self.call_at(self.now + BEAT_S, lambda: self._beat(entry))
        if entry.is_suspended:
            return
        self.refresh(entry)
        for _ in range(min(3, len(entry.peers))):
            peer = self._by_host[entry.peers[0]]
            entry.peers.append(entry.peers.pop(0))
            self._send_update(entry, peer, False)

    def _send_update(self, sender: Entry, receiver: Entry, is_reply: bool) -> None:
        if sender.is_cut_off or receiver.is_cut_off or self.rng.random() < self._loss:
            return
        update = messages.AdmissionUpdate()
        sender.paces.make_update(self.now, receiver.host, is_reply, update)
        peer = admissionpart.PeerMessage(sender.host, 1, ())

        def receive() -> None:
            if receiver.is_suspended:
                return
            receiver.paces.on_message(self.now, peer, update)
            if not is_reply:
                self._send_update(receiver, sender, True)

        self.call_at(self.now + self._max_delay_s * self.rng.random(), receive)

    def _report(self) -> None:
        self.call_at(self.now + REPORT_S, self._report)
        server = self.server
        is_alive = server.down_until <= self.now
        report = messages.Report(
            NEW, NEW, is_alive, server.load, 0, 1.0, "", 0, 0, 1, True, 1.0
        )
        for entry in self.entries:
            entry.new.report = report
            entry.new.reported_at = self.now
            entry.new.discard_before(self.now)
        parts = [entry.paces.get_part(self.now, entry.new) for entry in self.entries]
        windows = [
            entry.paces.get_window(entry.new.registration.incarnation) or 0.0
            for entry in self.entries
        ]
        if parts and all(part is not None for part in parts):
            self.max_sum = max(self.max_sum, sum(part or 0 for part in parts))
            self.excess = max(self.excess, sum(p or 0 for p in parts) - max(windows))

    def _arrive(self, entry: Entry) -> None:
        self.call_at(
            self.now + self.rng.expovariate(self._rate), lambda: self._arrive(entry)
        )
        if entry.is_suspended:
            return
        loads = [(s.load / WORKERS, self.rng.random(), s) for s in entry.subset]
        outside = [
            server
            for other in self.rng.sample(self._sending, min(3, len(self._sending)))
            for server in other.subset[:1]
            if other is not entry
        ]
        loads += [
            (s.load / WORKERS + OUTSIDE_PENALTY, self.rng.random(), s) for s in outside
        ]
        new = self.server
        if (
            self.has_new
            and entry.is_informed
            and new.down_until <= self.now
            and self.policy.may_send(self.now, entry)
        ):
            is_outside = bool(entry.subset) and not entry.is_owner
            penalty = OUTSIDE_PENALTY if is_outside else 0.0
            load = entry.new.estimate_in_flight(self.now, 1) / WORKERS
            loads.append((load + penalty, self.rng.random(), new))
        if loads:
            self._send(entry, min(loads)[2])

    def _send(self, entry: Entry, server: Server) -> None:
        if server is self.server:
            entry.new.own_in_flight += 1
            entry.new.recent_sends.append(self.now)
            server.arrivals.append(self.now)
            recent = sum(at > self.now - CRASH_WINDOW_S for at in server.arrivals[-99:])
            capacity = WORKERS / server.compute_service_s(self.now)
            if recent > CRASH_MARGIN * capacity * CRASH_WINDOW_S + 2.0:
                server.crashes += 1
        item = (entry, self.now)
        if server.running < WORKERS:
            self._begin(server, item)
        else:
            server.waiting.append(item)

    def _begin(self, server: Server, item: tuple[Entry, float]) -> None:
        server.running += 1
        end = self.now + server.compute_service_s(self.now)
        self.call_at(end, lambda: self._finish(server, item))

    def _finish(self, server: Server, item: tuple[Entry, float]) -> None:
        entry, sent_at = item
        server.running -= 1
        server.served.append((self.now, self.now - sent_at))
        if server.waiting:
            self._begin(server, server.waiting.popleft())
        if server is self.server:
            latency_s = self.now - sent_at
            any_request = sendconstraint.ANY_REQUEST
            entry.paces.on_first_event(self.now, entry.new, any_request, latency_s)
            entry.new.own_in_flight -= 1
            entry.new.recent_ends.append(self.now)

    def count_share_in_time(self) -> float:
        """Return the share of the other targets' requests within the objective."""
        latencies = [
            latency
            for entry in self.entries
            for server in entry.subset
            for _, latency in server.served
        ]
        return sum(latency <= OBJECTIVE_S for latency in latencies) / len(latencies)

    def compute_healthy_rate(self, begin: float, end: float) -> float:
        """Return the rate at which the owner's other targets serve."""
        servers = self.owner.subset
        return sum(s.count_rate(begin, end) for s in servers) / len(servers)
