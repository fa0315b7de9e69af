"""Keeps the requests of all entries to a target within the limit that it states.

Each entry has a token bucket for each limited target. Its rate and its capacity are the
entry's part of the limit, which ``limitshares`` divides among the entries; it starts
empty, so that a part that moves to another entry is not used twice. Every send takes a
token: first sends, retries, resumed streams and requests that waited.

The users' bound is on a sliding window: ``EXCESS_FACTOR`` times the limit plus
``EXCESS_REQUESTS``. The rates of all buckets use ``RATE_FACTOR`` of the limit, or more
by ``limitshares.MAX_LOST_SHARE`` while entries are lost. What the bound leaves is
divided into permits, the tokens that all buckets together may hold.

A target whose limit is 0 still gets a request now and then. Without one, nothing
would show that the limit has ended.
"""

import collections
import dataclasses
import typing

from sardinesaddle.direct import limitshares, limitstatements, messages

WINDOW_S: typing.Final = 4.0  # this and the next two are the users' bound
EXCESS_FACTOR: typing.Final = 1.5
EXCESS_REQUESTS: typing.Final = 5.0
BOUND: typing.Final = limitshares.Bound(WINDOW_S, EXCESS_FACTOR, EXCESS_REQUESTS)
RATE_FACTOR: typing.Final = 0.95  # of a limit, used by all entries together
ARRIVAL_JITTER_S: typing.Final = 0.25  # between sends and their arrivals
RESERVED_REQUESTS: typing.Final = 0.5  # rounding
MIN_RATE: typing.Final = 0.2  # requests a second to a target with a lower limit
# Demand is measured over the shortest time that has enough requests to tell it.
SHORTEST_DEMAND_S: typing.Final = 2.0
LONGEST_DEMAND_S: typing.Final = 30.0
SPREADING_S: typing.Final = 5.0  # in which hundreds of entries tell each other
DEMAND_SAMPLE: typing.Final = 20  # requests


def compute_permits(limit: float) -> int:
    """Return how many tokens all buckets for a limit together may hold."""
    if limit < MIN_RATE:
        return 1
    allowed = BOUND.compute_allowed(limit)
    highest_rate = RATE_FACTOR * (1.0 + limitshares.MAX_LOST_SHARE) * limit
    spent = highest_rate * (WINDOW_S + ARRIVAL_JITTER_S)
    return max(int(allowed - spent - RESERVED_REQUESTS), 1)


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Tokens that accrue at ``rate`` a second, up to ``capacity``."""

    updated_at: float
    rate: float = 0.0
    capacity: float = 0.0
    tokens: float = 0.0

    def advance(self, now: float) -> None:
        """Add the tokens since the last call."""
        accrued = self.rate * max(now - self.updated_at, 0.0)
        self.tokens = min(self.tokens + accrued, self.capacity)
        self.updated_at = now

    def set_rate(self, now: float, rate: float, capacity: float) -> None:
        """Change the rate and the capacity; tokens above it are lost."""
        self.advance(now)
        self.rate = rate
        self.capacity = capacity
        self.tokens = min(self.tokens, capacity)

    def compute_wait_s(self, now: float) -> float:
        """Return the seconds until there is a token."""
        self.advance(now)
        if self.tokens >= 1.0:
            return 0.0
        return (1.0 - self.tokens) / self.rate if self.rate else float("inf")


class Demand:
    """The times of the recent requests for a service."""

    __slots__ = ("times",)

    def __init__(self) -> None:
        self.times: collections.deque[float] = collections.deque()

    def discard_old(self, now: float) -> None:
        """Drop the times that the rate does not need."""
        times = self.times
        while times and (
            times[0] < now - LONGEST_DEMAND_S
            or (times[0] < now - SHORTEST_DEMAND_S and len(times) > DEMAND_SAMPLE)
        ):
            times.popleft()

    def compute_rate(self, now: float) -> float:
        """Return the requests a second."""
        self.discard_old(now)
        if not self.times:
            return 0.0
        return len(self.times) / max(now - self.times[0], SHORTEST_DEMAND_S)


class TargetLimits:
    """The limits that targets state, and this entry's part of each.

    ``host`` is the entry's; ``started_at`` is when its process started. Times are the
    event loop's. ``refresh`` must be called a few times a second.
    """

    def __init__(self, host: str, started_at: float) -> None:
        self.statements = limitstatements.LimitStatements()
        self._shares = limitshares.LimitShares(host, started_at)
        self._buckets: dict[str, TokenBucket] = {}
        # The services of the registered incarnations.
        self._services: dict[str, str] = {}
        self._demands: dict[str, Demand] = {}

    # The request path.

    def on_request(self, now: float, service: str) -> None:
        """Record a caller's request, which is demand for the service's targets."""
        self._demands.setdefault(service, Demand()).times.append(now)

    def on_response(
        self, now: float, incarnation: str, sent_at: float, limit: float | None
    ) -> None:
        """Apply the limit in a response to a request sent then; None for none."""
        if self.statements.on_response(now, incarnation, sent_at, limit):
            self._apply_limits(now)

    def is_limited(self, incarnation: str) -> bool:
        """Return whether a target states a limit."""
        return incarnation in self._buckets

    def may_send(self, now: float, incarnation: str) -> bool:
        """Return whether this entry may send a target a request now."""
        bucket = self._buckets.get(incarnation)
        return bucket is None or bucket.compute_wait_s(now) <= 0.0

    def on_send(self, now: float, incarnation: str) -> None:
        """Count a request that is about to be sent."""
        bucket = self._buckets.get(incarnation)
        if bucket is not None:
            bucket.advance(now)
            bucket.tokens -= 1.0

    def compute_wait_s(
        self, now: float, incarnations: typing.Collection[str], position: int
    ) -> float:
        """Return the seconds until limited targets take the request at a position.

        Position 0 is the next request; infinite if this entry has no part of any limit.
        """
        buckets = [self._buckets[incarnation] for incarnation in incarnations]
        first = min((b.compute_wait_s(now) for b in buckets), default=float("inf"))
        rate = sum(bucket.rate for bucket in buckets)
        missing = position + 1.0 - sum(bucket.tokens for bucket in buckets)
        return max(first, missing / rate if rate else 0.0)

    def compute_return_rate(self, incarnations: typing.Collection[str]) -> float:
        """Return the requests a second at which refused callers may come back.

        An entry without a part sends them back at the pace of the limits, since other
        entries have parts.
        """
        own_rate = sum(self._buckets[incarnation].rate for incarnation in incarnations)
        if own_rate > 0.0:
            return own_rate
        limits = self.statements.list_limits()
        return RATE_FACTOR * sum(
            max(limits.get(incarnation, 0.0), MIN_RATE) for incarnation in incarnations
        )

    def list_parts(self) -> dict[str, float]:
        """Return the requests a second of this entry by incarnation."""
        return {name: bucket.rate for name, bucket in self._buckets.items()}

    # Other entries.

    def make_update(
        self, now: float, host: str, is_reply: bool = False
    ) -> messages.LimitUpdate | None:
        """Return what another entry may lack; None if no target ever had a limit."""
        peer = self._shares.get_peer(host)
        if peer is None or not self.statements.digest:
            return None
        claims = self._shares.take_claims(host, is_reply)
        # What another entry has is not known before its first message; it is told
        # while the news spreads. Later, each finds out from the other's digest.
        is_new = now - self.statements.changed_at < SPREADING_S
        has_other = peer.digest and peer.digest != self.statements.digest
        statements = []
        if has_other or (not peer.digest and is_new):
            statements = self.statements.make_messages(now)
        return messages.LimitUpdate(
            self._shares.number, self.statements.digest, claims, statements
        )

    def on_message(
        self,
        now: float,
        host: str,
        process: int,
        listed: typing.Iterable[str],
        update: messages.LimitUpdate | None,
    ) -> None:
        """Apply a heartbeat of another entry or its reply.

        ``process`` is its process's number, ``listed`` are the entries that it knows.
        """
        self._shares.add_entries(now, listed)
        peer = self._shares.on_process(now, host, process)
        if update is None:
            return
        peer.digest = update.digest
        if update.claims is not None:
            self._shares.on_claims(host, update.number, update.claims)
        self.statements.merge(now, update.statements, host)
        self._apply_limits(now)

    def on_reply(
        self,
        now: float,
        host: str,
        process: int,
        listed: typing.Iterable[str],
        sent: messages.LimitUpdate | None,
        received: messages.LimitUpdate | None,
    ) -> None:
        """Apply the reply to a heartbeat that had the update ``sent``."""
        number, claims = (0, None) if sent is None else (sent.number, sent.claims)
        self._shares.on_reply(now, host, process, number, claims)
        self.on_message(now, host, process, listed, received)

    def withdraw(self) -> None:
        """Leave this entry's parts of all limits to the others."""
        self._shares.withdraw()

    # Periodic work.

    def refresh(
        self,
        now: float,
        alive: typing.Collection[str],
        listed: typing.Collection[str],
        services: dict[str, str],
    ) -> None:
        """Compute this entry's part of each limit anew.

        ``alive`` are the hosts of the other live entries, ``listed`` those of further
        entries that are known. ``services`` has the registered incarnations.
        """
        self._services = services
        self._shares.set_entries(now, alive, listed)
        self.statements.forget_unregistered(now, services)
        for demand in self._demands.values():
            demand.discard_old(now)
        for incarnation, limit in self.statements.list_limits().items():
            if incarnation in self._buckets:
                rate = self._compute_demand(now, incarnation)
                self._shares.set_demand(incarnation, rate / max(limit, MIN_RATE))
        self._apply_limits(now)

    def _compute_demand(self, now: float, incarnation: str) -> float:
        """Return the requests a second of callers for the service of a target."""
        demand = self._demands.get(self._services.get(incarnation, ""))
        return 0.0 if demand is None else demand.compute_rate(now)

    def _apply_limits(self, now: float) -> None:
        """Set the rates of all buckets; limits that ended have none."""
        limits = self.statements.list_limits()
        for incarnation in self._buckets.keys() - limits.keys():
            del self._buckets[incarnation]
            self._shares.remove_limit(incarnation)
        for incarnation, limit in limits.items():
            bucket = self._buckets.setdefault(incarnation, TokenBucket(now))
            first_at = self.statements.get_first_at(incarnation)
            self._shares.set_limit(incarnation, first_at, compute_permits(limit))
            share = self._shares.compute_share(now, incarnation)
            rate = RATE_FACTOR * max(limit, MIN_RATE) * share.fraction
            bucket.set_rate(now, rate, float(share.burst))
