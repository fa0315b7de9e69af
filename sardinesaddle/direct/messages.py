"""Messages between the processes of the direct path, encoded with msgpack.

Every request has exactly one reply on the same connection. Ages in a reply are in
seconds at the time of the reply. The requester subtracts them from the time at which
it sent the request, so that a delayed reply never makes data look newer than it is.

The structs are encoded as arrays: the order and the number of fields and the tags are
the wire format, the names of classes and fields are not.
"""

import typing

import msgspec

REPORT_PERIOD_S: typing.Final = 0.3  # of sidecars to entries, unless a report states it


class PrefixState(msgspec.Struct, frozen=True, array_like=True):
    """How complete and how recent a process's replica of a store prefix is.

    ``changed_rev`` is the revision of the newest change in the replica. All changes up
    to ``complete_rev`` are in it. ``age_s`` is the time since that was confirmed.
    ``era`` is the store's; revisions of different eras cannot be compared. If the
    process saw the store come back from a copy, ``settled_age_s`` is the time since
    what was lost counts as written again, negative before that.
    """

    prefix: str
    changed_rev: int
    complete_rev: int
    age_s: float
    era: int = 0
    settled_age_s: float | None = None


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """The incarnations of targets that crashed while a request content ran there.

    Those in ``cleared`` do not count against the content. ``last_crash_age_s`` is the
    time since the last crash. ``parts`` are those of its prompt, in order, that may be
    the cause. ``group`` is the lock-step group of the last target that crashed.
    ``was_resent`` is set once the content came again after a crash. A record of a part,
    named by ``content_id``, has only ``cleared`` and ``served_age_s``, the time since a
    response for it last began, None if that is not known.
    """

    content_id: str
    crashed: list[str]
    cleared: list[str]
    last_crash_age_s: float
    parts: list[str] = []
    group: str = ""
    was_resent: bool = False
    served_age_s: float | None = None


Position = tuple[int, int, bool]
"""Era and revision of a change in the store, and whether it may have been copied."""


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """What is known of the end of an incarnation of a target.

    ``removed`` is where the store removed it, ``returned`` where it registered again.
    ``age_s`` is the time since the last change to the record.
    """

    incarnation: str
    is_leaving: bool
    removed: Position | None
    returned: Position | None
    age_s: float


class LimitStatement(msgspec.Struct, frozen=True, array_like=True):
    """The request limit that an incarnation of a target states.

    ``limit`` is in requests a second, None if it no longer states one. The ages, in
    milliseconds, are those of this statement and of the first limit that it stated.
    """

    incarnation: str
    limit: float | None
    age_ms: int
    first_age_ms: int


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What an entry tells another one about limited targets.

    ``number`` increases with the sender's claims. ``claims`` are its claims to parts of
    limits, by a hash of the target's incarnation, None if the receiver has them.
    ``digest`` is that of all limits that the sender knows; ``statements`` lists them if
    the receiver may lack one.
    """

    number: int
    digest: int
    claims: list[tuple[int, int]] | None
    statements: list[LimitStatement] = []


class Evacuation(msgspec.Struct, frozen=True, array_like=True):
    """Whether a place is evacuated, and the position of the store that states it.

    ``position`` is era, revision, and whether it may be from an earlier era.
    """

    place: str
    is_in_force: bool
    position: tuple[int, int, bool]


class ClaimUpdate(msgspec.Struct, frozen=True, array_like=True):
    """An entry's claims to parts of limits, by a hash of the target's incarnation.

    ``number`` increases with the sender's claims. Those that all entries assume without
    a message are left out. ``is_serving`` tells that the sender's start is over: it has
    found the other entries. ``lost`` are entries that the receiver may not reach: the
    host, the seconds since the sender reached it, and its claims, None if unknown.
    They are those that the sender counts and does not reach, for a receiver that
    starts, and those that the receiver asked for in ``unreached``.
    """

    number: int
    claims: list[tuple[int, int]]
    is_serving: bool = False
    lost: list[tuple[str, int, list[tuple[int, int]] | None]] = []
    unreached: list[str] = []


class PaceRecord(msgspec.Struct, frozen=True, array_like=True):
    """The ramp-up of a target or group, by a hash of its incarnation or epoch.

    ``begun`` and ``shrink_count`` count its beginnings and the decreases in the last
    one; the record with the higher ones counts, else the larger ``window``, with 0 for
    a ramp-up that is over. ``age_ms`` is the time since the last of them.
    """

    key: int
    begun: int
    shrink_count: int
    window: int
    age_ms: int


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand for a service at an entry: priorities, and tenths of requests a second.

    ``accounts`` lists the most demanding accounts while capacity is scarce: priority,
    CRC-32 of the account's name, and tenths of requests a second.
    """

    service: str
    rates: list[tuple[int, int]]
    accounts: list[tuple[int, int, int]] = []


class AdmissionUpdate(msgspec.Struct, array_like=True):
    """What an entry tells another one for its decisions on sends.

    Each field is that of one part of ``admission``, None if the part has nothing to
    tell or is off. ``demand`` is for ``scarcecapacity``.
    """

    evacuations: list[Evacuation] | None = None
    cold: ClaimUpdate | None = None
    paces: list[PaceRecord] | None = None
    demand: list[ServiceDemand] | None = None


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Sent by an entry to another entry, with the entries that the sender has found.

    ``crash_records`` are those that changed since the last heartbeat that the receiver
    replied to, and so are ``departures``. ``incarnation`` is a random number of the
    sender's process. ``limits`` is None if the sender knows of none, and ``admission``
    if no part has anything to tell.
    """

    sender: str
    entries: list[str]
    crash_records: list[CrashRecord] = []
    incarnation: int = 0
    limits: LimitUpdate | None = None
    departures: list[Departure] = []
    admission: AdmissionUpdate | None = None


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="beat_reply"):
    """The receiver's own list of entries, and the state of its replicas.

    ``incarnation`` is a random number of the receiver's process, 0 if it does not take
    crash records. ``limits`` is None if the receiver knows of none; it has applied
    those of the heartbeat. ``config_version`` is that of the configuration in force, 0
    for none. ``refused_parts`` are the parts of prompts that the receiver refuses
    because targets crashed, None if it has not seen enough traffic to judge parts.
    ``admission`` is as in the heartbeat.
    """

    entries: list[str]
    prefix_states: list[PrefixState]
    incarnation: int = 0
    limits: LimitUpdate | None = None
    config_version: int = 0
    refused_parts: list[str] | None = None
    admission: AdmissionUpdate | None = None


class FetchRequest(msgspec.Struct, frozen=True, array_like=True, tag="fetch"):
    """Requests the changes of a store prefix after revision ``after`` of an era."""

    prefix: str
    after: int
    era: int = 0


class WireChange(msgspec.Struct, frozen=True, array_like=True):
    """A change of a key in the store; ``value`` is None if the key was deleted."""

    key: str
    rev: int
    value: bytes | None
    created_rev: int


class FetchReply(msgspec.Struct, frozen=True, array_like=True, tag="fetch_reply"):
    """The requested changes, complete up to ``complete_rev``.

    If ``is_full`` is set, the changes list all existing keys of the prefix. Changes up
    to ``copied_rev`` may be older than the era.
    """

    prefix: str
    changes: list[WireChange]
    complete_rev: int
    is_full: bool
    era: int = 0
    copied_rev: int = 0


class FetchConfig(msgspec.Struct, frozen=True, array_like=True, tag="fetch_config"):
    """Requests the configuration in force if its version is above ``version``."""

    version: int


class ConfigReply(msgspec.Struct, frozen=True, array_like=True, tag="config_reply"):
    """The configuration in force as the store had it, None if it is not newer."""

    version: int
    value: bytes | None


class MemoryState(msgspec.Struct, frozen=True, array_like=True):
    """The memory of an engine, in tokens, and what the receiver may hold of it.

    ``used`` cannot be reclaimed, ``total`` is all that the engine has. ``number``
    increases with each statement. ``limit`` is what the requests of the receiver's
    ``process`` may need together at each of the horizons of ``memorygrants``, None for
    an entry that has stated no ``MemoryUse`` yet. It counts for a lease that begins
    with the receiver's time ``echo_ms``.
    """

    used: int
    total: int
    number: int
    limit: list[int] | None = None
    echo_ms: int = 0
    process: int = 0


class MemoryUse(msgspec.Struct, frozen=True, array_like=True):
    """What an entry's requests need of an engine's memory, in tokens by horizon.

    ``process`` is a random number of the entry's process, ``held`` what its requests
    there need, ``wanted`` what the largest recent request needs. ``sent_ms`` is the
    entry's time, ``hold_ms`` the longest time that a request may take.
    """

    process: int
    held: list[int]
    wanted: list[int]
    sent_ms: int
    hold_ms: int


class Report(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """State and load of a target, sent by its sidecar to an entry.

    ``is_alive`` is False if the engine did not respond. ``slowdown`` above 1
    means that the engine is slow. ``age_s`` is the time since the engine's state was
    read. ``known_digest`` identifies the lists that the sidecar last received from
    this entry, or is 0. ``is_leaving`` is set if the engine states that it leaves, and
    ``started_ms`` is the Unix time of its start, 0 if it does not state that.
    ``wants_ranks`` asks for the list of ranks, which rank 0 gets in any case.
    ``memory`` is None if the engine does not state its memory. The next report follows
    within ``period_s``.
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
    is_leaving: bool = False
    started_ms: int = 0
    wants_ranks: bool = False
    memory: MemoryState | None = None
    period_s: float = REPORT_PERIOD_S


class ReportReply(msgspec.Struct, frozen=True, array_like=True, tag="report_reply"):
    """The entries, and the hosts of the sidecars of the sender's group by rank.

    Both lists are empty if ``digest`` equals the ``known_digest`` of the report.
    ``wants_every_change`` asks the sidecar to report each change of load at once.
    ``takes_crash_records`` is set if the entry replies to ``CrashSync``. ``targets``
    are the addresses of the engines of ``ranks``, for a report with ``wants_ranks``.
    ``memory`` is None unless the entry decides on the engine's memory.
    """

    digest: int
    wants_every_change: bool
    entries: list[str] = []
    ranks: list[tuple[int, str]] = []
    takes_crash_records: bool = False
    targets: list[str] = []
    memory: MemoryUse | None = None


class CrashSync(msgspec.Struct, frozen=True, array_like=True, tag="crash_sync"):
    """Crash records that a sidecar keeps and the entry may lack.

    ``known_change`` is the change number of the entry's ledger up to which the sender
    has its records, if the entry's process still has ``known_incarnation``.
    """

    sender: str
    crash_records: list[CrashRecord]
    known_incarnation: int
    known_change: int


class CrashSyncReply(msgspec.Struct, frozen=True, array_like=True, tag="crash_reply"):
    """The records that the sender lacks, and the entry's newest change number.

    ``departures`` has all that the entry knows, if the sender has no records yet.
    """

    incarnation: int
    change_number: int
    crash_records: list[CrashRecord]
    departures: list[Departure] = []


class ReadRank(msgspec.Struct, frozen=True, array_like=True, tag="read_rank"):
    """Requests a rank's state, sent by the group's leader to the rank's sidecar."""

    with_demand: bool
    with_experts: bool


class RankReply(msgspec.Struct, frozen=True, array_like=True, tag="rank_reply"):
    """A rank's state; a version or step that does not exist is 0.

    ``demand`` packs the demand for each expert, set by set, in 4 bits each, in
    multiples of ``demand_unit``. ``experts`` lists the rank's own experts by set.
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
    """An order for a rank's engine, sent by the group's leader to the rank's sidecar.

    ``experts`` lists the experts of the map by layer set and rank. ``relay_hosts`` are
    those of other ranks' sidecars that the receiver passes the order on to.
    """

    kind: typing.Literal["prepare", "arm"]
    epoch: int
    version: int
    step: int
    experts: list[list[list[int]]] | None = None
    relay_hosts: list[str] = []


class UnavailableReply(msgspec.Struct, frozen=True, array_like=True, tag="no_reply"):
    """Reply of a process that cannot serve the request now; ``reason`` is for logs."""

    reason: str


Request = (
    Heartbeat | FetchRequest | FetchConfig | Report | CrashSync | ReadRank | OrderRank
)
Reply = (
    HeartbeatReply
    | FetchReply
    | ConfigReply
    | ReportReply
    | CrashSyncReply
    | RankReply
    | UnavailableReply
)

ENCODER: typing.Final = msgspec.msgpack.Encoder()
REQUEST_DECODER: typing.Final = msgspec.msgpack.Decoder(Request)
REPLY_DECODER: typing.Final = msgspec.msgpack.Decoder(Reply)
