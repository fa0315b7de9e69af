"""Protocol 1 with the caller's own key: two targets and a table that moves homes.

The key's home is t0 at revision 1, t1 at revision 2 and t0 again at revision 3. Each
sidecar adopts revisions late, skips some, or not at all (a partition, a stale
configuration service, a paused process). An entry may hold any table, so an attempt
may be sent to either target. The new home asks the earlier one for a release; the
answer comes at once or never. A restart empties a journal. Callers send the key
again only within one retry horizon. What was sent may arrive any number of times
until its connection is given up, so both the journal and the history wait for the
horizon and for the age that a message can reach.
"""

import typing

from sardinesaddle import journal, keyadmission, keyowners, keys, manifest, table
from sardinesaddle.spec import model

RETRY_TICKS: typing.Final = 2
MESSAGE_TICKS: typing.Final = 1
HORIZON: typing.Final = float(RETRY_TICKS + MESSAGE_TICKS)
LAST_TICK: typing.Final = 4
MAX_RESTARTS: typing.Final = 1
TARGETS: typing.Final = ("t0", "t1")
HOME_SETS: typing.Final = {1: "t0", 2: "t1", 3: "t0"}
LAST_REVISION: typing.Final = 3
KEY: typing.Final = keys.OpaqueKey("a", "s", "k")


def make_table(revision: int) -> tuple[table.Table, manifest.Manifest]:
    """Return the table and manifest of a revision."""
    rows = table.Rows(
        services=[table.ServiceRow("s", "plain", prefix="/s", idempotent=False)],
        targets=[table.TargetRow(HOME_SETS[revision], "s", "p")],
    )
    sets = [manifest.HomeSet(r, [HOME_SETS[r]]) for r in range(1, revision + 1)]
    published = manifest.Manifest(revision, [], {"s": sets})
    return table.Table(revision, rows), published


TABLES: typing.Final = {r: make_table(r) for r in HOME_SETS}


class OpaqueKeys(model.Model):
    """The states of one opaque key."""

    name = "once only, opaque keys"
    fields = (
        "now", "published", "first_sent", "gates", "sent_at", "runs", "false_claim",
        "restarts",
    )  # fmt: skip

    def __init__(
        self,
        make_journal: type[journal.Journal] = journal.Journal,
        make_homes: type[keyowners.OwnerHistory] = keyowners.OwnerHistory,
        is_silence_free: bool = False,
    ) -> None:
        self._make_journal = make_journal
        self._make_homes = make_homes
        self._is_silence_free = is_silence_free

    def _make_gate(
        self, index: int, life: int, started_at: float
    ) -> keyadmission.KeyAdmission:
        """Return the gate of a sidecar that has just started."""
        held = self._make_journal(TARGETS[index], life, started_at, HORIZON)
        gate = keyadmission.KeyAdmission(held, HORIZON)
        gate.owners = self._make_homes(HORIZON)
        return gate

    def _restore(
        self, index: int, snapshot: keyadmission.KeyAdmissionSnapshot
    ) -> keyadmission.KeyAdmission:
        """Return the gate of a state."""
        gate = self._make_gate(index, 1, 0.0)
        gate.restore(snapshot)
        return gate

    def make_initial(self) -> model.State:
        """Return two old sidecars that hold revision 1."""
        gates = []
        for index in range(len(TARGETS)):
            gate = self._make_gate(index, 1, -HORIZON)
            gate.owners.adopt(*TABLES[1])
            gates.append(gate.take_snapshot())
        return (0, 1, -1, tuple(gates), (-1, -1), 0, False, 0)

    def list_steps(self, state: model.State) -> list[model.Step]:
        """Return what can happen next."""
        now, published, first_sent, gates, sent_at, runs, claim, restarts = state
        steps: list[model.Step] = []
        if published < LAST_REVISION:
            steps.append(("publish", (now, published + 1, *state[2:])))
        if now < LAST_TICK:
            # A message that is too old can only be on a connection given up since.
            kept = tuple(t if now + 1 - t <= MESSAGE_TICKS else -1 for t in sent_at)
            after = (now + 1, published, first_sent, gates, kept, *state[5:])
            steps.append(("tick", after))
        for index in range(len(TARGETS)):
            steps += self._adopt(state, index)
            if sent_at[index] >= 0:
                steps += self._deliver(state, index)
            if first_sent < 0 or now - first_sent < RETRY_TICKS:
                began = now if first_sent < 0 else first_sent
                sent = put(sent_at, index, now)
                after = (now, published, began, gates, sent, *state[5:])
                steps.append((f"send to t{index}", after))
            if restarts < MAX_RESTARTS:
                gate = self._make_gate(index, 2, float(now))
                fresh = put(gates, index, gate.take_snapshot())
                lost = put(sent_at, index, -1)
                after = (
                    now, published, first_sent, fresh, lost, runs, claim, restarts + 1,
                )  # fmt: skip
                steps.append((f"restart t{index}", after))
        return steps

    def _adopt(self, state: model.State, index: int) -> list[model.Step]:
        """Let a sidecar learn of any newer revision."""
        now, published, first_sent, gates, *rest = state
        held = gates[index][1][0]
        steps = []
        for revision in range(held + 1, published + 1):
            gate = self._restore(index, gates[index])
            gate.owners.adopt(*TABLES[revision])
            after = put(gates, index, gate.take_snapshot())
            label = f"t{index} adopts {revision}"
            steps.append((label, (now, published, first_sent, after, *rest)))
        return steps

    def _deliver(self, state: model.State, index: int) -> list[model.Step]:
        """Let the attempt that was sent to a target arrive."""
        now, published, first_sent, gates, sent_at, runs, claim, restarts = state
        gate = self._restore(index, gates[index])
        decision = gate.decide(float(now), (1, index), KEY, 0)
        head = (now, published, first_sent)
        if isinstance(decision, journal.ReleaseNeeded):
            return self._consult(state, index, decision.owners[0])
        if not isinstance(decision, journal.Start):
            return []
        gone = put(sent_at, index, -1)
        said = (*head, gates, gone, runs, claim or runs > 0, restarts)
        gate.journal.record_queued(float(now), KEY, 1, 0)
        gate.journal.mark_running(KEY)
        gate.journal.mark_done(KEY)
        gate.drop_releases(KEY)
        after = put(gates, index, gate.take_snapshot())
        ran = (*head, after, sent_at, min(runs + 1, 2), claim, restarts)
        return [(f"t{index} refuses", said), (f"t{index} runs", ran)]

    def _consult(self, state: model.State, index: int, home: str) -> list[model.Step]:
        """Let a new home ask an earlier one, which answers at once or never."""
        now, published, first_sent, gates, *rest = state
        other = TARGETS.index(home)
        asked = self._restore(other, gates[other])
        free = asked.release(float(now), KEY)
        asking = self._restore(index, gates[index])
        asking.record_release(float(now), KEY, home, free, asked.owners.revision)
        after = put(gates, other, asked.take_snapshot())
        after = put(after, index, asking.take_snapshot())
        steps = [(f"t{index} asks {home}", (now, published, first_sent, after, *rest))]
        if self._is_silence_free:
            asking = self._restore(index, gates[index])
            asking.record_release(float(now), KEY, home, True, 0)
            after = put(gates, index, asking.take_snapshot())
            label = f"t{index} takes {home}'s silence"
            steps.append((label, (now, published, first_sent, after, *rest)))
        return steps

    def list_invariants(
        self,
    ) -> dict[str, typing.Callable[[dict[str, typing.Any]], bool]]:
        """Return rules 3 and 4 for this model."""
        return {
            "at most once": lambda s: s["runs"] <= 1,
            "not run is true": lambda s: not s["false_claim"],
        }


def put(
    values: tuple[typing.Any, ...], index: int, value: object
) -> tuple[typing.Any, ...]:
    """Return the values with one replaced."""
    return (*values[:index], value, *values[index + 1 :])


class YoungJournalTrusted(journal.Journal):
    """Mutant: a restarted sidecar takes opaque keys at once."""

    def _decide_new_opaque(
        self, now: float, earlier_owners: tuple[str, ...]
    ) -> journal.Decision:
        """Ignore the journal's age."""
        return (
            journal.ReleaseNeeded(earlier_owners) if earlier_owners else journal.Start()
        )


class YoungJournalReleases(journal.Journal):
    """Mutant: a restarted sidecar gives up keys that it cannot know."""

    def release(self, now: float, key: keys.OpaqueKey) -> bool:
        """Release whatever the journal does not hold."""
        young = self._started_at
        self._started_at = now - HORIZON
        free = super().release(now, key)
        self._started_at = young
        return free


class ReleaseForgotten(journal.Journal):
    """Mutant: a released key is not remembered as released."""

    def release(self, now: float, key: keys.OpaqueKey) -> bool:
        """Answer without a record."""
        free = super().release(now, key)
        if free:
            del self._records[key]
        return free


class NoConsult(keyowners.OwnerHistory):
    """Mutant: earlier homes are not asked."""

    def list_earlier_owners(
        self, now: float, key: keys.OpaqueKey, own_target: str
    ) -> tuple[str, ...]:
        """Name none."""
        return ()


class ConfirmedAtOnce(keyowners.OwnerHistory):
    """Mutant: an earlier home drops out as soon as it confirms the table."""

    def _is_past_horizon(self, now: float, owner: str, ended_revision: int) -> bool:
        """Forget the horizon."""
        return self._confirmed_revisions.get(owner, (0, now))[0] >= ended_revision


class DroppedByTime(keyowners.OwnerHistory):
    """Mutant: an earlier home drops out after a horizon, confirmed or not."""

    def _is_past_horizon(self, now: float, owner: str, ended_revision: int) -> bool:
        """Trust time alone."""
        return now >= HORIZON or super()._is_past_horizon(now, owner, ended_revision)


class ManifestPastIgnored(keyowners.OwnerHistory):
    """Mutant: the sets of skipped revisions are not learnt from the manifest."""

    def adopt(self, tab: table.Table, published: manifest.Manifest) -> None:
        """Look at the sets in memory only."""
        super().adopt(tab, manifest.Manifest(published.revision, [], {}))


class HomeIgnored(keyowners.OwnerHistory):
    """Mutant: a sidecar takes every key for its own."""

    def find_owner(self, key: keys.OpaqueKey) -> str:
        """Name the first target at both sidecars."""
        return self.own

    own = "t0"


class AnyHomeGate(OpaqueKeys):
    """The model in which each sidecar believes that it is every key's home."""

    def _make_gate(
        self, index: int, life: int, started_at: float
    ) -> keyadmission.KeyAdmission:
        """Return a gate that never refuses a key for its home."""
        gate = super()._make_gate(index, life, started_at)
        mutant = HomeIgnored(HORIZON)
        mutant.own = TARGETS[index]
        gate.owners = mutant
        return gate


def list_mutants() -> dict[str, model.Model]:
    """Return the model with each guard broken, by name."""
    return {
        "YoungJournalTrusted": OpaqueKeys(YoungJournalTrusted),
        "YoungJournalReleases": OpaqueKeys(YoungJournalReleases),
        "ReleaseForgotten": OpaqueKeys(ReleaseForgotten),
        "NoConsult": OpaqueKeys(make_homes=NoConsult),
        "ConfirmedAtOnce": OpaqueKeys(make_homes=ConfirmedAtOnce),
        "DroppedByTime": OpaqueKeys(make_homes=DroppedByTime),
        "ManifestPastIgnored": OpaqueKeys(make_homes=ManifestPastIgnored),
        "SilenceTakenAsFree": OpaqueKeys(is_silence_free=True),
        "HomeIgnored": AnyHomeGate(),
    }
