"""The released zip application: it starts, runs as a single process, and drains."""

import os
import pathlib
import signal
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
START_TIMEOUT_S = 60.0


@pytest.fixture(scope="module")
def binary(tmp_path_factory: pytest.TempPathFactory) -> pathlib.Path:
    """Build the zip application once for all tests of this module."""
    out = tmp_path_factory.mktemp("dist") / "sardinesaddle"
    subprocess.run(
        [sys.executable, "misc/build_binary.py", str(out)], cwd=ROOT, check=True
    )
    return out


def start_binary(
    binary: pathlib.Path, *args: str, cwd: pathlib.Path
) -> subprocess.Popen[str]:
    """Start the zip application without installed packages, as on a production host."""
    return subprocess.Popen(
        [sys.executable, "-S", "-I", str(binary), *args],
        cwd=cwd,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        env={"PATH": os.environ["PATH"]},
    )


def test_version_and_missing_settings_file(
    binary: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    out, _ = start_binary(binary, "version", cwd=tmp_path).communicate(
        timeout=START_TIMEOUT_S
    )
    assert out == "0.1.0\n"
    proc = start_binary(binary, "entry", "missing.json", cwd=tmp_path)
    out, _ = proc.communicate(timeout=START_TIMEOUT_S)
    assert out.count("\n") == 1
    assert "missing.json: no such file" in out
    assert proc.returncode == 1


def test_sidecar_starts_no_child_process_and_drains_on_sigterm(
    binary: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    (tmp_path / "secret").write_text("0123456789abcdef0123")
    (tmp_path / "sidecar.json").write_text(
        '{target: "t", place: "p", secret_file: "secret", // a comment\n'
        ' target_url: "http://127.0.0.1:9", platform:'
        ' {config_url: "http://127.0.0.1:9", hosts_url: "http://127.0.0.1:9"}}'
    )
    proc = start_binary(binary, "sidecar", "sidecar.json", cwd=tmp_path)
    assert proc.stdout is not None
    line = ""
    while "event=sidecar_started" not in line:
        line = proc.stdout.readline()
        assert line, "the sidecar ended before it started to serve"
    children: list[str] = []
    for task in pathlib.Path(f"/proc/{proc.pid}/task").iterdir():
        children += (task / "children").read_text().split()
    assert children == []
    memory_maps = pathlib.Path(f"/proc/{proc.pid}/maps").read_text()
    assert "site-packages" not in memory_maps
    proc.send_signal(signal.SIGTERM)
    out, _ = proc.communicate(timeout=START_TIMEOUT_S)
    assert "event=drain_done" in out, out
    assert proc.returncode == 0
