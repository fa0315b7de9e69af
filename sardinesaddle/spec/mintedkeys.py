"""Protocol 1 with minted keys: one target, two attempts, restarts and time.

Two attempts with one key reach the target's sidecar through two entries. Messages
are never taken back: one that was sent may arrive at any later time, any number of
times. The sidecar may refuse a call for lack of room, queue it, run it, lose its
target's answer, or restart with nothing kept. A paused process is one whose steps
come late.
"""

import typing

from sardinesaddle import journal, keyadmission, keys
from sardinesaddle.spec import model

TARGET: typing.Final = "t0"
HORIZON_TICKS: typing.Final = 2.0
KEY_LIFETIME_MS: typing.Final = 2000
LAST_TICK: typing.Final = 3
MAX_INCARNATIONS: typing.Final = 2
ATTEMPTS: typing.Final = (0, 1)
KEY: typing.Final = keys.MintedKey("a", "s", TARGET, 1, KEY_LIFETIME_MS, b"n")
CALL_NUMBER: typing.Final = 1


class MintedKeys(model.Model):
    """The states of one minted key."""

    name = "once only, minted keys"
    fields = ("now", "gate", "call", "sent", "runs", "ran_by", "told", "false_claim")

    def __init__(self, journal_class: type[journal.Journal] = journal.Journal) -> None:
        self._journal_class = journal_class

    def _make_admission(
        self, incarnation: int, now: float
    ) -> keyadmission.KeyAdmission:
        """Return the gate of a sidecar that has just started."""
        key_journal = self._journal_class(TARGET, incarnation, now, HORIZON_TICKS)
        return keyadmission.KeyAdmission(key_journal, HORIZON_TICKS)

    def make_initial(self) -> model.State:
        """Return a fresh sidecar and nothing sent."""
        admission = self._make_admission(1, 0.0).take_snapshot()
        none: frozenset[int] = frozenset()
        return (0, admission, "none", none, 0, none, none, False)

    def list_transitions(self, state: model.State) -> list[model.Transition]:
        """Return what can happen next."""
        now, admission_snapshot, call, sent, runs, ran_by, told, false_claim = state
        transitions: list[model.Transition] = []
        for attempt in ATTEMPTS:
            if attempt not in sent:
                after = (now, admission_snapshot, call, sent | {attempt}, *state[4:])
                transitions.append((f"send {attempt}", after))
            else:
                transitions += self._deliver_attempt(state, attempt)
                transitions.append(self._withdraw_attempt(state, attempt))
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
        """Return the gate of a state."""
        admission = self._make_admission(1, 0.0)
        admission.restore(snapshot)
        return admission

    def _deliver_attempt(
        self, state: model.State, attempt: int
    ) -> list[model.Transition]:
        """Let an attempt arrive."""
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

    def _withdraw_attempt(self, state: model.State, attempt: int) -> model.Transition:
        """Let an entry resume an attempt that has not arrived."""
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
        """Let the queued or running call go on."""
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
        """Return rules 3 and 4 for this model."""
        return {
            "at most once": lambda s: s["runs"] <= 1,
            "not run is true": lambda s: not (s["told"] & s["ran_by"]),
            "not run said before a run only": lambda s: not s["false_claim"],
        }


class NoTombstone(journal.Journal):
    """Mutant: a withdrawn attempt is not remembered."""

    def add_tombstone(self, now: float, attempt: tuple[int, int]) -> None:
        """Do nothing."""


class NoIncarnationCheck(journal.Journal):
    """Mutant: a key of an earlier life is taken."""

    def _check_minted(self, now: float, key: keys.MintedKey) -> None:
        """Accept every key."""


class ExpiryIgnored(journal.Journal):
    """Mutant: an expired key is run when its record is gone."""

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
        """Start whatever the record says."""
        return journal.Start()


class UnknownForgotten(journal.Journal):
    """Mutant: a call whose answer was lost is forgotten."""

    def mark_unknown(self, key: keys.Key) -> None:
        """Drop the record."""
        del self._records[key]


class DroppedEarly(journal.Journal):
    """Mutant: done records are dropped before the key expires."""

    def _is_expired(self, record: journal.KeyRecord, now: float) -> bool:
        """Drop every call that is done."""
        return record.state is journal.CallState.DONE


def list_mutants() -> dict[str, model.Model]:
    """Return the model with each guard broken, by name."""
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
