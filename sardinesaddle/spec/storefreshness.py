"""The age of what entries know of the store: no key is admitted past its bound.

The operators take a key away at some moment. Two entries ask the store and each
other; answers take any time, and an entry that does nothing for a while is one that
is suspended. An entry admits keys while its word of the store is young enough. It is
wrong if it admits one by the old configuration later than the bound after the change.
Dates are kept by the class that runs.
"""

import typing

from sardinesaddle.direct import freshness
from sardinesaddle.spec import model

ENTRY_COUNT: typing.Final = 2
REVOKE_BOUND_TICKS: typing.Final = 1
LAST_TICK: typing.Final = 4

# An entry: (whether it knows of the change, the moment that its word is dated by).
EntryState = tuple[bool, float]
# An answer on its way: (whom it reaches, asked at, age that it states, knows, from).
Answer = tuple[int, int, float, bool, str]


class StoreFreshness(model.Model):
    """Two entries, a store, and answers on their way."""

    name = "no key past its bound"
    fields = ("time", "changed_at", "entries", "answers", "wrong")

    def __init__(
        self, freshness_class: type[freshness.Freshness] = freshness.Freshness
    ) -> None:
        self._freshness_class = freshness_class

    def make_initial(self) -> model.State:
        """Return entries that know nothing."""
        return (0, None, ((False, freshness.NEVER),) * ENTRY_COUNT, frozenset(), False)

    def list_transitions(self, state: model.State) -> list[model.Transition]:
        """Return what can happen next."""
        time, changed_at, entries, answers, wrong = state
        if wrong:
            return []
        transitions: list[model.Transition] = []
        if time < LAST_TICK:
            transitions.append(("time passes", (time + 1, *state[1:])))
        if changed_at is None:
            transitions.append(("key is taken away", (time, time, *state[2:])))
        for index in range(ENTRY_COUNT):
            # The question is sent now; its answer is given now, or one tick later.
            for asked_at in (time, time - 1):
                if asked_at >= 0:
                    new_answer = (index, asked_at, 0.0, changed_at is not None, "store")
                    transitions += self._list_sends(state, new_answer)
            peer = entries[1 - index]
            age = time - peer[1]
            if age < float("inf"):
                new_answer = (index, max(time - 1, 0), age, peer[0], "peer")
                transitions += self._list_sends(state, new_answer)
        for answer in answers:
            transitions.append(
                (f"{answer[4]} answers", self._receive_answer(state, answer))
            )
        is_past_bound = (
            changed_at is not None and time - changed_at > REVOKE_BOUND_TICKS
        )
        for index, (has_change, last_confirmed_at) in enumerate(entries):
            if (
                is_past_bound
                and not has_change
                and self._admits_key(time, last_confirmed_at)
            ):
                transitions.append((f"{index} admits", (*state[:4], True)))
        return transitions

    def _list_sends(self, state: model.State, answer: Answer) -> list[model.Transition]:
        """Return the state with an answer on its way, one for each entry."""
        answers = state[3]
        if answer in answers or any(pending[0] == answer[0] for pending in answers):
            return []
        return [("asked", (*state[:3], answers | {answer}, state[4]))]

    def _receive_answer(self, state: model.State, answer: Answer) -> model.State:
        """Return the state after an entry took an answer."""
        time, changed_at, entries, answers, wrong = state
        index, asked_at, age, includes_change, source = answer
        has_change, last_confirmed_at = entries[index]
        entry_freshness = self._freshness_class()
        entry_freshness.confirm_by_store(last_confirmed_at)
        if source == "store":
            self._confirm_by_store(entry_freshness, asked_at, time)
        else:
            self._confirm_by_peer(entry_freshness, asked_at, age, time)
        entry = (
            self._has_change_after(has_change, includes_change, source),
            entry_freshness.confirmed_at,
        )
        new_entries = (*entries[:index], entry, *entries[index + 1 :])
        return (time, changed_at, new_entries, answers - {answer}, wrong)

    def _confirm_by_store(
        self, entry_freshness: freshness.Freshness, asked_at: int, now: int
    ) -> None:
        """Date the store's word."""
        entry_freshness.confirm_by_store(asked_at)

    def _confirm_by_peer(
        self,
        entry_freshness: freshness.Freshness,
        asked_at: int,
        peer_age: float,
        now: int,
    ) -> None:
        """Date a peer's word."""
        entry_freshness.confirm_by_peer(asked_at, peer_age)

    def _has_change_after(
        self, has_change: bool, includes_change: bool, source: str
    ) -> bool:
        """Tell whether the entry knows of the change after an answer."""
        return has_change or includes_change

    def _admits_key(self, now: int, last_confirmed_at: float) -> bool:
        """Tell whether keys are admitted."""
        entry_freshness = self._freshness_class()
        entry_freshness.confirm_by_store(last_confirmed_at)
        return entry_freshness.compute_age(now) <= REVOKE_BOUND_TICKS

    def list_invariants(
        self,
    ) -> dict[str, typing.Callable[[dict[str, typing.Any]], bool]]:
        """Return the users' bound."""
        return {"no key past its bound": lambda s: not s["wrong"]}


class DatedByArrival(StoreFreshness):
    """Mutant: the store's word is dated by its arrival."""

    def _confirm_by_store(
        self, entry_freshness: freshness.Freshness, asked_at: int, now: int
    ) -> None:
        """Trust that no answer lay in a buffer."""
        entry_freshness.confirm_by_store(now)


class PeerDatedByArrival(StoreFreshness):
    """Mutant: a peer's age counts from the arrival of its answer."""

    def _confirm_by_peer(
        self,
        entry_freshness: freshness.Freshness,
        asked_at: int,
        peer_age: float,
        now: int,
    ) -> None:
        """Trust that no answer lay in a buffer."""
        entry_freshness.confirm_by_peer(now, peer_age)


class AgeLeftOut(StoreFreshness):
    """Mutant: a peer's word counts as fresh."""

    def _confirm_by_peer(
        self,
        entry_freshness: freshness.Freshness,
        asked_at: int,
        peer_age: float,
        now: int,
    ) -> None:
        """Leave out the age that the peer states."""
        entry_freshness.confirm_by_peer(asked_at, 0.0)


class ContentLeftOut(StoreFreshness):
    """Mutant: a peer's date is taken over without what the peer knows."""

    def _has_change_after(
        self, has_change: bool, includes_change: bool, source: str
    ) -> bool:
        """Learn from the store alone."""
        return has_change or (includes_change and source == "store")


class SuspensionLeftOut(StoreFreshness):
    """Mutant: the clock stands still while the host is suspended."""

    def _admits_key(self, now: int, last_confirmed_at: float) -> bool:
        """Count one tick less than has passed."""
        return super()._admits_key(now - 1, last_confirmed_at)


def list_mutants() -> dict[str, model.Model]:
    """Return the model with each guard broken, by name."""
    return {
        "DatedByArrival": DatedByArrival(),
        "PeerDatedByArrival": PeerDatedByArrival(),
        "AgeLeftOut": AgeLeftOut(),
        "ContentLeftOut": ContentLeftOut(),
        "SuspensionLeftOut": SuspensionLeftOut(),
    }
