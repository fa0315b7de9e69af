"""Models published revisions: two processes, and a service whose reads may be stale.

The operators publish revision 1, then a faulty revision 2, then revision 3 twice with
different content, as two operators do who publish at the same time. Both processes read
the service, which may return any value that was ever published, and both learn from
each other's heartbeats. An answer arrives at once or never, and one answer with shards
may be corrupt. Any process may restart and lose its state.
"""

import copy
import typing

import msgspec

from sardinesaddle import configuration, manifest, table
from sardinesaddle.spec import model

PROCESS_COUNT: typing.Final = 2
SERVICE_READERS: typing.Final = (0, 1)
MAX_RESTARTS: typing.Final = 1
MAX_CORRUPTIONS: typing.Final = 1
CONFIG_SERVICE: typing.Final = "service"


def make_publication(
    revision: int, prefix: str, is_faulty: bool = False
) -> tuple[bytes, dict[str, bytes]]:
    """Return the manifest and the shards of a revision.

    The target of a faulty revision has a service that the table lacks.
    """
    target_service = "missing" if is_faulty else "s"
    rows = table.Rows(
        services=[table.ServiceRow("s", "plain", prefix=prefix)],
        targets=[table.TargetRow("t", target_service, "p")],
    )
    published, shards = manifest.build_manifest(rows, revision, None)
    return msgspec.json.encode(published), shards


PUBLICATIONS: typing.Final = (
    make_publication(1, "/one"),
    make_publication(2, "/two", is_faulty=True),
    make_publication(3, "/three"),
    make_publication(3, "/other"),
)
SHARDS: typing.Final = {
    digest: data for _, shards in PUBLICATIONS for digest, data in shards.items()
}
INDEX_BY_VERSION: typing.Final = {
    manifest.compute_version(manifest.parse_manifest(data).revision, data): index  # type: ignore[union-attr]
    for index, (data, _) in enumerate(PUBLICATIONS)
}
FAULTY_INDEX: typing.Final = 1

FrozenProcess = tuple[typing.Any, ...]


class Revisions(model.Model):
    """Two processes and the service, which has the first ``published`` values.

    The field ``reverted`` tells that a process went back to a lower version, ``wrong``
    that a process put content in force that is faulty or not as published.
    """

    name = "configuration in force, never back"
    fields = ("published", "processes", "reverted", "wrong", "restarts", "corruptions")

    def __init__(
        self,
        configuration_class: type[
            configuration.Configuration
        ] = configuration.Configuration,
    ) -> None:
        self._configuration_class = configuration_class
        self._configurations: dict[FrozenProcess, configuration.Configuration] = {}
        # The next state by a process's state and an event; few of them are distinct.
        self._successors: dict[tuple[typing.Any, ...], FrozenProcess] = {}
        self._correctness: dict[FrozenProcess, bool] = {}

    def _freeze(self, conf: configuration.Configuration) -> FrozenProcess:
        """Return a hashable value for a process's state.

        The process is kept, so that ``_copy_process`` can copy it for the value.
        """
        frozen = (
            conf.version,
            conf._pending_version if conf._pending is not None else 0,
            tuple(sorted((d[:8], hash(data)) for d, data in conf._shards.items())),
            tuple(sorted(conf._rejected_versions)),
            tuple(sorted(conf._source_versions.items())),
        )
        self._configurations.setdefault(frozen, conf)
        return frozen

    def _copy_process(self, frozen: FrozenProcess) -> configuration.Configuration:
        """Return a copy of the process that a frozen value was made for.

        Request times are cleared: the model's clock stands still, so that no request
        would ever be due for repetition.
        """
        conf = copy.copy(self._configurations[frozen])
        for name, value in vars(conf).items():
            if isinstance(value, dict | set):
                setattr(conf, name, copy.copy(value))
        conf._requested_at.clear()
        return conf

    def make_initial(self) -> model.State:
        """Return new processes and the first published value."""
        fresh = self._freeze(self._configuration_class(0.0))
        return (1, (fresh,) * PROCESS_COUNT, False, False, 0, 0)

    def list_transitions(self, state: model.State) -> list[model.Transition]:
        """Return the publications, reads, heartbeats and restarts that may come."""
        published, processes, *_, restarts, _ = state
        transitions: list[model.Transition] = []
        if published < len(PUBLICATIONS):
            transitions.append(("publish", (published + 1, *state[1:])))
        for index in range(PROCESS_COUNT):
            if index in SERVICE_READERS:
                for publication_index in range(published):
                    transitions += self._read_service(state, index, publication_index)
            for peer_index in range(PROCESS_COUNT):
                if peer_index != index:
                    transitions += self._receive_heartbeat(state, index, peer_index)
            if restarts < MAX_RESTARTS:
                fresh = self._freeze(self._configuration_class(0.0))
                after = replace_item(processes, index, fresh)
                transitions.append(
                    (
                        f"p{index} restarts",
                        (published, after, *state[2:4], restarts + 1, state[5]),
                    )
                )
        return transitions

    def _read_service(
        self, state: model.State, index: int, publication_index: int
    ) -> list[model.Transition]:
        """Let a process read a published value, with or without its shards."""
        transitions = []
        for has_shards in (True, False):
            event = (state[1][index], "read", publication_index, has_shards)
            if event not in self._successors:
                conf = self._copy_process(event[0])
                actions = conf.on_manifest(
                    0.0, CONFIG_SERVICE, PUBLICATIONS[publication_index][0]
                )
                if has_shards:
                    self._answer_shard_requests(conf, actions, SHARDS)
                self._successors[event] = self._freeze(conf)
            label = (
                f"p{index} reads {publication_index},"
                f" {'whole' if has_shards else 'shards lost'}"
            )
            transitions.append(
                (label, self._replace_process(state, index, self._successors[event]))
            )
        return transitions

    def _receive_heartbeat(
        self, state: model.State, index: int, peer_index: int
    ) -> list[model.Transition]:
        """Let a process receive a peer's version and fetch its revision."""
        peer = self._configurations[state[1][peer_index]]
        if not peer.version:
            return []
        transitions = []
        for is_corrupt in (False, True):
            if is_corrupt and state[5] >= MAX_CORRUPTIONS:
                continue
            event = (state[1][index], state[1][peer_index], peer_index, is_corrupt)
            if event not in self._successors:
                self._successors[event] = self._apply_heartbeat(
                    event[0], peer, peer_index, is_corrupt
                )
            after = self._replace_process(state, index, self._successors[event])
            if is_corrupt:
                after = (*after[:5], after[5] + 1)
            label = f"p{index} hears p{peer_index}{', corrupt' if is_corrupt else ''}"
            transitions.append((label, after))
        return transitions

    def _apply_heartbeat(
        self,
        frozen: FrozenProcess,
        peer: configuration.Configuration,
        peer_index: int,
        is_corrupt: bool,
    ) -> FrozenProcess:
        """Return a process's state after a peer's heartbeat and answers."""
        conf = self._copy_process(frozen)
        name = f"p{peer_index}"
        for action in conf.on_peer_version(0.0, name, peer.version):
            if isinstance(action, configuration.FetchManifest):
                shard_actions = conf.on_manifest(0.0, name, peer.manifest_data)
                peer_shards = {d: peer.find_shard(d) for d in SHARDS}
                if is_corrupt:
                    peer_shards = {d: SHARDS[min(SHARDS)] for d in SHARDS}
                self._answer_shard_requests(conf, shard_actions, peer_shards)
        return self._freeze(conf)

    def _answer_shard_requests(
        self,
        conf: configuration.Configuration,
        actions: list[configuration.Action],
        shards: dict[str, bytes],
    ) -> None:
        """Answer the requests for shards at once.

        Requests that follow from an answer are lost.
        """
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, configuration.FetchShard):
                data = shards.get(action.digest, b"")
                pending += [
                    new_action
                    for new_action in conf.on_shard(0.0, action.digest, data)
                    if not isinstance(new_action, configuration.FetchShard)
                ]

    def _replace_process(
        self, state: model.State, index: int, frozen: FrozenProcess
    ) -> model.State:
        """Return the state with one process replaced, with violations recorded."""
        published, processes, reverted, wrong, restarts, corruptions = state
        before = self._configurations[processes[index]]
        reverted = reverted or self._configurations[frozen].version < before.version
        if frozen not in self._correctness:
            self._correctness[frozen] = has_published_content(
                self._configurations[frozen]
            )
        wrong = wrong or not self._correctness[frozen]
        after = replace_item(processes, index, frozen)
        return (published, after, reverted, wrong, restarts, corruptions)

    def list_invariants(
        self,
    ) -> dict[str, typing.Callable[[dict[str, typing.Any]], bool]]:
        """Return the invariants on versions, on content and on starting processes."""
        return {
            "never reverts": lambda s: not s["reverted"],
            "only whole, accepted content": lambda s: not s["wrong"],
            "a joining process is not behind": lambda s: all(
                not self._is_behind(frozen) for frozen in s["processes"]
            ),
        }

    def _is_behind(self, frozen: FrozenProcess) -> bool:
        """Return whether a process is ready below a version that a peer announced."""
        conf = self._configurations[frozen]
        peer_versions = [
            v for name, v in conf._source_versions.items() if name != CONFIG_SERVICE
        ]
        return conf.is_ready(0.0) and conf.version < max(peer_versions, default=0)


def has_published_content(conf: configuration.Configuration) -> bool:
    """Return whether the table in force is valid and as published."""
    if conf.tab is None:
        return True
    index = INDEX_BY_VERSION.get(conf.version)
    if index is None or index == FAULTY_INDEX:
        return False
    parts = [manifest.parse_shard(s) for s in PUBLICATIONS[index][1].values()]
    published_rows = table.join_rows(r for r in parts if isinstance(r, table.Rows))
    return published_rows.services == conf.tab.rows.services


def replace_item(
    processes: tuple[FrozenProcess, ...], index: int, frozen: FrozenProcess
) -> tuple[FrozenProcess, ...]:
    """Return the processes with one replaced."""
    return (*processes[:index], frozen, *processes[index + 1 :])


class LowerTaken(configuration.Configuration):
    """Mutant: any other revision is accepted, also a lower one."""

    def _find_newest(self) -> int:
        """Treat every manifest as a newer one."""
        return 0


class FaultsIgnored(configuration.Configuration):
    """Mutant: a faulty revision is put in force."""

    def _list_faults(self, rows: table.Rows) -> list[str]:
        """Find no fault."""
        return []


class DigestIgnored(configuration.Configuration):
    """Mutant: a shard is accepted without a check of its digest."""

    def _matches_digest(self, digest: str, data: bytes) -> bool:
        """Accept any bytes."""
        return True


class RaceByArrival(configuration.Configuration):
    """Mutant: of two contents of one revision, the later to arrive is adopted."""

    def _find_newest(self) -> int:
        """Compare only revisions, without the tag of the content."""
        return super()._find_newest() >> 24 << 24


class JoinAtOnce(configuration.Configuration):
    """Mutant: a starting process serves before it holds its peers' version."""

    def is_ready(self, now: float) -> bool:
        """Serve with any table."""
        return self.tab is not None


def list_mutants() -> dict[str, model.Model]:
    """Return the mutants by name; each breaks one guard."""
    mutant_classes = (
        LowerTaken,
        FaultsIgnored,
        DigestIgnored,
        RaceByArrival,
        JoinAtOnce,
    )
    return {
        mutant_class.__name__: Revisions(mutant_class)
        for mutant_class in mutant_classes
    }
