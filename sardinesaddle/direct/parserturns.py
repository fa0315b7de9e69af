"""Shares the event loop's time among connections whose bytes take long to parse.

A target may send a response as pieces of a byte: chunks, events, comments. They take
far longer to parse than to send, so that one connection could keep the event loop from
all other work. A connection therefore parses ``PIECES_PER_TURN`` pieces, and later as
many as ``PIECES_PER_S`` allows. If there are more, it waits for its turn. Of all that
wait one goes on at a time, between other work, and after ``SAVED_TURNS`` only one every
``TURN_PERIOD_S``. Large pieces count as one for each ``PIECE_BYTES``.
"""

import asyncio
import collections
import typing

# A piece takes some 10 us, so a turn is a small part of the 25 ms between tokens.
PIECES_PER_TURN: typing.Final = 64
# Of each connection. An event every 25 ms in ten chunks needs less.
PIECES_PER_S: typing.Final = 640
PIECE_BYTES: typing.Final = 4 * 1024  # a turn holds what may be buffered of a response
# Turns of large pieces then take what an entry's link of 1,000 Mbit/s carries.
TURN_PERIOD_S: typing.Final = 0.002
# A hundred streams go on at once with what arrived while the process was stopped.
SAVED_TURNS: typing.Final = 100


class ParserTurns:
    """The connections that wait for their turn, in the order in which they asked.

    Turns that nobody takes are saved, one every ``TURN_PERIOD_S``.
    """

    __slots__ = ("_counted_at", "_is_scheduled", "_saved_turns", "_waiting")

    def __init__(self) -> None:
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()
        self._is_scheduled = False
        self._saved_turns = float(SAVED_TURNS)
        self._counted_at = 0.0  # the event loop's time

    async def wait(self) -> None:
        """Wait until it is the caller's turn."""
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        self._schedule()
        await turn

    def _schedule(self) -> None:
        """Give the next turn at once if one was saved, or else after the period."""
        if self._is_scheduled or not self._waiting:
            return
        loop = asyncio.get_running_loop()
        passed_s = loop.time() - self._counted_at
        self._counted_at += passed_s
        saved_turns = self._saved_turns + passed_s / TURN_PERIOD_S
        self._saved_turns = min(saved_turns, SAVED_TURNS)
        self._is_scheduled = True
        loop.call_later(TURN_PERIOD_S if self._saved_turns < 1.0 else 0.0, self._give)

    def _give(self) -> None:
        """Give a turn to the first that still waits."""
        self._is_scheduled = False
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                self._saved_turns -= 1.0
                break
        self._schedule()
