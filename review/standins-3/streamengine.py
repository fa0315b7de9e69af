"""A model engine that streams events in chunks, with weights of one version.

It answers 421 to a request that names another instance or another version.
"""

import asyncio

import fleet as fl


def make_events(attempt: str, count: int) -> list[bytes]:
    """Return the events of the whole answer to an attempt."""
    return [f"id: {n}\ndata: {attempt}-{n}\n\n".encode() for n in range(1, count + 1)]


class StreamEngine:
    """One engine; ``done`` has the attempts that it ran to their end."""

    def __init__(
        self,
        target_id: str,
        record: fl.Record,
        version: int,
        events: int,
        gap_s: float,
    ) -> None:
        self.target_id = target_id
        self.port = 0
        self.runs: list[str] = []
        self.cut: list[str] = []
        self._record = record
        self._version = version
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
                await self._answer(line.split(" ")[1], headers, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, path: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        me = f"Instance-Id: {self.target_id}\r\nContent-Length: 0\r\n"
        if path == "/healthz":
            writer.write(f"HTTP/1.1 200 OK\r\n{me}\r\n".encode())
            return
        attempt = headers["attempt-id"]
        is_other = headers.get("expect-instance", self.target_id) != self.target_id
        wanted = headers.get("expect-version", str(self._version))
        if is_other or wanted != str(self._version):
            why = "instance" if is_other else "version"
            self._record.line(f"engine {self.target_id} 421 to {attempt}: other {why}")
            head = f"HTTP/1.1 421 X\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n"
            writer.write(f"{head}At-Server: {self.target_id}\r\n{me}\r\n".encode())
            return
        self.runs.append(attempt)
        self._record.line(f"engine {self.target_id} runs {attempt}")
        writer.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            f"Server-Stamp: {self.target_id}.{attempt}\r\n"
            f"Weight-Versions: {self._version}\r\n\r\n".encode()
        )
        try:
            for event in make_events(attempt, self._events):
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(self._gap_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        except OSError:
            self.cut.append(attempt)
            self._record.line(f"engine {self.target_id} finds {attempt} closed")
            raise
