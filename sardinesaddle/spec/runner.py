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
    storeword,
)

SPECS: typing.Final[tuple[tuple[type[model.Model], types.ModuleType], ...]] = (
    (mintedkeys.MintedKeys, mintedkeys),
    (opaquekeys.OpaqueKeys, opaquekeys),
    (revisions.Revisions, revisions),
    (stepgrants.StepGrants, stepgrants),
    (mapswitches.MapSwitches, mapswitches),
    (storeword.StoreWord, storeword),
)


def list_models() -> list[type[model.Model]]:
    """Return all models, each with the variants of its module."""
    found: list[type[model.Model]] = []
    for make, module in SPECS:
        found += [make, *getattr(module, "VARIANTS", ())]
    return found


def run_spec(mutants: bool) -> bool:
    """Check every model, or every mutant; return whether all are as they must be."""
    return check_mutants() if mutants else check_models()


def check_models() -> bool:
    """Check every model and print its states and verdict."""
    ok = True
    for make in list_models():
        verdict = model.check_model(make())
        word = "holds" if verdict.holds else "not shown"
        if verdict.broken:
            word = "broken: " + ", ".join(verdict.broken)
        print_line(f"{make.name}: {verdict.states} states, {word}")
        for step in verdict.trace:
            print_line(f"    {step}")
        ok = ok and verdict.holds
    return ok


def check_mutants() -> bool:
    """Check every mutant and print the counterexample's length."""
    ok = True
    for make, module in SPECS:
        for name, mutant in module.list_mutants().items():
            verdict = model.find_counterexample(mutant)
            caught = bool(verdict.broken)
            word = f"caught in {len(verdict.trace)} steps" if caught else "NOT CAUGHT"
            print_line(f"{make.name}: {name}: {word}")
            ok = ok and caught
    return ok


def print_line(text: str) -> None:
    """Write one line of the result."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()
