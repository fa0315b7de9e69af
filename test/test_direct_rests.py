"""Tests of targets that ask an entry for rest (503 with Retry-After)."""

import asyncio

import pytest

from sardinesaddle.direct import catalog, targetlimits, targetpool, targetrests
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


async def refuse_all(
    fleet: df.Fleet, rest: str, count: int = 2
) -> list[restingtargets.RestingTarget]:
    """Start targets that ask for rest, and let each of them refuse a request."""
    resting = [restingtargets.RestingTarget(rest) for _ in range(count)]
    for number, target in enumerate(resting):
        await fleet.add_target(f"t{number}", "plain", target.respond)
    await fleet.settle()
    while not all(target.refused for target in resting):
        await fleet.send_request("/free/a")
    return resting


def test_callers_are_told_at_once_when_the_first_rest_ends() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        resting = await refuse_all(fleet, "6")
        loop = asyncio.get_running_loop()
        first_end = min(target.refused[0] for target in resting) + 6.0
        returns = []
        for _ in range(20):
            asked_at = loop.time()
            response = await fleet.send_request("/once/a")
            assert response.status == 503
            assert response.finished_at - asked_at < 0.05
            returns.append(loop.time() + float(response.headers["retry-after"]))
        assert all(first_end - 0.01 <= at <= first_end + 5.0 for at in returns)
        # They do not come back together, and the first one refused returns first.
        assert returns == sorted(returns)
        gaps = [b - a for a, b in zip(returns, returns[1:], strict=False)]
        assert min(gaps) > 0.0

    df.run_scenario(scenario)


def test_requests_return_gradually_after_a_rest() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        (resting,) = await refuse_all(fleet, "2", 1)
        ends_at = resting.refused[0] + 2.0
        resting.rest = None
        tasks = []
        for _ in range(120):
            tasks.append(asyncio.create_task(fleet.send_request("/free/a")))
            await asyncio.sleep(0.05)
        statuses = [response.status for response in await asyncio.gather(*tasks)]
        after = [at - ends_at for at in resting.arrivals if at > ends_at]
        for end, allowed in ((0.1, 2), (0.5, 4), (1.0, 9), (2.0, 25)):
            assert sum(at <= end for at in after) <= allowed
        assert sum(at <= 3.0 for at in after) >= 40
        assert statuses[-20:] == [200] * 20

    df.run_scenario(scenario)


def test_requests_that_can_wait_for_the_end_of_a_rest_do_so() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        (resting,) = await refuse_all(fleet, "0.8", 1)
        ends_at = resting.refused[0] + 0.8
        resting.rest = None
        tasks = [fleet.send_request("/once/a") for _ in range(2)]
        responses = await asyncio.gather(*tasks)
        assert [response.status for response in responses] == [200, 200]
        assert min(resting.arrivals[1:]) >= ends_at

    df.run_scenario(scenario)


@pytest.mark.parametrize("rest", ["-1", "inf", "nan", "1e9", "soon", "", "0", "0.0"])
def test_time_of_rest_that_is_no_number_or_zero_stops_nothing(rest: str) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        (resting,) = await refuse_all(fleet, rest, 1)
        resting.rest = None
        await fleet.settle(0.3)
        assert (await fleet.send_request("/once/a")).status == 200

    df.run_scenario(scenario)


def test_endless_rest_is_cut_to_a_bound() -> None:
    rests = targetrests.TargetRests()
    rests.on_refusal(0.0, "t1", float("9" * 40))
    assert rests.compute_wait_s(1.0, "t1") == targetrests.MAX_REST_S - 1.0


def test_rest_that_ends_last_counts() -> None:
    rests = targetrests.TargetRests()
    rests.on_refusal(0.0, "t1", 5.0)
    rests.on_refusal(1.0, "t1", 2.0)
    assert rests.compute_wait_s(1.0, "t1") == 4.0
    rests.on_refusal(2.0, "t1", 6.0)
    assert rests.compute_wait_s(2.0, "t1") == 6.0
    rests.forget(12.0)
    assert not rests.compute_wait_s(12.0, "t1")


def test_next_incarnation_at_the_address_rests_from_nothing() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        (resting,) = await refuse_all(fleet, "30", 1)
        assert (await fleet.send_request("/once/a")).status == 503
        resting.rest = None
        fleet.register("t0", "plain", started_ms=7)
        await fleet.settle(0.1)
        assert (await fleet.send_request("/once/a")).status == 200

    df.run_scenario(scenario)


def test_other_entries_may_send_to_a_target_that_asked_one_for_rest() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        (resting,) = await refuse_all(fleet, "5", 1)
        resting.rest = None
        await fleet.settle()
        assert (await fleet.send_request("/once/a", 1)).status == 200
        assert (await fleet.send_request("/once/a", 0)).status == 503

    df.run_scenario(scenario, entry_count=2)


def test_stream_is_not_resumed_at_a_resting_target() -> None:
    async def break_off(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(df.make_stream_head(request.attempt_id))
        writer.write(df.encode_chunk(df.make_sse_event(0)))
        await asyncio.sleep(0.1)
        df.reset_connection(writer)
        return False

    async def scenario(fleet: df.Fleet) -> None:
        resting = restingtargets.RestingTarget("5")
        await fleet.add_target("t0", "engines", resting.respond)
        await fleet.settle()
        while not resting.refused:
            await fleet.send_request("/stream/a")
        await fleet.add_target("t1", "engines", break_off)
        await fleet.settle()
        response = await fleet.send_request("/stream/a")
        assert response.status == 200
        assert not response.is_complete
        assert len(resting.arrivals) == 1

    df.run_scenario(scenario)


def test_target_that_rests_and_states_a_limit_gets_what_both_allow() -> None:
    limits = targetlimits.TargetLimits("e", 0.0)
    pool = targetpool.TargetPool("p", limits)
    pool.set_entries("e", ())
    registration = catalog.TargetRegistration(
        "t1", "plain", "h", 80, "p", 4, catalog.TargetState.READY, 0.0
    )
    pool.register(registration)
    limits.refresh(0.0, (), (), pool.list_incarnations())
    limits.on_response(0.0, registration.incarnation, 0.0, 2.0)
    now = targetlimits.SPREADING_S
    limits.refresh(now, (), (), pool.list_incarnations())
    pool.rests.on_refusal(now, registration.incarnation, 3.0)
    assert pool.compute_wait_s(now, "plain", (), 0) == 3.0
    # The return after the rest does not wait, but the limit's bucket is empty.
    later = now + 3.0
    wait_s = pool.compute_wait_s(later, "plain", (), 0)
    assert wait_s == limits.compute_wait_s(later, [registration.incarnation], 0)
