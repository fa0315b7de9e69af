"""Lock-step groups over the sidecars' links: one map in each step."""

import collections.abc
import typing

from sardinesaddle import external, httptarget, steps, table
from sardinesaddle.standins import deployment, lockstep, targets
from test import fleet

RANKS: typing.Final = 4
SHAPE: typing.Final = deployment.Shape(
    "small", ("one",), "sermon-text", "summaries", RANKS, "ledger", 1, ("alice",), 1
)

Disturb = collections.abc.Callable[
    [fleet.Caller, "Group"], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


class Group:
    """A group that runs in a deployment."""

    def __init__(self, caller: fleet.Caller) -> None:
        self._dep = caller.dep
        self.names = [n for n in caller.dep.sidecars if "engine" in n]
        engines = [caller.dep.targets[n] for n in self.names]
        self.engines = [e for e in engines if isinstance(e, targets.Engine)]
        self.lock = lockstep.LockStep(self.engines, 0.05)

    def form(self) -> None:
        """Publish the group."""
        rows = self._dep.rows
        members = [
            table.TargetRow(
                r.target,
                r.service,
                r.place,
                group="g" if r.target in self.names else "",
            )
            for r in rows.targets
        ]
        groups = [table.GroupRow("g", experts=8)]
        self._dep.config.publish(
            table.Rows(rows.accounts, rows.services, members, rows.limits, groups)
        )
        self.lock.start()

    def want(self, version: int) -> None:
        """Want another map."""
        for proc in self._dep.sidecars.values():
            proc.sidecar.groups.wanted_map_version = version

    def find_leader(self) -> str:
        """Return the sidecar that leads under the highest epoch."""
        found = ""
        best = -1
        for name in self.names:
            proc = self._dep.sidecars.get(name)
            member = proc.sidecar.groups.member if proc else None
            leads = member.leader if member is not None else None
            if leads is not None and leads.epoch > best:
                found, best = name, leads.epoch
        return found


def run_group(disturb: Disturb) -> None:
    """Form a group, change its map, disturb it, change its map again."""

    async def scenario(caller: fleet.Caller) -> None:
        running = Group(caller)
        running.form()
        lock = running.lock
        await fleet.wait_until(lambda: lock.lowest_step > 20)
        running.want(2)
        await fleet.wait_until(lambda: lock.count_maps() == 2)
        await disturb(caller, running)
        running.want(3)
        reached = lock.lowest_step
        await fleet.wait_until(lambda: lock.count_maps() == 3, 60.0)
        await fleet.wait_until(lambda: lock.lowest_step > reached + 20, 60.0)
        assert lock.count_mixed_steps() == 0
        lock.stop()

    fleet.play(scenario, shape=SHAPE)


def test_map_changes_in_calm() -> None:
    async def disturb(caller: fleet.Caller, running: Group) -> None:
        assert running.find_leader()

    run_group(disturb)


def test_leader_dies_and_its_successor_stands_nowhere() -> None:
    async def disturb(caller: fleet.Caller, running: Group) -> None:
        before = running.lock.stalled_s
        leader = running.find_leader()
        port = await caller.dep.kill_sidecar(leader)
        await caller.dep.start_sidecar(leader, port)
        reached = running.lock.lowest_step
        await fleet.wait_until(lambda: running.lock.lowest_step > reached + 150, 60.0)
        assert running.lock.stalled_s == before

    run_group(disturb)


def test_paused_leader_wakes_past_its_horizon() -> None:
    async def disturb(caller: fleet.Caller, running: Group) -> None:
        leader = running.find_leader()
        caller.dep.pause(leader)
        await fleet.wait_until(lambda: running.lock.stalled_s > 2.0, 60.0)
        caller.dep.resume(leader)

    run_group(disturb)


def test_engine_that_ignores_fences_never_gets_an_old_order() -> None:
    async def disturb(caller: fleet.Caller, running: Group) -> None:
        loose = [e for e in running.engines if not e.checks_fences]
        assert loose
        name = running.find_leader()
        proc = caller.dep.sidecars[name]
        member = proc.sidecar.groups.member
        assert member is not None
        old = steps.Grant((member.rank_steps.promised_epoch - 1, 1), 10**6)
        assert not member.rank_steps.on_grant(old)
        assert all(e.steps_order.last_step < 10**6 for e in loose)

    run_group(disturb)


def test_failing_weight_loads_delay_the_map_only() -> None:
    async def disturb(caller: fleet.Caller, running: Group) -> None:
        for engine in running.engines:
            engine.load_failures_left = 2
            engine.map_load_s = 1.0

    run_group(disturb)


def test_engine_refuses_an_old_epoch_if_it_checks() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        url = caller.dep.targets["small-engine-0"].url
        target = httptarget.HttpTarget(caller.session, caller.session, url)
        newer = external.StepsOrder(5, 1, ((1, 1),), 10)
        older = external.StepsOrder(4, 1, ((1, 1),), 20)
        assert await target.send_steps_order(newer) is True
        assert await target.send_steps_order(older) is False

    fleet.play(scenario, shape=SHAPE)
