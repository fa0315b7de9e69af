"""Buffers the answer to one call, so that it can be sent again from any offset.

A target's answer is a status, headers and a sequence of bytes. The sidecar appends
bytes as they arrive and sends slices to every attempt that waits for the call. A new
connection, or a second attempt with the same key, reads from the offset that it names.
The End message carries the length and a digest of all bytes, so that the reader can
verify that it has the whole answer.

The answer to a call that cannot be resumed may drop the bytes that its reader has
acknowledged.
"""

import enum
import typing

import xxhash

from sardinesaddle import errorcodes

MAX_BUFFERED_BYTES: typing.Final = 4 * 1024 * 1024


class Phase(enum.Enum):
    """The progress of an answer."""

    WAITING = "waiting"
    HEADERS_RECEIVED = "headed"
    ENDED = "ended"
    FAILED = "failed"


class AnswerBuffer:
    """A growing answer; offsets count body bytes from zero."""

    __slots__ = (
        "_data",
        "_digest",
        "_dropped_bytes",
        "headers",
        "phase",
        "refusal",
        "status",
    )

    def __init__(self) -> None:
        self.phase = Phase.WAITING
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.refusal: errorcodes.Refusal | None = None
        self._data = bytearray()
        self._dropped_bytes = 0
        self._digest = xxhash.xxh64()

    @property
    def length(self) -> int:
        """The number of body bytes that have arrived, dropped ones included."""
        return self._dropped_bytes + len(self._data)

    @property
    def first_offset(self) -> int:
        """The lowest offset that is still buffered."""
        return self._dropped_bytes

    @property
    def digest(self) -> int:
        """The xxh64 digest of all body bytes that have arrived."""
        return self._digest.intdigest()

    @property
    def is_final(self) -> bool:
        """Whether the answer has ended or failed."""
        return self.phase in (Phase.ENDED, Phase.FAILED)

    def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Store the status and the headers."""
        self.status = status
        self.headers = headers
        self.phase = Phase.HEADERS_RECEIVED

    def append(self, data: bytes) -> None:
        """Append body bytes."""
        self._data += data
        self._digest.update(data)

    def end(self) -> None:
        """Mark the answer as complete."""
        self.phase = Phase.ENDED

    def fail(self, refusal: errorcodes.Refusal) -> None:
        """Mark the answer as failed; the refusal is sent instead of the rest."""
        self.refusal = refusal
        self.phase = Phase.FAILED

    def read(self, offset: int, limit: int) -> bytes:
        """Return up to ``limit`` bytes from ``offset``, which must be buffered."""
        start = offset - self._dropped_bytes
        return bytes(self._data[start : start + limit])

    def drop_before(self, offset: int) -> None:
        """Drop the bytes below an offset, which can then no longer be read."""
        count = min(max(offset - self._dropped_bytes, 0), len(self._data))
        del self._data[:count]
        self._dropped_bytes += count
