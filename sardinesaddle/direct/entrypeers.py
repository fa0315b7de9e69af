"""Finds the other entries and exchanges heartbeats with them.

An entry starts with its seeds and learns of further entries from heartbeats and from
the replies to its own. It sends heartbeats to each of them until one has not been heard
of for ``ENTRY_TTL_S``; seeds are retried forever. With many entries each one gets
heartbeats less often, so that their number for a process stays bounded.
"""

import abc
import asyncio
import random
import typing

import loguru

from sardinesaddle.direct import messages, rpc

HEARTBEAT_PERIOD_S: typing.Final = 0.25
HEARTBEATS_PER_PERIOD: typing.Final = 3  # sent by an entry to all others together
HEARTBEAT_TIMEOUT_S: typing.Final = 0.5
ENTRY_TTL_S: typing.Final = 10.0  # an entry is removed after this time without contact


class PeerObserver(abc.ABC):
    """Uses what the exchange with other entries brings."""

    @abc.abstractmethod
    def on_entries_changed(self) -> None:
        """Handle that an entry was found or lost."""

    @abc.abstractmethod
    async def on_heartbeat_reply(
        self, peer: rpc.Peer, reply: messages.HeartbeatReply, sent_at: float
    ) -> None:
        """Handle a reply; ``sent_at`` is the observer's time of the heartbeat."""

    @abc.abstractmethod
    def read_clock(self) -> float:
        """Return the observer's time in seconds."""


class EntryPeers:
    """The other entries that an entry knows, and its heartbeats to them."""

    def __init__(
        self, host: str, node_port: int, rng: random.Random, observer: PeerObserver
    ) -> None:
        self._host = host
        self._node_port = node_port
        self._rng = rng
        self._observer = observer
        self._seeds: list[str] = []
        self._last_heard: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def hosts(self) -> list[str]:
        """The hosts of the other live entries."""
        return list(self._last_heard)

    def list_entries(self) -> list[str]:
        """Return the hosts of all live entries, this one included."""
        return [self._host, *self._last_heard]

    def set_seeds(self, hosts: list[str]) -> None:
        """Set the seeds and start heartbeats to them."""
        self._seeds = hosts
        for host in hosts:
            self._start_heartbeats(host)

    def on_entry_alive(self, host: str) -> None:
        """Record that an entry is alive, and start to send it heartbeats."""
        if host == self._host:
            return
        is_new = host not in self._last_heard
        self._last_heard[host] = asyncio.get_running_loop().time()
        if is_new:
            loguru.logger.info("event=entry_found host={}", host)
            self._observer.on_entries_changed()
        self._start_heartbeats(host)

    def _start_heartbeats(self, host: str) -> None:
        """Start the heartbeats to an entry unless they are running."""
        if host != self._host and host not in self._tasks:
            loop = asyncio.get_running_loop()
            self._tasks[host] = loop.create_task(self._run_heartbeats(host))

    async def _run_heartbeats(self, host: str) -> None:
        """Send heartbeats to an entry until it expires; seeds are retried forever."""
        loop = asyncio.get_running_loop()
        peer = rpc.Peer(host, self._node_port)
        started_at = loop.time()
        try:
            while True:
                await self._send_heartbeat(peer)
                last_heard = self._last_heard.get(host, started_at)
                if loop.time() - last_heard > ENTRY_TTL_S:
                    if self._last_heard.pop(host, None) is not None:
                        loguru.logger.info("event=entry_lost host={}", host)
                        self._observer.on_entries_changed()
                    if host not in self._seeds:
                        break
                periods = max(len(self._tasks) / HEARTBEATS_PER_PERIOD, 1.0)
                jitter = 0.75 + self._rng.random() / 2
                await asyncio.sleep(HEARTBEAT_PERIOD_S * periods * jitter)
        finally:
            peer.close()
            self._tasks.pop(host, None)

    async def _send_heartbeat(self, peer: rpc.Peer) -> None:
        """Send one heartbeat and pass the reply on."""
        sent_at = self._observer.read_clock()
        heartbeat = messages.Heartbeat(self._host, self.list_entries())
        reply = await peer.call(heartbeat, HEARTBEAT_TIMEOUT_S)
        if not isinstance(reply, messages.HeartbeatReply):
            return
        self.on_entry_alive(peer.host)
        for host in reply.entries:
            self._start_heartbeats(host)
        await self._observer.on_heartbeat_reply(peer, reply, sent_at)

    async def stop(self) -> None:
        """Stop all heartbeats."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
