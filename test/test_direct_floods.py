"""Tests that an engine that writes without end does not keep an entry from others."""

import asyncio
import pathlib
import re
import typing

import pytest

from sardinesaddle.direct import httpexchange, parserturns, upstream
from sardinesaddle.platform import headers
from sardinesaddle.standins import loopdriver
from test import directfleet as df
from test import floodingengine, processfleet

CHUNKED: typing.Final = ("Transfer-Encoding", "chunked")
OWN: typing.Final = (headers.ATTEMPT_ID, "ID")
OTHER: typing.Final = (headers.ATTEMPT_ID, "another")
BODY_HEAD: typing.Final = df.make_response_head(404, OWN, df.SIGNATURE_HEADER, CHUNKED)
OTHER_HEAD: typing.Final = df.make_response_head(
    200, OTHER, df.SIGNATURE_HEADER, CHUNKED
)
REFUSAL_HEAD: typing.Final = df.make_response_head(
    503, OWN, (headers.NOT_RUN, "1"), CHUNKED
)
STREAM_HEAD: typing.Final = df.make_stream_head("ID")
TINY: typing.Final = df.encode_chunk(b"x")
# What an engine writes as fast as it can: a beginning, and what it repeats.
FLOODS: typing.Final = {
    "tiny chunks of a body": (BODY_HEAD, TINY),
    "tiny chunks of an event": (STREAM_HEAD, TINY),
    "tiny chunks for another attempt": (OTHER_HEAD, TINY),
    "tiny chunks of a refusal": (REFUSAL_HEAD, TINY),
    "tiny chunks with extensions": (STREAM_HEAD, b"1;" + 40 * b"a" + b"\r\n:\r\n"),
    "tiny comments": (STREAM_HEAD, df.encode_chunk(b":") + 2 * df.encode_chunk(b"\n")),
    "comments": (STREAM_HEAD, df.encode_chunk(9999 * b": x\n\n")),
    "blank lines": (STREAM_HEAD, df.encode_chunk(b"\n")),
    "informational": (b"", b"HTTP/1.1 102 Wait\r\n\r\n"),
    "head lines": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
    "small events": (
        STREAM_HEAD,
        b"".join(
            df.encode_chunk(b"id: %d\ndata: x\n\n" % number) for number in range(20_000)
        ),
    ),
}
FLOODS_AT_ONCE: typing.Final = 4
FLOOD_S: typing.Final = 1.5
PERIOD_S: typing.Final = 0.05  # between two requests of another caller
# The first token is due after 0.62 s. Without floods a response takes some 5 ms.
MAX_LATENCY_S: typing.Final = 0.6
PIECE_COUNT: typing.Final = 20_000


async def measure_others(fleet: df.Fleet, latencies: list[float]) -> None:
    """Send a request to a sound target; append how long its response took."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    response = await fleet.send_request("/once/a")
    assert response.status == 200
    latencies.append(loop.time() - began_at)


@pytest.mark.parametrize("kind", list(FLOODS))
def test_others_are_served_while_engines_write_without_end(
    kind: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a connection that keeps the event loop from all other requests."""

    async def scenario(fleet: processfleet.ProcessFleet) -> None:
        loop = asyncio.get_running_loop()
        flooding = floodingengine.FloodingEngine(*FLOODS[kind])
        fleet.targets["flooding"] = df.ScriptedTarget("flooding")
        fleet.targets["flooding"].port = flooding.port
        fleet.register("flooding", "engines")
        await fleet.add_target("sound", "plain")
        await asyncio.sleep(1.0)
        latencies: list[float] = []
        worst_lag_s = 0.0  # of the test's own event loop
        async with asyncio.TaskGroup() as tasks:
            floods = [
                tasks.create_task(
                    fleet.send_request(path, deadline_ms=int(FLOOD_S * 1000))
                )
                for path in FLOODS_AT_ONCE // 2 * ["/stream/a", "/unique/a"]
            ]
            for _ in range(int(FLOOD_S / PERIOD_S)):
                tasks.create_task(measure_others(fleet, latencies))
                due_at = loop.time() + PERIOD_S
                await asyncio.sleep(PERIOD_S)
                worst_lag_s = max(worst_lag_s, loop.time() - due_at)
        flooding.stop()
        del fleet.targets["flooding"]
        assert not any(task.result().status == 200 for task in floods) or (
            kind == "small events"
        )
        worst = sorted(latencies)[-3:]
        logged = re.findall(r"route=once .* ms=(\d+)", fleet.read_log(0))
        assert worst[-1] < MAX_LATENCY_S, (
            f"{worst} s, test's lag {worst_lag_s} s, the entry's own times {logged} ms"
        )

    processfleet.run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("head", [BODY_HEAD, OTHER_HEAD], ids=["own", "other"])
def test_other_work_gets_its_turn_within_what_was_received(head: bytes) -> None:
    """Guards against pieces that are parsed in one step since all of them are there."""

    async def run() -> None:
        ticks = 0

        async def tick() -> None:
            nonlocal ticks
            while True:
                await asyncio.sleep(0)
                ticks += 1

        conn = upstream.Connection()
        exchange = httpexchange.Exchange(conn, headers.PlatformHeaderCodec(), "ID")
        exchange.send("GET", "/", [("Host", "h")], b"")
        conn.data_received(head + PIECE_COUNT * TINY + df.encode_chunk(b""))
        if head is OTHER_HEAD:
            conn.data_received(BODY_HEAD + df.encode_chunk(b""))
        ticker = asyncio.create_task(tick())
        assert isinstance(await exchange.read_head(), httpexchange.ResponseHead)
        body = b""
        while isinstance(data := await exchange.read_body(), bytes):
            body += data
        assert isinstance(data, httpexchange.EndOfBody)
        assert body == (PIECE_COUNT * b"x" if head is BODY_HEAD else b"")
        assert ticks >= PIECE_COUNT // parserturns.PIECES_PER_TURN
        ticker.cancel()

    asyncio.run(run())


def test_turns_go_round_and_skip_those_that_left() -> None:
    """Guards against a connection that is given turns before others that wait."""

    async def run() -> None:
        turns = parserturns.ParserTurns()
        order: list[str] = []

        async def take(name: str) -> None:
            for _ in range(3):
                await turns.wait()
                order.append(name)

        tasks = [asyncio.create_task(take(name)) for name in "abc"]
        await asyncio.sleep(0)
        tasks[1].cancel()
        await asyncio.wait(tasks)
        assert order == list("acacac")

    asyncio.run(run())


def test_turns_are_saved_for_a_burst_and_then_come_one_a_period() -> None:
    """Guards against floods that take all of the loop's time, and slow bursts."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        turns = parserturns.ParserTurns()
        await asyncio.sleep(parserturns.TURN_PERIOD_S)
        for round_count in range(2):
            began_at = loop.time()
            for _ in range(parserturns.SAVED_TURNS):
                await turns.wait()
            took_s = loop.time() - began_at
            paced_s = 0.9 * parserturns.SAVED_TURNS * parserturns.TURN_PERIOD_S
            assert (took_s >= paced_s) == (round_count == 1)
        await asyncio.sleep(parserturns.SAVED_TURNS * parserturns.TURN_PERIOD_S)
        began_at = loop.time()
        for _ in range(parserturns.SAVED_TURNS // 2):
            await turns.wait()
        assert loop.time() - began_at < paced_s / 2

    loopdriver.LoopDriver(is_clock_virtual=True).run(run())


def test_pieces_that_come_a_few_at_a_time_take_turns() -> None:
    """Guards against a flood that is never counted, as it waits for bytes now and then.

    An entry that relayed 20 such floods had no time left.
    """
    feed_count = 1280
    fed_pieces = parserturns.PIECES_PER_TURN // 2
    period_s = parserturns.TURN_PERIOD_S / 4

    async def run() -> None:
        loop = asyncio.get_running_loop()
        conn = upstream.Connection()
        exchange = httpexchange.Exchange(conn, headers.PlatformHeaderCodec(), "ID")
        exchange.send("GET", "/", [("Host", "h")], b"")
        conn.data_received(BODY_HEAD)
        assert isinstance(await exchange.read_head(), httpexchange.ResponseHead)

        async def feed() -> None:
            for _ in range(feed_count):
                conn.data_received(fed_pieces * TINY)
                await asyncio.sleep(period_s)
            conn.data_received(df.encode_chunk(b""))

        began_at = loop.time()
        feeding = asyncio.create_task(feed())
        body_bytes = 0
        while isinstance(data := await exchange.read_body(), bytes):
            body_bytes += len(data)
            exchange.mark_used()
        assert isinstance(data, httpexchange.EndOfBody)
        assert body_bytes == feed_count * fed_pieces
        assert loop.time() - began_at > 1.4 * feed_count * period_s
        await feeding

    loopdriver.LoopDriver(is_clock_virtual=True).run(run())
