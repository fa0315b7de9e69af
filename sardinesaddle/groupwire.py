"""The msgpack form of the messages between the members of a group."""

import typing

import msgspec

from sardinesaddle import group, steps

MESSAGE_TYPES: typing.Final[tuple[type[typing.Any], ...]] = (
    group.PromiseRequest,
    group.PromisedEpochRequest,
    group.PromisedEpochReply,
    group.PrepareMap,
    group.RankReport,
    steps.Promise,
    steps.Plan,
    steps.Grant,
)


class GroupMessageFault(msgspec.Struct, frozen=True):
    """A sentinel: a group message cannot be read, with the reason."""

    reason: str


def encode_group_message(msg: group.Message) -> bytes:
    """Return the number of the message's kind and its fields."""
    return msgspec.msgpack.encode((MESSAGE_TYPES.index(type(msg)), msg))


def decode_group_message(body: bytes) -> group.Message | GroupMessageFault:
    """Return the message, checked field by field."""
    try:
        kind, fields = msgspec.msgpack.decode(body, type=tuple[int, msgspec.Raw])
        if not 0 <= kind < len(MESSAGE_TYPES):
            return GroupMessageFault(f"kind {kind} of a group message is not known")
        msg: group.Message = msgspec.msgpack.decode(fields, type=MESSAGE_TYPES[kind])
    except (msgspec.DecodeError, ValueError) as exc:
        return GroupMessageFault(f"a group message is malformed: {exc}")
    return msg
