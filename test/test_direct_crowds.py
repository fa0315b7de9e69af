"""Tests that crowds of callers that do not behave leave an entry serving others.

Each runs alone: ``make test`` plays them one at a time, after all other tests.
"""

import asyncio
import collections.abc
import dataclasses
import pathlib
import typing

import pytest

from test import crowds, processfleet
from test import directfleet as df

pytestmark = pytest.mark.crowd

BODY: typing.Final = crowds.BODY_BYTES
MISSING_BYTES: typing.Final = 1
FIELD_BYTES: typing.Final = 32 * 1024  # 128 fields, which the parser accepts
TOTAL_BYTES: typing.Final = 4 * 1024 * 1024  # of heads, trailers, queued requests
TINY_BODY_BYTES: typing.Final = 1024 * 1024
Kind = crowds.CrowdKind
# What each caller of a crowd sends, by name, to the routes that they name.
STALLED_LENGTH: typing.Final = Kind(
    40, lambda: crowds.send_length("/unique/a", BODY, BODY - MISSING_BYTES)
)
STALLED_CHUNKS: typing.Final = Kind(
    40, lambda: crowds.send_chunks("/unique/a", BODY, is_whole=False)
)
CROWDS: typing.Final[dict[str, list[crowds.CrowdKind]]] = {
    "stalled_length": [STALLED_LENGTH],
    "stalled_chunks": [STALLED_CHUNKS],
    "stalled_other_route": [
        Kind(40, lambda: crowds.send_length("/none/a", BODY, BODY - MISSING_BYTES))
    ],
    "stalled_over_the_limit": [
        Kind(40, lambda: crowds.send_length("/unique/a", 2 * BODY, BODY))
    ],
    "whole_length": [Kind(40, lambda: crowds.send_length("/unique/a", BODY, BODY))],
    "whole_chunks": [
        Kind(40, lambda: crowds.send_chunks("/unique/a", BODY, is_whole=True))
    ],
    "whole_resumable": [Kind(40, lambda: crowds.send_length("/stream/a", BODY, BODY))],
    "unread_by_target": [
        Kind(
            40,
            lambda: crowds.send_length("/unique/a", BODY, BODY),
            crowds.UnreadingTarget,
        )
    ],
    "unread_by_target_chunks": [
        Kind(
            40,
            lambda: crowds.send_chunks("/unique/a", BODY, is_whole=True),
            crowds.UnreadingTarget,
        )
    ],
    "tiny_chunks": [
        Kind(20, lambda: crowds.send_tiny_chunks("/unique/a", TINY_BODY_BYTES))
    ],
    "heads": [
        Kind(40, lambda: crowds.send_head("/unique/a", TOTAL_BYTES, FIELD_BYTES))
    ],
    "trailers": [
        Kind(40, lambda: crowds.send_trailer("/unique/a", TOTAL_BYTES, FIELD_BYTES))
    ],
    "extensions": [Kind(40, lambda: crowds.send_extension("/unique/a", TOTAL_BYTES))],
    "half_request_lines": [Kind(400, crowds.send_half_line)],
    "idle_connections": [Kind(400, crowds.send_nothing)],
    "pipelined": [Kind(40, lambda: crowds.send_pipelined("/unique/a", TOTAL_BYTES))],
    "unread_responses": [
        Kind(
            100,
            lambda: crowds.send_length("/unique/a", 8, 8),
            respond=crowds.respond_large,
        )
    ],
}
MIXTURE_SHARE: typing.Final = 5  # of each crowd, one caller in so many
CROWDS["mixture"] = [
    dataclasses.replace(kind, count=kind.count // MIXTURE_SHARE)
    for kinds in CROWDS.values()
    for kind in kinds
]


@pytest.mark.parametrize("name", list(CROWDS))
def test_others_are_served_beside_a_crowd(name: str, tmp_path: pathlib.Path) -> None:
    """Guards against callers who fill an entry's memory, descriptors or time."""
    crowds.run_crowd(tmp_path, CROWDS[name])


@pytest.mark.parametrize("name", ["stalled_length", "stalled_chunks", "whole_length"])
def test_entry_that_drains_ends_beside_a_crowd(
    name: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a crowd that keeps an entry from its end, or fills it then."""
    (kind,) = CROWDS[name]

    async def scenario(fleet: processfleet.ProcessFleet) -> None:
        process = fleet.processes[0]
        await crowds.add_targets(fleet, kind)
        await fleet.settle(1.0)
        crowd = crowds.open_crowd(fleet)
        fleet.stop_gracefully(0)
        await crowd.open([kind])
        faults = await crowds.find_service_fault(fleet, "while the entry drains")
        faults += crowds.find_faults(process, process.pid)
        peak_bytes = 0
        while process.is_running:
            # Once the process has ended, its peak cannot be read.
            try:
                peak_bytes = max(peak_bytes, crowds.read_peak_bytes(process.pid))
            except (OSError, IndexError):
                break
            await asyncio.sleep(0.02)
        assert await process.wait_for_exit(crowds.DEADLOCK_S)
        crowd.close()
        assert not faults, "; ".join(faults)
        assert process.exit_status == 0
        assert peak_bytes <= crowds.MEMORY_BYTES, f"{peak_bytes >> 20} MiB"

    crowds.run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("name", ["stalled_length", "stalled_chunks", "whole_length"])
def test_entry_that_starts_bears_a_crowd(name: str, tmp_path: pathlib.Path) -> None:
    """Guards against a crowd that fills an entry before it has a configuration."""
    (kind,) = CROWDS[name]

    async def scenario(fleet: processfleet.ProcessFleet) -> None:
        process = fleet.processes[0]
        await crowds.add_targets(fleet, kind)
        fleet.store.is_unresponsive = True
        await process.kill_and_wait()
        with crowds.lower_descriptor_limit(crowds.DESCRIPTOR_LIMIT):
            process.start()
        pid = process.pid
        await wait_until_listening(fleet)
        crowd = crowds.open_crowd(fleet)
        await crowd.open([kind])
        await crowd.settle()
        faults = crowds.find_faults(process, pid)
        fleet.store.is_unresponsive = False
        await fleet.wait_until_configured(0)
        await crowds.wait_until_served(fleet)
        faults += await crowds.find_service_fault(fleet, "while the crowd stays")
        faults += crowds.find_faults(process, pid)
        crowd.close()
        assert not faults, "; ".join(dict.fromkeys(faults))

    crowds.run_scenario(tmp_path, scenario)


async def wait_until_listening(fleet: processfleet.ProcessFleet) -> None:
    """Wait until an entry accepts connections."""
    while True:
        try:
            _, writer = await fleet.connect()
        except OSError:
            await asyncio.sleep(0.05)
            continue
        writer.transport.abort()
        return


def test_one_body_in_chunks_of_a_byte_is_served_in_calm(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against turns so rare that a legal request is not read in its time."""

    async def scenario(fleet: processfleet.ProcessFleet) -> None:
        await add_counting_target(fleet)
        reader, writer = await fleet.connect()
        began_at = asyncio.get_running_loop().time()
        for piece in crowds.send_tiny_chunks("/once/a", TINY_BODY_BYTES):
            writer.write(piece)
            await writer.drain()
        writer.write(df.encode_chunk(b""))
        response = await reader.readuntil(b"\r\n\r\n")
        print(f"{asyncio.get_running_loop().time() - began_at:.1f} s")
        assert response.startswith(b"HTTP/1.1 200 "), response
        length = str(TINY_BODY_BYTES).encode()
        assert await reader.readexactly(len(length)) == length
        writer.transport.abort()

    crowds.run_scenario(tmp_path, scenario)


async def add_counting_target(fleet: processfleet.ProcessFleet) -> None:
    """Start a target that responds with the length of the request's body."""
    target = df.ScriptedTarget("sound", crowds.respond_length)
    await target.start()
    fleet.targets["sound"] = target
    crowds.register(fleet, "sound", "plain")
    await fleet.settle(1.0)


LARGEST_BYTES: typing.Final = 4 * 1024 * 1024  # the default ``max_body_bytes``
SLOW_PIECES: typing.Final = 40
SLOW_PERIOD_S: typing.Final = 0.1


def send_slowly_with_length() -> crowds.Pieces:
    """Yield the largest request in a few pieces."""
    yield crowds.make_head("/once/a", f"Content-Length: {LARGEST_BYTES}")
    for _ in range(SLOW_PIECES):
        yield LARGEST_BYTES // SLOW_PIECES * b"x"
    yield LARGEST_BYTES % SLOW_PIECES * b"x"


def send_slowly_in_chunks() -> crowds.Pieces:
    """Yield the largest request in a few chunks."""
    yield crowds.make_head("/once/a", "Transfer-Encoding: chunked")
    for _ in range(SLOW_PIECES):
        yield df.encode_chunk(LARGEST_BYTES // SLOW_PIECES * b"x")
    yield df.encode_chunk(LARGEST_BYTES % SLOW_PIECES * b"x") + df.encode_chunk(b"")


@pytest.mark.parametrize("held_bytes", [2**20, crowds.HELD_BYTES])
@pytest.mark.parametrize(
    "make_pieces", [send_slowly_with_length, send_slowly_in_chunks]
)
def test_one_request_inside_the_limits_is_served_in_calm(
    make_pieces: collections.abc.Callable[[], crowds.Pieces],
    held_bytes: int,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a bound that refuses the largest request when nothing is held."""

    async def scenario(fleet: processfleet.ProcessFleet) -> None:
        await add_counting_target(fleet)
        reader, writer = await fleet.connect()
        for piece in make_pieces():
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(SLOW_PERIOD_S)
        response = await reader.readuntil(b"\r\n\r\n")
        length = str(LARGEST_BYTES).encode()
        assert response.startswith(b"HTTP/1.1 200 "), response
        assert await reader.readexactly(len(length)) == length
        writer.transport.abort()

    crowds.run_scenario(tmp_path, scenario, held_bytes)
