"""A TCP proxy that injects network failures between an entry and a sidecar.

The proxy forwards connections from its own port to another. It can reset connections
and refuse new ones, or drop all bytes without closing anything. It can also drop the
bytes of open connections only, as a stateful network device does that lost its
connection table.
"""

import asyncio
import contextlib
import enum
import typing

CHUNK_BYTES: typing.Final = 64 * 1024


class ProxyMode(enum.Enum):
    """How the proxy treats new connections: forward, drop all bytes, or refuse."""

    OPEN = "open"
    BLACKHOLE = "silent"
    REFUSE = "cut"


class ProxiedConnection:
    """A connection that the proxy forwards, with the writers of both sides."""

    def __init__(self) -> None:
        self.is_blackholed = False
        self.writers: list[asyncio.StreamWriter] = []


class TcpProxy:
    """Forwards connections to a loopback port.

    ``delay_s`` delays each chunk; ``port`` is the proxy's own port once it started.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.mode = ProxyMode.OPEN
        self.delay_s = 0.0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._live_connections: set[ProxiedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the port and reset all connections."""
        if self._server is not None:
            self._server.close()
        self._abort_all()
        for task in list(self._tasks):
            task.cancel()

    def reset(self) -> None:
        """Reset all connections and refuse new ones."""
        self.mode = ProxyMode.REFUSE
        self._abort_all()

    def blackhole(self) -> None:
        """Drop all bytes of open and new connections without closing them."""
        self.mode = ProxyMode.BLACKHOLE
        self.blackhole_open()

    def blackhole_open(self) -> None:
        """Drop all bytes of the open connections; new connections work."""
        for connection in self._live_connections:
            connection.is_blackholed = True

    def restore(self) -> None:
        """Forward new connections; open ones that drop their bytes keep doing so."""
        self.mode = ProxyMode.OPEN

    def _abort_all(self) -> None:
        """Reset all connections."""
        for connection in list(self._live_connections):
            for writer in connection.writers:
                writer.transport.abort()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until both directions have ended."""
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
        """Forward one direction until it ends.

        The end of a connection whose bytes are dropped is not passed on.
        """
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not connection.is_blackholed:
                    writer.write(data)
                    await writer.drain()
        if not connection.is_blackholed:
            writer.transport.abort()
