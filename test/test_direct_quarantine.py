"""Tests of requests that crash the targets that run them, and of their neighbours."""

import asyncio
import itertools
import random

import pytest

from sardinesaddle.direct import (
    crashkeeper,
    crashledger,
    messages,
    requeststate,
    rpc,
)
from test import crashingtargets
from test import directfleet as df

CONTACT_S = crashingtargets.CONTACT_S


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
        targets = crashingtargets.CrashingTargets(fleet)
        await targets.add(8, service)
        await fleet.settle()
        for attempt in range(30):
            await fleet.send_request(path, entry_index=attempt % 3)
            await fleet.settle(0.3)
        assert targets.count_late_sends() <= crashingtargets.MAX_LATE_SENDS

    df.run_scenario(scenario, entry_count=3)


@pytest.mark.parametrize("target_count", [3, 8])
def test_requests_beside_a_crashing_request_are_served(target_count: int) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(fleet)
        await targets.add(target_count)
        await fleet.settle()

        async def send_poisonous_request() -> None:
            for attempt in range(20):
                await fleet.send_request("/free/poison", entry_index=attempt % 3)
                await fleet.settle(0.2)

        poison_task = asyncio.create_task(send_poisonous_request())
        callers = []
        for number in range(60):
            # Each caller returns until it is served, the first time at another entry.
            entries = [(number + turn) % 3 for turn in range(12)]
            callers.append(fleet.send_until_served(f"/free/{number}", entries))
        results = await asyncio.gather(*callers)
        await poison_task
        assert [statuses[-1] for statuses in results] == [200] * 60
        assert len(targets.crash_times) <= 3

    df.run_scenario(scenario, entry_count=3)


def test_refusal_tells_the_caller_when_to_return() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(fleet)
        await targets.add(3)
        await fleet.settle()
        await fleet.send_request("/free/poison")
        response = await fleet.send_request("/free/poison")
        assert response.status == 503
        assert 0.0 < float(response.headers["retry-after"]) <= CONTACT_S
        await fleet.settle(CONTACT_S)
        response = await fleet.send_request("/free/poison")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 500.0
        assert len(targets.send_times) == 2

    df.run_scenario(scenario)


def test_entry_that_starts_later_refuses_the_crashing_request() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(fleet)
        await targets.add(4)
        await fleet.settle()
        await fleet.send_request("/free/poison")
        await fleet.settle(3.0)
        await fleet.add_entry()
        await fleet.settle(1.0)
        assert (await fleet.send_request("/free/poison", 2)).status == 503
        assert len(targets.crash_times) == 2

    df.run_scenario(scenario, entry_count=2)


def test_entry_that_lost_touch_refuses_the_crashing_request_once_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cut_off = {"127.0.1.3"}
    original_call = rpc.Peer.call

    async def call(
        self: rpc.Peer, msg: messages.Request, timeout_s: float
    ) -> messages.Reply | rpc.RpcFault:
        is_cut = isinstance(msg, messages.Heartbeat) and msg.sender in cut_off
        if is_cut or self.host in cut_off:
            return rpc.RpcFault("cut off")
        return await original_call(self, msg, timeout_s)

    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(fleet)
        await targets.add(6)
        await fleet.settle()
        monkeypatch.setattr(rpc.Peer, "call", call)
        await fleet.send_request("/free/poison", 0)
        await fleet.settle(12.0)  # the others count it as lost
        cut_off.clear()
        await fleet.settle(CONTACT_S)
        assert (await fleet.send_request("/free/poison", 2)).status == 503
        assert len(targets.crash_times) == 2

    df.run_scenario(scenario, entry_count=3)


def test_entries_that_all_restart_refuse_the_crashing_request() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(fleet)
        await targets.add(4)
        await fleet.settle()
        keeper = crashkeeper.CrashKeeper("sidecar", df.LoopClock())

        async def sync() -> None:
            while True:
                for number in range(len(fleet.entries)):
                    peer = rpc.Peer(f"127.0.1.{number + 1}", fleet.node_port)
                    await keeper.sync_if_due(peer)
                    peer.close()
                await asyncio.sleep(0.1)

        sync_task = asyncio.create_task(sync())
        await fleet.send_request("/free/poison")
        await fleet.settle(3.0)
        old_entries = list(fleet.entries)
        for _ in old_entries:
            await fleet.stop_first_entry()
        assert not fleet.entries
        await fleet.settle(1.0)
        for _ in old_entries:
            await fleet.add_entry()
        await fleet.settle(CONTACT_S)
        assert (await fleet.send_request("/free/poison", 1)).status == 503
        assert len(targets.crash_times) == 2
        sync_task.cancel()

    df.run_scenario(scenario, entry_count=2)


def test_broken_exchanges_with_running_targets_refuse_nothing() -> None:
    async def reset_after_request(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        df.reset_connection(writer)
        return False

    async def scenario(fleet: df.Fleet) -> None:
        for name in ("t1", "t2", "t3"):
            await fleet.add_target(name, "plain", reset_after_request)
        await fleet.settle()
        for _ in range(6):
            await fleet.send_request("/free/a")
            await fleet.settle(1.0)
        for target in fleet.targets.values():
            target.respond = df.respond_with_name
        assert (await fleet.send_request("/free/a")).status == 200

    df.run_scenario(scenario)


def test_end_of_a_leaving_target_counts_against_nobody() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(fleet)
        await targets.add(1)
        await fleet.settle()
        task = asyncio.create_task(fleet.send_request("/free/a"))
        await fleet.settle(0.1)
        fleet.register("plain-0", "plain", "draining")
        await fleet.settle(0.1)
        fleet.targets["plain-0"].crash()
        await task
        assert fleet.entries[0].crash_ledger.change_number == 0

    df.run_scenario(scenario)


def test_content_of_many_callers_survives_crashes_of_other_causes() -> None:
    # Every target runs the same content when two of the targets crash at once.
    async def scenario(fleet: df.Fleet) -> None:
        targets = crashingtargets.CrashingTargets(fleet)
        await targets.add(4)
        await fleet.settle()

        async def send_often() -> list[int]:
            statuses = []
            for number in range(60):
                response = await fleet.send_request("/free/hot", number % 3)
                statuses.append(response.status)
                await fleet.settle(0.05)
            return statuses

        callers = [asyncio.create_task(send_often()) for _ in range(6)]
        await fleet.settle(2.0)
        for name in ("plain-0", "plain-1"):
            fleet.targets[name].crash()
        results = await asyncio.gather(*callers)
        served = [status == 200 for statuses in results for status in statuses]
        assert sum(served) >= 0.95 * len(served)

    df.run_scenario(scenario, entry_count=3)


def test_caller_that_leaves_early_does_not_hide_a_crash() -> None:
    # The target crashes 20 ms after its caller has left.
    async def crash_late(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if "poison" in request.path:
            asyncio.get_running_loop().call_later(0.12, target.crash)
        await asyncio.sleep(0.2)
        writer.write(df.make_response(request.attempt_id))
        return True

    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain", crash_late)
        await fleet.settle()
        beside = asyncio.create_task(fleet.send_request("/free/beside"))
        await fleet.send_request("/free/poison", disconnect_after_s=0.1)
        await beside
        content_id = requeststate.compute_content_id(
            "/free/poison", "alice", b"question"
        )
        assert (
            crashingtargets.count_crashes(fleet.entries[0].crash_ledger, content_id)
            == 1
        )

    df.run_scenario(scenario)


def make_random_ledgers(seed: int) -> list[crashledger.CrashLedger]:
    """Return three ledgers that recorded crashes and completions at random."""
    rng = random.Random(seed)
    ledgers = [crashledger.CrashLedger() for _ in range(3)]
    for now in range(40):
        ledger = rng.choice(ledgers)
        content_id = f"c{rng.randrange(4)}"
        if rng.random() < 0.2:
            ledger.record_completion(now * 10.0, crashledger.Fingerprint(content_id))
        else:
            ledger.record_crash(
                now * 10.0, crashledger.Fingerprint(content_id), f"t{rng.randrange(6)}"
            )
    return ledgers


@pytest.mark.parametrize("seed", range(5))
def test_ledgers_agree_in_whatever_order_records_arrive(seed: int) -> None:
    now = 1000.0
    outcomes = []
    for order in itertools.permutations(range(3)):
        ledgers = make_random_ledgers(seed)
        merged = crashledger.CrashLedger()
        for index in (*order, order[0]):
            merged.merge(now, ledgers[index].list_changes(now, 0))
        outcomes.append(
            [
                (
                    crashingtargets.count_crashes(merged, c),
                    crashingtargets.compute_refusal_s(merged, now, c),
                )
                for c in ("c0", "c1", "c2", "c3")
            ]
        )
    assert outcomes == [outcomes[0]] * len(outcomes)


def test_crashes_that_a_quarantined_content_explains_do_not_count_against_others() -> (
    None
):
    ledger = crashledger.CrashLedger()
    for content_id, targets in {
        "poison": "ab",
        "poison-too": "cd",
        "beside-both": "ac",
        "beside-one": "b",
    }.items():
        for target in targets:
            ledger.record_crash(0.0, crashledger.Fingerprint(content_id), target)
    refused = [
        c for c in ledger._records if crashingtargets.compute_refusal_s(ledger, 1.0, c)
    ]
    assert refused == ["poison", "poison-too"]
    assert crashingtargets.count_crashes(ledger, "beside-both") == 0
    assert crashingtargets.count_crashes(ledger, "beside-one") == 0


def test_contents_with_the_same_crashes_may_run_once_more() -> None:
    ledger = crashledger.CrashLedger()
    for target in "ab":
        ledger.record_crash(0.0, crashledger.Fingerprint("poison"), target)
        ledger.record_crash(0.0, crashledger.Fingerprint("beside"), target)
    assert not ledger.count_refused(1.0)
    ledger.record_crash(5.0, crashledger.Fingerprint("poison"), "c")
    assert crashingtargets.compute_refusal_s(ledger, 6.0, "poison") > 0.0
    assert crashingtargets.compute_refusal_s(ledger, 6.0, "beside") == 0.0
    assert crashingtargets.count_crashes(ledger, "beside") == 0


def test_neighbour_is_refused_briefly_until_the_cause_is_known() -> None:
    ledger = crashledger.CrashLedger()
    other = crashledger.CrashLedger()
    for target in "ab":
        ledger.record_crash(0.0, crashledger.Fingerprint("beside"), target)
        other.record_crash(0.1, crashledger.Fingerprint("poison"), target)
    other.record_crash(0.1, crashledger.Fingerprint("poison"), "c")
    assert 0.0 < crashingtargets.compute_refusal_s(ledger, 0.2, "beside") <= CONTACT_S
    ledger.merge(0.3, other.list_changes(0.3, 0))
    assert crashingtargets.compute_refusal_s(ledger, 0.3, "beside") == 0.0


def test_completed_content_is_no_longer_refused() -> None:
    ledger = crashledger.CrashLedger()
    for number in range(3):
        ledger.record_crash(0.0, crashledger.Fingerprint("c"), f"t{number}")
    assert crashingtargets.compute_refusal_s(ledger, 10.0, "c") == 2390.0
    assert ledger.record_completion(10.0, crashledger.Fingerprint("c"))
    assert crashingtargets.compute_refusal_s(ledger, 10.0, "c") == 0.0
    assert not ledger.record_crash(11.0, crashledger.Fingerprint("c"), "t4")
    assert ledger.record_crash(20.0, crashledger.Fingerprint("c"), "t5")
    assert crashingtargets.count_crashes(ledger, "c") == 1


def test_ledger_keeps_the_latest_records_when_full() -> None:
    ledger = crashledger.CrashLedger()
    for number in range(crashledger.MAX_RECORDS + 1):
        ledger.record_crash(float(number), crashledger.Fingerprint(f"c{number}"), "t")
    assert crashingtargets.count_crashes(ledger, "c0") == 0
    assert crashingtargets.count_crashes(ledger, f"c{crashledger.MAX_RECORDS}") == 1
