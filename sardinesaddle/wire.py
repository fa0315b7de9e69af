"""Messages exchanged by entries and sidecars.

Each message is encoded as a msgpack array that starts with the message's tag. This
keeps frames small and lets them be decoded directly into typed objects. An attempt
number is unique within the incarnation that sends it. Offsets count the body bytes
of one answer. Durations are in milliseconds. No message carries a wall-clock time,
because the clocks of hosts may disagree.
"""

import typing

import msgspec

PROTOCOL_VERSION: typing.Final = 1


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """First message of the connecting side.

    ``generation`` counts the connections that the incarnation made to this peer.
    """

    version: int
    name: str
    incarnation: int
    generation: int
    nonce: bytes


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Reply of the accepting side to ``Hello``."""

    version: int
    name: str
    incarnation: int
    nonce: bytes
    proof: bytes


class Proof(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The connecting side's MAC, which proves that it holds the shared secret."""

    proof: bytes


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Sent before closing the connection when a handshake is refused."""

    reason: str


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Periodic report of the sender's liveness, configuration and load.

    ``uptime_ms`` is the time since the sender started, on its own clock.
    ``config_version`` orders the tables in force (see
    ``manifest.compute_version``). ``wait_ms`` estimates how long a new request
    would wait in the sender's queue.
    """

    uptime_ms: int
    config_version: int
    is_draining: bool
    running: int
    queued: int
    wait_ms: int


class Submit(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Starts an attempt: a request for the target with all data needed to run it.

    ``remaining_ms`` is the time left until the caller's deadline. The answer is
    sent from ``start_offset`` on, and at most ``window_bytes`` beyond it until a
    ``Credit`` arrives. ``fingerprint`` identifies requests that do the same, for
    the quarantine; a request that ``is_suspect`` runs alone on its target.
    """

    attempt: int
    service: str
    account: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    idempotency_key: str
    table_revision: int
    priority: int
    remaining_ms: int
    start_offset: int
    window_bytes: int
    is_idempotent: bool
    fingerprint: int
    traceparent: str
    is_suspect: bool = False


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Acknowledges an attempt: the sidecar will answer or refuse it."""

    attempt: int


class Head(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Status and headers of an answer."""

    attempt: int
    status: int
    headers: list[tuple[str, str]]


class Data(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Part of an answer's body; ``offset`` is the position of its first byte."""

    attempt: int
    offset: int
    data: bytes


class End(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """End of a complete answer, with the length and xxh64 digest of its body."""

    attempt: int
    length: int
    digest: int


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Ends an attempt without a complete answer.

    ``code`` is a name from ``errorcodes``, and ``ran`` a value of
    ``errorcodes.Ran``: whether the request was executed.
    """

    attempt: int
    code: str
    ran: str
    detail: str
    retry_after_ms: int


class Credit(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Flow control: acknowledges bytes and extends the send window.

    The reader has all bytes below ``offset`` and accepts bytes below
    ``send_limit``.
    """

    attempt: int
    offset: int
    send_limit: int


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """The entry no longer needs the attempt's answer."""

    attempt: int


class Resume(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Continues an attempt on a new connection, from the given offset."""

    attempt: int
    offset: int
    send_limit: int


class KeyReleaseRequest(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Asks a previous owner of an idempotency key to release the key."""

    request_id: int
    account: str
    service: str
    key_text: str


class KeyReleaseReply(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Reply of a key's previous owner.

    ``is_free`` is true if no call there used the key. ``table_revision`` is the
    revision of the table that the previous owner has in force.
    """

    request_id: int
    is_free: bool
    table_revision: int


class ManifestRequest(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Asks a peer for the manifest that it has in force."""


class ManifestReply(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """A compressed manifest; empty if the peer has none in force."""

    data: bytes


class ShardRequest(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Asks a peer for the table shard with this digest."""

    digest: str


class ShardReply(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """A compressed table shard; empty if the peer does not have it."""

    digest: str
    data: bytes


class QuarantineNotice(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Restricts how requests with this fingerprint run; see ``quarantine.Verdict``."""

    fingerprint: int
    verdict: int


class RateLeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """Asks a lease issuer for a number of requests out of an account's rate limit.

    ``requested_at_ms`` is a time on the entry's own clock, which the reply repeats.
    """

    account: str
    service: str
    place: str
    requested: int
    requested_at_ms: int


class RateLeaseReply(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """Grants a number of requests for a lifetime from ``requested_at_ms`` on.

    The entry computes the lifetime itself; see ``leases.compute_lease_lifetime``.
    """

    account: str
    service: str
    granted: int
    requested_at_ms: int


class GroupMessage(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """Carries a message between members of a lock-step group; see ``groupwire``."""

    group: str
    sender: int
    body: bytes


Message = (
    Hello
    | Welcome
    | Proof
    | Rejected
    | Heartbeat
    | Submit
    | Accepted
    | Head
    | Data
    | End
    | Refused
    | Credit
    | Cancel
    | Resume
    | KeyReleaseRequest
    | KeyReleaseReply
    | ManifestRequest
    | ManifestReply
    | ShardRequest
    | ShardReply
    | QuarantineNotice
    | RateLeaseRequest
    | RateLeaseReply
    | GroupMessage
)

_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final[msgspec.msgpack.Decoder[Message]] = msgspec.msgpack.Decoder(
    Message
)


def encode_message(msg: Message) -> bytes:
    """Return a message encoded as msgpack."""
    return _ENCODER.encode(msg)


def decode_message(payload: bytes | memoryview) -> Message:
    """Decode a message; raise ``msgspec.DecodeError`` if it is malformed."""
    return _DECODER.decode(payload)
