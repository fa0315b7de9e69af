"""An HTTP client for model engines."""

import math
import typing

import msgspec

from sardinesaddle.direct import engine, httpclient
from sardinesaddle.platform import headers, strictjson

CALL_TIMEOUT_S: typing.Final = 0.4  # an engine on the same host responds in a few ms
# Some orders get no response, and the group may be stalled during the wait.
ORDER_TIMEOUT_S: typing.Final = 0.05

# The counts of a large engine are a fiftieth of that.
MAX_PAGE_BYTES: typing.Final = 4 * 1024 * 1024

MAX_MEMORY_TOKENS: typing.Final = 10**12  # larger statements are invalid
STATUS_OK: typing.Final = 200


# Larger numbers are no counts, steps, versions or times.
MAX_NUMBER: typing.Final = 1 << 53
MAX_RANKS: typing.Final = 1024  # four times as many as in the largest group to expect
MAX_EXPERTS: typing.Final = 1 << 16
# The planner raises loads to high powers.
MAX_PACE: typing.Final = 1e6

Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
# Where it begins is not stated, and a value below 0 does no harm.
AnyNumber = typing.Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Expert = typing.Annotated[int, msgspec.Meta(ge=0, lt=MAX_EXPERTS)]


class WireGroup(msgspec.Struct, frozen=True):
    """The group that an engine belongs to, and its rank.

    All fields are required: a rank that is taken for another one, such as the first,
    could lead the group beside it.
    """

    name: str
    epoch: AnyNumber
    rank: typing.Annotated[int, msgspec.Meta(ge=0, lt=MAX_RANKS)]
    state: str


class WireVersion(msgspec.Struct, frozen=True):
    """The version of a map in force or prepared; the step is not used."""

    version: Number
    step: AnyNumber = 0


class WireArmed(msgspec.Struct, frozen=True):
    """The version of an armed map, and the step at which it takes effect."""

    version: Number
    step: Number


class WireReport(msgspec.Struct, frozen=True):
    """The state of an engine; ``seq`` is its number of accepted orders.

    Map versions are reported as a number or as an object. ``running`` is required, so
    that another page, which may be the answer to an earlier call, is not read as an
    idle engine.
    """

    running: Number
    waiting: Number = 0
    pace: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_PACE)] = 1.0
    seq: Number = 0
    group: WireGroup | None = None
    size: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_RANKS)] = 0
    step: AnyNumber = 0
    map: Number | WireVersion | None = None
    prepared: Number | WireVersion | None = None
    armed: Number | WireArmed | None = None
    held: Number | None = None
    born: Number = 0
    # Decoded by ``decode_memory``, so that a wrong value does not lose all the rest.
    kv_used: typing.Any = None
    kv_total: typing.Any = None


class WirePicked(msgspec.Struct, frozen=True):
    """How often each expert was selected, up to a step."""

    step: AnyNumber
    epoch: AnyNumber
    counts: list[Number]


class WireExperts(msgspec.Struct, frozen=True):
    """A map version and this rank's experts for each set of layers."""

    version: Number
    experts: list[list[Expert]]


class WireLists(msgspec.Struct, frozen=True):
    """The map in force."""

    map: WireExperts


_REPORT_DECODER: typing.Final = strictjson.StrictDecoder(WireReport)
_COUNTS_DECODER: typing.Final = strictjson.StrictDecoder(WirePicked)
_LISTS_DECODER: typing.Final = strictjson.StrictDecoder(WireLists)


def get_version(wire: int | WireVersion | WireArmed | None) -> int:
    """Return the number of a version in either form; 0 for none."""
    if wire is None:
        return 0
    return wire if isinstance(wire, int) else wire.version


def decode_memory(used: object, total: object) -> tuple[int, int]:
    """Return used and total memory in tokens, (0, 0) unless both are valid."""
    values = []
    for value in (used, total):
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            return 0, 0
        if not 0 <= value <= MAX_MEMORY_TOKENS:  # false for NaN, too
            return 0, 0
        values.append(math.ceil(value))
    return values[0], values[1]


class PlatformEngine(engine.Engine):
    """A client of the engine at an address; failed calls return ``EngineFault``."""

    def __init__(self, address: str) -> None:
        self._client = httpclient.HttpClient(address, MAX_PAGE_BYTES)

    async def close(self) -> None:
        """Close the connections to the engine."""
        self._client.close()

    async def read_state(self) -> engine.EngineState | engine.EngineFault:
        """Read the engine's state."""
        page = await self._get_page("/report", _REPORT_DECODER)
        if isinstance(page, engine.EngineFault):
            return page
        wire, is_leaving = page
        group = wire.group or WireGroup("", 0, 0, "")
        is_open = group.state == "open"
        if is_open and group.rank >= wire.size:
            return engine.EngineFault(f"rank {group.rank} of {wire.size}")
        armed = wire.armed
        memory_used, memory_total = decode_memory(wire.kv_used, wire.kv_total)
        return engine.EngineState(
            running=wire.running,
            waiting=wire.waiting,
            slowdown=wire.pace,
            accepted_orders=wire.seq,
            group=group.name,
            epoch=group.epoch,
            rank=group.rank,
            size=wire.size,
            is_group_open=is_open,
            step=wire.step,
            map_version=get_version(wire.map),
            prepared_version=get_version(wire.prepared),
            armed_version=get_version(armed),
            armed_step=armed.step if isinstance(armed, WireArmed) else 0,
            held_step=wire.held or 0,
            is_leaving=is_leaving,
            started_ms=wire.born,
            memory_used=memory_used,
            memory_total=memory_total,
        )

    async def read_counts(self) -> engine.ExpertCounts | engine.EngineFault:
        """Read how often each expert was selected."""
        wire = await self._get("/picked", _COUNTS_DECODER)
        if isinstance(wire, engine.EngineFault):
            return wire
        return engine.ExpertCounts(wire.step, wire.epoch, wire.counts)

    async def read_experts(self) -> engine.RankExperts | engine.EngineFault:
        """Read the rank's experts for each set of layers, in the map in force."""
        wire = await self._get("/picked?lists=1", _LISTS_DECODER)
        if isinstance(wire, engine.EngineFault):
            return wire
        experts = wire.map.experts
        if any(len(set(in_set)) < len(in_set) for in_set in experts):
            return engine.EngineFault("an expert is listed twice")
        return engine.RankExperts(wire.map.version, experts)

    async def send_order(self, order: engine.EngineOrder) -> int | engine.EngineFault:
        """Send an order; return the HTTP status of the response."""
        body: dict[str, object] = {"op": order.kind, "epoch": order.epoch}
        if order.expected_orders is not None:
            body["expected"] = order.expected_orders
        if order.version:
            body["version"] = order.version
        if order.step:
            body["step"] = order.step
        if order.experts is not None:
            body["map"] = order.experts
        data = msgspec.json.encode(body)
        resp = await self._client.request("POST", "/order", ORDER_TIMEOUT_S, data)
        if isinstance(resp, httpclient.HttpFault):
            return engine.EngineFault(resp.reason)
        return resp.status

    Kind = typing.TypeVar("Kind", bound=msgspec.Struct)

    async def _get(
        self, path: str, decoder: strictjson.StrictDecoder[Kind]
    ) -> Kind | engine.EngineFault:
        """GET a resource of the engine and decode its JSON body."""
        page = await self._get_page(path, decoder)
        return page if isinstance(page, engine.EngineFault) else page[0]

    async def _get_page(
        self, path: str, decoder: strictjson.StrictDecoder[Kind]
    ) -> tuple[Kind, bool] | engine.EngineFault:
        """GET a resource; return its decoded body, and whether the engine leaves."""
        resp = await self._client.request("GET", path, CALL_TIMEOUT_S)
        if isinstance(resp, httpclient.HttpFault):
            return engine.EngineFault(resp.reason)
        if resp.status != STATUS_OK:
            return engine.EngineFault(f"status {resp.status}")
        leaving = resp.headers.get(headers.LEAVING.lower(), "")
        statements = {statement.strip() for statement in leaving.split(",")}
        if len(statements) > 1:
            return engine.EngineFault(f"{headers.LEAVING}: {leaving!r:.60}")
        try:
            body = decoder.decode(resp.body)
        except (ValueError, RecursionError) as exc:
            return engine.EngineFault(f"{type(exc).__name__}: {exc}")
        return body, headers.IS_LEAVING in statements
