"""Reads a target's response and relays it to the caller.

The head of a stream is sent to the caller with the first complete event, so a stream
that fails before that can be retried at another target. For the same reason, small
responses are buffered until they are complete; larger ones are relayed as they arrive.

The silence of a target does not end a response: targets pause, and a response that
ends early is worth nothing. After ``SILENCE_TIMEOUT_S`` a request that may be repeated
leaves its target only if it goes on elsewhere at once, or if the target is gone; see
``RelayObserver.may_leave``.

A response that nothing but the end of its connection bounds is complete only if its
target still runs, as the end of a process looks the same. Such a stream is also broken
off if it ends within an event or before the first one, and another success if it ends
right after its head: a target that stops there looks the same.
"""

import abc
import asyncio
import collections.abc
import functools
import math
import typing

from sardinesaddle.direct import (
    headercodec,
    httpexchange,
    requeststate,
    sse,
    targetstate,
    upstream,
)

SILENCE_TIMEOUT_S: typing.Final = 1.2  # callers give up on a silent stream after 2 s
MAX_BUFFERED_BYTES: typing.Final = 256 * 1024  # up to this size responses are buffered
MAX_REFUSAL_BYTES: typing.Final = 64 * 1024  # of the body of a refusal
# Until its end. It comes with the head, and the first token is due after 0.62 s.
REFUSAL_TIMEOUT_S: typing.Final = 0.1
# Engines cut off a response that stays unread for some seconds. One that breaks off
# after so long a pause of its caller was cut off, which is no fault of its target.
UNREAD_S: typing.Final = 1.0
# After the pause, until the caller has taken what was read before the cut.
UNREAD_MEMORY_S: typing.Final = 10.0
UNREAD: typing.Final = (
    "unread"  # reason: the target cut off what the caller left unread
)
STREAM_READ_BYTES: typing.Final = 8 * 1024  # of a stream, at a time
STREAM_PIECE_BYTES: typing.Final = 256  # of events or comments take as long as a chunk
EVENT_STREAM: typing.Final = "text/event-stream"
MAX_FIRST_ID: typing.Final = 1  # targets count the events of a stream from 0 or 1
MISPLACED: typing.Final = "misplaced"  # reason: another target is at the address
NOT_RUN_STATUSES: typing.Final = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that the request was not run."""

HOP_BY_HOP_HEADERS: typing.Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)

Outcome = (
    requeststate.Completed
    | requeststate.Refusal
    | requeststate.TargetError
    | upstream.Failure
)


Read = typing.TypeVar("Read")


class RelayObserver(abc.ABC):
    """Is told what a response shows of its target, and what the caller gets."""

    @abc.abstractmethod
    def on_head(self, metadata: headercodec.ResponseMetadata) -> None:
        """Handle the metadata in the head of the response."""

    @abc.abstractmethod
    def on_unframed(self) -> None:
        """Handle that only the end of its connection bounds the response."""

    @abc.abstractmethod
    def on_begun(self) -> None:
        """Handle that the target wrote the first event of the stream."""

    @abc.abstractmethod
    def on_first_event(self) -> None:
        """Handle that the caller gets the first event of its stream."""

    @abc.abstractmethod
    def on_event_gap(self, gap_s: float) -> None:
        """Handle that events arrived ``gap_s`` after the event before them."""

    @abc.abstractmethod
    async def may_leave(self) -> bool:
        """Find out whether the request may leave its target, which is silent."""

    @abc.abstractmethod
    async def has_target_ended(self) -> bool:
        """Find out whether the target's process has ended."""


class ResponseRelay:
    """Relays one response."""

    def __init__(
        self,
        state: requeststate.RequestState,
        exchange: httpexchange.Exchange,
        responder: requeststate.Responder,
        header_codec: headercodec.HeaderCodec,
        observer: RelayObserver,
    ) -> None:
        self._state = state
        self._exchange = exchange
        self._responder = responder
        self._header_codec = header_codec
        self._observer = observer
        # When the caller last took something after a long pause; the event loop's time.
        self._paused_until = -math.inf
        # A request that may not be repeated has nowhere to go.
        self._silence_timeout_s = SILENCE_TIMEOUT_S if state.may_run_twice else None

    async def run(self, target: targetstate.Target) -> Outcome:
        """Relay the response; return the outcome, also if it could not be relayed.

        A response that its target cut off because the caller did not read it ends
        there: it is not sent to another target, and its end is not marked as complete.
        """
        outcome = await self._relay(target)
        if self._was_unread and isinstance(outcome, upstream.Failure):
            return requeststate.Refusal(requeststate.STATUS_OUTCOME_UNKNOWN, UNREAD)
        return outcome

    @property
    def _was_unread(self) -> bool:
        """Whether the target may have cut off the response for the caller's pause."""
        ago_s = asyncio.get_running_loop().time() - self._paused_until
        return self._exchange.is_cut_unread and ago_s <= UNREAD_MEMORY_S

    async def _write(self, data: bytes) -> None:
        """Pass a part of the body on, and note how long the caller takes."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        await self._responder.write(data)
        now = loop.time()
        if now - began_at >= UNREAD_S:
            self._paused_until = now

    async def _relay(self, target: targetstate.Target) -> Outcome:
        """Relay the response; return the outcome."""
        head = await self._read(self._exchange.read_head)
        if isinstance(head, upstream.Failure):
            return head
        metadata = self._header_codec.parse_response_headers(head.status, head.headers)
        if metadata.fault:
            # The request may have run, and what it says of itself may be wrong, too.
            return upstream.Failure(
                upstream.FailureKind.MALFORMED, True, metadata.fault
            )
        self._observer.on_head(metadata)
        if metadata.was_not_run:
            await read_with_timeout(self._discard_body(), REFUSAL_TIMEOUT_S)
            reason = MISPLACED if metadata.is_wrong_target else f"refused_{head.status}"
            return requeststate.Refusal(
                requeststate.STATUS_NOT_RUN, reason, requeststate.RETRY_AFTER_SHORT_S
            )
        is_success = 200 <= head.status < 300
        is_encoded = head.get("content-encoding") is not None
        if is_success and (is_encoded or not metadata.is_signed):
            return upstream.Failure(upstream.FailureKind.MALFORMED, True, "unsigned")
        is_stream = is_success and self._state.route.is_stream
        if is_stream and not is_event_stream(head):
            # The caller would read events that were not checked.
            return upstream.Failure(
                upstream.FailureKind.MALFORMED, True, "not an event stream"
            )
        kind = requeststate.Started.STREAM if is_stream else requeststate.Started.BODY
        if not self._responder.may_follow(kind):
            detail = f"a {kind.value} after the start of another response"
            return upstream.Failure(upstream.FailureKind.MALFORMED, True, detail)
        if self._exchange.is_unframed:
            self._observer.on_unframed()
        if is_stream:
            return await self._relay_stream(head)
        return await self._relay_buffered(target, head)

    async def _read(
        self,
        read: collections.abc.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, Read]
        ],
    ) -> Read | upstream.Failure:
        """Return what is read; a failure if the request leaves its silent target."""
        if self._silence_timeout_s is None:
            return await read()
        while True:
            result = await read_with_timeout(read(), self._silence_timeout_s)
            if not isinstance(result, upstream.Failure):
                return result
            if result.kind is not upstream.FailureKind.TIMED_OUT:
                return result
            may_leave = await self._observer.may_leave()
            if may_leave and not self._exchange.has_news:
                return result

    async def _discard_body(self) -> None:
        """Read and drop the body of a refusal, so that the connection can be reused.

        The connection is not kept after a body that is longer or takes longer.
        """
        read_bytes = 0
        while read_bytes <= MAX_REFUSAL_BYTES:
            data = await self._exchange.read_body()
            if isinstance(data, upstream.Failure | httpexchange.EndOfBody):
                return
            read_bytes += len(data)

    async def _relay_buffered(
        self, target: targetstate.Target, head: httpexchange.ResponseHead
    ) -> Outcome:
        """Relay a response that is not a stream, buffered if it is small."""
        body = bytearray()
        is_complete = False
        while (
            not is_complete
            and len(body) <= MAX_BUFFERED_BYTES
            and self._exchange.may_hold(len(body))
        ):
            data = await self._read(self._exchange.read_body)
            if isinstance(data, upstream.Failure):
                return data
            if isinstance(data, httpexchange.EndOfBody):
                is_success = 200 <= head.status < 300
                if is_success and self._exchange.is_unframed and not body:
                    kind = upstream.FailureKind.CLOSED
                    return upstream.Failure(kind, True, "closed right after its head")
                if failure := await self._find_broken_end():
                    return failure
                is_complete = True
            else:
                body += data
                self._exchange.mark_used()
                self._exchange.hold(len(body))
        headers = list_response_headers(head)
        if head.status in NOT_RUN_STATUSES:
            # The target did not state that the request was not run; it may have been.
            return requeststate.Refusal(
                requeststate.STATUS_OUTCOME_UNKNOWN, f"status_{head.status}"
            )
        if head.status >= 500 and is_complete:
            return requeststate.TargetError(
                target.target_id, head.status, headers, bytes(body)
            )
        if is_complete:
            await self._responder.send_whole(head.status, headers, bytes(body))
            return requeststate.Completed(head.status)
        return await self._relay_large(head, headers, bytes(body))

    async def _relay_large(
        self, head: httpexchange.ResponseHead, headers: headercodec.Headers, body: bytes
    ) -> Outcome:
        """Relay a large response as it arrives, after the bytes read so far."""
        length = head.get("content-length")
        await self._responder.start(
            head.status, headers, int(length) if length else None
        )
        await self._write(body)
        del body
        self._exchange.hold(0)
        while True:
            data = await self._exchange.read_body()
            if isinstance(data, httpexchange.EndOfBody):
                if failure := await self._find_broken_end():
                    return failure
                await self._responder.finish()
                return requeststate.Completed(head.status)
            if isinstance(data, upstream.Failure):
                return data
            self._exchange.mark_used()
            await self._write(data)

    async def _find_broken_end(self) -> upstream.Failure | None:
        """Return a failure if a response did not end where its target meant it to.

        A response that nothing else bounds also ends when its target's process does, or
        when the target cuts it off because it was not read.
        """
        if self._exchange.is_unframed and self._was_unread:
            kind = upstream.FailureKind.CLOSED
            return upstream.Failure(kind, True, "ended while it was not read")
        if (
            not self._exchange.is_unframed
            or not await self._observer.has_target_ended()
        ):
            return None
        kind = upstream.FailureKind.CLOSED
        return upstream.Failure(kind, True, "target ended with its response")

    async def _relay_stream(self, head: httpexchange.ResponseHead) -> Outcome:
        """Relay the complete events of a stream as they arrive."""
        parser = sse.EventParser()
        has_events = False
        last_event_at = 0.0
        unfinished_bytes = 0
        read = functools.partial(self._exchange.read_body, STREAM_READ_BYTES)
        while True:
            data = await self._read(read)
            if isinstance(data, upstream.Failure):
                return data
            if isinstance(data, httpexchange.EndOfBody):
                is_empty = not has_events and not self._responder.is_started
                if parser.has_incomplete_event or (
                    is_empty and self._exchange.is_unframed
                ):
                    kind = upstream.FailureKind.CLOSED
                    return upstream.Failure(kind, True, "stream ends within an event")
                if failure := await self._find_broken_end():
                    return failure
                await self._start_stream(head)
                await self._responder.finish()
                return requeststate.Completed(head.status)
            read_bytes = unfinished_bytes + len(data)
            received = parser.feed(data)
            unfinished_bytes = parser.buffered_bytes
            read_bytes -= unfinished_bytes
            self._exchange.count_pieces(
                len(received) + read_bytes // STREAM_PIECE_BYTES
            )
            self._state.traits.progress.events += len(received)
            self._exchange.hold(unfinished_bytes)
            if received:
                self._exchange.mark_used()
                now = asyncio.get_running_loop().time()
                if has_events:
                    self._observer.on_event_gap(now - last_event_at)
                else:
                    has_events = True
                    self._observer.on_begun()
                last_event_at = now
            if parser.is_oversized or not self._exchange.may_hold(unfinished_bytes):
                kind = upstream.FailureKind.MALFORMED
                return upstream.Failure(kind, True, "event exceeds the size limit")
            failure = await self._send_events(head, received)
            if failure is None and parser.fault:
                kind = upstream.FailureKind.MALFORMED
                failure = upstream.Failure(kind, True, parser.fault)
            if failure is not None:
                return failure

    async def _start_stream(self, head: httpexchange.ResponseHead) -> None:
        """Send the head of the stream unless an earlier target's was sent."""
        if self._responder.started is requeststate.Started.STREAM:
            return
        self._observer.on_first_event()
        await self._responder.start_stream(head.status, list_response_headers(head))

    async def _send_events(
        self, head: httpexchange.ResponseHead, received: list[sse.Event]
    ) -> upstream.Failure | None:
        """Send the events that the caller lacks.

        A gap after the events that the caller has is a failure of the target.
        """
        last_event_id = self._state.last_event
        new_events = [
            event
            for event in received
            if last_event_id is None or event.event_id > last_event_id
        ]
        if not new_events:
            return None
        first_id = new_events[0].event_id
        if first_id > self._get_max_first_id():
            kind = upstream.FailureKind.MALFORMED
            detail = f"event {first_id} follows event {last_event_id}"
            return upstream.Failure(kind, True, detail)
        await self._start_stream(head)
        await self._write(b"".join(event.data for event in new_events))
        self._state.last_event = new_events[-1].event_id
        return None

    def _get_max_first_id(self) -> int:
        """Return the highest id with which new events may begin."""
        last_event_id = self._state.last_event
        if last_event_id is None:
            # The route does not say whether its targets heed what the caller states.
            last_event_id = self._state.req.metadata.last_event_id
        return MAX_FIRST_ID if last_event_id is None else last_event_id + 1


async def read_with_timeout(
    reading: collections.abc.Coroutine[typing.Any, typing.Any, Read],
    timeout_s: float,
) -> Read | upstream.Failure:
    """Return what is read, or a failure after ``timeout_s``."""
    scope = asyncio.timeout(timeout_s)
    try:
        async with scope:
            return await reading
    except TimeoutError:
        if not scope.expired():
            raise
        detail = f"no data for {timeout_s} s"
        return upstream.Failure(upstream.FailureKind.TIMED_OUT, True, detail)


def is_event_stream(head: httpexchange.ResponseHead) -> bool:
    """Return whether the media type of a response is that of event streams."""
    media_type = (head.get("content-type") or "").partition(";")[0]
    return media_type.strip().lower() == EVENT_STREAM


def list_response_headers(head: httpexchange.ResponseHead) -> headercodec.Headers:
    """Return the headers of a response that are relayed to the caller."""
    options = headercodec.list_connection_options(head.headers)
    dropped = HOP_BY_HOP_HEADERS | options if options else HOP_BY_HOP_HEADERS
    return [(n, v) for n, v in head.headers if n not in dropped]
