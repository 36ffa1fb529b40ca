"""Ports that are free on every loopback address at the time of the call."""

from __future__ import annotations

import socket
from contextlib import ExitStack


def free_ports(count: int) -> tuple[int, ...]:
    """Ports for one run, each different from the others."""
    with ExitStack() as stack:
        return tuple(_bind_any(stack) for _ in range(count))


def _bind_any(stack: ExitStack) -> int:
    probe = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    probe.bind(("0.0.0.0", 0))  # free here: free on each address; nothing listens on it
    port: int = probe.getsockname()[1]
    return port
