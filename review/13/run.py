"""Takes a busy engine out of the store while it serves on, and looks for lost answers.

An engine that never reports ``draining`` is removed from the store. It serves on until
all its requests have ended, and writes their whole answers, which have no length. All
its slots are taken and more requests wait, so its health check waits for a slot. The
entry had a SIGHUP for changed settings just before.
"""

import asyncio
import collections
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import busyengine  # noqa: E402
import fleet as fl  # noqa: E402

ENGINES = 4
SLOTS = 6
QUEUE = 24
EVENTS = 12
GAP_S = 0.1
CLIENTS = 64  # 16 at an engine: six run and ten wait
LENGTH_S = 20.0
SIGNAL_AT_S = 6.0
REMOVED_AFTER_S = 3.3
DEADLINE_S = 8.0
# LOST counts requests that were sent up to config_apply_ms after a SIGHUP.
PLANNED_S = 2.0


async def scenario(fleet: fl.Fleet, record: fl.Record, has_trouble: bool) -> int:
    """Play the case."""
    service = "archive"
    routes = [fl.make_route("summary", service, "streaming", resumable=False)]
    if not await fleet.start(fl.make_config(1, routes, [service])):
        record.close("could not run: the entry is not ready")
        return 2
    entry = fleet.entries[0]
    engines = []
    for index in range(ENGINES):
        engine = busyengine.BusyEngine(
            f"i-{index}", record, SLOTS, QUEUE, EVENTS, GAP_S
        )
        await engine.start()
        address = f"{fl.ENGINE_HOST}:{engine.port}"
        fleet.register(engine.target_id, service, address, 1_000 + index, slots=SLOTS)
        engines.append(engine)
    await asyncio.sleep(1.0)
    outcomes: collections.Counter[str] = collections.Counter()
    began = record.now()
    signalled_at = float("inf")
    lost: list[str] = []

    async def keep_asking() -> None:
        conn = await entry.connect()
        while record.now() < began + LENGTH_S:
            attempt = fl.make_attempt_id()
            headers = {
                "Attempt-Id": attempt,
                "Deadline-Ms": str(int(DEADLINE_S * 1000)),
                "Authorization": f"Bearer {fl.KEY}",
            }
            sent_at = record.now()
            record.line(f"client sends {attempt} POST /summary/1")
            answer = await fl.send(*conn, "POST", "/summary/1", headers, b"{}")
            what = "whole" if answer.is_whole else "without its end"
            record.line(
                f"client gets {answer.status} for {attempt}, {what},"
                f" {len(answer.body)} bytes"
            )
            outcomes[f"{answer.status} {what}"] += 1
            whole = b"".join(busyengine.make_events(attempt, EVENTS))
            ended = any(attempt in engine.ended for engine in engines)
            is_lost = ended and answer.body == whole and not answer.is_whole
            if is_lost and signalled_at <= sent_at <= signalled_at + PLANNED_S:
                lost.append(attempt)
                record.line(f"LOST: {attempt}, its engine wrote the whole answer")
            if not answer.is_whole:
                conn[1].transport.abort()
                conn = await entry.connect()
            elif answer.status != 200:
                await asyncio.sleep(float(answer.headers.get("retry-after", "0.3")))
        conn[1].transport.abort()

    tasks = []
    for _ in range(CLIENTS):
        tasks.append(asyncio.create_task(keep_asking()))
        await asyncio.sleep(0.02)
    await asyncio.sleep(max(began + SIGNAL_AT_S - record.now(), 0.0))
    # New settings, as the platform writes them; the seeds are the same.
    entry.change_settings()
    entry.process.send_signal(signal.SIGHUP)
    signalled_at = record.now()
    record.line("the settings have changed; SIGHUP to the entry")
    # The streams that run then were sent after the signal.
    await asyncio.sleep(REMOVED_AFTER_S)
    if has_trouble:
        fleet.store.delete(f"servers/{engines[0].target_id}")
        record.line(f"engine {engines[0].target_id} leaves; its entry is removed")
    await asyncio.gather(*tasks)
    counts = ", ".join(f"{what}: {n}" for what, n in sorted(outcomes.items()))
    record.close(
        f"{counts}; LOST: {len(lost)} requests without a complete answer, though their"
        " engine had written all of it"
    )
    return 1 if lost else 0


fl.main(scenario, FOLDER)
