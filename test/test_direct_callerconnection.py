"""Tests of the bounds on heads, trailers and idle connections of callers."""

import asyncio
import typing

import pytest

from sardinesaddle.direct import callermemory
from test import directfleet as df

MAX_HEADER_BYTES: typing.Final = 8 * 1024
HEADER_TIMEOUT_S: typing.Final = 2.0
IDLE_TIMEOUT_S: typing.Final = 4.0
LIMITS: typing.Final = {
    "max_header_bytes": MAX_HEADER_BYTES,
    "header_timeout_ms": HEADER_TIMEOUT_S * 1000,
    "idle_timeout_ms": IDLE_TIMEOUT_S * 1000,
}
HEAD: typing.Final = (
    b"POST /once/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n"
    b"Authorization: Bearer key-a\r\n"
)
MAX_DESCRIPTORS: typing.Final = 64
MAX_CONNECTIONS: typing.Final = callermemory.compute_max_connections(MAX_DESCRIPTORS)
PERIOD_S: typing.Final = 0.3  # in which connections that are overdue are closed


async def start(fleet: df.Fleet) -> None:
    """Start a target; put a configuration with the limits in force."""
    await fleet.add_target("t1", "plain")
    fleet.store.put("op/config", df.make_config(version=2) | {"limits": LIMITS})
    await fleet.settle()


def make_head(head_bytes: int) -> bytes:
    """Return the head of a request of so many bytes, for a body of 4."""
    head = HEAD + b"Content-Length: 4\r\nX-Filler: "
    return head + (head_bytes - len(head) - 4) * b"a" + b"\r\n\r\n"


@pytest.mark.parametrize(("excess", "status"), [(0, 200), (1, 431), (65536, 431)])
def test_head_over_the_limit_is_refused(excess: int, status: int) -> None:
    """Guards against heads without a bound, and refusals of the longest one."""

    async def scenario(fleet: df.Fleet) -> None:
        await start(fleet)
        reader, writer = await fleet.connect()
        writer.write(make_head(MAX_HEADER_BYTES + excess) + b"body")
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(f"HTTP/1.1 {status} ".encode())
        writer.transport.abort()

    df.run_scenario(scenario)


def test_trailer_over_the_limit_is_refused() -> None:
    """Guards against a trailer without a bound behind a small body."""

    async def scenario(fleet: df.Fleet) -> None:
        await start(fleet)
        reader, writer = await fleet.connect()
        writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n")
        for number in range(10):
            writer.write(b"X-%d: " % number + 4096 * b"a" + b"\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 400 ")
        writer.transport.abort()

    df.run_scenario(scenario)


@pytest.mark.parametrize(
    ("sent", "status", "after_s"),
    [
        (b"POST /on", b"408", HEADER_TIMEOUT_S),
        (HEAD, b"408", HEADER_TIMEOUT_S),
        (b"", b"", 1.25 * IDLE_TIMEOUT_S),
        (b"\r\n", b"", 1.25 * IDLE_TIMEOUT_S),
        (make_head(200) + b"body", b"200", 1.25 * IDLE_TIMEOUT_S),
    ],
)
def test_connection_without_a_request_is_closed_in_time(
    sent: bytes, status: bytes, after_s: float
) -> None:
    """Guards against connections that stay for as long as their callers like."""

    async def scenario(fleet: df.Fleet) -> None:
        await start(fleet)
        loop = asyncio.get_running_loop()
        reader, writer = await fleet.connect()
        began_at = loop.time()
        writer.write(sent)
        received = await reader.read()
        assert received.partition(b" ")[2][:3] == status
        assert after_s <= loop.time() - began_at < after_s + PERIOD_S
        writer.transport.abort()

    df.run_scenario(scenario)


def test_head_that_comes_slowly_is_read_within_its_time() -> None:
    """Guards against a time-out between two bytes of a head, or from the connect on."""

    async def scenario(fleet: df.Fleet) -> None:
        await start(fleet)
        reader, writer = await fleet.connect()
        await fleet.settle(HEADER_TIMEOUT_S + 1.0)
        for byte in make_head(200):
            writer.write(bytes([byte]))
            await fleet.settle(0.9 * HEADER_TIMEOUT_S / 200)
        writer.write(b"body")
        assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 200 ")
        writer.transport.abort()

    df.run_scenario(scenario)


def test_connections_without_a_head_are_closed_first_for_room() -> None:
    """Guards against a full entry that takes no new callers, or cuts running ones."""

    async def scenario(fleet: df.Fleet) -> None:
        target = await fleet.add_target("t1", "plain", respond_late)
        await fleet.settle()
        running = asyncio.create_task(fleet.send_request("/once/a"))
        await fleet.settle(0.1)
        idle = await fleet.connect()
        await fleet.send_request("/none/a", conn=idle)
        stalled = await fleet.connect()
        stalled[1].write(HEAD + b"Content-Length: 9\r\n\r\npart")
        silent = []
        for _ in range(MAX_CONNECTIONS - 3):
            silent.append(await fleet.connect())
            await fleet.settle(0.01)
        silent[-1][1].write(b"POST /once/a HT")
        await fleet.settle(1.5)
        conns = [*silent, idle, stalled]
        newer = []
        for expected in conns:
            closed = [conn for conn in conns if conn[0].at_eof()]
            numbers = [conns.index(conn) for conn in closed]
            assert numbers == list(range(conns.index(expected)))
            newer.append(await fleet.connect())
            await fleet.send_request("/none/a", conn=newer[-1])
            newer[-1][1].write(HEAD + b"Content-Length: 9\r\n\r\npart")
            await fleet.settle(0.01)
        assert (await running).status == 200
        assert len(target.requests) == 1

    df.run_scenario(scenario, max_descriptors=MAX_DESCRIPTORS)


async def respond_late(
    target: df.ScriptedTarget, request: df.ReceivedRequest, writer: asyncio.StreamWriter
) -> bool:
    """Respond when the other connections were closed."""
    await asyncio.sleep(3.5)
    return await df.respond_with_name(target, request, writer)
