"""Tests that what readers of the store could take differently is not used."""

import asyncio
import pathlib
import typing

import msgspec
import pytest

from sardinesaddle.direct import catalog
from sardinesaddle.platform import catalogformat
from test import directfleet as df
from test import processfleet
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


@pytest.mark.parametrize(
    "data",
    [
        append(CONFIG, b'"version":9'),
        append(CONFIG, b'"routes":[]'),
        append(CONFIG, b'"tenants":[]'),
        append(CONFIG, b'"\\u0074enants":[]'),
        CONFIG.replace(b'"service":"plain"', b'"service":"plain","service":"x"', 1),
        CONFIG.replace(b'"name":"alice"', b'"name":"bob","name":"alice"'),
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
