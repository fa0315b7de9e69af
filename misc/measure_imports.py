"""Measures what the imports of a role of the direct path cost in resident memory.

Usage: measure_imports.py entry|sidecar. Modules are imported in a fresh interpreter, in
the order of the table; a module's row holds what it adds to those before it. Rows of
less than MIN_ROW_MB are added up in the last one.
"""

import importlib
import pathlib
import sys

MIN_ROW_MB = 0.5
MODULES = (
    "asyncio",
    "uvloop",
    "msgspec",
    "loguru",
    "aioprometheus",
    "httptools",
    "json5",
    "sardinesaddle.direct.start",
)
ROLE_MODULES = {
    "entry": ("aiohttp.web", "h11", "sardinesaddle.direct.entryrole"),
    "sidecar": ("sardinesaddle.direct.sidecarrole",),
}


def read_rss_mb() -> float:
    """Return the resident memory of this process in MB."""
    for line in pathlib.Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    raise SystemExit("/proc/self/status has no VmRSS")


def main() -> int:
    """Print a table of the modules of a role; return the exit status."""
    if len(sys.argv) != 2 or sys.argv[1] not in ROLE_MODULES:
        sys.stderr.write("usage: measure_imports.py entry|sidecar\n")
        return 2
    before_mb = read_rss_mb()
    print(f"| interpreter | {before_mb:.1f} |")
    small_mb = 0.0
    for name in (*MODULES, *ROLE_MODULES[sys.argv[1]]):
        importlib.import_module(name)
        after_mb = read_rss_mb()
        if after_mb - before_mb >= MIN_ROW_MB:
            print(f"| {name} | {after_mb - before_mb:.1f} |")
        else:
            small_mb += after_mb - before_mb
        before_mb = after_mb
    print(f"| others, each under {MIN_ROW_MB} MB | {small_mb:.1f} |")
    print(f"| all | {before_mb:.1f} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
