"""Runs both users' deployments in one process and injects failures.

Callers send streams, lookups and records over HTTP while each failure is injected
once. A caller that loses its connection or receives an unknown outcome resends its
call through the other entry, with the same key if it is a record, as the users' callers
do. All counts come from the callers and the stand-in targets, not from the
code under test.
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
from sardinesaddle.standins import deployment, lockstep, loopdriver, targets

START_LIMIT_S: typing.Final = 30.0
FAILURE_DURATION_S: typing.Final = 1.5
SETTLE_S: typing.Final = 4.0
CALLERS_PER_DEPLOYMENT: typing.Final = 8
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
    """Counts of the callers and the stand-ins; the demo prints them as JSON.

    ``doubled`` counts records that were made more than once, ``crossed`` answers to
    other calls, ``false_not_run`` recorded calls that were reported as not run,
    ``mixed_maps`` steps run with different maps, ``reverted`` processes whose table
    went back to an earlier version, and ``lost`` calls whose last send got no response.
    """

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

    def count_refusal(self, document: dict[str, str]) -> None:
        """Count a refusal by the error code in its problem document."""
        kind = document.get("type", "none").rpartition(":")[2]
        self.kinds[kind] = self.kinds.get(kind, 0) + 1


class Callers:
    """Callers of one deployment; each task of ``run`` is one caller."""

    def __init__(self, dep: deployment.Deployment, counts: Counts, seed: int) -> None:
        self._dep = dep
        self._counts = counts
        self._rng = random.Random(f"{seed} {dep.shape.name}")
        self._session = build.make_session()
        self._last_number = 0
        self._refused: set[str] = set()
        self.is_stopping = False

    async def run(self) -> None:
        """Send calls one after another until ``is_stopping`` is set."""
        senders = (
            self._send_stream,
            self._send_lookup,
            self._send_record,
            self._send_record,
        )
        while not self.is_stopping:
            send_call = self._rng.choice(senders)
            self._last_number += 1
            self._counts.sent += 1
            await send_call(f"{self._dep.shape.name}-{self._last_number}")
            await asyncio.sleep(self._rng.uniform(0.01, 0.06))

    async def close(self) -> None:
        """Close the connections of all callers."""
        await self._session.close()

    def _make_headers(self, call_id: str) -> dict[str, str]:
        """Return the headers of a call from a random account."""
        account = self._rng.choice(self._dep.shape.accounts)
        return {
            "Authorization": f"Bearer {deployment.make_token(account)}",
            "X-Call-Id": call_id,
            "X-Deadline-Ms": str(CALL_DEADLINE_MS),
        }

    async def _send(
        self, method: str, path: str, headers: dict[str, str], body: bytes, entry: int
    ) -> tuple[int, bytes] | None:
        """Send a call once; return None if the connection is lost."""
        try:
            async with self._session.request(
                method,
                self._dep.get_entry_url(entry) + path,
                headers=headers,
                data=body or None,
                timeout=aiohttp.ClientTimeout(total=CALL_DEADLINE_MS / 1000 + 10),
            ) as resp:
                return resp.status, await resp.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def _send_until_answered(
        self, method: str, path: str, headers: dict[str, str], body: bytes, call_id: str
    ) -> bytes | None:
        """Send a call until it has an answer or a final refusal, or was sent too often.

        Each send goes to the next entry. Returns None if there is no answer.
        """
        entry = self._rng.randrange(self._dep.shape.entries)
        for attempt in range(MAX_SENDS):
            if attempt:
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
            self._counts.count_refusal(document)
            if ran == "not_run":
                self._counts.not_run += 1
                self._refused.add(call_id)
                return None
            if attempt == MAX_SENDS - 1 or b"key-forgotten" in data:
                self._counts.unknown += 1
                return None
        self._counts.lost += 1
        return None

    async def _send_stream(self, call_id: str) -> None:
        """Request a streamed completion and check its tokens."""
        shape = self._dep.shape
        messages = [{"role": "user", "content": f"{call_id} please"}]
        body = {
            "model": shape.model,
            "messages": messages,
            "max_tokens": 40,
            "stream": True,
        }
        data = await self._send_until_answered(
            "POST",
            "/v1/chat/completions",
            self._make_headers(call_id),
            json.dumps(body).encode(),
            call_id,
        )
        if data is None:
            return
        if b"event: error" in data:
            self._counts.unknown += 1
            return
        if not data.endswith(b"data: [DONE]\n\n"):
            self._counts.cut_off += 1
            return
        expected_tokens = targets.make_tokens(json.dumps(messages), 40)
        tokens = [
            json.loads(line[6:])["choices"][0]["delta"]["content"]
            for line in data.split(b"\n\n")
            if line.startswith(b"data: {")
        ]
        if tokens != expected_tokens:
            self._counts.crossed += 1
            return
        self._counts.answered += 1

    async def _send_lookup(self, call_id: str) -> None:
        """Send an idempotent GET request to the plain service."""
        path = f"/{self._dep.shape.plain_service}/{call_id}"
        headers = self._make_headers(call_id)
        self._check_plain_answer(
            call_id, await self._send_until_answered("GET", path, headers, b"", call_id)
        )

    async def _send_record(self, call_id: str) -> None:
        """Send a POST request with a minted key, which must run at most once."""
        service = self._dep.shape.plain_service
        headers = self._make_headers(call_id)
        key_request = json.dumps({"service": service}).encode()
        data = await self._send_until_answered(
            "POST", "/v1/keys", headers, key_request, call_id
        )
        if data is None:
            return
        headers["Idempotency-Key"] = json.loads(data)["key"]
        path = f"/{service}/{call_id}"
        self._check_plain_answer(
            call_id,
            await self._send_until_answered("POST", path, headers, b"{}", call_id),
        )

    def _check_plain_answer(self, call_id: str, data: bytes | None) -> None:
        """Check that an answer of the plain service belongs to its call."""
        if data is None:
            return
        if json.loads(data)["call"] != call_id:
            self._counts.crossed += 1
            return
        self._counts.answered += 1

    def count_at_targets(self) -> None:
        """Count duplicate and wrongly denied records at the plain services."""
        plain = [
            t for t in self._dep.targets.values() if isinstance(t, targets.PlainService)
        ]
        records: dict[str, int] = {}
        for target in plain:
            for call_id, count in target.records.items():
                records[call_id] = records.get(call_id, 0) + count
        self._counts.doubled += sum(1 for count in records.values() if count > 1)
        executed = set(records) & self._refused
        self._counts.false_not_run += len(executed)


class FailureInjector:
    """Injects failures into one deployment.

    The methods whose names begin with an article are the failures; their names are
    those that the command line accepts.
    """

    def __init__(self, dep: deployment.Deployment, seed: int) -> None:
        self._dep = dep
        self._rng = random.Random(f"{seed} failures {dep.shape.name}")

    def _choose_target(self, name_part: str = "") -> str:
        """Return a random target whose name contains ``kind``."""
        return self._rng.choice([n for n in self._dep.sidecars if name_part in n])

    async def a_target_stalls(self) -> None:
        """Freeze a target for a while; its connections stay open."""
        target = self._dep.targets[self._choose_target("plain")]
        target.freeze()
        await asyncio.sleep(FAILURE_DURATION_S)
        target.unfreeze()

    async def a_target_crashes(self) -> None:
        """Close a target's connections and port for a while."""
        await self._dep.targets[self._choose_target("engine")].crash(FAILURE_DURATION_S)

    async def a_sidecar_dies(self) -> None:
        """Stop a sidecar without a drain; restart it with an empty state."""
        name = self._choose_target("plain")
        port = await self._dep.kill_sidecar(name)
        await asyncio.sleep(FAILURE_DURATION_S / 2)
        await self._dep.start_sidecar(name, port)

    async def a_sidecar_is_paused(self) -> None:
        """Pause a sidecar's process for a while."""
        name = self._choose_target("plain")
        self._dep.pause(name)
        await asyncio.sleep(FAILURE_DURATION_S * 4)
        self._dep.resume(name)

    async def an_entry_is_paused(self) -> None:
        """Pause an entry's process for a while."""
        self._dep.pause(self._dep.get_entry_name(0))
        await asyncio.sleep(FAILURE_DURATION_S * 4)
        self._dep.resume(self._dep.get_entry_name(0))

    async def an_entry_dies(self) -> None:
        """Stop an entry without a drain and restart it."""
        await self._dep.kill_entry(1)
        await asyncio.sleep(FAILURE_DURATION_S / 2)
        await self._dep.start_entry(1)

    async def a_partition(self) -> None:
        """Partition one entry from half of the sidecars; callers still reach it."""
        proxies = self._dep.list_proxies(0)
        half = proxies[: len(proxies) // 2]
        for proxy in half:
            proxy.blackhole()
        await asyncio.sleep(FAILURE_DURATION_S * 3)
        for proxy in half:
            proxy.restore()

    async def a_cut(self) -> None:
        """Reset one entry's connections to the sidecars and refuse new ones."""
        for proxy in self._dep.list_proxies(1):
            proxy.reset()
        await asyncio.sleep(FAILURE_DURATION_S)
        for proxy in self._dep.list_proxies(1):
            proxy.restore()

    async def a_silent_device(self) -> None:
        """Drop the bytes of all open connections for good; new connections work."""
        for proxy in self._dep.proxies.values():
            proxy.blackhole_open()
        await asyncio.sleep(FAILURE_DURATION_S * 2)

    async def a_slow_network(self) -> None:
        """Delay the messages between entries and sidecars."""
        for proxy in self._dep.proxies.values():
            proxy.delay_s = 0.1
        await asyncio.sleep(FAILURE_DURATION_S)
        for proxy in self._dep.proxies.values():
            proxy.delay_s = 0.0

    async def the_configuration_is_down(self) -> None:
        """Stop the configuration service while a sidecar restarts."""
        await self._dep.config.stop()
        name = self._choose_target("engine")
        port = await self._dep.kill_sidecar(name)
        await self._dep.start_sidecar(name, port)
        await asyncio.sleep(FAILURE_DURATION_S)
        await self._dep.config.start()

    async def the_configuration_is_stale(self) -> None:
        """Serve an old table while an entry restarts."""
        self._dep.config.freeze()
        self._dep.config.publish(self._dep.rows)
        await self._dep.kill_entry(1)
        await self._dep.start_entry(1)
        await asyncio.sleep(FAILURE_DURATION_S)
        self._dep.config.unfreeze()

    async def a_faulty_table(self) -> None:
        """Publish a table that must be refused, then a valid one."""
        rows = self._dep.rows
        bad = type(rows)(rows.accounts, [], rows.targets, rows.limits, rows.groups)
        self._dep.config.publish(bad)
        await asyncio.sleep(FAILURE_DURATION_S)
        self._dep.config.publish(rows)

    async def a_target_drains(self) -> None:
        """Drain and restart a sidecar while the host list lags."""
        name = self._choose_target("engine")
        port = await self._dep.drain_sidecar(name)
        await self._dep.start_sidecar(name, port)

    async def an_entry_drains(self) -> None:
        """Drain an entry, then start a new one in its place."""
        await self._dep.drain_entry(0)
        await self._dep.start_entry(0)


class LockStepGroups:
    """Runs the lock-step groups of all deployments and switches their maps."""

    def __init__(self, deps: list[deployment.Deployment]) -> None:
        self._deps = deps
        self._version = 1
        self._lock_steps: list[lockstep.LockStep] = []
        for dep in deps:
            members = [row.target for row in dep.rows.targets if row.group]
            engines = [dep.targets[name] for name in members]
            self._lock_steps.append(
                lockstep.LockStep(
                    [
                        engine
                        for engine in engines
                        if isinstance(engine, targets.Engine)
                    ],
                    STEP_S,
                )
            )

    def start(self) -> None:
        """Start running the steps of all groups."""
        for lock_step in self._lock_steps:
            lock_step.start()

    def change_map(self) -> None:
        """Request the next expert map in every group."""
        self._version += 1
        for dep in self._deps:
            for proc in dep.sidecars.values():
                proc.sidecar.groups.wanted_map_version = self._version

    def stop(self, counts: Counts) -> None:
        """Stop running steps; add the engines' counts."""
        for lock_step in self._lock_steps:
            lock_step.stop()
            counts.steps += lock_step.lowest_step
            counts.maps += lock_step.count_maps()
            counts.mixed_maps += lock_step.count_mixed_steps()


async def inject_failure(
    injectors: list[FailureInjector], name: str, counts: Counts, groups: LockStepGroups
) -> None:
    """Inject one failure into both deployments at once, and switch the maps."""
    sys.stdout.write(f"  {name.replace('_', ' '):32}")
    sys.stdout.flush()
    answered_before = counts.answered
    groups.change_map()
    await asyncio.gather(*(getattr(injector, name)() for injector in injectors))
    await asyncio.sleep(FAILURE_DURATION_S)
    sys.stdout.write(f"{counts.answered - answered_before:6} answered meanwhile\n")


async def watch_revisions(deps: list[deployment.Deployment], counts: Counts) -> None:
    """Count each time that a process's table goes back to an earlier version."""
    last_versions: dict[tuple[str, int], int] = {}
    while True:
        for dep in deps:
            processes: list[tuple[int, int]] = [
                (p.entry.incarnation, p.entry.sync.conf.version) for p in dep.entries
            ]
            processes += [
                (p.sidecar.incarnation, p.sidecar.sync.conf.version)
                for p in dep.sidecars.values()
            ]
            for incarnation, version in processes:
                key = (dep.shape.name, incarnation)
                if version < last_versions.get(key, 0):
                    counts.reverted += 1
                last_versions[key] = version
        await asyncio.sleep(0.05)


async def run_all(
    loop_driver: loopdriver.LoopDriver, names: list[str], seed: int, counts: Counts
) -> None:
    """Start the deployments and callers, inject the failures, then stop and count."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    shapes = (deployment.ARCHIVO, deployment.REGISTRY)
    deps = [
        deployment.Deployment(s, loop_driver=loop_driver, lag_s=5.0) for s in shapes
    ]
    for dep in deps:
        await dep.start()
    while not all(dep.is_ready() for dep in deps):
        assert loop.time() - started_at < START_LIMIT_S, "the deployments did not start"
        await asyncio.sleep(0.05)
    sys.stdout.write(f"  {'started':32}{loop.time() - started_at:6.1f} s\n")
    watcher = loop.create_task(watch_revisions(deps, counts))
    all_callers = [Callers(dep, counts, seed) for dep in deps]
    tasks = [
        loop.create_task(c.run())
        for c in all_callers
        for _ in range(CALLERS_PER_DEPLOYMENT)
    ]
    injectors = [FailureInjector(dep, seed) for dep in deps]
    groups = LockStepGroups(deps)
    groups.start()
    await asyncio.sleep(FAILURE_DURATION_S)
    for name in names:
        await inject_failure(injectors, name, counts, groups)
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
    counts.seconds = round(loop.time() - started_at, 1)


def list_failures() -> list[str]:
    """Return the names of all failures, in the order in which they are injected."""
    return [n for n in vars(FailureInjector) if n.startswith(("a_", "an_", "the_"))]


def run_demo(failures: str, seed: int) -> bool | str:
    """Run the demo; return whether all counts that must be 0 are 0.

    Returns a message instead if ``failures`` names no failure.
    """
    known = list_failures()
    names = known if failures == "all" else [failures]
    if failures == "none":
        names = []
    elif failures != "all" and failures not in known:
        return f"failure {failures!r} does not exist; use all, none or: {known}"
    loguru.logger.remove()
    counts = Counts()
    loop_driver = loopdriver.LoopDriver(is_clock_virtual=False)
    loop_driver.run(run_all(loop_driver, names, seed, counts))
    result = dataclasses.asdict(counts)
    for kind, count in sorted(result["kinds"].items()):
        sys.stdout.write(f"  refused: {kind:23}{count:6}\n")
    for name, value in result.items():
        if name != "kinds":
            sys.stdout.write(f"  {name:32}{value:6}\n")
    sys.stdout.write(json.dumps(result) + "\n")
    return not any(result[name] for name in MUST_BE_ZERO)
