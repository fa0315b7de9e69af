"""Parses the case files of data-driven tests.

A case starts with a line ``[case NAME]``, followed by its input lines, a line ``[out]``
and the expected output lines. Blank lines, and lines that start with ``--`` (comments),
are skipped.
"""

import dataclasses
import pathlib

CASE_FOLDER = pathlib.Path(__file__).parent.parent / "test-data" / "unit"


@dataclasses.dataclass(slots=True)
class Case:
    """One test case, as the non-blank lines of its two sections."""

    name: str
    input_lines: list[str]
    expected_lines: list[str]


def read_cases(file_name: str) -> list[Case]:
    """Return the cases of a file in ``test-data/unit``; fail if it has none."""
    cases: list[Case] = []
    section: list[str] = []
    for raw_line in (CASE_FOLDER / file_name).read_text().splitlines():
        line = raw_line.rstrip()
        if line.startswith("--"):
            continue
        if line.startswith("[case "):
            case = Case(line[6:-1], [], [])
            cases.append(case)
            section = case.input_lines
        elif line == "[out]":
            section = cases[-1].expected_lines
        elif line:
            section.append(line)
    assert cases, f"{file_name} has no cases"
    return cases
