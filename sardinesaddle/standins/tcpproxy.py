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


class ProxyMode(enum.Enum):
    """What happens to the bytes of new connections."""

    OPEN = "open"
    BLACKHOLE = "silent"
    REFUSE = "cut"


class ProxiedConnection:
    """One forwarded connection."""

    def __init__(self) -> None:
        self.is_blackholed = False
        self.writers: list[asyncio.StreamWriter] = []


class TcpProxy:
    """Forwards connections to a port on this machine."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.mode = ProxyMode.OPEN
        self.delay_s = 0.0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._live_connections: set[ProxiedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a loopback port."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self._abort_all()
        for task in list(self._tasks):
            task.cancel()

    def reset(self) -> None:
        """End all connections and refuse new ones."""
        self.mode = ProxyMode.REFUSE
        self._abort_all()

    def blackhole(self) -> None:
        """Lose all bytes of open and new connections."""
        self.mode = ProxyMode.BLACKHOLE
        self.blackhole_open()

    def blackhole_open(self) -> None:
        """Lose all bytes of the open connections; new ones work."""
        for connection in self._live_connections:
            connection.is_blackholed = True

    def restore(self) -> None:
        """Let new connections work; silent ones stay silent."""
        self.mode = ProxyMode.OPEN

    def _abort_all(self) -> None:
        """Reset every connection."""
        for connection in list(self._live_connections):
            for writer in connection.writers:
                writer.transport.abort()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection."""
        if self.mode is ProxyMode.REFUSE:
            writer.transport.abort()
            return
        connection = ProxiedConnection()
        connection.is_blackholed = self.mode is ProxyMode.BLACKHOLE
        connection.writers.append(writer)
        self._live_connections.add(connection)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
            connection.writers.append(target_writer)
            to_target = asyncio.create_task(
                self._copy_stream(connection, reader, target_writer)
            )
            from_target = asyncio.create_task(
                self._copy_stream(connection, target_reader, writer)
            )
            self._tasks.update((to_target, from_target))
            try:
                await asyncio.gather(to_target, from_target)
            finally:
                self._tasks.difference_update((to_target, from_target))
        except OSError:
            writer.transport.abort()
        finally:
            self._live_connections.discard(connection)

    async def _copy_stream(
        self,
        connection: ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one direction until it ends."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not connection.is_blackholed:
                    writer.write(data)
                    await writer.drain()
        if not connection.is_blackholed:
            writer.transport.abort()
