"""Checks the protocol models and their mutants, for ``sardinesaddle spec``."""

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
    storeeras,
    storefreshness,
)

SPECS: typing.Final[tuple[tuple[type[model.Model], types.ModuleType], ...]] = (
    (mintedkeys.MintedKeys, mintedkeys),
    (opaquekeys.OpaqueKeys, opaquekeys),
    (revisions.Revisions, revisions),
    (stepgrants.StepGrants, stepgrants),
    (mapswitches.MapSwitches, mapswitches),
    (storefreshness.StoreFreshness, storefreshness),
    (storeeras.StoreEras, storeeras),
)


def list_models() -> list[type[model.Model]]:
    """Return all model classes, with the variants that their modules list."""
    model_classes: list[type[model.Model]] = []
    for model_class, module in SPECS:
        model_classes += [model_class, *getattr(module, "VARIANTS", ())]
    return model_classes


def run_spec(mutants: bool) -> bool:
    """Check all models, or all mutants; return whether the results are as expected."""
    return check_mutants() if mutants else check_models()


def check_models() -> bool:
    """Print each model's number of states and verdict; return whether all hold."""
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
    """Print the length of each mutant's counterexample; return whether all have one."""
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
    """Print a line of results and flush it, since a check may take minutes."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()
