"""Tests of the ports that tests listen on."""

import socket

from test import freeports

HOSTS = ("127.0.1.1", "127.0.1.3")


def test_parallel_runs_never_get_the_same_port_even_at_different_addresses() -> None:
    blocks = [freeports.PortBlock() for _ in range(3)]
    ports = [
        block.find_free_port(host)
        for block in blocks
        for _ in range(freeports.BLOCK_SIZE // 2 - 1)
        for host in HOSTS
    ]
    for block in blocks:
        block.close()
    assert len(set(ports)) == len(ports)


def test_port_that_is_listened_on_is_passed_over() -> None:
    block = freeports.PortBlock()
    port = block.find_free_port(HOSTS[0])
    with socket.socket() as sock:
        # A connection of an earlier test run may linger at this port.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOSTS[0], port + 1))
        sock.listen()
        assert block.find_free_port(HOSTS[0]) == port + 2
    block.close()
