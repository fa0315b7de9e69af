"""Tests of targets that ask an entry for rest (503 with Retry-After)."""

import asyncio

import pytest

from test import directfleet as df
from test import restingtargets


async def load(fleet: df.Fleet, path: str, seconds: float) -> list[int]:
    """Send 20 requests a second for a while; return the statuses."""
    tasks = []
    for _ in range(int(seconds * 20)):
        tasks.append(asyncio.create_task(fleet.send_request(path)))
        await asyncio.sleep(0.05)
    return [response.status for response in await asyncio.gather(*tasks)]


@pytest.mark.parametrize("path", ["/once/a", "/free/a", "/stream/a", "/unique/a"])
@pytest.mark.parametrize("states_not_run", [True, False])
@pytest.mark.parametrize("others", [0, 2])
def test_resting_target_gets_nothing_from_the_entry_that_it_asked(
    path: str, states_not_run: bool, others: int
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        resting = restingtargets.RestingTarget("5", states_not_run)
        service = "plain" if path in ("/once/a", "/free/a") else "engines"
        await fleet.add_target("t0", service, resting.respond)
        for number in range(others):
            await fleet.add_target(f"t{number + 1}", service)
        await fleet.settle()
        await load(fleet, path, 6.0)
        during = [at for at in resting.arrivals if at < resting.refused[0] + 5.0]
        assert len(during) <= 1 + restingtargets.MAX_SENDS
        assert not resting.faults

    df.run_scenario(scenario)
