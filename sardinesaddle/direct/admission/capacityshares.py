"""Divides a rate of sends among priorities, and within a priority among accounts.

Entries that know the same rate and the same demand compute the same shares, wherever
the requests arrive. A share is a part of the demand, so that no entry needs to know how
many other entries there are or what they carry.
"""

import collections.abc
import math
import typing

# Of the capacity, kept for each priority that requests it, so that none starves.
FLOOR_SHARE: typing.Final = 0.02

# Of the sustained rate. Priorities whose demand, with all more urgent ones, is within
# it are not held back while the load is high by chance; the rest is what the load can
# be led with. For the most urgent priority it is the whole rate.
ASSURED_SHARE: typing.Final = 0.85


def divide_by_priority(
    available: float, sustained: float, demand: collections.abc.Mapping[int, float]
) -> dict[int, float]:
    """Return the rate for each priority: a minimum for all, then the most urgent first.

    ``sustained`` is the rate that the capacity sustains, and ``available`` the rate
    that leads the present load to the capacity. All rates are requests a second at all
    entries together.
    """
    floor = FLOOR_SHARE * sustained
    left = available
    urgent = 0.0
    rates: dict[int, float] = {}
    for priority in sorted(demand):
        wanted = demand[priority]
        assured = ASSURED_SHARE * sustained if rates else sustained
        is_assured = urgent + wanted <= assured
        least = wanted if is_assured else min(wanted, floor)
        rates[priority] = min(wanted, max(left, least))
        left -= rates[priority]
        urgent += wanted
    return rates


def compute_fair_level(
    demands: collections.abc.Iterable[float], capacity: float
) -> float:
    """Return the largest max-min share, infinite if the capacity meets all demands."""
    ordered = sorted(demands)
    if capacity >= sum(ordered):
        return math.inf
    left = capacity
    for index, demand in enumerate(ordered):
        level = left / (len(ordered) - index)
        if demand >= level:
            return level
        left -= demand
    return math.inf


def compute_account_share(demand: float, level: float) -> float:
    """Return which part of an account's requests is within the fair level."""
    return 1.0 if demand <= level else max(level, 0.0) / demand
