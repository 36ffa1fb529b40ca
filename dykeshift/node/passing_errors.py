"""Failures of system calls that may be over a moment later, as the manual pages of Linux describe them."""

from __future__ import annotations

import errno

START_RETRY_TIMEOUT_S = 5.0  # a start has to be ready within 10 s
START_RETRY_INTERVAL_S = 0.05  # seconds between two such tries

# Shortages of the process or the machine, and addresses or devices that are not free for a moment.
TRANSIENT_ERRORS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.EIO,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)


def is_transient(error: OSError) -> bool:
    """Whether the same call may do a moment later."""
    return error.errno in TRANSIENT_ERRORS
