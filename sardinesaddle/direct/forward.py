"""Carries a request from a caller to a target and its answer back.

The steps are filters in a row: find the route, identify the account, bound the time,
choose a target, exchange, and repeat where that is allowed. A request that may run
once is sent once. "Not run" (503) is said only if nothing was sent or the target
said that it did not run it; otherwise an outcome that is not known is 502 or 504.

A stream's head goes to the caller with its first whole event, so a stream that fails
before can be tried elsewhere. A stream that breaks off later goes on at another
target after the last whole event, if its route allows that; if not, the caller's
connection is aborted, so that it does not look complete.
"""

import abc
import asyncio
import collections.abc
import dataclasses
import random
import typing

import loguru

from sardinesaddle.direct import (
    catalog,
    counts,
    dialect,
    events,
    knowledge,
    retrywindow,
    targetpool,
    upstream,
)

BODY_METHODS: typing.Final = frozenset({"POST", "PUT", "PATCH"})
CONNECT_TIMEOUT_S: typing.Final = 0.3  # two round trips and a lost packet's resend
MAX_CONNECTS: typing.Final = 4
SILENCE_S: typing.Final = 1.2  # callers leave a silent stream after 2 s
QUEUE_S: typing.Final = 1.5  # callers leave a silent stream after 2 s
QUEUE_POLL_S: typing.Final = 0.025
MIN_SEND_S: typing.Final = 0.02  # less time left than this serves nobody
MAX_WHOLE_BYTES: typing.Final = 256 * 1024  # answers up to this size are sent whole
RETRY_SOON_S: typing.Final = 0.3

STATUS_NOT_RUN: typing.Final = 503
STATUS_UNKNOWN: typing.Final = 502
STATUS_TIMEOUT: typing.Final = 504
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


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request; ``arrived_at`` is the loop's time."""

    method: str
    host: str
    path: str
    headers: dialect.Headers
    body: bytes
    arrived_at: float
    terms: dialect.CallerTerms


class Responder(abc.ABC):
    """The caller's end of a request."""

    is_started = False

    @abc.abstractmethod
    async def send_whole(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send a whole answer."""

    @abc.abstractmethod
    async def start(
        self, status: int, headers: list[tuple[str, str]], length: int | None
    ) -> None:
        """Send the start of an answer."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send more of an answer's body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the answer."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection so that the answer does not look complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A sentinel: an answer of the entry's own, with the reason for the log."""

    status: int
    reason: str
    retry_after_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Work:
    """A request on its way: its route, its time, and what has been tried."""

    req: Request
    route: catalog.Route
    service: str
    account: catalog.Account | None
    ends_at: float
    sends: int = 0
    may_have_run: bool = False
    connects: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    last_event: int | None = None
    log: list[str] = dataclasses.field(default_factory=list)
    first_at: float = 0.0

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.repeat is catalog.Repeat.FREELY


class Forwarder:
    """Forwards requests of an entry."""

    def __init__(
        self,
        know: knowledge.Knowledge,
        targets: targetpool.TargetPool,
        pool: upstream.Pool,
        speak: dialect.Dialect,
        bounds: knowledge.Bounds,
        counted: counts.EntryCounts,
        rng: random.Random,
    ) -> None:
        self._know = know
        self._dialect = speak
        self._targets = targets
        self._pool = pool
        self._bounds = bounds
        self._counts = counted
        self._rng = rng
        self._windows: dict[str, retrywindow.RetryWindow] = {}

    async def handle(self, req: Request, out: Responder) -> None:
        """Answer one request."""
        loop = asyncio.get_running_loop()
        work = self._prepare(req)
        if isinstance(work, Refused):
            await self._refuse(req, out, work, None)
            return
        self._get_window(work.service).on_request(loop.time())
        try:
            async with asyncio.timeout_at(work.ends_at):
                result = await self._attempt_all(work, out)
        except TimeoutError:
            status = STATUS_TIMEOUT if work.may_have_run else STATUS_NOT_RUN
            result = Refused(status, "timeout", RETRY_SOON_S)
        except asyncio.CancelledError:
            self._log(req, work, "caller_left", 0)
            raise
        if result is not None:
            await self._refuse(req, out, result, work)

    def _prepare(self, req: Request) -> Work | Refused:
        """Find the route and the account, and bound the time."""
        cat = self._know.catalog
        if cat is None:
            return Refused(STATUS_NOT_RUN, "no_configuration", RETRY_SOON_S)
        age_s = self._know.compute_config_age()
        route = cat.find_route(req.host, req.path)
        if route is None:
            if age_s > self._bounds.doubtful_age_s:
                return Refused(STATUS_NOT_RUN, "route_unknown_stale", RETRY_SOON_S)
            return Refused(404, "no_route")
        key = req.terms.key
        account = None if key is None else cat.accounts.get(key)
        if cat.has_accounts and not route.is_anonymous:
            if age_s > self._bounds.key_age_s:
                return Refused(STATUS_NOT_RUN, "keys_stale", RETRY_SOON_S)
            if account is None:
                if age_s > self._bounds.doubtful_age_s:
                    return Refused(STATUS_NOT_RUN, "key_unknown_stale", RETRY_SOON_S)
                return Refused(401, "unknown_key")
        patience_s = req.terms.patience_s
        limit_s = min(route.timeout_s, patience_s or route.timeout_s)
        service = catalog.pick_service(route, self._rng.random())
        ends_at = req.arrived_at + limit_s
        return Work(req, route, service, account, ends_at)

    def _get_window(self, service: str) -> retrywindow.RetryWindow:
        """Return the service's window of repeats."""
        window = self._windows.get(service)
        if window is None:
            bounds = self._bounds
            window = retrywindow.RetryWindow(
                bounds.repeat_ratio, bounds.repeat_allowance, bounds.repeat_window_s
            )
            self._windows[service] = window
        return window

    async def _attempt_all(self, work: Work, out: Responder) -> Refused | None:
        """Try targets until the request is answered or given up."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            target = self._targets.choose(
                now,
                work.service,
                work.tried,
                self._know.count_entries(),
                self._rng.random,
            )
            if target is None:
                if self._may_wait(work, now):
                    await asyncio.sleep(QUEUE_POLL_S)
                    continue
                return self._give_up(work, "no_target")
            outcome = await self._attempt(work, target, out)
            if outcome is None or outcome.status == STATUS_TIMEOUT:
                return outcome
            work.log.append(f"{target.ident}:{outcome.reason}")
            work.tried.add(target.ident)
            refusal = self._check_repeat(work, outcome)
            if refusal is not None:
                if out.is_started:
                    self._log(work.req, work, f"broken:{refusal.reason}", 0)
                    out.abort()
                    return None
                return refusal

    def _may_wait(self, work: Work, now: float) -> bool:
        """Tell whether a target may yet come up in time for the request."""
        if now >= min(work.req.arrived_at + QUEUE_S, work.ends_at - MIN_SEND_S):
            return False
        if self._targets.has_hope(now, work.service):
            return True
        return False

    def _check_repeat(self, work: Work, outcome: Refused) -> Refused | None:
        """Return None if the request may be sent again, else the final answer."""
        if outcome.reason == "connect":
            work.connects += 1
            if work.connects < MAX_CONNECTS:
                return None
            return self._give_up(work, outcome.reason)
        if work.sends >= work.route.max_attempts:
            return self._give_up(work, outcome.reason)
        if outcome.status != STATUS_NOT_RUN and not work.may_repeat:
            return outcome
        now = asyncio.get_running_loop().time()
        if work.ends_at - now < MIN_SEND_S:
            return self._give_up(work, outcome.reason)
        window = self._get_window(work.service)
        if not window.spend(now, self._know.count_entries()):
            return self._give_up(work, outcome.reason)
        self._counts.add_repeat(work.service)
        return None

    def _give_up(self, work: Work, reason: str) -> Refused:
        """Return the answer to a request that no target takes."""
        if work.may_have_run:
            return Refused(STATUS_UNKNOWN, reason)
        return Refused(STATUS_NOT_RUN, reason, RETRY_SOON_S)

    async def _attempt(
        self, work: Work, target: targetpool.Target, out: Responder
    ) -> Refused | None:
        """Send the request to one target; return None if it was answered."""
        loop = asyncio.get_running_loop()
        entry = target.entry
        key = (entry.host, entry.port, entry.ident)
        self._targets.on_send(target)
        conn: upstream.Connection | upstream.Failure | None = None
        exchange: upstream.Exchange | None = None
        try:
            conn = await self._pool.acquire(key, loop.time(), CONNECT_TIMEOUT_S)
            if isinstance(conn, upstream.Failure):
                self._note_failure(target, conn)
                return Refused(STATUS_NOT_RUN, "connect", RETRY_SOON_S)
            exchange = upstream.Exchange(
                conn, self._dialect.ident_header, work.req.terms.ident
            )
            headers = self._make_headers(work, target)
            exchange.send(work.req.method, work.req.path, headers, work.req.body)
            work.sends += 1
            had_maybe_run, work.may_have_run = work.may_have_run, True
            outcome = await self._relay_answer(work, target, exchange, out)
            if isinstance(outcome, upstream.Failure):
                self._note_failure(target, outcome)
                return Refused(STATUS_UNKNOWN, outcome.kind.value)
            if outcome is not None and outcome.status == STATUS_NOT_RUN:
                work.may_have_run = had_maybe_run
            return outcome
        finally:
            self._targets.on_end(target)
            if exchange is not None and isinstance(conn, upstream.Connection):
                if exchange.finish(loop.time()):
                    self._pool.release(key, conn)

    def _note_failure(
        self, target: targetpool.Target, failure: upstream.Failure
    ) -> None:
        """Take note of a broken exchange."""
        now = asyncio.get_running_loop().time()
        is_sure = failure.kind is upstream.FailureKind.CONNECT
        if self._targets.on_failure(now, target, is_sure):
            loguru.logger.info(
                "event=target_ejected target={} reason={} streak={} for_s={:.1f}",
                target.ident,
                failure.kind.value,
                target.streak,
                target.ejected_until - now,
            )

    def _make_headers(
        self, work: Work, target: targetpool.Target
    ) -> list[tuple[str, str]]:
        """Return the headers for the target."""
        req = work.req
        dropped = HOP_HEADERS
        for value in (v for n, v in req.headers if n.lower() == "connection"):
            dropped |= {one.strip().lower() for one in value.split(",")}
        kept = [(n, v) for n, v in req.headers if n.lower() not in dropped]
        now = asyncio.get_running_loop().time()
        terms = dialect.SendTerms(
            target=target.ident,
            left_s=work.ends_at - now,
            account=None if work.account is None else work.account.name,
            last_event=work.last_event,
            urgency=None,
        )
        out = self._dialect.write_request(kept, terms)
        if req.body or req.method in BODY_METHODS:
            out.append(("Content-Length", str(len(req.body))))
        return out

    async def _relay_answer(
        self,
        work: Work,
        target: targetpool.Target,
        exchange: upstream.Exchange,
        out: Responder,
    ) -> Refused | upstream.Failure | None:
        """Read the answer and send it on, or say why it is not sent on."""
        silence_s = SILENCE_S if work.may_repeat else None
        head = await read_in_time(exchange.read_head(), silence_s)
        if isinstance(head, upstream.Failure):
            return head
        terms = self._dialect.read_answer(head.status, head.headers)
        if terms.is_not_run:
            return await self._read_refusal(target, exchange, head, terms)
        is_good = 200 <= head.status < 300
        is_encoded = head.get("content-encoding") is not None
        if is_good and (is_encoded or not terms.is_signed):
            return upstream.Failure(upstream.FailureKind.MALFORMED, True, "unsigned")
        content_type = head.get("content-type") or ""
        if is_good and work.route.is_stream and "event-stream" in content_type:
            return await self._relay_stream(work, target, exchange, head, out)
        return await self._relay_whole(work, target, exchange, head, out)

    async def _read_refusal(
        self,
        target: targetpool.Target,
        exchange: upstream.Exchange,
        head: upstream.Head,
        terms: dialect.AnswerTerms,
    ) -> Refused:
        """Take note of an answer that says the request was not run."""
        now = asyncio.get_running_loop().time()
        while True:
            data = await read_in_time(exchange.read_body(), SILENCE_S)
            if isinstance(data, upstream.Failure):
                break  # The head has said all that matters.
            if isinstance(data, upstream.End):
                break
        if terms.is_misplaced:
            self._targets.on_misplaced(target)
            return Refused(STATUS_NOT_RUN, "misplaced", RETRY_SOON_S)
        self._targets.on_full(now, target)
        return Refused(STATUS_NOT_RUN, f"refused_{head.status}", RETRY_SOON_S)

    async def _relay_whole(
        self,
        work: Work,
        target: targetpool.Target,
        exchange: upstream.Exchange,
        head: upstream.Head,
        out: Responder,
    ) -> Refused | upstream.Failure | None:
        """Send on an answer that is no stream; small ones only when whole."""
        body = bytearray()
        while len(body) <= MAX_WHOLE_BYTES:
            silence_s = SILENCE_S if work.may_repeat else None
            data = await read_in_time(exchange.read_body(), silence_s)
            if isinstance(data, upstream.Failure):
                return data
            if isinstance(data, upstream.End):
                break
            body += data
        if out.is_started:
            # The first target's head stands; another kind of answer cannot follow it.
            return upstream.Failure(upstream.FailureKind.MALFORMED, True, "no stream")
        if head.status >= 500:
            self._targets.on_error_answer(target)
            if work.may_repeat and work.sends < work.route.max_attempts:
                if self._check_repeat(work, Refused(STATUS_UNKNOWN, "")) is None:
                    work.log.append(f"{target.ident}:error_{head.status}")
                    work.tried.add(target.ident)
                    return await self._attempt_other(work, target, head, body, out)
        else:
            self._targets.on_success(target)
        await self._send_answer(work, target, exchange, head, bytes(body), out)
        return None

    async def _attempt_other(
        self,
        work: Work,
        target: targetpool.Target,
        head: upstream.Head,
        body: bytearray,
        out: Responder,
    ) -> Refused | None:
        """Try another target after a target's own error; keep the error's answer."""
        now = asyncio.get_running_loop().time()
        entries = self._know.count_entries()
        other = self._targets.choose(
            now, work.service, work.tried, entries, self._rng.random
        )
        if other is not None:
            outcome = await self._attempt(work, other, out)
            if outcome is None:
                return None
            work.log.append(f"{other.ident}:{outcome.reason}")
        if out.is_started:
            out.abort()
            return None
        await self._send_whole(work, target, head, bytes(body), out)
        return None

    async def _send_answer(
        self,
        work: Work,
        target: targetpool.Target,
        exchange: upstream.Exchange,
        head: upstream.Head,
        body: bytes,
        out: Responder,
    ) -> None:
        """Send a whole answer, or a large one as it arrives."""
        if len(body) <= MAX_WHOLE_BYTES:
            await self._send_whole(work, target, head, body, out)
            return
        length = head.get("content-length")
        await out.start(
            head.status, list_answer_headers(head), int(length) if length else None
        )
        await out.write(body)
        while True:
            data = await exchange.read_body()
            if isinstance(data, upstream.End):
                await out.finish()
                self._log(work.req, work, "answered", head.status, target)
                return
            if isinstance(data, upstream.Failure):
                self._log(work.req, work, f"broken:{data.kind.value}", 0, target)
                out.abort()
                return
            await out.write(data)

    async def _send_whole(
        self,
        work: Work,
        target: targetpool.Target,
        head: upstream.Head,
        body: bytes,
        out: Responder,
    ) -> None:
        """Send a whole answer to the caller."""
        if head.status in PROMISES:
            # Without the target's word that it did not run, the promise may be false.
            refusal = Refused(STATUS_UNKNOWN, f"status_{head.status}")
            await self._refuse(work.req, out, refusal, work)
            return
        await out.send_whole(head.status, list_answer_headers(head), body)
        self._log(work.req, work, "answered", head.status, target)

    async def _relay_stream(
        self,
        work: Work,
        target: targetpool.Target,
        exchange: upstream.Exchange,
        head: upstream.Head,
        out: Responder,
    ) -> Refused | upstream.Failure | None:
        """Send on a stream's whole events as they arrive."""
        splitter = events.EventSplitter()
        silence_s = SILENCE_S if work.may_repeat else None
        while True:
            data = await read_in_time(exchange.read_body(), silence_s)
            if isinstance(data, upstream.Failure):
                return data
            if isinstance(data, upstream.End):
                if splitter.rest.strip():
                    kind = upstream.FailureKind.CLOSED
                    return upstream.Failure(kind, True, "ends inside an event")
                if not out.is_started:
                    await out.start(head.status, list_answer_headers(head), None)
                await out.finish()
                self._targets.on_success(target)
                self._log(work.req, work, "answered", head.status, target)
                return None
            whole = splitter.feed(data)
            if splitter.is_oversized:
                kind = upstream.FailureKind.MALFORMED
                return upstream.Failure(kind, True, "event over the limit")
            fresh = self._drop_repeated(work, whole)
            if isinstance(fresh, upstream.Failure):
                return fresh
            if not fresh:
                continue
            if not out.is_started:
                work.first_at = asyncio.get_running_loop().time()
                self._counts.add_first(
                    work.service, work.first_at - work.req.arrived_at
                )
                await out.start(head.status, list_answer_headers(head), None)
            await out.write(b"".join(one.data for one in fresh))
            for one in fresh:
                if one.number is not None:
                    work.last_event = one.number

    def _drop_repeated(
        self, work: Work, whole: list[events.Event]
    ) -> list[events.Event] | upstream.Failure:
        """Return the events that the caller lacks; a gap is a failure."""
        last = work.last_event
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
        return fresh

    async def _refuse(
        self, req: Request, out: Responder, refusal: Refused, work: Work | None
    ) -> None:
        """Send an answer of the entry's own, or break off one that has begun."""
        self._counts.add_refusal(refusal.reason, refusal.status)
        self._log(req, work, refusal.reason, refusal.status)
        if out.is_started:
            out.abort()
            return
        headers = []
        if req.terms.ident:
            headers.append((self._dialect.ident_header, req.terms.ident))
        if refusal.retry_after_s > 0.0:
            headers.append(("Retry-After", f"{refusal.retry_after_s:.2f}"))
        await out.send_whole(refusal.status, headers, b"")

    def _log(
        self,
        req: Request,
        work: Work | None,
        outcome: str,
        status: int,
        target: targetpool.Target | None = None,
    ) -> None:
        """Write the line that explains how a request ended."""
        now = asyncio.get_running_loop().time()
        service = work.service if work else ""
        self._counts.add_answer(service, status, now - req.arrived_at)
        loguru.logger.info(
            "event=request id={} outcome={} status={} route={} service={} target={}"
            " sends={} tried={} first_ms={:.0f} ms={:.0f} left_ms={:.0f}"
            " config={} config_age_s={:.2f}",
            req.terms.ident,
            outcome,
            status,
            work.route.name if work else "",
            service,
            target.ident if target else "",
            work.sends if work else 0,
            ",".join(work.log) if work else "",
            (work.first_at - req.arrived_at) * 1000 if work and work.first_at else 0,
            (now - req.arrived_at) * 1000,
            (work.ends_at - now) * 1000 if work else 0,
            self._know.config_version,
            self._know.compute_config_age(),
        )


Read = typing.TypeVar("Read")


async def read_in_time(
    reading: collections.abc.Coroutine[typing.Any, typing.Any, Read],
    silence_s: float | None,
) -> Read | upstream.Failure:
    """Return what is read, or a failure if nothing comes for a while."""
    if silence_s is None:
        return await reading
    deadline = asyncio.get_running_loop().time() + silence_s
    scope = asyncio.timeout_at(deadline)
    try:
        async with scope:
            return await reading
    except TimeoutError:
        if not scope.expired():
            raise
        detail = f"silent for {silence_s} s"
        return upstream.Failure(upstream.FailureKind.SILENT, True, detail)


def list_answer_headers(head: upstream.Head) -> list[tuple[str, str]]:
    """Return the headers of an answer that go to the caller."""
    return [(n, v) for n, v in head.headers if n not in HOP_HEADERS]
