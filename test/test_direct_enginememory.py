"""Tests that engines never hold more than their memory, and that it is used.

The model is that of ``fullengines``: several entries decide in model time, with reports
that are 0.3 s old.
"""

import asyncio
import collections.abc
import json
import math
import pathlib
import typing

import msgspec
import pytest

from sardinesaddle.direct import (
    catalog,
    engine,
    entryrole,
    memorygrants,
    messages,
    nodemetrics,
    nodesettings,
    targetpool,
)
from sardinesaddle.direct.admission import (
    enginememory,
    entryadmission,
    responselengths,
    sendconstraint,
)
from sardinesaddle.platform import catalogformat, engines, headers
from test import directfleet as df
from test import fullengines

USED_SHARE: typing.Final = 0.7
SETTLED_S: typing.Final = 6.0
END_S: typing.Final = 12.0
LOADS: typing.Final = {
    "usual": fullengines.Load(),
    # Responses three times as long as their hints.
    "longer than hints": fullengines.Load(prompt=600.0, hint=200.0, bias=3.0),
    "spread of 1.5": fullengines.Load(spread=1.5),
    # Prompts of up to 0.8 of the memory among small ones.
    "large prompts": fullengines.Load(prompt=3000.0, prompt_spread=1.2),
}
# Most of the memory is for outputs, whose lengths the hints hardly tell.
OUTPUTS: typing.Final = fullengines.Load(150.0, 0.5, 300.0, 1.0, 1.5, 8000)


@pytest.mark.parametrize("entries", [4, 13])
@pytest.mark.parametrize("name", list(LOADS))
def test_memory_is_used_and_never_exceeded(name: str, entries: int) -> None:
    # Guards against entries that fill the same free memory together.
    by_reports = fullengines.Simulation(entries, 1, LOADS[name], limited=False)
    by_reports.run(2.0)
    assert by_reports.count_crashes()
    simulation = fullengines.Simulation(entries, 1, LOADS[name])
    simulation.run(END_S)
    assert not simulation.count_crashes()
    assert simulation.compute_used_share(SETTLED_S) >= USED_SHARE


@pytest.mark.parametrize("entries", [1, 4])
def test_memory_suffices_for_outputs_of_unknown_length(entries: int) -> None:
    # Guards against lengths that are learned from completed responses alone, and
    # against new requests in the place of those that others outgrew.
    simulation = fullengines.Simulation(entries, 1, OUTPUTS)
    # The longest responses take 160 s.
    simulation.timeout_s = math.inf
    simulation.run(36.0)
    assert not simulation.count_crashes()


def cut_off(simulation: fullengines.Simulation) -> None:
    """Cut an entry off from the sidecars, but not from the engines."""
    simulation.entries[0].is_cut_off = True


def restart_entry(simulation: fullengines.Simulation) -> None:
    """Restart an entry."""
    simulation.restart(0)


def restart_sidecars(simulation: fullengines.Simulation) -> None:
    """Restart the sidecars, which lose what they stated."""
    for target in simulation.engines:
        target.grants = memorygrants.MemoryGrants(simulation.now)


@pytest.mark.parametrize("disturb", [cut_off, restart_entry, restart_sidecars])
def test_memory_holds_while_processes_are_lost(
    disturb: collections.abc.Callable[[fullengines.Simulation], None],
) -> None:
    # Guards against limits that are given to others while the first may use them.
    simulation = fullengines.Simulation(4, 2, LOADS["spread of 1.5"])
    simulation.run(SETTLED_S)
    disturb(simulation)
    simulation.run(SETTLED_S + 14.0)
    simulation.entries[0].is_cut_off = False
    simulation.run(SETTLED_S + 20.0)
    assert not simulation.count_crashes()
    assert simulation.compute_used_share(SETTLED_S) >= USED_SHARE


class Exchange:
    """Reports of a sidecar that starts at -10, and the replies of entries."""

    def __init__(self, started_at: float = -10.0) -> None:
        self.grants = memorygrants.MemoryGrants(started_at)

    def reply(self, now: float, host: str, held: int, process: int = 1) -> int:
        """Return what an entry is told that it may need now, and let it reply."""
        count = len(memorygrants.HORIZONS)
        state = self.grants.make_state(now, host, 0, 100_000)
        use = messages.MemoryUse(process, [held] * count, [0] * count, 0, 2000)
        self.grants.on_reply(now, host, use, True)
        return state.limit[0] if state and state.limit else 0


def test_limit_of_a_lost_entry_is_divided_after_its_requests_have_ended() -> None:
    exchange = Exchange()
    exchange.reply(0.0, "a", 0)
    assert exchange.reply(0.1, "a", 90_000) > 90_000
    exchange.reply(0.2, "b", 0)
    # Until the lease of "a" and the requests that it sent in it have ended.
    lost_until = 0.1 + memorygrants.LEASE_S + memorygrants.ARRIVAL_S + 2.0
    assert exchange.reply(lost_until - 0.1, "b", 0) < 10_000
    standing = 100_000 * memorygrants.STANDING_SHARE
    later = lost_until + memorygrants.RECOUNT_S
    assert 80_000 < exchange.reply(later, "b", 0) <= 94_000 - standing
    # Another process does not get what was stated to the one before.
    exchange.reply(later + 0.1, "b", 0, process=2)
    assert exchange.reply(later + 0.2, "b", 0, process=2) < 10_000


def test_sidecar_that_starts_gives_nothing_out_during_older_leases() -> None:
    # Guards against limits of its predecessor for entries that it does not know yet.
    exchange = Exchange(0.0)
    older_until = memorygrants.LEASE_S + memorygrants.ARRIVAL_S
    for now in (0.1, 1.0):
        exchange.reply(now, "a", 500)
    assert exchange.reply(older_until - 0.1, "a", 500) == 500
    assert exchange.reply(older_until + 0.1, "a", 500) > 500


def make_part(now: float = 0.0) -> enginememory.EngineMemory:
    """Return a part with the model's configuration."""
    part = enginememory.EngineMemory(1)
    part.on_catalog(now, fullengines.make_catalog())
    return part


def make_report(
    target: fullengines.Engine, limit: int | None, echo_ms: int, number: int = 0
) -> messages.Report:
    """Return a report with a limit for process 1."""
    limits = None if limit is None else [limit] * len(memorygrants.HORIZONS)
    memory = messages.MemoryState(0, fullengines.MEMORY, number, limits, echo_ms, 1)
    return messages.Report(
        "s", target.target.address, True, 0, 0, 1.0, "", 0, 0, 0, True, 1.0, 0.3,
        memory=memory,
    )  # fmt: skip


def test_late_and_old_statements_give_no_memory() -> None:
    # Guards against a report that a network held back, or that arrives after a newer.
    part, target = make_part(), fullengines.Engine(0)
    request = sendconstraint.RequestTraits(prompt_tokens=1460, output_tokens=60)
    part.on_registered(0.0, target.target)
    part.on_report(10.0, target.target, make_report(target, 50_000, 8_700, 1))
    verdict = part.check(10.0, target.target, request)
    assert (verdict.decision.value, verdict.reason) == ("later", "engine_memory")
    part.on_report(10.0, target.target, make_report(target, 0, 9_900, 3))
    part.on_report(10.1, target.target, make_report(target, 50_000, 9_900, 2))
    assert not part.check(10.1, target.target, request).is_allowed
    part.on_report(10.2, target.target, make_report(target, 50_000, 10_000, 4))
    assert part.check(10.2, target.target, request).is_allowed
    assert not part.check(11.3, target.target, request).is_allowed
    # Without a sidecar, the standing part remains, here for two requests.
    for _ in range(2):
        assert part.check(13.0, target.target, request).is_allowed
        part.on_send(13.0, target.target, request)
    assert not part.check(13.0, target.target, request).is_allowed


def test_request_beyond_an_engines_memory_is_refused_at_once() -> None:
    part = make_part()
    pool = targetpool.TargetPool("p", admission=entryadmission.EntryAdmission([part]))
    target = fullengines.Engine(0).target
    pool.register(target.registration)
    tokens = fullengines.MEMORY
    request = sendconstraint.RequestTraits(prompt_tokens=tokens, output_tokens=1)
    assert pool.may_run(0.0, "model", request).decision.value == "never"
    smaller = sendconstraint.RequestTraits(prompt_tokens=tokens - 1, output_tokens=1)
    assert pool.may_run(0.0, "model", smaller).is_allowed


def test_engine_that_states_no_memory_gets_no_decisions() -> None:
    part, target = make_part(), fullengines.Engine(0)
    report = msgspec.structs.replace(make_report(target, None, 0), memory=None)
    request = sendconstraint.RequestTraits(prompt_tokens=10**9)
    part.on_report(0.0, target.target, report)
    assert part.check(0.0, target.target, request).is_allowed
    plain = enginememory.EngineMemory(1)
    plain.on_catalog(0.0, fullengines.make_catalog(0.0))
    assert plain.check(0.0, target.target, request).is_allowed
    assert plain.make_memory_use(0.0, target.target) is None


def test_running_responses_count_for_the_lengths() -> None:
    # Guards against taking lengths for short since the short ones complete first.
    lengths = responselengths.ResponseLengths()
    size = responselengths.RequestSize(100.0, 100.0, 0.0)
    for number in range(200):
        tokens = 50.0 if number < 50 else 800.0
        lengths.count_reached(size, 0.0, tokens)
        if number < 50:
            lengths.count_ended(size, tokens)
    assert lengths.find_quantile(0.5) > 4.0


@pytest.mark.parametrize(
    ("used", "total", "expected"),
    [
        (5, 10, (5, 10)),
        (4.2, 10.0, (5, 10)),
        (None, 10, (0, 0)),
        (-1, 10, (0, 0)),
        (True, 10, (0, 0)),
        ("5", 10, (0, 0)),
        (float("nan"), 10, (0, 0)),
        (5, float("inf"), (0, 0)),
    ],
)
def test_memory_of_engines_is_decoded(
    used: object, total: object, expected: tuple[int, int]
) -> None:
    assert engines.decode_memory(used, total) == expected


@pytest.mark.parametrize(
    ("value", "expected"), [("116666", 116_666.0), ("-1", 0.0), ('"a"', 0.0)]
)
def test_capacity_of_engines_is_decoded(value: str, expected: float) -> None:
    data = (
        '{"version": 1, "routes": [], "services": [{"name": "m", "engine":'
        f' {{"slots": 5, "kv_capacity": {value}}}}}]}}'
    )
    current = catalogformat.decode_catalog(data.encode())
    assert isinstance(current, catalog.Catalog)
    model = current.services["m"].engine
    assert model is not None
    assert model.memory_tokens == expected


def test_reports_of_older_processes_are_understood() -> None:
    state = engine.EngineState(0, 0, 1.0, 0, "g", 1, 0, 3, True, 5, 0, 0, 0, 0, 0)
    assert state.memory_total == 0
    reply = messages.ReportReply(1, True, [], [], True, [])
    encoded = messages.ENCODER.encode(reply)
    fields = msgspec.msgpack.decode(encoded)[:-1]
    decoded = messages.REPLY_DECODER.decode(msgspec.msgpack.encode(fields))
    assert decoded == reply


@pytest.mark.parametrize("names", [["other", "pressure"], ["other"]])
def test_part_is_asked_for_by_the_contract(
    names: list[str], tmp_path: pathlib.Path
) -> None:
    # Guards against a deployment without the rule that gets the part.
    path = tmp_path / "entry.json"
    settings = {
        "name": "n",
        "host": "h",
        "place": "p",
        "store": "h:1",
        "node_ports": [1, 1],
        "front": "h:2",
        "ready": "h:3",
        "contracts": names,
    }
    path.write_text(json.dumps(settings))
    cfg = entryrole.EntryRole().load_settings(str(path))
    assert isinstance(cfg, nodesettings.EntrySettings)
    parts = entryadmission.build_parts(
        cfg, 0.0, catalogformat.PlatformStoreDecoder(), lambda: None
    )
    has_part = any(isinstance(part, enginememory.EngineMemory) for part in parts)
    assert has_part == ("pressure" in names)


def test_part_shows_its_metrics() -> None:
    entry_metrics = nodemetrics.EntryMetrics("n")
    part, target = make_part(), fullengines.Engine(0)
    part.on_report(0.0, target.target, make_report(target, 5000, 0))
    part.on_send(0.0, target.target, sendconstraint.RequestTraits(prompt_tokens=100))
    part.write_metrics(0.1, entry_metrics)
    assert "engine_memory_limit_tokens" in str(entry_metrics.render())


def test_entry_takes_part_and_counts_the_events_of_streams(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against hooks that the entry's request path does not call.
    part = make_part()
    monkeypatch.setattr(entryadmission, "build_parts", lambda *_: [part])
    config = df.make_config()
    config["services"] = [
        {"name": "plain"},
        {"name": "engines", "engine": {"slots": 4, "kv_capacity": fullengines.MEMORY}},
    ]

    async def respond(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(df.make_stream_head(request.attempt_id))
        for number in range(5):
            writer.write(df.encode_chunk(df.make_sse_event(number)))
        writer.write(df.encode_chunk(b""))
        return True

    async def scenario(fleet: df.Fleet) -> None:
        fleet.store.put("op/config", {**config, "version": 2})
        target = await fleet.add_target("t1", "engines", respond)
        await fleet.settle()
        sizes = ((headers.TOKENS, "1460,80"), (headers.LENGTH_HINT, "60"))
        entry = fleet.entries[0]
        known = entry.targets.get("t1")
        assert known is not None
        model = fullengines.Engine(0)
        model.target = known
        now = asyncio.get_running_loop().time()
        now_ms = int(now * 1000)
        reply = await entry.handle_request(make_report(model, 0, now_ms, now_ms))
        assert isinstance(reply, messages.ReportReply)
        assert reply.memory is not None
        refused = await fleet.send_request("/stream/a", extra_headers=sizes)
        assert refused.status == 503
        assert not target.requests
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        await entry.handle_request(make_report(model, 5000, now_ms, now_ms))
        response = await fleet.send_request("/stream/a", extra_headers=sizes)
        assert response.status == 200
        assert not any(reply.memory.held)
        assert observed == [(60.0, 5.0)]

    observed: list[tuple[float, float]] = []

    def count_ended(
        lengths: responselengths.ResponseLengths,
        size: responselengths.RequestSize,
        tokens: float,
    ) -> None:
        observed.append((size.expected, tokens))

    monkeypatch.setattr(responselengths.ResponseLengths, "count_ended", count_ended)
    df.run_scenario(scenario)
