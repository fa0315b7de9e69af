"""Two readers of event streams that share no code with the entry's parser.

``read_events`` follows the rules of the WHATWG HTML standard, section "Server-sent
events", "Interpreting an event stream". ``read_events_naively`` does what clients in
the field do. What an entry relays must mean the same to both.
"""

import dataclasses
import re
import typing

BYTE_ORDER_MARK: typing.Final = "\ufeff"
LINE_END: typing.Final = re.compile("\r\n|\n|\r")
NAIVE_BLOCK_END: typing.Final = re.compile("\n\n|\r\n\r\n")


@dataclasses.dataclass(frozen=True, slots=True)
class ReadEvent:
    """An event as a reader dispatches it.

    ``own_id`` is the id that the event itself has, None if it has none; ``last_id`` is
    that of the stream, which events without an id leave as it was.
    """

    own_id: str | None
    last_id: str
    data: str
    type: str = "message"


class StandardReader:
    """Interprets a whole stream line by line; ``events`` are those dispatched."""

    def __init__(self) -> None:
        self.events: list[ReadEvent] = []
        self._last_id = ""
        self._own_id: str | None = None
        self._data = ""
        self._type = ""

    def read(self, stream: bytes) -> None:
        """Read a stream from its start to its end.

        What follows the last line end is no line, and an event that no blank line
        ends is discarded.
        """
        text = stream.decode("utf-8", "replace").removeprefix(BYTE_ORDER_MARK)
        *lines, _ = LINE_END.split(text)
        for line in lines:
            if not line:
                self._dispatch()
            elif not line.startswith(":"):
                name, _, value = line.partition(":")
                self._process_field(name, value.removeprefix(" "))

    def _process_field(self, name: str, value: str) -> None:
        """Process a field; ``retry`` and unknown names change no event."""
        if name == "event":
            self._type = value
        elif name == "data":
            self._data += value + "\n"
        elif name == "id" and "\0" not in value:
            self._own_id = self._last_id = value

    def _dispatch(self) -> None:
        """Process a blank line."""
        if self._data:
            data = self._data.removesuffix("\n")
            kind = self._type or "message"
            self.events.append(ReadEvent(self._own_id, self._last_id, data, kind))
        self._own_id = None
        self._data = ""
        self._type = ""


def read_events(stream: bytes) -> list[ReadEvent]:
    """Return the events of a whole stream by the standard."""
    reader = StandardReader()
    reader.read(stream)
    return reader.events


def read_events_naively(stream: bytes, takes_first_id: bool = False) -> list[ReadEvent]:
    """Return the events of a whole stream as a simple client finds them.

    It splits at blank lines of one kind, strips each line, and takes the values of the
    lines that begin with ``id:`` (the last one counts, with ``takes_first_id`` the
    first) and ``data:``. An event that no blank line ends is discarded.
    """
    events = []
    last_id = ""
    *blocks, _ = NAIVE_BLOCK_END.split(stream.decode("utf-8", "replace"))
    for block in blocks:
        lines = [line.strip() for line in block.split("\n")]
        ids = [line[3:].strip() for line in lines if line.startswith("id:")]
        data = [line[5:].strip() for line in lines if line.startswith("data:")]
        own_id = ids[0 if takes_first_id else -1] if ids else None
        last_id = last_id if own_id is None else own_id
        if data:
            events.append(ReadEvent(own_id, last_id, "\n".join(data)))
    return events
