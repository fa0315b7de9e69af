"""The interfaces of everything outside the system.

The platform's services and the targets are met only through these abstract base
classes. Changing how one of them is spoken to changes one implementation.
"""

import abc
import collections.abc
import dataclasses
import typing

from sardinesaddle import membership


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigValue:
    """A value of the configuration service and the service's own version of it."""

    data: bytes
    tag: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """A sentinel: the outside service did not answer, with the reason."""

    reason: str


class ConfigSource(abc.ABC):
    """The platform's configuration service, which can be read and watched."""

    @abc.abstractmethod
    async def read(self, name: str) -> ConfigValue | Unavailable:
        """Return the value with this name."""

    @abc.abstractmethod
    async def watch(self, name: str, tag: str) -> ConfigValue | Unavailable:
        """Return the value once it differs from the tag, or after a while."""


class HostSource(abc.ABC):
    """The platform's lagging list of hosts."""

    @abc.abstractmethod
    async def list_hosts(self) -> list[membership.Host] | Unavailable:
        """Return the hosts as the platform lists them."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRequest:
    """A call as it is given to a target."""

    number: int
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    priority: int
    is_idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TargetHead:
    """The start of a target's answer."""

    status: int
    headers: list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetData:
    """Bytes of a target's answer."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEnd:
    """The end of a target's whole answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFailure:
    """The call failed; ``was_sent`` is False only if no byte reached the target."""

    reason: str
    was_sent: bool


TargetEvent = TargetHead | TargetData | TargetEnd | TargetFailure


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a target reports of itself; the report lags."""

    running: int
    waiting: int
    cached_prefixes: list[int]


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A target's report that it holds or dropped a prompt prefix."""

    sequence: int
    prefix: int
    is_held: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TargetOrder:
    """An order to a target: to switch its expert map, load a model or change role.

    Orders name absolute states, so that one can be repeated. ``fence`` is the
    number that a target may compare with the highest it has seen.
    """

    kind: typing.Literal["map", "load", "role", "hold"]
    name: str
    step: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepsOrder:
    """An order to run all steps up to the last one, each with the map of the plan.

    ``epoch`` is the fence that a target may compare; pairs of ``maps`` are (first
    step, map version).
    """

    epoch: int
    number: int
    maps: tuple[tuple[int, int], ...]
    last_step: int


@dataclasses.dataclass(frozen=True, slots=True)
class StepsState:
    """What a target has run and loaded, and the order that it holds."""

    order: StepsOrder
    ran_step: int
    loaded: frozenset[int]


class Target(abc.ABC):
    """The target beside a sidecar: a model engine or a plain service."""

    @abc.abstractmethod
    def run(
        self, req: TargetRequest
    ) -> collections.abc.AsyncGenerator[TargetEvent, None]:
        """Run a call and yield its answer; closing the generator cancels it."""

    @abc.abstractmethod
    async def read_load(self) -> LoadReport | Unavailable:
        """Return the target's lagging load report."""

    @abc.abstractmethod
    async def read_cache_events(self, after: int) -> list[CacheEvent] | Unavailable:
        """Return cache events past a sequence number; some may be missing."""

    @abc.abstractmethod
    async def send_order(self, order: TargetOrder) -> bool | Unavailable:
        """Give an order; False means that the target refused its fence."""

    @abc.abstractmethod
    async def read_steps(self) -> StepsState | Unavailable:
        """Return what the target holds of its group's steps."""

    @abc.abstractmethod
    async def send_steps_order(self, order: StepsOrder) -> bool | Unavailable:
        """Order steps; False means that the target refused the epoch."""

    @abc.abstractmethod
    async def load_map(self, version: int) -> bool | Unavailable:
        """Let the target load a map's weights; False means that it could not."""

    @abc.abstractmethod
    async def export_cache(self, prefix: int) -> bytes | Unavailable:
        """Return the KV cache of a prefix."""

    @abc.abstractmethod
    async def import_cache(self, prefix: int, data: bytes) -> bool | Unavailable:
        """Give the target the KV cache of a prefix."""
