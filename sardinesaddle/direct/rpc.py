"""RPC between processes: length-prefixed msgpack frames over TCP.

A connection has one request in flight. A call that times out closes its connection,
so that a late reply is never taken for the reply to another request, and a connection
that stopped working is replaced at the next call. One that was closed or reset while it
was idle is replaced before the request is written: uvloop raises RuntimeError for a
write to it.
"""

import abc
import asyncio
import contextlib
import dataclasses
import typing

import loguru
import msgspec

from sardinesaddle.direct import listening, messages, supervision

LENGTH_BYTES: typing.Final = 4
# Fits a full listing of a large data centre.
MAX_FRAME_BYTES: typing.Final = 16 * 1024 * 1024
MAX_UNSENT_BYTES: typing.Final = 64 * 1024  # of replies, until the peer reads them
IDLE_TIMEOUT_S: typing.Final = 30.0  # peers send a request every second or more often


@dataclasses.dataclass(frozen=True, slots=True)
class RpcFault:
    """Returned when a call failed; ``reason`` is for logs."""

    reason: str


class Handler(abc.ABC):
    """Serves the requests that other processes send to a server."""

    @abc.abstractmethod
    async def handle_request(self, msg: messages.Request) -> messages.Reply | None:
        """Return the reply, or None to close the connection without one."""


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Return the next frame; raise ValueError if it is over the limit."""
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if length > MAX_FRAME_BYTES:
        raise ValueError(
            f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}"
        )
    return await reader.readexactly(length)


def make_frame(msg: messages.Request | messages.Reply) -> bytes:
    """Return a message encoded as a frame."""
    data = messages.ENCODER.encode(msg)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


_FAILURES: typing.Final = (
    OSError,
    asyncio.TimeoutError,
    asyncio.IncompleteReadError,
    msgspec.DecodeError,
    ValueError,
    RuntimeError,  # uvloop, for a connection that was closed; RecursionError
)


class Server:
    """Accepts connections of other processes and passes requests to a handler."""

    def __init__(self, handler: Handler, host: str, port: int) -> None:
        self._handler = handler
        self._host = host
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to listen; ``port`` is then the actual port."""
        with listening.name_setting("node_ports", self._host, self.port):
            self._server = await asyncio.start_server(
                self._serve, self._host, self.port
            )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection until it fails or is idle too long."""
        self._writers.add(writer)
        try:
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    data = await read_frame(reader)
                reply = await self._handler.handle_request(
                    messages.REQUEST_DECODER.decode(data)
                )
                if reply is None or writer.is_closing():
                    break
                writer.write(make_frame(reply))
                if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                    async with asyncio.timeout(IDLE_TIMEOUT_S):
                        await writer.drain()
        except (TimeoutError, asyncio.IncompleteReadError, OSError):
            pass  # The peer left or is idle; it reconnects when needed.
        except (msgspec.DecodeError, RecursionError, ValueError) as exc:
            loguru.logger.warning("event=bad_message reason={!r}", str(exc))
        except Exception as exc:
            # Only this connection ends; the peer opens another one.
            loguru.logger.error(
                "event=message_failed reason={!r} at={}",
                supervision.describe(exc),
                supervision.locate(exc),
            )
        finally:
            self._writers.discard(writer)
            writer.close()


class Peer:
    """Client of another process; connects when it is first used or after a failure."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._lock = asyncio.Lock()

    async def call(
        self, msg: messages.Request, timeout_s: float
    ) -> messages.Reply | RpcFault:
        """Send a request and return its reply, or a fault after ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s), self._lock:
                return await self._exchange(msg)
        except _FAILURES as exc:
            return RpcFault(f"{type(exc).__name__}: {exc}")

    async def _exchange(self, msg: messages.Request) -> messages.Reply:
        """Do one exchange; close the connection unless the reply was read."""
        if self._streams is not None and is_closed(*self._streams):
            self.close()
        if self._streams is None:
            self._streams = await asyncio.open_connection(self.host, self.port)
        reader, writer = self._streams
        try:
            writer.write(make_frame(msg))
            reply = messages.REPLY_DECODER.decode(await read_frame(reader))
        except BaseException:
            self.close()
            raise
        return reply

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            with contextlib.suppress(RuntimeError):
                self._streams[1].transport.abort()
            self._streams = None


def is_closed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Return whether an idle connection has been closed or reset, by either side."""
    return writer.is_closing() or reader.at_eof() or reader.exception() is not None
