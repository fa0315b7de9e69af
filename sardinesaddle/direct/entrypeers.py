"""Finds the other entries and exchanges heartbeats with them.

An entry starts with its seeds and learns of further entries from heartbeats and from
the replies to its own. It sends heartbeats to each of them until one has not been heard
of for ``ENTRY_TTL_S``; seeds are retried forever. With many entries each one gets
heartbeats less often, so that their number for a process stays bounded.

Heartbeats also carry the changes to this entry's crash ledger and departures that the
receiver has not acknowledged yet. What this entry found itself is announced at once;
records that it got from others go with the regular heartbeats, for entries that the
others do not reach. A receiver that restarted gets all records again.
"""

import abc
import asyncio
import contextlib
import dataclasses
import random
import typing

import loguru

from sardinesaddle.direct import messages, rpc, supervision

HEARTBEAT_PERIOD_S: typing.Final = 0.25
HEARTBEATS_PER_PERIOD: typing.Final = 3  # sent by an entry to all others together
HEARTBEAT_TIMEOUT_S: typing.Final = 0.5
ENTRY_TTL_S: typing.Final = 10.0  # an entry is removed after this time without contact


@dataclasses.dataclass(slots=True)
class LedgerCursor:
    """Which changes of crash ledger and departures a receiver of heartbeats has.

    ``incarnation`` is that of the receiver's process.
    """

    incarnation: int = 0
    change_number: int = 0
    departure_number: int = 0


class PeerObserver(abc.ABC):
    """Provides what heartbeats carry and uses what they bring."""

    @abc.abstractmethod
    def list_crash_records(self, after: int) -> tuple[list[messages.CrashRecord], int]:
        """Return the records changed after a change number, and the newest number."""

    @abc.abstractmethod
    def list_departures(self, after: int) -> tuple[list[messages.Departure], int]:
        """Return the departures changed after a number, and the newest number."""

    @property
    @abc.abstractmethod
    def incarnation(self) -> int:
        """A random number of this process."""

    @abc.abstractmethod
    def make_limit_update(self, host: str) -> messages.LimitUpdate | None:
        """Return what another entry may lack about limited targets."""

    @abc.abstractmethod
    def make_admission_update(self, host: str) -> messages.AdmissionUpdate | None:
        """Return what the parts of the admission tell another entry."""

    @abc.abstractmethod
    def on_entries_changed(self) -> None:
        """Handle that an entry was found or lost."""

    @abc.abstractmethod
    async def on_heartbeat_reply(
        self,
        peer: rpc.Peer,
        heartbeat: messages.Heartbeat,
        reply: messages.HeartbeatReply,
        sent_at: float,
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
        # The hosts that were asked, whether they replied or not.
        self._asked: set[str] = set()
        self._has_asked_seeds = False
        # Set and replaced when all entries get a heartbeat at once.
        self._announced = asyncio.Event()

    @property
    def hosts(self) -> list[str]:
        """The hosts of the other live entries."""
        return list(self._last_heard)

    def list_entries(self) -> list[str]:
        """Return the hosts of all live entries, this one included."""
        return [self._host, *self._last_heard]

    def list_contacted(self) -> list[str]:
        """Return the hosts that get heartbeats, whether they reply or not."""
        return list(self._tasks)

    @property
    def has_asked_seeds(self) -> bool:
        """Whether each seed was asked once since the start, and its reply applied."""
        if not self._has_asked_seeds:
            self._has_asked_seeds = self._asked.issuperset(self._seeds)
        return self._has_asked_seeds

    def set_seeds(self, hosts: list[str]) -> None:
        """Set the seeds and start heartbeats to them."""
        self._seeds = [host for host in hosts if host != self._host]
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

    def announce(self) -> None:
        """Send a heartbeat to all entries at once."""
        self._announced.set()
        self._announced = asyncio.Event()

    def _start_heartbeats(self, host: str) -> None:
        """Start the heartbeats to an entry unless they are running."""
        if host != self._host and host not in self._tasks:
            loop = asyncio.get_running_loop()
            self._tasks[host] = loop.create_task(self._keep_heartbeats(host))

    async def _keep_heartbeats(self, host: str) -> None:
        """Run the heartbeats to an entry until it expires."""
        try:
            await supervision.run_restarting(
                f"heartbeats to {host}", lambda: self._run_heartbeats(host)
            )
        finally:
            self._tasks.pop(host, None)

    async def _run_heartbeats(self, host: str) -> None:
        """Send heartbeats to an entry until it expires; seeds are retried forever."""
        loop = asyncio.get_running_loop()
        peer = rpc.Peer(host, self._node_port)
        cursor = LedgerCursor()
        started_at = loop.time()
        try:
            while True:
                announced = self._announced
                try:
                    await self._send_heartbeat(peer, cursor)
                finally:
                    # An entry that cannot handle a reply must not wait for it forever.
                    self._asked.add(host)
                last_heard = self._last_heard.get(host, started_at)
                if loop.time() - last_heard > ENTRY_TTL_S:
                    if self._last_heard.pop(host, None) is not None:
                        loguru.logger.info("event=entry_lost host={}", host)
                        self._observer.on_entries_changed()
                    if host not in self._seeds:
                        break
                periods = max(len(self._tasks) / HEARTBEATS_PER_PERIOD, 1.0)
                jitter = 0.75 + self._rng.random() / 2
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(HEARTBEAT_PERIOD_S * periods * jitter):
                        await announced.wait()
        finally:
            peer.close()

    async def _send_heartbeat(self, peer: rpc.Peer, cursor: LedgerCursor) -> None:
        """Send one heartbeat and pass the reply on."""
        sent_at = self._observer.read_clock()
        records, newest = self._observer.list_crash_records(cursor.change_number)
        left, newest_left = self._observer.list_departures(cursor.departure_number)
        heartbeat = messages.Heartbeat(
            self._host,
            self.list_entries(),
            records,
            self._observer.incarnation,
            self._observer.make_limit_update(peer.host),
            left,
            self._observer.make_admission_update(peer.host),
        )
        reply = await peer.call(heartbeat, HEARTBEAT_TIMEOUT_S)
        if not isinstance(reply, messages.HeartbeatReply):
            return
        is_new_process = reply.incarnation != cursor.incarnation
        cursor.change_number = 0 if is_new_process and cursor.change_number else newest
        cursor.departure_number = (
            0 if is_new_process and cursor.departure_number else newest_left
        )
        cursor.incarnation = reply.incarnation
        self.on_entry_alive(peer.host)
        for host in reply.entries:
            self._start_heartbeats(host)
        await self._observer.on_heartbeat_reply(peer, heartbeat, reply, sent_at)

    async def stop(self) -> None:
        """Stop all heartbeats."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
