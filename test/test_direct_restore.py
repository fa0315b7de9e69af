"""Tests of a store that comes back from an older copy.

What was written since the copy is gone, revisions are given out again, and what the
operators and the targets wrote is written again a moment later.
"""

import asyncio
import itertools
import random

import aiohttp
import aiohttp.test_utils
import aiohttp.web
import pytest

from sardinesaddle.direct import departures, messages, replica, storewatcher
from sardinesaddle.platform import store
from sardinesaddle.standins import loopdriver
from test import directfleet as df
from test import test_direct_store

REVOKE_S = 5.0  # the users' bound for a key that was taken away

CONTACT_S = 3.0  # the users' time for an entry that starts to know what others know
APPLY_S = 2.0  # the users' bound for a change to be in force everywhere
REWRITE_S = 2.0  # the users' bound for the targets to write again


def list_versions(fleet: df.Fleet) -> list[int]:
    """Return the configuration version in force at each entry."""
    return [node.config_version for node in fleet.entries]


async def restore(fleet: df.Fleet, copy: df.StoreCopy, down_s: float = 0.3) -> None:
    """Take the store away for a moment and bring it back from a copy."""
    fleet.store.is_down = True
    await fleet.settle(down_s)
    fleet.store.restore(copy)
    fleet.store.is_down = False


async def put_versions(fleet: df.Fleet, *versions: int) -> None:
    """Write versions of the configuration, one after the other."""
    for version in versions:
        fleet.store.put("op/config", df.make_config(version=version))
        await fleet.settle(0.1)


def test_change_under_a_revision_given_out_again_is_in_force_in_time() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        copy = fleet.store.copy()
        await put_versions(fleet, 3, 5, 8, 9)
        assert list_versions(fleet) == [9, 9, 9]
        await restore(fleet, copy)
        await fleet.settle(1.0)
        await put_versions(fleet, 9)
        fleet.store.put("op/config", df.make_config(version=12, keys=("key-b",)))
        await fleet.settle(APPLY_S)
        assert list_versions(fleet) == [12, 12, 12]
        for index in range(3):
            response = await fleet.send_request("/once/a", index)
            assert response.status == 401

    df.run_scenario(scenario, entry_count=3)


def test_change_missed_while_revisions_went_back_is_in_force_in_time() -> None:
    # The entries come back to the store when its revisions have passed those they know.
    async def scenario(fleet: df.Fleet) -> None:
        copy = fleet.store.copy()
        await put_versions(fleet, 3, 5)
        await restore(fleet, copy)
        fleet.store.put("op/config", df.make_config(version=5))
        fleet.store.put("op/config", df.make_config(version=7, keys=("key-b",)))
        for number in range(4):
            fleet.store.put(f"servers/other-{number}", b"")
        await fleet.settle(APPLY_S)
        assert list_versions(fleet) == [7, 7, 7]

    df.run_scenario(scenario, entry_count=3)


def test_target_that_registers_after_a_restore_gets_requests() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        copy = fleet.store.copy()
        for name in ("t1", "t2", "t3"):
            await fleet.add_target(name, "plain")
        await fleet.settle()
        await restore(fleet, copy)
        await fleet.settle(REWRITE_S - 1.0)
        for name in ("t1", "t2"):
            fleet.register(name, "plain")
        await fleet.add_target("t4", "plain")
        await fleet.settle(3.0)
        for node in fleet.entries:
            available = {t.target_id for t in node.targets.list_available("plain")}
            assert available == {"t1", "t2", "t4"}

    df.run_scenario(scenario, entry_count=3)


def test_entry_that_starts_beside_an_invalid_config_gets_the_one_in_force() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await put_versions(fleet, 4)
        fleet.store.put("op/config", b"not a configuration")
        await fleet.settle(0.2)
        assert list_versions(fleet) == [4, 4]
        await fleet.add_entry()
        await fleet.settle(1.0)
        assert list_versions(fleet) == [4, 4, 4]

    df.run_scenario(scenario, entry_count=2)


def test_entries_call_a_restored_store_no_more_than_usual() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        copy = fleet.store.copy()
        await put_versions(fleet, 3, 5, 8)
        await restore(fleet, copy)
        calls_before = fleet.store.call_count
        await fleet.settle(10.0)
        assert fleet.store.call_count - calls_before <= 30

    df.run_scenario(scenario)


def test_entry_apart_from_the_store_learns_from_others_what_the_copy_lacks() -> None:
    # Two of three entries heard of the newest version before the store went away.
    async def scenario(fleet: df.Fleet) -> None:
        apart = test_direct_store.PartitionedStore(fleet.store)
        await fleet.add_entry(apart)
        await fleet.settle(1.0)
        copy = fleet.store.copy()
        apart.is_refusing = True
        fleet.store.put("op/config", df.make_config(version=6, keys=("key-b",)))
        await fleet.settle(0.02)
        fleet.store.restore(copy)
        apart.is_refusing = False
        await fleet.settle(APPLY_S)
        assert list_versions(fleet) == [6, 6, 6]
        await fleet.add_entry()
        await fleet.settle(1.0)
        assert list_versions(fleet) == [6, 6, 6, 6]
        await fleet.settle(CONTACT_S - 1.0)
        assert (await fleet.send_request("/once/a", 3)).status == 401

    df.run_scenario(scenario, entry_count=2)


def test_leaving_target_stays_so_when_the_copy_shows_it_as_ready() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        for name in ("t1", "t2", "t3"):
            await fleet.add_target(name, "plain")
        await fleet.settle()
        copy = fleet.store.copy()
        fleet.register("t1", "plain", "draining")
        fleet.store.delete("servers/t2")
        await fleet.settle()
        await restore(fleet, copy)
        await fleet.settle(REWRITE_S)
        await fleet.add_entry()
        # An entry that starts is bound like the others once it is in touch with them.
        await fleet.settle(1.0)
        for node in fleet.entries:
            available = {t.target_id for t in node.targets.list_available("plain")}
            assert available == {"t3"}

    df.run_scenario(scenario, entry_count=2)


def test_two_restores_within_two_seconds() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        first_copy = fleet.store.copy()
        await put_versions(fleet, 3)
        second_copy = fleet.store.copy()
        await put_versions(fleet, 5, 6)
        await restore(fleet, second_copy)
        await put_versions(fleet, 6)
        await restore(fleet, first_copy)
        await put_versions(fleet, 6, 8)
        await fleet.settle(APPLY_S)
        assert list_versions(fleet) == [8, 8, 8]

    df.run_scenario(scenario, entry_count=3)


def test_key_revoked_just_before_a_restore_is_refused_in_time() -> None:
    # No entry has heard of the new version when the store goes away.
    async def scenario(fleet: df.Fleet) -> None:
        target = await fleet.add_target("t1", "plain")
        await fleet.settle(3.0)
        loop = asyncio.get_running_loop()
        copy = fleet.store.copy()
        revoked_at = loop.time()
        fleet.store.is_down = True
        await fleet.settle(4.5)
        fleet.store.restore(copy)
        fleet.store.is_down = False
        while loop.time() < revoked_at + 4.5 + REWRITE_S:
            await fleet.send_request("/once/a")
            await fleet.settle(0.05)
        ran_until = target.requests[-1].received_at
        assert ran_until <= revoked_at + REVOKE_S
        fleet.store.put("op/config", df.make_config(version=2, keys=("key-b",)))
        await fleet.settle(0.3)
        assert (await fleet.send_request("/once/a")).status == 401
        assert (await fleet.send_request("/once/a", key="key-b")).status == 200

    df.run_scenario(scenario)


def test_requests_are_served_all_through_a_short_restore() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain")
        await put_versions(fleet, 2)
        await fleet.settle(3.0)
        copy = fleet.store.copy()
        await put_versions(fleet, 3)
        restore_task = asyncio.create_task(restore(fleet, copy, 1.0))
        statuses = []
        for number in range(120):
            response = await fleet.send_request("/once/a", number % 3)
            statuses.append(response.status)
            await fleet.settle(0.05)
        await restore_task
        assert set(statuses) == {200}

    df.run_scenario(scenario, entry_count=3)


def test_route_that_the_copy_lacks_is_not_answered_as_unknown() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.settle(3.0)
        await restore(fleet, fleet.store.copy())
        await fleet.settle(1.0)
        assert (await fleet.send_request("/new/a")).status == 503
        await fleet.settle(REWRITE_S)
        assert (await fleet.send_request("/new/a")).status == 404

    df.run_scenario(scenario)


def test_start_time_orders_incarnations_that_a_copy_mixes_up() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain")
        fleet.register("t1", "plain", started_ms=100)
        await fleet.settle()
        copy = fleet.store.copy()
        fleet.register("t1", "plain", started_ms=200)
        await fleet.settle()
        await restore(fleet, copy)
        await fleet.settle(1.0)
        for node in fleet.entries:
            (target,) = node.targets.list_available("plain")
            assert target.registration.started_ms == 200
        await fleet.settle(REWRITE_S)
        # The later incarnation did not register again, and the earlier one is gone.
        for node in fleet.entries:
            assert not node.targets.list_available("plain")
            assert node.crash_ledger.change_number == 0
        fleet.register("t1", "plain", started_ms=200)
        await fleet.settle()
        for node in fleet.entries:
            assert node.targets.list_available("plain")

    df.run_scenario(scenario, entry_count=2)


def test_earlier_target_at_a_reused_address_replaces_nobody_after_a_restore() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("old", "engines")
        await fleet.settle()
        copy = fleet.store.copy()
        fleet.store.delete("servers/old")
        await fleet.settle()
        await fleet.targets["old"].stop()
        target = df.ScriptedTarget("new")
        target.port = fleet.targets["old"].port
        await target.start()
        fleet.targets["new"] = target
        fleet.register("new", "plain")
        await fleet.settle()
        await restore(fleet, copy)
        for _ in range(10):
            await fleet.settle(0.1)
            assert (await fleet.send_request("/once/a")).status == 200

    df.run_scenario(scenario)


def test_entry_suspended_during_a_restore_follows_the_new_era() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        apart = test_direct_store.PartitionedStore(fleet.store)
        await fleet.add_entry(apart)
        await fleet.settle(1.0)
        copy = fleet.store.copy()
        await put_versions(fleet, 3, 4, 5)
        apart.is_refusing = True
        fleet.clocks[2].suspended_s += 3.0
        await restore(fleet, copy)
        await put_versions(fleet, 5, 6)
        await fleet.settle(1.0)
        apart.is_refusing = False
        await put_versions(fleet, 7)
        await fleet.settle(APPLY_S)
        assert list_versions(fleet) == [7, 7, 7]
        assert (await fleet.send_request("/once/a", 2)).status in (200, 503)

    df.run_scenario(scenario, entry_count=2)


class ScriptedStore(storewatcher.Store):
    """A store whose responses are given in order; then it responds no more."""

    def __init__(self, *responses: replica.Delta | storewatcher.StoreFault) -> None:
        self.responses = list(responses)
        self.asked: list[int | None] = []

    async def read_all(self, prefix: str) -> replica.Delta | storewatcher.StoreFault:
        """Return the next response to a listing."""
        return await self._respond(None)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> replica.Delta | storewatcher.StoreFault:
        """Return the next response to a watch."""
        return await self._respond(after)

    async def _respond(
        self, after: int | None
    ) -> replica.Delta | storewatcher.StoreFault:
        self.asked.append(after)
        await asyncio.sleep(0.004)
        if not self.responses:
            await asyncio.Event().wait()
        return self.responses.pop(0)


def run_watcher(store: ScriptedStore) -> storewatcher.StoreWatcher:
    """Watch a scripted store until it responds no more; return the watcher."""
    watchers = []

    async def run() -> None:
        watcher = storewatcher.StoreWatcher(
            store,
            "p/",
            1.0,
            lambda changes, source: None,
            df.LoopClock(),
            random.Random(1),
            lambda: False,
        )
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(5.0)
        assert not watcher.is_settling
        task.cancel()
        watchers.append(watcher)

    loopdriver.LoopDriver(is_clock_virtual=True).run(run())
    return watchers[0]


def make_listing(era: int, rev: int, value: bytes) -> replica.Delta:
    """Return a listing with one key."""
    return replica.Delta((replica.Change("p/a", rev, value, rev),), rev, True, era)


def make_events(era: int, rev: int, value: bytes) -> replica.Delta:
    """Return the response to a watch with one change."""
    return replica.Delta((replica.Change("p/a", rev, value, 1),), rev, False, era)


def test_response_of_an_earlier_era_that_arrives_late_changes_nothing() -> None:
    store = ScriptedStore(
        make_listing(2, 5, b"new"),
        make_events(1, 9, b"old"),
        make_listing(1, 9, b"old"),
        storewatcher.StoreFault("history is gone", True, 1),
        make_events(2, 6, b"newer"),
    )
    watcher = run_watcher(store)
    assert watcher.replica.get_value("p/a") == b"newer"
    assert (watcher.replica.era, watcher.replica.complete_rev) == (2, 6)
    assert store.asked == [None, 5, 5, 5, 5, 6]


@pytest.mark.parametrize(
    "notice",
    [
        make_events(2, 9, b"unknown"),
        storewatcher.StoreFault("status 503", False, 2),
        storewatcher.StoreFault("history is gone", True, 2),
    ],
)
def test_rise_of_the_era_in_any_response_means_a_new_listing(
    notice: replica.Delta | storewatcher.StoreFault,
) -> None:
    store = ScriptedStore(
        make_listing(1, 7, b"lost"), notice, make_listing(2, 3, b"copied")
    )
    watcher = run_watcher(store)
    assert watcher.replica.get_value("p/a") == b"copied"
    assert store.asked == [None, 7, None, 3]


def test_store_without_an_era_behaves_as_before() -> None:
    store = ScriptedStore(make_listing(0, 7, b"a"), make_events(0, 8, b"b"))
    watcher = run_watcher(store)
    assert watcher.replica.get_value("p/a") == b"b"
    assert watcher.freshness.confirmed_at > 0.0


def make_random_departures(seed: int) -> list[list[messages.Departure]]:
    """Return what three entries know of three incarnations after random events."""
    rng = random.Random(seed)
    known = [departures.Departures() for _ in range(3)]
    for now in range(30):
        entry = rng.choice(known)
        name = f"t{rng.randrange(3)}"
        position = replica.Position(rng.randrange(3), rng.randrange(9))
        event = rng.randrange(6)
        if event == 0:
            entry.on_leaving(float(now), name)
        elif event < 4:
            entry.on_removed(float(now), name, position)
        else:
            entry.on_registered(float(now), name, position)
    return [entry.list_changes(30.0, 0) for entry in known]


@pytest.mark.parametrize("seed", range(5))
def test_entries_agree_on_departures_in_whatever_order_they_hear(seed: int) -> None:
    parts = make_random_departures(seed)
    outcomes = []
    for order in itertools.permutations(range(3)):
        merged = departures.Departures()
        for index in (*order, order[0]):
            merged.merge(30.0, parts[index])
        listed = [replica.Position(era, rev) for era in (1, 2, 3) for rev in (2, 6)]
        outcomes.append(
            [merged.may_serve(f"t{n}", at) for n in range(3) for at in listed]
        )
    assert outcomes == [outcomes[0]] * len(outcomes)


def test_departure_is_forgotten_after_the_target_is_gone_for_long() -> None:
    known = departures.Departures()
    known.on_leaving(0.0, "t1")
    known.on_leaving(0.0, "t2")
    now = departures.FORGET_S + 1.0
    known.forget(now, {"t2"})
    assert [record.incarnation for record in known.list_changes(now, 0)] == ["t2"]
    other = departures.Departures()
    assert not other.merge(now, known.list_changes(now, 0))


def test_entry_that_starts_in_a_restore_trusts_the_store_no_sooner_than_others() -> (
    None
):
    # Only the entry that starts is asked; the other one has seen the restore.
    async def scenario(fleet: df.Fleet) -> None:
        target = await fleet.add_target("t1", "plain")
        await fleet.settle(3.0)
        loop = asyncio.get_running_loop()
        copy = fleet.store.copy()
        revoked_at = loop.time()
        fleet.store.is_down = True
        await fleet.settle(3.6)
        fleet.store.restore(copy)
        fleet.store.is_down = False
        await fleet.add_entry()
        while loop.time() < revoked_at + 3.6 + REWRITE_S:
            await fleet.send_request("/once/a", 1)
            await fleet.settle(0.05)
        late = [at for at in times(target) if at > revoked_at + REVOKE_S]
        assert not late

    df.run_scenario(scenario)


def times(target: df.ScriptedTarget) -> list[float]:
    """Return when a target received its requests."""
    return [request.received_at for request in target.requests]


ITEM = {"key": "op/config", "rev": 4, "created_rev": 2, "value": "e30="}
PAGE = {"items": [ITEM], "more_pages": False, "store_revision": 9}


async def read_page(
    *headers: dict[str, str], more_pages: bool = False
) -> replica.Delta | storewatcher.StoreFault:
    """List a prefix of a store whose responses have these headers, in order."""
    remaining = list(headers)

    async def respond(request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        page = PAGE | {"more_pages": more_pages and len(remaining) > 1}
        return aiohttp.web.json_response(page, headers=remaining.pop(0))

    server = aiohttp.test_utils.RawTestServer(respond)
    await server.start_server()
    async with aiohttp.ClientSession() as session:
        client = store.PlatformStore(session, f"{server.host}:{server.port}")
        result = await client.read_all("op/")
    await server.close()
    return result


def test_store_states_its_era_in_each_response() -> None:
    delta = asyncio.run(read_page({store.ERA_HEADER: "7"}))
    assert isinstance(delta, replica.Delta)
    assert (delta.era, delta.complete_rev) == (7, 9)
    delta = asyncio.run(read_page({}))
    assert isinstance(delta, replica.Delta)
    assert delta.era == 0


@pytest.mark.parametrize("era", ["", "-1", "1.5", "two", "1e3"])
def test_response_with_an_invalid_era_is_a_failed_call(era: str) -> None:
    fault = asyncio.run(read_page({store.ERA_HEADER: era}))
    assert isinstance(fault, storewatcher.StoreFault)
    assert fault.era is None


def test_listing_that_a_restore_interrupts_is_a_failed_call() -> None:
    headers = [{store.ERA_HEADER: "1"}, {store.ERA_HEADER: "2"}]
    fault = asyncio.run(read_page(*headers, more_pages=True))
    assert isinstance(fault, storewatcher.StoreFault)
    assert fault.era == 2
