"""The figures of a whole run, worked out from its measures, and the bars that they are held against."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from statistics import fmean, median

import msgspec

from emulator.fleet.latency import LatencySummary, merge_summaries
from emulator.fleet.layout import build_layout
from emulator.fleet.measures import REQUEST_OUTCOMES, ClientMeasure, HollowMeasure, ProcessMeasure
from emulator.fleet.run_record import RunRecord
from emulator.fleet.settings_for_balancers import build_settings
from emulator.fleet.stand_in_figures import (
    DISCOVERY_ROLE,
    ChangeInForce,
    ServerFigures,
    summarize_changes,
    mean_discovery_bytes_per_s,
    summarize_servers,
)
from emulator.fleet.tenant_quota import TokenBucket, tracked_tenant_count

BALANCER_ROLE, HOLLOW_ROLE = "balancer", "hollow"

CHANGE_BAR_S = 4.0
CPU_SHARE_BAR = 0.023
MEMORY_BAR_MB = 32.0
BYTES_BAR_PER_S = 4000.0
ADDED_BAR_MS = 6.8
CARRIED_SHARE = 0.97  # of the scenario's requests: with less the machine did not carry it
LAG_LIMIT_MS = 20.0  # p99 of how late arrivals were taken: with more latencies show the machine, too


class RequestFigures(msgspec.Struct, frozen=True):
    """Requests over the whole run, of the hollow or of the real balancers."""

    asked_per_s: float  # by the scenario
    carried_per_s: float  # made in time, of those asked; the machine was too slow for the others
    ended: dict[str, int]
    tries_per_request: float
    added: LatencySummary
    lag: LatencySummary


class DecisionFigures(msgspec.Struct, frozen=True):
    """What the decision module costs in the hollow balancers."""

    attempts_per_request: float
    cancels_per_request: float
    not_sent_per_request: float
    cpu_us_per_request: float
    log_bytes_per_s: float  # of one balancer
    resident_mb_per_balancer: float | None  # of the worker's whole memory


class TenantFigures(msgspec.Struct, frozen=True):
    """Requests of the followed tenants that are within their quotas, split evenly or over the whole fleet."""

    followed: int
    asked: int
    within_split: int
    within_fleet: int


class ReadyFigures(msgspec.Struct, frozen=True):
    """From a balancer's start until it is ready, restarts alone."""

    starts: int
    p50_ms: float
    max_ms: float
    longest_wait_ms: float  # for its turn in a worker, which only hollow ones have


class RoleFigures(msgspec.Struct, frozen=True):
    """What the processes of one role use, each on average and the largest at its peak."""

    processes: int
    cpu_share: float
    cpu_share_max: float
    resident_mb: float
    resident_mb_max: float
    log_bytes_per_s: float
    network_bytes_per_s: float | None  # of all its processes, sent and received; None where nobody counts


class Bar(msgspec.Struct, frozen=True):
    """One figure and the most that it may be; `value` is None where the run did not measure it."""

    name: str
    value: float | None
    limit: float
    unit: str

    @property
    def holds(self) -> bool:
        """A figure that was not measured does not hold."""
        return self.value is not None and self.value <= self.limit


class Summary(msgspec.Struct, frozen=True):
    """Everything that a run has shown, in figures."""

    scenario: str
    seed: int
    planned_s: float
    elapsed_s: float
    starting_s: float
    time_compression: float
    interrupted: bool
    dead: list[str]
    notes: list[str]  # what limits how far the figures may be trusted
    change: ChangeInForce
    hollow: RequestFigures | None
    real: RequestFigures | None
    decisions: DecisionFigures | None
    tenants: TenantFigures | None
    hollow_ready: ReadyFigures | None
    real_ready: ReadyFigures | None
    roles: dict[str, RoleFigures]
    discovery_bytes_per_s: float | None  # to and from one balancer
    servers: ServerFigures
    unsound_answers: int
    bars: list[Bar]


def summarize_run(record: RunRecord) -> Summary:
    """Work out the figures of a run, be it whole or cut short."""
    hollow, real = _hollow_requests(record), _real_requests(record)
    roles = _roles(record)
    change = summarize_changes(record)
    servers = summarize_servers(record)
    discovery_bytes = mean_discovery_bytes_per_s(record)
    total = record.scenario.balancers.total
    per_balancer = None if discovery_bytes is None else discovery_bytes / total
    return Summary(
        scenario=record.scenario.name,
        seed=record.seed,
        planned_s=record.scenario.duration_s,
        elapsed_s=round(record.elapsed_s, 3),
        starting_s=round(record.starting_s, 3),
        time_compression=record.scenario.time_compression,
        interrupted=record.interrupted,
        dead=[dead.name for dead in record.failed_processes],
        notes=_notes(hollow, real),
        change=change,
        hollow=hollow,
        real=real,
        decisions=_decisions(record.hollow, roles.get(HOLLOW_ROLE)),
        tenants=_tenants(record),
        hollow_ready=_hollow_ready(record.hollow),
        real_ready=_ready(record.real_ready_ms, []),
        roles=roles,
        discovery_bytes_per_s=per_balancer,
        servers=servers,
        unsound_answers=sum(measure.unsound_answers for measure in record.clients),
        bars=_bars(change, roles, per_balancer, real, servers, len(record.failed_processes)),
    )


# ---- requests ----


def _hollow_requests(record: RunRecord) -> RequestFigures | None:
    real = range(record.scenario.balancers.real)
    return _requests(record, record.hollow, 1 - _share_of(record, real))


def _real_requests(record: RunRecord) -> RequestFigures | None:
    return _requests(record, record.clients, _share_of(record, range(record.scenario.balancers.real)))


def _share_of(record: RunRecord, balancers: Iterable[int]) -> float:
    layout, zones = build_layout(record.scenario, record.seed), record.scenario.zones()
    members = layout.balancer_zones
    return sum(zones[members[n]].traffic_share / members.count(members[n]) for n in balancers)


def _requests(
    record: RunRecord, measures: list[HollowMeasure] | list[ClientMeasure], share: float
) -> RequestFigures | None:
    if not measures:
        return None
    carried = sum(measure.requests.asked - measure.requests.missed for measure in measures)
    tries = sum(measure.requests.tries for measure in measures)
    ended = {end: sum(measure.requests.ended.get(end, 0) for measure in measures) for end in REQUEST_OUTCOMES}
    measured_s = max(measure.at_s for measure in measures)
    return RequestFigures(
        asked_per_s=record.scenario.requests_per_s * share,
        carried_per_s=carried / measured_s,
        ended=ended,
        tries_per_request=tries / max(1, carried),
        added=merge_summaries(measure.added for measure in measures),
        lag=merge_summaries(measure.lag for measure in measures),
    )


def _notes(hollow: RequestFigures | None, real: RequestFigures | None) -> list[str]:
    notes = []
    for name, figures in (("hollow", hollow), ("real", real)):
        if figures is None:
            continue
        carried, asked, lag_ms = figures.carried_per_s, figures.asked_per_s, figures.lag.p99_us / 1e3
        if carried < CARRIED_SHARE * asked:
            notes.append(f"{name}: this machine carried {carried:.0f} of {asked:.0f} requests a second")
        if lag_ms > LAG_LIMIT_MS:
            notes.append(f"{name}: arrivals were taken late, p99 {lag_ms:.0f} ms: latencies show it too")
    return notes


def _decisions(measures: list[HollowMeasure], role: RoleFigures | None) -> DecisionFigures | None:
    carried = sum(measure.requests.asked - measure.requests.missed for measure in measures)
    if not carried:
        return None
    balancer_seconds = sum(measure.balancers for measure in measures)
    hosted = max(measure.balancers for measure in measures)  # by one process
    return DecisionFigures(
        attempts_per_request=sum(measure.attempts for measure in measures) / carried,
        cancels_per_request=sum(measure.cancels for measure in measures) / carried,
        not_sent_per_request=sum(measure.not_sent for measure in measures) / carried,
        cpu_us_per_request=sum(measure.decision_us for measure in measures) / carried,
        log_bytes_per_s=sum(measure.log_bytes for measure in measures) / max(1, balancer_seconds),
        resident_mb_per_balancer=None if role is None else role.resident_mb / max(1, hosted),
    )


def _tenants(record: RunRecord) -> TenantFigures | None:
    if not record.hollow:
        return None
    asked = sum(sum(measure.tenant_asked) for measure in record.hollow)
    split = sum(sum(measure.tenant_within_split) for measure in record.hollow)
    return TenantFigures(
        followed=tracked_tenant_count(record.scenario),
        asked=asked,
        within_split=split,
        within_fleet=_within_fleet(record),
    )


def _within_fleet(record: RunRecord) -> int:
    """What shares kept over all hollow balancers would let in, to a second's accuracy."""
    layout = build_layout(record.scenario, record.seed)
    settings = build_settings(record.scenario, layout, 0)
    total = record.scenario.balancers.total
    hollow_part = (total - record.scenario.balancers.real) / total
    quotas = [party["quotaPerS"] * hollow_part for party in settings["parties"]]
    seconds: dict[int, list[list[int]]] = defaultdict(list)
    for measure in record.hollow:
        seconds[round(measure.at_s)].append(measure.tenant_asked)
    buckets = [TokenBucket(quota, 0.0) for quota in quotas[: tracked_tenant_count(record.scenario)]]
    within = 0
    for second, asked in sorted(seconds.items()):
        for bucket, wanted in zip(buckets, map(sum, zip(*asked, strict=True)), strict=False):
            within += bucket.consume(float(second), wanted)
    return within


# ---- starts ----


def _hollow_ready(measures: list[HollowMeasure]) -> ReadyFigures | None:
    restarts = [measure for measure in measures if measure.at_s > 1]  # the first second tells of the start
    took = [value for measure in restarts for value in measure.ready_ms]
    return _ready(took, [value for measure in restarts for value in measure.ready_wait_ms])


def _ready(took_ms: list[float], waited_ms: list[float]) -> ReadyFigures | None:
    if not took_ms:
        return None
    return ReadyFigures(len(took_ms), median(took_ms), max(took_ms), max(waited_ms, default=0.0))


# ---- processes ----


def _roles(record: RunRecord) -> dict[str, RoleFigures]:
    by_role: dict[str, list[ProcessMeasure]] = defaultdict(list)
    for measure in record.processes:
        by_role[measure.role].append(measure)
    network = {
        HOLLOW_ROLE: _hollow_bytes_per_s(record.hollow),
        DISCOVERY_ROLE: mean_discovery_bytes_per_s(record),
    }
    return {role: _role(own, network.get(role)) for role, own in by_role.items()}


def _hollow_bytes_per_s(measures: list[HollowMeasure]) -> float | None:
    """Of the batches between the workers and the photo servers; discovery counts its own."""
    if not measures:
        return None
    moved = sum(measure.bytes_sent + measure.bytes_received for measure in measures)
    return moved / max(measure.at_s for measure in measures)


def _role(measures: list[ProcessMeasure], network_bytes_per_s: float | None) -> RoleFigures:
    return RoleFigures(
        processes=len({measure.index for measure in measures}),
        cpu_share=fmean(measure.cpu_share for measure in measures),
        cpu_share_max=max(measure.cpu_share for measure in measures),
        resident_mb=fmean(measure.resident_mb for measure in measures),
        resident_mb_max=max(measure.resident_mb for measure in measures),
        log_bytes_per_s=fmean(measure.log_bytes_per_s for measure in measures),
        network_bytes_per_s=network_bytes_per_s,
    )


# ---- bars ----


def _bars(
    change: ChangeInForce,
    roles: dict[str, RoleFigures],
    bytes_per_s: float | None,
    real: RequestFigures | None,
    servers: ServerFigures,
    dead: int,
) -> list[Bar]:
    """What a fleet has to hold; a balancer's cost is that of its whole process, requests included."""
    balancer = roles.get(BALANCER_ROLE)
    cpu_share = None if balancer is None else balancer.cpu_share
    memory_mb = None if balancer is None else balancer.resident_mb
    added_ms = None if real is None or not real.added.count else real.added.p99_us / 1e3
    return [
        Bar("change in force, p99 of the worst calm second", change.calm_p99_s, CHANGE_BAR_S, "s"),
        Bar("CPU share of a real balancer", cpu_share, CPU_SHARE_BAR, "cores"),
        Bar("memory of a real balancer", memory_mb, MEMORY_BAR_MB, "MB"),
        Bar("bytes of discovery for a balancer", bytes_per_s, BYTES_BAR_PER_S, "B/s"),
        Bar("added latency of real balancers, p99", added_ms, ADDED_BAR_MS, "ms"),
        Bar("cold servers pushed over", servers.pushed_over, 0.0, "servers"),
        Bar("processes that died", float(dead), 0.0, "processes"),
    ]
