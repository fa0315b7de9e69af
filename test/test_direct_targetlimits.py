"""Tests that a target gets no more requests than the limit that it states."""

import asyncio

import pytest

from test import directfleet as df
from test import limitedtargets as lt

SECONDS = 16.0


async def send_steadily(
    fleet: df.Fleet,
    entry_index: int,
    period_s: float,
    seconds: float = SECONDS,
    path: str = "/free/a",
) -> list[df.ReceivedResponse]:
    """Send requests to an entry, one each period; return the responses."""
    tasks = []
    for _ in range(round(seconds / period_s)):
        tasks.append(asyncio.create_task(fleet.send_request(path, entry_index)))
        await asyncio.sleep(period_s)
    return await asyncio.gather(*tasks)


async def add_limited(
    fleet: df.Fleet, limit: str, others: int, service: str = "plain"
) -> lt.LimitedTarget:
    """Add a target with a limit and others without one."""
    limited = lt.LimitedTarget(limit)
    await fleet.add_target("limited", service, limited.respond)
    for number in range(others):
        await fleet.add_target(f"other-{number}", service)
    await fleet.settle()
    return limited


@pytest.mark.parametrize(("entry_count", "limit"), [(4, "1"), (8, "0.5"), (4, "5")])
def test_all_entries_together_keep_to_the_limit_of_a_target(
    entry_count: int, limit: str
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        limited = await add_limited(fleet, limit, 2)
        results = await asyncio.gather(
            *(send_steadily(fleet, n, 0.1) for n in range(entry_count))
        )
        worst = limited.count_worst_window()
        assert worst <= lt.compute_allowed(float(limit))
        assert worst >= 1
        assert {r.status for responses in results for r in responses} == {200}

    df.run_scenario(scenario, entry_count=entry_count)
