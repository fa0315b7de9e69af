"""A model of lock-step groups that follows the pass rule, with entries that share it.

Each entry has the product's target pool, scheduler and parts; there is no network.
Clients come back once, when they are told. ``is_scarce`` off is the order by deadline.
"""

import asyncio
import collections
import dataclasses
import random
import typing

import msgspec

from sardinesaddle.direct import (
    catalog,
    entrystate,
    messages,
    replica,
    requestqueue,
    requestscheduler,
    targetpool,
    targetstate,
)
from sardinesaddle.direct.admission import (
    admissionpart,
    entryadmission,
    passmodel,
    scarcecapacity,
    sendconstraint,
)
from sardinesaddle.standins import loopdriver

SERVICE = "model"
PAUSE_S = 0.150
REPORT_S = 0.3
REFRESH_S = 0.25
SKEW = 2.1
ENGINE = catalog.EngineModel(
    slots=8, step_s=0.00455, per_request_s=0.00218, context_s_per_token=0.000000044,
    prefill_tokens_per_s=61400.0, prefill_chunk_tokens=512, steps_per_pass=5,
    mean_prompt_tokens=400.0, mean_output_tokens=60.0, layer_sets=3, experts_per_set=16,
    max_experts_per_rank=6, max_added_per_rank=2, expert_share=0.85,
    copy_s_per_expert=0.148, prefill_s_per_pair=0.525e-9,
)  # fmt: skip
OBJECTIVES_S = {0: 0.5, 1: 0.5, 2: 1.0}
DEFAULT_RETURN_S = (0.8, 1.6)  # of the order by deadline
# Of a stream, whose tokens are exponential with mean 60, rounded down, at least 5.
MEAN_TOKENS = 59.8
MEAN_PASSES = 12.34
SPAN_S = 0.25
DEADLINE_S = 8.0  # of a client, from its first attempt


def make_route(name: str, priority: int, service: str = SERVICE) -> catalog.Route:
    """Return a route for streams."""
    return catalog.Route(
        name, "", f"/{name}", catalog.Execution.AT_MOST_ONCE, True, 30.0,
        OBJECTIVES_S.get(priority, 0.5), PAUSE_S, priority, 1, True, False,
        (catalog.WeightedService(service, 1.0),),
    )  # fmt: skip


def make_catalog(
    priorities: typing.Iterable[int] = (0, 1, 2), version: int = 1
) -> catalog.Catalog:
    """Return a configuration with one route for each priority."""
    routes = [make_route(f"k{priority}", priority) for priority in priorities]
    services = [catalog.Service(SERVICE, 100, ENGINE)]
    return catalog.Catalog(version, routes, services, {}, catalog.Limits(), False)


@dataclasses.dataclass(slots=True)
class Stream:
    """A request that a rank runs."""

    prompt_left: float
    tokens_left: int
    sent_at: float
    done: asyncio.Future[bool]
    last_event_at: float | None = None
    worst_gap_s: float = 0.0
    first_event_at: float = 0.0
    # Tokens emitted, by multiple of SPAN_S.
    tokens: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )


class ModelGroup:
    """A lock-step group: passes last as the model of a pass says."""

    def __init__(self, name: str, first_rank: int, size: int) -> None:
        self.name = name
        self.first_rank = first_rank
        self.size = size
        self.skew = SKEW
        self.streams: list[list[Stream]] = [[] for _ in range(size)]
        self.passes: list[tuple[float, float]] = []
        self._model = passmodel.PassModel(
            dataclasses.replace(ENGINE, mean_prompt_tokens=0.0)
        )

    def count_waiting(self, rank: int) -> int:
        """Return the streams of a rank whose prompts are not processed."""
        return sum(s.last_event_at is None for s in self.streams[rank])

    async def run(self) -> None:
        """Run passes for good."""
        loop = asyncio.get_running_loop()
        per_pass = ENGINE.prefill_chunk_tokens * ENGINE.steps_per_pass
        while True:
            began_at = loop.time()
            present = [list(streams) for streams in self.streams]
            works = []
            prompts: list[list[Stream]] = []
            for streams in present:
                room = float(per_pass)
                read, tokens = [], 0.0
                for stream in streams:
                    if stream.prompt_left > 0.0 and room > 0.0:
                        part = min(stream.prompt_left, room)
                        room -= part
                        tokens += part
                        stream.prompt_left -= part
                        if stream.prompt_left <= 0.0:
                            read.append(stream)
                decoding = [s for s in streams if s.prompt_left <= 0.0]
                steps = ENGINE.steps_per_pass
                prefill_s = self._model.compute_prefill_s(tokens) / steps
                works.append(len(decoding) * ENGINE.per_request_s + prefill_s)
                prompts.append(decoding)
            own = ENGINE.step_s + (1.0 - ENGINE.expert_share) * max(works)
            experts = ENGINE.expert_share * self.skew * sum(works) / len(works)
            pass_s = ENGINE.steps_per_pass * (own + experts)
            self.passes.append((began_at, pass_s))
            await asyncio.sleep(pass_s)
            now = loop.time()
            for rank, decoding in enumerate(prompts):
                for stream in decoding:
                    self._emit(now, rank, stream)

    def _emit(self, now: float, rank: int, stream: Stream) -> None:
        """Emit an event of a stream; end it after its last token."""
        if stream.done.done():
            return
        if stream.last_event_at is None:
            stream.first_event_at = now
        else:
            gap_s = now - stream.last_event_at
            stream.worst_gap_s = max(stream.worst_gap_s, gap_s)
        stream.last_event_at = now
        emitted = min(stream.tokens_left, ENGINE.steps_per_pass)
        stream.tokens[int(now / SPAN_S)] += emitted
        stream.tokens_left -= ENGINE.steps_per_pass
        if stream.tokens_left <= 0:
            self.streams[rank].remove(stream)
            stream.done.set_result(True)


class ClosedGroups(admissionpart.AdmissionPart):
    """Makes the targets of closed groups unavailable, as an evacuated zone does."""

    name = "closed_groups"

    def __init__(self, closed: set[str]) -> None:
        self._closed = closed

    def is_available(self, target: targetstate.Target) -> bool:
        """Return whether the target's group is not closed."""
        return target.group not in self._closed


class ModelEntry(entrystate.EntryState):
    """An entry: the product's pool, scheduler and parts."""

    catalog = None
    started_at = 0.0
    is_first_start = False

    def __init__(self, world: "World", index: int) -> None:
        self.world = world
        self.index = index
        self.host = f"10.{index % 3}.{index // 200}.{index % 200 + 1}"
        self.is_up = True
        self.is_cut = False
        # Cleared while the entry is suspended.
        self.is_running = asyncio.Event()
        self.is_running.set()
        self.turn = index
        closed = ClosedGroups(world.closed_groups)
        self.part = scarcecapacity.ScarceCapacity(
            random.Random(f"p{index}"), closed.is_available
        )
        parts = [closed, self.part] if world.is_scarce else [closed]
        self.admission = entryadmission.EntryAdmission(parts)
        self.pool = targetpool.TargetPool("p", None, None, self.admission)
        self.pool.lockstep_services = frozenset({SERVICE})
        self.admission.on_catalog(0.0, make_catalog())
        for rank in range(world.rank_count):
            self.pool.register(
                catalog.TargetRegistration(
                    f"t{rank}", SERVICE, f"10.{rank % 3}.9.{rank}", 80, "p",
                    ENGINE.slots, catalog.TargetState.READY, 0.0,
                ),
                replica.Position(rev=rank),
            )  # fmt: skip
        self.scheduler = requestscheduler.RequestScheduler(
            self, self.pool, random.Random(f"s{index}")
        )

    def may_lack_config(self) -> bool:
        """Return that the store was not restored."""
        return False

    def compute_config_age(self) -> float:
        """Return an age of 0 s."""
        return 0.0

    def count_entries(self) -> int:
        """Return the number of entries that this one knows."""
        return 1 if self.is_cut else self.world.count_up()


@dataclasses.dataclass(slots=True)
class Tally:
    """What clients observed of one kind and account."""

    offered: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    returned: int = 0
    refused_again: int = 0
    # Clients that were told a time after their deadline.
    gave_up: int = 0
    longest_refused_wait_s: float = 0.0

    @property
    def served_share(self) -> float:
        """The share of the requests that were served on time."""
        return self.on_time / max(self.offered, 1)

    def add(self, other: "Tally") -> None:
        """Add the counts of another tally."""
        self.offered += other.offered
        self.on_time += other.on_time
        self.late += other.late
        self.refused += other.refused
        self.returned += other.returned
        self.refused_again += other.refused_again
        self.gave_up += other.gave_up


class World:
    """Groups, entries and clients; ``tallies`` is by priority and account."""

    def __init__(
        self,
        entry_count: int,
        is_scarce: bool = True,
        seed: int = 1,
        group_count: int = 3,
        group_size: int = 8,
    ) -> None:
        self.is_scarce = is_scarce
        self.rng = random.Random(seed)
        self.rank_count = group_count * group_size
        self.groups = [
            ModelGroup(f"g{n}", n * group_size, group_size) for n in range(group_count)
        ]
        self.closed_groups: set[str] = set()
        self.entries = [ModelEntry(self, n) for n in range(entry_count)]
        # Sent between entries for this part, and the seconds that the run lasted.
        self.update_bytes = 0
        self.lasted_s = 0.0
        self.tallies: dict[tuple[int, str], Tally] = collections.defaultdict(Tally)
        # When requests were refused while half of the slots were free.
        self.unjustified: list[float] = []
        self.counted_from = 0.0
        # Tokens by multiple of SPAN_S that streams emitted that ended on time.
        self.tokens: collections.Counter[int] = collections.Counter()
        # Times, priorities and accounts of all requests, and of those served on time.
        self.offered: list[tuple[float, int, str]] = []
        self.served: list[tuple[float, int, str]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._set_membership()

    def count_up(self) -> int:
        """Return the number of entries that run."""
        return sum(entry.is_up for entry in self.entries)

    def set_closed(self, groups: set[str]) -> None:
        """Close groups to new requests, and open the others; all entries learn it."""
        self.closed_groups.clear()
        self.closed_groups.update(groups)
        change = replica.Change("op/evacuate/z", 1, b"{}")
        for entry in self.entries:
            entry.admission.on_store_change(0.0, change, replica.BEGINNING)
            entry.pool.invalidate_lists()

    def set_up(self, index: int, is_up: bool) -> None:
        """Start an entry without knowledge, or stop it; streams that run go on."""
        if is_up:
            self.entries[index] = ModelEntry(self, index)
        self.entries[index].is_up = is_up
        self._set_membership()

    def _set_membership(self) -> None:
        """Tell all entries which entries there are."""
        hosts = [entry.host for entry in self.entries if entry.is_up]
        for entry in self.entries:
            entry.pool.set_entries(entry.host, hosts)

    def compute_used(self, begin: float, end: float) -> float:
        """Return the share of the capacity that streams on time used in a span.

        Tokens are counted, since the lengths of the few streams that end in it vary.
        """
        spans = range(int(begin / SPAN_S), int(end / SPAN_S))
        most = self.compute_capacity() * MEAN_TOKENS * len(spans) * SPAN_S
        return sum(self.tokens[span] for span in spans) / most

    def compute_share(
        self, begin: float, end: float, priority: int, account: str | None = None
    ) -> float:
        """Return the share of the requests of a span that were served on time."""

        def count(requests: list[tuple[float, int, str]]) -> int:
            return sum(
                begin <= t < end and p == priority and account in (None, a)
                for t, p, a in requests
            )

        return count(self.served) / max(count(self.offered), 1)

    def compute_capacity(self) -> float:
        """Return the streams a second that passes of the permitted pause sustain.

        The last pass of a stream has no further tokens to emit, so that streams take
        ``MEAN_PASSES``, half a pass more than their tokens would.
        """
        low, high = 0.0, 100.0
        while high - low > 0.01:
            middle = (low + high) / 2.0
            prefill = passmodel.PassModel(ENGINE).compute_prefill_s(
                ENGINE.mean_prompt_tokens
            )
            work = middle * (ENGINE.per_request_s + prefill / MEAN_TOKENS)
            factor = 1.0 - ENGINE.expert_share + ENGINE.expert_share * SKEW
            fits = 5 * (ENGINE.step_s + work * factor) <= PAUSE_S
            low, high = (middle, high) if fits else (low, middle)
        return low * self.rank_count / (MEAN_PASSES * PAUSE_S)

    async def _report(self, group: ModelGroup, rank: int) -> None:
        """Report a rank to all entries each period."""
        await asyncio.sleep(REPORT_S * self.rng.random())
        number = group.first_rank + rank
        while True:
            waiting = group.count_waiting(rank)
            report = messages.Report(
                f"s{number}", f"10.{number % 3}.9.{number}:80", True,
                len(group.streams[rank]) - waiting, waiting, 1.0, group.name, 1, rank,
                group.size, True, group.skew if rank == 0 else 1.0, 0.03,
            )  # fmt: skip
            now = asyncio.get_running_loop().time()
            for entry in self.entries:
                if entry.is_up and entry.is_running.is_set():
                    entry.pool.on_report(now, report)
                    entry.scheduler.dispatch_all()
            await asyncio.sleep(REPORT_S * (0.9 + 0.2 * self.rng.random()))

    async def _refresh(self) -> None:
        """Do the periodic work of the entries."""
        while True:
            await asyncio.sleep(REFRESH_S)
            now = asyncio.get_running_loop().time()
            hosts = [entry.host for entry in self.entries if entry.is_up]
            for entry in self.entries:
                if not entry.is_up or not entry.is_running.is_set():
                    continue
                others = [] if entry.is_cut else [h for h in hosts if h != entry.host]
                view = admissionpart.EntryView(entry.host, others, others, 0.0)
                entry.admission.refresh(now, view, entry.pool.list_targets())
                self._exchange(now, entry, hosts)

    def _exchange(self, now: float, entry: ModelEntry, hosts: list[str]) -> None:
        """Exchange updates with three other entries in turn, as heartbeats do."""
        others = [e for e in self.entries if e.is_up and e is not entry]
        for _ in range(min(3, len(others))):
            entry.turn = (entry.turn + 1) % len(others)
            other = others[entry.turn]
            if entry.is_cut or other.is_cut or not other.is_running.is_set():
                continue
            for sender, receiver in ((entry, other), (other, entry)):
                is_reply = sender is other
                update = sender.admission.make_update(now, receiver.host, is_reply)
                if update is not None and update.demand:
                    self.update_bytes += len(msgspec.msgpack.encode(update.demand))
                peer = admissionpart.PeerMessage(sender.host, 1, hosts)
                receiver.admission.on_message(now, peer, update)

    def start(self, coro: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a coroutine beside the others."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def is_half_free(self) -> bool:
        """Return whether fewer than half of the slots of open groups are taken."""
        open_groups = [g for g in self.groups if g.name not in self.closed_groups]
        taken = sum(len(streams) for g in open_groups for streams in g.streams)
        return taken < sum(g.size for g in open_groups) * ENGINE.slots / 2

    def set_usual(self, load: float, shares: typing.Sequence[float]) -> None:
        """Let all entries know the usual demand, as after running for long."""
        for entry in self.entries:
            entry.part.services[SERVICE].usual.rates = {
                priority: load * self.compute_capacity() * share
                for priority, share in enumerate(shares)
            }

    async def offer(
        self,
        rate: float,
        seconds: float,
        priority: int,
        account: str = "",
        entries: typing.Sequence[int] = (),
    ) -> None:
        """Offer requests of a kind at random times, at all entries or at some."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        number = 0
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            if loop.time() >= ends_at:
                return
            number += 1
            content_id = f"{priority}/{account}/{number}"
            self.start(self._call(priority, account, content_id, entries))

    def _choose_entry(self, indexes: typing.Sequence[int]) -> ModelEntry:
        """Return an entry that runs, as the balancer chooses it."""
        up = [
            e for e in self.entries if e.is_up and (not indexes or e.index in indexes)
        ]
        return self.rng.choice(up or [e for e in self.entries if e.is_up])

    async def _call(
        self,
        priority: int,
        account: str,
        content_id: str,
        indexes: typing.Sequence[int],
    ) -> None:
        """Send a request; come back once, when told."""
        tally = self.tallies[priority, account]
        deadline = asyncio.get_running_loop().time() + DEADLINE_S
        is_counted = asyncio.get_running_loop().time() >= self.counted_from
        if not is_counted:
            tally = Tally()
        tally.offered += 1
        self.offered.append((deadline - DEADLINE_S, priority, account))
        for is_again in (False, True):
            tally.returned += is_again
            entry = self._choose_entry(indexes)
            return_s = await self._attempt(
                entry, priority, account, content_id, tally, deadline
            )
            if return_s is None:
                return
            if is_again:
                tally.refused_again += 1
            else:
                tally.refused += 1
                if asyncio.get_running_loop().time() + return_s >= deadline:
                    tally.gave_up += 1
                    return
                await asyncio.sleep(return_s)

    async def _attempt(
        self,
        entry: ModelEntry,
        priority: int,
        account: str,
        content_id: str,
        tally: Tally,
        deadline: float,
    ) -> float | None:
        """Send a request to an entry; return when to come back, None if it ran.

        Time counts from the client's first attempt.
        """
        loop = asyncio.get_running_loop()
        await entry.is_running.wait()
        arrived_at = loop.time()
        objective_s = OBJECTIVES_S[priority]
        admission = entry.admission
        traits = sendconstraint.RequestTraits(
            account, f"k{priority}", priority, None, 400, 60, objective_s, PAUSE_S,
            is_return=admission.is_return(arrived_at, SERVICE, content_id),
            deadline=deadline,
        )  # fmt: skip
        admission.on_request(arrived_at, SERVICE, traits)
        queued = requestqueue.QueuedRequest(
            priority, arrived_at, arrived_at + objective_s, arrived_at + 1.5,
            account=account, kind=f"k{priority}", traits=traits,
        )  # fmt: skip
        target = await entry.scheduler.acquire_target(SERVICE, queued)
        now = loop.time()
        if target is None:
            waited_s = now - arrived_at
            tally.longest_refused_wait_s = max(tally.longest_refused_wait_s, waited_s)
            if self.is_half_free():
                self.unjustified.append(now)
            ids = admissionpart.RequestIds(content_id, content_id)
            refusal = admission.refuse(now, SERVICE, traits, ids)
            if refusal is not None:
                return refusal.return_s
            return self.rng.uniform(*DEFAULT_RETURN_S)
        stream = await self._run(target)
        result = admissionpart.SendResult.COMPLETED
        outcome = admissionpart.SendOutcome(result, loop.time() - now)
        entry.pool.on_end(target, loop.time(), 0, traits, outcome)
        entry.scheduler.dispatch(SERVICE)
        is_on_time = (
            stream.first_event_at - (deadline - DEADLINE_S) <= objective_s
            and stream.worst_gap_s <= PAUSE_S
        )
        if is_on_time:
            self.tokens.update(stream.tokens)
            self.served.append((deadline - DEADLINE_S, priority, account))
        tally.on_time += is_on_time
        tally.late += not is_on_time
        return None

    async def _run(self, target: targetstate.Target) -> Stream:
        """Run a stream at a target to its end."""
        loop = asyncio.get_running_loop()
        number = int(target.target_id[1:])
        group = next(g for g in self.groups if 0 <= number - g.first_rank < g.size)
        prompt = self.rng.expovariate(1.0 / ENGINE.mean_prompt_tokens)
        tokens = max(int(self.rng.expovariate(1.0 / ENGINE.mean_output_tokens)), 5)
        stream = Stream(prompt, tokens, loop.time(), loop.create_future())
        group.streams[number - group.first_rank].append(stream)
        await stream.done
        return stream

    def run(
        self,
        scenario: typing.Callable[
            ["World"], typing.Coroutine[typing.Any, typing.Any, None]
        ],
    ) -> None:
        """Run a scenario on a model clock."""

        async def play() -> None:
            for group in self.groups:
                self.start(group.run())
                for rank in range(group.size):
                    self.start(self._report(group, rank))
            self.start(self._refresh())
            await asyncio.sleep(1.0)
            await scenario(self)
            self.lasted_s = asyncio.get_running_loop().time()

        loopdriver.LoopDriver(is_clock_virtual=True, loopback_delay_s=0.0).run(play())

    def sum_kind(self, priority: int) -> Tally:
        """Return the sum of all accounts of a priority."""
        total = Tally()
        for (other, _), tally in self.tallies.items():
            if other == priority:
                total.add(tally)
        return total
