"""An engine process whose answers have no length and end with their connection.

Each answer is written in pieces. ``make_pieces`` tells what the whole answer to an
attempt is, so a client can see whether it got all of it.

    slowengine.py HOST PORT ID PIECES GAP_S
"""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import fleet as fl  # noqa: E402


def make_pieces(attempt: str, path: str, count: int) -> list[bytes]:
    """Return the pieces of the whole answer to an attempt."""
    if path.startswith("/summary/"):
        return [
            f"id: {n}\ndata: {attempt}-{n}\n\n".encode() for n in range(1, count + 1)
        ]
    return [f"{attempt} line {n} of {count}\n".encode() for n in range(1, count + 1)]


class SlowEngine:
    """Answers requests; writes to standard output what it runs."""

    def __init__(self, target_id: str, count: int, gap_s: float) -> None:
        self._target_id = target_id
        self._count = count
        self._gap_s = gap_s

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            head = await fl.read_head(reader)
            if head is not None:
                line, headers = head
                await reader.readexactly(int(headers.get("content-length", "0")))
                await self._answer(line.split(" ")[1], headers, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, path: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        me = f"Instance-Id: {self._target_id}\r\nContent-Length: 0\r\n"
        if path == "/healthz":
            writer.write(f"HTTP/1.1 200 OK\r\n{me}\r\n".encode())
            await writer.drain()
            return
        attempt = headers["attempt-id"]
        if headers.get("expect-instance", self._target_id) != self._target_id:
            text = f"HTTP/1.1 421 X\r\nAttempt-Id: {attempt}\r\n{me}\r\n"
            writer.write(text.encode())
            await writer.drain()
            return
        os.write(1, f"runs {attempt}\n".encode())
        kind = "text/event-stream" if path.startswith("/summary/") else "text/plain"
        writer.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nContent-Type: {kind}\r\n"
            f"Server-Stamp: {self._target_id}.{attempt}\r\nConnection: close\r\n"
            "\r\n".encode()
        )
        pieces = make_pieces(attempt, path, self._count)
        done = int(headers.get("last-event-id", "0"))
        for piece in pieces[done:]:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(self._gap_s)
        os.write(1, f"ends {attempt}\n".encode())


async def run(host: str, port: int, target_id: str, count: int, gap_s: float) -> None:
    """Serve until the process is ended."""
    engine = SlowEngine(target_id, count, gap_s)
    server = await asyncio.start_server(engine.serve, host, port)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(
        run(
            sys.argv[1],
            int(sys.argv[2]),
            sys.argv[3],
            int(sys.argv[4]),
            float(sys.argv[5]),
        )
    )
