"""The deterministic benches meet their bounds, and the fast ones repeat their figures.

Bounds that are known to be missed are listed in KNOWN-RED.txt and printed. The test
fails on any other missed bound, and on a listed bound that is met.
"""

import pathlib
import re

import pytest

from sardinesaddle.bench import runner

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def list_known_missed_bounds(name: str) -> set[str]:
    """Return the figures of a bench whose bounds are listed as missed."""
    text = KNOWN_RED.read_text()
    return set(re.findall(rf"^- bench {name}: ([\w.]+)", text, re.MULTILINE))


@pytest.mark.parametrize("name", [*runner.FAST_BENCHES, *runner.SLOW_BENCHES])
def test_bench_meets_its_bounds(name: str) -> None:
    result = runner.find_bench(name)(runner.SEED)
    missed = {line.partition(" ")[0]: line for line in result.list_missed()}
    for figure in sorted(missed.keys() & list_known_missed_bounds(name)):
        print(f"known red: bench {name}: {missed[figure]}")
    assert result.bounds
    assert missed.keys() == list_known_missed_bounds(name), missed


@pytest.mark.parametrize("name", runner.FAST_BENCHES)
def test_bench_figures_are_reproducible(name: str) -> None:
    run_function = runner.find_bench(name)
    assert run_function(runner.SEED).figures == run_function(runner.SEED).figures
