"""Interface of a sidecar to the model engine on its host."""

import abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFault:
    """Returned when the engine did not respond; ``reason`` is for logs."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """State that an engine reports.

    ``accepted_orders`` counts the orders that the engine accepted. ``step`` is the
    last pass that started. ``slowdown`` above 1 means that the engine is slow. A
    version or step that does not exist is 0; without a group, its name is empty.
    ``is_leaving`` is set if the engine states that it leaves, ``started_ms`` is the
    Unix time of its start, 0 if it does not state that. ``memory_used`` is the memory
    that cannot be reclaimed and ``memory_total`` all of it, in tokens; ``memory_total``
    is 0 if the engine does not state both.
    """

    running: int
    waiting: int
    slowdown: float
    accepted_orders: int
    group: str
    epoch: int
    rank: int
    size: int
    is_group_open: bool
    step: int
    map_version: int
    prepared_version: int
    armed_version: int
    armed_step: int
    held_step: int
    is_leaving: bool = False
    started_ms: int = 0
    memory_used: int = 0
    memory_total: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertCounts:
    """How often each expert was selected since the rank started, set by set."""

    step: int
    epoch: int
    counts: list[int]


@dataclasses.dataclass(frozen=True, slots=True)
class RankExperts:
    """The experts of a rank by layer set, and the version of the map that has them."""

    version: int
    experts: list[list[int]]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to an engine.

    ``kind`` is prepare, arm, hold or go. ``expected_orders`` is the count of
    accepted orders that the order is based on. ``experts`` lists the experts of a map
    by layer set and rank.
    """

    kind: str
    epoch: int
    expected_orders: int | None = None
    version: int = 0
    step: int = 0
    experts: list[list[list[int]]] | None = None


class Engine(abc.ABC):
    """Client of one engine."""

    @abc.abstractmethod
    async def read_state(self) -> EngineState | EngineFault:
        """Return the engine's current state."""

    @abc.abstractmethod
    async def read_counts(self) -> ExpertCounts | EngineFault:
        """Return how often each expert was selected since the rank started."""

    @abc.abstractmethod
    async def read_experts(self) -> RankExperts | EngineFault:
        """Return the experts of the rank in the map in force, by layer set."""

    @abc.abstractmethod
    async def send_order(self, order: EngineOrder) -> int | EngineFault:
        """Send an order; return the HTTP status of the response."""

    async def close(self) -> None:  # noqa: B027
        """Close the connections to the engine, if there are any."""
