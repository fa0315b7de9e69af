"""Divides the memory of an engine among the entries; runs in the engine's sidecar.

The sidecar states to each entry, in its reports, what the entry's requests may need
together of the engine's memory (a limit), at each of ``HORIZONS``. The limits never add
up to more than the memory, less a margin for growth that the entries did not expect:

- If requests have grown such that the memory is too small for all that may come, the
  limits are below what the entries hold, until enough requests have ended.
- A limit counts at the entry for ``LEASE_S``, from the time at which the entry sent its
  previous reply. The sidecar counts from the arrival of that reply, which is later. So
  no delay of messages makes a limit count longer than the sidecar assumes.
- A lower limit frees memory only when the entry has replied to it, and only that part
  which the entry does not hold.
- What an entry may have sent that no longer replies counts until its requests have
  ended. Then its standing part remains reserved for some time; see ``STANDING_SHARE``.
- A sidecar that starts raises no limit before the leases of its predecessor have ended.

Memory that the engine uses beyond all limits belongs to requests that no entry stated;
it is not given out. See docs/design/engine-memory.md.
"""

import collections.abc
import dataclasses
import math
import operator
import typing

from sardinesaddle.direct import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Horizon:
    """A number of steps from now, and the part of the memory that is kept free then.

    In a step, each running request grows by a token.
    """

    steps: int
    margin: float

    def compute_budget(self, total: float) -> int:
        """Return what all requests may need together of a memory."""
        return int(total * (1.0 - self.margin))


# The longer ahead, the fewer requests of now are left and the less is known of how far
# they have grown; a narrow margin would then bound the sum badly.
HORIZONS: typing.Final = (
    Horizon(0, 0.06),
    Horizon(32, 0.06),
    Horizon(64, 0.08),
    Horizon(128, 0.1),
    Horizon(256, 0.1),
    Horizon(512, 0.15),
    Horizon(1024, 0.2),
    Horizon(2048, 0.3),
    Horizon(4096, 0.4),
    Horizon(8192, 0.5),
    Horizon(16384, 0.5),
)
NOTHING: typing.Final = (0,) * len(HORIZONS)
# Three reports in 0.9 s; a lost one ends no lease. Requests in need of a higher limit
# wait that long at most for what an entry that is lost could still use.
LEASE_S: typing.Final = 1.2
# From the check of a limit until the engine counts the request: connecting takes up to
# 0.3 s, and the engine's state is read every 0.1 s.
ARRIVAL_S: typing.Final = 0.5
# After a new process replied, until the engine has cancelled the requests of the old
# one, whose connections ended with it.
PROCESS_END_S: typing.Final = 1.0
# An entry whose lease has ended may hold this part, at most that of an equal division.
STANDING_SHARE: typing.Final = 1.0 / 32.0
STANDING_MEMORY_S: typing.Final = 60.0  # after the last reply of an entry
# Between two searches for entries that are lost. One that is not found yet counts with
# its limit, as it does while its lease lasts.
RECOUNT_S: typing.Final = 0.25
# An entry with the engine in its subset sends it most of its requests.
SUBSET_WEIGHT: typing.Final = 8.0
ACTIVE_WEIGHT: typing.Final = 2.0
IDLE_WEIGHT: typing.Final = 1.0
# Of the memory that is kept free for the large requests of entries with the engine in
# their subset. Memory that is kept free for long is unused.
MAX_RESERVE_SHARE: typing.Final = 0.125
# With more entries, equal parts would be too small for a request. Idle entries then get
# a part when they hold or want memory.
MAX_IDLE_ENTRIES: typing.Final = 16


Amounts = collections.abc.Sequence[int]
"""Tokens at each horizon."""


@dataclasses.dataclass(slots=True)
class Holder:
    """A process of an entry.

    ``limit`` is the highest limit that it may use or hold, ``stated`` the newest one.
    ``held`` and ``wanted`` are from its last reply, at ``replied_at``. ``lost_limit``
    is what counts for it once its lease has ended. ``weight`` is the part of free
    memory that it gets, relative to the others.
    """

    process: int
    replied_at: float = -math.inf
    echo_ms: int = 0
    hold_s: float = 0.0
    held: Amounts = NOTHING
    wanted: Amounts = NOTHING
    limit: Amounts = NOTHING
    stated: Amounts = NOTHING
    is_in_subset: bool = False
    lost_limit: Amounts | None = None
    weight: float = 0.0


class Sums:
    """Sums over holders: what they may hold, what they hold, what is kept for them."""

    __slots__ = ("held", "limited", "wanted", "weight")

    def __init__(self) -> None:
        self.limited: Amounts = NOTHING
        self.held: Amounts = NOTHING
        self.wanted: Amounts = NOTHING
        self.weight = 0.0

    def add(self, holder: Holder, sign: int) -> None:
        """Add a holder, or with ``sign`` -1 take it away."""
        change = operator.add if sign > 0 else operator.sub
        lost_limit = holder.lost_limit
        limit = holder.limit if lost_limit is None else lost_limit
        held = holder.held if lost_limit is None else lost_limit
        self.limited = list(map(change, self.limited, limit))
        self.held = list(map(change, self.held, held))
        self.weight += sign * holder.weight
        if holder.is_in_subset and lost_limit is None:
            self.wanted = list(map(change, self.wanted, holder.wanted))

    def add_ended(self, limit: Amounts) -> None:
        """Add the limit of a process that ended."""
        self.limited = list(map(operator.add, self.limited, limit))
        self.held = list(map(operator.add, self.held, limit))


class MemoryGrants:
    """The limits of the entries; times are the event loop's.

    Sums over all holders are kept up to date with each change, since hundreds of
    entries get thousands of reports a second.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._holders: dict[str, Holder] = {}
        # Processes that ended, with the times until which their requests count.
        self._ended: list[tuple[float, Amounts]] = []
        self._sums = Sums()
        self._counted_at = -math.inf

    def make_state(
        self, now: float, host: str, used: int, total: int
    ) -> messages.MemoryState | None:
        """Return the statement for an entry, None if the engine's memory is unknown."""
        if total <= 0:
            return None
        number = int(now * 1000.0)
        if host not in self._holders:
            return messages.MemoryState(used, total, number)
        if now - self._counted_at >= RECOUNT_S:
            self._recount(now, total)
        holder = self._holders.get(host)
        if holder is None:
            return messages.MemoryState(used, total, number)
        self._sums.add(holder, -1)
        stated = list(holder.held)
        if now - self._started_at >= LEASE_S + ARRIVAL_S:
            stated = self._compute_limit(holder, used, total)
        holder.stated = stated
        holder.limit = list(map(max, holder.limit, stated))
        self._sums.add(holder, 1)
        return messages.MemoryState(
            used, total, number, stated, holder.echo_ms, holder.process
        )

    def on_reply(
        self,
        now: float,
        host: str,
        use: messages.MemoryUse | None,
        is_in_subset: bool,
    ) -> None:
        """Apply what an entry replied to the statement that was made for it last."""
        if use is None or {len(use.held), len(use.wanted)} != {len(HORIZONS)}:
            return
        holder = self._holders.get(host)
        if holder is not None:
            self._sums.add(holder, -1)
            if holder.process != use.process:
                self._ended.append((now + PROCESS_END_S, holder.limit))
                self._counted_at = -math.inf
                holder = None
        if holder is None:
            holder = self._holders[host] = Holder(use.process)
        holder.replied_at = now
        holder.echo_ms = use.sent_ms
        holder.hold_s = max(use.hold_ms, 0) / 1000.0
        holder.held = use.held
        holder.wanted = use.wanted
        holder.limit = list(map(max, holder.stated, holder.held))
        holder.is_in_subset = is_in_subset
        holder.lost_limit = None
        self._set_weight(holder)
        self._sums.add(holder, 1)

    def _set_weight(self, holder: Holder) -> None:
        """Set the part of free memory that an entry gets, relative to the others."""
        if holder.lost_limit is not None:
            holder.weight = 0.0
        elif holder.is_in_subset:
            holder.weight = SUBSET_WEIGHT
        elif any(holder.held):
            holder.weight = ACTIVE_WEIGHT
        else:
            is_few = len(self._holders) <= MAX_IDLE_ENTRIES
            holder.weight = IDLE_WEIGHT if is_few else 0.0

    def _recount(self, now: float, total: int) -> None:
        """Find the entries that are lost, forget what no longer counts, add up all."""
        self._counted_at = now
        self._ended = [(until, limit) for until, limit in self._ended if until > now]
        standing = int(total * compute_standing_share(len(self._holders)))
        for host, holder in list(self._holders.items()):
            silent_s = now - holder.replied_at
            if silent_s > LEASE_S + ARRIVAL_S + holder.hold_s:
                holder.limit = holder.held = holder.stated = holder.wanted = NOTHING
            if silent_s > max(STANDING_MEMORY_S, holder.hold_s + 2.0 * LEASE_S):
                del self._holders[host]
                continue
            if silent_s > LEASE_S:
                holder.lost_limit = [max(limit, standing) for limit in holder.limit]
            self._set_weight(holder)
        self._sums = Sums()
        for holder in self._holders.values():
            self._sums.add(holder, 1)
        for _, limit in self._ended:
            self._sums.add_ended(limit)

    def _compute_limit(self, holder: Holder, used: int, total: int) -> list[int]:
        """Return the limit for an entry; the sums are those of all others."""
        sums = self._sums
        own_weight = holder.weight or IDLE_WEIGHT
        weight = own_weight / (own_weight + sums.weight)
        # Requests that no entry stated.
        unstated = max(used - sums.limited[0] - holder.limit[0], 0)
        limits = []
        for index, horizon in enumerate(HORIZONS):
            budget = horizon.compute_budget(total) - unstated
            held = holder.held[index]
            free = budget - sums.limited[index] - held
            pool = budget - sums.held[index] - held
            if free <= 0 or pool <= 0:
                # Requests have grown more than expected: an entry that has sent its
                # part may not replace all that end.
                limits.append(max(held + min(int(pool * weight), 0), 0))
                continue
            # The requests of others would else keep a large one waiting.
            pool -= min(sums.wanted[index], int(budget * MAX_RESERVE_SHARE))
            offer = 0
            if holder.weight:
                offer = int(pool * weight)
            limits.append(held + min(max(offer, holder.wanted[index]), free))
        return limits


def compute_standing_share(entry_count: int) -> float:
    """Return the part of the memory that an entry may hold without a lease."""
    return min(STANDING_SHARE, 1.0 / max(entry_count, 1))
