"""Settings files of the direct path's processes, in JSON with comments."""

import typing

import msgspec

from sardinesaddle import settings

Address = typing.Annotated[str, msgspec.Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$")]
# With one host lost at a time, a held group waits for its leader to return.
MIN_HOSTS_LOST_FOR_BACKUP: typing.Final = 2

Seconds = typing.Annotated[float, msgspec.Meta(gt=0)]
NotNegative = typing.Annotated[float, msgspec.Meta(ge=0, le=1e6)]


class EntryBounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' limits for an entry.

    ``revoke_s`` limits how long a revoked API key is still accepted, ``drain_s`` the
    time from SIGTERM to the end of the process. Within ``repeat_window_s``, all entries
    together may retry ``repeat_ratio`` of the requests plus ``repeat_allowance``.
    ``evacuation_s`` limits how long requests still go to an evacuated place; without
    it, entries ignore evacuations. In any second, all entries together send a target
    that may be cold at most ``cold_overage`` times the rate that its service states,
    plus ``cold_slack``; None for no bound.
    """

    revoke_s: Seconds = 5.0
    drain_s: Seconds = 8.0
    repeat_ratio: float = 0.2
    repeat_allowance: float = 90.0
    repeat_window_s: Seconds = 10.0
    evacuation_s: Seconds | None = None
    cold_overage: NotNegative | None = None
    cold_slack: NotNegative | None = None


class SidecarBounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' limits for a sidecar; ``drain_s`` is as for an entry."""

    drain_s: Seconds = 8.0


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings that entries and sidecars have in common.

    ``store`` is the address of the platform's store. ``node_ports`` are the first and
    last port for messages between processes, the same on all hosts. ``seeds`` are the
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
        """The port on which a process listens for messages of other processes."""
        return self.node_ports[0]

    def list_seed_hosts(self) -> list[str]:
        """Return the hosts of the seeds, without ports."""
        return [address.rpartition(":")[0] for address in self.seeds]


class EntrySettings(
    NodeSettings, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of an entry; it serves callers at ``front``, readiness at ``ready``.

    ``is_first_start`` is set if no process of the system ran before. ``places`` maps
    each place to its region. ``ramp_up`` lets targets that have just started or
    recovered get requests gradually. ``share_capacity`` shares the capacity of
    lock-step groups by priority and account while it is scarce. ``contracts`` names
    the parts of the platform's rules that are in force, from which follows whether
    engines crash that hold more than their memory (``bounds_engine_memory``).
    ``max_buffered_bytes`` limits what the entry holds of all requests and responses;
    without it, a part of ``memory_mb`` does, which is what the process may take, in
    units of 1,000,000 bytes, or else of the kernel's limit. ``max_descriptors`` is how
    many descriptors the process may open, None for the kernel's limit.
    """

    front: Address
    ready: Address
    is_first_start: bool = False
    places: dict[str, str] = {}
    ramp_up: bool = False
    share_capacity: bool = False
    contracts: list[str] = []
    bounds_engine_memory: bool = False
    max_buffered_bytes: typing.Annotated[int, msgspec.Meta(ge=2**20)] | None = None
    memory_mb: typing.Annotated[int, msgspec.Meta(ge=1)] | None = None
    max_descriptors: typing.Annotated[int, msgspec.Meta(ge=1)] | None = None
    bounds: EntryBounds = EntryBounds()


class SidecarSettings(
    NodeSettings, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of a sidecar; ``target`` is the address of the engine beside it.

    ``hosts_lost_at_once`` is the number of hosts whose simultaneous loss the operators
    expect the system to survive.
    """

    target: Address
    service: str = ""
    hosts_lost_at_once: typing.Annotated[int, msgspec.Meta(ge=0)] = 1
    bounds: SidecarBounds = SidecarBounds()

    @property
    def backup_leaders(self) -> bool:
        """Whether other sidecars complete the map switches of a lost group leader."""
        return self.hosts_lost_at_once >= MIN_HOSTS_LOST_FOR_BACKUP


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def load_entry(path: str) -> EntrySettings | settings.SettingsFault:
    """Read and check an entry's settings."""
    return settings.load_settings(path, EntrySettings)


def load_sidecar(path: str) -> SidecarSettings | settings.SettingsFault:
    """Read and check a sidecar's settings."""
    return settings.load_settings(path, SidecarSettings)
