"""The composition root: constructs the parts of each role and runs its life cycle.

The HTTP clients, sources and targets of both roles are constructed only here, so that
tests and the demo can pass their own implementations. A role starts, serves until
SIGTERM or SIGINT, drains and exits. A second signal during the drain logs what the
drain waits for.
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
MAX_CLIENT_CONNECTIONS: typing.Final = 512


def make_session(is_unpooled: bool = False) -> aiohttp.ClientSession:
    """Return an HTTP client that keeps no cookies and does not decompress bodies.

    With ``is_unpooled`` each connection serves one request.
    """
    connector = aiohttp.TCPConnector(
        limit=MAX_CLIENT_CONNECTIONS, force_close=is_unpooled
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept-Encoding"),
    )


class Process(admin.Role):
    """One role with its HTTP clients, admin server and span export."""

    def __init__(self) -> None:
        self._sessions: list[aiohttp.ClientSession] = []
        self._export_task: asyncio.Task[None] | None = None
        self.admin: admin.AdminServer | None = None
        self.tracer: tracing.Tracer | None = None

    @abc.abstractmethod
    async def start(self) -> None:
        """Open the ports and start serving."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Become unhealthy, finish the work in progress and stop."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Stop without waiting for the work in progress."""

    @abc.abstractmethod
    def describe_wait(self) -> str:
        """Return what a drain still waits for, or an empty string."""

    def _add_session(self, is_unpooled: bool = False) -> aiohttp.ClientSession:
        """Return an HTTP client that is closed when the process stops."""
        session = make_session(is_unpooled)
        self._sessions.append(session)
        return session

    async def _start_common(
        self,
        role_metrics: metrics.Metrics,
        listen: settings.Listen,
        cfg: settings.Tracing,
    ) -> None:
        """Start the admin server and, if configured, the export of spans."""
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
        """Export the remaining spans and close the admin server and the clients."""
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
    """An entry with its HTTP clients and admin server."""

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
        is_recording = bool(cfg.tracing.file or cfg.tracing.otlp_url)
        self.tracer = tracing.Tracer("entry", cfg.name, is_recording)
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
        """Start the entry, then its admin server."""
        await self.entry.start()
        cfg = self._cfg
        await self._start_common(self.entry.metrics, cfg.admin, cfg.tracing)

    async def drain(self) -> None:
        """Become unhealthy, finish the calls in progress and stop."""
        await self.entry.drain()
        await self._stop_common(self._cfg.tracing)

    async def stop(self) -> None:
        """Stop without waiting for the calls in progress."""
        await self.entry.stop()
        await self._stop_common(self._cfg.tracing)

    def describe_wait(self) -> str:
        """Return what the entry's drain still waits for, or an empty string."""
        return self.entry.describe_wait()

    def describe(self) -> dict[str, object]:
        """Return the content of the entry's status page."""
        return self.entry.describe()

    def is_healthy(self) -> bool:
        """Return whether the entry is ready and not draining."""
        return self.entry.is_ready and not self.entry.is_draining


class SidecarProcess(Process):
    """A sidecar with its HTTP clients and admin server."""

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
        unpooled_session = self._add_session(is_unpooled=True)
        is_recording = bool(cfg.tracing.file or cfg.tracing.otlp_url)
        self.tracer = tracing.Tracer("sidecar", cfg.target, is_recording)
        config_url, hosts_url = cfg.platform.config_url, cfg.platform.hosts_url
        self.sidecar = sidecar.Sidecar(
            asyncio.get_running_loop(),
            cfg,
            secret,
            secrets.randbits(INCARNATION_BITS),
            target or httptarget.HttpTarget(session, unpooled_session, cfg.target_url),
            source or httpexternal.HttpConfigSource(session, config_url),
            hosts or httpexternal.HttpHostSource(session, hosts_url),
            self.tracer,
        )

    async def start(self) -> None:
        """Start the sidecar, then its admin server."""
        await self.sidecar.start()
        cfg = self._cfg
        await self._start_common(self.sidecar.metrics, cfg.admin, cfg.tracing)

    async def drain(self) -> None:
        """Refuse new attempts, finish the calls already accepted and stop."""
        await self.sidecar.drain()
        await self._stop_common(self._cfg.tracing)

    async def stop(self) -> None:
        """Stop without waiting for the calls in progress."""
        await self.sidecar.stop()
        await self._stop_common(self._cfg.tracing)

    def describe_wait(self) -> str:
        """Return what the sidecar's drain still waits for, or an empty string."""
        return self.sidecar.describe_wait()

    def describe(self) -> dict[str, object]:
        """Return the content of the sidecar's status page."""
        return self.sidecar.describe()

    def is_healthy(self) -> bool:
        """Return whether the sidecar is not draining."""
        return not self.sidecar.scheduler.is_draining


async def serve_until_signal(process: Process) -> None:
    """Run a role until SIGTERM or SIGINT, then drain it.

    Each further signal logs what the drain waits for.
    """
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
    """Run a role to its end on a uvloop event loop with one worker thread."""

    async def run() -> None:
        await serve_until_signal(make_process())

    with aiomisc.entrypoint(log_config=False, pool_size=1) as loop:
        loop.run_until_complete(run())
