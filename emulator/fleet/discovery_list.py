"""Versions of the server list and the times at which each balancer's agent has them.

Both are pure functions of the scenario and the seed. Each region has a replica of discovery with its own
versions. A change reaches a replica after a lag, but not before the end of a split between the regions. It
reaches each agent some time after the replica of the agent's region.
"""

from __future__ import annotations

import bisect
import enum
import math
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

import numpy

from emulator.fleet import timeline as events
from emulator.fleet.layout import Layout
from emulator.fleet.scenario import DiscoveryService, Scenario

JITTER_STREAM = 2  # random stream of the agents' delays, separate from other streams with the same seed
FIRST_GENERATION = 1  # list at the start of the run, with all servers running


class Lifecycle(enum.Enum):
    """States in which discovery lists a server; the values are published."""

    ACTIVE = "active"
    LEAVING = "leaving"
    LEFT = "left"


LIFECYCLE_AFTER: dict[type[events.Event], Lifecycle] = {
    events.ServersDrained: Lifecycle.LEAVING,
    events.ServersStopped: Lifecycle.LEFT,
    events.ServersVanished: Lifecycle.LEFT,
    events.ServersStarted: Lifecycle.ACTIVE,
}
LISTED_EVENTS = (
    events.ServersDrained,
    events.ServersStopped,
    events.ServersVanished,
    events.ServersStarted,
)


@dataclass(frozen=True, slots=True)
class ListEntry:
    """Entry of the list for one server."""

    server: int
    replacements: int  # of its machine so far; each gives the server a new instance id
    lifecycle: Lifecycle
    started_s: float | None  # in seconds of the scenario; None: before the scenario


@dataclass(frozen=True, slots=True)
class ListVersion:
    """Version of a region's list, as the changes from the previous version."""

    generation: int
    release_s: float  # time at which the region's replica has it
    entries: tuple[ListEntry, ...]


@dataclass(frozen=True, slots=True)
class _Change:
    """Change of an entry, with the time at which discovery publishes it."""

    published_s: float
    region: int
    entry: ListEntry


class Period:
    """Period of a split or an outage."""

    def __init__(self, begin_s: float, end_s: float) -> None:
        self.begin_s = begin_s
        self.end_s = end_s

    def defer(self, at_s: float) -> float:
        """`at_s`, or the end of the period if `at_s` is within it."""
        return self.end_s if self.begin_s <= at_s < self.end_s else at_s


class ListSchedule:
    """The versions of all regions and the times at which each agent has them."""

    def __init__(
        self, scenario: Scenario, layout: Layout, timeline: Sequence[events.Event], seed: int
    ) -> None:
        self.layout = layout
        regions = range(len(layout.region_names))
        changes = list(_publish_changes(scenario.discovery, layout, timeline))
        splits = _split_periods(timeline, scenario.duration_s)
        self.versions = [_build_versions(scenario.discovery, changes, region, splits) for region in regions]
        self._outages = _outage_periods(timeline, scenario.duration_s)
        draws = numpy.random.default_rng([seed, JITTER_STREAM]).random(len(layout.balancer_zones))
        self.jitter_s: list[float] = (draws * scenario.discovery.spread_s).tolist()

    def visible_at_s(self, balancer: int, release_s: float) -> float:
        """Time at which a balancer's agent can announce a release: after its delay, not during an outage."""
        at_s = release_s + self.jitter_s[balancer]
        for outage in self._outages[self.layout.balancer_region(balancer)]:
            at_s = outage.defer(at_s)
        return at_s


class AnnouncedLifecycles:
    """Lifecycles of the servers that the agent of each balancer announces over time."""

    def __init__(self, schedule: ListSchedule) -> None:
        self._schedule = schedule
        self._changes_by_server: list[dict[int, list[tuple[float, Lifecycle]]]] = []
        for versions in schedule.versions:
            changes = defaultdict(list)
            for version in versions:
                for entry in version.entries:
                    changes[entry.server].append((version.release_s, entry.lifecycle))
            self._changes_by_server.append(dict(changes))

    def lifecycle_at(self, balancer: int, server: int, at_s: float) -> Lifecycle:
        """Lifecycle of a server that the agent of a balancer announces at a time."""
        region = self._schedule.layout.balancer_region(balancer)
        lifecycle = Lifecycle.ACTIVE
        for release_s, announced in self._changes_by_server[region].get(server, ()):
            if self._schedule.visible_at_s(balancer, release_s) > at_s:
                break
            lifecycle = announced
        return lifecycle

    def should_have_stopped(self, balancer: int, server: int, sent_s: float, grace_s: float) -> bool:
        """Whether the balancer was informed more than `grace_s` before `sent_s` not to send to the server."""
        return (
            self.lifecycle_at(balancer, server, sent_s - grace_s) is not Lifecycle.ACTIVE
            and self.lifecycle_at(balancer, server, sent_s) is not Lifecycle.ACTIVE
        )


def generation_at(versions: Sequence[ListVersion], at_s: float) -> int:
    """The latest generation released by a time."""
    return FIRST_GENERATION + bisect.bisect_right(versions, at_s, key=lambda version: version.release_s)


def merge_versions(versions: Iterable[ListVersion]) -> list[ListEntry]:
    """Merge the changes of several versions: the latest entry of each instance."""
    latest = {(entry.server, entry.replacements): entry for version in versions for entry in version.entries}
    return list(latest.values())


def build_full_list(servers: int, versions: Iterable[ListVersion]) -> list[ListEntry]:
    """Full list after the given versions, without instances that have left."""
    latest = {(server, 0): ListEntry(server, 0, Lifecycle.ACTIVE, None) for server in range(servers)}
    for entry in merge_versions(versions):
        latest[entry.server, entry.replacements] = entry
    return [entry for entry in latest.values() if entry.lifecycle is not Lifecycle.LEFT]


def _publish_changes(
    service: DiscoveryService, layout: Layout, timeline: Sequence[events.Event]
) -> Iterator[_Change]:
    replacements: dict[int, int] = defaultdict(int)
    last_published_s: dict[int, float] = defaultdict(float)  # by server; keeps its changes in order
    for event in timeline:
        if not isinstance(event, LISTED_EVENTS):
            continue
        vanished = isinstance(event, events.ServersVanished)
        noticed_at_s = event.at_s + (service.failure_notice_s if vanished else 0.0)
        for server in event.servers:
            started_s = None
            if isinstance(event, events.ServersStarted):
                replacements[server] += event.replaced
                started_s = event.at_s
            batch_number = math.ceil(noticed_at_s / service.period_s)
            published_s = max(last_published_s[server], batch_number * service.period_s + service.lag_s)
            last_published_s[server] = published_s
            entry = ListEntry(server, replacements[server], LIFECYCLE_AFTER[type(event)], started_s)
            yield _Change(published_s, layout.servers[server].region, entry)


def _build_versions(
    service: DiscoveryService,
    changes: Iterable[_Change],
    region: int,
    splits: dict[frozenset[int], list[Period]],
) -> list[ListVersion]:
    by_release: dict[float, list[ListEntry]] = defaultdict(list)
    for change in changes:
        release_s = change.published_s
        if change.region != region:
            release_s += service.cross_region_lag_s
            for split in splits.get(frozenset((region, change.region)), ()):
                release_s = split.defer(release_s)
        by_release[release_s].append(change.entry)
    return [
        ListVersion(generation, release_s, tuple(by_release[release_s]))
        for generation, release_s in enumerate(sorted(by_release), FIRST_GENERATION + 1)
    ]


def _split_periods(timeline: Sequence[events.Event], end_s: float) -> dict[frozenset[int], list[Period]]:
    splits: dict[frozenset[int], list[Period]] = defaultdict(list)
    for event in timeline:
        if isinstance(event, events.RegionsSplit):
            splits[frozenset(event.regions)].append(Period(event.at_s, end_s))
        elif isinstance(event, events.RegionsHealed):
            _end_periods(splits[frozenset(event.regions)], event.at_s)
    return splits


def _outage_periods(timeline: Sequence[events.Event], end_s: float) -> dict[int, list[Period]]:
    outages: dict[int, list[Period]] = defaultdict(list)
    for event in timeline:
        if isinstance(event, events.DiscoverySilenced):
            for region in event.regions:
                outages[region].append(Period(event.at_s, end_s))
        elif isinstance(event, events.DiscoveryReturned):
            for region in event.regions:
                _end_periods(outages[region], event.at_s)
    return outages


def _end_periods(periods: list[Period], at_s: float) -> None:
    for period in periods:
        period.end_s = min(period.end_s, at_s)
