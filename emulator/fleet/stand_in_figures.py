"""Figures of a run that come from the stand-ins: discovery and the photo servers."""

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
RECOVERY_S = 5.0  # after a disturbance is over

# What begins and ends a time in which discovery can't reach all balancers.
_DISTURBS = DiscoverySilenced | WatchesSilenced | RegionsSplit | BalancersStopped
_MENDS = DiscoveryReturned | WatchesReturned | RegionsHealed | BalancersStarted


class ChangeInForce(msgspec.Struct, frozen=True):
    """From a change's release at discovery until a balancer acknowledges it; None where none was measured."""

    acknowledged: int
    pending: int  # at the end
    p50_s: float | None
    p99_s: float | None
    max_s: float | None
    calm_p99_s: float | None  # of the worst second in which nothing was down


class ServerFigures(msgspec.Struct, frozen=True):
    """What the photo servers tell."""

    pushed_over: float | None  # cold servers that fell over


def summarize_changes(record: RunRecord) -> ChangeInForce:
    """Over both kinds of balancers, from discovery's own measures."""
    lines = record.stand_in_measures.get(DISCOVERY_ROLE, [])
    seconds = [line for line in lines if line["type"] == "DiscoverySecond"]
    total = next((line for line in lines if line["type"] == "DiscoveryTotal"), None)
    groups = [total[kind] for kind in ("hollow", "real")] if total is not None else []
    groups = [group for group in groups if group["acknowledged"]]
    spans = _disturbed_spans(record.played_events())
    calm = [
        line[kind]["p99_ms"] / 1e3
        for line in seconds
        for kind in ("hollow", "real")
        if line[kind]["acknowledged"] and not _within(spans, line["at_s"])
    ]
    return ChangeInForce(
        acknowledged=sum(group["acknowledged"] for group in groups),
        pending=sum(group["pending"] for group in groups),
        p50_s=max((group["p50_ms"] / 1e3 for group in groups), default=None),
        p99_s=max((group["p99_ms"] / 1e3 for group in groups), default=None),
        max_s=max((group["max_ms"] / 1e3 for group in groups), default=None),
        calm_p99_s=max(calm, default=None),
    )


def mean_discovery_bytes_per_s(record: RunRecord) -> float | None:
    """Bytes between discovery and all balancers in a second, on average."""
    lines = [
        line for line in record.stand_in_measures.get(DISCOVERY_ROLE, []) if line["type"] == "DiscoverySecond"
    ]
    if not lines:
        return None
    moved = sum(line["sent_bytes"] + line["received_bytes"] for line in lines)
    return float(moved) / len(lines)


def summarize_servers(record: RunRecord) -> ServerFigures:
    """Over all shards."""
    lines = record.stand_in_measures.get(PHOTO_SERVERS_ROLE, [])
    if not lines:
        return ServerFigures(pushed_over=None)
    falls = sum(len(line["falls"]) for line in lines if line["type"] == "PhotoServersSecond")
    return ServerFigures(pushed_over=float(falls))


def _disturbed_spans(events: list[Event]) -> list[tuple[float, float]]:
    """Begin and end of each stretch in which something keeps a change from some balancers."""
    spans, open_since, disturbed = [], 0.0, 0
    for event in events:
        if isinstance(event, _DISTURBS):
            open_since = event.at_s if disturbed == 0 else open_since
            disturbed += 1
        elif isinstance(event, _MENDS):
            disturbed -= 1
            if disturbed == 0:
                spans.append((open_since, event.at_s + RECOVERY_S))
    if disturbed:
        spans.append((open_since, float("inf")))
    return spans


def _within(spans: list[tuple[float, float]], second_end_s: float) -> bool:
    return any(begin <= second_end_s and second_end_s - 1 <= end for begin, end in spans)
