"""Shares the event loop's time among connections whose bytes take long to parse.

A target may send a response as pieces of a byte: chunks, events, comments. They take
far longer to parse than to send, so that one connection could keep the event loop from
all other work. A connection therefore parses ``PIECES_PER_TURN`` pieces after each wait
for bytes. If more are there, it waits for its turn, and of all that wait, one goes on
every ``TURN_PERIOD_S``. So all of them together delay other work by one turn at a time.
"""

import asyncio
import collections
import typing

# A piece takes some 10 us, so a turn is a small part of the 25 ms between tokens.
PIECES_PER_TURN: typing.Final = 64
TURN_PERIOD_S: typing.Final = 0.002  # leaves most of the loop's time to others


class ParserTurns:
    """The connections that wait for their turn, in the order in which they asked."""

    __slots__ = ("_timer", "_waiting")

    def __init__(self) -> None:
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()
        self._timer: asyncio.TimerHandle | None = None

    async def wait(self) -> None:
        """Wait until it is the caller's turn."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if self._timer is None:
            self._timer = loop.call_later(TURN_PERIOD_S, self._grant)
        await turn

    def _grant(self) -> None:
        """Give the next turn; those that no longer wait are passed over."""
        self._timer = None
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        if self._waiting:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TURN_PERIOD_S, self._grant)
