"""Callers of the soak test that read a large response slowly, and what is buffered.

A target writes as fast as its connection accepts. It cuts off a response that stays
unread for ``CUT_S``, as engines do.
"""

import asyncio
import socket
import typing

import h11

from test import directfleet as df

PATH: typing.Final = "/free/large"
CHUNK_BYTES: typing.Final = 64 * 1024
CHUNK_COUNT: typing.Final = 512
# Of the entry's memory in a pause. Its buffers for one response are below 1 MiB, and
# without a bound it holds all of the response but what the kernel takes, 4 MiB.
MAX_GROWTH_BYTES: typing.Final = 12 * 1024 * 1024
SOCKET_BYTES: typing.Final = 128 * 1024  # of kernel buffers on the way
CUT_S: typing.Final = 0.6
# Until a caller begins to read: in time, and after the target cut the response off.
PAUSES_S: typing.Final = (0.2, 1.3)
READ_PERIODS_S: typing.Final = (0.5, 1.5)  # between such callers
READ_LIMIT_S: typing.Final = 6.0


class SlowResponse:
    """What the target wrote of a response, and what its caller read."""

    def __init__(self, attempt_id: str) -> None:
        # No other response has the same bytes.
        self._chunk = (attempt_id.encode() * CHUNK_BYTES)[:CHUNK_BYTES]
        self._parser = h11.Connection(h11.CLIENT)
        self.read_bytes = 0
        self.was_cut = False

    async def write(self, writer: asyncio.StreamWriter, head: bytes) -> bool:
        """Write the response; return whether it was not cut off."""
        limit_kernel_buffers(writer)
        writer.write(head)
        for _ in range(CHUNK_COUNT):
            writer.write(df.encode_chunk(self._chunk))
            try:
                async with asyncio.timeout(CUT_S):
                    await writer.drain()
            except TimeoutError:
                self.was_cut = True
                writer.transport.abort()
                return False
        writer.write(df.encode_chunk(b""))
        return True

    def send_request(self, writer: asyncio.StreamWriter, request: h11.Request) -> None:
        """Send the request for the response."""
        limit_kernel_buffers(writer)
        sent = self._parser.send(request), self._parser.send(h11.EndOfMessage())
        writer.write(b"".join(data or b"" for data in sent))

    async def read(self, reader: asyncio.StreamReader) -> str | None:
        """Read the response to its end; return what is wrong with it."""
        status = 0
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                self._parser.receive_data(await reader.read(CHUNK_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                if status == 200 and not self._take(bytes(event.data)):
                    return f"other bytes after {self.read_bytes}"
            else:
                break
        is_complete = isinstance(event, h11.EndOfMessage) and status == 200
        if is_complete and self.read_bytes < CHUNK_COUNT * CHUNK_BYTES:
            return f"a complete response of {self.read_bytes} bytes"
        return None

    def _take(self, data: bytes) -> bool:
        """Count bytes that were read; return whether they are the ones expected."""
        offset = self.read_bytes % CHUNK_BYTES
        self.read_bytes += len(data)
        repeats = -(-(offset + len(data)) // CHUNK_BYTES)
        return data == (self._chunk * repeats)[offset : offset + len(data)]


def limit_kernel_buffers(writer: asyncio.StreamWriter) -> None:
    """Let the kernel hold little of what is sent or received on a connection."""
    sock = writer.get_extra_info("socket")
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BYTES)
