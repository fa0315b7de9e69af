"""The command line: exit statuses, and one line with a remedy for each user error."""

import json
import pathlib

import pytest

# aiomisc uses the real standard error when it is imported, so import it before pytest
# captures the stream.
from sardinesaddle import build as build
from sardinesaddle import main, settings


def run_command(args: list[str], monkeypatch: pytest.MonkeyPatch) -> int:
    """Run a command in this process; return its exit status."""
    monkeypatch.setattr("sys.argv", ["sardinesaddle", *args])
    try:
        main.main()
    except SystemExit as exc:
        return exc.code if isinstance(exc.code, int) else 1
    return 0


@pytest.mark.parametrize(
    ("args", "text"),
    [
        (["entri", "x"], "did you mean 'entry'?"),
        (["entry", "missing.json"], "missing.json: no such file"),
        (["check", "king", "x"], "role 'king' does not exist"),
        (["table", "chek", "x"], "did you mean 'check'?"),
        (["table", "check", "missing.json"], "missing.json: no such file"),
        (["status", "nowhere"], "give the admin address"),
        (["demo", "--failures", "flood"], "failure 'flood' does not exist"),
    ],
)
def test_error_is_one_line_with_the_remedy(
    args: list[str],
    text: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run_command(args, monkeypatch) != 0
    err = capsys.readouterr().err
    assert text in err
    assert err.count("\n") == 1
    assert "Traceback" not in err


def test_version_and_help(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_command(["version"], monkeypatch) == 0
    assert run_command(["--help"], monkeypatch) == 0
    out = capsys.readouterr().out
    for command in ("entry", "sidecar", "demo", "check", "table", "status", "spec"):
        assert f"  {command} " in out


VALID_SETTINGS = {
    "name": "e",
    "place": "p",
    "secret_file": "s",
    "platform": {"config_url": "http://x", "hosts_url": "http://y"},
}


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"plaec": "p"}, "$.plaec: unknown field; did you mean 'place'?"),
        ({"listen": {"prt": 1}}, "$.listen.prt: unknown field; did you mean 'port'?"),
        ({"listen": {"port": 99999}}, "$.listen.port"),
        ({"subset_size": 0}, "$.subset_size"),
        ({"name": 3}, "$.name"),
    ],
)
def test_settings_fault_names_the_field_path_and_remedy(
    change: dict[str, object], text: str, tmp_path: pathlib.Path
) -> None:
    file = tmp_path / "entry.json"
    file.write_text("// a comment\n" + json.dumps({**VALID_SETTINGS, **change}))
    fault = settings.load_settings(str(file), settings.EntrySettings)
    assert isinstance(fault, settings.SettingsFault)
    assert text in fault.text


def test_short_secret_is_rejected(tmp_path: pathlib.Path) -> None:
    file = tmp_path / "secret"
    file.write_text("short")
    fault = settings.load_secret(str(file))
    assert isinstance(fault, settings.SettingsFault)
    assert "at least 16" in fault.text
