"""Tests of how often a sidecar reports to its entries, which is most of its control."""

import asyncio
import collections
import dataclasses
import random
import typing

import pytest

from sardinesaddle.direct import (
    catalog,
    engine,
    messages,
    nodesettings,
    rpc,
    sidecarnode,
    targetstate,
)
from sardinesaddle.platform import catalogformat
from sardinesaddle.standins import loopdriver, rankgroup
from test import directfleet as df
from test import freeports

HOST: typing.Final = "127.0.3.1"
REGISTRATION: typing.Final = catalog.TargetRegistration(
    "t1", "engines", HOST, 1, "p", 4, catalog.TargetState.READY, 0.0
)
PREFERRING_SHARE: typing.Final = 6  # one of so many entries prefers the target
SECONDS: typing.Final = 10.0
# To the entries that prefer other targets: as many as a deployment of 16 entries has.
MAX_REPORTS_PER_S: typing.Final = 16 / messages.REPORT_PERIOD_S


class LoadedEngine(rankgroup.RankEngine):
    """An engine whose group may break, and whose load changes with each read."""

    is_open = True
    running = 0

    async def read_state(self) -> engine.EngineState | engine.EngineFault:
        """Return the state."""
        state = await super().read_state()
        assert isinstance(state, engine.EngineState)
        self.running += 1
        return dataclasses.replace(
            state, running=self.running, is_group_open=self.is_open
        )


class ReportedEntries:
    """Stands in for all entries of a sidecar, and records its reports."""

    def __init__(self, count: int) -> None:
        self.hosts = [f"127.0.9.{number + 1}" for number in range(count)]
        self.preferring = set(self.hosts[::PREFERRING_SHARE])
        self.reports: dict[str, list[tuple[float, messages.Report]]] = (
            collections.defaultdict(list)
        )

    async def call(
        self, peer: rpc.Peer, msg: messages.Request, timeout_s: float
    ) -> messages.Reply | rpc.RpcFault:
        """Return the reply of an entry, which lists all entries."""
        if not isinstance(msg, messages.Report):
            return rpc.RpcFault("not a report")
        now = asyncio.get_running_loop().time()
        self.reports[peer.host].append((now, msg))
        await asyncio.sleep(0.003)
        return messages.ReportReply(1, peer.host in self.preferring, self.hosts)

    def list_gaps(self, host: str, since: float) -> list[float]:
        """Return the seconds between reports to an entry."""
        times = [at for at, _ in self.reports[host] if at >= since]
        return [b - a for a, b in zip(times, times[1:], strict=False)]


def make_sidecar(
    client: rankgroup.RankEngine, seeds: list[str]
) -> sidecarnode.SidecarNode:
    """Return a sidecar of an engine, which reports to the entries at the seeds."""
    cfg = nodesettings.SidecarSettings(
        name="s",
        host=HOST,
        place="p",
        store="127.0.0.1:1",
        node_ports=(freeports.find_free_port(HOST),) * 2,
        seeds=seeds,
        target="127.0.0.1:1",
        service="engines",
    )
    return sidecarnode.SidecarNode(
        cfg,
        client,
        catalogformat.PlatformStoreDecoder(),
        df.LoopClock(),
        random.Random(1),
    )


async def start_sidecar(
    entries: ReportedEntries, monkeypatch: pytest.MonkeyPatch, client: LoadedEngine
) -> sidecarnode.SidecarNode:
    """Start a sidecar that finds the entries, and let it find them."""

    async def call(
        peer: rpc.Peer, msg: messages.Request, timeout_s: float
    ) -> messages.Reply | rpc.RpcFault:
        return await entries.call(peer, msg, timeout_s)

    monkeypatch.setattr(rpc.Peer, "call", call)
    sidecar = make_sidecar(client, [f"{entries.hosts[0]}:1"])
    await sidecar.start()
    await asyncio.sleep(2.0)
    return sidecar


# Guards against control that grows with the product of entries and sidecars.
@pytest.mark.parametrize("entry_count", [4, 16, 36, 54])
def test_reports_of_a_sidecar_are_bounded(
    entry_count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run() -> None:
        entries = ReportedEntries(entry_count)
        client = LoadedEngine(rankgroup.RankGroup(8, 1), 1)
        sidecar = await start_sidecar(entries, monkeypatch, client)
        loop = asyncio.get_running_loop()
        since = loop.time()
        await asyncio.sleep(SECONDS)
        usual_count = 0
        for host in entries.hosts:
            gaps = entries.list_gaps(host, since)
            if host in entries.preferring:
                # Each change of the load, which comes with each read of the engine.
                assert max(gaps) < messages.REPORT_PERIOD_S
            else:
                usual_count += len(gaps)
                assert max(gaps) < sidecarnode.MAX_REPORT_PERIOD_S
        assert usual_count / SECONDS <= MAX_REPORTS_PER_S
        await sidecar.stop()

    loopdriver.LoopDriver(is_clock_virtual=True).run(run())


def test_group_that_breaks_is_reported_to_all_entries_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        entries = ReportedEntries(54)
        client = LoadedEngine(rankgroup.RankGroup(8, 1), 1)
        sidecar = await start_sidecar(entries, monkeypatch, client)
        client.is_open = False
        # The next read of the engine, and the shortest time between two reports.
        await asyncio.sleep(2 * sidecarnode.ENGINE_READ_PERIOD_S + 0.02)
        last = [entries.reports[host][-1][1] for host in entries.hosts]
        assert not any(report.is_group_open for report in last)
        await sidecar.stop()

    loopdriver.LoopDriver(is_clock_virtual=True).run(run())


def test_report_is_fresh_until_the_next_one_is_overdue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        entries = ReportedEntries(54)
        client = LoadedEngine(rankgroup.RankGroup(8, 1), 1)
        sidecar = await start_sidecar(entries, monkeypatch, client)
        await asyncio.sleep(SECONDS)
        for host in entries.hosts:
            at, report = entries.reports[host][-2]
            target = targetstate.Target(REGISTRATION, report=report, reported_at=at)
            next_at = entries.reports[host][-1][0]
            assert target.has_fresh_report(next_at)
            overdue_at = at + report.period_s + targetstate.REPORT_SLACK_S
            assert not target.has_fresh_report(overdue_at + 0.01)
        await sidecar.stop()

    loopdriver.LoopDriver(is_clock_virtual=True).run(run())
