"""What the operators have put in force: routes, services, accounts and limits.

A catalog is one immutable version of the configuration. A route is found by host
and longest path prefix, an account by its key, and a service by the route's split.
"""

import bisect
import dataclasses
import enum
import typing


class Execution(enum.Enum):
    """How often a request may run."""

    AT_MOST_ONCE = "once"
    REPEATABLE = "freely"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes a part of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route: which requests it takes and how they are run.

    Times are in seconds. ``priority`` 0 is the most urgent. ``objective_s`` bounds
    the whole answer, of a stream the time to its first event; ``pause_s`` bounds
    the pause between two events of a stream.
    """

    name: str
    host: str
    prefix: str
    execution: Execution
    is_stream: bool
    timeout_s: float
    latency_objective_s: float
    max_event_gap_s: float
    priority: int
    max_attempts: int
    allows_anonymous: bool
    is_resumable: bool
    weighted_services: tuple[WeightedService, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineModel:
    """What the platform states of a model engine.

    A token step takes ``step_s`` and ``per_request_s`` more for each request that
    writes; a pass makes ``stride`` steps. Prompts are read at
    ``read_tokens_per_s``, at most ``chunk_tokens`` in a step. A group switches
    among expert maps of ``layer_sets`` times ``experts``, with at most ``places``
    experts of a set on one rank and ``spare`` new ones in one copy.
    """

    slots: int
    step_s: float
    per_request_s: float
    context_s_per_token: float
    prefill_tokens_per_s: float
    prefill_chunk_tokens: int
    steps_per_pass: int
    mean_prompt_tokens: float
    mean_output_tokens: float
    layer_sets: int
    experts_per_set: int
    max_experts_per_rank: int
    max_new_per_copy: int
    expert_share: float
    copy_s_per_expert: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and, if its targets are model engines, their model."""

    name: str
    max_connections: int
    engine: EngineModel | None


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account; ``priority`` goes before the route's if it is set."""

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send; times are in seconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Catalog:
    """One version of the configuration."""

    __slots__ = ("_routes_by_host", "accounts", "limits", "services", "version")

    def __init__(
        self,
        version: int,
        routes: typing.Iterable[Route],
        services: typing.Iterable[Service],
        accounts: dict[str, Account],
        limits: Limits,
    ) -> None:
        self.version = version
        self.services = {service.name: service for service in services}
        self.accounts = accounts
        self.limits = limits
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for host_routes in self._routes_by_host.values():
            host_routes.sort(key=lambda one: len(one.prefix), reverse=True)

    @property
    def has_accounts(self) -> bool:
        """Whether requests must carry an account's key."""
        return bool(self.accounts)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def list_routes(self) -> list[Route]:
        """Return all routes."""
        return [
            route
            for host_routes in self._routes_by_host.values()
            for route in host_routes
        ]


def pick_service(route: Route, fraction: float) -> str:
    """Return a service by the weights of the split; ``draw`` is in [0, 1)."""
    cumulative_weights = []
    total = 0.0
    for candidate in route.weighted_services:
        total += max(candidate.weight, 0.0)
        cumulative_weights.append(total)
    if total <= 0.0:
        return route.weighted_services[0].service
    return route.weighted_services[
        bisect.bisect_right(cumulative_weights, fraction * total)
    ].service


class TargetState(enum.Enum):
    """Whether a target takes new work."""

    READY = "ready"
    DRAINING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """A target as it registered itself; ``warmup_s`` is how long it stays slow."""

    ident: str
    service: str
    host: str
    port: int
    place: str
    slots: int
    state: TargetState
    warmup_s: float
