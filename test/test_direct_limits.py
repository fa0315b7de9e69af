"""Tests of limits on one request: attempts, time left, large bodies, slow callers."""

import asyncio

import pytest

from test import directfleet as df

BODY_BYTES = 3 * 1024 * 1024
# More than the socket buffers on the way from a target to a caller.
LARGE_RESPONSE_BYTES = 48 * 1024 * 1024
SLOW_READ_BYTES = 64 * 1024


async def reset_after_request(
    target: df.ScriptedTarget, request: df.ReceivedRequest, writer: asyncio.StreamWriter
) -> bool:
    """Reset the connection after reading the request."""
    df.reset_connection(writer)
    return False


async def refuse_not_executed(
    target: df.ScriptedTarget, request: df.ReceivedRequest, writer: asyncio.StreamWriter
) -> bool:
    """Respond that the request did not run."""
    head = df.make_response_head(503, ("Not-Executed", "1"), ("Content-Length", "0"))
    writer.write(head)
    return True


@pytest.mark.parametrize("respond", [reset_after_request, refuse_not_executed])
@pytest.mark.parametrize("path", ["/free/a", "/once/a", "/stream/a"])
def test_request_reaches_no_more_targets_than_its_route_allows(
    path: str, respond: df.Responder
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        service = "engines" if path == "/stream/a" else "plain"
        for number in range(5):
            await fleet.add_target(f"t{number}", service, respond)
        await fleet.settle()
        for _ in range(4):
            await fleet.send_request(path)
        received: dict[str, int] = {}
        for target in fleet.targets.values():
            for request in target.requests:
                received[request.attempt_id] = received.get(request.attempt_id, 0) + 1
        assert len(received) == 4
        assert max(received.values()) <= 2

    df.run_scenario(scenario)


def test_second_target_is_given_only_the_time_that_is_left() -> None:
    async def never_respond(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await asyncio.sleep(100.0)
        return False

    async def scenario(fleet: df.Fleet) -> None:
        for name in ("t1", "t2"):
            await fleet.add_target(name, "plain", never_respond)
        await fleet.settle()
        await fleet.send_request("/free/a", deadline_ms=3000)
        first, second = sorted(
            (t.requests[0] for t in fleet.targets.values()), key=lambda r: r.received_at
        )
        passed_ms = 1000 * (second.received_at - first.received_at)
        assert passed_ms > 1000
        given_ms = [int(request.headers["deadline-ms"]) for request in (first, second)]
        assert given_ms[0] <= 3000
        assert given_ms[1] <= 3000 - passed_ms + 10

    df.run_scenario(scenario)


def test_large_response_reaches_a_slow_caller_whole_and_bounds_memory() -> None:
    body = bytes(range(256)) * (LARGE_RESPONSE_BYTES // 256)
    written: list[int] = []

    async def respond_large(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        response = df.make_response(request.attempt_id, body)
        for start in range(0, len(response), SLOW_READ_BYTES):
            writer.write(response[start : start + SLOW_READ_BYTES])
            await writer.drain()
            written.append(start)
        return True

    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain", respond_large)
        await fleet.settle()
        reader, writer = await fleet.connect()
        writer.write(
            b"GET /open/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n\r\n"
        )
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        await fleet.settle(1.0)
        # The target is held back while the caller does not read.
        assert len(written) * SLOW_READ_BYTES < LARGE_RESPONSE_BYTES
        received = bytearray()
        while len(received) < len(body):
            received += await reader.read(SLOW_READ_BYTES)
        assert bytes(received) == body
        writer.close()

    df.run_scenario(scenario)


def test_early_response_to_a_large_body_leaves_no_bytes_for_the_next_request() -> None:
    # The target responds before it has read the body, keeps the connection, reads on.
    bodies: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            except (asyncio.IncompleteReadError, OSError):
                return
            fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
            writer.write(df.make_response(fields["attempt-id"], b"early"))
            await asyncio.sleep(0.3)
            bodies.append(await reader.readexactly(int(fields["content-length"])))

    async def scenario(fleet: df.Fleet) -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        fleet.store.put("servers/t1", df.make_registration("plain", port))
        await fleet.settle()
        payload = b"x" * BODY_BYTES
        for number in range(3):
            reader, writer = await fleet.connect()
            writer.write(
                b"POST /open/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a%d\r\n"
                b"Content-Length: %d\r\n\r\n" % (number, BODY_BYTES)
            )
            writer.write(payload)
            await writer.drain()
            response = await reader.readuntil(b"early")
            assert response.startswith(b"HTTP/1.1 200")
            writer.close()
        await fleet.settle(1.0)
        assert bodies
        assert set(bodies) == {payload}
        server.close()

    df.run_scenario(scenario)
