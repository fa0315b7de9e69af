"""Connections of callers: aiohttp's protocol, with what the entry has to know of them.

The kernel's receive buffer of each connection has a fixed size, since the host's memory
also holds what was received and not read.
"""

import collections.abc
import socket
import typing

import aiohttp.web

from sardinesaddle.direct import callermemory, catalog

RECEIVE_BUFFER_BYTES: typing.Final = 64 * 1024  # of the kernel, for each connection
READ_BUFFER_BYTES: typing.Final = 16 * 1024  # of a body, until the handler reads it
KEEPALIVE_FACTOR: typing.Final = 1.25  # of the idle time that callers may use
LINGERING_S: typing.Final = 2.0  # for the rest of a body after an early response


class CallerConnection(aiohttp.web.RequestHandler):
    """One connection of a caller.

    ``body`` counts what was read of the present request's body, while it is read.
    """

    __slots__ = ("body",)

    def __init__(self, server: "CallerServer", **kwargs: typing.Any) -> None:
        super().__init__(server, **kwargs)
        self.body: callermemory.Holding | None = None

    @property
    def has_further_request(self) -> bool:
        """Whether the head of another request was read.

        aiohttp drops them if the connection closes after the response.
        """
        return bool(self._messages)

    @property
    def has_unsent(self) -> bool:
        """Whether some of what was written is not sent."""
        return self.transport is not None and bool(
            self.transport.get_write_buffer_size()
        )

    def mark_idle(self) -> None:
        """Record that a response has ended."""
        self.body = None


class CallerServer(aiohttp.web.Server):
    """Makes the connections of callers."""

    def __init__(
        self,
        handler: collections.abc.Callable[
            [aiohttp.web.BaseRequest],
            collections.abc.Awaitable[aiohttp.web.StreamResponse],
        ],
        **kwargs: typing.Any,
    ) -> None:
        super().__init__(
            handler,
            handler_cancellation=True,
            keepalive_timeout=catalog.Limits().idle_timeout_s * KEEPALIVE_FACTOR,
            lingering_time=LINGERING_S,
            read_bufsize=READ_BUFFER_BYTES,
            **kwargs,
        )

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    def list_connections(self) -> list[CallerConnection]:
        """Return the connections; some may be closed already."""
        return typing.cast("list[CallerConnection]", list(self._connections))


def open_socket(host: str, port: int) -> socket.socket:
    """Return a bound socket, whose connections have a receive buffer of a fixed size.

    The kernel would let it grow to some MB for each connection.
    """
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    except OSError:
        pass  # The kernel's own size is in force.
    sock.bind((host, port))
    return sock
