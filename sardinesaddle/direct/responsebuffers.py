"""Bounds what an entry buffers for callers and targets that read slowly.

Each connection, relay and responder counts the bytes that it holds in an account.
Reading from a target pauses while its response holds ``RESPONSE_BYTES``. Once all
accounts together hold the total bound, each response is read only as its caller takes
what was read, ``SMALL_READ_BYTES`` at a time. So slow callers slow down their own
targets, fast callers go on, and the entry never waits for either.
"""

import math
import typing

# A caller that reads fast gets what one turn of the event loop brings.
RESPONSE_BYTES: typing.Final = 256 * 1024
READ_BYTES: typing.Final = 64 * 1024
# Ten thousand slow responses exceed the total by 40 MB at most.
SMALL_READ_BYTES: typing.Final = 4 * 1024
# Of unfinished events and small bodies: a quarter of the 128 MB that an entry may take.
UNFINISHED_TOTAL_BYTES: typing.Final = 32 * 1024 * 1024
UNFINISHED_BYTES: typing.Final = 64 * 1024  # of each response above that total


class ResponseBuffers:
    """What all responses of an entry hold; ``total_bytes`` is infinite for no bound.

    ``is_cut_unread`` is set if targets cut off responses that stay unread for long.
    ``paused`` is the number of connections of which reading is paused now,
    ``unfinished_bytes`` what the relays hold until an event or a small body is whole.
    """

    def __init__(
        self, total_bytes: float = math.inf, is_cut_unread: bool = False
    ) -> None:
        self.is_cut_unread = is_cut_unread
        self.total_bytes = total_bytes
        self.held_bytes = 0
        self.paused = 0
        self.unfinished_bytes = 0
        self._peak_bytes = 0
        self._pause_count = 0
        self.scratch = memoryview(bytearray(READ_BYTES))

    @property
    def is_full(self) -> bool:
        """Whether the responses hold the total bound."""
        return self.held_bytes >= self.total_bytes

    def may_hold(self, unfinished_bytes: int) -> bool:
        """Return whether a relay may hold so much until an event or body is whole."""
        return (
            unfinished_bytes <= UNFINISHED_BYTES
            or self.unfinished_bytes <= UNFINISHED_TOTAL_BYTES
        )

    def get_read_buffer(self) -> memoryview:
        """Return the buffer for a read, which must be emptied at once."""
        return self.scratch[: SMALL_READ_BYTES if self.is_full else READ_BYTES]

    def count_pause(self) -> None:
        """Count that reading from a target pauses."""
        self.paused += 1
        self._pause_count += 1

    def count_held(self, change_bytes: int) -> None:
        """Count a change of what an account holds."""
        self.held_bytes += change_bytes
        self._peak_bytes = max(self._peak_bytes, self.held_bytes)

    def take_peak(self) -> int:
        """Return the most that was held since the last call."""
        peak_bytes, self._peak_bytes = self._peak_bytes, self.held_bytes
        return peak_bytes

    def take_pause_count(self) -> int:
        """Return how often reading from a target paused since the last call."""
        pause_count, self._pause_count = self._pause_count, 0
        return pause_count

    def open_account(self) -> "BufferAccount":
        """Return an account that holds nothing."""
        return BufferAccount(self)


class BufferAccount:
    """The bytes that one holder has of a response."""

    __slots__ = ("_buffers", "_held_bytes")

    def __init__(self, buffers: ResponseBuffers) -> None:
        self._buffers = buffers
        self._held_bytes = 0

    def set_held(self, held_bytes: int) -> None:
        """Count that the holder has so many bytes now."""
        self._buffers.count_held(held_bytes - self._held_bytes)
        self._held_bytes = held_bytes

    @property
    def may_read(self) -> bool:
        """Whether more of the response may be read before this is passed on."""
        return self._held_bytes < RESPONSE_BYTES and not self._buffers.is_full
