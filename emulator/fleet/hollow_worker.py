"""Process that hosts a share of the hollow balancers: `python -m emulator.fleet.hollow_worker`."""

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
from emulator.fleet.hollow_timers import TimerQueue
from emulator.fleet.hollow import HollowAttempt
from emulator.fleet.hollow_host import HollowHost
from emulator.fleet.hollow_measuring import HollowMeter
from emulator.fleet.hollow_shards import ShardConnections
from emulator.fleet.process import ScenarioClock, FleetContext, run_child, print_message
from emulator.fleet.scenario import Scenario
from emulator.fleet.settings_for_balancers import build_settings
from emulator.fleet.tenant_quota import MAX_TRACKED_TENANTS, tracked_tenant_count
from emulator.fleet.timeline import (
    BalancersStarted,
    BalancersStopped,
    Event,
)

ROLE = "hollow"
FLUSH_S = 0.002  # between two flushes of the batches
FIRST_LIST_TIMEOUT_S = 1.0  # for one balancer before the scenario's time 0
MOST_AT_ONCE_NS = 5_000_000  # for timers, before the sockets are looked at again
STARTS_AT_ONCE = 1  # balancers of this process that start at a time: they share its core
GC_THRESHOLDS = 200_000, 20, 100  # whole collections walk the lists of all balancers of the process


log = structlog.get_logger()


class HollowWorker:
    """All hollow balancers of one process."""

    def __init__(self, fleet: FleetContext) -> None:
        config, scenario, layout = fleet.config, fleet.scenario, fleet.layout
        wire = build_settings(scenario, layout, 0)
        settings = parse_settings(wire)
        self.config = config
        self.timers = TimerQueue()
        self.shards = ShardConnections(self._result_came)
        self.model = ClientModel(scenario, layout, f"{config.seed}/hollow clients {config.index}")
        self.meter = HollowMeter(tracked_tenant_count(scenario))
        self.zones = layout.zone_names
        self.kinds = tuple(kind.name for kind in scenario.servers.kinds)
        self._layout = layout
        self._reports_in_answers = wire["report"]["how"] == "piggyback"
        self.drain_grace_s = wire["obligations"]["drainGraceNs"] / NS_PER_S
        self.answer_grace_ns = int(wire["obligations"]["answerSlackNs"])
        self.tenant_quotas = _split_quotas(settings, scenario)
        self._random = Random(f"{config.seed}/hollow worker {config.index}")
        self._starts = asyncio.Semaphore(STARTS_AT_ONCE)
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
        """A host that is up, for a client that tries again."""
        for _ in self._hosts:
            host = self._hosts[int(self._random.random() * len(self._hosts))]
            if host.is_up:
                return host
        return None

    # ---- the life of the process ----

    async def listen(self) -> None:
        """Connect to the photo servers and start all balancers."""
        gc.set_threshold(*GC_THRESHOLDS)
        await self.shards.connect(self.config.addresses.shard_ports)
        for host in self._hosts:
            await self._start(host)
            await self._first_list(host)
            self._run_due()
        self._run_task(self._tick())

    def start(self, clock: ScenarioClock) -> None:
        """Let clients come."""
        start_ns = time.monotonic_ns() - int(clock.now_s() * NS_PER_S)
        for host in self._hosts:
            host.start_arrivals(start_ns)

    def finish(self) -> None:
        """End all balancers."""
        for task in list(self._tasks):
            task.cancel()
        for host in self._hosts:
            host.stop(time.monotonic_ns())
        self.shards.close()

    async def _tick(self) -> None:
        while True:
            busy = self._run_due()
            self.shards.flush()
            await asyncio.sleep(0 if busy else FLUSH_S)

    def _run_due(self) -> bool:
        return self.timers.run_due(time.monotonic_ns, time.monotonic_ns() + MOST_AT_ONCE_NS)

    async def _first_list(self, host: HollowHost) -> None:
        """Wait for it before the next one starts: the sweeps of those with a list would delay the reading."""
        try:
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                await host.first_list_received.wait()
        except TimeoutError:
            log.warning("no list in time", balancer=host.number)

    def _run_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # ---- events ----

    def apply(self, event: Event) -> None:
        """Play this process's part of an event."""
        now = time.monotonic_ns()
        match event:
            case BalancersStopped():
                for host in self._own(event.balancers):
                    self.meter.balancer_counts.add(host.stop(now))
            case BalancersStarted():
                for host in self._own(event.balancers):
                    self._run_task(self._start(host))

    def _own(self, balancers: tuple[int, ...]) -> list[HollowHost]:
        return [self.hosts[number] for number in balancers if number in self.hosts]

    async def _start(self, host: HollowHost) -> None:
        asked_for = time.monotonic()
        async with self._starts:
            began = time.monotonic()
            try:
                await host.start()
            except TimeoutError:
                log.warning("not ready in time", balancer=host.number)
            ended = time.monotonic()
        self.meter.record_ready((ended - began) * 1e3, (began - asked_for) * 1e3)

    def _result_came(self, attempt: HollowAttempt, result: Result) -> None:
        report = None
        if self._reports_in_answers:
            report = LoadReport(in_flight=result.in_flight, service_ms=result.service_us / 1e3)
        host = attempt.balancer.effects
        assert isinstance(host, HollowHost)
        unloaded_us = self._own_time_us(host.zone, attempt)
        attempt.balancer.end_attempt(
            time.monotonic_ns(), attempt, Outcome[result.outcome], report, unloaded_us
        )

    def _own_time_us(self, zone: int, attempt: HollowAttempt) -> int:
        """What the attempt takes on an idle, warm server: its work, and the way there and back."""
        place = self._layout.servers[attempt.server]
        work_us = attempt.open_try.client_try.request.work_us
        return int(work_us / place.speed + 2e6 * self._layout.delays_s[zone][place.zone])

    # ---- measures ----

    def measure(self, at_s: float) -> None:
        """Print what happened since the last call."""
        running = [host.balancer for host in self._hosts if host.balancer is not None]
        for balancer in running:
            self.meter.balancer_counts.add(balancer.take_counts())
        open_tries = sum(balancer.open_try_count for balancer in running)
        moved = self.shards.bytes_moved()
        print_message(self.meter.take_measure(at_s, self.config.index, len(running), open_tries, moved))


def _split_quotas(settings: Settings, scenario: Scenario) -> list[float]:
    """Each balancer's equal part of the quotas of the tenants that are followed, by rank; 0 where none."""
    quotas = [
        share / scenario.balancers.total for share in settings.tenant_quotas_per_s[:MAX_TRACKED_TENANTS]
    ]
    return quotas + [0.0] * (tracked_tenant_count(scenario) - len(quotas))


if __name__ == "__main__":
    sys.exit(run_child(ROLE, HollowWorker))
