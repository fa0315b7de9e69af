"""Tests of targets that state in their responses that they leave."""

import asyncio

import aiohttp
import aiohttp.test_utils
import aiohttp.web
import pytest

from sardinesaddle.direct import engine, messages, rpc
from sardinesaddle.platform import engines, headers
from test import directfleet as df

LEAVING = (headers.LEAVING, "1")


class LeavingTarget:
    """Responds, and from ``leaves_at`` on states with each response that it leaves.

    ``kind`` is whole, stream, error or refusal. Times are the event loop's.
    """

    def __init__(self, kind: str = "whole", statement: str = "1") -> None:
        self.kind = kind
        self.statement = statement
        self.is_leaving = False
        self.arrivals: list[float] = []

    async def respond(
        self,
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Respond to a request."""
        self.arrivals.append(asyncio.get_running_loop().time())
        extra = [(headers.LEAVING, self.statement)] if self.is_leaving else []
        kind = self.kind if self.is_leaving else "whole"
        if kind == "stream":
            writer.write(df.make_stream_head(request.attempt_id, extra))
            for number in range(3):
                writer.write(df.encode_chunk(df.make_sse_event(number)))
                await asyncio.sleep(0.2)
            writer.write(df.encode_chunk(b""))
        elif kind == "refusal":
            fields = ((headers.NOT_RUN, "1"), ("Content-Length", "0"), *extra)
            writer.write(df.make_response_head(503, *fields))
        elif kind == "error" or extra:
            status = 500 if kind == "error" else 200
            writer.write(
                df.make_response(request.attempt_id, status=status, extra_fields=extra)
            )
        else:
            writer.write(df.make_success(request, "done"))
        return True


@pytest.mark.parametrize(
    ("kind", "path"),
    [
        ("whole", "/once/a"),
        ("whole", "/free/a"),
        ("error", "/free/a"),
        ("refusal", "/once/a"),
        ("stream", "/stream/a"),
    ],
)
def test_target_that_says_it_leaves_gets_nothing_from_any_entry(
    kind: str, path: str
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        service = "engines" if kind == "stream" else "plain"
        leaving = LeavingTarget(kind)
        await fleet.add_target("t0", service, leaving.respond)
        await fleet.add_target("t1", service)
        await fleet.settle()
        leaving.is_leaving = True
        statuses = []
        for number in range(60):
            response = await fleet.send_request(path, number % 3)
            statuses.append(response.status)
            await fleet.settle(0.05)
        # One request that each entry sends before it hears of it.
        assert 1 <= len(leaving.arrivals) <= 3
        assert statuses.count(200) >= 57

    df.run_scenario(scenario, entry_count=3)


def test_queued_and_resumed_requests_do_not_reach_a_leaving_target() -> None:
    async def break_off(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(df.make_stream_head(request.attempt_id))
        writer.write(df.encode_chunk(df.make_sse_event(0)))
        await asyncio.sleep(0.1)
        df.reset_connection(writer)
        return False

    async def scenario(fleet: df.Fleet) -> None:
        leaving = LeavingTarget("whole")
        leaving.is_leaving = True
        await fleet.add_target("t0", "engines", leaving.respond)
        await fleet.settle()
        await fleet.send_request("/stream/a")
        await fleet.add_target("t1", "engines", break_off)
        await fleet.settle()
        assert not (await fleet.send_request("/stream/b")).is_complete
        assert len(leaving.arrivals) == 1

    df.run_scenario(scenario)


def test_request_is_refused_at_once_when_all_targets_leave() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        for number in range(2):
            leaving = LeavingTarget()
            leaving.is_leaving = True
            await fleet.add_target(f"t{number}", "plain", leaving.respond)
        await fleet.settle()
        for _ in range(2):
            assert (await fleet.send_request("/once/a")).status == 200
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        response = await fleet.send_request("/once/a")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0.0
        assert response.finished_at - asked_at < 0.05
        # The next incarnation does not leave.
        fleet.register("t0", "plain", started_ms=5)
        await fleet.settle(0.1)
        assert (await fleet.send_request("/once/a")).status == 200

    df.run_scenario(scenario)


@pytest.mark.parametrize("statement", ["0", "", "yes"])
def test_other_values_state_nothing(statement: str) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        target = LeavingTarget(statement=statement)
        target.is_leaving = True
        await fleet.add_target("t0", "plain", target.respond)
        await fleet.settle()
        for _ in range(2):
            assert (await fleet.send_request("/once/a")).status == 200

    df.run_scenario(scenario)


def test_entry_that_starts_knows_what_leaves() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        leaving = LeavingTarget()
        leaving.is_leaving = True
        await fleet.add_target("t0", "plain", leaving.respond)
        await fleet.settle()
        await fleet.send_request("/once/a")
        await fleet.add_entry()
        await fleet.settle(0.5)
        assert (await fleet.send_request("/once/a", 1)).status == 503
        assert len(leaving.arrivals) == 1

    df.run_scenario(scenario)


@pytest.mark.parametrize(("started_ms", "is_used"), [(7, False), (6, True), (0, True)])
def test_engine_that_tells_its_sidecar_that_it_leaves(
    started_ms: int, is_used: bool
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t0", "plain")
        fleet.register("t0", "plain", started_ms=7)
        await fleet.settle()
        address = f"127.0.0.1:{fleet.targets['t0'].port}"
        report = messages.Report(
            "side", address, True, 0, 0, 1.0, "", 0, 0, 0, False, 1.0, 0.0, 0, True,
            started_ms,
        )  # fmt: skip
        peer = rpc.Peer("127.0.1.1", fleet.node_port)
        await peer.call(report, 1.0)
        peer.close()
        assert bool(fleet.entries[0].targets.list_available("plain")) is is_used

    df.run_scenario(scenario)


def test_engine_states_on_its_page_that_it_leaves() -> None:
    async def respond(request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        return aiohttp.web.json_response(
            {"running": 1, "born": 9}, headers=dict([LEAVING])
        )

    async def read() -> engine.EngineState | engine.EngineFault:
        server = aiohttp.test_utils.RawTestServer(respond)
        await server.start_server()
        client = engines.PlatformEngine(f"{server.host}:{server.port}")
        state = await client.read_state()
        await client.close()
        await server.close()
        return state

    state = asyncio.run(read())
    assert isinstance(state, engine.EngineState)
    assert (state.is_leaving, state.started_ms) == (True, 9)
