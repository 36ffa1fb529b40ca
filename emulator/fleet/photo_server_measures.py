"""Measures of a process that hosts photo servers, for each second and for the whole run."""

from __future__ import annotations

from typing import Any

import msgspec


class FallMeasure(msgspec.Struct, frozen=True):
    """A cold server that crashed by overload."""

    server: int
    at_s: float
    balancers: int  # that sent attempts to it within the window
    attempts: int  # within the window
    budget: float  # requests of mean work that it could have taken in the window


class AttemptCounts(msgspec.Struct):
    """Attempts by outcome, and the work of the servers.

    An attempt that has ended is counted in one of `ok`, `full`, `connect_failed`, `reset`, `cancelled` and
    `lost`.
    """

    attempts: int = 0  # received
    ok: int = 0
    full: int = 0
    connect_failed: int = 0
    reset: int = 0
    cancelled: int = 0  # by the balancer, or timed out there
    lost: int = 0  # without a result, as the server's machine is lost or the server is in a split-off region
    after_drain_told: int = 0  # sent more than a grace period after the balancer was informed of a drain
    work_s: float = 0.0  # finished, on a core of speed 1
    wasted_work_s: float = 0.0  # part of it, for attempts that were cancelled or timed out
    dropped: int = 0  # cancelled or timed out before they reached a core
    http: int = 0  # received over HTTP


class PhotoServersSecond(msgspec.Struct, frozen=True, tag=True):
    """One second of one process."""

    index: int
    at_s: float
    counts: AttemptCounts
    queued: int
    busy_cores: int
    cores: int  # of the servers that are up
    servers_up: int
    connections: int
    most_connections: int  # at one server, since the start of the run
    falls: tuple[FallMeasure, ...]
    late_ms: float  # maximal delay with which the process ran its own deadlines


class PhotoServersTotal(msgspec.Struct, frozen=True, tag=True):
    """The whole run of one process; fields as in `PhotoServersSecond`."""

    index: int
    at_s: float
    counts: AttemptCounts
    most_connections: int
    falls: tuple[FallMeasure, ...]
    late_ms: float


def difference(now: AttemptCounts, before: AttemptCounts) -> AttemptCounts:
    """Counts of `now` less those of `before`."""
    fields: dict[str, Any] = {
        name: getattr(now, name) - getattr(before, name) for name in AttemptCounts.__struct_fields__
    }
    return AttemptCounts(**fields)
