"""Tests of groups of many ranks, whose leader has a slow link to the other hosts.

The leader, the relays and the rank agents are the real ones, on a virtual clock.
"""

import asyncio
import collections.abc
import dataclasses
import random
import typing

import pytest

from sardinesaddle.direct import (
    engine,
    groupleader,
    messages,
    nodemetrics,
    orderrelay,
    rankagent,
    sidecarnode,
)
from sardinesaddle.standins import loopdriver, rankgroup
from test import test_direct_maps as maps
from test import test_direct_reports as reports

RANK_COUNT: typing.Final = 96
LINK_BYTES_PER_S: typing.Final = 3e6 / 8  # of each sidecar's host, both ways
# Each rank holds two of 192 experts in map 0, and may hold one more.
MODEL: typing.Final = dataclasses.replace(
    rankgroup.ENGINE_MODEL,
    layer_sets=16,
    experts_per_set=192,
    max_experts_per_rank=3,
    max_added_per_rank=1,
    copy_s_per_expert=0.018,
)
CALL_S: typing.Final = 0.004  # the way to another host and back, and the handling
SHIFT_PERIOD_S: typing.Final = 6.0  # between the users' shifts of demand


class Link:
    """Carries messages in one direction, one after the other."""

    def __init__(self) -> None:
        self.carried_bytes = 0
        self._free_at = 0.0

    async def carry(self, msg: messages.Request | messages.Reply) -> None:
        """Wait until a message has passed; a caller that gives up frees nothing."""
        loop = asyncio.get_running_loop()
        size = len(messages.ENCODER.encode(msg))
        self.carried_bytes += size
        self._free_at = max(self._free_at, loop.time()) + size / LINK_BYTES_PER_S
        await asyncio.sleep(self._free_at - loop.time())


class LargeRankGroup(rankgroup.RankGroup):
    """Ranks with many experts, of which no few get most of the demand."""

    def shift_demand(self, share: float) -> None:
        """Replace a share of the demand in each layer set by a new random one."""
        old = self.demand
        self.demand = []
        for index in range(self.model.layer_sets):
            weights = [self.rng.expovariate(1.0) for _ in self._list_experts()]
            total = sum(weights)
            new = [weight / total for weight in weights]
            known = old[index] if old else new
            pairs = zip(known, new, strict=True)
            self.demand.append([(1 - share) * a + share * b for a, b in pairs])

    def _list_experts(self) -> range:
        """Return the experts of a set."""
        return range(self.model.experts_per_set)


class LargeGroup(maps.SimulatedGroup):
    """A group whose sidecars are connected by slow links.

    The next ``orders_to_lose`` orders to prepare a map that the leader sends are lost.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.rank_group = LargeRankGroup(RANK_COUNT, seed, MODEL)
        self._gate_engine = rankgroup.RankEngine(self.rank_group, 0)
        self.agents = {
            index: rankagent.RankAgent(
                rank_engine,
                nodemetrics.SidecarMetrics(str(index)),
                random.Random(index),
            )
            for index, rank_engine in enumerate(self.rank_group.make_engines())
        }
        self.links_out = [Link() for _ in range(RANK_COUNT)]
        self.links_in = [Link() for _ in range(RANK_COUNT)]
        self.orders_to_lose = 0
        self._relays = [
            orderrelay.OrderRelay(self._make_call(rank)) for rank in range(RANK_COUNT)
        ]

    def get_rank_hosts(self) -> dict[int, str]:
        """Return a host for each rank, which is the rank's number."""
        return {index: str(index) for index in range(RANK_COUNT)}

    def _make_call(self, source: int) -> orderrelay.Call:
        """Return the call with which a rank's sidecar passes orders on."""

        async def call(host: str, msg: messages.Request) -> messages.Reply | None:
            return await self.call(source, int(host), msg)

        return call

    async def call(
        self, source: int, rank: int, msg: messages.Request
    ) -> messages.Reply | None:
        """Call a rank's sidecar from another one, as ``rpc.Peer`` does."""
        try:
            async with asyncio.timeout(groupleader.CALL_TIMEOUT_S):
                await self.links_out[source].carry(msg)
                is_prepare = isinstance(msg, messages.OrderRank) and msg.experts
                if is_prepare and not source and self.orders_to_lose:
                    self.orders_to_lose -= 1
                    await asyncio.sleep(groupleader.CALL_TIMEOUT_S)
                await asyncio.sleep(CALL_S)
                if isinstance(msg, messages.OrderRank):
                    self._relays[rank].start(msg)
                agent = self.agents[rank]
                reply = await sidecarnode.handle_leader_request(agent, msg)
                if reply is not None:
                    await self.links_in[source].carry(reply)
                return reply
        except TimeoutError:
            return None

    def start_leader(self) -> None:
        """Start a leader that calls over the links."""
        loop = asyncio.get_running_loop()
        leader = LinkedLeader(
            self, self.agents[0], self.metrics, 0, random.Random(self.rank_group.step)
        )
        leader.group = self
        self._tasks = [
            loop.create_task(leader.run()),
            loop.create_task(self.poll_engines()),
        ]


class LinkedLeader(groupleader.GroupLeader):
    """A leader that calls the other sidecars over its link."""

    group: LargeGroup

    async def _ask(self, host: str, msg: messages.Request) -> messages.Reply | None:
        """Return the reply of a rank's sidecar."""
        return await self.group.call(0, int(host), msg)


def run_scenario(
    scenario: collections.abc.Callable[
        [LargeGroup], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
) -> None:
    """Run a scenario with a running group; check that no pass mixed maps."""
    driver = loopdriver.LoopDriver(is_clock_virtual=True, loopback_delay_s=0.0)

    async def run() -> None:
        group = LargeGroup(1)
        passes_task = asyncio.get_running_loop().create_task(group.rank_group.run())
        group.start_leader()
        await scenario(group)
        group.stop_leader()
        passes_task.cancel()
        assert not group.rank_group.mixed_passes

    driver.run(run())


# Guards against groups of many ranks that never get a map: all replies at once took
# longer on the leader's link than the time limit of a call.
def test_group_of_many_ranks_gets_a_map_before_demand_shifts_again() -> None:
    async def scenario(group: LargeGroup) -> None:
        skew = group.rank_group.compute_skew()
        await asyncio.sleep(SHIFT_PERIOD_S)
        assert group.rank_group.ranks[0].map_version > 0
        assert group.rank_group.compute_skew() < skew

    run_scenario(scenario)


def test_group_gets_a_map_though_orders_to_relays_are_lost() -> None:
    async def scenario(group: LargeGroup) -> None:
        group.orders_to_lose = 3
        await asyncio.sleep(SHIFT_PERIOD_S)
        assert not group.orders_to_lose
        assert group.rank_group.ranks[0].map_version > 0

    run_scenario(scenario)


def test_leader_sends_a_map_to_few_ranks() -> None:
    async def scenario(group: LargeGroup) -> None:
        await asyncio.sleep(SHIFT_PERIOD_S)
        sizes = [link.carried_bytes for link in group.links_out]
        assert group.rank_group.ranks[0].map_version > 0
        assert sizes[0] < LINK_BYTES_PER_S * SHIFT_PERIOD_S / 4

    run_scenario(scenario)


@pytest.mark.parametrize("rank_count", [17, 95, 255])
def test_each_host_gets_an_order_once(rank_count: int) -> None:
    hosts = [str(rank) for rank in range(1, rank_count + 1)]
    parts = orderrelay.split_among_relays(hosts)
    reached = [host for relay, others in parts for host in (relay, *others)]
    assert sorted(reached) == sorted(hosts)
    most = max(len(others) for _, others in parts)
    assert max(len(parts), most) <= 2 * rank_count**0.5


class CountingEngine(rankgroup.RankEngine):
    """An engine that counts how often its expert counts are read."""

    reads = 0

    async def read_counts(self) -> engine.ExpertCounts | engine.EngineFault:
        """Return the expert counts."""
        self.reads += 1
        return await super().read_counts()


# The counts of a large group are long, and its leader asks for them less often.
@pytest.mark.parametrize(("size", "most"), [(8, 10), (96, 2)])
def test_expert_counts_are_read_as_often_as_the_leader_asks(
    size: int, most: int
) -> None:
    async def run() -> None:
        client = CountingEngine(rankgroup.RankGroup(size, 1), 1)
        sidecar = reports.make_sidecar(client, [])
        await sidecar.start()
        await asyncio.sleep(5.0)
        await sidecar.stop()
        assert 5 <= client.reads <= most * 5 + 1

    loopdriver.LoopDriver(is_clock_virtual=True).run(run())
