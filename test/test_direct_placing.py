"""Which target takes a request, who goes first, and what callers get under load."""

import asyncio
import collections.abc
import random
import typing

import pytest

from sardinesaddle.bench import rankchoice
from sardinesaddle.direct import (
    catalog,
    entrystate,
    messages,
    requestqueue,
    requestscheduler,
    targetpool,
)
from sardinesaddle.standins import loopdriver

HOSTS: typing.Final = [f"10.{n % 3}.0.{n}" for n in range(13)]
SLOTS: typing.Final = 2


class Known(entrystate.EntryState):
    """An entry that is alone and has no configuration."""

    catalog = None

    def compute_config_age(self) -> float:
        """Return that the configuration is new."""
        return 0.0

    def count_entries(self) -> int:
        """Return that there is one entry."""
        return 1


def make_pool(own: str, count: int) -> targetpool.TargetPool:
    """Return a pool of targets of one lock-step service."""
    pool = targetpool.TargetPool("p")
    pool.lockstep_services = frozenset({"model"})
    pool.set_entries(own, HOSTS)
    for n in range(count):
        pool.register(
            catalog.TargetRecord(
                f"t{n}", "model", f"10.{n % 3}.1.{n}", 80, "p", SLOTS,
                catalog.TargetState.READY, 0.0,
            ),
            n,
        )  # fmt: skip
    return pool


def make_report(n: int, running: int, age_s: float = 0.0) -> messages.Report:
    """Return the report of a target's sidecar."""
    return messages.Report(
        f"s{n}", f"10.{n % 3}.1.{n}:80", True, running, 0, 1.0, "g", 1, n, 64, True,
        1.0, age_s,
    )  # fmt: skip


def test_each_target_is_in_the_subset_of_one_entry_and_parts_are_equal() -> None:
    pools = [make_pool(host, 64) for host in HOSTS]
    subset = [pool.list_subset("model") for pool in pools]
    assert sorted(ident for one in subset for ident in one) == sorted(
        f"t{n}" for n in range(64)
    )
    assert {len(one) for one in subset} <= {4, 5}
    # An entry that is lost leaves its part to the others.
    pools[0].set_entries(HOSTS[0], HOSTS[1:])
    rest = [host for host in HOSTS if host != HOSTS[5]]
    pools[0].set_entries(HOSTS[0], rest)
    assert len(pools[0].list_subset("model")) in (5, 6)


def test_subset_is_taken_while_it_has_room_and_others_when_it_is_full() -> None:
    pool = make_pool(HOSTS[0], 64)
    subset = pool.list_subset("model")
    for n in range(64):
        pool.on_report(0.0, make_report(n, 0))
    draw = random.Random(3).random
    taken = []
    for _ in range(len(subset) * SLOTS + 3):
        target = pool.choose_target(0.1, "model", (), 13, draw)
        assert target is not None
        pool.on_send(target, 0.1)
        taken.append(target.ident)
    assert set(taken[: len(subset)]) == subset
    assert len(set(taken[-3:]) - subset) == 3


def test_what_was_sent_after_the_reading_still_counts() -> None:
    pool = make_pool("", 1)
    target = pool.get("t0")
    assert target is not None
    pool.on_report(1.0, make_report(0, 0))
    pool.on_send(target, 1.05)
    pool.on_send(target, 1.20)
    # Read at 1.12, so the second send is not in it.
    pool.on_report(1.25, make_report(0, 1, age_s=0.12))
    assert target.estimate_in_flight(1.25, 1) == 2.0
    pool.on_report(1.4, make_report(0, 2))
    assert target.estimate_in_flight(1.4, 1) == 2.0


def test_sends_to_a_target_without_reports_are_not_kept() -> None:
    pool = make_pool("", 1)
    target = pool.get("t0")
    assert target is not None
    for n in range(10_000):
        pool.on_send(target, n * 0.1)
        pool.on_end(target, n * 0.1 + 0.05)
    assert len(target.recent_sends) < 20
    assert len(target.recent_ends) < 20


def test_line_serves_those_who_can_be_in_time_first() -> None:
    line = requestqueue.RequestQueue()
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
    for waiter in (older, new, old, urgent, soon):
        line.enqueue(waiter)
    assert line.list_in_dispatch_order(0.5) == [urgent, soon, new, old, older]


Scenario = collections.abc.Callable[
    [requestscheduler.RequestScheduler, targetpool.TargetPool],
    collections.abc.Coroutine[typing.Any, typing.Any, None],
]


def play(scenario: Scenario) -> None:
    """Run a scenario with a finder and one target with a report."""

    async def run() -> None:
        pool = make_pool("", 1)
        finder = requestscheduler.RequestScheduler(Known(), pool, random.Random(1))
        pool.on_report(asyncio.get_running_loop().time(), make_report(0, 0))
        await scenario(finder, pool)

    loopdriver.LoopDriver(is_clock_virtual=True).run(run())


def make_waiter(since: float, wait_s: float = 0.6) -> requestqueue.QueuedRequest:
    """Return a request that waits for some time."""
    return requestqueue.QueuedRequest(5, since, since + 0.4, since + wait_s)


def test_room_is_given_in_the_lines_order_and_waiting_ends() -> None:
    async def scenario(
        finder: requestscheduler.RequestScheduler, pool: targetpool.TargetPool
    ) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        first = await finder.acquire_target("model", make_waiter(start))
        second = await finder.acquire_target("model", make_waiter(start))
        assert first is second is pool.get("t0")
        assert first is not None
        third = loop.create_task(
            finder.acquire_target("model", make_waiter(start, 0.3))
        )
        await asyncio.sleep(0.05)
        fourth = loop.create_task(
            finder.acquire_target("model", make_waiter(start + 0.05))
        )
        await asyncio.sleep(0.05)
        assert not third.done()
        pool.on_report(loop.time(), make_report(0, 2))
        pool.on_end(first, loop.time())
        finder.dispatch("model")
        assert await third is first
        # Nobody ends, so the fourth is given up when its time is over.
        pool.on_report(loop.time(), make_report(0, 2))
        assert await fourth is None
        assert loop.time() - start == pytest.approx(0.65, abs=0.06)

    play(scenario)


def test_room_of_a_caller_who_left_goes_to_the_next() -> None:
    async def scenario(
        finder: requestscheduler.RequestScheduler, pool: targetpool.TargetPool
    ) -> None:
        loop = asyncio.get_running_loop()
        taken = [
            await finder.acquire_target("model", make_waiter(loop.time())) for _ in "ab"
        ]
        target = taken[0]
        assert target is not None
        one = loop.create_task(finder.acquire_target("model", make_waiter(loop.time())))
        two = loop.create_task(
            finder.acquire_target("model", make_waiter(loop.time() + 0.01))
        )
        await asyncio.sleep(0.02)
        pool.on_end(target, loop.time())
        finder.dispatch("model")
        # The first one's caller leaves in the moment in which it is given room.
        one.cancel()
        assert await two is target
        assert target.own_in_flight == SLOTS
        with pytest.raises(asyncio.CancelledError):
            await one

    play(scenario)


def test_what_cannot_be_served_is_refused_at_once() -> None:
    # Load: ten turns a second, all of them taken by requests that are in time.
    line = requestqueue.RequestQueue()
    late = [
        requestqueue.QueuedRequest(5, -0.01 * n, 0.4 - 0.01 * n, 1.5) for n in range(16)
    ]
    for waiter in late:
        line.enqueue(waiter)
    assert line.list_unservable(0.0) == []
    for n in range(10):
        now = 0.1 * n
        line.record_dequeue(
            now, requestqueue.QueuedRequest(5, now, now + 0.4, now + 1.5)
        )
    assert line.list_unservable(0.95) == late[2:]
    # Where late ones are served too, those wait whose turn may come in time: of ten
    # turns a second, five are expected and five more may come by chance.
    for n in range(10):
        line.record_dequeue(0.9 + 0.01 * n, late[0])
    assert line.list_unservable(1.0) == late[10:]
    # A line without turns waits: its group may be broken and come back.
    assert line.list_unservable(3.0) == []


def test_load_that_many_entries_share_is_served_in_time() -> None:
    # Load: 64 ranks of 5 slots behind 16 entries, a little over half full. With the
    # least loaded rank for each request, a tenth of them met full slots.
    tally = rankchoice.Simulation(16, 64, 5, 2).run(0.55)
    assert tally.on_time / tally.requests >= 0.95
    assert tally.found_full / tally.requests <= 0.01


def test_callers_get_as_much_when_twice_as_many_come() -> None:
    def measure(load: float) -> float:
        tally = rankchoice.Simulation(4, 16, 6, 2).run(load)
        return load * tally.weighted_answers / tally.requests

    assert measure(2.0) >= measure(1.0)
