"""Simulates failures in lock-step groups; counts mixed steps and stalled time.

Members run the real decision classes. The engines are stand-ins that begin a step only
when all ranks have run the previous one. Messages take a few milliseconds and may be
lost, duplicated or reordered. The map of every step is recorded for each rank; a step
is mixed if its ranks used different maps.
"""

import heapq
import random
import typing

from sardinesaddle import frames, group, groupwire, steps, wire
from sardinesaddle.bench import report

STEP_S: typing.Final = 0.02
MESSAGE_DELAY_S: typing.Final = 0.003
DURATION_S: typing.Final = 20.0
MAP_CHANGE_PERIOD_S: typing.Final = 4.0
RANKS: typing.Final = 8
LARGE_RANKS: typing.Final = 256
MAP_LOAD_S: typing.Final = 0.5

Callback = typing.Callable[[float], None]


class Simulation:
    """A discrete-event simulation of one group, in model time.

    Ranks in ``dead`` and ``paused`` run no decisions; messages to paused ranks are kept
    until they resume. Messages from and to ranks in ``partitioned`` are dropped.
    """

    def __init__(
        self, seed: int, name: str, ranks: int, loss_rate: float = 0.0
    ) -> None:
        self._rng = random.Random(f"{seed} {name}")
        self._loss_rate = loss_rate
        self._events: list[tuple[float, int, Callback]] = []
        self._event_count = 0
        self.now = 0.0
        self.ranks = ranks
        self.members = [
            group.Member(0.0, rank, ranks, 1, True, 1 / STEP_S) for rank in range(ranks)
        ]
        self.maps_by_step: dict[int, set[int]] = {}
        self.last_run_steps = [0] * ranks
        # By rank: the plan and last step granted to the engine, and its loaded maps.
        self.engine_grants = [(steps.NO_PLAN, 0) for _ in range(ranks)]
        self.loaded_maps = [frozenset({steps.FIRST_MAP}) for _ in range(ranks)]
        self.dead: set[int] = set()
        self.paused: set[int] = set()
        self.partitioned: set[int] = set()
        self.map_load_s = MAP_LOAD_S
        self.failing_loads = 0
        self.messages_sent = 0
        self.stalled_s = 0.0
        self._last_step_at = 0.0
        self.latest_map_version = 1
        self._undelivered: dict[int, list[tuple[int, group.Message]]] = {}

    def schedule(self, delay_s: float, callback: Callback) -> None:
        """Run a callback after a delay, with the time as its argument."""
        self._event_count += 1
        heapq.heappush(self._events, (self.now + delay_s, self._event_count, callback))

    def perform_actions(self, rank: int, actions: list[group.Action]) -> None:
        """Send a member's messages and load the maps that it asks for."""
        for action in actions:
            if isinstance(action, group.LoadMap):
                self._load_map(rank, action.version)
                continue
            self.messages_sent += 1
            if rank in self.partitioned or action.to_rank in self.partitioned:
                continue
            copies = (
                2 if self._loss_rate and self._rng.random() < self._loss_rate else 1
            )
            for _ in range(copies):
                if self._rng.random() >= self._loss_rate:
                    delay_s = MESSAGE_DELAY_S * self._rng.uniform(0.3, 3.0)
                    self.schedule(delay_s, self._make_delivery(rank, action))

    def _make_delivery(self, sender: int, action: group.SendMessage) -> Callback:
        """Return a callback that delivers a message, unless its receiver is down."""

        def deliver(now: float) -> None:
            if action.to_rank in self.dead:
                return
            if action.to_rank in self.paused:
                self._undelivered.setdefault(action.to_rank, []).append(
                    (sender, action.msg)
                )
                return
            self._deliver(action.to_rank, sender, action.msg)

        return deliver

    def _deliver(self, rank: int, sender: int, msg: group.Message) -> None:
        """Deliver a message to a member, and the resulting grant to its engine."""
        member = self.members[rank]
        self.perform_actions(rank, member.on_message(self.now, sender, msg))
        if member.rank_steps.last_step:
            self.engine_grants[rank] = (
                member.rank_steps.plan,
                member.rank_steps.last_step,
            )

    def _find_next_step(self, rank: int) -> tuple[int, int] | None:
        """Return the next step that an engine may run and its map, or None."""
        plan, last_step = self.engine_grants[rank]
        step = self.last_run_steps[rank] + 1
        if step > last_step:
            return None
        version = plan.find_map(step)
        return (step, version) if version in self.loaded_maps[rank] else None

    def _load_map(self, rank: int, version: int) -> None:
        """Load a map's weights, which takes time and may fail."""
        is_loaded = self.failing_loads <= 0
        self.failing_loads -= 1
        member = self.members[rank]

        def finish_load(now: float) -> None:
            if is_loaded:
                self.loaded_maps[rank] |= {version}
            if self.members[rank] is member:
                self.perform_actions(rank, member.on_loaded(version, is_loaded))

        self.schedule(self.map_load_s * self._rng.uniform(0.5, 1.5), finish_load)

    def start(self) -> None:
        """Schedule the ticks, engine steps and map changes."""
        for rank in range(self.ranks):
            self._schedule_tick(rank)
        self._schedule_step(0.0)
        self._schedule_map_change()

    def _schedule_tick(self, rank: int) -> None:
        """Tick a member periodically while it runs."""

        def tick_member(now: float) -> None:
            if rank not in self.dead and rank not in self.paused:
                self.perform_actions(rank, self.members[rank].tick(now))
            self._schedule_tick(rank)

        self.schedule(group.TICK_S, tick_member)

    def _schedule_map_change(self) -> None:
        """Publish another map version periodically."""

        def change_map(now: float) -> None:
            self.latest_map_version += 1
            for member in self.members:
                member.wanted_map_version = self.latest_map_version
            self._schedule_map_change()

        self.schedule(MAP_CHANGE_PERIOD_S, change_map)

    def _schedule_step(self, delay_s: float) -> None:
        """Run one step when every rank may; count the time until then as stalled.

        The first 3 s do not count.
        """

        def try_step(now: float) -> None:
            next_steps = [self._find_next_step(rank) for rank in range(self.ranks)]
            lowest = min(self.last_run_steps)
            if all(
                self._can_take_part(rank, next_steps[rank], lowest)
                for rank in range(self.ranks)
            ):
                for rank, next_step in enumerate(next_steps):
                    if self.last_run_steps[rank] == lowest and next_step is not None:
                        self._run_step(rank, next_step)
                self._last_step_at = now
                self._schedule_step(STEP_S)
                return
            # Ranks that may run do so, and the group then waits for the others.
            for rank, next_step in enumerate(next_steps):
                if (
                    next_step
                    and self.last_run_steps[rank] == lowest
                    and rank not in self.dead
                ):
                    self._run_step(rank, next_step)
            if now > 3.0:
                self.stalled_s += 0.005
            self._schedule_step(0.005)

        self.schedule(delay_s, try_step)

    def _can_take_part(
        self, rank: int, step_and_map: tuple[int, int] | None, lowest: int
    ) -> bool:
        """Return whether a rank has run the step already or may run it."""
        return self.last_run_steps[rank] > lowest or step_and_map is not None

    def _run_step(self, rank: int, step_and_map: tuple[int, int]) -> None:
        """Run one step on one rank and record which map it used."""
        step, version = step_and_map
        if step != self.last_run_steps[rank] + 1:
            return
        self.maps_by_step.setdefault(step, set()).add(version)
        self.last_run_steps[rank] = step
        self.members[rank].rank_steps.on_step_run(step)

    def find_leader(self) -> int:
        """Return the live rank that leads with the highest epoch."""
        leaders = [m for m in self.members if m.leader and m.rank not in self.dead]
        return max(leaders, key=lambda m: m.leader.epoch if m.leader else 0).rank

    def restart_member(self, rank: int) -> None:
        """Restart a member without its state; its engine keeps steps and maps."""
        self.dead.discard(rank)
        restarted = group.Member(self.now, rank, self.ranks, 2, False, 1 / STEP_S)
        restarted.wanted_map_version = self.latest_map_version
        restarted.on_engine_state(self.last_run_steps[rank], self.loaded_maps[rank])
        self.members[rank] = restarted

    def replace_paused(self, rank: int) -> None:
        """Replace a paused member by a restarted one; its messages are lost."""
        self._undelivered.pop(rank, None)
        self.paused.discard(rank)
        self.restart_member(rank)

    def resume(self, rank: int) -> None:
        """Resume a paused member and deliver the messages that arrived meanwhile."""
        self.paused.discard(rank)
        for sender, msg in self._undelivered.pop(rank, []):
            self._deliver(rank, sender, msg)

    def run_until(self, end_at: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= end_at:
            self.now, _, callback = heapq.heappop(self._events)
            callback(self.now)

    def count_mixed_steps(self) -> int:
        """Return the number of steps that were run with more than one map."""
        return sum(1 for versions in self.maps_by_step.values() if len(versions) > 1)


def make_failures() -> dict[str, typing.Callable[[Simulation], None]]:
    """Return the functions that inject each scenario's failure, by name."""

    def kill_leader(sim: Simulation) -> None:
        # The sidecar dies; its engine continues with the grants that it has.
        rank = sim.find_leader()
        sim.paused.add(rank)
        sim.schedule(3.0, lambda now: sim.replace_paused(rank))

    def pause_leader(sim: Simulation) -> None:
        rank = sim.find_leader()
        sim.paused.add(rank)
        sim.schedule(6.0, lambda now: sim.resume(rank))

    def partition_leader(sim: Simulation) -> None:
        rank = sim.find_leader()
        sim.partitioned.add(rank)
        sim.schedule(3.0, lambda now: sim.partitioned.discard(rank))

    def restart_rank(sim: Simulation) -> None:
        sim.restart_member((sim.find_leader() + 1) % sim.ranks)

    def slow_store(sim: Simulation) -> None:
        sim.map_load_s = 3.0

    def failing_store(sim: Simulation) -> None:
        sim.failing_loads = 6

    return {
        "calm": lambda sim: None,
        "leader_dies": kill_leader,
        "leader_paused": pause_leader,
        "leader_cut_off": partition_leader,
        "rank_restarts": restart_rank,
        "store_slow": slow_store,
        "store_fails": failing_store,
    }


def simulate(
    seed: int, name: str, ranks: int, loss_rate: float, duration_s: float = DURATION_S
) -> Simulation:
    """Run one scenario, with its failure at 8 s or half of a shorter run."""
    sim = Simulation(seed, f"{name} {loss_rate}", ranks, loss_rate)
    sim.start()
    sim.run_until(8.0 if duration_s > 8 else duration_s / 2)
    make_failures()[name](sim)
    sim.run_until(duration_s)
    return sim


def run(seed: int) -> report.Report:
    """Run all scenarios with and without message loss, then a large group."""
    result = report.Report("steps")
    for loss_rate in (0.0, 0.1):
        for name in make_failures():
            sim = simulate(seed, name, RANKS, loss_rate)
            label = f"{name}_{'lossy' if loss_rate else 'reliable'}"
            result.add_at_most(f"mixed_steps_{label}", sim.count_mixed_steps(), 0)
            result.add(f"still_s_{label}", sim.stalled_s)
            result.add(f"steps_{label}", min(sim.last_run_steps))
            result.add(
                f"maps_used_{label}", len(set().union(*sim.maps_by_step.values()))
            )
            if not loss_rate and name in ("leader_dies", "leader_cut_off"):
                result.add_at_most(
                    f"stall_s_within_horizon_{label}", sim.stalled_s, 0.0
                )
    add_large_group(result, seed)
    return result


def add_large_group(result: report.Report, seed: int) -> None:
    """Measure the control traffic of a group of 256 ranks."""
    sim = simulate(seed, "calm", LARGE_RANKS, 0.0, 8.0)
    result.add_at_most("mixed_steps_256_ranks", sim.count_mixed_steps(), 0)
    before = sim.messages_sent
    sim.run_until(10.0)
    per_s = (sim.messages_sent - before) / 2.0
    body = groupwire.encode_group_message(steps.Grant((300, 12), 10_000_000))
    size = len(frames.encode_frame(wire.GroupMessage("group-1", 255, body)))
    result.add("messages_per_s_256_ranks", per_s)
    result.add_at_most("bytes_per_s_of_a_rank", 2 * size / group.GRANT_PERIOD_S, 2000.0)
    # The leader exchanges grants and reports with every rank directly, not over a tree.
    result.add_at_most("bytes_per_s_of_the_leader", per_s * size, 2000.0)
