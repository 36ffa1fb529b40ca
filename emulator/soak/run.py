"""Runs the plan of one seed and checks the records of the run."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import uvloop

from emulator.faults.proxy import NO_STREAM_FAULTS, FaultProxy, StreamFaults
from emulator.faults.shim import build_shim
from emulator.soak.balancers import ManagedBalancer, shim_environment
from emulator.soak.clients import Clients
from emulator.soak.deliberate_breaches import DELIBERATE_BREACHES, NO_DELIBERATE_BREACH, DeliberateBreach
from emulator.soak.discovery import Discovery
from emulator.soak.plan import Action, Event, Plan, draw_plan
from emulator.soak.records import Lag, RunRecords
from emulator.soak.rules import Breach, Rule, RuleChecker, request_timeline
from emulator.soak.servers import Server

READY_TIMEOUT_S = 12.0  # for the first processes; one that is not ready by then breaks the rule NOT_READY
LAG_SAMPLE_INTERVAL_S = 0.02  # between two measurements of how late the recording process is
MIN_RECORDED_LAG_S = 0.01  # shorter delays are not recorded
LIST_DELAY_S = 1.5  # of changes of the server list after an event DELAY_LISTS
CRASH_DELAY_S = 2.0  # from the start of a process to its deliberate crash


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The result of a run."""

    plan: Plan
    breaches: tuple[Breach, ...]
    timelines: tuple[tuple[str, ...], ...]  # one for each breach
    request_count: int
    served_count: int  # requests with a response of status 200
    resent_count: int  # sent again because their idle connection was closed before they were read
    attempt_count: int
    max_lag_s: float


class SoakRun:
    """The balancers, servers, clients and discovery of one run."""

    def __init__(self, plan: Plan, folder: Path, library: Path, deliberate_breach: DeliberateBreach) -> None:
        self.plan = plan
        self.deliberate_breach = deliberate_breach
        self.random = Random(f"soak run/{plan.seed}")
        self.run_records = RunRecords()
        self.discovery = Discovery(plan.balancer_count, plan.push_mode, deliberate_breach, self.run_records)
        self.servers = [
            self._create_server(f"s{index}", response_faults)
            for index, response_faults in enumerate(plan.server_response_faults)
        ]
        self.proxies: list[FaultProxy] = []
        self.replacement_count = 0
        self.list_delay_s = 0.0
        self.balancers = [
            ManagedBalancer(
                index,
                plan,
                self.discovery,
                folder,
                shim_environment(plan.process_faults[index], library) if plan.process_faults else {},
                self.run_records,
            )
            for index in range(plan.balancer_count)
        ]
        self.tasks: set[asyncio.Task[None]] = set()

    def _create_server(self, name: str, response_faults: StreamFaults = NO_STREAM_FAULTS) -> Server:
        network_faults = (self.deliberate_breach.balancer_to_server, response_faults)
        plan = self.plan
        return Server(
            name,
            plan.mean_work_s,
            plan.warm_server_requests_per_s,
            network_faults,
            self.run_records,
            self.random,
        )

    async def run(self) -> SoakResult:
        """Execute the plan. Everything that was started is stopped at the end, also after an error."""
        try:
            await self._start()
            await self._run_events()
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            for balancer in self.balancers:
                await balancer.stop()
            for server in self.servers:
                server.stop()
            for proxy in self.proxies:
                proxy.stop()
        return self._build_result()

    async def _start(self) -> None:
        await self.discovery.listen()
        for server in self.servers:
            await server.start(cold=False)
            self.discovery.update_server(server, "active")
        self._spawn(self.discovery.track_informed_balancers())
        self._spawn(self._watch_lag())
        self._spawn(self._inject_process_fault())
        starts = [asyncio.create_task(balancer.start()) for balancer in self.balancers]
        await asyncio.wait(starts, timeout=READY_TIMEOUT_S)
        self.tasks.update(start for start in starts if not start.done())

    async def _client_addresses(self) -> list[tuple[str, int]]:
        """Return where clients connect to each balancer: its address, or that of a proxy in front of it."""
        network_faults = self._client_network_faults()
        if network_faults == (NO_STREAM_FAULTS, NO_STREAM_FAULTS):
            return [balancer.address for balancer in self.balancers]
        for balancer in self.balancers:
            proxy = FaultProxy(balancer.address, self.random, *network_faults)
            await proxy.listen()
            self.proxies.append(proxy)
        return [proxy.address for proxy in self.proxies]

    def _client_network_faults(self) -> tuple[StreamFaults, StreamFaults]:
        request_faults, response_faults = (
            self.deliberate_breach.client_to_balancer,
            self.deliberate_breach.balancer_to_client,
        )
        planned = self.plan.client_network_faults
        return (
            request_faults if request_faults is not NO_STREAM_FAULTS else planned,
            response_faults if response_faults is not NO_STREAM_FAULTS else planned,
        )

    async def _inject_process_fault(self) -> None:
        """Suspend the first balancer as it starts or crash it later, if the deliberate breach says so."""
        while (process := self.balancers[0].process) is None:
            await asyncio.sleep(LAG_SAMPLE_INTERVAL_S)
        if self.deliberate_breach.suspends_process:
            self.balancers[0].may_stall = False  # the end of a stall would resume the process
            process.send_signal(signal.SIGSTOP)
        if self.deliberate_breach.crashes_process:
            await asyncio.sleep(CRASH_DELAY_S)
            process.send_signal(signal.SIGSEGV)

    async def _run_events(self) -> None:
        # Delays while all processes start at once do not widen the limits of the checks.
        self.run_records.lags.clear()
        started_at = time.monotonic()
        ends_at = started_at + self.plan.seconds
        for event in self.plan.events:
            self._spawn(self._run_event(started_at + event.at_s, event))
        clients = Clients(
            self.plan.client_profile,
            await self._client_addresses(),
            lambda index: self.balancers[index].is_in_service(),
            self.run_records,
            Random(f"soak clients/{self.plan.seed}"),
        )
        await clients.run(ends_at)
        self.run_records.clients_stopped_at = time.monotonic()
        for balancer in self.balancers:
            process, record = balancer.process, balancer.record
            if process is not None and record is not None and process.returncode is not None:
                record.exit_code = process.returncode

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self.tasks.add(asyncio.create_task(work))

    async def _run_event(self, due_at: float, event: Event) -> None:
        await asyncio.sleep(max(0.0, due_at - time.monotonic()))
        balancer, server = self.balancers[event.balancer_index], self.servers[event.server_index]
        if event.action is Action.SWITCH_DISCOVERY:
            balancer.switch_discovery()
        elif event.action is Action.RESTART:
            await balancer.restart()
        elif event.action is Action.KILL:
            await balancer.kill()
        elif event.action is Action.STALL:
            await balancer.stall()
        elif event.action is Action.SET_SERVER_MODE:
            server.mode = event.mode
        elif event.action is Action.DRAIN_SERVER:
            await self._drain(server)
        else:
            self._disturb_discovery(event)

    async def _drain(self, server: Server) -> None:
        await asyncio.sleep(self.list_delay_s)
        server.draining = True
        self.discovery.update_server(server, "leaving")
        self.replacement_count += 1
        replacement = self._create_server(f"r{self.replacement_count}")
        self.servers.append(replacement)
        await replacement.start(cold=True)
        await asyncio.sleep(self.list_delay_s)
        self.discovery.update_server(replacement, "active")

    def _disturb_discovery(self, event: Event) -> None:
        if event.action is Action.DELAY_LISTS:
            self.list_delay_s = LIST_DELAY_S
            return
        for agent in self.discovery.agents:
            if event.action is Action.SLOW_DISCOVERY:
                agent.response_delay_s = event.seconds
            elif event.action is Action.SILENCE_DISCOVERY:
                agent.silent_until = time.monotonic() + event.seconds
            else:
                agent.reset_connections()

    async def _watch_lag(self) -> None:
        while True:
            sleep_started_at = time.monotonic()
            await asyncio.sleep(LAG_SAMPLE_INTERVAL_S)
            now = time.monotonic()
            if now - sleep_started_at - LAG_SAMPLE_INTERVAL_S > MIN_RECORDED_LAG_S:
                self.run_records.lags.append(Lag(now, now - sleep_started_at - LAG_SAMPLE_INTERVAL_S))

    def _build_result(self) -> SoakResult:
        breaches = RuleChecker(self.run_records, self.plan.limits, proxied=bool(self.proxies)).find_breaches()
        requests = self.run_records.requests.values()
        return SoakResult(
            plan=self.plan,
            breaches=tuple(breaches),
            timelines=tuple(tuple(request_timeline(self.run_records, breach.subject)) for breach in breaches),
            request_count=len(requests),
            served_count=sum(request.status == 200 for request in requests),
            resent_count=sum(request.retry_id is not None for request in requests),
            attempt_count=len(self.run_records.attempts),
            max_lag_s=self.run_records.max_lag_s(),
        )


def run_seed(seed: int, seconds: float, folder: Path, broken_rule: Rule | None = None) -> SoakResult:
    """Run the plan of one seed in this process, breaking `broken_rule` deliberately if it is not None."""
    folder.mkdir(parents=True, exist_ok=True)
    deliberate_breach = DELIBERATE_BREACHES[broken_rule] if broken_rule is not None else NO_DELIBERATE_BREACH
    soak_run = SoakRun(draw_plan(seed, seconds), folder, build_shim(), deliberate_breach)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(soak_run.run())
