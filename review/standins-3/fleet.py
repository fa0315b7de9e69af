"""Stand-ins for the platform, the engines and the clients, and a runner of entries.

Everything listens on loopback addresses. Only the standard library is used, so nothing
has to be built. The entries are the project's own programs, started with the command of
the deploy file in processes of their own.
"""

import asyncio
import base64
import collections.abc
import contextlib
import hashlib
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
STORE_HOST = "127.0.9.1"
ENGINE_HOST = "127.0.9.3"
KEY = "k-review-1"
TENANT = "tenant-a"
HOST = "review.example"
# The bounds of the page DEPLOY, which are those of ahr-montevideo.
BOUNDS = {
    "revoke_ms": 5000,
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "retry_slack": 90,
    "budget_window_s": 10,
}

CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "platform",
    "experts",
]


def find_port(host: str) -> int:
    """Return a port that is free on a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Record:
    """Writes what happens to a file, with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def line(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self, text: str) -> None:
        """Write the last line, also to standard output."""
        self.line(text)
        print(text)
        self._file.close()


class Store:
    """The platform's store; ``era`` and ``is_away`` are for a drill."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, object]] = {}
        self.events: list[dict[str, object]] = []
        self.revision = 10
        self.era: int | None = None
        self.is_away = False
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Start to listen."""
        server = await asyncio.start_server(self._serve, STORE_HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, key: str, value: object) -> None:
        """Write a value, which is encoded as JSON."""
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "rev": self.revision,
            "created_rev": known["created_rev"] if known else self.revision,
            "lease": 0,
        }
        self._tell(self.items[key])

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._tell({"key": key, "rev": self.revision, "deleted": True})

    def _tell(self, event: dict[str, object]) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self) -> tuple[dict[str, dict[str, object]], int]:
        """Return a copy that the store can be restored from."""
        return dict(self.items), self.revision

    def go_away(self) -> None:
        """Accept nothing until ``restore``."""
        self.is_away = True
        for writer in list(self._writers):
            writer.transport.abort()

    def restore(self, saved: tuple[dict[str, dict[str, object]], int]) -> None:
        """Come back from a copy, in the next era."""
        self.items, self.revision = dict(saved[0]), saved[1]
        self.events = []
        self.era = (self.era or 0) + 1
        self.is_away = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while not self.is_away:
                head = await read_head(reader)
                if head is None:
                    break
                url = urllib.parse.urlsplit(head[0].split()[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                status, body = await self._answer(url.path, query)
                if self.is_away:
                    break
                data = json.dumps(body).encode()
                era = "" if self.era is None else f"Store-Era: {self.era}\r\n"
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{era}"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(
        self, path: str, query: dict[str, str]
    ) -> tuple[int, dict[str, object]]:
        prefix = query.get("prefix", "")
        if path == "/kv-range":
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix) and key > query.get("after", "")
            ]
            return 200, {
                "items": items,
                "more_pages": False,
                "store_revision": self.revision,
            }
        if path != "/kv-watch":
            return 404, {}
        after = int(query["after"])
        if after > self.revision:
            return 410, {}
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0 or self.is_away:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message; None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return lines[0], headers


class Answer:
    """An answer as a client got it.

    ``is_whole`` is set if the framing says that the body is complete.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False


async def send(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> Answer:
    """Send a request on a connection and read the answer, as far as it comes."""
    answer = Answer()
    fields = {"Host": HOST, **headers}
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    try:
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        found = await read_head(reader)
        if found is None:
            return answer
        answer.status = int(found[0].split()[1])
        answer.headers = found[1]
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                answer.body += data[:size]
                if not size:
                    answer.is_whole = True
                    return answer
        size = int(answer.headers.get("content-length", "0"))
        while len(answer.body) < size:
            data = await reader.read(size - len(answer.body))
            if not data:
                return answer
            answer.body += data
        answer.is_whole = True
    except (OSError, asyncio.IncompleteReadError):
        pass
    return answer


def make_attempt_id() -> str:
    """Return a new id of a client attempt."""
    return os.urandom(8).hex()


def digest(body: bytes) -> str:
    """Return a short digest of a body."""
    return f"{len(body)}:{hashlib.blake2b(body, digest_size=4).hexdigest()}"


def render(path: pathlib.Path, values: dict[str, object]) -> str:
    """Fill in a template of the deploy folder as the page DEPLOY tells it."""

    def find(name: str) -> object:
        found: object = values
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    text = path.read_text()
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
    text = section.sub(
        lambda m: m[3] if (find(m[2]) is not None) == (m[1] == "#") else "", text
    )
    return re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(find(m[1])), text)


class Entry:
    """A process of the project's entry, with settings as the platform renders them."""

    def __init__(self, fleet: "Fleet", index: int, is_first: bool) -> None:
        self.host = f"127.0.9.{10 + index}"
        self.front_port = find_port(self.host)
        self.ready_port = find_port(self.host)
        self._fleet = fleet
        self._index = index
        self.is_first = is_first
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        fleet = self._fleet
        values = {
            "node_name": f"edge-{self._index}",
            "ip": self.host,
            "zone": "zone-a",
            "platform": {"addr": f"{STORE_HOST}:{fleet.store.port}"},
            "listen": {
                "front": f"{self.host}:{self.front_port}",
                "ready": f"{self.host}:{self.ready_port}",
            },
            "port_range": [fleet.node_port, fleet.node_port],
            "seeds": [f"{entry.host}:{fleet.control_port}" for entry in fleet.entries],
            "bootstrap": self.is_first,
            "zones": {"zone-a": "region-a"},
            "contracts": CONTRACTS,
            "limits": {"memory_mb": 300, "max_fds": 4100},
            "bounds": BOUNDS,
        }
        self.is_first = False
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        text = render(ROOT / role["template"], values)
        # The template has a fixed port, which may be taken here.
        port = find_port(self.host)
        text = re.sub(r'"metrics_port": \d+', f'"metrics_port": {port}', text)
        settings = fleet.folder / f"entry-{self._index}.jsonc"
        settings.write_text(text)
        log = (fleet.folder / f"entry-{self._index}.log").open("ab")
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SARDINESADDLE_BOOT": str(settings),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()

    def change_settings(self) -> None:
        """Write the settings anew with other bounds that change nothing here."""
        path = self._fleet.folder / f"entry-{self._index}.jsonc"
        path.write_text(path.read_text().replace("// Settings", "// New settings"))

    async def wait_until_ready(self, timeout_s: float = 30.0) -> bool:
        """Wait until the readiness check is passed; return whether it was."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                conn = await asyncio.open_connection(self.host, self.ready_port)
                answer = await send(*conn, "GET", "/readyz", {}, b"")
                conn[1].transport.abort()
                if answer.status == 200:
                    return True
            await asyncio.sleep(0.05)
        return False

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client's connection."""
        return await asyncio.open_connection(self.host, self.front_port)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Fleet:
    """The store and the entries of one run."""

    def __init__(self) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.entries: list[Entry] = []
        self.node_port = 0
        self.control_port = 0

    async def start(self, config: dict[str, object], count: int = 1) -> bool:
        """Start everything; return whether the entries serve."""
        await self.store.start()
        self.store.put("op/config", config)
        self.node_port = find_port("127.0.9.10")
        self.control_port = find_port("127.0.9.10")
        self.entries = [Entry(self, index, True) for index in range(count)]
        for entry in self.entries:
            await entry.start()
        ready = [await entry.wait_until_ready() for entry in self.entries]
        return all(ready)

    def register(
        self,
        target_id: str,
        service: str,
        address: str,
        born: int | None,
        **other: object,
    ) -> None:
        """Write the entry of an engine to the store, as the engine does.

        Without ``born``, it is that of another writer, which lacks this field.
        """
        value = {
            "service": service,
            "addr": address,
            "zone": "zone-a",
            "version": "1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        }
        if born is not None:
            value["born"] = born
        self.store.put(f"servers/{target_id}", value | other)

    async def stop(self) -> None:
        """End all processes; keep no file."""
        for entry in self.entries:
            await entry.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def make_route(
    name: str, service: str, kind: str, **other: object
) -> dict[str, object]:
    """Return a route of the configuration."""
    route = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "service": service,
        "kind": kind,
        "priority": 1,
        "max_attempts": 2,
        "timeout_ms": 8000,
        "target_latency_ms": 400,
        "gap_aim_ms": 120,
    }
    return route | other


def make_config(
    version: int,
    routes: list[dict[str, object]],
    services: list[str],
    keys: tuple[str, ...] = (KEY,),
) -> dict[str, object]:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/healthz", "max_conns": 100}
            for name in services
        ],
        "tenants": [{"name": TENANT, "api_keys": list(keys)}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


Scenario = collections.abc.Callable[
    ["Fleet", Record, bool], collections.abc.Awaitable[int]
]


def main(scenario: Scenario, folder: pathlib.Path) -> None:
    """Run a scenario and exit with its result.

    The scenario gets the fleet, the record and whether there is trouble. It returns 0
    if the rule held, 1 if it was broken and 2 if the case could not run.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        fleet = Fleet()
        record = Record(folder / "record.txt")
        try:
            async with asyncio.timeout(115):
                return await scenario(fleet, record, has_trouble)
        except Exception as exc:  # The case could not run.
            record.close(f"could not run: {type(exc).__name__}: {exc}")
            return 2
        finally:
            await fleet.stop()

    sys.exit(asyncio.run(run()))
