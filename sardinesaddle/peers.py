"""Connections of an entry to the sidecars of its targets.

The table lists the targets and the service of each; the host list has their
addresses. The entry connects to a subset of the targets that are in both. The host
list lags, so a peer that is no longer listed is removed only once its connection is
down and it has no open attempts. A target marked as leaving in the host list gets no
new requests, just as when its sidecar reports that it is draining.
"""

import asyncio
import typing

import loguru

from sardinesaddle import confsync, external, membership, peer, subset, table, wire

HOSTS_RETRY_S: typing.Final = 1.0


class Peers(confsync.PeerSender):
    """Opens and closes an entry's connections as the table and host list change."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: peer.PeerListener,
        host_source: external.HostSource,
        hello: wire.Hello,
        secret: bytes,
        subset_size: int,
        period_s: float,
    ) -> None:
        self._loop = loop
        self._listener = listener
        self._host_source = host_source
        self._hello = hello
        self._secret = secret
        self._subset_size = subset_size
        self._period_s = period_s
        self._host_rows: list[membership.Host] = []
        self._table: table.Table | None = None
        self._wanted_hosts: dict[str, membership.Host] = {}
        self._wanted_inputs: tuple[table.Table | None, list[membership.Host]] | None = (
            None
        )
        self._task: asyncio.Task[None] | None = None
        self.fleet = membership.Fleet()
        self.by_name: dict[str, peer.SidecarPeer] = {}

    def start(self) -> None:
        """Start polling the host list."""
        self._task = self._loop.create_task(self._poll_hosts())

    def stop(self) -> None:
        """Stop polling and close all connections."""
        if self._task is not None:
            self._task.cancel()
        for sidecar in self.by_name.values():
            sidecar.stop()

    async def _poll_hosts(self) -> None:
        """Read the host list periodically and update the connections."""
        while True:
            rows = await self._host_source.list_hosts()
            if isinstance(rows, external.Unavailable):
                loguru.logger.warning(
                    "event=hosts_unavailable reason={!r}", rows.reason
                )
                await asyncio.sleep(HOSTS_RETRY_S)
                continue
            self._host_rows = rows
            self._update_connections()
            # Without a table, poll more often so that the process starts quickly.
            period_s = self._period_s if self._table is not None else HOSTS_RETRY_S
            await asyncio.sleep(period_s)

    def apply_table(self, tab: table.Table) -> None:
        """Update weights and services from a new table, then the connections."""
        self._table = tab
        for sidecar in self.by_name.values():
            row = tab.targets.get(sidecar.view.name)
            sidecar.view.weight = compute_weight(row)
            self.fleet.move_to_service(
                sidecar.view, row.service if row is not None else ""
            )
        self._update_connections()

    def _update_connections(self) -> None:
        """Open and close connections to match the table and the host list.

        A moved target is closed once it is disconnected and idle; the next update
        connects to its new address.
        """
        wanted = self._get_wanted_hosts()
        for name, sidecar in list(self.by_name.items()):
            row = wanted.get(name)
            has_moved = row is not None and (row.host, row.port) != (
                sidecar.host,
                sidecar.port,
            )
            if (
                (row is None or has_moved)
                and not sidecar.view.is_connected
                and not sidecar.attempts
            ):
                sidecar.stop()
                self.fleet.remove(name)
                del self.by_name[name]
        for name, row in wanted.items():
            known = self.by_name.get(name)
            if known is None:
                self._open_connection(row)
            elif row.is_draining:
                known.view.is_draining = True

    def _get_wanted_hosts(self) -> dict[str, membership.Host]:
        """Return the hosts to connect to, cached until the table or list changes."""
        inputs = (self._table, self._host_rows)
        if self._wanted_inputs != inputs:
            self._wanted_hosts = self._compute_wanted_hosts()
            self._wanted_inputs = inputs
        return self._wanted_hosts

    def _compute_wanted_hosts(self) -> dict[str, membership.Host]:
        """Choose a subset of each service's targets that are in the host list."""
        if self._table is None:
            # Any sidecar can provide the table that is in force.
            return {row.name: row for row in self._host_rows[: self._subset_size]}
        known = {
            row.name: row for row in self._host_rows if row.name in self._table.targets
        }
        wanted: dict[str, membership.Host] = {}
        for service in self._table.services:
            rows = self._table.list_service_targets(service)
            names = [row.target for row in rows if row.target in known]
            chosen = subset.choose_subset(self._hello.name, names, self._subset_size)
            wanted.update({name: known[name] for name in chosen})
        return wanted

    def connect(self, name: str) -> peer.SidecarPeer | None:
        """Return the peer of a target, and connect to it if there is none yet.

        A key or lease may require a target outside this entry's subset. Returns
        None if the target is not in the host list.
        """
        known = self.by_name.get(name)
        if known is not None:
            return known
        row = next((row for row in self._host_rows if row.name == name), None)
        if row is None:
            return None
        return self._open_connection(row)

    def _open_connection(self, row: membership.Host) -> peer.SidecarPeer:
        """Create the peer of a target and start connecting to it."""
        target_row = (
            self._table.targets.get(row.name) if self._table is not None else None
        )
        view = membership.TargetView(
            row.name,
            target_row.service if target_row is not None else "",
            row.place,
            compute_weight(target_row),
        )
        view.is_draining = row.is_draining
        sidecar = peer.SidecarPeer(
            self._loop,
            self._listener,
            view,
            row.host,
            row.port,
            self._hello,
            self._secret,
        )
        self.fleet.add(view)
        self.by_name[row.name] = sidecar
        sidecar.start()
        return sidecar

    def send_to_peer(self, name: str, msg: wire.Message) -> None:
        """Send a message to the peer with this name, if it is connected."""
        sidecar = self.by_name.get(name)
        if sidecar is not None:
            sidecar.send(msg)

    def send_to_all(self, msg: wire.Message) -> None:
        """Send a message to every connected sidecar."""
        for sidecar in self.by_name.values():
            sidecar.send(msg)


def compute_weight(row: table.TargetRow | None) -> float:
    """Return a target's routing weight; a target of weight 0 gets no new requests."""
    if row is None or row.state == "dead":
        return 0.0
    return row.weight
