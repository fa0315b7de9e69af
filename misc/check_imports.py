"""Checks that the package imports only modules, never names, from its own modules.

The check also rejects imports of modules that start processes or threads: each process
runs one event loop on one thread and starts no other process.
"""

import ast
import pathlib
import sys

FORBIDDEN_MODULES = frozenset({"subprocess", "multiprocessing", "threading"})
PACKAGE = pathlib.Path("sardinesaddle")


def find_module_names() -> set[str]:
    """Return the dotted names of all modules of the package."""
    names = set()
    for path in PACKAGE.rglob("*.py"):
        parts = path.with_suffix("").parts
        names.add(".".join(parts[:-1] if parts[-1] == "__init__" else parts))
    return names


def check_file(path: pathlib.Path, modules: set[str]) -> list[str]:
    """Return an error line for each import in the file that breaks a rule."""
    faults = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            if not node.module.startswith("sardinesaddle"):
                continue
            for alias in node.names:
                if f"{node.module}.{alias.name}" not in modules:
                    faults.append(
                        f"{path}:{node.lineno}: imports the name {alias.name!r};"
                        f" import the module {node.module} instead"
                    )
        elif isinstance(node, ast.Import):
            for alias in node.names:
                if alias.name.split(".")[0] in FORBIDDEN_MODULES:
                    faults.append(f"{path}:{node.lineno}: must not use {alias.name}")
    return faults


def main() -> int:
    """Check every module of the package; return the exit status."""
    modules = find_module_names()
    faults = [f for p in sorted(PACKAGE.rglob("*.py")) for f in check_file(p, modules)]
    print("\n".join(faults) or f"imports: {len(modules)} modules clean")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
