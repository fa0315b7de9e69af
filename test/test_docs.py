"""The pages agree with the code: figures of benches, and checks of the users' rules."""

import pathlib
import re

import pytest

from sardinesaddle.bench import runner
from test import soak

RULES_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "RULES.md"
DAYS = pathlib.Path(__file__).parent.parent / "deploy" / "days"
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


def list_rules() -> list[list[str]]:
    """Return the cells of each row of the page of rules, without its heading."""
    rows = [line for line in RULES_PAGE.read_text().splitlines() if line[:2] == "| "]
    return [[cell.strip() for cell in row.strip("|").split("|")] for row in rows[1:]]


def split_cell(cell: str) -> list[str]:
    """Return the names in a cell; none of them if it is a gap."""
    return [name for name in cell.split(", ") if name and name != "none"]


@pytest.mark.parametrize("row", list_rules(), ids=lambda row: row[0][:40])
def test_checks_that_the_page_of_rules_names_exist(row: list[str]) -> None:
    _, _, tests, promises, days, gaps = row
    for test in split_cell(tests):
        module, _, function = test.partition("::")
        source = (pathlib.Path(__file__).parent / f"{module}.py").read_text()
        assert f"def {function}(" in source or not function, test
    for promise in split_cell(promises):
        assert promise in (soak.__doc__ or ""), promise
    for day in set(split_cell(days)) - {"standard", "the users' record"}:
        assert (DAYS / f"{day}.toml").exists(), day
    assert gaps or split_cell(tests), "a rule without a test needs a reason"
