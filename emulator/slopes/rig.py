"""The process around one real balancer: it starts it, stands in for all others and measures it.

Stand-ins and clients run here, so that none of their processor time is the balancer's. The job comes as one
JSON line on standard input and the result leaves as one on standard output; when standard input ends, the
balancer is stopped and this process ends.
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

JOB_SECONDS = 120.0  # the longest that one job may take
SETTLE_SECONDS = 0.5  # after ready, before it counts as idle
WARM_SECONDS = 0.8  # of load before it is measured
CHANGE_SECONDS = 0.3  # for one change to be told and the next call to come
PINGS_BEFORE = 0.2  # seconds of pings before the list is told
PINGS_AFTER = 0.6
DIRECT_SERVERS = 10  # that the client without the balancer asks


class MeasurementJob(msgspec.Struct, frozen=True):
    """What to measure; a phase of 0 is left out."""

    scale: Scale
    seed: int
    idle_seconds: float = 0.0
    load_seconds: float = 0.0
    first_list: bool = False


class IdleMeasurement(msgspec.Struct, frozen=True):
    """A balancer with no requests."""

    cpu_share: float  # of one core
    resident: int  # bytes
    log_per_s: float
    control_in_per_s: float  # bytes from the agent
    control_out_per_s: float  # bytes to the agent
    change_bytes: int  # that one change brings about, both ways


class AddedLatency(msgspec.Struct, frozen=True):
    """What a stream of requests took beyond the photo servers' own time, in milliseconds.

    A request that is not served counts as if the client had waited in vain.
    """

    p50: float
    p99: float
    sent: int
    served: int


class LoadMeasurement(msgspec.Struct, frozen=True):
    """A balancer under load, and the same stream straight to the photo servers meanwhile."""

    cpu_share: float
    resident: int
    log_per_s: float
    balanced: AddedLatency
    direct: AddedLatency


class FirstListMeasurement(msgspec.Struct, frozen=True):
    """Longest wait for an answer to `/ready`, in milliseconds."""

    before: float  # the list was told: the rig's own share
    during: float


class MeasurementResult(msgspec.Struct, frozen=True):
    """What was measured, or in one line why nothing could be."""

    idle: IdleMeasurement | None = None
    load: LoadMeasurement | None = None
    first_list: FirstListMeasurement | None = None
    error: str | None = None


async def measure_idle(
    job: MeasurementJob, balancer: BalancerProcess, agent: DiscoveryAgent
) -> IdleMeasurement:
    """Leave it alone for a while, then tell one change."""
    await asyncio.sleep(SETTLE_SECONDS)
    cpu, log = balancer.cpu_seconds(), balancer.log_bytes()
    control_in, control_out = agent.bytes_out, agent.bytes_in
    await asyncio.sleep(job.idle_seconds)
    cpu, log = balancer.cpu_seconds() - cpu, balancer.log_bytes() - log
    control_in, control_out = agent.bytes_out - control_in, agent.bytes_in - control_out
    resident = balancer.resident_bytes()
    before = agent.bytes_in + agent.bytes_out
    agent.publish_change(job.scale.servers // 2, "leaving")
    await asyncio.sleep(CHANGE_SECONDS)
    change_bytes = agent.bytes_in + agent.bytes_out - before
    agent.publish_change(job.scale.servers // 2, "active")  # the load that may follow has all servers
    return IdleMeasurement(
        cpu_share=cpu / job.idle_seconds,
        resident=resident,
        log_per_s=log / job.idle_seconds,
        control_in_per_s=control_in / job.idle_seconds,
        control_out_per_s=control_out / job.idle_seconds,
        change_bytes=change_bytes,
    )


def _added(client: OpenLoopClient) -> AddedLatency:
    return AddedLatency(
        p50=client.added_latency.get_value_at_percentile(50) / 1e3,
        p99=client.added_latency.get_value_at_percentile(99) / 1e3,
        sent=client.request_count,
        served=client.status_counts[200],
    )


async def measure_load(job: MeasurementJob, balancer: BalancerProcess, server_port: int) -> LoadMeasurement:
    """Two like streams at once: one through the balancer, one straight to some of the servers."""
    direct_targets = [(server_host(n), server_port) for n in range(min(DIRECT_SERVERS, job.scale.servers))]
    balanced = OpenLoopClient([balancer.address], job.scale, job.seed)
    direct = OpenLoopClient(direct_targets, job.scale, job.seed + 1)
    streams = (balanced, direct)
    await asyncio.gather(*(stream.run(WARM_SECONDS) for stream in streams))
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
        balanced=_added(balanced),
        direct=_added(direct),
    )


async def measure_steady(job: MeasurementJob) -> MeasurementResult:
    """Start a balancer that is told its list, and measure it idle and under load."""
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
    """Ping a balancer that has no list yet, tell it the list, and ping on.

    Lists are asked for here: where they are pushed, a balancer listens only once it has one.
    """
    server_port = await start_photo_servers(1)  # nothing is sent to them
    agent = DiscoveryAgent(job.scale.servers, server_port)
    agent.withholds_responses = True
    agent_port = await start_discovery_agent(agent)
    settings = build_settings(job.scale, DiscoveryMode.ASK)
    async with running_balancer(settings, job.seed, agent_port) as balancer:
        probe = ReadinessProbe(balancer.address)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not (await probe.probe() and agent.pending_polls):
                await asyncio.sleep(0.005)
        before = await probe.probe_for(PINGS_BEFORE)
        agent.release_responses()
        during = await probe.probe_for(PINGS_AFTER)
        while await probe.probe() != 200:  # the list is taken over in the end
            await asyncio.sleep(0.005)
        return MeasurementResult(
            first_list=FirstListMeasurement(before * 1e3, max(during, probe.max_wait_s) * 1e3)
        )


async def run_job(job: MeasurementJob) -> MeasurementResult:
    """Measure until done, or until standard input ends."""
    loop = asyncio.get_running_loop()
    work = asyncio.ensure_future(measure_first_list(job) if job.first_list else measure_steady(job))

    def input_ended() -> None:
        loop.remove_reader(
            sys.stdin.fileno()
        )  # cancelled once: the balancer's stop must not be cancelled too
        work.cancel()

    loop.add_reader(sys.stdin.fileno(), input_ended)
    return await work


async def job_result(job: MeasurementJob) -> MeasurementResult:
    """The job's result, where it fails with the reason in one line."""
    try:
        async with asyncio.timeout(JOB_SECONDS):
            return await run_job(job)
    except (RigError, OSError, TimeoutError, psutil.Error) as error:
        return MeasurementResult(error=str(error) or "the balancer did not answer in time")


def main() -> int:
    """One job, one result; exit code 3 if standard input ended first."""
    job: MeasurementJob = msgspec.json.decode(sys.stdin.buffer.readline(), type=MeasurementJob)
    with suppress(asyncio.CancelledError):
        result = uvloop.run(job_result(job))
        sys.stdout.buffer.write(msgspec.json.encode(result) + b"\n")
        sys.stdout.buffer.flush()
        return 0
    return 3


if __name__ == "__main__":
    sys.exit(main())
