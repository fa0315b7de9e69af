"""Divides the request limit of a target among the entries, without a coordinator.

Each entry has a claim to each limit, a small number that follows its demand, and tells
the others. An entry uses the fraction ``n / (n + s)`` of the limit. ``s`` is the sum of
the claims of the others as far as it knows them. ``n`` is the lowest value of its own
claim that any other entry may still hold; so an entry lowers its claim at once and
raises it when all others have acknowledged that. If entry B uses ``n``, every other
entry counts B with at least ``n``. So the fractions never add up to more than one,
whoever is cut off or suspended and however late messages are.

Before an entry heard another one's claim, it assumes one that needs no message: the
entries that are first in an order by hash claim equal parts, the others nothing. An
entry that it has not reached counts fully. An entry that starts tells its claims before
it sends anything, since it has to hear of the others first; if it reaches none of them
for ``ISOLATED_START_S``, it assumes the equal parts.

A limit may allow less than one request for each entry. Each entry that sends may have
one request in hand at any time, so only as many entries may send as the bound on
requests at once allows (permits). An entry claims a part if it has demand and fewer
entries than that, which come before it in the order, claim one. An entry sends only if
its fraction is worth a permit.

Entries that are lost still count for ``retrybudget.ENTRY_COUNT_MEMORY_S``, since they
may be serving callers. If they hold no more than ``MAX_LOST_SHARE`` together, the
others adjust without them; the bound on the rate leaves room for that.

``Bound`` and ``SharePolicy`` are what differs between uses of this logic. With a sparse
policy, entries tell only the claims that differ from those that all assume without any
message (standing claims), so hundreds of entries can divide thousands of limits.
"""

import bisect
import dataclasses
import hashlib
import math
import typing
import zlib

from sardinesaddle.direct import retrybudget, sharespare

MAX_CLAIM: typing.Final = 8
MAX_LOST_SHARE: typing.Final = 0.25  # of all claims
# An entry that starts without reaching the others uses nothing for so long.
ISOLATED_START_S: typing.Final = 10.0
UNKNOWN_PROCESS: typing.Final = -1  # of an entry whose claims are not known


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """A users' bound: ``factor`` times a rate plus ``slack`` in any ``window_s``."""

    window_s: float
    factor: float
    slack: float

    def compute_allowed(self, rate: float) -> float:
        """Return how many requests a window may have."""
        return self.factor * rate * self.window_s + self.slack


@dataclasses.dataclass(frozen=True, slots=True)
class SharePolicy:
    """How entries claim parts of a limit.

    ``standing_claim`` is what each first sender claims before any message,
    ``max_claim`` the highest claim, and ``used_claim`` what an entry claims beyond its
    standing claim to a limit that it uses. Each entry counts one such claim also if it
    knows none, so that standing parts are the same in all views. A first sender has
    ``permits_per_sender`` of the permits, and permits for ``spare_senders`` more are
    kept back, for an entry that counts itself among them since it does not know a new
    one yet. ``max_lost_share`` and ``isolated_start_s`` are described in the module.
    For ``discovery_s`` after its start, an entry has no share.

    With ``is_sparse``, standing claims are not sent, each process of another entry is
    told the other claims once, and the first senders follow each other on a ring of
    hashes, which takes less time to find than an order for each limit.
    """

    standing_claim: int = MAX_CLAIM
    max_claim: int = MAX_CLAIM
    used_claim: int = 0
    permits_per_sender: int = 1
    spare_senders: int = 0
    max_lost_share: float = MAX_LOST_SHARE
    isolated_start_s: float = ISOLATED_START_S
    discovery_s: float = retrybudget.ENTRY_DISCOVERY_S
    is_sparse: bool = False

    def count_first_senders(self, permits: int) -> int:
        """Return how many entries claim a part before any message."""
        return max(permits // self.permits_per_sender - self.spare_senders, 1)

    def compute_spare_claim(self, permits: int) -> int:
        """Return what is kept free of a limit, as a claim that nobody uses."""
        if not self.used_claim:
            return 0
        return sharespare.compute_spare_claim(
            permits,
            self.count_first_senders(permits),
            self.standing_claim,
            self.used_claim,
        )


DEFAULT_POLICY: typing.Final = SharePolicy()


def compute_limit_id(incarnation: str) -> int:
    """Return the number that stands for an incarnation in messages."""
    return zlib.crc32(incarnation.encode())


@dataclasses.dataclass(slots=True)
class Peer:
    """Another entry.

    ``process`` is the number of its present process, 0 before the first contact;
    ``contacted_at`` is when it first replied. ``claims`` is what it claims, with the
    ``number`` of that update. ``held`` is the lowest value of this entry's claims that
    it may hold. ``acknowledged`` is the number of this entry's claims that it has,
    ``digest`` that of the statements that it has. ``was_told`` is set when this entry's
    claims were sent to its process. ``has_replied`` is set when any process at the host
    replied, ``is_told_lost`` if another entry tells that it is lost. ``missing`` are
    the entries that it did not list as alive.
    """

    last_known_at: float
    is_alive: bool = False
    process: int = 0
    contacted_at: float | None = None
    number: int = -1
    claims: dict[int, int] = dataclasses.field(default_factory=dict)
    held: dict[int, int] = dataclasses.field(default_factory=dict)
    acknowledged: int = -1
    digest: int = 0
    was_told: bool = False
    has_replied: bool = False
    is_told_lost: bool = False
    missing: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class DividedLimit:
    """A limit that is divided; ``permits`` is how many entries may send at once.

    ``first_senders`` are the entries that claim a part before any message. ``order``
    is the position of each known entry in the order by hash. ``others`` is the sum of
    the claims of all other entries, and ``usable`` the part of this entry's own claim
    that all of them hold; ``recount`` computes both anew.
    """

    incarnation: str
    first_at: float
    permits: int
    own_claim: int = 0
    others: int = 0
    usable: int = 0
    first_senders: frozenset[str] = frozenset()
    order: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """An entry's part of a limit: the fraction, and how many requests at once."""

    fraction: float
    burst: int


NO_SHARE: typing.Final = Share(0.0, 0)


class LimitShares:
    """The claims of an entry and of the others that it knows."""

    def __init__(
        self, host: str, started_at: float, policy: SharePolicy = DEFAULT_POLICY
    ) -> None:
        self._host = host
        self._policy = policy
        self._started_at = started_at
        self._peers: dict[str, Peer] = {}
        self._limits: dict[int, DividedLimit] = {}
        # Increases with each change of this entry's claims.
        self.number = 0
        self._is_withdrawn = False
        self._has_started_long_ago = False
        self._knows_entries = False
        # Whether sums of claims may have changed since the last recount.
        self._needs_recount = True
        # Lost entries, as far as the live ones agree.
        self._lost: frozenset[str] = frozenset()
        # Hashes of the known entries, in order, and the entries.
        self._ring: list[tuple[bytes, str]] = []
        # Increases when the known entries change.
        self.entries_number = 0
        # When an entry last replied that had not replied before.
        self.reached_at = started_at
        self._set_orders()

    # The entries.

    @property
    def has_reached_all(self) -> bool:
        """Whether each entry replied that is known and that others have not lost."""
        return self._knows_entries and all(
            peer.has_replied or peer.is_told_lost for peer in self._peers.values()
        )

    def get_peer(self, host: str) -> Peer | None:
        """Return what is known of another entry, or None."""
        return self._peers.get(host)

    def set_entries(
        self,
        now: float,
        alive: typing.Collection[str],
        listed: typing.Collection[str],
    ) -> None:
        """Set which entries are alive, and which are known but not reached.

        Others are forgotten some time after they were known last.
        """
        alive = frozenset(alive)
        uptime_s = now - self._started_at
        has_started_long_ago = uptime_s >= self._policy.isolated_start_s
        self._needs_recount |= has_started_long_ago != self._has_started_long_ago
        self._has_started_long_ago = has_started_long_ago
        self._knows_entries = True
        self.add_entries(now, (*alive, *listed))
        has_changed = False
        for host, peer in list(self._peers.items()):
            self._needs_recount |= peer.is_alive != (host in alive)
            peer.is_alive = host in alive
            if peer.is_alive:
                peer.last_known_at = now
            elif now - peer.last_known_at > retrybudget.ENTRY_COUNT_MEMORY_S:
                del self._peers[host]
                has_changed = True
        if has_changed:
            self._set_orders()
        if self._needs_recount or not self._policy.is_sparse:
            self.recount()

    def add_entries(self, now: float, hosts: typing.Iterable[str]) -> None:
        """Count entries that were not known, as ones that claim most."""
        new_hosts = {*hosts} - self._peers.keys() - {self._host}
        if new_hosts:
            for host in new_hosts:
                self._peers[host] = Peer(now)
            self._set_orders()
            self.recount()

    def list_unreached(self) -> list[str]:
        """Return the entries whose claims this entry has to ask the others for."""
        return [
            host
            for host, peer in self._peers.items()
            if not peer.has_replied and not peer.is_told_lost
        ]

    def list_lost(
        self, now: float, host: str, asked: typing.Collection[str]
    ) -> list[tuple[str, int, list[tuple[int, int]] | None]]:
        """Return the entries that a new process of another one has to count.

        These are those that it asked for, and those that are no longer listed, so that
        it cannot hear of them otherwise. They may be cut off from it and still use what
        they claim.
        """
        is_new = self._peers[host].acknowledged < 0
        return [
            (
                lost,
                int(now - peer.last_known_at),
                list(peer.claims.items()) if self._claims_standing(peer) else None,
            )
            for lost, peer in self._peers.items()
            if lost in asked or (is_new and not peer.is_alive and lost != host)
        ]

    def add_lost(
        self,
        now: float,
        lost: typing.Iterable[tuple[str, int, list[tuple[int, int]] | None]],
    ) -> None:
        """Count entries that another one has lost, unless one is known better."""
        has_changed = False
        for host, age_s, claims in lost:
            known = self._peers.get(host)
            if host == self._host or (known is not None and known.process):
                continue
            if known is None:
                known = self._peers[host] = Peer(now - max(age_s, 0))
            known.is_told_lost = True
            if claims is None:
                # Without a claim it counts as one that claims most.
                known.process = UNKNOWN_PROCESS
            known.claims = dict(claims or ())
            has_changed = True
        if has_changed:
            self._set_orders()
            self.recount()

    def recount(self) -> None:
        """Compute the sums of all claims from what is known of each entry."""
        self._needs_recount = False
        self._lost = self._list_agreed_lost()
        for limit_id, limit in self._limits.items():
            self._recount_limit(limit_id, limit)

    def on_listed(self, host: str, listed: typing.Iterable[str]) -> None:
        """Note which of the known entries another one does not list as alive."""
        peer = self._peers[host]
        missing = frozenset(self._peers.keys() - {*listed})
        if missing != peer.missing:
            peer.missing = missing
            self._needs_recount = True

    def _list_agreed_lost(self) -> frozenset[str]:
        """Return the entries that are lost, of which no live entry says otherwise.

        If only the link between two entries fails, both might claim the same limit and
        pass over each other.
        """
        lost = [host for host, peer in self._peers.items() if not peer.is_alive]
        if not self._policy.is_sparse or not lost:
            return frozenset(lost)
        return frozenset(lost).intersection(
            *(peer.missing for peer in self._peers.values() if peer.is_alive)
        )

    def on_process(self, now: float, host: str, process: int) -> Peer:
        """Note the process of an entry that a message came from."""
        self.add_entries(now, (host,))
        peer = self._peers[host]
        if peer.process != process:
            peer.process = process
            peer.contacted_at = None
            peer.number = peer.acknowledged = -1
            peer.digest = 0
            peer.was_told = False
            peer.claims = {}
            # A new process gets these before it may send anything.
            peer.held = self.list_claims()
            self.recount()
        return peer

    def on_claims(
        self, host: str, number: int, claims: typing.Iterable[tuple[int, int]]
    ) -> None:
        """Apply the claims of another entry, unless newer ones were applied."""
        peer = self._peers[host]
        if number >= peer.number:
            self._needs_recount = True
            known = {
                limit_id: self._get_claim(host, peer, limit_id, limit)
                for limit_id, limit in self._limits.items()
            }
            peer.number = number
            peer.claims = dict(claims)
            for limit_id, limit in self._limits.items():
                claim = self._get_claim(host, peer, limit_id, limit)
                limit.others += claim - known[limit_id]

    def on_acknowledged(
        self, host: str, number: int, claims: typing.Iterable[tuple[int, int]]
    ) -> None:
        """Note that another entry holds these claims of this entry.

        If they changed since, it may hold later ones as well.
        """
        if number == self.number:
            peer = self._peers[host]
            peer.acknowledged = number
            peer.held = dict(claims)
            self._needs_recount = True

    def on_reply(
        self,
        now: float,
        host: str,
        process: int,
        number: int,
        claims: typing.Iterable[tuple[int, int]] | None,
    ) -> None:
        """Note that an entry replied to a message, which had claims unless None."""
        peer = self.on_process(now, host, process)
        if peer.contacted_at is None:
            peer.contacted_at = now
            self._needs_recount = True
        if not peer.has_replied:
            peer.has_replied = True
            self.reached_at = now
        if claims is not None:
            self.on_acknowledged(host, number, claims)

    def take_claims(self, host: str, is_reply: bool) -> list[tuple[int, int]] | None:
        """Return the claims to send to another entry now, None if it needs none.

        A reply is not acknowledged, so it repeats no claims that were sent before;
        with a sparse policy it does, since no claims in it mean that there are none.
        """
        peer = self._peers[host]
        is_repeated = is_reply and peer.was_told and not self._policy.is_sparse
        if is_repeated or not self.needs_claims(host):
            return None
        peer.was_told = True
        self.on_sent(host)
        return list(self.list_claims().items())

    def needs_claims(self, host: str) -> bool:
        """Return whether another entry may lack this entry's claims.

        It has those that are what it assumes without any message.
        """
        peer = self._peers[host]
        if peer.acknowledged == self.number:
            return False
        return self._policy.is_sparse or any(
            limit_id in peer.held
            or not is_known_before(peer, limit)
            or limit.own_claim != self._get_held(peer, limit_id, limit)
            for limit_id, limit in self._limits.items()
        )

    def on_sent(self, host: str) -> None:
        """Note that this entry's claims are sent, which may arrive or not."""
        peer = self._peers[host]
        for limit_id, limit in self._limits.items():
            held = self._get_held(peer, limit_id, limit)
            peer.held[limit_id] = min(held, limit.own_claim)

    # The limits.

    def set_limit(self, incarnation: str, first_at: float, permits: int) -> None:
        """Add a limit, or change the permits of one."""
        limit_id = compute_limit_id(incarnation)
        limit = self._limits.get(limit_id)
        if limit is None:
            limit = self._limits[limit_id] = DividedLimit(
                incarnation, first_at, permits
            )
            self._set_order(limit)
            is_silent = self._is_withdrawn and not self._policy.is_sparse
            limit.own_claim = 0 if is_silent else self._get_standing(self._host, limit)
            self._recount_limit(limit_id, limit)
            if not self._policy.is_sparse:
                self.number += 1
            return
        limit.first_at = min(limit.first_at, first_at)
        if limit.permits != permits:
            limit.permits = permits
            self._set_order(limit)
            self._recount_limit(limit_id, limit)

    def remove_limit(self, incarnation: str) -> None:
        """Forget a limit that is no longer in force."""
        removed = self._limits.pop(compute_limit_id(incarnation), None)
        if removed is not None and not self._policy.is_sparse:
            self.number += 1

    def list_claims(self) -> dict[int, int]:
        """Return this entry's claims, with a sparse policy those that it tells."""
        return {
            limit_id: limit.own_claim
            for limit_id, limit in self._limits.items()
            if not self._policy.is_sparse
            or limit.own_claim != self._get_standing(self._host, limit)
        }

    def is_first_sender(self, incarnation: str, permits: int) -> bool:
        """Return whether this entry may send to a target before any message."""
        return self._host in self._find_on_ring(incarnation, permits)

    def set_used(self, incarnation: str, is_used: bool) -> None:
        """Claim most of a limit that this entry uses, else its standing part.

        A claim that could not be used, since an entry that is lost holds a lower one,
        is not made: the others would only leave a part unused for it.
        """
        limit = self._limits[compute_limit_id(incarnation)]
        claim = self._get_standing(self._host, limit)
        if is_used and not self._is_withdrawn:
            highest = claim + self._policy.used_claim
            if limit.own_claim == highest or self._may_skip_lost(limit, highest):
                claim = highest
        if claim != limit.own_claim:
            limit.own_claim = claim
            limit.usable = min(limit.usable, claim)
            self.number += 1
            self._needs_recount = True

    def set_demand(self, incarnation: str, demand: float) -> None:
        """Compute the claim from the demand, as a part of the limit from 0 to 1."""
        limit = self._limits[compute_limit_id(incarnation)]
        claim = self._compute_claim(limit, demand)
        is_small_change = (
            claim and limit.own_claim and abs(claim - limit.own_claim) == 1
        )
        if claim != limit.own_claim and not is_small_change:
            limit.own_claim = claim
            limit.usable = min(limit.usable, claim)
            self.number += 1

    def withdraw(self) -> None:
        """Give up all claims for good, since this entry stops.

        With a sparse policy the standing claims remain: the next process at this host
        assumes them before any message.
        """
        self._is_withdrawn = True
        for limit in self._limits.values():
            rest = 0
            if self._policy.is_sparse:
                rest = self._get_standing(self._host, limit)
            limit.own_claim = rest
            limit.usable = min(limit.usable, rest)
        self.number += 1

    def compute_share(self, now: float, incarnation: str) -> Share:
        """Return the part of a limit that this entry may use now."""
        has_just_started = now - self._started_at < self._policy.discovery_s
        if has_just_started or not self._knows_entries:
            return NO_SHARE
        limit = self._limits[compute_limit_id(incarnation)]
        total = limit.usable + limit.others
        if self._peers:
            total = max(total, self._compute_least_total(limit))
            total += self._policy.compute_spare_claim(limit.permits)
        if not limit.usable or limit.permits * limit.usable < total:
            return NO_SHARE
        return Share(limit.usable / total, limit.permits * limit.usable // total)

    def _compute_least_total(self, limit: DividedLimit) -> int:
        """Return the sum of all claims if one entry uses a limit."""
        used_claim = self._policy.used_claim
        if not used_claim:
            return 0
        return len(limit.first_senders) * self._policy.standing_claim + used_claim

    def _recount_limit(self, limit_id: int, limit: DividedLimit) -> None:
        """Compute the sums of one limit; see ``DividedLimit``."""
        others = lost = 0
        held = held_by_lost = limit.own_claim
        for host, peer in self._peers.items():
            claim = self._get_claim(host, peer, limit_id, limit)
            others += claim
            if peer.is_alive or host not in self._lost:
                held = min(held, self._get_held(peer, limit_id, limit))
            else:
                lost += claim
                held_by_lost = min(held_by_lost, self._get_held(peer, limit_id, limit))
        total = others + limit.own_claim
        may_skip_lost = lost <= self._policy.max_lost_share * total
        limit.others = others
        limit.usable = held if may_skip_lost else min(held, held_by_lost)

    def _may_skip_lost(self, limit: DividedLimit, own_claim: int) -> bool:
        """Return whether a claim may be used that entries that are lost do not hold."""
        if any(not p.is_alive and h not in self._lost for h, p in self._peers.items()):
            return False
        limit_id = compute_limit_id(limit.incarnation)
        lost = sum(
            self._get_claim(host, peer, limit_id, limit)
            for host, peer in self._peers.items()
            if not peer.is_alive
        )
        return lost <= self._policy.max_lost_share * (limit.others + own_claim)

    def _compute_claim(self, limit: DividedLimit, demand: float) -> int:
        """Return the claim for a demand; 0 if enough entries are before this one."""
        if demand <= 0.0 or self._is_withdrawn:
            return 0
        limit_id = compute_limit_id(limit.incarnation)
        own_position = limit.order[self._host]
        before = sum(
            self._get_claim(host, peer, limit_id, limit) > 0
            and (limit.order[host] < own_position or not peer.is_alive)
            for host, peer in self._peers.items()
        )
        if before >= limit.permits:
            return 0
        # With a smaller claim, a fraction beside full ones would be worth no permit.
        others = min(len(self._peers), limit.permits - 1)
        smallest = -(-MAX_CLAIM * others // max(limit.permits - 1, 1))
        claim = math.ceil(MAX_CLAIM * min(demand, 1.0))
        return min(max(claim, smallest, 1), MAX_CLAIM)

    def _get_claim(
        self, host: str, peer: Peer, limit_id: int, limit: DividedLimit
    ) -> int:
        """Return what an entry claims, or may claim before it said so."""
        claim = peer.claims.get(limit_id)
        if claim is not None:
            return claim
        if self._is_assumed(peer, limit):
            return self._get_standing(host, limit)
        return self._policy.max_claim

    def _is_assumed(self, peer: Peer, limit: DividedLimit) -> bool:
        """Return whether an entry claims what all assume, as it told nothing else."""
        if not self._policy.is_sparse:
            return is_known_before(peer, limit)
        return self._claims_standing(peer)

    def _claims_standing(self, peer: Peer) -> bool:
        """Return whether what an entry did not tell are standing claims, if sparse."""
        was_never_reached = peer.process == 0 and not peer.is_alive
        # An entry that divides nothing replies without claims.
        has_told = peer.number >= 0 or peer.contacted_at is not None
        return has_told or (was_never_reached and self._has_started_long_ago)

    def _get_standing(self, host: str, limit: DividedLimit) -> int:
        """Return what an entry claims before any message."""
        return self._policy.standing_claim if host in limit.first_senders else 0

    def _get_held(self, peer: Peer, limit_id: int, limit: DividedLimit) -> int:
        """Return the lowest value of this entry's claim that another may hold."""
        held = peer.held.get(limit_id)
        if held is not None:
            return held
        if peer.process == 0 and not self._has_started_long_ago:
            return 0
        return self._get_standing(self._host, limit)

    def _set_orders(self) -> None:
        """Compute the orders of all limits after a change of the known entries."""
        self._needs_recount = True
        self.entries_number += 1
        if self._policy.is_sparse:
            hosts = (self._host, *self._peers)
            self._ring = sorted((compute_hash(host), host) for host in hosts)
        for limit in self._limits.values():
            self._set_order(limit)

    def _set_order(self, limit: DividedLimit) -> None:
        """Compute the order of the known entries, and which of them send first."""
        if self._policy.is_sparse:
            senders = self._find_on_ring(limit.incarnation, limit.permits)
            limit.first_senders = frozenset(senders)
            if limit.own_claim <= self._policy.standing_claim:
                limit.own_claim = self._get_standing(self._host, limit)
            return
        hosts = sorted(
            (self._host, *self._peers),
            key=lambda host: compute_hash(f"{host}/{limit.incarnation}"),
        )
        limit.order = {host: position for position, host in enumerate(hosts)}
        limit.first_senders = frozenset(
            hosts[: self._policy.count_first_senders(limit.permits)]
        )

    def _find_on_ring(self, incarnation: str, permits: int) -> list[str]:
        """Return the first senders of a limit, which follow its hash on the ring."""
        count = min(self._policy.count_first_senders(permits), len(self._ring))
        start = bisect.bisect_left(self._ring, (compute_hash(incarnation), ""))
        return [
            self._ring[(start + step) % len(self._ring)][1] for step in range(count)
        ]


def is_known_before(peer: Peer, limit: DividedLimit) -> bool:
    """Return whether an entry was contacted before a limit was stated first."""
    return peer.contacted_at is not None and peer.contacted_at <= limit.first_at


def compute_hash(text: str) -> bytes:
    """Return a hash that orders entries."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
