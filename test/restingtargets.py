"""Targets that ask for rest, and the users' bound on what they receive then."""

import asyncio
import contextlib
import typing

from sardinesaddle.platform import headers
from test import directfleet as df

ANSWER_S: typing.Final = 0.5  # the users' time for an entry to act on a response
MAX_SENDS: typing.Final = 2  # the users' bound for what an entry sends in the rest


class RestRecord:
    """What one incarnation of a target asked each entry for, and what it gets.

    Times are the event loop's.
    """

    def __init__(self) -> None:
        # By sender: from when to when the target wants nothing, and the arrivals since.
        self._rests: dict[str, list[tuple[float, float, int]]] = {}

    def on_rest(self, now: float, sender: str, rest_s: float) -> None:
        """Note that a response asks a sender for rest."""
        self._rests.setdefault(sender, []).append((now + ANSWER_S, now + rest_s, 0))

    def on_arrival(self, now: float, sender: str) -> str | None:
        """Count a request; return what is wrong if that is one too many."""
        rests = [rest for rest in self._rests.get(sender, []) if now < rest[1]]
        rests = [(a, b, count + (now >= a)) for a, b, count in rests]
        self._rests[sender] = rests
        worst = max((count for _, _, count in rests), default=0)
        if worst <= MAX_SENDS:
            return None
        return f"{worst} requests while it rests"


class RestingTarget:
    """Asks for rest with the first response after ``rest`` is set, else responds.

    ``rest`` is the text of the header Retry-After, None for no rest; ``status`` and
    ``states_not_run`` describe the refusal. While it rests, it refuses all requests.
    """

    def __init__(self, rest: str | None, states_not_run: bool = True) -> None:
        self.rest = rest
        self.states_not_run = states_not_run
        self.record = RestRecord()
        self.faults: list[str] = []
        self.arrivals: list[float] = []
        self.refused: list[float] = []

    async def respond(
        self,
        target: df.ScriptedTarget,
        request: df.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Refuse a request with a time of rest, or respond to it."""
        now = asyncio.get_running_loop().time()
        self.arrivals.append(now)
        if fault := self.record.on_arrival(now, ""):
            self.faults.append(fault)
        if self.rest is None:
            writer.write(df.make_response(request.attempt_id, target.name.encode()))
            return True
        if not self.refused:
            with contextlib.suppress(ValueError):
                self.record.on_rest(now, "", float(self.rest))
        self.refused.append(now)
        fields = [("Content-Length", "0"), ("Retry-After", self.rest)]
        if self.states_not_run:
            fields.append((headers.NOT_RUN, "1"))
        writer.write(df.make_response_head(503, *fields))
        return True
