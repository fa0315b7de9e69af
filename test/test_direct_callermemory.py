"""Tests of the account of what callers make an entry hold."""

import asyncio
import random
import typing

import pytest

from sardinesaddle.direct import callermemory
from sardinesaddle.platform import headers
from sardinesaddle.standins import loopdriver
from test import directfleet as df

TOTAL_BYTES: typing.Final = 4 * 1024 * 1024
LARGEST_BYTES: typing.Final = 4 * 1024 * 1024
STEPS: typing.Final = 3000
MAX_HEADS_BYTES: typing.Final = 2000  # that two short heads count for


class ModelHolder(callermemory.Holder):
    """A caller of the model; ``bytes`` is what it holds."""

    def __init__(self, memory: callermemory.CallerMemory) -> None:
        self.bytes = 0
        self.holding = memory.open(self, self)

    def evict(self) -> None:
        """Release everything."""
        assert not self.holding.held_bytes
        self.bytes = 0


def run_virtual(
    steps: typing.Callable[[], typing.Coroutine[typing.Any, typing.Any, None]],
) -> None:
    """Run a coroutine on a virtual clock."""
    loopdriver.LoopDriver(is_clock_virtual=True).run(steps())


@pytest.mark.parametrize("seed", range(5))
def test_random_callers_hold_no_more_than_the_bound(seed: int) -> None:
    """Guards against a count that drifts, and against a part that stays exceeded."""

    async def steps() -> None:
        rng = random.Random(seed)
        memory = callermemory.CallerMemory(TOTAL_BYTES)
        holders = [ModelHolder(memory) for _ in range(30)]
        for _ in range(STEPS):
            await asyncio.sleep(rng.expovariate(100.0))
            index = rng.randrange(len(holders))
            holder = holders[index]
            if rng.random() < 0.2 or holder.holding.is_evicted:
                holder.holding.set_held(0)
                holder = holders[index] = ModelHolder(memory)
            elif rng.random() < 0.1:
                holder.holding.is_retry_copy = True
            grown = holder.bytes + int(rng.paretovariate(0.6) * 100)
            holder.bytes = min(grown, LARGEST_BYTES)
            holder.holding.set_held(holder.bytes)
            held = [h.holding.held_bytes for h in holders]
            assert held == [h.bytes for h in holders]
            assert memory.count_held() == sum(held)
            for is_large in (False, True):
                part = [
                    h for h in holders if h.bytes and h.holding.is_large == is_large
                ]
                total = sum(h.bytes for h in part)
                assert len(part) == 1 or total <= memory.get_bound(is_large)
        assert sum(memory.evictions.values()) > 0

    run_virtual(steps)


def test_retry_copies_and_then_what_makes_no_progress_is_evicted() -> None:
    """Guards against stalled requests that keep others from being served."""

    async def steps() -> None:
        memory = callermemory.CallerMemory(TOTAL_BYTES)
        size = int(memory.get_bound(is_large=True) / 4)
        copy, active, stalled, newest = (ModelHolder(memory) for _ in range(4))
        for holder in (copy, active, stalled):
            holder.bytes = size
            holder.holding.set_held(size)
        copy.holding.is_retry_copy = True
        await asyncio.sleep(1.0)
        copy.holding.mark_progress()
        active.holding.mark_progress()
        newest.bytes = 2 * size
        newest.holding.set_held(2 * size)
        assert [h.bytes for h in (copy, active, stalled)] == [0, size, size]
        newest.bytes = 3 * size
        newest.holding.set_held(3 * size)
        assert [h.bytes for h in (active, stalled, newest)] == [size, 0, 3 * size]
        small = ModelHolder(memory)
        small.bytes = callermemory.SMALL_BYTES
        small.holding.set_held(small.bytes)
        assert [h.bytes for h in (active, newest, small)] == [
            size,
            3 * size,
            callermemory.SMALL_BYTES,
        ]

    run_virtual(steps)


def test_byte_now_and_then_is_no_progress() -> None:
    """Guards against a caller that keeps its place by sending a byte each second."""

    async def steps() -> None:
        memory = callermemory.CallerMemory(TOTAL_BYTES)
        holder = ModelHolder(memory)
        holder.holding.set_held(callermemory.SMALL_BYTES)
        began_at = holder.holding.progressed_at
        for extra in range(100):
            await asyncio.sleep(1.0)
            holder.holding.set_held(callermemory.SMALL_BYTES + extra)
        assert holder.holding.progressed_at == began_at
        holder.holding.set_held(callermemory.SMALL_BYTES + callermemory.PROGRESS_BYTES)
        assert holder.holding.progressed_at == asyncio.get_running_loop().time()

    run_virtual(steps)


HEAD: typing.Final = (
    "POST {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n"
    "Authorization: Bearer {key}\r\nContent-Length: {length}\r\n\r\n"
)


@pytest.mark.parametrize(
    ("path", "key", "length", "status"),
    [
        ("/none/a", "key-a", 100, 404),
        ("/once/a", "key-b", 100, 401),
        ("/once/a", "key-a", 2**30, 413),
    ],
)
def test_what_needs_no_body_is_decided_from_the_head(
    path: str, key: str, length: int, status: int
) -> None:
    """Guards against bodies that are read though their requests cannot be served."""

    async def scenario(fleet: df.Fleet) -> None:
        reader, writer = await fleet.connect()
        began_at = asyncio.get_running_loop().time()
        writer.write(HEAD.format(path=path, key=key, length=length).encode() + b"part")
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(f"HTTP/1.1 {status} ".encode())
        assert asyncio.get_running_loop().time() - began_at < 0.1
        assert not await reader.read()

    df.run_scenario(scenario)


@pytest.mark.parametrize(
    ("path", "response"), [("/once/a", b"100 Continue"), ("/none/a", b"404 ")]
)
def test_caller_that_asks_is_told_to_send_its_body(path: str, response: bytes) -> None:
    """Guards against callers who wait, and against bodies that are not needed."""

    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain")
        await fleet.settle()
        reader, writer = await fleet.connect()
        head = HEAD.replace("Content", "Expect: 100-continue\r\nContent")
        writer.write(head.format(path=path, key="key-a", length=4).encode())
        assert response in await reader.readuntil(b"\r\n\r\n")
        if path == "/once/a":
            writer.write(b"body")
            assert b"HTTP/1.1 200 " in await reader.readuntil(b"\r\n\r\n")
        writer.transport.abort()

    df.run_scenario(scenario)


def test_body_that_is_not_whole_by_the_deadline_is_given_up() -> None:
    """Guards against a body that is waited for when nobody wants the response."""

    async def scenario(fleet: df.Fleet) -> None:
        target = await fleet.add_target("t1", "plain")
        await fleet.settle()
        reader, writer = await fleet.connect()
        began_at = asyncio.get_running_loop().time()
        head = HEAD.replace("Content", "Deadline-Ms: 1500\r\nContent")
        writer.write(head.format(path="/once/a", key="key-a", length=8).encode())
        writer.write(b"half")
        head_bytes = await reader.readuntil(b"\r\n\r\n")
        assert head_bytes.startswith(b"HTTP/1.1 503 ")
        assert 1.4 < asyncio.get_running_loop().time() - began_at < 1.7
        assert not await reader.read()
        assert not target.requests

    df.run_scenario(scenario)


@pytest.mark.parametrize(
    ("path", "is_kept"),
    [("/once/a", True), ("/free/a", True), ("/unique/a", False), ("/stream/a", True)],
)
def test_body_is_dropped_once_nothing_can_send_it_again(
    path: str, is_kept: bool
) -> None:
    """Guards against bodies that are kept for as long as their responses last."""
    body = 100_000 * b"x"
    may_go_on = asyncio.Event()

    async def respond(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if "unique" in path or "stream" in path:
            writer.write(df.make_stream_head(request.attempt_id))
            writer.write(df.encode_chunk(df.make_sse_event(1)))
        await may_go_on.wait()
        return False

    async def scenario(fleet: df.Fleet) -> None:
        for service in ("plain", "engines"):
            await fleet.add_target(service, service, respond)
        await fleet.settle()
        asking = asyncio.create_task(fleet.send_request(path, body=body))
        await fleet.settle(0.5)
        held_bytes = fleet.entries[0].memory.count_held()
        assert (held_bytes >= len(body)) == is_kept
        may_go_on.set()
        await asking

    df.run_scenario(scenario)


def test_request_whose_body_was_dropped_goes_on_and_is_not_sent_again() -> None:
    """Guards against ending requests, or sending them without a body, for memory."""
    body = 100_000 * b"x"

    async def scenario(fleet: df.Fleet) -> None:
        async def respond(
            target: df.ScriptedTarget,
            request: df.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> bool:
            await asyncio.sleep(1.0)
            if "break" in request.path:
                df.reset_connection(writer)
                return False
            return await df.respond_with_name(target, request, writer)

        targets = [await fleet.add_target(name, "plain", respond) for name in "ab"]
        await fleet.settle()
        asking = [
            asyncio.create_task(fleet.send_request(path, body=body))
            for path in ("/free/go-on", "/free/break")
        ]
        await fleet.settle(0.3)
        memory = fleet.entries[0].memory
        assert 0 <= memory.count_held() - 2 * len(body) < MAX_HEADS_BYTES
        crowd = [ModelHolder(memory) for _ in range(2)]
        for holder in crowd:
            holder.bytes = int(memory.get_bound(is_large=True) / 2)
            holder.holding.set_held(holder.bytes)
        assert memory.evictions == {False: 0, True: 2}
        responses = await asyncio.gather(*asking)
        assert [response.status for response in responses] == [200, 502]
        received = [request for target in targets for request in target.requests]
        assert [request.body for request in received] == [body, body]

    df.run_scenario(scenario, max_buffered_bytes=TOTAL_BYTES)


class EvictingPool:
    """Makes other holdings take all room while a connection is acquired."""

    def __init__(self, fleet: df.Fleet, monkeypatch: pytest.MonkeyPatch) -> None:
        self._memory = fleet.entries[0].memory
        self._acquire = fleet.entries[0].pool.acquire
        self.crowd = [ModelHolder(self._memory) for _ in range(2)]
        monkeypatch.setattr(fleet.entries[0].pool, "acquire", self._acquire_and_evict)

    def evict(self) -> None:
        """Leave no room for other large holdings."""
        for holder in self.crowd:
            holder.bytes = int(self._memory.get_bound(is_large=True) / 2)
            holder.holding.set_held(holder.bytes)

    async def _acquire_and_evict(self, *args: typing.Any) -> typing.Any:
        """Return a connection in the turn of the loop in which the body is evicted."""
        conn = await self._acquire(*args)
        await asyncio.sleep(0.05)  # without progress of the request
        self.evict()
        return conn


LARGE_BODY = 100_000 * b"x"
REST_S = 0.8  # that a target asks for


# Guards against a request that runs without its body, which was evicted meanwhile.
@pytest.mark.parametrize("path", ["/once/a", "/free/a", "/unique/a", "/stream/a"])
def test_request_whose_body_is_evicted_before_its_first_send_is_not_sent(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        service = "engines" if path.startswith(df.STREAMING_PREFIXES) else "plain"
        target = await fleet.add_target("t1", service)
        await fleet.settle()
        EvictingPool(fleet, monkeypatch)
        response = await fleet.send_request(path, body=LARGE_BODY)
        assert response.status == 503
        assert not target.requests

    df.run_scenario(scenario, max_buffered_bytes=TOTAL_BYTES)


# Guards against the same while it waits for the second target that is to run it.
@pytest.mark.parametrize(
    ("path", "breaks", "status"),
    [
        ("/once/a", False, 503),
        ("/unique/a", False, 503),
        ("/free/a", True, 502),
        ("/stream/a", True, 502),
    ],
)
def test_request_whose_body_is_evicted_while_it_waits_is_not_sent_again(
    path: str, breaks: bool, status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def respond(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if request.path.endswith("rest"):
            fields = ((headers.NOT_RUN, "1"), (headers.REST, f"{REST_S}"))
            writer.write(df.make_response_head(503, *fields, ("Content-Length", "0")))
            return True
        if target.name == "t2":
            return await df.respond_with_name(target, request, writer)
        await asyncio.sleep(0.1)
        if breaks:
            df.reset_connection(writer)
            return False
        df.write_refusal(writer, 503)
        return True

    async def scenario(fleet: df.Fleet) -> None:
        service = "engines" if path.startswith(df.STREAMING_PREFIXES) else "plain"
        second = await fleet.add_target("t2", service, respond)
        await fleet.settle()
        await fleet.send_request(path.rstrip("a") + "rest", disconnect_after_s=0.1)
        first = await fleet.add_target("t1", service, respond)
        await fleet.settle(0.1)
        asking = asyncio.create_task(fleet.send_request(path, body=LARGE_BODY))
        await fleet.settle(0.2)
        # It waits for the rest of the other target to be over.
        assert (len(first.requests), len(second.requests)) == (1, 1)
        assert not asking.done()
        EvictingPool(fleet, monkeypatch).evict()
        response = await asking
        assert response.status == status
        assert (len(first.requests), len(second.requests)) == (1, 1)

    df.run_scenario(scenario, max_buffered_bytes=TOTAL_BYTES)
