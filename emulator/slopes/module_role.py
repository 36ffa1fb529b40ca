"""The decision module in this process: work, time and state at a given scale, on a simulated clock.

Counts and times are taken from different balancers: the number of timed runs may depend on the machine, and
must not change the counts.
"""

from __future__ import annotations

import gc

from dykeshift.interface import ServerState
from emulator.slopes.counting import count_executed_lines, measure_reachable
from emulator.slopes.deployment import NS_PER_S
from emulator.slopes.module_host import ModuleHost
from emulator.slopes.roles import Figure, MeasurementBudget, Role
from emulator.slopes.sizes import Axis, Scale
from emulator.slopes.timing import min_cpu_time_ns

WARM_UP_REQUESTS = 400  # until the balancer knows the servers and its running means have settled
TIMED_REQUESTS = 200  # in each timed run
COUNTED_REQUESTS = 50
IDLE_S = 8  # on the simulated clock, for timers and log


def _create_warm_host(scale: Scale, seed: int) -> ModuleHost:
    host = ModuleHost(scale, seed)
    host.apply_full_list()
    host.serve_requests(WARM_UP_REQUESTS)
    return host


def _serve_without_timers(host: ModuleHost, count: int) -> None:
    """Serve requests at their rate without firing timers, which are measured separately."""
    for _ in range(count):
        host.serve_request()
        host.now_ns += NS_PER_S // host.scale.requests


def _serve_timed_requests(host: ModuleHost) -> None:
    _serve_without_timers(host, TIMED_REQUESTS)


def _drain_and_reactivate(host: ModuleHost) -> None:
    """Change the state of one server twice."""
    host.change_server(ServerState.DRAINING)
    host.change_server(ServerState.READY)


def _run_idle(host: ModuleHost) -> None:
    host.max_timer_call_ns = host.log_bytes = host.timer_count = 0
    host.advance_to(host.now_ns + IDLE_S * NS_PER_S)


def measure_counts(scale: Scale, seed: int) -> list[Figure]:
    """Measure what is the same in every run with one seed, so that tests can check it on any machine."""
    list_lines = count_executed_lines(ModuleHost(scale, seed).apply_full_list)
    host = _create_warm_host(scale, seed)
    state = measure_reachable(host.balancer)
    change_lines = count_executed_lines(lambda: _drain_and_reactivate(host)) / 2
    request_lines = (
        count_executed_lines(lambda: _serve_without_timers(host, COUNTED_REQUESTS)) / COUNTED_REQUESTS
    )
    attempts = sum(host.attempts_by_server.values()) / host.request_count
    timer_lines = count_executed_lines(lambda: _run_idle(host)) / IDLE_S
    return [
        Figure("state, objects", "objects", state.objects),
        Figure("state, size", "MB", state.size / 1e6),
        Figure("whole list, lines executed", "lines", list_lines),
        Figure("one changed entry, lines executed", "lines", change_lines),
        Figure("a day of changes, lines executed", "lines", change_lines * scale.changes),
        Figure("request and outcome, lines executed", "lines", request_lines),
        Figure("request, attempts", "attempts", attempts),
        Figure("timers, lines executed a second", "lines", timer_lines),
        Figure("timers, set a second", "1/s", host.timer_count / IDLE_S),
        Figure("log, bytes a second", "B/s", host.log_bytes / IDLE_S),
    ]


def _measure_times(scale: Scale, budget: MeasurementBudget, seed: int) -> list[Figure]:
    """Measure processor times, each the fastest of several runs."""
    seconds = budget.block_seconds
    list_time_ns = min_cpu_time_ns(ModuleHost.apply_full_list, lambda: ModuleHost(scale, seed), seconds)
    host = _create_warm_host(scale, seed)
    change_time_ns = min_cpu_time_ns(_drain_and_reactivate, lambda: host, seconds) / 2
    request_time_ns = min_cpu_time_ns(_serve_timed_requests, lambda: host, seconds)
    max_timer_calls_ns: list[int] = []

    def run_idle_and_record(subject: ModuleHost) -> None:
        _run_idle(subject)
        max_timer_calls_ns.append(subject.max_timer_call_ns)

    timer_time_ns = min_cpu_time_ns(run_idle_and_record, lambda: host, seconds)
    return [
        Figure("whole list, processor time", "ms", list_time_ns / 1e6),
        Figure("one changed entry, processor time", "us", change_time_ns / 1e3),
        Figure("a day of changes, processor time", "ms", change_time_ns * scale.changes / 1e6),
        Figure("request and outcome, processor time", "us", request_time_ns / TIMED_REQUESTS / 1e3),
        Figure("timers, longest call", "ms", min(max_timer_calls_ns) / 1e6),
        Figure("timers, processor time a second", "us", timer_time_ns / IDLE_S / 1e3),
    ]


def measure(scale: Scale, budget: MeasurementBudget, seed: int) -> list[Figure]:
    """Measure the module at one scale."""
    gc.collect()
    return measure_counts(scale, seed) + _measure_times(scale, budget, seed)


ROLE = Role(
    name="module",
    description="the decision module in this process; times are processor times, the fastest of several runs",
    axes=tuple(Axis),
    quick_axes=(Axis.FLEET,),
    measure=measure,
)
