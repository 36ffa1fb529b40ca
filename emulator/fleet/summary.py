"""The figures of a whole run, computed from its measures, and the bars that they have to hold."""

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
    mean_discovery_bytes_per_s,
    summarize_changes,
    summarize_servers,
)
from emulator.fleet.tenant_quota import TokenBucket, tracked_tenant_count

BALANCER_ROLE, HOLLOW_ROLE = "balancer", "hollow"

CHANGE_BAR_S = 4.0
CPU_CORES_BAR = 0.023
MEMORY_BAR_MB = 32.0
DISCOVERY_BYTES_PER_S_BAR = 4000.0
ADDED_LATENCY_BAR_MS = 6.8
MIN_CARRIED_SHARE = 0.97  # of the scenario's requests; with less, this machine was too slow for the scenario
# Of the time from when a request is due until it starts; with more, the latencies include delays of this
# machine.
MAX_P99_ARRIVAL_LAG_MS = 20.0


class RequestFigures(msgspec.Struct, frozen=True):
    """Requests of the whole run, at the hollow or at the real balancers."""

    asked_per_s: float  # requested by the scenario
    carried_per_s: float  # those of them that started in time; this machine was too slow for the others
    ended: dict[str, int]
    tries_per_request: float
    added: LatencySummary
    lag: LatencySummary


class DecisionFigures(msgspec.Struct, frozen=True):
    """Costs of the decision module in the hollow balancers."""

    attempts_per_request: float
    cancels_per_request: float
    not_sent_per_request: float
    cpu_us_per_request: float
    log_bytes_per_s: float  # of one balancer
    resident_mb_per_balancer: float | None  # a worker's whole memory, divided by its number of balancers


class TenantFigures(msgspec.Struct, frozen=True):
    """Requests of the tracked tenants, and how many of them are within the tenants' quotas."""

    followed: int  # number of tracked tenants
    asked: int  # requests
    within_split: int  # with each quota split evenly over the balancers
    within_fleet: int  # with each quota kept for the whole fleet


class ReadyFigures(msgspec.Struct, frozen=True):
    """Time from a balancer's start until it is ready; only restarts count."""

    starts: int
    p50_ms: float
    max_ms: float
    longest_wait_ms: float  # of a hollow balancer for other starts in its worker; 0 for real ones


class RoleFigures(msgspec.Struct, frozen=True):
    """Resources used by the processes of one role: means over the processes, and the maximum of all."""

    processes: int
    cpu_share: float
    cpu_share_max: float
    resident_mb: float
    resident_mb_max: float
    log_bytes_per_s: float
    network_bytes_per_s: float | None  # of all its processes, both directions; None if not measured


class Bar(msgspec.Struct, frozen=True):
    """One figure and its upper limit; `value` is None if the run did not measure the figure."""

    name: str
    value: float | None
    limit: float
    unit: str

    @property
    def holds(self) -> bool:
        """Whether the figure is within its limit; false if it was not measured."""
        return self.value is not None and self.value <= self.limit


class Summary(msgspec.Struct, frozen=True):
    """All figures of a run."""

    scenario: str
    seed: int
    planned_s: float
    elapsed_s: float
    starting_s: float
    time_compression: float
    interrupted: bool
    dead: list[str]  # names of the processes that failed
    notes: list[str]  # reasons why the figures may be unreliable
    change: ChangeInForce
    hollow: RequestFigures | None
    real: RequestFigures | None
    decisions: DecisionFigures | None
    tenants: TenantFigures | None
    hollow_ready: ReadyFigures | None
    real_ready: ReadyFigures | None
    roles: dict[str, RoleFigures]
    discovery_bytes_per_s: float | None  # of one balancer, both directions
    servers: ServerFigures
    unsound_answers: int
    bars: list[Bar]


def summarize_run(record: RunRecord) -> Summary:
    """Compute the figures of a complete or an interrupted run."""
    hollow, real = _summarize_hollow_requests(record), _summarize_real_requests(record)
    roles = _summarize_roles(record)
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
        dead=[failure.name for failure in record.failed_processes],
        notes=_find_notes(hollow, real),
        change=change,
        hollow=hollow,
        real=real,
        decisions=_summarize_decisions(record.hollow, roles.get(HOLLOW_ROLE)),
        tenants=_summarize_tenants(record),
        hollow_ready=_summarize_hollow_starts(record.hollow),
        real_ready=_summarize_starts(record.real_ready_ms, []),
        roles=roles,
        discovery_bytes_per_s=per_balancer,
        servers=servers,
        unsound_answers=sum(measure.unsound_answers for measure in record.clients),
        bars=_build_bars(change, roles, per_balancer, real, servers, len(record.failed_processes)),
    )


# ---- requests ----


def _summarize_hollow_requests(record: RunRecord) -> RequestFigures | None:
    real = range(record.scenario.balancers.real)
    return _summarize_requests(record, record.hollow, 1 - _traffic_share_of(record, real))


def _summarize_real_requests(record: RunRecord) -> RequestFigures | None:
    return _summarize_requests(
        record, record.clients, _traffic_share_of(record, range(record.scenario.balancers.real))
    )


def _traffic_share_of(record: RunRecord, balancers: Iterable[int]) -> float:
    layout, zones = build_layout(record.scenario, record.seed), record.scenario.zones()
    members = layout.balancer_zones
    return sum(zones[members[n]].traffic_share / members.count(members[n]) for n in balancers)


def _summarize_requests(
    record: RunRecord, measures: list[HollowMeasure] | list[ClientMeasure], share: float
) -> RequestFigures | None:
    if not measures:
        return None
    carried = sum(measure.requests.asked - measure.requests.missed for measure in measures)
    tries = sum(measure.requests.tries for measure in measures)
    ended = {
        outcome: sum(measure.requests.ended.get(outcome, 0) for measure in measures)
        for outcome in REQUEST_OUTCOMES
    }
    measured_s = max(measure.at_s for measure in measures)
    return RequestFigures(
        asked_per_s=record.scenario.requests_per_s * share,
        carried_per_s=carried / measured_s,
        ended=ended,
        tries_per_request=tries / max(1, carried),
        added=merge_summaries(measure.added for measure in measures),
        lag=merge_summaries(measure.lag for measure in measures),
    )


def _find_notes(hollow: RequestFigures | None, real: RequestFigures | None) -> list[str]:
    notes = []
    for name, figures in (("hollow", hollow), ("real", real)):
        if figures is None:
            continue
        carried, asked, lag_ms = figures.carried_per_s, figures.asked_per_s, figures.lag.p99_us / 1e3
        if carried < MIN_CARRIED_SHARE * asked:
            notes.append(f"{name}: this machine carried {carried:.0f} of {asked:.0f} requests a second")
        if lag_ms > MAX_P99_ARRIVAL_LAG_MS:
            notes.append(
                f"{name}: requests started late, p99 {lag_ms:.0f} ms: latencies include this machine's delays"
            )
    return notes


def _summarize_decisions(measures: list[HollowMeasure], role: RoleFigures | None) -> DecisionFigures | None:
    carried = sum(measure.requests.asked - measure.requests.missed for measure in measures)
    if not carried:
        return None
    balancer_seconds = sum(measure.balancers for measure in measures)
    balancers_per_process = max(measure.balancers for measure in measures)
    return DecisionFigures(
        attempts_per_request=sum(measure.attempts for measure in measures) / carried,
        cancels_per_request=sum(measure.cancels for measure in measures) / carried,
        not_sent_per_request=sum(measure.not_sent for measure in measures) / carried,
        cpu_us_per_request=sum(measure.decision_us for measure in measures) / carried,
        log_bytes_per_s=sum(measure.log_bytes for measure in measures) / max(1, balancer_seconds),
        resident_mb_per_balancer=None if role is None else role.resident_mb / max(1, balancers_per_process),
    )


def _summarize_tenants(record: RunRecord) -> TenantFigures | None:
    if not record.hollow:
        return None
    asked = sum(sum(measure.tenant_asked) for measure in record.hollow)
    within_split = sum(sum(measure.tenant_within_split) for measure in record.hollow)
    return TenantFigures(
        followed=tracked_tenant_count(record.scenario),
        asked=asked,
        within_split=within_split,
        within_fleet=_count_within_fleet(record),
    )


def _count_within_fleet(record: RunRecord) -> int:
    """Requests that quotas kept for all hollow balancers together would admit, in steps of one second."""
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
        for bucket, asked_in_second in zip(buckets, map(sum, zip(*asked, strict=True)), strict=False):
            within += bucket.consume(float(second), asked_in_second)
    return within


# ---- starts ----


def _summarize_hollow_starts(measures: list[HollowMeasure]) -> ReadyFigures | None:
    # The measure of the first second contains the initial starts.
    restarts = [measure for measure in measures if measure.at_s > 1]
    ready_ms = [value for measure in restarts for value in measure.ready_ms]
    return _summarize_starts(ready_ms, [value for measure in restarts for value in measure.ready_wait_ms])


def _summarize_starts(took_ms: list[float], waited_ms: list[float]) -> ReadyFigures | None:
    if not took_ms:
        return None
    return ReadyFigures(len(took_ms), median(took_ms), max(took_ms), max(waited_ms, default=0.0))


# ---- processes ----


def _summarize_roles(record: RunRecord) -> dict[str, RoleFigures]:
    by_role: dict[str, list[ProcessMeasure]] = defaultdict(list)
    for measure in record.processes:
        by_role[measure.role].append(measure)
    network = {
        HOLLOW_ROLE: _mean_hollow_bytes_per_s(record.hollow),
        DISCOVERY_ROLE: mean_discovery_bytes_per_s(record),
    }
    return {role: _summarize_role(measures, network.get(role)) for role, measures in by_role.items()}


def _mean_hollow_bytes_per_s(measures: list[HollowMeasure]) -> float | None:
    """Bytes of the batches between workers and photo servers; discovery counts its own bytes."""
    if not measures:
        return None
    moved = sum(measure.bytes_sent + measure.bytes_received for measure in measures)
    return moved / max(measure.at_s for measure in measures)


def _summarize_role(measures: list[ProcessMeasure], network_bytes_per_s: float | None) -> RoleFigures:
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


def _build_bars(
    change: ChangeInForce,
    roles: dict[str, RoleFigures],
    bytes_per_s: float | None,
    real: RequestFigures | None,
    servers: ServerFigures,
    failed_process_count: int,
) -> list[Bar]:
    """The bars of a fleet; the cost of a balancer is that of its whole process, including its requests."""
    balancer = roles.get(BALANCER_ROLE)
    cpu_share = None if balancer is None else balancer.cpu_share
    memory_mb = None if balancer is None else balancer.resident_mb
    added_ms = None if real is None or not real.added.count else real.added.p99_us / 1e3
    return [
        Bar("change in force, p99 of the worst calm second", change.calm_p99_s, CHANGE_BAR_S, "s"),
        Bar("CPU share of a real balancer", cpu_share, CPU_CORES_BAR, "cores"),
        Bar("memory of a real balancer", memory_mb, MEMORY_BAR_MB, "MB"),
        Bar("bytes of discovery for a balancer", bytes_per_s, DISCOVERY_BYTES_PER_S_BAR, "B/s"),
        Bar("added latency of real balancers, p99", added_ms, ADDED_LATENCY_BAR_MS, "ms"),
        Bar("cold servers pushed over", servers.pushed_over, 0.0, "servers"),
        Bar("processes that died", float(failed_process_count), 0.0, "processes"),
    ]
