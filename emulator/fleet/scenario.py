"""Scenario files: the members of a fleet, its clients, its network and the events of a run.

An invalid file raises `BadInputError` with a one-line message that names the file and the path of the key.
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

SHARE_TOLERANCE = 1e-6  # by how much the sum of shares of a whole may differ from 1
SECONDS_PER_DAY = 86_400.0

Name = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]


class Zone(ScenarioModel):
    """One data centre."""

    name: Name
    server_share: Share  # of all servers
    traffic_share: Share  # of all requests, and of all balancers


class Region(ScenarioModel):
    """Zones that share a replica of discovery."""

    name: Name
    zones: Annotated[tuple[Zone, ...], Field(min_length=1)]


class ServerKind(ScenarioModel):
    """A machine type."""

    name: Name
    share: Share
    cores: AtLeastOne
    # Minimum and maximum of the speed of a core.
    speed: Annotated[tuple[Positive, ...], Field(min_length=2, max_length=2)]


class Servers(ScenarioModel):
    """The photo servers."""

    count: Annotated[int, Field(ge=1, le=64_000)]
    kinds: Annotated[tuple[ServerKind, ...], Field(min_length=1)]
    queue_per_core: Count = 400  # maximal number of waiting requests, per core of a server
    cell_size: AtLeastOne = 4
    rack_size: AtLeastOne = 40


class ColdStart(ScenarioModel):
    """How a server warms up after its start, and by which overload it crashes until it is warm."""

    from_share: Annotated[float, Field(gt=0, le=1)]  # share of its capacity at its start
    warm_s: Positive
    overload_multiple: Positive  # it crashes by more work than this multiple of its current capacity
    overload_window_s: Positive  # time over which this work is summed up


class Balancers(ScenarioModel):
    """The balancers, some of them real processes and the others hollow."""

    total: Annotated[int, Field(ge=1, le=64_000)]
    real: Count  # numbers 0 to real - 1, spread over the zones
    hollow_workers: Count  # processes that share the hollow balancers
    # The limits that each balancer is configured with.
    cores: Positive = 1.0
    memory_mb: Positive = 192.0
    sockets: AtLeastOne = 1024


class RequestClass(ScenarioModel):
    """One class of requests, as in the settings of the balancers."""

    name: Name
    share: Share
    work_ms: Positive  # mean processor time on a core of speed 1
    work_cv: NonNegative = 1.0  # coefficient of variation; the distribution is lognormal
    aim_ms: Positive  # latency target: an answer within this time earns the full worth
    deadline_ms: Positive  # how long a client waits in total, over all its tries
    worth: Positive  # of one request answered within its latency target
    idempotency: Literal["safe", "keyed", "unsafe"]
    scope: Literal["all", "zone", "cell"] = "all"
    window_ms: NonNegative = 0.0  # how long servers drop repeats of a keyed request


class Tenants(ScenarioModel):
    """Tenants by Zipf's law: the share of the tenant at rank k is proportional to 1 / k ** exponent."""

    count: AtLeastOne
    zipf_exponent: NonNegative
    quota_factor: Positive = 1.2  # a tenant's quota as a multiple of its mean rate
    in_settings: Count | None = None  # how many tenants, by rank, the settings name; None: all
    over_share_worth: Share = 0.2  # share of the worth that a request beyond its tenant's quota has


class Clients(ScenarioModel):
    """How clients behave."""

    retries: Count  # maximal number per request
    try_share: Annotated[float, Field(gt=0, le=1)]  # timeout of one try, as a share of the deadline
    backoff_ms: NonNegative  # mean wait before a retry
    honour_retry_after: Share  # share of the clients that respect Retry-After
    leaving_share: Share = 0.0  # share of the requests whose client disconnects before the answer


class Network(ScenarioModel):
    """One-way network delays."""

    same_zone_ms: NonNegative
    cross_zone_ms: NonNegative
    cross_region_ms: NonNegative


class DiscoveryService(ScenarioModel):
    """How long discovery takes to publish a change."""

    lag_s: NonNegative  # from a planned change to its arrival at the replica of its region
    cross_region_lag_s: NonNegative  # additional lag of the replicas of the other regions
    failure_notice_s: NonNegative  # additional lag until it is noticed that a server has become unreachable
    spread_s: NonNegative  # maximal additional lag of an agent; each agent draws its own once
    period_s: Positive  # changes within this time are published together


class RandomFailures(ScenarioModel):
    """Rates per real day for the whole fleet; the scenario's time compression multiplies them."""

    machine_failures_per_day: NonNegative = 0.0
    restarts_per_day: NonNegative = 0.0  # planned restarts, with a drain
    replaced_share: Share = 0.5  # share of the restarts after which the server runs on a new machine
    drain_s: NonNegative = 3.0
    down_s: NonNegative = 3.0  # from a planned stop until the cold start
    repair_s: NonNegative = 30.0  # from a machine failure until its replacement starts


class Scenario(ScenarioModel):
    """Everything that determines a run, except for a seed given on the command line."""

    name: Name
    seed: Count
    duration_s: Positive
    time_compression: Positive = 1.0  # random failures of so many seconds happen within one second
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
        """All zones in the order of the file; a zone's number is its index here."""
        return tuple(zone for region in self.regions for zone in region.zones)

    def servers_per_zone(self) -> list[int]:
        """Number of servers of each zone, in the order of `zones`."""
        return apportion(self.servers.count, [zone.server_share for zone in self.zones()])

    def mean_work_s(self) -> float:
        """Mean processor time of a request, on a core of speed 1."""
        return sum(request_class.share * request_class.work_ms for request_class in self.classes) / 1e3


@dataclass(frozen=True, slots=True)
class ScenarioProblem:
    """What is invalid in a scenario, and at which key."""

    key: str
    text: str


def load_scenario(path: str | Path) -> Scenario:
    """Load and validate a scenario file; raises BadInputError if it is invalid."""
    try:
        values = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise BadInputError(f"{path}: cannot be read: {error.strerror or error}") from None
    except UnicodeDecodeError:
        raise BadInputError(f"{path}: is not UTF-8 text") from None
    except tomllib.TOMLDecodeError as error:
        raise BadInputError(f"{path}: is not TOML: {_one_line(str(error))}") from None
    try:
        # Validated as JSON, as the strict types then accept arrays for tuples. Dates become strings, which
        # are rejected.
        scenario = Scenario.model_validate_json(json.dumps(values, default=str))
    except ValidationError as error:
        problem = _first_validation_problem(error)
        raise BadInputError(f"{path}: {problem.key}: {problem.text}") from None
    for problem in _find_problems(scenario):
        raise BadInputError(f"{path}: {problem.key}: {problem.text}")
    return scenario


def _one_line(text: str) -> str:
    return " ".join(text.split())


def _first_validation_problem(error: ValidationError) -> ScenarioProblem:
    first = error.errors()[0]
    location = list(first["loc"])
    if len(location) > 2 and location[0] == "events":
        del location[2]  # the tag of the union, which is not a key of the file
    key = ".".join(str(part) for part in location)
    return ScenarioProblem(key or "file", _one_line(first["msg"]))


def _find_problems(scenario: Scenario) -> Iterator[ScenarioProblem]:
    """Problems between keys: sums of shares, duplicate and undeclared names, sizes, times of events."""
    yield from _find_share_problems(scenario)
    yield from _find_name_problems(scenario)
    yield from _find_size_problems(scenario)
    for number in range(len(scenario.events)):
        yield from _find_event_problems(scenario, number)


def _find_share_problems(scenario: Scenario) -> Iterator[ScenarioProblem]:
    zones = scenario.zones()
    sums_by_key = {
        "regions.zones.server_share": math.fsum(zone.server_share for zone in zones),
        "regions.zones.traffic_share": math.fsum(zone.traffic_share for zone in zones),
        "servers.kinds.share": math.fsum(kind.share for kind in scenario.servers.kinds),
        "classes.share": math.fsum(request_class.share for request_class in scenario.classes),
    }
    for key, total in sums_by_key.items():
        if abs(total - 1) > SHARE_TOLERANCE:
            yield ScenarioProblem(key, f"the shares add up to {total:g}, not to 1")


def _find_name_problems(scenario: Scenario) -> Iterator[ScenarioProblem]:
    names_by_key = {
        "regions.name": [region.name for region in scenario.regions],
        "regions.zones.name": [zone.name for zone in scenario.zones()],
        "servers.kinds.name": [kind.name for kind in scenario.servers.kinds],
        "classes.name": [request_class.name for request_class in scenario.classes],
    }
    for key, names_of_key in names_by_key.items():
        for name in names_of_key:
            if names_of_key.count(name) > 1:
                yield ScenarioProblem(key, f"{name!r} is declared twice")


def _find_size_problems(scenario: Scenario) -> Iterator[ScenarioProblem]:
    balancers = scenario.balancers
    if balancers.real > balancers.total:
        yield ScenarioProblem(
            "balancers.real", f"{balancers.real} is more than balancers.total, {balancers.total}"
        )
    if balancers.real < balancers.total and not balancers.hollow_workers:
        yield ScenarioProblem("balancers.hollow_workers", "is 0, but not all balancers are real")
    if (scenario.tenants.in_settings or 0) > scenario.tenants.count:
        yield ScenarioProblem("tenants.in_settings", f"is more than tenants.count, {scenario.tenants.count}")
    for number, kind in enumerate(scenario.servers.kinds):
        if kind.speed[0] > kind.speed[1]:
            yield ScenarioProblem(f"servers.kinds.{number}.speed", "the minimum is greater than the maximum")
    for number, request_class in enumerate(scenario.classes):
        if request_class.aim_ms > request_class.deadline_ms:
            yield ScenarioProblem(f"classes.{number}.aim_ms", "is longer than deadline_ms")


def _find_event_problems(scenario: Scenario, number: int) -> Iterator[ScenarioProblem]:
    event, key = scenario.events[number], f"events.{number}"
    if event.at_s >= scenario.duration_s:
        yield ScenarioProblem(
            f"{key}.at_s", f"{event.at_s:g} is not before the scenario's end, {scenario.duration_s:g}"
        )
    elif event.ends_at_s() > scenario.duration_s:
        yield ScenarioProblem(
            key, f"lasts until {event.ends_at_s():g}, after the scenario's end, {scenario.duration_s:g}"
        )
    yield from _find_place_problems(scenario, event, key)
    if isinstance(event, DrainWave) and event.servers > scenario.servers.count:
        yield ScenarioProblem(f"{key}.servers", f"is more than servers.count, {scenario.servers.count}")
    if isinstance(event, KillRealBalancers) and event.count > scenario.balancers.real:
        yield ScenarioProblem(f"{key}.count", f"is more than balancers.real, {scenario.balancers.real}")


def _find_place_problems(scenario: Scenario, event: AnyScriptedEvent, key: str) -> Iterator[ScenarioProblem]:
    zones = [zone.name for zone in scenario.zones()]
    regions = [region.name for region in scenario.regions]
    zone, region = getattr(event, "zone", None), getattr(event, "region", None)
    if zone is not None and zone not in zones:
        yield ScenarioProblem(f"{key}.zone", f"{zone!r} is not declared")
        return
    if region is not None and region not in regions:
        yield ScenarioProblem(f"{key}.region", f"{region!r} is not declared")
    if isinstance(event, RegionSplit):
        for name in event.regions:
            if name not in regions:
                yield ScenarioProblem(f"{key}.regions", f"{name!r} is not declared")
        if event.regions[0] == event.regions[1]:
            yield ScenarioProblem(f"{key}.regions", "a region cannot be split from itself")
    if isinstance(event, RackFailure):
        racks = -(-scenario.servers_per_zone()[zones.index(event.zone)] // scenario.servers.rack_size)
        if (event.rack or 0) >= racks:
            yield ScenarioProblem(f"{key}.rack", f"{event.zone!r} has racks 0 to {racks - 1} only")
