"""Tests of evacuated places and of the regions that routes and accounts permit.

The users' bound for an evacuation is 5 s from the write to the last request that
reaches a target there. By the design it is one response to a watch and one message to
each other entry. Without the message at once, routine heartbeats took 0.02 to 0.07 s.
"""

import asyncio
import collections.abc
import contextlib
import json
import pathlib
import re
import typing
import unittest.mock

import loguru
import pytest

from sardinesaddle.direct import (
    catalog,
    messages,
    nodesettings,
    replica,
    storewatcher,
    targetstate,
    upstream,
)
from sardinesaddle.direct.admission import (
    admissionpart,
    evacuations,
    sendconstraint,
)
from sardinesaddle.platform import catalogformat
from test import directfleet as df
from test import test_direct_store

# Messages take no time on the virtual clock; requests are sent each 0.01 s.
ROUND_S: typing.Final = 0.03
KEY: typing.Final = "op/evacuate/b"
BOUNDS: typing.Final = nodesettings.EntryBounds(evacuation_s=5.0)
ENTRY_TEMPLATE: typing.Final = (
    pathlib.Path(__file__).parent.parent / "deploy" / "entry.jsonc"
)
# What the platform states of every entry; other values are numbers.
STATED: typing.Final[dict[str, object]] = {
    "contracts": ["base"],
    "node_name": "e1",
    "ip": "127.0.0.1",
    "zone": "z1",
    "platform.addr": "127.0.0.1:1",
    "listen.front": "127.0.0.1:2",
    "listen.ready": "127.0.0.1:3",
    "port_range": [4, 5],
    "seeds": [],
    "bootstrap": False,
}
PLACES: typing.Final = {"a": "eu", "b": "us", "c": "us"}


def run(scenario: df.Scenario, entry_count: int = 1) -> None:
    """Run a scenario with evacuations and regions enabled."""
    df.run_scenario(scenario, entry_count, bounds=BOUNDS, places=PLACES)


async def add_targets(fleet: df.Fleet, *places: str) -> list[df.ScriptedTarget]:
    """Add a target in each place, named after it."""
    targets = [
        await fleet.add_target(f"t-{place}", "plain", place=place) for place in places
    ]
    await fleet.settle(0.3)
    return targets


@contextlib.contextmanager
def read_log() -> collections.abc.Iterator[list[str]]:
    """Collect the lines of the log."""
    lines: list[str] = []
    handler = loguru.logger.add(lambda message: lines.append(str(message)))
    yield lines
    loguru.logger.remove(handler)


async def send_steadily(fleet: df.Fleet, duration_s: float) -> list[int]:
    """Send each entry a request every 10 ms; return the statuses."""
    pending = []
    for _ in range(round(duration_s / 0.01)):
        for index in range(len(fleet.entries)):
            request = fleet.send_request("/open/a", index, key=None)
            pending.append(asyncio.create_task(request))
        await fleet.settle(0.01)
    return [response.status for response in await asyncio.gather(*pending)]


async def refuse(
    target: df.ScriptedTarget,
    request: df.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool:
    """State that the request was not run."""
    df.write_refusal(writer, 503)
    return True


async def begin_backoff(
    fleet: df.Fleet, target: df.ScriptedTarget, path: str
) -> asyncio.Task[df.ReceivedResponse]:
    """Make a target refuse one request, which holds back the next for 0.15 s."""
    target.respond = refuse
    pending = asyncio.create_task(fleet.send_request(path))
    await fleet.settle(0.02)
    target.respond = df.respond_with_name
    return pending


def read_last(target: df.ScriptedTarget) -> float:
    """Return when a target received its last request."""
    return target.requests[-1].received_at


# From the write to the last request.


@pytest.mark.parametrize("silent_entries", [0, 2])
def test_no_request_reaches_an_evacuated_place_after_one_round(
    silent_entries: int,
) -> None:
    # Guards against entries that learn of it only by their own watch or by chance.
    async def scenario(fleet: df.Fleet) -> None:
        apart = test_direct_store.PartitionedStore(fleet.store)
        for _ in range(silent_entries):
            await fleet.add_entry(apart)
        (target, _) = await add_targets(fleet, "b", "c")
        apart.is_refusing = True
        await fleet.settle(1.5)
        traffic = asyncio.create_task(send_steadily(fleet, 1.0))
        await fleet.settle(0.3)
        assert target.requests
        written_at = asyncio.get_running_loop().time()
        fleet.store.put(KEY, {})
        assert set(await traffic) == {200}
        assert read_last(target) < written_at + ROUND_S

    run(scenario, 6 - silent_entries)


def test_evacuation_that_one_entry_read_before_the_store_fell_silent_holds_at_all() -> (
    None
):
    async def scenario(fleet: df.Fleet) -> None:
        apart = test_direct_store.PartitionedStore(fleet.store)
        for _ in range(5):
            await fleet.add_entry(apart)
        (target, _) = await add_targets(fleet, "b", "c")
        apart.is_refusing = True
        await fleet.settle(1.5)
        traffic = asyncio.create_task(send_steadily(fleet, 1.0))
        await fleet.settle(0.3)
        written_at = asyncio.get_running_loop().time()
        fleet.store.put(KEY, {})
        await fleet.settle(0.005)
        fleet.store.is_unresponsive = True
        assert set(await traffic) == {200}
        assert read_last(target) < written_at + ROUND_S

    run(scenario)


def test_entry_that_starts_without_the_store_serves_no_evacuated_place() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        (target, other) = await add_targets(fleet, "b", "c")
        fleet.store.put(KEY, {})
        await fleet.settle(0.2)
        fleet.store.is_down = True
        await fleet.add_entry()
        statuses = []
        for _ in range(100):
            response = await fleet.send_request("/open/a", 2, key=None)
            statuses.append(response.status)
            await fleet.settle(0.01)
        assert 200 in statuses
        assert not target.requests
        assert other.requests

    run(scenario, 2)


def test_evacuation_that_the_copy_of_a_restored_store_lacks_stays_until_deleted() -> (
    None
):
    # Also at an entry that starts after the restore, which only the others can tell.
    async def scenario(fleet: df.Fleet) -> None:
        (target, other) = await add_targets(fleet, "b", "c")
        copy = fleet.store.copy()
        fleet.store.put(KEY, {})
        await fleet.settle(0.2)
        fleet.store.restore(copy)
        # The first listing has a higher revision than the key that the copy lacks.
        for number in range(3):
            fleet.store.put(f"servers/more-{number}", b"")
        await fleet.add_entry()
        await fleet.settle(4.0)
        await send_steadily(fleet, 0.5)
        assert not target.requests
        assert other.requests
        fleet.store.put(KEY, {})
        fleet.store.delete(KEY)
        await fleet.settle(ROUND_S)
        await send_steadily(fleet, 0.5)
        assert target.requests

    run(scenario, 2)


def test_evacuation_is_read_by_other_entries_if_those_that_watch_the_store_cannot() -> (
    None
):
    # With ten entries, the last three rely on the others until their state is old.
    async def scenario(fleet: df.Fleet) -> None:
        apart = test_direct_store.PartitionedStore(fleet.store)
        for _ in range(7):
            await fleet.add_entry(apart)
        for _ in range(3):
            await fleet.add_entry()
        (target, _) = await add_targets(fleet, "b", "c")
        await fleet.settle(3.0)
        traffic = asyncio.create_task(send_steadily(fleet, 2.0))
        await fleet.settle(0.1)
        apart.is_refusing = True
        written_at = asyncio.get_running_loop().time()
        fleet.store.put(KEY, {})
        assert set(await traffic) == {200}
        takes_over_s = storewatcher.MAX_RELAYED_AGE_S + storewatcher.PASSIVE_POLL_S
        assert read_last(target) < written_at + takes_over_s + ROUND_S

    run(scenario, 0)


def test_deletion_returns_a_place_at_all_entries_after_one_round() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        apart = test_direct_store.PartitionedStore(fleet.store)
        await fleet.add_entry(apart)
        await add_targets(fleet, "b")
        fleet.store.put(KEY, {})
        await fleet.settle(0.2)
        # Fills the cached lists of available targets.
        for index in range(3):
            assert (await fleet.send_request("/once/a", index)).status == 503
        apart.is_refusing = True
        await fleet.settle(1.5)  # the last watch that was not refused ends
        fleet.store.delete(KEY)
        await fleet.settle(ROUND_S)
        for index in range(3):
            assert (await fleet.send_request("/once/a", index)).status == 200

    run(scenario, 2)


def test_without_the_setting_the_key_changes_nothing() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await add_targets(fleet, "b")
        fleet.store.put(KEY, {})
        await fleet.settle(0.2)
        assert (await fleet.send_request("/once/a")).status == 200

    df.run_scenario(scenario)


# What an evacuation applies to.


def test_retry_goes_to_no_evacuated_place() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        async def fail(
            target: df.ScriptedTarget,
            request: df.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> bool:
            fleet.store.put(KEY, {})
            await fleet.settle(0.05)
            writer.write(df.make_response(request.attempt_id, b"", 500))
            return True

        await fleet.add_target("t-c", "plain", fail, place="c")
        await fleet.settle(0.2)
        pending = asyncio.create_task(fleet.send_request("/free/a"))
        await fleet.settle(0.02)
        (target,) = await add_targets(fleet, "b")
        assert (await pending).status == 500
        assert not target.requests

    run(scenario)


def test_queued_request_is_not_dispatched_to_a_place_evacuated_meanwhile() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        (target,) = await add_targets(fleet, "b")
        refused = await begin_backoff(fleet, target, "/once/a")
        pending = asyncio.create_task(fleet.send_request("/once/b"))
        await fleet.settle(0.02)
        fleet.store.put(KEY, {})
        assert (await pending).status == 503
        assert (await refused).status == 503
        assert len(target.requests) == 1

    run(scenario)


def test_request_whose_connection_is_set_up_during_the_evacuation_is_not_sent() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        (target,) = await add_targets(fleet, "b")
        pool = fleet.entries[0].pool
        acquire = pool.acquire

        async def acquire_slowly(
            *args: typing.Any,
        ) -> upstream.Connection | upstream.Failure:
            conn = await acquire(*args)
            await fleet.settle(0.2)
            return conn

        with unittest.mock.patch.object(pool, "acquire", acquire_slowly):
            pending = asyncio.create_task(fleet.send_request("/once/a"))
            await fleet.settle(0.05)
            fleet.store.put(KEY, {})
            assert (await pending).status == 503
        assert not target.requests

    run(scenario)


def test_stream_resumes_in_no_evacuated_place() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        async def stream_and_break(
            target: df.ScriptedTarget,
            request: df.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> bool:
            writer.write(df.make_stream_head(request.attempt_id))
            writer.write(df.encode_chunk(df.make_sse_event(1)))
            await fleet.settle(0.5)
            df.reset_connection(writer)
            return False

        for place in ("b", "c"):
            name = f"e-{place}"
            await fleet.add_target(name, "engines", stream_and_break, place=place)
        await fleet.settle(0.2)
        streams = [fleet.send_request("/stream/a", body=b"%d" % n) for n in range(4)]
        pending = [asyncio.create_task(stream) for stream in streams]
        await fleet.settle(0.1)
        written_at = asyncio.get_running_loop().time()
        fleet.store.put(KEY, {})
        await asyncio.gather(*pending)
        target, other = fleet.targets["e-b"], fleet.targets["e-c"]
        # Both ran streams, so each stream could have been resumed at the other one.
        assert target.requests and len(other.requests) < 8
        assert read_last(target) < written_at
        assert read_last(other) > written_at

    run(scenario)


def test_running_request_in_an_evacuated_place_finishes_there() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        async def respond_late(
            target: df.ScriptedTarget,
            request: df.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> bool:
            await fleet.settle(1.0)
            return await df.respond_with_name(target, request, writer)

        await fleet.add_target("t-b", "plain", respond_late, place="b")
        await fleet.settle(0.3)
        pending = asyncio.create_task(fleet.send_request("/once/a"))
        await fleet.settle(0.1)
        fleet.store.put(KEY, {})
        assert (await pending).status == 200

    run(scenario)


def test_service_with_all_places_evacuated_refuses_at_once_with_the_reason() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        (target,) = await add_targets(fleet, "b")
        fleet.store.put(KEY, {})
        await fleet.settle(0.2)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        with read_log() as lines:
            response = await fleet.send_request("/once/a")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0.0
        assert loop.time() - began_at < ROUND_S
        assert any("outcome=evacuated" in line for line in lines)
        assert not target.requests

    run(scenario)


# Keys that name no place.


@pytest.mark.parametrize(
    ("key", "event"),
    [
        ("op/evacuate/nowhere", "event=evacuation_without_targets place=nowhere"),
        ("op/evacuate/", "event=evacuation_key_invalid"),
        ("op/evacuate/a/b", "event=evacuation_key_invalid"),
    ],
)
def test_key_that_names_no_place_gets_a_log_line_and_changes_nothing(
    key: str, event: str
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await add_targets(fleet, "a", "b")
        with read_log() as lines:
            fleet.store.put(key, b"\xff")
            await fleet.settle(0.5)
        found = [line for line in lines if event in line]
        assert found and "remedy=" in found[0]
        (node,) = fleet.entries
        assert len(node.targets.list_available("plain")) == 2
        assert (await fleet.send_request("/once/a")).status == 200

    run(scenario)


# Settings.


@pytest.mark.parametrize(
    ("values", "evacuation_s", "places"),
    [
        ({"zones": {"z1": "eu"}}, None, {"z1": "eu"}),
        ({"bounds.evacuate_ms": 5000, "zones": {"z1": "eu"}}, 5.0, {"z1": "eu"}),
    ],
)
def test_rendered_settings_have_the_bound_only_if_it_is_stated(
    values: dict[str, object],
    evacuation_s: float | None,
    places: dict[str, str],
    tmp_path: pathlib.Path,
) -> None:
    def render_section(match: re.Match[str]) -> str:
        is_shown = (match[2] in values) == (match[1] == "#")
        return match[3] if is_shown else ""

    def render_value(match: re.Match[str]) -> str:
        return json.dumps(values.get(match[1], STATED.get(match[1], 1)))

    text = ENTRY_TEMPLATE.read_text()
    text = re.sub(r"{{([#^])([^}]+)}}(.*?){{/\2}}", render_section, text)
    text = re.sub(r"{{([^}|]+)\|json}}", render_value, text)
    path = tmp_path / "entry.jsonc"
    path.write_text(text)
    cfg = nodesettings.load_entry(str(path))
    assert isinstance(cfg, nodesettings.EntrySettings), cfg
    assert (cfg.bounds.evacuation_s, cfg.places) == (evacuation_s, places)
    is_stated = evacuation_s is not None
    assert (cfg.ramp_up, cfg.share_capacity) == (is_stated, is_stated)
    assert cfg.contracts == ["base"]


# The order of statements.


def make_part() -> evacuations.EvacuationPart:
    """Return the part of an entry that is not connected."""
    decoder = catalogformat.PlatformStoreDecoder()
    return evacuations.EvacuationPart(decoder, 5.0, lambda: None)


def is_evacuated(part: evacuations.EvacuationPart) -> bool:
    """Return whether a target in place b is out of service."""
    return not part.is_available(targetstate.Target(make_registration()))


def make_registration() -> catalog.TargetRegistration:
    """Return the registration of a target in place b."""
    return catalog.TargetRegistration(
        "t", "plain", "127.0.0.1", 1, "b", 1, catalog.TargetState.READY, 0.0
    )


PEER: typing.Final = admissionpart.PeerMessage("peer", 1, ())


@pytest.mark.parametrize(
    ("earlier", "later"),
    [
        ((True, (1, 100, False)), (False, (1, 110, False))),
        ((False, (1, 110, False)), (True, (1, 111, False))),
        # The copy holds a key that was deleted after the copy was made.
        ((False, (1, 110, False)), (False, (2, 120, False))),
        ((True, (1, 100, False)), (True, (2, 100, True))),
        ((True, (1, 100, False)), (False, (2, 90, False))),
    ],
)
@pytest.mark.parametrize("is_swapped", [False, True])
def test_later_statement_holds_in_whatever_order_entries_hear(
    earlier: tuple[bool, tuple[int, int, bool]],
    later: tuple[bool, tuple[int, int, bool]],
    is_swapped: bool,
) -> None:
    part = make_part()
    statements = [later, earlier] if is_swapped else [earlier, later]
    for is_in_force, position in statements:
        statement = messages.Evacuation("b", is_in_force, position)
        part.on_message(0.0, PEER, messages.AdmissionUpdate(evacuations=[statement]))
    assert is_evacuated(part) == later[0]


def test_copied_key_does_not_bring_back_an_evacuation_that_had_ended() -> None:
    part = make_part()
    deletion = replica.Change(KEY, 110, None)
    part.on_store_change(0.0, replica.Change(KEY, 100, b"{}"), replica.Position(1, 100))
    assert part.on_store_change(0.0, deletion, replica.Position(1, 110))
    copied = replica.Position(2, 100, True)
    assert not part.on_store_change(0.0, replica.Change(KEY, 100, b"{}"), copied)
    assert not is_evacuated(part)


def test_process_that_was_suspended_sends_nothing_until_it_can_know_evacuations() -> (
    None
):
    part = make_part()
    (constraint,) = part.list_constraints()
    registration = make_registration()
    target = targetstate.Target(registration)

    def refresh(now: float, config_age_s: float) -> None:
        part.refresh(now, admissionpart.EntryView("e", (), (), config_age_s), ())

    def is_held(now: float) -> bool:
        verdict = constraint.check(now, target, sendconstraint.ANY_REQUEST)
        return verdict.decision is sendconstraint.Decision.LATER

    assert not is_held(100.0)
    refresh(100.0, 1.0)
    # A suspension within the users' bound holds nothing back.
    assert not is_held(103.0)
    assert is_held(106.0)
    refresh(106.0, 7.0)
    assert is_held(106.01)
    refresh(106.25, 0.2)
    assert not is_held(106.26)
    # Without the store and other entries, requests wait for a moment only.
    refresh(112.0, 6.0)
    refresh(112.25, 6.25)
    assert is_held(112.3)
    assert not is_held(112.0 + evacuations.MAX_HOLD_S)


def test_statements_of_faulty_keys_are_bounded() -> None:
    part = make_part()
    for number in range(evacuations.MAX_STATEMENTS * 2):
        change = replica.Change(f"{KEY}{number}", number, b"{}")
        part.on_store_change(0.0, change, replica.Position(1, number))
    update = messages.AdmissionUpdate()
    part.make_update(0.0, "peer", False, update)
    assert len(update.evacuations or ()) == evacuations.MAX_STATEMENTS


# Permitted regions.


def make_config(
    route_regions: object = None, account_regions: object = None
) -> dict[str, typing.Any]:
    """Return version 2 of the configuration; the regions are those of route free."""
    config: dict[str, typing.Any] = df.make_config(version=2)
    for route in config["routes"]:
        if route["name"] == "free":
            route["allowed_regions"] = route_regions
    config["tenants"][0]["allowed_regions"] = account_regions
    return config


@pytest.mark.parametrize(
    ("route_regions", "account_regions", "permitted"),
    [
        (["eu"], None, {"t-a"}),
        (None, ["us"], {"t-b", "t-c"}),
        (["eu", "us"], ["us", "ap"], {"t-b", "t-c"}),
        ([], [], {"t-a", "t-b", "t-c"}),
    ],
)
def test_requests_run_only_where_route_and_account_permit(
    route_regions: object, account_regions: object, permitted: set[str]
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        targets = await add_targets(fleet, "a", "b", "c")
        fleet.store.put("op/config", make_config(route_regions, account_regions))
        await fleet.settle(0.2)
        for _ in range(40):
            assert (await fleet.send_request("/free/a")).status == 200
        assert {target.name for target in targets if target.requests} == permitted

    run(scenario)


@pytest.mark.parametrize("is_place_known", [True, False])
def test_request_that_no_permitted_region_serves_is_refused_at_once(
    is_place_known: bool,
) -> None:
    # Also behind a request that waits, and if the settings lack the target's place.
    async def scenario(fleet: df.Fleet) -> None:
        (target,) = await add_targets(fleet, "b" if is_place_known else "unknown")
        fleet.store.put("op/config", make_config(["eu"]))
        await fleet.settle(0.2)
        refused = await begin_backoff(fleet, target, "/once/a")
        waiting = asyncio.create_task(fleet.send_request("/once/b"))
        await fleet.settle(0.01)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        with read_log() as lines:
            response = await fleet.send_request("/free/a")
        assert (response.status, waiting.done()) == (503, False)
        assert loop.time() - began_at < 0.05
        assert any("outcome=region_forbidden" in line for line in lines)
        await asyncio.gather(waiting, refused)

    run(scenario)


def test_retry_stays_in_the_permitted_region() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        inside, outside = await add_targets(fleet, "a", "b")
        inside.respond = refuse
        fleet.store.put("op/config", make_config(["eu"]))
        await fleet.settle(0.2)
        assert (await fleet.send_request("/free/a")).status == 503
        assert inside.requests and not outside.requests

    run(scenario)


def test_request_that_waits_for_its_region_holds_back_no_other_request() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        inside, _ = await add_targets(fleet, "a", "b")
        fleet.store.put("op/config", make_config(["eu"]))
        await fleet.settle(0.2)
        refused = await begin_backoff(fleet, inside, "/free/a")
        waiting = asyncio.create_task(fleet.send_request("/free/b"))
        await fleet.settle(0.01)
        response = await fleet.send_request("/once/a")
        assert (response.body, waiting.done()) == (b"t-b", False)
        assert (await waiting).body == b"t-a"
        await refused

    run(scenario)


@pytest.mark.parametrize("regions", ["eu", 5, {"eu": 1}, ["eu", 5], [""], ["nowhere"]])
def test_malformed_regions_refuse_their_own_route_and_lose_nothing_else(
    regions: object,
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        await add_targets(fleet, "a", "b")
        with read_log() as lines:
            fleet.store.put("op/config", make_config(regions))
            await fleet.settle(0.2)
        found = [line for line in lines if "event=regions_invalid route=free" in line]
        assert len(found) == 1 and "remedy=" in found[0]
        assert fleet.entries[0].config_version == 2
        assert (await fleet.send_request("/free/a")).status == 503
        assert (await fleet.send_request("/once/a")).status == 200

    run(scenario)
