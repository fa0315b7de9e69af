"""Keeps a copy of the entries' crash records in sidecars.

Entries may all restart at once and then know no crashes. Sidecars run on other hosts,
so those of rank 0 exchange records with every entry that they report to, once every
``SYNC_PERIOD_S``. They take what the entry has and give it what it lacks.
"""

import asyncio
import dataclasses
import typing

import loguru

from sardinesaddle.direct import crashledger, freshness, messages, rpc

SYNC_PERIOD_S: typing.Final = 1.0
SYNC_TIMEOUT_S: typing.Final = 0.4


@dataclasses.dataclass(slots=True)
class SyncCursor:
    """How far the exchange with one entry has come.

    ``entry_incarnation`` is that of the entry's process. ``received`` is the change
    number of the entry's ledger up to which its records are here, ``sent`` that of the
    keeper's ledger up to which the entry has them. ``due_at`` is the event loop's time.
    """

    entry_incarnation: int = 0
    received: int = 0
    sent: int = 0
    due_at: float = 0.0


class CrashKeeper:
    """The crash records that a sidecar on a host keeps for the entries."""

    def __init__(self, host: str, clock: freshness.SuspendAwareClock) -> None:
        self._host = host
        self._clock = clock
        self._cursors: dict[str, SyncCursor] = {}
        self.ledger = crashledger.CrashLedger()

    async def sync_if_due(self, peer: rpc.Peer) -> None:
        """Exchange records with an entry if the last exchange is long enough ago."""
        now = asyncio.get_running_loop().time()
        cursor = self._cursors.setdefault(peer.host, SyncCursor())
        if now < cursor.due_at:
            return
        cursor.due_at = now + SYNC_PERIOD_S
        newest = self.ledger.change_number
        request = messages.CrashSync(
            self._host,
            self.ledger.list_changes(self._clock.read(), cursor.sent),
            cursor.entry_incarnation,
            cursor.received,
        )
        reply = await peer.call(request, SYNC_TIMEOUT_S)
        if not isinstance(reply, messages.CrashSyncReply):
            return
        if reply.incarnation == cursor.entry_incarnation or cursor.sent == 0:
            cursor.sent = newest
        else:
            # The entry restarted, and gets all records with the next exchange.
            cursor.sent = 0
            cursor.due_at = now
        cursor.entry_incarnation = reply.incarnation
        cursor.received = reply.change_number
        changed = self.ledger.merge(self._clock.read(), reply.crash_records)
        if changed:
            loguru.logger.info(
                "event=crashes_merged source={} contents={}",
                peer.host,
                self.ledger.format_counts(self._clock.read(), changed),
            )
