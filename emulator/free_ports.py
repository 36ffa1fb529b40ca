"""Finds or reserves ports that are free on all loopback addresses at the time of the call."""

from __future__ import annotations

import socket
from contextlib import ExitStack


def find_free_ports(count: int) -> tuple[int, ...]:
    """Return `count` different ports that are free now; another process may take them afterwards."""
    with ExitStack() as stack:
        return tuple(_bind_any(stack) for _ in range(count))


def _bind_any(stack: ExitStack) -> int:
    probe = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    probe.bind(("0.0.0.0", 0))  # free on all addresses of the machine; nothing listens on the socket
    port: int = probe.getsockname()[1]
    return port


def reserve_port() -> socket.socket:
    """Return a socket that reserves a free port of 127.0.0.1 until it is closed, for a server that restarts.

    Without the reservation the kernel may give the port to an outgoing connection while no server listens
    on it. The server has to bind the port with SO_REUSEADDR.
    """
    reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation
