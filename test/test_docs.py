"""The figures in docs/BENCHMARKS.md are the ones that the benches compute."""

import pathlib
import re

import pytest

from sardinesaddle.bench import runner

BENCHMARKS_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "BENCHMARKS.md"


def read_section(name: str) -> dict[str, str]:
    """Return the figures and values in the section of a bench."""
    sections = re.split(r"^## (\w+)$", BENCHMARKS_PAGE.read_text(), flags=re.MULTILINE)
    text = dict(zip(sections[1::2], sections[2::2], strict=True))[name]
    rows = re.findall(r"^\| ([\w.]+) \| ([^|]+) \|", text, re.MULTILINE)
    return {figure: value.strip() for figure, value in rows if figure != "figure"}


@pytest.mark.parametrize("name", runner.FAST_BENCHES)
def test_page_matches_the_figures_of_the_bench(name: str) -> None:
    figures = runner.find_bench(name)(runner.SEED).figures
    documented = read_section(name)
    assert documented
    assert documented == {figure: str(value) for figure, value in figures.items()}


def test_every_bench_has_a_section() -> None:
    for name in runner.NAMES:
        assert read_section(name), name
