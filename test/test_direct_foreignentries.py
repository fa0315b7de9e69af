"""Tests that entries of other writers with a target's address take it no request."""

import asyncio
import typing

import msgspec
import pytest

from test import directfleet as df

VALID: typing.Final[dict[str, object]] = {
    "service": "plain",
    "addr": "127.0.0.1:9",
    "zone": "p",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 0,
    "born": 5,
}


def change(**fields: object) -> bytes:
    """Return the JSON of a valid entry with other fields."""
    return msgspec.json.encode(VALID | fields)


async def respond_if_meant(
    target: df.ScriptedTarget,
    request: df.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool:
    """Respond with the target's name, or with 421 if the request is for another."""
    if df.is_misdirected(target, request):
        df.write_refusal(writer, 421)
        return True
    return await df.respond_with_name(target, request, writer)


async def respond_slowly(
    target: df.ScriptedTarget,
    request: df.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool:
    """Respond after a second, as the engine that the request expects, else with 421."""
    if df.is_misdirected(target, request):
        df.write_refusal(writer, 421)
        return True
    await asyncio.sleep(1.0)
    return await df.respond_with_name(target, request, writer)


FOREIGN_SERVICES: typing.Final = ("unnamed", "engines", "plain")


@pytest.mark.parametrize("service", FOREIGN_SERVICES)
def test_entry_with_the_address_of_a_target_that_runs_takes_no_request_from_it(
    service: str,
) -> None:
    """Guards against another writer's entry that takes a target out of use."""

    async def scenario(fleet: df.Fleet) -> None:
        target = await fleet.add_target("t1", "plain", respond_slowly)
        await fleet.settle()
        loop = asyncio.get_running_loop()
        assert (await fleet.send_request("/once/0")).status == 200
        running = [
            loop.create_task(fleet.send_request(f"/once/a{n}")) for n in range(3)
        ]
        await fleet.settle(0.4)
        addr = f"127.0.0.1:{target.port}"
        fleet.store.put("servers/foreign", VALID | {"service": service, "addr": addr})
        await fleet.settle(0.2)
        for task in running:
            assert (await task).status == 200
        statuses = [
            (await fleet.send_request(f"/once/b{number}")).status for number in range(6)
        ]
        # One request may be needed to find out who is at the address.
        assert statuses[1:] == [200] * 5
        assert statuses[0] == 200 or service == "plain"

    df.run_scenario(scenario)


def test_idle_target_is_used_though_another_service_has_an_entry_at_its_address() -> (
    None
):
    """Guards against an idle target that a valid entry takes out of use."""

    async def scenario(fleet: df.Fleet) -> None:
        target = await fleet.add_target("t1", "plain", respond_if_meant)
        await fleet.settle(3.0)
        addr = f"127.0.0.1:{target.port}"
        fleet.store.put("servers/foreign", VALID | {"service": "engines", "addr": addr})
        await fleet.settle(3.0)
        for number in range(3):
            assert (await fleet.send_request(f"/once/{number}")).status == 200

    df.run_scenario(scenario)


def test_entry_of_a_service_that_is_named_later_is_a_target_from_then_on() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "later", respond_if_meant)
        await fleet.settle()
        assert (await fleet.send_request("/once/a")).status == 503
        config: dict[str, typing.Any] = df.make_config(2)
        config["services"].append({"name": "later"})
        config["routes"][0]["service"] = "later"
        path = config["routes"][0]["prefix"] + "a"
        fleet.store.put("op/config", config)
        await fleet.settle(0.3)
        assert (await fleet.send_request(path)).body == b"t1"

    df.run_scenario(scenario)


@pytest.mark.parametrize(
    "value", [b"\xff", change(service="unnamed"), change(born=1 << 50)]
)
def test_target_whose_own_entry_was_overwritten_is_used_once_it_writes_again(
    value: bytes,
) -> None:
    """Guards against a target that is out of use though its own entry is back."""

    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain", respond_if_meant)
        fleet.register("t1", "plain", started_ms=1000)
        await fleet.settle()
        fleet.store.put("servers/t1", value)
        await fleet.settle(1.0)
        fleet.register("t1", "plain", started_ms=1000)
        await fleet.settle(0.3)
        assert (await fleet.send_request("/once/a")).status == 200

    df.run_scenario(scenario)


def overwrite_without(fleet: df.Fleet, name: str, field: str) -> None:
    """Write another writer's entry under a target's id, which lacks a field."""
    fields = VALID | {"addr": f"127.0.0.1:{fleet.targets[name].port}"}
    del fields[field]
    fleet.store.put(f"servers/{name}", fields)


# Guards against an entry without a start that is taken for another start of its target.
@pytest.mark.parametrize("field", ["born", "seq"])
def test_entry_that_lacks_a_field_breaks_no_request_off(field: str) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain", respond_slowly)
        fleet.register("t1", "plain", started_ms=1000)
        await fleet.settle()
        task = asyncio.create_task(fleet.send_request("/once/a"))
        await fleet.settle(0.3)
        overwrite_without(fleet, "t1", field)
        await fleet.settle(0.3)
        fleet.register("t1", "plain", started_ms=1000)
        response = await task
        assert (response.status, response.body) == (200, b"t1")
        assert (await fleet.send_request("/once/b")).status == 200

    df.run_scenario(scenario)


# Guards against the same entry bringing a target back that leaves.
@pytest.mark.parametrize("field", ["born", "seq"])
def test_entry_that_lacks_a_field_brings_no_target_back_that_leaves(field: str) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        target = await fleet.add_target("t1", "plain", respond_if_meant)
        fleet.register("t1", "plain", started_ms=1000)
        await fleet.settle()
        fleet.register("t1", "plain", "draining", started_ms=1000)
        await fleet.settle()
        overwrite_without(fleet, "t1", field)
        await fleet.settle()
        assert (await fleet.send_request("/once/a")).status == 503
        assert not target.requests

    df.run_scenario(scenario)


def test_successor_at_the_address_of_a_target_is_used_at_once() -> None:
    """Guards against a wait for a target that has taken the address of another one."""

    async def scenario(fleet: df.Fleet) -> None:
        target = await fleet.add_target("t1", "plain", respond_if_meant)
        fleet.register("t1", "plain", started_ms=1000)
        await fleet.settle()
        assert (await fleet.send_request("/once/a")).body == b"t1"
        target.crash()
        target.name = "t2"
        await target.start()
        fleet.targets["t2"] = target
        fleet.register("t2", "plain", started_ms=2000)
        await fleet.settle(0.05)
        resp = await fleet.send_request("/once/b")
        assert (resp.status, resp.body) == (200, b"t2")

    df.run_scenario(scenario)


# Guards against a target that is never used again, as another one had its address.
@pytest.mark.parametrize("is_at_new_address", [True, False])
def test_target_that_starts_again_after_a_421_at_its_address_is_used(
    is_at_new_address: bool,
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        target = await fleet.add_target("t1", "plain", respond_if_meant)
        fleet.register("t1", "plain", started_ms=1000)
        await fleet.settle()
        target.crash()
        other = df.ScriptedTarget("t9", respond_if_meant)
        other.port = target.port
        await fleet.settle(2.0)
        await other.start()
        assert (await fleet.send_request("/once/a")).status == 503
        other.crash()
        if is_at_new_address:
            target.port = 0
        await target.start()
        fleet.register("t1", "plain", started_ms=5000)
        await fleet.settle()
        response = await fleet.send_request("/once/b")
        assert (response.status, response.body) == (200, b"t1")

    df.run_scenario(scenario)
