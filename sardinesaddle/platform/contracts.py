"""Names of the parts of the platform's rules that its settings list as in force."""

import collections.abc
import typing

# Engines that hold more than their memory crash, and clients may read slowly.
ENGINE_MEMORY: typing.Final = "pressure"


def bounds_engine_memory(names: collections.abc.Collection[str]) -> bool:
    """Return whether engines crash that hold more than their memory."""
    return ENGINE_MEMORY in names
