"""A plain engine that a request with the path ``/unsafe/deadly`` crashes at its start.

It records each request that it begins to run, and the end of each one.
"""

import asyncio
import contextlib
import json
import os
import time

HOST, PORT = os.environ["ENGINE_HOST"], int(os.environ["ENGINE_PORT"])
ENGINE_ID = os.environ["ENGINE_ID"]
RECORD = os.environ["ENGINE_RECORD"]
WORK_S = 0.09  # the sheet's work


def record(event: str, attempt_id: str) -> None:
    """Append a line to the record."""
    line = {"at": time.monotonic(), "engine": ENGINE_ID, "event": event, "id": attempt_id}
    with open(RECORD, "a") as out:
        out.write(json.dumps(line) + "\n")


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve the requests of a connection, one after the other."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *lines = head.split("\r\n")[:-2]
            path = first.split(" ")[1]
            headers = {
                name.strip().lower(): value.strip()
                for name, _, value in (line.partition(":") for line in lines)
            }
            await reader.readexactly(int(headers.get("content-length", "0")))
            attempt_id = headers.get("attempt-id", "")
            if headers.get("expect-instance", ENGINE_ID) != ENGINE_ID:
                writer.write(
                    f"HTTP/1.1 421 X\r\nAttempt-Id: {attempt_id}\r\nNot-Executed: 1\r\n"
                    "Content-Length: 0\r\n\r\n".encode()
                )
                await writer.drain()
                continue
            record("run", attempt_id)
            if path == "/unsafe/deadly":
                os._exit(1)
            await asyncio.sleep(WORK_S)
            writer.write(
                f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\n"
                f"Server-Stamp: stamp-{ENGINE_ID}\r\nContent-Type: text/plain\r\n"
                "Keep-Alive: timeout=10\r\nContent-Length: 4\r\n\r\ndone".encode()
            )
            await writer.drain()
            record("whole", attempt_id)
    writer.close()


async def main() -> None:
    """Serve until the process ends."""
    server = await asyncio.start_server(serve, HOST, PORT)
    async with server:
        await server.serve_forever()


asyncio.run(main())
