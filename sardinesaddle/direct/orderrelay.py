"""Passes orders of a group's leader on to the sidecars of other ranks.

A prepare order holds the whole map, and the link of the leader's host would carry it
once for each rank. In a large group the leader therefore sends it to some ranks only,
which pass it on to the ranks that it names. A relay responds at once, without waiting
for the others: the leader reads from each rank itself whether it is prepared, and sends
the order again, through other relays, if it is not. An order that a relay delays is
like one that an engine executes late.
"""

import asyncio
import collections.abc
import math
import typing

from sardinesaddle.direct import messages

# Groups of up to this size have no relays.
MAX_DIRECT_RANKS: typing.Final = 16

Call = collections.abc.Callable[
    [str, messages.Request], collections.abc.Awaitable[messages.Reply | None]
]
"""Calls the sidecar at a host; returns None if that fails."""


class OrderRelay:
    """Passes on the orders that one sidecar got with the hosts of other ranks."""

    def __init__(self, call: Call) -> None:
        self._call = call
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, order: messages.OrderRank) -> None:
        """Start to pass an order on to the hosts that it names."""
        for host in order.relay_hosts:
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._pass_on(host, order))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pass_on(self, host: str, order: messages.OrderRank) -> None:
        """Send an order to one host; a lost one is for the leader to find."""
        await self._call(
            host,
            messages.OrderRank(
                order.kind, order.epoch, order.version, order.step, order.experts
            ),
        )

    def close(self) -> None:
        """Cancel what was not passed on yet."""
        for task in self._tasks:
            task.cancel()


def split_among_relays(hosts: list[str]) -> list[tuple[str, list[str]]]:
    """Return relays, each with the hosts that it passes an order on to.

    With n hosts a relay and the leader both send about the square root of n orders.
    """
    if len(hosts) <= MAX_DIRECT_RANKS:
        return [(host, []) for host in hosts]
    part_size = math.isqrt(len(hosts))
    parts = [hosts[at : at + part_size] for at in range(0, len(hosts), part_size)]
    return [(part[0], part[1:]) for part in parts]
