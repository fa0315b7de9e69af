"""Shares an account's rate limit among the entries without a central counter.

Each account and service has a few issuers: sidecars chosen by a hash over the published
targets. Each issuer grants its fixed part of the published rate and burst, as leases of
whole requests that expire soon. Entries request leases while they have demand, so the
rate goes where the demand is. All issuers together can never grant more than the limit,
whichever entry dies, is paused or is cut off: a lease that is not used is lost.

In a partition, each side has the parts of the issuers that it reaches. The rest of the
rate stays unused until the partition ends or the table marks the lost targets dead.
"""

import collections
import dataclasses
import typing

from sardinesaddle import hashing, limits, table

ISSUER_COUNT: typing.Final = 8
MAX_LIFETIME_S: typing.Final = 1.0
REQUEST_PERIOD_S: typing.Final = 0.1
URGENT_REQUEST_PERIOD_S: typing.Final = 0.01
HOLDER_IDLE_TIMEOUT_S: typing.Final = 60.0


def choose_issuers(
    account: str, service: str, targets: typing.Iterable[str], count: int = ISSUER_COUNT
) -> list[str]:
    """Return the targets whose sidecars issue an account's leases."""
    ranked = sorted(
        targets,
        key=lambda name: hashing.hash_text(f"{account}\0{service}\0{name}"),
        reverse=True,
    )
    return ranked[:count]


def list_issuers(tab: table.Table, account: str, service: str) -> list[str]:
    """Return the issuers of an account's leases among the active targets of a table."""
    rows = tab.list_service_targets(service)
    active = [row.target for row in rows if row.state == "active"]
    return choose_issuers(account, service, active)


def compute_lease_lifetime(rate: float, burst: float) -> float:
    """Return how long a lease lasts, in seconds.

    The issuers' buckets hold half of the burst. A lease lasts at most as long as the
    rate takes to grant the other half, since its requests may be used that much later
    than they were granted. So no window of time ever has more requests than the rate
    allows in it, plus one burst.
    """
    if rate <= 0:
        return MAX_LIFETIME_S
    return min(MAX_LIFETIME_S, burst / 2 / rate)


class LeaseIssuer:
    """The token buckets of one sidecar for its parts of the accounts' rates."""

    __slots__ = ("_buckets", "_started_at")

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._buckets: dict[tuple[str, str], limits.TokenBucket] = {}

    def grant(
        self,
        now: float,
        account: str,
        service: str,
        requested: int,
        rate: float,
        burst: float,
        issuer_count: int,
    ) -> int:
        """Return how many requests the entry may admit, at most ``requested``.

        ``rate`` and ``burst`` are the account's whole limit in the table. The issuer
        grants one part in ``issuer_count`` of it.
        """
        lease_key = (account, service)
        issuer_rate = rate / issuer_count
        issuer_burst = max(burst / 2 / issuer_count, 1.0)
        bucket = self._buckets.get(lease_key)
        if bucket is None:
            bucket = limits.TokenBucket(self._started_at, issuer_rate, issuer_burst)
            # Start empty, since the issuer may have granted its burst before a restart.
            bucket.take_up_to(self._started_at, issuer_burst)
            self._buckets[lease_key] = bucket
        elif bucket.rate != issuer_rate or bucket.burst != issuer_burst:
            bucket.resize(now, issuer_rate, issuer_burst)
        return bucket.take_up_to(now, requested)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A request to an issuer for a lease of this many calls."""

    issuer: str
    requested: int


class LeaseHolder:
    """An entry's leases for one account and service.

    ``_leases`` holds pairs of expiry time and remaining requests, oldest first.
    """

    __slots__ = (
        "_requested_at",
        "_demand",
        "_issuers",
        "_lifetime_s",
        "_leases",
        "denied_request_at",
    )

    def __init__(self, issuers: list[str], lifetime_s: float) -> None:
        self._issuers = issuers
        self._lifetime_s = lifetime_s
        self._leases: collections.deque[list[float]] = collections.deque()
        self._requested_at = -1e9
        self._demand = 0
        # When the latest request that an issuer denied was sent.
        self.denied_request_at = -1e9

    def take(self, now: float) -> bool:
        """Use one request of a lease; return False if no lease has any left."""
        self._demand += 1
        self._drop_expired(now)
        if not self._leases:
            return False
        lease = self._leases[0]
        lease[1] -= 1
        if lease[1] <= 0:
            self._leases.popleft()
        return True

    def _drop_expired(self, now: float) -> None:
        """Drop the expired leases."""
        while self._leases and self._leases[0][0] <= now:
            self._leases.popleft()

    @property
    def is_idle(self) -> bool:
        """Whether no call has needed a lease since the last request for leases."""
        return not self._demand

    def make_requests(self, now: float, is_urgent: bool = False) -> list[LeaseRequest]:
        """Return the lease requests for twice the demand since the last ones.

        Returns none while the period since the last requests has not passed.
        """
        period_s = URGENT_REQUEST_PERIOD_S if is_urgent else REQUEST_PERIOD_S
        if now - self._requested_at < period_s or not self._demand:
            return []
        self._drop_expired(now)
        unused = sum(int(lease[1]) for lease in self._leases)
        requested = max(2 * self._demand - unused, 0)
        self._requested_at = now
        self._demand = 0
        if not requested or not self._issuers:
            return []
        per_issuer = -(-requested // len(self._issuers)) + 1
        return [LeaseRequest(issuer, per_issuer) for issuer in self._issuers]

    def add_lease(self, requested_at: float, granted: int) -> None:
        """Store a lease, whose lifetime counts from when it was requested.

        Zero granted requests mean that the issuer denied the lease.
        """
        if granted > 0:
            self._leases.append([requested_at + self._lifetime_s, float(granted)])
        else:
            self.denied_request_at = max(self.denied_request_at, requested_at)


class EntryLeases:
    """All leases of one entry, by account and service."""

    __slots__ = ("_holders", "_used_at")

    def __init__(self) -> None:
        self._holders: dict[tuple[str, str], LeaseHolder] = {}
        self._used_at: dict[tuple[str, str], float] = {}

    def clear(self) -> None:
        """Drop all holders after a table change, since it may move the issuers."""
        self._holders.clear()
        self._used_at.clear()

    def find_holder(
        self, now: float, tab: table.Table, account: str, row: table.LimitRow
    ) -> LeaseHolder:
        """Return the holder of an account's leases, created on first use."""
        lease_key = (account, row.service)
        holder = self._holders.get(lease_key)
        if holder is None:
            issuers = list_issuers(tab, account, row.service)
            lifetime_s = compute_lease_lifetime(row.rate, row.burst)
            holder = LeaseHolder(issuers, lifetime_s)
            self._holders[lease_key] = holder
        self._used_at[lease_key] = now
        return holder

    def add_lease(
        self, account: str, service: str, requested_at: float, granted: int
    ) -> None:
        """Store a lease that arrived, unless its holder was dropped."""
        holder = self._holders.get((account, service))
        if holder is not None:
            holder.add_lease(requested_at, granted)

    def list_active_holders(self, now: float) -> list[tuple[str, str, LeaseHolder]]:
        """Drop the holders idle for ``HOLDER_IDLE_TIMEOUT_S`` and return the others."""
        for lease_key, used_at in list(self._used_at.items()):
            if now - used_at > HOLDER_IDLE_TIMEOUT_S:
                del self._holders[lease_key]
                del self._used_at[lease_key]
        return [
            (account, service, h) for (account, service), h in self._holders.items()
        ]
