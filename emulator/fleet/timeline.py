"""The events of a run in order of time, derived from a scenario and a seed.

Every process of a run builds the same timeline itself, so that no events are sent between processes.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator, Sequence
from random import Random

import msgspec

from emulator.fleet import scenario_events as scripted
from emulator.fleet.layout import Layout, build_layout
from emulator.fleet.scenario import SECONDS_PER_DAY, Scenario

MAX_DRAWS_PER_SERVER = 50  # random picks, at most, to find a server without an overlapping event
# To draw more than one in so many candidates, the free candidates are listed first and drawn from.
CANDIDATES_PER_DRAWN_SERVER = 20


class Event(msgspec.Struct, frozen=True, tag=True):
    """An event that concerns members of the fleet; its time is in seconds from the start."""

    at_s: float


class ServersDrained(Event, frozen=True):
    """The servers finish their open requests and should get no new ones; discovery lists them as leaving."""

    servers: tuple[int, ...]


class ServersStopped(Event, frozen=True):
    """The server processes stop as planned: connections are reset, new ones are refused."""

    servers: tuple[int, ...]


class ServersVanished(Event, frozen=True):
    """The machines become unreachable: connections stay open, without any response."""

    servers: tuple[int, ...]


class ServersStarted(Event, frozen=True):
    """The servers start cold."""

    servers: tuple[int, ...]
    replaced: bool  # on new machines, with new instance ids


class ServersSlowed(Event, frozen=True):
    """The cores of the servers become slower by the factor."""

    servers: tuple[int, ...]
    factor: float


class ServersHung(Event, frozen=True):
    """The servers accept requests and do not respond."""

    servers: tuple[int, ...]


class ServersRecovered(Event, frozen=True):
    """The slowdown or hang of the servers is over."""

    servers: tuple[int, ...]


class RegionsSplit(Event, frozen=True):
    """The two regions can no longer reach each other."""

    regions: tuple[int, int]


class RegionsHealed(Event, frozen=True):
    """The two regions can reach each other again."""

    regions: tuple[int, int]


class DiscoverySilenced(Event, frozen=True):
    """Discovery's agents in these regions stop responding."""

    regions: tuple[int, ...]


class DiscoveryReturned(Event, frozen=True):
    """Discovery's agents in these regions respond again."""

    regions: tuple[int, ...]


class WatchesSilenced(Event, frozen=True):
    """Long polls of these balancers get no response."""

    balancers: tuple[int, ...]


class WatchesReturned(Event, frozen=True):
    """Long polls of these balancers get responses again."""

    balancers: tuple[int, ...]


class BalancersStopped(Event, frozen=True):
    """These balancers are stopped, by SIGTERM if gracefully, else by SIGKILL."""

    balancers: tuple[int, ...]
    graceful: bool


class BalancersStarted(Event, frozen=True):
    """These balancers start without any state other than their known list."""

    balancers: tuple[int, ...]


def build_timeline(scenario: Scenario, seed: int) -> tuple[Event, ...]:
    """All events up to the scenario's end, sorted by time; equal for equal scenarios and seeds."""
    return _TimelineBuilder(scenario, build_layout(scenario, seed), seed).build()


def timeline_digest(timeline: Iterable[Event]) -> str:
    """A short digest that is equal for equal timelines."""
    return hashlib.blake2b(msgspec.json.encode(list(timeline)), digest_size=8).hexdigest()


class _Occupancy:
    """Times during which each server has an event, so that random events of a server do not overlap."""

    def __init__(self) -> None:
        self._spans: dict[int, list[tuple[float, float]]] = {}

    def reserve(self, servers: Iterable[int], begin: float, end: float) -> None:
        for server in servers:
            self._spans.setdefault(server, []).append((begin, end))

    def is_free(self, server: int, begin: float, end: float) -> bool:
        return all(
            end < taken_from or begin > taken_until for taken_from, taken_until in self._spans.get(server, ())
        )


class _TimelineBuilder:
    """Collects the events of one timeline."""

    def __init__(self, scenario: Scenario, layout: Layout, seed: int) -> None:
        self.scenario = scenario
        self.layout = layout
        self.seed = seed
        self.zones = {name: number for number, name in enumerate(layout.zone_names)}
        self.regions = {name: number for number, name in enumerate(layout.region_names)}
        self.occupancy = _Occupancy()
        self.events: list[Event] = []

    def build(self) -> tuple[Event, ...]:
        numbered = list(enumerate(self.scenario.events))
        # Failures of zones and racks are added first, so that later draws avoid the servers concerned.
        numbered.sort(key=lambda item: not isinstance(item[1], scripted.ZoneFailure | scripted.RackFailure))
        for number, event in numbered:
            self._add_scripted(event, self._random_for(f"event {number}"))
        self._add_machine_failures(self._random_for("machine failures"))
        self._add_restarts(self._random_for("restarts"))
        within_run = [event for event in self.events if event.at_s <= self.scenario.duration_s]
        return tuple(sorted(within_run, key=lambda event: event.at_s))  # stable for equal times

    def _random_for(self, label: str) -> Random:
        return Random(f"{self.seed}/{label}")

    # ---- scripted events ----

    def _add_scripted(self, event: scripted.AnyScriptedEvent, random: Random) -> None:
        match event:
            case scripted.DrainWave():
                self._add_drain_wave(event, random)
            case scripted.RackFailure():
                self._add_rack_failure(event, random)
            case scripted.ZoneFailure():
                self._add_zone_failure(event)
            case scripted.RegionSplit():
                self._add_region_split(event)
            case scripted.Slowdown() | scripted.Hang():
                self._add_impairment(event, random)
            case scripted.DiscoveryOutage():
                self._add_discovery_outage(event)
            case scripted.SilentWatches():
                self._add_silent_watches(event, random)
            case scripted.ListChanges():
                self._add_list_changes(event, random)
            case scripted.RestartAllBalancers():
                self._add_restart_of_all(event)
            case scripted.KillRealBalancers():
                self._add_kill_of_real(event, random)

    def _add_drain_wave(self, event: scripted.DrainWave, random: Random) -> None:
        drawn = self._draw_servers(random, event.servers, event.zone, event.at_s, event.ends_at_s())
        for group_index, first in enumerate(range(0, len(drawn), event.group)):
            group = tuple(sorted(drawn[first : first + event.group]))
            self._add_restart(
                event.at_s + group_index * event.every_s, group, event.drain_s, event.down_s, event.replace
            )

    def _add_rack_failure(self, event: scripted.RackFailure, random: Random) -> None:
        racks = self.layout.racks_in_zone(self.zones[event.zone])
        rack = random.choice(racks) if event.rack is None else racks[event.rack]
        self._add_outage(self.layout.servers_in_rack(rack), event.at_s, event.ends_at_s(), replaced=False)

    def _add_zone_failure(self, event: scripted.ZoneFailure) -> None:
        zone = self.zones[event.zone]
        self._add_outage(self.layout.servers_in_zone(zone), event.at_s, event.ends_at_s(), replaced=False)
        balancers = tuple(self.layout.balancers_in_zone(zone))
        if event.balancers and balancers:
            self._add_balancer_restart(balancers, event.at_s, event.ends_at_s(), graceful=False)

    def _add_region_split(self, event: scripted.RegionSplit) -> None:
        pair = (self.regions[event.regions[0]], self.regions[event.regions[1]])
        self.events.append(RegionsSplit(event.at_s, pair))
        self.events.append(RegionsHealed(event.ends_at_s(), pair))

    def _add_impairment(self, event: scripted.Slowdown | scripted.Hang, random: Random) -> None:
        candidates = len(self._candidates(event.zone))
        count = round(event.share * candidates)
        servers = tuple(sorted(self._draw_servers(random, count, event.zone, event.at_s, event.ends_at_s())))
        if isinstance(event, scripted.Slowdown):
            self.events.append(ServersSlowed(event.at_s, servers, event.factor))
        else:
            self.events.append(ServersHung(event.at_s, servers))
        self.events.append(ServersRecovered(event.ends_at_s(), servers))

    def _add_discovery_outage(self, event: scripted.DiscoveryOutage) -> None:
        all_regions = tuple(range(len(self.layout.region_names)))
        regions = all_regions if event.region is None else (self.regions[event.region],)
        self.events.append(DiscoverySilenced(event.at_s, regions))
        self.events.append(DiscoveryReturned(event.ends_at_s(), regions))

    def _add_silent_watches(self, event: scripted.SilentWatches, random: Random) -> None:
        total = len(self.layout.balancer_zones)
        balancers = tuple(sorted(random.sample(range(total), round(event.share * total))))
        self.events.append(WatchesSilenced(event.at_s, balancers))
        self.events.append(WatchesReturned(event.ends_at_s(), balancers))

    def _add_list_changes(self, event: scripted.ListChanges, random: Random) -> None:
        changes = max(1, int(event.duration_s / event.every_s))
        for change in range(changes):
            at_s = event.at_s + change * event.every_s
            return_s = min(at_s + event.every_s, event.ends_at_s())
            drawn = self._draw_servers(random, event.servers, None, at_s, return_s)
            self._add_restart(at_s, tuple(sorted(drawn)), return_s - at_s, 0.0, replaced=False)

    def _add_restart_of_all(self, event: scripted.RestartAllBalancers) -> None:
        total = len(self.layout.balancer_zones)
        if not event.over_s:
            all_balancers = tuple(range(total))
            self._add_balancer_restart(all_balancers, event.at_s, event.ends_at_s(), event.graceful)
            return
        for balancer in range(total):
            stop_s = event.at_s + event.over_s * balancer / total
            self._add_balancer_restart((balancer,), stop_s, stop_s + event.down_s, event.graceful)

    def _add_kill_of_real(self, event: scripted.KillRealBalancers, random: Random) -> None:
        chosen = random.sample(range(self.scenario.balancers.real), event.count)
        self._add_balancer_restart(tuple(sorted(chosen)), event.at_s, event.ends_at_s(), graceful=False)

    # ---- random events ----

    def _draw_event_times(self, random: Random, per_day: float) -> Iterator[float]:
        """Times of a Poisson process with a rate per real day, at the scenario's time compression."""
        rate = per_day * self.scenario.time_compression / SECONDS_PER_DAY
        at_s = random.expovariate(rate) if rate else self.scenario.duration_s
        while at_s < self.scenario.duration_s:
            yield at_s
            at_s += random.expovariate(rate)

    def _add_machine_failures(self, random: Random) -> None:
        failures = self.scenario.random_failures
        for at_s in self._draw_event_times(random, failures.machine_failures_per_day):
            end_s = at_s + failures.repair_s
            servers = self._draw_servers(random, 1, None, at_s, end_s)
            self._add_outage(servers, at_s, end_s, replaced=True)

    def _add_restarts(self, random: Random) -> None:
        failures = self.scenario.random_failures
        for at_s in self._draw_event_times(random, failures.restarts_per_day):
            replaced = random.random() < failures.replaced_share
            end_s = at_s + failures.drain_s + failures.down_s
            servers = tuple(self._draw_servers(random, 1, None, at_s, end_s))
            self._add_restart(at_s, servers, failures.drain_s, failures.down_s, replaced)

    # ---- shared by several events ----

    def _candidates(self, zone: str | None) -> Sequence[int]:
        if zone is None:
            return range(len(self.layout.servers))
        return self.layout.servers_in_zone(self.zones[zone])

    def _draw_servers(
        self, random: Random, count: int, zone: str | None, begin_s: float, end_s: float
    ) -> list[int]:
        """Draw and reserve up to `count` servers that have no other event from `begin_s` to `end_s`."""
        candidates = self._candidates(zone)
        if not candidates:
            return []
        if count * CANDIDATES_PER_DRAWN_SERVER > len(candidates):
            free = [server for server in candidates if self.occupancy.is_free(server, begin_s, end_s)]
            drawn = random.sample(free, min(count, len(free)))
        else:
            drawn = self._draw_few(random, count, candidates, begin_s, end_s)
        self.occupancy.reserve(drawn, begin_s, end_s)
        return drawn

    def _draw_few(
        self, random: Random, count: int, candidates: Sequence[int], begin_s: float, end_s: float
    ) -> list[int]:
        drawn: list[int] = []
        for _ in range(MAX_DRAWS_PER_SERVER * count):
            server = random.choice(candidates)
            if server not in drawn and self.occupancy.is_free(server, begin_s, end_s):
                drawn.append(server)
                if len(drawn) == count:
                    break
        return drawn

    def _add_outage(self, servers: Sequence[int], begin_s: float, end_s: float, *, replaced: bool) -> None:
        if servers:
            self.occupancy.reserve(servers, begin_s, end_s)
            self.events.append(ServersVanished(begin_s, tuple(servers)))
            self.events.append(ServersStarted(end_s, tuple(servers), replaced))

    def _add_restart(
        self, at_s: float, servers: tuple[int, ...], drain_s: float, down_s: float, replaced: bool
    ) -> None:
        if servers:
            self.events.append(ServersDrained(at_s, servers))
            self.events.append(ServersStopped(at_s + drain_s, servers))
            self.events.append(ServersStarted(at_s + drain_s + down_s, servers, replaced))

    def _add_balancer_restart(
        self, balancers: tuple[int, ...], stop_s: float, start_s: float, graceful: bool
    ) -> None:
        self.events.append(BalancersStopped(stop_s, balancers, graceful))
        self.events.append(BalancersStarted(start_s, balancers))
