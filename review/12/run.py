"""Lets one engine fail with error pages that break off, and looks for joined answers.

One engine of seven fails a part of its requests for some seconds: it answers 500 with a
page of 300 KB in chunks and breaks off within it. The route is a resumable stream, so
the entry sends the request to another engine.
"""

import asyncio
import collections
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import fleet as fl  # noqa: E402
import streamengine  # noqa: E402

ENGINES = 7
EVENTS = 26
GAP_S = 0.05
RATE = 25.0  # streams a second
LENGTH_S = 30.0
GREY_AT_S = (5.0, 16.0)
GREY_FOR_S = 6.5
GREY_SHARE = 0.45  # of the engine's requests
PAGE_BYTES = 300_000
DEADLINE_S = 8.0


class GreyEngine(streamengine.StreamEngine):
    """An engine that fails a part of its requests while ``is_grey`` is set."""

    is_grey = False
    failures = 0
    rng = random.Random(14)

    async def _answer(
        self, path: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        attempt = headers.get("attempt-id", "")
        if not attempt or not self.is_grey or self.rng.random() >= GREY_SHARE:
            await super()._answer(path, headers, writer)
            return
        self.failures += 1
        self._record.line(f"engine {self.target_id} fails {attempt}, breaks off")
        page = make_page(attempt)
        part = page[: len(page) * 9 // 10]
        writer.write(
            f"HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {attempt}\r\n"
            f"Server-Stamp: {self.target_id}.{attempt}\r\nContent-Type: text/html\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        writer.write(f"{len(part):x}\r\n".encode() + part + b"\r\n")
        await writer.drain()
        await asyncio.sleep(0.05)
        raise OSError("broken off")


def make_page(attempt: str) -> bytes:
    """Return the whole error page for an attempt."""
    line = f"<p>trace of {attempt}</p>\n".encode()
    return line * (PAGE_BYTES // len(line))


async def scenario(fleet: fl.Fleet, record: fl.Record, has_trouble: bool) -> int:
    """Play the case."""
    rng = random.Random(14)
    service = "assist"
    routes = [fl.make_route("draft", service, "streaming", resumable=True)]
    if not await fleet.start(fl.make_config(1, routes, [service])):
        record.close("could not run: the entry is not ready")
        return 2
    entry = fleet.entries[0]
    engines = []
    for index in range(ENGINES):
        engine = GreyEngine(f"i-{index}", record, 1, EVENTS, GAP_S)
        await engine.start()
        address = f"{fl.ENGINE_HOST}:{engine.port}"
        fleet.register(engine.target_id, service, address, 1_000 + index)
        engines.append(engine)
    await asyncio.sleep(1.0)
    outcomes: collections.Counter[str] = collections.Counter()
    joined: list[str] = []

    async def ask() -> None:
        attempt = fl.make_attempt_id()
        record.line(f"client sends {attempt} POST /draft/1")
        headers = {
            "Attempt-Id": attempt,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {fl.KEY}",
        }
        conn = await entry.connect()
        try:
            async with asyncio.timeout(DEADLINE_S):
                answer = await fl.send(*conn, "POST", "/draft/1", headers, b"{}")
        except TimeoutError:
            outcomes["given up"] += 1
            return
        finally:
            conn[1].transport.abort()
        end = "complete" if answer.is_whole else "broken off"
        stamp = answer.headers.get("server-stamp", "")
        record.line(
            f"client gets {answer.status} for {attempt}, {end}, {len(answer.body)}"
            f" bytes, stamp {stamp}, the end is {answer.body[-30:]!r}"
        )
        outcomes[f"{answer.status} {end}"] += 1
        page, stream = (
            make_page(attempt),
            b"".join(streamengine.make_events(attempt, EVENTS)),
        )
        if answer.is_whole and answer.status == 500 and stamp and answer.body != page:
            joined.append(attempt)
            record.line(
                f"JOINED: {attempt} looks complete; its body has"
                f" {len(page) * 9 // 10} bytes of the page of {stamp}, then"
                f" {answer.body.count(b'data: ')} of the events of another run"
            )
        if answer.is_whole and answer.status == 200 and answer.body != stream:
            joined.append(attempt)
            record.line(f"JOINED: {attempt} 200 with {len(answer.body)} bytes")

    async def turn_grey() -> None:
        for at_s in GREY_AT_S:
            await asyncio.sleep(max(began + at_s - record.now(), 0.0))
            record.line("engine i-0 fails a part of its requests")
            engines[0].is_grey = True
            await asyncio.sleep(GREY_FOR_S)
            engines[0].is_grey = False
            record.line("engine i-0 is sound again")

    began = record.now()
    trouble = asyncio.create_task(turn_grey()) if has_trouble else None
    tasks = []
    while record.now() < began + LENGTH_S:
        tasks.append(asyncio.create_task(ask()))
        await asyncio.sleep(rng.expovariate(RATE))
    await asyncio.gather(*tasks)
    if trouble is not None:
        await trouble
    counts = ", ".join(f"{what}: {n}" for what, n in sorted(outcomes.items()))
    record.close(
        f"{counts}; {engines[0].failures} error pages broken off; MIXED:"
        f" {len(joined)} answers of joined runs that look complete"
    )
    return 1 if joined else 0


fl.main(scenario, FOLDER)
