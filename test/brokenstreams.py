"""Generates what engines write on event streams, sound and broken, and checks it.

Each event's data names its run and its number, so that a test knows which events a run
made. An edit breaks a stream in one way; edits are plain data, as a second engine's
stream begins at an event that is known only when the entry asks for it.

Two things an entry can't know, so they are no violation: that an engine marks the end
of a response early between events that are sound in form, and that an event of this
form has another text or begins at 1 though the run began at 0. ``SOUND_BLOCK`` has that
form.
"""

import collections.abc
import dataclasses
import itertools
import re
import typing

import hypothesis.strategies as st

from test import eventreader

MAX_EVENTS: typing.Final = 5
LONG_TEXT_CHARACTERS: typing.Final = 3000
ID_DIGITS: typing.Final = 5000
RUN_NAMES: typing.Final = ("first", "second", "other")
RUN_ENDS: typing.Final = list(
    itertools.product((b"\n", b"\r\n"), repeat=len(RUN_NAMES))
)
# Pieces of text: what naive code takes for a line end, a field or the end of the data.
WORDS: typing.Final = [
    *("a", " ", ":", "\t", "é", "漢", "😀", "\u2028", "\u2029", "\x85", "\x0b", "\x0c"),
    *("\x1c", "\x01", "\x1b", "\x7f", "\xa0", "\ufeff", "id: 7", "data: a", "{n}"),
    *("HTTP/1.1 500 X", "[DONE]", "\\n\\n"),
]
LINE_ENDS: typing.Final = [
    *(b"", b"\n", b"\r\n", b"\r", b"\n\r", b"\n\n", b"\r\r", b"\r\n\r", b"\n\r\n"),
    *(b"\r\r\n", b"\x0b", b"\x0c", b"\x85", "\u2028".encode(), b"\0"),
]
# {n} is the number of the event, {m} another number, {a} the number in Arabic digits,
# {d} a number of thousands of digits, more than int() takes.
ID_LINES: typing.Final = [
    *("", "id", "id:", "id: ", "id:{n}", "id: {n}", "id: {m}", "id:  {n}", "id: {n} "),
    *("id:\t{n}", "id: {n}\t", "id: 0{n}", "id: +{n}", "id: -{n}", "id: {n}.0"),
    *("id: {n}e0", "id: 0x{n}", "id: 1_{n}", "id: {a}", "id: {n}\0", "id: \0{n}"),
    *("id:\0", "\ufeffid: {n}", "id: \ufeff{n}", "ID: {n}", "Id: {n}", "id : {n}"),
    *(" id: {n}", "\tid: {n}", "id\t: {n}", "id={n}", "id {n}", "id: {n}\xa0"),
    *("id: \u2028{n}", "id: {n}\x0b", "id: {n}, {m}", "data: id: {n}", ": id: {n}"),
    *("id: " + "9" * 30, "id: {d}", "id: x", "id: {n}x", "\0id: {n}"),
]
FIELD_LINES: typing.Final = [
    *("data", "data:", "data: {m}", "DATA: a", "Data: a", " data: a", "data : a"),
    *(
        "\tdata: a",
        "\ufeffdata: a",
        "data=a",
        "event: a",
        "event",
        "event:",
        "retry: 5",
    ),
    *(
        "retry: a",
        "retry",
        "a",
        "a: b",
        ": a",
        ":",
        " ",
        "\t",
        "\0",
        "\ufeff",
        "\u2028",
    ),
    *("weight-versions: 2", "weight-versions: a", "weight-versions:2"),
    *("Weight-Versions: 2", "weight-versions", "HTTP/1.1 200 OK", "upstream error"),
]
INVALID_UTF8_LINES: typing.Final = [b"data: \xff", b": \xc3", b"data: \xed\xa0\x80"]
RESPONSE_HEAD: typing.Final = (
    b"HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\nContent-Length: 900\r\n\r\n"
)
RAW: typing.Final = [
    *(b"\n", b"\r", b"\r\n", b"\n\r", b"\0", b"\xff", "\ufeff".encode(), b"\r\r"),
    *(b"upstream error", b"upstream error\n", b"upstream error\n\n", b"a: b\r\n\r\n"),
    b"HTTP/1.1 500 X\r\nContent-Type: text/plain\r\n\r\n",
    b"HTTP/1.1 500 X\r\nContent-Type: text/plain\r\n\r\nupstream error\n\n",
    *(RESPONSE_HEAD, RESPONSE_HEAD + b"id: {n}\ndata: stray\n\n"),
    RESPONSE_HEAD + b"id: {m}\ndata: stray\n\n",
    *(b"data: stray\n\n", b"data: stray\r\r", b"id\ndata: stray\n\n", b"data\n\n"),
    *(b"id: {n}\n\n", b"id: {m}\n\n", b"id\n\n", b"event: a\n\n", b"retry: 5\n\n"),
    *(b"event: error\ndata: a\n\n", b'{"error": 1}\n\n', b"<html>\r\n\r\n</html>"),
    *(b": a", b": a\r", b": a\r\r", b":\r\n\r\n", b":\n:\n\n", b"0\r\n\r\n", b"5\r\na"),
    b"id: {m}\ndata: stray",
]
# Line ends that close a line of data and the event after it.
BLANK_LINES: typing.Final = [
    *(b"".join(ends) for ends in itertools.product([b"\n", b"\r\n", b"\r"], repeat=2)),
    *(b"\n\n\n", b"\r\n\n\r", b"\n \n", b"\n\0\n", b"\n\x85\n", b"\n"),
]
# Inserted within a line.
INSIDE: typing.Final = [
    *(
        b"\r",
        b"\n",
        b"\r\n",
        b"\n\n",
        b"\r\r",
        b"\n\r",
        b"\0",
        b" ",
        b"\t",
        b":",
        b"\xff",
    ),
    *("\ufeff".encode(), b"\xc3", b"\x0b", b"\x85", b"\rid: {m}\r", b"\rdata: a"),
    *(b"\ndata: a", b"\n\rdata: stray\n", b"\r\rdata: stray\r", b"\r\n\rid: {m}\r\n"),
]
BYTES: typing.Final = st.sampled_from(
    [*b"\n\r\n\r\0: id0123456789at\xff\xef\xc3\x85"]
) | st.integers(0, 255)

_LINE: typing.Final = rb"[^\r\n]*"
# Blank lines and comments between events; no reader takes them for an event.
_FILLERS: typing.Final = rb"(?:(?::%s)?[\r\n])*" % _LINE
FILLERS: typing.Final = re.compile(_FILLERS)


def _make_sound_block(end: bytes) -> bytes:
    """Return the pattern of an event that is sound in form, with its line ends."""
    others = rb"(?:(?!(?i:id):)[A-Za-z0-9_-]*:" + _LINE + end + rb")*"
    number = rb"id: ?(?:0|[1-9][0-9]{0,17})" + end
    return others + number + others + end


_SOUND_BLOCK: typing.Final = rb"(?:%s|%s)" % (
    _make_sound_block(b"\n"),
    _make_sound_block(b"\r\n"),
)
SOUND_BLOCK: typing.Final = re.compile(
    rb"(?:\A|(?<=\n\n)|(?<=\r\n\r\n))%s(%s)" % (_FILLERS, _SOUND_BLOCK)
)
END_BETWEEN_EVENTS: typing.Final = re.compile(
    rb"%s(?:%s%s)*(?::%s)?" % (_FILLERS, _SOUND_BLOCK, _FILLERS, _LINE)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """Lines of an event with their ends; of a filler if ``number`` is None."""

    number: int | None
    lines: tuple[tuple[bytes, bytes], ...]

    def encode(self) -> bytes:
        """Return the bytes."""
        return b"".join(line + end for line, end in self.lines)


class Run:
    """What a sound engine writes: events, and comments and blank lines between."""

    __slots__ = ("blocks",)

    def __init__(self, blocks: tuple[Block, ...]) -> None:
        self.blocks = blocks

    def __repr__(self) -> str:
        """Return the start of what the engine writes."""
        return f"<{b''.join(block.encode() for block in self.blocks)[:300]!r}>"

    def get_events(self) -> list[Block]:
        """Return the blocks that are events."""
        return [block for block in self.blocks if block.number is not None]

    def get_rest(self, last: int) -> tuple[Block, ...]:
        """Return the blocks after the event with a number."""
        start = 0
        for index, block in enumerate(self.blocks, 1):
            if block.number is not None and block.number <= last:
                start = index
        return self.blocks[start:]


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """One way to break a stream: what to do where, counted modulo what there is."""

    kind: str
    place: int
    line: int
    text: bytes
    number: int

    def apply(self, blocks: list[Block], other: Run) -> list[Block]:
        """Return the blocks of a stream, edited. ``other`` is another request's run."""
        if not blocks:
            return blocks
        index = self.place % len(blocks)
        before, block, after = blocks[:index], blocks[index], blocks[index + 1 :]
        match self.kind:
            case "repeat":
                return [*before, block, block, *after]
            case "skip":
                return [*before, *after]
            case "swap":
                return [*before, *after[:1], block, *after[1:]]
            case "joined":
                rest = other.blocks[self.number % len(other.blocks) :]
                return [*before, block, *rest]
            case "stop":
                return [*before, block]
            case "raw":
                raw = Block(None, ((self._fill_in(block), b""),))
                return [*before, raw, block, *after]
        return [*before, self._edit_lines(block), *after]

    def _edit_lines(self, block: Block) -> Block:
        """Return an event with lines edited."""
        lines = list(block.lines)
        if not lines:
            return block
        position = self.line % len(lines)
        line, end = lines[position]
        text = self._fill_in(block)
        match self.kind:
            case "drop":
                del lines[position]
            case "end":
                lines[position] = line, text
            case "ends":
                lines = [(ln, text) for ln, _ in lines]
            case "blank":
                lines[-2:] = [(lines[-2:][0][0], text)]
            case "replace":
                lines[position] = text, end
            case "insert":
                lines.insert(position, (text, end))
            case "within":
                lines.insert(position, (text, b""))
            case "inside":
                at = self.number % (len(line) + 1)
                lines[position] = line[:at] + text + line[at:], end
            case "id":
                lines = [
                    (text if ln.startswith(b"id:") else ln, end) for ln, end in lines
                ]
            case _:
                raise ValueError(self.kind)
        return dataclasses.replace(block, lines=tuple(lines))

    def _fill_in(self, block: Block) -> bytes:
        """Return the text with numbers filled in."""
        number = block.number or 0
        arabic = "".join(chr(0x660 + int(digit)) for digit in str(number)).encode()
        numbered = self.text.replace(b"{n}", b"%d" % number).replace(b"{a}", arabic)
        numbered = numbered.replace(b"{d}", b"9" * ID_DIGITS)
        return numbered.replace(b"{m}", b"%d" % self.number)


@dataclasses.dataclass(frozen=True, slots=True)
class ByteEdit:
    """A byte inserted, replaced or deleted, or all bytes from a place on cut off."""

    kind: str
    place: int
    value: int

    def apply(self, stream: bytes) -> bytes:
        """Return a stream, edited."""
        index = self.place % (len(stream) + 1)
        before, after = stream[:index], stream[index:]
        match self.kind:
            case "insert":
                return before + bytes([self.value]) + after
            case "replace":
                return before + bytes([self.value]) + after[1:]
            case "delete":
                return before + after[1:]
        return before


@dataclasses.dataclass(frozen=True, slots=True)
class Mutations:
    """All edits of one response."""

    edits: tuple[Edit, ...] = ()
    byte_edits: tuple[ByteEdit, ...] = ()

    def write(self, run: Run, other: Run, last: int = -1) -> bytes:
        """Return what an engine writes of its run after event ``last``."""
        blocks = list(run.get_rest(last))
        for edit in self.edits:
            blocks = edit.apply(blocks, other)
        stream = b"".join(block.encode() for block in blocks)
        for byte_edit in self.byte_edits:
            stream = byte_edit.apply(stream)
        return stream


SOUND: typing.Final = Mutations()


# The lines of an event's data after its name. The simplest come first, as examples
# shrink to them.
TEXTS: typing.Final[list[tuple[str, ...]]] = [
    *[(word,) for word in ["", *WORDS]],
    *[("", word) for word in ["", *WORDS]],
    *[("a" + word, "", word * 2) for word in WORDS],
    ("漢" * LONG_TEXT_CHARACTERS,),
    *[("a", "é" * LONG_TEXT_CHARACTERS, "")],
]
# A line before that with the version, and a comment in the event, after a line.
VERSIONS: typing.Final = ["", "", "", "weight-versions: 3"]
COMMENTS: typing.Final = [(0, ""), (0, ""), (1, ":"), (2, ": a"), (9, ":id: 7 \u2028")]
# Comments between events, which a blank line follows.
COMMENT_BLOCKS: typing.Final = [None, None, None, (), (":",), (": a", ":\x85data: a")]
EXTRAS: typing.Final = list(itertools.product(VERSIONS, COMMENTS, COMMENT_BLOCKS))


EventShape = tuple[tuple[str, ...], tuple[str, tuple[int, str], tuple[str, ...] | None]]


def build_runs(
    first: int,
    events: collections.abc.Sequence[EventShape],
    ends: collections.abc.Iterable[bytes],
) -> tuple[Run, ...]:
    """Return runs of the same request, which differ in what their data names."""
    runs = []
    for name, end in zip(RUN_NAMES, ends, strict=True):
        blocks = []
        for number, (texts, (version, comment, filler)) in enumerate(events, first):
            if filler is not None:
                blocks.append(_make_block(None, filler, end))
            lines = [version, f"id: {number}", f"data: {name} {number} {texts[0]}"]
            lines += [f"data: {text}" for text in texts[1:]]
            lines.insert(*comment)
            blocks.append(_make_block(number, filter(None, lines), end))
        runs.append(Run(tuple(blocks)))
    return tuple(runs)


@st.composite
def make_runs(draw: st.DrawFn) -> tuple[Run, ...]:
    """Draw runs."""
    first = draw(st.integers(0, 1))
    events = [
        draw(st.tuples(st.sampled_from(TEXTS), st.sampled_from(EXTRAS)))
        for _ in range(draw(st.integers(1, MAX_EVENTS)))
    ]
    return build_runs(first, events, draw(st.sampled_from(RUN_ENDS)))


def list_plain_runs() -> list[tuple[Run, ...]]:
    """Return runs with lines that end with LF, and with CR LF."""
    plain = ("", (0, ""), None)
    events: list[EventShape] = [
        (("",), plain),
        (("a", "b"), plain),
        (("漢",), ("weight-versions: 3", (2, ": a"), None)),
        (("c",), plain),
    ]
    return [build_runs(0, events, [end] * len(RUN_NAMES)) for end in (b"\n", b"\r\n")]


def _make_block(
    number: int | None, lines: collections.abc.Iterable[str], end: bytes
) -> Block:
    """Return lines with the same end, and a blank line."""
    return Block(number, tuple((line.encode(), end) for line in [*lines, ""]))


LINES: typing.Final = [
    *(line.encode() for line in [*FIELD_LINES, *ID_LINES]),
    *INVALID_UTF8_LINES,
]
WHOLE_EVENT_KINDS: typing.Final = (
    *("repeat", "skip", "swap", "joined", "stop", "id", "ends", "blank", "raw"),
)
# The texts of each kind of edit.
EDIT_TEXTS: typing.Final[dict[str, list[bytes]]] = {
    **dict.fromkeys(["repeat", "skip", "swap", "joined", "stop", "drop"], [b""]),
    "insert": LINES,
    "replace": LINES,
    "id": [line.encode() for line in ID_LINES],
    "end": LINE_ENDS,
    "ends": [b"\n", b"\r\n", b"\r"],
    "blank": BLANK_LINES,
    "raw": RAW,
    "within": RAW,
    "inside": INSIDE,
}


def list_edits(kind: str) -> collections.abc.Iterator[Edit]:
    """Return the edits of a kind at different places of plain runs."""
    lines = (0,) if kind in WHOLE_EVENT_KINDS else (0, 1, 2, 4)
    for text in EDIT_TEXTS[kind]:
        has_number = kind in ("joined", "inside") or b"{m}" in text
        numbers = (0, 2, 9) if has_number else (0,)
        for place, line, number in itertools.product(range(3), lines, numbers):
            yield Edit(kind, place, line, text, number)


def _make_edits(
    kind: str, texts: st.SearchStrategy[bytes] | None = None
) -> st.SearchStrategy[Edit]:
    """Return a strategy for edits of a kind, by default with the texts listed."""
    return st.builds(
        Edit,
        st.just(kind),
        st.integers(0, 2 * MAX_EVENTS),
        st.integers(0, 6),
        texts or st.sampled_from(EDIT_TEXTS[kind]),
        st.integers(0, 9),
    )


EDITS: typing.Final = st.one_of(
    *map(_make_edits, EDIT_TEXTS),
    _make_edits("raw", st.binary(max_size=8)),
    _make_edits("within", st.binary(max_size=8)),
)
BYTE_EDITS: typing.Final = st.builds(
    ByteEdit,
    st.sampled_from(["insert", "replace", "delete", "cut"]),
    st.integers(0, 400),
    BYTES,
)
# Few edits at once, as the first that an entry sees ends its reading.
MUTATIONS: typing.Final = st.one_of(
    st.builds(Mutations, st.tuples(EDITS)),
    st.builds(Mutations, st.tuples(EDITS, EDITS)),
    st.builds(Mutations, st.tuples(EDITS), st.tuples(BYTE_EDITS)),
    st.builds(Mutations, st.just(()), st.tuples(BYTE_EDITS)),
    st.builds(Mutations, st.just(()), st.tuples(BYTE_EDITS, BYTE_EDITS)),
)
# A stream that stops between events, as that of an engine that crashes may.
STOPS: typing.Final = st.builds(Mutations, st.tuples(_make_edits("stop")))
CUTS: typing.Final = st.lists(st.integers(0, 400), max_size=4)


def cut(stream: bytes, cuts: collections.abc.Iterable[int]) -> list[bytes]:
    """Return the parts of a stream between places at which it is cut."""
    places = sorted({place % (len(stream) + 1) for place in cuts} | {0, len(stream)})
    return [stream[start:stop] for start, stop in zip(places, places[1:], strict=False)]


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """What an engine wrote of its run after event ``last``.

    ``is_marked`` is whether the engine marked the end as the end of the response.
    """

    stream: bytes
    is_marked: bool = True
    last: int = -1

    def find_sound_end(self) -> int | None:
        """Return the last number of a response that is sound in form, or None."""
        if not self.is_marked or not END_BETWEEN_EVENTS.fullmatch(self.stream):
            return None
        events = eventreader.read_events(self.stream)
        return int(events[-1].last_id) if events else self.last


class Oracle:
    """Knows what a caller may receive of the responses of engines to a request."""

    def __init__(
        self,
        runs: collections.abc.Iterable[Run],
        written: collections.abc.Iterable[Written],
    ) -> None:
        # By id, what both readers find in the data of such an event.
        self._made: dict[str, set[tuple[str, str]]] = {}
        events = [event for run in runs for event in run.get_events()]
        self._last = max(event.number or 0 for event in events)
        # Numbers at which an engine marked the end early.
        self._early_ends: set[int] = set()
        blocks = [event.encode() for event in events]
        for response in written:
            found = [match[1] for match in SOUND_BLOCK.finditer(response.stream)]
            blocks += [block for block in found if is_utf8(block)]
            end = response.find_sound_end()
            if end is not None and end < self._last:
                self._early_ends.add(end)
        for block in blocks:
            standard = eventreader.read_events(block)
            naive = eventreader.read_events_naively(block)
            for event, other in zip(standard, naive, strict=True):
                made = self._made.setdefault(event.last_id, set())
                made.add((event.data, other.data))

    def check_events(self, received: bytes) -> list[int]:
        """Check that both readers find events of a run in order.

        Returns their numbers.
        """
        standard = eventreader.read_events(received)
        naive = eventreader.read_events_naively(received)
        first_ids = eventreader.read_events_naively(received, takes_first_id=True)
        assert naive == first_ids, "an event has two ids"
        assert len(standard) == len(naive), (standard, naive)
        numbers: list[int] = []
        for event, other in zip(standard, naive, strict=True):
            assert event.own_id is not None and event.own_id == other.own_id, event
            made = self._made.get(event.own_id, set())
            assert (event.data, other.data) in made, event
            numbers.append(int(event.own_id))
        if numbers:
            assert numbers == list(range(numbers[0], numbers[-1] + 1)), numbers
        return numbers

    def is_whole(self, numbers: list[int]) -> bool:
        """Return whether a stream of events may look complete."""
        end = numbers[-1] if numbers else -1
        return end >= self._last or end in self._early_ends


def is_utf8(data: bytes) -> bool:
    """Return whether bytes are valid UTF-8."""
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True


def check_whole(run: Run, received: bytes) -> None:
    """Check that the events of a run arrived byte for byte, and nothing else did.

    Blank lines and comments between events may be there or not.
    """
    position = 0
    for event in run.get_events():
        encoded = event.encode()
        found = received.find(encoded, position)
        assert found >= 0, f"{encoded!r} is missing"
        assert FILLERS.fullmatch(received, position, found), received[position:found]
        position = found + len(encoded)
    assert FILLERS.fullmatch(received, position), received[position:]
