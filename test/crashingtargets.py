"""Targets for tests that crash when certain requests run.

These have a path that contains "poison", or one of some parts in their prompts.
"""

import asyncio
import enum
import typing

from sardinesaddle.direct import crashledger
from sardinesaddle.platform import headers
from test import directfleet as df

CONTACT_S: typing.Final = 3.0  # the users' bound for a fact to be known at all entries
MAX_LATE_SENDS: typing.Final = (
    3  # the users' bound, CONTACT_S after the last that counts
)
COUNTED_CRASHES: typing.Final = 3  # of a request
COUNTED_PART_CRASHES: typing.Final = 5  # of requests with a part in common
REQUEST_S: typing.Final = 0.5  # of requests that crash nothing
REGISTRATION_S: typing.Final = 0.1  # from the start of a target to its registration
LAPSE_S: typing.Final = 3.6  # three of the users' heartbeat intervals


class Ending(enum.Enum):
    """What the end of a target looks like to the entries."""

    # Connections are reset and then refused, until the target starts again.
    REFUSED = "refused"
    # The next incarnation listens at the address before the connections are reset.
    REPLACED = "replaced"
    # Connections stay open without a byte, new ones hang.
    SILENT = "silent"


class CrashingTargets:
    """Targets that crash when a poisonous request begins to run.

    That is one whose path contains "poison", or whose prompt has one of ``parts``. A
    crashed target comes back after ``downtime_s`` at its address with a new id; after
    ``Ending.REPLACED`` it is back at once. Its registration lapses after ``LAPSE_S``.
    With ``keeps_id`` it comes back under its id, and states a later start. Times are
    the event loop's.
    """

    def __init__(
        self,
        fleet: df.Fleet,
        ending: Ending = Ending.REFUSED,
        downtime_s: float = 2.0,
        keeps_id: bool = False,
        parts: typing.Collection[str] = (),
    ) -> None:
        self._fleet = fleet
        self._ending = ending
        self._downtime_s = downtime_s
        self._keeps_id = keeps_id
        self._parts = frozenset(parts)
        self._tasks: set[asyncio.Task[None]] = set()
        self.send_times: list[float] = []
        self.crash_times: list[float] = []

    def recover(self) -> None:
        """Let no part crash a target any more."""
        self._parts = frozenset()

    async def add(self, count: int, service: str = "plain") -> None:
        """Start and register a number of targets."""
        for number in range(count):
            name = f"{service}-{number}"
            await self._fleet.add_target(name, service, self._respond)

    async def _respond(
        self,
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Crash at a poisonous request; respond to others after ``REQUEST_S``."""
        loop = asyncio.get_running_loop()
        if df.is_misdirected(target, request):
            df.write_refusal(writer, headers.STATUS_MISDIRECTED)
            return True
        if not self._is_poisonous(request):
            await asyncio.sleep(REQUEST_S)
            writer.write(df.make_success(request, "done"))
            return True
        self.send_times.append(loop.time())
        self.crash_times.append(loop.time())
        if not self._keeps_id:
            self._start_task(self._let_lapse(target.name))
            target.name += "+"
        if self._ending is Ending.SILENT:
            target.fall_silent()
            self._start_task(self._restart(target))
            await asyncio.Event().wait()
        elif self._ending is Ending.REFUSED:
            target.crash()
            self._start_task(self._restart(target))
        else:
            await target.stop()
            await target.start()
            target.reset_connections()
            self._start_task(self._register(target))
        return False

    def _is_poisonous(self, request: df.ReceivedRequest) -> bool:
        """Return whether a request crashes the target that runs it."""
        parts = headers.parse_prompt_parts(
            request.headers.get(headers.PROMPT_PARTS.lower(), "")
        )
        return "poison" in request.path or not self._parts.isdisjoint(parts)

    def _start_task(self, coro: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _let_lapse(self, name: str) -> None:
        """Remove the registration of a target that ended."""
        await asyncio.sleep(LAPSE_S)
        self._fleet.store.delete(f"servers/{name}")

    async def _restart(self, target: df.ScriptedTarget) -> None:
        """Start a crashed target again as a new incarnation."""
        await asyncio.sleep(self._downtime_s)
        await target.start()
        await self._register(target)

    async def _register(self, target: df.ScriptedTarget) -> None:
        """Register the new incarnation of a target."""
        await asyncio.sleep(REGISTRATION_S)
        self._fleet.targets[target.name] = target
        service = target.name.partition("-")[0]
        started_ms = len(self.crash_times)
        self._fleet.register(target.name, service, started_ms=started_ms)

    def count_late_sends(self, crashes: int = COUNTED_CRASHES) -> int:
        """Count the sends later than ``CONTACT_S`` after that many crashes."""
        if len(self.crash_times) < crashes:
            return 0
        last_counted_at = self.crash_times[crashes - 1]
        return sum(at > last_counted_at + CONTACT_S for at in self.send_times)


def count_crashes(ledger: crashledger.CrashLedger, content_id: str) -> int:
    """Return how many crashes a content without parts may have caused."""
    return ledger.get_crash_count(0.0, crashledger.Fingerprint(content_id))


def compute_refusal_s(
    ledger: crashledger.CrashLedger, now: float, content_id: str
) -> float:
    """Return after how long callers of a content may come back, 0.0 for now."""
    refusal = ledger.find_refusal(now, crashledger.Fingerprint(content_id))
    return 0.0 if refusal is None else refusal.retry_after_s
