"""The rig: a process that starts one real balancer, surrounds it with stand-ins and clients, and measures it.

Stand-ins and clients run in this process, so that their processor time does not count as the balancer's. The
process reads a job as one JSON line from standard input and writes the result as one JSON line to standard
output. When standard input ends, it stops the balancer and exits.
"""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress

import msgspec
import psutil
import uvloop

from emulator.slopes.balancer_process import READY_TIMEOUT_S, BalancerProcess, RigError, running_balancer
from emulator.slopes.client import OpenLoopClient, ReadinessProbe
from emulator.slopes.deployment import DiscoveryMode, build_settings, server_host
from emulator.slopes.sizes import Scale
from emulator.slopes.standins import DiscoveryAgent, start_discovery_agent, start_photo_servers

JOB_TIMEOUT_S = 120.0  # for all measurements of one job
SETTLE_S = 0.5  # from ready until the balancer counts as idle
WARM_UP_S = 0.8  # of load before the measurement
CHANGE_EXCHANGE_S = 0.3  # for the response with one change and the next call of the balancer
PROBE_BEFORE_LIST_S = 0.2  # length of the probing before the list is sent
PROBE_AFTER_LIST_S = 0.6
MAX_DIRECT_SERVERS = 10  # servers that also receive requests directly, without the balancer


class MeasurementJob(msgspec.Struct, frozen=True):
    """What to measure; a phase with a duration of 0 is skipped."""

    scale: Scale
    seed: int
    idle_seconds: float = 0.0
    load_seconds: float = 0.0
    first_list: bool = False


class IdleMeasurement(msgspec.Struct, frozen=True):
    """Measurements of a balancer without requests."""

    cpu_share: float  # of one core
    resident: int  # bytes
    log_per_s: float
    control_in_per_s: float  # bytes from the agent
    control_out_per_s: float  # bytes to the agent
    change_bytes: int  # exchanged with the agent for one change, in both directions


class AddedLatency(msgspec.Struct, frozen=True):
    """Latency of a stream of requests without the service time of the photo servers, in milliseconds.

    A request that is not served counts with the whole client timeout.
    """

    p50: float
    p99: float
    sent: int
    served: int


class LoadMeasurement(msgspec.Struct, frozen=True):
    """Measurements of a balancer under load, and of a simultaneous stream directly to the photo servers."""

    cpu_share: float  # of one core
    resident: int  # bytes
    log_per_s: float
    balanced: AddedLatency
    direct: AddedLatency


class FirstListMeasurement(msgspec.Struct, frozen=True):
    """Longest wait for a response of `/ready`, in milliseconds."""

    before: float  # before the list is sent: caused by the rig, not by the list
    during: float  # from the sending of the list on


class MeasurementResult(msgspec.Struct, frozen=True):
    """The measurements, or the error that prevented them, in one line."""

    idle: IdleMeasurement | None = None
    load: LoadMeasurement | None = None
    first_list: FirstListMeasurement | None = None
    error: str | None = None


async def measure_idle(
    job: MeasurementJob, balancer: BalancerProcess, agent: DiscoveryAgent
) -> IdleMeasurement:
    """Measure the balancer without requests, and then the exchange for one changed entry."""
    await asyncio.sleep(SETTLE_S)
    cpu, log = balancer.cpu_seconds(), balancer.log_bytes()
    control_in, control_out = agent.bytes_out, agent.bytes_in
    await asyncio.sleep(job.idle_seconds)
    cpu, log = balancer.cpu_seconds() - cpu, balancer.log_bytes() - log
    control_in, control_out = agent.bytes_out - control_in, agent.bytes_in - control_out
    resident = balancer.resident_bytes()
    bytes_before = agent.bytes_in + agent.bytes_out
    agent.publish_change(job.scale.servers // 2, "leaving")
    await asyncio.sleep(CHANGE_EXCHANGE_S)
    change_bytes = agent.bytes_in + agent.bytes_out - bytes_before
    # The load measurement that may follow needs all servers.
    agent.publish_change(job.scale.servers // 2, "active")
    return IdleMeasurement(
        cpu_share=cpu / job.idle_seconds,
        resident=resident,
        log_per_s=log / job.idle_seconds,
        control_in_per_s=control_in / job.idle_seconds,
        control_out_per_s=control_out / job.idle_seconds,
        change_bytes=change_bytes,
    )


def _added_latency(client: OpenLoopClient) -> AddedLatency:
    return AddedLatency(
        p50=client.added_latency_us.get_value_at_percentile(50) / 1e3,
        p99=client.added_latency_us.get_value_at_percentile(99) / 1e3,
        sent=client.request_count,
        served=client.status_counts[200],
    )


async def measure_load(job: MeasurementJob, balancer: BalancerProcess, server_port: int) -> LoadMeasurement:
    """Measure two similar streams at once: one through the balancer, one directly to some of the servers."""
    direct_targets = [
        (server_host(n), server_port) for n in range(min(MAX_DIRECT_SERVERS, job.scale.servers))
    ]
    balanced = OpenLoopClient([balancer.address], job.scale, job.seed)
    direct = OpenLoopClient(direct_targets, job.scale, job.seed + 1)
    streams = (balanced, direct)
    await asyncio.gather(*(stream.run(WARM_UP_S) for stream in streams))
    await asyncio.gather(*(stream.wait_for_responses() for stream in streams))
    for stream in streams:
        stream.reset()
    cpu, log = balancer.cpu_seconds(), balancer.log_bytes()
    await asyncio.gather(*(stream.run(job.load_seconds) for stream in streams))
    cpu, log = balancer.cpu_seconds() - cpu, balancer.log_bytes() - log
    await asyncio.gather(*(stream.wait_for_responses() for stream in streams))
    for stream in streams:
        stream.close()
    return LoadMeasurement(
        cpu_share=cpu / job.load_seconds,
        resident=balancer.resident_bytes(),
        log_per_s=log / job.load_seconds,
        balanced=_added_latency(balanced),
        direct=_added_latency(direct),
    )


async def measure_idle_and_load(job: MeasurementJob) -> MeasurementResult:
    """Start a balancer in push mode, and measure it idle and under load."""
    server_port = await start_photo_servers(job.scale.servers)
    agent = DiscoveryAgent(job.scale.servers, server_port)
    agent_port = await start_discovery_agent(agent)
    settings = build_settings(job.scale, DiscoveryMode.PUSH)
    async with running_balancer(settings, job.seed, agent_port) as balancer:
        await balancer.wait_ready()
        idle = await measure_idle(job, balancer, agent) if job.idle_seconds else None
        load = await measure_load(job, balancer, server_port) if job.load_seconds else None
        return MeasurementResult(idle=idle, load=load)


async def measure_first_list(job: MeasurementJob) -> MeasurementResult:
    """Probe a balancer that has no list yet, send it the list, and continue to probe.

    The balancer runs in ask mode, because in push mode it listens only once it has a list.
    """
    server_port = await start_photo_servers(1)  # it receives no requests
    agent = DiscoveryAgent(job.scale.servers, server_port)
    agent.withholds_responses = True
    agent_port = await start_discovery_agent(agent)
    settings = build_settings(job.scale, DiscoveryMode.ASK)
    async with running_balancer(settings, job.seed, agent_port) as balancer:
        probe = ReadinessProbe(balancer.address)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not (await probe.probe() and agent.pending_polls):
                await asyncio.sleep(0.005)
        before = await probe.probe_for(PROBE_BEFORE_LIST_S)
        agent.release_responses()
        during = await probe.probe_for(PROBE_AFTER_LIST_S)
        while await probe.probe() != 200:  # the balancer must apply the list in the end
            await asyncio.sleep(0.005)
        return MeasurementResult(
            first_list=FirstListMeasurement(before * 1e3, max(during, probe.max_wait_s) * 1e3)
        )


async def run_job(job: MeasurementJob) -> MeasurementResult:
    """Run the measurement; it is cancelled when standard input ends."""
    loop = asyncio.get_running_loop()
    measurement = asyncio.ensure_future(
        measure_first_list(job) if job.first_list else measure_idle_and_load(job)
    )

    def on_input_end() -> None:
        # Cancels only once: a second cancellation would interrupt stopping the balancer.
        loop.remove_reader(sys.stdin.fileno())
        measurement.cancel()

    loop.add_reader(sys.stdin.fileno(), on_input_end)
    return await measurement


async def job_result(job: MeasurementJob) -> MeasurementResult:
    """Return the result of the job; if the job fails, a result with the error."""
    try:
        async with asyncio.timeout(JOB_TIMEOUT_S):
            return await run_job(job)
    except (RigError, OSError, TimeoutError, psutil.Error) as error:
        return MeasurementResult(error=str(error) or "the balancer did not respond in time")


def main() -> int:
    """Run one job and print its result; returns exit code 3 if standard input ends first."""
    job: MeasurementJob = msgspec.json.decode(sys.stdin.buffer.readline(), type=MeasurementJob)
    with suppress(asyncio.CancelledError):
        result = uvloop.run(job_result(job))
        sys.stdout.buffer.write(msgspec.json.encode(result) + b"\n")
        sys.stdout.buffer.flush()
        return 0
    return 3


if __name__ == "__main__":
    sys.exit(main())
