"""An engine of a plain service that is busy: its health check waits for a slot, too.

Its streams have no length; they end with their connection, in order.
"""

import asyncio

import fleet as fl


def make_events(attempt: str, count: int) -> list[bytes]:
    """Return the events of the whole answer to an attempt."""
    return [f"id: {n}\ndata: {attempt}-{n}\n\n".encode() for n in range(1, count + 1)]


class BusyEngine:
    """One engine; ``ended`` has the attempts whose whole answer it wrote."""

    def __init__(
        self,
        target_id: str,
        record: fl.Record,
        slots: int,
        queue: int,
        events: int,
        gap_s: float,
    ) -> None:
        self.target_id = target_id
        self.port = 0
        self.ended: set[str] = set()
        self._record = record
        self._slots = asyncio.Semaphore(slots)
        self._free = slots + queue
        self._events = events
        self._gap_s = gap_s

    async def start(self) -> None:
        """Start to listen."""
        server = await asyncio.start_server(self._serve, fl.ENGINE_HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await fl.read_head(reader)) is not None:
                line, headers = head
                await reader.readexactly(int(headers.get("content-length", "0")))
                if not await self._answer(line.split(" ")[1], headers, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, path: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection is kept."""
        me = f"Instance-Id: {self.target_id}\r\nContent-Length: 0\r\n\r\n"
        attempt = headers.get("attempt-id", "")
        echo = f"Attempt-Id: {attempt}\r\n" if attempt else ""
        if headers.get("expect-instance", self.target_id) != self.target_id:
            writer.write(f"HTTP/1.1 421 X\r\n{echo}{me}".encode())
            return True
        if not self._free:
            writer.write(f"HTTP/1.1 503 X\r\n{echo}Not-Executed: 1\r\n".encode())
            writer.write(b"Content-Length: 0\r\n\r\n")
            return True
        self._free -= 1
        try:
            async with self._slots:
                if path == "/healthz":
                    self._record.line(f"engine {self.target_id} answers a health check")
                    writer.write(f"HTTP/1.1 200 OK\r\n{me}".encode())
                    return True
                await self._stream(attempt, writer)
                return False
        finally:
            self._free += 1

    async def _stream(self, attempt: str, writer: asyncio.StreamWriter) -> None:
        self._record.line(f"engine {self.target_id} runs {attempt}")
        writer.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nConnection: close\r\n"
            "Content-Type: text/event-stream\r\n"
            f"Server-Stamp: {self.target_id}.{attempt}\r\n\r\n".encode()
        )
        for event in make_events(attempt, self._events):
            writer.write(event)
            await writer.drain()
            await asyncio.sleep(self._gap_s)
        if writer.is_closing():
            self._record.line(f"engine {self.target_id} finds {attempt} closed")
            return
        self.ended.add(attempt)
        self._record.line(f"engine {self.target_id} ends {attempt}")
