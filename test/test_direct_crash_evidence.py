"""Tests of what shows that a target crashed, and of who learns it when."""

import asyncio

import pytest

from sardinesaddle.direct import crashledger, entrypeers, requeststate, upstream
from test import crashingtargets
from test import directfleet as df

POISONOUS_PATHS = [
    ("/free/poison", "plain"),
    ("/once/poison", "plain"),
    ("/stream/poison", "engines"),
]
RETURN_PERIOD_S = 0.4
RETURNS = 25


async def stay_silent(
    target: df.ScriptedTarget,
    request: df.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool:
    """Respond nothing until the caller disconnects."""
    await asyncio.Event().wait()
    return False


async def send_from_all_sides(fleet: df.Fleet, path: str) -> None:
    """Send a request again and again, to each entry in turn, as they are released."""
    loop = asyncio.get_running_loop()
    attempts = []
    for number in range(RETURNS):
        entry_index = number % len(fleet.entries)
        attempts.append(loop.create_task(fleet.send_request(path, entry_index)))
        await fleet.settle(RETURN_PERIOD_S)
    await asyncio.gather(*attempts)


@pytest.mark.parametrize(("path", "service"), POISONOUS_PATHS)
def test_request_is_stopped_if_crashed_targets_are_replaced_at_once(
    path: str, service: str
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(
            fleet, crashingtargets.Ending.REPLACED
        )
        await targets.add(8, service)
        await fleet.settle()
        await send_from_all_sides(fleet, path)
        assert targets.count_late_sends() <= crashingtargets.MAX_LATE_SENDS

    df.run_scenario(scenario, entry_count=3)


@pytest.mark.parametrize("downtime_s", [3.0, 30.0])
@pytest.mark.parametrize(("path", "service"), POISONOUS_PATHS)
def test_request_is_stopped_if_hosts_of_crashed_targets_fall_silent(
    path: str, service: str, downtime_s: float
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(
            fleet, crashingtargets.Ending.SILENT, downtime_s
        )
        await targets.add(24, service)
        await fleet.settle()
        await send_from_all_sides(fleet, path)
        assert targets.count_late_sends() <= crashingtargets.MAX_LATE_SENDS

    df.run_scenario(scenario, entry_count=3)


@pytest.mark.parametrize("ending", list(crashingtargets.Ending))
@pytest.mark.parametrize(("path", "service"), POISONOUS_PATHS)
def test_request_is_stopped_if_targets_restart_under_their_ids(
    path: str, service: str, ending: crashingtargets.Ending
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(
            fleet, ending, downtime_s=1.0, keeps_id=True
        )
        await targets.add(2, service)
        await fleet.settle()
        await send_from_all_sides(fleet, path)
        assert targets.count_late_sends() <= crashingtargets.MAX_LATE_SENDS

    df.run_scenario(scenario, entry_count=3)


@pytest.mark.parametrize("is_store_down", [False, True])
def test_request_is_stopped_if_the_first_probe_is_lost(
    is_store_down: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    probed = set()
    original_open_idle = upstream.ConnectionPool.open_idle

    async def open_idle(
        self: upstream.ConnectionPool,
        key: upstream.PoolKey,
        now: float,
        connect_timeout_s: float,
    ) -> upstream.Failure | None:
        if key not in probed:
            probed.add(key)
            await asyncio.sleep(connect_timeout_s)
            return upstream.Failure(upstream.FailureKind.CONNECT, False)
        return await original_open_idle(self, key, now, connect_timeout_s)

    async def scenario(fleet: df.Fleet) -> None:
        monkeypatch.setattr(upstream.ConnectionPool, "open_idle", open_idle)
        targets = crashingtargets.CrashingTargets(fleet)
        await targets.add(8)
        await fleet.settle()
        fleet.store.is_down = is_store_down
        # An anonymous route, since keys are not accepted during a longer outage.
        await send_from_all_sides(fleet, "/open/poison")
        assert targets.count_late_sends() <= crashingtargets.MAX_LATE_SENDS

    df.run_scenario(scenario, entry_count=3)


def test_crash_found_later_counts_against_a_caller_that_left() -> None:
    async def crash_late(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        asyncio.get_running_loop().call_later(0.12, target.crash)
        await asyncio.sleep(1.0)
        return False

    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain", crash_late)
        await fleet.settle()
        await fleet.send_request("/free/poison", disconnect_after_s=0.1)
        await fleet.settle(2.0)
        await fleet.send_request("/free/other")
        content_id = requeststate.compute_content_id(
            "/free/poison", "alice", b"question"
        )
        assert (
            crashingtargets.count_crashes(fleet.entries[0].crash_ledger, content_id)
            == 1
        )

    df.run_scenario(scenario)


def test_entry_that_restarts_among_many_refuses_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(fleet)
        await targets.add(4)
        await fleet.settle()
        # With hundreds of entries, each hears from another only now and then.
        monkeypatch.setattr(entrypeers, "HEARTBEAT_PERIOD_S", 30.0)
        await fleet.settle(1.0)
        await fleet.send_request("/free/poison")
        await fleet.settle(3.0)
        await fleet.stop_last_entry()
        await fleet.add_entry()
        await fleet.settle(0.3)
        assert (await fleet.send_request("/free/poison", 1)).status == 503
        assert len(targets.crash_times) == 2

    df.run_scenario(scenario, entry_count=2)


def test_full_ledger_keeps_a_content_with_two_crashes() -> None:
    ledger = crashledger.CrashLedger()
    for target in ("a", "b"):
        ledger.record_crash(0.0, crashledger.Fingerprint("poison"), target)
    for number in range(2 * crashledger.MAX_RECORDS):
        ledger.record_crash(10.0, crashledger.Fingerprint(f"beside-{number}"), "c")
    assert crashingtargets.compute_refusal_s(ledger, 11.0, "poison") > 0.0


def test_request_ends_when_its_silent_target_is_replaced() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(
            fleet, crashingtargets.Ending.SILENT, downtime_s=1.5
        )
        await targets.add(1)
        await fleet.settle()
        began_at = asyncio.get_running_loop().time()
        response = await fleet.send_request("/once/poison")
        assert response.status == 502
        assert response.finished_at - began_at < 2.0

    df.run_scenario(scenario)


def test_request_counts_a_crash_if_its_silent_target_restarts_under_its_id() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(
            fleet, crashingtargets.Ending.SILENT, downtime_s=1.0, keeps_id=True
        )
        await targets.add(1)
        await fleet.settle()
        assert (await fleet.send_request("/once/poison")).status == 502
        content_id = requeststate.compute_content_id(
            "/once/poison", "alice", b"question"
        )
        assert (
            crashingtargets.count_crashes(fleet.entries[0].crash_ledger, content_id)
            == 1
        )

    df.run_scenario(scenario)


def test_request_sent_on_idle_connections_of_silent_hosts_counts_no_crash() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = [await fleet.add_target(name, "plain") for name in ("t1", "t2")]
        await fleet.settle()
        # Both targets get a connection that stays idle.
        await asyncio.gather(*(fleet.send_request("/free/0") for _ in range(4)))
        assert {len(target.requests) > 0 for target in targets} == {True}
        for target in targets:
            target.respond = stay_silent
            target.fall_silent()
        assert (await fleet.send_request("/free/a")).status != 200
        for target in targets:
            await target.start()
            target.respond = df.respond_with_name
            target.name += "+"
            fleet.targets[target.name] = target
            fleet.register(target.name, "plain")
        await fleet.settle()
        assert (await fleet.send_request("/free/a")).status == 200

    df.run_scenario(scenario)


def test_targets_that_only_lost_touch_count_against_nobody() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        for name in ("t1", "t2"):
            await fleet.add_target(name, "plain", stay_silent)
        await fleet.settle()
        for target in fleet.targets.values():
            target.fall_silent()
        for entry_index in (0, 1):
            await fleet.send_request("/free/a", entry_index)
        for target in fleet.targets.values():
            target.respond = df.respond_with_name
            await target.start()
        # Other requests show that the targets run.
        for number in range(8):
            await fleet.send_request(f"/free/{number}", number % 2)
            await fleet.settle(0.5)
        for entry_index in (0, 1):
            assert (await fleet.send_request("/free/a", entry_index)).status == 200

    df.run_scenario(scenario, entry_count=2)


@pytest.mark.parametrize("target_count", [3, 8])
@pytest.mark.parametrize("ending", list(crashingtargets.Ending))
def test_requests_beside_a_crashing_request_are_served_however_targets_end(
    ending: crashingtargets.Ending, target_count: int
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(fleet, ending, downtime_s=3.0)
        await targets.add(target_count)
        await fleet.settle()
        poison_task = asyncio.create_task(send_from_all_sides(fleet, "/free/poison"))
        callers = []
        for number in range(40):
            entries = [(number + turn) % 3 for turn in range(30)]
            callers.append(fleet.send_until_served(f"/free/{number}", entries))
        results = await asyncio.gather(*callers)
        await poison_task
        assert [statuses[-1] for statuses in results] == [200] * 40
        assert targets.count_late_sends() <= crashingtargets.MAX_LATE_SENDS

    df.run_scenario(scenario, entry_count=3)
