"""Lock-step groups under failures: mixed steps, and the time that a group stands still.

Members run the real decision classes; the engines are fakes that begin a step only
when all ranks have run the one before it. Messages take a few milliseconds and may be
lost, doubled or cross each other. Every step's map is recorded for each rank.
"""

import heapq
import random
import typing

from sardinesaddle import frames, group, groupwire, steps, wire
from sardinesaddle.bench import report

STEP_S: typing.Final = 0.02
DELAY_S: typing.Final = 0.003
SPAN_S: typing.Final = 20.0
CHANGE_S: typing.Final = 4.0
RANKS: typing.Final = 8
LARGE_RANKS: typing.Final = 256
LOAD_S: typing.Final = 0.5

Act = typing.Callable[[float], None]


class Simulation:
    """A group in model time."""

    def __init__(self, seed: int, name: str, ranks: int, loss: float = 0.0) -> None:
        self._rng = random.Random(f"{seed} {name}")
        self._loss = loss
        self._events: list[tuple[float, int, Act]] = []
        self._count = 0
        self.now = 0.0
        self.ranks = ranks
        self.members = [
            group.Member(0.0, rank, ranks, 1, True, 1 / STEP_S) for rank in range(ranks)
        ]
        self.used: dict[int, set[int]] = {}
        self.ran = [0] * ranks
        # What each engine holds: the order it runs under, and loaded weights.
        self.orders = [(steps.NO_PLAN, 0) for _ in range(ranks)]
        self.loaded = [frozenset({steps.FIRST_MAP}) for _ in range(ranks)]
        self.dead: set[int] = set()
        self.paused: set[int] = set()
        self.cut: set[int] = set()
        self.load_s = LOAD_S
        self.loads_fail = 0
        self.messages = 0
        self.still_s = 0.0
        self._moved_at = 0.0
        self.versions = 1
        self._held: dict[int, list[tuple[int, group.Message]]] = {}

    def later(self, delay_s: float, act: Act) -> None:
        """Do something after a delay."""
        self._count += 1
        heapq.heappush(self._events, (self.now + delay_s, self._count, act))

    def carry_out(self, rank: int, actions: list[group.Action]) -> None:
        """Send a member's messages and load its weights."""
        for action in actions:
            if isinstance(action, group.LoadMap):
                self._load(rank, action.version)
                continue
            self.messages += 1
            if rank in self.cut or action.to_rank in self.cut:
                continue
            copies = 2 if self._loss and self._rng.random() < self._loss else 1
            for _ in range(copies):
                if self._rng.random() >= self._loss:
                    delay_s = DELAY_S * self._rng.uniform(0.3, 3.0)
                    self.later(delay_s, self._make_arrival(rank, action))

    def _make_arrival(self, sender: int, action: group.SendMessage) -> Act:
        """Return what happens when a message arrives."""

        def act(now: float) -> None:
            if action.to_rank in self.dead:
                return
            if action.to_rank in self.paused:
                self._held.setdefault(action.to_rank, []).append((sender, action.msg))
                return
            self._receive(action.to_rank, sender, action.msg)

        return act

    def _receive(self, rank: int, sender: int, msg: group.Message) -> None:
        """Give a member a message, and its engine the order that follows."""
        member = self.members[rank]
        self.carry_out(rank, member.on_message(self.now, sender, msg))
        if member.rank_steps.last_step:
            self.orders[rank] = (member.rank_steps.plan, member.rank_steps.last_step)

    def _find_next(self, rank: int) -> tuple[int, int] | None:
        """Return the next step and its map that an engine may run."""
        plan, last_step = self.orders[rank]
        step = self.ran[rank] + 1
        if step > last_step:
            return None
        version = plan.find_map(step)
        return (step, version) if version in self.loaded[rank] else None

    def _load(self, rank: int, version: int) -> None:
        """Load weights from a store that may fail."""
        is_loaded = self.loads_fail <= 0
        self.loads_fail -= 1
        member = self.members[rank]

        def act(now: float) -> None:
            if is_loaded:
                self.loaded[rank] |= {version}
            if self.members[rank] is member:
                self.carry_out(rank, member.on_loaded(version, is_loaded))

        self.later(self.load_s * self._rng.uniform(0.5, 1.5), act)

    def start(self) -> None:
        """Begin ticks, engine steps and map changes."""
        for rank in range(self.ranks):
            self._tick_later(rank)
        self._step_later(0.0)
        self._change_later()

    def _tick_later(self, rank: int) -> None:
        """Let time pass for a member."""

        def act(now: float) -> None:
            if rank not in self.dead and rank not in self.paused:
                self.carry_out(rank, self.members[rank].tick(now))
            self._tick_later(rank)

        self.later(group.TICK_S, act)

    def _change_later(self) -> None:
        """Want another map every few seconds."""

        def act(now: float) -> None:
            self.versions += 1
            for member in self.members:
                member.wanted_map_version = self.versions
            self._change_later()

        self.later(CHANGE_S, act)

    def _step_later(self, delay_s: float) -> None:
        """Let the engines run one step when every rank may."""

        def act(now: float) -> None:
            chosen = [self._find_next(rank) for rank in range(self.ranks)]
            lowest = min(self.ran)
            if all(
                self._may_run(rank, chosen[rank], lowest) for rank in range(self.ranks)
            ):
                for rank, one in enumerate(chosen):
                    if self.ran[rank] == lowest and one is not None:
                        self._run_step(rank, one)
                self._moved_at = now
                self._step_later(STEP_S)
                return
            # Ranks that may run do so; the others hold the group back.
            for rank, one in enumerate(chosen):
                if one and self.ran[rank] == lowest and rank not in self.dead:
                    self._run_step(rank, one)
            if now > 3.0:
                self.still_s += 0.005
            self._step_later(0.005)

        self.later(delay_s, act)

    def _may_run(self, rank: int, chosen: tuple[int, int] | None, lowest: int) -> bool:
        """Tell whether a rank can take part in the step."""
        return self.ran[rank] > lowest or chosen is not None

    def _run_step(self, rank: int, chosen: tuple[int, int]) -> None:
        """Run one step on one rank and record its map."""
        step, version = chosen
        if step != self.ran[rank] + 1:
            return
        self.used.setdefault(step, set()).add(version)
        self.ran[rank] = step
        self.members[rank].rank_steps.on_step_run(step)

    def find_leader(self) -> int:
        """Return the rank that leads under the highest epoch."""
        leaders = [m for m in self.members if m.leader and m.rank not in self.dead]
        return max(leaders, key=lambda m: m.leader.epoch if m.leader else 0).rank

    def restart(self, rank: int) -> None:
        """Let a member lose its memory; its engine keeps its steps."""
        self.dead.discard(rank)
        fresh = group.Member(self.now, rank, self.ranks, 2, False, 1 / STEP_S)
        fresh.wanted_map_version = self.versions
        fresh.on_engine_state(self.ran[rank], self.loaded[rank])
        self.members[rank] = fresh

    def wake_restarted(self, rank: int) -> None:
        """Let a member that died be replaced by one without memory."""
        self._held.pop(rank, None)
        self.paused.discard(rank)
        self.restart(rank)

    def wake(self, rank: int) -> None:
        """Let a paused member go on with what has arrived since."""
        self.paused.discard(rank)
        for sender, msg in self._held.pop(rank, []):
            self._receive(rank, sender, msg)

    def run_until(self, until: float) -> None:
        """Run up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heapq.heappop(self._events)
            act(self.now)

    def count_mixed(self) -> int:
        """Return how many steps were run with more than one map."""
        return sum(1 for versions in self.used.values() if len(versions) > 1)


def make_failures() -> dict[str, typing.Callable[[Simulation], None]]:
    """Return what goes wrong in each scenario, by name."""

    def kill_leader(sim: Simulation) -> None:
        # The sidecar dies; its rank's engine runs on under the grants it holds.
        rank = sim.find_leader()
        sim.paused.add(rank)
        sim.later(3.0, lambda now: sim.wake_restarted(rank))

    def pause_leader(sim: Simulation) -> None:
        rank = sim.find_leader()
        sim.paused.add(rank)
        sim.later(6.0, lambda now: sim.wake(rank))

    def cut_leader(sim: Simulation) -> None:
        rank = sim.find_leader()
        sim.cut.add(rank)
        sim.later(3.0, lambda now: sim.cut.discard(rank))

    def restart_rank(sim: Simulation) -> None:
        sim.restart((sim.find_leader() + 1) % sim.ranks)

    def slow_store(sim: Simulation) -> None:
        sim.load_s = 3.0

    def failing_store(sim: Simulation) -> None:
        sim.loads_fail = 6

    return {
        "calm": lambda sim: None,
        "leader_dies": kill_leader,
        "leader_paused": pause_leader,
        "leader_cut_off": cut_leader,
        "rank_restarts": restart_rank,
        "store_slow": slow_store,
        "store_fails": failing_store,
    }


def play(
    seed: int, name: str, ranks: int, loss: float, span_s: float = SPAN_S
) -> Simulation:
    """Run one scenario."""
    sim = Simulation(seed, f"{name} {loss}", ranks, loss)
    sim.start()
    sim.run_until(8.0 if span_s > 8 else span_s / 2)
    make_failures()[name](sim)
    sim.run_until(span_s)
    return sim


def run(seed: int) -> report.Report:
    """Run the bench."""
    result = report.Report("steps")
    for loss in (0.0, 0.1):
        for name in make_failures():
            sim = play(seed, name, RANKS, loss)
            label = f"{name}_{'lossy' if loss else 'reliable'}"
            result.add_at_most(f"mixed_steps_{label}", sim.count_mixed(), 0)
            result.add(f"still_s_{label}", sim.still_s)
            result.add(f"steps_{label}", min(sim.ran))
            result.add(f"maps_used_{label}", len(set().union(*sim.used.values())))
            if not loss and name in ("leader_dies", "leader_cut_off"):
                result.add_at_most(f"stall_s_within_horizon_{label}", sim.still_s, 0.0)
    add_large(result, seed)
    return result


def add_large(result: report.Report, seed: int) -> None:
    """Count the control messages of a group of the target's size."""
    sim = play(seed, "calm", LARGE_RANKS, 0.0, 8.0)
    result.add_at_most("mixed_steps_256_ranks", sim.count_mixed(), 0)
    before = sim.messages
    sim.run_until(10.0)
    per_s = (sim.messages - before) / 2.0
    body = groupwire.encode_group_message(steps.Grant((300, 12), 10_000_000))
    size = len(frames.encode_frame(wire.GroupMessage("group-1", 255, body)))
    result.add("messages_per_s_256_ranks", per_s)
    result.add_at_most("bytes_per_s_of_a_rank", 2 * size / group.GRANT_PERIOD_S, 2000.0)
    # Grants go from the leader to every rank and reports come back, with no tree.
    result.add_at_most("bytes_per_s_of_the_leader", per_s * size, 2000.0)
