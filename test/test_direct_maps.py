"""Tests of expert maps: passes never mix maps, and maps reduce the skew of ranks.

The group leader and the rank agents are the real ones, on a virtual clock. Only the
connections between sidecars are replaced by direct calls.
"""

import asyncio
import collections.abc
import dataclasses
import random
import typing

import pytest

from sardinesaddle.direct import (
    catalog,
    engine,
    expertdemand,
    expertplan,
    groupleader,
    mapswitch,
    messages,
    nodemetrics,
    nodesettings,
    rankagent,
    sidecarnode,
)
from sardinesaddle.platform import catalogformat
from sardinesaddle.standins import loopdriver, rankgroup
from test import directfleet as df

RANK_COUNT: typing.Final = 4
GROUP_SHAPE: typing.Final = expertplan.GroupShape(
    (1.0,) * RANK_COUNT, 16, 6, 2, 0.85, 0.148
)
SIDECAR_CALL_S: typing.Final = 0.004  # a call between sidecars and its answer


class InProcessLeader(groupleader.GroupLeader):
    """A leader that calls the agents of the ranks directly."""

    group: "SimulatedGroup"

    async def _ask(self, host: str, msg: messages.Request) -> messages.Reply | None:
        """Return the reply of a rank's agent, or None if there is no such rank."""
        await asyncio.sleep(SIDECAR_CALL_S)
        agent = self.group.agents.get(int(host))
        if agent is None:
            return None
        return await sidecarnode.handle_leader_request(agent, msg)


class SimulatedGroup(groupleader.GroupContext):
    """A simulated lock-step group with an agent for each rank, and a leader."""

    def __init__(self, seed: int) -> None:
        self.rank_group = rankgroup.RankGroup(RANK_COUNT, seed)
        self.metrics = nodemetrics.SidecarMetrics("leader")
        self.agents = {
            index: rankagent.RankAgent(
                rank_engine,
                nodemetrics.SidecarMetrics(str(index)),
                random.Random(index),
            )
            for index, rank_engine in enumerate(self.rank_group.make_engines())
        }
        self._gate_engine = rankgroup.RankEngine(self.rank_group, 0)
        self._state: engine.EngineState | None = None
        self._tasks: list[asyncio.Task[None]] = []

    def get_state(self) -> engine.EngineState | None:
        """Return the last state read from the gate's engine."""
        return self._state

    def get_rank_hosts(self) -> dict[int, str]:
        """Return a host for each rank, which is the rank's number."""
        return {index: str(index) for index in range(RANK_COUNT)}

    async def get_model(self) -> catalog.EngineModel | None:
        """Return the model of the group's engines."""
        return self.rank_group.model

    async def read_gate(self) -> engine.EngineState | engine.EngineFault:
        """Read the state of the gate's engine."""
        return await self._gate_engine.read_state()

    async def poll_engines(self) -> None:
        """Read the engines periodically, as the sidecars do."""
        while True:
            engine_state = await self.read_gate()
            self._state = (
                engine_state if isinstance(engine_state, engine.EngineState) else None
            )
            for agent in self.agents.values():
                await agent.read_demand()
            await asyncio.sleep(rankagent.DEMAND_POLL_S)

    def start_leader(self) -> None:
        """Start a leader with a new agent for rank 0, as after a sidecar restart."""
        loop = asyncio.get_running_loop()
        agent = rankagent.RankAgent(self._gate_engine, self.metrics, random.Random(0))
        self.agents[0] = agent
        leader = InProcessLeader(
            self, agent, self.metrics, 0, random.Random(self.rank_group.step)
        )
        leader.group = self
        self._tasks = [
            loop.create_task(leader.run()),
            loop.create_task(self.poll_engines()),
        ]

    def stop_leader(self) -> None:
        """Cancel the leader's tasks, as when its sidecar is killed."""
        for task in self._tasks:
            task.cancel()


def run_scenario(
    scenario: collections.abc.Callable[
        [SimulatedGroup], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
    seed: int = 1,
) -> None:
    """Run a scenario with a running group; check that no pass mixed maps."""
    driver = loopdriver.LoopDriver(is_clock_virtual=True, loopback_delay_s=0.0)

    async def run() -> None:
        group = SimulatedGroup(seed)
        passes_task = asyncio.get_running_loop().create_task(group.rank_group.run())
        group.start_leader()
        await scenario(group)
        group.stop_leader()
        passes_task.cancel()
        assert not group.rank_group.mixed_passes

    driver.run(run())


async def wait_for_held_pass(group: SimulatedGroup) -> None:
    """Shift demand once a second until a pass is held; fail after 20 s."""
    loop = asyncio.get_running_loop()
    began_at = shifted_at = loop.time()
    while not group.rank_group.held_step:
        await asyncio.sleep(0.002)
        assert loop.time() - began_at < 20.0
        if loop.time() - shifted_at > 1.0:
            group.rank_group.shift_demand(0.8)
            shifted_at = loop.time()


def test_skew_falls_after_start_and_after_demand_shift() -> None:
    async def scenario(group: SimulatedGroup) -> None:
        skew_before = group.rank_group.compute_skew()
        await asyncio.sleep(4.0)
        assert group.rank_group.compute_skew() < 0.6 * skew_before
        group.rank_group.shift_demand(0.8)
        await asyncio.sleep(3.0)
        assert group.rank_group.compute_skew() < 1.4
        assert group.rank_group.total_held_s < 0.1

    run_scenario(scenario)


@pytest.mark.parametrize("seed", range(4))
def test_late_orders_neither_mix_maps_nor_stop_passes(seed: int) -> None:
    async def scenario(group: SimulatedGroup) -> None:
        group.rank_group.late_share = 0.35
        for _ in range(5):
            await asyncio.sleep(3.0)
            group.rank_group.shift_demand(0.8)
        assert group.rank_group.total_held_s < 3.0
        assert len(group.rank_group.pass_durations_s) > 60
        assert group.rank_group.ranks[0].map_version > 0

    run_scenario(scenario, seed)


@pytest.mark.parametrize("seed", range(4))
def test_restarted_leader_ends_existing_hold(seed: int) -> None:
    async def scenario(group: SimulatedGroup) -> None:
        rank_group = group.rank_group
        loop = asyncio.get_running_loop()
        for _ in range(3):
            await wait_for_held_pass(group)
            await asyncio.sleep(0.01 * rank_group.rng.random())
            group.stop_leader()
            await asyncio.sleep(0.5)
            began_at = loop.time()
            group.start_leader()
            while rank_group.held_step:
                await asyncio.sleep(0.01)
                assert loop.time() - began_at < 2.0
            rank_group.shift_demand(0.8)
            await asyncio.sleep(1.0)

    run_scenario(scenario, seed)


def test_reformed_group_gets_new_maps() -> None:
    async def scenario(group: SimulatedGroup) -> None:
        for _ in range(3):
            await wait_for_held_pass(group)
            group.rank_group.reform()
            await asyncio.sleep(3.0)
            assert group.rank_group.compute_skew() < 1.6

    run_scenario(scenario)


def test_passes_continue_without_leader() -> None:
    async def scenario(group: SimulatedGroup) -> None:
        await asyncio.sleep(2.0)
        while group.rank_group.held_step:
            await asyncio.sleep(0.005)
        group.stop_leader()
        step_before = group.rank_group.step
        await asyncio.sleep(2.0)
        assert group.rank_group.step > step_before + 10

    run_scenario(scenario)


def test_plan_keeps_all_experts_within_rank_limits() -> None:
    rng = random.Random(3)
    current = [[[e for e in range(16) if e % 4 == r] for r in range(4)]] * 3
    for _ in range(30):
        expert_demand = [rng.random() ** 6 for _ in range(48)]
        plan = expertplan.plan_map(expert_demand, current, GROUP_SHAPE, 2)
        if plan is None:
            continue
        assert plan.skew_after < plan.skew_before
        for old, new in zip(current, plan.experts, strict=True):
            assert {e for held in new for e in held} == set(range(16))
            for before, after in zip(old, new, strict=True):
                assert len(after) == len(set(after)) <= GROUP_SHAPE.max_experts_per_rank
                assert len(set(after) - set(before)) <= GROUP_SHAPE.max_added_per_rank
        copies = [
            sum(
                len(set(new[r]) - set(old[r]))
                for old, new in zip(current, plan.experts, strict=True)
            )
            for r in range(4)
        ]
        assert max(copies) <= 2
        current = plan.experts


@pytest.mark.parametrize("seed", range(4))
def test_plan_leaves_out_the_last_copies_that_save_little(seed: int) -> None:
    rng = random.Random(seed)
    shape = expertplan.GroupShape((1.0,) * 12, 96, 11, 4, 0.85, 0.02)
    by_rank = [[e for e in range(96) if e % 12 == r] for r in range(12)]
    demand = [rng.paretovariate(1.2) for _ in range(3 * 96)]
    current = [by_rank] * 3
    plan = expertplan.plan_map(demand, current, shape, 4)
    assert plan is not None
    placements = [
        expertplan.LayerSetPlacement(demand[n * 96 : (n + 1) * 96], by_rank, shape)
        for n in range(3)
    ]
    found = expertplan.find_copies(placements, shape, 4)
    all_saved = plan.skew_before - expertplan.compute_mean_skew(placements)
    assert plan.skew_before - plan.skew_after >= 0.9 * all_saved - 1e-6
    assert 0 < plan.copies < 0.9 * len(found)
    planned = expertplan.compute_skew(demand, plan.experts, shape)
    assert planned == pytest.approx(plan.skew_after)


def test_copies_that_raise_the_skew_are_not_made() -> None:
    """Guards against a leader that ends by an exception of its planner."""
    copies = [expertplan.Copy(0, 1, 2, -1, skew) for skew in (1.32, 1.31)]
    assert expertplan.choose_copies(copies, 1.3) == []
    assert expertplan.choose_copies([], 1.3) == []
    assert expertplan.choose_copies(copies, 1.4) != []


def test_even_demand_needs_no_new_map() -> None:
    current = [[[e for e in range(16) if e % 4 == r] for r in range(4)]] * 3
    assert expertplan.plan_map([1.0] * 48, current, GROUP_SHAPE, 2) is None


def test_slow_rank_gets_less_load() -> None:
    current = [[[e for e in range(16) if e % 4 == r] for r in range(4)]]
    shape = expertplan.GroupShape((1.0, 1.0, 1.0, 3.0), 16, 6, 2, 0.85, 0.0)
    plan = expertplan.plan_map([1.0] * 16, current, shape, 2)
    assert plan is not None
    placement = expertplan.LayerSetPlacement([1.0] * 16, plan.experts[0], shape)
    assert placement.loads[3] < min(placement.loads[:3])


def test_demand_decays_and_resets_in_new_epoch() -> None:
    demand = expertdemand.ExpertDemand()
    demand.record_counts(0.0, 1, [100, 0])
    demand.record_counts(0.1, 1, [200, 0])
    assert demand.fast_counts == [100.0, 0.0]
    demand.record_counts(2.0, 1, [200, 50])
    assert demand.fast_counts[1] == 50.0
    assert demand.fast_counts[0] < 1.0
    demand.record_counts(2.1, 2, [0, 0])
    assert demand.fast_counts == [0.0, 0.0]
    total = expertdemand.sum_packed([(b"\x20", 3.0), (b"\x0f", 1.0), (b"", 0.0)])
    assert total == [6.0, 15.0]


def test_small_demand_survives_packing_in_sum_over_ranks() -> None:
    # Each of 400 ranks chooses one expert 100 times and another 2 times. The smaller
    # count is a third of one packing level, so it survives only by random rounding.
    rng = random.Random(5)
    demand = expertdemand.ExpertDemand()
    demand.record_counts(0.0, 1, [0, 0, 0])
    demand.record_counts(0.1, 1, [100, 2, 0])
    demand_estimate = demand.estimate()
    assert demand_estimate[1] == pytest.approx(demand_estimate[0] / 50)
    total = expertdemand.sum_packed([demand.pack(rng.random) for _ in range(400)])
    assert total[0] == pytest.approx(400 * demand_estimate[0])
    assert total[1] == pytest.approx(400 * demand_estimate[1], rel=0.15)
    assert total[2:] == [0.0, 0.0]


def make_rank_views(**changes: int) -> list[mapswitch.RankView]:
    """Return views of two idle ranks; ``changes`` apply to the first, the gate."""
    idle = mapswitch.RankView(1, True, 10, 0, 0, 0, 0, 0)
    return [_replace_fields(idle, changes), idle]


def _replace_fields(
    view: mapswitch.RankView, changes: dict[str, int]
) -> mapswitch.RankView:
    """Return a copy of a view with some fields replaced."""
    fields = {name: getattr(view, name) for name in view.__slots__}
    return mapswitch.RankView(**(fields | changes))


def test_existing_hold_is_used_for_switch_before_release() -> None:
    coordinator = mapswitch.SwitchCoordinator(2)
    views = make_rank_views(held_step=12)
    assert not coordinator.decide(0.0, views)
    assert coordinator.must_begin(views)
    coordinator.begin_switch(0.0, 1, 5)
    kinds = [order.kind for order in coordinator.decide(0.0, views)]
    assert kinds == [mapswitch.OrderKind.PREPARE] * 2
    prepared = [_replace_fields(view, {"prepared": 5}) for view in views]
    kinds = [order.kind for order in coordinator.decide(0.1, prepared)]
    assert kinds == [mapswitch.OrderKind.ARM] * 2
    armed = [_replace_fields(view, {"armed": 5, "armed_step": 12}) for view in prepared]
    orders = coordinator.decide(0.2, armed)
    assert [(order.kind, order.step) for order in orders] == [
        (mapswitch.OrderKind.RELEASE, 12)
    ]


def test_long_term_demand_counts_and_survives_engine_restart() -> None:
    # For 20 s, experts 0 and 1 are chosen alternately for 2 s each, expert 2 never.
    demand = expertdemand.ExpertDemand()
    counts_now = [0, 0, 0]
    for tenth in range(200):
        counts_now[tenth // 20 % 2] += 100
        demand.record_counts(tenth * 0.1, 1, list(counts_now))
    estimate = demand.estimate()
    # Expert 1 is in demand now, and expert 0 was until 2 s ago.
    assert estimate[1] > 2 * estimate[0] > 0.1 * estimate[1]
    assert estimate[2] == 0.0
    # The engine restarts with counts of 0; only the slow counts are kept.
    demand.record_counts(20.1, 2, [0, 0, 0])
    assert demand.fast_counts == [0.0, 0.0, 0.0]
    assert demand.estimate()[0] > 0.0
    assert demand.estimate()[1] > 0.0


def test_leader_updates_rank_hosts_in_new_epoch() -> None:
    # The sidecar of rank 0 is the last to report the new epoch, so the entry already
    # has the other ranks' reports when it replies.
    async def scenario(fleet: df.Fleet) -> None:
        entry = fleet.entries[0]
        state = engine.EngineState(0, 0, 1.0, 0, "g", 1, 0, 3, True, 5, 0, 0, 0, 0, 0)
        leader_sidecar = sidecarnode.SidecarNode(
            nodesettings.SidecarSettings(
                name="s0", host="s0", place="p", store="127.0.0.1:1",
                node_ports=(1, 1), target="127.0.0.1:1",
            ),
            rankgroup.RankEngine(rankgroup.RankGroup(3, 1), 0),
            catalogformat.PlatformStoreDecoder(),
            df.LoopClock(),
            random.Random(1),
        )  # fmt: skip

        async def report_all(epoch: int) -> None:
            leader_sidecar.state = dataclasses.replace(state, epoch=epoch)
            for rank in (1, 2):
                await entry.handle_request(
                    messages.Report(
                        f"s{rank}", f"t{rank}", True, 0, 0, 1.0, "g", epoch, rank, 3,
                        True, 1.0,
                    )
                )  # fmt: skip
            report = leader_sidecar.make_report("e0")
            reply = await entry.handle_request(report)
            assert isinstance(reply, messages.ReportReply)
            leader_sidecar.on_reply("e0", report.epoch, reply)

        await report_all(1)
        await report_all(1)
        assert leader_sidecar.get_rank_hosts() == {0: "s0", 1: "s1", 2: "s2"}
        await report_all(2)
        assert leader_sidecar.get_rank_hosts() == {0: "s0", 1: "s1", 2: "s2"}

    df.run_scenario(scenario)
