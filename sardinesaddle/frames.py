"""Framing of messages on a byte stream.

A frame is a length of four bytes in big-endian order, followed by that many bytes of
msgpack. A length over the limit is rejected as soon as it is read, so a hostile peer
cannot make a process buffer a larger frame. An invalid stream is reported as a
``FrameFault`` instead of an exception; it ends that connection only.
"""

import dataclasses
import typing

import msgspec

from sardinesaddle import wire

LENGTH_BYTES: typing.Final = 4
MAX_BODY_BYTES: typing.Final = 1024 * 1024
MAX_FRAME_BYTES: typing.Final = MAX_BODY_BYTES + 64 * 1024
MAX_HANDSHAKE_FRAME_BYTES: typing.Final = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class FrameFault:
    """Returned if the stream is invalid and cannot be read further."""

    reason: str


def encode_frame(msg: wire.Message) -> bytes:
    """Return a message encoded as a frame."""
    payload = wire.encode_message(msg)
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameReader:
    """Incremental reader that splits received bytes into messages.

    The frame limit is small until the peer is authenticated; the owner raises it
    through ``max_frame_bytes``.
    """

    __slots__ = ("_buffer", "max_frame_bytes")

    def __init__(self, max_frame_bytes: int = MAX_HANDSHAKE_FRAME_BYTES) -> None:
        self._buffer = bytearray()
        self.max_frame_bytes = max_frame_bytes

    def feed(self, data: bytes) -> None:
        """Append received bytes to the buffer."""
        self._buffer += data

    def read_message(self) -> wire.Message | FrameFault | None:
        """Return the next message, a fault, or None if the frame is incomplete."""
        buffer = self._buffer
        if len(buffer) < LENGTH_BYTES:
            return None
        length = int.from_bytes(buffer[:LENGTH_BYTES], "big")
        if length > self.max_frame_bytes:
            return FrameFault(
                f"a frame of {length} bytes is over the limit of"
                f" {self.max_frame_bytes} bytes"
            )
        end = LENGTH_BYTES + length
        if len(buffer) < end:
            return None
        payload = bytes(buffer[LENGTH_BYTES:end])
        del buffer[:end]
        try:
            return wire.decode_message(payload)
        except (msgspec.DecodeError, ValueError, RecursionError) as exc:
            return FrameFault(f"a frame is malformed: {exc}")
