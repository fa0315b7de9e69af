"""A stand-in for the network between an entry and a sidecar.

A cable forwards TCP connections from its own port to another. It can be cut, can
lose everything silently, or can make only the open connections silent while new
ones work, as a device between the two ends does that has lost track of them.
"""

import asyncio
import contextlib
import enum
import typing

CHUNK_BYTES: typing.Final = 64 * 1024


class Mode(enum.Enum):
    """What happens to the bytes of new connections."""

    OPEN = "open"
    SILENT = "silent"
    CUT = "cut"


class Wire:
    """One forwarded connection."""

    def __init__(self) -> None:
        self.is_silent = False
        self.writers: list[asyncio.StreamWriter] = []


class Cable:
    """Forwards connections to a port on this machine."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.mode = Mode.OPEN
        self.delay_s = 0.0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._wires: set[Wire] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self._abort_all()
        for task in list(self._tasks):
            task.cancel()

    def cut(self) -> None:
        """End all connections and refuse new ones."""
        self.mode = Mode.CUT
        self._abort_all()

    def silence(self) -> None:
        """Lose all bytes of open and new connections."""
        self.mode = Mode.SILENT
        self.silence_open()

    def silence_open(self) -> None:
        """Lose all bytes of the open connections; new ones work."""
        for wire in self._wires:
            wire.is_silent = True

    def mend(self) -> None:
        """Let new connections work; silent ones stay silent."""
        self.mode = Mode.OPEN

    def _abort_all(self) -> None:
        """Reset every connection."""
        for wire in list(self._wires):
            for writer in wire.writers:
                writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection."""
        if self.mode is Mode.CUT:
            writer.transport.abort()
            return
        wire = Wire()
        wire.is_silent = self.mode is Mode.SILENT
        wire.writers.append(writer)
        self._wires.add(wire)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
            wire.writers.append(far_writer)
            there = asyncio.create_task(self._pump(wire, reader, far_writer))
            back = asyncio.create_task(self._pump(wire, far_reader, writer))
            self._tasks.update((there, back))
            try:
                await asyncio.gather(there, back)
            finally:
                self._tasks.difference_update((there, back))
        except OSError:
            writer.transport.abort()
        finally:
            self._wires.discard(wire)

    async def _pump(
        self, wire: Wire, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one direction until it ends."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not wire.is_silent:
                    writer.write(data)
                    await writer.drain()
        if not wire.is_silent:
            writer.transport.abort()
