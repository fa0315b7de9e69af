"""Splits a stream of server-sent events into complete events.

Only complete events are forwarded. A stream that breaks off within an event can
therefore be resumed at another target after the last event that the caller received.
"""

import dataclasses
import re
import typing

MAX_EVENT_BYTES: typing.Final = 1024 * 1024
MAX_ID_DIGITS: typing.Final = 18
_EVENT_END: typing.Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_FIELD: typing.Final = re.compile(rb"(?:^|\r\n|\n|\r)id: ?([^\r\n]*)")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A complete event; ``event_id`` is None if its id is missing or not a number."""

    data: bytes
    event_id: int | None


class EventParser:
    """Incremental parser: buffers bytes and returns the events that are complete."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Event]:
        """Append bytes to the buffer; return the events that are now complete."""
        self._buffer += data
        events = []
        while (match := _EVENT_END.search(self._buffer)) is not None:
            event_bytes = bytes(self._buffer[: match.end()])
            del self._buffer[: match.end()]
            if is_comment(event_bytes):
                continue
            events.append(Event(event_bytes, parse_event_id(event_bytes)))
        return events

    @property
    def incomplete_data(self) -> bytes:
        """The buffered bytes, which do not make up a complete event."""
        return bytes(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """The number of buffered bytes."""
        return len(self._buffer)

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event is longer than ``MAX_EVENT_BYTES``."""
        return len(self._buffer) > MAX_EVENT_BYTES


def is_comment(event: bytes) -> bool:
    """Return whether a block has comments only, which servers send to show life."""
    return all(line.startswith(b":") for line in event.splitlines() if line)


def parse_event_id(event: bytes) -> int | None:
    """Return the event's numeric id, or None if it has none."""
    match = _ID_FIELD.search(event)
    if match is None:
        return None
    text = match.group(1).strip()
    return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None
