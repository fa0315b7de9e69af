"""Decodes values of the platform's store into the types of ``direct.catalog``."""

import collections
import math
import re
import socket
import typing

import loguru
import msgspec

from sardinesaddle.direct import catalog, storedecoder
from sardinesaddle.platform import strictjson

CONFIG_PREFIX: typing.Final = "op/"
CONFIG_KEY: typing.Final = "op/config"
TARGETS_PREFIX: typing.Final = "servers/"
EVACUATION_PREFIX: typing.Final = "op/evacuate/"

SECONDS_PER_MS: typing.Final = 1e-3
# An identifier is sent in a header and names connections and log lines.
TARGET_ID_PATTERN: typing.Final = re.compile(r"[!-.0-~]{1,200}")
PATH_PATTERN: typing.Final = re.compile(r"/[!-~]{0,1000}")
MAX_SLOTS: typing.Final = 65536
MAX_MS: typing.Final = 1 << 53  # larger numbers of milliseconds are no times
MAX_PORT: typing.Final = 65535

# DecodeError is a ValueError; values that are nested too deeply raise RecursionError.
_MALFORMED: typing.Final = (ValueError, RecursionError)

PositiveMs = typing.Annotated[float, msgspec.Meta(gt=0)]
Weight = typing.Annotated[float, msgspec.Meta(ge=0)]


class Fault(msgspec.Struct, frozen=True):
    """Returned when a stored value is invalid; ``reason`` is for logs."""

    reason: str


class WireSplit(msgspec.Struct, frozen=True):
    """A service of a ``traffic_split``, with its weight."""

    service: str
    weight: Weight = 1.0


class WireRoute(msgspec.Struct, frozen=True):
    """A route; ``service``, if set, replaces ``traffic_split``."""

    name: str
    host: str
    prefix: typing.Annotated[str, msgspec.Meta(pattern="^/(.*/)?$")]
    kind: str
    timeout_ms: PositiveMs
    target_latency_ms: float = 400.0
    gap_aim_ms: float = 120.0
    priority: int = 5
    max_attempts: int = 1
    service: str | None = None
    traffic_split: list[WireSplit] = []
    anonymous: bool = False
    resumable: bool = False
    # Decoded apart, so that a malformed list does not lose the whole configuration.
    allowed_regions: typing.Any = None


class WireUsual(msgspec.Struct, frozen=True):
    """Mean token counts of prompts and outputs."""

    prompt: float = 0.0
    answer: float = 0.0


class WireEngine(msgspec.Struct, frozen=True):
    """The parameters of an engine's performance model."""

    slots: int
    step_ms: float = 5.0
    per_seq_ms: float = 0.5
    context_per_k: float = 0.0
    read_per_s: float = 1e5
    pairs_per_m: float = 0.0
    chunk: int = 512
    stride: int = 1
    link_mbps: float = 1e5
    usual: WireUsual = WireUsual()
    sets: int = 0
    experts: int = 0
    places: int = 0
    spare: int = 0
    expert_mb: float = 0.0
    expert_share: float = 0.0
    # Decoded by ``decode_number``, so that a wrong value does not refuse all the rest.
    kv_capacity: typing.Any = 0.0


class WireService(msgspec.Struct, frozen=True):
    """A service; ``engine`` is set if its targets are model engines."""

    name: str
    max_conns: int = 100
    engine: WireEngine | None = None
    # Decoded by ``decode_number``, so that a wrong value does not refuse all the rest.
    cold_s: typing.Any = 0.0
    cold_per_s: typing.Any = 0.0
    # Decoded by ``decode_path``.
    health_path: typing.Any = ""


class WireAccount(msgspec.Struct, frozen=True):
    """A tenant: the platform's name for a client account."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: typing.Any = None


class WireLimits(msgspec.Struct, frozen=True):
    """Limits on sizes and times of callers' requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class WireConfig(msgspec.Struct, frozen=True):
    """The whole configuration, as stored under ``CONFIG_KEY``.

    ``tenants`` is None if the deployment has none; an empty list leaves no valid key.
    """

    # Integers of 64 bits can be told to other entries.
    version: typing.Annotated[int, msgspec.Meta(ge=1, le=(1 << 63) - 1)]
    routes: list[WireRoute]
    services: list[WireService]
    tenants: list[WireAccount] | None = None
    limits: WireLimits = WireLimits()


class WireTarget(msgspec.Struct, frozen=True):
    """A target's registration; ``cold_left_ms`` is its remaining warm-up time.

    ``born`` is the Unix time of the target's start in milliseconds. Entries of other
    writers lack fields or have them with other types, so all are read, also those that
    are not used. None has a default: an entry that lacks one names no target.
    """

    service: str
    addr: str
    zone: str
    version: str
    slots: typing.Annotated[int, msgspec.Meta(le=MAX_SLOTS)]
    state: typing.Literal["ready", "draining"]
    cold_left_ms: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]
    seq: int
    born: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_MS)]


_CONFIG_DECODER: typing.Final = strictjson.StrictDecoder(WireConfig)
_TARGET_DECODER: typing.Final = strictjson.StrictDecoder(WireTarget)


def decode_catalog(data: bytes) -> catalog.Catalog | Fault:
    """Decode the stored configuration."""
    try:
        wire = _CONFIG_DECODER.decode(data)
    except _MALFORMED as exc:
        return Fault(f"invalid configuration: {exc}")
    if contradiction := find_contradiction(wire):
        return Fault(f"invalid configuration: {contradiction}")
    accounts: dict[str, catalog.Account] = {}
    for wire_account in wire.tenants or ():
        account = catalog.Account(
            wire_account.name,
            wire_account.priority,
            decode_regions(wire_account.allowed_regions),
        )
        for key in wire_account.api_keys:
            owner = accounts.setdefault(key, account)
            if owner != account:
                # Keys are secret, so only the accounts are named.
                return Fault(
                    f"invalid configuration: accounts {owner.name} and {account.name}"
                    " differ and have the same key"
                )
    limits = catalog.Limits(
        wire.limits.max_header_bytes,
        wire.limits.max_body_bytes,
        wire.limits.header_timeout_ms * SECONDS_PER_MS,
        wire.limits.idle_timeout_ms * SECONDS_PER_MS,
    )
    routes = [decode_route(wire_route) for wire_route in wire.routes]
    services = [decode_service(wire_service) for wire_service in wire.services]
    requires_keys = wire.tenants is not None
    return catalog.Catalog(
        wire.version, routes, services, accounts, limits, requires_keys
    )


def find_contradiction(wire: WireConfig) -> str | None:
    """Return the route or service that a configuration states twice, or None."""
    routes = [f"route {route.host}{route.prefix}" for route in wire.routes]
    services = [f"service {service.name}" for service in wire.services]
    for names in filter(None, (routes, services)):
        name, count = collections.Counter(names).most_common(1)[0]
        if count > 1:
            return f"{name} is listed twice"
    return None


def decode_route(wire: WireRoute) -> catalog.Route:
    """Convert a route.

    Idempotent routes and resumable streams may be repeated. A route without
    services gets a single one with an empty name.
    """
    total = sum(split.weight for split in wire.traffic_split)
    # The sum has to be a number, of which a random part is taken for each request.
    divisor = 1 if math.isfinite(total) else len(wire.traffic_split)
    splits = tuple(
        catalog.WeightedService(split.service, split.weight / divisor)
        for split in wire.traffic_split
    )
    if wire.service is not None:
        splits = (catalog.WeightedService(wire.service, 1.0),)
    is_stream = wire.kind == "streaming"
    is_repeatable = wire.kind == "idempotent" or (is_stream and wire.resumable)
    return catalog.Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.prefix,
        execution=catalog.Execution.REPEATABLE
        if is_repeatable
        else catalog.Execution.AT_MOST_ONCE,
        is_stream=is_stream,
        timeout_s=wire.timeout_ms * SECONDS_PER_MS,
        latency_objective_s=wire.target_latency_ms * SECONDS_PER_MS,
        max_event_gap_s=wire.gap_aim_ms * SECONDS_PER_MS,
        priority=wire.priority,
        max_attempts=max(wire.max_attempts, 1),
        allows_anonymous=wire.anonymous,
        is_resumable=wire.resumable,
        weighted_services=splits or (catalog.WeightedService("", 1.0),),
        homes=decode_regions(wire.allowed_regions),
    )


def decode_regions(value: object) -> frozenset[str] | None:
    """Return the permitted regions, None for any, ``NO_REGION`` if malformed."""
    if value is None or value == []:
        return None
    if not isinstance(value, list):
        return catalog.NO_REGION
    if not all(isinstance(region, str) and region.strip() for region in value):
        return catalog.NO_REGION
    return frozenset(value)


def decode_service(wire: WireService) -> catalog.Service:
    """Convert a service and its engine model."""
    engine = None
    if wire.engine is not None:
        wire_engine = wire.engine
        engine = catalog.EngineModel(
            slots=wire_engine.slots,
            step_s=wire_engine.step_ms * SECONDS_PER_MS,
            per_request_s=wire_engine.per_seq_ms * SECONDS_PER_MS,
            context_s_per_token=wire_engine.context_per_k * SECONDS_PER_MS / 1000.0,
            prefill_tokens_per_s=wire_engine.read_per_s,
            prefill_chunk_tokens=wire_engine.chunk,
            steps_per_pass=wire_engine.stride,
            mean_prompt_tokens=wire_engine.usual.prompt,
            mean_output_tokens=wire_engine.usual.answer,
            layer_sets=wire_engine.sets,
            experts_per_set=wire_engine.experts,
            max_experts_per_rank=wire_engine.places,
            max_added_per_rank=wire_engine.spare,
            expert_share=wire_engine.expert_share,
            copy_s_per_expert=wire_engine.expert_mb
            * 8.0
            / max(wire_engine.link_mbps, 1e-9),
            prefill_s_per_pair=wire_engine.pairs_per_m * SECONDS_PER_MS * 1e-6,
            memory_tokens=decode_number(
                wire.name, "kv_capacity", wire_engine.kv_capacity
            ),
        )
    return catalog.Service(
        wire.name,
        wire.max_conns,
        engine,
        decode_number(wire.name, "cold_s", wire.cold_s),
        decode_number(wire.name, "cold_per_s", wire.cold_per_s),
        decode_path(wire.health_path),
    )


def decode_path(value: object) -> str:
    """Return the path of a request, empty if it is none."""
    return value if isinstance(value, str) and PATH_PATTERN.fullmatch(value) else ""


def decode_number(service: str, field: str, value: object) -> float:
    """Return a non-negative number of a service, 0 with a log line for all else."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if isinstance(value, (int, float)) and is_number:
        number = float(value)
        if math.isfinite(number) and number >= 0.0:
            return number
    loguru.logger.warning(
        "event=service_value_invalid service={} field={} value={!r:.60}"
        " remedy=state_a_number_of_at_least_0",
        service,
        field,
        value,
    )
    return 0.0


def decode_target(key: str, data: bytes) -> catalog.TargetRegistration | Fault:
    """Decode the stored registration of a target, whatever wrote it."""
    target_id = key.removeprefix(TARGETS_PREFIX)
    if TARGET_ID_PATTERN.fullmatch(target_id) is None:
        return Fault(f"{key!r}: invalid identifier")
    try:
        wire = _TARGET_DECODER.decode(data)
    except _MALFORMED as exc:
        return Fault(f"{key}: invalid registration: {type(exc).__name__}: {exc}")
    address = parse_address(wire.addr)
    if address is None:
        return Fault(f"{key}: invalid address {wire.addr!r:.60}")
    if wire.zone != wire.zone.strip() or "\0" in wire.zone:
        # A reader that drops blanks finds a zone that may be evacuated.
        return Fault(f"{key}: invalid zone {wire.zone!r:.60}")
    is_draining = wire.state == "draining"
    return catalog.TargetRegistration(
        target_id=target_id,
        service=wire.service,
        host=address[0],
        port=address[1],
        place=wire.zone,
        slots=max(wire.slots, 1),
        state=catalog.TargetState.DRAINING
        if is_draining
        else catalog.TargetState.READY,
        warmup_s=wire.cold_left_ms * SECONDS_PER_MS,
        started_ms=wire.born,
    )


def parse_address(text: str) -> tuple[str, int] | None:
    """Return IPv4 address and port, or None; there are no host names to look up."""
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_number or port.startswith("0") or int(port) > MAX_PORT:
        return None
    try:
        # It accepts what ``ipaddress`` accepts, and takes far less time.
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return None
    return host, int(port)


class PlatformStoreDecoder(storedecoder.StoreDecoder):
    """Decodes the values under the prefixes of the platform's store."""

    config_prefix = CONFIG_PREFIX
    config_key = CONFIG_KEY
    targets_prefix = TARGETS_PREFIX
    evacuation_prefix = EVACUATION_PREFIX

    def decode_catalog(self, data: bytes) -> catalog.Catalog | str:
        """Return the configuration, or the reason why it is invalid."""
        decoded = decode_catalog(data)
        return decoded.reason if isinstance(decoded, Fault) else decoded

    def decode_target(self, key: str, data: bytes) -> catalog.TargetRegistration | str:
        """Return a target's registration, or the reason why it is invalid."""
        decoded = decode_target(key, data)
        return decoded.reason if isinstance(decoded, Fault) else decoded

    def get_evacuated_place(self, key: str) -> str | None:
        """Return the place, which is the key without its prefix, None if malformed.

        The value of the key is not read.
        """
        place = key.removeprefix(EVACUATION_PREFIX)
        is_malformed = not place or "/" in place or place != place.strip()
        return None if is_malformed else place

    def get_target_id(self, key: str) -> str:
        """Return the target's identifier, which is the key without its prefix."""
        return key.removeprefix(TARGETS_PREFIX)
