"""Streams whose requests have the largest body that the configuration allows."""
import asyncio
import collections
import os
import sys

import standins
from standins import Lab, now

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 300  # memory_mb of an edge machine
BODY_BYTES = 4194304  # max_body_bytes
STREAMS = 80
SPAN_S = 3.0 if TROUBLE else 32.0  # in which they are sent
EVENTS, GAP_S = 66, 0.1  # the longest stream of the sheet, with pauses below 120 ms
KEPT = 12  # callers with short requests on kept connections
lines: list[str] = []
t0 = now()


def note(text: str) -> None:
    lines.append(f"{now() - t0:7.2f} {text}")


async def answer(engine, req, writer, reader) -> bool:
    """Run a request: a stream of events, or a whole answer after half a second."""
    if not req["path"].startswith("/unique/"):
        await asyncio.sleep(0.5)
        req["ran"] = True
        writer.write(standins.whole(req))
        return True
    req["body"] = len(req["body"])
    writer.write(
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {req['id']}\r\nServer-Stamp: s.{req['id']}\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    )
    for number in range(1, EVENTS + 1):
        data = f"id: {number}\ndata: piece-{number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await asyncio.sleep(GAP_S)
        if reader.at_eof() or writer.is_closing():
            return False
    writer.write(b"0\r\n\r\n")
    return True


async def run() -> int:
    async with Lab(1) as lab:
        engines = [await lab.engine(f"i-{n}", answer, host=f"127.0.8.{n}") for n in (1, 2, 3)]
        await asyncio.sleep(2.0)
        entry = lab.entries[0]
        peak, is_killed = 0.0, False
        note(f"memory of the entry at rest: {entry.rss_mb():.0f} MB")

        async def bound_memory() -> None:
            """End a process that exceeds the memory of its machine, as the platform does."""
            nonlocal peak, is_killed
            while True:
                used = entry.rss_mb()
                peak = max(peak, used)
                if used > MEMORY_MB:
                    note(f"the entry uses {used:.0f} MB, over memory_mb = {MEMORY_MB}: killed")
                    is_killed = True
                    await entry.kill()
                    return
                await asyncio.sleep(0.01)

        short: list[standins.Response] = []
        is_over = False

        async def ask_on(number: int) -> None:
            """Send short requests on one connection, one after the other."""
            conn = await lab.connect()
            count = 0
            while not is_over:
                response = await lab.send(f"/once/{number}-{count}", conn=conn, body=b"q" * 600)
                response.index = count
                short.append(response)
                count += 1
                if response.error:
                    return

        guard = asyncio.create_task(bound_memory())
        callers = [asyncio.create_task(ask_on(number)) for number in range(KEPT)]
        await asyncio.sleep(1.5)
        body = os.urandom(BODY_BYTES)
        tasks = []
        for number in range(STREAMS):
            tasks.append(
                asyncio.create_task(
                    lab.send(f"/unique/long-{number}", body=body, deadline_ms=8000, timeout=15)
                )
            )
            await asyncio.sleep(SPAN_S / STREAMS)
            if is_killed:
                break
        streams = await asyncio.gather(*tasks)
        is_over = True
        await asyncio.gather(*callers)
        guard.cancel()
        runs = {r["id"] for e in engines for r in e.seen if not r["path"].startswith("/unique/")}
        lost = [r for r in short if not r.status and r.index > 0 and r.id in runs]
        note(f"{len(tasks)} requests of {BODY_BYTES} bytes sent; peak of the entry {peak:.0f} MB")
        note(f"streams: {dict(collections.Counter('whole' if r.complete else r.error or r.status for r in streams))}")
        note(f"short requests on kept connections: {dict(collections.Counter(r.status or r.error for r in short))}")
        for response in lost:
            note(f"{response.id}: passed on to a sound engine, connection closed without an answer")
        note(f"closed without an answer: {len(lost)}; the rule allows 3")
        return 1 if len(lost) > 3 else 0


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
