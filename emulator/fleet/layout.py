"""The place of each server and balancer: pure functions of scenario and seed, equal in every process."""

from __future__ import annotations

from dataclasses import dataclass

import numpy

from emulator.fleet.apportion import apportion, interleave
from emulator.fleet.scenario import Scenario, Zone

SPEED_STREAM = 1  # random stream of the cores' speeds, separate from other streams with the same seed
S_PER_MS = 1e-3


@dataclass(frozen=True, slots=True)
class ServerPlace:
    """The properties of one photo server that do not change during a run."""

    number: int
    zone: int
    region: int
    rack: int  # numbered over all zones
    cell: int  # numbered over all zones
    kind: int
    cores: int
    speed: float  # of one core, without slowdowns


@dataclass(frozen=True, slots=True)
class Layout:
    """The places of all members, the shares of the tenants and the network delays."""

    zone_names: tuple[str, ...]
    region_names: tuple[str, ...]
    region_of_zone: tuple[int, ...]
    servers: tuple[ServerPlace, ...]
    balancer_zones: tuple[int, ...]
    tenant_shares: tuple[float, ...]
    delays_s: tuple[tuple[float, ...], ...]  # one way, from zone to zone

    def servers_in_zone(self, zone: int) -> list[int]:
        """Numbers of the servers of a zone."""
        return [place.number for place in self.servers if place.zone == zone]

    def racks_in_zone(self, zone: int) -> list[int]:
        """Numbers of the racks of a zone, in order."""
        return sorted({place.rack for place in self.servers if place.zone == zone})

    def servers_in_rack(self, rack: int) -> list[int]:
        """Numbers of the servers of a rack."""
        return [place.number for place in self.servers if place.rack == rack]

    def balancers_in_zone(self, zone: int) -> list[int]:
        """Numbers of the balancers of a zone."""
        return [number for number, balancer_zone in enumerate(self.balancer_zones) if balancer_zone == zone]

    def balancer_region(self, balancer: int) -> int:
        """The region of a balancer."""
        return self.region_of_zone[self.balancer_zones[balancer]]


def build_layout(scenario: Scenario, seed: int) -> Layout:
    """Place every member of the fleet."""
    zones = scenario.zones()
    region_of_zone = tuple(
        number for number, region in enumerate(scenario.regions) for _ in range(len(region.zones))
    )
    return Layout(
        zone_names=tuple(zone.name for zone in zones),
        region_names=tuple(region.name for region in scenario.regions),
        region_of_zone=region_of_zone,
        servers=_place_servers(scenario, region_of_zone, seed),
        balancer_zones=_place_balancers(scenario.balancers.total, zones),
        tenant_shares=tenant_shares(scenario.tenants.count, scenario.tenants.zipf_exponent),
        delays_s=_build_delays(scenario, region_of_zone),
    )


def tenant_shares(count: int, exponent: float) -> tuple[float, ...]:
    """Shares of the tenants in the requests by Zipf's law, largest first."""
    weights = numpy.arange(1, count + 1, dtype=float) ** -exponent
    return tuple((weights / weights.sum()).tolist())


def instance_id(number: int, replacements: int) -> str:
    """Instance id in discovery of a server whose machine has been replaced `replacements` times."""
    return f"s-{number:05d}-{replacements}"


def _place_servers(scenario: Scenario, region_of_zone: tuple[int, ...], seed: int) -> tuple[ServerPlace, ...]:
    kinds = scenario.servers.kinds
    kind_of = interleave(apportion(scenario.servers.count, [kind.share for kind in kinds]))
    speed_draws = numpy.random.default_rng([seed, SPEED_STREAM]).random(scenario.servers.count).tolist()
    places: list[ServerPlace] = []
    first_rack = first_cell = 0
    for zone, count in enumerate(scenario.servers_per_zone()):
        for index_in_zone in range(count):
            number = len(places)
            kind = kinds[kind_of[number]]
            slowest, fastest = kind.speed
            places.append(
                ServerPlace(
                    number=number,
                    zone=zone,
                    region=region_of_zone[zone],
                    rack=first_rack + index_in_zone // scenario.servers.rack_size,
                    cell=first_cell + index_in_zone // scenario.servers.cell_size,
                    kind=kind_of[number],
                    cores=kind.cores,
                    speed=slowest + (fastest - slowest) * speed_draws[number],
                )
            )
        first_rack += -(-count // scenario.servers.rack_size)
        first_cell += -(-count // scenario.servers.cell_size)
    return tuple(places)


def _place_balancers(total: int, zones: tuple[Zone, ...]) -> tuple[int, ...]:
    return tuple(interleave(apportion(total, [zone.traffic_share for zone in zones])))


def _build_delays(scenario: Scenario, region_of_zone: tuple[int, ...]) -> tuple[tuple[float, ...], ...]:
    network = scenario.network

    def delay(from_zone: int, to_zone: int) -> float:
        if from_zone == to_zone:
            return network.same_zone_ms * S_PER_MS
        if region_of_zone[from_zone] == region_of_zone[to_zone]:
            return network.cross_zone_ms * S_PER_MS
        return network.cross_region_ms * S_PER_MS

    zones = range(len(region_of_zone))
    return tuple(tuple(delay(from_zone, to_zone) for to_zone in zones) for from_zone in zones)
