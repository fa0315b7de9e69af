"""Tests of a store that comes back from an older copy.

What was written since the copy is gone, revisions are given out again, and what the
operators and the targets wrote is written again a moment later.
"""

from test import directfleet as df
from test import test_direct_store

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
        fleet.store.era = 1
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
        fleet.store.era = 1
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
        fleet.store.era = 1
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
        fleet.store.era = 1
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
        fleet.store.era = 1
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
        assert (await fleet.send_request("/once/a", 3)).status == 401

    df.run_scenario(scenario, entry_count=2)


def test_leaving_target_stays_so_when_the_copy_shows_it_as_ready() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        fleet.store.era = 1
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
        fleet.store.era = 1
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
