"""The entry process of the direct path: replicas, peers, and life cycle.

The configuration and the targets' registrations are replicas of two prefixes of the
platform's store. Entries watch the store and also relay changes to each other: each
entry sends heartbeats to the others a few times a second, learns from the replies how
complete and how recent their replicas are, and fetches the changes that it lacks. The
version of the configuration in force never decreases.
"""

import asyncio
import contextlib
import random
import typing
import zlib

import loguru
import msgspec

from sardinesaddle.direct import (
    callermemory,
    catalog,
    configholder,
    crashdetector,
    crashledger,
    departures,
    entrypeers,
    entrystate,
    explanation,
    forward,
    freshness,
    frontend,
    headercodec,
    listening,
    messages,
    nodemetrics,
    noderole,
    nodesettings,
    partprobes,
    replica,
    responsebuffers,
    rpc,
    stopdeadline,
    storedecoder,
    storewatcher,
    supervision,
    targetidentity,
    targetlimits,
    targetpool,
    targetregistry,
    upstream,
)
from sardinesaddle.direct.admission import admissionpart, entryadmission

# Two watches and some slack take less than the maximum age of API keys.
CONFIG_WATCH_S: typing.Final = 1.5
# A lost response delays a change by one watch; target changes must apply in 2 s.
TARGETS_WATCH_S: typing.Final = 1.5
FETCH_TIMEOUT_S: typing.Final = 1.0
MAX_CRASH_SOURCES: typing.Final = 3  # one may have just started, too
FETCH_DELAY_S: typing.Final = 0.1  # the entry's own watch usually returns first
STORE_WATCHERS: typing.Final = 6  # enough that some reach the store in any outage
MAINTENANCE_PERIOD_S: typing.Final = 0.25
KEY_AGE_MARGIN_S: typing.Final = 1.0  # a watch may miss changes of the last second
# Longer than a watch and its slack: the confirmation by the store is overdue.
STALE_CONFIG_AGE_S: typing.Final = 2.5
NOT_READY_LEAD_S: typing.Final = 2.2  # two of the balancer's checks fail by then
# After SIGTERM; later requests are refused. The users count what is sent later than 3 s
# after it and cut at the end. Without processor time, a process learns of the signal
# some tenths late.
DRAIN_ACCEPT_S: typing.Final = 2.6
# Before the platform kills the process, what still runs is answered.
KILL_MARGIN_S: typing.Final = 0.5
_Limits: typing.TypeAlias = catalog.Limits  # a property of the node has this name
DEFAULT_LIMITS: typing.Final = catalog.Limits()  # until a configuration is in force
ANSWER_S: typing.Final = 0.2  # to send these answers


class EntryNode(
    entrystate.EntryState, entrypeers.PeerObserver, rpc.Handler, noderole.Node
):
    """An entry: connects the replicas, the request path and the peers."""

    def __init__(
        self,
        cfg: nodesettings.EntrySettings,
        store: storewatcher.Store,
        store_decoder: storedecoder.StoreDecoder,
        header_codec: headercodec.HeaderCodec,
        clock: freshness.SuspendAwareClock,
        rng: random.Random,
        identifier: targetidentity.TargetIdentifier,
    ) -> None:
        self._cfg = cfg
        self._store_decoder = store_decoder
        self._rng = rng
        self._clock = clock
        self._config = configholder.ConfigHolder(store_decoder)
        self.started_at = 0.0
        self.is_first_start = cfg.is_first_start
        self.limits = targetlimits.TargetLimits(cfg.host, read_loop_time())
        self.departures = departures.Departures()
        self.admission = entryadmission.EntryAdmission(
            entryadmission.build_parts(
                cfg, read_loop_time(), store_decoder, self._on_availability_change
            )
        )
        self.targets = targetpool.TargetPool(
            cfg.place, self.limits, self.departures, self.admission
        )
        self.targets.set_entries(cfg.host, ())
        self.metrics = nodemetrics.EntryMetrics(cfg.name)
        self._were_buffers_full = False
        self.memory = callermemory.CallerMemory(make_memory_total(cfg))
        self.buffers = responsebuffers.ResponseBuffers(
            self.memory.response_bytes, cuts_unread_responses(cfg)
        )
        self.pool = upstream.ConnectionPool(self.buffers)
        self._watchers = {
            prefix: storewatcher.StoreWatcher(
                store,
                prefix,
                wait_s,
                self._on_store_changes,
                clock,
                rng,
                self._may_rely_on_peers,
            )
            for prefix, wait_s in (
                (store_decoder.config_prefix, CONFIG_WATCH_S),
                (store_decoder.targets_prefix, TARGETS_WATCH_S),
            )
        }
        self._config_watcher = self._watchers[store_decoder.config_prefix]
        bounds = make_bounds(cfg)
        self.crash_ledger = crashledger.CrashLedger()
        self._incarnation = rng.getrandbits(32) | 1
        self._peers = entrypeers.EntryPeers(cfg.host, cfg.node_port, rng, self)
        self._crashes = crashdetector.CrashDetector(
            self.crash_ledger,
            self.pool,
            clock,
            self.metrics,
            self._peers.announce,
            self.departures,
            self._compute_probe_turn,
            identifier,
            self._config.find_service,
        )
        self._registry = targetregistry.TargetRegistry(
            store_decoder,
            self.targets,
            self.departures,
            self._crashes,
            self._watchers[store_decoder.targets_prefix],
        )
        self._stop_deadline = stopdeadline.StopDeadline()
        self.forwarder = forward.Forwarder(
            self,
            self.targets,
            self.pool,
            header_codec,
            bounds,
            self.metrics,
            rng,
            self._crashes,
            self.limits,
            self._stop_deadline,
            self._on_target_leaving,
            self._registry.on_response,
        )
        self._explainer = explanation.Explainer(
            self,
            self.targets,
            self.forwarder,
            self.forwarder.scheduler,
            self._crashes,
            rng,
        )
        self.frontend = frontend.Frontend(
            self.forwarder,
            header_codec,
            self._get_limits,
            callermemory.compute_max_connections(cfg.max_descriptors),
            self.memory,
            self.buffers,
            self._stop_deadline,
        )
        self._server = rpc.Server(self, cfg.host, cfg.node_port)
        # The entries that this one has fetched all crash records from.
        self._crash_sources: set[str] = set()
        self._reports: dict[str, messages.Report] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self.is_draining = False

    # State for the request path.

    @property
    def catalog(self) -> catalog.Catalog | None:
        """The configuration in force; None until the seeds were asked for a newer one.

        A store that was restored before this process started may list an older one.
        """
        return self._config.catalog if self._peers.has_asked_seeds else None

    def may_lack_config(self) -> bool:
        """Return whether the store may lack a configuration that it had confirmed."""
        return self._config_watcher.is_settling

    def compute_config_age(self) -> float:
        """Return the seconds since the catalog was confirmed to be the newest."""
        return self._config_watcher.compute_age()

    def _may_rely_on_peers(self) -> bool:
        """Return whether enough entries with lower addresses watch the store."""
        lower_hosts = sum(host < self._cfg.host for host in self._peers.hosts)
        return lower_hosts >= STORE_WATCHERS

    def count_entries(self) -> int:
        """Return the number of entries, this one included."""
        return len(self._peers.hosts) + 1

    def _get_limits(self) -> _Limits:
        """Return the operators' limits on what callers send."""
        known = self.catalog
        return DEFAULT_LIMITS if known is None else known.limits

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send requests to this entry."""
        if self.is_draining or self.catalog is None:
            return False
        return self.compute_config_age() <= make_bounds(self._cfg).max_key_age_s

    # Changes in the store.

    def _on_store_changes(self, new_changes: list[replica.Change], source: str) -> None:
        """Apply changes of the configuration, the targets, and for the admission.

        Anybody may write to the store, so no change may keep others from being applied.
        """
        for change in new_changes:
            try:
                self._apply_change(change, source)
            except Exception as exc:
                loguru.logger.error(
                    "event=change_failed key={!r} rev={} source={} reason={!r} at={}",
                    change.key,
                    change.rev,
                    source,
                    supervision.describe(exc),
                    supervision.locate(exc),
                )

    def _apply_change(self, change: replica.Change, source: str) -> None:
        """Apply one change."""
        self._pass_to_admission(change)
        if change.key == self._store_decoder.config_key:
            self._on_config(change, source)
        elif change.key.startswith(self._store_decoder.targets_prefix):
            self._registry.apply(change, source)

    def _pass_to_admission(self, change: replica.Change) -> None:
        """Let the parts of the admission handle a change of the store."""
        watcher = next(
            watcher
            for prefix, watcher in self._watchers.items()
            if change.key.startswith(prefix)
        )
        position = watcher.replica.make_position(change.rev)
        if self.admission.on_store_change(read_loop_time(), change, position):
            self.targets.invalidate_lists()
            self._peers.announce()

    def _on_availability_change(self) -> None:
        """Apply that a message of another entry changed which targets are available."""
        self.targets.invalidate_lists()
        self.forwarder.scheduler.dispatch_all()

    def _on_config(self, change: replica.Change, source: str) -> None:
        """Put a version in force; one that was written in this era ends the settling.

        What operators write again after a restore of the store is their newest version.
        """
        watcher = self._config_watcher
        is_valid = self._offer_config(change.value, change.rev, source)
        is_written_again = not watcher.replica.make_position(change.rev).may_be_copied
        if is_valid and is_written_again and watcher.is_settling:
            watcher.end_settling()

    def _offer_config(self, value: bytes | None, rev: int, source: str) -> bool:
        """Put a configuration in force if it is valid and newer; return if valid."""
        is_valid = self._config.offer(value, rev, source)
        if self._config.catalog is not None:
            self.targets.lockstep_services = frozenset(
                service.name
                for service in self._config.catalog.services.values()
                if service.engine is not None and service.engine.layer_sets
            )
            self.admission.on_catalog(read_loop_time(), self._config.catalog)
            self._registry.set_services(self._config.catalog.services.keys())
        return is_valid

    def _compute_probe_turn(self, suspect: str) -> int:
        """Return the turn of this entry to probe a part whose refusal is over."""
        return partprobes.compute_turn(
            self._peers.list_entries(), self._cfg.host, suspect
        )

    def _on_target_leaving(self, incarnation: str, source: str) -> None:
        """Send an incarnation that states that it leaves nothing more; tell others."""
        if not self.departures.on_leaving(read_loop_time(), incarnation):
            return
        loguru.logger.info(
            "event=target_leaving target={} source={}", incarnation, source
        )
        self.metrics.count_leaving_target()
        self.targets.invalidate_lists()
        self._peers.announce()

    # Messages of other processes.

    async def handle_request(self, msg: messages.Request) -> messages.Reply | None:
        """Return the reply to a heartbeat, a fetch or a report."""
        if isinstance(msg, messages.Heartbeat):
            self._peers.on_entry_alive(msg.sender)
            self._merge_crash_records(msg.crash_records, msg.sender)
            self._merge_departures(msg.departures, msg.sender)
            now = asyncio.get_running_loop().time()
            self.limits.on_message(
                now, msg.sender, msg.incarnation, msg.entries, msg.limits
            )
            self.admission.on_message(
                now,
                admissionpart.PeerMessage(msg.sender, msg.incarnation, msg.entries),
                msg.admission,
            )
            return messages.HeartbeatReply(
                self._peers.list_entries(),
                self._list_prefix_states(),
                self._incarnation,
                self.limits.make_update(now, msg.sender, is_reply=True),
                self._config.version,
                self.crash_ledger.list_refused_parts(self._clock.read()),
                self.admission.make_update(now, msg.sender, is_reply=True),
            )
        if isinstance(msg, messages.FetchRequest):
            return self._make_fetch_reply(msg)
        if isinstance(msg, messages.FetchConfig):
            value = self._config.get_value_after(msg.version)
            return messages.ConfigReply(self._config.version, value)
        if isinstance(msg, messages.Report):
            return self._on_report(msg)
        if isinstance(msg, messages.CrashSync):
            return self._sync_crash_records(msg)
        return None

    def _list_prefix_states(self) -> list[messages.PrefixState]:
        """Return the state of this entry's replicas."""
        return [
            messages.PrefixState(
                prefix,
                watcher.replica.changed_rev,
                watcher.replica.complete_rev,
                watcher.compute_age(),
                watcher.replica.era,
                watcher.compute_settled_age(),
            )
            for prefix, watcher in self._watchers.items()
        ]

    def _make_fetch_reply(self, msg: messages.FetchRequest) -> messages.Reply | None:
        """Return the changes after the revision in the request."""
        watcher = self._watchers.get(msg.prefix)
        if watcher is None:
            return None
        delta = watcher.replica.make_delta(msg.era, msg.after)
        changes = [
            messages.WireChange(c.key, c.rev, c.value, c.created_rev)
            for c in delta.changes
        ]
        return messages.FetchReply(
            msg.prefix,
            changes,
            delta.complete_rev,
            delta.is_full,
            delta.era,
            watcher.replica.copied_rev,
        )

    def _on_report(self, report: messages.Report) -> messages.ReportReply:
        """Apply a sidecar's report; reply with the entries and its group's sidecars."""
        loop = asyncio.get_running_loop()
        previous = self._reports.get(report.sender)
        self._reports[report.sender] = report
        if report.is_leaving:
            self._on_leaving_report(report)
        self.targets.on_report(loop.time(), report)
        self.forwarder.scheduler.dispatch_all()
        was_usable = previous is None or (previous.is_alive and previous.is_group_open)
        if was_usable != (report.is_alive and report.is_group_open):
            loguru.logger.info(
                "event=group_state target={} group={} epoch={} rank={} open={}"
                " alive={}",
                report.target,
                report.group,
                report.epoch,
                report.rank,
                report.is_group_open,
                report.is_alive,
            )
        entries = sorted(self._peers.list_entries())
        ranks = self._list_ranks(report)
        targets = [self._reports[host].target for _, host in ranks]
        if not report.wants_ranks:
            targets = []
        digest = zlib.crc32(repr((report.epoch, entries, ranks, targets)).encode())
        wants_every_change = self.targets.is_in_subset(report.target)
        if digest == report.known_digest:
            entries, ranks, targets = [], [], []
        target = self.targets.get_at_address(report.target)
        memory = None
        if target is not None:
            memory = self.admission.make_memory_use(loop.time(), target)
        return messages.ReportReply(
            digest, wants_every_change, entries, ranks, True, targets, memory
        )

    def _on_leaving_report(self, report: messages.Report) -> None:
        """Apply that an engine told its sidecar that it leaves.

        Without its start time it may be another one than the registered one.
        """
        target = self.targets.get_at_address(report.target)
        if target is None or not report.started_ms:
            return
        if report.started_ms == target.registration.started_ms:
            self._on_target_leaving(target.registration.incarnation, report.sender)

    def _list_ranks(self, report: messages.Report) -> list[tuple[int, str]]:
        """Return the hosts of a group's sidecars by rank, if the reporter needs it."""
        if not report.group or (report.rank != 0 and not report.wants_ranks):
            return []
        return sorted(
            (other.rank, other.sender)
            for other in self._reports.values()
            if other.group == report.group and other.epoch == report.epoch
        )

    def explain(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Return status and JSON that explain where a request would go now."""
        try:
            parsed = msgspec.convert(query, explanation.Query, strict=False)
        except msgspec.ValidationError as exc:
            fault = explanation.QueryFault(f"{exc}; see sardinesaddle explain --help")
            return 400, msgspec.json.encode(fault)
        result = self._explainer.explain(asyncio.get_running_loop().time(), parsed)
        is_fault = isinstance(result, explanation.QueryFault)
        return 400 if is_fault else 200, msgspec.json.encode(result)

    # Other entries.

    def read_clock(self) -> float:
        """Return the time of the clock that counts suspension."""
        return self._clock.read()

    @property
    def incarnation(self) -> int:
        """A random number of this process."""
        return self._incarnation

    def make_limit_update(self, host: str) -> messages.LimitUpdate | None:
        """Return what another entry may lack about limited targets."""
        return self.limits.make_update(asyncio.get_running_loop().time(), host)

    def make_admission_update(self, host: str) -> messages.AdmissionUpdate | None:
        """Return what the parts of the admission tell another entry."""
        return self.admission.make_update(asyncio.get_running_loop().time(), host)

    def on_entries_changed(self) -> None:
        """Compute this entry's subset of the targets anew."""
        self.targets.set_entries(self._cfg.host, self._peers.hosts)

    def list_crash_records(self, after: int) -> tuple[list[messages.CrashRecord], int]:
        """Return the crash records that changed, and the newest change number."""
        ledger = self.crash_ledger
        if ledger.change_number == after:
            return [], after
        return ledger.list_changes(self._clock.read(), after), ledger.change_number

    def list_departures(self, after: int) -> tuple[list[messages.Departure], int]:
        """Return the departures that changed, and the newest change number."""
        left = self.departures
        if left.change_number == after:
            return [], after
        return left.list_changes(read_loop_time(), after), left.change_number

    def _merge_departures(
        self, received: list[messages.Departure], source: str
    ) -> None:
        """Merge what another entry knows of targets that leave or are gone."""
        changed = self.departures.merge(read_loop_time(), received)
        if changed:
            self.targets.invalidate_lists()
            loguru.logger.info(
                "event=departures_merged source={} targets={}",
                source,
                ",".join(changed),
            )

    def _merge_crash_records(
        self, records: list[messages.CrashRecord], source: str
    ) -> None:
        """Merge the crash records of another process."""
        changed = self.crash_ledger.merge(self._clock.read(), records)
        if changed:
            loguru.logger.info(
                "event=crashes_merged source={} contents={}",
                source,
                self.crash_ledger.format_counts(self._clock.read(), changed),
            )

    def _sync_crash_records(self, msg: messages.CrashSync) -> messages.CrashSyncReply:
        """Merge a sidecar's crash records; return those that it lacks."""
        is_known = msg.known_incarnation == self._incarnation
        records, newest = self.list_crash_records(msg.known_change if is_known else 0)
        self._merge_crash_records(msg.crash_records, msg.sender)
        left = self.list_departures(0)[0] if msg.known_incarnation == 0 else []
        return messages.CrashSyncReply(self._incarnation, newest, records, left)

    async def on_heartbeat_reply(
        self,
        peer: rpc.Peer,
        heartbeat: messages.Heartbeat,
        reply: messages.HeartbeatReply,
        sent_at: float,
    ) -> None:
        """Apply limits; fetch changes of the store and crashes that are missing."""
        now = asyncio.get_running_loop().time()
        self.limits.on_reply(
            now,
            peer.host,
            reply.incarnation,
            reply.entries,
            heartbeat.limits,
            reply.limits,
        )
        self.admission.on_reply(
            now,
            admissionpart.PeerMessage(peer.host, reply.incarnation, reply.entries),
            heartbeat.admission,
            reply.admission,
        )
        self.crash_ledger.on_peer_judgement(
            self._clock.read(), peer.host, reply.refused_parts
        )
        if (
            reply.incarnation
            and len(self._crash_sources) < MAX_CRASH_SOURCES
            and peer.host not in self._crash_sources
        ):
            await self._fetch_crash_records(peer)
        for state in reply.prefix_states:
            watcher = self._watchers.get(state.prefix)
            if watcher is None:
                continue
            if watcher.is_ahead(state.era, state.changed_rev):
                if not watcher.is_passive:
                    await asyncio.sleep(FETCH_DELAY_S)
                if watcher.is_ahead(state.era, state.changed_rev):
                    await self._fetch_changes(peer, watcher)
        if reply.config_version > self._config.version:
            await self._fetch_config(peer)
        for state in reply.prefix_states:
            watcher = self._watchers.get(state.prefix)
            if watcher is None:
                continue
            if not self._peers.has_asked_seeds:
                watcher.learn_restore(state.era, state.settled_age_s)
            if self._has_all_of(watcher, state, reply):
                watcher.freshness.confirm_by_peer(sent_at, state.age_s)

    def _has_all_of(
        self,
        watcher: storewatcher.StoreWatcher,
        state: messages.PrefixState,
        reply: messages.HeartbeatReply,
    ) -> bool:
        """Return whether this entry now has all that a peer had when it replied."""
        return (
            state.changed_rev > 0
            and state.era == watcher.replica.era
            and state.changed_rev <= watcher.replica.complete_rev
            and reply.config_version <= self._config.version
        )

    async def _fetch_config(self, peer: rpc.Peer) -> None:
        """Fetch the configuration in force at another entry if it is newer."""
        request = messages.FetchConfig(self._config.version)
        reply = await peer.call(request, FETCH_TIMEOUT_S)
        if isinstance(reply, messages.ConfigReply) and reply.value is not None:
            self._offer_config(reply.value, 0, peer.host)

    async def _fetch_crash_records(self, peer: rpc.Peer) -> None:
        """Fetch all crash records of another entry, after the start.

        The heartbeats of others bring them later; among many entries these are rare.
        """
        request = messages.CrashSync(self._cfg.host, [], 0, 0)
        reply = await peer.call(request, FETCH_TIMEOUT_S)
        if isinstance(reply, messages.CrashSyncReply):
            self._crash_sources.add(peer.host)
            self._merge_crash_records(reply.crash_records, peer.host)
            self._merge_departures(reply.departures, peer.host)

    async def _fetch_changes(
        self, peer: rpc.Peer, watcher: storewatcher.StoreWatcher
    ) -> None:
        """Fetch missing changes from another entry and apply them."""
        known = watcher.replica
        request = messages.FetchRequest(watcher.prefix, known.complete_rev, known.era)
        reply = await peer.call(request, FETCH_TIMEOUT_S)
        if not isinstance(reply, messages.FetchReply):
            return
        changes = tuple(
            replica.Change(c.key, c.rev, c.value, c.created_rev) for c in reply.changes
        )
        delta = replica.Delta(
            changes, reply.complete_rev, reply.is_full, reply.era, reply.copied_rev
        )
        watcher.apply(delta, peer.host)

    # Life cycle.

    async def start(self) -> None:
        """Start to listen, to watch the store and to contact the seeds."""
        loop = asyncio.get_running_loop()
        self.started_at = loop.time()
        loguru.logger.info("event=entry_starts first_start={}", self.is_first_start)
        await self._server.start()
        for watcher in self._watchers.values():
            self._start_task(f"watch of {watcher.prefix}", watcher.run)
        self._peers.set_seeds(self._cfg.list_seed_hosts())
        # Parts that wait for the replies of all seeds have to know them.
        self._refresh_admission(loop.time())
        self._start_task("maintenance", self._run_maintenance)
        host, port = nodesettings.split_address(self._cfg.front)
        with listening.name_setting("front", host, port):
            await self.frontend.start(host, port)

    def _start_task(self, name: str, body: supervision.Body) -> None:
        """Start a task that runs as long as the process."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(supervision.run_restarting(name, body))
        self._tasks.append(task)

    def reload(self, cfg: nodesettings.EntrySettings) -> None:
        """Apply new seeds and bounds; changed addresses need a restart."""
        self._cfg = cfg
        self.forwarder.set_bounds(make_bounds(cfg))
        self._peers.set_seeds(cfg.list_seed_hosts())

    async def _run_maintenance(self) -> None:
        """Periodically remove expired targets and connections and update gauges."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(MAINTENANCE_PERIOD_S)
            now = loop.time()
            self._registry.remove_expired(now)
            registered = self.targets.list_incarnations()
            self.departures.forget(now, registered)
            self.targets.rests.forget(now)
            self.crash_ledger.entry_count = self.count_entries()
            self._crashes.expire()
            self._crashes.contact_departing()
            self.pool.close_expired(now, self.targets.list_keys())
            self._refresh_limits(now)
            self._refresh_admission(now)
            self.metrics.set_rests(self.targets.rests.list_resting(now))
            self._refresh_buffers()
            self.frontend.close_overdue(now)
            self.metrics.set_state(
                self.config_version,
                self.compute_config_age(),
                self._config_watcher.replica.era,
                len(self.targets),
                self.crash_ledger.count_refused(self._clock.read()),
            )

    def _refresh_limits(self, now: float) -> None:
        """Compute this entry's parts of the targets' limits."""
        self.limits.refresh(
            now,
            self._peers.hosts,
            self._peers.list_contacted(),
            self.targets.list_incarnations(),
        )
        self.metrics.set_target_limits(
            self.limits.statements.list_limits(), self.limits.list_parts()
        )

    def _refresh_buffers(self) -> None:
        """Set the metrics of buffered responses; log when they reach their bound."""
        buffers = self.buffers
        self.metrics.set_callers(
            self.memory.count_held(),
            self.memory.evictions[True],
            self.memory.evictions[False],
            self.frontend.closed_count,
        )
        self.metrics.set_buffers(
            buffers.held_bytes,
            buffers.take_peak(),
            buffers.paused,
            buffers.take_pause_count(),
        )
        if buffers.is_full != self._were_buffers_full:
            self._were_buffers_full = buffers.is_full
            loguru.logger.info(
                "event=response_buffers full={} held_bytes={} paused={}",
                buffers.is_full,
                buffers.held_bytes,
                buffers.paused,
            )

    def _refresh_admission(self, now: float) -> None:
        """Do the periodic work of the parts of the admission."""
        entries = admissionpart.EntryView(
            self._cfg.host,
            self._peers.hosts,
            self._peers.list_contacted(),
            self.compute_config_age(),
            self.targets.list_own_targets(),
        )
        self.admission.refresh(now, entries, self.targets.list_targets())
        self.admission.write_metrics(now, self.metrics)

    async def drain(self, late_s: float = 0.0) -> None:
        """Fail the readiness check, finish requests in flight, and stop.

        The process was asked to ``late_s`` seconds ago. The balancer's checks fail from
        now on; all other times count from then.
        """
        loop = asyncio.get_running_loop()
        asked_at = loop.time() - late_s
        ends_at = asked_at + self._cfg.bounds.drain_s - KILL_MARGIN_S
        self.is_draining = True
        self._stop_deadline.set(ends_at)
        loguru.logger.info(
            "event=drain_begins active={}", self.frontend.active_requests
        )
        await asyncio.sleep(NOT_READY_LEAD_S)
        self.frontend.is_draining = True
        self.limits.withdraw()
        self.admission.withdraw()
        await asyncio.sleep(asked_at + DRAIN_ACCEPT_S - loop.time())
        self.frontend.refuses_requests = True
        while not self.frontend.is_idle and loop.time() < ends_at + ANSWER_S:
            await asyncio.sleep(0.02)
        await self.stop()

    async def stop(self) -> None:
        """Stop at once; requests in flight are cut off."""
        loguru.logger.info("event=stop active={}", self.frontend.active_requests)
        # The frontend stops first, so that it accepts no request that is cut off.
        await self.frontend.stop()
        await self._peers.stop()
        for task in self._tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self._server.stop()
        self.pool.close()


def read_loop_time() -> float:
    """Return the time of the running event loop."""
    return asyncio.get_running_loop().time()


def make_memory_total(cfg: nodesettings.EntrySettings) -> int:
    """Return the bound on what all requests and responses hold, in bytes."""
    if cfg.max_buffered_bytes is not None:
        return cfg.max_buffered_bytes
    limit_bytes = callermemory.read_memory_limit(cfg.memory_mb)
    return callermemory.compute_default_total(limit_bytes)


def cuts_unread_responses(cfg: nodesettings.EntrySettings) -> bool:
    """Return whether targets cut off responses that stay unread for long."""
    return cfg.bounds_engine_memory or cfg.max_buffered_bytes is not None


def make_bounds(cfg: nodesettings.EntrySettings) -> entrystate.RequestBounds:
    """Return the bounds of the request path from the settings."""
    return entrystate.RequestBounds(
        max_key_age_s=cfg.bounds.revoke_s - KEY_AGE_MARGIN_S,
        stale_age_s=STALE_CONFIG_AGE_S,
        retry_ratio=cfg.bounds.repeat_ratio,
        retry_allowance=cfg.bounds.repeat_allowance,
        retry_window_s=cfg.bounds.repeat_window_s,
    )
