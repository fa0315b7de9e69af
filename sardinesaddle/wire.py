"""The messages that pass between the system's own processes.

Each message is a msgpack array whose first element is its tag, so that a frame
costs few bytes and decodes straight into a typed object. Attempts are named by a
number that is unique within the sending incarnation. Offsets count the body bytes
of one answer. Durations are in milliseconds; no message carries a time of day.
"""

import typing

import msgspec

PROTOCOL_VERSION: typing.Final = 1


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The first message of the side that connects."""

    version: int
    name: str
    incarnation: int
    generation: int
    nonce: bytes


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The first message of the side that was connected to."""

    version: int
    name: str
    incarnation: int
    nonce: bytes
    proof: bytes


class Proof(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The connecting side's proof that it holds the secret."""

    proof: bytes


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The reason for which a handshake was refused."""

    reason: str


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A sign of life with the sender's state.

    ``uptime_ms`` is the sender's clock since its start; ``version`` orders the
    tables in force (see ``manifest.compute_version``); ``wait_ms`` is how long a
    new request would wait in its queue.
    """

    uptime_ms: int
    config_version: int
    is_leaving: bool
    running: int
    queued: int
    wait_ms: int


class Submit(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A request for the target, with everything the sidecar needs to run it."""

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
    trace_context: str
    is_suspect: bool = False


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The sidecar took charge of an attempt."""

    attempt: int


class Head(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The status and headers of an answer."""

    attempt: int
    status: int
    headers: list[tuple[str, str]]


class Data(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Body bytes of an answer."""

    attempt: int
    offset: int
    data: bytes


class End(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The end mark of an answer."""

    attempt: int
    length: int
    digest: int


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The attempt ends without a whole answer."""

    attempt: int
    code: str
    ran: str
    detail: str
    retry_after_ms: int


class Credit(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """The reader holds all bytes below ``offset``; ``limit`` bounds what to send."""

    attempt: int
    offset: int
    send_limit: int


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Nobody waits for the attempt any more."""

    attempt: int


class Resume(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Continue an attempt on this connection from an offset."""

    attempt: int
    offset: int
    send_limit: int


class ReleaseRequest(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """A key's new home asks an earlier home to give the key up."""

    request_id: int
    account: str
    service: str
    key_text: str


class ReleaseReply(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """The earlier home's answer; ``free`` means that no call used the key.

    ``revision`` is the table that the earlier home holds.
    """

    request_id: int
    is_free: bool
    table_revision: int


class ManifestRequest(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Ask a peer for the manifest in force there."""


class ManifestReply(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """A manifest, packed; empty when the peer has none."""

    data: bytes


class ShardRequest(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Ask a peer for a shard by its digest."""

    digest: str


class ShardReply(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """A shard's content, packed; empty when the peer does not hold it."""

    digest: str
    data: bytes


class QuarantineNotice(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """How requests with this fingerprint may be run; see ``quarantine.Verdict``."""

    fingerprint: int
    verdict: int


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """An entry asks an issuer for part of an account's rate.

    ``asked_ms`` is on the entry's own clock and comes back in the answer.
    """

    account: str
    service: str
    place: str
    wanted: int
    asked_ms: int


class LeaseReply(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """Requests that the entry may admit within a lifetime of asking."""

    account: str
    service: str
    granted: int
    asked_ms: int


class GroupMessage(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """A message between members of a lock-step group; see ``groupwire``."""

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
    | ReleaseRequest
    | ReleaseReply
    | ManifestRequest
    | ManifestReply
    | ShardRequest
    | ShardReply
    | QuarantineNotice
    | LeaseRequest
    | LeaseReply
    | GroupMessage
)

_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final[msgspec.msgpack.Decoder[Message]] = msgspec.msgpack.Decoder(
    Message
)


def encode_message(msg: Message) -> bytes:
    """Return the msgpack form of a message."""
    return _ENCODER.encode(msg)


def decode_message(payload: bytes | memoryview) -> Message:
    """Return the message; raise ``msgspec.DecodeError`` if it is malformed."""
    return _DECODER.decode(payload)
