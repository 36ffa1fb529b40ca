"""Scenario files: what a fleet consists of, what its clients do and what happens to it.

A file that cannot be used raises `BadInputError` with one line that names the file and the key path.
"""

from __future__ import annotations

import json
import math
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, ValidationError

from emulator.errors import BadInputError
from emulator.fleet.apportion import apportion
from emulator.fleet.scenario_events import (
    AnyScriptedEvent,
    AtLeastOne,
    Count,
    DrainWave,
    KillRealBalancers,
    NonNegative,
    Positive,
    RackFailure,
    RegionSplit,
    ScenarioModel,
    Share,
)

SHARE_TOLERANCE = 1e-6  # by which shares that make up a whole may miss 1
SECONDS_PER_DAY = 86_400.0

Name = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]


class Zone(ScenarioModel):
    """One data centre."""

    name: Name
    server_share: Share  # of all servers
    traffic_share: Share  # of all requests, and of all balancers


class Region(ScenarioModel):
    """Zones that have a replica of discovery in common."""

    name: Name
    zones: Annotated[tuple[Zone, ...], Field(min_length=1)]


class ServerKind(ScenarioModel):
    """A machine type."""

    name: Name
    share: Share
    cores: AtLeastOne
    speed: Annotated[tuple[Positive, ...], Field(min_length=2, max_length=2)]  # least and most, of a core


class Servers(ScenarioModel):
    """The photo servers."""

    count: Annotated[int, Field(ge=1, le=64_000)]
    kinds: Annotated[tuple[ServerKind, ...], Field(min_length=1)]
    queue_per_core: Count = 400  # requests that may wait
    cell_size: AtLeastOne = 4
    rack_size: AtLeastOne = 40


class ColdStart(ScenarioModel):
    """How a server warms up, and when it falls over meanwhile."""

    from_share: Annotated[float, Field(gt=0, le=1)]  # of its capacity, at its start
    warm_s: Positive
    overload_multiple: Positive  # of its present capacity
    overload_window_s: Positive


class Balancers(ScenarioModel):
    """How many balancers there are, and which of them are real processes."""

    total: Annotated[int, Field(ge=1, le=64_000)]
    real: Count  # numbers 0 to real - 1, spread over the zones
    hollow_workers: Count  # processes that share the others
    cores: Positive = 1.0
    memory_mb: Positive = 192.0
    sockets: AtLeastOne = 1024


class RequestClass(ScenarioModel):
    """One class of requests, as in the settings of the balancers."""

    name: Name
    share: Share
    work_ms: Positive  # mean processor time on a core of speed 1
    work_cv: NonNegative = 1.0  # standard deviation over mean; lognormal
    aim_ms: Positive
    deadline_ms: Positive
    worth: Positive
    idempotency: Literal["safe", "keyed", "unsafe"]
    scope: Literal["all", "zone", "cell"] = "all"
    window_ms: NonNegative = 0.0  # for which servers drop the repeats of a keyed request


class Tenants(ScenarioModel):
    """Tenants by a Zipf law: the share of the tenant at rank k is proportional to 1 / k ** exponent."""

    count: AtLeastOne
    zipf_exponent: NonNegative
    quota_factor: Positive = 1.2  # a tenant's quota over its mean rate
    in_settings: Count | None = None  # how many, by rank, the settings name; None: all
    over_share_worth: Share = 0.2


class Clients(ScenarioModel):
    """How clients behave."""

    retries: Count
    try_share: Annotated[float, Field(gt=0, le=1)]  # of the deadline, that one try may take
    backoff_ms: NonNegative
    honour_retry_after: Share  # of the clients
    leaving_share: Share = 0.0  # of the requests, whose client goes away before its answer


class Network(ScenarioModel):
    """One-way delays."""

    same_zone_ms: NonNegative
    cross_zone_ms: NonNegative
    cross_region_ms: NonNegative


class DiscoveryService(ScenarioModel):
    """How late discovery tells of a change."""

    lag_s: NonNegative  # from a planned change until the replica of its region has it
    cross_region_lag_s: NonNegative  # in addition, for the other regions
    failure_notice_s: NonNegative  # in addition, until a server that vanished is noticed
    spread_s: NonNegative  # in addition, for each agent: drawn once, from 0 to this
    period_s: Positive  # changes are collected for this long


class RandomFailures(ScenarioModel):
    """Rates for the whole fleet and a real day; the scenario's compression multiplies them."""

    machine_failures_per_day: NonNegative = 0.0
    restarts_per_day: NonNegative = 0.0  # planned, with a drain
    replaced_share: Share = 0.5  # of the restarts, that bring a new machine
    drain_s: NonNegative = 3.0
    down_s: NonNegative = 3.0  # from a planned stop until the cold start
    repair_s: NonNegative = 30.0  # from a machine failure until its replacement starts


class Scenario(ScenarioModel):
    """Everything that a run is made from, but for the seed given to it."""

    name: Name
    seed: Count
    duration_s: Positive
    time_compression: Positive = 1.0  # random failures of so many seconds happen in one
    requests_per_s: NonNegative
    regions: Annotated[tuple[Region, ...], Field(min_length=1)]
    servers: Servers
    cold_start: ColdStart
    balancers: Balancers
    classes: Annotated[tuple[RequestClass, ...], Field(min_length=1)]
    tenants: Tenants
    clients: Clients
    network: Network
    discovery: DiscoveryService
    random_failures: RandomFailures = RandomFailures()
    events: tuple[AnyScriptedEvent, ...] = ()

    def zones(self) -> tuple[Zone, ...]:
        """All zones in the order of the file; a zone's number is its place here."""
        return tuple(zone for region in self.regions for zone in region.zones)

    def servers_per_zone(self) -> list[int]:
        """How many servers each zone has, in the order of `zones`."""
        return apportion(self.servers.count, [zone.server_share for zone in self.zones()])

    def mean_work_s(self) -> float:
        """Mean processor time of a request, on a core of speed 1."""
        return sum(klass.share * klass.work_ms for klass in self.classes) / 1e3


@dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong, and at which key."""

    key: str
    text: str


def load_scenario(path: str | Path) -> Scenario:
    """Read and check a scenario file; BadInputError if it cannot be used."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise BadInputError(f"{path}: cannot be read: {error.strerror or error}") from None
    except UnicodeDecodeError:
        raise BadInputError(f"{path}: is not UTF-8 text") from None
    except tomllib.TOMLDecodeError as error:
        raise BadInputError(f"{path}: is not TOML: {_one_line(str(error))}") from None
    try:
        # As JSON, so that the strict types take arrays for tuples; dates become text and are refused.
        scenario = Scenario.model_validate_json(json.dumps(raw, default=str))
    except ValidationError as error:
        fault = _first_fault(error)
        raise BadInputError(f"{path}: {fault.key}: {fault.text}") from None
    for fault in _faults_between_keys(scenario):
        raise BadInputError(f"{path}: {fault.key}: {fault.text}")
    return scenario


def _one_line(text: str) -> str:
    return " ".join(text.split())


def _first_fault(error: ValidationError) -> Fault:
    first = error.errors()[0]
    location = list(first["loc"])
    if len(location) > 2 and location[0] == "events":
        del location[2]  # the union's tag, which is no key
    key = ".".join(str(part) for part in location)
    return Fault(key or "file", _one_line(first["msg"]))


def _faults_between_keys(scenario: Scenario) -> Iterator[Fault]:
    """What no single key shows: shares, names that are declared twice or not at all, events out of time."""
    yield from _share_faults(scenario)
    yield from _name_faults(scenario)
    yield from _size_faults(scenario)
    for number in range(len(scenario.events)):
        yield from _event_faults(scenario, number)


def _share_faults(scenario: Scenario) -> Iterator[Fault]:
    zones = scenario.zones()
    sums = {
        "regions.zones.server_share": math.fsum(zone.server_share for zone in zones),
        "regions.zones.traffic_share": math.fsum(zone.traffic_share for zone in zones),
        "servers.kinds.share": math.fsum(kind.share for kind in scenario.servers.kinds),
        "classes.share": math.fsum(klass.share for klass in scenario.classes),
    }
    for key, total in sums.items():
        if abs(total - 1) > SHARE_TOLERANCE:
            yield Fault(key, f"the shares add up to {total:g}, not to 1")


def _name_faults(scenario: Scenario) -> Iterator[Fault]:
    names = {
        "regions.name": [region.name for region in scenario.regions],
        "regions.zones.name": [zone.name for zone in scenario.zones()],
        "servers.kinds.name": [kind.name for kind in scenario.servers.kinds],
        "classes.name": [klass.name for klass in scenario.classes],
    }
    for key, used in names.items():
        for name in used:
            if used.count(name) > 1:
                yield Fault(key, f"{name!r} is declared twice")


def _size_faults(scenario: Scenario) -> Iterator[Fault]:
    balancers = scenario.balancers
    if balancers.real > balancers.total:
        yield Fault("balancers.real", f"{balancers.real} is more than balancers.total, {balancers.total}")
    if balancers.real < balancers.total and not balancers.hollow_workers:
        yield Fault("balancers.hollow_workers", "is 0, but not all balancers are real")
    if (scenario.tenants.in_settings or 0) > scenario.tenants.count:
        yield Fault("tenants.in_settings", f"is more than tenants.count, {scenario.tenants.count}")
    for number, kind in enumerate(scenario.servers.kinds):
        if kind.speed[0] > kind.speed[1]:
            yield Fault(f"servers.kinds.{number}.speed", "the least is greater than the most")
    for number, klass in enumerate(scenario.classes):
        if klass.aim_ms > klass.deadline_ms:
            yield Fault(f"classes.{number}.aim_ms", "is longer than deadline_ms")


def _event_faults(scenario: Scenario, number: int) -> Iterator[Fault]:
    event, key = scenario.events[number], f"events.{number}"
    if event.at_s >= scenario.duration_s:
        yield Fault(f"{key}.at_s", f"{event.at_s:g} is after the end, {scenario.duration_s:g}")
    elif event.ends_at_s() > scenario.duration_s:
        yield Fault(key, f"lasts until {event.ends_at_s():g}, after the end, {scenario.duration_s:g}")
    yield from _place_faults(scenario, event, key)
    if isinstance(event, DrainWave) and event.servers > scenario.servers.count:
        yield Fault(f"{key}.servers", f"is more than servers.count, {scenario.servers.count}")
    if isinstance(event, KillRealBalancers) and event.count > scenario.balancers.real:
        yield Fault(f"{key}.count", f"is more than balancers.real, {scenario.balancers.real}")


def _place_faults(scenario: Scenario, event: AnyScriptedEvent, key: str) -> Iterator[Fault]:
    zones = [zone.name for zone in scenario.zones()]
    regions = [region.name for region in scenario.regions]
    zone, region = getattr(event, "zone", None), getattr(event, "region", None)
    if zone is not None and zone not in zones:
        yield Fault(f"{key}.zone", f"{zone!r} is not declared")
        return
    if region is not None and region not in regions:
        yield Fault(f"{key}.region", f"{region!r} is not declared")
    if isinstance(event, RegionSplit):
        for name in event.regions:
            if name not in regions:
                yield Fault(f"{key}.regions", f"{name!r} is not declared")
        if event.regions[0] == event.regions[1]:
            yield Fault(f"{key}.regions", "a region cannot be split from itself")
    if isinstance(event, RackFailure):
        racks = -(-scenario.servers_per_zone()[zones.index(event.zone)] // scenario.servers.rack_size)
        if (event.rack or 0) >= racks:
            yield Fault(f"{key}.rack", f"{event.zone!r} has racks 0 to {racks - 1} only")
