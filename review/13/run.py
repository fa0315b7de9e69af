"""Adds a route whose clients ask for weights of a version.

Four of eight engines have new weights. Clients of the route that was there before send
no ``Expect-Version``; those of the new route do, from the acknowledgement of the
configuration on. An engine with other weights answers them with 421. Do the streams
that run meanwhile get their whole answers?
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

OLD_ENGINES = 4
NEW_ENGINES = 4
EVENTS = 26
GAP_S = 0.1
RATE = 8.0  # streams a second on the first route
NEW_RATE = 2.0  # and on the new one
LENGTH_S = 30.0
CONFIG_AT_S = 12.0
DEADLINE_S = 8.0
# LOST around a configuration: from its sending until config_apply_ms + 1 s after its
# acknowledgement, which comes with the sending here.
PLANNED_S = 3.0


async def scenario(fleet: fl.Fleet, record: fl.Record, has_trouble: bool) -> int:
    """Play the case."""
    rng = random.Random(13)
    service = "assist"
    routes = [fl.make_route("draft", service, "streaming", resumable=False)]
    if not await fleet.start(fl.make_config(1, routes, [service])):
        record.close("could not run: the entry is not ready")
        return 2
    entry = fleet.entries[0]
    engines = []
    for index in range(OLD_ENGINES + NEW_ENGINES):
        version = 1 if index < OLD_ENGINES else 2
        engine = streamengine.StreamEngine(f"i-{index}", record, version, EVENTS, GAP_S)
        await engine.start()
        address = f"{fl.ENGINE_HOST}:{engine.port}"
        fleet.register(engine.target_id, service, address, 1_000 + index)
        engines.append(engine)
    await asyncio.sleep(1.0)
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
    outcomes: collections.Counter[str] = collections.Counter()
    # Streams of the first route: when they were sent, when they ended, whether cut.
    ends: list[tuple[float, float, bool]] = []

    async def ask(name: str, **other: str) -> None:
        attempt = fl.make_attempt_id()
        sent_at = record.now()
        record.line(f"client sends {attempt} POST /{name}/1 {other or ''}")
        headers = {
            "Attempt-Id": attempt,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {fl.KEY}",
            **{key.replace("_", "-"): value for key, value in other.items()},
        }
        conn = idle.pop() if idle else await entry.connect()
        try:
            async with asyncio.timeout(DEADLINE_S):
                answer = await fl.send(*conn, "POST", f"/{name}/1", headers, b"{}")
        except TimeoutError:
            outcomes[f"{name} given up"] += 1
            conn[1].transport.abort()
            return
        if answer.is_whole:
            idle.append(conn)
        else:
            conn[1].transport.abort()
        end = "whole" if answer.is_whole else "CUT"
        record.line(
            f"client gets {answer.status} for {attempt}, {end},"
            f" {len(answer.body)} bytes"
        )
        outcomes[f"{name} {answer.status} {end}"] += 1
        if name == "draft":
            ran = any(attempt in engine.runs for engine in engines)
            ends.append((sent_at, record.now(), ran and not answer.is_whole))

    configured_at = float("inf")
    planned_until = float("inf")
    began = record.now()
    tasks = []

    async def keep_asking(name: str, rate: float, **other: str) -> None:
        while record.now() < began + LENGTH_S:
            tasks.append(asyncio.create_task(ask(name, **other)))
            await asyncio.sleep(rng.expovariate(rate))

    first = asyncio.create_task(keep_asking("draft", RATE))
    await asyncio.sleep(CONFIG_AT_S)
    second = None
    if has_trouble:
        routes.append(fl.make_route("draft-2", service, "streaming", resumable=False))
        configured_at = record.now()
        planned_until = configured_at + PLANNED_S
        fleet.store.put("op/config", fl.make_config(2, routes, [service]))
        record.line("configuration 2 is acknowledged; it adds the route draft-2")
        second = asyncio.create_task(
            keep_asking("draft-2", NEW_RATE, Expect_Version="2")
        )
    await first
    if second is not None:
        await second
    await asyncio.gather(*tasks)
    planned = [
        end for end in ends if end[2] and configured_at <= end[1] <= planned_until
    ]
    others = [end for end in ends if end[2] and end not in planned]
    planned_rate = len(planned) / PLANNED_S
    other_rate = len(others) / (LENGTH_S - PLANNED_S)
    is_lost = bool(planned) and planned_rate > 3 * other_rate
    counts = ", ".join(f"{what}: {n}" for what, n in sorted(outcomes.items()))
    record.close(
        f"{counts}; streams without a complete answer after they were passed on:"
        f" {len(planned)} beside the configuration ({planned_rate:.1f} a second),"
        f" {len(others)} at other times ({other_rate:.2f} a second); LOST:"
        f" {is_lost}"
    )
    return 1 if is_lost else 0


fl.main(scenario, FOLDER)
