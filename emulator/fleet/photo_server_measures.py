"""What a process that hosts photo servers reports each second, and over the whole run."""

from __future__ import annotations

from typing import Any

import msgspec


class FallMeasure(msgspec.Struct, frozen=True):
    """A cold server that was pushed over."""

    server: int
    at_s: float
    balancers: int  # that sent to it within the window
    attempts: int  # within the window
    budget: float  # requests of mean work that it would have borne


class AttemptCounts(msgspec.Struct):
    """Attempts by how they ended; each attempt is in one count once it has ended."""

    attempts: int = 0  # that came in
    ok: int = 0
    full: int = 0
    connect_failed: int = 0
    reset: int = 0
    cancelled: int = 0  # given up by the balancer, by a cancel or a time-out
    lost: int = 0  # on the way to a server that is silent or cut off; never answered
    after_drain_told: int = 0  # sent although the balancer had been told of a drain, a grace ago
    work_s: float = 0.0  # done, on a core of speed 1
    wasted_work_s: float = 0.0  # part of it that nobody waited for
    dropped: int = 0  # cancelled or expired in a queue
    http: int = 0  # attempts that came over HTTP


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
    most_connections: int  # at one server, ever
    falls: tuple[FallMeasure, ...]
    late_ms: float  # how late the process was with its own deadlines at the worst


class PhotoServersTotal(msgspec.Struct, frozen=True, tag=True):
    """The whole run of one process."""

    index: int
    at_s: float
    counts: AttemptCounts
    most_connections: int
    falls: tuple[FallMeasure, ...]
    late_ms: float


def difference(now: AttemptCounts, before: AttemptCounts) -> AttemptCounts:
    """What has been counted in between."""
    fields: dict[str, Any] = {
        name: getattr(now, name) - getattr(before, name) for name in AttemptCounts.__struct_fields__
    }
    return AttemptCounts(**fields)
