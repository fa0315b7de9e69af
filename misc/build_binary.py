"""Builds the release file: a zip application for the host's Python 3.11.

The file holds the package, its run-time dependencies, and a small start module. Python
modules are imported straight from the zip as byte code. Compiled extension modules
cannot be, so the start module copies each one into an anonymous memory file when it is
first imported and loads it from there. Nothing is unpacked to a disk and no other
process is started.
"""

import compileall
import importlib.metadata
import pathlib
import re
import shutil
import stat
import sys
import tempfile
import zipfile

PROJECT = "sardinesaddle"
SHEBANG = b"#!/usr/bin/env python3.11\n"
SKIPPED_PARTS = frozenset({"__pycache__", "tests", "test", "testing"})
START_MODULE = '''"""Starts the program from its zip file; see misc/build_binary.py."""

import importlib.abc
import importlib.machinery
import importlib.util
import os
import sys
import zipfile

ARCHIVE = sys.path[0]


class MemoryFinder(importlib.abc.MetaPathFinder):
    """Loads compiled extension modules from the archive through memory files."""

    def __init__(self):
        suffixes = importlib.machinery.EXTENSION_SUFFIXES
        self._names = {}
        with zipfile.ZipFile(ARCHIVE) as archive:
            for name in archive.namelist():
                for suffix in suffixes:
                    if name.endswith(suffix):
                        module = name[: -len(suffix)].replace("/", ".")
                        self._names.setdefault(module, name)

    def find_spec(self, fullname, path=None, target=None):
        """Return the spec of an extension module in the archive, or None."""
        name = self._names.get(fullname)
        if name is None:
            return None
        with zipfile.ZipFile(ARCHIVE) as archive:
            data = archive.read(name)
        fd = os.memfd_create(fullname, os.MFD_CLOEXEC)
        write_all(fd, data)
        origin = f"/proc/self/fd/{fd}"
        loader = importlib.machinery.ExtensionFileLoader(fullname, origin)
        return importlib.util.spec_from_loader(fullname, loader, origin=origin)


def write_all(fd, data):
    """Write all bytes, in several calls if necessary."""
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


if sys.version_info[:2] != (3, 11):
    sys.exit("sardinesaddle: this file needs Python 3.11; run it with python3.11")
sys.meta_path.insert(0, MemoryFinder())

from sardinesaddle import main  # noqa: E402

main.main()
'''


def list_distributions() -> list[importlib.metadata.Distribution]:
    """Return the run-time dependencies of the package, direct and indirect."""
    distributions: dict[str, importlib.metadata.Distribution] = {}
    pending = [PROJECT]
    while pending:
        name = pending.pop()
        dist = importlib.metadata.distribution(name)
        key = re.sub(r"[-_.]+", "-", dist.metadata["Name"]).lower()
        if key in distributions:
            continue
        distributions[key] = dist
        for line in dist.requires or []:
            if "extra ==" in line or not is_needed(line):
                continue
            pending.append(re.split(r"[\s<>=!~;\[(]", line, maxsplit=1)[0])
    del distributions[PROJECT]
    return list(distributions.values())


def is_needed(requirement: str) -> bool:
    """Return whether a requirement's marker may apply to Python 3.11 on Linux."""
    marker = requirement.partition(";")[2]
    if re.search(r"sys_platform\s*==\s*.win32|platform_system\s*==\s*.Windows", marker):
        return False
    upper_bound = re.search(r"python_version\s*<\s*.3\.(\d+)", marker)
    return upper_bound is None or int(upper_bound[1]) > 11


def copy_distribution(
    dist: importlib.metadata.Distribution, folder: pathlib.Path
) -> None:
    """Copy a distribution's files, without tests, type stubs and C sources."""
    for entry in dist.files or []:
        source = pathlib.Path(str(dist.locate_file(entry)))
        parts = pathlib.PurePosixPath(str(entry)).parts
        if ".." in parts or SKIPPED_PARTS & set(parts) or not source.is_file():
            continue
        if source.suffix in {".pyi", ".c", ".pyx", ".pxd", ".h", ".typed"}:
            continue
        target = folder / pathlib.Path(*parts)
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, target)


def build(out_path: pathlib.Path) -> None:
    """Write the zip application and make it executable."""
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch)
        shutil.copytree(
            PROJECT, folder / PROJECT, ignore=shutil.ignore_patterns("__pycache__")
        )
        for dist in list_distributions():
            copy_distribution(dist, folder)
        (folder / "__main__.py").write_text(START_MODULE)
        compileall.compile_dir(
            scratch, quiet=2, legacy=True, stripdir=scratch, optimize=0
        )
        out_path.parent.mkdir(parents=True, exist_ok=True)
        with out_path.open("wb") as file:
            file.write(SHEBANG)
            with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as archive:
                for path in sorted(folder.rglob("*")):
                    # Packages without __init__ are only found if the zip file has an
                    # item for their folder.
                    if path.is_dir() or path.suffix != ".py":
                        archive.write(path, str(path.relative_to(folder)))
        mode = out_path.stat().st_mode
        out_path.chmod(mode | stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH)
    print(f"{out_path}: {out_path.stat().st_size // 1024} KiB")


if __name__ == "__main__":
    build(pathlib.Path(sys.argv[1]))
