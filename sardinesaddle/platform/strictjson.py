"""Decodes JSON that all readers take alike into msgspec types.

Where a name comes twice in an object, msgspec takes the last value; other readers take
the first one, or refuse. msgspec also skips the bytes of fields that its type lacks,
where others find text that is not UTF-8. A ``StrictDecoder`` refuses both, wherever
they are. What else differs between readers (bytes after the value, NaN, a lone
surrogate, a number as text) msgspec refuses itself.

Most texts are proved clear without a reader in Python: either they have as many colons
as names that the type requires, or they equal what is written for their content, which
has no name twice.
"""

import json
import typing

import msgspec

Kind = typing.TypeVar("Kind", bound=msgspec.Struct)


def join_names(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Return an object's fields by name; raise ``DecodeError`` if one comes twice."""
    fields = dict(pairs)
    if len(fields) < len(pairs):
        names = [name for name, _ in pairs]
        doubled = next(name for name in fields if names.count(name) > 1)
        raise msgspec.DecodeError(f"the name {doubled!r:.60} comes twice")
    return fields


_GENERIC_DECODER: typing.Final = msgspec.json.Decoder()
_ENCODER: typing.Final = msgspec.json.Encoder()
_NAME_CHECK: typing.Final = json.JSONDecoder(object_pairs_hook=join_names)


def is_canonical(data: bytes) -> bool:
    """Return whether a text is what is written for its content.

    Blanks after commas and colons are allowed, as Python's writer adds them. Where that
    changes a string, the text does not count as canonical.
    """
    try:
        canonical = _ENCODER.encode(_GENERIC_DECODER.decode(data))
    except ValueError:
        return False  # for example a number beyond a double in an unknown field
    return canonical == data or canonical == data.replace(b", ", b",").replace(
        b": ", b":"
    )


class StrictDecoder(typing.Generic[Kind]):
    """Decodes one type; what readers may take differently raises ``DecodeError``."""

    __slots__ = ("_decoder", "_required_count")

    def __init__(self, kind: type[Kind]) -> None:
        self._decoder = msgspec.json.Decoder(kind)
        self._required_count = len(kind.__struct_fields__) - len(
            kind.__struct_defaults__
        )

    def decode(self, data: bytes) -> Kind:
        """Return the decoded value; nesting that is too deep raises RecursionError."""
        value = self._decoder.decode(data)
        # Each name is followed by a colon, and the required ones are all there.
        if data.count(b":") > self._required_count and not is_canonical(data):
            self._check_names(data)
        return value

    def _check_names(self, data: bytes) -> None:
        """Read a text once more, with another reader that sees all names."""
        try:
            _NAME_CHECK.decode(data.decode())
        except msgspec.DecodeError:
            raise
        except ValueError as exc:
            raise msgspec.DecodeError(f"{type(exc).__name__}: {exc}") from exc
