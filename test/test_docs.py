"""The pages agree with the code: sections of benches, checks of the users' rules."""

import pathlib

import pytest

from sardinesaddle.bench import runner
from test import benchmarkspage, soak

RULES_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "RULES.md"
DAYS = pathlib.Path(__file__).parent.parent / "deploy" / "days"


def test_every_bench_has_a_section() -> None:
    for name in runner.NAMES:
        assert benchmarkspage.read_section(name), name


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
