"""A model of lock-step groups that reopen with the initial expert map, in model time.

Passes last as ``passmodel`` computes them. A group opens with ``INITIAL_SKEW``, and two
map switches lower the skew. Entries have the product's pool, scheduler and parts; there
is no network. A refused client retries once.
"""

import asyncio
import collections.abc
import dataclasses
import math
import random
import typing

from sardinesaddle.direct import (
    catalog,
    entrystate,
    messages,
    replica,
    requestqueue,
    requestscheduler,
    targetpool,
)
from sardinesaddle.direct.admission import (
    admissionpart,
    entryadmission,
    passmodel,
    sendconstraint,
    targetpaces,
)
from sardinesaddle.standins import loopdriver

SERVICE: typing.Final = "model"
GROUP_COUNT: typing.Final = 3
GROUP_SIZE: typing.Final = 24
INITIAL_SKEW: typing.Final = 3.5
BALANCED_SKEW: typing.Final = 1.5
# After the opening: the first switch, and the second, 0.5 s later, which ends the
# warm-up.
SWITCHES_S: typing.Final = (1.0, 1.5)
WARMUP_S: typing.Final = SWITCHES_S[-1]
OBJECTIVE_S: typing.Final = 0.5
PAUSE_S: typing.Final = 0.15
DEADLINE_S: typing.Final = 8.0  # of a client, from its first attempt
LATE_VALUE: typing.Final = 0.35  # of an on-time response
RETRY_S: typing.Final = (0.8, 1.6)
REPORT_S: typing.Final = 0.3
READ_AGE_S: typing.Final = 0.03
SKEW_DELAY_S: typing.Final = 0.4
BEAT_S: typing.Final = 0.25
OPENING_SPREAD_S: typing.Final = 0.3  # of groups that open after the same power loss
ENGINE: typing.Final = catalog.EngineModel(
    slots=5, step_s=0.00455, per_request_s=0.00218, context_s_per_token=0.000000044,
    prefill_tokens_per_s=61400.0, prefill_chunk_tokens=512, steps_per_pass=5,
    mean_prompt_tokens=800.0, mean_output_tokens=90.0, layer_sets=3, experts_per_set=16,
    max_experts_per_rank=6, max_added_per_rank=2, expert_share=0.85,
    copy_s_per_expert=0.148, prefill_s_per_pair=0.525e-9,
)  # fmt: skip
PASS_MODEL: typing.Final = passmodel.PassModel(
    dataclasses.replace(ENGINE, mean_prompt_tokens=0.0)
)

PartMaker = collections.abc.Callable[
    [str], collections.abc.Sequence[admissionpart.AdmissionPart]
]


def make_catalog() -> catalog.Catalog:
    """Return a configuration with one route to the service of the groups."""
    route = catalog.Route(
        "k1", "", "/k1", catalog.Execution.AT_MOST_ONCE, True, DEADLINE_S, OBJECTIVE_S,
        PAUSE_S, 1, 1, True, False, (catalog.WeightedService(SERVICE, 1.0),),
    )  # fmt: skip
    service = catalog.Service(SERVICE, 100, ENGINE)
    return catalog.Catalog(1, [route], [service], {}, catalog.Limits(), False)


def compute_pass_s(requests: float, skew: float) -> float:
    """Return the pass time with this many requests at each rank, and mean prompts."""
    prefill_s = PASS_MODEL.compute_prefill_s(ENGINE.mean_prompt_tokens)
    passes = ENGINE.mean_output_tokens / ENGINE.steps_per_pass
    work = requests * (ENGINE.per_request_s + prefill_s / passes / 5)
    factor = 1.0 - ENGINE.expert_share + ENGINE.expert_share * skew
    return ENGINE.steps_per_pass * (ENGINE.step_s + work * factor)


def compute_group_rate(skew: float = BALANCED_SKEW) -> float:
    """Return the responses a second of a group with full slots."""
    passes = ENGINE.mean_output_tokens / ENGINE.steps_per_pass + 1.0
    return GROUP_SIZE * ENGINE.slots / (passes * compute_pass_s(ENGINE.slots, skew))


@dataclasses.dataclass(slots=True, eq=False)
class Stream:
    """A request at a rank."""

    prompt_left: float
    tokens_left: int
    begun: asyncio.Future[None]
    done: asyncio.Future[None]
    first_event_at: float = math.inf
    last_event_at: float = math.inf
    worst_gap_s: float = 0.0


class Group:
    """A lock-step group; ``skews`` are those in force from times after the opening."""

    def __init__(self, number: int, skews: list[tuple[float, float]]) -> None:
        self.number = number
        self.skews = skews
        self.epoch = 1
        self.opened_at: float | None = None
        self.streams: list[list[Stream]] = [[] for _ in range(GROUP_SIZE)]
        # Ends and durations of passes, and the events in each.
        self.passes: list[tuple[float, float, int]] = []

    def get_skew(self, now: float) -> float:
        """Return the skew of the map in force."""
        age_s = now - (self.opened_at or 0.0)
        return next(skew for since, skew in reversed(self.skews) if age_s >= since)

    def count_running(self, rank: int) -> tuple[int, int]:
        """Return the streams of a rank that generate tokens, and the others."""
        streams = self.streams[rank]
        running = sum(s.prompt_left <= 0.0 for s in streams[: ENGINE.slots])
        return running, len(streams) - running

    def count_rate(self, begin: float, end: float) -> float:
        """Return the events a second in a span."""
        return sum(n for at, _, n in self.passes if begin <= at < end) / (end - begin)

    async def run(self) -> None:
        """Run passes for good."""
        loop = asyncio.get_running_loop()
        per_pass = float(ENGINE.prefill_chunk_tokens * ENGINE.steps_per_pass)
        while True:
            works, decoding = [], []
            for streams in self.streams:
                room = per_pass
                for stream in streams[: ENGINE.slots]:
                    part = min(stream.prompt_left, room)
                    room -= part
                    stream.prompt_left -= part
                ready = [s for s in streams[: ENGINE.slots] if s.prompt_left <= 0.0]
                prefill_s = PASS_MODEL.compute_prefill_s(per_pass - room)
                works.append(
                    len(ready) * ENGINE.per_request_s
                    + prefill_s / ENGINE.steps_per_pass
                )
                decoding.append(ready)
            own = ENGINE.step_s + (1.0 - ENGINE.expert_share) * max(works)
            skew = self.get_skew(loop.time())
            experts = ENGINE.expert_share * skew * sum(works) / len(works)
            pass_s = ENGINE.steps_per_pass * (own + experts)
            await asyncio.sleep(pass_s)
            count = sum(map(len, decoding))
            self.passes.append((loop.time(), pass_s, count))
            for rank, ready in enumerate(decoding):
                for stream in ready:
                    self._emit(loop.time(), rank, stream)

    def _emit(self, now: float, rank: int, stream: Stream) -> None:
        """Emit an event of a stream; end it after its last token."""
        if stream.first_event_at == math.inf:
            stream.first_event_at = now
            stream.begun.set_result(None)
        else:
            stream.worst_gap_s = max(stream.worst_gap_s, now - stream.last_event_at)
        stream.last_event_at = now
        stream.tokens_left -= ENGINE.steps_per_pass
        if stream.tokens_left <= 0:
            self.streams[rank].remove(stream)
            stream.done.set_result(None)


class Entry(entrystate.EntryState):
    """An entry: the product's pool, scheduler and parts."""

    catalog = None
    started_at = 0.0
    is_first_start = False

    def __init__(self, index: int, count: int, make_parts: PartMaker) -> None:
        self._count = count
        self.host = make_entry_host(index)
        self.admission = entryadmission.EntryAdmission(list(make_parts(self.host)))
        self.pool = targetpool.TargetPool("p", None, None, self.admission)
        self.pool.lockstep_services = frozenset({SERVICE})
        self.admission.on_catalog(0.0, make_catalog())
        self.scheduler = requestscheduler.RequestScheduler(
            self, self.pool, random.Random(index)
        )
        self.hosts = [make_entry_host(n) for n in range(count)]
        self.pool.set_entries(self.host, self.hosts)
        for number in range(GROUP_COUNT * GROUP_SIZE):
            self.pool.register(
                catalog.TargetRegistration(
                    f"t{number}", SERVICE, make_rank_host(number), 80, "p",
                    ENGINE.slots, catalog.TargetState.READY, 0.0, 1,
                ),
                replica.Position(rev=number),
            )  # fmt: skip
        self.turn = index

    def may_lack_config(self) -> bool:
        """Return that the store was not restored."""
        return False

    def compute_config_age(self) -> float:
        """Return an age of 0 s."""
        return 0.0

    def count_entries(self) -> int:
        """Return the number of entries."""
        return self._count


def make_entry_host(index: int) -> str:
    """Return the address of an entry."""
    return f"10.{index % 3}.{index // 200}.{index % 200 + 1}"


def make_rank_host(number: int) -> str:
    """Return the address of a rank; each group has a zone of its own."""
    return f"10.{number // GROUP_SIZE}.9.{number % GROUP_SIZE + 1}"


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a client got: when it asked first, the group, and what that is worth."""

    asked_at: float
    sent_at: float
    group: int | None
    value: float


class World:
    """Entries, groups and clients; ``open_at`` is when each group opens."""

    def __init__(
        self,
        entry_count: int,
        make_parts: PartMaker,
        open_at: typing.Sequence[float],
        skews: typing.Sequence[list[tuple[float, float]]],
        rate: float,
        seed: int = 1,
        load_from: float = 0.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.groups = [Group(n, skews[n]) for n in range(GROUP_COUNT)]
        self.entries = [Entry(n, entry_count, make_parts) for n in range(entry_count)]
        self._open_at = open_at
        self._rate = rate
        self._load_from = load_from
        self.results: list[Result] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def _start(self, coro: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a coroutine beside the others."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, group: Group) -> None:
        """Open a group at its time, in a new epoch."""
        open_at = self._open_at[group.number]
        if math.isinf(open_at):
            return
        await asyncio.sleep(open_at)
        group.epoch = 2
        group.opened_at = asyncio.get_running_loop().time()
        self._start(group.run())

    async def _report(self, group: Group, entry: Entry) -> None:
        """Report the ranks of a group to an entry each period."""
        rng = random.Random(f"{group.number}/{entry.host}")
        await asyncio.sleep(REPORT_S * rng.random())
        while True:
            now = asyncio.get_running_loop().time()
            for rank in range(GROUP_SIZE):
                running, waiting = group.count_running(rank)
                host = make_rank_host(group.number * GROUP_SIZE + rank)
                is_open = group.opened_at is not None
                # Until ranks have served requests, a leader reports the skew of the map
                # that was in force before the group closed.
                is_known = now - (group.opened_at or 0.0) >= SKEW_DELAY_S
                skew = group.get_skew(now) if is_known else BALANCED_SKEW
                report = messages.Report(
                    host, f"{host}:80", True, running, waiting, 1.0,
                    f"g{group.number}", group.epoch, rank, GROUP_SIZE, is_open,
                    skew if rank == 0 else 1.0,
                    READ_AGE_S,
                )  # fmt: skip
                entry.pool.on_report(now, report)
            entry.scheduler.dispatch_all()
            await asyncio.sleep(REPORT_S * (0.9 + 0.2 * rng.random()))

    async def _refresh(self, entry: Entry) -> None:
        """Do an entry's periodic work, and exchange updates with three others."""
        await asyncio.sleep(BEAT_S * self.rng.random())
        others = [e for e in self.entries if e is not entry]
        hosts = [e.host for e in others]
        view = admissionpart.EntryView(entry.host, hosts, hosts, 0.0)
        while True:
            now = asyncio.get_running_loop().time()
            entry.admission.refresh(now, view, entry.pool.list_targets())
            for _ in range(min(3, len(others))):
                entry.turn = (entry.turn + 1) % len(others)
                other = others[entry.turn]
                for sender, receiver in ((entry, other), (other, entry)):
                    update = sender.admission.make_update(now, receiver.host)
                    peer = admissionpart.PeerMessage(sender.host, 1, ())
                    receiver.admission.on_message(now, peer, update)
            await asyncio.sleep(BEAT_S)

    async def _offer(self) -> None:
        """Offer requests at random times and entries."""
        await asyncio.sleep(self._load_from)
        rng = random.Random(f"offer{self.rng.random()}")
        while True:
            await asyncio.sleep(rng.expovariate(self._rate))
            prompt = rng.expovariate(1.0 / ENGINE.mean_prompt_tokens)
            tokens = max(int(rng.expovariate(1.0 / ENGINE.mean_output_tokens)), 5)
            self._start(self._call(random.Random(rng.random()), prompt, tokens))

    async def _call(self, rng: random.Random, prompt: float, tokens: int) -> None:
        """Send a request, and once more if it is refused."""
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        for is_again in (False, True):
            entry = rng.choice(self.entries)
            arrived_at = loop.time()
            traits = sendconstraint.RequestTraits(
                "", "k1", 1, None, int(prompt), 90, OBJECTIVE_S, PAUSE_S
            )
            entry.admission.on_request(arrived_at, SERVICE, traits)
            queued = requestqueue.QueuedRequest(
                1, arrived_at, arrived_at + OBJECTIVE_S, asked_at + DEADLINE_S - 1.0,
                kind="k1", traits=traits,
            )  # fmt: skip
            target = await entry.scheduler.acquire_target(SERVICE, queued)
            sent_at = loop.time()
            if target is not None:
                break
            if is_again:
                self.results.append(Result(asked_at, sent_at, None, 0.0))
                return
            await asyncio.sleep(rng.uniform(*RETRY_S))
        assert target is not None
        octets = target.registration.host.split(".")
        group = self.groups[int(octets[1])]
        stream = Stream(prompt, tokens, loop.create_future(), loop.create_future())
        group.streams[int(octets[3]) - 1].append(stream)
        await stream.begun
        first_event_s = stream.first_event_at - sent_at
        entry.admission.on_first_event(loop.time(), target, traits, first_event_s)
        await stream.done
        is_on_time = (
            stream.first_event_at - asked_at <= OBJECTIVE_S
            and stream.worst_gap_s <= PAUSE_S
        )
        value = 1.0 if is_on_time else LATE_VALUE
        self.results.append(Result(asked_at, sent_at, group.number, value))
        result = admissionpart.SendResult.COMPLETED
        outcome = admissionpart.SendOutcome(
            result, loop.time() - sent_at, first_event_s
        )
        entry.pool.on_end(target, loop.time(), 0, traits, outcome)
        entry.scheduler.dispatch(SERVICE)

    def run(self, seconds: float) -> None:
        """Run for a time on a model clock."""

        async def play() -> None:
            for group in self.groups:
                self._start(self._open(group))
                for entry in self.entries:
                    self._start(self._report(group, entry))
            for entry in self.entries:
                self._start(self._refresh(entry))
            self._start(self._offer())
            await asyncio.sleep(seconds)

        loopdriver.LoopDriver(is_clock_virtual=True, loopback_delay_s=0.0).run(play())


BALANCED: typing.Final = [(-math.inf, BALANCED_SKEW)]
UNBALANCED: typing.Final = [
    (-math.inf, INITIAL_SKEW),
    *zip(SWITCHES_S, (2.5, BALANCED_SKEW), strict=True),
]
FULL_RATE: typing.Final = (
    GROUP_SIZE * ENGINE.slots / compute_pass_s(ENGINE.slots, BALANCED_SKEW)
)
REOPENED: typing.Final = 2  # the number of the group that reopens alone
REOPENS_S: typing.Final = 8.0
POWER_LOSS_S: typing.Final = 4.0  # until the engines are ready
TAIL_S: typing.Final = 5.0  # in which responses of interest end


def make_no_parts(host: str) -> list[admissionpart.AdmissionPart]:
    """Return the parts of an entry without the ramp-up."""
    return []


def make_paces(read_wall_s: float) -> PartMaker:
    """Return a maker of the part; engines started at 0 on the clock of the wall."""
    return lambda host: [targetpaces.TargetPaces(host, read_wall_s=lambda: read_wall_s)]


def reopen_one(
    entry_count: int,
    has_ramp_up: bool,
    seed: int = 1,
    is_absent: bool = False,
    is_healthy: bool = False,
    span_s: float = 6.0,
) -> World:
    """Run a service at 0.9 of its capacity, of which one group in three reopens.

    Load begins ``span_s`` before that and is of interest for as long after it.
    """
    world = World(
        entry_count,
        make_paces(1e9) if has_ramp_up else make_no_parts,
        [0.0, 0.0, math.inf if is_absent else REOPENS_S],
        [BALANCED, BALANCED, BALANCED if is_healthy else UNBALANCED],
        0.9 * GROUP_COUNT * compute_group_rate(),
        seed,
        load_from=REOPENS_S - span_s,
    )
    world.run(REOPENS_S + span_s + TAIL_S)
    return world


def reopen_all(
    entry_count: int, has_ramp_up: bool, seed: int = 1, span_s: float = 6.0
) -> World:
    """Run a service in which all hosts have lost power; entries start at 0.

    The offered load is that of the first deployment, 126 requests a second.
    """
    rng = random.Random(seed)
    world = World(
        entry_count,
        make_paces(0.0) if has_ramp_up else make_no_parts,
        [POWER_LOSS_S + OPENING_SPREAD_S * rng.random() for _ in range(GROUP_COUNT)],
        [UNBALANCED] * GROUP_COUNT,
        126.0,
        seed,
    )
    world.run(POWER_LOSS_S + span_s + TAIL_S)
    return world


def compute_value(
    results: collections.abc.Iterable[Result], begin: float, end: float
) -> float:
    """Return the mean value of the requests that clients asked for in a span."""
    values = [r.value for r in results if begin <= r.asked_at < end]
    return sum(values) / max(len(values), 1)
