"""Shares an account's rate over the entries without any process that counts for all.

Each account and service has a few issuers: sidecars that follow from a hash over the
published targets. Each issuer hands out its fixed part of the published rate and
burst, as leases of whole requests that end soon. Entries ask the issuers while they
have demand, so the rate goes where the demand is. What all issuers give out together
can never pass the limit, whichever entry dies, is paused or is cut off: a lease that
is not used is lost.

The rule in a partition: each side has the parts of the issuers that it reaches. The
cost is that the rest of the rate is not used until the partition ends, or the table
calls the lost targets dead.
"""

import collections
import dataclasses
import typing

from sardinesaddle import hashing, limits, table

ISSUERS: typing.Final = 8
MAX_LIFETIME_S: typing.Final = 1.0
ASK_PERIOD_S: typing.Final = 0.1
URGENT_PERIOD_S: typing.Final = 0.01
IDLE_HOLDER_S: typing.Final = 60.0


def choose_issuers(
    account: str, service: str, targets: typing.Iterable[str], count: int = ISSUERS
) -> list[str]:
    """Return the targets whose sidecars issue an account's leases."""
    ranked = sorted(
        targets,
        key=lambda name: hashing.hash_text(f"{account}\0{service}\0{name}"),
        reverse=True,
    )
    return ranked[:count]


def list_issuers(tab: table.Table, account: str, service: str) -> list[str]:
    """Return the issuers of an account's leases under a table."""
    rows = tab.list_service_targets(service)
    active = [row.target for row in rows if row.state == "active"]
    return choose_issuers(account, service, active)


def compute_lifetime(rate: float, burst: float) -> float:
    """Return how long a lease lasts, in seconds.

    Half of the burst is kept in the buckets and half is what leases may delay, so
    that no window ever holds more than the rate and one burst.
    """
    if rate <= 0:
        return MAX_LIFETIME_S
    return min(MAX_LIFETIME_S, burst / 2 / rate)


class Issuer:
    """One sidecar's part of the accounts' rates."""

    __slots__ = ("_buckets", "_started_at")

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._buckets: dict[tuple[str, str], limits.Bucket] = {}

    def grant(
        self,
        now: float,
        account: str,
        service: str,
        wanted: int,
        rate: float,
        burst: float,
        issuers: int,
    ) -> int:
        """Return how many requests the entry may admit, at most what it wants.

        ``rate`` and ``burst`` are the account's whole limit in the table.
        """
        ident = (account, service)
        part = rate / issuers
        depth = max(burst / 2 / issuers, 1.0)
        bucket = self._buckets.get(ident)
        if bucket is None:
            bucket = limits.Bucket(self._started_at, part, depth)
            # A restarted issuer may have given out its burst just before.
            bucket.take_up_to(self._started_at, depth)
            self._buckets[ident] = bucket
        elif bucket.rate != part or bucket.burst != depth:
            bucket.resize(now, part, depth)
        return bucket.take_up_to(now, wanted)


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Ask an issuer for a lease of so many requests."""

    issuer: str
    wanted: int


class LeaseHolder:
    """An entry's leases for one account and service."""

    __slots__ = (
        "_asked_at",
        "_demand",
        "_issuers",
        "_lifetime_s",
        "_stock",
        "denied_asked_at",
    )

    def __init__(self, issuers: list[str], lifetime_s: float) -> None:
        self._issuers = issuers
        self._lifetime_s = lifetime_s
        self._stock: collections.deque[list[float]] = collections.deque()
        self._asked_at = -1e9
        self._demand = 0
        # When the newest ask was sent to which an issuer gave nothing.
        self.denied_asked_at = -1e9

    def take(self, now: float) -> bool:
        """Admit one request if a lease covers it."""
        self._demand += 1
        self._drop_ended(now)
        if not self._stock:
            return False
        lease = self._stock[0]
        lease[1] -= 1
        if lease[1] <= 0:
            self._stock.popleft()
        return True

    def _drop_ended(self, now: float) -> None:
        """Forget leases that have ended."""
        while self._stock and self._stock[0][0] <= now:
            self._stock.popleft()

    @property
    def is_idle(self) -> bool:
        """Whether nothing was asked of this account since the last ask."""
        return not self._demand

    def make_asks(self, now: float, is_urgent: bool = False) -> list[Ask]:
        """Return what to ask for, from the demand since the last time."""
        period_s = URGENT_PERIOD_S if is_urgent else ASK_PERIOD_S
        if now - self._asked_at < period_s or not self._demand:
            return []
        self._drop_ended(now)
        held = sum(int(lease[1]) for lease in self._stock)
        wanted = max(2 * self._demand - held, 0)
        self._asked_at = now
        self._demand = 0
        if not wanted or not self._issuers:
            return []
        each = -(-wanted // len(self._issuers)) + 1
        return [Ask(issuer, each) for issuer in self._issuers]

    def add(self, asked_at: float, granted: int) -> None:
        """Take a lease; its life counts from when it was asked for."""
        if granted > 0:
            self._stock.append([asked_at + self._lifetime_s, float(granted)])
        else:
            self.denied_asked_at = max(self.denied_asked_at, asked_at)


class LeaseBook:
    """All leases of one entry, by account, service and table."""

    __slots__ = ("_holders", "_used_at")

    def __init__(self) -> None:
        self._holders: dict[tuple[str, str], LeaseHolder] = {}
        self._used_at: dict[tuple[str, str], float] = {}

    def clear(self) -> None:
        """Forget the holders, whose issuers follow from the table before."""
        self._holders.clear()
        self._used_at.clear()

    def find_holder(
        self, now: float, tab: table.Table, account: str, row: table.LimitRow
    ) -> LeaseHolder:
        """Return the holder of an account's leases for a service."""
        ident = (account, row.service)
        holder = self._holders.get(ident)
        if holder is None:
            issuers = list_issuers(tab, account, row.service)
            lifetime_s = compute_lifetime(row.rate, row.burst)
            holder = LeaseHolder(issuers, lifetime_s)
            self._holders[ident] = holder
        self._used_at[ident] = now
        return holder

    def add(self, account: str, service: str, asked_at: float, granted: int) -> None:
        """Take a lease that arrived."""
        holder = self._holders.get((account, service))
        if holder is not None:
            holder.add(asked_at, granted)

    def list_active(self, now: float) -> list[tuple[str, str, LeaseHolder]]:
        """Return the holders in use; forget those that are not."""
        for ident, used_at in list(self._used_at.items()):
            if now - used_at > IDLE_HOLDER_S:
                del self._holders[ident]
                del self._used_at[ident]
        return [
            (account, service, h) for (account, service), h in self._holders.items()
        ]
