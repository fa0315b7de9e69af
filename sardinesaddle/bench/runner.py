"""Finds and runs the benches for ``sardinesaddle bench``.

A bench is a module of this package with a function ``run``, which takes a seed and
returns a report, and optionally a function ``draw``, which writes a plot to a file.
"""

import collections.abc
import difflib
import importlib
import sys
import typing

import loguru

from sardinesaddle.bench import report

SEED: typing.Final = 1
FAST_BENCHES: typing.Final = (
    "limits",
    "deadlines",
    "retries",
    "poison",
    "steps",
    "routing",
)
SLOW_BENCHES: typing.Final = (
    "placement",
    "membership",
    "config",
    "expertmaps",
    "rankchoice",
    "targetlimits",
)
WALL_CLOCK_BENCHES: typing.Final = ("path", "capacity")
NAMES: typing.Final = (*FAST_BENCHES, *SLOW_BENCHES, *WALL_CLOCK_BENCHES)

BenchFunction = collections.abc.Callable[[int], report.Report]


def find_bench(name: str) -> BenchFunction:
    """Import a bench; return its ``run`` function."""
    module = importlib.import_module(f"sardinesaddle.bench.{name}")
    run_function: BenchFunction = module.run
    return run_function


def run_bench(name: str, as_json: bool, plot: str) -> bool | str:
    """Run a bench, or print the names of all benches if the name is 'list'.

    Returns whether all bounds are met, or an error message. With ``plot``, the plot
    is drawn too, and the bounds do not count.
    """
    if name == "list":
        sys.stdout.write("\n".join(NAMES) + "\n")
        return True
    if name not in NAMES:
        matches = difflib.get_close_matches(name, NAMES, n=1)
        hint = f"; did you mean {matches[0]!r}?" if matches else ""
        return f"bench {name!r} does not exist{hint} (known: {', '.join(NAMES)})"
    loguru.logger.remove()
    result = find_bench(name)(SEED)
    text = result.render_json() if as_json else result.render_text()
    sys.stdout.write(text + "\n")
    if plot:
        return draw_plot(name, plot)
    return not result.list_missed()


def draw_plot(name: str, file: str) -> bool | str:
    """Draw a bench's plot into a file; return True or an error message."""
    module = importlib.import_module(f"sardinesaddle.bench.{name}")
    draw = getattr(module, "draw", None)
    if draw is None:
        return f"bench {name!r} has no plot"
    try:
        draw(SEED, file)
    except ImportError:
        return "matplotlib is missing; install the extra 'plot'"
    return True
