"""Encodes the messages between the members of a group as msgpack."""

import typing

import msgspec

from sardinesaddle import group, steps

# The index of a type is its number on the wire, so new types go to the end. Fields
# of dataclasses are encoded by name, those of named tuples by position.
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
    """A sentinel: a group message is malformed, for the given reason."""

    reason: str


def encode_group_message(msg: group.Message) -> bytes:
    """Return the message's type number and its fields as msgpack."""
    return msgspec.msgpack.encode((MESSAGE_TYPES.index(type(msg)), msg))


def decode_group_message(body: bytes) -> group.Message | GroupMessageFault:
    """Decode a message and validate its field types."""
    try:
        type_number, fields = msgspec.msgpack.decode(body, type=tuple[int, msgspec.Raw])
        if not 0 <= type_number < len(MESSAGE_TYPES):
            return GroupMessageFault(f"unknown group message type {type_number}")
        msg: group.Message = msgspec.msgpack.decode(
            fields, type=MESSAGE_TYPES[type_number]
        )
    except (msgspec.DecodeError, ValueError) as exc:
        return GroupMessageFault(f"malformed group message: {exc}")
    return msg
