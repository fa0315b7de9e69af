"""Tests of requests that crash the targets that run them, and of their neighbours."""

import asyncio

import pytest

from test import directfleet as df

DOWNTIME_S = 2.0
CONTACT_S = 3.0  # the users' bound for a fact to be known at all entries
MAX_LATE_SENDS = 3  # the users' bound, after the third crash and CONTACT_S
REQUEST_S = 0.5  # of requests that crash nothing


class CrashingTargets:
    """Targets that crash when a request whose path contains "poison" begins to run.

    A crashed target comes back after ``DOWNTIME_S`` at its address with a new id. Times
    are the event loop's.
    """

    def __init__(self, fleet: df.Fleet) -> None:
        self._fleet = fleet
        self._tasks: set[asyncio.Task[None]] = set()
        self.send_times: list[float] = []
        self.crash_times: list[float] = []

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
        """Crash at the guilty request; respond to others after ``REQUEST_S``."""
        loop = asyncio.get_running_loop()
        if "poison" not in request.path:
            await asyncio.sleep(REQUEST_S)
            writer.write(df.make_response(request.attempt_id))
            return True
        self.send_times.append(loop.time())
        self.crash_times.append(loop.time())
        target.crash()
        task = loop.create_task(self._restart(target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return False

    async def _restart(self, target: df.ScriptedTarget) -> None:
        """Start a crashed target again as a new incarnation."""
        service = target.name.partition("-")[0]
        await asyncio.sleep(DOWNTIME_S)
        self._fleet.store.delete(f"servers/{target.name}")
        target.name += "+"
        self._fleet.targets[target.name] = target
        await target.start()
        self._fleet.register(target.name, service)

    def count_late_sends(self) -> int:
        """Count the sends later than ``CONTACT_S`` after the third crash."""
        if len(self.crash_times) < 3:
            return 0
        return sum(at > self.crash_times[2] + CONTACT_S for at in self.send_times)


@pytest.mark.parametrize(
    ("path", "service"),
    [
        ("/free/poison", "plain"),
        ("/once/poison", "plain"),
        ("/stream/poison", "engines"),
    ],
)
def test_request_that_crashes_targets_is_stopped_at_every_entry(
    path: str, service: str
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = CrashingTargets(fleet)
        await targets.add(8, service)
        await fleet.settle()
        for attempt in range(30):
            await fleet.send_request(path, entry_index=attempt % 3)
            await fleet.settle(0.3)
        assert targets.count_late_sends() <= MAX_LATE_SENDS

    df.run_scenario(scenario, entry_count=3)
