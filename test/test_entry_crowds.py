"""Tests that crowds of callers leave an entry of the product's own path serving others.

The stand-ins of the quick start, a sidecar and the entry run as processes. Each test
runs alone, as those of ``test_direct_crowds``, whose bounds and callers it has.
"""

import asyncio
import collections.abc
import json
import pathlib
import subprocess
import sys
import typing

import aiohttp
import pytest

from test import crowds, freeports

pytestmark = pytest.mark.crowd

HOST: typing.Final = "127.0.0.1"
BODY_BYTES: typing.Final = 1_000_000  # the entry accepts up to 1 MiB
TOTAL_BYTES: typing.Final = 1024 * 1024  # of heads and trailers
FIELD_BYTES: typing.Final = 8000  # the entry accepts up to 8,190
MAX_CALLS: typing.Final = 64
PORT_COUNT: typing.Final = 40  # that the quick start uses
START_TIMEOUT_S: typing.Final = 30.0
PATH: typing.Final = "/v1/chat/completions"


def as_alice(pieces: crowds.Pieces) -> crowds.Pieces:
    """Yield the pieces of a request with a token of the quick start."""
    for piece in pieces:
        yield piece.replace(b"Bearer key-a", b"Bearer token-of-alice")


Maker = collections.abc.Callable[[], crowds.Pieces]
CROWDS: typing.Final[dict[str, tuple[int, Maker]]] = {
    "stalled_length": (
        200,
        lambda: crowds.send_length(PATH, BODY_BYTES, BODY_BYTES - 1),
    ),
    "stalled_chunks": (
        200,
        lambda: crowds.send_chunks(PATH, BODY_BYTES, is_whole=False),
    ),
    "whole_length": (200, lambda: crowds.send_length(PATH, BODY_BYTES, BODY_BYTES)),
    "tiny_chunks": (20, lambda: crowds.send_tiny_chunks(PATH, BODY_BYTES)),
    "heads": (200, lambda: crowds.send_head(PATH, TOTAL_BYTES, FIELD_BYTES)),
    "trailers": (200, lambda: crowds.send_trailer(PATH, TOTAL_BYTES, FIELD_BYTES)),
    "half_request_lines": (400, crowds.send_half_line),
    "idle_connections": (400, crowds.send_nothing),
}


class Processes:
    """The processes of a quick start in a directory."""

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._running: list[subprocess.Popen[bytes]] = []

    def start(self, *arguments: str) -> subprocess.Popen[bytes]:
        """Start a command of the product; its log is in the directory."""
        program = "from sardinesaddle import main; main.main()"
        command = [sys.executable, "-c", program, *arguments]
        with (self._directory / f"{arguments[-1]}.log".replace("/", "-")).open(
            "ab"
        ) as log:
            process = subprocess.Popen(
                command, cwd=self._directory, stdout=log, stderr=subprocess.STDOUT
            )
        self._running.append(process)
        return process

    def stop(self) -> None:
        """Kill all processes."""
        for process in self._running:
            process.kill()
            process.wait()


async def find_service_fault(port: int, when: str) -> list[str]:
    """Send an ordinary request; return that it was not served, if so."""
    status: object = None
    body = {"model": "sermon-text", "messages": [{"role": "user", "content": "hello"}]}
    try:
        async with aiohttp.ClientSession() as session:
            url = f"http://{HOST}:{port}{PATH}"
            token = {"Authorization": "Bearer token-of-alice"}
            limit = aiohttp.ClientTimeout(total=crowds.TIMEOUT_MS / 1000)
            async with session.post(url, json=body, headers=token, timeout=limit) as r:
                await r.read()
                status = r.status
    except (aiohttp.ClientError, TimeoutError) as exc:
        status = exc
    return [] if status == 200 else [f"{status!r} for an ordinary request {when}"]


async def wait_until(
    is_done: collections.abc.Callable[[], collections.abc.Awaitable[bool]],
) -> None:
    """Wait until something holds."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while not await is_done():
            await asyncio.sleep(0.1)


async def play(
    processes: Processes, directory: pathlib.Path, count: int, make_pieces: Maker
) -> list[str]:
    """Open a crowd; return what did not hold of the entry, with the figures."""
    base = freeports.find_free_ports(HOST, PORT_COUNT)
    settings = directory / "quickstart"
    processes.start("standins", str(base))

    async def has_settings() -> bool:
        return (settings / "sidecar-1.json").exists()

    await wait_until(has_settings)
    await asyncio.sleep(1.0)
    _, _, text = (settings / "entry.json").read_text().partition("\n")
    cfg = json.loads(text) | {"max_calls": MAX_CALLS}
    (settings / "entry.json").write_text(json.dumps(cfg))
    processes.start("sidecar", "quickstart/sidecar-0.json")
    with crowds.lower_descriptor_limit(crowds.DESCRIPTOR_LIMIT):
        entry = processes.start("entry", "quickstart/entry.json")
    port = base + 10

    async def is_serving() -> bool:
        return not await find_service_fault(port, "")

    await wait_until(is_serving)
    crowd = crowds.Crowd(HOST, port)
    kind = crowds.CrowdKind(count, lambda: as_alice(make_pieces()))
    await crowd.open([kind])
    await crowd.settle()
    faults = await find_service_fault(port, "while the crowd stays")
    faults += crowds.find_excesses(entry.pid)
    crowd.close()
    await asyncio.sleep(1.0)
    faults += await find_service_fault(port, "after the crowd")
    if entry.poll() is not None:
        return [f"the process ended with {entry.returncode}"]
    print(f"peak {crowds.read_peak_bytes(entry.pid) >> 20} MiB")
    return faults + crowds.find_excesses(entry.pid)


@pytest.mark.parametrize("name", list(CROWDS))
def test_others_are_served_beside_a_crowd(name: str, tmp_path: pathlib.Path) -> None:
    """Guards against callers who fill an entry's memory, descriptors or time."""
    processes = Processes(tmp_path)
    try:
        faults = asyncio.run(play(processes, tmp_path, *CROWDS[name]))
    finally:
        processes.stop()
    assert not faults, "; ".join(dict.fromkeys(faults))
