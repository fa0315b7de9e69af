"""The model engine beside a sidecar, as the sidecar needs it."""

import abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EngineFault:
    """A sentinel: the engine did not answer, with the reason."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine reports of itself.

    ``orders`` is its count of accepted orders. ``step`` is the last pass that began.
    A map's version, a step or a group's name is 0 or empty if there is none.
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


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertCounts:
    """How often a rank's requests chose each expert since its start, set by set."""

    step: int
    epoch: int
    counts: list[int]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order; ``expected`` is the count of orders that it presumes.

    ``kind`` is prepare, arm, hold or go. ``experts`` lists the experts of a map by
    set of layers and rank.
    """

    kind: str
    epoch: int
    expected_orders: int | None = None
    version: int = 0
    step: int = 0
    experts: list[list[list[int]]] | None = None


class Engine(abc.ABC):
    """Calls of one engine."""

    @abc.abstractmethod
    async def read_state(self) -> EngineState | EngineFault:
        """Return the engine's state."""

    @abc.abstractmethod
    async def read_counts(self) -> ExpertCounts | EngineFault:
        """Return how often each expert was chosen."""

    @abc.abstractmethod
    async def read_experts(self) -> list[list[int]] | EngineFault:
        """Return the experts of the rank's map by set of layers."""

    @abc.abstractmethod
    async def send_order(self, order: EngineOrder) -> int | EngineFault:
        """Give an order; return the status of the answer."""
