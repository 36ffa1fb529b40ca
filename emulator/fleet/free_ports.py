"""Ports that are free on every loopback address at the time of the call."""

from __future__ import annotations

import socket
from contextlib import ExitStack

from emulator.fleet.contract import AddressPlan


def _bind_any(stack: ExitStack) -> int:
    listener = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    listener.bind(("0.0.0.0", 0))  # free here: free on each address; nothing listens on it
    port: int = listener.getsockname()[1]
    return port


def choose_addresses(shards: int) -> AddressPlan:
    """Ports for one run, each different from the others."""
    with ExitStack() as stack:
        return AddressPlan(
            server_port=_bind_any(stack),
            agent_port=_bind_any(stack),
            balancer_port=_bind_any(stack),
            shard_ports=tuple(_bind_any(stack) for _ in range(shards)),
        )
