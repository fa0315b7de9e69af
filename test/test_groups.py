"""Lock-step groups over the links between sidecars.

Whatever fails, all ranks of a group run each step with the same expert map.
"""

import collections.abc
import typing

from sardinesaddle import external, httptarget, steps, table
from sardinesaddle.standins import deployment, lockstep, targets
from test import fleet

RANKS: typing.Final = 4
GROUP_SHAPE: typing.Final = deployment.Shape(
    "small", ("one",), "sermon-text", "summaries", RANKS, "ledger", 1, ("alice",), 1
)

Disturbance = collections.abc.Callable[
    [fleet.Caller, "RunningGroup"],
    collections.abc.Coroutine[typing.Any, typing.Any, None],
]


class RunningGroup:
    """The lock-step group of a deployment, with the driver that runs its steps."""

    def __init__(self, caller: fleet.Caller) -> None:
        self._dep = caller.dep
        self.names = [n for n in caller.dep.sidecars if "engine" in n]
        engines = [caller.dep.targets[n] for n in self.names]
        self.engines = [e for e in engines if isinstance(e, targets.Engine)]
        self.step_driver = lockstep.LockStep(self.engines, 0.05)

    def publish_and_start(self) -> None:
        """Publish a table with the group and start to run steps."""
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
        self.step_driver.start()

    def request_map(self, version: int) -> None:
        """Make every sidecar want a map version, so that the leader plans it."""
        for proc in self._dep.sidecars.values():
            proc.sidecar.groups.wanted_map_version = version

    def find_leader(self) -> str:
        """Return the sidecar that leads in the highest epoch, or an empty string."""
        leader_name = ""
        highest_epoch = -1
        for name in self.names:
            proc = self._dep.sidecars.get(name)
            member = proc.sidecar.groups.member if proc else None
            leader_steps = member.leader if member is not None else None
            if leader_steps is not None and leader_steps.epoch > highest_epoch:
                leader_name, highest_epoch = name, leader_steps.epoch
        return leader_name


def change_maps_around(disturbance: Disturbance) -> None:
    """Change a group's map before and after a disturbance.

    Both changes must complete, the group must continue to run steps, and no step may be
    run with more than one map.
    """

    async def scenario(caller: fleet.Caller) -> None:
        running_group = RunningGroup(caller)
        running_group.publish_and_start()
        step_driver = running_group.step_driver
        await fleet.wait_until(lambda: step_driver.lowest_step > 20)
        running_group.request_map(2)
        await fleet.wait_until(lambda: step_driver.count_maps() == 2)
        await disturbance(caller, running_group)
        running_group.request_map(3)
        reached_step = step_driver.lowest_step
        await fleet.wait_until(lambda: step_driver.count_maps() == 3, 60.0)
        await fleet.wait_until(
            lambda: step_driver.lowest_step > reached_step + 20, 60.0
        )
        assert step_driver.count_mixed_steps() == 0
        step_driver.stop()

    fleet.run_scenario(scenario, shape=GROUP_SHAPE)


def test_map_changes_without_disturbance() -> None:
    async def disturb(caller: fleet.Caller, running_group: RunningGroup) -> None:
        assert running_group.find_leader()

    change_maps_around(disturb)


def test_leader_failure_does_not_stall_the_group() -> None:
    """The leader's sidecar is killed and restarted.

    A new leader must take over before the ranks have used up the granted steps.
    """

    async def disturb(caller: fleet.Caller, running_group: RunningGroup) -> None:
        stalled_s_before = running_group.step_driver.stalled_s
        leader = running_group.find_leader()
        port = await caller.dep.kill_sidecar(leader)
        await caller.dep.start_sidecar(leader, port)
        reached_step = running_group.step_driver.lowest_step
        await fleet.wait_until(
            lambda: running_group.step_driver.lowest_step > reached_step + 150, 60.0
        )
        assert running_group.step_driver.stalled_s == stalled_s_before

    change_maps_around(disturb)


def test_paused_leader_resumes_after_its_grants_ran_out() -> None:
    """The leader is paused until the ranks have run all granted steps and stand still.

    When it resumes, steps and map changes must continue, with one map in each step.
    """

    async def disturb(caller: fleet.Caller, running_group: RunningGroup) -> None:
        leader = running_group.find_leader()
        caller.dep.pause(leader)
        await fleet.wait_until(lambda: running_group.step_driver.stalled_s > 2.0, 60.0)
        caller.dep.resume(leader)

    change_maps_around(disturb)


def test_stale_grant_never_reaches_an_engine_without_fencing() -> None:
    """An engine may accept orders of any epoch, so its sidecar must reject old ones."""

    async def disturb(caller: fleet.Caller, running_group: RunningGroup) -> None:
        unfenced_engines = [e for e in running_group.engines if not e.checks_fences]
        assert unfenced_engines
        name = running_group.find_leader()
        proc = caller.dep.sidecars[name]
        member = proc.sidecar.groups.member
        assert member is not None
        stale_grant = steps.Grant((member.rank_steps.promised_epoch - 1, 1), 10**6)
        assert not member.rank_steps.on_grant(stale_grant)
        assert all(e.steps_order.last_step < 10**6 for e in unfenced_engines)

    change_maps_around(disturb)


def test_failed_weight_loads_only_delay_the_map() -> None:
    async def disturb(caller: fleet.Caller, running_group: RunningGroup) -> None:
        for engine in running_group.engines:
            engine.load_failures_left = 2
            engine.map_load_s = 1.0

    change_maps_around(disturb)


def test_engine_with_fencing_rejects_an_older_epoch() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        url = caller.dep.targets["small-engine-0"].url
        target = httptarget.HttpTarget(caller.session, caller.session, url)
        newer = external.StepsOrder(5, 1, ((1, 1),), 10)
        older = external.StepsOrder(4, 1, ((1, 1),), 20)
        assert await target.send_steps_order(newer) is True
        assert await target.send_steps_order(older) is False

    fleet.run_scenario(scenario, shape=GROUP_SHAPE)
