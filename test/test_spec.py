"""The protocol models hold in every reachable state.

Each mutant removes one guard of a protocol, and the checker must find a counterexample.
"""

import pytest

from sardinesaddle.spec import model, runner

MUTANT_PARAMS = [
    pytest.param(mutant, id=name)
    for _, module in runner.SPECS
    for name, mutant in module.list_mutants().items()
]


@pytest.mark.parametrize("model_class", runner.list_models())
def test_model_holds_in_every_reachable_state(model_class: type[model.Model]) -> None:
    verdict = model.check_model(model_class())
    assert verdict.is_exhaustive
    assert not verdict.violated, verdict.trace


@pytest.mark.parametrize("mutant", MUTANT_PARAMS)
def test_mutant_gives_a_counterexample(mutant: model.Model) -> None:
    assert model.count_states_to_violation(mutant)


def test_search_stopped_at_its_bound_proves_nothing() -> None:
    model_class, _ = runner.SPECS[0]
    verdict = model.check_model(model_class(), max_states=10)
    assert not verdict.holds
