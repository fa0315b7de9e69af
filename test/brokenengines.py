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
    """How an engine responds: what it makes of its run, and how it is sent."""

    bending: brokenstreams.Bending
    is_chunked: bool
    end: str
    chunk_cuts: tuple[int, ...] = ()
    read_cuts: tuple[int, ...] = ()

    @property
    def is_sound(self) -> bool:
        """Whether this is what a sound engine writes, to the end."""
        return (self.is_chunked, self.end) in MARKED and not (
            self.bending.edits or self.bending.byte_edits
        )

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
    bendings: st.SearchStrategy[brokenstreams.Bending],
    chunked_ends: collections.abc.Sequence[str],
    unframed_ends: collections.abc.Sequence[str],
) -> st.SearchStrategy[Response]:
    """Return a strategy for responses that end in one of some ways."""
    forms = [(True, end) for end in chunked_ends]
    forms += [(False, end) for end in unframed_ends]
    return st.builds(
        lambda bending, form, *cuts: Response(bending, *form, *cuts),
        bendings,
        st.sampled_from(forms),
        CUTS,
        CUTS,
    )


SOUND: typing.Final = make_responses(
    st.just(brokenstreams.SOUND), ["whole"], ["closed"]
)
BROKEN: typing.Final = make_responses(
    brokenstreams.BENDINGS | st.just(brokenstreams.SOUND), CHUNKED_ENDS, UNFRAMED_ENDS
)


class Exchange:
    """A request, and the responses to it of whichever engine receives it.

    ``written`` is what engines wrote so far. All responses after the planned ones are
    like the last of these.
    """

    def __init__(
        self,
        runs: collections.abc.Sequence[brokenstreams.Run],
        responses: collections.abc.Sequence[Response],
        is_resumable: bool,
    ) -> None:
        self.runs = runs
        self.responses = responses
        self.is_resumable = is_resumable
        self.written: list[brokenstreams.Written] = []

    def __repr__(self) -> str:
        """Return the parts, for the report of a failure."""
        return f"Exchange({self.runs}, {self.responses}, {self.is_resumable})"

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
        stream = response.bending.write(self.runs[index], self.runs[-1], last)
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
        judge = brokenstreams.Judge(self.runs, self.written)
        numbers = []
        if response.status == 200:
            numbers = judge.check_events(response.body)
            assert not numbers or numbers[0] in (0, 1), numbers
            assert judge.is_whole(numbers) or not response.is_complete, numbers
        else:
            assert response.status >= 500 or is_cut
        if is_cut:
            return
        if self.responses[0].is_sound:
            assert response.is_complete
            brokenstreams.check_whole(self.runs[0], response.body)
        elif self.responses[1].is_sound and self.is_resumable:
            assert response.status == 200 and response.is_complete


@st.composite
def make_exchanges(draw: st.DrawFn) -> Exchange:
    """Draw an exchange; in most, the first response is broken."""
    runs = draw(brokenstreams.make_runs())
    responses = [draw(BROKEN), draw(SOUND | BROKEN)]
    return Exchange(runs, responses, draw(st.sampled_from([True, True, False])))


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
                fleet.send_request(path, index % len(fleet.ports))
                for index, path in enumerate(paths)
            )
        )
