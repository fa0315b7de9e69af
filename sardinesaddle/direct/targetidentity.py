"""Finds out which process has the address of a target.

An accepted connection shows that some process listens at the address, not which one:
after the end of a target another one may have it. What the process states of itself
tells them apart.
"""

import abc
import enum

from sardinesaddle.direct import catalog


class Occupant(enum.Enum):
    """Which process has the address of a target.

    ``UNKNOWN`` if there was no answer in time, or a refusal for want of room: it may be
    stated later. ``UNSTATED`` if the target cannot be asked, or does not answer that.
    """

    TARGET = "target"
    OTHER = "other"
    UNKNOWN = "unknown"
    UNSTATED = "unstated"


class TargetIdentifier(abc.ABC):
    """Asks the process at the address of a target which one it is."""

    @abc.abstractmethod
    async def identify(
        self,
        registration: catalog.TargetRegistration,
        service: catalog.Service | None,
        timeout_s: float,
    ) -> Occupant:
        """Return which process has the address of a target.

        ``service`` is the target's, None if the configuration does not name it.
        """
