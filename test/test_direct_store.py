"""Tests of how entries follow the store.

They cover outages, configuration received from peers, restarts, drains and suspended
hosts, and the replica that holds the store's keys.
"""

import asyncio
import typing

import pytest

from sardinesaddle.direct import replica, storewatcher
from test import directfleet as df

EXCUSED_S: typing.Final = 3.0  # the users' bound for requests that a stop may cut


def list_config_versions(fleet: df.Fleet) -> list[int]:
    """Return the configuration version in force at each entry."""
    return [node.config_version for node in fleet.entries]


def repeat_first(config: dict[str, typing.Any], name: str) -> dict[str, typing.Any]:
    """Return a configuration that lists the first item of a list once more."""
    return config | {name: [*config[name], config[name][0]]}


def change_first_route(
    config: dict[str, typing.Any], **fields: object
) -> dict[str, typing.Any]:
    """Return a configuration with other fields of the first route."""
    first, *others = config["routes"]
    return config | {"routes": [first | fields, *others]}


@pytest.mark.parametrize(
    "make_invalid",
    [
        lambda config: repeat_first(config, "routes"),
        lambda config: repeat_first(config, "services"),
        lambda config: (
            config
            | {"tenants": [*config["tenants"], {"name": "bob", "api_keys": ["key-a"]}]}
        ),
        lambda config: config | {"version": 0},
        lambda config: change_first_route(config, timeout_ms=0),
        lambda config: change_first_route(config, timeout_ms=-5),
        lambda config: change_first_route(config, prefix="once/"),
        lambda config: change_first_route(config, prefix="/once"),
        lambda config: change_first_route(
            config, traffic_split=[{"service": "plain", "weight": -1}]
        ),
    ],
)
def test_config_that_is_not_clear_is_never_put_in_force(
    make_invalid: typing.Callable[[dict[str, typing.Any]], dict[str, typing.Any]],
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        fleet.store.put("op/config", make_invalid(df.make_config(version=7)))
        await fleet.settle(0.2)
        assert list_config_versions(fleet) == [1, 1]
        fleet.store.put("op/config", df.make_config(version=8))
        await fleet.settle(0.2)
        assert list_config_versions(fleet) == [8, 8]

    df.run_scenario(scenario, entry_count=2)


class RefusingStore(df.MemoryStore):
    """A store that refuses every call."""

    async def _simulate_fault(self) -> storewatcher.StoreFault | None:
        """Return a fault for every call, after 4 ms."""
        await asyncio.sleep(0.004)
        return storewatcher.StoreFault("turned away", False)


def test_new_config_version_is_in_force_at_all_entries_at_once() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        fleet.store.put("op/config", df.make_config(version=7))
        await fleet.settle(0.1)
        assert list_config_versions(fleet) == [7, 7, 7]

    df.run_scenario(scenario, entry_count=3)


def test_older_or_malformed_config_is_never_put_in_force() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        fleet.store.put("op/config", df.make_config(version=7))
        await fleet.settle(0.1)
        for value in (df.make_config(version=3), b"not a configuration", [1]):
            fleet.store.put("op/config", value)
            await fleet.settle(0.1)
            assert list_config_versions(fleet) == [7]

    df.run_scenario(scenario)


def test_entry_refused_by_store_gets_config_from_peers() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_entry(RefusingStore())
        await fleet.settle(1.5)
        assert list_config_versions(fleet) == [1, 1]
        isolated_entry = fleet.entries[1]
        assert isolated_entry.is_ready
        fleet.store.put("op/config", df.make_config(version=2, keys=("key-b",)))
        await fleet.settle(1.0)
        assert list_config_versions(fleet) == [2, 2]
        assert (await fleet.send_request("/once/a", entry_index=1)).status == 401
        await fleet.settle(6.0)
        assert isolated_entry.compute_config_age() < 2.5

    df.run_scenario(scenario)


def test_entry_started_without_store_becomes_ready_through_peers() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain")
        await fleet.settle()
        isolated_entry = await fleet.add_entry(RefusingStore())
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        while isolated_entry.catalog is None:
            await asyncio.sleep(0.005)
        # A peer's reply carries the configuration together with its age, so the entry
        # is ready as soon as it has the configuration.
        assert isolated_entry.is_ready
        assert loop.time() - began_at < 0.5

    df.run_scenario(scenario)


def test_store_is_listed_again_after_history_compaction() -> None:
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
        assert list_config_versions(fleet) == [5]
        assert [
            t.target_id for t in fleet.entries[0].targets.list_available("plain")
        ] == ["t2"]

    df.run_scenario(scenario)


def test_api_keys_are_rejected_when_config_is_stale() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        target = await fleet.add_target("t1", "plain")
        await fleet.settle()
        fleet.store.is_unresponsive = True
        await fleet.settle(6.0)
        node = fleet.entries[0]
        assert not node.is_ready
        response = await fleet.send_request("/once/a")
        assert response.status == 503
        assert "retry-after" in response.headers
        assert not target.requests
        # An anonymous route needs no key, so there is none that could be revoked.
        assert (
            await fleet.send_request("/open/a", key=None, method="GET")
        ).status == 200
        fleet.store.is_unresponsive = False
        await fleet.settle(2.0)
        assert (await fleet.send_request("/once/a")).status == 200

    df.run_scenario(scenario)


def test_config_is_stale_after_host_suspension() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        target = await fleet.add_target("t1", "plain")
        await fleet.settle()
        # The host was suspended: the loop's clock stopped while real time went on.
        fleet.clocks[0].suspended_s += 6.0
        response = await fleet.send_request("/once/a")
        assert response.status == 503
        assert not target.requests

    df.run_scenario(scenario)


def test_unknown_route_gets_503_instead_of_404_when_config_is_stale() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        assert (await fleet.send_request("/new/a")).status == 404
        fleet.store.is_unresponsive = True
        await fleet.settle(6.0)
        assert (await fleet.send_request("/new/a")).status == 503

    df.run_scenario(scenario)


def test_entry_without_config_returns_503_and_is_not_ready() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        fleet.entries.clear()
        isolated_entry = await fleet.add_entry(RefusingStore())
        fleet.ports[0] = fleet.ports[-1]
        await fleet.settle(0.5)
        assert not isolated_entry.is_ready
        assert (await fleet.send_request("/once/a")).status == 503

    df.run_scenario(scenario, entry_count=0)


def test_registrations_lost_in_store_outage_stay_available_for_a_grace_period() -> None:
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
        assert [t.target_id for t in pool.list_available("plain")] == ["t1"]

    df.run_scenario(scenario)


def test_target_deleted_while_store_is_healthy_is_removed_at_once() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain")
        await fleet.settle()
        fleet.store.delete("servers/t1")
        await fleet.settle(0.1)
        assert not fleet.entries[0].targets.list_available("plain")

    df.run_scenario(scenario)


def test_malformed_target_registrations_are_ignored() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain")
        for key, value in (
            ("servers/bad1", b"\xff\x00"),
            ("servers/bad2", {"service": "plain", "addr": 7}),
            ("servers/bad3", {"service": "plain", "addr": "x", "state": "ready"}),
        ):
            fleet.store.put(key, value)
        await fleet.settle()
        available = fleet.entries[0].targets.list_available("plain")
        assert [t.target_id for t in available] == ["t1"]

    df.run_scenario(scenario)


def test_idle_entry_calls_store_at_most_twice_a_second() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        calls_before = fleet.store.call_count
        await fleet.settle(30.0)
        assert fleet.store.call_count - calls_before <= 60

    df.run_scenario(scenario)


def test_drain_serves_running_and_late_requests_and_ends_in_time() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        async def respond_slowly(
            target: df.ScriptedTarget,
            request: df.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> bool:
            await asyncio.sleep(3.0)
            writer.write(df.make_response(request.attempt_id))
            return True

        await fleet.add_target("t1", "plain", respond_slowly)
        await fleet.settle()
        node = fleet.entries.pop()
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        running_request = asyncio.create_task(fleet.send_request("/once/a"))
        await fleet.settle(0.05)
        drain_task = asyncio.create_task(node.drain())
        await fleet.settle(0.1)
        assert not node.is_ready
        late_request = asyncio.create_task(fleet.send_request("/once/b"))
        await drain_task
        assert (await running_request).status == 200
        assert (await late_request).status == 200
        assert loop.time() - began_at < 8.0

    df.run_scenario(scenario)


def test_replica_applies_changes_in_any_order_any_number_of_times() -> None:
    newer = replica.Change("a", 3, b"new", 2)
    older = replica.Change("a", 2, b"old", 2)
    deleted = replica.Change("b", 5, None)
    for order in (
        (older, newer, deleted),
        (deleted, newer, older),
        (newer, newer, older, deleted),
    ):
        local_replica = replica.Replica()
        for change in order:
            local_replica.apply(replica.Delta((change,), change.rev, False))
        assert local_replica.get_value("a") == b"new"
        assert local_replica.complete_rev == 5
        assert local_replica.changed_rev == 5


def test_replica_listing_removes_only_keys_up_to_its_revision() -> None:
    local_replica = replica.Replica()
    local_replica.apply(replica.Delta((replica.Change("new", 9, b"1"),), 9, False))
    local_replica.apply(replica.Delta((replica.Change("kept", 4, b"1"),), 4, False))
    local_replica.apply(replica.Delta((replica.Change("lost", 5, b"1"),), 5, False))
    listed = replica.Delta((replica.Change("kept", 4, b"1"),), 7, True)
    changed = local_replica.apply(listed)
    assert [(c.key, c.value) for c in changed] == [("lost", None)]
    assert local_replica.get_value("new") == b"1"


def test_replica_delta_carries_deletions_or_is_whole_listing() -> None:
    first, second = replica.Replica(), replica.Replica()
    first.apply(replica.Delta((replica.Change("a", 2, b"1"),), 2, True))
    second.apply(first.make_delta(0, 0))
    first.apply(replica.Delta((replica.Change("a", 3, None),), 3, False))
    delta = first.make_delta(0, second.complete_rev)
    assert not delta.is_full
    second.apply(delta)
    assert second.get_value("a") is None
    assert second.complete_rev == 3
    assert first.make_delta(0, 0).is_full


def test_config_age_counts_from_end_of_last_unchanged_watch() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        # A watch that ends without changes confirms the configuration up to its end,
        # so keys are accepted for the whole staleness bound after the store stops
        # responding.
        loop = asyncio.get_running_loop()
        await fleet.add_target("t1", "plain")
        await fleet.settle(10.0)
        fleet.store.is_unresponsive = True
        unresponsive_since = loop.time()
        while (await fleet.send_request("/once/a")).status == 200:
            await fleet.settle(0.05)
        assert 2.4 <= loop.time() - unresponsive_since <= 4.2

    df.run_scenario(scenario)


def test_request_late_in_drain_is_answered_on_new_and_reused_connections() -> None:
    # The only entry of a data centre still receives requests after SIGTERM, both on new
    # connections and on open ones. Found by the randomized day mix of ahr-montevideo,
    # seed 1042812837657.
    async def scenario(fleet: df.Fleet) -> None:
        async def respond_slowly(
            target: df.ScriptedTarget,
            request: df.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> bool:
            await asyncio.sleep(3.9 if request.path == "/once/long" else 0.0)
            writer.write(df.make_response(request.attempt_id))
            return True

        await fleet.add_target("t1", "plain", respond_slowly)
        await fleet.settle()
        node = fleet.entries.pop()
        drain_task = asyncio.create_task(node.drain())
        await fleet.settle(1.0)
        running_request = asyncio.create_task(fleet.send_request("/once/long"))
        reused_connection = await fleet.connect()
        assert (
            await fleet.send_request("/once/a", conn=reused_connection)
        ).status == 200
        late_requests = [
            asyncio.create_task(
                fleet.send_request("/once/b", conn=reused_connection, since_drain_s=3.3)
            )
        ]
        for n in range(8):
            late_requests.append(
                asyncio.create_task(
                    fleet.send_request("/once/c", since_drain_s=3.15 + 0.1 * n)
                )
            )
        responses = await asyncio.gather(*late_requests)
        assert all(response.is_complete for response in responses), [
            response.status for response in responses
        ]
        assert {response.status for response in responses} <= {200, 503}
        assert all(
            "retry-after" in response.headers
            for response in responses
            if response.status == 503
        )
        assert (await running_request).status == 200
        await drain_task

    df.run_scenario(scenario)


@pytest.mark.parametrize("signal_delay_s", [0.0, 0.3])
def test_no_request_that_a_stop_may_cut_is_accepted_later_than_users_excuse(
    signal_delay_s: float,
) -> None:
    """Guards against requests that are accepted late in a stop and cut at its end."""

    async def scenario(fleet: df.Fleet) -> None:
        async def respond_late(
            target: df.ScriptedTarget,
            request: df.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> bool:
            await asyncio.sleep(6.0)
            writer.write(df.make_response(request.attempt_id))
            return True

        target = await fleet.add_target("t1", "plain", respond_late)
        fleet.store.put("op/config", df.make_config(2, timeout_ms=9000))
        await fleet.settle()
        node = fleet.entries.pop()
        loop = asyncio.get_running_loop()
        # While it runs, the entry goes on.
        running = loop.create_task(fleet.send_request("/once/a", deadline_ms=9000))
        await fleet.settle(0.1)
        signalled_at = loop.time()
        await fleet.settle(signal_delay_s)
        drain_task = loop.create_task(node.drain())
        conns = [await fleet.connect() for _ in range(3)]
        await fleet.settle(signalled_at + EXCUSED_S + 0.01 - loop.time())
        for number, conn in enumerate(conns):
            resp = await fleet.send_request(f"/once/{number}", conn=conn)
            assert resp.status == 503
            assert "retry-after" in resp.headers
        assert len(target.requests) == 1
        assert (await running).status == 200
        await drain_task

    df.run_scenario(scenario)


class PartitionedStore(storewatcher.Store):
    """A view of a store that can refuse all the entries that use it at once."""

    def __init__(self, store: df.MemoryStore) -> None:
        self.store = store
        self.is_refusing = False

    async def read_all(self, prefix: str) -> replica.Delta | storewatcher.StoreFault:
        """Read from the store, or return a fault while refusing."""
        if self.is_refusing:
            return storewatcher.StoreFault("turned away", False)
        return await self.store.read_all(prefix)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> replica.Delta | storewatcher.StoreFault:
        """Watch the store, or return a fault while refusing."""
        if self.is_refusing:
            await asyncio.sleep(0.004)
            return storewatcher.StoreFault("turned away", False)
        return await self.store.watch(prefix, after, wait_s)


def test_only_some_of_many_entries_watch_the_store() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        partitioned = PartitionedStore(fleet.store)
        for _ in range(5):
            await fleet.add_entry(partitioned)
        for _ in range(4):
            await fleet.add_entry()
        await fleet.settle(3.0)
        calls_before = fleet.store.call_count
        await fleet.settle(15.0)
        # Six of ten entries keep two watches of 1.3 s each. The bound allows the other
        # four to call the store sometimes, and still saves a quarter of all calls.
        assert fleet.store.call_count - calls_before <= 0.75 * 10 * 2 * 15.0 / 1.3
        assert all(node.compute_config_age() < 1.6 for node in fleet.entries)
        fleet.store.put("op/config", df.make_config(version=2))
        await fleet.settle(0.8)
        assert list_config_versions(fleet) == [2] * 10
        # The store refuses all entries that watch it but one; the others take over.
        partitioned.is_refusing = True
        await fleet.settle(0.5)
        fleet.store.put("op/config", df.make_config(version=3, keys=("key-b",)))
        await fleet.settle(1.5)
        assert list_config_versions(fleet) == [3] * 10
        # The store refuses all entries: no configuration is recent, so every entry
        # calls the store until a call succeeds.
        fleet.store.is_down = True
        await fleet.settle(3.0)
        fleet.store.put("op/config", df.make_config(version=4))
        fleet.store.is_down = False
        await fleet.settle(1.5)
        assert list_config_versions(fleet) == [4] * 10
        await fleet.settle(3.0)
        assert all(node.compute_config_age() < 1.6 for node in fleet.entries)

    df.run_scenario(scenario)
