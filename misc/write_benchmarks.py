"""Writes docs/BENCHMARKS.md from the results of the benches.

Counted benches give the same figures on every run, and test/test_docs.py compares the
page with them. Timed benches give ratios of one run.
"""

import json
import pathlib
import subprocess
import sys

from sardinesaddle.bench import report, runner

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "BENCHMARKS.md"
PAGE_HEAD = """# Benchmarks

Written by misc/write_benchmarks.py. Model time and counted work on seed 1 give the same
figures on every run; the benches `path` and `capacity` measure the machine, so quote
their ratios. A bound is a stated target. `sardinesaddle bench NAME --json` prints one.
Figures of days on the users' platform are in PLATFORM.md.
"""
PATH_NOTE = (
    "One run; wall time. Six runs of one day gave 0.76 to 1.70 ms added at the median"
    " (aim 1) and 1.1 to 2.2 times the bare forwarder (aim 2); the machine is shared."
)
NOTES_BY_BENCH = {"path": PATH_NOTE, "capacity": "One run; processor time."}


def render(result: report.Report) -> str:
    """Return the page's section for one bench."""
    bounds = {bound.figure: bound for bound in result.bounds}
    lines = [f"## {result.name}", "", NOTES_BY_BENCH.get(result.name, ""), ""]
    lines += ["| figure | value | bound | met |", "|---|---|---|---|"]
    for figure, value in result.figures.items():
        bound = bounds.get(figure)
        text = f"{bound.relation} {bound.limit:g}" if bound else ""
        met = ("yes" if bound.is_met(value) else "NO") if bound else ""
        lines.append(f"| {figure} | {value} | {text} | {met} |")
    return "\n".join(lines) + "\n"


def select_placement(result: report.Report) -> report.Report:
    """Return the placement figures that have a bound, and mean skews and moves."""
    selected = report.Report(result.name)
    bounded = {bound.figure for bound in result.bounds}
    for figure, value in result.figures.items():
        if figure in bounded or figure.endswith(("_mean_skew", "_moves")):
            selected.figures[figure] = value
    selected.bounds = result.bounds
    return selected


def run_bench(name: str) -> report.Report:
    """Run one bench in a separate process, so that it does not affect the others."""
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
            result = select_placement(result)
        sections.append(render(result))
        print(f"{name}: {len(result.figures)} figures")
    PAGE.write_text(PAGE_HEAD + "\n" + "\n".join(sections))


if __name__ == "__main__":
    main()
