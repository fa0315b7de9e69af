"""Tests that the silence of a target ends no response that would have come."""

import asyncio
import collections.abc
import typing

import pytest

from sardinesaddle.direct import responserelay
from test import directfleet as df

EVENTS: typing.Final = 6
PAUSE_S: typing.Final = 1.5  # within the users' two seconds
CALLER_PATIENCE_S: typing.Final = 2.0
Script = collections.abc.Callable[[int], float]


def make_responder(pause_before: Script) -> df.Responder:
    """Return a responder whose streams pause before their events as scripted."""

    async def respond(
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if not request.path.startswith(("/stream/", "/unique/")):
            await asyncio.sleep(pause_before(1))
            return await df.respond_with_name(target, request, writer)
        first = int(request.headers.get("last-event-id", "0")) + 1
        writer.write(df.make_stream_head(request.attempt_id))
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(pause_before(number))
            writer.write(df.encode_chunk(df.make_sse_event(number)))
        writer.write(df.encode_chunk(b""))
        return True

    return respond


async def refuse(
    target: df.ScriptedTarget,
    request: df.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool:
    """Respond that the target is full."""
    df.write_refusal(writer, 503)
    return True


def pause_once(number: int) -> float:
    """Return a pause before the third event of a stream, and in other responses."""
    return PAUSE_S if number in (1, 3) else 0.01


def pause_always(number: int) -> float:
    """Return a pause before each event."""
    return PAUSE_S


def is_whole(response: df.ReceivedResponse) -> bool:
    """Return whether a caller got all events of its stream, each once."""
    expected = b"".join(df.make_sse_event(n) for n in range(1, EVENTS + 1))
    return response.is_complete and response.body == expected


def put_long_routes(fleet: df.Fleet) -> None:
    """Let all routes take their time."""
    fleet.store.put("op/config", df.make_config(2, timeout_ms=20_000))


@pytest.mark.parametrize("pause", [pause_once, pause_always])
@pytest.mark.parametrize("target_count", [1, 2, 3])
@pytest.mark.parametrize("path", ["/stream/a", "/unique/a"])
def test_stream_of_a_target_that_pauses_is_whole(
    pause: Script, target_count: int, path: str
) -> None:
    """Guards against streams that the entry ends for a pause of their target."""

    async def scenario(fleet: df.Fleet) -> None:
        for number in range(target_count):
            await fleet.add_target(f"t{number}", "engines", make_responder(pause))
        put_long_routes(fleet)
        await fleet.settle()
        loop = asyncio.get_running_loop()
        sending = [
            loop.create_task(fleet.send_request(f"{path}{n}", deadline_ms=18_000))
            for n in range(3)
        ]
        for task in sending:
            response = await task
            assert is_whole(response)

    df.run_scenario(scenario)


@pytest.mark.parametrize("path", ["/free/a", "/open/a"])
def test_response_that_takes_longer_than_the_silence_is_not_replaced_by_a_failure(
    path: str,
) -> None:
    """Guards against failures in place of responses that a slow target would give."""

    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "plain", make_responder(pause_always))
        await fleet.settle()
        assert (await fleet.send_request(path)).body == b"t1"

    df.run_scenario(scenario)


def test_stream_that_left_a_silent_target_goes_on_there_if_no_other_takes_it() -> None:
    """Guards against a stream that is lost between a pause and a refusal."""

    async def scenario(fleet: df.Fleet) -> None:
        await fleet.add_target("t1", "engines", make_responder(pause_once))
        put_long_routes(fleet)
        await fleet.settle()
        loop = asyncio.get_running_loop()
        sending = loop.create_task(fleet.send_request("/stream/a", deadline_ms=9000))
        await fleet.settle(0.5)
        await fleet.add_target("t2", "engines", refuse)
        assert is_whole(await sending)
        assert len(fleet.targets["t2"].requests) == 1

    df.run_scenario(scenario)


def test_stream_of_a_target_that_pauses_is_whole_without_a_retry_budget() -> None:
    """Guards against streams that end for a pause once the budget is spent."""

    async def scenario(fleet: df.Fleet) -> None:
        for name in ("t1", "t2"):
            await fleet.add_target(name, "engines", make_responder(pause_once))
        await fleet.settle()
        budget = fleet.entries[0].forwarder._get_retry_budget("engines")
        budget.set_limits(0.0, 0.0, 10.0)
        assert is_whole(await fleet.send_request("/stream/a", deadline_ms=9000))

    df.run_scenario(scenario)


def test_stream_is_whole_though_its_entry_stops_and_targets_pause() -> None:
    """Guards against streams that an entry ends for a pause while it is stopped."""

    async def scenario(fleet: df.Fleet) -> None:
        for name in ("t1", "t2"):
            await fleet.add_target(name, "engines", make_responder(pause_once))
        put_long_routes(fleet)
        await fleet.settle()
        loop = asyncio.get_running_loop()
        sending = [
            loop.create_task(fleet.send_request(f"/stream/{n}", deadline_ms=9000))
            for n in range(4)
        ]
        await fleet.settle(0.3)
        draining = loop.create_task(fleet.entries[0].drain())
        for task in sending:
            assert is_whole(await task)
        await draining

    df.run_scenario(scenario)


@pytest.mark.parametrize("path", ["/stream/a", "/free/a"])
def test_request_goes_on_elsewhere_soon_if_its_target_is_silent_for_good(
    path: str,
) -> None:
    """Guards the other side: a caller waits no longer than before for a dead target."""

    async def scenario(fleet: df.Fleet) -> None:
        service = "engines" if path.startswith("/stream") else "plain"
        dead = await fleet.add_target("t1", service, make_responder(lambda _: 100.0))
        await fleet.settle()
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        sending = loop.create_task(fleet.send_request(path))
        await fleet.settle(0.3)
        dead.fall_silent()
        await fleet.add_target("t2", service, make_responder(lambda _: 0.01))
        response = await sending
        assert response.status == 200
        assert response.is_complete
        assert response.finished_at - began_at < CALLER_PATIENCE_S

    df.run_scenario(scenario)


@pytest.mark.parametrize("path", ["/stream/a", "/free/a"])
def test_request_ends_soon_if_its_only_target_is_gone(path: str) -> None:
    async def scenario(fleet: df.Fleet) -> None:
        service = "engines" if path.startswith("/stream") else "plain"
        dead = await fleet.add_target("t1", service, make_responder(lambda _: 100.0))
        await fleet.settle()
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        sending = loop.create_task(fleet.send_request(path))
        await fleet.settle(0.3)
        dead.fall_silent()
        response = await sending
        assert response.status == 502
        spent_s = response.finished_at - began_at
        assert spent_s < responserelay.SILENCE_TIMEOUT_S + 0.5

    df.run_scenario(scenario)
