"""Keeps the load that an entry adds to each group steady while capacity is scarce.

An entry sends to a group as its own requests there end, and corrects that toward its
part of the rate of sends that all entries compute. Arrivals and ends by chance then do
not vary the load, as they do when requests are sent at a rate.
"""

import collections.abc
import typing

from sardinesaddle.direct.admission import groupload

# Highest balance of a group: requests, and a share of those of this entry in it. All
# entries together exceed the load by this after a sudden change of the demand.
MAX_BALANCE: typing.Final = 0.5
MAX_BALANCE_SHARE: typing.Final = 0.03
# The lowest balance is this many times as far from zero. A small entry that forgot
# sends of urgent requests would send too much on average.
DEPTH: typing.Final = 1.0
EXHAUSTED_SHARE: typing.Final = 0.8  # of the highest balance, below zero


class SendBalance:
    """How many more requests this entry should send to each group now."""

    __slots__ = ("_balances", "_most", "_settled_at")

    def __init__(self) -> None:
        self._balances: dict[str, float] = {}
        self._most = 0.0  # that the total may reach
        self._settled_at = 0.0

    @property
    def is_exhausted(self) -> bool:
        """Whether this entry sent so much more than it should that it must pause."""
        return self.compute_total() < -EXHAUSTED_SHARE * self._most

    def add(self, group: str, added: float) -> None:
        """Count an end in a group (1) or a send to it (-1)."""
        if group in self._balances:
            self._balances[group] += added

    def reset(self, now: float) -> None:
        """Begin anew, since capacity is sufficient."""
        self._balances.clear()
        self._most = 0.0
        self._settled_at = now

    def settle(
        self,
        now: float,
        groups: collections.abc.Iterable[groupload.Group],
        rates: collections.abc.Mapping[str, float],
        duration_s: float,
    ) -> None:
        """Correct the balances for the time since the last call.

        ``rates`` are the requests a second that this entry should send to each group.
        ``duration_s`` is the mean time that a request runs.
        """
        span_s = max(now - self._settled_at, 0.0)
        self._settled_at = now
        known = self._balances
        self._balances = {}
        self._most = 0.0
        for group in groups:
            most = MAX_BALANCE + MAX_BALANCE_SHARE * group.own_in_flight
            rate = rates.get(group.name, 0.0) - group.own_in_flight / duration_s
            balance = known.get(group.name, 0.0) + rate * span_s
            self._balances[group.name] = min(max(balance, -DEPTH * most), most)
            self._most += most

    def compute_total(self) -> float:
        """Return how many more requests this entry should send."""
        return sum(self._balances.values())

    def get(self, group: str) -> float:
        """Return how many more requests this entry should send to a group."""
        return self._balances.get(group, 0.0)
