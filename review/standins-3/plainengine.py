"""An engine of a plain service: some slots, a short queue, and refusals when full.

It reads a request whole, and records it when it begins to run.
"""

import asyncio
import collections

import fleet as fl


class PlainEngine:
    """One engine; ``slowdown`` is how many times as long its work takes."""

    def __init__(
        self,
        target_id: str,
        record: fl.Record,
        runs: list[tuple[str, str, str, str, str]],
        slots: int,
        queue: int,
        work_s: float,
        rest_s: float | None,
    ) -> None:
        self.target_id = target_id
        self.port = 0
        self.slowdown = 1.0
        self.refused = 0
        self._record = record
        self._runs = runs
        self._slots = asyncio.Semaphore(slots)
        self._free = slots + queue
        self._work_s = work_s
        self._rest_s = rest_s
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve, fl.ENGINE_HOST, 0, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def exit(self) -> None:
        """End as a process does: nothing listens, and all connections close."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (head := await fl.read_head(reader)) is not None:
                line, headers = head
                method, path, _ = line.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                writer.write(await self._answer(method, path, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> bytes:
        attempt = headers.get("attempt-id", "")
        fields = {"Attempt-Id": attempt}
        if path == "/healthz":
            return make_answer(200, {"Instance-Id": self.target_id}, b"")
        if headers.get("expect-instance", self.target_id) != self.target_id:
            return make_answer(421, {**fields, "Instance-Id": self.target_id}, b"")
        if not self._free:
            self.refused += 1
            self._record.line(f"engine {self.target_id} is full, refuses {attempt}")
            rest = {"Retry-After": str(self._rest_s)} if self._rest_s else {}
            return make_answer(503, {**fields, "Not-Executed": "1", **rest}, b"")
        self._free -= 1
        try:
            async with self._slots:
                found = (attempt, method, path, headers.get("tenant", ""))
                self._runs.append((self.target_id, *found, fl.digest(body)))
                self._record.line(
                    f"engine {self.target_id} runs {attempt} {method} {path}"
                    f" body {fl.digest(body)}"
                )
                await asyncio.sleep(self._work_s * self.slowdown)
        finally:
            self._free += 1
        stamp = {"Server-Stamp": f"{self.target_id}.{attempt}"}
        return make_answer(200, fields | stamp, b"done " + fl.digest(body).encode())


def make_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an answer with a length."""
    fields = {"Content-Type": "text/plain", **headers, "Content-Length": len(body)}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} X\r\n{head}\r\n".encode() + body


def count_statuses(statuses: list[int]) -> str:
    """Return how often each status was seen."""
    counts = collections.Counter(statuses)
    return ", ".join(f"{status}: {n}" for status, n in sorted(counts.items()))
