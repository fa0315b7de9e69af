"""The platform adapter is small, and only it uses the platform's wire names."""

import pathlib
import re

import pytest

from sardinesaddle.direct import catalog, headercodec
from sardinesaddle.platform import catalogformat, engines, headers
from test import directfleet as df

PACKAGE = pathlib.Path(__file__).parent.parent / "sardinesaddle"
ADAPTER = PACKAGE / "platform"
WIRE_NAMES = (
    "Expect-Instance|Server-Stamp|Not-Executed|Attempt-Id|(?<!X-)Deadline-Ms|Token-Usage"
    "|Length-Hint|Request-Priority|Last-Event-Id|At-Server|op/config|servers/|kv-key"
    "|kv-range|kv-watch|store_revision|more_pages|created_revision|traffic_split"
    "|api_keys|gap_aim_ms|target_latency_ms|cold_left_ms|/picked|/report|/order(?!s)"
    "|per_seq_ms|context_per_k"
)


def list_sources(is_adapter: bool) -> list[pathlib.Path]:
    """Return the package's source files inside or outside the adapter."""
    return [
        path
        for path in sorted(PACKAGE.rglob("*.py"))
        if (ADAPTER in path.parents) == is_adapter
    ]


def test_wire_names_appear_only_in_the_adapter() -> None:
    violations = [
        f"{path.name}:{number}: {line.strip()}"
        for path in list_sources(is_adapter=False)
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if re.search(WIRE_NAMES, line)
    ]
    # httptarget.py has the product's own engine interface, which also sends orders.
    assert [line for line in violations if "httptarget" not in line] == []


def test_wire_name_pattern_matches_adapter_sources() -> None:
    text = "\n".join(path.read_text() for path in list_sources(is_adapter=True))
    assert len(set(re.findall(WIRE_NAMES, text))) > 15


def test_adapter_is_under_a_tenth_of_the_code() -> None:
    sizes = {
        inside: sum(len(path.read_text().splitlines()) for path in list_sources(inside))
        for inside in (True, False)
    }
    assert sizes[True] * 10 < sizes[True] + sizes[False]


def test_config_is_decoded_into_catalog() -> None:
    config = catalogformat.PlatformStoreDecoder().decode_catalog(
        b'{"version": 7, "new_field": 1, "routes": [{"name": "r", "host": "h",'
        b' "prefix": "/a/", "kind": "streaming", "timeout_ms": 8000, "priority": 1,'
        b' "traffic_split": [{"service": "s", "weight": 90}, {"service": "t",'
        b' "weight": 10}], "max_attempts": 2, "resumable": true, "gap_aim_ms": 120},'
        b' {"name": "q", "host": "h", "prefix": "/a/b/", "kind": "non_idempotent",'
        b' "timeout_ms": 2000, "service": "s"}], "services": [{"name": "s",'
        b' "engine": {"slots": 6, "step_ms": 4.84, "expert_mb": 1700,'
        b' "link_mbps": 92000}}], "tenants": [{"name": "n", "api_keys": ["k"],'
        b' "priority": 1}], "limits": {"max_body_bytes": 9}}'
    )
    assert isinstance(config, catalog.Catalog)
    route = config.find_route("h", "/a/x")
    assert route is not None
    assert (route.execution, route.is_stream) == (catalog.Execution.REPEATABLE, True)
    assert (route.timeout_s, route.max_event_gap_s) == (8.0, 0.12)
    assert [
        catalog.pick_service(route, fraction) for fraction in (0.0, 0.89, 0.91)
    ] == [
        "s",
        "s",
        "t",
    ]
    inner = config.find_route("h", "/a/b/c")
    assert inner is not None
    assert inner.execution is catalog.Execution.AT_MOST_ONCE
    assert config.find_route("h", "/b/") is None
    assert config.find_route("other", "/a/") is None
    engine = config.services["s"].engine
    assert engine is not None
    assert engine.copy_s_per_expert == pytest.approx(0.148, abs=0.001)
    assert config.accounts["k"].name == "n"
    assert config.limits.max_body_bytes == 9


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"[]",
        b'{"service": "s", "addr": "a:1", "zone": "z", "slots": "6", "state": "ready"}',
        b'{"service": "s", "addr": "a", "zone": "z", "slots": 6, "state": "ready"}',
        b'{"service": "s", "addr": "a:1", "zone": "z", "slots": 6, "state": "resting"}',
    ],
)
def test_malformed_target_registration_is_rejected(data: bytes) -> None:
    fault = catalogformat.PlatformStoreDecoder().decode_target("servers/i-1", data)
    assert isinstance(fault, str)


def test_malformed_request_headers_are_ignored() -> None:
    codec = headers.PlatformHeaderCodec()
    metadata = codec.parse_request_headers(
        [("deadline-ms", "soon"), ("token-usage", "x,"), ("A", "")]
    )
    assert metadata == headercodec.RequestMetadata("", None, None, 0, 0, None, None)
    metadata = codec.parse_request_headers(
        [
            ("Attempt-Id", "ab"),
            ("Deadline-Ms", "1500"),
            ("Token-Usage", "14,80"),
            ("Authorization", "Bearer  k "),
            ("Last-Event-Id", "3"),
        ]
    )
    assert metadata == headercodec.RequestMetadata("ab", 1.5, "k", 14, 80, None, 3)


def test_engine_versions_are_decoded_from_both_forms() -> None:
    assert engines.get_version(None) == 0
    assert engines.get_version(4) == 4
    assert engines.get_version(engines.WireVersion(5, 9)) == 5


def test_config_of_test_fleet_matches_platform_format() -> None:
    import msgspec

    data = msgspec.json.encode(df.make_config())
    config = catalogformat.PlatformStoreDecoder().decode_catalog(data)
    assert isinstance(config, catalog.Catalog)


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (" AB:1 , cd:2,ab:3,ef:4", ("ab", "cd")),
        ("ab:1", ()),
        ("", ()),
        (",,:7,x", ()),
        ("ab,cd", ("ab",)),
    ],
)
def test_shared_parts_of_a_prompt_are_read(text: str, parts: tuple[str, ...]) -> None:
    assert headers.parse_prompt_parts(text) == parts


def test_long_list_of_parts_is_cut_in_the_middle() -> None:
    text = ",".join(f"{number:x}:1" for number in range(1000))
    parts = headers.parse_prompt_parts(text + ",own:1")
    assert len(parts) == headers.MAX_PROMPT_PARTS
    assert (parts[0], parts[-1]) == ("0", "3e7")
