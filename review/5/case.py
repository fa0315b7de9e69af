"""An entry is stopped while engines pause in streams; no stream may be cut."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

import fleet as fl

EVENTS = 26  # of each stream, one each 0.05 s
PAUSE_S = 1.5  # before the tenth event of a run; clients wait for 2 s
STREAMS = 6
GRACE_S = fl.BOUNDS["grace_s"]


async def case(fleet, has_trouble):
    routes = [
        fl.make_route("r-1", "/stream/", "streaming", fl.STREAM_SERVICE, resumable=True)
    ]
    engines = [
        await fleet.add_engine(f"i-{number}", fl.STREAM_SERVICE) for number in (1, 2, 3)
    ]
    for engine in engines:
        engine.events = EVENTS
        if has_trouble:
            # Memory runs out: the newest request is preempted and read again.
            engine.pauses = {10: PAUSE_S}
    tenants = [{"name": "parish", "priority": 1, "api_keys": ["key-a"]}]
    fleet.write_config(routes, [fl.make_service(fl.STREAM_SERVICE)], tenants)
    entries = await fleet.add_entries(2)
    await fleet.wait_ready(entries)
    await asyncio.sleep(fl.BOUNDS["contact_ms"] / 1000.0 + 0.5)
    clients = [fl.Client(fleet.record, entries[0].front) for _ in range(STREAMS)]
    streams = [
        asyncio.create_task(
            client.send(f"a{number}", "POST", "/stream/x", "key-a", b"question")
        )
        for number, client in enumerate(clients)
    ]
    await asyncio.sleep(0.3)
    stopped_at = fleet.record.now()
    entries[0].signal(signal.SIGTERM)
    broken = []
    for number, stream in enumerate(streams):
        answer = await stream
        runs = [
            run for engine in engines for run in engine.runs if run["attempt"] == f"a{number}"
        ]
        if answer.is_whole or not runs:
            continue
        ended_s = answer.ended_at - stopped_at
        # Engines that were still at work in the last sixth of the grace are excused.
        if ended_s < GRACE_S * 5.0 / 6.0:
            count = answer.body.count(b"data: ")
            broken.append(
                f"LOST: the connection of stream a{number} was closed {ended_s:.2f} s"
                f" after the SIGTERM, after {count} of {EVENTS} events"
            )
    for client in clients:
        client.close()
    return broken


sys.exit(fl.run_case(case, pathlib.Path(__file__).parent))
