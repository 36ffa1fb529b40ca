"""What the operating system tells about a connection's socket, and does with it, beyond the event loop."""

from __future__ import annotations

import errno
import select
import socket
from typing import Protocol


class HasDescriptor(Protocol):
    """A socket, or an event loop's stand-in for it."""

    def fileno(self) -> int:
        """The file descriptor."""


class TcpSocket(Protocol):
    """A TCP socket, or an event loop's stand-in for it."""

    def setsockopt(self, level: int, option: int, value: int, /) -> None:
        """Set an option; raises OSError if the system refuses it."""


def has_input(connection: HasDescriptor) -> bool:
    """Whether input has arrived that the event loop has not read: bytes, a close, or a pending connection."""
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLIN | select.POLLRDHUP)
    return bool(poll.poll(0))


def has_peer_closed(connection: HasDescriptor) -> bool:
    """Whether the peer has closed, at least its sending side, even if earlier bytes are still unread."""
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def acknowledge_received_bytes(connection: TcpSocket) -> None:
    """Acknowledge all bytes received so far now; by itself, the system may do so up to 40 ms later.

    A peer without TCP_NODELAY holds further small writes back until then (tcp(7), TCP_QUICKACK; RFC 896).
    A system that does not offer the option is left to acknowledge by itself. Raises OSError if the system
    offers it and it could not be set.
    """
    try:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)
    except OSError as error:
        if error.errno != errno.ENOPROTOOPT:
            raise
