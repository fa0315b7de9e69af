"""An entry of the store without `born`, under the id of an engine that has left."""
import asyncio
import os
import sys

import standins
from standins import Lab, now

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
DRAIN_S = 2.0  # drain_ms
SERVES_ON_S = 6.0  # the engine goes on after its entry was removed: "at times many seconds"
lines: list[str] = []
t0 = now()


def note(text: str) -> None:
    lines.append(f"{now() - t0:7.2f} {text}")


async def answer(engine, req, writer, reader) -> bool:
    """Run a request for half a second."""
    req["state"] = "cut by the engine's end"
    await asyncio.sleep(0.5)
    req["state"] = "whole"
    writer.write(standins.whole(req))
    return True


async def heartbeats(engine) -> None:
    """Write the engine's own entry, as a running engine does."""
    for seq in range(1, 1000):
        await asyncio.sleep(HEARTBEAT_S)
        engine.store.put(f"servers/{engine.name}", engine.entry(seq=seq))


async def run() -> int:
    async with Lab(1) as lab:
        engines = [await lab.engine(f"i-{n}", answer, host=f"127.0.8.{n}") for n in (1, 2)]
        beats = [asyncio.create_task(heartbeats(engine)) for engine in engines]
        await asyncio.sleep(4.0)
        responses: dict[str, tuple[float, standins.Response]] = {}

        async def ask(number: int) -> None:
            sent_at = now()
            response = await lab.send(f"/once/{number}", body=b"question")
            responses[response.id] = (sent_at, response)

        tasks = []

        async def ask_all() -> None:
            for number in range(120):
                tasks.append(asyncio.create_task(ask(number)))
                await asyncio.sleep(0.1)

        asking = asyncio.create_task(ask_all())
        await asyncio.sleep(2.0)
        leaver = engines[0]
        beats[0].cancel()
        lab.store.delete(f"servers/{leaver.name}")
        gone_at = now()
        note(f"the engine leaves: servers/{leaver.name} is removed; it serves on for {SERVES_ON_S:.0f} s")
        await asyncio.sleep(1.0)
        if TROUBLE:
            entry = leaver.entry(seq=500)
            del entry["born"]
            lab.store.put(f"servers/{leaver.name}", entry)
            note(f"another writer wrote servers/{leaver.name}: {sorted(entry)}")
        await asyncio.sleep(gone_at + SERVES_ON_S - now())
        leaver.stop()
        note("the engine has ended")
        await asking
        await asyncio.gather(*tasks)
        beats[1].cancel()
        late = [
            r
            for r in leaver.seen
            if r["at"] - gone_at > DRAIN_S and responses[r["id"]][0] - gone_at > DRAIN_S
        ]
        for r in late:
            sent_at, response = responses[r["id"]]
            note(
                f"{r['id']}: sent {sent_at - gone_at:.2f} s and reached {leaver.name} {r['at'] - gone_at:.2f} s after"
                f" the removal, run {r['state']}, client got {response.status or response.error}"
            )
        note(f"requests that reached the engine later than {DRAIN_S} s after its removal: {len(late)}; the rule allows none")
        return 1 if late else 0


def main() -> int:
    try:
        code = asyncio.run(asyncio.wait_for(run(), 100))
    except Exception as exc:
        note(f"could not run: {type(exc).__name__}: {exc}")
        code = 2
    note(f"TROUBLE={int(TROUBLE)} exit {code}")
    open("record.txt", "w").write("\n".join(lines) + "\n")
    return code


sys.exit(main())
