"""Sizes of the measured deployments.

One size is varied along each axis, up to the target, while all others stay at the base.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class Scale(msgspec.Struct, frozen=True):
    """The size of a deployment, with the request rate of one of its balancers.

    `services` is the number of request classes in the settings. The balancer does not route between services:
    all servers of the fleet are one pool for all classes.
    """

    servers: int
    tenants: int
    services: int
    balancers: int
    changes: int  # changed entries of the server list per day
    requests: int  # per second, at one balancer

    def __str__(self) -> str:
        """Return the sizes as one line of text."""
        return (
            f"{self.servers:,} servers, {self.tenants:,} tenants, {self.services} services, "
            f"{self.balancers} balancers, {self.changes} changes per day, {self.requests} requests per second"
        )


BASE = Scale(servers=100, tenants=100, services=10, balancers=42, changes=39, requests=62)
TARGET = Scale(servers=6_400, tenants=15_000, services=110, balancers=420, changes=390, requests=62)
SMALL_DEPLOYMENT = Scale(servers=10, tenants=9, services=3, balancers=2, changes=39, requests=62)


class Axis(Enum):
    """The size that is varied; `FLEET` varies servers and tenants, with all other sizes at the target."""

    SERVERS = "servers"
    TENANTS = "tenants"
    SERVICES = "services"
    BALANCERS = "balancers"
    CHANGES = "changes"
    REQUESTS = "requests"
    FLEET = "fleet"


class Point(msgspec.Struct, frozen=True):
    """One measured size on an axis, and the deployment measured for it."""

    size: int
    scale: Scale


AXIS_DESCRIPTIONS = {
    Axis.SERVERS: "servers in the list of discovery",
    Axis.TENANTS: "tenants in the settings",
    Axis.SERVICES: "request classes in the settings (one pool of servers serves all of them)",
    Axis.BALANCERS: "balancers in the settings",
    Axis.CHANGES: "changed entries of the server list per day",
    Axis.REQUESTS: "requests per second at one balancer",
    Axis.FLEET: "servers, with tenants growing along and all other sizes at the target",
}
_SIZES = {
    Axis.SERVERS: (100, 400, 1_000, 2_500, 6_400),
    Axis.TENANTS: (100, 400, 1_500, 5_000, 15_000),
    Axis.SERVICES: (10, 20, 40, 70, 110),
    Axis.BALANCERS: (10, 42, 100, 200, 420),
    Axis.CHANGES: (39, 90, 160, 260, 390),
    Axis.REQUESTS: (8, 16, 31, 45, 62),
}
_TENANTS_BY_SERVERS = dict(zip(_SIZES[Axis.SERVERS], _SIZES[Axis.TENANTS], strict=True))


def axis_points(axis: Axis, quick: bool = False) -> tuple[Point, ...]:
    """Return the points measured on an axis, ascending; with `quick` the first, the middle and the last."""
    if axis is Axis.FLEET:
        points = tuple(
            Point(servers, msgspec.structs.replace(TARGET, servers=servers, tenants=tenants))
            for servers, tenants in _TENANTS_BY_SERVERS.items()
        )
    else:
        points = tuple(
            Point(size, msgspec.structs.replace(BASE, **{axis.value: size})) for size in _SIZES[axis]
        )
    return (points[0], points[len(points) // 2], points[-1]) if quick else points
