"""Requests around a planned stop of an entry, and what LOST says of each of them.

A plan lists requests by when they are sent, relative to SIGTERM. Engines do what the
path of a request says, see ``Engine``. The record of a request says when it was sent
and passed on, and what its caller got. ``StopRecord.is_lost`` states the users' rule.
"""

import asyncio
import collections.abc
import dataclasses
import itertools
import typing

from sardinesaddle.platform import headers
from test import directfleet as df

GRACE_S: typing.Final = 8.0  # from SIGTERM to SIGKILL
LAST_SIXTH_S: typing.Final = GRACE_S * 5 / 6
EXCUSED_S: typing.Final = 3.0  # what is sent by then may still run in the last sixth
READ_SLACK_S: typing.Final = 0.2  # what is closed later than this was read
TIMEOUT_S: typing.Final = 20.0  # of all routes
OPENING_S: typing.Final = 1.0  # over which kept connections are opened, before the rest
BODY: typing.Final = b"question" * 8
EVENT_COUNT: typing.Final = 10  # of a stream


class Body:
    """How the body of a request is sent."""

    LENGTH: typing.Final = "length"
    CHUNKED: typing.Final = "chunked"
    SLOW: typing.Final = "slow"  # the end of the body comes SLOW_BODY_S after the head
    PIPELINED: typing.Final = "pipelined"  # two requests at once on the connection


SLOW_BODY_S: typing.Final = 1.0
PROMISES: typing.Final = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(slots=True)
class StopRecord:
    """A request of a plan, and what became of it; times are relative to SIGTERM.

    ``path`` is the route and the script of the engine. ``sent_at`` is when the last
    byte was sent, ``passed_at`` when engines received the request. ``at_work_until`` is
    when an engine saw the connection closed, or ended by itself.
    """

    path: str
    begins_at: float
    body: str = Body.LENGTH
    is_kept: bool = False
    entry: int = 0
    deadline_s: float = 18.0
    attempt_id: str = ""
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    is_complete: bool = False
    is_unsent: bool = False
    retry_after: str = ""
    passed_at: list[float] = dataclasses.field(default_factory=list)
    refused_at: list[float] = dataclasses.field(default_factory=list)
    deadlines_s: list[float] = dataclasses.field(default_factory=list)
    at_work_until: float = 0.0
    second: "StopRecord | None" = None

    @property
    def may_have_run(self) -> bool:
        """Whether an engine got the request and did not state that it did not run."""
        return len(self.passed_at) > len(self.refused_at)

    @property
    def result(self) -> str:
        """What the caller got: "whole", a status, "cut", "closed" or "unsent"."""
        if self.is_unsent:
            return "unsent"
        if self.is_complete:
            return "whole" if self.status == 200 else str(self.status)
        return "cut" if self.status else "closed"

    @property
    def is_excused(self) -> bool:
        """Whether the users excuse that the request got no complete answer."""
        is_late = self.ended_at - self.begins_at >= self.deadline_s
        was_long = self.sent_at <= EXCUSED_S and self.ended_at >= LAST_SIXTH_S
        return is_late or was_long

    @property
    def is_unanswered(self) -> bool:
        """Whether a request that was read whole got no complete answer."""
        was_read = bool(self.passed_at) or self.ended_at - self.sent_at > READ_SLACK_S
        return not self.is_unsent and not self.is_complete and was_read

    @property
    def is_lost(self) -> bool:
        """Whether this is LOST by the rule on planned work."""
        return self.is_unanswered and not self.is_excused


class Engine:
    """Serves the requests of a plan as the second part of their path says.

    ``d2.5`` takes 2.5 s, or spreads the events of a stream over them; ``q2.0d1.0``
    refuses the first send after 2 s or at its deadline, and takes 1 s at the next;
    ``p1.5`` pauses for 1.5 s before the third event, ``hang`` never responds, ``wait``
    stays in the queue until its deadline and is refused then. At the deadline that it
    was given, an engine stops with its own 504.
    """

    def __init__(self, stop: "PlannedStop") -> None:
        self._stop = stop

    async def respond(
        self,
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Respond as the path says."""
        record = self._stop.records_by_id.get(request.attempt_id)
        if record is None:
            return await df.respond_with_name(target, request, writer)
        now = self._stop.now
        record.passed_at.append(now())
        deadline_s = int(request.headers[headers.DEADLINE.lower()]) / 1000
        record.deadlines_s.append(deadline_s)
        script = request.path.split("/")[2]
        try:
            if script.startswith("q"):
                wait_s, _, work_s = script[1:].partition("d")
                script = f"d{work_s}"
                if len(record.passed_at) == 1:
                    await asyncio.sleep(min(float(wait_s), deadline_s))
                    record.refused_at.append(now())
                    df.write_refusal(writer, 503)
                    return True
            if script == "wait":
                await asyncio.sleep(deadline_s)
                record.refused_at.append(now())
                df.write_refusal(writer, 503)
                return True
            async with asyncio.timeout(deadline_s):
                return await self._run(script, request, writer)
        except TimeoutError:
            if request.path.startswith(("/stream/", "/unique/")):
                return False
            writer.write(df.make_response(request.attempt_id, b"late", 504))
            return True
        finally:
            record.at_work_until = now()

    async def _run(
        self, script: str, request: df.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Do the work that the script names."""
        if script == "hang":
            await asyncio.sleep(60.0)
        seconds = float(script[1:])
        if not request.path.startswith(("/stream/", "/unique/")):
            await asyncio.sleep(seconds)
            writer.write(df.make_response(request.attempt_id))
            return True
        first = int(request.headers.get("last-event-id", "0")) + 1
        writer.write(df.make_stream_head(request.attempt_id))
        for number in range(first, EVENT_COUNT + 1):
            if script[0] == "p":
                await asyncio.sleep(seconds if number == 3 else 0.02)
            else:
                await asyncio.sleep(seconds / EVENT_COUNT)
            writer.write(df.encode_chunk(df.make_sse_event(number)))
        writer.write(df.encode_chunk(b""))
        return True


class PlannedStop:
    """Plays a plan against a fleet; ``now`` counts from SIGTERM."""

    def __init__(
        self, fleet: df.Fleet, plan: collections.abc.Iterable[StopRecord]
    ) -> None:
        self._fleet = fleet
        self.records: list[StopRecord] = []
        self.records_by_id: dict[str, StopRecord] = {}
        for record in plan:
            self._add(record)
            if record.body == Body.PIPELINED:
                record.second = dataclasses.replace(
                    record, passed_at=[], refused_at=[], deadlines_s=[]
                )
                self._add(record.second)
        earliest = min((r.begins_at for r in self.records), default=0.0)
        self._lead_s = OPENING_S + 0.5 - min(earliest, 0.0)
        self._signalled_at = 0.0

    def _add(self, record: StopRecord) -> None:
        """Give a record its id."""
        record.attempt_id = f"a{len(self.records):04x}"
        self.records.append(record)
        self.records_by_id[record.attempt_id] = record

    def now(self) -> float:
        """Return the seconds since SIGTERM."""
        return asyncio.get_running_loop().time() - self._signalled_at

    async def play(
        self, stop_entry: collections.abc.Callable[[], object]
    ) -> list[StopRecord]:
        """Send all requests, stop the entry meanwhile, and return the records."""
        loop = asyncio.get_running_loop()
        self._signalled_at = loop.time() + self._lead_s
        seconds = {id(r.second) for r in self.records if r.second is not None}
        sending = [
            loop.create_task(self._send(record))
            for record in self.records
            if id(record) not in seconds
        ]
        await asyncio.sleep(self._lead_s)
        self._signalled_at = loop.time()
        stop_entry()
        await asyncio.gather(*sending)
        return self.records

    async def _send(self, record: StopRecord) -> None:
        """Send a request at its time and read the response."""
        conn: df.ClientConnection | None = None
        both = [record] + ([record.second] if record.second else [])
        if record.is_kept:
            share = self.records.index(record) / len(self.records)
            await asyncio.sleep(OPENING_S * share)
            conn = await self._fleet.connect(record.entry)
            warm_up = await self._fleet.send_request("/free/", conn=conn)
            if not warm_up.is_complete or "connection" in warm_up.headers:
                # Set up so late, beside other load, that the entry closes it.
                conn[1].close()
        await asyncio.sleep(max(record.begins_at - self.now(), 0))
        try:
            if conn is None:
                conn = await self._fleet.connect(record.entry)
            elif conn[0].at_eof() or conn[1].is_closing():
                raise ConnectionResetError
            await self._write(conn[1], record, both)
        except OSError:
            for each in both:
                each.is_unsent = True
            if conn is not None:
                conn[1].transport.abort()
            return
        for each in both:
            each.sent_at = self.now()
        for each in both:
            await self._read(conn[0], each)
            if not each.is_complete:
                break
        for each in both:
            each.ended_at = each.ended_at or self.now()
        conn[1].transport.abort()

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        record: StopRecord,
        both: list[StopRecord],
    ) -> None:
        """Write the request, or two at once."""
        if record.body == Body.PIPELINED:
            writer.write(b"".join(self._encode(each) + BODY for each in both))
        elif record.body == Body.LENGTH:
            writer.write(self._encode(record) + BODY)
        elif record.body == Body.CHUNKED:
            pieces = (BODY[:20], BODY[20:], b"")
            writer.write(
                self._encode(record) + b"".join(df.encode_chunk(p) for p in pieces)
            )
        else:
            writer.write(self._encode(record) + BODY[:20])
            await asyncio.sleep(SLOW_BODY_S)
            if writer.is_closing():
                raise ConnectionResetError
            writer.write(BODY[20:])
        await writer.drain()

    def _encode(self, record: StopRecord) -> bytes:
        """Return the head of a request."""
        is_chunked = record.body == Body.CHUNKED
        framing = (
            "Transfer-Encoding: chunked"
            if is_chunked
            else f"Content-Length: {len(BODY)}"
        )
        lines = (
            f"POST {record.path} HTTP/1.1",
            "Host: h.example",
            f"{headers.ATTEMPT_ID}: {record.attempt_id}",
            f"{headers.DEADLINE}: {record.deadline_s * 1000:.0f}",
            "Authorization: Bearer key-a",
            framing,
            "",
            "",
        )
        return "\r\n".join(lines).encode()

    async def _read(self, reader: asyncio.StreamReader, record: StopRecord) -> None:
        """Read a response to its end, or to the end of the connection."""
        try:
            async with asyncio.timeout(record.deadline_s + 1.0):
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                record.status = int(lines[0].split()[1])
                fields = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:])
                }
                record.retry_after = fields.get("retry-after", "")
                if "chunked" in fields.get("transfer-encoding", ""):
                    while size := int(await reader.readuntil(b"\r\n"), 16):
                        await reader.readexactly(size + 2)
                    await reader.readexactly(2)
                else:
                    await reader.readexactly(int(fields["content-length"]))
                record.is_complete = True
        except (OSError, EOFError, TimeoutError):
            pass
        record.ended_at = self.now()


def make_plan(
    scripts: collections.abc.Iterable[str],
    times: collections.abc.Iterable[float],
    routes: collections.abc.Iterable[str] = ("once", "free", "stream", "unique"),
    bodies: collections.abc.Iterable[str] = (Body.LENGTH,),
    kept: collections.abc.Iterable[bool] = (False, True),
) -> list[StopRecord]:
    """Return a request for each combination."""
    return [
        StopRecord(f"/{route}/{script}/{n}", at, body, is_kept)
        for n, (route, script, at, body, is_kept) in enumerate(
            itertools.product(routes, scripts, times, bodies, kept)
        )
    ]


async def prepare(fleet: df.Fleet, stop: PlannedStop, slots: int = 2000) -> None:
    """Start the engines, and let all routes take their time."""
    fleet.store.put("op/config", df.make_config(2, timeout_ms=int(TIMEOUT_S * 1000)))
    for service in ("plain", "engines"):
        for number in range(2):
            name = f"{service}-{number}"
            await fleet.add_target(name, service, Engine(stop).respond)
            port = fleet.targets[name].port
            registration = df.make_registration(service, port, slots=slots)
            fleet.store.put(f"servers/{name}", registration)
    await fleet.settle(0.5)
