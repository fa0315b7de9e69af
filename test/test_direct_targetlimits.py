"""Tests that targets get no more requests than the limits that they state."""

import asyncio
import random

import pytest

from sardinesaddle.bench import targetlimits as bench
from sardinesaddle.direct import (
    catalog,
    entrypeers,
    limitshares,
    limitstatements,
    messages,
    requestqueue,
    returntimes,
    rpc,
    targetlimits,
    targetpool,
)
from sardinesaddle.platform import headers
from test import directfleet as df
from test import limitedtargets as lt

SECONDS = 16.0
PERIOD_S = 0.1  # between the requests to an entry


async def send_steadily(
    fleet: df.Fleet,
    entry_index: int = 0,
    path: str = "/free/a",
    seconds: float = SECONDS,
) -> list[df.ReceivedResponse]:
    """Send a request to an entry each period; return the responses."""
    tasks = []
    for _ in range(round(seconds / PERIOD_S)):
        tasks.append(asyncio.create_task(fleet.send_request(path, entry_index)))
        await asyncio.sleep(PERIOD_S)
    return await asyncio.gather(*tasks)


async def add_limited(
    fleet: df.Fleet, limit: str, others: int = 0, service: str = "plain"
) -> lt.LimitedTarget:
    """Add a target with a limit and others without one."""
    limited = lt.LimitedTarget(limit)
    await fleet.add_target("limited", service, limited.respond)
    for number in range(others):
        await fleet.add_target(f"other-{number}", service)
    await fleet.settle()
    return limited


def list_statuses(responses: list[df.ReceivedResponse]) -> set[int]:
    """Return the statuses of responses."""
    return {response.status for response in responses}


@pytest.mark.parametrize(("entry_count", "limit"), [(4, "1"), (8, "0.5"), (4, "5")])
def test_all_entries_together_keep_to_the_limit_of_a_target(
    entry_count: int, limit: str
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        limited = await add_limited(fleet, limit, 2)
        results = await asyncio.gather(
            *(send_steadily(fleet, n) for n in range(entry_count))
        )
        worst = limited.count_worst_window()
        assert worst <= lt.compute_allowed(float(limit))
        assert worst >= 1
        assert set.union(*map(list_statuses, results)) == {200}

    df.run_scenario(scenario, entry_count=entry_count)


def test_entry_with_all_the_demand_uses_most_of_a_limit() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        limited = await add_limited(fleet, "5")
        await send_steadily(fleet, 2, seconds=20.0)
        assert limited.count_worst_window() <= lt.compute_allowed(5.0)
        late = [at for at in limited.arrivals if at > limited.arrivals[-1] - 10.0]
        assert len(late) >= 0.8 * 5.0 * 10.0

    df.run_scenario(scenario, entry_count=3)


def test_entry_that_stops_leaves_its_part_to_the_others() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await add_limited(fleet, "4")
        await asyncio.gather(*(send_steadily(fleet, n, seconds=4.0) for n in range(2)))
        loop = asyncio.get_running_loop()
        draining = loop.create_task(fleet.entries[1].drain())
        await send_steadily(fleet, 0, seconds=4.0)
        (part,) = fleet.entries[0].limits.list_parts().values()
        assert part == pytest.approx(4.0 * targetlimits.RATE_FACTOR)
        await draining

    df.run_scenario(scenario, entry_count=2)


def test_entries_that_restart_keep_to_the_limit() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        limited = await add_limited(fleet, "2", 1)

        async def restart_entries() -> None:
            for _ in range(5):
                await asyncio.sleep(2.5)
                await fleet.stop_last_entry()
                await fleet.add_entry()

        tasks = [asyncio.create_task(send_steadily(fleet, n)) for n in range(2)]
        await restart_entries()
        await asyncio.gather(*tasks)
        assert limited.count_worst_window() <= lt.compute_allowed(2.0)

    df.run_scenario(scenario, entry_count=3)


def test_entries_that_are_cut_from_each_other_keep_to_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = entrypeers.EntryPeers._send_heartbeat
    is_parted = False

    async def send_heartbeat(
        self: entrypeers.EntryPeers, peer: rpc.Peer, cursor: entrypeers.LedgerCursor
    ) -> None:
        sides = {host[-1] in "13" for host in (self._host, peer.host)}
        if not is_parted or len(sides) == 1:
            await original(self, peer, cursor)

    monkeypatch.setattr(entrypeers.EntryPeers, "_send_heartbeat", send_heartbeat)

    async def scenario(fleet: df.Fleet) -> None:
        nonlocal is_parted
        limited = await add_limited(fleet, "5")
        # All demand at one entry of each side, and the sides lose each other.
        first = asyncio.create_task(send_steadily(fleet, 0, seconds=24.0))
        await asyncio.sleep(4.0)
        is_parted = True
        await send_steadily(fleet, 1, seconds=20.0)
        await first
        assert limited.count_worst_window() <= lt.compute_allowed(5.0)

    df.run_scenario(scenario, entry_count=4)


async def refuse_with_limit(
    target: df.ScriptedTarget, request: df.ReceivedRequest, writer: asyncio.StreamWriter
) -> bool:
    """Respond that the request did not run, with a limit of 1 a second."""
    fields = ((headers.NOT_RUN, "1"), ("Content-Length", "0"), (lt.LIMIT_HEADER, "1"))
    writer.write(df.make_response_head(503, *fields))
    return True


async def break_off_with_limit(
    target: df.ScriptedTarget, request: df.ReceivedRequest, writer: asyncio.StreamWriter
) -> bool:
    """Send the next event of a stream, with a limit of 1 a second, and break off."""
    writer.write(df.make_stream_head(request.attempt_id, [(lt.LIMIT_HEADER, "1")]))
    number = int(request.headers.get("last-event-id", "0")) + 1
    writer.write(df.encode_chunk(df.make_sse_event(number)))
    await asyncio.sleep(0.02)
    df.reset_connection(writer)
    return False


@pytest.mark.parametrize(
    ("path", "service", "respond"),
    [
        ("/free/a", "plain", refuse_with_limit),
        ("/once/a", "plain", refuse_with_limit),
        ("/stream/a", "engines", break_off_with_limit),
    ],
)
def test_retries_and_resumed_streams_count_against_the_limit(
    path: str, service: str, respond: df.Responder
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        for name in ("t1", "t2"):
            await fleet.add_target(name, service, respond)
        await fleet.settle()
        await asyncio.gather(*(send_steadily(fleet, n, path) for n in range(2)))
        for target in fleet.targets.values():
            times = [request.received_at for request in target.requests]
            late = [at for at in times if at >= times[0] + lt.CONTACT_S]
            assert late
            assert lt.count_worst_window(late) <= lt.compute_allowed(1.0)

    df.run_scenario(scenario, entry_count=2)


def test_request_beyond_the_limit_is_refused_at_once_with_a_time() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        limited = await add_limited(fleet, "0.5")
        await fleet.send_request("/free/first")
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        responses = [await fleet.send_request(f"/free/{n}") for n in range(4)]
        assert [response.status for response in responses] == [503] * 4
        assert loop.time() - began_at < 0.1
        delays = [float(response.headers["retry-after"]) for response in responses]
        assert delays == sorted(delays)
        assert delays[0] >= 1.5
        await asyncio.sleep(delays[0])
        assert (await fleet.send_request("/free/0")).status == 200
        assert len(limited.arrivals) == 2

    df.run_scenario(scenario)


def test_request_waits_for_a_rank_without_a_limit_that_reopens() -> None:
    limits = targetlimits.TargetLimits("e", -10.0)
    pool = targetpool.TargetPool("p", limits)
    pool.lockstep_services = frozenset({"engines"})
    for number, is_open in enumerate((True, False)):
        pool.register(make_registration(number))
        group = f"g{number}"
        pool.on_report(0.0, make_report(number, group, is_open))
    limits.on_response(0.0, "r0@0", 0.0, 0.5)
    assert pool.compute_wait_s(0.1, "engines", (), 0) is None
    assert pool.compute_wait_s(0.1, "engines", ("r1",), 0) is not None


def make_registration(number: int) -> catalog.TargetRegistration:
    """Return the registration of a rank."""
    return catalog.TargetRegistration(
        target_id=f"r{number}",
        service="engines",
        host=f"10.0.0.{number}",
        port=80,
        place="p",
        slots=4,
        state=catalog.TargetState.READY,
        warmup_s=0.0,
    )


def make_report(number: int, group: str, is_open: bool) -> messages.Report:
    """Return a sidecar's report on a rank."""
    return messages.Report(
        sender=f"s{number}",
        target=f"10.0.0.{number}:80",
        is_alive=True,
        running=0,
        waiting=0,
        slowdown=1.0,
        group=group,
        epoch=1,
        rank=number,
        size=1,
        is_group_open=is_open,
        skew=1.0,
    )


def test_request_waits_for_a_limit_that_reaches_it_in_time() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await add_limited(fleet, "2")
        await fleet.send_request("/free/first")
        assert (await fleet.send_request("/free/second")).status == 200

    df.run_scenario(scenario)


@pytest.mark.parametrize("limit", ["0", "0.5"])
def test_limit_that_ends_is_noticed(limit: str) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        limited = await add_limited(fleet, limit)
        await asyncio.gather(*(send_steadily(fleet, n, seconds=4.0) for n in range(2)))
        limited.limit = None
        await asyncio.gather(*(send_steadily(fleet, n, seconds=8.0) for n in range(2)))
        limited.arrivals.clear()
        results = await asyncio.gather(
            *(send_steadily(fleet, n, seconds=2.0) for n in range(2))
        )
        assert set.union(*map(list_statuses, results)) == {200}
        assert len(limited.arrivals) == 40

    df.run_scenario(scenario, entry_count=2)


def test_next_incarnation_of_a_limited_target_has_no_limit() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        limited = await add_limited(fleet, "0.5")
        await send_steadily(fleet, seconds=1.0)
        limited.limit = None
        fleet.register("limited", "plain", started_ms=5)
        await fleet.settle()
        assert list_statuses(await send_steadily(fleet, seconds=1.0)) == {200}

    df.run_scenario(scenario)


@pytest.mark.parametrize(
    ("values", "limit", "is_invalid"),
    [
        ([], None, False),
        (["2.5"], 2.5, False),
        (["0"], 0.0, False),
        (["1" + 300 * "0"], headers.MAX_RATE_LIMIT, False),
        (["3", "2"], 2.0, False),
        (["many"], None, True),
        (["-1"], None, True),
        (["nan"], None, True),
        (["inf"], None, True),
        (["1e3"], None, True),
        ([""], None, True),
        (["x", "4"], 4.0, True),
    ],
)
def test_limit_header_is_read_as_a_decimal_number(
    values: list[str], limit: float | None, is_invalid: bool
) -> None:
    fields = [(lt.LIMIT_HEADER.lower(), value) for value in values]
    metadata = headers.PlatformHeaderCodec().parse_response_headers(200, fields)
    assert metadata.rate_limit == limit
    assert (metadata.invalid_rate_limit is not None) is is_invalid


def test_value_that_is_no_number_changes_no_limit() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        limited = await add_limited(fleet, "0.5")
        await send_steadily(fleet, seconds=1.0)
        limited.limit = "several"
        await send_steadily(fleet, seconds=8.0)
        assert limited.count_worst_window() <= lt.compute_allowed(0.5)

    df.run_scenario(scenario)


def test_responses_that_cross_leave_the_lower_limit() -> None:
    statements = limitstatements.LimitStatements()
    assert statements.on_response(1.0, "t", 0.9, 2.0)
    # Sent before the limit was known, so it may have been made before.
    assert not statements.on_response(1.2, "t", 0.8, 9.0)
    assert not statements.on_response(1.2, "t", 0.8, None)
    assert statements.get_limit("t") == 2.0
    assert statements.on_response(1.3, "t", 1.1, 9.0)
    assert statements.on_response(1.4, "t", 1.0, 3.0)
    assert statements.on_response(1.6, "t", 1.5, None)
    assert statements.get_limit("t") is None


def test_newest_statement_of_all_entries_counts() -> None:
    statements = limitstatements.LimitStatements()
    statements.on_response(10.0, "t", 9.9, 2.0)
    old = messages.LimitStatement("t", None, 1000, 5000)
    assert not statements.merge(10.5, [old], "e")
    assert statements.get_first_at("t") == 5.5
    new = messages.LimitStatement("t", 7.0, 100, 5000)
    assert statements.merge(10.5, [new], "e")
    assert statements.get_limit("t") == 7.0


def test_statement_of_a_target_that_is_gone_is_forgotten() -> None:
    statements = limitstatements.LimitStatements()
    statements.on_response(0.0, "t", 0.0, 2.0)
    statements.forget_unregistered(59.0, {"t"})
    statements.forget_unregistered(100.0, set())
    assert statements.get_limit("t") == 2.0
    others = statements.make_messages(119.0)
    statements.forget_unregistered(120.0, set())
    assert statements.get_limit("t") is None
    # Another entry drops it a little later.
    assert not statements.merge(120.0, others, "e")
    assert statements.get_limit("t") is None


@pytest.mark.parametrize("limit", [0.0, 0.1, 0.2, 0.5, 1.0, 5.0, 50.0, 500.0])
def test_permits_and_rates_stay_within_the_users_bound(limit: float) -> None:
    rate = targetlimits.RATE_FACTOR * (1 + limitshares.MAX_LOST_SHARE)
    spent = rate * max(limit, targetlimits.MIN_RATE) * targetlimits.WINDOW_S
    assert spent + targetlimits.compute_permits(limit) <= lt.compute_allowed(limit)


def test_raised_claim_is_used_when_all_others_acknowledged_it() -> None:
    shares = limitshares.LimitShares("a", -10.0)
    for host in ("b", "c"):
        shares.on_process(-1.0, host, 1).contacted_at = -1.0
    shares.set_limit("t", 0.0, 50)
    shares.set_entries(0.0, {"b", "c"}, ())
    for host in ("b", "c"):
        shares.on_claims(host, 1, [(limitshares.compute_limit_id("t"), 1)])
    shares.set_demand("t", 0.1)
    assert shares.compute_share(0.0, "t").fraction == pytest.approx(1 / 3)
    shares.on_acknowledged("b", shares.number, shares.list_claims().items())
    shares.on_acknowledged("c", shares.number, shares.list_claims().items())
    shares.set_demand("t", 1.0)
    shares.on_acknowledged("b", shares.number, shares.list_claims().items())
    shares.set_entries(1.0, {"b", "c"}, ())
    assert shares.compute_share(1.0, "t").fraction == pytest.approx(1 / 3)
    shares.on_acknowledged("c", shares.number, shares.list_claims().items())
    shares.set_entries(2.0, {"b", "c"}, ())
    assert shares.compute_share(2.0, "t").fraction == pytest.approx(8 / 10)


def test_record_of_a_limit_finds_one_request_too_many() -> None:
    record = lt.LimitRecord()
    record.set_limit(0.0, 1.0)
    record.on_response(0.1, "e")
    violations = [record.on_arrival(8.0 + n / 10, "e", True) for n in range(12)]
    assert [v is not None for v in violations] == 11 * [False] + [True]
    assert record.on_arrival(9.5, "not told", True) is None
    record.set_limit(9.6, None)
    assert record.on_arrival(9.7, "e", True) is None


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(("entry_count", "limit"), [(4, 50.0), (9, 1.0)])
def test_parts_of_all_entries_never_add_up_to_more_than_the_bound_allows(
    entry_count: int, limit: float, seed: int
) -> None:
    duration_s = 40.0
    demand_of = bench.make_moving_demand(entry_count, limit, seed)
    simulation = bench.Simulation(entry_count, limit, demand_of, duration_s, seed)
    bench.add_faults(simulation, random.Random(seed), duration_s)
    sums: list[float] = []

    def add_parts(now: float) -> None:
        up = [entry for entry in simulation.entries if entry.is_up]
        sums.append(sum(sum(e.limits.list_parts().values()) for e in up))
        simulation.call_at(now + 0.05, add_parts)

    simulation.call_at(bench.NAMED_AT_S, add_parts)
    simulation.run()
    highest_factor = targetlimits.RATE_FACTOR * (1.0 + limitshares.MAX_LOST_SHARE)
    assert 0.0 < max(sums) <= highest_factor * limit + 1e-9


def test_limited_targets_go_to_accounts_and_kinds_in_turn() -> None:
    queue = requestqueue.RequestQueue()
    waiting = []
    for account, kind in 3 * [("busy", "a")] + [("busy", "b"), ("quiet", "a")]:
        request = requestqueue.QueuedRequest(
            5, 0.0, 9.0, 9.0, account=account, kind=kind
        )
        queue.enqueue(request)
        waiting.append(request)
    assert queue.list_in_fair_order(0.0) == [waiting[n] for n in (0, 4, 3, 1, 2)]
    queue.record_dequeue(0.0, waiting[0])
    queue.remove(waiting[0])
    assert queue.list_in_fair_order(0.0)[0] is waiting[4]


def test_callers_refused_first_return_first_at_the_pace_of_the_limit() -> None:
    returns = returntimes.ReturnTimes()
    delays = [returns.choose_delay_s(0.0, "s", 1.0, 2.0, 0.5) for _ in range(9)]
    gaps = [later - earlier for earlier, later in zip(delays, delays[1:], strict=False)]
    assert gaps == pytest.approx([0.5] * 8)
    assert delays[0] >= 1.0
    far = [returns.choose_delay_s(0.0, "s", 1.0, 2.0, n / 40) for n in range(40)]
    assert max(far) <= returntimes.MAX_RETURN_S + 0.5
    assert returns.choose_delay_s(0.0, "other", float("inf"), 1.0, 0.0) == 1.0


def test_misdirected_request_tells_nothing_of_the_target_that_was_meant() -> None:
    # The limit is that of another target, which has taken the address.
    async def misdirect(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        fields = ((lt.LIMIT_HEADER, "1"), ("Content-Length", "0"))
        writer.write(df.make_response_head(headers.STATUS_MISDIRECTED, *fields))
        return True

    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain", misdirect)
        await fleet.settle()
        await fleet.send_request("/free/a")
        assert not fleet.entries[0].limits.statements.list_limits()

    df.run_scenario(scenario)
