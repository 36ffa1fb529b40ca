"""The decision module in this process: work, time and state at a given scale, on a clock of its own.

Counts and times come from instances of their own: how often a block is timed may depend on the machine, and
must not change what is counted.
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

WARM_REQUESTS = 400  # before anything is measured: servers are known and running means have settled
TIMED_REQUESTS = 200  # in one timed block
COUNTED_REQUESTS = 50
IDLE_SECONDS = 8  # of the module's clock, over which timers and log are counted


def _warm_host(scale: Scale, seed: int) -> ModuleHost:
    host = ModuleHost(scale, seed)
    host.apply_full_list()
    host.serve_requests(WARM_REQUESTS)
    return host


def _serve_without_timers(host: ModuleHost, requests: int) -> None:
    """Requests at their rate while no timer comes due: timers are measured by themselves."""
    for _ in range(requests):
        host.serve_request()
        host.now_ns += NS_PER_S // host.scale.requests


def _serve_timed(host: ModuleHost) -> None:
    _serve_without_timers(host, TIMED_REQUESTS)


def _drain_and_return(host: ModuleHost) -> None:
    """Two changes of one entry."""
    host.change_server(ServerState.DRAINING)
    host.change_server(ServerState.READY)


def _idle(host: ModuleHost) -> None:
    host.max_timer_call_ns = host.log_bytes = host.timer_count = 0
    host.advance_to(host.now_ns + IDLE_SECONDS * NS_PER_S)


def measure_counts(scale: Scale, seed: int) -> list[Figure]:
    """What is the same in every run of one seed, so that a test can hold its growth on any machine."""
    list_lines = count_executed_lines(ModuleHost(scale, seed).apply_full_list)
    host = _warm_host(scale, seed)
    state = measure_reachable(host.balancer)
    change_lines = count_executed_lines(lambda: _drain_and_return(host)) / 2
    request_lines = (
        count_executed_lines(lambda: _serve_without_timers(host, COUNTED_REQUESTS)) / COUNTED_REQUESTS
    )
    attempts = sum(host.attempts_by_server.values()) / host.request_count
    timer_lines = count_executed_lines(lambda: _idle(host)) / IDLE_SECONDS
    return [
        Figure("state, objects", "objects", state.objects),
        Figure("state, size", "MB", state.size / 1e6),
        Figure("whole list, lines executed", "lines", list_lines),
        Figure("one changed entry, lines executed", "lines", change_lines),
        Figure("a day of changes, lines executed", "lines", change_lines * scale.changes),
        Figure("request and outcome, lines executed", "lines", request_lines),
        Figure("request, attempts", "attempts", attempts),
        Figure("timers, lines executed a second", "lines", timer_lines),
        Figure("timers, set a second", "1/s", host.timer_count / IDLE_SECONDS),
        Figure("log, bytes a second", "B/s", host.log_bytes / IDLE_SECONDS),
    ]


def _timed(scale: Scale, budget: MeasurementBudget, seed: int) -> list[Figure]:
    """Processor times, each the best of several."""
    seconds = budget.block_seconds
    list_time = min_cpu_time_ns(ModuleHost.apply_full_list, lambda: ModuleHost(scale, seed), seconds)
    host = _warm_host(scale, seed)
    change_time = min_cpu_time_ns(_drain_and_return, lambda: host, seconds) / 2
    request_time = min_cpu_time_ns(_serve_timed, lambda: host, seconds)
    longest_calls: list[int] = []

    def idle(one: ModuleHost) -> None:
        _idle(one)
        longest_calls.append(one.max_timer_call_ns)

    timer_time = min_cpu_time_ns(idle, lambda: host, seconds)
    return [
        Figure("whole list, processor time", "ms", list_time / 1e6),
        Figure("one changed entry, processor time", "us", change_time / 1e3),
        Figure("a day of changes, processor time", "ms", change_time * scale.changes / 1e6),
        Figure("request and outcome, processor time", "us", request_time / TIMED_REQUESTS / 1e3),
        Figure("timers, longest call", "ms", min(longest_calls) / 1e6),
        Figure("timers, processor time a second", "us", timer_time / IDLE_SECONDS / 1e3),
    ]


def measure(scale: Scale, budget: MeasurementBudget, seed: int) -> list[Figure]:
    """All measures of the module at one scale."""
    gc.collect()
    return measure_counts(scale, seed) + _timed(scale, budget, seed)


ROLE = Role(
    name="module",
    description="the decision module in this process; times are processor times, the best of several",
    axes=tuple(Axis),
    quick_axes=(Axis.FLEET,),
    measure=measure,
)
