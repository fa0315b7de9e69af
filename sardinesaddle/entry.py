"""The entry process: an HTTP proxy that forwards requests to sidecars.

Each request passes a chain of filters and an admission check. The relay then sends
it to a target's sidecar and passes the answer to the caller as it arrives. A refusal
is answered with a problem document. If an event stream has already begun, it ends
with an error event instead.
"""

import asyncio
import random
import secrets
import typing

import aiohttp.web
import loguru
import msgspec

from sardinesaddle import (
    callcontext,
    confsync,
    errorcodes,
    external,
    filters,
    handshake,
    httpsink,
    keys,
    leases,
    limits,
    manifest,
    metrics,
    peer,
    peers,
    quarantine,
    relay,
    router,
    settings,
    table,
    tracing,
    wire,
)
from sardinesaddle.direct import bodyreader, callerconnection, callermemory, catalog

BODY_TIMEOUT_S: typing.Final = 10.0
MAX_BODY_BYTES: typing.Final = 1024 * 1024
MAX_HEADER_BYTES: typing.Final = 8190  # of each field
CALL_BYTES: typing.Final = 128 * 1024  # that each call may hold on average
LIMITS: typing.Final = catalog.Limits(
    max_header_bytes=64 * 1024,
    max_body_bytes=MAX_BODY_BYTES,
    header_timeout_s=10.0,
    idle_timeout_s=60.0,
)
SWEEP_PERIOD_S: typing.Final = 0.25
KEY_LIFETIME_MS: typing.Final = 24 * 3600 * 1000
DRAIN_POLL_S: typing.Final = 0.05
LEASE_DENIED_WAIT_S: typing.Final = 0.1
LEASE_UNANSWERED_WAIT_S: typing.Final = 2.0
KEYS_PATH: typing.Final = "/v1/keys"
MODELS_PATH: typing.Final = "/v1/models"
CLIENT_CLOSED_REQUEST_STATUS: typing.Final = 499


class KeyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body of ``POST /v1/keys``."""

    service: str


class Entry(peer.PeerListener):
    """Serves callers over HTTP and holds the links to the sidecars."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        cfg: settings.EntrySettings,
        secret: bytes,
        incarnation: int,
        source: external.ConfigSource,
        hosts: external.HostSource,
        rng: random.Random,
        tracer: tracing.Tracer,
    ) -> None:
        self._loop = loop
        self._cfg = cfg
        self._secret = secret
        self._rng = rng
        self._tracer = tracer
        self._started_at = loop.time()
        # Requests have their part of it, which is what ``max_calls`` calls may hold.
        self._memory = callermemory.CallerMemory(
            cfg.max_calls * CALL_BYTES / callermemory.REQUEST_SHARE
        )
        self._server: callerconnection.CallerServer | None = None
        self._sweep_task: asyncio.Task[None] | None = None
        self._runner: aiohttp.web.ServerRunner | None = None
        self._site: aiohttp.web.SockSite | None = None
        self._is_draining = False
        self._calls: dict[str, callcontext.CallContext] = {}
        self.incarnation = incarnation
        self.metrics = metrics.EntryMetrics(cfg.name)
        hello = wire.Hello(
            wire.PROTOCOL_VERSION,
            cfg.name,
            incarnation,
            0,
            secrets.token_bytes(handshake.NONCE_BYTES),
        )
        self.peers = peers.Peers(
            loop,
            self,
            hosts,
            hello,
            secret,
            cfg.subset_size,
            cfg.platform.hosts_period_s,
        )
        self.sync = confsync.ConfigSync(
            loop, source, cfg.platform.reader, self.peers, self._apply_config
        )
        self.router = router.Router(self.peers.fleet, cfg.place)
        self._quarantine = quarantine.Quarantine()
        self._relay = relay.Relay(
            loop,
            self.peers,
            self.router,
            rng,
            self.metrics,
            tracer,
            self._on_target_lost,
        )
        self._admission = limits.ConcurrencyLimiter()
        self._leases = leases.EntryLeases()
        self._lease_received = asyncio.Event()
        self._lease_task: asyncio.Task[None] | None = None
        self._filters: tuple[filters.Filter, ...] = (
            filters.IdentifyAccount(),
            filters.ClassifyService(),
            filters.ReadKey(secret),
            filters.SetDeadline(cfg.place),
            filters.CheckQuarantine(self._quarantine),
            filters.Admit(self._admission),
        )
        self.port = cfg.listen.port

    # Life cycle.

    async def start(self) -> None:
        """Open the HTTP port and start the background tasks."""
        self._server = callerconnection.CallerServer(
            self._handle_request,
            self._memory,
            lambda: LIMITS,
            callermemory.compute_max_connections(None),
            access_log=None,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        self._runner = aiohttp.web.ServerRunner(self._server)
        await self._runner.setup()
        listen = self._cfg.listen
        sock = callerconnection.open_socket(listen.host, listen.port)
        self._site = aiohttp.web.SockSite(self._runner, sock)
        await self._site.start()
        self._sweep_task = self._loop.create_task(self._close_overdue())
        self.port = self._runner.addresses[0][1]
        self.peers.start()
        self.sync.start()
        self._lease_task = self._loop.create_task(self._renew_leases())
        loguru.logger.info(
            "event=entry_started name={} port={}", self._cfg.name, self.port
        )

    async def _close_overdue(self) -> None:
        """Close connections that are idle, or without a whole head, for too long."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            if self._server is not None:
                self._server.close_overdue(self._loop.time())

    def begin_drain(self) -> None:
        """Become unhealthy; the platform's balancer then stops sending calls here."""
        if not self._is_draining:
            self._is_draining = True
            loguru.logger.info("event=drain_begun name={}", self._cfg.name)

    async def drain(self) -> None:
        """Accept calls for ``drain_reachable_s`` more seconds, finish all, then stop.

        The delay gives the platform's balancer time to stop sending calls here.
        """
        self.begin_drain()
        await asyncio.sleep(self._cfg.drain_reachable_s)
        if self._site is not None:
            await self._site.stop()
        while self._calls:
            await asyncio.sleep(DRAIN_POLL_S)
        await self.stop()

    def describe_wait(self) -> str:
        """Return what a drain still waits for, or an empty string."""
        return f"calls={len(self._calls)}" if self._calls else ""

    async def stop(self) -> None:
        """Close all connections without waiting for open calls."""
        self.sync.stop()
        for task in (self._lease_task, self._sweep_task):
            if task is not None:
                task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        self.peers.stop()

    @property
    def is_draining(self) -> bool:
        """Whether the entry is draining."""
        return self._is_draining

    @property
    def is_ready(self) -> bool:
        """Whether the entry can serve calls."""
        return self.sync.conf.is_ready(self._loop.time())

    # Configuration.

    def _apply_config(self, tab: table.Table, published: manifest.Manifest) -> None:
        """Put a table in force and announce its version to the sidecars.

        Only sidecars whose last known version is older get the heartbeat.
        """
        self.peers.apply_table(tab)
        self._leases.clear()
        heartbeat = self.make_heartbeat()
        for sidecar in self.peers.by_name.values():
            if sidecar.view.config_version < heartbeat.config_version:
                sidecar.send(heartbeat)

    def make_heartbeat(self) -> wire.Heartbeat:
        """Return a heartbeat with the entry's state; an entry has no queue."""
        uptime_s = self._loop.time() - self._started_at
        return wire.Heartbeat(
            int(uptime_s * 1000),
            self.sync.conf.version,
            self._is_draining,
            len(self._calls),
            0,
            0,
        )

    def on_peer_message(self, sidecar: peer.SidecarPeer, msg: wire.Message) -> None:
        """Handle a sidecar's message that belongs to no attempt."""
        if isinstance(msg, wire.Heartbeat):
            self.sync.on_peer_heartbeat(sidecar.view.name, msg.config_version)
        elif isinstance(msg, wire.RateLeaseReply):
            requested_at = msg.requested_at_ms / 1000.0
            self._leases.add_lease(msg.account, msg.service, requested_at, msg.granted)
            self._lease_received.set()
        elif isinstance(msg, wire.QuarantineNotice):
            verdict = quarantine.Verdict(msg.verdict)
            now = self._loop.time()
            if self._quarantine.apply_verdict(now, msg.fingerprint, verdict):
                self.peers.send_to_all(msg)
        else:
            self.sync.on_peer_message(sidecar.view.name, msg)

    def _on_target_lost(self, req: callcontext.CallContext) -> None:
        """Mark a request as suspect if its target was lost together with its sidecar.

        Its fingerprint is sent to all connected sidecars.
        """
        now = self._loop.time()
        verdicts = self._quarantine.record_crash(now, [req.fingerprint], req.is_suspect)
        for fingerprint, verdict in verdicts:
            self.peers.send_to_all(wire.QuarantineNotice(fingerprint, verdict))

    # Limits.

    async def _renew_leases(self) -> None:
        """Renew the leases of active accounts before they run out."""
        while True:
            await asyncio.sleep(leases.REQUEST_PERIOD_S)
            now = self._loop.time()
            for account, service, holder in self._leases.list_active_holders(now):
                self._send_lease_requests(account, service, holder.make_requests(now))

    def _send_lease_requests(
        self, account: str, service: str, lease_requests: list[leases.LeaseRequest]
    ) -> None:
        """Send lease requests to the sidecars that issue the leases."""
        requested_at_ms = int(self._loop.time() * 1000)
        for lease_request in lease_requests:
            issuer_peer = self.peers.connect(lease_request.issuer)
            if issuer_peer is not None:
                place = self._cfg.place
                msg = wire.RateLeaseRequest(
                    account, service, place, lease_request.requested, requested_at_ms
                )
                issuer_peer.send_request(msg)

    async def _check_rate_limit(
        self, tab: table.Table, req: callcontext.CallContext
    ) -> errorcodes.Refusal | None:
        """Admit a call under its account's rate limit; return a refusal if it is over.

        If no lease is available, leases are requested and the call waits. A grant
        of zero means that the limit is reached, so the wait is then short. If no
        issuer replies at all, a dead connection may first have to be replaced,
        which takes longer.
        """
        assert req.limit is not None
        started_at = self._loop.time()
        give_up_at = min(started_at + LEASE_UNANSWERED_WAIT_S, req.deadline_at)
        while True:
            now = self._loop.time()
            holder = self._leases.find_holder(now, tab, req.account, req.limit)
            if holder.take(now):
                return None
            is_denied = holder.denied_request_at >= started_at
            if now >= give_up_at or (
                is_denied and now >= started_at + LEASE_DENIED_WAIT_S
            ):
                return errorcodes.Refusal(
                    errorcodes.RATE_LIMITED,
                    req.ran_before_sending,
                    f"the limit is {req.limit.rate:g} calls a second",
                    max(1 / max(req.limit.rate, 0.01), limits.MIN_RETRY_AFTER_S),
                )
            lease_requests = holder.make_requests(now, is_urgent=True)
            self._send_lease_requests(req.account, req.limit.service, lease_requests)
            self._lease_received.clear()
            try:
                retry_at = min(give_up_at, now + leases.URGENT_REQUEST_PERIOD_S)
                async with asyncio.timeout_at(retry_at):
                    await self._lease_received.wait()
            except TimeoutError:
                continue

    # Callers.

    async def _handle_request(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        """Handle one HTTP request; every caller gets exactly one final answer."""
        request_id = f"{self._cfg.name}-{secrets.token_hex(6)}"
        span = self._tracer.start("entry", request.headers.get("traceparent", ""))
        sink = httpsink.HttpSink(request, request_id)
        reader = bodyreader.BodyReader(request, self._memory)
        try:
            await self._process_request(request, request_id, span, sink, reader)
        except (ConnectionError, TimeoutError):
            loguru.logger.info("event=caller_gone request={}", request_id)
        except asyncio.CancelledError:
            loguru.logger.info("event=caller_gone request={}", request_id)
            raise
        except Exception:
            # The caller must get a final answer in spite of the internal error.
            loguru.logger.exception("event=internal_error request={}", request_id)
            await sink.refuse(
                errorcodes.Refusal(errorcodes.INTERNAL, errorcodes.Ran.UNKNOWN)
            )
        finally:
            reader.holding.set_held(0)
            bodyreader.get_connection(request).mark_idle()
            span.set_attribute("request", request_id)
            if sink.refusal is not None:
                span.set_attribute("refusal", sink.refusal.code.name)
            span.end()
        if sink.refusal is not None:
            self.metrics.record_refusal(sink.refusal.code.name, sink.refusal.ran.value)
            loguru.logger.info(
                "event=refused request={} kind={} ran={} detail={!r}",
                request_id,
                sink.refusal.code.name,
                sink.refusal.ran.value,
                sink.refusal.detail,
            )
        resp = sink.response
        if resp is None:
            return aiohttp.web.Response(status=CLIENT_CLOSED_REQUEST_STATUS)
        if self._is_draining:
            resp.force_close()
        resp_headers = resp.headers
        if not resp.prepared:
            resp_headers["traceparent"] = span.traceparent
        return resp

    async def _process_request(
        self,
        request: aiohttp.web.BaseRequest,
        request_id: str,
        span: tracing.Span,
        sink: httpsink.HttpSink,
        reader: bodyreader.BodyReader,
    ) -> None:
        """Read, filter and admit the request, then run it through the relay."""
        tab = self.sync.conf.tab
        if tab is None or not self.is_ready:
            await sink.refuse(
                errorcodes.Refusal(
                    errorcodes.NO_CONFIGURATION, errorcodes.Ran.NOT_RUN, "", 1.0
                )
            )
            return
        req = await self._read_request(request, request_id, reader)
        if isinstance(req, errorcodes.Refusal):
            await sink.refuse(req)
            return
        req.traceparent = span.traceparent
        if req.path == KEYS_PATH and req.method == "POST":
            await self._mint_key(tab, req, sink)
            return
        if req.path == MODELS_PATH and req.method == "GET":
            await self._list_models(tab, req, sink)
            return
        now = self._loop.time()
        for request_filter in self._filters:
            refusal = request_filter.apply(now, tab, req)
            if refusal is not None:
                await sink.refuse(refusal)
                return
        assert req.service is not None
        span.set_attribute("service", req.service.service)
        span.set_attribute("account", req.account)
        self._calls[request_id] = req
        try:
            refusal = await self._check_rate_limit(tab, req)
            if refusal is not None:
                await sink.refuse(refusal)
                return
            await self._relay.run(tab, req, sink)
        finally:
            del self._calls[request_id]
            self._admission.release(req.account, req.service.service)

    async def _read_request(
        self,
        request: aiohttp.web.BaseRequest,
        request_id: str,
        reader: bodyreader.BodyReader,
    ) -> callcontext.CallContext | errorcodes.Refusal:
        """Read the request body, limited in size and time.

        New requests are refused while the entry holds ``max_calls`` calls.
        """
        not_run = errorcodes.Ran.NOT_RUN
        if len(self._calls) >= self._cfg.max_calls:
            return errorcodes.Refusal(
                errorcodes.OVERLOADED, not_run, "too many calls at this entry", 0.5
            )
        arrived_at = self._loop.time()
        body: bytes | None = None
        try:
            if (request.content_length or 0) <= MAX_BODY_BYTES:
                async with asyncio.timeout(BODY_TIMEOUT_S) as scope:
                    body = await reader.read(scope, MAX_BODY_BYTES)
        except aiohttp.web.RequestPayloadError as exc:
            return errorcodes.Refusal(errorcodes.BAD_REQUEST, not_run, str(exc))
        except TimeoutError:
            if reader.is_evicted:
                return errorcodes.Refusal(
                    errorcodes.OVERLOADED, not_run, "other calls need the memory", 0.5
                )
            detail = f"the body took longer than {BODY_TIMEOUT_S:g} s"
            return errorcodes.Refusal(errorcodes.BAD_REQUEST, not_run, detail)
        if body is None:
            detail = f"the limit is {MAX_BODY_BYTES} bytes"
            return errorcodes.Refusal(errorcodes.BODY_TOO_LARGE, not_run, detail)
        reader.holding.holder = bodyreader.get_connection(request)
        headers = [(str(name), value) for name, value in request.headers.items()]
        return callcontext.CallContext(
            request_id, arrived_at, request.method, request.path_qs, headers, body
        )

    async def _mint_key(
        self, tab: table.Table, req: callcontext.CallContext, sink: httpsink.HttpSink
    ) -> None:
        """Answer ``POST /v1/keys`` with an idempotency key bound to a usable target."""
        not_run = errorcodes.Ran.NOT_RUN
        now = self._loop.time()
        refusal = filters.IdentifyAccount().apply(now, tab, req)
        if refusal is not None:
            await sink.refuse(refusal)
            return
        try:
            key_request = msgspec.json.decode(req.body, type=KeyRequest)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            text = f"invalid JSON in the body: {exc}"
            await sink.refuse(errorcodes.Refusal(errorcodes.BAD_REQUEST, not_run, text))
            return
        if key_request.service not in tab.services:
            await sink.refuse(
                filters.refuse_unknown_service(f"service {key_request.service!r}")
            )
            return
        query = router.TargetQuery(
            key_request.service,
            random_samples=(self._rng.random(), self._rng.random(), self._rng.random()),
        )
        view = self.router.choose_target(now, query)
        if view is None:
            await sink.refuse(
                errorcodes.Refusal(errorcodes.NO_TARGET, not_run, "", 1.0)
            )
            return
        key = keys.MintedKey(
            req.account,
            key_request.service,
            view.name,
            view.incarnation,
            view.estimate_uptime_ms(now) + KEY_LIFETIME_MS,
            secrets.token_bytes(8),
        )
        text = keys.encode_key(self._secret, key)
        body = msgspec.json.encode(
            {
                "key": text,
                "service": key_request.service,
                "lifetime_ms": KEY_LIFETIME_MS,
            }
        )
        headers = [("Content-Type", "application/json")]
        await sink.finish(201, headers, body)

    async def _list_models(
        self, tab: table.Table, req: callcontext.CallContext, sink: httpsink.HttpSink
    ) -> None:
        """Answer ``GET /v1/models`` with the models in the table."""
        refusal = filters.IdentifyAccount().apply(self._loop.time(), tab, req)
        if refusal is not None:
            await sink.refuse(refusal)
            return
        rows = [
            {"id": row.model, "object": "model", "owned_by": row.service}
            for row in tab.rows.services
            if row.kind == "model"
        ]
        body = msgspec.json.encode({"object": "list", "data": rows})
        await sink.finish(200, [("Content-Type", "application/json")], body)

    # Status.

    def describe(self) -> dict[str, object]:
        """Return the content of the status page."""
        now = self._loop.time()
        targets = {}
        bytes_in = bytes_out = 0
        for name, sidecar in sorted(self.peers.by_name.items()):
            view = sidecar.view
            received, sent = sidecar.count_bytes()
            bytes_in += received
            bytes_out += sent
            targets[name] = {
                "service": view.service,
                "place": view.place,
                "linked": view.is_connected,
                "usable": view.is_usable(now),
                "leaving": view.is_draining,
                "ejected_s": round(max(view.ejected_until - now, 0), 1),
                "in_flight": view.in_flight,
                "load": round(view.compute_load(now), 2),
            }
        return {
            "role": "entry",
            "name": self._cfg.name,
            "place": self._cfg.place,
            "revision": self.sync.conf.revision,
            "ready": self.is_ready,
            "leaving": self._is_draining,
            "waits_for": self.describe_wait(),
            "calls": len(self._calls),
            "in_progress": self._admission.count_in_progress(),
            "targets": targets,
            "bytes_in": bytes_in,
            "bytes_out": bytes_out,
        }
