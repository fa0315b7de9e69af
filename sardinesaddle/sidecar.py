"""The sidecar process: accepts links from entries and calls the target beside it.

The sidecar listens on a fixed port without port reuse. A new sidecar therefore cannot
start on the host while an earlier one still exists, even if that one is paused.
All decisions are made by ``callscheduler.CallScheduler``: this module passes it
messages and target events, and carries out the actions that it returns.
"""

import asyncio
import collections.abc
import contextlib
import secrets
import socket
import typing

import loguru

from sardinesaddle import (
    answerbuffer,
    calls,
    callscheduler,
    confsync,
    errorcodes,
    external,
    grouprunner,
    handshake,
    keyrelease,
    leases,
    link,
    manifest,
    metrics,
    quarantine,
    settings,
    table,
    tracing,
    wire,
)

TICK_PERIOD_S: typing.Final = 0.05
BACKLOG_POLL_S: typing.Final = 0.05
DRAIN_POLL_S: typing.Final = 0.05
DRAIN_LINGER_S: typing.Final = 1.0
STATUS_SERVER_ERROR: typing.Final = 500


class InboundLinks(link.LinkOwner):
    """Links accepted from entries and other sidecars.

    Only the link with the highest generation of each incarnation is kept.
    """

    def __init__(self, sidecar: "Sidecar") -> None:
        self._sidecar = sidecar
        self.by_incarnation: dict[int, link.Link] = {}
        self._generations: dict[int, int] = {}
        self.bytes_in = 0
        self.bytes_out = 0

    def on_open(self, opened: link.Link) -> None:
        """Replace the process's older link; close this one if a newer one was seen."""
        peer = opened.peer
        assert peer is not None
        if peer.generation <= self._generations.get(peer.incarnation, 0):
            opened.close("a newer connection of this process is known")
            return
        self._generations[peer.incarnation] = peer.generation
        self._sidecar.scheduler.on_entry_connected(peer.incarnation)
        older = self.by_incarnation.get(peer.incarnation)
        self.by_incarnation[peer.incarnation] = opened
        if older is not None:
            older.close("the peer opened a newer connection")

    def on_closed(self, closed: link.Link, reason: str) -> None:
        """Remove a link; its attempts stay open so that the entry can resume them."""
        self.bytes_in += closed.bytes_in
        self.bytes_out += closed.bytes_out
        peer = closed.peer
        if peer is None:
            loguru.logger.info("event=peer_rejected reason={!r}", reason)
            return
        if self.by_incarnation.get(peer.incarnation) is closed:
            del self.by_incarnation[peer.incarnation]
            self._sidecar.on_peer_disconnected(peer)

    def on_message(self, current: link.Link, msg: wire.Message) -> None:
        """Handle a message, unless the link has been replaced by a newer one."""
        peer = current.peer
        if peer is not None and self.by_incarnation.get(peer.incarnation) is current:
            self._sidecar.on_inbound_message(peer, msg)

    def make_heartbeat(self) -> wire.Heartbeat:
        """Return a heartbeat with the sidecar's state."""
        return self._sidecar.make_heartbeat()

    def is_busy(self, current: link.Link) -> bool:
        """Return True if the entry on this link has open attempts."""
        peer = current.peer
        return peer is not None and self._sidecar.has_attempts(peer.incarnation)

    def find_by_name(self, name: str) -> link.Link | None:
        """Return a link to the process with this name, or None."""
        for current in self.by_incarnation.values():
            if current.peer is not None and current.peer.name == name:
                return current
        return None

    def send_to_all(self, msg: wire.Message) -> None:
        """Send a message to all connected processes."""
        for current in list(self.by_incarnation.values()):
            current.send(msg)

    def count_bytes(self) -> tuple[int, int]:
        """Return the bytes received and sent on all links, closed ones included."""
        links = list(self.by_incarnation.values())
        total_in = self.bytes_in + sum(inbound.bytes_in for inbound in links)
        return total_in, self.bytes_out + sum(inbound.bytes_out for inbound in links)


class Sidecar(confsync.PeerSender):
    """Runs calls on one target for the entries that are connected."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        cfg: settings.SidecarSettings,
        secret: bytes,
        incarnation: int,
        target: external.Target,
        source: external.ConfigSource,
        hosts: external.HostSource,
        tracer: tracing.Tracer,
    ) -> None:
        self._loop = loop
        self._cfg = cfg
        self._secret = secret
        self._target = target
        self._tracer = tracer
        self._started_at = loop.time()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._run_tasks: dict[int, asyncio.Task[None]] = {}
        self.incarnation = incarnation
        self.links = InboundLinks(self)
        self.scheduler = callscheduler.CallScheduler(
            cfg.target,
            incarnation,
            loop.time(),
            secret,
            cfg.slots,
            cfg.max_queued,
            cfg.retry_horizon_s,
        )
        self.sync = confsync.ConfigSync(
            loop, source, cfg.platform.reader, self, self._apply_config
        )
        self._release_client = keyrelease.ReleaseClient(
            loop, secret, cfg.target, incarnation, hosts
        )
        self.metrics = metrics.SidecarMetrics(cfg.target)
        hello = wire.Hello(
            wire.PROTOCOL_VERSION,
            cfg.target,
            incarnation,
            0,
            secrets.token_bytes(handshake.NONCE_BYTES),
        )
        self.groups = grouprunner.GroupRunner(
            loop,
            cfg.target,
            incarnation,
            hello,
            secret,
            hosts,
            target,
            self.make_heartbeat,
        )
        self._issuer = leases.LeaseIssuer(loop.time())
        self.port = cfg.listen.port

    # Life cycle.

    async def start(self) -> None:
        """Bind the port and start the background tasks."""
        self._server = await self._loop.create_server(
            self._make_link,
            self._cfg.listen.host,
            self._cfg.listen.port,
            reuse_address=True,
            reuse_port=False,
            family=socket.AF_INET,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.sync.start()
        self._start_task(self._tick())
        loguru.logger.info(
            "event=sidecar_started target={} port={} incarnation={:x}",
            self._cfg.target,
            self.port,
            self.incarnation,
        )

    def _make_link(self) -> link.Link:
        """Return the protocol object for an accepted connection."""
        server = handshake.ServerHandshake(
            self._secret,
            self._cfg.target,
            self.incarnation,
            secrets.token_bytes(handshake.NONCE_BYTES),
        )
        return link.Link(self.links, self._loop, server=server)

    def begin_drain(self) -> None:
        """Refuse new calls from now on, and announce it to all connected processes."""
        if self.scheduler.is_draining:
            return
        self.scheduler.is_draining = True
        loguru.logger.info("event=drain_begun target={}", self._cfg.target)
        self.links.send_to_all(self.make_heartbeat())

    async def drain(self) -> None:
        """Wait until all calls have ended and all answers are read, then stop.

        The links stay open a moment longer, so that final messages arrive.
        """
        self.begin_drain()
        while self.describe_wait():
            await asyncio.sleep(DRAIN_POLL_S)
        await asyncio.sleep(DRAIN_LINGER_S)
        await self.stop()

    def describe_wait(self) -> str:
        """Return what a drain still waits for, or an empty string."""
        parts = []
        if self.scheduler.running_calls:
            parts.append(f"running={len(self.scheduler.running_calls)}")
        if len(self.scheduler.queue):
            parts.append(f"queued={len(self.scheduler.queue)}")
        unread_answers = sum(
            1
            for c in self.scheduler.list_calls()
            for a in c.attempts
            if not a.has_sent_all
        )
        if unread_answers:
            parts.append(f"unread_answers={unread_answers}")
        return " ".join(parts)

    async def stop(self) -> None:
        """Close all links and cancel all calls without waiting."""
        self.sync.stop()
        self.groups.stop()
        if self._server is not None:
            self._server.close()
        for current in list(self.links.by_incarnation.values()):
            current.close("this process is stopping")
        tasks = [*self._tasks, *self._run_tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start_task(
        self, coroutine: collections.abc.Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        """Start a background task that is cancelled when the process stops."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _tick(self) -> None:
        """Expire and start calls at a fixed period."""
        while True:
            await asyncio.sleep(TICK_PERIOD_S)
            self._execute(self.scheduler.tick(self._loop.time()))

    # Configuration.

    def _apply_config(self, tab: table.Table, published: manifest.Manifest) -> None:
        """Put a table in force and announce it to peers not known to have it."""
        self.scheduler.key_admission.owners.adopt(tab, published)
        self.groups.apply_table(tab)
        self.scheduler.account_shares = {
            name: row.share for name, row in tab.accounts.items()
        }
        heartbeat = self.make_heartbeat()
        for current in list(self.links.by_incarnation.values()):
            if current.peer and self.sync.conf.is_behind(current.peer.name):
                current.send(heartbeat)

    def send_to_peer(self, name: str, msg: wire.Message) -> None:
        """Send a message to the peer with this name, if it is connected."""
        current = self.links.find_by_name(name)
        if current is not None:
            current.send(msg)

    # Entries.

    def make_heartbeat(self) -> wire.Heartbeat:
        """Return a heartbeat with the sidecar's state and queue."""
        uptime_s = self._loop.time() - self._started_at
        return wire.Heartbeat(
            int(uptime_s * 1000),
            self.sync.conf.version,
            self.scheduler.is_draining,
            len(self.scheduler.running_calls),
            len(self.scheduler.queue),
            round(self.scheduler.estimate_wait() * 1000),
        )

    def has_attempts(self, entry_incarnation: int) -> bool:
        """Return True if the entry with this incarnation has open attempts."""
        return self.scheduler.has_attempts(entry_incarnation)

    def on_peer_disconnected(self, peer: handshake.Peer) -> None:
        """Record that an entry or a sidecar has lost its connection."""
        self.sync.on_peer_disconnected(peer.name)
        self.scheduler.on_entry_disconnected(self._loop.time(), peer.incarnation)

    def on_inbound_message(self, peer: handshake.Peer, msg: wire.Message) -> None:
        """Handle a message from an entry or another sidecar."""
        now = self._loop.time()
        entry_incarnation = peer.incarnation
        if isinstance(msg, wire.Submit):
            self.metrics.record_submit()
            self._execute(self.scheduler.on_submit(now, entry_incarnation, msg))
        elif isinstance(msg, wire.Credit):
            self._execute(self.scheduler.on_credit(entry_incarnation, msg))
        elif isinstance(msg, wire.Resume):
            self._execute(self.scheduler.on_resume(now, entry_incarnation, msg))
        elif isinstance(msg, wire.Cancel):
            self._execute(self.scheduler.on_cancel(now, entry_incarnation, msg.attempt))
        elif isinstance(msg, wire.KeyReleaseRequest):
            self._send(entry_incarnation, self.scheduler.release_key(now, msg))
        elif isinstance(msg, wire.Heartbeat):
            self.sync.on_peer_heartbeat(peer.name, msg.config_version)
        elif isinstance(msg, wire.RateLeaseRequest):
            self._grant_lease(now, entry_incarnation, msg)
        elif isinstance(msg, wire.QuarantineNotice):
            verdict = quarantine.Verdict(msg.verdict)
            if self.scheduler.quarantine.apply_verdict(now, msg.fingerprint, verdict):
                self.links.send_to_all(msg)
        elif isinstance(msg, wire.GroupMessage):
            self.groups.on_group_message(msg)
        else:
            self.sync.on_peer_message(peer.name, msg)

    def _grant_lease(
        self, now: float, entry_incarnation: int, msg: wire.RateLeaseRequest
    ) -> None:
        """Reply to a lease request with the number of requests granted.

        The grant is zero if the limit is reached, if no limit is configured, or if
        this sidecar is not an issuer for the account and service.
        """
        tab = self.sync.conf.tab
        if tab is None:
            return
        row = tab.find_limit(msg.service, msg.account, msg.place)
        issuers = leases.list_issuers(tab, msg.account, msg.service)
        granted = 0
        if row is not None and self._cfg.target in issuers:
            granted = self._issuer.grant(
                now,
                msg.account,
                f"{msg.service}/{row.place}",
                msg.requested,
                row.rate,
                row.burst,
                len(issuers),
            )
        reply = wire.RateLeaseReply(
            msg.account, msg.service, granted, msg.requested_at_ms
        )
        self._send(entry_incarnation, reply)

    def _send(self, entry_incarnation: int, msg: wire.Message) -> None:
        """Send a message to the process with this incarnation, if it is connected.

        An undelivered message needs no retry: an entry resumes its attempts on its
        next link.
        """
        current = self.links.by_incarnation.get(entry_incarnation)
        if current is not None:
            current.send(msg)

    # Actions.

    def _execute(self, actions: list[calls.Action]) -> None:
        """Carry out the actions that the scheduler returned."""
        for action in actions:
            if isinstance(action, calls.Reply):
                if isinstance(action.msg, wire.Refused):
                    self.metrics.record_refusal(action.msg.code)
                self._send(action.entry, action.msg)
            elif isinstance(action, calls.RunCall):
                call = action.call
                self._run_tasks[call.number] = self._loop.create_task(
                    self._run_call(call)
                )
            elif isinstance(action, calls.CancelCall):
                task = self._run_tasks.get(action.call.number)
                if task is not None:
                    task.cancel()
            elif isinstance(action, calls.AnnounceVerdict):
                self._broadcast_verdict(action)
            else:
                self._start_task(self._request_releases(action))

    def _broadcast_verdict(self, action: calls.AnnounceVerdict) -> None:
        """Send a quarantine verdict to all connected processes."""
        loguru.logger.warning(
            "event=suspect fingerprint={:x} verdict={}",
            action.fingerprint,
            action.verdict.name.lower(),
        )
        self.links.send_to_all(
            wire.QuarantineNotice(action.fingerprint, action.verdict)
        )

    async def _request_releases(self, action: calls.RequestRelease) -> None:
        """Ask the previous owners of a key, one by one, to release it.

        Stops at the first owner that does not answer or has used the key.
        """
        for owner in action.owners:
            release = await self._release_client.request_release(owner, action.key)
            now = self._loop.time()
            self._execute(self.scheduler.on_release_reply(now, action, owner, release))
            if release is None or not release.is_free:
                return

    async def _run_call(self, call: calls.Call) -> None:
        """Send a call to the target and pass its answer to the scheduler."""
        submit = call.submit
        span = self._tracer.start("sidecar.run", submit.traceparent)
        span.set_attribute("target", self._cfg.target)
        span.set_attribute("service", submit.service)
        req = external.TargetRequest(
            call.number,
            submit.method,
            submit.path,
            [*submit.headers, ("traceparent", span.traceparent)],
            submit.body,
            submit.priority,
            submit.is_idempotent,
        )
        try:
            async with contextlib.aclosing(self._target.run(req)) as events:
                async for event in events:
                    await self._on_target_event(call, event)
        except asyncio.CancelledError:
            self._fail_call(call, "the call was cancelled", errorcodes.Ran.UNKNOWN)
            raise
        finally:
            if not call.answer.is_final:
                self._fail_call(
                    call,
                    "the target stopped before the end of its answer",
                    errorcodes.Ran.UNKNOWN,
                )
            self._run_tasks.pop(call.number, None)
            span.set_attribute("status", call.answer.status)
            span.end()
            self.metrics.record_run(self._loop.time() - call.started_at)

    async def _on_target_event(
        self, call: calls.Call, event: external.TargetEvent
    ) -> None:
        """Pass a target's event to the scheduler.

        Waits while a reader of a call without a key has no send window left; the
        target's answer is not read meanwhile.
        """
        now = self._loop.time()
        if isinstance(event, external.TargetHead):
            self._execute(
                self.scheduler.on_target_head(call, event.status, event.headers)
            )
        elif isinstance(event, external.TargetData):
            for start in range(0, len(event.data), callscheduler.CHUNK_BYTES):
                part = event.data[start : start + callscheduler.CHUNK_BYTES]
                self._execute(self.scheduler.on_target_data(call, part))
            while self.scheduler.is_backlogged(call):
                await asyncio.sleep(BACKLOG_POLL_S)
        elif isinstance(event, external.TargetEnd):
            self._execute(self.scheduler.on_target_end(now, call))
        elif event.was_sent:
            unknown = errorcodes.Ran.UNKNOWN
            self._fail_call(call, event.reason, unknown, is_crash=True)
        else:
            self._fail_call(call, event.reason, errorcodes.Ran.NOT_RUN)

    def _fail_call(
        self,
        call: calls.Call,
        reason: str,
        ran: errorcodes.Ran,
        is_crash: bool = False,
    ) -> None:
        """End a call without a complete answer, unless it has already ended."""
        if call.answer.phase in (answerbuffer.Phase.ENDED, answerbuffer.Phase.FAILED):
            return
        refusal = errorcodes.Refusal(errorcodes.TARGET_FAILED, ran, reason)
        now = self._loop.time()
        self._execute(self.scheduler.on_target_failed(now, call, refusal, is_crash))

    # Status.

    def describe(self) -> dict[str, object]:
        """Return the content of the status page."""
        bytes_in, bytes_out = self.links.count_bytes()
        return {
            "role": "sidecar",
            "target": self._cfg.target,
            "place": self._cfg.place,
            "incarnation": f"{self.incarnation:x}",
            "revision": self.sync.conf.revision,
            "ready": self.sync.conf.is_ready(self._loop.time()),
            "leaving": self.scheduler.is_draining,
            "waits_for": self.describe_wait(),
            "running": len(self.scheduler.running_calls),
            "queued": len(self.scheduler.queue),
            "slots": self.scheduler.slots,
            "journal": self.scheduler.journal.count_by_state(),
            "kept_answer_bytes": self.scheduler.buffered_bytes,
            "entries": sorted(
                inbound.peer.name
                for inbound in self.links.by_incarnation.values()
                if inbound.peer
            ),
            "bytes_in": bytes_in,
            "bytes_out": bytes_out,
            "suspects": len(self.scheduler.quarantine),
            "group": self.groups.describe(),
        }
