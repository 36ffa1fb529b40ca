"""Transient errors of system calls, as the Linux manual pages describe them."""

from __future__ import annotations

import errno

START_RETRY_TIMEOUT_S = 5.0  # a starting balancer has to be ready within 10 s
START_RETRY_INTERVAL_S = 0.05

# Resource shortages of the process or the machine, and addresses or devices that are temporarily in use.
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
    """Whether the same call may succeed a moment later."""
    return error.errno in TRANSIENT_ERRORS
