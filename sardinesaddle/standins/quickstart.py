"""Runs the stand-ins of a small deployment as a separate process, for the quick start.

It writes a secret, a table and the settings files of an entry and of a sidecar for each
target, so that the roles can be started by hand as separate processes.
"""

import asyncio
import json
import pathlib
import secrets
import signal
import typing

import aiomisc
import msgspec

from sardinesaddle import manifest, table
from sardinesaddle.standins import configservice, deployment, hostlist, targets

DIRECTORY: typing.Final = pathlib.Path("quickstart")
TARGET_NAMES: typing.Final = ("quick-engine-0", "quick-plain-0")
SHAPE: typing.Final = deployment.Shape(
    "quick", ("here",), "sermon-text", "summaries", 1, "ledger", 1, ("alice",)
)


def write_settings(name: str, comment: str, content: dict[str, object]) -> None:
    """Write a settings file that starts with a comment."""
    text = f"// {comment}\n" + json.dumps(content, indent=2) + "\n"
    (DIRECTORY / f"{name}.json").write_text(text)


def write_files(port: int) -> table.Rows:
    """Write the secret, the table and the settings files; return the table.

    An existing secret is kept.
    """
    DIRECTORY.mkdir(exist_ok=True)
    secret_file = DIRECTORY / "secret"
    if not secret_file.exists():
        secret_file.write_text(secrets.token_hex(32))
    rows = deployment.make_rows(SHAPE)
    (DIRECTORY / "table.json").write_bytes(msgspec.json.encode(rows))
    platform = {
        "config_url": f"http://127.0.0.1:{port}",
        "hosts_url": f"http://127.0.0.1:{port + 1}",
        "reader": True,
    }
    common = {"place": "here", "secret_file": str(secret_file), "platform": platform}
    write_settings(
        "entry",
        "An entry of the quick start.",
        {
            "name": "entry-0",
            **common,
            "listen": {"port": port + 10},
            "admin": {"port": port + 11},
        },
    )
    for index, name in enumerate(TARGET_NAMES):
        write_settings(
            f"sidecar-{index}",
            f"The sidecar beside {name}.",
            {
                "target": name,
                **common,
                "target_url": f"http://127.0.0.1:{port + 2 + index}",
                "listen": {"port": port + 20 + index},
                "admin": {"port": port + 30 + index},
            },
        )
    return rows


async def serve(port: int) -> None:
    """Run the stand-ins on the ports from ``port`` on until SIGTERM or SIGINT."""
    rows = write_files(port)
    config = configservice.ConfigService()
    config.publish(rows)
    hosts = hostlist.HostList()
    for index, name in enumerate(TARGET_NAMES):
        hosts.put(name, port + 20 + index, "here")
    engine = targets.Engine(TARGET_NAMES[0])
    plain = targets.PlainService(TARGET_NAMES[1])
    servers = (config, hosts, engine, plain)
    for offset, server in enumerate(servers):
        await server.start(port + offset)
    print(
        f"stand-ins are running; settings are in {DIRECTORY}/;"
        f" {manifest.MANIFEST_NAME} is at revision 1"
    )
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await stopping.wait()
    for server in servers:
        await server.stop()


def run(port: int) -> None:
    """Run the stand-ins in a new event loop until SIGTERM or SIGINT."""
    with aiomisc.entrypoint(log_config=False, pool_size=1) as loop:
        loop.run_until_complete(serve(port))
