"""Runs a rank's membership in its group over the links between sidecars.

The runner connects to the sidecars of the group's other ranks, which the table lists,
and sends its engine the orders that follow from the member's decisions. Before its
first order it reads the engine's current order, because a sidecar keeps no state of
its own over a restart. Orders name absolute steps, so they can be repeated.
"""

import asyncio
import collections.abc
import typing

import loguru

from sardinesaddle import (
    external,
    group,
    groupwire,
    membership,
    peer,
    steps,
    table,
    wire,
)

POLL_PERIOD_S: typing.Final = 0.2
EXPECTED_STEPS_PER_S: typing.Final = 50.0  # converts the group's horizon to steps


class GroupRunner(peer.PeerListener):
    """The rank of this sidecar's target in its group, if the table names a group."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        incarnation: int,
        hello: wire.Hello,
        secret: bytes,
        hosts: external.HostSource,
        target: external.Target,
        make_heartbeat: collections.abc.Callable[[], wire.Heartbeat],
    ) -> None:
        self._loop = loop
        self._name = name
        self._incarnation = incarnation
        self._hello = hello
        self._secret = secret
        self._hosts = hosts
        self._target = target
        self._make_heartbeat = make_heartbeat
        self._members: tuple[str, ...] = ()
        self._peers: dict[str, peer.SidecarPeer] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_order: tuple[steps.PlanId, int] = ((0, 0), 0)
        self.group = ""
        self.member: group.Member | None = None
        self.wanted_map_version = 0

    def apply_table(self, tab: table.Table) -> None:
        """Join, change or leave the group according to a table.

        Ranks are the indices of the group's active targets in the order of names.
        """
        row = tab.targets.get(self._name)
        name = row.group if row is not None and row.state == "active" else ""
        members = tuple(
            sorted(
                target_row.target
                for target_row in tab.rows.targets
                if target_row.group == name and target_row.state == "active"
            )
        )
        if not name:
            members = ()
        if (name, members) == (self.group, self._members):
            return
        self.stop()
        self.group, self._members = name, members
        if len(members) > 1:
            self._spawn(self._run_member())

    def stop(self) -> None:
        """Leave the group: cancel all tasks and close the links to its ranks."""
        for task in list(self._tasks):
            task.cancel()
        for sidecar_peer in self._peers.values():
            sidecar_peer.stop()
        self._peers.clear()
        self.member = None

    def _spawn(self, coro: collections.abc.Coroutine[None, None, None]) -> None:
        """Start a task that ``stop`` cancels."""
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_member(self) -> None:
        """Restore the member's state from the engine, then tick it until cancelled."""
        engine_steps = await self._read_engine_steps()
        member = group.Member(
            self._loop.time(),
            self._members.index(self._name),
            len(self._members),
            self._incarnation,
            is_first_start=False,
            steps_per_s=EXPECTED_STEPS_PER_S,
        )
        member.on_engine_order(engine_steps)
        self.member = member
        self._spawn(self._poll_engine())
        while True:
            await asyncio.sleep(group.TICK_S)
            member.wanted_map_version = self.wanted_map_version
            self._execute(member.tick(self._loop.time()))
            await self._send_order(member)

    async def _read_engine_steps(self) -> external.StepsState:
        """Return the engine's step state; retry until the engine answers."""
        while True:
            engine_steps = await self._target.read_steps()
            if isinstance(engine_steps, external.StepsState):
                return engine_steps
            await asyncio.sleep(POLL_PERIOD_S)

    async def _poll_engine(self) -> None:
        """Poll the engine's last step, and connect to ranks without a link."""
        while True:
            if len(self._peers) < len(self._members) - 1:
                await self._connect()
            engine_steps = await self._target.read_steps()
            if (
                isinstance(engine_steps, external.StepsState)
                and self.member is not None
            ):
                self.member.rank_steps.on_step_run(engine_steps.ran_step)
            await asyncio.sleep(POLL_PERIOD_S)

    async def _connect(self) -> None:
        """Connect to the ranks that the host list contains, unless connected."""
        rows = await self._hosts.list_hosts()
        if isinstance(rows, external.Unavailable):
            return
        for row in rows:
            if row.name == self._name or row.name not in self._members:
                continue
            if row.name not in self._peers:
                view = membership.TargetView(row.name, "", row.place, 1.0)
                sidecar_peer = peer.SidecarPeer(
                    self._loop,
                    self,
                    view,
                    row.host,
                    row.port,
                    self._hello,
                    self._secret,
                )
                self._peers[row.name] = sidecar_peer
                sidecar_peer.start()

    async def _send_order(self, member: group.Member) -> None:
        """Order the engine to run up to the grant, unless it accepted that already."""
        rank_steps = member.rank_steps
        order_id = (rank_steps.plan.plan_id, rank_steps.last_step)
        if order_id == self._last_order or not rank_steps.last_step:
            return
        order = external.StepsOrder(
            rank_steps.plan.epoch,
            rank_steps.plan.number,
            rank_steps.plan.maps,
            rank_steps.last_step,
        )
        if await self._target.send_steps_order(order) is True:
            self._last_order = order_id

    async def _load_map(self, version: int) -> None:
        """Load a map's weights on the engine and report the result to the member."""
        member = self.member
        loaded = await self._target.load_map(version)
        if member is not None and member is self.member:
            self._execute(member.on_loaded(version, loaded is True))

    def _execute(self, actions: list[group.Action]) -> None:
        """Execute the member's actions."""
        for action in actions:
            if isinstance(action, group.LoadMap):
                self._spawn(self._load_map(action.version))
            else:
                self._send(action)

    def _send(self, action: group.SendMessage) -> None:
        """Send a message to a rank; one to this rank is handled at once."""
        member = self.member
        assert member is not None
        if action.to_rank == member.rank:
            replies = member.on_message(self._loop.time(), member.rank, action.msg)
            self._execute(replies)
            return
        sidecar_peer = self._peers.get(self._members[action.to_rank])
        if sidecar_peer is not None:
            body = groupwire.encode_group_message(action.msg)
            sidecar_peer.send(wire.GroupMessage(self.group, member.rank, body))

    def on_group_message(self, msg: wire.GroupMessage) -> None:
        """Handle a message from another rank; drop it if it is of another group."""
        if self.member is None or msg.group != self.group:
            return
        decoded = groupwire.decode_group_message(msg.body)
        if isinstance(decoded, groupwire.GroupMessageFault):
            loguru.logger.warning("event=group_fault reason={!r}", decoded.reason)
            return
        self._execute(self.member.on_message(self._loop.time(), msg.sender, decoded))

    def on_peer_message(self, sidecar: peer.SidecarPeer, msg: wire.Message) -> None:
        """Ignore messages other than group messages."""

    def make_heartbeat(self) -> wire.Heartbeat:
        """Return a heartbeat with the sidecar's state, for the links to other ranks."""
        return self._make_heartbeat()

    def describe(self) -> dict[str, object]:
        """Return the group's part of the status page; empty without a group."""
        member = self.member
        if member is None:
            return {}
        rank_steps = member.rank_steps
        return {
            "group": self.group,
            "rank": member.rank,
            "ranks": member.ranks,
            "joined": rank_steps.is_joined,
            "leader_rank": member.leader_rank,
            "leads": member.leader is not None,
            "epoch": rank_steps.promised_epoch,
            "map": rank_steps.plan.find_map(rank_steps.ran_step + 1),
            "maps": [list(pair) for pair in rank_steps.plan.maps],
            "ran_step": rank_steps.ran_step,
            "last_step": rank_steps.last_step,
        }
