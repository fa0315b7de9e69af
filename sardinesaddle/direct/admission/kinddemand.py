"""The demand for a service by priority and account, at this entry and at all entries.

Each entry tells the others its rates of requests by priority and, while capacity is
scarce, those of its most demanding accounts. A hash of the name identifies an account.
The demand of an account that an entry does not list counts with its priority only.
"""

import collections
import collections.abc
import dataclasses
import math
import typing
import zlib

from sardinesaddle.direct import messages

REFRESH_S: typing.Final = 0.25  # the period of ``refresh``
# A burst of some seconds must show soon; at 100 requests a second the error is 0.13.
KIND_WINDOW_S: typing.Final = 0.6
# Accounts have few requests each, and their shares need not follow each burst.
ACCOUNT_WINDOW_S: typing.Final = 2.0
# A heartbeat or its reply tells an entry the demand of another one twice a second with
# 13 entries, and every 15 s with 370.
DEMAND_TTL_S: typing.Final = 3.0
DEMAND_TTL_PER_ENTRY_S: typing.Final = 0.1
MIN_TOLD_RATE: typing.Final = 0.05  # requests a second
MAX_TOLD_TENTHS: typing.Final = 10**7
MAX_TOLD_ACCOUNTS: typing.Final = 3  # for each priority

AccountKey = tuple[int, int]  # priority, hash of the account's name


def hash_account(account: str) -> int:
    """Return the number that identifies an account in messages."""
    return zlib.crc32(account.encode())


class RateMeter:
    """The rate of events over a window, unbiased from the first period on."""

    __slots__ = ("_count", "_weight", "_weights", "rate")

    def __init__(self, window_s: float) -> None:
        self._weight = REFRESH_S / window_s
        self._weights = 0.0  # of the periods in the average, at most 1
        self._count = 0
        self.rate = 0.0  # a second

    def add(self) -> None:
        """Count an event."""
        self._count += 1

    def refresh(self) -> None:
        """End a period of ``REFRESH_S``."""
        self._weights += self._weight * (1.0 - self._weights)
        weight = self._weight / self._weights
        self.rate += weight * (self._count / REFRESH_S - self.rate)
        self._count = 0


@dataclasses.dataclass(slots=True)
class ToldDemand:
    """What another entry told: rates by priority, and by account."""

    told_at: float
    rates: dict[int, float]
    accounts: dict[AccountKey, float]


class KindDemand:
    """The demand for one service, by priority and by account."""

    __slots__ = (
        "_account_meters",
        "_kind_meters",
        "_told",
        "accounts",
        "missing",
        "rates",
    )

    def __init__(self) -> None:
        self._kind_meters: dict[int, RateMeter] = {}
        self._account_meters: dict[AccountKey, RateMeter] = {}
        self._told: dict[str, ToldDemand] = {}
        # Entries that have not told their demand.
        self.missing = 0
        # Requests a second at all entries, by priority and by account.
        self.rates: dict[int, float] = {}
        self.accounts: dict[AccountKey, float] = {}

    def on_request(self, priority: int, account: str) -> None:
        """Count a request at this entry."""
        kind = self._kind_meters.get(priority)
        if kind is None:
            kind = self._kind_meters[priority] = RateMeter(KIND_WINDOW_S)
        kind.add()
        key = priority, hash_account(account)
        meter = self._account_meters.get(key)
        if meter is None:
            meter = self._account_meters[key] = RateMeter(ACCOUNT_WINDOW_S)
        meter.add()

    def list_own_rates(self) -> dict[int, float]:
        """Return the requests a second at this entry by priority."""
        return {
            priority: meter.rate
            for priority, meter in self._kind_meters.items()
            if meter.rate >= MIN_TOLD_RATE
        }

    def compute_own_share(self, entry_count: int) -> float:
        """Return this entry's share of the demand at all entries."""
        total = sum(self.rates.values())
        if total <= 0.0:
            return 1.0 / max(entry_count, 1)
        return min(sum(self.list_own_rates().values()) / total, 1.0)

    def compute_account_rate(self, priority: int, account: str) -> float:
        """Return the requests a second of an account at all entries that list it."""
        return self.accounts.get((priority, hash_account(account)), 0.0)

    # Exchange with other entries.

    def make_demand(self, service: str, with_accounts: bool) -> messages.ServiceDemand:
        """Return what another entry is told of the demand at this one."""
        rates = [(p, round(r * 10.0)) for p, r in self.list_own_rates().items()]
        accounts: list[tuple[int, int, int]] = []
        if with_accounts:
            for priority, _ in rates:
                own = [
                    (meter.rate, key)
                    for key, meter in self._account_meters.items()
                    if key[0] == priority and meter.rate >= MIN_TOLD_RATE
                ]
                largest = sorted(own, reverse=True)[:MAX_TOLD_ACCOUNTS]
                accounts += [(*key, round(rate * 10.0)) for rate, key in largest]
        return messages.ServiceDemand(service, rates, accounts)

    def on_message(self, now: float, host: str, told: messages.ServiceDemand) -> bool:
        """Store the demand of another entry; return whether all of it is plausible."""
        rates = {p: t / 10.0 for p, t in told.rates if 0 <= t <= MAX_TOLD_TENTHS}
        accounts = {
            (p, account): t / 10.0
            for p, account, t in told.accounts
            if 0 <= t <= MAX_TOLD_TENTHS
        }
        known = self._told.get(host)
        if not accounts and known is not None and now - known.told_at < DEMAND_TTL_S:
            # Messages without accounts are sent when they would exceed the byte budget.
            accounts = known.accounts
        self._told[host] = ToldDemand(now, rates, accounts)
        return len(rates) == len(told.rates)

    # Periodic work.

    def refresh(self, now: float, alive: collections.abc.Collection[str]) -> None:
        """Compute the demand at all entries; forget those that are gone or silent.

        An entry that has not told its demand is taken to have the mean of the others.
        """
        for kind in self._kind_meters.values():
            kind.refresh()
        for key, meter in list(self._account_meters.items()):
            meter.refresh()
            if meter.rate < MIN_TOLD_RATE / 10.0:
                del self._account_meters[key]
        ttl_s = DEMAND_TTL_S + DEMAND_TTL_PER_ENTRY_S * len(alive)
        for host, told in list(self._told.items()):
            if host not in alive or told.told_at + ttl_s < now:
                del self._told[host]
        self.missing = len(alive) - len(self._told)
        self.add_up()

    def add_up(self) -> None:
        """Add the demand of this entry and what the others told."""
        own = self.list_own_rates()
        rates = collections.Counter(own)
        own_accounts = {key: meter.rate for key, meter in self._account_meters.items()}
        accounts = collections.Counter(own_accounts)
        for told in self._told.values():
            rates.update(told.rates)
            accounts.update(told.accounts)
        factor = 1.0 + self.missing / (1.0 + len(self._told))
        self.rates = {priority: rate * factor for priority, rate in rates.items()}
        self.accounts = self._complete(dict(accounts), own_accounts)

    def _complete(
        self,
        accounts: dict[AccountKey, float],
        own_accounts: collections.abc.Mapping[AccountKey, float],
    ) -> dict[AccountKey, float]:
        """Return the rates of accounts, which add up to those of the priorities.

        What others did not list is divided as the demand at this entry is.
        """
        for priority, total in self.rates.items():
            own = {key: r for key, r in own_accounts.items() if key[0] == priority}
            listed = sum(rate for key, rate in accounts.items() if key[0] == priority)
            missing, present = total - listed, sum(own.values())
            if missing > 0.0 and present > 0.0:
                for key, rate in own.items():
                    accounts[key] += missing * rate / present
        return accounts


class UsualDemand:
    """The demand over a longer time, which is expected to return after a burst."""

    __slots__ = ("_weight", "rates")

    def __init__(self, window_s: float) -> None:
        self._weight = REFRESH_S / window_s
        self.rates: dict[int, float] = {}

    def refresh(self, rates: collections.abc.Mapping[int, float]) -> None:
        """Add a period of ``REFRESH_S`` with these rates at all entries."""
        for priority in self.rates.keys() | rates.keys():
            usual = self.rates.get(priority, 0.0)
            usual += self._weight * (rates.get(priority, 0.0) - usual)
            self.rates[priority] = usual

    def sum_up_to(self, priority: int) -> float:
        """Return the usual rate of a priority and of all more urgent ones."""
        return math.fsum(rate for p, rate in self.rates.items() if p <= priority)
