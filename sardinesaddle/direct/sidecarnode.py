"""The sidecar process of the direct path: reports its engine's state to the entries.

The sidecar reads the state on the engine's own host, where reading is fast and cheap.
It reports the state to every entry when it changes, and periodically otherwise. The
sidecar of rank 0 also keeps the entries' crash records. If the settings say so, those
of the next ranks complete its map switches while it is lost.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import math
import random
import typing

import loguru

from sardinesaddle.direct import (
    backupleader,
    catalog,
    crashkeeper,
    engine,
    freshness,
    groupleader,
    memorygrants,
    messages,
    nodemetrics,
    noderole,
    nodesettings,
    orderrelay,
    rankagent,
    rpc,
    storedecoder,
    supervision,
)

ENGINE_READ_PERIOD_S: typing.Final = 0.1
# Entries that prefer other targets get reports less often if there are more entries.
ENTRIES_PER_REPORT_PERIOD: typing.Final = 16
MAX_REPORT_PERIOD_S: typing.Final = 2.0  # until a silent host is noticed
REPORT_TIMEOUT_S: typing.Final = 0.4
ENTRY_TTL_S: typing.Final = 10.0  # without a listing of the entry or a reply from it
MODEL_TTL_S: typing.Final = 10.0  # the engine model rarely changes
FETCH_TIMEOUT_S: typing.Final = 1.0
RANK_LIST_SOURCES: typing.Final = 3  # entries that send a backup leader the ranks


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipLists:
    """Entries, and sidecar hosts and engines by rank, as an entry last listed them.

    The ranks are those of one epoch.
    """

    digest: int
    epoch: int
    entries: list[str]
    ranks: dict[int, str]
    targets: dict[int, str]


class SidecarNode(
    rpc.Handler,
    groupleader.GroupContext,
    backupleader.BackupContext,
    noderole.Node,
):
    """A sidecar: reads its engine, reports to entries and serves the group's leader."""

    def __init__(
        self,
        cfg: nodesettings.SidecarSettings,
        local_engine: engine.Engine,
        store_decoder: storedecoder.StoreDecoder,
        clock: freshness.SuspendAwareClock,
        rng: random.Random,
        connect: collections.abc.Callable[[str], engine.Engine] | None = None,
    ) -> None:
        self._cfg = cfg
        self._connect = connect
        self._keeper = crashkeeper.CrashKeeper(cfg.host, clock)
        self._store_decoder = store_decoder
        self._engine = local_engine
        self._rng = rng
        self.metrics = nodemetrics.SidecarMetrics(cfg.name)
        self._server = rpc.Server(self, cfg.host, cfg.node_port)
        self._report_tasks: dict[str, asyncio.Task[None]] = {}
        self._last_listed: dict[str, float] = {}
        self.state: engine.EngineState | None = None
        self._state_read_at = 0.0
        # Replaced whenever it is set, so that each change wakes a waiting task once.
        self._changed = asyncio.Event()
        self._transitioned = asyncio.Event()
        self._change_count = 0
        self._transition_count = 0
        self._membership: dict[str, MembershipLists] = {}
        # Gives out nothing before the start.
        self._grants = memorygrants.MemoryGrants(math.inf)
        self._tasks: list[asyncio.Task[None]] = []
        self.is_draining = False
        self._rank_agent = rankagent.RankAgent(local_engine, self.metrics, rng)
        self._leader = groupleader.GroupLeader(
            self,
            self._rank_agent,
            self.metrics,
            cfg.node_port,
            rng,
            has_backup=cfg.backup_leaders,
        )
        self._order_relay = orderrelay.OrderRelay(self._call_sidecar)
        self._backup: backupleader.BackupLeader | None = None
        if cfg.backup_leaders and connect is not None:
            self._backup = backupleader.BackupLeader(
                self, self._rank_agent, self.metrics, cfg.node_port, rng
            )
        self._model: catalog.EngineModel | None = None
        self._model_at = 0.0
        self._model_version = 0  # of the configuration that the model is from

    @property
    def is_ready(self) -> bool:
        """Whether the engine responded to the last read."""
        return self.state is not None

    async def handle_request(self, msg: messages.Request) -> messages.Reply | None:
        """Return the reply to a request of the group's leader."""
        if isinstance(msg, messages.OrderRank):
            self._order_relay.start(msg)
        return await handle_leader_request(self._rank_agent, msg)

    async def _call_sidecar(
        self, host: str, msg: messages.Request
    ) -> messages.Reply | None:
        """Call another sidecar on a new connection; return None if that fails."""
        peer = rpc.Peer(host, self._cfg.node_port)
        reply = await peer.call(msg, groupleader.CALL_TIMEOUT_S)
        peer.close()
        return None if isinstance(reply, rpc.RpcFault) else reply

    # State for the group's leader, if it runs in this process.

    def get_state(self) -> engine.EngineState | None:
        """Return the last state of this sidecar's engine; None if it is unreachable."""
        return self.state

    def get_rank_hosts(self) -> dict[int, str]:
        """Return the group's sidecar hosts by rank, from the lists of all entries."""
        hosts: dict[int, str] = {}
        if self.state is not None:
            for lists in self._membership.values():
                if lists.epoch == self.state.epoch:
                    hosts |= lists.ranks
        return hosts

    def get_rank_targets(self) -> dict[int, str]:
        """Return the addresses of the group's engines by rank, as entries list them."""
        targets: dict[int, str] = {}
        if self.state is not None:
            for lists in self._membership.values():
                if lists.epoch == self.state.epoch:
                    targets |= lists.targets
        return targets

    def connect_engine(self, address: str) -> engine.Engine:
        """Return a client of an engine of another host."""
        assert self._connect is not None
        return self._connect(address)

    async def get_model(self) -> catalog.EngineModel | None:
        """Return the engine model, cached or fetched from an entry, or None."""
        loop = asyncio.get_running_loop()
        if self._model is not None and loop.time() - self._model_at < MODEL_TTL_S:
            return self._model
        request = messages.FetchConfig(self._model_version)
        for host in list(self._report_tasks):
            peer = rpc.Peer(host, self._cfg.node_port)
            reply = await peer.call(request, FETCH_TIMEOUT_S)
            peer.close()
            if not isinstance(reply, messages.ConfigReply):
                continue
            if reply.value is not None:
                self._update_model(reply.value)
            if self._model is not None:
                self._model_at = loop.time()
                break
        return self._model

    def _update_model(self, data: bytes) -> None:
        """Update the engine model of this sidecar's service from a configuration."""
        current_catalog = self._store_decoder.decode_catalog(data)
        if isinstance(current_catalog, str):
            loguru.logger.warning("event=config_refused {}", current_catalog)
            return
        if current_catalog.version <= self._model_version:
            return
        self._model_version = current_catalog.version
        service = current_catalog.services.get(self._cfg.service)
        if service is not None and service.engine is not None:
            self._model = service.engine

    async def start(self) -> None:
        """Start to listen, to read the engine and to report to the seeds."""
        loop = asyncio.get_running_loop()
        await self._server.start()
        self._grants = memorygrants.MemoryGrants(loop.time())
        for host in self._cfg.list_seed_hosts():
            self._start_reports(host)
        self._start_task("engine state", self._read_engine)
        self._start_task("engine demand", self._read_demand)
        self._start_task("group leader", self._leader.run)
        if self._backup is not None:
            self._start_task("backup leader", self._backup.run)

    def _start_task(self, name: str, body: supervision.Body) -> None:
        """Start a task that runs as long as the process."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(supervision.run_restarting(name, body))
        self._tasks.append(task)

    def reload(self, cfg: nodesettings.SidecarSettings) -> None:
        """Apply new seeds; changed addresses need a restart."""
        self._cfg = cfg
        for host in cfg.list_seed_hosts():
            self._start_reports(host)

    async def _read_engine(self) -> None:
        """Read the engine's state periodically."""
        while True:
            await self.read_state()
            await asyncio.sleep(ENGINE_READ_PERIOD_S)

    async def _read_demand(self) -> None:
        """Read the engine's expert counts periodically while its group is open.

        In a large group that is done as often as its leader asks for them.
        """
        while True:
            state = self.state
            period_s = rankagent.DEMAND_POLL_S
            if state is not None and state.is_group_open and state.size > 1:
                await self._rank_agent.read_demand()
                period_s *= groupleader.compute_idle_factor(state.size)
            await asyncio.sleep(period_s)

    async def read_state(self) -> engine.EngineState | None:
        """Read the engine's state now, log transitions and return it."""
        started_at = asyncio.get_running_loop().time()
        result = await self._engine.read_state()
        self._state_read_at = started_at
        previous = self.state
        if isinstance(result, engine.EngineFault):
            if previous is not None:
                loguru.logger.warning("event=engine_lost reason={!r}", result.reason)
            self.state = None
        else:
            if previous is None:
                loguru.logger.info(
                    "event=engine_found group={} epoch={} rank={} open={}",
                    result.group,
                    result.epoch,
                    result.rank,
                    result.is_group_open,
                )
            elif (previous.epoch, previous.is_group_open) != (
                result.epoch,
                result.is_group_open,
            ):
                loguru.logger.info(
                    "event=group_changed group={} epoch={} rank={} open={}",
                    result.group,
                    result.epoch,
                    result.rank,
                    result.is_group_open,
                )
            self.state = result
        self._record_change(previous)
        return self.state

    def _record_change(self, previous: engine.EngineState | None) -> None:
        """Wake the report tasks if load, group or reachability changed."""
        current = self.state
        if describe_group(previous) != describe_group(current):
            self._transition_count += 1
            self._transitioned.set()
            self._transitioned = asyncio.Event()
        elif describe_load(previous) == describe_load(current):
            return
        self._change_count += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def _start_reports(self, host: str) -> None:
        """Record that an entry is listed, and start to report to it."""
        loop = asyncio.get_running_loop()
        self._last_listed[host] = loop.time()
        if host not in self._report_tasks:
            self._report_tasks[host] = loop.create_task(self._keep_reporting(host))

    async def _keep_reporting(self, host: str) -> None:
        """Report to an entry until it is no longer listed."""
        try:
            await supervision.run_restarting(
                f"reports to {host}", lambda: self._report_to(host)
            )
        finally:
            self._report_tasks.pop(host, None)
            self._membership.pop(host, None)

    async def _report_to(self, host: str) -> None:
        """Report to an entry until it is no longer listed; seeds never expire."""
        loop = asyncio.get_running_loop()
        peer = rpc.Peer(host, self._cfg.node_port)
        seeds = self._cfg.list_seed_hosts()
        wants_every_change = False
        try:
            while True:
                reported_counts = (self._change_count, self._transition_count)
                period_s = self._compute_report_period_s(wants_every_change)
                report = self.make_report(host, period_s)
                reply = await peer.call(report, REPORT_TIMEOUT_S)
                wants_every_change = False
                if isinstance(reply, messages.ReportReply):
                    self._last_listed[host] = loop.time()
                    self.on_reply(host, report.epoch, reply)
                    wants_every_change = reply.wants_every_change
                    if reply.takes_crash_records and report.rank == 0:
                        await self._keeper.sync_if_due(peer)
                elif (
                    host not in seeds
                    and loop.time() - self._last_listed[host] > ENTRY_TTL_S
                ):
                    break
                await self._wait_for_change(
                    reported_counts, wants_every_change, period_s
                )
        finally:
            peer.close()

    def _compute_report_period_s(self, wants_every_change: bool) -> float:
        """Return the time between reports to an entry, in seconds."""
        factor = len(self._report_tasks) / ENTRIES_PER_REPORT_PERIOD
        if wants_every_change or factor <= 1.0:
            return messages.REPORT_PERIOD_S
        return min(messages.REPORT_PERIOD_S * factor, MAX_REPORT_PERIOD_S)

    async def _wait_for_change(
        self,
        reported_counts: tuple[int, int],
        wants_every_change: bool,
        period_s: float,
    ) -> None:
        """Wait for a change to report, or until the next periodic report is due.

        Entries that prefer other targets receive changes of the load only with the
        periodic report; transitions of the group are reported to all at once.
        """
        await asyncio.sleep(ENGINE_READ_PERIOD_S)
        change_count, transition_count = reported_counts
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(period_s - ENGINE_READ_PERIOD_S):
                if wants_every_change:
                    while self._change_count == change_count:
                        await self._changed.wait()
                else:
                    while self._transition_count == transition_count:
                        await self._transitioned.wait()

    def on_reply(self, host: str, epoch: int, reply: messages.ReportReply) -> None:
        """Store the lists in a reply, and start to report to the entries in it.

        What the entry's requests need of the engine's memory is stored, too.
        """
        now = asyncio.get_running_loop().time()
        self._grants.on_reply(now, host, reply.memory, reply.wants_every_change)
        lists = self._membership.get(host)
        if lists is None or lists.digest != reply.digest:
            lists = MembershipLists(
                reply.digest,
                epoch,
                reply.entries,
                dict(reply.ranks),
                {
                    rank: target
                    for (rank, _), target in zip(
                        reply.ranks, reply.targets, strict=False
                    )
                },
            )
            self._membership[host] = lists
        for other in lists.entries:
            self._start_reports(other)

    def make_report(
        self, host: str, period_s: float = messages.REPORT_PERIOD_S
    ) -> messages.Report:
        """Return the report of the last state for an entry; the next is due by then."""
        loop = asyncio.get_running_loop()
        state = self.state
        lists = self._membership.get(host)
        memory = None
        if state is not None:
            memory = self._grants.make_state(
                loop.time(), host, state.memory_used, state.memory_total
            )
        return messages.Report(
            sender=self._cfg.host,
            target=self._cfg.target,
            is_alive=state is not None,
            running=0 if state is None else state.running,
            waiting=0 if state is None else state.waiting,
            slowdown=1.0 if state is None else state.slowdown,
            group="" if state is None else state.group,
            epoch=0 if state is None else state.epoch,
            rank=0 if state is None else state.rank,
            size=0 if state is None else state.size,
            is_group_open=state is not None and state.is_group_open,
            skew=self._leader.skew,
            age_s=round(loop.time() - self._state_read_at, 3),
            known_digest=0 if lists is None else lists.digest,
            is_leaving=state is not None and state.is_leaving,
            started_ms=0 if state is None else state.started_ms,
            wants_ranks=self._wants_ranks(host),
            memory=memory,
            period_s=period_s,
        )

    def _wants_ranks(self, host: str) -> bool:
        """Return whether this sidecar may be a backup leader and asks this entry."""
        state = self.state
        if self._backup is None or state is None:
            return False
        sources = sorted(self._report_tasks)[:RANK_LIST_SOURCES]
        return 1 <= state.rank <= backupleader.BACKUP_COUNT and host in sources

    async def drain(self, late_s: float = 0.0) -> None:
        """Stop at once; no process depends on a single sidecar for long."""
        self.is_draining = True
        await self.stop()

    async def stop(self) -> None:
        """Cancel all tasks and close all connections."""
        loguru.logger.info("event=stop")
        for task in [*self._tasks, *self._report_tasks.values()]:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self._leader.close()
        self._order_relay.close()
        if self._backup is not None:
            await self._backup.close()
        await self._server.stop()


def describe_group(
    state: engine.EngineState | None,
) -> tuple[bool, int, bool] | None:
    """Return what all entries learn at once when it changes; None if unreachable."""
    if state is None:
        return None
    return state.is_group_open, state.epoch, state.is_leaving


def describe_load(state: engine.EngineState | None) -> tuple[int, int] | None:
    """Return the load of an engine, None if it is unreachable."""
    return None if state is None else (state.running, state.waiting)


async def handle_leader_request(
    rank_agent: rankagent.RankAgent, msg: messages.Request
) -> messages.Reply | None:
    """Return the reply of a rank to a request of the group's leader."""
    if isinstance(msg, messages.ReadRank):
        reply = await rank_agent.read_rank(msg.with_demand, msg.with_experts)
        return reply or messages.UnavailableReply("the engine does not respond")
    if isinstance(msg, messages.OrderRank):
        order = engine.EngineOrder(
            msg.kind, msg.epoch, None, msg.version, msg.step, msg.experts
        )
        state = await rank_agent.apply_order(order)
        if state is None:
            return messages.UnavailableReply("the engine does not respond")
        return await rank_agent.make_reply(state, False, False)
    return None
