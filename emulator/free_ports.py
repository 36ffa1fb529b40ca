"""Ports that are free on every loopback address at the time of the call."""

from __future__ import annotations

import socket
from contextlib import ExitStack


def find_free_ports(count: int) -> tuple[int, ...]:
    """Ports for one run, each different from the others."""
    with ExitStack() as stack:
        return tuple(_bind_any(stack) for _ in range(count))


def _bind_any(stack: ExitStack) -> int:
    probe = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    probe.bind(("0.0.0.0", 0))  # free here: free on each address; nothing listens on it
    port: int = probe.getsockname()[1]
    return port


def reserve_port() -> socket.socket:
    """A socket that keeps a port of 127.0.0.1 for a server that comes and goes, until it is closed.

    While nobody listens there the system would else give the port to some outgoing connection. The server
    has to bind it with SO_REUSEADDR.
    """
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation
