"""Distributes the operators' table: connects ``Configuration`` to its sources.

Readers watch the configuration service. Every process exchanges manifests and shards
with its peers over the existing links. ``configuration.Configuration`` decides what
to fetch and adopt; this module executes its actions.
"""

import abc
import asyncio
import collections.abc
import typing

import loguru

from sardinesaddle import configuration, external, manifest, table, wire

CONFIG_SERVICE: typing.Final = "configuration service"
TICK_S: typing.Final = 0.25
MIN_RETRY_DELAY_S: typing.Final = 0.25
MAX_RETRY_DELAY_S: typing.Final = 4.0
MIN_WATCH_PERIOD_S: typing.Final = 0.2  # bounds the rate of watch calls


class PeerSender(abc.ABC):
    """Sends messages to peers by name."""

    @abc.abstractmethod
    def send_to_peer(self, name: str, msg: wire.Message) -> None:
        """Send a message, or drop it if the peer is not connected."""


class ConfigSync:
    """Keeps a process's configuration up to date; calls ``on_adopt`` for each table."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        source: external.ConfigSource,
        is_reader: bool,
        sender: PeerSender,
        on_adopt: collections.abc.Callable[[table.Table, manifest.Manifest], None],
    ) -> None:
        self._loop = loop
        self._source = source
        self._is_reader = is_reader
        self._sender = sender
        self._on_adopt = on_adopt
        self._tasks: set[asyncio.Task[None]] = set()
        self._logged_faults: set[str] = set()
        self.conf = configuration.Configuration(loop.time())
        self.reads = 0

    def start(self) -> None:
        """Start the periodic retries and, in a reader, the watch of the service."""
        self._spawn(self._tick())
        if self._is_reader:
            self._spawn(self._watch())

    def stop(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, coro: collections.abc.Coroutine[None, None, None]) -> None:
        """Start a task that ``stop`` cancels."""
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tick(self) -> None:
        """Repeat unanswered requests periodically."""
        while True:
            await asyncio.sleep(TICK_S)
            self._execute(self.conf.tick(self._loop.time()))

    async def _watch(self) -> None:
        """Watch the manifest; retry with exponential backoff when the service fails."""
        tag = ""
        failures = 0
        while True:
            started_at = self._loop.time()
            self.reads += 1
            value = await self._source.watch(manifest.MANIFEST_NAME, tag)
            if isinstance(value, external.Unavailable):
                failures += 1
                delay_s = min(
                    MIN_RETRY_DELAY_S * 2 ** (failures - 1), MAX_RETRY_DELAY_S
                )
                self._log_once("service", f"event=config_unavailable {value.reason!r}")
                await asyncio.sleep(delay_s)
                continue
            failures = 0
            self._logged_faults.clear()
            if value.tag != tag:
                tag = value.tag
                now = self._loop.time()
                self._execute(self.conf.on_manifest(now, CONFIG_SERVICE, value.data))
            elapsed_s = self._loop.time() - started_at
            await asyncio.sleep(max(MIN_WATCH_PERIOD_S - elapsed_s, 0))

    async def _read_shard(self, digest: str) -> None:
        """Read a shard from the service; a failed read is repeated at a later tick."""
        self.reads += 1
        value = await self._source.read(digest)
        if isinstance(value, external.ConfigValue):
            self._execute(self.conf.on_shard(self._loop.time(), digest, value.data))

    def on_peer_heartbeat(self, name: str, version: int) -> None:
        """Handle the version in force that a peer's heartbeat announces."""
        self._execute(self.conf.on_peer_version(self._loop.time(), name, version))

    def on_peer_disconnected(self, name: str) -> None:
        """Stop requesting content from a peer."""
        self.conf.on_peer_disconnected(name)

    def on_peer_message(self, name: str, msg: wire.Message) -> bool:
        """Handle a message about the configuration; return False for any other."""
        now = self._loop.time()
        if isinstance(msg, wire.ManifestRequest):
            reply = wire.ManifestReply(manifest.compress_value(self.conf.manifest_data))
            self._sender.send_to_peer(name, reply)
        elif isinstance(msg, wire.ManifestReply):
            data = manifest.decompress_value(msg.data)
            self._execute(self.conf.on_manifest(now, name, data))
        elif isinstance(msg, wire.ShardRequest):
            data = manifest.compress_value(self.conf.find_shard(msg.digest))
            self._sender.send_to_peer(name, wire.ShardReply(msg.digest, data))
        elif isinstance(msg, wire.ShardReply):
            data = manifest.decompress_value(msg.data)
            self._execute(self.conf.on_shard(now, msg.digest, data))
        else:
            return False
        return True

    def _execute(self, actions: list[configuration.Action]) -> None:
        """Execute the actions of the configuration."""
        for action in actions:
            if isinstance(action, configuration.FetchManifest):
                self._sender.send_to_peer(action.source, wire.ManifestRequest())
            elif isinstance(action, configuration.FetchShard):
                self._fetch_shard(action)
            elif isinstance(action, configuration.ReportFaults):
                for fault in action.faults:
                    text = f"event=revision_refused revision={action.revision}"
                    self._log_once(fault, f"{text} fault={fault!r}")
            else:
                loguru.logger.info(
                    "event=revision_adopted revision={} rows={}",
                    action.tab.revision,
                    len(action.tab.rows.limits),
                )
                self._on_adopt(action.tab, action.published)

    def _fetch_shard(self, action: configuration.FetchShard) -> None:
        """Request a shard from the service or a peer."""
        if action.source == CONFIG_SERVICE:
            self._spawn(self._read_shard(action.digest))
        else:
            self._sender.send_to_peer(action.source, wire.ShardRequest(action.digest))

    def _log_once(self, fault_key: str, line: str) -> None:
        """Log a fault once, and again only after a successful watch call."""
        if fault_key not in self._logged_faults:
            self._logged_faults.add(fault_key)
            loguru.logger.warning("{}", line)
