"""Layout, timeline and list versions as functions of scenario and seed, and a balancer's configuration."""

from __future__ import annotations

import json
import math
import time
from collections import Counter
from pathlib import Path

import msgspec
import pytest

from dykeshift.node import config
from dykeshift.node.listing import ListReader
from dykeshift.settings import parse_settings
from emulator.discovery_schema import Listing
from emulator.fleet import timeline as events
from emulator.fleet.contract import AddressPlan
from emulator.fleet.discovery_encoding import InstanceBuilder, RegionEncoder, known_list
from emulator.fleet.discovery_list import (
    AnnouncedLifecycles,
    Lifecycle,
    ListSchedule,
    build_full_list,
    merge_versions,
)
from emulator.fleet.layout import build_layout
from emulator.fleet.process import ScenarioClock
from emulator.fleet.scenario import Scenario, load_scenario
from emulator.fleet.settings_for_balancers import build_node_config
from emulator.fleet.timeline import build_timeline, timeline_digest

SCENARIOS = Path(__file__).parents[2] / "emulator" / "scenarios"
ADDRESSES = AddressPlan(8081, 8500, 8082, (9001, 9002))


@pytest.fixture(scope="module")
def quick() -> Scenario:
    return load_scenario(SCENARIOS / "quick.toml")


def test_timeline_is_equal_for_equal_seeds_and_differs_between_seeds(quick: Scenario) -> None:
    first = build_timeline(quick, 1)
    assert build_timeline(quick, 1) == first
    assert timeline_digest(build_timeline(quick, 1)) == timeline_digest(first)
    assert timeline_digest(build_timeline(quick, 2)) != timeline_digest(first)


def test_events_are_sorted_and_within_the_run_and_the_fleet(quick: Scenario) -> None:
    timeline = build_timeline(quick, 3)
    times = [event.at_s for event in timeline]
    assert times == sorted(times)
    assert times[0] >= 0 and times[-1] <= quick.duration_s
    for event in timeline:
        assert all(0 <= server < quick.servers.count for server in getattr(event, "servers", ()))
        assert all(0 <= number < quick.balancers.total for number in getattr(event, "balancers", ()))
    assert {type(event) for event in timeline} == set(events.Event.__subclasses__())


def test_random_restarts_happen_at_their_compressed_rate() -> None:
    target = load_scenario(SCENARIOS / "target.toml").model_copy(update={"events": ()})
    expected = 1200 * target.time_compression * target.duration_s / 86_400
    drains = sum(isinstance(event, events.ServersDrained) for event in build_timeline(target, 1))
    assert abs(drains - expected) < 5 * math.sqrt(expected)
    slow = target.model_copy(update={"time_compression": 1.0})
    assert sum(isinstance(event, events.ServersDrained) for event in build_timeline(slow, 1)) < 20


def test_events_of_one_server_do_not_overlap() -> None:
    """Guards against random events that stop a server that another event has already stopped."""
    target = load_scenario(SCENARIOS / "target.toml")
    down: Counter[int] = Counter()
    for event in build_timeline(target, 1):
        if isinstance(event, events.ServersDrained | events.ServersVanished):
            down.update(event.servers)
            assert all(down[server] == 1 for server in event.servers)
        elif isinstance(event, events.ServersStarted):
            down.subtract(event.servers)


def test_zone_failure_stops_all_its_servers_and_balancers(quick: Scenario) -> None:
    layout, timeline = build_layout(quick, 1), build_timeline(quick, 1)
    zone = layout.zone_names.index("koege")
    vanished = next(
        event for event in timeline if isinstance(event, events.ServersVanished) and event.at_s == 9.0
    )
    assert list(vanished.servers) == layout.servers_in_zone(zone)
    stopped = next(event for event in timeline if isinstance(event, events.BalancersStopped))
    assert list(stopped.balancers) == layout.balancers_in_zone(zone)


def test_members_are_placed_by_the_shares_of_zones_and_kinds() -> None:
    target = load_scenario(SCENARIOS / "target.toml")
    layout = build_layout(target, 1)
    assert layout == build_layout(target, 1)
    zones = target.zones()
    for number, zone in enumerate(zones):
        assert len(layout.servers_in_zone(number)) == pytest.approx(zone.server_share * 6400, abs=1)
        assert len(layout.balancers_in_zone(number)) == pytest.approx(zone.traffic_share * 420, abs=1)
    kinds = Counter(place.kind for place in layout.servers)
    assert kinds[0] == pytest.approx(0.63 * 6400, abs=1)
    assert len({layout.balancer_zones[number] for number in range(target.balancers.real)}) >= 6
    zone_of_cell: dict[int, int] = {}
    assert all(zone_of_cell.setdefault(place.cell, place.zone) == place.zone for place in layout.servers)
    assert max(Counter(place.rack for place in layout.servers).values()) == target.servers.rack_size
    assert math.fsum(layout.tenant_shares) == pytest.approx(1)
    assert layout.tenant_shares[0] > 100 * layout.tenant_shares[1000]


def test_network_delays_depend_on_zones_and_regions(quick: Scenario) -> None:
    layout = build_layout(quick, 1)
    assert layout.delays_s[0][0] == pytest.approx(0.0002)
    assert layout.delays_s[0][1] == pytest.approx(0.002)
    assert layout.delays_s[0][4] == layout.delays_s[4][0] == pytest.approx(0.012)


def test_balancer_accepts_its_configuration(quick: Scenario) -> None:
    layout = build_layout(quick, 1)
    kinds = [kind.name for kind in quick.servers.kinds]
    known = msgspec.json.decode(msgspec.json.encode(known_list(layout, ADDRESSES, kinds)))
    parsed = config.parse(json.dumps(build_node_config(quick, layout, ADDRESSES, 5, "5a", known)))
    assert parsed.settings == parse_settings(build_node_config(quick, layout, ADDRESSES, 5, "5a")["settings"])
    assert parsed.listen == ("127.66.0.6", 8082) and parsed.discovery == ("127.65.0.6", 8500)
    assert parsed.settings.balancer_index == 5 and parsed.settings.zone == layout.balancer_zones[5]
    assert parsed.settings.cold_capacity_share == quick.cold_start.from_share
    assert len(parsed.settings.tenant_quotas_per_s) == quick.tenants.count
    assert parsed.known_list is not None
    reader = ListReader(parsed.zones, parsed.kinds)
    rows = [reader.convert(row) for row in parsed.known_list.servers]
    assert (parsed.known_list.generation, parsed.known_list.is_full, len(rows)) == (
        1,
        True,
        quick.servers.count,
    )
    assert rows[0].address == "127.64.0.1:8081"
    assert {row.entry.zone for row in rows} == set(range(7)) and {row.entry.kind for row in rows} == {0, 1}


def schedule_for(scenario: Scenario, *timeline: events.Event) -> ListSchedule:
    return ListSchedule(scenario, build_layout(scenario, 1), timeline, 1)


def test_change_reaches_the_other_region_after_its_lag_and_any_split(quick: Scenario) -> None:
    drained = events.ServersDrained(2.0, (0,))
    releases_without_split = schedule_for(quick, drained).versions
    assert [versions[0].release_s for versions in releases_without_split] == [2.5, 2.8]
    split = (events.RegionsSplit(1.0, (0, 1)), drained, events.RegionsHealed(9.0, (0, 1)))
    releases_after_split = schedule_for(quick, *split).versions
    assert [versions[0].release_s for versions in releases_after_split] == [2.5, 9.0]


def test_agent_publishes_changes_after_its_jitter_and_after_an_outage(quick: Scenario) -> None:
    outage = (events.DiscoverySilenced(2.0, (0,)), events.DiscoveryReturned(4.0, (0,)))
    schedule = schedule_for(quick, *outage)
    near = next(n for n in range(21) if schedule.layout.balancer_region(n) == 0)
    far = next(n for n in range(21) if schedule.layout.balancer_region(n) == 1)
    assert schedule.visible_at_s(near, 1.0) == 1.0 + schedule.jitter_s[near] < 1.12
    assert schedule.visible_at_s(near, 2.5) == 4.0
    assert schedule.visible_at_s(far, 2.5) == 2.5 + schedule.jitter_s[far]


def test_server_list_shows_a_replacement_and_a_restart(quick: Scenario) -> None:
    versions = schedule_for(
        quick,
        events.ServersDrained(1.0, (3, 4)),
        events.ServersStopped(2.0, (3, 4)),
        events.ServersStarted(3.0, (3,), True),
        events.ServersStarted(3.0, (4,), False),
    ).versions[0]
    assert [version.generation for version in versions] == [2, 3, 4]
    left = {entry.server for entry in versions[1].entries if entry.lifecycle is Lifecycle.LEFT}
    assert left == {3, 4}
    assert len(build_full_list(240, versions[:2])) == 238
    listed = {(entry.server, entry.replacements): entry.started_s for entry in build_full_list(240, versions)}
    assert len(listed) == 240 and (3, 0) not in listed
    assert listed[3, 1] == listed[4, 0] == 3.0 and listed[5, 0] is None
    changed = {(entry.server, entry.replacements): entry.lifecycle for entry in merge_versions(versions)}
    kinds = [kind.name for kind in quick.servers.kinds]
    builder = InstanceBuilder(build_layout(quick, 1), ADDRESSES, kinds, lambda at_s: int(at_s * 1000))
    encoder = RegionEncoder(versions, 240, builder)
    listing: Listing = msgspec.json.decode(encoder.full_list(4), type=Listing)
    assert (listing.generation, listing.reset, len(listing.instances)) == (4, True, 240)
    assert {row.instance_id for row in listing.instances} >= {"s-00003-1", "s-00004-0"}
    delta: Listing = msgspec.json.decode(encoder.delta(3, 4), type=Listing)
    assert (delta.generation, delta.reset) == (4, False)
    assert [(row.instance_id, row.started_at_ms) for row in delta.instances] == [
        ("s-00003-1", 3000),
        ("s-00004-0", 3000),
    ]
    assert changed[3, 0] is Lifecycle.LEFT and changed[3, 1] is changed[4, 0] is Lifecycle.ACTIVE


def test_unix_time_of_a_scenario_time_never_changes() -> None:
    """Discovery lists a server's start as a Unix time; a value that varies would look like another start."""
    clock = ScenarioClock(time.monotonic_ns())
    unix_times = {clock.unix_ms(1.5) for _ in range(20_000)}
    assert len(unix_times) == 1 and abs(unix_times.pop() - time.time() * 1e3 - 1500) < 1000


def test_attempt_counts_as_late_only_after_the_drain_grace_from_the_announcement(quick: Scenario) -> None:
    lifecycles = AnnouncedLifecycles(schedule_for(quick, events.ServersDrained(2.0, (0,))))
    assert not lifecycles.should_have_stopped(0, 0, 2.7, 0.35)  # informed between 2.5 and 2.62 s
    assert lifecycles.should_have_stopped(0, 0, 3.0, 0.35)
    assert not lifecycles.should_have_stopped(0, 1, 3.0, 0.35)
