"""Runs an entry or a sidecar of the direct path with its settings.

``python3 -m sardinesaddle.direct ROLE`` reads the settings file that the platform
names in an environment variable; ``sardinesaddle node ROLE FILE`` reads any file.
SIGTERM drains the process. Only the modules of the role that runs are imported, since
every import costs memory in each process.
"""

import asyncio
import importlib
import os
import signal
import sys
import time
import types
import typing

import loguru
import uvloop

from sardinesaddle import settings
from sardinesaddle.direct import (
    listening,
    nodelog,
    noderole,
    nodesettings,
    statusserver,
    supervision,
)

SETTINGS_VARIABLE: typing.Final = "SARDINESADDLE_BOOT"
EXIT_USAGE: typing.Final = 2
SETTINGS_POLL_S: typing.Final = 2.0  # the file may change without SIGHUP


class StopSignal:
    """Tells that a signal asked the process to stop, and how long ago.

    The loop gets to a signal after the callbacks of its present turn, which take some
    tenths of a second in a burst of requests. Python notes it between two instructions.
    """

    def __init__(self) -> None:
        self._event = asyncio.Event()
        self._noted_at: float | None = None  # of time.monotonic

    def listen(self, loop: asyncio.AbstractEventLoop, number: signal.Signals) -> None:
        """Handle a signal; the first one counts."""
        loop.add_signal_handler(number, self._event.set)
        # The loop is woken up as before; its own handler does nothing.
        signal.signal(number, self._note)
        signal.siginterrupt(number, False)

    def _note(self, number: int, frame: types.FrameType | None) -> None:
        """Note the time, amid any other code."""
        if self._noted_at is None:
            self._noted_at = time.monotonic()

    async def wait(self) -> float:
        """Wait for a signal; return the seconds since it came."""
        await self._event.wait()
        return 0.0 if self._noted_at is None else time.monotonic() - self._noted_at


def make_role(name: str) -> noderole.Role | settings.SettingsFault:
    """Return the role of a name; its module is imported only now."""
    if name == "entry":
        role_class = importlib.import_module("sardinesaddle.direct.entryrole").EntryRole
    elif name == "sidecar":
        module = importlib.import_module("sardinesaddle.direct.sidecarrole")
        role_class = module.SidecarRole
    else:
        return settings.SettingsFault(
            f"role {name!r} does not exist; use entry or sidecar"
        )
    role: noderole.Role = role_class()
    return role


async def watch_settings(
    role: noderole.Role,
    path: str,
    reload_requested: asyncio.Event,
    loaded_data: bytes,
) -> None:
    """Apply changes of the settings file at SIGHUP, or when polling finds them."""
    last_data = loaded_data
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_S):
                await reload_requested.wait()
            reload_requested.clear()
            loguru.logger.info("event=sighup")
        except TimeoutError:
            pass
        data = read_bytes(path)
        if data != last_data:
            last_data = data
            reload_settings(role, path)


def reload_settings(role: noderole.Role, path: str) -> None:
    """Read the settings and apply them; invalid ones are logged and ignored."""
    cfg = role.load_settings(path)
    if isinstance(cfg, settings.SettingsFault):
        loguru.logger.error("event=settings_refused reason={!r}", cfg.text)
        return
    role.reload()
    loguru.logger.info("event=settings_reloaded seeds={}", ",".join(cfg.seeds))


def read_bytes(path: str) -> bytes:
    """Return a file's content; log an error and return b"" if it cannot be read."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as exc:
        loguru.logger.warning("event=settings_unreadable reason={!r}", str(exc))
        return b""


async def run(
    role_name: str,
    role: noderole.Role,
    path: str,
    cfg: nodesettings.NodeSettings,
    loaded_data: bytes,
) -> str:
    """Run a role until SIGTERM; return why it cannot start, or an empty string.

    ``loaded_data`` is the content of the settings file.
    """
    loop = asyncio.get_running_loop()
    sink = nodelog.start_logging(role_name, cfg.log_lines_per_s)
    sink.attach(loop)
    loop.set_exception_handler(supervision.log_unhandled)
    stop_signal, reload_requested = StopSignal(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        stop_signal.listen(loop, number)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    wired = role.build()
    loguru.logger.info("event=start name={} place={}", cfg.name, cfg.place)
    status_server = statusserver.StatusServer(wired.node, wired.metrics, sink)
    try:
        await wired.node.start()
        if wired.ready:
            host, port = nodesettings.split_address(wired.ready)
            with listening.name_setting("ready", host, port):
                await status_server.listen(host, port)
        if cfg.metrics_port:
            with listening.name_setting("metrics_port", cfg.host, cfg.metrics_port):
                await status_server.listen(cfg.host, cfg.metrics_port)
    except listening.ListenError as exc:
        loguru.logger.error("event=listen_failed reason={!r}", str(exc))
        sink.flush()
        return str(exc)
    watcher = loop.create_task(
        supervision.run_restarting(
            "settings",
            lambda: watch_settings(role, path, reload_requested, loaded_data),
        )
    )
    late_s = await stop_signal.wait()
    loguru.logger.info("event=sigterm late_ms={:.0f}", late_s * 1000)
    await wired.node.drain(late_s)
    watcher.cancel()
    await status_server.stop()
    await wired.close_clients()
    loguru.logger.info("event=end")
    sink.flush()
    return ""


def check_settings(role_name: str, path: str) -> settings.SettingsFault | None:
    """Return what is wrong with the settings file of a role."""
    role = make_role(role_name)
    if isinstance(role, settings.SettingsFault):
        return role
    cfg = role.load_settings(path)
    return cfg if isinstance(cfg, settings.SettingsFault) else None


def run_role(role_name: str, path: str) -> str:
    """Run a role until SIGTERM; return why its settings are of no use, or ""."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    loaded_data = read_bytes(path)
    role = make_role(role_name)
    if isinstance(role, settings.SettingsFault):
        return role.text
    cfg = role.load_settings(path)
    if isinstance(cfg, settings.SettingsFault):
        return cfg.text
    return uvloop.run(run(role_name, role, path, cfg, loaded_data))


def main() -> None:
    """Run the role on the command line with the settings file of the platform."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    fault = "usage: python3 -m sardinesaddle.direct ROLE"
    if len(sys.argv) == 2:
        fault = f"set {SETTINGS_VARIABLE} to the path of a settings file"
        if path:
            fault = run_role(sys.argv[1], path)
    if fault:
        sys.stderr.write(f"sardinesaddle: {fault}\n")
        sys.exit(EXIT_USAGE)
