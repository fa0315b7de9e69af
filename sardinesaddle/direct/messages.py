"""The messages between processes of the direct path, as msgpack.

Every request has one reply on the same connection. A reply's ages are in seconds at
the moment of the reply; the asker dates them by the moment of its question.
"""

import typing

import msgspec


class PrefixState(msgspec.Struct, frozen=True, array_like=True):
    """How far a process knows a prefix of the store, and how recent that is."""

    prefix: str
    changed_rev: int
    complete_rev: int
    age_s: float


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """An entry tells another one that it lives and what it knows."""

    sender: str
    entries: list[str]


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="beat_reply"):
    """The answer to a beat."""

    entries: list[str]
    prefix_states: list[PrefixState]


class FetchRequest(msgspec.Struct, frozen=True, array_like=True, tag="fetch"):
    """Asks for the changes of a prefix after a revision."""

    prefix: str
    after: int


class WireChange(msgspec.Struct, frozen=True, array_like=True):
    """One change."""

    key: str
    rev: int
    value: bytes | None
    created_rev: int


class FetchReply(msgspec.Struct, frozen=True, array_like=True, tag="fetch_reply"):
    """The changes that were asked for."""

    prefix: str
    changes: list[WireChange]
    complete_rev: int
    is_snapshot: bool


class Report(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """A sidecar tells an entry how its target fares.

    ``pace`` over 1 means that the engine is slow. ``age_s`` is the time since the
    engine was read. ``lists_seen`` is the digest of the lists that the entry sent last.
    """

    sender: str
    target: str
    is_alive: bool
    running: int
    waiting: int
    slowdown: float
    group: str
    epoch: int
    rank: int
    size: int
    is_group_open: bool
    skew: float
    age_s: float = 0.0
    known_digest: int = 0


class ReportReply(msgspec.Struct, frozen=True, array_like=True, tag="report_reply"):
    """The entries that are known, and the sidecars of the sender's group by rank.

    The lists are left out if the sender has seen them, by their ``digest``. ``is_near``
    asks the sender to report each change at once.
    """

    digest: int
    wants_every_change: bool
    entries: list[str] = []
    ranks: list[tuple[int, str]] = []


class ReadRank(msgspec.Struct, frozen=True, array_like=True, tag="read_rank"):
    """A group's leader asks a rank's sidecar for its state, and for more."""

    with_demand: bool
    with_experts: bool


class RankReply(msgspec.Struct, frozen=True, array_like=True, tag="rank_reply"):
    """A rank's state; versions and steps are 0 if there is none.

    ``demand`` has half a byte an expert, set by set, and ``level`` is what one unit of
    it is worth. ``experts`` are the rank's own, by set.
    """

    group: str
    epoch: int
    rank: int
    is_group_open: bool
    step: int
    map_version: int
    prepared_version: int
    armed_version: int
    armed_step: int
    held_step: int
    slowdown: float
    demand: bytes | None = None
    demand_unit: float = 0.0
    experts: list[list[int]] | None = None


class OrderRank(msgspec.Struct, frozen=True, array_like=True, tag="order_rank"):
    """A group's leader lets a rank's sidecar give its engine an order."""

    kind: typing.Literal["prepare", "arm"]
    epoch: int
    version: int
    step: int
    experts: list[list[list[int]]] | None = None


class UnavailableReply(msgspec.Struct, frozen=True, array_like=True, tag="no_reply"):
    """The asked process cannot answer now, with the reason."""

    reason: str


Request = Heartbeat | FetchRequest | Report | ReadRank | OrderRank
Reply = HeartbeatReply | FetchReply | ReportReply | RankReply | UnavailableReply

ENCODER: typing.Final = msgspec.msgpack.Encoder()
REQUEST_DECODER: typing.Final = msgspec.msgpack.Decoder(Request)
REPLY_DECODER: typing.Final = msgspec.msgpack.Decoder(Reply)
