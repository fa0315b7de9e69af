"""Settings of the processes of the direct path: JSON with comments, checked."""

import typing

import msgspec

from sardinesaddle import settings

Address = typing.Annotated[str, msgspec.Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$")]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0)]


class EntryBounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' bounds for an entry.

    ``revoke_s`` bounds the use of a key that was taken away, ``drain_s`` the time
    from SIGTERM to the end. Repeats are bounded by a share of requests and an
    allowance in a window, over all entries.
    """

    revoke_s: Seconds = 5.0
    drain_s: Seconds = 8.0
    repeat_ratio: float = 0.2
    repeat_allowance: float = 90.0
    repeat_window_s: Seconds = 10.0


class SidecarBounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' bounds for a sidecar."""

    drain_s: Seconds = 8.0


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What entries and sidecars have in common.

    ``store`` is the address of the platform's store. ``node_ports`` are the first
    and last port for talk between processes; all hosts use the same. ``seeds`` are
    addresses of some entries.
    """

    name: str
    host: str
    place: str
    store: Address
    node_ports: tuple[int, int]
    seeds: list[Address] = []
    metrics_port: int = 0
    log_lines_per_s: Seconds = 400.0

    @property
    def node_port(self) -> int:
        """The port on which processes of this deployment listen for each other."""
        return self.node_ports[0]

    def list_seed_hosts(self) -> list[str]:
        """Return the hosts of the seeds."""
        return [address.rpartition(":")[0] for address in self.seeds]


class EntrySettings(
    NodeSettings, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of an entry; ``front`` is for callers, ``ready`` for the balancer."""

    front: Address
    ready: Address
    bounds: EntryBounds = EntryBounds()


class SidecarSettings(
    NodeSettings, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of a sidecar; ``target`` is the address of the engine beside it."""

    target: Address
    service: str = ""
    bounds: SidecarBounds = SidecarBounds()


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def load_entry(path: str) -> EntrySettings | settings.SettingsFault:
    """Read and check an entry's settings."""
    return settings.load_settings(path, EntrySettings)


def load_sidecar(path: str) -> SidecarSettings | settings.SettingsFault:
    """Read and check a sidecar's settings."""
    return settings.load_settings(path, SidecarSettings)
