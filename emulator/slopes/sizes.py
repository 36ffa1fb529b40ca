"""The sizes that are varied: the axes, the base that the others are held at, and the target."""

from __future__ import annotations

from enum import Enum

import msgspec


class Scale(msgspec.Struct, frozen=True):
    """The size of one deployment, as one balancer of it meets it.

    `services` are the request classes of the settings object: the program has no routing between services,
    the whole fleet of servers is one pool for all of them.
    """

    servers: int
    tenants: int
    services: int  # request classes
    balancers: int
    changes: int  # changed entries of the server list a day
    requests: int  # a second, at one balancer

    def __str__(self) -> str:
        """The sizes in words."""
        return (
            f"{self.servers:,} servers, {self.tenants:,} tenants, {self.services} services, "
            f"{self.balancers} balancers, {self.changes} changes a day, {self.requests} requests a second"
        )


BASE = Scale(servers=100, tenants=100, services=10, balancers=42, changes=39, requests=62)
TARGET = Scale(servers=6_400, tenants=15_000, services=110, balancers=420, changes=390, requests=62)
SMALL_DEPLOYMENT = Scale(servers=10, tenants=9, services=3, balancers=2, changes=39, requests=62)


class Axis(Enum):
    """What is varied; `FLEET` grows servers and tenants together, with all others at the target."""

    SERVERS = "servers"
    TENANTS = "tenants"
    SERVICES = "services"
    BALANCERS = "balancers"
    CHANGES = "changes"
    REQUESTS = "requests"
    FLEET = "fleet"


class Point(msgspec.Struct, frozen=True):
    """One measured size on an axis."""

    size: int
    scale: Scale


AXIS_DESCRIPTIONS = {
    Axis.SERVERS: "servers in discovery's list",
    Axis.TENANTS: "tenants in the settings",
    Axis.SERVICES: "request classes in the settings (one pool of servers serves all of them)",
    Axis.BALANCERS: "balancers in the settings",
    Axis.CHANGES: "changed entries of the server list a day",
    Axis.REQUESTS: "requests a second at one balancer",
    Axis.FLEET: "servers, with tenants growing alike and all else at the target",
}
_SIZES = {
    Axis.SERVERS: (100, 400, 1_000, 2_500, 6_400),
    Axis.TENANTS: (100, 400, 1_500, 5_000, 15_000),
    Axis.SERVICES: (10, 20, 40, 70, 110),
    Axis.BALANCERS: (10, 42, 100, 200, 420),
    Axis.CHANGES: (39, 90, 160, 260, 390),
    Axis.REQUESTS: (8, 16, 31, 45, 62),
}
_FLEET_TENANTS = dict(zip(_SIZES[Axis.SERVERS], _SIZES[Axis.TENANTS], strict=True))


def axis_points(axis: Axis, quick: bool = False) -> tuple[Point, ...]:
    """The sizes measured on an axis, ascending; `quick` takes the first, the middle and the last."""
    if axis is Axis.FLEET:
        points = tuple(
            Point(servers, msgspec.structs.replace(TARGET, servers=servers, tenants=tenants))
            for servers, tenants in _FLEET_TENANTS.items()
        )
    else:
        points = tuple(
            Point(size, msgspec.structs.replace(BASE, **{axis.value: size})) for size in _SIZES[axis]
        )
    return (points[0], points[len(points) // 2], points[-1]) if quick else points
