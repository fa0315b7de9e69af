"""An engine leaves without notice; its whole answers without a length are cut."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
STANDINS = FOLDER.parent / "6"
sys.path.insert(0, str(STANDINS))

import platform_standin as ps  # noqa: E402

SERVICE = "catalogo-archivo"
ENGINES = ("i-one", "i-two", "i-three", "i-four")
REQUESTS = 36  # of each kind
PARTS, GAP_MS = 16, 100  # an answer takes 1.5 s
REMOVED_AFTER_S = 0.5  # from the requests to the removal of the engine's entry
# It serves on for drain_ms (2 s) after that, and a little longer, and then exits.
# All answers have ended by then.
EXITS_AFTER_S = ps.BOUNDS["drain_ms"] / 1000 + 0.5
ALLOWED_CLOSES = 3
ROUTES = [
    {"name": "safe", "prefix": "/safe/", "kind": "idempotent", "service": SERVICE},
    {"name": "unsafe", "prefix": "/unsafe/", "kind": "non_idempotent", "service": SERVICE},
    {"name": "stream", "prefix": "/stream/", "kind": "streaming", "service": SERVICE},
]


def reload_entries(fleet: ps.Fleet) -> None:
    """Change the entries' settings files and send SIGHUP, as planned work."""
    for number, process in enumerate(fleet.entries):
        path = fleet.directory / f"entry-{number}.boot"
        text = path.read_text()
        changed = text.replace('"repeat_allowance": 90', '"repeat_allowance": 91')
        if changed == text:
            raise ps.CannotRun("the settings have no repeat_allowance")
        path.write_text(changed)
        process.send(signal.SIGHUP)


async def send_kept(
    fleet: ps.Fleet, number: int, kind: str, may_send: asyncio.Event
) -> ps.Answer:
    """Send a first request and then, on the same connection, the one that counts."""
    front = fleet.fronts[number % len(fleet.fronts)]
    conn = await asyncio.open_connection(*front)
    first = await ps.send(front, "/safe/first?chunked=1", f"first-{kind}-{number}", conn=conn)
    if first.status != 200:
        raise ps.CannotRun(f"the first request got {first.status}")
    await may_send.wait()
    path = f"/{kind}/a?parts={PARTS}&gap={GAP_MS}" + ("&stream=1" if kind == "stream" else "")
    answer = await ps.send(front, path, f"{kind}-{number}", conn=conn)
    conn[1].transport.abort()
    return answer


async def play(fleet: ps.Fleet, record: ps.Record, has_trouble: bool) -> bool:
    """Send requests on kept connections, remove an engine's entry, and read."""
    await fleet.start(4, ps.make_config(3, ROUTES))
    for name in ENGINES:
        await fleet.start_engine(name, STANDINS / "engine.py", SERVICE)
    await asyncio.sleep(1.0)
    may_send = asyncio.Event()
    tasks = {
        f"{kind}-{number}": asyncio.create_task(send_kept(fleet, number, kind, may_send))
        for number in range(REQUESTS)
        for kind in ("stream", "unsafe")
    }
    await asyncio.sleep(0.5)
    reload_entries(fleet)
    record.add("the entries' settings have changed; SIGHUP")
    await asyncio.sleep(0.3)
    may_send.set()
    record.add(f"sent {len(tasks)} requests, each on a connection that was used before")
    await asyncio.sleep(REMOVED_AFTER_S)
    leaving = fleet.find_engine_of("stream-0")
    if has_trouble:
        fleet.store.delete(f"servers/{leaving}")
        record.add(f"the store has removed the entry of {leaving}, which serves on")
    await asyncio.sleep(EXITS_AFTER_S)
    if has_trouble:
        record.add(f"{leaving} exits; is running until now: {fleet.engines[leaving].is_running}")
        fleet.engines[leaving].kill()
    whole = {
        str(line["id"]): name
        for name in fleet.engines
        for line in fleet.read_record(name)
        if line["event"] == "whole"
    }
    closed = 0
    for attempt_id, task in tasks.items():
        answer = await task
        engine = whole.get(attempt_id)
        record.add(
            f"{attempt_id} status={answer.status} complete={answer.is_complete}"
            f" bytes={len(answer.body)} whole_answer_of={engine}"
        )
        closed += engine is not None and not answer.is_complete
    record.add(f"{closed} connections closed within an answer that its engine had completed")
    return closed > ALLOWED_CLOSES


if __name__ == "__main__":
    sys.exit(ps.run_case(FOLDER, play))
