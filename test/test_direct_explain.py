"""Tests of the explanation of where a request would go, and of its command."""

import asyncio
import json
import pathlib

import msgspec
import pytest

from sardinesaddle import explaintool, main
from sardinesaddle.direct import explanation, targetlimits
from test import directfleet as df
from test import restingtargets


def explain(
    fleet: df.Fleet, path: str, account: str = "alice"
) -> explanation.Explanation:
    """Return the first entry's explanation of a request."""
    query = {"host": "h.example", "path": path, "account": account}
    status, body = fleet.entries[0].explain(query)
    assert status == 200, body
    return msgspec.json.decode(body, type=explanation.Explanation)


@pytest.mark.parametrize("path", ["/free/a", "/stream/a"])
def test_request_sent_at_once_reaches_the_target_that_is_named(path: str) -> None:
    """Guards against an explanation that chooses by other rules than requests."""

    async def scenario(fleet: df.Fleet) -> None:
        service = "plain" if path == "/free/a" else "engines"
        for number in range(6):
            await fleet.add_target(f"t{number}", service)
        await fleet.settle()
        for _ in range(20):
            named = explain(fleet, path)
            response = await fleet.send_request(path, method="GET")
            body = response.body.removeprefix(b"id: 1\ndata: ").strip()
            assert (named.outcome, named.target.encode()) == ("send", body)
            assert all(
                verdict.decision == "allowed"
                for line in named.targets
                for verdict in line.verdicts
            )

    df.run_scenario(scenario)


def test_explanation_changes_nothing() -> None:
    """Guards against an explanation that uses up tokens, counts, or random numbers."""

    async def scenario(fleet: df.Fleet) -> None:
        resting = restingtargets.RestingTarget("4")
        await fleet.add_target("t0", "plain", resting.respond)
        await fleet.settle()
        await fleet.send_request("/free/a")
        entry = fleet.entries[0]
        first = explain(fleet, "/free/a")
        rendered = entry.metrics.render()[0]
        for _ in range(5):
            assert explain(fleet, "/free/a") == first
        assert entry.metrics.render()[0] == rendered
        assert len(resting.arrivals) == 1

    df.run_scenario(scenario)


def test_refusal_names_the_reason_and_the_time_to_return() -> None:
    """Guards against a reason or a time that callers are not told."""

    async def scenario(fleet: df.Fleet) -> None:
        assert explain(fleet, "/free/a").reason == "no_target"
        resting = restingtargets.RestingTarget("6")
        await fleet.add_target("t0", "plain", resting.respond)
        await fleet.settle()
        await fleet.send_request("/free/a")
        named = explain(fleet, "/free/a")
        response = await fleet.send_request("/free/a", method="GET")
        assert (named.outcome, named.reason) == ("refuse", "target_rest")
        told_s = float(response.headers["retry-after"])
        assert told_s == pytest.approx(named.retry_after_s, abs=0.011)
        verdicts = {v.constraint: v for v in named.targets[0].verdicts}
        assert verdicts["rest"].decision == "later"
        assert verdicts["backoff"].decision in ("allowed", "later")

    df.run_scenario(scenario)


def test_targets_that_are_no_candidates_are_listed_with_the_reason() -> None:
    """Guards against a target that is missing from the list without a reason."""

    async def scenario(fleet: df.Fleet) -> None:
        for number in range(3):
            await fleet.add_target(f"t{number}", "plain")
        fleet.register("t1", "plain", state="draining")
        await fleet.settle()
        now = asyncio.get_running_loop().time()
        taken = fleet.entries[0].targets.get("t2")
        assert taken is not None
        fleet.entries[0].targets.on_stale_address(taken)
        assert now == asyncio.get_running_loop().time()
        named = explain(fleet, "/free/a")
        reasons = {line.target: line.excluded_by for line in named.targets}
        assert reasons == {"t0": "", "t1": "leaving", "t2": "address_taken"}
        assert named.target == "t0"

    df.run_scenario(scenario)


def test_stated_limit_shows_as_a_verdict_with_its_wait() -> None:
    """Guards against a limit that holds requests back without being explained."""

    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t0", "plain")
        await fleet.settle(3.0)
        for _ in range(4):
            await fleet.send_request("/free/a")
        now = asyncio.get_running_loop().time()
        incarnation = fleet.entries[0].targets.list_targets()[0].registration
        limits = fleet.entries[0].limits
        limits.on_response(now, incarnation.incarnation, now, 2.0)
        await fleet.settle(0.3)
        named = explain(fleet, "/free/a")
        verdict = next(v for v in named.targets[0].verdicts if v.constraint == "limit")
        assert (verdict.decision, verdict.reason) == ("later", "target_limit")
        assert named.outcome == "wait"
        assert named.wait_s == pytest.approx(verdict.wait_s, abs=0.01)
        assert named.wait_s is not None
        assert named.wait_s < 1.0 / (targetlimits.RATE_FACTOR * 2.0)

    df.run_scenario(scenario)


@pytest.mark.parametrize(
    ("query", "text"),
    [
        ({"host": "h.example"}, "path"),
        ({"host": "h", "path": "/", "prompt_tokens": "many"}, "prompt_tokens"),
        ({"host": "h", "path": "/", "colour": "red"}, "colour"),
        ({"host": "h.example", "path": "/free/a", "account": "bob"}, "'bob'"),
    ],
)
def test_query_that_cannot_be_explained_is_refused(
    query: dict[str, str], text: str
) -> None:
    """Guards against a malformed query that is explained as another one."""

    async def scenario(fleet: df.Fleet) -> None:
        status, body = fleet.entries[0].explain(query)
        assert status == 400
        assert text in json.loads(body)["text"]
        assert b"key-a" not in body

    df.run_scenario(scenario)


def run_command(args: list[str], monkeypatch: pytest.MonkeyPatch) -> int | str | None:
    """Run the command; return its exit status."""
    monkeypatch.setattr("sys.argv", ["sardinesaddle", "explain", *args])
    try:
        main.main()
    except SystemExit as exc:
        return exc.code
    return 0


@pytest.mark.parametrize(
    ("args", "text"),
    [
        (["http://127.0.0.1:9"], "--host and --path"),
        (["http://127.0.0.1:9", "--host=h", "--path=/"], "an entry that is up"),
        (["missing.json"], "missing.json"),
    ],
)
def test_command_fails_with_status_2_and_one_line(
    args: list[str],
    text: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run_command(args, monkeypatch) == 2
    err = capsys.readouterr().err
    assert text in err
    assert err.count("\n") == 1


def test_saved_explanation_is_printed_as_a_table(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    line = explanation.TargetLine(
        "t0", "p", "", True, 0.5, 1.0, 4, 0.1, 0.0, "", [
            explanation.VerdictLine("rest", "later", "target_rest", 2.5)
        ],
    )  # fmt: skip
    page = explanation.Explanation(
        "refuse", "target_rest", 7, 0.2, "free", "plain", "alice", 5,
        status=503, retry_after_s=2.5, targets=[line],
    )  # fmt: skip
    file = tmp_path / "saved.json"
    file.write_bytes(msgspec.json.encode(page))
    assert run_command([str(file)], monkeypatch) == 0
    out = capsys.readouterr().out
    assert "refuse with 503: target_rest; return after 2.50 s" in out
    assert "later 2.50 s: target_rest" in out
    file.write_text("[]")
    assert run_command([str(file)], monkeypatch) == 2
    assert isinstance(explaintool.read_explanation(str(file)), explaintool.ExplainFault)
