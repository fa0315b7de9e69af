"""The HTTP interface of targets, tested with the stand-in of a model engine."""

import asyncio

import aiohttp
import pytest

from sardinesaddle import external, httptarget
from test import fleet


def test_target_interface_serves_load_cache_and_orders() -> None:
    async def scenario(caller: fleet.Caller) -> None:
        engine = caller.dep.targets["small-engine-0"]
        target = httptarget.HttpTarget(caller.session, caller.session, engine.url)
        for number in range(30):
            await caller.send_chat(f"prompt {number}", max_tokens=1)
        assert await target.read_load() == external.LoadReport(0, 0, [])
        events = await target.read_cache_events(0)
        assert not isinstance(events, external.Unavailable)
        sequences = [event.sequence for event in events]
        assert sequences == sorted(sequences)
        assert 7 not in sequences
        later = await target.read_cache_events(3)
        assert later == [event for event in events if event.sequence > 3]
        cache_data = await target.export_cache(12)
        assert isinstance(cache_data, bytes)
        assert await target.import_cache(12, cache_data) is True
        newer = external.TargetOrder("load", "model-2", 0, fence=5)
        older = external.TargetOrder("role", "decode", 0, fence=4)
        assert await target.send_order(newer) is True
        assert await target.send_order(older) is False
        await engine.stop()
        load_after_stop = await target.read_load()
        assert isinstance(load_after_stop, external.Unavailable)

    fleet.run_scenario(scenario)


# No final answer of HTTP/1.1 has one of these.
STATUSES = ["000", "099", "600", "999"]


class StatusServer:
    """A server that responds to each request with a status and a body."""

    def __init__(self, status: str) -> None:
        self._status = status
        self._server: asyncio.Server | None = None
        self.request_count = 0

    async def start(self, port: int = 0) -> str:
        """Start to listen; return the URL."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        return f"http://127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to the one request of a connection."""
        await reader.readuntil(b"\r\n\r\n")
        self.request_count += 1
        writer.write(f"HTTP/1.1 {self._status} X\r\n".encode())
        writer.write(b"Content-Type: application/json\r\nContent-Length: 4\r\n\r\nbody")
        writer.close()

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


@pytest.mark.parametrize("status", STATUSES)
def test_status_that_is_none_is_a_failure_and_not_an_answer(status: str) -> None:
    """Guards against a caller that gets what an engine in trouble wrote."""

    async def run() -> None:
        server = StatusServer(status)
        url = await server.start()
        async with aiohttp.ClientSession() as session:
            target = httptarget.HttpTarget(session, session, url)
            req = external.TargetRequest(1, "POST", "/receipt", [], b"{}", 0, False)
            events = [event async for event in target.run(req)]
            assert len(events) == 1, events
            assert isinstance(events[0], external.TargetFailure)
            assert events[0].was_sent
            assert isinstance(await target.read_load(), external.Unavailable)
            order = external.TargetOrder("load", "model-2", 0, fence=5)
            assert await target.send_order(order) is not True
        server.stop()

    asyncio.run(run())


def test_caller_of_an_engine_with_status_000_gets_a_failure() -> None:
    """Guards against status 000 on the whole path, as an answer or as no answer."""

    async def scenario(caller: fleet.Caller) -> None:
        engines = list(caller.dep.targets.values())
        servers = []
        for engine in engines:
            port = int(engine.url.rpartition(":")[2])
            await engine.stop()
            servers.append(StatusServer("000"))
            await servers[-1].start(port)
        key = await caller.mint_key()
        reply = await caller.send_keyed(key, "r1")
        assert reply.status == 502, reply
        assert reply.json["ran"] == "unknown"
        for server in servers:
            server.stop()

    fleet.run_scenario(scenario)
