"""Tests that the long-lived tasks of entries and sidecars survive exceptions."""

import asyncio
import collections.abc
import contextlib
import random
import socket
import struct
import typing

import pytest
import uvloop

from sardinesaddle.direct import (
    engine,
    groupleader,
    messages,
    nodesettings,
    rankagent,
    replica,
    rpc,
    sidecarnode,
    storewatcher,
    supervision,
)
from sardinesaddle.platform import catalogformat
from sardinesaddle.standins import loopdriver, rankgroup
from test import directfleet as df
from test import freeports, test_direct_maps

HOST: typing.Final = "127.0.5.1"
CALL_TIMEOUT_S: typing.Final = 0.3
PASSES_S: typing.Final = 3.0  # the users' bound for reconnecting


class RankServer(rpc.Handler):
    """The server of a rank's sidecar; its connections can be reset."""

    def __init__(self, agent: rankagent.RankAgent, host: str) -> None:
        self._agent = agent
        self.server = rpc.Server(self, host, freeports.find_free_port(HOST))

    async def handle_request(self, msg: messages.Request) -> messages.Reply | None:
        """Return the reply of the rank's agent."""
        return await sidecarnode.handle_leader_request(self._agent, msg)

    def reset(self) -> None:
        """Reset all connections."""
        for writer in self.server._writers:
            reset(writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@pytest.mark.parametrize("resets", [1, 3])
def test_call_on_a_connection_that_was_reset_while_idle_is_made(resets: int) -> None:
    """Guards against calls that raise for a connection that the peer has reset."""

    async def run() -> None:
        group = test_direct_maps.SimulatedGroup(1)
        rank = RankServer(group.agents[1], HOST)
        await rank.server.start()
        peer = rpc.Peer(HOST, rank.server.port)
        request = messages.ReadRank(False, False)
        for _ in range(resets):
            reply = await peer.call(request, CALL_TIMEOUT_S)
            assert isinstance(reply, messages.RankReply)
            rank.reset()
            await asyncio.sleep(0.05)
        reply = await peer.call(request, CALL_TIMEOUT_S)
        assert isinstance(reply, messages.RankReply)
        peer.close()
        await rank.server.stop()

    uvloop.run(run())


class NetworkLeader(groupleader.GroupLeader):
    """A leader that reaches each rank's sidecar at the rank's own port."""

    ports: typing.ClassVar[dict[str, int]] = {}

    async def _ask(self, host: str, msg: messages.Request) -> messages.Reply | None:
        """Call the sidecar of a rank, as the leader does, at its port."""
        self._peers.setdefault(host, rpc.Peer(HOST, self.ports[host]))
        return await super()._ask(host, msg)


def test_group_goes_on_if_connections_between_sidecars_are_reset_in_a_hold() -> None:
    """Guards against a leader that ends in a switch and holds its group for good."""

    async def run() -> None:
        group = test_direct_maps.SimulatedGroup(1)
        ranks = [RankServer(agent, HOST) for agent in group.agents.values()]
        for number, rank in enumerate(ranks):
            await rank.server.start()
            NetworkLeader.ports[str(number)] = rank.server.port
        leader = NetworkLeader(
            group, group.agents[0], group.metrics, 0, random.Random(1)
        )
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(group.rank_group.run()),
            loop.create_task(group.poll_engines()),
            loop.create_task(leader.run()),
        ]
        async with asyncio.timeout(20.0):
            for _ in range(2):
                await test_direct_maps.wait_for_held_pass(group)
                for rank in ranks:
                    rank.reset()
                step = group.rank_group.step
                async with asyncio.timeout(PASSES_S):
                    while group.rank_group.step < step + 5:
                        await asyncio.sleep(0.01)
        assert not group.rank_group.mixed_passes
        for task in tasks:
            task.cancel()
        leader.close()
        for rank in ranks:
            await rank.server.stop()

    uvloop.run(run())


def run_virtual(
    body: collections.abc.Callable[
        [], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
) -> None:
    """Run a coroutine on a virtual clock."""
    loopdriver.LoopDriver(is_clock_virtual=True).run(body())


def test_task_that_raises_is_run_again_until_it_returns() -> None:
    """Guards against tasks that end by an exception and are never started again."""
    runs: list[float] = []

    async def fail_thrice() -> None:
        runs.append(asyncio.get_running_loop().time())
        if len(runs) == 1:
            raise RecursionError
        if len(runs) == 2:
            # What it waited for was cancelled, not the task itself.
            raise asyncio.CancelledError
        if len(runs) == 3:
            raise RuntimeError("closed")

    async def run() -> None:
        await supervision.run_restarting("task", fail_thrice)
        assert len(runs) == 4
        assert runs[-1] - runs[0] < 2 * supervision.MAX_BACKOFF_S

    run_virtual(run)


def test_task_that_is_cancelled_is_not_run_again() -> None:
    runs: list[int] = []

    async def wait() -> None:
        runs.append(1)
        await asyncio.sleep(100.0)

    async def run() -> None:
        loop = asyncio.get_running_loop()
        task = loop.create_task(supervision.run_restarting("task", wait))
        await asyncio.sleep(1.0)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        assert task.cancelled()
        assert runs == [1]

    run_virtual(run)


class RaisingStore(df.MemoryStore):
    """A store whose calls raise what its client does not expect."""

    raises = False

    async def read_all(self, prefix: str) -> replica.Delta | storewatcher.StoreFault:
        """Return all keys, or raise."""
        if self.raises:
            raise RuntimeError("closed")
        return await super().read_all(prefix)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> replica.Delta | storewatcher.StoreFault:
        """Return the changes, or raise."""
        if self.raises:
            raise RuntimeError("closed")
        return await super().watch(prefix, after, wait_s)


def test_entry_follows_the_store_after_its_client_raised() -> None:
    """Guards against an entry that stops to follow the store and runs on."""

    async def run() -> None:
        fleet = df.Fleet(loopdriver.LoopDriver(is_clock_virtual=True))
        fleet.store = store = RaisingStore()
        store.put("op/config", df.make_config())
        entry = await fleet.add_entry()
        await fleet.settle(1.0)
        store.raises = True
        await fleet.settle(4.0)
        store.raises = False
        store.put("op/config", df.make_config(2))
        await fleet.settle(2.0)
        assert entry.config_version == 2
        await fleet.stop()

    run_virtual(run)


def test_entries_stay_in_contact_after_the_handling_of_a_reply_raised(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against heartbeats that end, and an entry that waits for a seed."""

    async def scenario(fleet: df.Fleet) -> None:
        node_class = type(fleet.entries[1])
        handle = node_class.on_heartbeat_reply

        async def fail(*args: object) -> None:
            raise RuntimeError("closed")

        monkeypatch.setattr(node_class, "on_heartbeat_reply", fail)
        third = await fleet.add_entry()
        await fleet.settle(3.0)
        assert third.catalog is not None
        monkeypatch.setattr(node_class, "on_heartbeat_reply", handle)
        fleet.store.is_down = True
        await fleet.settle(12.0)
        assert sorted(third._peers.hosts) == ["127.0.1.1", "127.0.1.2"]

    df.run_scenario(scenario, 2)


class RaisingEngine(rankgroup.RankEngine):
    """An engine whose client raises what it should not, now and then."""

    calls = 0

    def _count(self) -> None:
        """Raise at every fifth call."""
        self.calls += 1
        if self.calls % 5 == 0:
            raise RuntimeError("closed")

    async def read_state(self) -> engine.EngineState | engine.EngineFault:
        """Return the state, or raise."""
        self._count()
        return await super().read_state()

    async def read_counts(self) -> engine.ExpertCounts | engine.EngineFault:
        """Return the counts, or raise."""
        self._count()
        return await super().read_counts()


def test_sidecar_reads_and_reports_after_the_client_of_its_engine_raised() -> None:
    """Guards against a sidecar that runs on with a state that is never read again."""

    async def scenario(fleet: df.Fleet) -> None:
        target = await fleet.add_target("t", "plain")
        group = rankgroup.RankGroup(3, 1)
        cfg = nodesettings.SidecarSettings(
            name="s",
            host="127.0.5.2",
            place="p",
            store="127.0.0.1:1",
            node_ports=(fleet.node_port, fleet.node_port),
            target=f"127.0.0.1:{target.port}",
            seeds=["127.0.1.1:1"],
        )
        sidecar = sidecarnode.SidecarNode(
            cfg,
            RaisingEngine(group, 0),
            catalogformat.PlatformStoreDecoder(),
            df.LoopClock(),
            random.Random(1),
        )
        await sidecar.start()
        passes = asyncio.get_running_loop().create_task(group.run())
        for _ in range(5):
            await fleet.settle(3.0)
            found = fleet.entries[0].targets.get("t")
            assert found is not None
            assert found.has_fresh_report(asyncio.get_running_loop().time())
            assert sidecar.state is not None
            assert group.step - sidecar.state.step < 100
        passes.cancel()
        await sidecar.stop()

    df.run_scenario(scenario)


def test_message_that_cannot_be_handled_ends_only_its_connection() -> None:
    """Guards against a server that fails for others after one bad message."""

    class Failing(rpc.Handler):
        async def handle_request(self, msg: messages.Request) -> messages.Reply | None:
            if isinstance(msg, messages.FetchConfig):
                raise RecursionError
            return messages.UnavailableReply("served")

    async def run() -> None:
        server = rpc.Server(Failing(), HOST, freeports.find_free_port(HOST))
        await server.start()
        peer = rpc.Peer(HOST, server.port)
        # Nested more deeply than the decoder follows.
        deep = b"\x91" * 100_000
        reader, writer = await asyncio.open_connection(HOST, server.port)
        writer.write(len(deep).to_bytes(rpc.LENGTH_BYTES, "big") + deep)
        assert await reader.read() == b""
        writer.close()
        for _ in range(2):
            failed = await peer.call(messages.FetchConfig(1), CALL_TIMEOUT_S)
            assert isinstance(failed, rpc.RpcFault)
            reply = await peer.call(messages.ReadRank(False, False), CALL_TIMEOUT_S)
            assert isinstance(reply, messages.UnavailableReply)
        peer.close()
        await server.stop()

    uvloop.run(run())
