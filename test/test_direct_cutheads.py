"""Tests of targets that stop in the middle of a response, at each of its bytes."""

import asyncio
import collections.abc
import typing

import pytest

from test import directfleet as df
from test import test_direct_heads as heads
from test import test_direct_unframed

SOUND: typing.Final = heads.SOUND
OTHER: typing.Final = SOUND["sized"].replace(b"@", b"other")
STREAM: typing.Final = heads.SIGNED + b"Content-Type: text/event-stream\r\n"
EVENTS: typing.Final = df.make_sse_event(0) + df.make_sse_event(1)
# Responses that say how long they are, or end their body themselves.
FRAMED: typing.Final = {
    **{name: written for name, written in SOUND.items() if name != "unframed"},
    "after_another_attempt": OTHER + SOUND["sized"],
    "large": heads.SIGNED + heads.CODING + b"\r\n" + heads.LARGE,
    "stream": STREAM + heads.CODING + b"\r\n" + df.encode_chunk(EVENTS) + b"0\r\n\r\n",
    "sized_stream": STREAM + b"Content-Length: %d\r\n\r\n" % len(EVENTS) + EVENTS,
}
UNFRAMED: typing.Final = {
    "unframed": SOUND["unframed"],
    "by_http_1_0": SOUND["unframed"].replace(b"1.1", b"1.0"),
    "by_line_feeds": SOUND["unframed"].replace(b"\r\n", b"\n"),
    "after_1xx": b"HTTP/1.1 103 Hints\r\n\r\n" + SOUND["unframed"],
    "after_another_attempt": OTHER + SOUND["unframed"],
    "stream": STREAM + b"\r\n" + EVENTS,
}
MAX_CUTS: typing.Final = 160  # of a long response: at its first and last bytes
KEPT_STEP: typing.Final = 3  # of the cuts on kept connections, from the last one
Ending = collections.abc.Callable[[df.ScriptedTarget, asyncio.StreamWriter], None]
ENDS: typing.Final = (test_direct_unframed.close, test_direct_unframed.reset)


class CutTarget:
    """Writes a response up to a cut, and then ends in some way.

    If ``is_kept`` is set, each first request of a connection is answered whole.
    """

    def __init__(self, written: bytes, is_kept: bool) -> None:
        self.written = written
        self.is_kept = is_kept
        self.end: Ending = test_direct_unframed.close
        self.cut = 0
        self.cut_count = 0
        self._served: set[int] = set()

    def make_whole(self, request: df.ReceivedRequest) -> bytes:
        """Return a whole response, after which the connection is kept."""
        if not self.written.startswith(STREAM):
            return df.make_response(request.attempt_id)
        head = df.make_stream_head(request.attempt_id)
        return head + df.encode_chunk(EVENTS) + df.encode_chunk(b"")

    async def respond(
        self,
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Respond to a request."""
        if self.is_kept and request.connection_number not in self._served:
            self._served.add(request.connection_number)
            writer.write(self.make_whole(request))
            return True
        self.cut_count += 1
        attempt_id = request.attempt_id.encode()
        writer.write(self.written.replace(b"@", attempt_id)[: self.cut])
        await writer.drain()
        self.end(target, writer)
        await asyncio.sleep(0.0)
        return False


def list_cuts(last: int) -> list[int]:
    """Return the lengths at which a response is cut, up to ``last``."""
    if last <= MAX_CUTS:
        return list(range(last + 1))
    return [*range(MAX_CUTS // 2), *range(last - MAX_CUTS // 2, last + 1)]


async def send(fleet: df.Fleet, path: str, is_http_1_0: bool) -> tuple[int, bool]:
    """Send a request; return its status, and whether the response looks complete."""
    if not is_http_1_0:
        resp = await fleet.send_request(path, attempt_id="a1")
        return resp.status, resp.is_complete
    received, is_orderly = await test_direct_unframed.send_http_1_0(fleet, path)
    return int(received.split()[1]) if received else 0, is_orderly


def check_cuts(written: bytes, last: int, is_kept: bool) -> None:
    """Check that a caller sees no response that is cut up to ``last`` as whole.

    The connection is closed in order or reset, and the caller speaks HTTP/1.1 or 1.0,
    in turn from one cut to the next.
    """
    is_stream = written.startswith(STREAM)
    service, path = ("engines", "/unique/a") if is_stream else ("plain", "/once/a")
    if is_kept:
        path = "/stream/a" if is_stream else "/free/a"

    async def scenario(fleet: df.Fleet) -> None:
        cut_target = CutTarget(written, is_kept)
        await fleet.add_target("t1", service, cut_target.respond)
        await fleet.settle()
        cuts = list_cuts(last)[:: -KEPT_STEP if is_kept else 1]
        for cut in cuts:
            cut_target.cut = cut
            cut_target.end = ENDS[cut % 2]
            is_http_1_0 = cut % 4 > 1
            if is_kept:
                assert await send(fleet, path, is_http_1_0) == (200, True)
            status, is_complete = await send(fleet, path, is_http_1_0)
            assert status == 502 or not is_complete, (cut, written[:cut])
            # Until the target is no longer ejected.
            await fleet.settle(2.5)
        assert cut_target.cut_count == len(cuts)

    df.run_scenario(scenario)


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("written", FRAMED.values(), ids=FRAMED)
def test_response_that_is_cut_anywhere_does_not_look_complete(
    written: bytes, is_kept: bool
) -> None:
    """Guards against a part of a response that is marked as whole."""
    check_cuts(written, len(written.replace(b"@", b"a1")) - 1, is_kept)


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("written", UNFRAMED.values(), ids=UNFRAMED)
def test_head_that_is_cut_anywhere_before_an_unframed_body_is_no_response(
    written: bytes, is_kept: bool
) -> None:
    """Guards against an empty response, marked as whole, after a part of a head."""
    body = EVENTS if written.startswith(STREAM) else b"body"
    check_cuts(written, len(written.replace(b"@", b"a1")) - len(body), is_kept)
