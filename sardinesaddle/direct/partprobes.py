"""Lets one request find out whether a part of prompts still crashes its targets.

A refusal of a part ends after a time, in case it was wrong. If all requests with the
part came back then, a right one would cost as many targets. Instead, one entry after
the other may let a single request through, in an order by hash that all entries compute
alike. While that request runs, and at all other entries, the part stays refused. A
response that begins clears the part; a crash makes its refusal longer.
"""

import collections.abc
import typing
import zlib

TURN_S: typing.Final = 5.0  # of an entry; a response begins or a target crashes by then


def compute_turn(hosts: collections.abc.Collection[str], own: str, part: str) -> int:
    """Return the turn of an entry among all that may probe a part, from 0."""
    ordered = sorted(hosts, key=lambda host: zlib.crc32(f"{part} {host}".encode()))
    return ordered.index(own)


class PartProbes:
    """The parts for which a request of this entry is running as a probe."""

    __slots__ = ("_begun_at",)

    def __init__(self) -> None:
        self._begun_at: dict[str, float] = {}

    def may_begin(self, now: float, part: str, turn: int, overdue_s: float) -> bool:
        """Return whether a request may probe a part whose refusal is overdue."""
        begun_at = self._begun_at.get(part)
        if begun_at is not None and now - begun_at < TURN_S:
            return False
        return overdue_s >= turn * TURN_S

    def begin(self, now: float, part: str) -> None:
        """Record that a request probes a part."""
        self._begun_at[part] = now

    def expire(self, now: float) -> None:
        """Forget probes that ended long ago."""
        for part, begun_at in list(self._begun_at.items()):
            if now - begun_at >= TURN_S:
                del self._begun_at[part]
