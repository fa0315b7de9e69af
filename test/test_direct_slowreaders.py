"""Tests of callers that read slowly: bounds in total, back pressure, cut responses.

What was there before is tested in ``test_direct_limits``: a slow caller gets a large
response whole, and holds back its target.
"""

import asyncio
import typing
import unittest.mock

import aiohttp
import pytest

from sardinesaddle.direct import callermemory, frontend, responsebuffers
from sardinesaddle.platform import headers
from test import directfleet as df

TOTAL_BYTES: typing.Final = 1024 * 1024
SLOW_CALLERS: typing.Final = 12
PIECE: typing.Final = bytes(range(256)) * 256
# More than the socket buffers on the way from a target to a caller.
PIECE_COUNT: typing.Final = 768
REQUEST: typing.Final = (
    b"GET /open/%b HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %b\r\n\r\n"
)
CUT_AFTER_S: typing.Final = 1.5


class LargeTarget:
    """Sends a large response; ``/open/cut`` is cut off if it stays unread."""

    def __init__(self, framing: tuple[str, str] | None = None) -> None:
        self._framing = framing
        self.cut_count = 0
        self.sent_pieces = 0

    async def respond(
        self,
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send the response, a piece at a time."""
        fields = [(headers.ATTEMPT_ID, request.attempt_id), df.SIGNATURE_HEADER]
        framing = self._framing
        if request.path != "/open/cut":
            framing = ("Content-Length", str(PIECE_COUNT * len(PIECE)))
        writer.write(
            df.make_response_head(200, *fields, *([framing] if framing else []))
        )
        is_chunked = framing is not None and framing[1] == "chunked"
        for _ in range(PIECE_COUNT):
            writer.write(df.encode_chunk(PIECE) if is_chunked else PIECE)
            self.sent_pieces += 1
            try:
                async with asyncio.timeout(CUT_AFTER_S):
                    await writer.drain()
            except TimeoutError:
                if request.path == "/open/cut":
                    self.cut_count += 1
                    return False
                await writer.drain()
        return True


async def ask(fleet: df.Fleet, name: bytes, number: int) -> df.ClientConnection:
    """Send a request and read only the head of its response."""
    reader, writer = await fleet.connect()
    writer.write(REQUEST % (name, b"a%d" % number))
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    return reader, writer


async def read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return the body of a chunked response, and whether it is complete."""
    body = bytearray()
    try:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:size]
    except asyncio.IncompleteReadError:
        return bytes(body), False
    return bytes(body), True


@pytest.mark.parametrize("total_bytes", [TOTAL_BYTES, None])
def test_what_slow_callers_leave_unread_is_bounded_in_total(
    total_bytes: int | None,
) -> None:
    # Guards against an entry that buffers more with each slow caller, as it did when
    # only each response was bounded (None), and against one that stops for them.
    async def scenario(fleet: df.Fleet) -> None:
        target = LargeTarget()
        await fleet.add_target("t1", "plain", target.respond)
        await fleet.settle()
        slow = [await ask(fleet, b"a", number) for number in range(SLOW_CALLERS)]
        await fleet.settle(1.0)
        buffers = fleet.entries[0].buffers
        # Each response is read on, a little at a time, until its caller is held back.
        overshoot = SLOW_CALLERS * (
            frontend.WRITE_BUFFER_BYTES + 2 * responsebuffers.SMALL_READ_BYTES
        )
        is_bounded = buffers.held_bytes <= TOTAL_BYTES + overshoot
        assert is_bounded == (total_bytes is not None)
        assert buffers.is_full == (total_bytes is not None)
        assert buffers.paused == SLOW_CALLERS
        began_at = asyncio.get_running_loop().time()
        reader, writer = await ask(fleet, b"a", SLOW_CALLERS)
        await reader.readexactly(PIECE_COUNT * len(PIECE))
        assert asyncio.get_running_loop().time() - began_at < 1.0
        for _, slow_writer in [*slow, (reader, writer)]:
            slow_writer.close()
        await fleet.settle(1.0)
        assert not buffers.held_bytes
        assert not buffers.paused
        text = str(fleet.entries[0].metrics.render())
        assert "response_pauses_total" in text

    df.run_scenario(scenario, max_buffered_bytes=total_bytes)


@pytest.mark.parametrize("framing", [("Transfer-Encoding", "chunked"), None])
def test_response_that_its_target_cuts_off_unread_ends_incomplete(
    framing: tuple[str, str] | None,
) -> None:
    # Guards against an end that looks complete, against the loss of what was read, and
    # against taking the cut for a failure of the target.
    async def scenario(fleet: df.Fleet) -> None:
        target = LargeTarget(framing)
        await fleet.add_target("t1", "plain", target.respond)
        await fleet.settle()
        reader, writer = await ask(fleet, b"cut", 1)
        await fleet.settle(CUT_AFTER_S + 1.0)
        assert target.cut_count == 1
        body, is_complete = await read_chunks(reader)
        assert body == target.sent_pieces * PIECE
        assert not is_complete
        writer.close()
        known = fleet.entries[0].targets.get("t1")
        assert known is not None
        assert not known.consecutive_failures
        assert not known.failure_rate

    df.run_scenario(scenario, max_buffered_bytes=TOTAL_BYTES)


def test_aborted_response_sends_what_was_written() -> None:
    # Guards against dropping what a slow caller has not taken yet.
    request = unittest.mock.Mock(version=aiohttp.HttpVersion11)

    async def abort() -> None:
        account = responsebuffers.ResponseBuffers().open_account()
        frontend.HttpResponder(request, lambda: False, account).abort()

    asyncio.run(abort())
    request.transport.close.assert_called_once()
    request.transport.abort.assert_not_called()


def test_default_bound_is_a_part_of_the_memory() -> None:
    total_bytes = callermemory.compute_default_total(
        callermemory.read_memory_limit(None)
    )
    assert 2**20 < total_bytes < 2**50
