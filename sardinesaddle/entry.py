"""The entry's shell: HTTP from callers on one side, links to sidecars on the other.

A request passes the filters, is dispatched by the relay, and its answer is written
as it arrives. Every refusal is a problem document; a stream that has begun ends with
an error event instead.
"""

import asyncio
import random
import secrets
import typing

import aiohttp.web
import loguru
import msgspec

from sardinesaddle import (
    call,
    confsync,
    errorcodes,
    filters,
    handshake,
    httpsink,
    keys,
    leases,
    limits,
    manifest,
    metrics,
    outside,
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

BODY_TIMEOUT_S: typing.Final = 10.0
MAX_BODY_BYTES: typing.Final = 1024 * 1024
MAX_HEADER_BYTES: typing.Final = 8190
KEY_LIFETIME_MS: typing.Final = 24 * 3600 * 1000
DRAIN_POLL_S: typing.Final = 0.05
LEASE_WAIT_S: typing.Final = 0.1
LEASE_REPLACE_S: typing.Final = 2.0
KEYS_PATH: typing.Final = "/v1/keys"
MODELS_PATH: typing.Final = "/v1/models"
CLIENT_GONE_STATUS: typing.Final = 499


class KeyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a request for a key: the service that it is for."""

    service: str


class Entry(peer.Listener):
    """The process on an entry host."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        cfg: settings.EntrySettings,
        secret: bytes,
        incarnation: int,
        source: outside.ConfigSource,
        hosts: outside.HostSource,
        rng: random.Random,
        tracer: tracing.Tracer,
    ) -> None:
        self._loop = loop
        self._cfg = cfg
        self._secret = secret
        self._rng = rng
        self._tracer = tracer
        self._started_at = loop.time()
        self._runner: aiohttp.web.AppRunner | None = None
        self._site: aiohttp.web.TCPSite | None = None
        self._is_leaving = False
        self._calls: dict[str, call.Call] = {}
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
            loop, source, cfg.platform.reader, self.peers, self._adopt
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
        self._admission = limits.Admission()
        self._leases = leases.LeaseBook()
        self._lease_arrived = asyncio.Event()
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
        """Begin to serve callers."""
        app = aiohttp.web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = aiohttp.web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            keepalive_timeout=75.0,
        )
        await self._runner.setup()
        listen = self._cfg.listen
        self._site = aiohttp.web.TCPSite(self._runner, listen.host, listen.port)
        await self._site.start()
        self.port = self._runner.addresses[0][1]
        self.peers.start()
        self.sync.start()
        self._lease_task = self._loop.create_task(self._renew_leases())
        loguru.logger.info(
            "event=entry_started name={} port={}", self._cfg.name, self.port
        )

    def begin_drain(self) -> None:
        """Tell the platform's balancer that this entry is leaving."""
        if not self._is_leaving:
            self._is_leaving = True
            loguru.logger.info("event=drain_begun name={}", self._cfg.name)

    async def drain(self) -> None:
        """Stay reachable for a while, finish every call, then close."""
        self.begin_drain()
        await asyncio.sleep(self._cfg.drain_reachable_s)
        if self._site is not None:
            await self._site.stop()
        while self._calls:
            await asyncio.sleep(DRAIN_POLL_S)
        await self.stop()

    def describe_wait(self) -> str:
        """Return what a drain still waits for, or nothing."""
        return f"calls={len(self._calls)}" if self._calls else ""

    async def stop(self) -> None:
        """Close everything at once."""
        self.sync.stop()
        if self._lease_task is not None:
            self._lease_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        self.peers.stop()

    @property
    def is_leaving(self) -> bool:
        """Whether the entry is draining."""
        return self._is_leaving

    @property
    def is_ready(self) -> bool:
        """Whether the entry can serve calls."""
        return self.sync.conf.is_ready(self._loop.time())

    # Configuration.

    def _adopt(self, tab: table.Table, published: manifest.Manifest) -> None:
        """Put a table in force and tell the sidecars at once."""
        self.peers.adopt(tab)
        self._leases.clear()
        heartbeat = self.make_heartbeat()
        for one in self.peers.by_name.values():
            if one.view.version < heartbeat.version:
                one.send(heartbeat)

    def make_heartbeat(self) -> wire.Heartbeat:
        """Return the entry's state."""
        uptime_s = self._loop.time() - self._started_at
        return wire.Heartbeat(
            int(uptime_s * 1000),
            self.sync.conf.version,
            self._is_leaving,
            len(self._calls),
            0,
            0,
        )

    def on_peer_message(self, one: peer.SidecarPeer, msg: wire.Message) -> None:
        """Handle a sidecar's message that belongs to no attempt."""
        if isinstance(msg, wire.Heartbeat):
            self.sync.on_peer_heartbeat(one.view.name, msg.version)
        elif isinstance(msg, wire.Lease):
            asked_at = msg.asked_ms / 1000.0
            self._leases.add(msg.account, msg.service, asked_at, msg.granted)
            self._lease_arrived.set()
        elif isinstance(msg, wire.Suspicion):
            verdict = quarantine.Verdict(msg.verdict)
            now = self._loop.time()
            if self._quarantine.learn(now, msg.fingerprint, verdict):
                self.peers.send_to_all(msg)
        else:
            self.sync.on_peer_message(one.view.name, msg)

    def _on_target_lost(self, req: call.Call) -> None:
        """Suspect a request whose target was lost together with its sidecar."""
        now = self._loop.time()
        news = self._quarantine.on_crash(now, [req.fingerprint], req.is_suspect)
        for fingerprint, verdict in news:
            self.peers.send_to_all(wire.Suspicion(fingerprint, verdict))

    # Limits.

    async def _renew_leases(self) -> None:
        """Ask for leases ahead of need while there is demand."""
        while True:
            await asyncio.sleep(leases.ASK_PERIOD_S)
            now = self._loop.time()
            for account, service, holder in self._leases.list_active(now):
                self._ask_leases(account, service, holder.make_asks(now))

    def _ask_leases(self, account: str, service: str, asks: list[leases.Ask]) -> None:
        """Send requests for leases to their issuers."""
        asked_ms = int(self._loop.time() * 1000)
        for ask in asks:
            one = self.peers.connect(ask.issuer)
            if one is not None:
                place = self._cfg.place
                msg = wire.AskLease(account, service, place, ask.wanted, asked_ms)
                one.ask(msg)

    async def _take_lease(
        self, tab: table.Table, req: call.Call
    ) -> errorcodes.Refusal | None:
        """Admit a call by a lease; wait a moment for the first one.

        An issuer that gives nothing says that the limit is reached. While none
        answers, its connection may have to be replaced first.
        """
        assert req.limit is not None
        began_at = self._loop.time()
        until = min(began_at + LEASE_REPLACE_S, req.deadline_at)
        while True:
            now = self._loop.time()
            holder = self._leases.find_holder(now, tab, req.account, req.limit)
            if holder.take(now):
                return None
            is_denied = holder.denied_asked_at >= began_at
            if now >= until or (is_denied and now >= began_at + LEASE_WAIT_S):
                return errorcodes.Refusal(
                    errorcodes.RATE_LIMITED,
                    req.ran_before_sending,
                    f"the limit is {req.limit.rate:g} calls a second",
                    max(1 / max(req.limit.rate, 0.01), limits.MIN_RETRY_AFTER_S),
                )
            asks = holder.make_asks(now, is_urgent=True)
            self._ask_leases(req.account, req.limit.service, asks)
            self._lease_arrived.clear()
            try:
                again_at = min(until, now + leases.URGENT_PERIOD_S)
                async with asyncio.timeout_at(again_at):
                    await self._lease_arrived.wait()
            except TimeoutError:
                continue

    # Callers.

    async def _handle(self, request: aiohttp.web.Request) -> aiohttp.web.StreamResponse:
        """Answer one request."""
        ident = f"{self._cfg.name}-{secrets.token_hex(6)}"
        span = self._tracer.start("entry", request.headers.get("traceparent", ""))
        sink = httpsink.HttpSink(request, ident)
        try:
            await self._serve(request, ident, span, sink)
        except (ConnectionError, TimeoutError):
            loguru.logger.info("event=caller_gone request={}", ident)
        except asyncio.CancelledError:
            loguru.logger.info("event=caller_gone request={}", ident)
            raise
        except Exception:
            # A fault of ours must still give the caller a final answer.
            loguru.logger.exception("event=internal_error request={}", ident)
            await sink.refuse(
                errorcodes.Refusal(errorcodes.INTERNAL, errorcodes.Ran.UNKNOWN)
            )
        finally:
            span.set("request", ident)
            if sink.refusal is not None:
                span.set("refusal", sink.refusal.code.name)
            span.end()
        if sink.refusal is not None:
            self.metrics.add_refusal(sink.refusal.code.name, sink.refusal.ran.value)
            loguru.logger.info(
                "event=refused request={} kind={} ran={} detail={!r}",
                ident,
                sink.refusal.code.name,
                sink.refusal.ran.value,
                sink.refusal.detail,
            )
        resp = sink.response
        if resp is None:
            return aiohttp.web.Response(status=CLIENT_GONE_STATUS)
        if self._is_leaving:
            resp.force_close()
        resp_headers = resp.headers
        if not resp.prepared:
            resp_headers["traceparent"] = span.traceparent
        return resp

    async def _serve(
        self,
        request: aiohttp.web.Request,
        ident: str,
        span: tracing.Span,
        sink: httpsink.HttpSink,
    ) -> None:
        """Read the request and pass it through the filters to the relay."""
        tab = self.sync.conf.tab
        if tab is None or not self.is_ready:
            await sink.refuse(
                errorcodes.Refusal(
                    errorcodes.NO_CONFIGURATION, errorcodes.Ran.NOT_RUN, "", 1.0
                )
            )
            return
        req = await self._read_request(request, ident)
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
        for one in self._filters:
            refusal = one.apply(now, tab, req)
            if refusal is not None:
                await sink.refuse(refusal)
                return
        assert req.service is not None
        span.set("service", req.service.service)
        span.set("account", req.account)
        self._calls[ident] = req
        try:
            refusal = await self._take_lease(tab, req)
            if refusal is not None:
                await sink.refuse(refusal)
                return
            await self._relay.run(tab, req, sink)
        finally:
            del self._calls[ident]
            self._admission.release(req.account, req.service.service)

    async def _read_request(
        self, request: aiohttp.web.Request, ident: str
    ) -> call.Call | errorcodes.Refusal:
        """Read the body within its bounds of size and time."""
        not_run = errorcodes.Ran.NOT_RUN
        if len(self._calls) >= self._cfg.max_calls:
            return errorcodes.Refusal(
                errorcodes.OVERLOADED, not_run, "too many calls at this entry", 0.5
            )
        arrived_at = self._loop.time()
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                body = await request.read()
        except aiohttp.web.HTTPRequestEntityTooLarge:
            text = f"the limit is {MAX_BODY_BYTES} bytes"
            return errorcodes.Refusal(errorcodes.BODY_TOO_LARGE, not_run, text)
        except TimeoutError:
            text = f"the body took longer than {BODY_TIMEOUT_S:g} s"
            return errorcodes.Refusal(errorcodes.BAD_REQUEST, not_run, text)
        headers = [(str(name), value) for name, value in request.headers.items()]
        return call.Call(
            ident, arrived_at, request.method, request.path_qs, headers, body
        )

    async def _mint_key(
        self, tab: table.Table, req: call.Call, sink: httpsink.HttpSink
    ) -> None:
        """Answer a request for a key with one that names a usable target."""
        not_run = errorcodes.Ran.NOT_RUN
        now = self._loop.time()
        refusal = filters.IdentifyAccount().apply(now, tab, req)
        if refusal is not None:
            await sink.refuse(refusal)
            return
        try:
            wanted = msgspec.json.decode(req.body, type=KeyRequest)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            text = f"the body: {exc}"
            await sink.refuse(errorcodes.Refusal(errorcodes.BAD_REQUEST, not_run, text))
            return
        if wanted.service not in tab.services:
            await sink.refuse(
                filters.refuse_unknown_service(f"service {wanted.service!r}")
            )
            return
        wish = router.Wish(
            wanted.service,
            draws=(self._rng.random(), self._rng.random(), self._rng.random()),
        )
        view = self.router.choose(now, wish)
        if view is None:
            await sink.refuse(
                errorcodes.Refusal(errorcodes.NO_TARGET, not_run, "", 1.0)
            )
            return
        key = keys.MintedKey(
            req.account,
            wanted.service,
            view.name,
            view.incarnation,
            view.estimate_uptime_ms(now) + KEY_LIFETIME_MS,
            secrets.token_bytes(8),
        )
        text = keys.render_key(self._secret, key)
        body = msgspec.json.encode(
            {"key": text, "service": wanted.service, "lifetime_ms": KEY_LIFETIME_MS}
        )
        headers = [("Content-Type", "application/json")]
        await sink.finish(201, headers, body)

    async def _list_models(
        self, tab: table.Table, req: call.Call, sink: httpsink.HttpSink
    ) -> None:
        """Answer with the models of the table."""
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
        """Return what ``sardinesaddle status`` shows."""
        now = self._loop.time()
        targets = {}
        bytes_in = bytes_out = 0
        for name, one in sorted(self.peers.by_name.items()):
            view = one.view
            count_in, count_out = one.count_bytes()
            bytes_in += count_in
            bytes_out += count_out
            targets[name] = {
                "service": view.service,
                "place": view.place,
                "linked": view.is_linked,
                "usable": view.is_usable(now),
                "leaving": view.is_leaving,
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
            "leaving": self._is_leaving,
            "waits_for": self.describe_wait(),
            "calls": len(self._calls),
            "in_progress": self._admission.count_in_progress(),
            "targets": targets,
            "bytes_in": bytes_in,
            "bytes_out": bytes_out,
        }
