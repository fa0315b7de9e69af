"""What entries know of the store, through outages, relays, restarts and freezes."""

import asyncio

from sardinesaddle.direct import replica, storewatcher
from test import directfleet as df


def list_versions(fleet: df.Fleet) -> list[int]:
    """Return the version in force at each entry."""
    return [node.config_version for node in fleet.entries]


class LoneStore(df.MemoryStore):
    """A store that never answers."""

    async def _meet(self) -> storewatcher.StoreFault | None:
        """Turn the caller away."""
        await asyncio.sleep(0.004)
        return storewatcher.StoreFault("turned away", False)


def test_new_version_is_in_force_everywhere_at_once() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        fleet.store.put("op/config", df.make_config(version=7))
        await fleet.settle(0.1)
        assert list_versions(fleet) == [7, 7, 7]

    df.play(scenario, entries=3)


def test_older_or_unreadable_version_is_never_put_in_force() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        fleet.store.put("op/config", df.make_config(version=7))
        await fleet.settle(0.1)
        for value in (df.make_config(version=3), b"not a configuration", [1]):
            fleet.store.put("op/config", value)
            await fleet.settle(0.1)
            assert list_versions(fleet) == [7]

    df.play(scenario)


def test_entry_that_the_store_turns_away_learns_from_the_others() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_entry(LoneStore())
        await fleet.settle(1.5)
        assert list_versions(fleet) == [1, 1]
        lone = fleet.entries[1]
        assert lone.is_ready
        fleet.store.put("op/config", df.make_config(version=2, keys=("key-b",)))
        await fleet.settle(1.0)
        assert list_versions(fleet) == [2, 2]
        assert (await fleet.call("/once/a", entry=1)).status == 401
        await fleet.settle(6.0)
        assert lone.compute_config_age() < 2.5

    df.play(scenario)


def test_entry_that_starts_without_the_store_admits_keys_by_the_others_word() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain")
        await fleet.settle()
        lone = await fleet.add_entry(LoneStore())
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        while lone.catalog is None:
            await asyncio.sleep(0.005)
        # The configuration and its age come with one answer.
        assert lone.is_ready
        assert loop.time() - began_at < 0.5

    df.play(scenario)


def test_history_that_is_gone_is_listed_anew() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain")
        await fleet.add_target("t2", "plain")
        await fleet.settle(0.2)
        fleet.store.is_down = True
        await fleet.settle(2.0)
        fleet.store.delete("servers/t1")
        fleet.store.put("op/config", df.make_config(version=5))
        fleet.store.compact()
        fleet.store.is_down = False
        await fleet.settle(4.0)
        assert list_versions(fleet) == [5]
        assert [t.ident for t in fleet.entries[0].targets.list_available("plain")] == [
            "t2"
        ]

    df.play(scenario)


def test_keys_are_refused_when_the_word_of_the_store_is_old() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        target = await fleet.add_target("t1", "plain")
        await fleet.settle()
        fleet.store.is_silent = True
        await fleet.settle(6.0)
        node = fleet.entries[0]
        assert not node.is_ready
        got = await fleet.call("/once/a")
        assert got.status == 503
        assert "retry-after" in got.headers
        assert not target.calls
        # Without a key there is nothing that could have been taken away.
        assert (await fleet.call("/open/a", key=None, method="GET")).status == 200
        fleet.store.is_silent = False
        await fleet.settle(2.0)
        assert (await fleet.call("/once/a")).status == 200

    df.play(scenario)


def test_suspended_entry_does_not_trust_what_it_knew_before() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        target = await fleet.add_target("t1", "plain")
        await fleet.settle()
        # The host was suspended: the loop's clock stood still, true time went on.
        fleet.clocks[0].offset += 6.0
        got = await fleet.call("/once/a")
        assert got.status == 503
        assert not target.calls

    df.play(scenario)


def test_unknown_route_is_not_denied_while_the_store_is_silent() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        assert (await fleet.call("/new/a")).status == 404
        fleet.store.is_silent = True
        await fleet.settle(6.0)
        assert (await fleet.call("/new/a")).status == 503

    df.play(scenario)


def test_entry_without_a_configuration_says_so_and_is_not_ready() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        fleet.entries.clear()
        lone = await fleet.add_entry(LoneStore())
        fleet.ports[0] = fleet.ports[-1]
        await fleet.settle(0.5)
        assert not lone.is_ready
        assert (await fleet.call("/once/a")).status == 503

    df.play(scenario, entries=0)


def test_entries_that_lapse_in_an_outage_stay_in_use_until_they_return() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain")
        await fleet.add_target("t2", "plain")
        await fleet.settle()
        fleet.store.is_down = True
        await fleet.settle(4.0)
        for name in ("t1", "t2"):
            fleet.store.delete(f"servers/{name}")
        fleet.store.is_down = False
        pool = fleet.entries[0].targets
        await fleet.settle(1.2)
        assert len(pool.list_available("plain")) == 2
        fleet.register("t1", "plain")
        await fleet.settle(2.5)
        assert [t.ident for t in pool.list_available("plain")] == ["t1"]

    df.play(scenario)


def test_target_that_is_gone_while_the_store_is_well_is_dropped_at_once() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain")
        await fleet.settle()
        fleet.store.delete("servers/t1")
        await fleet.settle(0.1)
        assert not fleet.entries[0].targets.list_available("plain")

    df.play(scenario)


def test_entry_that_names_no_target_leaves_the_others_in_force() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain")
        for key, value in (
            ("servers/bad1", b"\xff\x00"),
            ("servers/bad2", {"service": "plain", "addr": 7}),
            ("servers/bad3", {"service": "plain", "addr": "x", "state": "ready"}),
        ):
            fleet.store.put(key, value)
        await fleet.settle()
        found = fleet.entries[0].targets.list_available("plain")
        assert [t.ident for t in found] == ["t1"]

    df.play(scenario)


def test_calm_entry_reads_the_store_less_than_twice_a_second() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        before = fleet.store.calls
        await fleet.settle(30.0)
        assert fleet.store.calls - before <= 60

    df.play(scenario)


def test_drain_finishes_requests_and_turns_callers_away_in_time() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        async def answer_slowly(
            target: df.ScriptedTarget, call: df.Call, writer: asyncio.StreamWriter
        ) -> bool:
            await asyncio.sleep(3.0)
            writer.write(df.make_answer(call.ident))
            return True

        await fleet.add_target("t1", "plain", answer_slowly)
        await fleet.settle()
        node = fleet.entries.pop()
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        running = asyncio.create_task(fleet.call("/once/a"))
        await fleet.settle(0.05)
        draining = asyncio.create_task(node.drain())
        await fleet.settle(0.1)
        assert not node.is_ready
        late = asyncio.create_task(fleet.call("/once/b"))
        await draining
        assert (await running).status == 200
        assert (await late).status == 200
        assert loop.time() - began_at < 8.0

    df.play(scenario)


def test_replica_takes_changes_in_any_order_and_any_number_of_times() -> None:
    made = replica.Change("a", 3, b"new", 2)
    old = replica.Change("a", 2, b"old", 2)
    gone = replica.Change("b", 5, None)
    for order in ((old, made, gone), (gone, made, old), (made, made, old, gone)):
        held = replica.Replica()
        for change in order:
            held.apply(replica.Delta((change,), change.rev, False))
        assert held.get_value("a") == b"new"
        assert held.complete_rev == 5
        assert held.changed_rev == 5


def test_replica_listing_removes_only_what_it_can_know_to_be_gone() -> None:
    held = replica.Replica()
    held.apply(replica.Delta((replica.Change("new", 9, b"1"),), 9, False))
    held.apply(replica.Delta((replica.Change("kept", 4, b"1"),), 4, False))
    held.apply(replica.Delta((replica.Change("lost", 5, b"1"),), 5, False))
    listed = replica.Delta((replica.Change("kept", 4, b"1"),), 7, True)
    news = held.apply(listed)
    assert [(c.key, c.value) for c in news] == [("lost", None)]
    assert held.get_value("new") == b"1"


def test_replica_delta_carries_deletions_and_reaches_back_or_is_whole() -> None:
    first, second = replica.Replica(), replica.Replica()
    first.apply(replica.Delta((replica.Change("a", 2, b"1"),), 2, True))
    second.apply(first.make_delta(0))
    first.apply(replica.Delta((replica.Change("a", 3, None),), 3, False))
    delta = first.make_delta(second.complete_rev)
    assert not delta.is_whole
    second.apply(delta)
    assert second.get_value("a") is None
    assert second.complete_rev == 3
    assert first.make_delta(0).is_whole


def test_word_of_the_store_is_dated_by_what_it_covers() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        # A watch that ended with its wait says that nothing changed until then, so
        # keys are refused no earlier than the bound after the store fell silent.
        loop = asyncio.get_running_loop()
        await fleet.add_target("t1", "plain")
        await fleet.settle(10.0)
        fleet.store.is_silent = True
        silent_at = loop.time()
        while (await fleet.call("/once/a")).status == 200:
            await fleet.settle(0.05)
        assert 2.4 <= loop.time() - silent_at <= 4.2

    df.play(scenario)


def test_request_late_in_a_drain_is_answered_on_new_and_kept_connections() -> None:
    # Hunted day mix of ahr-montevideo, seed 1042812837657: the only entry of a place
    # is still sent callers after SIGTERM.
    async def scenario(fleet: df.Fleet) -> None:
        async def answer_slowly(
            target: df.ScriptedTarget, call: df.Call, writer: asyncio.StreamWriter
        ) -> bool:
            await asyncio.sleep(3.9 if call.path == "/once/long" else 0.0)
            writer.write(df.make_answer(call.ident))
            return True

        await fleet.add_target("t1", "plain", answer_slowly)
        await fleet.settle()
        node = fleet.entries.pop()
        draining = asyncio.create_task(node.drain())
        await fleet.settle(1.0)
        running = asyncio.create_task(fleet.call("/once/long"))
        kept = await fleet.connect()
        assert (await fleet.call("/once/a", conn=kept)).status == 200
        late = [asyncio.create_task(fleet.call("/once/b", conn=kept, at_s=3.3))]
        for n in range(8):
            late.append(asyncio.create_task(fleet.call("/once/c", at_s=3.15 + 0.1 * n)))
        got = await asyncio.gather(*late)
        assert all(one.is_whole for one in got), [one.status for one in got]
        assert {one.status for one in got} <= {200, 503}
        assert all("retry-after" in one.headers for one in got if one.status == 503)
        assert (await running).status == 200
        await draining

    df.play(scenario)


class SplitStore(storewatcher.Store):
    """The store as some entries reach it: they can be turned away together."""

    def __init__(self, store: df.MemoryStore) -> None:
        self.store = store
        self.is_turned_away = False

    async def read_all(self, prefix: str) -> replica.Delta | storewatcher.StoreFault:
        """List a prefix."""
        if self.is_turned_away:
            return storewatcher.StoreFault("turned away", False)
        return await self.store.read_all(prefix)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> replica.Delta | storewatcher.StoreFault:
        """Wait for changes."""
        if self.is_turned_away:
            await asyncio.sleep(0.004)
            return storewatcher.StoreFault("turned away", False)
        return await self.store.watch(prefix, after, wait_s)


def test_many_entries_leave_the_store_to_a_few() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        reached = SplitStore(fleet.store)
        for _ in range(5):
            await fleet.add_entry(reached)
        for _ in range(4):
            await fleet.add_entry()
        await fleet.settle(3.0)
        before = fleet.store.calls
        await fleet.settle(15.0)
        # Six of ten entries make two watches of 1.3 s each; a quarter of all is saved
        # even if the others help out now and then.
        assert fleet.store.calls - before <= 0.75 * 10 * 2 * 15.0 / 1.3
        assert all(node.compute_config_age() < 1.6 for node in fleet.entries)
        fleet.store.put("op/config", df.make_config(version=2))
        await fleet.settle(0.8)
        assert list_versions(fleet) == [2] * 10
        # All who follow the store but one are turned away; then the others go on.
        reached.is_turned_away = True
        await fleet.settle(0.5)
        fleet.store.put("op/config", df.make_config(version=3, keys=("key-b",)))
        await fleet.settle(1.5)
        assert list_versions(fleet) == [3] * 10
        # All are: nobody's word is recent, and everybody asks until one is answered.
        fleet.store.is_down = True
        await fleet.settle(3.0)
        fleet.store.put("op/config", df.make_config(version=4))
        fleet.store.is_down = False
        await fleet.settle(1.5)
        assert list_versions(fleet) == [4] * 10
        await fleet.settle(3.0)
        assert all(node.compute_config_age() < 1.6 for node in fleet.entries)

    df.play(scenario)
