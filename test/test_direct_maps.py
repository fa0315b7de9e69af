"""Expert maps over real sidecars: one map in each pass, and a shorter pass."""

import asyncio
import collections.abc
import random
import typing

import pytest

from sardinesaddle.direct import (
    demand,
    expertplan,
    mapswitch,
    nodesettings,
    sidecarnode,
)
from sardinesaddle.platform import catalogformat
from sardinesaddle.standins import rankgroup
from test import directfleet as df

RANKS: typing.Final = 4
SHAPE: typing.Final = expertplan.Shape((1.0,) * RANKS, 16, 6, 2, 0.85, 0.148)


def make_engine_config() -> dict[str, object]:
    """Return the first configuration with the engines' model."""
    model = rankgroup.MODEL
    config = typing.cast("dict[str, typing.Any]", df.make_config())
    config["services"] = [
        {"name": "plain"},
        {
            "name": "engines",
            "engine": {
                "slots": model.slots,
                "sets": model.layer_sets,
                "experts": model.experts,
                "places": model.places,
                "spare": model.spare,
                "expert_share": model.expert_share,
                "expert_mb": 1700.0,
                "link_mbps": 92000.0,
            },
        },
    ]
    return config


class Group:
    """A lock-step group with its sidecars."""

    def __init__(self, fleet: df.Fleet, seed: int) -> None:
        self.fleet = fleet
        self.ranks = rankgroup.RankGroup(RANKS, seed)
        self.sidecars: dict[int, sidecarnode.SidecarNode] = {}

    async def start_sidecar(self, index: int) -> None:
        """Start the sidecar of a rank."""
        host = f"127.0.2.{index + 1}"
        port = self.fleet.entries[0]._cfg.node_port
        cfg = nodesettings.SidecarSettings(
            name=host,
            host=host,
            place="p",
            store="127.0.0.1:1",
            node_ports=(port, port),
            seeds=["127.0.1.1:1"],
            target=f"{host}:1",
            service="engines",
        )
        eng = rankgroup.RankEngine(self.ranks, index)
        codec = catalogformat.PlatformCodec()
        node = sidecarnode.SidecarNode(cfg, eng, codec, random.Random(index))
        await node.start()
        self.sidecars[index] = node

    async def stop_sidecar(self, index: int) -> None:
        """Kill the sidecar of a rank."""
        await self.sidecars.pop(index).stop()


def play(
    scenario: collections.abc.Callable[
        [Group], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
    seed: int = 1,
) -> None:
    """Run a scenario with a group at work."""

    async def run(fleet: df.Fleet) -> None:
        fleet.store.put("op/config", {**make_engine_config(), "version": 2})
        group = Group(fleet, seed)
        passes = asyncio.create_task(group.ranks.run())
        for index in range(RANKS):
            await group.start_sidecar(index)
        await scenario(group)
        assert not group.ranks.mixed_passes
        for index in list(group.sidecars):
            await group.stop_sidecar(index)
        passes.cancel()

    df.play(run)


def test_skew_falls_and_follows_demand() -> None:
    async def scenario(group: Group) -> None:
        before = group.ranks.compute_skew()
        await asyncio.sleep(4.0)
        assert group.ranks.compute_skew() < 0.6 * before
        group.ranks.shift(0.8)
        await asyncio.sleep(3.0)
        assert group.ranks.compute_skew() < 1.4
        assert group.ranks.held_s < 0.1

    play(scenario)


@pytest.mark.parametrize("seed", range(4))
def test_late_orders_never_mix_maps_nor_stop_the_group(seed: int) -> None:
    async def scenario(group: Group) -> None:
        group.ranks.late_share = 0.35
        for _ in range(5):
            await asyncio.sleep(3.0)
            group.ranks.shift(0.8)
        assert group.ranks.held_s < 3.0
        assert len(group.ranks.pass_times) > 60
        assert group.ranks.ranks[0].version > 0

    play(scenario, seed)


@pytest.mark.parametrize("seed", range(4))
def test_restarted_leader_ends_the_hold_that_it_finds(seed: int) -> None:
    async def scenario(group: Group) -> None:
        ranks = group.ranks
        loop = asyncio.get_running_loop()
        for _ in range(3):
            while not ranks.held_step:
                await asyncio.sleep(0.002)
            await asyncio.sleep(0.01 * ranks.rng.random())
            await group.stop_sidecar(0)
            await asyncio.sleep(0.5)
            began_at = loop.time()
            await group.start_sidecar(0)
            while ranks.held_step:
                await asyncio.sleep(0.01)
                assert loop.time() - began_at < 2.0
            ranks.shift(0.8)
            await asyncio.sleep(1.0)

    play(scenario, seed)


def test_group_that_forms_again_is_led_anew() -> None:
    async def scenario(group: Group) -> None:
        for _ in range(3):
            while not group.ranks.held_step:
                await asyncio.sleep(0.002)
            group.ranks.form_again()
            await asyncio.sleep(3.0)
            assert group.ranks.compute_skew() < 1.6

    play(scenario)


def test_group_without_the_leader_goes_on() -> None:
    async def scenario(group: Group) -> None:
        await asyncio.sleep(2.0)
        while group.ranks.held_step:
            await asyncio.sleep(0.005)
        await group.stop_sidecar(0)
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
        assert plan.after < plan.before
        for old, new in zip(current, plan.experts, strict=True):
            assert {e for held in new for e in held} == set(range(16))
            for before, after in zip(old, new, strict=True):
                assert len(after) == len(set(after)) <= SHAPE.places
                assert len(set(after) - set(before)) <= SHAPE.spare
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
    shape = expertplan.Shape((1.0, 1.0, 1.0, 3.0), 16, 6, 2, 0.85, 0.0)
    plan = expertplan.plan_map([1.0] * 16, current, shape, 2)
    assert plan is not None
    placed = expertplan.SetPlacement([1.0] * 16, plan.experts[0], shape)
    assert placed.loads[3] < min(placed.loads[:3])


def test_demand_forgets_and_starts_anew() -> None:
    one = demand.ExpertDemand()
    one.on_counts(0.0, 1, [100, 0])
    one.on_counts(0.1, 1, [200, 0])
    assert one.values == [100.0, 0.0]
    one.on_counts(2.0, 1, [200, 50])
    assert one.values[1] == 50.0
    assert one.values[0] < 1.0
    one.on_counts(2.1, 2, [0, 0])
    assert one.values == [0.0, 0.0]
    total = demand.sum_packed([(b"\x02\x00", 3.0), (b"\x00\xff", 1.0), (b"", 0.0)])
    assert total == [6.0, 255.0]


def make_views(**changes: int) -> list[mapswitch.RankView]:
    """Return the reports of two idle ranks, with changes to the gate's."""
    idle = mapswitch.RankView(1, True, 10, 0, 0, 0, 0, 0)
    return [_change(idle, changes), idle]


def _change(view: mapswitch.RankView, changes: dict[str, int]) -> mapswitch.RankView:
    """Return a report with other values."""
    fields = {name: getattr(view, name) for name in view.__slots__}
    return mapswitch.RankView(**(fields | changes))


def test_found_hold_is_used_and_not_released() -> None:
    leader = mapswitch.Leader(2)
    views = make_views(held_step=12)
    assert not leader.decide(0.0, views)
    assert leader.must_begin(views)
    leader.begin(0.0, 1, 5)
    kinds = [one.kind for one in leader.decide(0.0, views)]
    assert kinds == [mapswitch.OrderKind.PREPARE] * 2
    prepared = [_change(one, {"prepared": 5}) for one in views]
    kinds = [one.kind for one in leader.decide(0.1, prepared)]
    assert kinds == [mapswitch.OrderKind.ARM] * 2
    armed = [_change(one, {"armed": 5, "armed_step": 12}) for one in prepared]
    orders = leader.decide(0.2, armed)
    assert [(one.kind, one.step) for one in orders] == [(mapswitch.OrderKind.GO, 12)]
