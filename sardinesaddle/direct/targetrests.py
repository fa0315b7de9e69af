"""Keeps requests away from targets that asked this entry for rest.

A target that refuses a request with 503 may state for how many seconds it wants nothing
from this entry. Nothing is sent to that incarnation in this time: first sends, retries,
queued and resumed requests alike. Of several such times the one that ends last counts,
since each of them was asked for.

After it, the entry returns gradually: within ``RETURN_S`` the number of sends since the
end of the rest is bounded by a curve that begins with one request. A target that is
still in trouble refuses that one and rests again.

Other entries are not told. The target asked this one, and tells the others itself if
they send too much. The next incarnation rests from nothing. A rest outlasts the
registration, which may come back for the same incarnation.

Times are the event loop's. It does not count while the host is suspended, which only
makes a rest longer.
"""

import dataclasses
import math
import typing

MAX_REST_S: typing.Final = 600.0  # then one request finds out whether the rest goes on
RETURN_S: typing.Final = 3.0  # after a rest, until sends are no longer bounded
RETURN_RATE: typing.Final = 4.0  # sends a second to a target, at the end of its rest


@dataclasses.dataclass(slots=True)
class Rest:
    """The rest of an incarnation; ``sends`` counts those since ``ends_at``."""

    ends_at: float
    sends: int = 0


class TargetRests:
    """The targets that rest or that this entry returns to, by incarnation."""

    def __init__(self) -> None:
        self._rests: dict[str, Rest] = {}

    def on_refusal(self, now: float, incarnation: str, rest_s: float) -> None:
        """Begin or extend a rest; longer ones than ``MAX_REST_S`` are cut to that."""
        ends_at = now + min(rest_s, MAX_REST_S)
        known = self._rests.get(incarnation)
        if known is None or ends_at > known.ends_at:
            self._rests[incarnation] = Rest(ends_at)

    def on_send(self, incarnation: str) -> None:
        """Count a request that is about to be sent."""
        rest = self._rests.get(incarnation)
        if rest is not None:
            rest.sends += 1

    def is_resting(self, now: float, incarnation: str) -> bool:
        """Return whether a target wants nothing from this entry."""
        rest = self._rests.get(incarnation)
        return rest is not None and now < rest.ends_at

    def compute_wait_s(self, now: float, incarnation: str) -> float:
        """Return the seconds until a target may get a request, 0.0 for now."""
        rest = self._rests.get(incarnation)
        if rest is None or now >= rest.ends_at + RETURN_S:
            return 0.0
        return max(rest.ends_at + compute_return_s(rest.sends) - now, 0.0)

    def list_resting(self, now: float) -> dict[str, float]:
        """Return the remaining seconds of the targets that rest."""
        return {
            incarnation: rest.ends_at - now
            for incarnation, rest in self._rests.items()
            if now < rest.ends_at
        }

    def forget(self, now: float) -> None:
        """Drop rests that are over."""
        for incarnation, rest in list(self._rests.items()):
            if now >= rest.ends_at + RETURN_S:
                del self._rests[incarnation]


def compute_return_s(sends: int) -> float:
    """Return how long after a rest the next send may follow that many sends.

    By t seconds, 1 + RETURN_RATE * t * (1 + t) sends are allowed.
    """
    return (math.sqrt(1.0 + 4.0 * sends / RETURN_RATE) - 1.0) / 2.0
