"""When each balancer is told of each change of the server list: pure functions of the scenario and the seed.

Each region has a replica of discovery with versions of its own. A change reaches it after a lag, later if it
comes from the other side of a split, and each agent some time after its replica.
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

JITTER_STREAM = 2  # tells this use of the seed from others
FIRST_GENERATION = 1  # the list at the start, with every server running


class Lifecycle(enum.Enum):
    """The states in which discovery lists a server; the values are the published words."""

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
    """What the list says of one server."""

    server: int
    replacements: int  # of its machine; each has an instance id of its own
    lifecycle: Lifecycle
    started_s: float | None  # in seconds of the scenario; None: long ago


@dataclass(frozen=True, slots=True)
class ListVersion:
    """One version of a region's list: what differs from the version before."""

    generation: int
    release_s: float  # when the region's replica has it
    entries: tuple[ListEntry, ...]


@dataclass(frozen=True, slots=True)
class _Change:
    """One entry that changes, and when discovery publishes it."""

    published_s: float
    region: int
    entry: ListEntry


class TimeSpan:
    """A stretch of time in which something is cut off."""

    def __init__(self, begin_s: float, end_s: float) -> None:
        self.begin_s = begin_s
        self.end_s = end_s

    def delay(self, at_s: float) -> float:
        """The moment itself, or the end of the stretch if it falls within."""
        return self.end_s if self.begin_s <= at_s < self.end_s else at_s


class ListSchedule:
    """All versions of all regions, and when each agent has them."""

    def __init__(
        self, scenario: Scenario, layout: Layout, timeline: Sequence[events.Event], seed: int
    ) -> None:
        self.layout = layout
        regions = range(len(layout.region_names))
        changes = list(_published(scenario.discovery, layout, timeline))
        splits = _splits(timeline, scenario.duration_s)
        self.versions = [_versions(scenario.discovery, changes, region, splits) for region in regions]
        self._outages = _outages(timeline, scenario.duration_s)
        draws = numpy.random.default_rng([seed, JITTER_STREAM]).random(len(layout.balancer_zones))
        self.jitter_s: list[float] = (draws * scenario.discovery.spread_s).tolist()

    def visible_at_s(self, balancer: int, release_s: float) -> float:
        """When the agent of a balancer can tell of a release: after it has it, and not during an outage."""
        at_s = release_s + self.jitter_s[balancer]
        for outage in self._outages[self.layout.balancer_region(balancer)]:
            at_s = outage.delay(at_s)
        return at_s


class AnnouncedLifecycles:
    """What each balancer has been told of each server at some time, as far as its agent goes."""

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
        """The lifecycle of the server that the agent of the balancer tells at the time."""
        region = self._schedule.layout.balancer_region(balancer)
        lifecycle = Lifecycle.ACTIVE
        for release_s, later in self._changes_by_server[region].get(server, ()):
            if self._schedule.visible_at_s(balancer, release_s) > at_s:
                break
            lifecycle = later
        return lifecycle

    def should_have_stopped(self, balancer: int, server: int, sent_s: float, grace_s: float) -> bool:
        """Whether the balancer was told, longer ago than the grace, that the server wants nothing new."""
        return (
            self.lifecycle_at(balancer, server, sent_s - grace_s) is not Lifecycle.ACTIVE
            and self.lifecycle_at(balancer, server, sent_s) is not Lifecycle.ACTIVE
        )


def generation_at(versions: Sequence[ListVersion], at_s: float) -> int:
    """The latest generation that is released at the time."""
    return FIRST_GENERATION + bisect.bisect_right(versions, at_s, key=lambda version: version.release_s)


def merge_versions(versions: Iterable[ListVersion]) -> list[ListEntry]:
    """The changes of several versions in one: the latest of each instance."""
    latest = {(entry.server, entry.replacements): entry for version in versions for entry in version.entries}
    return list(latest.values())


def build_full_list(servers: int, versions: Iterable[ListVersion]) -> list[ListEntry]:
    """The whole list after these versions, without those that have left."""
    latest = {(server, 0): ListEntry(server, 0, Lifecycle.ACTIVE, None) for server in range(servers)}
    for entry in merge_versions(versions):
        latest[entry.server, entry.replacements] = entry
    return [entry for entry in latest.values() if entry.lifecycle is not Lifecycle.LEFT]


def _published(
    service: DiscoveryService, layout: Layout, timeline: Sequence[events.Event]
) -> Iterator[_Change]:
    replacements: dict[int, int] = defaultdict(int)
    latest: dict[int, float] = defaultdict(float)  # an instance's changes keep their order
    for event in timeline:
        if not isinstance(event, LISTED_EVENTS):
            continue
        vanished = isinstance(event, events.ServersVanished)
        noticed_s = event.at_s + (service.failure_notice_s if vanished else 0.0)
        for server in event.servers:
            started_s = None
            if isinstance(event, events.ServersStarted):
                replacements[server] += event.replaced
                started_s = event.at_s
            period = math.ceil(noticed_s / service.period_s)
            published_s = max(latest[server], period * service.period_s + service.lag_s)
            latest[server] = published_s
            entry = ListEntry(server, replacements[server], LIFECYCLE_AFTER[type(event)], started_s)
            yield _Change(published_s, layout.servers[server].region, entry)


def _versions(
    service: DiscoveryService,
    changes: Iterable[_Change],
    region: int,
    splits: dict[frozenset[int], list[TimeSpan]],
) -> list[ListVersion]:
    by_release: dict[float, list[ListEntry]] = defaultdict(list)
    for change in changes:
        release_s = change.published_s
        if change.region != region:
            release_s += service.cross_region_lag_s
            for split in splits.get(frozenset((region, change.region)), ()):
                release_s = split.delay(release_s)
        by_release[release_s].append(change.entry)
    return [
        ListVersion(generation, release_s, tuple(by_release[release_s]))
        for generation, release_s in enumerate(sorted(by_release), FIRST_GENERATION + 1)
    ]


def _splits(timeline: Sequence[events.Event], end_s: float) -> dict[frozenset[int], list[TimeSpan]]:
    splits: dict[frozenset[int], list[TimeSpan]] = defaultdict(list)
    for event in timeline:
        if isinstance(event, events.RegionsSplit):
            splits[frozenset(event.regions)].append(TimeSpan(event.at_s, end_s))
        elif isinstance(event, events.RegionsHealed):
            _close(splits[frozenset(event.regions)], event.at_s)
    return splits


def _outages(timeline: Sequence[events.Event], end_s: float) -> dict[int, list[TimeSpan]]:
    outages: dict[int, list[TimeSpan]] = defaultdict(list)
    for event in timeline:
        if isinstance(event, events.DiscoverySilenced):
            for region in event.regions:
                outages[region].append(TimeSpan(event.at_s, end_s))
        elif isinstance(event, events.DiscoveryReturned):
            for region in event.regions:
                _close(outages[region], event.at_s)
    return outages


def _close(spans: list[TimeSpan], at_s: float) -> None:
    for span in spans:
        span.end_s = min(span.end_s, at_s)
