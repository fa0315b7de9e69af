"""Tests of heads of responses that two readers could take differently."""

import asyncio
import pathlib
import typing

import pytest

from test import directfleet as df
from test import processfleet, test_direct_unframed

# "@" stands for the id of the attempt.
ID: typing.Final = b"HTTP/1.1 200 OK\r\nAttempt-Id: @\r\n"
SIGNED: typing.Final = ID + b"Server-Stamp: s\r\n"
SIZED: typing.Final = b"Content-Length: 4\r\n\r\nbody"
CHUNKED: typing.Final = b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"

SOUND: typing.Final = {
    "sized": SIGNED + SIZED,
    "chunked": SIGNED + CHUNKED,
    "unframed": SIGNED + b"\r\nbody",
    "line_feeds": (SIGNED + b"Content-Length: 4\r\n\r\n").replace(b"\r\n", b"\n")
    + b"body",
    "without_reason": SIGNED.replace(b" OK", b"") + SIZED,
    "http_1_0": SIGNED.replace(b"1.1", b"1.0") + SIZED,
    "no_space": SIGNED + b"A:b\r\n" + SIZED,
    "empty_value": SIGNED + b"A:\r\n" + SIZED,
    "utf8_value": SIGNED + "A: \u00e9\r\n".encode() + SIZED,
    "coding_in_capitals": SIGNED + CHUNKED.replace(b"chunked", b"Chunked"),
    "unknown_fields_twice": SIGNED
    + b"B: b\r\nB: b\r\nConnection: C\r\nC: c\r\n"
    + SIZED,
    "trailers": SIGNED
    + CHUNKED.replace(b"0\r\n\r\n", b"0\r\nServer-Stamp: t\r\nA: t\r\n\r\n"),
    "after_1xx_with_statements": b"HTTP/1.1 103 H\r\nNot-Executed: 1\r\n"
    b"Attempt-Id: other\r\nServer-Stamp: t\r\n\r\n" + SIGNED + SIZED,
    "after_1xx": b"HTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + SIGNED + SIZED,
}
# Heads that are not of the one form that every reader takes alike.
FORMS: typing.Final = {
    "line_feed_ends_the_head": SIGNED + b"\n" + SIZED,
    "line_feed_ends_it_early": SIGNED + b"\n",
    "line_feed_in_one_line": SIGNED + b"A: b\nC: d\r\n" + SIZED,
    "line_feeds_behind_the_status": SIGNED.replace(b"\r\n", b"\n\n", 1) + SIZED,
    "no_field": b"HTTP/1.1 500 X\r\n\r\n",
    "cr_lf_among_line_feeds": SIGNED.replace(b"\r\n", b"\n") + SIZED,
    "folded_line": SIGNED + b"A: b\r\n c\r\n" + SIZED,
    "folded_id": b"HTTP/1.1 200 OK\r\nAttempt-Id:\r\n @\r\nServer-Stamp: s\r\n" + SIZED,
    "folded_length": SIGNED + b"A: b\r\n " + SIZED,
    "control_character": SIGNED + b"A: b\x01c\r\n" + SIZED,
    "nul": SIGNED + b"A: b\0c\r\n" + SIZED,
    "bare_cr": SIGNED + b"A: b\rC: d\r\n" + SIZED,
    "blank_before_colon": SIGNED + b"A : b\r\n" + SIZED,
    "without_name": SIGNED + b": b\r\n" + SIZED,
    "not_utf8": SIGNED + b"A: \xe9\r\n" + SIZED,
    "status_600": SIGNED.replace(b"200", b"600") + SIZED,
    **{
        f"status_{status.decode()}": SIGNED.replace(b"200", status) + SIZED
        for status in (b"000", b"0", b"099", b"999", b"2000", b"00200")
    },
    "http_2_0": SIGNED.replace(b"1.1", b"2.0") + SIZED,
    "http_0_9": SIGNED.replace(b"1.1", b"0.9") + SIZED,
    "blank_line_first": b"\r\n" + SIGNED + SIZED,
    "1xx_by_line_feeds": b"HTTP/1.1 100 C\r\n\n" + SIGNED + SIZED,
    "1xx_by_http_1_0": b"HTTP/1.0 103 H\r\n\r\n" + SIGNED + SIZED,
    "1xx_that_closes": b"HTTP/1.1 103 H\r\nConnection: close\r\n\r\n" + SIGNED + SIZED,
    "switches_protocols": b"HTTP/1.1 101 S\r\nUpgrade: x\r\n\r\n" + SIGNED + SIZED,
}

CODING: typing.Final = b"Transfer-Encoding: chunked\r\n"
LARGE: typing.Final = b"493e0\r\n" + b"x" * 300_000 + b"\r\n0\r\n\r\n"
# Statements of how long the body is that readers could take differently.
FRAMINGS: typing.Final = {
    "length_and_chunks": SIGNED + b"Content-Length: 4\r\n" + CHUNKED,
    "shorter_length_and_chunks": SIGNED + b"Content-Length: 2\r\n" + CHUNKED,
    "length_and_large_chunks": SIGNED
    + b"Content-Length: 270000\r\n"
    + CODING
    + b"\r\n"
    + LARGE,
    "larger_length_and_chunks": SIGNED
    + b"Content-Length: 400000\r\n"
    + CODING
    + b"\r\n"
    + LARGE,
    "chunks_by_http_1_0": SIGNED.replace(b"1.1", b"1.0") + CHUNKED,
    "two_lengths": SIGNED + b"Content-Length: 3\r\n" + SIZED,
    "same_length_twice": SIGNED + b"content-length: 4\r\n" + SIZED,
    "list_of_lengths": SIGNED + b"Content-Length: 4, 4\r\n\r\nbody",
    "length_with_sign": SIGNED + b"Content-Length: +4\r\n\r\nbody",
    "length_with_zeros": SIGNED + b"Content-Length: 010\r\n\r\nbody567890",
    "empty_length": SIGNED + b"Content-Length:\r\n\r\nbody",
    "chunked_twice": SIGNED + CODING + CHUNKED,
    "coded_chunks": SIGNED + CHUNKED.replace(b"chunked", b"gzip, chunked"),
    "tab_behind_the_coding": SIGNED + CHUNKED.replace(b"chunked", b"chunked\t"),
    "blank_behind_the_length": SIGNED + SIZED.replace(b"4", b"4 "),
    "identity": SIGNED + b"Transfer-Encoding: identity\r\n" + SIZED,
    "empty_coding": SIGNED + b"Transfer-Encoding:\r\n" + SIZED,
    "204_with_length": SIGNED.replace(b"200", b"204") + SIZED,
    "204_with_chunks": SIGNED.replace(b"200", b"204") + CHUNKED,
    "1xx_with_length": b"HTTP/1.1 103 H\r\nContent-Length: 4\r\n\r\n" + SIGNED + SIZED,
    "1xx_with_chunks": b"HTTP/1.1 103 H\r\n" + CODING + b"\r\n" + SIGNED + SIZED,
}

# Fields on which an entry decides, or by which a caller reads the body.
AMBIGUOUS: typing.Final = {
    "two_ids": ID + b"attempt-id: other\r\nServer-Stamp: s\r\n" + SIZED,
    "two_ids_own_last": b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nAttempt-Id: @\r\n"
    b"Server-Stamp: s\r\n" + SIZED,
    "same_id_twice": ID + b"Attempt-Id: @\r\nServer-Stamp: s\r\n" + SIZED,
    "id_with_underscore": SIGNED + b"Attempt_Id: other\r\n" + SIZED,
    "two_signatures": SIGNED + b"Server-Stamp: t\r\n" + SIZED,
    "empty_signature": ID + b"Server-Stamp:\r\n" + SIZED,
    "signature_for_the_connection": SIGNED
    + b"Connection: close, server-stamp\r\n"
    + SIZED,
    "length_for_the_connection": SIGNED + b"Connection: Content-Length\r\n" + SIZED,
    "two_types": SIGNED + b"Content-Type: a/b\r\nContent-Type: c/d\r\n" + SIZED,
    "empty_encoding": SIGNED + b"Content-Encoding:\r\n" + SIZED,
    "identity_encoding": SIGNED + b"Content-Encoding: identity\r\n" + SIZED,
    "signature_in_a_trailer": ID
    + CHUNKED.replace(b"0\r\n\r\n", b"0\r\nServer-Stamp: s\r\n\r\n"),
}

STATED: typing.Final = b"Not-Executed: 1\r\n"
REFUSAL: typing.Final = b"HTTP/1.1 503 X\r\nAttempt-Id: @\r\n"
# What may be read as a statement that the request was not run, or not.
CONTRADICTORY: typing.Final = {
    **{
        f"status_{status}": SIGNED.replace(b"200", b"%d" % status) + STATED + SIZED
        for status in (200, 206, 302, 500, 502, 504)
    },
    "status_204": SIGNED.replace(b"200", b"204") + STATED + b"\r\n",
    "value_0": REFUSAL + b"Not-Executed: 0\r\n" + SIZED,
    "value_false": REFUSAL + b"Not-Executed: False\r\n" + SIZED,
    "two_values": REFUSAL + STATED + b"Not-Executed: 0\r\n" + SIZED,
    "for_the_connection": REFUSAL + b"Connection: not-executed\r\n" + STATED + SIZED,
    "underscore": REFUSAL + b"Not_Executed: 1\r\n" + SIZED,
    "two_ids": REFUSAL + b"Attempt-Id: other\r\n" + STATED + SIZED,
    "trailer": REFUSAL + CHUNKED.replace(b"0\r\n\r\n", b"0\r\n" + STATED + b"\r\n"),
    "value_0_beside_421": REFUSAL.replace(b"503", b"421")
    + b"Not-Executed: 0\r\n"
    + SIZED,
}


def make_responder(written: bytes, is_closed: bool = True) -> df.Responder:
    """Return a responder that writes bytes, and then closes the connection or not."""

    async def respond(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(written.replace(b"@", request.attempt_id.encode()))
        return not is_closed

    return respond


@pytest.mark.parametrize("written", SOUND.values(), ids=SOUND)
def test_response_with_a_sound_head_is_relayed(written: bytes) -> None:
    """Guards against failures for what engines may write."""

    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain", make_responder(written))
        await fleet.settle()
        for path in ("/once/a", "/free/a"):
            resp = await fleet.send_request(path)
            assert (resp.status, resp.is_complete) == (200, True)
            assert (resp.headers["server-stamp"], resp.body) == ("s", b"body")
            assert "c" not in resp.headers
            assert resp.headers.get("a", "\u00e9") in ("b", "", "\u00e9")

    df.run_scenario(scenario)


async def check_malformed(fleet: df.Fleet, written: bytes, service: str) -> None:
    """Check that a response reaches no caller, and that only sound targets are tried.

    A request that may run once ends there, with a status that promises nothing; one
    that may be repeated is served by another target.
    """
    paths = {"plain": ("/once/a", "/free/a"), "engines": ("/unique/a", "/stream/a")}
    bad = await fleet.add_target("t1", service, make_responder(written))
    await fleet.settle()
    resp = await fleet.send_request(paths[service][0])
    assert (resp.status, resp.body, len(bad.requests)) == (502, b"", 1)
    resp = await fleet.send_request(paths[service][1])
    assert (resp.status, resp.body) == (502, b"")
    if service == "plain":
        await fleet.add_target("t2", service)
        await fleet.settle()
        for _ in range(4):
            resp = await fleet.send_request(paths[service][1])
            assert (resp.status, resp.is_complete, resp.body) == (200, True, b"t2")


@pytest.mark.parametrize("written", FORMS.values(), ids=FORMS)
def test_head_of_another_form_is_malformed(written: bytes) -> None:
    """Guards against heads that end, or have fields, elsewhere for another reader."""

    async def scenario(fleet: df.Fleet) -> None:
        await check_malformed(fleet, written, "plain")
        await check_malformed(fleet, written, "engines")

    df.run_scenario(scenario)


@pytest.mark.parametrize("written", FRAMINGS.values(), ids=FRAMINGS)
def test_head_with_two_framings_is_malformed(written: bytes) -> None:
    """Guards against a part of a body that a caller takes for the whole."""

    async def scenario(fleet: df.Fleet) -> None:
        await check_malformed(fleet, written, "plain")

    df.run_scenario(scenario)


@pytest.mark.parametrize("written", AMBIGUOUS.values(), ids=AMBIGUOUS)
def test_head_with_an_ambiguous_field_is_malformed(written: bytes) -> None:
    """Guards against another response, or another reading of it, for the caller."""

    async def scenario(fleet: df.Fleet) -> None:
        await check_malformed(fleet, written, "plain")

    df.run_scenario(scenario)


@pytest.mark.parametrize("field", [b"Server-Stamp: t\r\n", b"Attempt-Id: other\r\n"])
def test_error_with_an_ambiguous_field_is_not_relayed(field: bytes) -> None:
    """Guards against a failure that bears two signatures, or is another request's."""
    written = (SIGNED + field + SIZED).replace(b"200", b"404")

    async def scenario(fleet: df.Fleet) -> None:
        await check_malformed(fleet, written, "plain")

    df.run_scenario(scenario)


@pytest.mark.parametrize("service", ["plain", "engines"])
@pytest.mark.parametrize("written", CONTRADICTORY.values(), ids=CONTRADICTORY)
def test_contradictory_statement_of_not_run_counts_as_may_have_run(
    written: bytes, service: str
) -> None:
    """Guards against a second run, or a 503, of a request that may have run."""

    async def scenario(fleet: df.Fleet) -> None:
        await check_malformed(fleet, written, service)

    df.run_scenario(scenario)


@pytest.mark.parametrize("status", [b"400", b"408", b"421", b"429", b"503"])
@pytest.mark.parametrize("framing", [SIZED, CHUNKED, b"\r\n", b"\r\nbody"])
@pytest.mark.parametrize("value", [b"1", b"", b"true"])
def test_statement_of_not_run_is_believed(
    status: bytes, framing: bytes, value: bytes
) -> None:
    """Guards against requests that are given up though no target ran them."""

    async def scenario(fleet: df.Fleet) -> None:
        stated = STATED.replace(b"1", value)
        written = REFUSAL.replace(b"503", status) + stated + framing
        first = await fleet.add_target("t1", "plain", make_responder(written))
        await fleet.settle()
        resp = await fleet.send_request("/once/a")
        assert resp.status == 503
        await fleet.add_target("t2", "plain")
        await fleet.settle()
        for _ in range(3):
            resp = await fleet.send_request("/once/a")
            assert (resp.status, resp.body) == (200, b"t2")
        assert first.requests

    df.run_scenario(scenario)


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("status", [b"200", b"202", b"206"])
def test_success_that_ends_right_after_its_head_is_incomplete(
    version: bytes, status: bytes
) -> None:
    """Guards against an empty body, marked as whole, of a target that broke off."""
    head = SIGNED.replace(b"200", status).replace(b"1.1", version)

    async def scenario(fleet: df.Fleet) -> None:
        await check_malformed(fleet, head + b"\r\n", "plain")
        received, _ = await test_direct_unframed.send_http_1_0(fleet, "/once/a")
        assert received.split()[1] == b"502" or received.endswith(b"t2")

    df.run_scenario(scenario)


@pytest.mark.parametrize(
    ("method", "status", "framing"),
    [
        ("POST", b"204", b""),
        ("POST", b"204", b"Content-Length: 0\r\n"),
        ("POST", b"304", b""),
        ("POST", b"304", b"Content-Length: 4\r\n"),
        ("POST", b"200", b"Content-Length: 0\r\n"),
        ("POST", b"404", b""),
        ("POST", b"500", b""),
        ("HEAD", b"200", b""),
        ("HEAD", b"200", b"Content-Length: 4\r\n"),
        ("HEAD", b"200", CODING),
    ],
)
@pytest.mark.parametrize("is_closed", [True, False])
def test_response_that_has_no_body_is_complete(
    method: str, status: bytes, framing: bytes, is_closed: bool
) -> None:
    """Guards against failures for responses whose body is empty by their status."""
    is_kept = not is_closed and (method == "HEAD" or status < b"4")
    written = SIGNED.replace(b"200", status) + framing + b"\r\n"

    async def scenario(fleet: df.Fleet) -> None:
        respond = make_responder(written, not is_kept)
        await fleet.add_target("t1", "plain", respond)
        await fleet.settle()
        for _ in range(2):
            resp = await fleet.send_request("/once/a", method=method, body=b"")
            assert (resp.status, resp.is_complete) == (int(status), True)
            assert (resp.headers["server-stamp"], resp.body) == ("s", b"")

    df.run_scenario(scenario)


@pytest.mark.parametrize(
    "value",
    [
        "timeout=\u00b2",
        "timeout=" + "9" * 5000,
        "timeout=soon",
        "timeout",
        "timeout=-1",
        "max=3",
        "=",
        "",
    ],
)
def test_idle_time_that_is_no_number_is_ignored(value: str) -> None:
    """Guards against a failed request for a field that says nothing of its response."""
    field = b"Keep-Alive: " + value.encode() + b"\r\n"

    async def scenario(fleet: df.Fleet) -> None:
        respond = make_responder(SIGNED + field + SIZED, is_closed=False)
        await fleet.add_target("t1", "plain", respond)
        await fleet.settle()
        for path in ("/once/a", "/free/a", "/free/b"):
            resp = await fleet.send_request(path)
            assert (resp.status, resp.body) == (200, b"body")

    df.run_scenario(scenario)


def test_the_shorter_of_two_idle_times_counts() -> None:
    """Guards against requests on connections that a target closes meanwhile."""
    fields = b"Keep-Alive: timeout=100\r\nKeep-Alive: max=9, timeout=1\r\n"

    async def scenario(fleet: df.Fleet) -> None:
        respond = make_responder(SIGNED + fields + SIZED, is_closed=False)
        target = await fleet.add_target("t1", "plain", respond)
        await fleet.settle()
        for _ in range(2):
            await fleet.send_request("/free/a")
            await fleet.settle(0.8)
        assert [request.connection_number for request in target.requests] == [1, 2]

    df.run_scenario(scenario)


def test_processes_relay_no_ambiguous_response(tmp_path: pathlib.Path) -> None:
    """Guards against such responses at two entries at once, and after a restart."""

    async def scenario(fleet: processfleet.ProcessFleet) -> None:
        target = await fleet.add_target("t1", "plain")
        await asyncio.sleep(1.0)
        written = [
            *FORMS.values(),
            *FRAMINGS.values(),
            *AMBIGUOUS.values(),
            *CONTRADICTORY.values(),
            SIGNED + b"\r\n",
        ]
        for data in (*written, None, *reversed(written)):
            if data is None:
                await fleet.restart(0)
                await asyncio.sleep(1.0)
                continue
            target.respond = make_responder(data)
            target.requests.clear()
            responses = await asyncio.gather(
                *(fleet.send_request("/once/a", index) for index in (0, 1))
            )
            assert [resp.status for resp in responses] == [502, 502], data[:200]
            assert len(target.requests) == 2, data[:200]
        target.respond = make_responder(SOUND["sized"])
        for index in (0, 1):
            assert (await fleet.send_request("/once/a", index)).body == b"body"

    processfleet.run_scenario(tmp_path, scenario, entry_count=2)
