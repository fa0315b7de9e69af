"""Reads a target's answer and sends it on to the caller.

A stream's head goes to the caller with its first whole event, so a stream that fails
before can be tried elsewhere. Small answers are sent on when they are whole, for the
same reason; larger ones as they arrive.
"""

import asyncio
import collections.abc
import typing

from sardinesaddle.direct import dialect, events, requeststate, targetpool, upstream

SILENCE_S: typing.Final = 1.2  # callers leave a silent stream after 2 s
MAX_WHOLE_BYTES: typing.Final = 256 * 1024  # answers up to this size are sent whole
PROMISES: typing.Final = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that the request has not run."""

HOP_HEADERS: typing.Final = frozenset(
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


class AnswerRelay:
    """Sends one answer on; ``on_first`` is called with a stream's first event."""

    def __init__(
        self,
        job: requeststate.RequestState,
        exchange: upstream.Exchange,
        out: requeststate.Responder,
        speak: dialect.Dialect,
        on_first: collections.abc.Callable[[], None],
    ) -> None:
        self._work = job
        self._exchange = exchange
        self._out = out
        self._dialect = speak
        self._on_first = on_first
        # Silence is no reason to end work that may not be repeated.
        self._silence_s = SILENCE_S if job.may_run_twice else None

    async def run(self, target: targetpool.Target) -> Outcome:
        """Read the answer and send it on, or say why it is not sent on."""
        head = await read_in_time(self._exchange.read_head(), self._silence_s)
        if isinstance(head, upstream.Failure):
            return head
        terms = self._dialect.read_answer(head.status, head.headers)
        if terms.is_not_run:
            await self._read_rest()
            reason = "misplaced" if terms.is_misplaced else f"refused_{head.status}"
            return requeststate.Refusal(
                requeststate.STATUS_NOT_RUN, reason, requeststate.RETRY_AFTER_SHORT_S
            )
        is_good = 200 <= head.status < 300
        is_encoded = head.get("content-encoding") is not None
        if is_good and (is_encoded or not terms.is_signed):
            return upstream.Failure(upstream.FailureKind.MALFORMED, True, "unsigned")
        content_type = head.get("content-type") or ""
        if is_good and self._work.route.is_stream and "event-stream" in content_type:
            return await self._relay_stream(head)
        return await self._relay_whole(target, head)

    async def _read_rest(self) -> None:
        """Read the body of a refusal, so that the connection can be kept."""
        while True:
            data = await read_in_time(self._exchange.read_body(), SILENCE_S)
            if isinstance(data, upstream.Failure | upstream.End):
                return

    async def _relay_whole(
        self, target: targetpool.Target, head: upstream.Head
    ) -> Outcome:
        """Send on an answer that is no stream."""
        body = bytearray()
        is_whole = False
        while not is_whole and len(body) <= MAX_WHOLE_BYTES:
            data = await read_in_time(self._exchange.read_body(), self._silence_s)
            if isinstance(data, upstream.Failure):
                return data
            if isinstance(data, upstream.End):
                is_whole = True
            else:
                body += data
        if self._out.is_started:
            # The first target's head stands; another kind of answer cannot follow it.
            return upstream.Failure(upstream.FailureKind.MALFORMED, True, "no stream")
        headers = list_answer_headers(head)
        if head.status in PROMISES:
            # Without the target's word that it did not run, the promise may be false.
            return requeststate.Refusal(
                requeststate.STATUS_OUTCOME_UNKNOWN, f"status_{head.status}"
            )
        if head.status >= 500 and is_whole:
            return requeststate.TargetError(
                target.ident, head.status, headers, bytes(body)
            )
        if is_whole:
            await self._out.send_whole(head.status, headers, bytes(body))
            return requeststate.Completed(head.status)
        return await self._relay_rest(head, headers, bytes(body))

    async def _relay_rest(
        self, head: upstream.Head, headers: dialect.Headers, body: bytes
    ) -> Outcome:
        """Send on a large answer as it arrives."""
        length = head.get("content-length")
        await self._out.start(head.status, headers, int(length) if length else None)
        await self._out.write(body)
        while True:
            data = await self._exchange.read_body()
            if isinstance(data, upstream.End):
                await self._out.finish()
                return requeststate.Completed(head.status)
            if isinstance(data, upstream.Failure):
                return data
            await self._out.write(data)

    async def _relay_stream(self, head: upstream.Head) -> Outcome:
        """Send on a stream's whole events as they arrive."""
        splitter = events.EventSplitter()
        while True:
            data = await read_in_time(self._exchange.read_body(), self._silence_s)
            if isinstance(data, upstream.Failure):
                return data
            if isinstance(data, upstream.End):
                if splitter.rest.strip():
                    kind = upstream.FailureKind.CLOSED
                    return upstream.Failure(kind, True, "ends inside an event")
                await self._start_stream(head)
                await self._out.finish()
                return requeststate.Completed(head.status)
            whole = splitter.feed(data)
            if splitter.is_oversized:
                kind = upstream.FailureKind.MALFORMED
                return upstream.Failure(kind, True, "event over the limit")
            failure = await self._send_events(head, whole)
            if failure is not None:
                return failure

    async def _start_stream(self, head: upstream.Head) -> None:
        """Send a stream's head unless an earlier target's was sent."""
        if not self._out.is_started:
            self._on_first()
            await self._out.start(head.status, list_answer_headers(head), None)

    async def _send_events(
        self, head: upstream.Head, whole: list[events.Event]
    ) -> upstream.Failure | None:
        """Send on the events that the caller lacks; a gap is a failure."""
        last = self._work.last_event
        fresh = []
        for one in whole:
            if one.number is not None and last is not None:
                if one.number <= last:
                    continue
                if one.number != last + 1:
                    kind = upstream.FailureKind.MALFORMED
                    return upstream.Failure(kind, True, f"gap after event {last}")
            if one.number is not None:
                last = one.number
            fresh.append(one)
        if fresh:
            await self._start_stream(head)
            await self._out.write(b"".join(one.data for one in fresh))
            self._work.last_event = last
        return None


Read = typing.TypeVar("Read")


async def read_in_time(
    reading: collections.abc.Coroutine[typing.Any, typing.Any, Read],
    silence_s: float | None,
) -> Read | upstream.Failure:
    """Return what is read, or a failure if nothing comes for a while."""
    if silence_s is None:
        return await reading
    scope = asyncio.timeout(silence_s)
    try:
        async with scope:
            return await reading
    except TimeoutError:
        if not scope.expired():
            raise
        detail = f"silent for {silence_s} s"
        return upstream.Failure(upstream.FailureKind.SILENT, True, detail)


def list_answer_headers(head: upstream.Head) -> dialect.Headers:
    """Return the headers of an answer that go to the caller."""
    return [(n, v) for n, v in head.headers if n not in HOP_HEADERS]
