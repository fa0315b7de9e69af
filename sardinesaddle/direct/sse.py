"""Splits a stream of server-sent events into complete events.

Only complete events are forwarded. A stream that breaks off within an event can
therefore be resumed at another target after the last event that the caller received.

The caller reads the forwarded bytes again, so each event must mean the same to any
reader. The event stream format of the HTML standard ends a line with LF, CR LF or CR,
takes the last of several values of a field, and ignores fields that it does not know.
Readers differ in all of this. An event is accepted only if

- its lines all end with LF, or all with CR LF, as those of the events before it,
- each line is a comment or a field with a name in lower case and a colon,
- no field but ``data`` occurs twice, and ``data`` occurs,
- its id is a decimal number without leading zeros, one more than the id before it,
- it is UTF-8.

Anything else is a fault of the target, and ends the reading. Blank lines between events
and events of comments only are skipped; any reader ignores them.
"""

import dataclasses
import re
import typing

MAX_EVENT_BYTES: typing.Final = 1024 * 1024
MAX_EVENT_LINES: typing.Final = 4096  # that are read one by one, some us each
_ID: typing.Final = rb"0|[1-9][0-9]{0,17}"
# What most events are, as one pattern.
_PLAIN_EVENT: typing.Final = re.compile(
    rb"id: ?(" + _ID + rb")(\r?\n)(?:data:[^\r\n]*+\2)++\2"
)
# Blank lines, and events of comments only.
_SKIPPED: typing.Final = re.compile(rb"(?:\r?\n|(?::[^\r\n]*+\r?\n)++\r?\n)++")
# The end of a line and a blank line. A CR at the end of the buffer may be the first
# half of a CR LF.
_EVENT_END: typing.Final = re.compile(rb"[\r\n](?:(?<=\n)\n|\r\n|\r(?!\n|\Z))")
_SKIPPED_STARTS: typing.Final = (b"\r", b"\n", b":")
_MAX_END_BYTES: typing.Final = 3
_SHOWN_BYTES: typing.Final = 40  # of an event that is not accepted
_NAME: typing.Final = re.compile(rb"[a-z][a-z0-9_-]*")
_NUMBER: typing.Final = re.compile(_ID)


@dataclasses.dataclass(slots=True)
class Event:
    """A complete event with its bytes."""

    data: bytes
    event_id: int


class EventParser:
    """Incremental parser of one response: returns the events that are complete.

    ``fault`` is why the response is no stream of events that all readers read alike, an
    empty string while it is one. Nothing is read after a fault.
    """

    __slots__ = ("_buffer", "_last_id", "_line_end", "_searched", "fault")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0  # bytes of the buffer that contain no end of an event
        self._line_end = b""  # of the events so far
        self._last_id: int | None = None
        self.fault = ""

    def feed(self, data: bytes) -> list[Event]:
        """Append bytes to the buffer; return the events that are now complete."""
        if self.fault:
            return []
        text: bytes | bytearray = data
        if self._buffer:
            self._buffer += data
            text = self._buffer
        events: list[Event] = []
        start, searched = 0, self._searched
        while not self.fault:
            if not searched:
                if plain := _PLAIN_EVENT.match(text, start):
                    start = plain.end()
                    self._add(events, *plain.group(0, 1, 2))
                    continue
                if text.startswith(_SKIPPED_STARTS, start) and (
                    skipped := _SKIPPED.match(text, start)
                ):
                    start = skipped.end()
                    continue
            found = _EVENT_END.search(text, start + searched)
            if found is None:
                break
            self._read_event(events, bytes(text[start : found.end()]))
            start, searched = found.end(), 0
        if text is data:
            self._buffer += data[start:]
        else:
            del self._buffer[:start]
        self._searched = max(len(self._buffer) - _MAX_END_BYTES, 0)
        return events

    def _read_event(self, events: list[Event], data: bytes) -> None:
        """Read an event line by line; set ``fault`` if readers would differ."""
        if plain := _PLAIN_EVENT.fullmatch(data):
            self._add(events, *plain.group(0, 1, 2))
            return
        line_end = b"\r\n" if b"\r" in data else b"\n"
        lines = data.split(line_end)
        is_mixed = b"\r" in data and (
            not len(lines) - 1 == data.count(b"\r") == data.count(b"\n")
        )
        if data.startswith(b":") and is_comment(data):
            return
        if is_mixed or lines[-2:] != [b"", b""]:
            self._fail("line ends of several kinds", data)
            return
        if len(lines) > MAX_EVENT_LINES:
            self._fail("too many lines", data)
            return
        fields: dict[bytes, bytes] = {}
        for line in lines[:-2]:
            name, colon, value = line.partition(b":")
            if colon and not name:
                continue
            if not colon or not _NAME.fullmatch(name):
                self._fail("a line that is no field", data)
                return
            if name in fields and name != b"data":
                self._fail("a field that occurs twice", data)
                return
            fields[name] = value
        event_id = fields.get(b"id", b"").removeprefix(b" ")
        if not _NUMBER.fullmatch(event_id):
            self._fail("no number as its id", data)
        elif b"data" not in fields:
            self._fail("no data", data)
        else:
            self._add(events, data, event_id, line_end)

    def _add(
        self, events: list[Event], data: bytes, event_id: bytes, line_end: bytes
    ) -> None:
        """Append a well-formed event if it fits those before it."""
        number = int(event_id)
        if self._last_id is None:
            self._line_end = line_end
        elif number != self._last_id + 1:
            self._fail(f"it follows event {self._last_id}", data)
            return
        if line_end != self._line_end:
            self._fail("line ends of several kinds", data)
        elif not (data.isascii() or is_utf8(data)):
            self._fail("it is not UTF-8", data)
        else:
            self._last_id = number
            events.append(Event(data, number))

    def _fail(self, reason: str, data: bytes) -> None:
        """Record why an event is not accepted."""
        self.fault = f"event with {data[:_SHOWN_BYTES]!r}: {reason}"

    @property
    def has_incomplete_event(self) -> bool:
        """Whether the buffered bytes are the beginning of an event."""
        return bool(self._buffer.strip(b"\r\n"))

    @property
    def buffered_bytes(self) -> int:
        """The number of buffered bytes."""
        return len(self._buffer)

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event is longer than ``MAX_EVENT_BYTES``."""
        return len(self._buffer) > MAX_EVENT_BYTES


def is_comment(event: bytes) -> bool:
    """Return whether an event has comments only, which servers send to show life."""
    return all(line.startswith(b":") for line in event.splitlines() if line)


def is_utf8(data: bytes) -> bool:
    """Return whether bytes are text in UTF-8."""
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True
