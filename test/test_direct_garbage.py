"""Tests of what targets write that is no response to the request of a caller."""

import asyncio
import typing

import pytest

from sardinesaddle.platform import headers
from test import directfleet as df

EVENTS: typing.Final = 5
SENT_BEFORE: typing.Final = 2  # events before a target writes something else
PAUSE_S: typing.Final = 0.4
EVENT_STREAM: typing.Final = ("Content-Type", "text/event-stream")
ERROR_HEAD: typing.Final = b"HTTP/1.1 500 X\r\nContent-Type: text/plain\r\n\r\n"


def encode_events(first: int, last: int) -> bytes:
    """Return the events of a stream from one number to another."""
    return b"".join(df.make_sse_event(number) for number in range(first, last + 1))


async def respond_whole(
    target: df.ScriptedTarget,
    request: df.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool:
    """Respond with the whole stream, or with its rest."""
    first = int(request.headers.get("last-event-id", "0")) + 1
    writer.write(df.make_stream_head(request.attempt_id))
    writer.write(df.encode_chunk(encode_events(first, EVENTS)))
    writer.write(df.encode_chunk(b""))
    return True


def make_interrupted(written: bytes, is_chunked: bool, is_marked: bool) -> df.Responder:
    """Return a responder that writes ``written`` in place of its stream's rest.

    ``is_marked`` is whether the end looks like one of a whole response.
    """

    async def respond(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        events = encode_events(1, SENT_BEFORE)
        if is_chunked:
            writer.write(df.make_stream_head(request.attempt_id))
            writer.write(df.encode_chunk(events))
            await asyncio.sleep(PAUSE_S)
            writer.write(df.encode_chunk(written))
            if is_marked:
                writer.write(df.encode_chunk(b""))
        else:
            fields = ((headers.ATTEMPT_ID, request.attempt_id), df.SIGNATURE_HEADER)
            writer.write(df.make_response_head(200, *fields, EVENT_STREAM))
            writer.write(events)
            await asyncio.sleep(PAUSE_S)
            writer.write(written)
        return is_chunked and is_marked

    return respond


WRITTEN: typing.Final = {
    "error": b"upstream error\n\n",
    "head": ERROR_HEAD,
    "head_and_text": ERROR_HEAD + b"upstream error\n\n",
    "event_without_id": b"data: x\n\n",
    "event_with_text_as_id": b"id: x\ndata: x\n\n",
    "event_with_a_long_id": b"id: " + b"9" * 5000 + b"\ndata: x\n\n",
    "event_ahead": df.make_sse_event(SENT_BEFORE + 2),
    "joined": df.make_sse_event(SENT_BEFORE + 1) + ERROR_HEAD,
}


@pytest.mark.parametrize("written", WRITTEN.values(), ids=WRITTEN)
@pytest.mark.parametrize("is_chunked", [True, False])
@pytest.mark.parametrize("is_marked", [True, False])
def test_what_is_no_event_of_a_stream_reaches_no_caller(
    written: bytes, is_chunked: bool, is_marked: bool
) -> None:
    """Guards against an error's text, or its head, in the middle of a stream."""

    async def scenario(fleet: df.Fleet) -> None:
        responder = make_interrupted(written, is_chunked, is_marked)
        target = await fleet.add_target("t1", "engines", responder)
        await fleet.settle()
        resp = await fleet.send_request("/stream/a")
        assert not resp.is_complete
        assert encode_events(1, EVENTS).startswith(resp.body)
        assert resp.body.startswith(encode_events(1, SENT_BEFORE))
        sending = asyncio.get_running_loop().create_task(
            fleet.send_request("/stream/b")
        )
        await fleet.settle(0.2)
        await fleet.add_target("t2", "engines", respond_whole)
        resp = await sending
        assert resp.is_complete
        assert resp.body == encode_events(1, EVENTS)
        assert len(target.requests) == 2

    df.run_scenario(scenario)


@pytest.mark.parametrize("status", [200, 400, 404, 408, 429, 500, 502, 503])
@pytest.mark.parametrize("content_type", ["text/plain", "text/event-stream"])
@pytest.mark.parametrize("body_bytes", [0, 20, 400_000])
def test_error_at_which_a_stream_is_resumed_reaches_no_caller(
    status: int, content_type: str, body_bytes: int
) -> None:
    """Guards against an error of the next target within a stream that broke off."""

    async def fail(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        fields = (("Content-Type", content_type),)
        body = b"e\n\n" * (body_bytes // 3)
        writer.write(df.make_response(request.attempt_id, body, status, fields))
        return True

    async def break_off(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(df.make_stream_head(request.attempt_id))
        writer.write(df.encode_chunk(encode_events(1, SENT_BEFORE)))
        await asyncio.sleep(0.05)
        # The next target is there by now.
        await fleet_with_next.wait()
        return False

    fleet_with_next = asyncio.Event()

    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "engines", break_off)
        await fleet.settle()
        sending = asyncio.get_running_loop().create_task(
            fleet.send_request("/stream/a")
        )
        await fleet.settle(0.2)
        target = await fleet.add_target("t2", "engines", fail)
        await fleet.settle(0.2)
        fleet_with_next.set()
        resp = await sending
        assert len(target.requests) == 1
        assert resp.body == encode_events(1, SENT_BEFORE)
        # A stream of the next target without any event may end as it does.
        assert not resp.is_complete or (status, body_bytes) == (200, 0)

    df.run_scenario(scenario)
