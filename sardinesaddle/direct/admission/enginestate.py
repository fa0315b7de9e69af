"""What an entry knows of engines with a bounded memory, and of its requests there."""

import dataclasses
import math
import typing

from sardinesaddle.direct import memorygrants
from sardinesaddle.direct.admission import responselengths, sendconstraint

COUNT: typing.Final = len(memorygrants.HORIZONS)


@dataclasses.dataclass(slots=True)
class HeldRequest:
    """A request at an engine; ``need`` is in tokens by horizon, as computed last.

    ``counted`` are the output tokens that count as a length that was reached.

    ``ended_at`` is set once this entry gave it up and the engine may still run it.
    """

    progress: sendconstraint.ResponseProgress
    size: responselengths.RequestSize
    sent_at: float
    need: list[float]
    has_events: bool
    counted: float = 0.0
    ended_at: float | None = None


@dataclasses.dataclass(slots=True)
class EngineState:
    """What is known of an engine and of this entry's requests there.

    ``total`` is its memory in tokens as its sidecar states it, 0 if it does not.
    ``limit`` counts until ``lease_until``; like ``held`` it is by horizon.
    """

    service: str
    listed_at: float
    registered_at: float
    total: int = 0
    used: int = 0
    number: int = -1
    limit: list[int] = dataclasses.field(default_factory=lambda: [0] * COUNT)
    lease_until: float = -math.inf
    has_lease: bool = False
    is_full: bool = False
    states_memory: bool = True
    requests: list[HeldRequest] = dataclasses.field(default_factory=list)
    held: list[float] = dataclasses.field(default_factory=lambda: [0.0] * COUNT)


@dataclasses.dataclass(slots=True)
class ServiceState:
    """A service whose engines have a bounded memory.

    ``capacity`` is that of an engine, in tokens. ``event_tokens`` is the highest number
    of tokens in an event, ``token_s`` the least time of a token. ``wanted`` are sizes
    of recent requests with their times.
    """

    capacity: float
    event_tokens: int
    token_s: float
    mean_output: float
    hold_s: float
    lengths: responselengths.ResponseLengths
    wanted: list[tuple[float, list[float]]] = dataclasses.field(default_factory=list)
