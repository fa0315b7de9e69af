"""Reads the figures of the benches in docs/BENCHMARKS.md."""

import pathlib
import re

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "BENCHMARKS.md"


def read_section(name: str) -> dict[str, str]:
    """Return the figures and values in the section of a bench."""
    sections = re.split(r"^## (\w+)$", PAGE.read_text(), flags=re.MULTILINE)
    text = dict(zip(sections[1::2], sections[2::2], strict=True))[name]
    rows = re.findall(r"^\| ([\w.]+) \| ([^|]+) \|", text, re.MULTILINE)
    return {figure: value.strip() for figure, value in rows if figure != "figure"}
