"""Tests of target selection and request queueing, alone and under simulated load."""

import asyncio
import collections.abc
import random
import typing

import pytest

from sardinesaddle.bench import rankchoice
from sardinesaddle.direct import (
    catalog,
    entrystate,
    forward,
    messages,
    replica,
    requestqueue,
    requestscheduler,
    targetpool,
)
from sardinesaddle.standins import loopdriver

ENTRY_HOSTS: typing.Final = [f"10.{n % 3}.0.{n}" for n in range(13)]
SLOTS_PER_TARGET: typing.Final = 2


class LoneEntryState(entrystate.EntryState):
    """The state of an entry that is the only one and has no configuration."""

    catalog = None
    started_at = 0.0
    is_first_start = False

    def may_lack_config(self) -> bool:
        """Return that the store was not restored."""
        return False

    def compute_config_age(self) -> float:
        """Return an age of 0 s."""
        return 0.0

    def count_entries(self) -> int:
        """Return 1."""
        return 1


def make_pool(own_host: str, target_count: int) -> targetpool.TargetPool:
    """Return an entry's pool with targets of one lock-step service."""
    pool = targetpool.TargetPool("p")
    pool.lockstep_services = frozenset({"model"})
    pool.set_entries(own_host, ENTRY_HOSTS)
    for index in range(target_count):
        pool.register(
            catalog.TargetRegistration(
                f"t{index}", "model", f"10.{index % 3}.1.{index}", 80, "p",
                SLOTS_PER_TARGET, catalog.TargetState.READY, 0.0,
            ),
            replica.Position(rev=index),
        )  # fmt: skip
    return pool


def make_report(index: int, running: int, age_s: float = 0.0) -> messages.Report:
    """Return a report of the sidecar of target ``index``, read ``age_s`` ago."""
    return messages.Report(
        f"s{index}", f"10.{index % 3}.1.{index}:80", True, running, 0, 1.0, "g", 1,
        index, 64, True, 1.0, age_s,
    )  # fmt: skip


def test_subsets_of_entries_are_disjoint_and_of_equal_size() -> None:
    pools = [make_pool(host, 64) for host in ENTRY_HOSTS]
    subsets = [pool.list_subset("model") for pool in pools]
    assert sorted(target_id for subset in subsets for target_id in subset) == sorted(
        f"t{n}" for n in range(64)
    )
    assert {len(subset) for subset in subsets} <= {4, 5}
    # When an entry is lost, the others take over its subset.
    pools[0].set_entries(ENTRY_HOSTS[0], ENTRY_HOSTS[1:])
    remaining_hosts = [host for host in ENTRY_HOSTS if host != ENTRY_HOSTS[5]]
    pools[0].set_entries(ENTRY_HOSTS[0], remaining_hosts)
    assert len(pools[0].list_subset("model")) in (5, 6)


def test_own_subset_is_preferred_until_it_is_full() -> None:
    pool = make_pool(ENTRY_HOSTS[0], 64)
    subset = pool.list_subset("model")
    for n in range(64):
        pool.on_report(0.0, make_report(n, 0))
    next_random = random.Random(3).random
    assigned = []
    for _ in range(len(subset) * SLOTS_PER_TARGET + 3):
        target = pool.choose_target(0.1, "model", (), 13, next_random)
        assert target is not None
        pool.on_send(target, 0.1)
        assigned.append(target.target_id)
    assert set(assigned[: len(subset)]) == subset
    assert len(set(assigned[-3:]) - subset) == 3


def test_sends_after_a_report_was_read_still_count() -> None:
    pool = make_pool("", 1)
    target = pool.get("t0")
    assert target is not None
    pool.on_report(1.0, make_report(0, 0))
    pool.on_send(target, 1.05)
    pool.on_send(target, 1.20)
    # The engine was read at 1.13, before the second send.
    pool.on_report(1.25, make_report(0, 1, age_s=0.12))
    assert target.estimate_in_flight(1.25, 1) == 2.0
    pool.on_report(1.4, make_report(0, 2))
    assert target.estimate_in_flight(1.4, 1) == 2.0


def test_recent_sends_to_target_without_reports_are_bounded() -> None:
    pool = make_pool("", 1)
    target = pool.get("t0")
    assert target is not None
    for n in range(10_000):
        pool.on_send(target, n * 0.1)
        pool.on_end(target, n * 0.1 + 0.05)
    assert len(target.recent_sends) < 20
    assert len(target.recent_ends) < 20


def test_queue_dispatches_requests_that_can_meet_deadline_first() -> None:
    queue = requestqueue.RequestQueue()
    old = requestqueue.QueuedRequest(
        5, arrived_at=0.0, first_event_deadline=0.4, wait_deadline=1.5
    )
    older = requestqueue.QueuedRequest(
        5, arrived_at=-0.2, first_event_deadline=0.2, wait_deadline=1.3
    )
    soon = requestqueue.QueuedRequest(
        5, arrived_at=0.4, first_event_deadline=0.8, wait_deadline=1.9
    )
    new = requestqueue.QueuedRequest(
        5, arrived_at=0.5, first_event_deadline=0.9, wait_deadline=2.0
    )
    urgent = requestqueue.QueuedRequest(
        0, arrived_at=0.5, first_event_deadline=0.9, wait_deadline=2.0
    )
    for request in (older, new, old, urgent, soon):
        queue.enqueue(request)
    assert queue.list_in_dispatch_order(0.5) == [urgent, soon, new, old, older]


Scenario = collections.abc.Callable[
    [requestscheduler.RequestScheduler, targetpool.TargetPool],
    collections.abc.Coroutine[typing.Any, typing.Any, None],
]


def run_scenario(scenario: Scenario) -> None:
    """Run a scenario with a scheduler and one target, reported idle."""

    async def run() -> None:
        pool = make_pool("", 1)
        scheduler = requestscheduler.RequestScheduler(
            LoneEntryState(), pool, random.Random(1)
        )
        pool.on_report(asyncio.get_running_loop().time(), make_report(0, 0))
        await scenario(scheduler, pool)

    loopdriver.LoopDriver(is_clock_virtual=True).run(run())


def make_queued_request(
    arrived_at: float, wait_s: float = 0.6
) -> requestqueue.QueuedRequest:
    """Return a request that waits for ``wait_s`` at most."""
    return requestqueue.QueuedRequest(
        5, arrived_at, arrived_at + 0.4, arrived_at + wait_s
    )


def test_capacity_is_assigned_in_queue_order_until_wait_deadline() -> None:
    async def scenario(
        scheduler: requestscheduler.RequestScheduler, pool: targetpool.TargetPool
    ) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        first = await scheduler.acquire_target("model", make_queued_request(started_at))
        second = await scheduler.acquire_target(
            "model", make_queued_request(started_at)
        )
        assert first is second is pool.get("t0")
        assert first is not None
        third = loop.create_task(
            scheduler.acquire_target("model", make_queued_request(started_at, 0.3))
        )
        await asyncio.sleep(0.05)
        fourth = loop.create_task(
            scheduler.acquire_target("model", make_queued_request(started_at + 0.05))
        )
        await asyncio.sleep(0.05)
        assert not third.done()
        pool.on_report(loop.time(), make_report(0, 2))
        pool.on_end(first, loop.time())
        scheduler.dispatch("model")
        assert await third is first
        # No request ends, so the fourth leaves the queue at its wait deadline.
        pool.on_report(loop.time(), make_report(0, 2))
        assert await fourth is None
        assert loop.time() - started_at == pytest.approx(0.65, abs=0.06)

    run_scenario(scenario)


def test_capacity_of_cancelled_request_goes_to_next_in_queue() -> None:
    async def scenario(
        scheduler: requestscheduler.RequestScheduler, pool: targetpool.TargetPool
    ) -> None:
        loop = asyncio.get_running_loop()
        assigned = [
            await scheduler.acquire_target("model", make_queued_request(loop.time()))
            for _ in "ab"
        ]
        target = assigned[0]
        assert target is not None
        first = loop.create_task(
            scheduler.acquire_target("model", make_queued_request(loop.time()))
        )
        second = loop.create_task(
            scheduler.acquire_target("model", make_queued_request(loop.time() + 0.01))
        )
        await asyncio.sleep(0.02)
        pool.on_end(target, loop.time())
        scheduler.dispatch("model")
        # The first request is cancelled just after the target was assigned to it.
        first.cancel()
        assert await second is target
        assert target.own_in_flight == SLOTS_PER_TARGET
        with pytest.raises(asyncio.CancelledError):
            await first

    run_scenario(scenario)


def test_unservable_requests_are_listed_for_refusal_at_once() -> None:
    # The queue dispatches ten requests a second, all of which meet their deadline.
    queue = requestqueue.RequestQueue()
    late = [
        requestqueue.QueuedRequest(5, -0.01 * n, 0.4 - 0.01 * n, 1.5) for n in range(16)
    ]
    for request in late:
        queue.enqueue(request)
    assert queue.list_unservable(0.0) == []
    for n in range(10):
        now = 0.1 * n
        queue.record_dequeue(
            now, requestqueue.QueuedRequest(5, now, now + 0.4, now + 1.5)
        )
    assert queue.list_unservable(0.95) == late[2:]
    # When late requests are dispatched too, those that may be reached in time stay. At
    # ten a second, five are expected in that time, and five more may come by chance.
    for n in range(10):
        queue.record_dequeue(0.9 + 0.01 * n, late[0])
    assert queue.list_unservable(1.0) == late[10:]
    # Without recent dispatches all requests wait: the group may be broken and reform.
    assert queue.list_unservable(3.0) == []


def test_requests_that_waited_through_a_suspension_are_refused() -> None:
    # Soak seed 5038: the dispatch failed with each request that came after it.
    queue = requestqueue.RequestQueue()
    old = [requestqueue.QueuedRequest(5, 0.0, 0.4, 1.0 + n) for n in range(2)]
    for request in old:
        queue.enqueue(request)
    for n in range(10):
        queue.record_dequeue(5.0 + 0.01 * n, old[0])
    assert queue.list_unservable(5.1) == old


def test_load_shared_by_many_entries_is_served_in_time() -> None:
    # 64 ranks of 5 slots behind 16 entries, a little over half full. If each entry
    # chose the least loaded rank, a tenth of the requests would find full slots.
    tally = rankchoice.Simulation(16, 64, 5, 2).run(0.55)
    assert tally.on_time / tally.requests >= 0.95
    assert tally.found_full / tally.requests <= 0.01


def test_goodput_does_not_fall_at_double_load() -> None:
    def measure_goodput(load: float) -> float:
        tally = rankchoice.Simulation(4, 16, 6, 2).run(load)
        return load * tally.weighted_answers / tally.requests

    assert measure_goodput(2.0) >= measure_goodput(1.0)


def test_target_that_registers_again_at_another_address_is_used_there() -> None:
    pool = targetpool.TargetPool("p")
    pool.set_entries("10.0.1.1", ENTRY_HOSTS)
    for rev, (target_id, port) in enumerate((("a", 80), ("b", 81), ("a", 81))):
        registration = catalog.TargetRegistration(
            target_id, "plain", "10.0.1.9", port, "p", 4, catalog.TargetState.READY,
            0.0, started_ms=rev,
        )  # fmt: skip
        pool.register(registration, replica.Position(rev=rev))
    # The later registration at an address is the one in use.
    assert [t.target_id for t in pool.list_available("plain")] == ["a"]
    pool.remove("a")
    assert [t.target_id for t in pool.list_available("plain")] == ["b"]


def make_stream_route(priority: int) -> catalog.Route:
    """Return a route for streams with a time limit of 8 s."""
    return catalog.Route(
        "r", "", "/r", catalog.Execution.AT_MOST_ONCE, True, 8.0, 0.5, 0.15, priority,
        1, True, False, (catalog.WeightedService("s", 1.0),),
    )  # fmt: skip


def test_route_orders_requests_of_accounts_with_the_same_priority() -> None:
    # Guards against accounts that all have one priority, beside which the more urgent
    # routes are not preferred.
    account = catalog.Account("a", 1)
    ranks = [
        forward.compute_urgency(make_stream_route(priority), account, 8.0)
        for priority in (0, 1, 2)
    ]
    assert ranks == sorted(set(ranks))
    urgent = catalog.Account("b", 0)
    assert forward.compute_urgency(make_stream_route(2), urgent, 8.0) < ranks[0]


def test_repeated_request_goes_after_new_ones_that_are_worth_more() -> None:
    # Guards against clients that return during a burst and displace requests that can
    # still be on time.
    for account in (None, catalog.Account("a", 1)):
        rank = forward.compute_urgency(make_stream_route(0), account, 5.3)
        assert rank > forward.compute_urgency(make_stream_route(1), account, 7.9)
        assert forward.compute_urgency(make_stream_route(9), account, 5.3) < 100
