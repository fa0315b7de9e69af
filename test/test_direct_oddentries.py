"""Tests that odd entries in the store end no task and fail no request."""

import typing

import msgspec
import pytest

from sardinesaddle.direct import catalog
from sardinesaddle.platform import catalogformat
from test import directfleet as df
from test import test_direct_foreignentries as foreign

DEEP: typing.Final = b"[" * 50_000 + b"]" * 50_000


def insert(name: str, value: bytes) -> bytes:
    """Return the JSON of a valid entry with a field whose value is given as JSON."""
    fields = {key: value for key, value in foreign.VALID.items() if key != name}
    return msgspec.json.encode(fields)[:-1] + b',"%s":%s}' % (name.encode(), value)


ODD_VALUES: typing.Final[dict[str, bytes]] = {
    "empty": b"",
    "no_text": b"\xff\xfe\x00",
    "null": b"null",
    "deep": DEEP,
    "deep_field": insert("extra", DEEP),
    "deep_zone": insert("zone", DEEP),
    "long_number": insert("slots", b"9" * 5000),
    "large_slots": foreign.change(slots=1 << 62),
    "larger_slots": insert("slots", b"9" * 400),
    "large_born": insert("born", b"9" * 400),
    "negative_born": foreign.change(born=-1),
    "fractional_born": foreign.change(born=1.5),
    "large_cold": insert("cold_left_ms", b"1e999"),
    "negative_cold": foreign.change(cold_left_ms=-1),
    "port_0": foreign.change(addr="127.0.0.1:0"),
    "port_65536": foreign.change(addr="127.0.0.1:65536"),
    "long_port": foreign.change(addr="127.0.0.1:" + "9" * 5000),
    "port_of_other_digits": foreign.change(addr="127.0.0.1:\u0669\u0669"),
    "superscript_host": foreign.change(addr="1.2.3.\u00b2:80"),
    "host_name": foreign.change(addr="localhost:9"),
    "host_with_nul": foreign.change(addr="127.0.0.1\0:9"),
    "long_label": foreign.change(addr="x" * 70 + ".example:9"),
    "no_port": foreign.change(addr="127.0.0.1"),
    "other_state": foreign.change(state="resting"),
    "state_as_list": foreign.change(state=["ready"]),
    "service_as_number": foreign.change(service=1),
    "other_service": foreign.change(service="unnamed"),
    "empty_service": foreign.change(service=""),
    "version_as_number": foreign.change(version=1),
    "seq_as_text": foreign.change(seq="1"),
    **{
        f"no_{name}": msgspec.json.encode(
            {k: v for k, v in foreign.VALID.items() if k != name}
        )
        for name in foreign.VALID
    },
}


@pytest.mark.parametrize("name", ODD_VALUES)
def test_odd_entry_is_no_target(name: str) -> None:
    """Guards against odd entries that end the task which follows the store."""
    decoder = catalogformat.PlatformStoreDecoder()
    decoded = decoder.decode_target("servers/x", ODD_VALUES[name])
    if "service" in name and name not in ("no_service", "service_as_number"):
        # Whether a service is named is for the configuration to tell.
        assert isinstance(decoded, catalog.TargetRegistration)
    else:
        assert isinstance(decoded, str)


@pytest.mark.parametrize(
    "target_id", ["", "a/b", "a b", "a\r\nX: y", "\u00e9", "x" * 201]
)
def test_key_that_is_no_identifier_is_no_target(target_id: str) -> None:
    decoder = catalogformat.PlatformStoreDecoder()
    decoded = decoder.decode_target(f"servers/{target_id}", foreign.change())
    assert isinstance(decoded, str)
    assert "\n" not in decoded


def put_odd_entries(fleet: df.Fleet, address: str, prefix: str) -> None:
    """Write all odd entries, as far as possible with an engine's address."""
    for name, value in ODD_VALUES.items():
        data = value.replace(b"127.0.0.1:9", address.encode())
        fleet.store.put(f"servers/{prefix}{name}", data)
    for key in ("a b", "a\r\nX: y", "x" * 190, ""):
        fleet.store.put(f"servers/{key}", foreign.change(addr=address))


def test_odd_entries_keep_no_entry_from_following_and_serving() -> None:
    """Guards against odd entries, listed or watched, that stop the others' use."""

    async def scenario(fleet: df.Fleet) -> None:
        first = await fleet.add_target("t1", "plain", foreign.respond_if_meant)
        address = f"127.0.0.1:{first.port}"
        for round_number in range(2):
            put_odd_entries(fleet, address, f"odd{round_number}-")
            if round_number:
                # This one finds them in its first listing.
                await fleet.add_entry()
            await fleet.settle(2.0)
            for entry_index in range(len(fleet.entries)):
                for number in range(4):
                    resp = await fleet.send_request(f"/once/{number}", entry_index)
                    assert (resp.status, resp.body) == (200, b"t1")
        await fleet.add_target("t2", "plain", foreign.respond_if_meant)
        fleet.store.delete("servers/t1")
        fleet.store.put("op/config", df.make_config(2))
        await fleet.settle(1.0)
        for entry_index, entry in enumerate(fleet.entries):
            assert entry.config_version == 2
            resp = await fleet.send_request("/once/b", entry_index)
            assert (resp.status, resp.body) == (200, b"t2")

    df.run_scenario(scenario)
