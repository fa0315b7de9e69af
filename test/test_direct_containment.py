"""Tests that what crashes a rank costs one lock-step group, while the others serve."""

import asyncio

import pytest

from sardinesaddle.platform import headers
from test import crashinggroups
from test import directfleet as df

GUILTY = "bad0"
AIM_S = 0.4  # from a request to its first event


async def send(
    fleet: df.Fleet, number: int, path: str, *parts: str, body: str = ""
) -> df.ReceivedResponse:
    """Send a request to one entry after the other, by default with its own content."""
    text = ",".join(f"{part}:40" for part in (*parts, "0e"))
    return await fleet.send_request(
        path,
        entry_index=number % len(fleet.entries),
        extra_headers=((headers.PROMPT_PARTS, text),),
        body=(body or f"question {number}").encode(),
        deadline_ms=8000,
    )


async def send_sound(
    fleet: df.Fleet, seconds: float
) -> list[tuple[float, df.ReceivedResponse]]:
    """Send ten sound requests a second; return their times and responses."""
    loop = asyncio.get_running_loop()
    tasks = []
    for number in range(1000, 1000 + int(seconds * 10)):
        parts = ("aa", f"caller{number % 4}", f"doc{number % 25}")
        task = asyncio.create_task(send(fleet, number, "/stream/s", *parts))
        tasks.append((loop.time(), task))
        await asyncio.sleep(0.1)
    return [(at, await task) for at, task in tasks]


@pytest.mark.parametrize("group_count", [2, 4])
def test_part_that_crashes_ranks_costs_one_group_at_a_time(group_count: int) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        groups = crashinggroups.CrashingGroups(fleet, [GUILTY])
        await groups.add(group_count, 4)
        await fleet.settle(2.0)
        sound = asyncio.create_task(send_sound(fleet, 30.0))
        await fleet.settle(4.0)
        # A task that nothing refers to may be garbage collected, which closes its
        # connection; the entry then takes its caller for gone.
        guilty = []
        for number in range(16):
            parts = ("aa", f"caller{number % 4}", GUILTY)
            request = send(fleet, number, "/stream/g", *parts)
            guilty.append(asyncio.create_task(request))
            await fleet.settle(1.0)
        responses = await sound
        groups.stop()
        assert len(groups.crash_times) == 2
        assert groups.compute_most_broken() == 1
        first, last = groups.crash_times[0], groups.crash_times[-1]
        during = [
            response.status == 200 and response.is_complete
            for at, response in responses
            if first < at < last + crashinggroups.DOWN_S
        ]
        assert sum(during) >= 0.9 * len(during)
        after = {
            response.status
            for at, response in responses
            if at > last + crashinggroups.DOWN_S
        }
        assert after == {200}

    df.run_scenario(scenario, entry_count=3)


def test_content_that_crashes_ranks_costs_one_group_at_a_time() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        groups = crashinggroups.CrashingGroups(fleet)
        await groups.add(2, 4)
        await fleet.settle(2.0)
        sound = asyncio.create_task(send_sound(fleet, 20.0))
        await fleet.settle(2.0)
        for number in range(14):
            parts = ("aa", f"caller{number % 4}")
            await send(fleet, number, "/stream/poison", *parts, body="same")
            await fleet.settle(0.5)
        responses = await sound
        groups.stop()
        assert len(groups.crash_times) == 2
        assert groups.compute_most_broken() == 1
        served = [response.status == 200 for _, response in responses]
        assert sum(served) >= 0.9 * len(served)

    df.run_scenario(scenario, entry_count=3)


def test_suspect_is_refused_at_once_until_its_group_is_back() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        groups = crashinggroups.CrashingGroups(fleet, [GUILTY])
        await groups.add(2, 4)
        await fleet.settle(2.0)
        sound = asyncio.create_task(send_sound(fleet, 9.0))
        await fleet.settle(4.0)
        response = await send(fleet, 1, "/stream/g", "aa", GUILTY)
        # It may have run, so nothing else may be said; the caller may come back.
        assert response.status == 502
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        response = await send(fleet, 2, "/stream/g", "aa", GUILTY)
        assert response.status == 503
        assert response.finished_at - asked_at < 0.05
        back_at = groups.crash_times[0] + crashinggroups.DOWN_S
        return_at = response.finished_at + float(response.headers["retry-after"])
        assert back_at <= return_at <= back_at + 1.0
        await sound
        groups.stop()
        assert len(groups.crash_times) == 1

    df.run_scenario(scenario, entry_count=3)


def test_neighbours_of_a_lone_crash_run_once_the_group_is_back() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        groups = crashinggroups.CrashingGroups(fleet)
        await groups.add(2, 4)
        await fleet.settle(2.0)
        tasks = []
        for number in range(24):
            tasks.append(send(fleet, number, "/stream/s", "aa", f"rare{number}"))
        sent = asyncio.gather(*tasks)
        await fleet.settle(0.05)
        groups.crash_one_rank()
        first = [response.status for response in await sent]
        await fleet.settle(crashinggroups.DOWN_S)
        again = [
            (await send(fleet, number, "/stream/s", "aa", f"rare{number}")).status
            for number in range(24)
        ]
        groups.stop()
        # Those that ran on the rank itself and had no event yet: one in eight.
        assert first.count(200) >= 18
        assert again == [200] * 24

    df.run_scenario(scenario, entry_count=3)


def test_suspect_that_comes_late_runs_in_the_group_that_crashed() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        groups = crashinggroups.CrashingGroups(fleet)
        await groups.add(2, 4)
        await fleet.settle(2.0)
        await send(fleet, 0, "/stream/poison", "aa", body="same")
        await fleet.settle(12.0)
        tasks = [
            send(fleet, number, "/stream/poison", "aa", body="same")
            for number in range(3)
        ]
        await asyncio.gather(*tasks)
        groups.stop()
        assert groups.compute_most_broken() == 1

    df.run_scenario(scenario, entry_count=3)


def test_suspects_run_anywhere_if_their_group_does_not_come_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(crashinggroups, "DOWN_S", 60.0)

    async def scenario(fleet: df.Fleet) -> None:
        groups = crashinggroups.CrashingGroups(fleet)
        await groups.add(2, 2)
        await fleet.settle(2.0)
        tasks = [
            send(fleet, number, "/stream/s", "aa", f"rare{number}")
            for number in range(8)
        ]
        sent = asyncio.gather(*tasks)
        await fleet.settle(0.05)
        groups.crash_one_rank()
        await sent
        await fleet.settle(7.0)
        statuses = [
            (await send(fleet, number, "/stream/s", "aa", f"rare{number}")).status
            for number in range(8)
        ]
        groups.stop()
        assert statuses == [200] * 8

    df.run_scenario(scenario, entry_count=2)
