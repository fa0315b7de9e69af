"""Models calls with the caller's own key: two targets and a table that moves the key.

The key's owner is t0 at revision 1, t1 at revision 2 and t0 again at revision 3. Each
sidecar adopts revisions late, skips some, or adopts none (a partition, a stale
configuration service, a paused process). An entry may hold any revision, so an attempt
may be sent to either target. The new owner asks the previous one for a release; the
answer arrives at once or never. A restart empties a journal. Callers resend the key
only within one retry horizon. A message may arrive any number of times until its
connection is closed, so both the journal and the owner history wait for the retry
horizon plus the greatest age of a message.
"""

import typing

from sardinesaddle import journal, keyadmission, keyowners, keys, manifest, table
from sardinesaddle.spec import model

RETRY_TICKS: typing.Final = 2
MESSAGE_TICKS: typing.Final = 1
HORIZON_TICKS: typing.Final = float(RETRY_TICKS + MESSAGE_TICKS)
LAST_TICK: typing.Final = 4
MAX_RESTARTS: typing.Final = 1
TARGETS: typing.Final = ("t0", "t1")
OWNER_BY_REVISION: typing.Final = {1: "t0", 2: "t1", 3: "t0"}
LAST_REVISION: typing.Final = 3
KEY: typing.Final = keys.OpaqueKey("a", "s", "k")


def make_revision(revision: int) -> tuple[table.Table, manifest.Manifest]:
    """Return the table and the manifest of a revision."""
    rows = table.Rows(
        services=[table.ServiceRow("s", "plain", prefix="/s", idempotent=False)],
        targets=[table.TargetRow(OWNER_BY_REVISION[revision], "s", "p")],
    )
    owner_changes = [
        manifest.TargetSet(r, [OWNER_BY_REVISION[r]]) for r in range(1, revision + 1)
    ]
    published = manifest.Manifest(revision, [], {"s": owner_changes})
    return table.Table(revision, rows), published


REVISIONS: typing.Final = {r: make_revision(r) for r in OWNER_BY_REVISION}


class OpaqueKeys(model.Model):
    """The decisions of two sidecars on one opaque key.

    The field ``gates`` has the snapshots of their key admissions; ``sent_at`` has the
    time of the latest attempt in flight to each, or -1; ``false_claim`` tells that an
    attempt was reported as not run after a run.
    """

    name = "once only, opaque keys"
    fields = (
        "now", "published", "first_sent", "gates", "sent_at", "runs", "false_claim",
        "restarts",
    )  # fmt: skip

    def __init__(
        self,
        journal_class: type[journal.Journal] = journal.Journal,
        history_class: type[keyowners.OwnerHistory] = keyowners.OwnerHistory,
        takes_silence_as_release: bool = False,
    ) -> None:
        self._journal_class = journal_class
        self._history_class = history_class
        self._takes_silence_as_release = takes_silence_as_release

    def _make_admission(
        self, index: int, incarnation: int, started_at: float
    ) -> keyadmission.KeyAdmission:
        """Return the key admission of a sidecar that has just started."""
        key_journal = self._journal_class(
            TARGETS[index], incarnation, started_at, HORIZON_TICKS
        )
        admission = keyadmission.KeyAdmission(key_journal, HORIZON_TICKS)
        admission.owners = self._history_class(HORIZON_TICKS)
        return admission

    def _restore(
        self, index: int, snapshot: keyadmission.KeyAdmissionSnapshot
    ) -> keyadmission.KeyAdmission:
        """Return the key admission with its state in the model."""
        admission = self._make_admission(index, 1, 0.0)
        admission.restore(snapshot)
        return admission

    def make_initial(self) -> model.State:
        """Return two sidecars that are one horizon old and hold revision 1."""
        snapshots = []
        for index in range(len(TARGETS)):
            admission = self._make_admission(index, 1, -HORIZON_TICKS)
            admission.owners.adopt(*REVISIONS[1])
            snapshots.append(admission.take_snapshot())
        return (0, 1, -1, tuple(snapshots), (-1, -1), 0, False, 0)

    def list_transitions(self, state: model.State) -> list[model.Transition]:
        """Return the transitions of the table, the clock, the attempts and restarts."""
        now, published, first_sent, snapshots, sent_at, runs, claim, restarts = state
        transitions: list[model.Transition] = []
        if published < LAST_REVISION:
            transitions.append(("publish", (now, published + 1, *state[2:])))
        if now < LAST_TICK:
            # An older message can only be on a connection that was closed since.
            still_deliverable = tuple(
                t if now + 1 - t <= MESSAGE_TICKS else -1 for t in sent_at
            )
            after = (
                now + 1,
                published,
                first_sent,
                snapshots,
                still_deliverable,
                *state[5:],
            )
            transitions.append(("tick", after))
        for index in range(len(TARGETS)):
            transitions += self._adopt_revision(state, index)
            if sent_at[index] >= 0:
                transitions += self._deliver_attempt(state, index)
            if first_sent < 0 or now - first_sent < RETRY_TICKS:
                retry_started_at = now if first_sent < 0 else first_sent
                sent = replace_item(sent_at, index, now)
                after = (now, published, retry_started_at, snapshots, sent, *state[5:])
                transitions.append((f"send to t{index}", after))
            if restarts < MAX_RESTARTS:
                admission = self._make_admission(index, 2, float(now))
                restarted = replace_item(snapshots, index, admission.take_snapshot())
                lost = replace_item(sent_at, index, -1)
                after = (
                    now, published, first_sent, restarted, lost, runs, claim,
                    restarts + 1,
                )  # fmt: skip
                transitions.append((f"restart t{index}", after))
        return transitions

    def _adopt_revision(self, state: model.State, index: int) -> list[model.Transition]:
        """Let a sidecar adopt any newer revision."""
        now, published, first_sent, snapshots, *rest = state
        held_revision = snapshots[index][1][0]
        transitions = []
        for revision in range(held_revision + 1, published + 1):
            admission = self._restore(index, snapshots[index])
            admission.owners.adopt(*REVISIONS[revision])
            after = replace_item(snapshots, index, admission.take_snapshot())
            label = f"t{index} adopts {revision}"
            transitions.append((label, (now, published, first_sent, after, *rest)))
        return transitions

    def _deliver_attempt(
        self, state: model.State, index: int
    ) -> list[model.Transition]:
        """Let the attempt in flight to a target arrive."""
        now, published, first_sent, snapshots, sent_at, runs, claim, restarts = state
        admission = self._restore(index, snapshots[index])
        decision = admission.decide(float(now), (1, index), KEY, 0)
        head = (now, published, first_sent)
        if isinstance(decision, journal.ReleaseNeeded):
            return self._request_release(state, index, decision.owners[0])
        if not isinstance(decision, journal.Start):
            return []
        not_in_flight = replace_item(sent_at, index, -1)
        refused = (*head, snapshots, not_in_flight, runs, claim or runs > 0, restarts)
        admission.journal.record_queued(float(now), KEY, 1, 0)
        admission.journal.mark_running(KEY)
        admission.journal.mark_done(KEY)
        admission.drop_releases(KEY)
        after = replace_item(snapshots, index, admission.take_snapshot())
        ran = (*head, after, sent_at, min(runs + 1, 2), claim, restarts)
        return [(f"t{index} refuses", refused), (f"t{index} runs", ran)]

    def _request_release(
        self, state: model.State, index: int, previous_owner: str
    ) -> list[model.Transition]:
        """Let a new owner ask a previous one for a release.

        The previous owner answers at once or never.
        """
        now, published, first_sent, snapshots, *rest = state
        previous_index = TARGETS.index(previous_owner)
        previous_admission = self._restore(previous_index, snapshots[previous_index])
        is_free = previous_admission.release(float(now), KEY)
        own_admission = self._restore(index, snapshots[index])
        own_admission.record_release(
            float(now), KEY, previous_owner, is_free, previous_admission.owners.revision
        )
        after = replace_item(
            snapshots, previous_index, previous_admission.take_snapshot()
        )
        after = replace_item(after, index, own_admission.take_snapshot())
        transitions = [
            (
                f"t{index} asks {previous_owner}",
                (now, published, first_sent, after, *rest),
            )
        ]
        if self._takes_silence_as_release:
            own_admission = self._restore(index, snapshots[index])
            own_admission.record_release(float(now), KEY, previous_owner, True, 0)
            after = replace_item(snapshots, index, own_admission.take_snapshot())
            label = f"t{index} takes {previous_owner}'s silence"
            transitions.append((label, (now, published, first_sent, after, *rest)))
        return transitions

    def list_invariants(
        self,
    ) -> dict[str, typing.Callable[[dict[str, typing.Any]], bool]]:
        """Return the invariants that a key runs once and that "not run" is true."""
        return {
            "at most once": lambda s: s["runs"] <= 1,
            "not run is true": lambda s: not s["false_claim"],
        }


def replace_item(
    values: tuple[typing.Any, ...], index: int, value: object
) -> tuple[typing.Any, ...]:
    """Return the values with one replaced."""
    return (*values[:index], value, *values[index + 1 :])


class YoungJournalTrusted(journal.Journal):
    """Mutant: a restarted sidecar accepts opaque keys at once."""

    def _decide_new_opaque(
        self, now: float, previous_owners: tuple[str, ...]
    ) -> journal.Decision:
        """Ignore the journal's age."""
        return (
            journal.ReleaseNeeded(previous_owners)
            if previous_owners
            else journal.Start()
        )


class YoungJournalReleases(journal.Journal):
    """Mutant: a restarted sidecar releases keys that it may have run before."""

    def release(self, now: float, key: keys.OpaqueKey) -> bool:
        """Release any key that has no record."""
        actual_start = self._started_at
        self._started_at = now - HORIZON_TICKS
        is_free = super().release(now, key)
        self._started_at = actual_start
        return is_free


class ReleaseForgotten(journal.Journal):
    """Mutant: a release leaves no record."""

    def release(self, now: float, key: keys.OpaqueKey) -> bool:
        """Release the key and drop its record."""
        is_free = super().release(now, key)
        if is_free:
            del self._records[key]
        return is_free


class NoConsult(keyowners.OwnerHistory):
    """Mutant: previous owners are not asked for a release."""

    def list_previous_owners(
        self, now: float, key: keys.OpaqueKey, own_target: str
    ) -> tuple[str, ...]:
        """Return no owners."""
        return ()


class ConfirmedAtOnce(keyowners.OwnerHistory):
    """Mutant: a previous owner is left out as soon as it confirms the table."""

    def _is_past_horizon(self, now: float, owner: str, ended_revision: int) -> bool:
        """Compare only the revisions, without the horizon."""
        return self._confirmed_revisions.get(owner, (0, now))[0] >= ended_revision


class DroppedByTime(keyowners.OwnerHistory):
    """Mutant: a previous owner is left out after a horizon, confirmed or not."""

    def _is_past_horizon(self, now: float, owner: str, ended_revision: int) -> bool:
        """Require only that a horizon has passed, without a confirmation."""
        return now >= HORIZON_TICKS or super()._is_past_horizon(
            now, owner, ended_revision
        )


class ManifestPastIgnored(keyowners.OwnerHistory):
    """Mutant: the target sets of skipped revisions are not taken from the manifest."""

    def adopt(self, tab: table.Table, published: manifest.Manifest) -> None:
        """Use only the target sets in memory."""
        super().adopt(tab, manifest.Manifest(published.revision, [], {}))


class HomeIgnored(keyowners.OwnerHistory):
    """Mutant: a sidecar considers itself the owner of every key."""

    def find_owner(self, key: keys.OpaqueKey) -> str:
        """Return the sidecar's own target."""
        return self.assumed_owner

    assumed_owner = "t0"


class EveryTargetIsOwner(OpaqueKeys):
    """The model in which each sidecar considers itself the owner of every key."""

    def _make_admission(
        self, index: int, incarnation: int, started_at: float
    ) -> keyadmission.KeyAdmission:
        """Return a key admission that accepts keys of any owner."""
        admission = super()._make_admission(index, incarnation, started_at)
        mutant = HomeIgnored(HORIZON_TICKS)
        mutant.assumed_owner = TARGETS[index]
        admission.owners = mutant
        return admission


def list_mutants() -> dict[str, model.Model]:
    """Return the mutants by name; each breaks one guard."""
    return {
        "YoungJournalTrusted": OpaqueKeys(YoungJournalTrusted),
        "YoungJournalReleases": OpaqueKeys(YoungJournalReleases),
        "ReleaseForgotten": OpaqueKeys(ReleaseForgotten),
        "NoConsult": OpaqueKeys(history_class=NoConsult),
        "ConfirmedAtOnce": OpaqueKeys(history_class=ConfirmedAtOnce),
        "DroppedByTime": OpaqueKeys(history_class=DroppedByTime),
        "ManifestPastIgnored": OpaqueKeys(history_class=ManifestPastIgnored),
        "SilenceTakenAsFree": OpaqueKeys(takes_silence_as_release=True),
        "HomeIgnored": EveryTargetIsOwner(),
    }
