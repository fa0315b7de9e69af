"""The composition root: wires the parts of each role and runs its life cycle.

Nothing else constructs clients, sources or targets, so a test or the demo can put
its own in their place. A role starts, serves until SIGTERM or SIGINT, drains and
ends. A second signal says what the drain waits for.
"""

import abc
import asyncio
import random
import secrets
import signal
import typing

import aiohttp
import aiomisc
import loguru

from sardinesaddle import (
    admin,
    entry,
    external,
    httpexternal,
    httptarget,
    metrics,
    settings,
    sidecar,
    tracing,
)

INCARNATION_BITS: typing.Final = 63
MAX_TARGET_CONNECTIONS: typing.Final = 512


def make_session(is_single_use: bool = False) -> aiohttp.ClientSession:
    """Return a client that keeps no cookies and changes no bodies."""
    connector = aiohttp.TCPConnector(
        limit=MAX_TARGET_CONNECTIONS, force_close=is_single_use
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept-Encoding"),
    )


class Process(admin.Role):
    """One role with everything that it needs."""

    def __init__(self) -> None:
        self._sessions: list[aiohttp.ClientSession] = []
        self._export_task: asyncio.Task[None] | None = None
        self.admin: admin.AdminServer | None = None
        self.tracer: tracing.Tracer | None = None

    @abc.abstractmethod
    async def start(self) -> None:
        """Start to serve."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Finish all work and stop."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Stop at once."""

    @abc.abstractmethod
    def describe_wait(self) -> str:
        """Return what a drain waits for."""

    def _add_session(self, is_single_use: bool = False) -> aiohttp.ClientSession:
        """Return a client that is closed with the process."""
        session = make_session(is_single_use)
        self._sessions.append(session)
        return session

    async def _start_common(
        self,
        role_metrics: metrics.Metrics,
        listen: settings.Listen,
        cfg: settings.Tracing,
    ) -> None:
        """Start the operators' pages and the export of spans."""
        self.admin = admin.AdminServer(self, role_metrics, listen.host, listen.port)
        await self.admin.start()
        assert self.tracer is not None
        if cfg.file or cfg.otlp_url:
            self._export_task = asyncio.get_running_loop().create_task(
                tracing.export_spans(
                    self.tracer, self._sessions[0], cfg.otlp_url, cfg.file
                )
            )

    async def _stop_common(self, cfg: settings.Tracing) -> None:
        """Export what is left and close the clients."""
        if self._export_task is not None and self.tracer is not None:
            self._export_task.cancel()
            await tracing.export_finished(
                self.tracer, self._sessions[0], cfg.otlp_url, cfg.file
            )
        if self.admin is not None:
            await self.admin.stop()
        for session in self._sessions:
            await session.close()


class EntryProcess(Process):
    """An entry with its clients and pages."""

    def __init__(
        self,
        cfg: settings.EntrySettings,
        secret: bytes,
        seed: int | None = None,
        source: external.ConfigSource | None = None,
        hosts: external.HostSource | None = None,
    ) -> None:
        super().__init__()
        self._cfg = cfg
        session = self._add_session()
        recording = bool(cfg.tracing.file or cfg.tracing.otlp_url)
        self.tracer = tracing.Tracer("entry", cfg.name, recording)
        config_url, hosts_url = cfg.platform.config_url, cfg.platform.hosts_url
        self.entry = entry.Entry(
            asyncio.get_running_loop(),
            cfg,
            secret,
            secrets.randbits(INCARNATION_BITS),
            source or httpexternal.HttpConfigSource(session, config_url),
            hosts or httpexternal.HttpHostSource(session, hosts_url),
            random.Random(seed),
            self.tracer,
        )

    async def start(self) -> None:
        """Start to serve callers."""
        await self.entry.start()
        cfg = self._cfg
        await self._start_common(self.entry.metrics, cfg.admin, cfg.tracing)

    async def drain(self) -> None:
        """Finish all calls and stop."""
        await self.entry.drain()
        await self._stop_common(self._cfg.tracing)

    async def stop(self) -> None:
        """Stop at once."""
        await self.entry.stop()
        await self._stop_common(self._cfg.tracing)

    def describe_wait(self) -> str:
        """Return what a drain waits for."""
        return self.entry.describe_wait()

    def describe(self) -> dict[str, object]:
        """Return the status page's content."""
        return self.entry.describe()

    def is_healthy(self) -> bool:
        """Tell whether new calls may be sent here."""
        return self.entry.is_ready and not self.entry.is_leaving


class SidecarProcess(Process):
    """A sidecar with its clients and pages."""

    def __init__(
        self,
        cfg: settings.SidecarSettings,
        secret: bytes,
        source: external.ConfigSource | None = None,
        hosts: external.HostSource | None = None,
        target: external.Target | None = None,
    ) -> None:
        super().__init__()
        self._cfg = cfg
        session = self._add_session()
        single_use = self._add_session(is_single_use=True)
        recording = bool(cfg.tracing.file or cfg.tracing.otlp_url)
        self.tracer = tracing.Tracer("sidecar", cfg.target, recording)
        config_url, hosts_url = cfg.platform.config_url, cfg.platform.hosts_url
        self.sidecar = sidecar.Sidecar(
            asyncio.get_running_loop(),
            cfg,
            secret,
            secrets.randbits(INCARNATION_BITS),
            target or httptarget.HttpTarget(session, single_use, cfg.target_url),
            source or httpexternal.HttpConfigSource(session, config_url),
            hosts or httpexternal.HttpHostSource(session, hosts_url),
            self.tracer,
        )

    async def start(self) -> None:
        """Start to serve entries."""
        await self.sidecar.start()
        cfg = self._cfg
        await self._start_common(self.sidecar.metrics, cfg.admin, cfg.tracing)

    async def drain(self) -> None:
        """Finish all calls and stop."""
        await self.sidecar.drain()
        await self._stop_common(self._cfg.tracing)

    async def stop(self) -> None:
        """Stop at once."""
        await self.sidecar.stop()
        await self._stop_common(self._cfg.tracing)

    def describe_wait(self) -> str:
        """Return what a drain waits for."""
        return self.sidecar.describe_wait()

    def describe(self) -> dict[str, object]:
        """Return the status page's content."""
        return self.sidecar.describe()

    def is_healthy(self) -> bool:
        """Tell whether entries may send work here."""
        return not self.sidecar.scheduler.is_draining


async def serve_until_signal(process: Process) -> None:
    """Run a role until a signal, then drain it."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()

    def on_signal() -> None:
        if stopping.is_set():
            loguru.logger.info("event=drain_waits {}", process.describe_wait() or "end")
        stopping.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, on_signal)
    await process.start()
    await stopping.wait()
    await process.drain()
    loguru.logger.info("event=drain_done")


def run_role(
    make_process: typing.Callable[[], Process],
) -> None:
    """Run a role on a uvloop loop with one thread."""

    async def run() -> None:
        await serve_until_signal(make_process())

    with aiomisc.entrypoint(log_config=False, pool_size=1) as loop:
        loop.run_until_complete(run())
