"""Models the staleness of entries' copies of the store, which bounds key revocation.

The operators revoke a key at some moment. Two entries read the store and ask each
other; answers take any time. An entry that does nothing while time passes is one that
is suspended. An entry admits keys while its copy of the store was confirmed recently
enough. It is wrong if it admits a key by the old configuration later than the bound
after the revocation. The production class ``Freshness`` keeps the times.
"""

import typing

from sardinesaddle.direct import freshness
from sardinesaddle.spec import model

ENTRY_COUNT: typing.Final = 2
REVOKE_BOUND_TICKS: typing.Final = 1
LAST_TICK: typing.Final = 4

# An entry: (whether it has the change, the time for which its copy is confirmed).
EntryState = tuple[bool, float]
# An answer in flight: (the entry that asked, the time of the request, the age that it
# states, whether it includes the change, its source).
Answer = tuple[int, int, float, bool, str]


class StoreFreshness(model.Model):
    """Two entries, a store, and the answers in flight."""

    name = "no key past its bound"
    fields = ("time", "changed_at", "entries", "answers", "wrong")

    def __init__(
        self, freshness_class: type[freshness.Freshness] = freshness.Freshness
    ) -> None:
        self._freshness_class = freshness_class

    def make_initial(self) -> model.State:
        """Return entries that have never read the store."""
        return (0, None, ((False, freshness.NEVER),) * ENTRY_COUNT, frozenset(), False)

    def list_transitions(self, state: model.State) -> list[model.Transition]:
        """Return the transitions of time, the operators, the requests and the entries.

        An entry that admits a revoked key past the bound sets ``wrong``.
        """
        time, changed_at, entries, answers, wrong = state
        if wrong:
            return []
        transitions: list[model.Transition] = []
        if time < LAST_TICK:
            transitions.append(("time passes", (time + 1, *state[1:])))
        if changed_at is None:
            transitions.append(("key is taken away", (time, time, *state[2:])))
        for index in range(ENTRY_COUNT):
            # The store answers in the tick of the request or one tick later.
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
        """Return the transition that sends an answer; an entry awaits only one."""
        answers = state[3]
        if answer in answers or any(pending[0] == answer[0] for pending in answers):
            return []
        return [("asked", (*state[:3], answers | {answer}, state[4]))]

    def _receive_answer(self, state: model.State, answer: Answer) -> model.State:
        """Return the state after an entry received an answer."""
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
        """Record the store's answer, dated by its request."""
        entry_freshness.confirm_by_store(asked_at)

    def _confirm_by_peer(
        self,
        entry_freshness: freshness.Freshness,
        asked_at: int,
        peer_age: float,
        now: int,
    ) -> None:
        """Record a peer's answer, dated by its request and the stated age."""
        entry_freshness.confirm_by_peer(asked_at, peer_age)

    def _has_change_after(
        self, has_change: bool, includes_change: bool, source: str
    ) -> bool:
        """Return whether an entry has the change after an answer."""
        return has_change or includes_change

    def _admits_key(self, now: int, last_confirmed_at: float) -> bool:
        """Return whether a copy confirmed at that time is recent enough."""
        entry_freshness = self._freshness_class()
        entry_freshness.confirm_by_store(last_confirmed_at)
        return entry_freshness.compute_age(now) <= REVOKE_BOUND_TICKS

    def list_invariants(
        self,
    ) -> dict[str, typing.Callable[[dict[str, typing.Any]], bool]]:
        """Return the invariant that no revoked key is admitted past the bound."""
        return {"no key past its bound": lambda s: not s["wrong"]}


class DatedByArrival(StoreFreshness):
    """Mutant: an answer of the store is dated by its arrival."""

    def _confirm_by_store(
        self, entry_freshness: freshness.Freshness, asked_at: int, now: int
    ) -> None:
        """Ignore that the answer may have waited in a buffer."""
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
        """Ignore that the answer may have waited in a buffer."""
        entry_freshness.confirm_by_peer(now, peer_age)


class AgeLeftOut(StoreFreshness):
    """Mutant: a peer's copy counts as confirmed at the time of the request."""

    def _confirm_by_peer(
        self,
        entry_freshness: freshness.Freshness,
        asked_at: int,
        peer_age: float,
        now: int,
    ) -> None:
        """Ignore the age that the peer states."""
        entry_freshness.confirm_by_peer(asked_at, 0.0)


class ContentLeftOut(StoreFreshness):
    """Mutant: a peer's confirmation is used without the content that it confirms."""

    def _has_change_after(
        self, has_change: bool, includes_change: bool, source: str
    ) -> bool:
        """Take content only from the store."""
        return has_change or (includes_change and source == "store")


class SuspensionLeftOut(StoreFreshness):
    """Mutant: the clock stops while the host is suspended."""

    def _admits_key(self, now: int, last_confirmed_at: float) -> bool:
        """Count one tick less than has passed."""
        return super()._admits_key(now - 1, last_confirmed_at)


def list_mutants() -> dict[str, model.Model]:
    """Return the mutants by name; each breaks one guard."""
    return {
        "DatedByArrival": DatedByArrival(),
        "PeerDatedByArrival": PeerDatedByArrival(),
        "AgeLeftOut": AgeLeftOut(),
        "ContentLeftOut": ContentLeftOut(),
        "SuspensionLeftOut": SuspensionLeftOut(),
    }
