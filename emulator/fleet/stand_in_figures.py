"""Figures of a run from the measures of the stand-ins: discovery and the photo servers."""

from __future__ import annotations

import msgspec

from emulator.fleet.run_record import RunRecord
from emulator.fleet.timeline import (
    BalancersStarted,
    BalancersStopped,
    DiscoveryReturned,
    DiscoverySilenced,
    Event,
    RegionsHealed,
    RegionsSplit,
    WatchesReturned,
    WatchesSilenced,
)

DISCOVERY_ROLE = "discovery"
PHOTO_SERVERS_ROLE = "photo_servers"
RECOVERY_TIME_S = 5.0  # the seconds until this time after a disturbance do not count as calm

# Events that begin and end a disturbance, in which discovery cannot reach all balancers.
_DISTURBANCE_BEGINS = DiscoverySilenced | WatchesSilenced | RegionsSplit | BalancersStopped
_DISTURBANCE_ENDS = DiscoveryReturned | WatchesReturned | RegionsHealed | BalancersStarted


class ChangeInForce(msgspec.Struct, frozen=True):
    """Time from a change's release at discovery until a balancer acknowledges it; None if not measured."""

    acknowledged: int
    pending: int  # changes not acknowledged at the end of the run
    p50_s: float | None
    p99_s: float | None
    max_s: float | None
    calm_p99_s: float | None  # p99 of the worst second without a disturbance


class ServerFigures(msgspec.Struct, frozen=True):
    """Figures of the photo servers."""

    pushed_over: float | None  # cold servers that crashed by overload; None if not measured


def summarize_changes(record: RunRecord) -> ChangeInForce:
    """Summarize the changes over hollow and real balancers, from the measures of discovery."""
    measures = record.stand_in_measures.get(DISCOVERY_ROLE, [])
    seconds = [measure for measure in measures if measure["type"] == "DiscoverySecond"]
    total = next((measure for measure in measures if measure["type"] == "DiscoveryTotal"), None)
    groups = [total[kind] for kind in ("hollow", "real")] if total is not None else []
    groups = [group for group in groups if group["acknowledged"]]
    disturbed_spans = _disturbed_spans(record.played_events())
    calm_seconds_p99_s = [
        measure[kind]["p99_ms"] / 1e3
        for measure in seconds
        for kind in ("hollow", "real")
        if measure[kind]["acknowledged"] and not _overlaps_any(disturbed_spans, measure["at_s"])
    ]
    return ChangeInForce(
        acknowledged=sum(group["acknowledged"] for group in groups),
        pending=sum(group["pending"] for group in groups),
        p50_s=max((group["p50_ms"] / 1e3 for group in groups), default=None),
        p99_s=max((group["p99_ms"] / 1e3 for group in groups), default=None),
        max_s=max((group["max_ms"] / 1e3 for group in groups), default=None),
        calm_p99_s=max(calm_seconds_p99_s, default=None),
    )


def mean_discovery_bytes_per_s(record: RunRecord) -> float | None:
    """Mean number of bytes per second between discovery and all balancers, both directions."""
    measures = [
        measure
        for measure in record.stand_in_measures.get(DISCOVERY_ROLE, [])
        if measure["type"] == "DiscoverySecond"
    ]
    if not measures:
        return None
    moved = sum(measure["sent_bytes"] + measure["received_bytes"] for measure in measures)
    return float(moved) / len(measures)


def summarize_servers(record: RunRecord) -> ServerFigures:
    """Summarize the measures of all shards of photo servers."""
    measures = record.stand_in_measures.get(PHOTO_SERVERS_ROLE, [])
    if not measures:
        return ServerFigures(pushed_over=None)
    falls = sum(len(measure["falls"]) for measure in measures if measure["type"] == "PhotoServersSecond")
    return ServerFigures(pushed_over=float(falls))


def _disturbed_spans(events: list[Event]) -> list[tuple[float, float]]:
    """Begin and end of each disturbance, with the recovery after it."""
    disturbed_spans, disturbed_since_s, open_disturbances = [], 0.0, 0
    for event in events:
        if isinstance(event, _DISTURBANCE_BEGINS):
            disturbed_since_s = event.at_s if open_disturbances == 0 else disturbed_since_s
            open_disturbances += 1
        elif isinstance(event, _DISTURBANCE_ENDS):
            open_disturbances -= 1
            if open_disturbances == 0:
                disturbed_spans.append((disturbed_since_s, event.at_s + RECOVERY_TIME_S))
    if open_disturbances:
        disturbed_spans.append((disturbed_since_s, float("inf")))
    return disturbed_spans


def _overlaps_any(disturbed_spans: list[tuple[float, float]], second_end_s: float) -> bool:
    return any(begin <= second_end_s and second_end_s - 1 <= end for begin, end in disturbed_spans)
