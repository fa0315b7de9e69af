"""Expert maps: one map in each pass, and shorter passes, on a paused clock.

The leader and the desks are those that run; only the connections between sidecars
are left out.
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

RANKS: typing.Final = 4
SHAPE: typing.Final = expertplan.GroupShape((1.0,) * RANKS, 16, 6, 2, 0.85, 0.148)
CALL_S: typing.Final = 0.004  # a call between sidecars and its answer


class Leader(groupleader.GroupLeader):
    """A leader that calls the other ranks' desks directly."""

    group: "Group"

    async def _ask(self, host: str, msg: messages.Request) -> messages.Reply | None:
        """Let a rank's desk answer, unless its sidecar is down."""
        await asyncio.sleep(CALL_S)
        desk = self.group.desks.get(int(host))
        if desk is None:
            return None
        return await sidecarnode.handle_leader_request(desk, msg)


class Group(groupleader.GroupContext):
    """A lock-step group, a desk for each rank, and a leader."""

    def __init__(self, seed: int) -> None:
        self.ranks = rankgroup.RankGroup(RANKS, seed)
        self.counts = nodemetrics.SidecarMetrics("leader")
        self.desks = {
            index: rankagent.RankAgent(
                one, nodemetrics.SidecarMetrics(str(index)), random.Random(index)
            )
            for index, one in enumerate(self.ranks.make_engines())
        }
        self._gate = rankgroup.RankEngine(self.ranks, 0)
        self._state: engine.EngineState | None = None
        self._tasks: list[asyncio.Task[None]] = []

    def get_state(self) -> engine.EngineState | None:
        """Return the gate's state."""
        return self._state

    def get_rank_hosts(self) -> dict[int, str]:
        """Return the ranks' numbers as their hosts."""
        return {index: str(index) for index in range(RANKS)}

    async def get_model(self) -> catalog.EngineModel | None:
        """Return the engines' model."""
        return self.ranks.model

    async def read_regularly(self) -> None:
        """Read what the sidecars read of their engines."""
        while True:
            got = await self._gate.read_state()
            self._state = got if isinstance(got, engine.EngineState) else None
            for desk in self.desks.values():
                await desk.read_demand()
            await asyncio.sleep(rankagent.DEMAND_POLL_S)

    def start_leader(self) -> None:
        """Start the leader's sidecar with nothing known."""
        loop = asyncio.get_running_loop()
        desk = rankagent.RankAgent(self._gate, self.counts, random.Random(0))
        self.desks[0] = desk
        leader = Leader(self, desk, self.counts, 0, random.Random(self.ranks.step))
        leader.group = self
        self._tasks = [
            loop.create_task(leader.run()),
            loop.create_task(self.read_regularly()),
        ]

    def stop_leader(self) -> None:
        """Kill the leader's sidecar."""
        for task in self._tasks:
            task.cancel()


def play(
    scenario: collections.abc.Callable[
        [Group], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
    seed: int = 1,
) -> None:
    """Run a scenario with a group at work; no pass may mix maps."""
    w = loopdriver.LoopDriver(is_clock_virtual=True, loopback_delay_s=0.0)

    async def run() -> None:
        group = Group(seed)
        passes = asyncio.get_running_loop().create_task(group.ranks.run())
        group.start_leader()
        await scenario(group)
        group.stop_leader()
        passes.cancel()
        assert not group.ranks.mixed_passes

    w.run(run())


async def wait_for_hold(group: Group) -> None:
    """Shift demand until the leader holds a pass."""
    loop = asyncio.get_running_loop()
    began_at = shifted_at = loop.time()
    while not group.ranks.held_step:
        await asyncio.sleep(0.002)
        assert loop.time() - began_at < 20.0
        if loop.time() - shifted_at > 1.0:
            group.ranks.shift_demand(0.8)
            shifted_at = loop.time()


def test_skew_falls_and_follows_demand() -> None:
    async def scenario(group: Group) -> None:
        before = group.ranks.compute_skew()
        await asyncio.sleep(4.0)
        assert group.ranks.compute_skew() < 0.6 * before
        group.ranks.shift_demand(0.8)
        await asyncio.sleep(3.0)
        assert group.ranks.compute_skew() < 1.4
        assert group.ranks.total_held_s < 0.1

    play(scenario)


@pytest.mark.parametrize("seed", range(4))
def test_late_orders_never_mix_maps_nor_stop_the_group(seed: int) -> None:
    async def scenario(group: Group) -> None:
        group.ranks.late_share = 0.35
        for _ in range(5):
            await asyncio.sleep(3.0)
            group.ranks.shift_demand(0.8)
        assert group.ranks.total_held_s < 3.0
        assert len(group.ranks.pass_durations_s) > 60
        assert group.ranks.ranks[0].map_version > 0

    play(scenario, seed)


@pytest.mark.parametrize("seed", range(4))
def test_restarted_leader_ends_the_hold_that_it_finds(seed: int) -> None:
    async def scenario(group: Group) -> None:
        ranks = group.ranks
        loop = asyncio.get_running_loop()
        for _ in range(3):
            await wait_for_hold(group)
            await asyncio.sleep(0.01 * ranks.rng.random())
            group.stop_leader()
            await asyncio.sleep(0.5)
            began_at = loop.time()
            group.start_leader()
            while ranks.held_step:
                await asyncio.sleep(0.01)
                assert loop.time() - began_at < 2.0
            ranks.shift_demand(0.8)
            await asyncio.sleep(1.0)

    play(scenario, seed)


def test_group_that_forms_again_is_led_anew() -> None:
    async def scenario(group: Group) -> None:
        for _ in range(3):
            await wait_for_hold(group)
            group.ranks.reform()
            await asyncio.sleep(3.0)
            assert group.ranks.compute_skew() < 1.6

    play(scenario)


def test_group_without_the_leader_goes_on() -> None:
    async def scenario(group: Group) -> None:
        await asyncio.sleep(2.0)
        while group.ranks.held_step:
            await asyncio.sleep(0.005)
        group.stop_leader()
        before = group.ranks.step
        await asyncio.sleep(2.0)
        assert group.ranks.step > before + 10

    play(scenario)


def test_plan_keeps_every_expert_and_the_bounds_of_ranks() -> None:
    rng = random.Random(3)
    current = [[[e for e in range(16) if e % 4 == r] for r in range(4)]] * 3
    for _ in range(30):
        wanted = [rng.random() ** 6 for _ in range(48)]
        plan = expertplan.plan_map(wanted, current, SHAPE, 2)
        if plan is None:
            continue
        assert plan.skew_after < plan.skew_before
        for old, new in zip(current, plan.experts, strict=True):
            assert {e for held in new for e in held} == set(range(16))
            for before, after in zip(old, new, strict=True):
                assert len(after) == len(set(after)) <= SHAPE.slots_per_rank
                assert len(set(after) - set(before)) <= SHAPE.max_added_per_rank
        copies = [
            sum(
                len(set(new[r]) - set(old[r]))
                for old, new in zip(current, plan.experts, strict=True)
            )
            for r in range(4)
        ]
        assert max(copies) <= 2
        current = plan.experts


def test_no_copy_is_made_for_even_demand() -> None:
    current = [[[e for e in range(16) if e % 4 == r] for r in range(4)]] * 3
    assert expertplan.plan_map([1.0] * 48, current, SHAPE, 2) is None


def test_slow_rank_is_given_less() -> None:
    current = [[[e for e in range(16) if e % 4 == r] for r in range(4)]]
    shape = expertplan.GroupShape((1.0, 1.0, 1.0, 3.0), 16, 6, 2, 0.85, 0.0)
    plan = expertplan.plan_map([1.0] * 16, current, shape, 2)
    assert plan is not None
    placed = expertplan.LayerSetPlacement([1.0] * 16, plan.experts[0], shape)
    assert placed.loads[3] < min(placed.loads[:3])


def test_demand_forgets_and_starts_anew() -> None:
    one = expertdemand.ExpertDemand()
    one.record_counts(0.0, 1, [100, 0])
    one.record_counts(0.1, 1, [200, 0])
    assert one.fast_counts == [100.0, 0.0]
    one.record_counts(2.0, 1, [200, 50])
    assert one.fast_counts[1] == 50.0
    assert one.fast_counts[0] < 1.0
    one.record_counts(2.1, 2, [0, 0])
    assert one.fast_counts == [0.0, 0.0]
    total = expertdemand.sum_packed([(b"\x20", 3.0), (b"\x0f", 1.0), (b"", 0.0)])
    assert total == [6.0, 15.0]


def test_small_demand_counts_in_the_sum_over_ranks() -> None:
    # Each of 400 ranks sees one expert 100 times and another 2 times, which is a
    # third of a level.
    rng = random.Random(5)
    one = expertdemand.ExpertDemand()
    one.record_counts(0.0, 1, [0, 0, 0])
    one.record_counts(0.1, 1, [100, 2, 0])
    wanted = one.estimate()
    assert wanted[1] == pytest.approx(wanted[0] / 50)
    total = expertdemand.sum_packed([one.pack(rng.random) for _ in range(400)])
    assert total[0] == pytest.approx(400 * wanted[0])
    assert total[1] == pytest.approx(400 * wanted[1], rel=0.15)
    assert total[2:] == [0.0, 0.0]


def make_views(**changes: int) -> list[mapswitch.RankView]:
    """Return the reports of two idle ranks, with changes to the gate's."""
    idle = mapswitch.RankView(1, True, 10, 0, 0, 0, 0, 0)
    return [_change(idle, changes), idle]


def _change(view: mapswitch.RankView, changes: dict[str, int]) -> mapswitch.RankView:
    """Return a report with other values."""
    fields = {name: getattr(view, name) for name in view.__slots__}
    return mapswitch.RankView(**(fields | changes))


def test_found_hold_is_used_and_not_released() -> None:
    leader = mapswitch.SwitchCoordinator(2)
    views = make_views(held_step=12)
    assert not leader.decide(0.0, views)
    assert leader.must_begin(views)
    leader.begin_switch(0.0, 1, 5)
    kinds = [one.kind for one in leader.decide(0.0, views)]
    assert kinds == [mapswitch.OrderKind.PREPARE] * 2
    prepared = [_change(one, {"prepared": 5}) for one in views]
    kinds = [one.kind for one in leader.decide(0.1, prepared)]
    assert kinds == [mapswitch.OrderKind.ARM] * 2
    armed = [_change(one, {"armed": 5, "armed_step": 12}) for one in prepared]
    orders = leader.decide(0.2, armed)
    assert [(one.kind, one.step) for one in orders] == [
        (mapswitch.OrderKind.RELEASE, 12)
    ]


def test_what_usually_is_in_demand_counts_and_outlives_the_engine() -> None:
    # For 20 s experts 0 and 1 take turns of 2 s; expert 2 is never chosen.
    one = expertdemand.ExpertDemand()
    counts_now = [0, 0, 0]
    for tenth in range(200):
        counts_now[tenth // 20 % 2] += 100
        one.record_counts(tenth * 0.1, 1, list(counts_now))
    estimate = one.estimate()
    # Expert 1 is in demand now; expert 0 will be again.
    assert estimate[1] > 2 * estimate[0] > 0.1 * estimate[1]
    assert estimate[2] == 0.0
    # The engine starts again and has counted nothing yet.
    one.record_counts(20.1, 2, [0, 0, 0])
    assert one.fast_counts == [0.0, 0.0, 0.0]
    assert one.estimate()[0] > 0.0
    assert one.estimate()[1] > 0.0


def test_leader_learns_its_ranks_anew_in_a_new_epoch() -> None:
    # The sidecar of rank 0 is the last one that reports the new epoch.
    async def scenario(fleet: df.Fleet) -> None:
        entry = fleet.entries[0]
        state = engine.EngineState(0, 0, 1.0, 0, "g", 1, 0, 3, True, 5, 0, 0, 0, 0, 0)
        leading = sidecarnode.SidecarNode(
            nodesettings.SidecarSettings(
                name="s0", host="s0", place="p", store="127.0.0.1:1",
                node_ports=(1, 1), target="127.0.0.1:1",
            ),
            rankgroup.RankEngine(rankgroup.RankGroup(3, 1), 0),
            catalogformat.PlatformStoreDecoder(),
            random.Random(1),
        )  # fmt: skip

        async def report_all(epoch: int) -> None:
            leading.state = dataclasses.replace(state, epoch=epoch)
            for rank in (1, 2):
                await entry.handle_request(
                    messages.Report(
                        f"s{rank}", f"t{rank}", True, 0, 0, 1.0, "g", epoch, rank, 3,
                        True, 1.0,
                    )
                )  # fmt: skip
            report = leading.make_report("e0")
            reply = await entry.handle_request(report)
            assert isinstance(reply, messages.ReportReply)
            leading.on_reply("e0", report.epoch, reply)

        await report_all(1)
        await report_all(1)
        assert leading.get_rank_hosts() == {0: "s0", 1: "s1", 2: "s2"}
        await report_all(2)
        assert leading.get_rank_hosts() == {0: "s0", 1: "s1", 2: "s2"}

    df.play(scenario)
