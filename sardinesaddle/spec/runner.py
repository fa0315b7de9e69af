"""Runs the specifications for ``sardinesaddle spec``."""

import sys
import types
import typing

from sardinesaddle.spec import (
    mapswitches,
    mintedkeys,
    model,
    opaquekeys,
    revisions,
    stepgrants,
    storefreshness,
)

SPECS: typing.Final[tuple[tuple[type[model.Model], types.ModuleType], ...]] = (
    (mintedkeys.MintedKeys, mintedkeys),
    (opaquekeys.OpaqueKeys, opaquekeys),
    (revisions.Revisions, revisions),
    (stepgrants.StepGrants, stepgrants),
    (mapswitches.MapSwitches, mapswitches),
    (storefreshness.StoreFreshness, storefreshness),
)


def list_models() -> list[type[model.Model]]:
    """Return all models, each with the variants of its module."""
    model_classes: list[type[model.Model]] = []
    for model_class, module in SPECS:
        model_classes += [model_class, *getattr(module, "VARIANTS", ())]
    return model_classes


def run_spec(mutants: bool) -> bool:
    """Check every model, or every mutant; return whether all are as they must be."""
    return check_mutants() if mutants else check_models()


def check_models() -> bool:
    """Check every model and print its states and verdict."""
    ok = True
    for model_class in list_models():
        verdict = model.check_model(model_class())
        result = "holds" if verdict.holds else "not shown"
        if verdict.violated:
            result = "broken: " + ", ".join(verdict.violated)
        print_line(f"{model_class.name}: {verdict.states} states, {result}")
        for label in verdict.trace:
            print_line(f"    {label}")
        ok = ok and verdict.holds
    return ok


def check_mutants() -> bool:
    """Check every mutant and print the counterexample's length."""
    ok = True
    for model_class, module in SPECS:
        for name, mutant in module.list_mutants().items():
            verdict = model.find_counterexample(mutant)
            is_caught = bool(verdict.violated)
            result = (
                f"caught in {len(verdict.trace)} steps" if is_caught else "NOT CAUGHT"
            )
            print_line(f"{model_class.name}: {name}: {result}")
            ok = ok and is_caught
    return ok


def print_line(text: str) -> None:
    """Write one line of the result."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()
