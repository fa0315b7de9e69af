"""The interface of the protocol models, and their check.

The checker explores every reachable state breadth first. A property counts as shown
only if the whole state space was explored. A search that reaches its limit of states
proves nothing, and the check fails.
"""

import abc
import dataclasses
import typing

import minicheck

MAX_STATES: typing.Final = 400_000

State = tuple[typing.Any, ...]
Transition = tuple[str, State]


class Model(abc.ABC):
    """A protocol as a transition system with invariants.

    A state is a hashable tuple; ``fields`` names its items, in order.
    """

    name: str
    fields: tuple[str, ...]

    @abc.abstractmethod
    def make_initial(self) -> State:
        """Return the initial state."""

    @abc.abstractmethod
    def list_transitions(self, state: State) -> list[Transition]:
        """Return every transition from a state, as pairs of label and next state."""

    @abc.abstractmethod
    def list_invariants(
        self,
    ) -> dict[str, typing.Callable[[dict[str, typing.Any]], bool]]:
        """Return the predicates that must hold in every state, by name.

        A predicate takes a state as a dict by field name.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a check.

    ``violated`` names the violated properties. ``trace`` has the transition labels of a
    shortest counterexample to the first of them.
    """

    states: int
    is_exhaustive: bool
    violated: tuple[str, ...]
    trace: tuple[str, ...]

    @property
    def holds(self) -> bool:
        """Whether the check explored every reachable state and found no violation."""
        return self.is_exhaustive and not self.violated


class ViolationFoundError(Exception):
    """Stops a search at the first state that violates an invariant."""


def count_states_to_violation(model: Model, max_states: int = MAX_STATES) -> int:
    """Return how many states a search generates until it visits a violation, or 0.

    The count is a limit within which ``check_model`` finds the violation again.
    """
    invariants = list(model.list_invariants().values())
    seen = {model.make_initial()}

    def list_transitions(state: State) -> list[Transition]:
        fields = dict(zip(model.fields, state, strict=True))
        if not all(holds(fields) for holds in invariants):
            raise ViolationFoundError
        next_transitions = model.list_transitions(state)
        seen.update(successor for _, successor in next_transitions)
        return next_transitions

    protocol = minicheck.Protocol(
        name=model.name,
        candidate=False,
        fields=model.fields,
        initial=model.make_initial(),
        transitions=list_transitions,
        invariants={"any": lambda fields: True},
    )
    try:
        minicheck.check_safety(protocol, max_states=max_states)
    except ViolationFoundError:
        return len(seen)
    return 0


def find_counterexample(model: Model) -> Verdict:
    """Check a model only as far as its first violation.

    A model without a violation is checked up to ``MAX_STATES``.
    """
    return check_model(model, count_states_to_violation(model) or MAX_STATES)


def check_model(model: Model, max_states: int = MAX_STATES) -> Verdict:
    """Explore a model and return the verdict.

    A violated property comes with a shortest counterexample.
    """
    protocol = minicheck.Protocol(
        name=model.name,
        candidate=False,
        fields=model.fields,
        initial=model.make_initial(),
        transitions=model.list_transitions,
        invariants=model.list_invariants(),
    )
    result = minicheck.check_safety(protocol, max_states=max_states)
    violated = []
    trace: tuple[str, ...] = ()
    exhaustive = True
    for name, property_result in result["properties"].items():
        if property_result["holds"] is None:
            exhaustive = False
        elif not property_result["holds"]:
            violated.append(name)
            if not trace:
                steps = property_result["counterexample"]
                trace = tuple(str(transition["label"]) for transition in steps[1:])
    return Verdict(result["reachable_states"], exhaustive, tuple(violated), trace)
