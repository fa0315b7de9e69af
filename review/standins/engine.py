"""An engine stand-in as a process of its own, so that a case can kill it.

``engine.py NAME SERVICE HOST`` prints its port and then what it does. Its streams have
neither a length nor chunks and end with their connection.
"""

import asyncio
import sys
import time

import fleet as fl


class PrintedRecord:
    """A record that is written to standard output."""

    def now(self):
        """Return the seconds of the steady clock, the same for all processes."""
        return time.monotonic()

    def write(self, text):
        """Write a line."""
        print(text, flush=True)


async def main():
    """Serve until the process is killed."""
    name, service, host = sys.argv[1:]
    engine = fl.Engine(name, service, PrintedRecord())
    engine.is_unframed, engine.events, engine.gap_s = True, 20, 0.2
    await engine.listen(host, 0)
    print(f"port {engine.port}", flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
