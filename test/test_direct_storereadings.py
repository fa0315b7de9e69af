"""Tests that what readers of the store could take differently is not used."""

import asyncio
import base64
import json
import pathlib
import random
import typing

import aiohttp
import aiohttp.web
import msgspec
import pytest

from sardinesaddle.direct import catalog, replica, storewatcher
from sardinesaddle.platform import catalogformat, store
from test import directfleet as df
from test import freeports, processfleet, soak
from test import test_direct_foreignentries as foreign

CONFIG: typing.Final = msgspec.json.encode(df.make_config(2))
DECODER: typing.Final = catalogformat.PlatformStoreDecoder()


def append(data: bytes, fields: bytes) -> bytes:
    """Return an object's JSON with more fields, which may have names of others."""
    return data[:-1] + b"," + fields + b"}"


# Each states a field of the entry twice, or has bytes that a reader may refuse.
AMBIGUOUS_ENTRIES: typing.Final[dict[str, bytes]] = {
    "service_twice": append(foreign.change(), b'"service":"engines"'),
    "service_first": b'{"service":"engines",' + foreign.change()[1:],
    "service_escaped": append(foreign.change(), b'"\\u0073ervice":"engines"'),
    "addr_twice": append(foreign.change(), b'"addr":"127.0.0.1:10"'),
    "state_twice": append(foreign.change(), b'"state":"ready"'),
    "born_with_blanks": append(foreign.change(), b'"born" : 6'),
    "unknown_twice": append(foreign.change(), b'"x":1,"x":2'),
    "nested_twice": append(foreign.change(), b'"x":[{"y":1,"y":1}]'),
    "unknown_without_utf8": append(foreign.change(), b'"x":"\xff"'),
    "unknown_number_of_5000_digits": append(foreign.change(), b'"x":' + b"9" * 5000),
    "zone_with_a_blank": foreign.change(zone="p "),
    "zone_with_a_line_end": foreign.change(zone="p\n"),
    "zone_with_nul": foreign.change(zone="p\0"),
    "port_with_a_zero": foreign.change(addr="127.0.0.1:09"),
    "host_with_a_zero": foreign.change(addr="127.0.0.01:9"),
    "host_of_three_numbers": foreign.change(addr="127.0.1:9"),
    "address_with_a_blank": foreign.change(addr="127.0.0.1: 9"),
}
CLEAR_ENTRIES: typing.Final[dict[str, bytes]] = {
    "compact": foreign.change(),
    "with_blanks": foreign.change().replace(b',"', b', "').replace(b'":', b'": '),
    "with_lines": msgspec.json.format(foreign.change(), indent=2),
    "unknown_field": append(foreign.change(), b'"x":{"service":"engines"}'),
    "list_of_models": append(
        foreign.change(), b'"models":[{"name":"m","version":1},{"name":"n"}]'
    ),
    "value_like_a_name": foreign.change(zone='service": "engines'),
    "escaped_value": foreign.change().replace(b'"p"', b'"\\u0070"'),
    "exponent": append(foreign.change(), b'"x":1e5'),
    "beyond_a_double": append(foreign.change(), b'"x":1e999'),
    "no_zone": foreign.change(zone=""),
    "zone_of_two_words": foreign.change(zone="S\u00e3o Paulo"),
    "other_case": append(foreign.change(), b'"Service":"engines"'),
}


@pytest.mark.parametrize("name", AMBIGUOUS_ENTRIES)
def test_entry_that_readers_take_differently_is_no_target(name: str) -> None:
    """Guards against a target whose service or address other readers do not see."""
    assert isinstance(DECODER.decode_target("servers/x", AMBIGUOUS_ENTRIES[name]), str)


@pytest.mark.parametrize("name", CLEAR_ENTRIES)
def test_entry_that_all_readers_take_alike_is_a_target(name: str) -> None:
    """Guards against a check for names given twice that refuses sound entries."""
    decoded = DECODER.decode_target("servers/x", CLEAR_ENTRIES[name])
    assert isinstance(decoded, catalog.TargetRegistration)
    assert (decoded.service, decoded.port) == ("plain", 9)


def write_fields(rng: random.Random, fields: list[tuple[str, object]]) -> bytes:
    """Return the JSON of an object with blanks and escapes at random places."""
    parts = []
    for name, value in fields:
        written = json.dumps(name)
        if rng.random() < 0.1:
            written = '"' + "".join(f"\\u{ord(char):04x}" for char in name) + '"'
        blanks = [rng.choice(("", "", "", " ", "\n", "\t ")) for _ in range(3)]
        text = json.dumps(value, separators=rng.choice([(",", ":"), (", ", ": ")]))
        parts.append(f"{written}{blanks[0]}:{blanks[1]}{text}{blanks[2]}")
    return ("{" + rng.choice((",", ", ")).join(parts) + "}").encode()


def test_readers_of_the_first_and_of_the_last_value_find_the_same_target() -> None:
    """Guards against forms of a name given twice that the fast check does not see.

    Entries have fields twice, unknown ones, and strings with what looks like fields.
    """
    rng = random.Random(46)
    accepted = 0
    values = ["plain", "engines", ', "service": "x"', 'a": 1, "b', "a:b, c: d", 1, [{}]]
    for _ in range(5000):
        fields = list(foreign.VALID.items())
        fields += [
            (rng.choice(["service", "state", "x", "y", "x: y", "Service"]), value)
            for value in rng.choices(values, k=rng.choice([0, 0, 1, 2]))
        ]
        rng.shuffle(fields)
        data = write_fields(rng, fields)
        is_clear = len(dict(fields)) == len(fields)
        decoded = DECODER.decode_target("servers/x", data)
        assert isinstance(decoded, catalog.TargetRegistration) == is_clear, data
        accepted += is_clear
        first = json.loads(data, object_pairs_hook=lambda pairs: dict(pairs[::-1]))
        if isinstance(decoded, catalog.TargetRegistration):
            assert decoded.service == json.loads(data)["service"] == first["service"]
    assert 1000 < accepted < 4500


@pytest.mark.parametrize(
    "data",
    [
        append(CONFIG, b'"version":9'),
        append(CONFIG, b'"routes":[]'),
        append(CONFIG, b'"tenants":[]'),
        append(CONFIG, b'"\\u0074enants":[]'),
        CONFIG.replace(b'"service":"plain"', b'"service":"plain","service":"x"', 1),
        CONFIG.replace(b'"name":"alice"', b'"name":"bob","name":"alice"'),
        CONFIG.replace(b'"version":2', b'"version":%d' % (1 << 63)),
        CONFIG.replace(b'"version":2', b'"version":2.0'),
        CONFIG.replace(b'"version":2', b'"version":"2"'),
        CONFIG.replace(b'"version":2', b'"version":true'),
    ],
)
def test_configuration_that_readers_take_differently_is_refused(data: bytes) -> None:
    """Guards against routes and keys that other readers of the version do not have."""
    assert data != CONFIG
    assert isinstance(DECODER.decode_catalog(data), str)


@pytest.mark.parametrize(
    "data",
    [
        CONFIG,
        append(CONFIG, b'"new_field":{"a":[1.50,1E3,"\\u00e9"]}'),
        msgspec.json.format(CONFIG, indent=4),
    ],
)
def test_configuration_with_unknown_fields_is_used(data: bytes) -> None:
    """Guards against a refusal of versions that the store accepts."""
    assert isinstance(DECODER.decode_catalog(data), catalog.Catalog)


def test_route_with_weights_beyond_a_double_is_split() -> None:
    """Guards against requests that fail since the sum of weights is infinite."""
    weights = [{"service": name, "weight": 1e308} for name in ("a", "b", "c")]
    weights.append({"service": "never", "weight": 0.0})
    config: dict[str, typing.Any] = df.make_config(2)
    del config["routes"][0]["service"]
    config["routes"][0]["traffic_split"] = weights
    accepted = DECODER.decode_catalog(msgspec.json.encode(config))
    assert isinstance(accepted, catalog.Catalog)
    route = accepted.find_route("h.example", "/once/a")
    assert route is not None
    picked = [catalog.pick_service(route, part / 9) for part in range(9)]
    assert picked == ["a"] * 3 + ["b"] * 3 + ["c"] * 3


def make_accounts(*accounts: dict[str, object]) -> bytes:
    """Return a configuration with these accounts."""
    return msgspec.json.encode(df.make_config(2) | {"tenants": accounts})


ALICE: typing.Final[dict[str, object]] = {"name": "alice", "api_keys": ["k", "k"]}


@pytest.mark.parametrize(
    "other",
    [{"name": "bob"}, {"priority": 9}, {"allowed_regions": ["eu"]}],
)
def test_configuration_with_two_accounts_for_a_key_is_refused(
    other: dict[str, object],
) -> None:
    """Guards against requests with the priority or regions of another reading."""
    assert isinstance(DECODER.decode_catalog(make_accounts(ALICE, ALICE | other)), str)
    assert isinstance(DECODER.decode_catalog(make_accounts(ALICE | other, ALICE)), str)


@pytest.mark.parametrize("other", [ALICE, ALICE | {"api_keys": ["l"], "priority": 9}])
def test_configuration_with_one_account_for_each_key_is_used(
    other: dict[str, object],
) -> None:
    """Guards against a refusal of accounts of which all readers find the same."""
    accepted = DECODER.decode_catalog(make_accounts(ALICE, other))
    assert isinstance(accepted, catalog.Catalog)
    assert accepted.accounts["k"].priority is None


def test_ambiguous_entries_and_configurations_change_nothing_in_processes(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against entries that use what is ambiguous: at once, and after a start."""

    async def scenario(fleet: processfleet.ProcessFleet) -> None:
        await fleet.add_target("t1", "plain", foreign.respond_if_meant)
        other = await fleet.add_target("t2", "engines", foreign.respond_if_meant)
        await asyncio.sleep(1.0)
        addr = f"127.0.0.1:{other.port}".encode()
        # The first reading names the engine's own service, the last one another.
        own = foreign.change(service="engines", addr=addr.decode(), born=1)
        moved = append(own, b'"service":"plain"')
        for key in ("servers/t2", "servers/t3"):
            fleet.store.put(key, moved)
        routes = b'"routes":[]'
        fleet.store.put("op/config", append(CONFIG, routes))
        await asyncio.sleep(1.0)
        for round_number in range(2):
            if round_number:
                await fleet.restart(1)
                # An entry that starts gets the configuration in force from others.
                await asyncio.sleep(1.0)
            sent = [
                fleet.send_request(f"/once/{round_number}-{number}", number % 2)
                for number in range(16)
            ]
            for resp in await asyncio.gather(*sent):
                assert (resp.status, resp.body) == (200, b"t1")
        assert "comes twice" in fleet.read_log(0)
        assert "comes twice" in fleet.read_log(1)
        fleet.store.put("op/config", df.make_config(3))
        fleet.register("t2", "engines")
        await asyncio.sleep(1.0)
        assert (await fleet.send_request("/once/c")).body == b"t1"
        for index in range(2):
            assert "version=3" in fleet.read_log(index)
            assert "exception" not in fleet.read_log(index)

    processfleet.run_scenario(tmp_path, scenario, 2)


class AlteringStoreServer(soak.StoreServer):
    """Serves a store whose items have other fields, which ``altered`` has by key.

    A field whose value is None is left out.
    """

    def __init__(self, memory_store: df.MemoryStore) -> None:
        super().__init__(memory_store)
        self.altered: dict[str, dict[str, object]] = {}

    async def _handle(self, request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        """Respond as the store does, with altered items."""
        resp = await super()._handle(request)
        if resp.status != store.STATUS_OK or not resp.text:
            return resp
        body = json.loads(resp.text)
        for item in body.get("items", []) + body.get("events", []):
            item |= self.altered.get(item["key"], {})
            for name in [name for name, value in item.items() if value is None]:
                del item[name]
        era = {store.ERA_HEADER: resp.headers[store.ERA_HEADER]}
        return aiohttp.web.json_response(body, headers=era)


# Fields of an item of which readers find different values, or none.
UNREADABLE_ITEMS: typing.Final[dict[str, dict[str, object]]] = {
    "urlsafe_alphabet": {"value": "-_8="},
    "urlsafe_characters_left_out": {"value": "eyJh-_In0="},
    "blank": {"value": "YW Jj"},
    "line_end": {"value": "YWJj\n"},
    "no_padding": {"value": "YWI"},
    "padding_only": {"value": "===="},
    "bits_after_the_end": {"value": "YWJ="},
    "text_after_the_padding": {"value": "YQ==YWJj"},
    "not_ascii": {"value": "YW\u00e9="},
    "value_and_deleted": {"value": "e30=", "deleted": True},
    "neither_value_nor_deleted": {"value": None},
    "changed_before_its_creation": {"created_rev": 1 << 40},
}


async def read_altered(
    altered: dict[str, dict[str, object]],
) -> tuple[replica.Delta, replica.Delta]:
    """List and watch a store with entries a, b and c, some of which are altered."""
    memory_store = df.MemoryStore()
    server = AlteringStoreServer(memory_store)
    server.altered = altered
    port = await server.start()
    for key in "abc":
        memory_store.put(f"servers/{key}", b"{}")
    async with aiohttp.ClientSession() as session:
        client = store.PlatformStore(session, f"{soak.STORE_HOST}:{port}")
        listing = await client.read_all("servers/")
        events = await client.watch("servers/", 1, 0.1)
    await server.stop()
    assert isinstance(listing, replica.Delta), listing
    assert isinstance(events, replica.Delta), events
    return listing, events


@pytest.mark.parametrize("name", UNREADABLE_ITEMS)
def test_item_without_a_clear_value_has_none_and_the_others_hold(name: str) -> None:
    """Guards against an item that ends each call, or that is read as a deletion."""
    for delta in asyncio.run(read_altered({"servers/b": UNREADABLE_ITEMS[name]})):
        assert [(c.key, c.value) for c in delta.changes] == [
            ("servers/a", b"{}"),
            ("servers/b", b""),
            ("servers/c", b"{}"),
        ]


@pytest.mark.parametrize("text", ["", "YQ==", "YWI=", "YWJj", "+/+/"])
def test_standard_base64_is_read(text: str) -> None:
    """Guards against a check of values that refuses what the store writes."""
    listing, _ = asyncio.run(read_altered({"servers/b": {"value": text}}))
    assert listing.changes[1].value is not None
    assert base64.b64encode(listing.changes[1].value).decode() == text


def test_deletions_are_read() -> None:
    """Guards against deleted entries that stay in use."""
    deleted: dict[str, object] = {"value": None, "created_rev": None, "deleted": True}
    _, events = asyncio.run(read_altered({"servers/b": deleted}))
    assert [change.value for change in events.changes] == [b"{}", None, b"{}"]


def test_unreadable_items_keep_no_process_from_following(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a list that is not followed since an entry in it is odd."""

    async def scenario(fleet: processfleet.ProcessFleet) -> None:
        server = fleet.store_server
        assert isinstance(server, AlteringStoreServer)
        for name, fields in UNREADABLE_ITEMS.items():
            server.altered[f"servers/{name}"] = fields
        server.altered["op/evacuate/q"] = {"value": "e30=", "deleted": True}
        server.altered["op/other"] = UNREADABLE_ITEMS["no_padding"]
        await fleet.add_target("t1", "plain", foreign.respond_if_meant)
        await fleet.add_target("far", "plain", foreign.respond_if_meant, place="q")
        await asyncio.sleep(1.0)
        for round_number in range(2):
            for name in UNREADABLE_ITEMS:
                fleet.store.put(f"servers/{name}", b"{}")
            fleet.store.put("op/evacuate/q", b"{}")
            fleet.store.put("op/other", b"{}")
            await asyncio.sleep(0.5)
            if round_number:
                # This one finds them in its first listing.
                await fleet.restart(1)
            added = f"new{round_number}"
            await fleet.add_target(added, "plain", foreign.respond_if_meant)
            fleet.store.put("op/config", df.make_config(2 + round_number))
            await asyncio.sleep(1.5)
            sent = [
                fleet.send_request(f"/once/{round_number}-{number}", number % 2)
                for number in range(32)
            ]
            responses = await asyncio.gather(*sent)
            assert {resp.status for resp in responses} == {200}
            bodies = {resp.body for resp in responses}
            assert added.encode() in bodies
            assert b"far" not in bodies
            for index in range(2):
                log = fleet.read_log(index)
                assert f"version={2 + round_number}" in log
                assert "event=item_unreadable" in log
                assert "event=task_failed" not in log

    processfleet.run_scenario(
        tmp_path,
        scenario,
        2,
        serve_store=AlteringStoreServer,
        bounds={"evacuation_s": 5.0},
    )


def test_listing_with_a_key_twice_has_its_last_change() -> None:
    """Guards against a first listing that is read otherwise than a later one."""
    older, newer = (replica.Change("servers/a", rev, b"%d" % rev, 1) for rev in (5, 6))
    for era in (0, 3):
        for changes in ((older, newer), (newer, older)):
            known = replica.Replica()
            known.apply(replica.Delta(changes, 7, True, era))
            assert known.get_value("servers/a") == b"6", (era, changes)


@pytest.mark.parametrize(
    "fields",
    [{"rev": 1 << 63}, {"rev": -1}, {"created_rev": -1}, {"rev": 1.0}, {"key": 7}],
)
def test_page_with_an_impossible_item_is_a_failed_call(
    fields: dict[str, object],
) -> None:
    """Guards against revisions that no other entry can be told."""
    with pytest.raises(AssertionError, match="invalid page"):
        asyncio.run(read_altered({"servers/b": fields}))


def test_key_of_another_prefix_is_left_out() -> None:
    """Guards against two keys for one target."""
    for delta in asyncio.run(read_altered({"servers/b": {"key": "b"}})):
        assert [change.key for change in delta.changes] == ["servers/a", "servers/c"]


@pytest.mark.parametrize(
    "statements",
    [
        ["9" * 5000],
        ["9" * 19],
        ["-1"],
        ["1.0"],
        ["1, 2"],
        ["1", "2"],
        ["2", "1"],
        [""],
        ["\u0661"],
    ],
)
def test_era_that_is_not_clear_is_a_failed_call(statements: list[str]) -> None:
    """Guards against an era that drops all later responses, or that cannot be told."""
    assert isinstance(asyncio.run(read_with_eras(statements)), storewatcher.StoreFault)


@pytest.mark.parametrize(("statements", "era"), [([], 0), (["7"], 7), (["7", "7"], 7)])
def test_clear_era_is_read(statements: list[str], era: int) -> None:
    listing = asyncio.run(read_with_eras(statements))
    assert isinstance(listing, replica.Delta)
    assert listing.era == era


async def read_with_eras(
    statements: list[str],
) -> replica.Delta | storewatcher.StoreFault:
    """List a store whose response has these values of the era's header."""

    async def handle(request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        resp = aiohttp.web.json_response({"items": [], "store_revision": 1})
        for statement in statements:
            resp.headers.add(store.ERA_HEADER, statement)
        return resp

    runner = aiohttp.web.ServerRunner(aiohttp.web.Server(handle))
    await runner.setup()
    port = freeports.find_free_port(soak.STORE_HOST)
    await aiohttp.web.TCPSite(runner, soak.STORE_HOST, port).start()
    async with aiohttp.ClientSession() as session:
        client = store.PlatformStore(session, f"{soak.STORE_HOST}:{port}")
        listing = await client.read_all("servers/")
    await runner.cleanup()
    return listing
