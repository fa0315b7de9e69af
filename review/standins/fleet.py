"""Stand-ins for the platform's store, engines and clients, and the real programs.

Only the standard library is used. All addresses are loopback addresses. Entries and
sidecars are started with the commands and the rendered templates of the deploy file,
as separate processes, on the real clock.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = "ledger"
STREAM_SERVICE = "engines"
HOST_NAME = "review.example"


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._start

    def write(self, text):
        """Write a line."""
        line = f"{self.now():8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()


# HTTP.


async def read_head(reader):
    """Return the first line and the headers (names in lower case), or None."""
    lines = []
    while True:
        line = await reader.readline()
        if not line:
            return None
        line = line.rstrip(b"\r\n")
        if not line:
            if lines:
                break
            continue
        lines.append(line.decode("latin-1"))
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Return a body with a length or in chunks."""
    if "chunked" in fields.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


def make_head(status, fields):
    """Return a status line and headers."""
    lines = [f"HTTP/1.1 {status} X"] + [f"{n}: {v}" for n, v in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Server:
    """An HTTP/1.1 server; ``handle`` returns whether the connection stays open."""

    def __init__(self):
        self.server = None
        self.writers = set()

    async def listen(self, host, port):
        self.host = host
        self.server = await asyncio.start_server(self._serve, host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, path, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                if not await self.handle(method, path, head[1], body, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


# The platform's store.


class Store(Server):
    """The platform's key-value store, as PROTOCOL.md describes it."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Write a key; the return is the acknowledgement."""
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self.items[key]["created_rev"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "rev": self.revision,
            "created_rev": created,
            "lease": 0,
        }
        self._publish(self.items[key])

    def delete(self, key):
        """Delete a key."""
        self.revision += 1
        del self.items[key]
        self._publish({"key": key, "rev": self.revision, "deleted": True})

    def _publish(self, event):
        self.history.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def handle(self, method, path, fields, body, reader, writer):
        from urllib.parse import parse_qs, urlsplit

        parts = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        await asyncio.sleep(0.004)
        status, answer = 404, {}
        if parts.path == "/kv-range":
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            ]
            status = 200
            answer = {
                "items": items,
                "more_pages": False,
                "store_revision": self.revision,
            }
        elif parts.path == "/kv-key" and query.get("key") in self.items:
            status = 200
            answer = dict(self.items[query["key"]], store_revision=self.revision)
        elif parts.path == "/kv-watch":
            status, answer = 200, await self._watch(query)
        data = json.dumps(answer).encode()
        writer.write(
            make_head(
                status,
                [
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(data))),
                ],
            )
            + data
        )
        await writer.drain()
        return True

    async def _watch(self, query):
        until = time.monotonic() + int(query["wait_ms"]) / 1000.0
        while True:
            events = [
                event
                for event in self.history
                if event["rev"] > int(query["after"])
                and event["key"].startswith(query["prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.changed.wait()


# Engines.


class Engine(Server):
    """An engine that runs each request once and records it.

    ``work_s`` is how long a request runs. On streaming paths it writes ``events``
    events, one each ``gap_s``; ``pauses`` maps the number of an event of a run to the
    seconds for which the engine writes nothing before it.
    """

    def __init__(self, name, service, record, work_s=0.05):
        super().__init__()
        self.name = name
        self.service = service
        self.record = record
        self.work_s = work_s
        self.events = 20
        self.gap_s = 0.05
        self.pauses = {}
        self.is_unframed = False
        self.runs = []
        self.born = int(time.time() * 1000)
        self.version = 1
        self.state = "ready"

    def describe(self):
        """Return the engine's entry in the store."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": 0,
            "born": self.born,
        }

    async def handle(self, method, path, fields, body, reader, writer):
        if path == "/healthz":
            writer.write(
                make_head(200, [("Instance-Id", self.name), ("Content-Length", "0")])
            )
            return True
        attempt = fields.get("attempt-id", "")
        wants_version = fields.get("expect-version", str(self.version))
        if fields.get("expect-instance", self.name) != self.name or (
            wants_version != str(self.version)
        ):
            self.record.write(f"engine {self.name} answers 421 to {attempt}")
            writer.write(
                make_head(
                    421,
                    [
                        ("Attempt-Id", attempt),
                        ("Instance-Id", self.name),
                        ("Not-Executed", "1"),
                        ("Content-Length", "0"),
                    ],
                )
            )
            await writer.drain()
            return True
        run = {
            "at": self.record.now(),
            "attempt": attempt,
            "fields": fields,
            "path": path,
            "method": method,
            "body": body,
            "ended": None,
            "is_cut": False,
        }
        self.runs.append(run)
        self.record.write(
            f"engine {self.name} runs {attempt} {method} {path}"
            f" tenant={fields.get('tenant')} deadline_ms={fields.get('deadline-ms')}"
            f" last_event={fields.get('last-event-id')}"
        )
        work = asyncio.create_task(self._work(path, fields, attempt, writer))
        watch = asyncio.create_task(reader.read(1))
        await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await work
            if watch.exception() is not None:
                self.record.write(f"engine {self.name}: {watch.exception()!r}")
            run["is_cut"] = True
            run["ended"] = self.record.now()
            self.record.write(f"engine {self.name} finds {attempt} cut by its caller")
            return False
        run["ended"] = self.record.now()
        fault = work.exception()
        self.record.write(f"engine {self.name} has ended {attempt} {fault or ''}".rstrip())
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await watch
        return False

    async def _work(self, path, fields, attempt, writer):
        head = [
            ("Attempt-Id", attempt),
            ("Server-Stamp", f"stamp.{self.name}.{attempt}"),
            ("Connection", "close"),
        ]
        if not path.startswith("/stream"):
            await asyncio.sleep(self.work_s)
            data = f"done {attempt}".encode()
            writer.write(
                make_head(200, [*head, ("Content-Length", str(len(data)))]) + data
            )
            await writer.drain()
            return
        first = int(fields.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.pauses.get(number - first + 1, 0.0) + self.gap_s)
            if number == first:
                fields_out = [*head, ("Content-Type", "text/event-stream")]
                if not self.is_unframed:
                    fields_out.append(("Transfer-Encoding", "chunked"))
                writer.write(make_head(200, fields_out))
            data = f"id: {number}\ndata: piece-{number}\n\n".encode()
            self.write_piece(writer, data)
            await writer.drain()
        if not self.is_unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()

    def write_piece(self, writer, data):
        """Write a piece of a stream, as a chunk or as it is."""
        if self.is_unframed:
            writer.write(data)
        else:
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


# Clients.


class Answer:
    """What a client received for one request."""

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.is_whole = False
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.fault = ""


class Client:
    """A client with one kept connection."""

    def __init__(self, record, address):
        self.record = record
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.streams = None

    async def send(
        self, attempt, method, path, key=None, body=b"", fields=(), deadline_ms=8000
    ):
        """Send a request on the kept connection, or a new one; return the answer."""
        answer = Answer()
        try:
            if self.streams is None:
                self.streams = await asyncio.open_connection(self.host, self.port)
            reader, writer = self.streams
            head = [
                f"{method} {path} HTTP/1.1",
                f"Host: {HOST_NAME}",
                f"Attempt-Id: {attempt}",
                f"Deadline-Ms: {deadline_ms}",
            ]
            if key is not None:
                head.append(f"Authorization: Bearer {key}")
            head += [f"{name}: {value}" for name, value in fields]
            if body:
                head.append(f"Content-Length: {len(body)}")
            answer.sent_at = self.record.now()
            self.record.write(f"client sends {attempt} {method} {path} key={key}")
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            await writer.drain()
            found = await read_head(reader)
            if found is None:
                answer.fault = "closed without an answer"
            else:
                answer.status = int(found[0].split(" ")[1])
                answer.fields = found[1]
                await self._read_body(reader, answer)
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            answer.fault = answer.fault or f"{type(exc).__name__}: {exc}"
        answer.ended_at = self.record.now()
        self.record.write(
            f"client gets {attempt}: status {answer.status}, whole {answer.is_whole},"
            f" {len(answer.body)} bytes, after {answer.ended_at - answer.sent_at:.3f} s"
            + (f", {answer.fault}" if answer.fault else "")
        )
        closes = "close" in answer.fields.get("connection", "").lower()
        if answer.fault or closes:
            self.close()
        return answer

    async def _read_body(self, reader, answer):
        fields = answer.fields
        if "chunked" in fields.get("transfer-encoding", "").lower():
            while True:
                line = await reader.readline()
                if not line:
                    answer.fault = "the answer breaks off"
                    return
                size = int(line.split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    answer.is_whole = True
                    return
                answer.body += data[:-2]
        answer.body = await reader.readexactly(int(fields.get("content-length", "0")))
        answer.is_whole = True

    def close(self):
        """Close the kept connection."""
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None


# The programs.


def render(text, values):
    """Render a template as DEPLOY.md describes it, as far as the templates need it."""

    def look_up(name):
        found = values
        for part in name.split("."):
            if isinstance(found, dict):
                found = found.get(part)
            else:
                return None
        return found

    def section(match):
        kind, name, inner = match.groups()
        found = look_up(name)
        is_there = found is not None and found is not False
        return inner if is_there == (kind == "#") else ""

    previous = None
    while previous != text:
        previous = text
        text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)

    def value(match):
        found = look_up(match.group(1))
        if match.group(2):
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_slack_ms": 250,
    "max_stretch_ms": 5000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 90,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "stall_ms": 1500,
    "require_fence": False,
}
CONTRACTS = (
    "base drain config cost retry recover engine stream tenants platform experts"
).split()


def find_port(host):
    """Return a free port of a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Program:
    """A program of the deploy file in a process of its own."""

    def __init__(self, role, name, values, folder, record):
        self.role = role
        self.name = name
        self.values = values
        self.record = record
        self.settings = pathlib.Path(folder) / f"{name}.jsonc"
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.process = None
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.cfg = deploy["roles"][role]

    async def start(self):
        """Render the settings and start the process."""
        template = (ROOT / self.cfg["template"]).read_text()
        self.settings.write_text(render(template, self.values))
        env = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["SARDINESADDLE_BOOT"] = str(self.settings)
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.cfg["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.write(f"start {self.role} {self.name}, process {self.process.pid}")

    def signal(self, number):
        """Send the process a signal."""
        self.record.write(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def end(self):
        """Kill the process if it runs, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
        if self.process is not None:
            await self.process.wait()


class EngineProcess:
    """An engine stand-in in a process of its own, see ``engine.py``."""

    def __init__(self, name, service, record):
        self.name = name
        self.service = service
        self.record = record
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.process = None
        self.run_count = 0
        self._task = None

    async def start(self, host="127.0.0.1"):
        """Start the process and wait until it listens."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(pathlib.Path(__file__).with_name("engine.py")),
            self.name,
            self.service,
            host,
            stdout=asyncio.subprocess.PIPE,
        )
        line = await self.process.stdout.readline()
        if not line.startswith(b"port "):
            raise CannotRunError(f"engine {self.name} does not listen")
        self.address = f"{host}:{int(line.split()[1])}"
        self._task = asyncio.create_task(self._copy_output())
        self.record.write(f"start engine {self.name}, process {self.process.pid}")

    async def _copy_output(self):
        while line := await self.process.stdout.readline():
            text = line.decode().rstrip()
            self.run_count += " runs " in text
            self.record.write(text)

    describe = Engine.describe

    async def close(self):
        """Kill the process if it runs, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        if self.process is not None:
            await self.process.wait()


class Fleet:
    """A small deployment: a store, engines, and entries as processes."""

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.store = Store(record)
        self.engines = []
        self.programs = []
        base = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.hosts = [f"{base}.{number}" for number in range(1, 200)]
        self.ports = None
        self.version = 0

    async def begin(self):
        await self.store.listen("127.0.0.1", 0)

    async def add_engine(self, name, service, host="127.0.0.1", **values):
        """Start an engine and write its entry to the store."""
        engine = Engine(name, service, self.record, **values)
        await engine.listen(host, 0)
        self.engines.append(engine)
        self.store.put(f"servers/{name}", engine.describe())
        return engine

    async def add_engine_process(self, name, service):
        """Start an engine as a process and write its entry to the store."""
        engine = EngineProcess(name, service, self.record)
        self.engines.append(engine)
        await engine.start()
        self.store.put(f"servers/{name}", engine.describe())
        return engine

    async def add_entries(self, count, bounds=None):
        """Start entries, each on an address of its own."""
        hosts = [self.hosts.pop(0) for _ in range(count)]
        ports = {name: find_port(hosts[0]) for name in ("front", "ready", "node", "control")}
        for number, host in enumerate(hosts):
            values = {
                "node_name": f"edge-z1-{number + 1}",
                "ip": host,
                "zone": "z1",
                "region": "r",
                "port_range": [ports["node"], ports["node"]],
                "seeds": [f"{seed}:{ports['control']}" for seed in hosts[:3]],
                "bootstrap": True,
                "contracts": CONTRACTS,
                "zones": {"z1": "r"},
                "listen": {
                    "front": f"{host}:{ports['front']}",
                    "ready": f"{host}:{ports['ready']}",
                },
                "bounds": dict(BOUNDS, **(bounds or {})),
                "platform": {"addr": self.store.address},
            }
            program = Program("entry", values["node_name"], values, self.folder, self.record)
            program.front = values["listen"]["front"]
            program.ready = values["listen"]["ready"]
            self.programs.append(program)
            await program.start()
        return self.programs[-count:]

    async def add_sidecar(self, name, engine, entries, host, node_port):
        """Start the sidecar beside an engine."""
        values = {
            "node_name": name,
            "ip": host,
            "zone": "z1",
            "region": "r",
            "port_range": [node_port, node_port],
            "seeds": entries[0].values["seeds"],
            "bootstrap": True,
            "app": engine.address,
            "service": engine.service,
            "zones": {"z1": "r"},
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"addr": self.store.address},
        }
        program = Program("sidecar", name, values, self.folder, self.record)
        self.programs.append(program)
        await program.start()
        return program

    async def wait_ready(self, programs, limit_s=15.0):
        """Wait until entries say that they are ready."""
        until = time.monotonic() + limit_s
        for program in programs:
            while not await self.is_ready(program):
                if time.monotonic() > until or program.process.returncode is not None:
                    raise CannotRunError(f"{program.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.write("entries are ready")

    async def is_ready(self, program):
        """Ask an entry's readiness."""
        try:
            host, _, port = program.ready.rpartition(":")
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, TimeoutError):
            return False

    def write_config(self, routes, services, tenants):
        """Write the next version of the configuration; return its time."""
        self.version += random.randint(1, 5)
        config = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": tenants,
        }
        self.store.put("op/config", config)
        at = self.record.now()
        keys = {tenant["name"]: tenant["api_keys"] for tenant in tenants}
        self.record.write(f"operator's version {self.version} acknowledged, keys {keys}")
        return at

    async def end(self):
        """End all processes and servers."""
        for program in self.programs:
            await program.end()
        for engine in self.engines:
            await engine.close()
        await self.store.close()


def make_route(name, prefix, kind, service, **values):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 8000,
        "target_latency_ms": 402,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
        "gap_aim_ms": 120,
    } | values


def make_service(name):
    """Return a service of the configuration."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 248,
        "protocol": "h1",
        "tls": False,
    }


def run_case(case, folder, limit_s=115.0):
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it did not run.

    ``case`` gets the fleet and whether there is trouble, and returns what broke.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")

    async def play(scratch):
        fleet = Fleet(scratch, record)
        try:
            async with asyncio.timeout(limit_s):
                await fleet.begin()
                return await case(fleet, has_trouble)
        finally:
            await fleet.end()
            for program in fleet.programs:
                text = program.log_path.read_text(errors="replace")
                for line in text.splitlines():
                    record.write(f"log of {program.name}: {line}")

    with tempfile.TemporaryDirectory() as scratch:
        try:
            broken = asyncio.run(play(scratch))
        except (CannotRunError, TimeoutError, OSError) as exc:
            record.write(f"the case could not run: {type(exc).__name__}: {exc}")
            print(f"could not run: {exc}")
            return 2
    for text in broken:
        record.write(f"BROKEN: {text}")
        print(f"BROKEN: {text}")
    record.write(f"verdict: {'broken' if broken else 'held'}")
    print("broken" if broken else "held")
    return 1 if broken else 0
