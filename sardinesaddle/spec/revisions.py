"""Protocol 3: published revisions, two processes, and a service that may be stale.

The operators publish revision 1, then a faulty revision 2, then revision 3 twice
with different content, as two operators who race do. Both processes read the service,
which may show any value that was ever published; both learn from each other.
An answer comes at once or never, and one shard may arrive corrupt. Any process may
restart with nothing.
"""

import copy
import typing

import msgspec

from sardinesaddle import configuration, manifest, table
from sardinesaddle.spec import model

PROCESSES: typing.Final = 2
READERS: typing.Final = (0, 1)
MAX_RESTARTS: typing.Final = 1
MAX_CORRUPTIONS: typing.Final = 1
SERVICE: typing.Final = "service"


def make_published(
    revision: int, prefix: str, is_faulty: bool = False
) -> tuple[bytes, dict[str, bytes]]:
    """Return the manifest and shards of one published value."""
    name = "missing" if is_faulty else "s"
    rows = table.Rows(
        services=[table.ServiceRow("s", "plain", prefix=prefix)],
        targets=[table.TargetRow("t", name, "p")],
    )
    published, shards = manifest.build_manifest(rows, revision, None)
    return msgspec.json.encode(published), shards


VALUES: typing.Final = (
    make_published(1, "/one"),
    make_published(2, "/two", is_faulty=True),
    make_published(3, "/three"),
    make_published(3, "/other"),
)
SHARDS: typing.Final = {
    digest: data for _, shards in VALUES for digest, data in shards.items()
}
EXPECTED: typing.Final = {
    manifest.compute_version(manifest.parse_manifest(data).revision, data): index  # type: ignore[union-attr]
    for index, (data, _) in enumerate(VALUES)
}
FAULTY: typing.Final = 1

Frozen = tuple[typing.Any, ...]


class Revisions(model.Model):
    """The states of two processes and the service."""

    name = "configuration in force, never back"
    fields = ("published", "processes", "reverted", "wrong", "restarts", "corruptions")

    def __init__(
        self,
        make_conf: type[configuration.Configuration] = configuration.Configuration,
    ) -> None:
        self._make_conf = make_conf
        self._known: dict[Frozen, configuration.Configuration] = {}
        # What follows from a process's state and an event; few are distinct.
        self._after: dict[tuple[typing.Any, ...], Frozen] = {}
        self._right: dict[Frozen, bool] = {}

    def _freeze(self, conf: configuration.Configuration) -> Frozen:
        """Return a value that stands for a process's state."""
        frozen = (
            conf.version,
            conf._pending_version if conf._pending is not None else 0,
            tuple(sorted((d[:8], hash(data)) for d, data in conf._shards.items())),
            tuple(sorted(conf._refused_versions)),
            tuple(sorted(conf._source_versions.items())),
        )
        self._known.setdefault(frozen, conf)
        return frozen

    def _thaw(self, frozen: Frozen) -> configuration.Configuration:
        """Return a copy of the process that a value stands for."""
        conf = copy.copy(self._known[frozen])
        for name, value in vars(conf).items():
            if isinstance(value, dict | set):
                setattr(conf, name, copy.copy(value))
        conf._requested_at.clear()
        return conf

    def make_initial(self) -> model.State:
        """Return fresh processes and revision 1."""
        fresh = self._freeze(self._make_conf(0.0))
        return (1, (fresh,) * PROCESSES, False, False, 0, 0)

    def list_steps(self, state: model.State) -> list[model.Step]:
        """Return what can happen next."""
        published, processes, *_, restarts, _ = state
        steps: list[model.Step] = []
        if published < len(VALUES):
            steps.append(("publish", (published + 1, *state[1:])))
        for index in range(PROCESSES):
            if index in READERS:
                for value in range(published):
                    steps += self._read(state, index, value)
            for other in range(PROCESSES):
                if other != index:
                    steps += self._hear(state, index, other)
            if restarts < MAX_RESTARTS:
                fresh = self._freeze(self._make_conf(0.0))
                after = replace(processes, index, fresh)
                steps.append(
                    (
                        f"p{index} restarts",
                        (published, after, *state[2:4], restarts + 1, state[5]),
                    )
                )
        return steps

    def _read(self, state: model.State, index: int, value: int) -> list[model.Step]:
        """Let a reader read a value, with or without its shards."""
        steps = []
        for is_whole in (True, False):
            event = (state[1][index], "read", value, is_whole)
            if event not in self._after:
                conf = self._thaw(event[0])
                actions = conf.on_manifest(0.0, SERVICE, VALUES[value][0])
                if is_whole:
                    self._fetch(conf, actions, SHARDS)
                self._after[event] = self._freeze(conf)
            label = f"p{index} reads {value}, {'whole' if is_whole else 'shards lost'}"
            steps.append((label, self._put(state, index, self._after[event])))
        return steps

    def _hear(self, state: model.State, index: int, other: int) -> list[model.Step]:
        """Let a process learn what another one has in force."""
        teller = self._known[state[1][other]]
        if not teller.version:
            return []
        steps = []
        for corrupt in (False, True):
            if corrupt and state[5] >= MAX_CORRUPTIONS:
                continue
            event = (state[1][index], state[1][other], other, corrupt)
            if event not in self._after:
                self._after[event] = self._tell(event[0], teller, other, corrupt)
            after = self._put(state, index, self._after[event])
            if corrupt:
                after = (*after[:5], after[5] + 1)
            label = f"p{index} hears p{other}{', corrupt' if corrupt else ''}"
            steps.append((label, after))
        return steps

    def _tell(
        self,
        frozen: Frozen,
        teller: configuration.Configuration,
        other: int,
        corrupt: bool,
    ) -> Frozen:
        """Return a process's state after a peer's heartbeat and its answers."""
        conf = self._thaw(frozen)
        name = f"p{other}"
        for action in conf.on_peer_version(0.0, name, teller.version):
            if isinstance(action, configuration.FetchManifest):
                more = conf.on_manifest(0.0, name, teller.manifest_data)
                held = {d: teller.find_shard(d) for d in SHARDS}
                if corrupt:
                    held = {d: SHARDS[min(SHARDS)] for d in SHARDS}
                self._fetch(conf, more, held)
        return self._freeze(conf)

    def _fetch(
        self,
        conf: configuration.Configuration,
        actions: list[configuration.Action],
        shards: dict[str, bytes],
    ) -> None:
        """Answer the requests for shards at once."""
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, configuration.FetchShard):
                data = shards.get(action.digest, b"")
                pending += [
                    one
                    for one in conf.on_shard(0.0, action.digest, data)
                    if not isinstance(one, configuration.FetchShard)
                ]

    def _put(self, state: model.State, index: int, frozen: Frozen) -> model.State:
        """Return the state after a process changed, and note what broke."""
        published, processes, reverted, wrong, restarts, corruptions = state
        before = self._known[processes[index]]
        reverted = reverted or self._known[frozen].version < before.version
        if frozen not in self._right:
            self._right[frozen] = is_right(self._known[frozen])
        wrong = wrong or not self._right[frozen]
        after = replace(processes, index, frozen)
        return (published, after, reverted, wrong, restarts, corruptions)

    def list_invariants(
        self,
    ) -> dict[str, typing.Callable[[dict[str, typing.Any]], bool]]:
        """Return rule 7 for this model."""
        return {
            "never reverts": lambda s: not s["reverted"],
            "only whole, accepted content": lambda s: not s["wrong"],
            "a joining process is not behind": lambda s: all(
                not self._is_behind(frozen) for frozen in s["processes"]
            ),
        }

    def _is_behind(self, frozen: Frozen) -> bool:
        """Tell whether a process serves below what its peers told it."""
        conf = self._known[frozen]
        told = [v for name, v in conf._source_versions.items() if name != SERVICE]
        return conf.is_ready(0.0) and conf.version < max(told, default=0)


def is_right(conf: configuration.Configuration) -> bool:
    """Tell whether the table in force is the one that its version names."""
    if conf.tab is None:
        return True
    index = EXPECTED.get(conf.version)
    if index is None or index == FAULTY:
        return False
    whole = [manifest.parse_shard(s) for s in VALUES[index][1].values()]
    wanted = table.join_rows(r for r in whole if isinstance(r, table.Rows))
    return wanted.services == conf.tab.rows.services


def replace(
    processes: tuple[Frozen, ...], index: int, frozen: Frozen
) -> tuple[Frozen, ...]:
    """Return the processes with one replaced."""
    return (*processes[:index], frozen, *processes[index + 1 :])


class LowerTaken(configuration.Configuration):
    """Mutant: any other revision is taken, also a lower one."""

    def _find_newest(self) -> int:
        """Take every manifest for a newer one."""
        return 0


class FaultsIgnored(configuration.Configuration):
    """Mutant: a faulty revision is put in force."""

    def _list_faults(self, rows: table.Rows) -> list[str]:
        """Find no fault."""
        return []


class DigestIgnored(configuration.Configuration):
    """Mutant: a shard is taken without a look at its digest."""

    def _matches_digest(self, digest: str, data: bytes) -> bool:
        """Trust the peer."""
        return True


class RaceByArrival(configuration.Configuration):
    """Mutant: of two contents of one revision the later to arrive wins."""

    def _find_newest(self) -> int:
        """Compare revisions only."""
        return super()._find_newest() >> 24 << 24


class JoinAtOnce(configuration.Configuration):
    """Mutant: a starting process serves before it holds what its peers hold."""

    def is_ready(self, now: float) -> bool:
        """Serve with any table."""
        return self.tab is not None


def list_mutants() -> dict[str, model.Model]:
    """Return the model with each guard broken, by name."""
    kinds = (LowerTaken, FaultsIgnored, DigestIgnored, RaceByArrival, JoinAtOnce)
    return {kind.__name__: Revisions(kind) for kind in kinds}
