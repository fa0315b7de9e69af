"""Crowds of callers that do not behave, for tests with processes of their own.

A crowd is a number of connections that each send a request, or a part of one, as fast
as the entry takes it, and then stay open without reading. ``run_crowd`` starts an entry
with low limits, opens a crowd, and checks what must hold of the entry meanwhile and
afterwards: it lives, its memory and descriptors stay under a bound, and it answers an
ordinary request.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import os
import pathlib
import random
import resource
import typing

from sardinesaddle.platform import headers
from test import directfleet as df
from test import processfleet, soak

# What an entry may take on a host, by the users' target of 128 MB for each node.
MEMORY_BYTES: typing.Final = 128 * 1024 * 1024
# What callers may make the entry hold; the rest is what it needs without them.
HELD_BYTES: typing.Final = 32 * 1024 * 1024
DESCRIPTOR_LIMIT: typing.Final = 256  # of the process, by the kernel
# Some are left for targets, other entries and the store.
MAX_DESCRIPTORS: typing.Final = 224
BODY_BYTES: typing.Final = 4_000_000  # under the default ``max_body_bytes``
TIMEOUT_MS: typing.Final = 30_000  # of the routes; longer than a test's crowd lasts
SLOTS: typing.Final = 200  # of a target, so that no request of a crowd waits for one
PIECE_BYTES: typing.Final = 64 * 1024
SETTLED_S: typing.Final = 2.0  # without progress, a caller is no longer sending
LOGGED_BYTES: typing.Final = 4096  # of the entry's log, for a failure
DEADLOCK_S: typing.Final = 120.0  # then a test ends that would not end otherwise

Pieces = collections.abc.Iterator[bytes]


def make_head(path: str, *fields: str, deadline_ms: int = TIMEOUT_MS) -> bytes:
    """Return the head of a POST request with an attempt id of its own."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: h.example",
        f"{headers.ATTEMPT_ID}: {random.getrandbits(64):016x}",
        f"{headers.DEADLINE}: {deadline_ms}",
        "Authorization: Bearer key-a",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def split(data: bytes) -> Pieces:
    """Yield data in pieces, so that a caller learns soon that it may not go on."""
    for start in range(0, len(data), PIECE_BYTES):
        yield data[start : start + PIECE_BYTES]


def send_length(path: str, body_bytes: int, sent_bytes: int) -> Pieces:
    """Yield a request with a length, of whose body only a part is sent."""
    yield make_head(path, f"Content-Length: {body_bytes}")
    yield from split(sent_bytes * b"x")


def send_chunks(path: str, body_bytes: int, is_whole: bool) -> Pieces:
    """Yield a request in chunks; the last chunk is missing if it is not whole."""
    yield make_head(path, "Transfer-Encoding: chunked")
    for piece in split(body_bytes * b"x"):
        yield df.encode_chunk(piece)
    if is_whole:
        yield df.encode_chunk(b"")


def send_tiny_chunks(path: str, body_bytes: int) -> Pieces:
    """Yield a request in chunks of one byte, without the last chunk."""
    yield make_head(path, "Transfer-Encoding: chunked")
    yield from split(body_bytes * df.encode_chunk(b"x"))


def send_fields(total_bytes: int, field_bytes: int) -> Pieces:
    """Yield header fields without an end, each under the bound of one field."""
    for number in range(total_bytes // field_bytes):
        yield f"X-{number}: ".encode() + field_bytes * b"a" + b"\r\n"


def send_head(path: str, total_bytes: int, field_bytes: int) -> Pieces:
    """Yield a head that does not end."""
    yield make_head(path)[: -len(b"\r\n")]
    yield from send_fields(total_bytes, field_bytes)


def send_trailer(path: str, total_bytes: int, field_bytes: int) -> Pieces:
    """Yield a small request in chunks whose trailer does not end."""
    yield make_head(path, "Transfer-Encoding: chunked")
    yield df.encode_chunk(b"question") + b"0\r\n"
    yield from send_fields(total_bytes, field_bytes)


def send_extension(path: str, total_bytes: int) -> Pieces:
    """Yield a chunk whose extension does not end."""
    yield make_head(path, "Transfer-Encoding: chunked")
    yield b"1;"
    yield from split(total_bytes * b"a")


def send_pipelined(path: str, total_bytes: int) -> Pieces:
    """Yield small whole requests one behind the other."""
    sent_bytes = 0
    while sent_bytes < total_bytes:
        data = make_head(path, "Content-Length: 1000") + 1000 * b"x"
        sent_bytes += len(data)
        yield data


def send_nothing() -> Pieces:
    """Yield nothing; the connection stays idle."""
    yield from ()


def send_half_line() -> Pieces:
    """Yield half of a request line."""
    yield b"POST /once/a HT"


class CrowdCaller(asyncio.Protocol):
    """One connection of a crowd; it reads nothing once it has connected."""

    def __init__(self, pieces: Pieces) -> None:
        self._pieces = pieces
        self._transport: asyncio.Transport | None = None
        self.sent_bytes = 0
        self.is_done = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to send."""
        self._transport = typing.cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(PIECE_BYTES)
        self._transport.pause_reading()
        self.resume_writing()

    def resume_writing(self) -> None:
        """Send until the connection takes no more; written bytes count as sent."""
        assert self._transport is not None
        while not self._transport.is_closing():
            if self._transport.get_write_buffer_size() > PIECE_BYTES:
                return
            piece = next(self._pieces, None)
            if piece is None:
                break
            self._transport.write(piece)
            self.sent_bytes += len(piece)
        self.is_done = True

    def connection_lost(self, exc: Exception | None) -> None:
        """End; the entry closed the connection."""
        self.is_done = True

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()


class UnreadingTarget(df.ScriptedTarget):
    """A target that accepts connections and reads next to nothing from them."""

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Leave what is sent in the buffers of the connection."""
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        self._writers.add(writer)
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.Event().wait()


async def respond_never(
    target: df.ScriptedTarget, request: df.ReceivedRequest, writer: asyncio.StreamWriter
) -> bool:
    """Work on the request for as long as the test lasts."""
    await asyncio.Event().wait()
    return False


async def respond_large(
    target: df.ScriptedTarget, request: df.ReceivedRequest, writer: asyncio.StreamWriter
) -> bool:
    """Respond with a large body."""
    writer.write(df.make_response(request.attempt_id, BODY_BYTES * b"x"))
    return True


async def respond_length(
    target: df.ScriptedTarget, request: df.ReceivedRequest, writer: asyncio.StreamWriter
) -> bool:
    """Respond with the number of bytes in the body of the request."""
    writer.write(df.make_response(request.attempt_id, str(len(request.body)).encode()))
    return True


@dataclasses.dataclass(frozen=True, slots=True)
class CrowdKind:
    """How many callers there are, and what each of them sends.

    ``target`` is the target of the route ``/unique/``, which has no other one.
    """

    count: int
    make_pieces: collections.abc.Callable[[], Pieces]
    target: type[df.ScriptedTarget] = df.ScriptedTarget
    respond: df.Responder = respond_never


class Crowd:
    """Callers that were opened together, and those that could not connect."""

    def __init__(self, host: str, port: int) -> None:
        self._address = host, port
        self.callers: list[CrowdCaller] = []

    async def open(self, kinds: collections.abc.Iterable[CrowdKind]) -> None:
        """Add the callers of crowds, all at once."""
        async with asyncio.TaskGroup() as tasks:
            for kind in kinds:
                for _ in range(kind.count):
                    tasks.create_task(self._connect(kind.make_pieces))

    async def _connect(self, make_pieces: collections.abc.Callable[[], Pieces]) -> None:
        """Add a caller that sends pieces."""
        loop = asyncio.get_running_loop()
        caller = CrowdCaller(make_pieces())
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SETTLED_S):
                await loop.create_connection(lambda: caller, *self._address)
            self.callers.append(caller)

    async def settle(self) -> None:
        """Wait until no caller sends any more, or until none gets on."""
        loop = asyncio.get_running_loop()
        sent_bytes, moved_at = -1, loop.time()
        while not all(caller.is_done for caller in self.callers):
            now_sent = sum(caller.sent_bytes for caller in self.callers)
            if now_sent != sent_bytes:
                sent_bytes, moved_at = now_sent, loop.time()
            if loop.time() - moved_at > SETTLED_S:
                break
            await asyncio.sleep(0.05)
        await asyncio.sleep(SETTLED_S / 2)

    def close(self) -> None:
        """Close all connections."""
        for caller in self.callers:
            caller.close()


def read_peak_bytes(pid: int) -> int:
    """Return the most memory that a process has taken, by the kernel."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) * 1024


def count_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


@contextlib.contextmanager
def lower_descriptor_limit(limit: int) -> collections.abc.Iterator[None]:
    """Lower the limit of the processes that are started meanwhile."""
    old = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, old[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, old)


def make_config() -> dict[str, object]:
    """Return the configuration of the tests, with long time-outs."""
    return df.make_config(version=2, timeout_ms=TIMEOUT_MS)


def register(fleet: df.Fleet, name: str, service: str) -> None:
    """Register a target with so many slots that no request of a crowd waits."""
    port = fleet.targets[name].port
    registration = df.make_registration(service, port, slots=SLOTS)
    fleet.store.put(f"servers/{name}", registration)


async def add_targets(fleet: processfleet.ProcessFleet, kind: CrowdKind) -> None:
    """Start a sound target of plain requests, and the one that the crowd's go to."""
    sound = df.ScriptedTarget("sound")
    crowded = kind.target("crowded", kind.respond)
    for target, service in ((sound, "plain"), (crowded, "engines")):
        await target.start()
        fleet.targets[target.name] = target
        register(fleet, target.name, service)


def find_faults(process: soak.NodeProcess, pid: int) -> list[str]:
    """Return what does not hold of an entry, with the figures."""
    if not process.is_running or process.pid != pid:
        return [f"the process ended with {process.exit_status}"]
    return find_excesses(pid)


def find_excesses(pid: int) -> list[str]:
    """Return what a process has too much of, with the figures."""
    faults = []
    peak_bytes = read_peak_bytes(pid)
    if peak_bytes > MEMORY_BYTES:
        faults.append(f"memory of {peak_bytes >> 20} MiB, {MEMORY_BYTES >> 20} allowed")
    descriptors = count_descriptors(pid)
    if descriptors > MAX_DESCRIPTORS:
        faults.append(f"{descriptors} descriptors, {MAX_DESCRIPTORS} allowed")
    return faults


async def wait_until_served(fleet: df.Fleet) -> None:
    """Wait until an entry that starts serves a request, or until that is overdue."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + soak.SERVICE_RECOVERY_S
    while loop.time() < deadline and await find_service_fault(fleet, ""):
        await fleet.settle(0.1)


async def find_service_fault(fleet: df.Fleet, when: str) -> list[str]:
    """Send an ordinary request; return that it was not served, if so."""
    status = 0
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(DEADLOCK_S):
            status = (await fleet.send_request("/once/a")).status
    if status != 200 and isinstance(fleet, processfleet.ProcessFleet):
        print(fleet.read_log(0)[-LOGGED_BYTES:])  # shown when a test fails
    return [] if status == 200 else [f"status {status} of an ordinary request {when}"]


def run_scenario(
    directory: pathlib.Path,
    scenario: processfleet.Scenario,
    held_bytes: int = HELD_BYTES,
) -> None:
    """Run a scenario on an entry with low limits for memory and descriptors."""

    async def start_and_run(fleet: processfleet.ProcessFleet) -> None:
        async with asyncio.timeout(DEADLOCK_S):
            await scenario(fleet)

    with lower_descriptor_limit(DESCRIPTOR_LIMIT):
        processfleet.run_scenario(
            directory, raise_own_limit(start_and_run), max_buffered_bytes=held_bytes
        )


def open_crowd(fleet: processfleet.ProcessFleet) -> Crowd:
    """Return a crowd without callers, at the first entry."""
    return Crowd(processfleet.make_host(0), fleet.ports[0])


def raise_own_limit(scenario: processfleet.Scenario) -> processfleet.Scenario:
    """Return the scenario with the test's own descriptors limited as before."""

    async def run(fleet: processfleet.ProcessFleet) -> None:
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        fleet.store.put("op/config", make_config())
        await scenario(fleet)

    return run


def run_crowd(directory: pathlib.Path, kinds: list[CrowdKind]) -> None:
    """Open a crowd, check the entry while it stays and after it has left."""
    faults: list[str] = []

    async def scenario(fleet: processfleet.ProcessFleet) -> None:
        process = fleet.processes[0]
        pid = process.pid
        await add_targets(fleet, kinds[0])
        await fleet.settle(1.0)
        crowd = open_crowd(fleet)
        await crowd.open(kinds)
        await crowd.settle()
        faults.extend(await find_service_fault(fleet, "while the crowd stays"))
        faults.extend(find_faults(process, pid))
        crowd.close()
        await asyncio.sleep(SETTLED_S / 2)
        faults.extend(await find_service_fault(fleet, "after the crowd"))
        faults.extend(find_faults(process, pid))
        print(f"peak {read_peak_bytes(pid) >> 20} MiB")  # shown when a test fails

    run_scenario(directory, scenario)
    assert not faults, "; ".join(dict.fromkeys(faults))
