"""One request to a target and the response to it; h11 does the framing.

- A response with the id of another attempt is skipped, and the next one is read. A
  connection is not kept after a response without an id, since the target might write
  that response once more.
- A response with neither a length nor chunks is complete if the connection was closed
  in order, and incomplete if it was reset. The end of the target's process closes
  connections in order, too; ``responserelay`` tells the two apart.
- What is received is parsed in parts, between other work; see ``parserturns``. Bytes
  that nothing comes of for the caller (framing, comments, skipped responses) are
  bounded.
"""

import asyncio
import collections.abc
import dataclasses
import re
import typing

import h11

from sardinesaddle.direct import (
    headercodec,
    parserturns,
    responsebuffers,
    responsehead,
    upstream,
)

MAX_HEAD_BYTES: typing.Final = 64 * 1024
MAX_SKIPPED_RESPONSES: typing.Final = 4  # then the connection is closed
# That nothing comes of for the caller: framing, comments, responses to other attempts.
MAX_UNUSED_BYTES: typing.Final = 256 * 1024
# Of a response that states no length, and may be without end.
MAX_UNSIZED_BODY_BYTES: typing.Final = 64 * 1024 * 1024
IDLE_TIMEOUT_SHARE: typing.Final = 0.5  # of the idle timeout that a target states
HEAD_READ_BYTES: typing.Final = 8 * 1024  # given to h11 at a time
JOINED_BYTES: typing.Final = 4 * 1024  # of small chunks that are returned together
STATUSES_WITHOUT_BODY: typing.Final = frozenset({204, 304})
# In a value of Keep-Alive: whole seconds.
_IDLE_TIMEOUT: typing.Final = re.compile(
    r"(?:^|,)[ \t]*timeout=([0-9]{1,9})[ \t]*(?=,|$)", re.IGNORECASE
)


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case.

    Those of ``HeaderCodec.single_response_headers`` occur once at most.
    """

    status: int
    headers: list[tuple[str, str]]

    def get(self, name: str) -> str | None:
        """Return the value of the first header of this name, or None."""
        wanted = name.lower()
        return next((v for n, v in self.headers if n == wanted), None)


class EndOfBody:
    """Returned when the body of a response is complete."""


END_OF_BODY: typing.Final = EndOfBody()


class Exchange:
    """One request on a connection and the response to it."""

    def __init__(
        self,
        conn: upstream.Connection,
        header_codec: headercodec.HeaderCodec,
        attempt_id: str,
    ) -> None:
        self._conn = conn
        self._echo_header = header_codec.attempt_id_header
        self._single_headers = header_codec.single_response_headers
        self._attempt_id = attempt_id
        self._h11 = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._unparsed = memoryview(b"")  # received, and not given to h11 yet
        self._needs_data = False  # whether all that was received is parsed
        self._read_bytes = HEAD_READ_BYTES  # given to h11 at a time
        self._parsed_pieces = 0  # that count against the next turn
        self._regained_at = 0.0  # the event loop's time
        # What came after the body that was returned last.
        self._next: typing.Any = None
        self._method = b""  # of the request
        self._head = bytearray()  # what was received of the next head, and after it
        self._body_bytes = 0
        self._unused_bytes = 0  # received since the relay last used a part
        self._relayed_bytes = 0  # that the relay holds
        self._has_length = False
        # Kept here, since a reading of the head may be cancelled and begun again.
        self._head_count = 0
        self._is_skipping = False  # whether a response to another attempt is read
        # Whether the response ends with its connection, as nothing else bounds it.
        self.is_unframed = False
        self._is_complete = False
        self._is_reusable = True
        self._idle_limit_s = upstream.DEFAULT_IDLE_S

    def send(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        on_sent: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        """Write the whole request; ``on_sent`` is called when the kernel has it.

        The headers state the length of the body, so that it is written as it is.
        """
        encoded = [(n.encode(), headercodec.encode_value(v)) for n, v in headers]
        request = h11.Request(method=method, target=path, headers=encoded)
        self._method = request.method
        head = self._h11.send(request) or b""
        if body:
            self._h11.send_with_data_passthrough(h11.Data(data=body))
        self._h11.send(h11.EndOfMessage())
        self._conn.write_request(head, body, on_sent)

    def _expect_response(self, state: h11.Connection) -> None:
        """Let a parser expect a response to this request."""
        state.send(
            h11.Request(method=self._method, target="/", headers=[(b"Host", b"h")])
        )
        state.send(h11.EndOfMessage())

    async def read_head(self) -> ResponseHead | upstream.Failure:
        """Return the head of the response to this request, skipping others."""
        while self._head_count < MAX_SKIPPED_RESPONSES:
            if self._is_skipping and (failure := await self._skip_response()):
                return failure
            event = await self._next_event()
            if isinstance(event, upstream.Failure):
                return event
            self._head_count += 1
            if not isinstance(event, h11.InformationalResponse | h11.Response):
                return self._make_failure(
                    upstream.FailureKind.MALFORMED, f"unexpected {event!r:.60}"
                )
            end = responsehead.find_end(self._head)
            fields = responsehead.read_fields(bytes(self._head[:end]))
            if isinstance(fields, str):
                return self._make_failure(upstream.FailureKind.MALFORMED, fields)
            if isinstance(event, h11.InformationalResponse):
                del self._head[:end]
                continue
            self._head.clear()
            single = self._single_headers
            if fault := headercodec.find_ambiguity(fields, single, single):
                return self._make_failure(upstream.FailureKind.MALFORMED, fault)
            head = ResponseHead(event.status_code, fields)
            if head.get(self._echo_header) is None:
                # Once it is written again, nothing tells for which request it was.
                self._is_reusable = False
            if self._is_own_response(head):
                self._read_framing(head)
                self._read_keep_alive(head)
                self.mark_used()
                return head
            self._is_skipping = True
        return self._make_failure(
            upstream.FailureKind.MALFORMED, "too many responses to other attempts"
        )

    def _is_own_response(self, head: ResponseHead) -> bool:
        """Return whether the response belongs to this request.

        A response without an attempt id is accepted if it is not a success.
        """
        echoed = head.get(self._echo_header)
        if echoed is None:
            return head.status >= 300
        return echoed == self._attempt_id

    async def _skip_response(self) -> upstream.Failure | None:
        """Read the response to another request and reset the parser after it."""
        while True:
            event = await self._next_event()
            if isinstance(event, upstream.Failure):
                return event
            if isinstance(event, h11.EndOfMessage):
                break
        self._is_skipping = False
        rest, _ = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._expect_response(self._h11)
        if rest:
            self._give_parser(rest)
        return None

    def _read_framing(self, head: ResponseHead) -> None:
        """Read from the headers what bounds the body."""
        self._has_length = head.get("content-length") is not None
        self.is_unframed = (
            not self._has_length
            and head.get("transfer-encoding") is None
            and head.status not in STATUSES_WITHOUT_BODY
            and self._method != b"HEAD"
        )

    def _read_keep_alive(self, head: ResponseHead) -> None:
        """Read from the headers whether and how long the connection may be kept."""
        if "close" in headercodec.list_connection_options(head.headers):
            self._is_reusable = False
        timeouts = [
            float(seconds)
            for name, value in head.headers
            if name == "keep-alive"
            for seconds in _IDLE_TIMEOUT.findall(value)
        ]
        if timeouts:
            self._idle_limit_s = min(timeouts) * IDLE_TIMEOUT_SHARE

    @property
    def is_cut_unread(self) -> bool:
        """Whether targets cut off what the entry leaves unread for its bound."""
        return self._conn.buffers.is_cut_unread

    @property
    def has_news(self) -> bool:
        """Whether the next read returns at once."""
        return not self._needs_data or self._conn.has_unread or self._conn.is_closed

    def count_pieces(self, count: int) -> None:
        """Count pieces of the body that took as long as pieces of its framing."""
        self._parsed_pieces += count

    def hold(self, relayed_bytes: int) -> None:
        """Count bytes of the response that the relay holds."""
        if relayed_bytes != self._relayed_bytes:
            self._relayed_bytes = relayed_bytes
            self._conn.hold(relayed_bytes)

    def may_hold(self, unfinished_bytes: int) -> bool:
        """Return whether the relay may hold so much until an event or body is whole."""
        return self._conn.buffers.may_hold(unfinished_bytes)

    def mark_used(self) -> None:
        """Record that the relay used what was received up to now, or holds it."""
        self._unused_bytes = 0

    async def read_body(
        self, max_bytes: int = responsebuffers.RESPONSE_BYTES
    ) -> bytes | EndOfBody | upstream.Failure:
        """Return the next bytes of the body, ``END_OF_BODY`` or a failure.

        These are at most ``max_bytes`` and ``JOINED_BYTES`` more. Small chunks that
        are there are returned together.
        """
        self._read_bytes = max_bytes
        event = await self._next_event()
        if not isinstance(event, h11.Data):
            if isinstance(event, upstream.Failure):
                return event
            if isinstance(event, h11.EndOfMessage):
                self._is_complete = True
                return END_OF_BODY
            return self._make_failure(
                upstream.FailureKind.MALFORMED, f"unexpected {event!r:.60}"
            )
        data = bytes(event.data)
        # Does not wait, so a reading that is cancelled loses nothing.
        while (
            len(data) < JOINED_BYTES
            and self._parsed_pieces < parserturns.PIECES_PER_TURN
        ):
            event = self._parse()
            if not isinstance(event, h11.Data):
                self._next = event
                break
            data += event.data
        self._parsed_pieces += len(data) // parserturns.PIECE_BYTES
        self._body_bytes += len(data)
        if self._body_bytes > MAX_UNSIZED_BODY_BYTES and not self._has_length:
            return self._make_failure(
                upstream.FailureKind.MALFORMED, "response without end"
            )
        return data

    async def _next_event(self) -> typing.Any:
        """Return h11's next event or a failure, receiving bytes as needed."""
        while True:
            if self._next is not None:
                event, self._next = self._next, None
                return event
            if self._parsed_pieces >= parserturns.PIECES_PER_TURN:
                await self._conn.turns.wait()
                self._parsed_pieces = 0
            if not self._needs_data:
                event = self._parse()
                if event is not None:
                    return event
            if self._unused_bytes > MAX_UNUSED_BYTES + self._relayed_bytes:
                return self._make_failure(
                    upstream.FailureKind.MALFORMED,
                    "only bytes that belong to no answer",
                )
            if self._parsed_pieces > parserturns.PIECES_PER_TURN // 2:
                self._regain_pieces()
            data = await self._conn.receive()
            if data is None:
                if self._conn.was_reset:
                    return self._make_failure(
                        upstream.FailureKind.RESET, "connection reset"
                    )
                data = b""
                if self._conn.was_aborted:
                    return self._make_failure(
                        upstream.FailureKind.CLOSED, "target is gone"
                    )
                if self._h11.their_state is h11.SEND_RESPONSE:
                    return self._make_failure(
                        upstream.FailureKind.CLOSED, "closed before the response"
                    )
            self._needs_data = False
            self._unused_bytes += len(data)
            if len(data) <= self._read_bytes:
                self._give_parser(data)
            else:
                self._unparsed = memoryview(data)

    def _give_parser(self, data: bytes) -> None:
        """Pass bytes to h11, and keep those that may belong to a head."""
        if self._h11.their_state is h11.SEND_RESPONSE:
            self._head += data
        self._h11.receive_data(data)

    def _regain_pieces(self) -> None:
        """Deduct the pieces that were due since the last call."""
        now = asyncio.get_running_loop().time()
        due = int((now - self._regained_at) * parserturns.PIECES_PER_S)
        self._parsed_pieces = max(self._parsed_pieces - due, 0)
        self._regained_at = now

    def _parse(self) -> typing.Any:
        """Return h11's next event or a failure; None if it needs more bytes."""
        while True:
            self._parsed_pieces += 1
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                kind = upstream.FailureKind.MALFORMED
                if self._conn.is_closed:
                    kind = upstream.FailureKind.CLOSED
                return self._make_failure(kind, str(exc))
            if event is not h11.NEED_DATA:
                if event is h11.PAUSED:
                    return self._make_failure(
                        upstream.FailureKind.MALFORMED, "response is already complete"
                    )
                if isinstance(event, h11.ConnectionClosed):
                    return self._make_failure(
                        upstream.FailureKind.CLOSED, "closed before the response"
                    )
                return event
            if not self._unparsed:
                self._needs_data = True
                return None
            self._give_parser(bytes(self._unparsed[: self._read_bytes]))
            self._unparsed = self._unparsed[self._read_bytes :]

    def _make_failure(
        self, kind: upstream.FailureKind, detail: str
    ) -> upstream.Failure:
        """Return a failure and mark the connection as not reusable."""
        self._is_reusable = False
        return upstream.Failure(kind, True, detail)

    def finish(self, now: float) -> bool:
        """Mark the connection idle, or close it; return whether it can be reused."""
        self._conn.release()
        rest, was_closed = self._h11.trailing_data
        is_kept = (
            self._is_complete
            and self._is_reusable
            and not rest
            and not self._unparsed
            and not was_closed
            and not self._conn.is_closed
            and not self._conn.has_unread
            and not self._conn.has_unsent
            and self._h11.their_state is h11.DONE
        )
        if not is_kept:
            self._conn.abort()
            return False
        self._conn.idle_limit_s = self._idle_limit_s
        self._conn.idle_since = now
        self._conn.is_idle = True
        return True
