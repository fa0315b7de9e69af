"""Tests that the entry and a caller read the same events from the same bytes."""

import asyncio
import pathlib
import typing

import pytest

from sardinesaddle.platform import headers
from test import directfleet as df
from test import processfleet, test_direct_garbage

SOUND: typing.Final = df.make_sse_event(1)
STRAY: typing.Final = b"data: stray\n\n"
EVENT_STREAM: typing.Final = "text/event-stream"
# After the first event: bytes in which a caller finds something else than event 2.
DIFFERING: typing.Final = {
    "lf_crlf": b"id: 2\ndata: piece-2\n\r\n" + STRAY,
    "lf_cr": b"id: 2\ndata: piece-2\n\r" + STRAY,
    "crlf_cr": b"id: 2\r\ndata: piece-2\r\n\r" + STRAY,
    "id_twice": b"id: 2\nid: 9\ndata: piece-2\n\n",
    "id_without_colon": b"id: 2\nid\ndata: stray\n\n",
    "id_emptied": b"id: 2\nid:\ndata: stray\n\n",
    "id_with_spaces": b"id:  2 \ndata: piece-2\n\n",
    "id_with_zeros": b"id: 02\ndata: piece-2\n\n",
    "without_data": b"id: 2\n\n",
    "head_within": b"id: 2\nHTTP/1.1 500 X\r\nContent-Type: text/plain\r\n\r\n",
}
# Content types of successes on streaming routes.
TYPES: typing.Final = {
    "capitals": (EVENT_STREAM.title(),),
    "plain": ("text/plain",),
    "missing": (),
    "twice": ("text/plain", EVENT_STREAM),
}


def make_responder(body: bytes, content_types: tuple[str, ...]) -> df.Responder:
    """Return a responder with a body in one chunk, marked as whole."""

    async def respond(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        fields = [("Content-Type", content_type) for content_type in content_types]
        fields.append(("Transfer-Encoding", "chunked"))
        own = ((headers.ATTEMPT_ID, request.attempt_id), df.SIGNATURE_HEADER)
        writer.write(df.make_response_head(200, *own, *fields))
        writer.write(df.encode_chunk(body))
        writer.write(df.encode_chunk(b""))
        return True

    return respond


@pytest.mark.parametrize("written", DIFFERING.values(), ids=DIFFERING)
def test_event_that_a_caller_reads_differently_is_not_relayed(written: bytes) -> None:
    """Guards against pieces that a caller finds within what the entry took for one."""

    async def scenario(fleet: df.Fleet) -> None:
        respond = make_responder(SOUND + written, (EVENT_STREAM,))
        await fleet.add_target("t1", "engines", respond)
        await fleet.settle()
        for path in ("/stream/a", "/unique/a"):
            resp = await fleet.send_request(path)
            assert resp.body == SOUND
            assert not resp.is_complete

    df.run_scenario(scenario)


@pytest.mark.parametrize("content_types", TYPES.values(), ids=TYPES)
def test_success_of_another_type_is_not_relayed_as_a_stream(
    content_types: tuple[str, ...],
) -> None:
    """Guards against bytes that are relayed unread to a caller who reads events."""

    async def scenario(fleet: df.Fleet) -> None:
        respond = make_responder(SOUND + STRAY, content_types)
        await fleet.add_target("t1", "engines", respond)
        await fleet.settle()
        for path in ("/stream/a", "/unique/a"):
            resp = await fleet.send_request(path)
            assert not resp.is_complete or resp.status == 502
            assert b"stray" not in resp.body

    df.run_scenario(scenario)


@pytest.mark.parametrize("last", [1, 2, 4])
def test_caller_resumes_its_stream_after_any_event(last: int) -> None:
    """Guards against a failure of callers that come back after a broken connection."""

    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "engines", test_direct_garbage.respond_whole)
        await fleet.settle()
        fields = ((headers.LAST_EVENT, str(last)),)
        resp = await fleet.send_request("/stream/a", extra_headers=fields)
        assert (resp.status, resp.is_complete) == (200, True)
        rest = range(last + 1, test_direct_garbage.EVENTS + 1)
        assert resp.body == b"".join(map(df.make_sse_event, rest))

    df.run_scenario(scenario)


@pytest.mark.parametrize("first", [1, 2, 4])
def test_target_that_begins_elsewhere_than_the_caller_asked_is_not_relayed(
    first: int,
) -> None:
    """Guards against a gap, or an event twice, after the last that a caller has."""

    async def scenario(fleet: df.Fleet) -> None:
        body = df.make_sse_event(first) + df.make_sse_event(first + 1)
        respond = make_responder(body, (EVENT_STREAM,))
        await fleet.add_target("t1", "engines", respond)
        await fleet.settle()
        fields = ((headers.LAST_EVENT, "2"),)
        resp = await fleet.send_request("/stream/a", extra_headers=fields)
        assert resp.body in (b"", df.make_sse_event(3))

    df.run_scenario(scenario)


def test_processes_relay_no_event_that_a_caller_reads_differently(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against such pieces at several requests at once, and after a restart."""

    async def scenario(fleet: processfleet.ProcessFleet) -> None:
        target = await fleet.add_target("t1", "engines")
        await asyncio.sleep(1.0)
        for restarts in (False, True):
            if restarts:
                await fleet.restart(0)
                await asyncio.sleep(1.0)
            for written in DIFFERING.values():
                target.respond = make_responder(SOUND + written, (EVENT_STREAM,))
                responses = await asyncio.gather(
                    *(fleet.send_request("/stream/a", index) for index in (0, 1))
                )
                assert [resp.body for resp in responses] == [SOUND, SOUND]
                assert not any(resp.is_complete for resp in responses)

    processfleet.run_scenario(tmp_path, scenario, entry_count=2)
