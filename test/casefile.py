"""Reads data-driven test cases.

A case file holds named cases. A case starts with ``[case NAME]`` and has input lines;
after ``[out]`` come the expected output lines. Lines that start with ``--`` are
comments.
"""

import dataclasses
import pathlib

FOLDER = pathlib.Path(__file__).parent.parent / "test-data" / "unit"


@dataclasses.dataclass(slots=True)
class Case:
    """One case of a file."""

    name: str
    lines: list[str]
    out: list[str]


def read_cases(file: str) -> list[Case]:
    """Return the cases of a file; a file without cases is an error."""
    cases: list[Case] = []
    target: list[str] = []
    for raw in (FOLDER / file).read_text().splitlines():
        line = raw.rstrip()
        if line.startswith("--"):
            continue
        if line.startswith("[case "):
            case = Case(line[6:-1], [], [])
            cases.append(case)
            target = case.lines
        elif line == "[out]":
            target = cases[-1].out
        elif line:
            target.append(line)
    assert cases, f"{file} has no cases"
    return cases
