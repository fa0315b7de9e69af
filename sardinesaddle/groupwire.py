"""The msgpack form of the messages between the members of a group."""

import typing

import msgspec

from sardinesaddle import group, steps

KINDS: typing.Final[tuple[type[typing.Any], ...]] = (
    group.AskPromise,
    group.AskPromised,
    group.Promised,
    group.Prepare,
    group.Report,
    steps.Promise,
    steps.Plan,
    steps.Grant,
)


class GroupFault(msgspec.Struct, frozen=True):
    """A sentinel: a group message cannot be read, with the reason."""

    reason: str


def encode_group_message(msg: group.Message) -> bytes:
    """Return the number of the message's kind and its fields."""
    return msgspec.msgpack.encode((KINDS.index(type(msg)), msg))


def decode_group_message(body: bytes) -> group.Message | GroupFault:
    """Return the message, checked field by field."""
    try:
        kind, fields = msgspec.msgpack.decode(body, type=tuple[int, msgspec.Raw])
        if not 0 <= kind < len(KINDS):
            return GroupFault(f"kind {kind} of a group message is not known")
        msg: group.Message = msgspec.msgpack.decode(fields, type=KINDS[kind])
    except (msgspec.DecodeError, ValueError) as exc:
        return GroupFault(f"a group message is malformed: {exc}")
    return msg
