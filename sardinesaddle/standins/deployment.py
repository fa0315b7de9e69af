"""A deployment in one process: stand-ins, sidecars and entries on loopback.

The two shapes are those of the users' deployments at their present sizes. Tests, the
demo and the path benchmark use this module.
"""

import collections.abc
import dataclasses
import hashlib
import pathlib
import tempfile
import typing

from sardinesaddle import build, settings, table
from sardinesaddle.standins import (
    configservice,
    hostlist,
    loopdriver,
    targets,
    tcpproxy,
)

SECRET: typing.Final = b"a secret for stand-ins only"
HOSTS_PERIOD_S: typing.Final = 0.5

Result = typing.TypeVar("Result")


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """The size of a deployment, and the names of its places, services and accounts."""

    name: str
    places: tuple[str, ...]
    model: str
    model_service: str
    engines: int
    plain_service: str
    plain_targets: int
    accounts: tuple[str, ...]
    entries: int = 2
    # The number of engines, the first ones, that form a lock-step group.
    grouped_engines: int = 0


ARCHIVO: typing.Final = Shape(
    "archivo",
    ("centro", "cordon", "prado"),
    "sermon-text",
    "summaries",
    16,
    "catalogue",
    3,
    ("salto", "seminary", "treasurer", *(f"parish-{n}" for n in range(1, 8))),
    grouped_engines=4,
)
REGISTRY: typing.Final = Shape(
    "registry",
    ("pnw-a", "pnw-b", "pnw-c"),
    "drafting",
    "drafts",
    16,
    "ledger",
    3,
    ("douglas-fir", "skagit", "olympic", *(f"buyer-{n}" for n in range(1, 8))),
    grouped_engines=4,
)


def make_token(account: str) -> str:
    """Return the bearer token of a test account."""
    return f"token-of-{account}"


def make_rows(shape: Shape) -> table.Rows:
    """Return the operators' table of a deployment.

    The first three accounts have four times the share of the others.
    """
    accounts = [
        table.AccountRow(
            name,
            [hashlib.sha256(make_token(name).encode()).hexdigest()],
            share=4.0 if index < 3 else 1.0,
        )
        for index, name in enumerate(shape.accounts)
    ]
    services = [
        table.ServiceRow(shape.model_service, "model", model=shape.model),
        table.ServiceRow(
            shape.plain_service,
            "plain",
            prefix=f"/{shape.plain_service}/",
            idempotent=False,
        ),
    ]
    target_rows = [
        table.TargetRow(
            f"{shape.name}-engine-{n}",
            shape.model_service,
            shape.places[n % len(shape.places)],
            checks_orders=n % 2 == 0,
            group=get_group_name(shape) if n < shape.grouped_engines else "",
        )
        for n in range(shape.engines)
    ]
    target_rows += [
        table.TargetRow(
            f"{shape.name}-plain-{n}",
            shape.plain_service,
            shape.places[n % len(shape.places)],
        )
        for n in range(shape.plain_targets)
    ]
    limits = [
        table.LimitRow(shape.model_service, burst=500.0, deadline_s=20.0, priority=5),
        table.LimitRow(shape.plain_service, burst=500.0, deadline_s=10.0, priority=2),
    ]
    groups = (
        [table.GroupRow(get_group_name(shape), experts=32)]
        if shape.grouped_engines
        else []
    )
    return table.Rows(accounts, services, target_rows, limits, groups)


def get_group_name(shape: Shape) -> str:
    """Return the name of a deployment's lock-step group."""
    return f"{shape.name}-group"


class Deployment:
    """The processes and stand-ins of one deployment.

    With a loop driver, each process runs in its own event loop and can be paused. Each
    entry has its own host list with the ports of TCP proxies, so that any entry can be
    partitioned from any sidecar. ``token_s`` is the engines' time for each token and
    ``lag_s`` the lag of the host lists.
    """

    def __init__(
        self,
        shape: Shape,
        token_s: float = 0.005,
        lag_s: float = 0.0,
        loop_driver: loopdriver.LoopDriver | None = None,
        retry_horizon_s: float = 600.0,
        trace_file: str = "",
        has_proxies: bool = True,
    ) -> None:
        self.shape = shape
        self.rows = make_rows(shape)
        self.config = configservice.ConfigService()
        self.hosts = hostlist.HostList(lag_s)
        self.targets: dict[str, targets.CountingTarget] = {}
        self.sidecars: dict[str, build.SidecarProcess] = {}
        self.entries: list[build.EntryProcess] = []
        self.proxies: dict[tuple[int, str], tcpproxy.TcpProxy] = {}
        self._entry_hosts = [hostlist.HostList(lag_s) for _ in range(shape.entries)]
        self._lag_s = lag_s
        self._token_s = token_s
        self._loop_driver = loop_driver
        self._retry_horizon_s = retry_horizon_s
        self._trace_file = trace_file
        self._has_proxies = has_proxies
        self._temp_dir = tempfile.TemporaryDirectory(prefix="sardinesaddle-")
        self._secret_file = pathlib.Path(self._temp_dir.name) / "secret"

    async def _run_in_process(
        self,
        name: str,
        make_coroutine: collections.abc.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, Result]
        ],
    ) -> Result:
        """Run a coroutine in a process's event loop, if there is a loop driver."""
        if self._loop_driver is None:
            return await make_coroutine()
        return await self._loop_driver.run_in_process(name, make_coroutine)

    async def start(self) -> None:
        """Start the stand-ins, then the sidecars, then the entries.

        The host lists show the first hosts without a lag.
        """
        self._secret_file.write_bytes(SECRET)
        await self.config.start()
        for hosts in (self.hosts, *self._entry_hosts):
            await hosts.start()
        self.config.publish(self.rows)
        self._set_lag(0.0)
        for row in self.rows.targets:
            await self.start_target(row.target)
            await self.start_sidecar(row.target)
        self._set_lag(self._lag_s)
        for index in range(self.shape.entries):
            await self.start_entry(index)

    def _set_lag(self, lag_s: float) -> None:
        """Set the lag in seconds of all host lists."""
        for hosts in (self.hosts, *self._entry_hosts):
            hosts.lag_s = lag_s

    async def start_target(self, name: str) -> None:
        """Start the stand-in of a target.

        Engines with even numbers check fencing tokens.
        """
        if "-plain-" in name:
            self.targets[name] = targets.PlainService(name)
        else:
            checks_fences = bool(int(name.rpartition("-")[2]) % 2 == 0)
            self.targets[name] = targets.Engine(
                name, self._token_s, checks_fences=checks_fences
            )
        await self.targets[name].start()

    def make_platform_settings(
        self, hosts: hostlist.HostList, is_reader: bool
    ) -> settings.Platform:
        """Return the settings for the platform's services."""
        return settings.Platform(self.config.url, hosts.url, is_reader, HOSTS_PERIOD_S)

    def find_place(self, target: str) -> str:
        """Return the place of a target in the table."""
        return next(row.place for row in self.rows.targets if row.target == target)

    async def start_sidecar(self, name: str, port: int = 0) -> build.SidecarProcess:
        """Start the sidecar of a target and add it to the host lists."""
        index = list(self.targets).index(name)
        cfg = settings.SidecarSettings(
            name,
            self.find_place(name),
            str(self._secret_file),
            self.make_platform_settings(self.hosts, index < len(self.shape.places)),
            self.targets[name].url,
            listen=settings.Listen(port=port),
            tracing=settings.Tracing(self._trace_file),
            retry_horizon_s=self._retry_horizon_s,
        )

        async def start() -> build.SidecarProcess:
            proc = build.SidecarProcess(cfg, SECRET)
            await proc.start()
            return proc

        proc = await self._run_in_process(name, start)
        self.sidecars[name] = proc
        self.hosts.put(name, proc.sidecar.port, cfg.place)
        for entry_index in range(self.shape.entries):
            await self._connect_entry(entry_index, name, proc.sidecar.port)
        return proc

    async def _connect_entry(self, entry: int, name: str, port: int) -> None:
        """Add a sidecar to an entry's host list, behind a proxy if those are in use."""
        if not self._has_proxies:
            self._entry_hosts[entry].put(name, port, self.find_place(name))
            return
        proxy = self.proxies.get((entry, name))
        if proxy is None:
            proxy = tcpproxy.TcpProxy(port)
            await proxy.start()
            self.proxies[entry, name] = proxy
            place = self.find_place(name)
            self._entry_hosts[entry].put(name, proxy.port, place)
        proxy.target_port = port

    def mark_leaving(self, name: str) -> None:
        """Set a host's state to leaving in all host lists."""
        place = self.find_place(name)
        self.hosts.put(name, self.sidecars[name].sidecar.port, place, "leaving")
        for entry, hosts in enumerate(self._entry_hosts):
            hosts.put(name, self.proxies[entry, name].port, place, "leaving")

    def list_proxies(self, entry: int) -> list[tcpproxy.TcpProxy]:
        """Return the proxies between one entry and the sidecars."""
        return [proxy for (index, _), proxy in self.proxies.items() if index == entry]

    async def kill_sidecar(self, name: str) -> int:
        """Stop a sidecar without a drain, as a crash does; return its port."""
        proc = self.sidecars.pop(name)
        port = proc.sidecar.port
        await self._run_in_process(name, proc.stop)
        return port

    async def drain_sidecar(self, name: str) -> int:
        """Drain a sidecar as on SIGTERM; return its port."""
        proc = self.sidecars.pop(name)
        port = proc.sidecar.port
        await self._run_in_process(name, proc.drain)
        return port

    def get_entry_name(self, index: int) -> str:
        """Return the name of the entry with this index."""
        return f"{self.shape.name}-entry-{index}"

    async def start_entry(self, index: int) -> build.EntryProcess:
        """Start an entry, or a new process in place of an earlier one."""
        places = self.shape.places
        cfg = settings.EntrySettings(
            self.get_entry_name(index),
            places[index % len(places)],
            str(self._secret_file),
            self.make_platform_settings(self._entry_hosts[index], is_reader=True),
            tracing=settings.Tracing(self._trace_file),
            drain_reachable_s=0.2,
        )

        async def start() -> build.EntryProcess:
            proc = build.EntryProcess(cfg, SECRET, seed=index)
            await proc.start()
            return proc

        proc = await self._run_in_process(cfg.name, start)
        if index < len(self.entries):
            self.entries[index] = proc
        else:
            self.entries.append(proc)
        return proc

    async def drain_entry(self, index: int) -> None:
        """Drain an entry as on SIGTERM."""
        proc = self.entries[index]
        await self._run_in_process(self.get_entry_name(index), proc.drain)

    async def kill_entry(self, index: int) -> None:
        """Stop an entry without a drain, as a crash does."""
        proc = self.entries[index]
        await self._run_in_process(self.get_entry_name(index), proc.stop)

    def pause(self, name: str) -> None:
        """Pause the event loop of a process."""
        assert self._loop_driver is not None, "only a loop driver can pause a process"
        self._loop_driver.pause(name)

    def resume(self, name: str) -> None:
        """Resume the event loop of a paused process."""
        assert self._loop_driver is not None, "only a loop driver can pause a process"
        self._loop_driver.resume(name)

    def is_ready(self) -> bool:
        """Return whether each entry is ready and connected to all targets."""
        return all(
            proc.entry.is_ready
            and sum(v.is_connected for v in proc.entry.peers.fleet.targets.values())
            >= len(self.rows.targets)
            for proc in self.entries
        )

    def get_entry_url(self, index: int) -> str:
        """Return the base URL of an entry."""
        return f"http://127.0.0.1:{self.entries[index].entry.port}"

    def count_records(self, call_id: str) -> int:
        """Return how often the plain services recorded a call."""
        plain = [
            t for t in self.targets.values() if isinstance(t, targets.PlainService)
        ]
        return sum(target.records[call_id] for target in plain)

    def count_runs(self, call_id: str) -> int:
        """Return how often targets started a call, in total."""
        return sum(target.runs[call_id] for target in self.targets.values())

    async def stop(self) -> None:
        """Stop all processes and stand-ins without a drain."""
        for index, entry in enumerate(self.entries):
            await self._run_in_process(self.get_entry_name(index), entry.stop)
        for name, proc in self.sidecars.items():
            await self._run_in_process(name, proc.stop)
        for target in self.targets.values():
            target.unfreeze()
            await target.stop()
        for proxy in self.proxies.values():
            await proxy.stop()
        for hosts in (self.hosts, *self._entry_hosts):
            await hosts.stop()
        await self.config.stop()
        self._temp_dir.cleanup()
