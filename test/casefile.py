"""Reads data-driven test cases.

A case file holds named cases. A case starts with ``[case NAME]`` and has input lines;
after ``[out]`` come the expected output lines. Lines that start with ``--`` are
comments.
"""

import dataclasses
import pathlib

CASE_FOLDER = pathlib.Path(__file__).parent.parent / "test-data" / "unit"


@dataclasses.dataclass(slots=True)
class Case:
    """One case of a file."""

    name: str
    input_lines: list[str]
    expected_lines: list[str]


def read_cases(file_name: str) -> list[Case]:
    """Return the cases of a file; a file without cases is an error."""
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
