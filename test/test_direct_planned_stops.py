"""Tests of requests around a planned stop of an entry: none is left without an answer.

``plannedstops`` plays the requests and states the rule of LOST. The stops with all
kinds of requests run as processes, the others on the virtual clock.
"""

import asyncio
import collections.abc
import pathlib
import signal
import time
import typing

import pytest
import uvloop

from sardinesaddle.direct import start
from test import directfleet as df
from test import plannedstops, processfleet

SEND_TIMES: typing.Final = (-0.5, 0.5, 1.5, 2.4)
ENDS_AT_S: typing.Final = 7.5  # after SIGTERM
ACCEPTED_UNTIL_S: typing.Final = 2.6  # after SIGTERM
BUSY_S: typing.Final = 0.3
# The rest are streams that a stop cuts, and what is sent after it.
ANSWERED_SHARE: typing.Final = 0.8
AT_MOST_ONCE: typing.Final = ("once", "unique")


def play_stop(
    plan: collections.abc.Iterable[plannedstops.StopRecord],
    signal_delay_s: float = 0.0,
) -> list[plannedstops.StopRecord]:
    """Play a planned stop on the virtual clock; return the records of the requests.

    The entry handles its signal ``signal_delay_s`` after SIGTERM.
    """
    records = []

    async def scenario(fleet: df.Fleet) -> None:
        stop = plannedstops.PlannedStop(fleet, plan)
        await plannedstops.prepare(fleet, stop)
        node = fleet.entries.pop()
        loop = asyncio.get_running_loop()
        draining: list[asyncio.Task[None]] = []

        async def drain() -> None:
            await asyncio.sleep(signal_delay_s)
            await node.drain(signal_delay_s)

        records.extend(
            await stop.play(lambda: draining.append(loop.create_task(drain())))
        )
        await draining[0]

    df.run_scenario(scenario)
    return records


@pytest.mark.parametrize("route", ["once", "free", "stream", "unique"])
def test_request_that_runs_at_the_end_of_a_stop_gets_an_answer(route: str) -> None:
    """Guards against closed connections where 504 can still be answered."""
    for record in play_stop(plannedstops.make_plan(["hang"], SEND_TIMES, [route])):
        assert record.result == "504", record
        assert plannedstops.LAST_SIXTH_S < record.ended_at < plannedstops.GRACE_S


@pytest.mark.parametrize("route", ["stream", "unique"])
def test_stream_that_runs_at_the_end_of_a_stop_is_marked_as_incomplete(
    route: str,
) -> None:
    """Guards the other side: a stream that the stop cuts does not look complete."""
    for record in play_stop(plannedstops.make_plan(["d9.0"], SEND_TIMES, [route])):
        assert record.result == "cut", record
        assert plannedstops.LAST_SIXTH_S < record.ended_at < plannedstops.GRACE_S


def test_request_still_being_uploaded_at_the_end_of_a_stop_is_refused() -> None:
    """Guards against a closed connection where 503 can be answered (not run)."""

    async def scenario(fleet: df.Fleet) -> None:
        target = await fleet.add_target("t1", "plain")
        # The route's time-out ends an upload, too; it must not be over before the stop.
        fleet.store.put("op/config", df.make_config(version=2, timeout_ms=30_000))
        await fleet.settle()
        reader, writer = await fleet.connect()
        writer.write(
            b"POST /once/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n"
            b"Authorization: Bearer key-a\r\nContent-Length: 100\r\n\r\nhalf"
        )
        await fleet.settle(0.1)
        loop = asyncio.get_running_loop()
        draining = loop.create_task(fleet.entries.pop().drain())
        began_at = loop.time()
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After" in head
        assert ENDS_AT_S - 0.1 < loop.time() - began_at < plannedstops.GRACE_S
        writer.transport.abort()
        await draining
        assert not target.requests

    df.run_scenario(scenario)


@pytest.mark.parametrize("route", ["once", "free", "stream", "unique"])
def test_target_gets_no_more_time_than_the_stopping_entry_has(route: str) -> None:
    """Guards against targets that go on working for an entry that has ended."""
    late = [0.5, 1.5, 2.4]
    for record in play_stop(plannedstops.make_plan(["d9.0"], late, [route])):
        given_s = max(
            at + s for at, s in zip(record.passed_at, record.deadlines_s, strict=True)
        )
        assert given_s <= ENDS_AT_S + 0.01, record


def test_request_that_waits_at_its_target_until_a_stop_ends_is_not_run() -> None:
    """Guards against 504 where the target states that the request was not run."""
    late = [0.5, 1.5, 2.4]
    for record in play_stop(plannedstops.make_plan(["wait"], late, ["once"])):
        assert record.result == "503", record
        assert not record.may_have_run
        assert record.retry_after


@pytest.mark.parametrize("route", AT_MOST_ONCE)
@pytest.mark.parametrize("usual_s", [1.5, 3.0])
def test_request_is_not_sent_so_late_in_a_stop_that_it_would_be_cut(
    route: str, usual_s: float
) -> None:
    """Guards against late sends of requests that may run once, which the stop cuts.

    Their targets refuse them late. Not run, they can still run at another entry.
    """
    usual = plannedstops.make_plan([f"d{usual_s}"], [-8.0 + usual_s] * 12, [route])
    scripts = [f"q{wait_s}d{usual_s}" for wait_s in (2.0, 3.0, 4.0, 4.5)]
    late = plannedstops.make_plan(scripts, [0.2, 1.1, 2.3], [route])
    records = play_stop(usual + late)
    assert all(r.result == "whole" for r in records[: len(usual)])
    results = {record.result for record in records[len(usual) :]}
    assert results == {"whole", "503"}
    for record in records[len(usual) :]:
        assert record.ended_at < ENDS_AT_S - 0.1, record


@pytest.mark.parametrize("route", AT_MOST_ONCE)
def test_request_that_cannot_end_before_a_stop_does_is_refused_at_once(
    route: str,
) -> None:
    """Guards against requests that may run once and are accepted to be cut."""
    usual = plannedstops.make_plan(["d6.0"], [-8.0] * 6, [route])
    early = plannedstops.make_plan(["d6.0"], [0.1, 1.0], [route])
    late = plannedstops.make_plan(["d6.0"], [1.6, 2.4], [route])
    records = play_stop(usual + early + late)
    for record in records[: -len(late)]:
        assert record.result == "whole", record
    for record in records[-len(late) :]:
        assert record.result == "503", record
        assert not record.passed_at
        assert record.retry_after


@pytest.mark.parametrize("route", ["once", "free", "stream", "unique"])
def test_request_whose_time_is_not_known_is_served_in_a_stop(route: str) -> None:
    """Guards the other side: requests are served as long as that may be in time."""
    few = plannedstops.make_plan(["d6.0"], [-8.0] * 3, [route], kept=[False])
    plan = plannedstops.make_plan(["d4.0"], [0.1, 1.0, 1.6, 2.4], [route])
    for record in play_stop(few + plan):
        assert record.result == "whole", record


def test_stream_that_may_be_resumed_is_served_late_in_a_stop() -> None:
    """Guards the other side: what can go on elsewhere begins here."""
    usual = plannedstops.make_plan(["d6.0"], [-8.0] * 6, ["stream"])
    late = plannedstops.make_plan(["d6.0"], [1.6, 2.4], ["stream"])
    for record in play_stop(usual + late)[len(usual) :]:
        assert record.result == "cut", record
        assert record.ended_at > plannedstops.LAST_SIXTH_S


def test_request_that_leaves_a_silent_target_in_a_stop_has_time_to_begin_anew() -> None:
    """Guards against a stop that cuts what the target that was left would have ended.

    Where the time is known to be enough, the request goes on elsewhere as at all times.
    """
    slow = plannedstops.make_plan(["d4.0"], [0.5, 1.6, 2.4], ["free"])
    usual = plannedstops.make_plan(["d0.5"], [-2.0] * 6, ["free"])
    for record in play_stop(slow):
        assert record.result == "whole", record
        assert len(record.passed_at) == 1
    hanging = plannedstops.make_plan(["hang"], [0.5, 1.6], ["free"])
    for record in play_stop(usual + hanging)[len(usual) :]:
        assert len(record.passed_at) == 2


@pytest.mark.parametrize("script", ["d0.05", "d0.6"])
@pytest.mark.parametrize("route", ["once", "unique"])
def test_request_behind_another_one_on_its_connection_is_answered_in_a_stop(
    route: str, script: str
) -> None:
    """Guards against requests that are read, and dropped as the first one's end closes.

    Each of the two gets its own answer at any time of the stop.
    """
    times = [0.25 * n for n in range(28)]
    plan = plannedstops.make_plan(
        [script], times, [route], [plannedstops.Body.PIPELINED], kept=[False]
    )
    keeper = plannedstops.StopRecord("/free/d9.0/keep", -0.5)
    for record in play_stop([keeper, *plan])[1:]:
        is_early = record.begins_at < 1.9
        assert record.result in (["whole"] if is_early else ["whole", "503"]), record


def test_response_in_a_stop_asks_the_caller_to_close_when_it_begins() -> None:
    """Guards against kept connections that are closed without a word."""

    async def scenario(fleet: df.Fleet) -> None:
        async def respond_slowly(
            target: df.ScriptedTarget,
            request: df.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> bool:
            await asyncio.sleep(3.0)
            return await df.respond_with_name(target, request, writer)

        await fleet.add_target("t1", "plain", respond_slowly)
        await fleet.settle()
        conn = await fleet.connect()
        loop = asyncio.get_running_loop()
        sending = loop.create_task(fleet.send_request("/once/a", conn=conn))
        await fleet.settle(0.1)
        draining = loop.create_task(fleet.entries.pop().drain())
        response = await sending
        assert response.status == 200
        assert response.headers["connection"] == "close"
        conn[1].transport.abort()
        await draining

    df.run_scenario(scenario)


def test_stop_waits_until_slow_callers_were_sent_their_responses() -> None:
    """Guards against responses whose last bytes end with the process."""

    async def scenario(fleet: df.Fleet) -> None:
        node = fleet.entries[0]

        def count_unsent() -> int:
            transports = [c.transport for c in node.frontend._server.connections]
            return sum(t.get_write_buffer_size() for t in transports if t is not None)

        async def respond_until_held_back(
            target: df.ScriptedTarget,
            request: df.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> bool:
            writer.write(df.make_stream_head(request.attempt_id))
            number = 0
            while not count_unsent():
                number += 1
                event = f"id: {number}\ndata: {'x' * 4096}\n\n".encode()
                writer.write(df.encode_chunk(event))
                await asyncio.sleep(0.001)
            writer.write(df.encode_chunk(b""))
            return True

        await fleet.add_target("t1", "engines", respond_until_held_back)
        await fleet.settle()
        reader, writer = await fleet.connect()
        transport = typing.cast("asyncio.Transport", writer.transport)
        transport.pause_reading()
        writer.write(
            b"POST /stream/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n"
            b"Authorization: Bearer key-a\r\nContent-Length: 0\r\n\r\n"
        )
        await fleet.settle(3.0)
        assert count_unsent()
        assert not node.frontend.active_requests
        loop = asyncio.get_running_loop()
        draining = loop.create_task(fleet.entries.pop().drain())
        await fleet.settle(4.0)
        assert not draining.done()
        transport.resume_reading()
        body = bytearray()
        while not body.endswith(b"\r\n0\r\n\r\n"):
            body += await reader.read(65536)
        writer.transport.abort()
        began_at = loop.time()
        await draining
        assert loop.time() - began_at < 0.5

    df.run_scenario(scenario)


def test_lateness_of_a_signal_is_known() -> None:
    """Guards against a stop that counts from when a busy loop gets to the signal."""

    async def run() -> float:
        stop_signal = start.StopSignal()
        loop = asyncio.get_running_loop()
        stop_signal.listen(loop, signal.SIGUSR1)

        def keep_loop_busy() -> None:
            signal.raise_signal(signal.SIGUSR1)
            time.sleep(BUSY_S / 2)
            signal.raise_signal(signal.SIGUSR1)
            time.sleep(BUSY_S / 2)

        loop.call_soon(keep_loop_busy)
        try:
            return await stop_signal.wait()
        finally:
            loop.remove_signal_handler(signal.SIGUSR1)

    assert BUSY_S <= uvloop.run(run()) < BUSY_S + 1.0
    assert BUSY_S <= asyncio.run(run()) < BUSY_S + 1.0


def test_stop_whose_signal_is_handled_late_ends_in_time() -> None:
    """Guards against requests that are accepted too late, and cut by the kill."""
    late_s = 0.3
    times = [0.1, 1.0, 2.1, 2.4, 2.8, 4.0]
    plan = plannedstops.make_plan(["hang"], times, ["once"])
    for record in play_stop(plan, signal_delay_s=late_s):
        if record.begins_at <= ACCEPTED_UNTIL_S:
            assert record.result == "504", record
            assert ENDS_AT_S - 0.15 <= record.ended_at <= ENDS_AT_S + 0.05, record
        else:
            assert record.result in ("503", "unsent"), record


def make_full_plan() -> list[plannedstops.StopRecord]:
    """Return requests of all kinds, sent throughout a stop."""
    times = [-0.8 + 0.8 * n for n in range(11)]
    scripts = ["d0.05", "d1.5", "d5.5", "d9.0", "hang", "wait", "q2.0d1.0", "q4.0d5.0"]
    body = plannedstops.Body
    bodies = (body.CHUNKED, body.SLOW, body.PIPELINED)
    plan = [
        *plannedstops.make_plan(scripts, times, kept=[False]),
        *plannedstops.make_plan(["p1.5"], times, ["stream", "unique"], kept=[False]),
        *plannedstops.make_plan(["d0.05", "d3.0"], times, bodies=bodies, kept=[False]),
    ]
    for record in plan[::2]:
        record.is_kept = True
    return plan


def check_records(records: list[plannedstops.StopRecord]) -> None:
    """Check that no promise was broken, and that all that could be answered was."""
    answered = sum(record.is_complete for record in records)
    assert answered > ANSWERED_SHARE * len(records)
    for record in records:
        assert not record.is_lost, record
        is_stream = record.path.startswith(("/stream/", "/unique/"))
        if record.is_unanswered:
            assert is_stream, record
            assert record.status == 200, record
        if record.status in plannedstops.PROMISES and not record.path.startswith(
            ("/free/", "/stream/")
        ):
            assert not record.may_have_run, record
        if record.path.startswith(("/once/", "/unique/")):
            assert len(record.passed_at) - len(record.refused_at) <= 1, record
        if record.passed_at:
            assert record.sent_at <= plannedstops.EXCUSED_S, record
        assert record.ended_at < plannedstops.GRACE_S or not record.passed_at, record


@pytest.mark.parametrize("disturbances", ["none", "signals", "two entries"])
def test_planned_stop_of_a_process_leaves_no_request_unanswered(
    tmp_path: pathlib.Path, disturbances: str
) -> None:
    """Guards against requests that a stop cuts, of any kind, sent at any time of it.

    Once SIGTERM comes again and SIGHUP twice, once two entries stop at the same time.
    """
    entry_count = 2 if disturbances == "two entries" else 1
    plan = make_full_plan()
    for number, record in enumerate(plan):
        record.entry = number // 2 % entry_count

    async def scenario(fleet: processfleet.ProcessFleet) -> None:
        stop = plannedstops.PlannedStop(fleet, plan)
        await plannedstops.prepare(fleet, stop)
        loop = asyncio.get_running_loop()

        def stop_entries() -> None:
            for index, process in enumerate(fleet.processes):
                fleet.stop_gracefully(index)
                kill = process.signal_if_running
                loop.call_later(plannedstops.GRACE_S, kill, signal.SIGKILL)
            if disturbances == "signals":
                send = fleet.processes[0].signal_if_running
                loop.call_later(1.0, send, signal.SIGTERM)
                loop.call_later(2.0, send, signal.SIGHUP)
                loop.call_later(4.0, send, signal.SIGHUP)

        check_records(await stop.play(stop_entries))
        for index, process in enumerate(fleet.processes):
            await process.wait_for_exit(plannedstops.GRACE_S)
            assert not process.find_unhandled_error(), fleet.read_log(index)

    processfleet.run_scenario(tmp_path, scenario, entry_count)
