"""Engines that write sound and broken streams, in the responses to one request."""

import asyncio
import collections.abc
import dataclasses
import typing

import hypothesis.strategies as st

from sardinesaddle.platform import headers
from test import brokenstreams
from test import directfleet as df

PAUSE_S: typing.Final = 0.02  # between writes, so that they are read one by one
EVENT_STREAM: typing.Final = ("Content-Type", "text/event-stream")
# How a response ends. By its chunks: "whole" marks the end, "extra" writes more after
# that, "short" closes within a chunk, "malformed" writes a chunk without a size, and
# "closed" and "reset" end the connection between chunks. Without chunks a response ends
# with its connection: "closed" marks the end, "reset" does not.
CHUNKED_ENDS: typing.Final = ("whole", "closed", "reset", "short", "malformed", "extra")
UNFRAMED_ENDS: typing.Final = ("closed", "reset")
MARKED: typing.Final = {(True, "whole"), (True, "extra"), (False, "closed")}


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """How an engine responds: what it makes of its run, and how it is sent.

    ``offset`` is how many events after the requested one it begins; many before it is
    the beginning of the run.
    """

    mutations: brokenstreams.Mutations
    is_chunked: bool
    end: str
    offset: int = 0
    chunk_cuts: tuple[int, ...] = ()
    read_cuts: tuple[int, ...] = ()

    @property
    def is_sound(self) -> bool:
        """Whether this is what a sound engine writes, to the end."""
        is_marked = (self.is_chunked, self.end) in MARKED
        return is_marked and not self.offset and self.mutations == brokenstreams.SOUND

    def encode(self, attempt_id: str, stream: bytes) -> bytes:
        """Return the bytes of a response with a stream."""
        if not self.is_chunked:
            fields = ((headers.ATTEMPT_ID, attempt_id), df.SIGNATURE_HEADER)
            return df.make_response_head(200, *fields, EVENT_STREAM) + stream
        chunks = [
            df.encode_chunk(part)
            for part in brokenstreams.cut(stream, self.chunk_cuts)
            if part
        ]
        encoded = df.make_stream_head(attempt_id) + b"".join(chunks)
        match self.end:
            case "whole":
                return encoded + df.encode_chunk(b"")
            case "extra":
                extra = df.make_response(attempt_id, df.make_sse_event(1))
                return encoded + df.encode_chunk(b"") + extra
            case "short":
                return encoded + b"40\r\nid: "
            case "malformed":
                return encoded + b"size\r\n" + df.make_sse_event(1)
        return encoded


CUTS: typing.Final = st.lists(st.integers(0, 600), max_size=3).map(tuple)


def make_responses(
    mutations: st.SearchStrategy[brokenstreams.Mutations],
    chunked_ends: collections.abc.Iterable[str],
    unframed_ends: collections.abc.Iterable[str],
    offsets: collections.abc.Sequence[int],
) -> st.SearchStrategy[Response]:
    """Return a strategy for responses."""
    forms = [(True, end) for end in chunked_ends]
    forms += [(False, end) for end in unframed_ends]
    return st.builds(
        lambda mutations, form, *others: Response(mutations, *form, *others),
        mutations,
        st.sampled_from(forms),
        st.sampled_from(offsets),
        CUTS,
        CUTS,
    )


SOUND: typing.Final = make_responses(
    st.just(brokenstreams.SOUND), ["whole"], ["closed"], [0]
)
BROKEN: typing.Final = make_responses(
    st.one_of(
        brokenstreams.MUTATIONS, brokenstreams.STOPS, st.just(brokenstreams.SOUND)
    ),
    CHUNKED_ENDS,
    UNFRAMED_ENDS,
    [0, 0, 0, 0, -1, 1, -brokenstreams.MAX_EVENTS],
)


class Exchange:
    """A request, and the responses to it of whichever engine receives it.

    ``written`` is what engines wrote so far. All responses after the planned ones are
    like the last of these. ``last`` is the last event that the caller has from an
    earlier request, -1 for none.
    """

    def __init__(
        self,
        runs: collections.abc.Sequence[brokenstreams.Run],
        responses: collections.abc.Sequence[Response],
        is_resumable: bool,
        last: int = -1,
    ) -> None:
        self.runs = runs
        self.responses = responses
        self.is_resumable = is_resumable
        self.last = last
        self.written: list[brokenstreams.Written] = []

    def __repr__(self) -> str:
        """Return the parts, for the report of a failure."""
        return (
            f"Exchange({self.runs}, {self.responses}, {self.is_resumable}, {self.last})"
        )

    def list_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the caller's headers."""
        return ((headers.LAST_EVENT, str(self.last)),) if self.last >= 0 else ()

    async def respond(
        self,
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Write the next response."""
        index = min(len(self.written), len(self.responses) - 1)
        response = self.responses[index]
        last = int(request.headers.get(headers.LAST_EVENT.lower(), "-1"))
        stream = response.mutations.write(
            self.runs[index], self.runs[-1], last + response.offset
        )
        is_marked = (response.is_chunked, response.end) in MARKED
        self.written.append(brokenstreams.Written(stream, is_marked, last))
        encoded = response.encode(request.attempt_id, stream)
        for part in brokenstreams.cut(encoded, response.read_cuts):
            writer.write(part)
            await asyncio.sleep(PAUSE_S)
        if response.end == "reset":
            df.reset_connection(writer)
        return response.is_chunked and response.end in ("whole", "extra")

    def check(self, response: df.ReceivedResponse, is_cut: bool = False) -> None:
        """Check what a caller received; ``is_cut`` is whether its entry was killed."""
        try:
            self._check_events(response)
            if not is_cut:
                self._check_completeness(response)
        except AssertionError as exc:
            exc.add_note(f"{self} wrote {self.written} -> {response}")
            raise

    def _check_events(self, response: df.ReceivedResponse) -> None:
        """Check the events of a response, and that no false end is marked."""
        if response.status != 200:
            assert response.status >= 500 or not response.is_complete
            return
        oracle = brokenstreams.Oracle(self.runs, self.written)
        numbers = oracle.check_events(response.body)
        firsts = (0, 1) if self.last < 0 else (self.last + 1,)
        assert not numbers or numbers[0] in firsts, numbers
        is_whole = oracle.is_whole(numbers or [self.last])
        assert is_whole or not response.is_complete, numbers

    def _check_completeness(self, response: df.ReceivedResponse) -> None:
        """Check that the caller got all that sound engines wrote."""
        if self._is_whole(0):
            assert response.is_complete
            rest = brokenstreams.Run(self.runs[0].get_rest(self.last))
            brokenstreams.check_whole(rest, response.body)
        elif self.is_resumable and self._is_whole(1):
            assert response.status == 200 and response.is_complete

    def _is_whole(self, index: int) -> bool:
        """Return whether a response is sound to its end.

        One without chunks and events ends as that of a process that died.
        """
        response = self.responses[index]
        is_empty = any(not written.stream for written in self.written[index:][:1])
        return response.is_sound and (response.is_chunked or not is_empty)


@st.composite
def make_exchanges(draw: st.DrawFn, has_event: bool = False) -> Exchange:
    """Draw an exchange; in most, the first response is broken.

    With ``has_event``, the caller has some events and resumes its stream.
    """
    runs = draw(brokenstreams.make_runs())
    responses = [draw(BROKEN), draw(SOUND | BROKEN)]
    if not has_event:
        return Exchange(runs, responses, draw(st.sampled_from([True, True, False])))
    event = draw(st.sampled_from(runs[0].get_events()))
    return Exchange(runs, responses, True, -1 if event.number is None else event.number)


class Engines:
    """Responds at any engine of a fleet, to requests of several exchanges at once."""

    def __init__(self) -> None:
        self._exchanges: dict[str, Exchange] = {}

    async def respond(
        self,
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Respond to the request of an exchange."""
        return await self._exchanges[request.path].respond(target, request, writer)

    async def play(
        self,
        fleet: df.Fleet,
        exchanges: collections.abc.Iterable[Exchange],
    ) -> list[df.ReceivedResponse]:
        """Play exchanges at once; return what their callers received."""
        paths = []
        for exchange in exchanges:
            route = "stream" if exchange.is_resumable else "unique"
            # Requests of the same content are counted together if they break off.
            paths.append(f"/{route}/{len(self._exchanges)}")
            self._exchanges[paths[-1]] = exchange
        return await asyncio.gather(
            *(
                fleet.send_request(
                    path,
                    index % len(fleet.ports),
                    extra_headers=self._exchanges[path].list_headers(),
                )
                for index, path in enumerate(paths)
            )
        )
