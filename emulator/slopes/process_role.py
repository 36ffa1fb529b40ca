"""The real balancer as a process, measured by a rig that is a process of its own."""

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

DAY = 86_400
STOP_SECONDS = 15.0  # for the rig to stop its balancer and end
BAR_SCALES = (TARGET, SMALL_DEPLOYMENT)  # measured for longer: bars stand on them


def run_rig(job: MeasurementJob) -> MeasurementResult:
    """One job in a rig of its own, which is ended whatever happens."""
    process = subprocess.Popen(
        [sys.executable, "-m", "emulator.slopes.rig"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        cwd=PROJECT_ROOT,
        start_new_session=True,  # SIGINT from a terminal reaches the command alone, which ends the rig
    )
    assert process.stdin is not None and process.stdout is not None
    try:
        process.stdin.write(msgspec.json.encode(job) + b"\n")
        process.stdin.flush()
        line = process.stdout.readline()
    finally:
        _end(process)
    if not line:
        raise MeasurementError(f"the rig ended with code {process.returncode} and no result")
    result: MeasurementResult = msgspec.json.decode(line, type=MeasurementResult)
    if result.error is not None:
        raise MeasurementError(result.error)
    return result


def _end(process: subprocess.Popen[bytes]) -> None:
    """The rig stops its balancer and ends when its input ends."""
    assert process.stdin is not None and process.stdout is not None
    process.stdin.close()
    try:
        process.wait(STOP_SECONDS)
    except subprocess.TimeoutExpired:
        for child in psutil.Process(process.pid).children(recursive=True):
            child.kill()
        process.kill()
        process.wait()
    process.stdout.close()


@cache
def _steady(scale: Scale, budget: MeasurementBudget, seed: int) -> MeasurementResult:
    """Idle and load of one scale come from one start of the balancer."""
    idle_seconds, load_seconds = budget.idle_seconds, budget.load_seconds
    if scale in BAR_SCALES:
        idle_seconds, load_seconds = budget.bar_idle_seconds, budget.bar_load_seconds
    return run_rig(MeasurementJob(scale, seed, idle_seconds, load_seconds))


def measure_idle(scale: Scale, budget: MeasurementBudget, seed: int) -> list[Figure]:
    """The balancer with no requests."""
    idle = _steady(scale, budget, seed).idle
    assert idle is not None
    changes = idle.change_bytes * scale.changes / DAY
    control = idle.control_in_per_s + idle.control_out_per_s + changes
    return [
        Figure("idle, share of a core", "%", 100 * idle.cpu_share),
        Figure("idle, resident memory", "MB", idle.resident / 1e6),
        Figure("idle, log", "B/s", idle.log_per_s),
        Figure("idle, control traffic in", "B/s", idle.control_in_per_s),
        Figure("idle, control traffic out", "B/s", idle.control_out_per_s),
        Figure("one change, bytes both ways", "B", idle.change_bytes),
        Figure("idle, control traffic with a day's changes, and log", "B/s", control + idle.log_per_s),
    ]


def measure_load(scale: Scale, budget: MeasurementBudget, seed: int) -> list[Figure]:
    """The balancer at the scale's rate of requests."""
    load = _steady(scale, budget, seed).load
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
    """How long the first list holds the balancer's event loop, seen by pings from outside; the best start."""
    results = [run_rig(MeasurementJob(scale, seed, first_list=True)).first_list for _ in range(budget.starts)]
    waits = [result for result in results if result is not None]
    return [
        Figure("first list, longest wait for /ready", "ms", min(wait.during for wait in waits)),
        Figure("before the list, longest wait for /ready", "ms", min(wait.before for wait in waits)),
    ]


IDLE_ROLE = Role(
    name="balancer-idle",
    description="the real program with no requests: processor, memory, log and control traffic",
    axes=(Axis.SERVERS, Axis.TENANTS, Axis.SERVICES, Axis.BALANCERS, Axis.FLEET),
    quick_axes=(Axis.FLEET,),
    measure=measure_idle,
)
LOAD_ROLE = Role(
    name="balancer-load",
    description="the real program under an open-loop load: processor, memory, log and added latency",
    axes=(Axis.SERVERS, Axis.TENANTS, Axis.SERVICES, Axis.BALANCERS, Axis.REQUESTS, Axis.FLEET),
    quick_axes=(Axis.FLEET,),
    measure=measure_load,
)
FIRST_LIST_ROLE = Role(
    name="first-list",
    description="the real program as it takes its first list: longest wait for /ready, pinged from outside",
    axes=(Axis.SERVERS, Axis.FLEET),
    quick_axes=(Axis.FLEET,),
    measure=measure_first_list,
)
