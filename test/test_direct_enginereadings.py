"""Tests that what readers of an engine's pages could take differently is not used."""

import asyncio
import json
import typing

import aiohttp.test_utils
import aiohttp.web
import msgspec
import pytest

from sardinesaddle.direct import engine
from sardinesaddle.platform import engines, headers

REPORT: typing.Final[dict[str, object]] = {
    "stage": "colocated",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "busy": False,
    "seq": 2,
    "waiting": 1,
    "running": 12,
    "kv_used": 41000,
    "kv_total": 90000,
    "handles": 0,
    "pace": 1.0,
    "born": 1780000000123,
    "group": {"name": "g", "epoch": 3, "rank": 2, "state": "open"},
    "size": 4,
    "step": 812,
    "map": 7,
    "prepared": None,
    "armed": {"version": 9, "step": 820},
    "held": 820,
}
PICKED: typing.Final[dict[str, object]] = {"step": 812, "epoch": 3, "counts": [5, 8]}
LISTS: typing.Final[dict[str, object]] = {
    "map": {"version": 7, "experts": [[0, 2], [1, 3]]},
    "prepared": {"version": 9, "experts": [[0, 2], [1, 4]]},
}


def encode(page: dict[str, object], **fields: object) -> bytes:
    """Return a page's JSON with other fields; the value ``...`` leaves one out."""
    changed = {k: v for k, v in (page | fields).items() if v is not ...}
    return json.dumps(changed).encode()


def append(page: dict[str, object], fields: bytes) -> bytes:
    """Return a page's JSON with more fields at the end."""
    return json.dumps(page).encode()[:-1] + b"," + fields + b"}"


def change_group(**fields: object) -> bytes:
    """Return a report whose group has other fields."""
    group = typing.cast("dict[str, object]", REPORT["group"])
    return encode(REPORT, group=json.loads(encode(group, **fields)))


Read = typing.Callable[
    [engines.PlatformEngine],
    typing.Coroutine[typing.Any, typing.Any, typing.Any],
]


def read_page(
    data: bytes, read: Read, statements: tuple[str, ...] = (), status: int = 200
) -> typing.Any:
    """Return what a client reads of a page with these bytes and statements."""

    async def respond(request: aiohttp.web.BaseRequest) -> aiohttp.web.Response:
        resp = aiohttp.web.Response(body=data, status=status)
        for statement in statements:
            resp.headers.add(headers.LEAVING, statement)
        return resp

    async def run() -> typing.Any:
        server = aiohttp.test_utils.RawTestServer(respond)
        await server.start_server()
        client = engines.PlatformEngine(f"{server.host}:{server.port}")
        outcome = await read(client)
        await client.close()
        await server.close()
        return outcome

    return asyncio.run(run())


def read_state(data: bytes, *statements: str) -> typing.Any:
    """Return the state that a client reads of a report."""
    return read_page(data, lambda client: client.read_state(), statements)


ODD_REPORTS: typing.Final[dict[str, bytes]] = {
    "empty": b"{}",
    "counts": encode(PICKED),
    "lists": encode(LISTS),
    "running_twice": append(REPORT, b'"running":0'),
    "size_twice": append(REPORT, b'"size":2'),
    "held_twice": append(REPORT, b'"held":null'),
    "epoch_twice": encode(REPORT).replace(b'"epoch": 3', b'"epoch": 3, "epoch": 2'),
    "cut": encode(REPORT)[:-1],
    "bytes_after_it": encode(REPORT) + b"{}",
    "nul_after_it": encode(REPORT) + b"\0",
    "not_utf8": append(REPORT, b'"x":"\xff"'),
    "running_missing": encode(REPORT, running=...),
    "running_negative": encode(REPORT, running=-1),
    "running_huge": encode(REPORT, running=1 << 70),
    "running_as_text": encode(REPORT, running="1"),
    "running_true": encode(REPORT, running=True),
    "waiting_negative": encode(REPORT, waiting=-1),
    "seq_negative": encode(REPORT, seq=-1),
    "pace_negative": encode(REPORT, pace=-1.0),
    "pace_huge": encode(REPORT, pace=1e308),
    "born_negative": encode(REPORT, born=-1),
    "born_huge": encode(REPORT, born=1 << 70),
    "step_huge": encode(REPORT, step=1 << 70),
    "held_negative": encode(REPORT, held=-1),
    "held_huge": encode(REPORT, held=1 << 70),
    "map_huge": encode(REPORT, map=1 << 70),
    "armed_without_version": encode(REPORT, armed={"step": 820}),
    "armed_without_step": encode(REPORT, armed={"version": 9}),
    "armed_as_list": encode(REPORT, armed=[9, 820]),
    "size_missing": encode(REPORT, size=...),
    "size_0": encode(REPORT, size=0),
    "size_negative": encode(REPORT, size=-4),
    "size_of_the_rank": encode(REPORT, size=2),
    "size_huge": encode(REPORT, size=1 << 40),
    "rank_missing": change_group(rank=...),
    "rank_negative": change_group(rank=-1),
    "rank_of_another_group": change_group(rank=4),
    "epoch_missing": change_group(epoch=...),
    "epoch_huge": change_group(epoch=1 << 70),
    "state_missing": change_group(state=...),
    "name_missing": change_group(name=...),
}


@pytest.mark.parametrize("name", ODD_REPORTS)
def test_odd_report_is_a_failed_call(name: str) -> None:
    """Guards against a state that another reader of the report does not find."""
    assert isinstance(read_state(ODD_REPORTS[name]), engine.EngineFault)


@pytest.mark.parametrize(
    "data",
    [
        encode(REPORT),
        msgspec.json.encode(REPORT),
        msgspec.json.format(msgspec.json.encode(REPORT), indent=1),
        append(REPORT, b'"new_field":[{"running":1},{"running":2}]'),
        encode(REPORT, map={"version": 7}),
        encode(REPORT, models=...),
    ],
)
def test_report_is_read(data: bytes) -> None:
    """Guards against a check of reports that refuses what engines write."""
    state = read_state(data)
    assert isinstance(state, engine.EngineState)
    assert (state.group, state.epoch, state.rank, state.size) == ("g", 3, 2, 4)
    assert (state.running, state.waiting, state.accepted_orders) == (12, 1, 2)
    assert (state.map_version, state.prepared_version) == (7, 0)
    assert (state.armed_version, state.armed_step, state.held_step) == (9, 820, 820)


@pytest.mark.parametrize(
    "data",
    [
        # As on the page for engines that form no group, and the least that is needed.
        encode(
            REPORT,
            **dict.fromkeys(
                ("group", "size", "step", "map", "prepared", "armed", "held"), ...
            ),
        ),
        b'{"running":12}',
        encode(REPORT, group=None, size=0),
    ],
)
def test_report_of_an_engine_without_a_group_is_read(data: bytes) -> None:
    """Guards against a loss of engines that are ranks of no group."""
    state = read_state(data)
    assert isinstance(state, engine.EngineState)
    assert (state.group, state.running) == ("", 12)


@pytest.mark.parametrize(
    ("statements", "is_leaving"),
    [
        ((), False),
        (("1",), True),
        (("1", "1"), True),
        (("1, 1",), True),
        (("0",), False),
        (("0", "1"), None),
        (("1", "0"), None),
        (("1, 0",), None),
    ],
)
def test_contradictory_statements_that_an_engine_leaves_are_a_failed_call(
    statements: tuple[str, ...], is_leaving: bool | None
) -> None:
    """Guards against an engine that is out of use for good by one of two statements."""
    state = read_state(encode(REPORT), *statements)
    if is_leaving is None:
        assert isinstance(state, engine.EngineFault)
    else:
        assert state.is_leaving is is_leaving


@pytest.mark.parametrize(
    "data",
    [
        append(PICKED, b'"counts":[0,0]'),
        append(PICKED, b'"epoch":2'),
        encode(PICKED, counts=[5, -1]),
        encode(PICKED, counts=[5, 1 << 60]),
        b'{"step":1,"epoch":1,"counts":[' + b"9" * 400 + b"]}",
        encode(PICKED, counts=[5, 1.5]),
        encode(PICKED, counts=[5, "8"]),
        encode(PICKED, counts=[[5, 8]]),
        encode(PICKED, epoch=...),
        encode(REPORT),
        encode(PICKED)[:-1],
        encode(PICKED) + b" 1",
    ],
)
def test_odd_counts_are_a_failed_call(data: bytes) -> None:
    """Guards against counts that no reader adds up, or that another one reads."""
    outcome = read_page(data, lambda client: client.read_counts())
    assert isinstance(outcome, engine.EngineFault)


def test_counts_are_read() -> None:
    outcome = read_page(encode(PICKED), lambda client: client.read_counts())
    assert outcome == engine.ExpertCounts(812, 3, [5, 8])


@pytest.mark.parametrize(
    "data",
    [
        append(LISTS, b'"map":{"version":7,"experts":[]}'),
        encode(LISTS, map={"experts": [[0, 2], [1, 3]]}),
        encode(LISTS, map={"version": 7}),
        encode(LISTS, map={"version": 7, "experts": [[0, 2], [1, -3]]}),
        encode(LISTS, map={"version": 7, "experts": [[0, 2], [1, 1 << 40]]}),
        encode(LISTS, map={"version": 7, "experts": [[0, 2], [1, 1]]}),
        encode(LISTS, map={"version": 7, "experts": [[0, 2], [1, True]]}),
        encode(LISTS, map=...),
        encode(REPORT),
        encode(PICKED),
    ],
)
def test_odd_experts_are_a_failed_call(data: bytes) -> None:
    """Guards against a map that the rank does not have."""
    outcome = read_page(data, lambda client: client.read_experts())
    assert isinstance(outcome, engine.EngineFault)


@pytest.mark.parametrize(
    "data", [encode(LISTS), msgspec.json.encode(LISTS), encode(LISTS, prepared=...)]
)
def test_experts_are_read_with_their_version(data: bytes) -> None:
    outcome = read_page(data, lambda client: client.read_experts())
    assert outcome == engine.RankExperts(7, [[0, 2], [1, 3]])
