"""A test fleet whose entries are processes, started as the deploy file starts them.

The store and the scripted targets run in the test's process, on the real clock.
``run_scenario`` is the entry point for tests.
"""

import asyncio
import collections.abc
import contextlib
import os
import pathlib
import signal
import typing

from test import directfleet as df
from test import freeports, soak

START_TIMEOUT_S: typing.Final = 30.0
TICKS_PER_S: typing.Final = os.sysconf("SC_CLK_TCK")
Scenario = collections.abc.Callable[
    ["ProcessFleet"], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


class ProcessFleet(df.Fleet):
    """A store, targets, and entries as processes; entry N listens on 127.0.6.1N."""

    def __init__(
        self,
        directory: pathlib.Path,
        serve_store: type[soak.StoreServer] = soak.StoreServer,
    ) -> None:
        self.store = df.MemoryStore()
        self.ports = []
        self.targets = {}
        self.processes: list[soak.NodeProcess] = []
        self._directory = directory
        self._store_address = ""
        self.store_server = serve_store(self.store)

    async def start(self, entry_count: int, **settings: object) -> None:
        """Start the store and the entries; ``settings`` are other fields of theirs."""
        store_port = await self.store_server.start()
        ports = [
            freeports.find_free_port(soak.STORE_HOST)
            for _ in range(2 * entry_count + 1)
        ]
        self.ports = ports[:entry_count]
        self.node_port = ports[-1]
        self._store_address = f"{soak.STORE_HOST}:{store_port}"
        for index in range(entry_count):
            host = make_host(index)
            cfg: dict[str, object] = {
                "name": f"e{index}",
                "host": host,
                "place": "p",
                "store": self._store_address,
                "front": f"{host}:{ports[index]}",
                "ready": f"{host}:{ports[entry_count + index]}",
                "node_ports": [ports[-1], ports[-1]],
                "seeds": [f"{make_host(0)}:1"],
                "is_first_start": True,
            }
            process = soak.NodeProcess("entry", index, self._directory, cfg | settings)
            process.start()
            self.processes.append(process)
        for index in range(entry_count):
            await self.wait_until_configured(index)

    def start_sidecar(self, index: int, engine_name: str) -> soak.NodeProcess:
        """Start the sidecar of a model engine, on 127.0.6.2N."""
        host = f"127.0.6.{20 + index}"
        cfg: dict[str, object] = {
            "name": f"s{index}",
            "host": host,
            "place": "p",
            "store": self._store_address,
            "node_ports": [self.node_port, self.node_port],
            "seeds": [f"{make_host(0)}:1"],
            "target": f"127.0.0.1:{self.targets[engine_name].port}",
            "service": "engines",
        }
        process = soak.NodeProcess("sidecar", index, self._directory, cfg)
        process.start()
        self.processes.append(process)
        return process

    async def wait_until_configured(self, index: int) -> None:
        """Wait until an entry responds with the status of an unknown route."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    response = await self.send_request("/none/", index)
                    if response.status == 404:
                        return
                await asyncio.sleep(0.05)

    async def restart(self, index: int) -> None:
        """Kill an entry and start it again; wait until it is configured."""
        await self.processes[index].kill_and_wait()
        self.processes[index].start()
        await self.wait_until_configured(index)

    async def connect(self, entry_index: int = 0) -> df.ClientConnection:
        """Open a TCP connection to an entry's front port."""
        return await asyncio.open_connection(
            make_host(entry_index), self.ports[entry_index]
        )

    def stop_gracefully(self, index: int) -> None:
        """Send SIGTERM to an entry."""
        self.processes[index].is_exit_expected = True
        self.processes[index].signal_if_running(signal.SIGTERM)

    def read_log(self, index: int, role: str = "entry") -> str:
        """Return what an entry, or a sidecar, has logged."""
        return (self._directory / f"{role}-{index}.log").read_text(errors="replace")

    async def stop(self) -> None:
        """End the processes, then the store and the targets."""
        for process in self.processes:
            await process.kill_and_wait()
        await self.store_server.stop()
        for target in self.targets.values():
            await target.stop()


def make_host(index: int) -> str:
    """Return the address of an entry."""
    return f"127.0.6.{10 + index}"


def read_processor_seconds(process: soak.NodeProcess) -> float:
    """Return the processor time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def run_scenario(
    directory: pathlib.Path,
    scenario: Scenario,
    entry_count: int = 1,
    serve_store: type[soak.StoreServer] = soak.StoreServer,
    **settings: object,
) -> None:
    """Run a scenario on a new fleet, after the entries loaded configuration 1."""

    async def run() -> None:
        fleet = ProcessFleet(directory, serve_store)
        fleet.store.put("op/config", df.make_config())
        try:
            await fleet.start(entry_count, **settings)
            await scenario(fleet)
        finally:
            await fleet.stop()

    asyncio.run(run())
