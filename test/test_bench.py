"""The deterministic benches meet their bounds.

The fast ones repeat their figures, and docs/BENCHMARKS.md has these. Bounds that are
known to be missed are listed in KNOWN-RED.txt and printed. The test fails on any other
missed bound, and on a listed bound that is met.
"""

import pathlib
import re

import pytest

from sardinesaddle.bench import report, runner
from test import benchmarkspage

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def list_known_missed_bounds(name: str) -> set[str]:
    """Return the figures of a bench whose bounds are listed as missed."""
    text = KNOWN_RED.read_text()
    return set(re.findall(rf"^- bench {name}: ([\w.]+)", text, re.MULTILINE))


def check_bounds(name: str, result: report.Report) -> None:
    """Check that a bench misses just the bounds that are listed; print these."""
    missed = {line.partition(" ")[0]: line for line in result.list_missed()}
    for figure in sorted(missed.keys() & list_known_missed_bounds(name)):
        print(f"known red: bench {name}: {missed[figure]}")
    assert result.bounds
    assert missed.keys() == list_known_missed_bounds(name), missed


@pytest.mark.parametrize("name", runner.SLOW_BENCHES)
def test_slow_bench_meets_its_bounds(name: str) -> None:
    check_bounds(name, runner.find_bench(name)(runner.SEED))


@pytest.mark.parametrize("name", runner.FAST_BENCHES)
def test_fast_bench_meets_its_bounds_and_repeats_the_figures_on_its_page(
    name: str,
) -> None:
    result = runner.find_bench(name)(runner.SEED)
    check_bounds(name, result)
    documented = benchmarkspage.read_section(name)
    assert documented
    assert documented == {figure: str(v) for figure, v in result.figures.items()}
    assert runner.find_bench(name)(runner.SEED).figures == result.figures
