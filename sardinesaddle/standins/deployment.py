"""A whole deployment in one process: stand-ins, sidecars and entries on loopback.

The shapes are those of the two users at today's sizes. Tests, the demo and the path
bench build their fleets here.
"""

import dataclasses
import hashlib
import pathlib
import tempfile
import typing

from sardinesaddle import build, settings, table
from sardinesaddle.standins import configservice, hostlist, targets

SECRET: typing.Final = b"a secret for stand-ins only"
HOSTS_PERIOD_S: typing.Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """What a deployment consists of."""

    name: str
    places: tuple[str, ...]
    model: str
    model_service: str
    engines: int
    plain_service: str
    plain_targets: int
    accounts: tuple[str, ...]
    entries: int = 2


ARCHIVO: typing.Final = Shape(
    "archivo",
    ("centro", "cordon", "prado"),
    "sermon-text",
    "summaries",
    16,
    "catalogue",
    3,
    ("salto", "seminary", "treasurer", *(f"parish-{n}" for n in range(1, 8))),
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
)


def make_token(account: str) -> str:
    """Return the bearer token of a stand-in account."""
    return f"token-of-{account}"


def make_rows(shape: Shape) -> table.Rows:
    """Return the operators' table of a deployment."""
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
    rows = [
        table.TargetRow(
            f"{shape.name}-engine-{n}",
            shape.model_service,
            shape.places[n % len(shape.places)],
            checks_orders=n % 2 == 0,
        )
        for n in range(shape.engines)
    ]
    rows += [
        table.TargetRow(
            f"{shape.name}-plain-{n}",
            shape.plain_service,
            shape.places[n % len(shape.places)],
        )
        for n in range(shape.plain_targets)
    ]
    limits = [
        table.LimitRow(shape.model_service, deadline_s=20.0, priority=5),
        table.LimitRow(shape.plain_service, deadline_s=10.0, priority=2),
    ]
    return table.Rows(accounts, services, rows, limits)


class Deployment:
    """The processes and stand-ins of one deployment."""

    def __init__(
        self, shape: Shape, token_s: float = 0.005, lag_s: float = 0.0
    ) -> None:
        self.shape = shape
        self.rows = make_rows(shape)
        self.config = configservice.ConfigService()
        self.hosts = hostlist.HostList(lag_s)
        self.targets: dict[str, targets.CountingTarget] = {}
        self.sidecars: dict[str, build.SidecarProcess] = {}
        self.entries: list[build.EntryProcess] = []
        self._token_s = token_s
        self._lag_s = lag_s
        self._scratch = tempfile.TemporaryDirectory(prefix="sardinesaddle-")
        self._secret_file = pathlib.Path(self._scratch.name) / "secret"
        self.trace_file = ""
        self.horizon_s = 600.0

    async def start(self) -> None:
        """Start the stand-ins, then the sidecars, then the entries."""
        self._secret_file.write_bytes(SECRET)
        await self.config.start()
        await self.hosts.start()
        self.config.publish(self.rows)
        self.hosts.lag_s = 0.0
        for row in self.rows.targets:
            await self.start_target(row.target)
            await self.start_sidecar(row.target)
        self.hosts.lag_s = self._lag_s
        for index in range(self.shape.entries):
            await self.start_entry(index)

    async def start_target(self, name: str) -> None:
        """Start the stand-in of a target."""
        if "-plain-" in name:
            self.targets[name] = targets.PlainService(name)
        else:
            checks = bool(int(name.rpartition("-")[2]) % 2 == 0)
            self.targets[name] = targets.Engine(
                name, self._token_s, checks_fences=checks
            )
        await self.targets[name].start()

    def make_platform(self, is_reader: bool) -> settings.Platform:
        """Return the platform's addresses for a process."""
        return settings.Platform(
            self.config.url, self.hosts.url, is_reader, HOSTS_PERIOD_S
        )

    def find_place(self, target: str) -> str:
        """Return the place of a target."""
        return next(row.place for row in self.rows.targets if row.target == target)

    async def start_sidecar(self, name: str, port: int = 0) -> build.SidecarProcess:
        """Start the sidecar of a target and list its host."""
        index = list(self.targets).index(name)
        cfg = settings.SidecarSettings(
            name,
            self.find_place(name),
            str(self._secret_file),
            self.make_platform(index < len(self.shape.places)),
            self.targets[name].url,
            listen=settings.Listen(port=port),
            tracing=settings.Tracing(self.trace_file),
            retry_horizon_s=self.horizon_s,
        )
        proc = build.SidecarProcess(cfg, SECRET)
        await proc.start()
        self.sidecars[name] = proc
        self.hosts.put(name, proc.sidecar.port, cfg.place)
        return proc

    async def start_entry(self, index: int) -> build.EntryProcess:
        """Start an entry."""
        places = self.shape.places
        cfg = settings.EntrySettings(
            f"{self.shape.name}-entry-{index}",
            places[index % len(places)],
            str(self._secret_file),
            self.make_platform(is_reader=True),
            tracing=settings.Tracing(self.trace_file),
            drain_reachable_s=0.2,
        )
        proc = build.EntryProcess(cfg, SECRET, seed=index)
        await proc.start()
        self.entries.append(proc)
        return proc

    def is_ready(self) -> bool:
        """Tell whether every entry serves with every target linked."""
        return all(
            proc.entry.is_ready
            and sum(v.is_linked for v in proc.entry.peers.fleet.targets.values())
            >= len(self.rows.targets)
            for proc in self.entries
        )

    def find_url(self, index: int) -> str:
        """Return the address of an entry."""
        return f"http://127.0.0.1:{self.entries[index].entry.port}"

    async def stop(self) -> None:
        """Stop everything at once."""
        for entry in self.entries:
            await entry.stop()
        for proc in self.sidecars.values():
            await proc.stop()
        for target in self.targets.values():
            target.thaw()
            await target.stop()
        await self.hosts.stop()
        await self.config.stop()
        self._scratch.cleanup()
