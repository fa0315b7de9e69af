"""Builds an entry or a sidecar of the direct path from its settings and runs it.

``python3 -m sardinesaddle.direct ROLE`` reads the settings file that the platform
names in an environment variable; ``sardinesaddle node ROLE FILE`` reads any file.
SIGTERM drains the process. The module imports only what the direct path needs, since
every import costs memory in each process.
"""

import asyncio
import os
import random
import signal
import sys
import typing

import aiohttp
import aiohttp.web
import loguru
import uvloop

from sardinesaddle import settings
from sardinesaddle.direct import (
    entrynode,
    freshness,
    frontend,
    nodelog,
    nodemetrics,
    nodesettings,
    sidecarnode,
)
from sardinesaddle.platform import catalogformat, engines, headers, store

SETTINGS_VARIABLE: typing.Final = "SARDINESADDLE_BOOT"
EXIT_USAGE: typing.Final = 2
SETTINGS_POLL_S: typing.Final = 2.0  # the file may change without SIGHUP


WiredNode = tuple[
    entrynode.EntryNode | sidecarnode.SidecarNode,
    nodemetrics.NodeMetrics,
    aiohttp.ClientSession,
]


def make_session() -> aiohttp.ClientSession:
    """Return the HTTP client for the platform's store and the engine."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept-Encoding"),
    )


def make_entry(cfg: nodesettings.EntrySettings) -> WiredNode:
    """Build an entry with the platform's store, decoder and headers."""
    session = make_session()
    node = entrynode.EntryNode(
        cfg,
        store.PlatformStore(session, cfg.store),
        catalogformat.PlatformStoreDecoder(),
        headers.PlatformHeaderCodec(),
        freshness.BootTimeClock(),
        random.Random(),
    )
    return node, node.metrics, session


def make_sidecar(cfg: nodesettings.SidecarSettings) -> WiredNode:
    """Build a sidecar with the platform's engine client."""
    session = make_session()
    local_engine = engines.PlatformEngine(session, cfg.target)
    store_decoder = catalogformat.PlatformStoreDecoder()
    node = sidecarnode.SidecarNode(
        cfg, local_engine, store_decoder, freshness.BootTimeClock(), random.Random()
    )
    return node, node.metrics, session


class StatusServer:
    """HTTP server of the readiness check and of ``/metrics``."""

    def __init__(
        self,
        node: entrynode.EntryNode | sidecarnode.SidecarNode,
        node_metrics: nodemetrics.NodeMetrics,
        sink: nodelog.BoundedSink,
    ) -> None:
        self._node = node
        self._metrics = node_metrics
        self._sink = sink
        self._runners: list[aiohttp.web.ServerRunner] = []

    async def listen(self, host: str, port: int) -> None:
        """Start to listen on an address."""
        runner = aiohttp.web.ServerRunner(
            aiohttp.web.Server(self._handle, access_log=None),
            shutdown_timeout=frontend.SHUTDOWN_TIMEOUT_S,
        )
        await runner.setup()
        await aiohttp.web.TCPSite(runner, host, port).start()
        self._runners.append(runner)

    async def _handle(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        """Return the metrics at ``/metrics``, the readiness as status elsewhere."""
        if request.path == "/metrics":
            self._metrics.set_dropped_log_lines(self._sink.dropped)
            body, head = self._metrics.render()
            return aiohttp.web.Response(body=body, headers=head)
        return aiohttp.web.Response(status=200 if self._node.is_ready else 503)

    async def stop(self) -> None:
        """Stop listening on all addresses."""
        for runner in self._runners:
            await runner.cleanup()


async def watch_settings(
    role: str,
    path: str,
    node: entrynode.EntryNode | sidecarnode.SidecarNode,
    reload_requested: asyncio.Event,
    loaded_data: bytes,
) -> None:
    """Apply changes of the settings file at SIGHUP, or when polling finds them."""
    last_data = loaded_data
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_S):
                await reload_requested.wait()
            reload_requested.clear()
            loguru.logger.info("event=sighup")
        except TimeoutError:
            pass
        data = read_bytes(path)
        if data != last_data:
            last_data = data
            apply_settings(node, load_role(role, path))


def apply_settings(
    node: entrynode.EntryNode | sidecarnode.SidecarNode,
    cfg: nodesettings.EntrySettings
    | nodesettings.SidecarSettings
    | settings.SettingsFault,
) -> None:
    """Apply new settings to a node; invalid ones are logged and ignored."""
    if isinstance(cfg, settings.SettingsFault):
        loguru.logger.error("event=settings_refused reason={!r}", cfg.text)
        return
    if isinstance(node, entrynode.EntryNode):
        if isinstance(cfg, nodesettings.EntrySettings):
            node.reload(cfg)
    elif isinstance(cfg, nodesettings.SidecarSettings):
        node.reload(cfg)
    loguru.logger.info("event=settings_reloaded seeds={}", ",".join(cfg.seeds))


def read_bytes(path: str) -> bytes:
    """Return a file's content; log an error and return b"" if it cannot be read."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as exc:
        loguru.logger.warning("event=settings_unreadable reason={!r}", str(exc))
        return b""


async def run(
    role: str,
    path: str,
    cfg: nodesettings.EntrySettings | nodesettings.SidecarSettings,
    loaded_data: bytes,
) -> None:
    """Run a role until SIGTERM; ``loaded_data`` is the content of the settings file."""
    loop = asyncio.get_running_loop()
    sink = nodelog.start_logging(role, cfg.log_lines_per_s)
    sink.attach(loop)
    stopping, reload_requested = asyncio.Event(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    if isinstance(cfg, nodesettings.EntrySettings):
        node, node_metrics, session = make_entry(cfg)
    else:
        node, node_metrics, session = make_sidecar(cfg)
    loguru.logger.info("event=start name={} place={}", cfg.name, cfg.place)
    status_server = StatusServer(node, node_metrics, sink)
    await node.start()
    if isinstance(cfg, nodesettings.EntrySettings):
        await status_server.listen(*nodesettings.split_address(cfg.ready))
    if cfg.metrics_port:
        await status_server.listen(cfg.host, cfg.metrics_port)
    watcher = loop.create_task(
        watch_settings(role, path, node, reload_requested, loaded_data)
    )
    await stopping.wait()
    loguru.logger.info("event=sigterm")
    await node.drain()
    watcher.cancel()
    await status_server.stop()
    await session.close()
    loguru.logger.info("event=end")
    sink.flush()


def load_role(
    role: str, path: str
) -> nodesettings.EntrySettings | nodesettings.SidecarSettings | settings.SettingsFault:
    """Read and check the settings file of a role."""
    if role == "entry":
        return nodesettings.load_entry(path)
    if role == "sidecar":
        return nodesettings.load_sidecar(path)
    return settings.SettingsFault(f"role {role!r} does not exist; use entry or sidecar")


def run_role(role: str, path: str) -> str:
    """Run a role until SIGTERM; return an error message if its settings are invalid."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    loaded_data = read_bytes(path)
    cfg = load_role(role, path)
    if isinstance(cfg, settings.SettingsFault):
        return cfg.text
    uvloop.run(run(role, path, cfg, loaded_data))
    return ""


def main() -> None:
    """Run the role on the command line with the settings file of the platform."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    fault = "usage: python3 -m sardinesaddle.direct ROLE"
    if len(sys.argv) == 2:
        fault = f"set {SETTINGS_VARIABLE} to the path of a settings file"
        if path:
            fault = run_role(sys.argv[1], path)
    if fault:
        sys.stderr.write(f"sardinesaddle: {fault}\n")
        sys.exit(EXIT_USAGE)
