"""What a specification consists of, and how one is checked.

The checker explores every reachable state breadth first. A property counts as shown
only if the whole space was explored: a search that hits the bound of states proves
nothing, and the check fails.
"""

import abc
import dataclasses
import typing

import minicheck

MAX_STATES: typing.Final = 400_000
FIRST_BOUND: typing.Final = 2_000
BOUND_GROWTH: typing.Final = 6

State = tuple[typing.Any, ...]
Step = tuple[str, State]


class Model(abc.ABC):
    """A protocol's states, steps and invariants."""

    name: str
    fields: tuple[str, ...]

    @abc.abstractmethod
    def make_initial(self) -> State:
        """Return the first state."""

    @abc.abstractmethod
    def list_steps(self, state: State) -> list[Step]:
        """Return every step that can follow, with a label."""

    @abc.abstractmethod
    def list_invariants(
        self,
    ) -> dict[str, typing.Callable[[dict[str, typing.Any]], bool]]:
        """Return the properties that hold in every state, by name."""


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a check; ``broken`` names the violated properties."""

    states: int
    is_exhaustive: bool
    broken: tuple[str, ...]
    trace: tuple[str, ...]

    @property
    def holds(self) -> bool:
        """Whether every property was shown for every reachable state."""
        return self.is_exhaustive and not self.broken


def find_counterexample(model: Model) -> Verdict:
    """Search in growing bounds, since a shortest counterexample comes early."""
    bound = FIRST_BOUND
    verdict = check_model(model, bound)
    while not verdict.broken and not verdict.is_exhaustive and bound < MAX_STATES:
        bound *= BOUND_GROWTH
        verdict = check_model(model, bound)
    return verdict


def check_model(model: Model, max_states: int = MAX_STATES) -> Verdict:
    """Explore a model and return the verdict with a shortest counterexample."""
    protocol = minicheck.Protocol(
        name=model.name,
        candidate=False,
        fields=model.fields,
        initial=model.make_initial(),
        transitions=model.list_steps,
        invariants=model.list_invariants(),
    )
    result = minicheck.check_safety(protocol, max_states=max_states)
    broken = []
    trace: tuple[str, ...] = ()
    exhaustive = True
    for name, prop in result["properties"].items():
        if prop["holds"] is None:
            exhaustive = False
        elif not prop["holds"]:
            broken.append(name)
            if not trace:
                steps = prop["counterexample"]
                trace = tuple(str(one["label"]) for one in steps[1:])
    return Verdict(result["reachable_states"], exhaustive, tuple(broken), trace)
