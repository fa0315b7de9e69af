"""Model of engines that crash when they hold more than their memory.

Entries decide with the real ``EngineMemory``, sidecars with the real ``MemoryGrants``,
in model time. Each entry has ample demand for each engine. Sidecars state what their
engine used ``REPORT_AGE_S`` before; requests reach engines with a delay, and end after
the time that routes allow if their responses are longer.
"""

import collections
import dataclasses
import math
import random
import typing

from sardinesaddle.direct import catalog, memorygrants, messages, targetstate
from sardinesaddle.direct.admission import admissionpart, enginememory, sendconstraint
from sardinesaddle.standins import rankgroup

MEMORY: typing.Final = 116_666
STEP_S: typing.Final = 0.02  # of an engine; each request gets a token
REPORT_AGE_S: typing.Final = 0.3
REPORT_PERIOD_S: typing.Final = 0.3
MAX_SEND_DELAY_S: typing.Final = 0.3
MAX_WAIT_S: typing.Final = 1.5  # then an entry refuses a request
QUEUE_LENGTH: typing.Final = (
    4  # of an entry for an engine; others pass what is too large
)


@dataclasses.dataclass(frozen=True)
class Load:
    """Requests: median prompt and hint, and how lengths differ from the hints."""

    prompt: float = 1460.0
    prompt_spread: float = 0.5
    hint: float = 60.0
    bias: float = 1.0
    spread: float = 0.5
    maximum: int = 2000


@dataclasses.dataclass(eq=False)
class Request:
    """A request; ``length`` is that of its response."""

    entry: "Entry"
    traits: sendconstraint.RequestTraits
    length: int
    produced: int = 0
    sent_at: float = 0.0


class Engine:
    """An engine with its sidecar; a crash ends all requests."""

    def __init__(self, number: int) -> None:
        registration = catalog.TargetRegistration(
            f"r{number}", "model", f"10.1.0.{number}", 80, "p", 99,
            catalog.TargetState.READY, 0.0,
        )  # fmt: skip
        self.target = targetstate.Target(registration)
        self.grants = memorygrants.MemoryGrants(0.0)
        self.requests: list[Request] = []
        self.arrivals: list[tuple[float, Request]] = []
        self.past_use: list[int] = []
        # By entry: times and sizes of what it sent since the state it knows.
        self.unseen: dict[Entry, collections.deque[tuple[float, int]]] = {}
        self.crashes = 0

    @property
    def use(self) -> int:
        """The tokens that it holds."""
        return sum(r.traits.prompt_tokens + r.produced for r in self.requests)


class Entry:
    """A process of an entry; ``is_cut_off`` from the sidecars, not from engines."""

    def __init__(self, host: str, process: int) -> None:
        self.host = host
        self.part = enginememory.EngineMemory(process)
        self.is_cut_off = False
        # The requests that do not fit yet, and since when they wait.
        self.waiting: dict[Engine, list[tuple[float, Request]]] = {}


def make_catalog(capacity: float = MEMORY) -> catalog.Catalog:
    """Return a configuration with engines of a bounded memory."""
    model = dataclasses.replace(
        rankgroup.ENGINE_MODEL, memory_tokens=capacity, steps_per_pass=1
    )
    service = catalog.Service("model", 100, model)
    return catalog.Catalog(1, [], [service], {}, catalog.Limits(), False)


class Simulation:
    """Entries with ample demand for a few engines; see the module."""

    def __init__(
        self,
        entries: int,
        engines: int,
        load: Load,
        seed: int = 1,
        limited: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self.load = load
        self.limited = limited
        self.queue_length = QUEUE_LENGTH
        self.timeout_s = enginememory.DEFAULT_HOLD_S
        self.now = 0.0
        self.engines = [Engine(number) for number in range(engines)]
        self.entries = [self._start(f"10.0.0.{n}", n + 1) for n in range(entries)]
        self.shares: list[list[float]] = []
        self._reported: dict[tuple[str, int], float] = {}

    def _start(self, host: str, process: int) -> Entry:
        """Return a new process of an entry."""
        entry = Entry(host, process)
        entry.part.on_catalog(self.now, make_catalog())
        for engine in self.engines:
            entry.part.on_registered(self.now, engine.target)
        return entry

    def restart(self, index: int) -> None:
        """Replace an entry's process; the engines cancel what it sent."""
        old = self.entries[index]
        self.entries[index] = self._start(old.host, 1000 + index)
        for engine in self.engines:
            engine.requests = [r for r in engine.requests if r.entry is not old]
            engine.arrivals = [a for a in engine.arrivals if a[1].entry is not old]

    def draw(self, entry: Entry) -> Request:
        """Return a new request of an entry."""
        load, rng = self.load, self.rng
        prompt = load.prompt * math.exp(rng.gauss(0.0, load.prompt_spread))
        hint = load.hint * math.exp(rng.gauss(0.0, 0.3))
        length = hint * load.bias * math.exp(rng.gauss(0.0, load.spread))
        traits = sendconstraint.RequestTraits(
            prompt_tokens=int(min(prompt, 0.8 * MEMORY)),
            output_tokens=int(hint),
            max_output_tokens=load.maximum,
        )
        entry.part.on_request(self.now, "model", traits)
        return Request(entry, traits, max(min(int(length), load.maximum), 1))

    def run(self, until: float) -> None:
        """Run to a time."""
        while self.now < until:
            self.now += STEP_S
            for index, engine in enumerate(self.engines):
                self._run_engine(engine)
                self._report(index, engine)
            if int(self.now / STEP_S) % 12 == 0:
                self._refresh()
            self._send_all()
            self.shares.append([engine.use / MEMORY for engine in self.engines])

    def _run_engine(self, engine: Engine) -> None:
        """Take arrivals, run a step, crash if the memory does not suffice."""
        engine.requests += [r for at, r in engine.arrivals if at <= self.now]
        engine.arrivals = [a for a in engine.arrivals if a[0] > self.now]
        for request in list(engine.requests):
            request.produced += 1
            request.traits.progress.events += 1
            if request.produced >= request.length:
                engine.requests.remove(request)
                self._end(engine, request, admissionpart.SendResult.COMPLETED)
            elif self.now - request.sent_at > self.timeout_s:
                engine.requests.remove(request)
                self._end(engine, request, admissionpart.SendResult.CANCELLED)
        if engine.use > MEMORY:
            engine.crashes += 1
            for request in engine.requests:
                self._end(engine, request, admissionpart.SendResult.BROKEN)
            engine.requests = []
        engine.past_use.append(engine.use)

    def _end(
        self, engine: Engine, request: Request, result: admissionpart.SendResult
    ) -> None:
        """Tell an entry that its request ended."""
        outcome = admissionpart.SendOutcome(result, 1.0)
        part = request.entry.part
        part.on_outcome(self.now, engine.target, request.traits, outcome)

    def _report(self, index: int, engine: Engine) -> None:
        """Let a sidecar report to the entries for which that is due."""
        lag = int(REPORT_AGE_S / STEP_S)
        used = engine.past_use[-lag] if len(engine.past_use) >= lag else 0
        for number, entry in enumerate(self.entries):
            key = (entry.host, index)
            last = self._reported.get(key)
            if last is None:
                last = self._reported[key] = -self.rng.uniform(0.0, REPORT_PERIOD_S)
            if entry.is_cut_off or self.now - last < REPORT_PERIOD_S:
                continue
            self._reported[key] = self.now
            state = engine.grants.make_state(self.now, entry.host, used, MEMORY)
            report = messages.Report(
                "s", engine.target.address, True, 0, 0, 1.0, "", 0, 0, 0, True, 1.0,
                REPORT_AGE_S, memory=state,
            )  # fmt: skip
            entry.part.on_report(self.now, engine.target, report)
            use = entry.part.make_memory_use(self.now, engine.target)
            is_in_subset = index % len(self.entries) == number
            engine.grants.on_reply(self.now, entry.host, use, is_in_subset)

    def _refresh(self) -> None:
        """Do the periodic work of the entries."""
        hosts = [entry.host for entry in self.entries]
        for entry in self.entries:
            view = admissionpart.EntryView(entry.host, hosts, hosts, 0.0)
            entry.part.refresh(self.now, view, [e.target for e in self.engines])

    def _send_all(self) -> None:
        """Send what the entries may send, in random order."""
        pairs = [(entry, engine) for entry in self.entries for engine in self.engines]
        self.rng.shuffle(pairs)
        for entry, engine in pairs:
            queue = entry.waiting.setdefault(engine, [])
            sent = 1
            while sent:
                queue[:] = [w for w in queue if w[0] >= self.now - MAX_WAIT_S]
                while len(queue) < self.queue_length:
                    queue.append((self.now, self.draw(entry)))
                sent = 0
                for waiting in list(queue):
                    if self._may_send(entry, engine, waiting[1]):
                        queue.remove(waiting)
                        self._send(entry, engine, waiting[1])
                        sent += 1

    def _send(self, entry: Entry, engine: Engine, request: Request) -> None:
        """Send a request, which arrives later."""
        request.sent_at = self.now
        entry.part.on_send(self.now, engine.target, request.traits)
        delay_s = self.rng.uniform(0.0, MAX_SEND_DELAY_S)
        engine.arrivals.append((self.now + delay_s, request))

    def _may_send(self, entry: Entry, engine: Engine, request: Request) -> bool:
        """Return whether an entry sends an engine a request now.

        Without the part, entries send while the last report leaves room.
        """
        if self.limited:
            verdict = entry.part.check(self.now, engine.target, request.traits)
            return verdict.is_allowed
        lag = int(REPORT_AGE_S / STEP_S)
        used = engine.past_use[-lag] if len(engine.past_use) >= lag else 0
        size = request.traits.prompt_tokens + request.traits.output_tokens
        own = engine.unseen.setdefault(entry, collections.deque())
        while own and own[0][0] < self.now - REPORT_AGE_S:
            own.popleft()
        if used + sum(sent for _, sent in own) + size > MEMORY:
            return False
        own.append((self.now, size))
        return True

    def count_crashes(self) -> int:
        """Return the crashes of all engines."""
        return sum(engine.crashes for engine in self.engines)

    def compute_used_share(self, since: float, until: float = math.inf) -> float:
        """Return the mean part of the memory that was used in a time."""
        rows = [
            row
            for number, row in enumerate(self.shares)
            if since <= number * STEP_S < until
        ]
        return sum(map(sum, rows)) / (len(rows) * len(self.engines))
