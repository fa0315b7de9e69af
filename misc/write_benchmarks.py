"""Runs the benches and writes their figures to docs/BENCHMARKS.md.

Benches that count work give the same figures on every run, and test/test_docs.py checks
that the page shows them. The figures of benches that measure time are those of one run.
"""

import json
import pathlib
import subprocess
import sys

from sardinesaddle.bench import report, runner

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "BENCHMARKS.md"
PAGE_HEADER = """# Benchmarks

Written by misc/write_benchmarks.py. Model time and counted work on seed 1 give the same
figures on every run; the benches `path` and `capacity` measure the machine, so quote
their ratios. A bound is a stated target. `sardinesaddle bench NAME --json` prints one.
Figures of days on the users' platform are in PLATFORM.md.
"""
PATH_NOTE = (
    "One run; wall time. Six runs of one day gave 0.76 to 1.70 ms added at the median"
    " (aim 1) and 1.1 to 2.2 times the bare forwarder (aim 2); the machine is shared."
)
TIMED_NOTES = {"path": PATH_NOTE, "capacity": "One run; processor time."}


def render_section(result: report.Report) -> str:
    """Return the Markdown section of one bench."""
    bounds = {bound.figure: bound for bound in result.bounds}
    lines = [f"## {result.name}", "", TIMED_NOTES.get(result.name, ""), ""]
    lines += ["| figure | value | bound | met |", "|---|---|---|---|"]
    for figure, value in result.figures.items():
        bound = bounds.get(figure)
        text = f"{bound.relation} {bound.limit:g}" if bound else ""
        met = ("yes" if bound.is_met(value) else "NO") if bound else ""
        lines.append(f"| {figure} | {value} | {text} | {met} |")
    return "\n".join(lines) + "\n"


def select_placement_figures(result: report.Report) -> report.Report:
    """Return a report of only the bounded figures, the mean skews and the moves."""
    short = report.Report(result.name)
    bounded = {bound.figure for bound in result.bounds}
    for figure, value in result.figures.items():
        if figure in bounded or figure.endswith(("_mean_skew", "_moves")):
            short.figures[figure] = value
    short.bounds = result.bounds
    return short


def run_bench(name: str) -> report.Report:
    """Run a bench in a separate process, so that benches do not affect each other."""
    command = [sys.executable, "-m", "sardinesaddle.main", "bench", name, "--json"]
    out = subprocess.run(command, capture_output=True, text=True, check=False).stdout
    document = json.loads(out)
    result = report.Report(name)
    result.figures = document["figures"]
    result.bounds = [report.Bound(**bound) for bound in document["bounds"]]
    return result


def main() -> None:
    """Run every bench and write the page."""
    sections = []
    for name in runner.NAMES:
        result = run_bench(name)
        if name == "placement":
            result = select_placement_figures(result)
        sections.append(render_section(result))
        print(f"{name}: {len(result.figures)} figures")
    PAGE.write_text(PAGE_HEADER + "\n" + "\n".join(sections))


if __name__ == "__main__":
    main()
