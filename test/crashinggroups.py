"""Lock-step groups of engines for tests: one rank's crash stops its whole group.

A rank streams three events. A rank that begins to write on a poisonous prompt crashes;
its connections end, new ones are refused. The other ranks of its group stall and cut
their streams. ``DOWN_S`` after the crash the group opens again in a new epoch. The
ranks' state is reported to all entries, as their sidecars do.
"""

import asyncio
import typing

from sardinesaddle.direct import messages
from sardinesaddle.platform import headers
from test import directfleet as df

DOWN_S: typing.Final = 3.0  # from a crash until the group is back
STALL_S: typing.Final = 1.5  # until ranks of a broken group cut their streams
READ_S: typing.Final = 0.1  # from a request to its first event
EVENT_S: typing.Final = 0.2  # between events
SLOTS: typing.Final = 4
REPORT_S: typing.Final = 0.1


class Group:
    """A lock-step group; ``broken_at`` are the event loop's times of its crashes."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.epoch = 1
        self.is_open = True
        self.broken_at: list[float] = []


class CrashingGroups:
    """Groups of ranks that crash under prompts with certain parts or paths."""

    def __init__(self, fleet: df.Fleet, parts: typing.Collection[str] = ()) -> None:
        self._fleet = fleet
        self._parts = frozenset(parts)
        self.groups: list[Group] = []
        self._group_of: dict[str, Group] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.crash_times: list[float] = []
        self.send_times: list[float] = []

    async def add(self, group_count: int, rank_count: int) -> None:
        """Start and register groups, and configure their service as lock-step."""
        config = df.make_config(version=2)
        engine = {"slots": SLOTS, "sets": 6, "experts": 64}
        config["services"] = [{"name": "plain"}, {"name": "engines", "engine": engine}]
        self._fleet.store.put("op/config", config)
        for number in range(group_count):
            group = Group(f"g{number}")
            self.groups.append(group)
            for rank in range(rank_count):
                name = f"g{number}-{rank}"
                self._group_of[name] = group
                await self._fleet.add_target(name, "engines", self._respond)
        self._start_task(self._report_regularly())

    def stop(self) -> None:
        """Cancel the reports and restarts."""
        for task in self._tasks:
            task.cancel()

    def compute_most_broken(self) -> int:
        """Return the largest number of groups that were broken at one time."""
        ends = [(at, 1) for group in self.groups for at in group.broken_at]
        ends += [(at + DOWN_S, -1) for at, _ in ends]
        most = broken = 0
        for _, change in sorted(ends):
            broken += change
            most = max(most, broken)
        return most

    def _start_task(self, coro: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _respond(
        self,
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Stream three events, crash, or stall with the group."""
        group = self._group_of[target.name]
        is_poisonous = self._is_poisonous(request)
        if is_poisonous:
            self.send_times.append(asyncio.get_running_loop().time())
        if df.is_misdirected(target, request):
            df.write_refusal(writer, headers.STATUS_MISDIRECTED)
            return True
        if not group.is_open:
            await asyncio.sleep(STALL_S)
            df.write_refusal(writer, 503)
            return True
        epoch = group.epoch
        await asyncio.sleep(READ_S)
        if is_poisonous and group.is_open:
            self._crash(target, group)
            return False
        last = int(request.headers.get(headers.LAST_EVENT.lower(), "-1"))
        writer.write(df.make_stream_head(request.attempt_id))
        for number in range(last + 1, 3):
            if not group.is_open or group.epoch != epoch:
                await asyncio.sleep(STALL_S)
                df.reset_connection(writer)
                return False
            writer.write(df.encode_chunk(df.make_sse_event(number)))
            await asyncio.sleep(EVENT_S)
        writer.write(df.encode_chunk(b""))
        return True

    def _is_poisonous(self, request: df.ReceivedRequest) -> bool:
        """Return whether a request crashes the rank that begins to write on it."""
        parts = headers.parse_prompt_parts(
            request.headers.get(headers.PROMPT_PARTS.lower(), "")
        )
        return "poison" in request.path or not self._parts.isdisjoint(parts)

    def _crash(self, target: df.ScriptedTarget, group: Group) -> None:
        """End a rank, and break its group until the rank is back."""
        now = asyncio.get_running_loop().time()
        self.crash_times.append(now)
        group.broken_at.append(now)
        group.is_open = False
        target.crash()
        self._start_task(self._restart(target, group))

    def crash_one_rank(self) -> None:
        """End the rank with most requests, which none of them caused."""
        targets = [self._fleet.targets[name] for name in self._group_of]
        target = max(targets, key=lambda target: len(target.requests))
        self._crash(target, self._group_of[target.name])

    async def _restart(self, target: df.ScriptedTarget, group: Group) -> None:
        """Start a rank again under a new id, and open its group."""
        await asyncio.sleep(DOWN_S - 0.2)
        old_name = target.name
        target.name += "+"
        self._group_of[target.name] = group
        self._fleet.targets[target.name] = target
        await target.start()
        self._fleet.register(target.name, "engines", started_ms=len(self.crash_times))
        self._fleet.store.delete(f"servers/{old_name}")
        await asyncio.sleep(0.2)
        group.epoch += 1
        group.is_open = True

    async def _report_regularly(self) -> None:
        """Report the state of all ranks to all entries."""
        while True:
            for target in set(self._fleet.targets.values()):
                group = self._group_of.get(target.name)
                if group is None:
                    continue
                rank = int(target.name.rstrip("+").partition("-")[2])
                running = sum(
                    request.received_at
                    > asyncio.get_running_loop().time() - READ_S - 3 * EVENT_S
                    for request in target.requests[-2 * SLOTS :]
                )
                report = messages.Report(
                    target.name, f"127.0.0.1:{target.port}", True, running, 0, 1.0,
                    group.name, group.epoch, rank, 4, group.is_open, 1.0,
                )  # fmt: skip
                for node in self._fleet.entries:
                    await node.handle_request(report)
            await asyncio.sleep(REPORT_S)
