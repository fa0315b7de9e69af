"""Tests of requests whose response breaks off after its start, then of other targets.

A response that the caller has a part of belongs to the target that began it. Only the
stream of a resumable route may go on at another one.
"""

import asyncio
import collections.abc

import loguru
import pytest

from sardinesaddle.platform import headers
from test import directfleet as df
from test import test_direct_unframed as unframed

LARGE = b"p" * 600_000  # more than is buffered
HEAD_FIELDS = (df.SIGNATURE_HEADER, ("Content-Type", "text/html"))
EVENTS = [df.make_sse_event(number) for number in range(1, 5)]

Break = collections.abc.Callable[[asyncio.StreamWriter], None]


def write_chunked(writer: asyncio.StreamWriter, head: bytes) -> None:
    """Write most of a page in chunks, without the last one."""
    writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
    writer.write(df.encode_chunk(LARGE))


def write_sized(writer: asyncio.StreamWriter, head: bytes) -> None:
    """Write less of a page than its length says."""
    writer.write(head + b"Content-Length: %d\r\n\r\n" % (len(LARGE) + 9))
    writer.write(LARGE)


def write_unframed(writer: asyncio.StreamWriter, head: bytes) -> None:
    """Write a part of a page that ends with its connection."""
    writer.write(head + b"\r\n" + LARGE)


class BreakingTarget:
    """Writes most of a large page after its head, and resets the connection."""

    def __init__(
        self,
        status: int,
        write: collections.abc.Callable[[asyncio.StreamWriter, bytes], None],
    ) -> None:
        self._status = status
        self._write = write

    async def respond(
        self,
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Respond, and break off."""
        fields = ((headers.ATTEMPT_ID, request.attempt_id), *HEAD_FIELDS)
        head = df.make_response_head(self._status, *fields).removesuffix(b"\r\n")
        self._write(writer, head)
        await writer.drain()
        await asyncio.sleep(0.1)
        df.reset_connection(writer)
        return False


async def respond_whole(
    target: df.ScriptedTarget,
    request: df.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool:
    """Respond with a whole stream or a small body."""
    if not request.path.startswith(df.STREAMING_PREFIXES):
        writer.write(df.make_response(request.attempt_id))
        return True
    last = int(request.headers.get(headers.LAST_EVENT.lower(), "0"))
    writer.write(df.make_stream_head(request.attempt_id, [("X-Run", target.name)]))
    writer.write(df.encode_chunk(b"".join(EVENTS[last:])) + df.encode_chunk(b""))
    return True


async def send_to_one_then_another(
    fleet: df.Fleet,
    path: str,
    first: df.Responder,
    second: df.Responder,
    method: str = "POST",
) -> tuple[df.ReceivedResponse, df.ScriptedTarget]:
    """Send a request to a target, and register another one while it runs.

    Return the response and the other target.
    """
    service = "engines" if path.startswith(df.STREAMING_PREFIXES) else "plain"
    target = await fleet.add_target("t1", service, first)
    other = await fleet.add_target("t2", service, second)
    fleet.store.delete("servers/t2")
    await fleet.settle()
    task = asyncio.create_task(fleet.send_request(path, method=method))
    while not target.requests:
        await fleet.settle(0.001)
    fleet.register("t2", service)
    return await task, other


# Guards against the stream of a second run after a page that broke off.
@pytest.mark.parametrize("write", [write_chunked, write_sized, write_unframed])
@pytest.mark.parametrize(
    ("path", "status", "method"),
    [
        ("/stream/a", 500, "POST"),
        ("/stream/a", 404, "POST"),
        ("/free/a", 500, "POST"),
        ("/free/a", 200, "POST"),
        ("/free/a", 200, "GET"),
    ],
)
def test_response_that_breaks_off_after_its_start_is_not_continued(
    path: str,
    status: int,
    method: str,
    write: collections.abc.Callable[[asyncio.StreamWriter, bytes], None],
) -> None:
    lines: list[str] = []

    async def scenario(fleet: df.Fleet) -> None:
        first = BreakingTarget(status, write)
        handler = loguru.logger.add(lambda line: lines.append(str(line)))
        response, other = await send_to_one_then_another(
            fleet, path, first.respond, respond_whole, method
        )
        loguru.logger.remove(handler)
        assert (response.status, response.is_complete) == (status, False)
        assert LARGE.startswith(response.body)
        assert not other.requests

    df.run_scenario(scenario)
    broken = [line for line in lines if "event=response_broken_off" in line]
    assert len(broken) == 1
    assert " target=t1 started=body " in broken[0]


def make_second_response(
    fields: tuple[tuple[str, str], ...], body: bytes = b"page", status: int = 200
) -> df.Responder:
    """Return a responder that answers a resumed stream in some other way."""

    async def respond(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        named = ((headers.ATTEMPT_ID, request.attempt_id), df.SIGNATURE_HEADER)
        length = ("Content-Length", str(len(body)))
        head = df.make_response_head(status, *named, length, *fields)
        writer.write(head + body)
        return True

    return respond


async def break_after_two_events(
    target: df.ScriptedTarget,
    request: df.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool:
    """Begin a stream, and reset the connection after its second event."""
    writer.write(df.make_stream_head(request.attempt_id, [("X-Run", target.name)]))
    writer.write(df.encode_chunk(b"".join(EVENTS[:2])))
    await asyncio.sleep(0.1)
    df.reset_connection(writer)
    return False


STREAM_TYPE = ("Content-Type", unframed.STREAM)
REST = b"".join(EVENTS[2:])


# Guards against a page, or bytes that are no events, after the events of a first run.
@pytest.mark.parametrize(
    "second",
    [
        make_second_response((("Content-Type", "text/html"),), status=500),
        make_second_response((("Content-Type", "text/html"),), LARGE, status=500),
        make_second_response((STREAM_TYPE,), REST, status=500),
        make_second_response((STREAM_TYPE,), b"", status=404),
        make_second_response((("Content-Type", "text/plain"),), REST),
        make_second_response((), status=204, body=b""),
        make_second_response((STREAM_TYPE, ("Content-Encoding", "gzip")), REST),
    ],
)
def test_stream_that_was_started_is_continued_by_streams_only(
    second: df.Responder,
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        response, other = await send_to_one_then_another(
            fleet, "/stream/a", break_after_two_events, second
        )
        assert (response.status, response.is_complete) == (200, False)
        assert response.body == b"".join(EVENTS[:2])
        assert len(other.requests) == 1

    df.run_scenario(scenario)


# A caller gets the head of the run that began its stream, and the events of both.
def test_resumed_stream_keeps_the_head_of_its_first_run() -> None:
    async def scenario(fleet: df.Fleet) -> None:
        response, _ = await send_to_one_then_another(
            fleet, "/stream/a", break_after_two_events, respond_whole
        )
        assert (response.status, response.is_complete) == (200, True)
        assert response.body == b"".join(EVENTS)
        assert response.headers["x-run"] == "t1"

    df.run_scenario(scenario)


# Nothing is started by an interim head or by the large page that HEAD only announces.
@pytest.mark.parametrize("method", ["POST", "HEAD"])
def test_break_before_the_start_is_followed_by_another_run(method: str) -> None:
    async def respond_with_interim_head(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(df.make_response_head(103, ("Link", "</a>")))
        await asyncio.sleep(0.1)
        df.reset_connection(writer)
        return False

    async def announce(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        fields = ((headers.ATTEMPT_ID, request.attempt_id), *HEAD_FIELDS)
        length = ("Content-Length", str(len(LARGE)))
        writer.write(df.make_response_head(200, *fields, length))
        return True

    async def scenario(fleet: df.Fleet) -> None:
        second = announce if method == "HEAD" else respond_whole
        response, other = await send_to_one_then_another(
            fleet, "/free/a", respond_with_interim_head, second, method
        )
        assert (response.status, response.is_complete) == (200, True)
        assert len(other.requests) == 1

    df.run_scenario(scenario)


# A page that is kept for the case that no other target responds comes too late then.
def test_stream_that_breaks_off_is_not_ended_by_the_page_of_an_earlier_run() -> None:
    respond = make_second_response((("Content-Type", "text/html"),), status=500)

    async def respond_late(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await asyncio.sleep(0.1)  # the other target is registered meanwhile
        return await respond(target, request, writer)

    async def scenario(fleet: df.Fleet) -> None:
        response, other = await send_to_one_then_another(
            fleet, "/stream/a", respond_late, break_after_two_events
        )
        assert (response.status, response.is_complete) == (200, False)
        assert response.body == b"".join(EVENTS[:2])
        assert len(other.requests) == 1

    df.run_scenario(scenario)
