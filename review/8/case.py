"""All entries are killed at once, again and again, beside a request that crashes engines."""

import asyncio
import itertools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "6"))

import platform_standin as ps  # noqa: E402

SERVICE = "catalogo-archivo"
ENGINES = ("i-one", "i-two", "i-three")
CONTACT_S = ps.BOUNDS["contact_ms"] / 1000
BACK_AFTER_S = 3.0  # an engine that crashed is back
LIVES = 4
LIFE_S = 9.0  # from the start of the entries to the next kill
RETURN_S = 0.7  # the caller of the deadly request sends it again
ALLOWED_RETRIES = 3
ROUTES = [{"name": "unsafe", "prefix": "/unsafe/", "kind": "non_idempotent", "service": SERVICE}]


async def bring_back(fleet: ps.Fleet, record: ps.Record) -> None:
    """Start a new incarnation of each engine that has ended, with a new id."""
    numbers = itertools.count(1)
    while True:
        await asyncio.sleep(0.05)
        for name in list(fleet.engines):
            if fleet.engines[name].is_running or name not in fleet.addresses:
                continue
            address = fleet.addresses.pop(name)
            record.add(f"engine {name} has crashed")
            asyncio.get_running_loop().create_task(
                start_next(fleet, name, address, f"i-next-{next(numbers)}")
            )


async def start_next(fleet: ps.Fleet, name: str, address: str, new: str) -> None:
    """Start the next incarnation at the address of an engine that crashed."""
    await asyncio.sleep(BACK_AFTER_S)
    host, _, port = address.rpartition(":")
    fleet.store.delete(f"servers/{name}")
    await fleet.start_engine(new, FOLDER / "engine.py", SERVICE, (host, int(port)))


async def play(fleet: ps.Fleet, record: ps.Record, has_trouble: bool) -> bool:
    """Send the deadly request again and again, and kill all entries three times."""
    await fleet.start(4, ps.make_config(3, ROUTES))
    for name in ENGINES:
        await fleet.start_engine(name, FOLDER / "engine.py", SERVICE)
    keeper = asyncio.create_task(bring_back(fleet, record))
    in_touch_from = time.monotonic() + CONTACT_S
    sent = itertools.count()
    for life in range(1, LIVES + 1):
        ends_at = time.monotonic() + LIFE_S
        await asyncio.sleep(max(in_touch_from - time.monotonic(), 0.0) + 0.5)
        while time.monotonic() < ends_at:
            number = next(sent)
            attempt_id = f"deadly-{number}"
            beside = asyncio.create_task(
                ps.send(fleet.fronts[(number + 1) % 4], "/unsafe/sound", f"sound-{number}",
                        f"sound {number}".encode(), 4000)
            )
            answer = await ps.send(
                fleet.fronts[number % 4], "/unsafe/deadly", attempt_id, b"deadly", 4000
            )
            record.add(f"life {life}: {attempt_id} answered {answer.status}"
                       f" retry_after={answer.headers.get('retry-after')};"
                       f" sound-{number} answered {(await beside).status}")
            await asyncio.sleep(RETURN_S)
        if has_trouble and life < LIVES:
            for process in fleet.entries:
                process.kill()
            record.add("all entries are killed")
            await asyncio.sleep(0.3)
            for process in fleet.entries:
                process.start()
            for number in range(4):
                await fleet.wait_until_ready(number)
            in_touch_from = time.monotonic() + CONTACT_S
            record.add("all entries are back")
    keeper.cancel()
    runs = sorted(
        (line for name in fleet.engines for line in fleet.read_record(name)
         if line["event"] == "run" and str(line["id"]).startswith("deadly")),
        key=lambda line: line["at"],
    )
    for line in runs:
        record.add(f"{line['engine']} ran {line['id']} at {record.since(line['at']):.3f}")
    late = [] if len(runs) < 3 else [
        line for line in runs[3:] if line["at"] > runs[2]["at"] + CONTACT_S
    ]
    record.add(f"{len(late)} retries later than {CONTACT_S} s after the third crash")
    return len(late) > ALLOWED_RETRIES


if __name__ == "__main__":
    sys.exit(ps.run_case(FOLDER, play))
