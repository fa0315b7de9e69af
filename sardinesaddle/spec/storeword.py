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

ENTRIES: typing.Final = 2
BOUND: typing.Final = 1
LAST_TIME: typing.Final = 4

# An entry: (whether it knows of the change, the moment that its word is dated by).
Entry = tuple[bool, float]
# An answer on its way: (whom it reaches, asked at, age that it states, knows, from).
Answer = tuple[int, int, float, bool, str]


class StoreWord(model.Model):
    """Two entries, a store, and answers on their way."""

    name = "no key past its bound"
    fields = ("time", "changed_at", "entries", "answers", "wrong")

    def __init__(
        self, make_word: type[freshness.Freshness] = freshness.Freshness
    ) -> None:
        self._make_word = make_word

    def make_initial(self) -> model.State:
        """Return entries that know nothing."""
        return (0, None, ((False, freshness.NEVER),) * ENTRIES, frozenset(), False)

    def list_steps(self, state: model.State) -> list[model.Step]:
        """Return what can happen next."""
        time, changed_at, entries, answers, wrong = state
        if wrong:
            return []
        steps: list[model.Step] = []
        if time < LAST_TIME:
            steps.append(("time passes", (time + 1, *state[1:])))
        if changed_at is None:
            steps.append(("key is taken away", (time, time, *state[2:])))
        for index in range(ENTRIES):
            # The question is sent now; its answer is given now, or one tick later.
            for asked_at in (time, time - 1):
                if asked_at >= 0:
                    told = (index, asked_at, 0.0, changed_at is not None, "store")
                    steps += self._send(state, told)
            other = entries[1 - index]
            age = time - other[1]
            if age < float("inf"):
                told = (index, max(time - 1, 0), age, other[0], "peer")
                steps += self._send(state, told)
        for answer in answers:
            steps.append((f"{answer[4]} answers", self._take(state, answer)))
        is_over = changed_at is not None and time - changed_at > BOUND
        for index, (knows, known_at) in enumerate(entries):
            if is_over and not knows and self._admits(time, known_at):
                steps.append((f"{index} admits", (*state[:4], True)))
        return steps

    def _send(self, state: model.State, answer: Answer) -> list[model.Step]:
        """Return the state with an answer on its way, one for each entry."""
        answers = state[3]
        if answer in answers or any(one[0] == answer[0] for one in answers):
            return []
        return [("asked", (*state[:3], answers | {answer}, state[4]))]

    def _take(self, state: model.State, answer: Answer) -> model.State:
        """Return the state after an entry took an answer."""
        time, changed_at, entries, answers, wrong = state
        index, asked_at, age, tells, source = answer
        knows, known_at = entries[index]
        word = self._make_word()
        word.confirm_by_store(known_at)
        if source == "store":
            self._date_store(word, asked_at, time)
        else:
            self._date_peer(word, asked_at, age, time)
        entry = (self._learn(knows, tells, source), word.confirmed_at)
        after = (*entries[:index], entry, *entries[index + 1 :])
        return (time, changed_at, after, answers - {answer}, wrong)

    def _date_store(self, word: freshness.Freshness, asked_at: int, now: int) -> None:
        """Date the store's word."""
        word.confirm_by_store(asked_at)

    def _date_peer(
        self, word: freshness.Freshness, asked_at: int, age: float, now: int
    ) -> None:
        """Date a peer's word."""
        word.confirm_by_peer(asked_at, age)

    def _learn(self, knows: bool, tells: bool, source: str) -> bool:
        """Tell whether the entry knows of the change after an answer."""
        return knows or tells

    def _admits(self, now: int, known_at: float) -> bool:
        """Tell whether keys are admitted."""
        word = self._make_word()
        word.confirm_by_store(known_at)
        return word.compute_age(now) <= BOUND

    def list_invariants(
        self,
    ) -> dict[str, typing.Callable[[dict[str, typing.Any]], bool]]:
        """Return the users' bound."""
        return {"no key past its bound": lambda s: not s["wrong"]}


class DatedByArrival(StoreWord):
    """Mutant: the store's word is dated by its arrival."""

    def _date_store(self, word: freshness.Freshness, asked_at: int, now: int) -> None:
        """Trust that no answer lay in a buffer."""
        word.confirm_by_store(now)


class PeerDatedByArrival(StoreWord):
    """Mutant: a peer's age counts from the arrival of its answer."""

    def _date_peer(
        self, word: freshness.Freshness, asked_at: int, age: float, now: int
    ) -> None:
        """Trust that no answer lay in a buffer."""
        word.confirm_by_peer(now, age)


class AgeLeftOut(StoreWord):
    """Mutant: a peer's word counts as fresh."""

    def _date_peer(
        self, word: freshness.Freshness, asked_at: int, age: float, now: int
    ) -> None:
        """Leave out the age that the peer states."""
        word.confirm_by_peer(asked_at, 0.0)


class ContentLeftOut(StoreWord):
    """Mutant: a peer's date is taken over without what the peer knows."""

    def _learn(self, knows: bool, tells: bool, source: str) -> bool:
        """Learn from the store alone."""
        return knows or (tells and source == "store")


class SuspensionLeftOut(StoreWord):
    """Mutant: the clock stands still while the host is suspended."""

    def _admits(self, now: int, known_at: float) -> bool:
        """Count one tick less than has passed."""
        return super()._admits(now - 1, known_at)


def list_mutants() -> dict[str, model.Model]:
    """Return the model with each guard broken, by name."""
    return {
        "DatedByArrival": DatedByArrival(),
        "PeerDatedByArrival": PeerDatedByArrival(),
        "AgeLeftOut": AgeLeftOut(),
        "ContentLeftOut": ContentLeftOut(),
        "SuspensionLeftOut": SuspensionLeftOut(),
    }
