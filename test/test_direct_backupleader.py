"""Tests of backup leaders: a group is not held for long when its leader is lost.

Leader, backups and rank agents are the real ones, on a virtual clock. A suspended host
stops before and after each of its calls, so that it continues with what it had read.
"""

import asyncio
import collections.abc
import random
import typing

import pytest

from sardinesaddle.direct import (
    backupleader,
    catalog,
    engine,
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
MAX_HELD_S: typing.Final = 0.5  # users' bound, beyond a pass
CALL_S: typing.Final = 0.004  # a call to another host and its response


class SimulatedHost:
    """The host of a rank's sidecar, which may be suspended."""

    def __init__(self) -> None:
        self.is_running = asyncio.Event()
        self.is_running.set()
        self.delay_s = 0.0

    async def wait(self) -> None:
        """Wait while the host is suspended, and for its delay."""
        await asyncio.sleep(self.delay_s)
        await self.is_running.wait()


class HostedEngine(engine.Engine):
    """The client of a rank's engine in the sidecar of a host."""

    def __init__(self, group: "BackupGroup", rank: int, host: SimulatedHost) -> None:
        self._group = group
        self._rank = rank
        self._host = host
        self._client = rankgroup.RankEngine(group.ranks, rank)

    async def read_state(self) -> engine.EngineState | engine.EngineFault:
        """Read the state; count the read if the engine is on another host."""
        await self._enter()
        state = await self._client.read_state()
        await self._host.wait()
        return state

    async def read_counts(self) -> engine.ExpertCounts | engine.EngineFault:
        """Read the expert counts."""
        await self._enter()
        return await self._client.read_counts()

    async def read_experts(self) -> engine.RankExperts | engine.EngineFault:
        """Read the experts."""
        await self._enter()
        return await self._client.read_experts()

    async def send_order(self, order: engine.EngineOrder) -> int | engine.EngineFault:
        """Send an order."""
        await self._enter()
        status = await self._client.send_order(order)
        await self._host.wait()
        return status

    async def _enter(self) -> None:
        """Wait for the host and the way to the engine."""
        await self._host.wait()
        if self._host is not self._group.hosts[self._rank]:
            self._group.remote_calls += 1
            await asyncio.sleep(CALL_S)


class RankContext(groupleader.GroupContext, backupleader.BackupContext):
    """The sidecar of a rank, as its leader or backup leader uses it."""

    def __init__(self, group: "BackupGroup", rank: int) -> None:
        self._group = group
        self._host = group.hosts[rank]
        self._engine = HostedEngine(group, rank, self._host)
        self.agent = rankagent.RankAgent(
            self._engine, group.metrics[rank], random.Random(rank)
        )
        self._state: engine.EngineState | None = None

    def get_state(self) -> engine.EngineState | None:
        """Return the last state read."""
        return self._state

    def get_rank_hosts(self) -> dict[int, str]:
        """Return the ranks' numbers as their hosts."""
        return {rank: str(rank) for rank in range(RANK_COUNT)}

    def get_rank_targets(self) -> dict[int, str]:
        """Return the ranks' numbers as their engines' addresses."""
        return self.get_rank_hosts()

    def connect_engine(self, address: str) -> engine.Engine:
        """Return a client of another rank's engine."""
        return HostedEngine(self._group, int(address), self._host)

    async def get_model(self) -> catalog.EngineModel | None:
        """Return the model of the group's engines."""
        await self._host.wait()
        return self._group.ranks.model

    async def poll_engine(self) -> None:
        """Read the engine periodically, as sidecars do."""
        while True:
            state = await self._engine.read_state()
            self._state = state if isinstance(state, engine.EngineState) else None
            await self.agent.read_demand()
            await asyncio.sleep(sidecarnode.ENGINE_READ_PERIOD_S)


class InProcessLeader(groupleader.GroupLeader):
    """A leader that calls the sidecars of the other ranks directly."""

    group: "BackupGroup"

    async def _ask(self, host: str, msg: messages.Request) -> messages.Reply | None:
        """Return the reply of a rank's sidecar."""
        return await self.group.call(0, int(host), msg, groupleader.CALL_TIMEOUT_S)


class InProcessBackup(backupleader.BackupLeader):
    """A backup leader that calls the sidecars of the other ranks directly."""

    group: "BackupGroup"
    rank: int

    async def _call(
        self, host: str, msg: messages.Request, timeout_s: float
    ) -> messages.Reply | None:
        """Return the reply of a rank's sidecar."""
        return await self.group.call(self.rank, int(host), msg, timeout_s)


class BackupGroup:
    """A simulated group with a sidecar for each rank, a leader and backup leaders."""

    def __init__(self, seed: int) -> None:
        self.ranks = rankgroup.RankGroup(RANK_COUNT, seed)
        self.hosts = [SimulatedHost() for _ in range(RANK_COUNT)]
        self.metrics = [nodemetrics.SidecarMetrics(str(r)) for r in range(RANK_COUNT)]
        self.contexts = [RankContext(self, rank) for rank in range(RANK_COUNT)]
        self.remote_calls = 0
        self.is_leader_cut_off = False
        self.tasks: list[asyncio.Task[typing.Any]] = []

    def start(self, has_backup: bool = True) -> None:
        """Start the passes, all sidecars, the leader and the backup leaders."""
        loop = asyncio.get_running_loop()
        coros = [self.ranks.run(), *(c.poll_engine() for c in self.contexts)]
        leader = InProcessLeader(
            self.contexts[0], self.contexts[0].agent, self.metrics[0], 0,
            self.ranks.rng, has_backup,
        )  # fmt: skip
        leader.group = self
        coros.append(leader.run())
        for rank in range(1, RANK_COUNT if has_backup else 1):
            context = self.contexts[rank]
            backup = InProcessBackup(
                context, context.agent, self.metrics[rank], 0, self.ranks.rng
            )
            backup.group, backup.rank = self, rank
            coros.append(backup.run())
        self.tasks += [loop.create_task(coro) for coro in coros]

    async def call(
        self, source: int, rank: int, msg: messages.Request, timeout_s: float
    ) -> messages.Reply | None:
        """Call a sidecar; one that is suspended serves the request when it resumes."""
        await self.hosts[source].wait()
        if source == 0 and self.is_leader_cut_off:
            await asyncio.sleep(timeout_s)
            return None
        await asyncio.sleep(CALL_S)

        async def serve() -> messages.Reply | None:
            await self.hosts[rank].wait()
            agent = self.contexts[rank].agent
            return await sidecarnode.handle_leader_request(agent, msg)

        task = asyncio.get_running_loop().create_task(serve())
        self.tasks.append(task)
        await asyncio.wait([task], timeout=timeout_s)
        await self.hosts[source].wait()
        return task.result() if task.done() else None

    def count_takeovers(self) -> int:
        """Return how many holds backup leaders acted on."""
        return sum(
            line.startswith("sardinesaddle_backup_takeovers_total{")
            for metrics in self.metrics
            for line in metrics.render()[0].decode().splitlines()
        )

    def count_armed(self) -> int:
        """Return how many ranks are armed for the held pass."""
        held = self.ranks.held_step
        return sum(rank.armed_step == held for rank in self.ranks.ranks)


def is_held_unarmed(group: BackupGroup) -> bool:
    """Return whether a pass is held and no rank is armed."""
    return bool(group.ranks.held_step) and group.count_armed() == 0


def is_held_partly_armed(group: BackupGroup) -> bool:
    """Return whether a pass is held and some ranks are armed."""
    return bool(group.ranks.held_step) and 0 < group.count_armed() < RANK_COUNT


def is_held_armed(group: BackupGroup) -> bool:
    """Return whether a pass is held and all ranks are armed."""
    return bool(group.ranks.held_step) and group.count_armed() == RANK_COUNT


def run_scenario(
    scenario: collections.abc.Callable[
        [BackupGroup], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
    seed: int = 1,
    has_backup: bool = True,
) -> None:
    """Run a scenario with a running group; check that no pass mixed maps."""

    async def run() -> None:
        group = BackupGroup(seed)
        group.start(has_backup)
        await scenario(group)
        for task in group.tasks:
            task.cancel()
        assert not group.ranks.mixed_passes

    loopdriver.LoopDriver(is_clock_virtual=True, loopback_delay_s=0.0).run(run())


async def wait_until(
    group: BackupGroup, is_reached: collections.abc.Callable[[BackupGroup], bool]
) -> None:
    """Shift demand once a second until a condition holds; fail after 30 s."""
    for count in range(1, 60_000):
        if is_reached(group):
            return
        await asyncio.sleep(0.0005)
        if count % 2000 == 0:
            group.ranks.shift_demand(0.8)
    raise AssertionError("the condition was not reached")


def make_version_check(
    group: BackupGroup,
) -> collections.abc.Callable[[BackupGroup], bool]:
    """Return a condition that holds once rank 0 has another map than now."""
    version = group.ranks.ranks[0].map_version
    return lambda g: g.ranks.ranks[0].map_version != version


def connect_none(address: str) -> engine.Engine:
    """Fail, since no engine of another host is read in the test."""
    raise AssertionError(address)


async def suspend(group: BackupGroup, ranks: list[int], seconds: float) -> float:
    """Suspend hosts for some seconds; return for how long passes were held then."""
    held_before_s = group.ranks.total_held_s
    for rank in ranks:
        group.hosts[rank].is_running.clear()
    await asyncio.sleep(seconds)
    is_held = group.ranks.held_step == group.ranks.step + 1
    held_s = group.ranks.total_held_s - held_before_s
    for rank in ranks:
        group.hosts[rank].is_running.set()
    return seconds if is_held else held_s


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "is_reached", [is_held_unarmed, is_held_partly_armed, is_held_armed]
)
@pytest.mark.parametrize("lost", [[0], [0, 1], [0, 2]])
def test_group_is_not_held_for_a_suspended_leader(
    lost: list[int],
    is_reached: collections.abc.Callable[[BackupGroup], bool],
    seed: int,
) -> None:
    # A leader suspended for 4 s between hold and go stopped its group for 4.0 s.
    async def scenario(group: BackupGroup) -> None:
        for seconds in (4.0, 1.5):
            await wait_until(group, is_reached)
            assert await suspend(group, lost, seconds) < MAX_HELD_S
            has_new_map = make_version_check(group)
            await wait_until(group, has_new_map)

    run_scenario(scenario, seed)


def test_group_is_not_held_for_a_leader_that_reaches_no_rank() -> None:
    # Its sidecar still responds, so the backup gives it more time.
    async def scenario(group: BackupGroup) -> None:
        await wait_until(group, is_held_unarmed)
        held_before_s = group.ranks.total_held_s
        group.is_leader_cut_off = True
        await asyncio.sleep(2.0)
        assert 0.0 < group.ranks.total_held_s - held_before_s < MAX_HELD_S
        assert group.ranks.held_step == 0
        assert group.count_takeovers() == 1
        group.is_leader_cut_off = False
        await wait_until(group, make_version_check(group))

    run_scenario(scenario)


def test_leader_that_is_lost_after_release_is_not_replaced() -> None:
    async def scenario(group: BackupGroup) -> None:
        await wait_until(group, is_held_armed)
        await wait_until(group, lambda g: not g.ranks.held_step)
        step = group.ranks.step
        assert await suspend(group, [0], 3.0) < 0.1
        assert group.ranks.step > step + 10
        assert group.count_takeovers() == 0

    run_scenario(scenario)


def test_working_or_slow_leader_is_not_replaced() -> None:
    # Calls to engines of other hosts are priced.
    async def scenario(group: BackupGroup) -> None:
        for delay_s in (0.0, 0.005, 0.01):
            group.hosts[0].delay_s = delay_s
            for _ in range(5):
                group.ranks.shift_demand(0.8)
                await asyncio.sleep(2.0)
        assert group.ranks.ranks[0].map_version
        assert group.count_takeovers() == 0
        assert group.remote_calls == 0

    run_scenario(scenario)


@pytest.mark.parametrize("seed", range(6))
def test_two_leaders_with_late_orders_never_mix_maps(seed: int) -> None:
    # Leaders and backups stop anywhere and continue with what they had read.
    async def scenario(group: BackupGroup) -> None:
        group.ranks.late_share = 0.35
        rng = random.Random(seed)
        for _ in range(8):
            await wait_until(group, lambda g: bool(g.ranks.held_step))
            await asyncio.sleep(rng.random() * 0.1)
            lost = [0, rng.choice([1, 2, 3])] if rng.random() < 0.5 else [0]
            await suspend(group, lost, rng.uniform(0.2, 6.0))
        step = group.ranks.step
        await asyncio.sleep(4.0)
        assert group.ranks.step > step

    run_scenario(scenario, seed)


def make_views(**changes: int) -> list[mapswitch.RankView]:
    """Return equal views of two ranks of an open group."""
    fields = {"step": 10, "map_version": 3, "prepared": 5, "armed": 0}
    fields |= {"armed_step": 0, "held_step": 0} | changes
    return [mapswitch.RankView(epoch=1, is_open=True, **fields)] * 2


@pytest.mark.parametrize("phase", ["holding", "arming", "releasing"])
def test_leader_that_returns_ends_a_completed_switch(phase: str) -> None:
    # It would hold another pass, which an engine without a prepared map never leaves.
    coordinator = mapswitch.SwitchCoordinator(2)
    coordinator.attempt = mapswitch.SwitchAttempt(1, 5, 9, mapswitch.Phase(phase), 0.0)
    older, newer = make_views(), make_views(map_version=5)
    assert not coordinator.decide(0.0, [newer[0], older[1]]) or phase == "arming"
    assert coordinator.attempt is not None
    assert not coordinator.decide(0.0, newer)
    assert coordinator.attempt is None
    assert coordinator.outcome == "switched"


def test_versions_rise_although_no_rank_has_seen_the_last_one() -> None:
    # A late prepare of an abandoned switch replaced the map of the next one otherwise.
    coordinator = mapswitch.SwitchCoordinator(2)
    first = coordinator.choose_version(make_views(), 0.9)
    coordinator.begin_switch(0.0, 1, first)
    assert coordinator.choose_version(make_views(), 0.0) > first


def test_leader_begins_no_switch_while_a_hold_may_be_in_flight() -> None:
    # Two versions could be armed for one held pass otherwise (model mapswitches).
    tracker = groupleader.HoldTracker()
    tracker.record_gate(100.0, make_views()[0])
    assert tracker.quiet_from == 113.0
    tracker.record_gate(101.0, make_views(step=20)[0])
    assert tracker.quiet_from < 0
    tracker.record_orders(
        102.0, [mapswitch.Order(mapswitch.OrderKind.HOLD, 0, 1, 0, 23)]
    )
    coordinator = mapswitch.SwitchCoordinator(2)
    coordinator.quiet_from = tracker.quiet_from
    assert not coordinator.may_begin(make_views(step=21), 114.9)
    assert coordinator.may_begin(make_views(step=21), 115.0)


def test_backup_is_told_ranks_and_engines_only_if_enabled() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        state = engine.EngineState(0, 0, 1.0, 0, "g", 1, 1, 3, True, 5, 0, 0, 0, 0, 0)
        for hosts_lost, expected in ((1, {}), (2, {0: "t0", 1: "a:1", 2: "t2"})):
            cfg = nodesettings.SidecarSettings(
                name="s1", host="s1", place="p", store="127.0.0.1:1",
                node_ports=(1, 1), target="a:1", hosts_lost_at_once=hosts_lost,
            )  # fmt: skip
            group = rankgroup.RankGroup(3, 1)
            sidecar = sidecarnode.SidecarNode(
                cfg,
                rankgroup.RankEngine(group, 1),
                catalogformat.PlatformStoreDecoder(),
                df.LoopClock(),
                random.Random(1),
                connect_none,
            )
            sidecar.state = state
            sidecar._start_reports("e0")
            for rank in (0, 2):
                report = messages.Report(
                    f"s{rank}", f"t{rank}", True, 0, 0, 1.0, "g", 1, rank, 3, True, 1.0
                )
                await fleet.entries[0].handle_request(report)
            report = sidecar.make_report("e0")
            reply = await fleet.entries[0].handle_request(report)
            assert isinstance(reply, messages.ReportReply)
            sidecar.on_reply("e0", report.epoch, reply)
            assert sidecar.get_rank_targets() == expected
            await sidecar.stop()

    df.run_scenario(scenario)
