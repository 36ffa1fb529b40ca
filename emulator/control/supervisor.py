"""Runs a scenario: starts the processes, takes the steps, and says what was measured."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from dykeshift.node.call import HttpClient
from emulator.control import scenario as steps
from emulator.control.contract import (
    AddressPlan,
    AgentsConfig,
    AgentTotals,
    Begin,
    Cut,
    Finish,
    HollowConfig,
    InForce,
    MachineConfig,
    Measure,
    Reach,
    RealConfig,
    Report,
    RequestFailed,
    RequestTotals,
    Restart,
    Started,
    TrafficConfig,
    TurnedDown,
)
from emulator.control.machine import PublishReply, PublishRequest
from emulator.control.measures import Measures
from emulator.control.process import ChildProcess
from emulator.control.results import ChangeResult, FailedResult, RefusedResult, RunResult, StepResult
from emulator.free_ports import find_free_ports

PUBLISH_TIMEOUT = 5.0  # seconds
PUBLISH_TRIES = 5  # of one change, under its id
FINISH_TIMEOUT = 20.0  # seconds for the last requests
POLL = 0.01  # seconds between two looks whether a version is in force everywhere
SLACK = 2.0  # times the bar: how long a step waits for that before it goes on
START_WAIT = 60.0  # seconds for all balancers to be started again


class StepFailedError(Exception):
    """A step could not be taken as the scenario says."""


class Supervisor:
    """One run."""

    def __init__(self, scenario: steps.Scenario, emit: Callable[[StepResult], None], folder: Path) -> None:
        self.scenario = scenario
        self.emit = emit
        self.folder = folder
        self.base = steps.base_settings()
        self.addresses = AddressPlan(*find_free_ports(3))
        self.measures = Measures(scenario.balancers)
        self.machines: dict[int, ChildProcess] = {}
        self.others: list[ChildProcess] = []  # agents, hollow balancers, traffic and real balancers
        self.request_totals: list[RequestTotals] = []
        self.agent_totals: asyncio.Queue[AgentTotals] = asyncio.Queue()
        self.began = time.monotonic()
        self.changes = 0
        self.split: int | None = None  # the region that is cut off
        self.refused = 0
        self.problems: list[str] = []

    # ---- processes ----

    async def run(self) -> RunResult:
        """The whole scenario; all children are gone when this returns or raises."""
        try:
            await self._start()
            self.began, cpu = time.monotonic(), self._quiet_cpu()
            for step in self.scenario.steps:
                await self._take(step)
            seconds, cpu = time.monotonic() - self.began, self._quiet_cpu() - cpu
            await self._finish()
            return await self._result(seconds, cpu)
        finally:
            await asyncio.gather(*(child.stop() for child in [*self.others, *self.machines.values()]))

    async def _start(self) -> None:
        scenario, seed = self.scenario, self.scenario.seed
        await asyncio.gather(*(self._start_machine(n) for n in range(scenario.machines)))
        agents = AgentsConfig(scenario.balancers_by_region(), scenario.machines, self.addresses, seed)
        self.agents = await self._start_other("agents", agents)
        traffic = TrafficConfig(
            scenario.real_balancer_indexes(),
            self.addresses,
            scenario.servers,
            scenario.real_requests_per_s,
            seed,
        )
        self.traffic = ChildProcess("emulator.control.traffic", traffic, self._on_report)
        self.others.append(self.traffic)
        discovery_port = (await self.traffic.start()).discovery_port
        real = RealConfig(scenario.real_balancer_indexes(), self.base, self.addresses, discovery_port, seed)
        hollow = [
            HollowConfig(
                n, scenario.hollow_balancer_indexes(n), self.base, self.addresses, self._hollow_rate(n), seed
            )
            for n in range(scenario.hollow_processes)
        ]
        self.real = await self._start_other("real", real)
        self.hollow = [await self._start_other("hollow", config) for config in hollow]
        await self._wait_started(scenario.balancers)
        self.traffic.send_command(Begin())

    def _hollow_rate(self, process: int) -> float:
        """The first process has no requests, so that its processor time shows what the settings cost."""
        return self.scenario.hollow_requests_per_s if process else 0.0

    async def _start_machine(self, index: int) -> None:
        path = str(self.folder / f"machine{index}.log")
        config = MachineConfig(index, self.scenario.machines, self.addresses, path, self.scenario.seed)
        child = ChildProcess("emulator.control.machine", config, self._on_report)
        self.machines[index] = child
        await child.start()

    async def _start_other(self, name: str, config: msgspec.Struct) -> ChildProcess:
        child = ChildProcess(f"emulator.control.{name}", config, self._on_report)
        self.others.append(child)
        await child.start()
        return child

    def _on_report(self, report: Report) -> None:
        if isinstance(report, InForce):
            self.measures.on_in_force(report)
        elif isinstance(report, Started):
            self.measures.on_started(report)
        elif isinstance(report, TurnedDown):
            self.measures.on_rejected(report)
        elif isinstance(report, RequestFailed):
            self.emit(
                FailedResult(report.balancer, report.what, report.after_ms, time.monotonic() - self.began)
            )
        elif isinstance(report, RequestTotals):
            self.request_totals.append(report)
        elif isinstance(report, AgentTotals):
            self.agent_totals.put_nowait(report)

    def _quiet_cpu(self) -> float:
        return self.hollow[0].cpu_seconds()

    async def _wait_started(self, count: int) -> None:
        async with asyncio.timeout(START_WAIT):
            while self.measures.start_count < count:
                await asyncio.sleep(POLL)

    async def _finish(self) -> None:
        self.request_totals.clear()
        children = [*self.hollow, self.traffic]
        for child in children:
            child.send_command(Finish())
        self.agents.send_command(Measure())
        async with asyncio.timeout(FINISH_TIMEOUT):
            while len(self.request_totals) < len(children):
                await asyncio.sleep(POLL)

    # ---- steps ----

    async def _take(self, step: steps.ScenarioStep) -> None:
        if isinstance(step, steps.ChangeStep):
            for n in range(step.count):
                await self._change(step.machines[n % len(step.machines)])
                await asyncio.sleep(step.every_s)
        elif isinstance(step, steps.RefusedStep):
            for _ in range(step.count):
                await self._expect_refused(
                    step.do, step.machine, 503, steps.varied_settings(self.base, self.changes)
                )
        elif isinstance(step, steps.InvalidChangeStep):
            await self._expect_refused(step.do, 0, 400, steps.invalid_settings(self.base))
        elif isinstance(step, steps.UncheckedInvalidChangeStep):
            await self._change_badly()
        elif isinstance(step, steps.LoseMachinesStep):
            await asyncio.gather(*(self.machines[n].kill() for n in step.machines))
        elif isinstance(step, steps.RecoverMachinesStep):
            await asyncio.gather(*(self._start_machine(n) for n in step.machines))
        elif isinstance(step, steps.SplitStep):
            self._cut(step.region)
        elif isinstance(step, steps.HealStep):
            self._cut(None)
        elif isinstance(step, steps.RestartBalancersStep):
            await self._restart(step.count)
        else:
            await asyncio.sleep(step.seconds)

    async def _publish(
        self, machine: int, settings: dict[str, Any], unchecked: bool = False
    ) -> tuple[int, PublishReply]:
        """Status and reply; a change of unknown fate is sent again under its id."""
        self.changes += 1
        body = msgspec.json.encode(PublishRequest(f"change-{self.changes}", settings, unchecked))
        for attempt in range(PUBLISH_TRIES):
            address = self.addresses.machine_address(machine)
            caller = HttpClient(asyncio.get_running_loop(), (address.host, address.port), 1024 * 1024)
            try:
                answer = await caller.call("/v1/settings", PUBLISH_TIMEOUT, body)
            except (OSError, TimeoutError) as exc:
                raise StepFailedError(f"machine {machine} did not answer a change: {exc}") from None
            finally:
                caller.close()
            reply: PublishReply = msgspec.json.decode(answer.body, type=PublishReply)
            if answer.status != 504 or attempt == PUBLISH_TRIES - 1:
                return answer.status, reply
        raise AssertionError("unreachable")

    async def _change(self, machine: int) -> None:
        asked = time.monotonic_ns()
        status, reply = await self._publish(machine, steps.varied_settings(self.base, self.changes))
        if status != 200:
            self.problems.append(f"machine {machine} did not accept a sound change: {reply.error}")
            return
        version = reply.version
        self.measures.accepted_at_ns[version] = asked
        await self._wait_in_force(version)
        delay, missing = self.measures.version_delay(version)
        cut = set(self._cut_off())
        missing = [balancer for balancer in missing if balancer not in cut]
        if missing:
            self.problems.append(f"version {version} is not in force at {len(missing)} balancers")
        self.emit(ChangeResult(version, machine, delay.sample_count, delay.p50_s, delay.p99_s, delay.max_s))

    def _cut_off(self) -> list[int]:
        return [] if self.split is None else self.scenario.balancers_by_region()[self.split]

    async def _wait_in_force(self, version: int) -> None:
        """Wait until all that can hear of it have it, or until well after the bar."""
        wanted = set(range(self.scenario.balancers)) - set(self._cut_off())
        until = time.monotonic() + SLACK * self.scenario.bar_s
        while time.monotonic() < until:
            if all(self.measures.newest_versions.get(balancer, 0) >= version for balancer in wanted):
                return
            await asyncio.sleep(POLL)

    async def _expect_refused(self, what: str, machine: int, status: int, settings: dict[str, Any]) -> None:
        got, reply = await self._publish(machine, settings)
        if got != status or not reply.error or "\n" in reply.error:
            self.problems.append(f"machine {machine} answered {got} {reply.error!r} instead of {status}")
        self.refused += 1
        self.emit(RefusedResult(what, machine, got, reply.error))

    async def _change_badly(self) -> None:
        """All balancers turn it down with one line each, and keep what they have."""
        status, reply = await self._publish(0, steps.invalid_settings(self.base), unchecked=True)
        until = time.monotonic() + SLACK * self.scenario.bar_s
        told = self.measures.rejection_reasons[reply.version]
        while len(told) < self.scenario.balancers and time.monotonic() < until:
            await asyncio.sleep(POLL)
        if len(told) < self.scenario.balancers:
            self.problems.append(f"{len(told)} balancers turned the bad version {reply.version} down")
        if max(self.measures.newest_versions.values()) >= reply.version:
            self.problems.append(f"the bad version {reply.version} is in force")
        self.emit(RefusedResult("bad_unchecked", 0, status, next(iter(told.values()), ""), len(told)))

    def _cut(self, region: int | None) -> None:
        """Cut one region off, with its machine; None: the split is over."""
        everyone = range(self.scenario.machines)
        healed = self._cut_off()
        self.split = region
        for index, child in self.machines.items():
            others = [n for n in everyone if n != index and region in (n, index)]
            child.send_command(Cut(others))
        reach = [[m for m in everyone if region is None or (m == region) == (n == region)] for n in everyone]
        self.agents.send_command(Reach(reach))
        for balancer in healed:
            self.measures.reachable_since_ns[balancer].append(time.monotonic_ns())

    async def _restart(self, count: int) -> None:
        total = self.scenario.balancers
        chosen = list(range(0, total, max(1, total // count)))[:count] if count else list(range(total))
        wanted = self.measures.start_count + len(chosen)
        self.measures.on_restarting(chosen)
        for n, child in enumerate(self.hollow):
            child.send_command(
                Restart([b for b in self.scenario.hollow_balancer_indexes(n) if b in set(chosen)])
            )
        self.real.send_command(
            Restart([b for b in self.scenario.real_balancer_indexes() if b in set(chosen)])
        )
        await self._wait_started(wanted)

    # ---- the end ----

    async def _result(self, seconds: float, quiet_cpu: float) -> RunResult:
        scenario, measures = self.scenario, self.measures
        late = [v for v in measures.accepted_at_ns if measures.version_delay(v)[1]]
        if late:
            self.problems.append(f"versions {late} are not in force everywhere at the end")
        agents = await asyncio.wait_for(self.agent_totals.get(), FINISH_TIMEOUT)
        delay = measures.overall_delay()
        return RunResult(
            balancers=scenario.balancers,
            seconds=seconds,
            versions=len(measures.accepted_at_ns),
            refused=self.refused,
            samples=delay.sample_count,
            p50=delay.p50_s,
            p99=delay.p99_s,
            most=delay.max_s,
            backwards=len(measures.version_regressions),
            starts=measures.start_count,
            repeated_lines=measures.repeated_rejection_count,
            requests=sum(t.requests for t in self.request_totals),
            failed=sum(t.refused + t.failed for t in self.request_totals),
            lost=sum(t.lost for t in self.request_totals),
            repeated=sum(t.repeated for t in self.request_totals),
            killed_with_balancers=sum(t.restarted for t in self.request_totals),
            bytes_per_s=(agents.to_agents + agents.to_balancers) / scenario.balancers / seconds,
            cpu_share=quiet_cpu / len(scenario.hollow_balancer_indexes(0)) / seconds,
            problems=self.problems,
        )


async def run(scenario: steps.Scenario, emit: Callable[[StepResult], None]) -> RunResult:
    """Run a scenario in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return await Supervisor(scenario, emit, Path(folder)).run()
