"""An entry is stopped; what it still accepts more than 3 s later must be answered."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))

import fleet as fl

EVENTS = 50  # of each stream, one each 0.1 s
CLIENTS = 40
PERIOD_S = 0.1  # between two clients' requests
EXCUSED_S = 3.0  # requests that were sent up to then may be cut at the end
GRACE_S = fl.BOUNDS["grace_s"]


async def case(fleet, has_trouble):
    routes = [
        fl.make_route("r-1", "/stream/", "streaming", fl.STREAM_SERVICE, resumable=True),
        fl.make_route("r-2", "/once/", "non_idempotent", fl.SERVICE, max_attempts=1),
    ]
    services = [fl.make_service(fl.STREAM_SERVICE), fl.make_service(fl.SERVICE)]
    engines = [
        await fleet.add_engine(f"i-{number}", fl.STREAM_SERVICE) for number in (1, 2, 3)
    ]
    for engine in engines:
        engine.events, engine.gap_s = EVENTS, 0.1
    await fleet.add_engine("i-4", fl.SERVICE)
    tenants = [{"name": "parish", "priority": 1, "api_keys": ["key-a"]}]
    fleet.write_config(routes, services, tenants)
    entries = await fleet.add_entries(2)
    await fleet.wait_ready(entries)
    # Each client has a kept connection, on which it has had an answer.
    clients = [fl.Client(fleet.record, entries[0].front) for _ in range(CLIENTS)]
    for number, client in enumerate(clients):
        answer = await client.send(f"b{number:02d}", "POST", "/once/x", "key-a", b"receipt")
        if answer.status != 200:
            raise fl.CannotRunError("a request was not served before the stop")
    await asyncio.sleep(fl.BOUNDS["contact_ms"] / 1000.0 + 0.5)
    stopped_at = fleet.record.now()
    if has_trouble:
        entries[0].signal(signal.SIGTERM)
    streams = []
    for number, client in enumerate(clients):
        streams.append(
            asyncio.create_task(
                client.send(f"a{number:02d}", "POST", "/stream/x", "key-a", b"question")
            )
        )
        await asyncio.sleep(PERIOD_S)
    broken = []
    for number, stream in enumerate(streams):
        answer = await stream
        was_run = any(
            run["attempt"] == f"a{number:02d}" for engine in engines for run in engine.runs
        )
        sent_s = answer.sent_at - stopped_at
        if answer.is_whole or not was_run or (has_trouble and sent_s <= EXCUSED_S):
            continue
        if answer.ended_at - stopped_at <= GRACE_S + 1.0:
            broken.append(
                f"LOST: stream a{number:02d} was sent {sent_s:.3f} s after the SIGTERM,"
                f" passed on to an engine, and cut at {answer.ended_at - stopped_at:.2f} s"
                f" after {answer.body.count(b'data: ')} of {EVENTS} events"
            )
    for client in clients:
        client.close()
    return broken


sys.exit(fl.run_case(case, pathlib.Path(__file__).parent))
