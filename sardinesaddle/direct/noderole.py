"""What entries and sidecars have in common as processes.

Each role has a module of its own that builds it, imported only by its processes: every
import costs memory in each of them.
"""

import abc
import collections.abc
import dataclasses

from sardinesaddle import settings
from sardinesaddle.direct import nodemetrics, nodesettings, statusserver


class Node(statusserver.Checked):
    """A process of the direct path."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Start to listen and to work."""

    @abc.abstractmethod
    async def drain(self, late_s: float = 0.0) -> None:
        """Finish what is running, and stop.

        The process was asked to ``late_s`` seconds ago.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class WiredNode:
    """A node with what its process needs beside it.

    ``close_clients`` closes the connections that the node used. ``ready`` is the
    address of the readiness check, empty if there is none.
    """

    node: Node
    metrics: nodemetrics.NodeMetrics
    close_clients: collections.abc.Callable[[], collections.abc.Awaitable[None]]
    ready: str = ""


class Role(abc.ABC):
    """Reads the settings of a role, builds its node and applies changed settings."""

    @abc.abstractmethod
    def load_settings(
        self, path: str
    ) -> nodesettings.NodeSettings | settings.SettingsFault:
        """Read and check a settings file; keep the settings if they are valid."""

    @abc.abstractmethod
    def build(self) -> WiredNode:
        """Build the node from the settings that were read last."""

    @abc.abstractmethod
    def reload(self) -> None:
        """Apply the settings that were read last to the node that was built."""
