"""Splits a byte stream into frames and joins messages into one.

A frame is a length of four bytes, most significant first, and that many bytes of
msgpack. The length is checked before anything is kept, so a hostile peer cannot
make a process hold more than one frame. A fault of the stream is returned as a
sentinel with the reason; the owner then closes that connection and no other.
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
    """A sentinel: the stream cannot be read further, with the reason."""

    reason: str


def encode_frame(msg: wire.Message) -> bytes:
    """Return the message as one frame."""
    payload = wire.encode_message(msg)
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameReader:
    """Collects bytes and returns the messages that are complete."""

    __slots__ = ("_buffer", "max_frame_bytes")

    def __init__(self, max_frame_bytes: int = MAX_HANDSHAKE_FRAME_BYTES) -> None:
        self._buffer = bytearray()
        self.max_frame_bytes = max_frame_bytes

    def feed(self, data: bytes) -> None:
        """Add bytes that arrived."""
        self._buffer += data

    def read_message(self) -> wire.Message | FrameFault | None:
        """Return the next message, a fault, or None if more bytes are needed."""
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
