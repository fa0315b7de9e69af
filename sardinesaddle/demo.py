"""Runs both deployments in one process, with failures, and counts at the stand-ins.

Callers of both users send streams, lookups and records over HTTP while each failure
is brought about once. A caller that learns "unknown", or loses its connection,
sends its record again with the same key through the other entry, as our users'
callers do. What is counted comes from the callers and the stand-in targets, not from
the system's own code.
"""

import asyncio
import dataclasses
import json
import random
import sys
import typing

import aiohttp
import loguru

from sardinesaddle import build
from sardinesaddle.standins import deployment, lockstep, targets, world

START_LIMIT_S: typing.Final = 30.0
FAILURE_S: typing.Final = 1.5
SETTLE_S: typing.Final = 4.0
CALLERS: typing.Final = 8
CALL_DEADLINE_MS: typing.Final = 6000
MAX_SENDS: typing.Final = 8
STEP_S: typing.Final = 0.05
RETRY_HORIZON_S: typing.Final = 600.0
MUST_BE_ZERO: typing.Final = (
    "doubled",
    "cut_off",
    "crossed",
    "false_not_run",
    "mixed_maps",
    "reverted",
    "lost",
)


@dataclasses.dataclass(slots=True)
class Counts:
    """What the callers and the stand-ins saw."""

    sent: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    resent: int = 0
    doubled: int = 0
    cut_off: int = 0
    crossed: int = 0
    false_not_run: int = 0
    steps: int = 0
    maps: int = 0
    mixed_maps: int = 0
    reverted: int = 0
    lost: int = 0
    seconds: float = 0.0
    kinds: dict[str, int] = dataclasses.field(default_factory=dict)

    def add_kind(self, document: dict[str, str]) -> None:
        """Count the kind of a refusal."""
        kind = document.get("type", "none").rpartition(":")[2]
        self.kinds[kind] = self.kinds.get(kind, 0) + 1


class Callers:
    """The callers of one deployment."""

    def __init__(self, dep: deployment.Deployment, counts: Counts, seed: int) -> None:
        self._dep = dep
        self._counts = counts
        self._rng = random.Random(f"{seed} {dep.shape.name}")
        self._session = build.make_session()
        self._next = 0
        self._refused: set[str] = set()
        self.is_stopping = False

    async def run(self) -> None:
        """Send calls one after another until told to stop."""
        kinds = (self._stream, self._look_up, self._record, self._record)
        while not self.is_stopping:
            kind = self._rng.choice(kinds)
            self._next += 1
            self._counts.sent += 1
            await kind(f"{self._dep.shape.name}-{self._next}")
            await asyncio.sleep(self._rng.uniform(0.01, 0.06))

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    def _make_headers(self, ident: str) -> dict[str, str]:
        """Return the headers of a call."""
        account = self._rng.choice(self._dep.shape.accounts)
        return {
            "Authorization": f"Bearer {deployment.make_token(account)}",
            "X-Call-Id": ident,
            "X-Deadline-Ms": str(CALL_DEADLINE_MS),
        }

    async def _send(
        self, method: str, path: str, headers: dict[str, str], body: bytes, entry: int
    ) -> tuple[int, bytes] | None:
        """Send one call; None means that the connection was lost."""
        try:
            async with self._session.request(
                method,
                self._dep.find_url(entry) + path,
                headers=headers,
                data=body or None,
                timeout=aiohttp.ClientTimeout(total=CALL_DEADLINE_MS / 1000 + 10),
            ) as resp:
                return resp.status, await resp.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def _repeat(
        self, method: str, path: str, headers: dict[str, str], body: bytes, ident: str
    ) -> bytes | None:
        """Send a call until it is answered or refused for good."""
        entry = self._rng.randrange(self._dep.shape.entries)
        for number in range(MAX_SENDS):
            if number:
                self._counts.resent += 1
                await asyncio.sleep(0.25)
            result = await self._send(method, path, headers, body, entry)
            entry = (entry + 1) % self._dep.shape.entries
            if result is None:
                continue
            status, data = result
            if status < 400:
                return data
            document = json.loads(data)
            ran = document.get("ran")
            self._counts.add_kind(document)
            if ran == "not_run":
                self._counts.not_run += 1
                self._refused.add(ident)
                return None
            if number == MAX_SENDS - 1 or b"key-forgotten" in data:
                self._counts.unknown += 1
                return None
        self._counts.lost += 1
        return None

    async def _stream(self, ident: str) -> None:
        """Ask for a summary as a stream."""
        shape = self._dep.shape
        messages = [{"role": "user", "content": f"{ident} please"}]
        body = {
            "model": shape.model,
            "messages": messages,
            "max_tokens": 40,
            "stream": True,
        }
        data = await self._repeat(
            "POST",
            "/v1/chat/completions",
            self._make_headers(ident),
            json.dumps(body).encode(),
            ident,
        )
        if data is None:
            return
        if b"event: error" in data:
            self._counts.unknown += 1
            return
        if not data.endswith(b"data: [DONE]\n\n"):
            self._counts.cut_off += 1
            return
        wanted = targets.make_tokens(json.dumps(messages), 40)
        got = [
            json.loads(line[6:])["choices"][0]["delta"]["content"]
            for line in data.split(b"\n\n")
            if line.startswith(b"data: {")
        ]
        if got != wanted:
            self._counts.crossed += 1
            return
        self._counts.answered += 1

    async def _look_up(self, ident: str) -> None:
        """Look something up at the plain service."""
        path = f"/{self._dep.shape.plain_service}/{ident}"
        headers = self._make_headers(ident)
        self._check_plain(ident, await self._repeat("GET", path, headers, b"", ident))

    async def _record(self, ident: str) -> None:
        """Record something that must not be recorded twice."""
        service = self._dep.shape.plain_service
        headers = self._make_headers(ident)
        mint = json.dumps({"service": service}).encode()
        data = await self._repeat("POST", "/v1/keys", headers, mint, ident)
        if data is None:
            return
        headers["Idempotency-Key"] = json.loads(data)["key"]
        path = f"/{service}/{ident}"
        self._check_plain(
            ident, await self._repeat("POST", path, headers, b"{}", ident)
        )

    def _check_plain(self, ident: str, data: bytes | None) -> None:
        """Check that an answer belongs to its call."""
        if data is None:
            return
        if json.loads(data)["call"] != ident:
            self._counts.crossed += 1
            return
        self._counts.answered += 1

    def count_at_targets(self) -> None:
        """Count what the stand-in targets saw."""
        plain = [
            t for t in self._dep.targets.values() if isinstance(t, targets.PlainService)
        ]
        records: dict[str, int] = {}
        for target in plain:
            for ident, count in target.records.items():
                records[ident] = records.get(ident, 0) + count
        self._counts.doubled += sum(1 for count in records.values() if count > 1)
        ran = set(records) & self._refused
        self._counts.false_not_run += len(ran)


class Failures:
    """Brings about each failure in one deployment."""

    def __init__(self, dep: deployment.Deployment, seed: int) -> None:
        self._dep = dep
        self._rng = random.Random(f"{seed} failures {dep.shape.name}")

    def _pick(self, kind: str = "") -> str:
        """Return a target at random."""
        return self._rng.choice([n for n in self._dep.sidecars if kind in n])

    async def a_target_stalls(self) -> None:
        """Let a target make no progress for a while."""
        target = self._dep.targets[self._pick("plain")]
        target.freeze()
        await asyncio.sleep(FAILURE_S)
        target.thaw()

    async def a_target_crashes(self) -> None:
        """Let a target lose its connections and come back."""
        await self._dep.targets[self._pick("engine")].crash(FAILURE_S)

    async def a_sidecar_dies(self) -> None:
        """End a sidecar at once and start it again, with nothing."""
        name = self._pick("plain")
        port = await self._dep.kill_sidecar(name)
        await asyncio.sleep(FAILURE_S / 2)
        await self._dep.start_sidecar(name, port)

    async def a_sidecar_is_paused(self) -> None:
        """Let a sidecar stand still, then wake late."""
        name = self._pick("plain")
        self._dep.pause(name)
        await asyncio.sleep(FAILURE_S * 4)
        self._dep.resume(name)

    async def an_entry_is_paused(self) -> None:
        """Let an entry stand still, then wake late."""
        self._dep.pause(self._dep.name_entry(0))
        await asyncio.sleep(FAILURE_S * 4)
        self._dep.resume(self._dep.name_entry(0))

    async def an_entry_dies(self) -> None:
        """End an entry at once and start it again."""
        await self._dep.kill_entry(1)
        await asyncio.sleep(FAILURE_S / 2)
        await self._dep.start_entry(1)

    async def a_partition(self) -> None:
        """Keep one entry from half of the sidecars; callers go on."""
        cables = self._dep.list_cables(0)
        half = cables[: len(cables) // 2]
        for cable in half:
            cable.silence()
        await asyncio.sleep(FAILURE_S * 3)
        for cable in half:
            cable.mend()

    async def a_cut(self) -> None:
        """Reset all connections of one entry."""
        for cable in self._dep.list_cables(1):
            cable.cut()
        await asyncio.sleep(FAILURE_S)
        for cable in self._dep.list_cables(1):
            cable.mend()

    async def a_silent_device(self) -> None:
        """Make open connections silent for good; new ones work."""
        for cable in self._dep.cables.values():
            cable.silence_open()
        await asyncio.sleep(FAILURE_S * 2)

    async def a_slow_network(self) -> None:
        """Let messages arrive late."""
        for cable in self._dep.cables.values():
            cable.delay_s = 0.1
        await asyncio.sleep(FAILURE_S)
        for cable in self._dep.cables.values():
            cable.delay_s = 0.0

    async def the_configuration_is_down(self) -> None:
        """Stop the configuration service while a process restarts."""
        await self._dep.config.stop()
        name = self._pick("engine")
        port = await self._dep.kill_sidecar(name)
        await self._dep.start_sidecar(name, port)
        await asyncio.sleep(FAILURE_S)
        await self._dep.config.start()

    async def the_configuration_is_stale(self) -> None:
        """Show an old table while an entry restarts."""
        self._dep.config.freeze()
        self._dep.config.publish(self._dep.rows)
        await self._dep.kill_entry(1)
        await self._dep.start_entry(1)
        await asyncio.sleep(FAILURE_S)
        self._dep.config.thaw()

    async def a_faulty_table(self) -> None:
        """Publish a table that must be refused, then a good one."""
        rows = self._dep.rows
        bad = type(rows)(rows.accounts, [], rows.targets, rows.limits, rows.groups)
        self._dep.config.publish(bad)
        await asyncio.sleep(FAILURE_S)
        self._dep.config.publish(rows)

    async def a_target_drains(self) -> None:
        """Drain a sidecar while the host list lags."""
        name = self._pick("engine")
        port = await self._dep.drain_sidecar(name)
        await self._dep.start_sidecar(name, port)

    async def an_entry_drains(self) -> None:
        """Drain an entry, then start its successor."""
        await self._dep.drain_entry(0)
        await self._dep.start_entry(0)


class Groups:
    """The lock-step groups of all deployments."""

    def __init__(self, deps: list[deployment.Deployment]) -> None:
        self._deps = deps
        self._version = 1
        self._locks: list[lockstep.LockStep] = []
        for dep in deps:
            members = [row.target for row in dep.rows.targets if row.group]
            engines = [dep.targets[name] for name in members]
            self._locks.append(
                lockstep.LockStep(
                    [e for e in engines if isinstance(e, targets.Engine)], STEP_S
                )
            )

    def start(self) -> None:
        """Begin to step."""
        for lock in self._locks:
            lock.start()

    def change_map(self) -> None:
        """Want the next map in every group."""
        self._version += 1
        for dep in self._deps:
            for proc in dep.sidecars.values():
                proc.sidecar.groups.wanted_map_version = self._version

    def stop(self, counts: Counts) -> None:
        """Stop stepping and count at the engines."""
        for lock in self._locks:
            lock.stop()
            counts.steps += lock.lowest_step
            counts.maps += lock.count_maps()
            counts.mixed_maps += lock.count_mixed()


async def bring_about(
    failures: list[Failures], name: str, counts: Counts, groups: Groups
) -> None:
    """Bring about one failure in both deployments at once, and change the maps."""
    sys.stdout.write(f"  {name.replace('_', ' '):32}")
    sys.stdout.flush()
    before = counts.answered
    groups.change_map()
    await asyncio.gather(*(getattr(one, name)() for one in failures))
    await asyncio.sleep(FAILURE_S)
    sys.stdout.write(f"{counts.answered - before:6} answered meanwhile\n")


async def watch_revisions(deps: list[deployment.Deployment], counts: Counts) -> None:
    """Count every process whose table goes back."""
    held: dict[tuple[str, int], int] = {}
    while True:
        for dep in deps:
            processes: list[tuple[int, int]] = [
                (p.entry.incarnation, p.entry.sync.conf.version) for p in dep.entries
            ]
            processes += [
                (p.sidecar.incarnation, p.sidecar.sync.conf.version)
                for p in dep.sidecars.values()
            ]
            for ident, version in processes:
                key = (dep.shape.name, ident)
                if version < held.get(key, 0):
                    counts.reverted += 1
                held[key] = version
        await asyncio.sleep(0.05)


async def run_all(
    run_in: world.World, names: list[str], seed: int, counts: Counts
) -> None:
    """Run the deployments, the callers and the failures."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    shapes = (deployment.ARCHIVO, deployment.REGISTRY)
    deps = [deployment.Deployment(s, run_in=run_in, lag_s=5.0) for s in shapes]
    for dep in deps:
        await dep.start()
    while not all(dep.is_ready() for dep in deps):
        assert loop.time() - began_at < START_LIMIT_S, "the deployments did not start"
        await asyncio.sleep(0.05)
    sys.stdout.write(f"  {'started':32}{loop.time() - began_at:6.1f} s\n")
    watcher = loop.create_task(watch_revisions(deps, counts))
    all_callers = [Callers(dep, counts, seed) for dep in deps]
    tasks = [loop.create_task(c.run()) for c in all_callers for _ in range(CALLERS)]
    failures = [Failures(dep, seed) for dep in deps]
    groups = Groups(deps)
    groups.start()
    await asyncio.sleep(FAILURE_S)
    for name in names:
        await bring_about(failures, name, counts, groups)
    await asyncio.sleep(SETTLE_S)
    for callers in all_callers:
        callers.is_stopping = True
    await asyncio.gather(*tasks)
    watcher.cancel()
    groups.stop(counts)
    for callers in all_callers:
        callers.count_at_targets()
        await callers.close()
    for dep in deps:
        await dep.stop()
    counts.seconds = round(loop.time() - began_at, 1)


def list_failures() -> list[str]:
    """Return the names of all failures."""
    return [n for n in vars(Failures) if n.startswith(("a_", "an_", "the_"))]


def run_demo(failures: str, seed: int) -> bool | str:
    """Run the demo; return whether all rules held, or what is wrong in the words."""
    known = list_failures()
    names = known if failures == "all" else [failures]
    if failures == "none":
        names = []
    elif failures != "all" and failures not in known:
        return f"failure {failures!r} does not exist; use all, none or: {known}"
    loguru.logger.remove()
    counts = Counts()
    run_in = world.World(is_clock_paused=False)
    run_in.run(run_all(run_in, names, seed, counts))
    result = dataclasses.asdict(counts)
    for kind, count in sorted(result["kinds"].items()):
        sys.stdout.write(f"  refused: {kind:23}{count:6}\n")
    for name, value in result.items():
        if name != "kinds":
            sys.stdout.write(f"  {name:32}{value:6}\n")
    sys.stdout.write(json.dumps(result) + "\n")
    return not any(result[name] for name in MUST_BE_ZERO)
