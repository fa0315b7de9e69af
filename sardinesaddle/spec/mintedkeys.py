"""Models calls with minted keys: one target, two attempts, restarts and time.

Two attempts with one key reach the target's sidecar through two entries. A message that
was sent stays in flight: it may arrive at any later time, any number of times. The
sidecar may refuse a call for lack of capacity, queue it, run it, lose its target's
answer, or restart with an empty journal. A paused process needs no state of its own:
its transitions come late.
"""

import typing

from sardinesaddle import journal, keyadmission, keys
from sardinesaddle.spec import model

TARGET: typing.Final = "t0"
HORIZON_TICKS: typing.Final = 2.0  # a tick is one second
KEY_LIFETIME_MS: typing.Final = 2000
LAST_TICK: typing.Final = 3
MAX_INCARNATIONS: typing.Final = 2
ATTEMPTS: typing.Final = (0, 1)
KEY: typing.Final = keys.MintedKey("a", "s", TARGET, 1, KEY_LIFETIME_MS, b"n")
CALL_NUMBER: typing.Final = 1


class MintedKeys(model.Model):
    """The sidecar's decisions on one minted key.

    The field ``gate`` has the snapshot of the key admission; ``call`` is the state of
    the call; ``told`` has the attempts that were reported as not run; ``false_claim``
    tells that one was reported so after a run.
    """

    name = "once only, minted keys"
    fields = ("now", "gate", "call", "sent", "runs", "ran_by", "told", "false_claim")

    def __init__(self, journal_class: type[journal.Journal] = journal.Journal) -> None:
        self._journal_class = journal_class

    def _make_admission(
        self, incarnation: int, now: float
    ) -> keyadmission.KeyAdmission:
        """Return the key admission of a sidecar that has just started."""
        key_journal = self._journal_class(TARGET, incarnation, now, HORIZON_TICKS)
        return keyadmission.KeyAdmission(key_journal, HORIZON_TICKS)

    def make_initial(self) -> model.State:
        """Return a new sidecar and no attempt sent."""
        admission = self._make_admission(1, 0.0).take_snapshot()
        none: frozenset[int] = frozenset()
        return (0, admission, "none", none, 0, none, none, False)

    def list_transitions(self, state: model.State) -> list[model.Transition]:
        """Return the transitions of the attempts, the call, the clock and restarts."""
        now, admission_snapshot, call, sent, runs, ran_by, told, false_claim = state
        transitions: list[model.Transition] = []
        for attempt in ATTEMPTS:
            if attempt not in sent:
                after = (now, admission_snapshot, call, sent | {attempt}, *state[4:])
                transitions.append((f"send {attempt}", after))
            else:
                transitions += self._deliver_attempt(state, attempt)
                transitions.append(self._resume_attempt(state, attempt))
        transitions += self._advance_call(state)
        if now < LAST_TICK:
            expiring = self._restore(admission_snapshot)
            expiring.journal.expire(float(now + 1))
            after_expiry = expiring.take_snapshot()
            transitions.append(("tick", (now + 1, after_expiry, *state[2:])))
        incarnation = admission_snapshot[0][0]
        if incarnation < MAX_INCARNATIONS:
            restarted = self._make_admission(
                incarnation + 1, float(now)
            ).take_snapshot()
            after = (now, restarted, "none", sent, runs, ran_by, told, false_claim)
            transitions.append(("restart", after))
        return transitions

    def _restore(
        self, snapshot: keyadmission.KeyAdmissionSnapshot
    ) -> keyadmission.KeyAdmission:
        """Return the key admission with its state in the model."""
        admission = self._make_admission(1, 0.0)
        admission.restore(snapshot)
        return admission

    def _deliver_attempt(
        self, state: model.State, attempt: int
    ) -> list[model.Transition]:
        """Let an attempt arrive; the sidecar queues or refuses it if it may start."""
        now, snapshot, call, sent, runs, ran_by, told, false_claim = state
        admission = self._restore(snapshot)
        decision = admission.decide(float(now), (1, attempt), KEY, 0)
        if not isinstance(decision, journal.Start):
            return []
        refusing = self._restore(snapshot)
        refusing.journal.add_tombstone(float(now), (1, attempt))
        refused = (
            now,
            refusing.take_snapshot(),
            call,
            sent,
            runs,
            ran_by,
            told | {attempt},
            false_claim or runs > 0,
        )
        admission.journal.record_queued(float(now), KEY, CALL_NUMBER, 0)
        queued = (now, admission.take_snapshot(), f"queued {attempt}", *state[3:])
        return [(f"refuse {attempt}", refused), (f"queue {attempt}", queued)]

    def _resume_attempt(self, state: model.State, attempt: int) -> model.Transition:
        """Let an entry resume an attempt.

        An attempt that neither ran nor is queued gets a tombstone.
        """
        now, snapshot, call, sent, runs, ran_by, told, false_claim = state
        if attempt in ran_by or call == f"queued {attempt}":
            return (f"resume {attempt}", state)
        admission = self._restore(snapshot)
        admission.journal.add_tombstone(float(now), (1, attempt))
        after = (
            now, admission.take_snapshot(), call, sent, runs, ran_by, told | {attempt},
            false_claim,
        )  # fmt: skip
        return (f"tombstone {attempt}", after)

    def _advance_call(self, state: model.State) -> list[model.Transition]:
        """Return the transitions of the call that is queued or running."""
        now, snapshot, call, sent, runs, ran_by, told, false_claim = state
        admission = self._restore(snapshot)
        call_state, _, attempt_text = call.partition(" ")
        if call_state == "queued":
            attempt = int(attempt_text)
            admission.journal.mark_running(KEY)
            ran = (
                now, admission.take_snapshot(), "running", sent, min(runs + 1, 2),
                ran_by | {attempt}, told, false_claim,
            )  # fmt: skip
            dropping = self._restore(snapshot)
            dropping.journal.drop_queued(KEY)
            dropping.journal.add_tombstone(float(now), (1, attempt))
            dropped = (
                now, dropping.take_snapshot(), "none", sent, runs, ran_by,
                told | {attempt}, false_claim or runs > 0,
            )  # fmt: skip
            return [(f"run {attempt}", ran), (f"too late {attempt}", dropped)]
        if call_state == "running":
            admission.journal.mark_done(KEY)
            done = (now, admission.take_snapshot(), "none", *state[3:])
            losing = self._restore(snapshot)
            losing.journal.mark_unknown(KEY)
            lost = (now, losing.take_snapshot(), "none", *state[3:])
            return [("done", done), ("target silent", lost)]
        return []

    def list_invariants(
        self,
    ) -> dict[str, typing.Callable[[dict[str, typing.Any]], bool]]:
        """Return the invariants that a key runs once and that "not run" is true."""
        return {
            "at most once": lambda s: s["runs"] <= 1,
            "not run is true": lambda s: not (s["told"] & s["ran_by"]),
            "not run said before a run only": lambda s: not s["false_claim"],
        }


class NoTombstone(journal.Journal):
    """Mutant: an attempt that was reported as not run may still start."""

    def add_tombstone(self, now: float, attempt: tuple[int, int]) -> None:
        """Keep no tombstone."""


class NoIncarnationCheck(journal.Journal):
    """Mutant: a key of an earlier incarnation is accepted."""

    def _check_minted(self, now: float, key: keys.MintedKey) -> None:
        """Accept every key."""


class ExpiryIgnored(journal.Journal):
    """Mutant: an expired key starts a call once its record is dropped."""

    def _check_minted(self, now: float, key: keys.MintedKey) -> typing.Any:
        """Check a key as if it never expired."""
        unexpiring = keys.MintedKey(
            key.account, key.service, key.target, key.incarnation, 10**9, key.nonce
        )
        return super()._check_minted(now, unexpiring)


class NoJoin(journal.Journal):
    """Mutant: a resend starts the call again."""

    def _decide_recorded(
        self, record: journal.KeyRecord, fingerprint: int
    ) -> journal.Decision:
        """Start a call whatever the state of the record."""
        return journal.Start()


class UnknownForgotten(journal.Journal):
    """Mutant: a call whose answer was lost is forgotten."""

    def mark_unknown(self, key: keys.Key) -> None:
        """Drop the record."""
        del self._records[key]


class DroppedEarly(journal.Journal):
    """Mutant: records of finished calls are dropped before the key expires."""

    def _is_expired(self, record: journal.KeyRecord, now: float) -> bool:
        """Drop the record of every finished call."""
        return record.state is journal.CallState.DONE


def list_mutants() -> dict[str, model.Model]:
    """Return the mutants by name; each breaks one guard."""
    mutant_classes: tuple[type[journal.Journal], ...] = (
        NoTombstone,
        NoIncarnationCheck,
        ExpiryIgnored,
        NoJoin,
        UnknownForgotten,
        DroppedEarly,
    )
    return {
        mutant_class.__name__: MintedKeys(mutant_class)
        for mutant_class in mutant_classes
    }
