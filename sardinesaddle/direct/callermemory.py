"""Bounds what callers make an entry hold, so that it stays within its host's memory.

Each holder counts its bytes in a ``Holding``: bytes that are not parsed yet, heads that
wait, a body until nothing can send it again. Responses are counted by
``responsebuffers``, which holds them back instead. Requests and responses have fixed
parts of the bound, since neither may use up what the other needs.

Holdings of up to ``SMALL_BYTES`` have a part of their own, so that ordinary requests
are served beside large ones. When a part is exceeded, its holdings give way: first
spares, which only serve to send a request again, then those that are large and have not
moved for long, by the product of both. The last large one stays, so that a single
request is served whatever the bound.
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
# Bytes after which a holder counts as moving. A caller that sends a byte now and then
# does not move.
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
    """What holds bytes for a caller and can be asked to give them up."""

    @abc.abstractmethod
    def give_way(self) -> None:
        """Let go of the bytes; they are no longer counted."""


class Holding:
    """The bytes that one holder has; ``moved_at`` is the event loop's time.

    Holdings of the same ``owner``, a connection, belong to one request. ``is_spare`` is
    set while they only serve to send a request again. Once a holding has given way,
    nothing more is counted in it.
    """

    __slots__ = (
        "_memory",
        "_unmoved_bytes",
        "has_given_way",
        "held_bytes",
        "holder",
        "is_spare",
        "moved_at",
        "owner",
    )

    def __init__(self, memory: "CallerMemory", holder: Holder, owner: object) -> None:
        self._memory = memory
        self.owner = owner
        self._unmoved_bytes = 0
        self.holder = holder
        self.held_bytes = 0
        self.is_spare = False
        self.has_given_way = False
        self.moved_at = asyncio.get_running_loop().time()

    def set_held(self, held_bytes: int) -> None:
        """Count that the holder has so many bytes now; holdings may give way for it."""
        if self.has_given_way or held_bytes == self.held_bytes:
            return
        self._unmoved_bytes += abs(held_bytes - self.held_bytes)
        if self._unmoved_bytes >= PROGRESS_BYTES:
            self.mark_moved()
        self._memory.change(self, held_bytes)

    def mark_moved(self) -> None:
        """Record that the caller or the target has done its part just now."""
        self._unmoved_bytes = 0
        self.moved_at = asyncio.get_running_loop().time()

    @property
    def is_large(self) -> bool:
        """Whether the holding belongs to the part of large ones."""
        return self.held_bytes > SMALL_BYTES


class CallerMemory:
    """What all requests of an entry hold; ``total_bytes`` bounds it with responses.

    ``given_way`` counts the holdings that gave way, by whether they were spares.
    """

    def __init__(self, total_bytes: float) -> None:
        self.total_bytes = total_bytes
        self.held_bytes = {False: 0, True: 0}  # by whether the holdings are large
        self.given_way = {False: 0, True: 0}
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
        """Count what a holding has; let others, or this one, give way for it."""
        self._remove(holding)
        holding.held_bytes = held_bytes
        if not held_bytes:
            return
        is_large = holding.is_large
        self._holdings[is_large].add(holding)
        self.held_bytes[is_large] += held_bytes
        bound = self.get_bound(is_large)
        while self.held_bytes[is_large] > bound:
            chosen = self._choose(is_large)
            if chosen is None:
                break
            self._remove(chosen)
            chosen.held_bytes = 0
            chosen.has_given_way = True
            self.given_way[chosen.is_spare] += 1
            chosen.holder.give_way()

    def _remove(self, holding: Holding) -> None:
        """Count that a holding has nothing."""
        if holding.held_bytes:
            self._holdings[holding.is_large].discard(holding)
            self.held_bytes[holding.is_large] -= holding.held_bytes

    def _choose(self, is_large: bool) -> Holding | None:
        """Return the holding that gives way next; None if only one owner is left."""
        holdings = self._holdings[is_large]
        if len({id(holding.owner) for holding in holdings}) <= 1:
            return None
        now = asyncio.get_running_loop().time()
        return max(
            holdings,
            key=lambda holding: (
                holding.is_spare,
                holding.held_bytes * (now - holding.moved_at),
                holding.held_bytes,
            ),
        )


class UncountedHolder(Holder):
    """Holds bytes that no caller sent."""

    def give_way(self) -> None:
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
