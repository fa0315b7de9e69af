"""Measures how long a table edit takes to be in force in a fleet of the design size.

370 entries and 3,100 sidecars run the real configuration class. A few readers in each
place read the manifest from the configuration service. All other messages flow over the
links between entries and sidecars, with a delay and, in one scenario, a third of them
lost.
"""

import heapq
import random
import typing

import msgspec

from sardinesaddle import configuration, link, manifest, table
from sardinesaddle.bench import report

ENTRIES: typing.Final = 370
SIDECARS: typing.Final = 3100
PLACES: typing.Final = 7
READERS_PER_PLACE: typing.Final = 3
LINKS_PER_ENTRY: typing.Final = 108
MESSAGE_DELAY_S: typing.Final = 0.002
HEARTBEAT_PERIOD_S: typing.Final = link.HEARTBEAT_IDLE_PERIOD_S
RETRY_PERIOD_S: typing.Final = 0.25
READ_PERIOD_S: typing.Final = 0.2
MAX_WAIT_S: typing.Final = 30.0
READ_RATE_WINDOW_S: typing.Final = 10.0
SERVICE: typing.Final = "service"


class Process:
    """An entry or sidecar, its peers, and the newest version that a peer announced."""

    __slots__ = ("conf", "name", "peers", "in_force_at", "newest_seen_version")

    def __init__(self, name: str) -> None:
        self.name = name
        self.conf = configuration.Configuration(0.0)
        self.peers: list[Process] = []
        self.in_force_at = -1.0
        self.newest_seen_version = 0


class Simulation:
    """A discrete-event simulation of processes and messages, in model time."""

    def __init__(self, seed: int, loss_rate: float) -> None:
        self._rng = random.Random(f"{seed} {loss_rate}")
        self._loss_rate = loss_rate
        self._events: list[tuple[float, int, typing.Callable[[float], None]]] = []
        self._event_count = 0
        self.now = 0.0
        self.reads = 0
        self.messages = 0
        self._values: dict[str, bytes] = {}
        self._published: manifest.Manifest | None = None
        self.entries = [Process(f"entry-{n}") for n in range(ENTRIES)]
        self.sidecars = [Process(f"sidecar-{n}") for n in range(SIDECARS)]
        for entry in self.entries:
            for sidecar in self._rng.sample(self.sidecars, LINKS_PER_ENTRY):
                entry.peers.append(sidecar)
                sidecar.peers.append(entry)
        self.readers = self.entries[: PLACES * READERS_PER_PLACE]

    def publish(self, rows: table.Rows) -> int:
        """Publish a table in the configuration service; return its revision."""
        previous = self._published
        revision = 1 if previous is None else previous.revision + 1
        self._published, shards = manifest.build_manifest(rows, revision, previous)
        self._values.update(shards)
        self._values[manifest.MANIFEST_NAME] = msgspec.json.encode(self._published)
        return revision

    def schedule(
        self, delay_s: float, callback: typing.Callable[[float], None]
    ) -> None:
        """Run a callback after a delay, with the time as its argument."""
        self._event_count += 1
        heapq.heappush(self._events, (self.now + delay_s, self._event_count, callback))

    def send(self, callback: typing.Callable[[float], None]) -> None:
        """Count a message, and deliver it after a delay unless it is lost."""
        self.messages += 1
        if self._rng.random() >= self._loss_rate:
            self.schedule(MESSAGE_DELAY_S * self._rng.uniform(0.5, 1.5), callback)

    def start(self) -> None:
        """Schedule the heartbeats of all processes and the reads of the readers."""
        for process in (*self.entries, *self.sidecars):
            self._schedule_heartbeat(process, self._rng.uniform(0, HEARTBEAT_PERIOD_S))
        for reader in self.readers:
            self._schedule_read(reader, self._rng.uniform(0, READ_PERIOD_S))

    def _schedule_heartbeat(self, process: Process, delay_s: float) -> None:
        """Send heartbeats and tick the configuration periodically."""

        def send_heartbeat(now: float) -> None:
            self.send_version(process)
            self.perform_actions(process, process.conf.tick(now))
            self._schedule_heartbeat(process, HEARTBEAT_PERIOD_S)

        self.schedule(delay_s, send_heartbeat)

    def _schedule_retry(self, process: Process) -> None:
        """Tick a process while it lacks a version, so that it repeats its requests."""

        def retry(now: float) -> None:
            if process.conf.version < process.newest_seen_version:
                self.perform_actions(process, process.conf.tick(now))
                self._schedule_retry(process)

        self.schedule(RETRY_PERIOD_S, retry)

    def _schedule_read(self, reader: Process, delay_s: float) -> None:
        """Read the manifest from the service periodically; each read is counted."""

        def read(now: float) -> None:
            self.reads += 1
            data = self._values[manifest.MANIFEST_NAME]
            self.perform_actions(reader, reader.conf.on_manifest(now, SERVICE, data))
            self._schedule_read(reader, READ_PERIOD_S)

        self.schedule(delay_s, read)

    def send_version(self, process: Process, skips_up_to_date: bool = False) -> None:
        """Send the version in a heartbeat to all peers, or only to those behind."""
        version = process.conf.version
        for peer in process.peers:
            if skips_up_to_date and not process.conf.is_behind(peer.name):
                continue
            self.send(self._make_version_delivery(peer, process, version))

    def _make_version_delivery(
        self, peer: Process, sender: Process, version: int
    ) -> typing.Callable[[float], None]:
        """Return a callback that delivers a sender's version to a peer."""

        def deliver(now: float) -> None:
            actions = peer.conf.on_peer_version(now, sender.name, version)
            if version > peer.newest_seen_version:
                peer.newest_seen_version = version
                if version > peer.conf.version:
                    self._schedule_retry(peer)
            self.perform_actions(peer, actions)

        return deliver

    def perform_actions(
        self, process: Process, actions: list[configuration.Action]
    ) -> None:
        """Perform the actions of a process's configuration."""
        for action in actions:
            if isinstance(action, configuration.Adopt):
                process.in_force_at = self.now
                self.send_version(process, skips_up_to_date=True)
            elif isinstance(action, configuration.FetchManifest):
                self._fetch(process, action.source, "")
            elif isinstance(action, configuration.FetchShard):
                self._fetch(process, action.source, action.digest)

    def _fetch(self, process: Process, source: str, digest: str) -> None:
        """Request a shard from the service, or a shard or the manifest from a peer.

        An empty digest stands for the manifest.
        """
        if source == SERVICE:
            self.reads += 1
            data = self._values[digest]
            self.schedule(
                MESSAGE_DELAY_S,
                lambda now: self.perform_actions(
                    process, process.conf.on_shard(now, digest, data)
                ),
            )
            return
        peer = next(p for p in process.peers if p.name == source)

        def reply(now: float) -> None:
            if digest:
                data = peer.conf.find_shard(digest)
                self.send(
                    lambda at: self.perform_actions(
                        process, process.conf.on_shard(at, digest, data)
                    )
                )
            else:
                text = peer.conf.manifest_data
                self.send(
                    lambda at: self.perform_actions(
                        process, process.conf.on_manifest(at, source, text)
                    )
                )

        self.send(reply)

    def run_until(self, end_at: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= end_at:
            self.now, _, callback = heapq.heappop(self._events)
            callback(self.now)

    def run_until_revision(self, revision: int, limit_s: float) -> float:
        """Run until all processes have a revision; return the seconds, or the limit."""
        started_at = self.now
        waiting = [*self.entries, *self.sidecars]
        while self._events and self.now < started_at + limit_s:
            self.now, _, callback = heapq.heappop(self._events)
            callback(self.now)
            if waiting[-1].conf.revision >= revision:
                while waiting and waiting[-1].conf.revision >= revision:
                    waiting.pop()
                if not waiting:
                    return self.now - started_at
        return limit_s


def make_rows(rate: float) -> table.Rows:
    """Return a small table; its size does not affect how it spreads."""
    return table.Rows(
        services=[table.ServiceRow("s", "plain", prefix="/s")],
        targets=[table.TargetRow("t", "s", "p")],
        limits=[table.LimitRow("s", rate=rate)],
    )


def run(seed: int) -> report.Report:
    """Measure the time until an edit is in force, and the reads from the service."""
    result = report.Report("config")
    for name, loss_rate, limit_s in (("calm", 0.0, 5.0), ("a_third_lost", 1 / 3, 13.0)):
        simulation = Simulation(seed, loss_rate)
        simulation.publish(make_rows(1.0))
        simulation.start()
        simulation.run_until_revision(1, MAX_WAIT_S)
        reads, started_at = simulation.reads, simulation.now
        simulation.publish(make_rows(2.0))
        seconds = simulation.run_until_revision(2, MAX_WAIT_S)
        result.add_at_most(f"seconds_until_in_force_{name}", seconds, limit_s)
        simulation.run_until(started_at + READ_RATE_WINDOW_S)
        rate = (simulation.reads - reads) / (simulation.now - started_at)
        result.add_at_most(f"reads_per_s_{name}", rate, 200.0)
    return result
