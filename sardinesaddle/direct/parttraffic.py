"""Counts how often the parts of prompts occur in the requests that an entry sends.

The counts decay, so they follow the traffic of the last half minute. They tell a part
of few requests from one that all requests of a caller or a model share. Beyond
``MAX_PARTS``, the parts that were seen least recently are forgotten; what is forgotten
counts as rare.
"""

import collections
import dataclasses
import math
import typing

DECAY_S: typing.Final = 30.0
MAX_PARTS: typing.Final = 4096
BROAD_SHARE: typing.Final = 0.25  # of the requests with parts
MIN_KNOWN_REQUESTS: typing.Final = 20.0  # with fewer, the shares of parts are not known
MIN_OBSERVED_S: typing.Final = 10.0  # before, it is not known which parts are served
# A longer time without requests shows nothing: the entry may have refused all of them.
MAX_OBSERVED_GAP_S: typing.Final = 1.0


@dataclasses.dataclass(slots=True)
class DecayingCount:
    """A count that decays by e in ``DECAY_S``; ``at`` is when it was ``value``."""

    value: float
    at: float

    def read(self, now: float) -> float:
        """Return the count now."""
        return self.value * math.exp((self.at - now) / DECAY_S)

    def add_one(self, now: float) -> None:
        """Count one more."""
        self.value = self.read(now) + 1.0
        self.at = now


class PartTraffic:
    """The decaying counts of all requests with parts, and of each part."""

    __slots__ = ("_last_at", "_observed_s", "_parts", "_requests")

    def __init__(self) -> None:
        self._last_at: float | None = None
        self._observed_s = 0.0
        self._requests = DecayingCount(0.0, 0.0)
        self._parts: collections.OrderedDict[str, DecayingCount] = (
            collections.OrderedDict()
        )

    def on_request(self, now: float, parts: typing.Collection[str]) -> None:
        """Count a request with these parts."""
        if not parts:
            return
        if self._last_at is not None:
            self._observed_s += min(now - self._last_at, MAX_OBSERVED_GAP_S)
        self._last_at = now
        self._requests.add_one(now)
        for part in parts:
            known = self._parts.setdefault(part, DecayingCount(0.0, now))
            known.add_one(now)
            self._parts.move_to_end(part)
        while len(self._parts) > MAX_PARTS:
            self._parts.popitem(last=False)

    def count_requests(self, now: float) -> float:
        """Return the count of all requests with parts."""
        return self._requests.read(now)

    def is_observed(self, now: float) -> bool:
        """Return whether most sound parts were seen in the requests that were sent.

        The time since the last request counts like that between two of them.
        """
        if self._last_at is None:
            return False
        current_gap_s = min(now - self._last_at, MAX_OBSERVED_GAP_S)
        return self._observed_s + current_gap_s >= MIN_OBSERVED_S

    def is_known(self, now: float) -> bool:
        """Return whether there were enough requests to tell the shares of parts."""
        return self.count_requests(now) >= MIN_KNOWN_REQUESTS

    def is_broad(self, now: float, part: str) -> bool:
        """Return whether a part is in much of the traffic, as far as that is known."""
        broad_count = BROAD_SHARE * self.count_requests(now)
        return self.is_known(now) and self.count_part(now, part) >= broad_count

    def count_part(self, now: float, part: str) -> float:
        """Return the count of the requests with a part."""
        known = self._parts.get(part)
        return 0.0 if known is None else known.read(now)
