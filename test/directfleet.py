"""A test fleet of the direct path: entries, scripted targets, an in-memory store.

All connections use loopback addresses, and time is the virtual clock of
``standins.loopdriver``. ``run_scenario`` is the entry point for tests.
"""

import asyncio
import collections.abc
import dataclasses
import random
import socket
import struct
import typing

import h11
import msgspec

from sardinesaddle.direct import (
    entrynode,
    freshness,
    nodesettings,
    replica,
    storewatcher,
)
from sardinesaddle.platform import catalogformat, headers, identity
from sardinesaddle.standins import loopdriver
from test import freeports

Scenario = collections.abc.Callable[
    ["Fleet"], collections.abc.Coroutine[typing.Any, typing.Any, None]
]
STREAMING_PREFIXES: typing.Final = ("/stream/", "/unique/")  # of the routes below
SIGNATURE_HEADER: typing.Final = (headers.SIGNATURE, "signed")
HEALTH_PATH: typing.Final = "/healthz"


class LoopClock(freshness.SuspendAwareClock):
    """The event loop's clock; ``suspended_s`` simulates a suspension of the host."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def read(self) -> float:
        """Return the loop's time plus the time spent suspended, in seconds."""
        return asyncio.get_running_loop().time() + self.suspended_s


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """What a store held at a revision, with the history up to it."""

    rev: int
    items: dict[str, replica.Change]
    history: list[replica.Change]


class MemoryStore(storewatcher.Store):
    """An in-memory stand-in for the platform's store.

    While ``is_down`` is set, calls fail after 4 ms; while ``is_unresponsive`` is set,
    they fail after 1 s. ``call_count`` counts all reads and watches. ``era`` is 0 for
    a store that states none.
    """

    def __init__(self) -> None:
        self.era = 1
        self.rev = 1
        self.items: dict[str, replica.Change] = {}
        self.history: list[replica.Change] = []
        self.compacted_rev = 0
        self.is_down = False
        self.is_unresponsive = False
        self.call_count = 0
        self._changed = asyncio.Event()

    def put(self, key: str, value: object) -> None:
        """Write a key; values that are not bytes are encoded as JSON."""
        self.rev += 1
        previous = self.items.get(key)
        created = previous.created_rev if previous else self.rev
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self.items[key] = replica.Change(key, self.rev, data, created)
        self._record_change(self.items[key])

    def delete(self, key: str) -> None:
        """Delete a key, which must exist."""
        self.rev += 1
        del self.items[key]
        self._record_change(replica.Change(key, self.rev, None))

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored later."""
        return StoreCopy(self.rev, dict(self.items), list(self.history))

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: later changes are gone, waiting watches are cut."""
        self.era += 1
        self.rev = copy.rev
        self.items = dict(copy.items)
        self.history = list(copy.history)
        self._changed.set()
        self._changed = asyncio.Event()

    def compact(self) -> None:
        """Discard the history, so that watches of older revisions fail."""
        self.compacted_rev = self.rev
        self.history.clear()

    def _record_change(self, change: replica.Change) -> None:
        """Append a change to the history and wake the watches."""
        self.history.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _simulate_fault(self) -> storewatcher.StoreFault | None:
        """Count a call, wait its latency, and return the simulated fault, if any."""
        self.call_count += 1
        if self.is_unresponsive:
            await asyncio.sleep(1.0)
            return storewatcher.StoreFault("silent", False)
        await asyncio.sleep(0.004)
        return self._make_fault("down") if self.is_down else None

    def _make_fault(
        self, reason: str, is_history_gone: bool = False
    ) -> storewatcher.StoreFault:
        """Return a fault that states the store's era."""
        return storewatcher.StoreFault(reason, is_history_gone, self.era)

    async def read_all(self, prefix: str) -> replica.Delta | storewatcher.StoreFault:
        """Return all keys under a prefix, or the simulated fault."""
        fault = await self._simulate_fault()
        if fault is not None:
            return fault
        changes = tuple(c for k, c in self.items.items() if k.startswith(prefix))
        return replica.Delta(changes, self.rev, True, self.era)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> replica.Delta | storewatcher.StoreFault:
        """Return the changes after a revision, waiting up to ``wait_s`` for one."""
        fault = await self._simulate_fault()
        if fault is not None:
            return fault
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        era = self.era
        while True:
            if self.era != era:
                return self._make_fault("cut")
            if after < self.compacted_rev or after > self.rev:
                return self._make_fault("history is gone", True)
            if self.is_unresponsive:
                await asyncio.sleep(1.0)
                return storewatcher.StoreFault("silent", False)
            changes = [
                c for c in self.history if c.rev > after and c.key.startswith(prefix)
            ]
            if changes or loop.time() >= deadline:
                return replica.Delta(tuple(changes), self.rev, False, self.era)
            changed = self._changed
            try:
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                continue
            if self.is_down:
                return self._make_fault("cut")


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """A request as a target received it.

    ``closed_at`` is when the target noticed that the connection was closed before its
    response was complete; None if it was not. Times are the event loop's.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    connection_number: int
    received_at: float
    closed_at: float | None = None

    @property
    def attempt_id(self) -> str:
        """The caller's Attempt-Id header, or an empty string."""
        return self.headers.get(headers.ATTEMPT_ID.lower(), "")


Responder = collections.abc.Callable[
    ["ScriptedTarget", ReceivedRequest, asyncio.StreamWriter],
    collections.abc.Coroutine[typing.Any, typing.Any, bool],
]
"""Responds to a request; returns whether the connection is kept open."""


def make_response_head(status: int, *fields: tuple[str, str]) -> bytes:
    """Return the status line and header fields of a response."""
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in fields), "", ""]
    return "\r\n".join(lines).encode()


def make_response(
    attempt_id: str,
    body: bytes = b"done",
    status: int = 200,
    extra_fields: collections.abc.Iterable[tuple[str, str]] = (),
) -> bytes:
    """Return a complete response with a Server-Stamp signature."""
    return (
        make_response_head(
            status,
            (headers.ATTEMPT_ID, attempt_id),
            SIGNATURE_HEADER,
            ("Keep-Alive", "timeout=10"),
            ("Content-Length", str(len(body))),
            *extra_fields,
        )
        + body
    )


def is_misdirected(target: "ScriptedTarget", request: ReceivedRequest) -> bool:
    """Return whether a request is for another incarnation of a target."""
    return request.headers.get(headers.EXPECTED_TARGET.lower()) != target.name


def write_refusal(writer: asyncio.StreamWriter, status: int) -> None:
    """Write a response which states that the request was not run."""
    fields = ((headers.NOT_RUN, "1"), ("Content-Length", "0"))
    writer.write(make_response_head(status, *fields))


def make_stream_head(
    attempt_id: str, extra_fields: collections.abc.Iterable[tuple[str, str]] = ()
) -> bytes:
    """Return the head of a signed, chunked event stream."""
    return make_response_head(
        200,
        (headers.ATTEMPT_ID, attempt_id),
        SIGNATURE_HEADER,
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked"),
        *extra_fields,
    )


def encode_chunk(data: bytes) -> bytes:
    """Return data as one HTTP/1.1 chunk; empty data ends the body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def make_sse_event(number: int) -> bytes:
    """Return a server-sent event whose id is its number."""
    return f"id: {number}\ndata: piece-{number}\n\n".encode()


def make_success(request: "ReceivedRequest", text: str) -> bytes:
    """Return a success with a text: a stream of one event on streaming routes."""
    if not request.path.startswith(STREAMING_PREFIXES):
        return make_response(request.attempt_id, text.encode())
    event = f"id: 1\ndata: {text}\n\n".encode()
    head = make_stream_head(request.attempt_id)
    return head + encode_chunk(event) + encode_chunk(b"")


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset instead of a normal shutdown."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def respond_with_name(
    target: "ScriptedTarget", request: ReceivedRequest, writer: asyncio.StreamWriter
) -> bool:
    """Respond with the target's name, as a body or an event."""
    writer.write(make_success(request, target.name))
    return True


def open_silent_sockets(port: int) -> list[socket.socket]:
    """Make new connections to a port of 127.0.0.1 hang until the sockets are closed.

    One socket listens and accepts nothing, the others fill its queue.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen(0)
    sockets = [listener]
    for _ in range(2):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", port))
        sockets.append(sock)
    return sockets


class ScriptedTarget:
    """A target whose ``respond`` callback handles each request.

    ``requests`` holds all received requests but health checks, to which the target
    responds with its name unless ``is_anonymous`` is set, once ``has_slot`` is set.
    ``port`` is fixed by the first ``start`` and reused by later ones.
    """

    def __init__(self, name: str, respond: Responder = respond_with_name) -> None:
        self.name = name
        self.respond = respond
        self.requests: list[ReceivedRequest] = []
        self.connection_count = 0
        self.is_anonymous = False
        self.has_slot = asyncio.Event()
        self.has_slot.set()
        self.health_check_count = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # While the host is silent: a socket that accepts nothing, and its queue.
        self._silent_sockets: list[socket.socket] = []

    async def start(self) -> None:
        """Start listening."""
        for sock in self._silent_sockets:
            sock.close()
        self._silent_sockets.clear()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening; open connections stay."""
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            reset_connection(writer)

    def fall_silent(self) -> None:
        """Accept and reset nothing any more, as a host without power."""
        if self._server is not None:
            self._server.close()
        self._silent_sockets = open_silent_sockets(self.port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        self._writers.add(writer)
        self.connection_count += 1
        connection_number = self.connection_count
        state = h11.Connection(h11.SERVER)
        try:
            while True:
                request = await self._read_request(reader, state, connection_number)
                if request is None:
                    break
                if request.path == HEALTH_PATH:
                    self.health_check_count += 1
                    await self.has_slot.wait()
                    self._write_health(writer)
                    state = h11.Connection(h11.SERVER)
                    continue
                self.requests.append(request)
                keeps_connection = await self._run_responder(request, reader, writer)
                if not keeps_connection:
                    break
                state = h11.Connection(h11.SERVER)
        except OSError:
            pass
        self._writers.discard(writer)
        writer.close()

    def _write_health(self, writer: asyncio.StreamWriter) -> None:
        """Respond to a health check."""
        fields = [("Content-Length", "0")]
        if not self.is_anonymous:
            fields.append((headers.TARGET, self.name))
        writer.write(make_response_head(200, *fields))

    async def _run_responder(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run ``respond`` until it returns or the peer disconnects.

        Returns whether the connection is kept open.
        """
        loop = asyncio.get_running_loop()
        response_task = loop.create_task(self.respond(self, request, writer))
        while not response_task.done():
            await asyncio.wait([response_task], timeout=0.01)
            if reader.at_eof() or writer.is_closing():
                request.closed_at = loop.time()
                response_task.cancel()
                return False
        return response_task.result()

    async def _read_request(
        self,
        reader: asyncio.StreamReader,
        state: h11.Connection,
        connection_number: int,
    ) -> ReceivedRequest | None:
        """Return the next request, or None when the connection has ended."""
        request_head: h11.Request | None = None
        body = b""
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65536)
                if not data and request_head is None:
                    return None
                state.receive_data(data)
            elif isinstance(event, h11.Request):
                request_head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                assert request_head is not None
                fields = {n.decode(): v.decode() for n, v in request_head.headers}
                received_at = asyncio.get_running_loop().time()
                method, path = (
                    request_head.method.decode(),
                    request_head.target.decode(),
                )
                return ReceivedRequest(
                    method, path, fields, body, connection_number, received_at
                )
            else:
                return None


@dataclasses.dataclass(slots=True)
class ReceivedResponse:
    """A response as a caller received it.

    ``is_complete`` is False if the connection ended before the response did; ``status``
    is 0 if not even the head arrived. ``finished_at`` is the event loop's time.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    finished_at: float


ROUTES: typing.Final[list[dict[str, object]]] = [
    {"name": "once", "prefix": "/once/", "kind": "non_idempotent", "service": "plain"},
    {"name": "free", "prefix": "/free/", "kind": "idempotent", "service": "plain"},
    {
        "name": "resumable",
        "prefix": "/stream/",
        "kind": "streaming",
        "service": "engines",
        "resumable": True,
    },
    {
        "name": "unresumable",
        "prefix": "/unique/",
        "kind": "streaming",
        "service": "engines",
    },
    {
        "name": "open",
        "prefix": "/open/",
        "kind": "idempotent",
        "service": "plain",
        "anonymous": True,
    },
]


def make_config(
    version: int = 1, keys: tuple[str, ...] = ("key-a",), timeout_ms: int = 4000
) -> dict[str, object]:
    """Return a configuration in the platform's format, for the key ``op/config``."""
    routes = [
        {"host": "h.example", "timeout_ms": timeout_ms, "max_attempts": 2, **route}
        for route in ROUTES
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": HEALTH_PATH} for name in ("plain", "engines")
        ],
        "tenants": [{"name": "alice", "api_keys": list(keys)}],
    }


ClientConnection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def make_registration(service: str, port: int, **changes: object) -> dict[str, object]:
    """Return a target's entry of the store, with every field that one must have.

    Args:
        service: The target's service.
        port: The target's port at 127.0.0.1.
        **changes: Values of fields that differ from those here.
    """
    registration: dict[str, object] = {
        "service": service,
        "addr": f"127.0.0.1:{port}",
        "zone": "p",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 0,
        "born": 0,
    }
    return registration | changes


class Fleet:
    """A store, entries and targets; entry N listens on 127.0.1.N, counted from 1."""

    def __init__(
        self,
        driver: loopdriver.LoopDriver,
        entry_fields: dict[str, typing.Any] | None = None,
    ) -> None:
        self.driver = driver
        self.entry_fields = entry_fields or {}
        self.store = MemoryStore()
        self.entries: list[entrynode.EntryNode] = []
        self.ports: list[int] = []
        self.clocks: list[LoopClock] = []
        self.targets: dict[str, ScriptedTarget] = {}
        self.node_port = 0
        self._started_count = 0

    async def add_target(
        self,
        name: str,
        service: str,
        respond: Responder = respond_with_name,
        place: str = "p",
    ) -> ScriptedTarget:
        """Start a target and register it in the store as ready."""
        target = ScriptedTarget(name, respond)
        await target.start()
        self.targets[name] = target
        self.register(name, service, place=place)
        return target

    def register(
        self,
        name: str,
        service: str,
        state: str = "ready",
        started_ms: int = 0,
        place: str = "p",
    ) -> None:
        """Write a target's registration to the store."""
        registration = make_registration(
            service,
            self.targets[name].port,
            state=state,
            born=started_ms,
            zone=place,
        )
        self.store.put(f"servers/{name}", registration)

    async def add_entry(
        self, store: storewatcher.Store | None = None
    ) -> entrynode.EntryNode:
        """Start an entry, by default with the fleet's store.

        The first entry is the seed peer of all others.
        """
        host = f"127.0.1.{len(self.entries) + 1}"
        self.node_port = self.node_port or freeports.find_free_port(host)
        front_port = freeports.find_free_port(host)
        cfg = nodesettings.EntrySettings(
            name=host,
            host=host,
            place="p",
            store="127.0.0.1:1",
            node_ports=(self.node_port, self.node_port),
            seeds=["127.0.1.1:1"],
            front=f"{host}:{front_port}",
            ready=f"{host}:1",
            is_first_start=True,
        )
        cfg = msgspec.structs.replace(cfg, **self.entry_fields)
        clock = LoopClock()
        self._started_count += 1
        node = entrynode.EntryNode(
            cfg,
            store or self.store,
            catalogformat.PlatformStoreDecoder(),
            headers.PlatformHeaderCodec(),
            clock,
            random.Random(self._started_count),
            identity.PlatformIdentifier(),
        )
        await node.start()
        self.entries.append(node)
        self.clocks.append(clock)
        self.ports.append(front_port)
        return node

    async def stop_first_entry(self) -> None:
        """Stop the entry that was started first; the others move up in the lists."""
        await self.entries.pop(0).stop()
        self.ports.pop(0)
        self.clocks.pop(0)

    async def stop_last_entry(self) -> None:
        """Stop the entry that was started last."""
        await self.entries.pop().stop()
        self.ports.pop()
        self.clocks.pop()

    async def send_request(
        self,
        path: str,
        entry_index: int = 0,
        key: str | None = "key-a",
        method: str = "POST",
        deadline_ms: int = 4000,
        extra_headers: tuple[tuple[str, str], ...] = (),
        disconnect_after_s: float | None = None,
        attempt_id: str = "",
        conn: ClientConnection | None = None,
        since_drain_s: float = 0.0,
        body: bytes = b"question",
    ) -> ReceivedResponse:
        """Send a request to an entry and read the response to its end.

        ``deadline_ms`` is sent as the Deadline-Ms header. ``disconnect_after_s`` is
        when the caller gives up and disconnects. ``conn`` is a connection to use and
        keep open; without it, each request opens and closes its own.
        ``since_drain_s`` delays the request to that time after the start of a drain
        that began 1 s before this call.
        """
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(since_drain_s - 1.0, 0.0))
        reader, writer = conn or await self.connect(entry_index)
        attempt_id = attempt_id or f"{random.getrandbits(64):x}"
        fields = [
            ("Host", "h.example"),
            (headers.ATTEMPT_ID, attempt_id),
            (headers.DEADLINE, str(deadline_ms)),
            *([("Authorization", f"Bearer {key}")] if key else []),
            *extra_headers,
        ]
        state = h11.Connection(h11.CLIENT)
        if method == "GET":
            body = b""
        if body:
            fields.append(("Content-Length", str(len(body))))
        request = h11.Request(method=method, target=path, headers=fields)
        writer.write(
            (state.send(request) or b"")
            + (state.send(h11.Data(data=body)) or b"" if body else b"")
            + (state.send(h11.EndOfMessage()) or b"")
        )
        response = ReceivedResponse(0, {}, b"", False, 0.0)
        try:
            async with asyncio.timeout(disconnect_after_s):
                await self._read_response(reader, state, response)
        except (TimeoutError, OSError, h11.RemoteProtocolError):
            pass
        response.finished_at = loop.time()
        if conn is None:
            writer.transport.abort()
        return response

    async def send_until_served(
        self, path: str, entries: collections.abc.Iterable[int]
    ) -> list[int]:
        """Send a request to one entry after the other; return the statuses so far."""
        statuses = []
        for entry_index in entries:
            response = await self.send_request(path, entry_index)
            statuses.append(response.status)
            if response.status == 200:
                break
            await self.settle(0.3)
        return statuses

    async def connect(self, entry_index: int = 0) -> ClientConnection:
        """Open a TCP connection to an entry's front port."""
        host = f"127.0.1.{entry_index + 1}"
        return await asyncio.open_connection(host, self.ports[entry_index])

    async def _read_response(
        self,
        reader: asyncio.StreamReader,
        state: h11.Connection,
        response: ReceivedResponse,
    ) -> None:
        """Read into ``response`` until it is complete or the connection ends."""
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                state.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Response):
                response.status = event.status_code
                response.headers = {n.decode(): v.decode() for n, v in event.headers}
            elif isinstance(event, h11.Data):
                response.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                response.is_complete = True
                return
            else:
                return

    async def settle(self, seconds: float = 0.5) -> None:
        """Let time pass on the virtual clock, so that pending work completes."""
        await asyncio.sleep(seconds)

    async def stop(self) -> None:
        """Stop all entries and targets."""
        for node in self.entries:
            await node.stop()
        for target in self.targets.values():
            await target.stop()


def run_scenario(
    scenario: Scenario, entry_count: int = 1, **entry_fields: object
) -> None:
    """Run a scenario on a new fleet, after the entries loaded configuration 1.

    ``entry_fields`` are other fields of the entries' settings.
    """
    driver = loopdriver.LoopDriver(is_clock_virtual=True)

    async def run() -> None:
        fleet = Fleet(driver, entry_fields)
        fleet.store.put("op/config", make_config())
        for _ in range(entry_count):
            await fleet.add_entry()
        await fleet.settle(1.0)
        await scenario(fleet)
        await fleet.stop()

    driver.run(run())
