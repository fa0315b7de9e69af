"""TCP ports for tests, which parallel runs on one machine never give out twice.

A port that was free when it was looked for may be taken by another test process before
it is used, most of all by a test that listens on the same port at several addresses. So
each process reserves a block of ports, by holding a socket bound to the block's first
port, and gives out the others in turn. The blocks lie below the ports that the kernel
chooses for outgoing connections.
"""

import socket
import typing

RESERVATION_HOST: typing.Final = "127.0.0.1"
FIRST_PORT: typing.Final = 12_000
END_PORT: typing.Final = 32_000
BLOCK_SIZE: typing.Final = 250
"""A test may use so many ports at a time; the soak with 60 entries needs 122."""


class NoFreePortError(Exception):
    """All blocks are reserved, or no port of a block is free; end other test runs."""


class PortBlock:
    """A block of ports that no other block holds, on this machine, while it exists."""

    def __init__(self) -> None:
        for first in range(FIRST_PORT, END_PORT, BLOCK_SIZE):
            reservation = socket.socket()
            try:
                reservation.bind((RESERVATION_HOST, first))
            except OSError:
                reservation.close()
                continue
            self._reservation = reservation
            self._ports = range(first + 1, first + BLOCK_SIZE)
            self._given_count = 0
            return
        raise NoFreePortError("every block of ports is reserved; end other test runs")

    def find_free_port(self, host: str) -> int:
        """Return the next port on which nothing listens at an address."""
        for _ in self._ports:
            port = self._ports[self._given_count % len(self._ports)]
            self._given_count += 1
            with socket.socket() as sock:
                # As servers do, so that a port is free though old connections linger.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    sock.bind((host, port))
                except OSError:
                    continue
            return port
        raise NoFreePortError(f"no port of the block is free on {host}; close servers")

    def close(self) -> None:
        """Leave the block to other processes."""
        self._reservation.close()


_blocks: typing.Final[list[PortBlock]] = []


def find_free_port(host: str) -> int:
    """Return a port that is free on an address and that no parallel run gives out."""
    if not _blocks:
        _blocks.append(PortBlock())
    return _blocks[0].find_free_port(host)


def find_free_ports(host: str, count: int) -> int:
    """Return the first of so many free ports with successive numbers."""
    found = [find_free_port(host)]
    while len(found) < count:
        port = find_free_port(host)
        if port != found[-1] + 1:
            found.clear()
        found.append(port)
    return found[0]
