"""Bounds what callers make an entry hold, so that it stays within its host's memory.

Each holder counts its bytes in a ``Holding``: bytes that are not parsed yet, heads that
wait, a body until nothing can send it again. Responses are counted by
``responsebuffers``, which holds them back instead. Requests and responses have fixed
parts of the bound, since neither may use up what the other needs.

Holdings of up to ``SMALL_BYTES`` have a part of their own, so that ordinary requests
are served beside large ones. When a part is exceeded, its holdings are evicted: first
retry copies, which only serve to send a request again, then those that are large and
have made no progress for long, by the product of both. The last large one stays, so
that a single request is served whatever the bound.
"""

import abc
import asyncio
import math
import os
import pathlib
import resource
import typing

SMALL_BYTES: typing.Final = 64 * 1024
SMALL_SHARE: typing.Final = 0.5  # of what requests may hold
REQUEST_SHARE: typing.Final = 0.5  # of the bound; the rest is for responses
# Bytes that count as progress; a byte now and then does not.
PROGRESS_BYTES: typing.Final = 16 * 1024
# Of the process without what callers make it hold.
OWN_BYTES: typing.Final = 96 * 1024 * 1024
# Of the memory beside that. What is held takes more in the allocator, and for a moment
# twice when it is copied.
HELD_SHARE: typing.Final = 0.5
MIN_TOTAL_BYTES: typing.Final = 16 * 1024 * 1024
CGROUP_LIMIT: typing.Final = pathlib.Path("/sys/fs/cgroup/memory.max")
FILE_DESCRIPTORS: typing.Final = 200  # that the platform keeps for files
FILE_DESCRIPTOR_SHARE: typing.Final = 0.125  # of the limit, if that is less
# Of the other descriptors. Each request may need a connection to a target, too, and
# some are left for other entries, the store, and connections that are being closed.
CALLER_DESCRIPTOR_SHARE: typing.Final = 0.45


class Holder(abc.ABC):
    """What holds bytes for a caller and can be asked to release them."""

    @abc.abstractmethod
    def evict(self) -> None:
        """Release the bytes; they are no longer counted."""


class Holding:
    """The bytes that one holder has; ``progressed_at`` is the event loop's time.

    Holdings of the same ``owner``, a connection, belong to one request.
    ``is_retry_copy`` is set while they only serve to send a request again. Once a
    holding is evicted, nothing more is counted in it.
    """

    __slots__ = (
        "_memory",
        "_progress_bytes",
        "is_evicted",
        "held_bytes",
        "holder",
        "is_retry_copy",
        "progressed_at",
        "owner",
    )

    def __init__(self, memory: "CallerMemory", holder: Holder, owner: object) -> None:
        self._memory = memory
        self.owner = owner
        self._progress_bytes = 0
        self.holder = holder
        self.held_bytes = 0
        self.is_retry_copy = False
        self.is_evicted = False
        self.progressed_at = asyncio.get_running_loop().time()

    def set_held(self, held_bytes: int) -> None:
        """Count that the holder has so many bytes now; this may evict holdings."""
        if self.is_evicted or held_bytes == self.held_bytes:
            return
        self._progress_bytes += abs(held_bytes - self.held_bytes)
        if self._progress_bytes >= PROGRESS_BYTES:
            self.mark_progress()
        self._memory.change(self, held_bytes)

    def mark_progress(self) -> None:
        """Record that the caller or the target has done its part just now."""
        self._progress_bytes = 0
        self.progressed_at = asyncio.get_running_loop().time()

    @property
    def is_large(self) -> bool:
        """Whether the holding belongs to the part of large ones."""
        return self.held_bytes > SMALL_BYTES


class CallerMemory:
    """What all requests of an entry hold; ``total_bytes`` bounds it with responses.

    ``evictions`` counts the evicted holdings, by whether they were retry copies.
    """

    def __init__(self, total_bytes: float) -> None:
        self.total_bytes = total_bytes
        self.held_bytes = {False: 0, True: 0}  # by whether the holdings are large
        self.evictions = {False: 0, True: 0}
        self._holdings: dict[bool, set[Holding]] = {False: set(), True: set()}

    def count_held(self) -> int:
        """Return how many bytes all requests hold."""
        return sum(self.held_bytes.values())

    @property
    def response_bytes(self) -> float:
        """The part of the bound that responses have."""
        return self.total_bytes * (1.0 - REQUEST_SHARE)

    def get_bound(self, is_large: bool) -> float:
        """Return how many bytes the large or the small holdings may have together."""
        share = 1.0 - SMALL_SHARE if is_large else SMALL_SHARE
        return self.total_bytes * REQUEST_SHARE * share

    def open(self, holder: Holder, owner: object) -> Holding:
        """Return a holding without bytes."""
        return Holding(self, holder, owner)

    def change(self, holding: Holding, held_bytes: int) -> None:
        """Count what a holding has; evict others, or this one, if that is too much."""
        self._remove(holding)
        holding.held_bytes = held_bytes
        if not held_bytes:
            return
        is_large = holding.is_large
        self._holdings[is_large].add(holding)
        self.held_bytes[is_large] += held_bytes
        bound = self.get_bound(is_large)
        while self.held_bytes[is_large] > bound:
            victim = self._choose_victim(is_large)
            if victim is None:
                break
            self._remove(victim)
            victim.held_bytes = 0
            victim.is_evicted = True
            self.evictions[victim.is_retry_copy] += 1
            victim.holder.evict()

    def _remove(self, holding: Holding) -> None:
        """Count that a holding has nothing."""
        if holding.held_bytes:
            self._holdings[holding.is_large].discard(holding)
            self.held_bytes[holding.is_large] -= holding.held_bytes

    def _choose_victim(self, is_large: bool) -> Holding | None:
        """Return the holding to evict next; None if only one owner is left."""
        holdings = self._holdings[is_large]
        if len({id(holding.owner) for holding in holdings}) <= 1:
            return None
        now = asyncio.get_running_loop().time()
        return max(
            holdings,
            key=lambda holding: (
                holding.is_retry_copy,
                holding.held_bytes * (now - holding.progressed_at),
                holding.held_bytes,
            ),
        )


class UncountedHolder(Holder):
    """Holds bytes that no caller sent."""

    def evict(self) -> None:
        """Do nothing; what is not counted is not asked."""


def open_uncounted() -> Holding:
    """Return a holding for a request that no caller sent."""
    return CallerMemory(math.inf).open(UncountedHolder(), None)


def read_memory_limit(stated_mb: int | None) -> int:
    """Return the memory that this process may take, in bytes.

    ``stated_mb`` is what the operators state, in units of 1,000,000 bytes.
    """
    limits = [os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")]
    if stated_mb is not None:
        limits.append(stated_mb * 1_000_000)
    try:
        limits.append(int(CGROUP_LIMIT.read_text()))
    except (OSError, ValueError):
        pass  # No limit is stated.
    return min(limits)


def compute_default_total(limit_bytes: int) -> int:
    """Return what callers may make a process hold that may take ``limit_bytes``."""
    return max(int((limit_bytes - OWN_BYTES) * HELD_SHARE), MIN_TOTAL_BYTES)


def compute_max_connections(stated_descriptors: int | None) -> int:
    """Return how many connections of callers a process may have open.

    ``stated_descriptors`` is what the operators state; the kernel's limit counts, too.
    """
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit == resource.RLIM_INFINITY or limit > (stated_descriptors or limit):
        limit = stated_descriptors or 2**20
    files = min(FILE_DESCRIPTORS, int(limit * FILE_DESCRIPTOR_SHARE))
    return max(int((limit - files) * CALLER_DESCRIPTOR_SHARE), 1)
