"""Tests that an engine's odd pages neither stop its group nor mix its maps.

The leader and the agents are the real ones, on a virtual clock. The agents read pages
as engines write them, which a test may alter. One test has entries and sidecars as
processes.
"""

import asyncio
import collections.abc
import json
import pathlib
import random
import typing

import loguru
import pytest

from sardinesaddle.direct import (
    engine,
    httpclient,
    nodemetrics,
    rankagent,
    supervision,
)
from sardinesaddle.platform import engines
from sardinesaddle.standins import loopdriver, rankgroup
from test import directfleet as df
from test import processfleet, soakengine
from test import test_direct_maps as maps

WAIT_S: typing.Final = 30.0  # a switch follows a shift of demand within some seconds

# What is altered: the rank, the path of its page, and the bytes of the page.
Alter = collections.abc.Callable[[int, str, bytes], bytes]


class AlteredClient(httpclient.HttpClient):
    """Reads the pages of a simulated rank, as a group's test alters them."""

    def __init__(self, group: "PagedGroup", index: int) -> None:
        super().__init__("127.0.0.1:1", engines.MAX_PAGE_BYTES)
        self._group = group
        self._index = index

    async def request(
        self, method: str, path: str, timeout_s: float, body: bytes = b""
    ) -> httpclient.HttpResponse | httpclient.HttpFault:
        """Return the response of the simulated rank."""
        received = df.ReceivedRequest(method, path, {}, body, 0, 0.0)
        data = await soakengine.respond_to_sidecar(
            self._group.rank_group, self._index, received, 4
        )
        head, _, page = data.partition(b"\r\n\r\n")
        page = self._group.alter(self._index, path, page)
        return httpclient.HttpResponse(int(head.split()[1]), {}, page)


class PagedEngine(engines.PlatformEngine):
    """The production client of an engine, with altered pages."""

    def __init__(self, group: "PagedGroup", index: int) -> None:
        super().__init__("127.0.0.1:1")
        self._client = AlteredClient(group, index)


class PagedGroup(maps.SimulatedGroup):
    """A simulated group that is read through its pages; tasks that fail run again."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.alter: Alter = lambda index, path, page: page
        self._paged_gate = PagedEngine(self, 0)
        for index in self.agents:
            self.agents[index] = self._make_agent(index)

    def _make_agent(self, index: int) -> rankagent.RankAgent:
        """Return an agent that reads a rank through its pages."""
        return rankagent.RankAgent(
            PagedEngine(self, index),
            nodemetrics.SidecarMetrics(str(index)),
            random.Random(index),
        )

    def start_leader(self) -> None:
        """Start a leader as a sidecar does."""
        agent = self._make_agent(0)
        self.agents[0] = agent
        leader = maps.InProcessLeader(self, agent, self.metrics, 0, random.Random(1))
        leader.group = self
        loop = asyncio.get_running_loop()
        bodies = {"leader": leader.run, "engines": self.poll_engines}
        self._tasks = [
            loop.create_task(supervision.run_restarting(name, body))
            for name, body in bodies.items()
        ]

    async def read_gate(self) -> engine.EngineState | engine.EngineFault:
        """Read the gate's state through its page."""
        return await self._paged_gate.read_state()


def run_scenario(
    scenario: collections.abc.Callable[
        [PagedGroup], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
    seed: int = 1,
) -> None:
    """Run a scenario with a running group; check that no pass mixed maps."""
    driver = loopdriver.LoopDriver(is_clock_virtual=True, loopback_delay_s=0.0)

    async def run() -> None:
        group = PagedGroup(seed)
        passes_task = asyncio.get_running_loop().create_task(group.rank_group.run())
        group.start_leader()
        await scenario(group)
        group.stop_leader()
        passes_task.cancel()
        assert not group.rank_group.mixed_passes

    driver.run(run())


async def check_that_maps_follow(group: PagedGroup) -> None:
    """Shift demand; check that a new map follows and that the passes go on."""
    rank_group = group.rank_group
    version = rank_group.ranks[0].map_version
    for _ in range(3):
        rank_group.shift_demand(0.9)
        await asyncio.sleep(3.0)
    passes = len(rank_group.pass_durations_s)
    await asyncio.sleep(1.0)
    assert rank_group.ranks[0].map_version > version
    assert len(rank_group.pass_durations_s) > passes + 5


def change(page: bytes, **fields: object) -> bytes:
    """Return a page with other fields; the value ``...`` leaves one out."""
    changed = json.loads(page) | fields
    return json.dumps({k: v for k, v in changed.items() if v is not ...}).encode()


def change_group(page: bytes, **fields: object) -> bytes:
    """Return a report whose group has other fields."""
    group = json.dumps(json.loads(page)["group"]).encode()
    return change(page, group=json.loads(change(group, **fields)))


def repeat(page: bytes, fields: bytes) -> bytes:
    """Return a page that ends with further fields."""
    return page[:-1] + b"," + fields + b"}"


# What one rank's pages look like for a second; by name: rank, path, change.
ODD_PAGES: typing.Final[
    dict[str, tuple[int, str, collections.abc.Callable[[bytes], bytes]]]
] = {
    "size_huge": (0, "/report", lambda page: change(page, size=10**12)),
    "size_twice": (0, "/report", lambda page: repeat(page, b'"size":2')),
    "size_missing": (0, "/report", lambda page: change(page, size=...)),
    "pace_huge": (1, "/report", lambda page: change(page, pace=1e308)),
    "pace_twice": (1, "/report", lambda page: repeat(page, b'"pace":1e300')),
    "report_empty": (0, "/report", lambda page: b"{}"),
    "other_page": (1, "/report", lambda page: b'{"step":1,"epoch":1,"counts":[]}'),
    "rank_missing": (2, "/report", lambda page: change_group(page, rank=...)),
    "epoch_huge": (2, "/report", lambda page: change_group(page, epoch=1 << 70)),
    "epoch_before": (0, "/report", lambda page: change_group(page, epoch=0)),
    "epoch_before_at_another": (
        2,
        "/report",
        lambda page: change_group(page, epoch=0),
    ),
    "step_before": (0, "/report", lambda page: change(page, step=0)),
    "map_before": (2, "/report", lambda page: change(page, map=0)),
    "not_held": (0, "/report", lambda page: change(page, held=None)),
    "held_missing": (0, "/report", lambda page: change(page, held=...)),
    "held_twice": (0, "/report", lambda page: repeat(page, b'"held":null')),
    "armed_missing": (2, "/report", lambda page: change(page, armed=...)),
    "counts_huge": (2, "/picked", lambda page: change(page, counts=[10**400] * 48)),
    "counts_large": (2, "/picked", lambda page: change(page, counts=[10**300] * 48)),
    "counts_negative": (2, "/picked", lambda page: change(page, counts=[-9] * 48)),
    "counts_of_half": (2, "/picked", lambda page: change(page, counts=[9] * 24)),
    "counts_of_more": (2, "/picked", lambda page: change(page, counts=[9] * 64)),
    "counts_empty": (2, "/picked", lambda page: change(page, counts=[])),
    "experts_beyond": (
        2,
        "/picked?lists=1",
        lambda page: page.replace(b"[[", b"[[16,", 1),
    ),
    "experts_negative": (
        2,
        "/picked?lists=1",
        lambda page: page.replace(b"[[", b"[[-99,", 1),
    ),
    "experts_of_no_set": (
        2,
        "/picked?lists=1",
        lambda page: b'{"map":{"version":0,"experts":[]}}',
    ),
    "experts_of_another_map": (
        2,
        "/picked?lists=1",
        lambda page: (
            b'{"map":{"version":1,"experts":[[0,1,2],[0,1,2],[0,1,2]]},"prepared":null}'
        ),
    ),
}


@pytest.mark.parametrize("name", ODD_PAGES)
def test_odd_page_for_a_second_stops_no_group(name: str) -> None:
    """Guards against a leader that raises, waits or plans wrongly after an odd page."""
    rank, path, alter = ODD_PAGES[name]

    async def scenario(group: PagedGroup) -> None:
        def alter_page(index: int, page_path: str, page: bytes) -> bytes:
            return alter(page) if (index, page_path) == (rank, path) else page

        for _ in range(3):
            group.alter = alter_page
            await asyncio.sleep(1.0)
            group.alter = lambda index, page_path, page: page
            await check_that_maps_follow(group)

    errors: list[str] = []
    sink = loguru.logger.add(errors.append, level="ERROR")
    try:
        run_scenario(scenario)
    finally:
        loguru.logger.remove(sink)
    assert not errors


@pytest.mark.parametrize("count", [0, 24, 47, 49, 96])
def test_rank_with_counts_of_another_length_is_left_out(count: int) -> None:
    """Guards against one rank's counts that end the planning for its group."""

    async def scenario(group: PagedGroup) -> None:
        def alter_page(index: int, path: str, page: bytes) -> bytes:
            if (index, path) != (2, "/picked"):
                return page
            counts = [group.rank_group.step * 1000] * count
            return change(page, counts=counts)

        group.alter = alter_page
        await check_that_maps_follow(group)

    run_scenario(scenario)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("reports", [1, 3])
def test_held_pass_that_one_report_lacks_is_released(seed: int, reports: int) -> None:
    """Guards against a group that stands still since its hold was not seen once."""

    async def scenario(group: PagedGroup) -> None:
        altered: list[int] = []

        def drop_hold(index: int, path: str, page: bytes) -> bytes:
            held = group.rank_group.held_step
            is_armed = all(
                rank.armed_version and rank.armed_step == held
                for rank in group.rank_group.ranks
            )
            if (index, path) != (0, "/report") or not held or not is_armed:
                return page
            altered.append(held)
            if altered.count(held) > reports:
                return page
            return change(page, held=None)

        group.alter = drop_hold
        await check_that_maps_follow(group)
        await check_that_maps_follow(group)
        assert altered
        assert group.rank_group.total_held_s < 1.0

    run_scenario(scenario, seed)


class LateEngines:
    """The engines of a group, the first of which loses orders and writes reports late.

    The first release of each held pass gets no response and is not carried out. For
    ``LATE_S`` after it, the report from before the hold comes once more before each
    report. ``late_steps`` has these passes.
    """

    LATE_S: typing.Final = 0.3

    def __init__(self) -> None:
        self.rank_group = rankgroup.RankGroup(soakengine.RANK_COUNT, 1)
        self.late_steps: set[int] = set()
        self._report_before = b""
        self._late_until = 0.0

    async def respond(
        self,
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Respond to a sidecar."""
        group = self.rank_group
        index = int(target.name[1:])
        now = asyncio.get_running_loop().time()
        if request.path == "/order":
            order = json.loads(request.body)
            if order["op"] == "go" and order["step"] not in self.late_steps:
                self.late_steps.add(order["step"])
                self._late_until = now + self.LATE_S
                await asyncio.sleep(engines.ORDER_TIMEOUT_S * 2)
                return False
        data = await soakengine.respond_to_sidecar(group, index, request, 4)
        if (index, request.path) == (0, "/report"):
            if not group.held_step:
                self._report_before = data
            elif now < self._late_until:
                writer.write(self._report_before)
        writer.write(data)
        return True


def test_group_of_processes_goes_on_though_reports_come_late(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a group that stands still since a report came late.

    The leader's sidecar, and later an entry, are restarted in between.
    """

    async def scenario(fleet: processfleet.ProcessFleet) -> None:
        late = LateEngines()
        group = late.rank_group
        passes = asyncio.get_running_loop().create_task(group.run())
        fleet.store.put("op/config", soakengine.make_config(2, ("key-a",), 4000))
        for index in range(soakengine.RANK_COUNT):
            await fleet.add_target(f"g{index}", "engines", late.respond)
        sidecars = [
            fleet.start_sidecar(index, f"g{index}")
            for index in range(soakengine.RANK_COUNT)
        ]
        for round_number in range(3):
            late_count = len(late.late_steps)
            async with asyncio.timeout(WAIT_S):
                while len(late.late_steps) < late_count + 2:
                    group.shift_demand(0.9)
                    await asyncio.sleep(1.0)
            await asyncio.sleep(1.0)
            began = len(group.pass_durations_s)
            await asyncio.sleep(1.0)
            assert len(group.pass_durations_s) > began + 5, round_number
            if round_number == 0:
                await sidecars[0].kill_and_wait()
                sidecars[0].start()
            elif round_number == 1:
                await fleet.restart(1)
        passes.cancel()
        assert not group.mixed_passes
        for index in range(soakengine.RANK_COUNT):
            assert "event=task_failed" not in fleet.read_log(index, "sidecar")

    processfleet.run_scenario(tmp_path, scenario, 2)
