"""The operators' configuration: routes, services, accounts and limits.

A catalog is one immutable version of the configuration. A route is selected by host
and longest path prefix, an account by its API key, and the service by the weights of
the route's traffic split.
"""

import bisect
import dataclasses
import enum
import typing

# The regions of a route or an account whose list of regions is malformed. Serving its
# requests anywhere could break the rule that the list was meant to state.
NO_REGION: typing.Final[frozenset[str]] = frozenset()


class Execution(enum.Enum):
    """Whether a request may be executed more than once."""

    AT_MOST_ONCE = "once"
    REPEATABLE = "freely"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which requests a route matches and how they are forwarded.

    Times are in seconds. ``priority`` 0 is the highest. ``latency_objective_s`` is
    the desired time to the end of the response, or to a stream's first event.
    ``max_event_gap_s`` is the longest desired time between two events of a stream.
    ``homes`` are the regions in which requests may run, None for any.
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
    homes: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineModel:
    """Performance model of a model engine, as the platform configures it.

    A decoding step takes ``step_s`` plus ``per_request_s`` for each request that is
    generating tokens; a pass runs ``steps_per_pass`` steps. Prompts are processed at
    ``prefill_tokens_per_s``, at most ``prefill_chunk_tokens`` in a step, plus
    ``prefill_s_per_pair`` for each pair of a token and an earlier one. An expert map
    covers ``layer_sets`` sets of ``experts_per_set`` experts. A rank holds at most
    ``max_experts_per_rank`` experts of a set and copies at most ``max_added_per_rank``
    new ones for a switch. ``memory_tokens`` is how many tokens of prompts and outputs
    an engine holds, 0 if that is not stated.
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
    max_added_per_rank: int
    expert_share: float
    copy_s_per_expert: float
    prefill_s_per_pair: float = 0.0
    memory_tokens: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service; ``engine`` is None if its targets are not model engines.

    Its targets are cold for ``cold_s`` seconds after their start, and may turn cold
    again. A cold target sustains ``cold_rate`` requests a second, 0 for any rate.
    ``health_path`` is that of their health checks, empty if it is not stated.
    """

    name: str
    max_connections: int
    engine: EngineModel | None
    cold_s: float = 0.0
    cold_rate: float = 0.0
    health_path: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account; ``priority``, if set, overrides the route's priority.

    ``homes`` are the regions in which its requests may run, None for any.
    """

    name: str
    priority: int | None
    homes: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the requests of callers; times are in seconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Catalog:
    """One version of the configuration.

    ``accounts`` are by API key. ``requires_keys`` is whether routes that are not
    anonymous require one, which they also do while no account has a key.
    """

    __slots__ = (
        "_routes_by_host",
        "accounts",
        "limits",
        "requires_keys",
        "services",
        "version",
    )

    def __init__(
        self,
        version: int,
        routes: typing.Iterable[Route],
        services: typing.Iterable[Service],
        accounts: dict[str, Account],
        limits: Limits,
        requires_keys: bool,
    ) -> None:
        self.version = version
        self.requires_keys = requires_keys
        self.services = {service.name: service for service in services}
        self.accounts = accounts
        self.limits = limits
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for host_routes in self._routes_by_host.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching prefix, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def list_routes(self) -> list[Route]:
        """Return the routes of all hosts."""
        return [
            route
            for host_routes in self._routes_by_host.values()
            for route in host_routes
        ]


def pick_service(route: Route, fraction: float) -> str:
    """Return the service at ``fraction`` of the route's cumulative weights.

    ``fraction`` is in [0, 1) and usually random. Negative weights count as 0; if no
    weight is positive, the first service is returned.
    """
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


def intersect_homes(route: Route, account: Account | None) -> frozenset[str] | None:
    """Return the regions that a route and an account both permit, None for any."""
    account_homes = None if account is None else account.homes
    if route.homes is None or account_homes is None:
        return account_homes if route.homes is None else route.homes
    return route.homes & account_homes


class TargetState(enum.Enum):
    """Whether a target accepts new requests."""

    READY = "ready"
    DRAINING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRegistration:
    """A target's registration.

    ``warmup_s`` is how long it still runs slowly, ``started_ms`` the Unix time of its
    start in milliseconds, 0 if it does not state that.
    """

    target_id: str
    service: str
    host: str
    port: int
    place: str
    slots: int
    state: TargetState
    warmup_s: float
    started_ms: int = 0

    @property
    def incarnation(self) -> str:
        """Identifies one run of the target, which may restart under its id."""
        return f"{self.target_id}@{self.started_ms}"
