"""The real balancer as a process, measured by the rig, which is a separate process."""

from __future__ import annotations

import subprocess
import sys
from functools import cache

import msgspec
import psutil

from emulator.deployment import PROJECT_ROOT
from emulator.slopes.rig import MeasurementJob, MeasurementResult
from emulator.slopes.roles import Figure, MeasurementBudget, MeasurementError, Role
from emulator.slopes.sizes import SMALL_DEPLOYMENT, TARGET, Axis, Scale

SECONDS_PER_DAY = 86_400
RIG_STOP_TIMEOUT_S = 15.0  # for the rig to stop its balancer and exit
BAR_SCALES = (TARGET, SMALL_DEPLOYMENT)  # measured for a longer time, because bars depend on them


def run_rig(job: MeasurementJob) -> MeasurementResult:
    """Run a job in a new rig process, which is always stopped; raises MeasurementError if the job fails."""
    process = subprocess.Popen(
        [sys.executable, "-m", "emulator.slopes.rig"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        cwd=PROJECT_ROOT,
        start_new_session=True,  # SIGINT from a terminal reaches only this process, which stops the rig
    )
    assert process.stdin is not None and process.stdout is not None
    try:
        process.stdin.write(msgspec.json.encode(job) + b"\n")
        process.stdin.flush()
        line = process.stdout.readline()
    finally:
        _stop_rig(process)
    if not line:
        raise MeasurementError(f"the rig exited with code {process.returncode} and without a result")
    result: MeasurementResult = msgspec.json.decode(line, type=MeasurementResult)
    if result.error is not None:
        raise MeasurementError(result.error)
    return result


def _stop_rig(process: subprocess.Popen[bytes]) -> None:
    """Close the rig's input, upon which it stops its balancer and exits; kill both if it does not."""
    assert process.stdin is not None and process.stdout is not None
    process.stdin.close()
    try:
        process.wait(RIG_STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        for child in psutil.Process(process.pid).children(recursive=True):
            child.kill()
        process.kill()
        process.wait()
    process.stdout.close()


@cache
def _measure_idle_and_load(scale: Scale, budget: MeasurementBudget, seed: int) -> MeasurementResult:
    """Measure the balancer idle and under load; cached, as both roles use the same start of the balancer."""
    idle_seconds, load_seconds = budget.idle_seconds, budget.load_seconds
    if scale in BAR_SCALES:
        idle_seconds, load_seconds = budget.bar_idle_seconds, budget.bar_load_seconds
    return run_rig(MeasurementJob(scale, seed, idle_seconds, load_seconds))


def measure_idle(scale: Scale, budget: MeasurementBudget, seed: int) -> list[Figure]:
    """Measure the balancer without requests."""
    idle = _measure_idle_and_load(scale, budget, seed).idle
    assert idle is not None
    change_bytes_per_s = idle.change_bytes * scale.changes / SECONDS_PER_DAY
    control_per_s = idle.control_in_per_s + idle.control_out_per_s + change_bytes_per_s
    return [
        Figure("idle, share of a core", "%", 100 * idle.cpu_share),
        Figure("idle, resident memory", "MB", idle.resident / 1e6),
        Figure("idle, log", "B/s", idle.log_per_s),
        Figure("idle, control traffic in", "B/s", idle.control_in_per_s),
        Figure("idle, control traffic out", "B/s", idle.control_out_per_s),
        Figure("one change, bytes both ways", "B", idle.change_bytes),
        Figure("idle, control traffic with a day's changes, and log", "B/s", control_per_s + idle.log_per_s),
    ]


def measure_load(scale: Scale, budget: MeasurementBudget, seed: int) -> list[Figure]:
    """Measure the balancer at the request rate of the scale."""
    load = _measure_idle_and_load(scale, budget, seed).load
    assert load is not None
    balanced, direct = load.balanced, load.direct
    return [
        Figure("load, share of a core", "%", 100 * load.cpu_share),
        Figure("load, resident memory", "MB", load.resident / 1e6),
        Figure("load, log", "B/s", load.log_per_s),
        Figure("load, added latency p50", "ms", balanced.p50),
        Figure("load, added latency p99", "ms", balanced.p99),
        Figure("load, rig without the balancer p50", "ms", direct.p50),
        Figure("load, rig without the balancer p99", "ms", direct.p99),
        Figure("load, served", "%", 100 * balanced.served / max(1, balanced.sent)),
    ]


def measure_first_list(scale: Scale, budget: MeasurementBudget, seed: int) -> list[Figure]:
    """Measure by probes of `/ready` how long the first list blocks the event loop of the balancer.

    The start with the shortest wait counts.
    """
    results = [run_rig(MeasurementJob(scale, seed, first_list=True)).first_list for _ in range(budget.starts)]
    starts = [result for result in results if result is not None]
    return [
        Figure("first list, longest wait for /ready", "ms", min(start.during for start in starts)),
        Figure("before the list, longest wait for /ready", "ms", min(start.before for start in starts)),
    ]


IDLE_ROLE = Role(
    name="balancer-idle",
    description="a balancer process without requests: processor time, memory, log and control traffic",
    axes=(Axis.SERVERS, Axis.TENANTS, Axis.SERVICES, Axis.BALANCERS, Axis.FLEET),
    quick_axes=(Axis.FLEET,),
    measure=measure_idle,
)
LOAD_ROLE = Role(
    name="balancer-load",
    description="a balancer process under an open-loop load: processor time, memory, log and added latency",
    axes=(Axis.SERVERS, Axis.TENANTS, Axis.SERVICES, Axis.BALANCERS, Axis.REQUESTS, Axis.FLEET),
    quick_axes=(Axis.FLEET,),
    measure=measure_load,
)
FIRST_LIST_ROLE = Role(
    name="first-list",
    description="a balancer process that receives its first list: longest wait for a response of /ready",
    axes=(Axis.SERVERS, Axis.FLEET),
    quick_axes=(Axis.FLEET,),
    measure=measure_first_list,
)
