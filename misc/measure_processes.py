"""Measures the roles as processes: memory, idle traffic, children, extension modules.

Usage: measure_processes.py PROGRAM. The stand-ins, an entry and two sidecars run as
separate processes. Memory is read from /proc when they are idle and under 200 streams,
the processor time and the bytes of the idle roles over 20 s.
"""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import aiohttp

PORT = 19300
STREAMS = 200
STREAM_TOKENS = 400
IDLE_S = 20.0
ROLES = ("entry", "sidecar-0", "sidecar-1")
TOKEN = {"Authorization": "Bearer token-of-alice"}


def read_rss_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process, user and system, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def list_children(pid: int) -> list[str]:
    """Return the process ids of a process's children."""
    found: list[str] = []
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        found += (task / "children").read_text().split()
    return found


def count_disk_modules(pid: int) -> int:
    """Return how many extension modules are mapped from a package folder."""
    text = pathlib.Path(f"/proc/{pid}/maps").read_text()
    return sum(1 for line in text.splitlines() if "site-packages" in line)


async def wait_ready(session: aiohttp.ClientSession) -> None:
    """Wait at most 30 s until the entry answers a call."""
    for _ in range(300):
        try:
            async with session.get(
                f"http://127.0.0.1:{PORT + 10}/ledger/x", headers=TOKEN
            ) as resp:
                if resp.status == 200:
                    return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.1)
    raise SystemExit("the entry did not become ready within 30 s")


async def read_bytes(session: aiohttp.ClientSession, port: int) -> int:
    """Return the bytes that a role sent and received on its links."""
    async with session.get(f"http://127.0.0.1:{port}/status") as resp:
        page = await resp.json()
    total: int = page["bytes_in"] + page["bytes_out"]
    return total


async def run_stream(session: aiohttp.ClientSession, number: int) -> None:
    """Read one long stream to its end; exit if it is cut off."""
    body = {
        "model": "sermon-text",
        "messages": [{"role": "user", "content": str(number)}],
        "max_tokens": STREAM_TOKENS,
        "stream": True,
    }
    url = f"http://127.0.0.1:{PORT + 10}/v1/chat/completions"
    async with session.post(url, headers=TOKEN, data=json.dumps(body)) as resp:
        data = await resp.read()
    if not data.endswith(b"[DONE]\n\n"):
        raise SystemExit(f"stream {number} was cut off: {data[-200:]!r}")


async def measure(pids: dict[str, int]) -> dict[str, object]:
    """Measure the roles when idle and under load; ``pids`` has process ids by role."""
    result: dict[str, object] = {}
    connector = aiohttp.TCPConnector(limit=STREAMS + 8)
    ports = {"entry": PORT + 11, "sidecar-0": PORT + 30, "sidecar-1": PORT + 31}
    async with aiohttp.ClientSession(connector=connector) as session:
        await wait_ready(session)
        await asyncio.sleep(2)
        cpu_before_s = {name: read_cpu_s(pid) for name, pid in pids.items()}
        bytes_before = {name: await read_bytes(session, ports[name]) for name in pids}
        started_at = time.monotonic()
        await asyncio.sleep(IDLE_S)
        idle_s = time.monotonic() - started_at
        for name, pid in pids.items():
            count = await read_bytes(session, ports[name]) - bytes_before[name]
            result[f"idle_bytes_per_s_{name}"] = round(count / idle_s, 1)
            share = 100 * (read_cpu_s(pid) - cpu_before_s[name]) / idle_s
            result[f"idle_percent_of_core_{name}"] = round(share, 2)
            result[f"idle_mb_{name}"] = round(read_rss_mb(pid), 1)
        cpu_before_s = {name: read_cpu_s(pid) for name, pid in pids.items()}
        streams = [asyncio.create_task(run_stream(session, n)) for n in range(STREAMS)]
        await asyncio.sleep(1.5)
        for name, pid in pids.items():
            result[f"streams_mb_{name}"] = round(read_rss_mb(pid), 1)
        await asyncio.gather(*streams)
        for name, pid in pids.items():
            spent_us = 1e6 * (read_cpu_s(pid) - cpu_before_s[name])
            per_token = spent_us / (STREAMS * STREAM_TOKENS)
            result[f"us_per_token_{name}"] = round(per_token, 1)
    for name, pid in pids.items():
        result[f"children_{name}"] = len(list_children(pid))
        result[f"modules_from_disk_{name}"] = count_disk_modules(pid)
    return result


def raise_slots(folder: pathlib.Path) -> None:
    """Let the engine's sidecar run all streams at the same time."""
    path = folder / "quickstart" / "sidecar-0.json"
    comment, _, text = path.read_text().partition("\n")
    settings = json.loads(text)
    settings["slots"] = STREAMS
    path.write_text(comment + "\n" + json.dumps(settings))


def main() -> int:
    """Start the processes, measure them, drain them; print one JSON line."""
    program = [sys.executable, "-S", "-I", str(pathlib.Path(sys.argv[1]).resolve())]
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch)
        procs = [
            subprocess.Popen(
                [*program, "standins", str(PORT)],
                cwd=scratch,
                stdout=subprocess.DEVNULL,
            )
        ]
        try:
            while not (folder / "quickstart" / "sidecar-1.json").exists():
                time.sleep(0.1)
            time.sleep(0.5)
            raise_slots(folder)
            roles = {}
            for name in ROLES:
                role = name.partition("-")[0]
                roles[name] = subprocess.Popen(
                    [*program, role, f"quickstart/{name}.json"],
                    cwd=scratch,
                    stderr=subprocess.DEVNULL,
                )
            procs += roles.values()
            result = asyncio.run(measure({n: p.pid for n, p in roles.items()}))
            for proc in roles.values():
                proc.send_signal(signal.SIGTERM)
            for name, proc in roles.items():
                result[f"exit_status_{name}"] = proc.wait(timeout=30)
        finally:
            for proc in procs:
                proc.kill()
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
