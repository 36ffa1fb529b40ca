"""Process that hosts a part of the hollow balancers: `python -m emulator.fleet.hollow_worker`."""

from __future__ import annotations

import asyncio
import gc
import sys
import time
from collections.abc import Coroutine
from dataclasses import replace
from random import Random

import structlog

from dykeshift.interface import LoadReport, Outcome, Settings
from dykeshift.settings import parse_settings
from emulator.fleet.client_model import NS_PER_S, ClientModel, balancer_requests_per_s
from emulator.fleet.contract import Result
from emulator.fleet.hollow import HollowAttempt
from emulator.fleet.hollow_host import HollowHost
from emulator.fleet.hollow_measuring import HollowMeter
from emulator.fleet.hollow_shards import ShardConnections
from emulator.fleet.hollow_timers import TimerQueue
from emulator.fleet.process import FleetContext, ScenarioClock, print_message, run_child
from emulator.fleet.scenario import Scenario
from emulator.fleet.settings_for_balancers import build_settings
from emulator.fleet.tenant_quota import MAX_TRACKED_TENANTS, tracked_tenant_count
from emulator.fleet.timeline import (
    BalancersStarted,
    BalancersStopped,
    Event,
)

ROLE = "hollow"
FLUSH_INTERVAL_S = 0.002  # between two flushes of the batches to the photo servers
FIRST_LIST_TIMEOUT_S = 1.0  # wait for the first list of one balancer, before the scenario starts
MAX_TIMER_RUN_NS = 5_000_000  # due timers run for at most this long before the sockets are served again
MAX_CONCURRENT_STARTS = 1  # of balancers, as they share the core of the process
# A full garbage collection walks the server lists of all balancers of the process, so it has to be rare.
GC_THRESHOLDS = 200_000, 20, 100

log = structlog.get_logger()


class HollowWorker:
    """Hosts the hollow balancers of one process."""

    def __init__(self, fleet: FleetContext) -> None:
        config, scenario, layout = fleet.config, fleet.scenario, fleet.layout
        raw_settings = build_settings(scenario, layout, 0)
        settings = parse_settings(raw_settings)
        self.config = config
        self.timers = TimerQueue()
        self.shards = ShardConnections(self._on_result)
        self.model = ClientModel(scenario, layout, f"{config.seed}/hollow clients {config.index}")
        self.meter = HollowMeter(tracked_tenant_count(scenario))
        self.zones = layout.zone_names
        self.kinds = tuple(kind.name for kind in scenario.servers.kinds)
        self._layout = layout
        self._has_load_reports = raw_settings["report"]["how"] == "piggyback"
        self.drain_grace_s = raw_settings["obligations"]["drainGraceNs"] / NS_PER_S
        self.answer_grace_ns = int(raw_settings["obligations"]["answerSlackNs"])
        self.tenant_quotas = _split_quotas(settings, scenario)
        self._random = Random(f"{config.seed}/hollow worker {config.index}")
        self._start_limit = asyncio.Semaphore(MAX_CONCURRENT_STARTS)
        self._tasks: set[asyncio.Task[None]] = set()
        self.hosts = {
            number: HollowHost(
                self,
                number,
                layout.balancer_zones[number],
                config.addresses.agent_address(number),
                replace(settings, balancer_index=number, zone=layout.balancer_zones[number]),
                balancer_requests_per_s(scenario, layout, number),
                Random(f"{config.seed}/hollow balancer {number}"),
            )
            for number in range(scenario.balancers.real, scenario.balancers.total)
            if number % config.processes == config.index
        }
        self._hosts = list(self.hosts.values())

    def pick_running_host(self) -> HollowHost | None:
        """A random host whose balancer is running, for a client that retries; None if none was found."""
        for _ in self._hosts:
            host = self._hosts[int(self._random.random() * len(self._hosts))]
            if host.is_up:
                return host
        return None

    # ---- start and stop of the process ----

    async def listen(self) -> None:
        """Connect to the photo servers and start all balancers."""
        gc.set_threshold(*GC_THRESHOLDS)
        await self.shards.connect(self.config.addresses.shard_ports)
        for host in self._hosts:
            await self._start(host)
            await self._wait_first_list(host)
            self._run_due_timers()
        self._start_task(self._run_timers_and_flush())

    def start(self, clock: ScenarioClock) -> None:
        """Let requests arrive from the scenario's start on."""
        start_ns = time.monotonic_ns() - int(clock.now_s() * NS_PER_S)
        for host in self._hosts:
            host.start_arrivals(start_ns)

    def finish(self) -> None:
        """Stop all balancers."""
        for task in list(self._tasks):
            task.cancel()
        for host in self._hosts:
            host.stop(time.monotonic_ns())
        self.shards.close()

    async def _run_timers_and_flush(self) -> None:
        while True:
            has_due_timers = self._run_due_timers()
            self.shards.flush()
            await asyncio.sleep(0 if has_due_timers else FLUSH_INTERVAL_S)

    def _run_due_timers(self) -> bool:
        return self.timers.run_due(time.monotonic_ns, time.monotonic_ns() + MAX_TIMER_RUN_NS)

    async def _wait_first_list(self, host: HollowHost) -> None:
        """Wait for a balancer's first list, so that the next one starts after it.

        The periodic sweeps of balancers that have a list would otherwise delay reading the lists of others.
        """
        try:
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                await host.first_list_received.wait()
        except TimeoutError:
            log.warning("no server list within the timeout", balancer=host.number)

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # ---- events ----

    def apply(self, event: Event) -> None:
        """Stop or start the balancers of this process that the event names."""
        now = time.monotonic_ns()
        match event:
            case BalancersStopped():
                for host in self._hosts_of(event.balancers):
                    self.meter.balancer_counts.add(host.stop(now))
            case BalancersStarted():
                for host in self._hosts_of(event.balancers):
                    self._start_task(self._start(host))

    def _hosts_of(self, balancers: tuple[int, ...]) -> list[HollowHost]:
        return [self.hosts[number] for number in balancers if number in self.hosts]

    async def _start(self, host: HollowHost) -> None:
        requested_at = time.monotonic()
        async with self._start_limit:
            started_at = time.monotonic()
            try:
                await host.start()
            except TimeoutError:
                log.warning("not ready within the timeout", balancer=host.number)
            ready_at = time.monotonic()
        self.meter.record_ready((ready_at - started_at) * 1e3, (started_at - requested_at) * 1e3)

    def _on_result(self, attempt: HollowAttempt, result: Result) -> None:
        report = None
        if self._has_load_reports:
            report = LoadReport(in_flight=result.in_flight, service_ms=result.service_us / 1e3)
        host = attempt.balancer.effects
        assert isinstance(host, HollowHost)
        unloaded_us = self._unloaded_time_us(host.zone, attempt)
        attempt.balancer.end_attempt(
            time.monotonic_ns(), attempt, Outcome[result.outcome], report, unloaded_us
        )

    def _unloaded_time_us(self, zone: int, attempt: HollowAttempt) -> int:
        """Time that the attempt takes on an idle, warm server: its work and the network delay both ways."""
        place = self._layout.servers[attempt.server_number]
        work_us = attempt.open_try.client_try.request.work_us
        return int(work_us / place.speed + 2e6 * self._layout.delays_s[zone][place.zone])

    # ---- measures ----

    def measure(self, at_s: float) -> None:
        """Print the measures since the last call."""
        running = [host.balancer for host in self._hosts if host.balancer is not None]
        for balancer in running:
            self.meter.balancer_counts.add(balancer.take_counts())
        open_tries = sum(balancer.open_try_count for balancer in running)
        bytes_moved = self.shards.bytes_moved()
        print_message(self.meter.take_measure(at_s, self.config.index, len(running), open_tries, bytes_moved))


def _split_quotas(settings: Settings, scenario: Scenario) -> list[float]:
    """One balancer's equal part of each tracked tenant's quota, by rank; 0 for a tenant without a quota."""
    quotas = [
        share / scenario.balancers.total for share in settings.tenant_quotas_per_s[:MAX_TRACKED_TENANTS]
    ]
    return quotas + [0.0] * (tracked_tenant_count(scenario) - len(quotas))


if __name__ == "__main__":
    sys.exit(run_child(ROLE, HollowWorker))
