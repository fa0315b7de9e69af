"""Interfaces to external systems: the platform's services and the targets.

All access to them goes through these abstract base classes, so that another protocol
needs only another implementation.
"""

import abc
import collections.abc
import dataclasses
import typing

from sardinesaddle import membership


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigValue:
    """A value from the configuration service, with the service's version tag."""

    data: bytes
    tag: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """Returned if the external system did not give a usable answer."""

    reason: str


class ConfigSource(abc.ABC):
    """The platform's configuration service: named values that can be watched."""

    @abc.abstractmethod
    async def read(self, name: str) -> ConfigValue | Unavailable:
        """Return the value with this name."""

    @abc.abstractmethod
    async def watch(self, name: str, tag: str) -> ConfigValue | Unavailable:
        """Return the value once its tag differs from ``tag``, or after a time limit."""


class HostSource(abc.ABC):
    """The platform's list of hosts, which may be out of date."""

    @abc.abstractmethod
    async def list_hosts(self) -> list[membership.Host] | Unavailable:
        """Return the hosts as the platform lists them."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request to a target.

    A request that is not idempotent must never be sent twice.
    """

    number: int
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    priority: int
    is_idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TargetHead:
    """Status and headers of a target's answer."""

    status: int
    headers: list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetData:
    """Body bytes of a target's answer."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEnd:
    """End of a target's complete answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFailure:
    """A failed request; ``was_sent`` is False only if no byte reached the target."""

    reason: str
    was_sent: bool


TargetEvent = TargetHead | TargetData | TargetEnd | TargetFailure


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A target's own load report, which may be out of date."""

    running: int
    waiting: int
    cached_prefixes: list[int]


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of a target's KV cache: a prompt prefix was cached or evicted."""

    sequence: int
    prefix: int
    is_held: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TargetOrder:
    """Tells a target to switch its expert map, load a model, change role or hold.

    Orders name absolute states, so an order may be repeated. ``fence`` is a fencing
    token: a target may refuse an order whose token is below the highest it has seen.
    """

    kind: typing.Literal["map", "load", "role", "hold"]
    name: str
    step: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepsOrder:
    """Tells a target to run all steps up to ``last_step`` with the given expert maps.

    ``epoch`` is a fencing token that a target may compare. ``maps`` holds pairs of
    (first step, map version).
    """

    epoch: int
    number: int
    maps: tuple[tuple[int, int], ...]
    last_step: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepsState:
    """The last step that a target ran, its loaded maps and its current order."""

    order: StepsOrder
    ran_step: int
    loaded: frozenset[int]


class Target(abc.ABC):
    """The target beside a sidecar: a model engine or a plain service."""

    @abc.abstractmethod
    def run(
        self, req: TargetRequest
    ) -> collections.abc.AsyncGenerator[TargetEvent, None]:
        """Run a request and yield its answer; closing the generator cancels it."""

    @abc.abstractmethod
    async def read_load(self) -> LoadReport | Unavailable:
        """Return the target's load report, which may be out of date."""

    @abc.abstractmethod
    async def read_cache_events(self, after: int) -> list[CacheEvent] | Unavailable:
        """Return cache events after a sequence number; some may be missing."""

    @abc.abstractmethod
    async def send_order(self, order: TargetOrder) -> bool | Unavailable:
        """Send an order; return False if the target refused its fencing token."""

    @abc.abstractmethod
    async def read_steps(self) -> StepsState | Unavailable:
        """Return the target's progress in its group's steps."""

    @abc.abstractmethod
    async def send_steps_order(self, order: StepsOrder) -> bool | Unavailable:
        """Send an order to run steps; return False if the target refused its epoch."""

    @abc.abstractmethod
    async def load_map(self, version: int) -> bool | Unavailable:
        """Make the target load an expert map's weights; return False if it cannot."""

    @abc.abstractmethod
    async def export_cache(self, prefix: int) -> bytes | Unavailable:
        """Return the KV cache of a prefix."""

    @abc.abstractmethod
    async def import_cache(self, prefix: int, data: bytes) -> bool | Unavailable:
        """Transfer the KV cache of a prefix to the target; return False if refused."""
