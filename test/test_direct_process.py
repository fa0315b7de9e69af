"""Tests of the direct path's processes: settings, signals, metrics and logs."""

import asyncio
import importlib.metadata
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import time
import typing
import urllib.error
import urllib.request

import pytest

from sardinesaddle import settings
from sardinesaddle.direct import nodelog, nodesettings, start
from sardinesaddle.standins import loopdriver
from test import freeports

HOST: typing.Final = "127.0.3.1"
START_TIMEOUT_S: typing.Final = 30.0


def write_settings(directory: pathlib.Path, **changes: object) -> pathlib.Path:
    """Write a settings file for an entry; return its path."""
    ports = [freeports.find_free_port(HOST) for _ in range(5)]
    cfg: dict[str, object] = {
        "name": "e1",
        "host": HOST,
        "place": "p",
        "store": f"{HOST}:{ports[0]}",
        "front": f"{HOST}:{ports[1]}",
        "ready": f"{HOST}:{ports[2]}",
        "node_ports": [ports[3], ports[3]],
        "metrics_port": ports[4],
    }
    path = directory / "entry.jsonc"
    path.write_text("// an entry\n" + json.dumps(cfg | changes))
    return path


def fetch(url: str) -> tuple[int, str]:
    """Return the status and the body of a page; errors have an empty body."""
    try:
        with urllib.request.urlopen(url, timeout=5.0) as resp:
            return resp.status, resp.read().decode()
    except urllib.error.HTTPError as exc:
        return exc.code, ""


def test_process_starts_serves_metrics_reloads_and_exits(
    tmp_path: pathlib.Path,
) -> None:
    path = write_settings(tmp_path)
    cfg = nodesettings.load_entry(str(path))
    assert isinstance(cfg, nodesettings.EntrySettings)
    process = subprocess.Popen(
        [sys.executable, "-m", "sardinesaddle.main", "node", "entry", str(path)],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        began_at = time.monotonic()
        while time.monotonic() - began_at < START_TIMEOUT_S:
            try:
                status, _ = fetch(f"http://{cfg.ready}/readyz")
                break
            except OSError:
                time.sleep(0.1)
        # The store is unreachable, so the entry has no configuration.
        assert status == 503
        assert fetch(f"http://{cfg.front}/a/")[0] == 503
        page = fetch(f"http://{HOST}:{cfg.metrics_port}/metrics")[1]
        assert (
            'sardinesaddle_refusals_total{name="e1",reason="no_configuration"' in page
        )
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        time.sleep(0.5)
        process.send_signal(signal.SIGTERM)
        out, _ = process.communicate(timeout=START_TIMEOUT_S)
    finally:
        process.kill()
    assert process.returncode == 0
    for event in ("start", "store_lost", "settings_refused", "sigterm", "end"):
        assert f" event={event}" in out, out


def test_reload_signal_during_start_does_not_end_process(
    tmp_path: pathlib.Path,
) -> None:
    text = write_settings(tmp_path).read_bytes()
    path = tmp_path / "pipe"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "sardinesaddle.direct", "entry"],
        stdout=subprocess.PIPE,
        env=os.environ | {start.SETTINGS_VARIABLE: str(path)},
    )
    try:
        # The pipe opens when the process first reads its settings, which is before it
        # installs its signal handlers.
        with path.open("wb") as pipe:
            process.send_signal(signal.SIGHUP)
            with pytest.raises(subprocess.TimeoutExpired):
                process.wait(0.3)
            pipe.write(text)
        # The process opens the file a second time, to parse the settings.
        with pytest.raises(subprocess.TimeoutExpired):
            process.wait(0.3)
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"front": "nowhere"}, "$.front"),
        ({"frnt": "1.2.3.4:5"}, "did you mean 'front'"),
        ({"bounds": {"revoke_s": -1}}, "revoke_s"),
        ({"node_ports": [1]}, "node_ports"),
    ],
)
def test_settings_fault_names_the_field(
    tmp_path: pathlib.Path, changes: dict[str, object], text: str
) -> None:
    cfg = nodesettings.load_entry(str(write_settings(tmp_path, **changes)))
    assert isinstance(cfg, settings.SettingsFault)
    assert text in cfg.text


# Guards against a traceback where an operator needs the setting and the address.
@pytest.mark.parametrize("setting", ["front", "ready", "node_ports", "metrics_port"])
def test_address_that_is_taken_is_named_with_its_setting(
    tmp_path: pathlib.Path, setting: str
) -> None:
    path = write_settings(tmp_path)
    cfg = nodesettings.load_entry(str(path))
    assert isinstance(cfg, nodesettings.EntrySettings)
    addresses = {
        "front": cfg.front,
        "ready": cfg.ready,
        "node_ports": f"{HOST}:{cfg.node_port}",
        "metrics_port": f"{HOST}:{cfg.metrics_port}",
    }
    host, port = nodesettings.split_address(addresses[setting])
    with socket.create_server((host, port)):
        process = subprocess.run(
            [sys.executable, "-m", "sardinesaddle.main", "node", "entry", str(path)],
            capture_output=True,
            text=True,
            timeout=START_TIMEOUT_S,
        )
    text = f"{setting}: cannot listen on {addresses[setting]}: "
    assert process.returncode == 1
    assert "Traceback" not in process.stdout + process.stderr
    lines = [line for line in process.stdout.splitlines() if "listen_failed" in line]
    assert len(lines) == 1
    assert text in lines[0]
    assert text in process.stderr


def test_unknown_role_is_rejected() -> None:
    fault = start.check_settings("leader", "x")
    assert isinstance(fault, settings.SettingsFault)
    assert "use entry or sidecar" in fault.text


def test_log_sink_is_bounded_and_never_blocks_on_its_reader() -> None:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)

    async def run() -> None:
        sink = nodelog.BoundedSink(writer, lines_per_s=100.0)
        sink.attach(asyncio.get_running_loop())
        for _ in range(1000):
            sink.write("event=x\n")
        assert sink.dropped == 800
        sink.flush()
        assert b"event=lines_dropped count=800\n" in os.read(reader, 65536)
        # Nothing reads from the pipe: it fills up, then the buffer reaches its bound.
        for _ in range(100):
            await asyncio.sleep(1.0)
            for _ in range(100):
                sink.write("event=" + "y" * 200 + "\n")
        assert sink.dropped > 800
        await asyncio.sleep(0.1)

    try:
        loopdriver.LoopDriver(is_clock_virtual=True).run(run())
    finally:
        os.close(reader)
        os.close(writer)


@pytest.mark.parametrize("role", ["entryrole", "sidecarrole"])
def test_role_imports_only_packages_that_are_deployed(role: str) -> None:
    """Guards against processes that do not start, since a package is not deployed."""
    root = pathlib.Path(__file__).parent.parent
    lines = (root / "requirements.txt").read_text().splitlines()
    names = {line.partition("==")[0].lower().replace("_", "-") for line in lines}
    owners_by_module = importlib.metadata.packages_distributions()
    script = (
        f"import sys, sardinesaddle.direct.{role}\n"
        "for name, module in sys.modules.items():\n"
        "    if name.partition('.')[0] == 'sardinesaddle':\n"
        "        print(module.__file__)\n"
    )
    args = [sys.executable, "-c", script]
    result = subprocess.run(args, cwd=root, capture_output=True, text=True, check=True)
    files = result.stdout.split()
    assert len(files) > 20
    for file in files:
        text = pathlib.Path(file).read_text()
        pattern = r"^(?:import|from) (\w+)[\w.]*(?: as \w+| import .*)?$"
        for name in re.findall(pattern, text, re.MULTILINE):
            if name in sys.stdlib_module_names or name == "sardinesaddle":
                continue
            owners = {o.lower().replace("_", "-") for o in owners_by_module[name]}
            assert owners & names, f"{file} imports {name}, which is not deployed"
