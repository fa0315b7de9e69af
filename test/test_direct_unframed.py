"""Tests of responses with neither a length nor chunks: their connection ends them."""

import asyncio
import collections.abc

import pytest

from sardinesaddle.platform import headers
from test import directfleet as df
from test import soaktargets

LARGE = b"x" * 600_000  # more than is buffered
REUSE_S = 2.0  # until the platform gives an address to another process
Ending = collections.abc.Callable[[df.ScriptedTarget, asyncio.StreamWriter], None]


def close(target: df.ScriptedTarget, writer: asyncio.StreamWriter) -> None:
    """End the connection in order, after what was written."""


def reset(target: df.ScriptedTarget, writer: asyncio.StreamWriter) -> None:
    """Reset the connection."""
    df.reset_connection(writer)


def crash(target: df.ScriptedTarget, writer: asyncio.StreamWriter) -> None:
    """End the process: its connections end in order, new ones are refused."""
    asyncio.get_running_loop().create_task(target.stop())


def make_head(attempt_id: str, content_type: str, version: str = "1.1") -> bytes:
    """Return the head of a signed response without length and chunks."""
    head = df.make_response_head(
        200,
        (headers.ATTEMPT_ID, attempt_id),
        df.SIGNATURE_HEADER,
        ("Content-Type", content_type),
    )
    return head.replace(b"HTTP/1.1", f"HTTP/{version}".encode())


class UnframedTarget:
    """Writes parts of a body, each after a moment, and ends in some way."""

    def __init__(
        self, content_type: str, parts: list[bytes], end: Ending, version: str = "1.1"
    ) -> None:
        self.content_type = content_type
        self.parts = parts
        self.end = end
        self.version = version

    async def respond(
        self,
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Respond to a request, and end the connection."""
        writer.write(make_head(request.attempt_id, self.content_type, self.version))
        await asyncio.sleep(0.05)
        for part in self.parts:
            writer.write(part)
            await asyncio.sleep(0.05)
        await writer.drain()
        self.end(target, writer)
        await asyncio.sleep(0.0)
        return False


async def respond_with_rest(
    target: df.ScriptedTarget,
    request: df.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool:
    """Respond with the events of a stream of four after the last received one."""
    last = int(request.headers.get(headers.LAST_EVENT.lower(), "-1"))
    writer.write(df.make_stream_head(request.attempt_id))
    for number in range(last + 1, 4):
        writer.write(df.encode_chunk(df.make_sse_event(number)))
    writer.write(df.encode_chunk(b""))
    return True


async def send_http_1_0(fleet: df.Fleet, path: str) -> tuple[bytes, bool]:
    """Send a request by HTTP/1.0; return what came, and whether it ended in order."""
    reader, writer = await fleet.connect()
    writer.write(
        f"POST {path} HTTP/1.0\r\nHost: h.example\r\n{headers.ATTEMPT_ID}: a1\r\n"
        f"{headers.DEADLINE}: 4000\r\nAuthorization: Bearer key-a\r\n"
        "Content-Length: 1\r\n\r\n1".encode()
    )
    received = b""
    try:
        while data := await reader.read(65536):
            received += data
    except ConnectionResetError:
        return received, False
    finally:
        writer.transport.abort()
    return received, True


EVENTS = [df.make_sse_event(number) for number in range(4)]
STREAM = "text/event-stream"


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("body", [b"a small body", LARGE])
def test_body_that_ends_with_its_connection_is_complete(
    body: bytes, version: str
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        target = UnframedTarget("text/plain", [body[:5], body[5:]], close, version)
        await fleet.add_target("t1", "plain", target.respond)
        await fleet.settle()
        response = await fleet.send_request("/once/a")
        assert (response.status, response.is_complete) == (200, True)
        assert response.body == body
        received, is_orderly = await send_http_1_0(fleet, "/once/b")
        assert received.endswith(b"\r\n\r\n" + body)
        assert is_orderly

    df.run_scenario(scenario)


@pytest.mark.parametrize("end", [reset, crash])
@pytest.mark.parametrize("body", [b"a small body", LARGE])
def test_body_that_is_broken_off_does_not_look_complete(
    body: bytes, end: Ending
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        for number in range(2):
            target = UnframedTarget("text/plain", [body], end)
            await fleet.add_target(f"t{number}", "plain", target.respond)
        await fleet.settle()
        response = await fleet.send_request("/once/a")
        assert response.status == 502 or not response.is_complete

    df.run_scenario(scenario)


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_stream_that_ends_with_its_connection_after_an_event_is_complete(
    version: str,
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        target = UnframedTarget(STREAM, EVENTS, close, version)
        await fleet.add_target("t1", "engines", target.respond)
        await fleet.settle()
        for path in ("/stream/a", "/unique/a"):
            response = await fleet.send_request(path)
            assert (response.status, response.is_complete) == (200, True)
            assert response.body == b"".join(EVENTS)
            received, is_orderly = await send_http_1_0(fleet, path)
            assert received.endswith(b"".join(EVENTS))
            assert is_orderly

    df.run_scenario(scenario)


INSIDE_AN_EVENT = [*EVENTS[:2], EVENTS[2][:9]]
BETWEEN_EVENTS = EVENTS[:2]


BROKEN_STREAMS = pytest.mark.parametrize(
    ("parts", "end"),
    [
        (INSIDE_AN_EVENT, close),
        (INSIDE_AN_EVENT, reset),
        (INSIDE_AN_EVENT, crash),
        (BETWEEN_EVENTS, reset),
        (BETWEEN_EVENTS, crash),
        ([], close),
    ],
)


@BROKEN_STREAMS
def test_stream_that_is_broken_off_does_not_look_complete(
    parts: list[bytes], end: Ending
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        for number in range(2):
            broken = UnframedTarget(STREAM, parts, end)
            await fleet.add_target(f"t{number}", "engines", broken.respond)
        await fleet.settle()
        response = await fleet.send_request("/unique/a")
        assert response.status == 502 or not response.is_complete

    df.run_scenario(scenario)


@BROKEN_STREAMS
def test_stream_that_is_broken_off_is_resumed_at_another_target(
    parts: list[bytes], end: Ending
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        broken = UnframedTarget(STREAM, parts, end)
        target = await fleet.add_target("t1", "engines", broken.respond)
        other = await fleet.add_target("t2", "engines", respond_with_rest)
        fleet.store.delete("servers/t2")
        await fleet.settle()
        task = asyncio.create_task(fleet.send_request("/stream/a"))
        while not target.requests:
            await fleet.settle(0.001)
        fleet.register("t2", "engines")
        response = await task
        assert (response.status, response.is_complete) == (200, True)
        assert response.body == b"".join(EVENTS)
        assert len(other.requests) == 1

    df.run_scenario(scenario)


def test_stream_of_a_leaving_target_that_is_replaced_does_not_look_complete() -> None:
    async def respond(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        fields = [(headers.LEAVING, headers.IS_LEAVING)]
        head = soaktargets.make_unframed_head(request.attempt_id, STREAM, fields)
        writer.write(head + b"".join(EVENTS[:2]))
        await asyncio.sleep(3600.0)
        return False

    async def scenario(fleet: df.Fleet) -> None:
        target = await fleet.add_target("t1", "engines", respond)
        await fleet.settle()
        task = asyncio.create_task(fleet.send_request("/unique/a"))
        while not target.requests:
            await fleet.settle(0.001)
        await fleet.settle(0.1)
        fleet.targets["t2"] = target  # the next incarnation, at the same address
        fleet.register("t2", "engines")
        response = await task
        assert not response.is_complete

    df.run_scenario(scenario)


# Guards against a part of a response taken for whole, as the next process at the
# address accepts connections. The first one's end gets through late, as after a cut.
@pytest.mark.parametrize("path", ["/once/a", "/unique/a"])
def test_response_of_a_target_that_was_replaced_meanwhile_does_not_look_complete(
    path: str,
) -> None:
    is_stream = path == "/unique/a"
    parts = EVENTS[:2] if is_stream else [b"a part"]

    async def respond(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        content_type = STREAM if is_stream else "text/plain"
        writer.write(make_head(request.attempt_id, content_type) + b"".join(parts))
        await asyncio.sleep(REUSE_S + 0.8)
        return False

    async def scenario(fleet: df.Fleet) -> None:
        service = "engines" if is_stream else "plain"
        target = await fleet.add_target("t1", service, respond)
        await fleet.settle()
        task = asyncio.create_task(fleet.send_request(path))
        while not target.requests:
            await fleet.settle(0.001)
        await target.stop()
        await fleet.settle(REUSE_S)
        successor = df.ScriptedTarget("t2")
        successor.port = target.port
        await successor.start()
        response = await task
        assert response.status == 502 or not response.is_complete
        await successor.stop()

    df.run_scenario(scenario)


# Guards against a connection that is not accepted taken for a sign of life, where
# targets cannot be asked who they are.
@pytest.mark.parametrize("path", ["/once/a", "/unique/a"])
def test_response_of_a_target_that_accepts_no_connection_does_not_look_complete(
    path: str,
) -> None:
    content_type = STREAM if path == "/unique/a" else "text/plain"

    async def respond(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(make_head(request.attempt_id, content_type) + EVENTS[0])
        await asyncio.sleep(REUSE_S)
        return False

    async def scenario(fleet: df.Fleet) -> None:
        config = df.make_config(2)
        config["services"] = [{"name": "plain"}, {"name": "engines"}]
        fleet.store.put("op/config", config)
        service = "engines" if path == "/unique/a" else "plain"
        target = await fleet.add_target("t1", service, respond)
        await fleet.settle()
        task = asyncio.create_task(fleet.send_request(path))
        while not target.requests:
            await fleet.settle(0.001)
        target.fall_silent()
        response = await task
        assert response.status in (502, 504) or not response.is_complete
        await target.start()

    df.run_scenario(scenario)


@pytest.mark.parametrize(
    ("path", "parts", "end"),
    [
        ("/once/a", [LARGE], reset),
        ("/unique/a", INSIDE_AN_EVENT, close),
        ("/unique/a", BETWEEN_EVENTS, reset),
    ],
)
def test_broken_response_does_not_look_complete_by_http_1_0(
    path: str, parts: list[bytes], end: Ending
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        service, content_type = "plain", "text/plain"
        if path == "/unique/a":
            service, content_type = "engines", STREAM
        broken = UnframedTarget(content_type, parts, end)
        await fleet.add_target("t1", service, broken.respond)
        await fleet.settle()
        received, is_orderly = await send_http_1_0(fleet, path)
        assert received.split()[1] == b"200"
        assert not is_orderly

    df.run_scenario(scenario)
