"""Measures the cost of the whole path: latency, streams per second, and resuming.

Three ways to a service are timed one after another in one process on uvloop: directly,
through a bare aiohttp forwarder, and through an entry with a sidecar. Ratios within one
run are reported, since the machine's speed varies. Resuming a stream is compared with
running the call again on a virtual clock, so those figures are the same on every run.
"""

import asyncio
import json
import statistics
import time
import typing

import aiohttp
import aiohttp.web
import uvloop

from sardinesaddle import build
from sardinesaddle.bench import report
from sardinesaddle.standins import deployment, httpserver, loopdriver

CALLS: typing.Final = 300
WARM_UP_CALLS: typing.Final = 50
STREAMS: typing.Final = 100
STREAM_TOKENS: typing.Final = 50
LONG_STREAM_TOKENS: typing.Final = 1000
TIMING_SHAPE: typing.Final = deployment.Shape(
    "bench", ("here",), "sermon-text", "summaries", 1, "ledger", 1, ("alice",), 1
)
RESUME_SHAPE: typing.Final = deployment.Shape(
    "bench", ("here",), "sermon-text", "summaries", 2, "ledger", 1, ("alice",), 1
)


class Forwarder(httpserver.HttpServer):
    """A bare forwarder: aiohttp's server and client without any logic between."""

    def __init__(self, url: str) -> None:
        super().__init__()
        self._url = url
        self._session = build.make_session()

    def make_app(self) -> aiohttp.web.Application:
        """Return an application that forwards every request."""
        app = aiohttp.web.Application()
        app.router.add_route("*", "/{path:.*}", self._forward)
        return app

    async def _forward(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.StreamResponse:
        """Forward one request and stream its response back."""
        body = await request.read()
        async with self._session.request(
            request.method, self._url + request.path_qs, data=body or None
        ) as resp:
            response = aiohttp.web.StreamResponse(status=resp.status)
            response.content_type = resp.content_type
            await response.prepare(request)
            async for chunk in resp.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response

    async def close(self) -> None:
        """Stop the server and close the client session."""
        await self.stop()
        await self._session.close()


async def time_calls(session: aiohttp.ClientSession, url: str) -> list[float]:
    """Return the seconds that each of several sequential calls takes."""
    headers = {"Authorization": f"Bearer {deployment.make_token('alice')}"}
    durations_s = []
    for number in range(WARM_UP_CALLS + CALLS):
        started_at = time.perf_counter()
        async with session.get(url + "/ledger/x", headers=headers) as resp:
            await resp.read()
            assert resp.status == 200, resp.status
        if number >= WARM_UP_CALLS:
            durations_s.append(time.perf_counter() - started_at)
    return durations_s


async def read_stream(
    session: aiohttp.ClientSession, url: str, number: int, tokens: int
) -> int:
    """Read one stream to its end; return the number of its token events."""
    headers = {"Authorization": f"Bearer {deployment.make_token('alice')}"}
    body = {
        "model": "sermon-text",
        "messages": [{"role": "user", "content": f"{number}"}],
        "max_tokens": tokens,
        "stream": True,
    }
    async with session.post(
        url + "/v1/chat/completions", headers=headers, data=json.dumps(body)
    ) as resp:
        data = await resp.read()
    assert data.endswith(b"[DONE]\n\n"), data[-200:]
    return data.count(b"data: {")


async def time_streams(session: aiohttp.ClientSession, url: str) -> float:
    """Return the streams per second when all streams run at once."""
    started_at = time.perf_counter()
    await asyncio.gather(
        *(read_stream(session, url, n, STREAM_TOKENS) for n in range(STREAMS))
    )
    return STREAMS / (time.perf_counter() - started_at)


async def measure_wall_clock(result: report.Report) -> None:
    """Measure calls and streams on each path, in real time."""
    dep = deployment.Deployment(TIMING_SHAPE, token_s=0.0, has_proxies=False)
    await dep.start()
    while not dep.is_ready():
        await asyncio.sleep(0.05)
    plain = dep.targets["bench-plain-0"]
    plain.work_s = 0.0  # type: ignore[attr-defined]
    engine = dep.targets["bench-engine-0"]
    dep.sidecars["bench-engine-0"].sidecar.scheduler.slots = STREAMS
    session = build.make_session()
    forwarders = [Forwarder(plain.url), Forwarder(engine.url)]
    for forwarder in forwarders:
        await forwarder.start()
    urls = {
        "direct": (plain.url, engine.url),
        "forwarder": (forwarders[0].url, forwarders[1].url),
        "path": (dep.get_entry_url(0), dep.get_entry_url(0)),
    }
    medians: dict[str, float] = {}
    rates: dict[str, float] = {}
    for name, (plain_url, engine_url) in urls.items():
        medians[name] = statistics.median(await time_calls(session, plain_url))
        rates[name] = await time_streams(session, engine_url)
    result.add("added_ms_forwarder", 1000 * (medians["forwarder"] - medians["direct"]))
    result.add("added_ms_path", 1000 * (medians["path"] - medians["direct"]))
    result.add("call_time_ratio_to_direct", medians["path"] / medians["direct"])
    result.add("call_time_ratio_to_forwarder", medians["path"] / medians["forwarder"])
    result.add("streams_ratio_to_direct", rates["path"] / rates["direct"])
    result.add("streams_ratio_to_forwarder", rates["path"] / rates["forwarder"])
    result.add("streams_per_s_path", rates["path"])
    await session.close()
    for forwarder in forwarders:
        await forwarder.close()
    await dep.stop()


async def measure_resume(
    loop_driver: loopdriver.LoopDriver, result: report.Report
) -> None:
    """Compare resuming a stream with running a call again, in model time.

    At four fifths of the answer, the entry's open links fall silent or the sidecar of
    the call's target is killed.
    """
    loop = asyncio.get_running_loop()
    dep = deployment.Deployment(RESUME_SHAPE, loop_driver=loop_driver)
    await dep.start()
    while not dep.is_ready():
        await asyncio.sleep(0.05)
    session = build.make_session()
    for name in ("undisturbed", "resumed", "run_again"):
        started_at = loop.time()
        runs_before = sum(sum(t.runs.values()) for t in dep.targets.values())
        task = loop.create_task(
            read_stream(session, dep.get_entry_url(0), 1, LONG_STREAM_TOKENS)
            if name != "run_again"
            else send_unstreamed_call(session, dep.get_entry_url(0))
        )
        await asyncio.sleep(LONG_STREAM_TOKENS * 0.005 * 0.8)
        if name == "resumed":
            for proxy in dep.list_proxies(0):
                proxy.blackhole_open()
        if name == "run_again":
            target = next(n for n, t in dep.targets.items() if t.running)
            await dep.kill_sidecar(target)
        await task
        runs = sum(sum(t.runs.values()) for t in dep.targets.values()) - runs_before
        result.add(f"seconds_{name}", loop.time() - started_at)
        result.add(f"tokens_generated_{name}", runs * LONG_STREAM_TOKENS)
    await session.close()
    await dep.stop()


async def send_unstreamed_call(session: aiohttp.ClientSession, url: str) -> None:
    """Send a call without streaming, which can be run again when it is cut off."""
    headers = {"Authorization": f"Bearer {deployment.make_token('alice')}"}
    body = {
        "model": "sermon-text",
        "messages": [{"role": "user", "content": "whole"}],
        "max_tokens": LONG_STREAM_TOKENS,
    }
    async with session.post(
        url + "/v1/chat/completions", headers=headers, data=json.dumps(body)
    ) as resp:
        assert resp.status == 200, await resp.read()


def run(seed: int) -> report.Report:
    """Run the measurements in real time, then those in model time."""
    result = report.Report("path")
    uvloop.run(measure_wall_clock(result))
    loop_driver = loopdriver.LoopDriver(is_clock_virtual=True)
    loop_driver.run(measure_resume(loop_driver, result))
    return result
