"""Runs a scenario: starts the processes, executes the steps and returns the measurements."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from dykeshift.node.call import HttpClient
from emulator.control import scenario as scenario_file
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

PUBLISH_TIMEOUT_S = 5.0  # for each attempt
MAX_PUBLISH_ATTEMPTS = 5  # of one change, with the same ID
FINISH_TIMEOUT_S = 20.0  # for the last requests
POLL_INTERVAL_S = 0.01  # between two checks of a condition on the reports
MAX_WAIT_BAR_MULTIPLE = 2.0  # as a multiple of the bar: how long a step waits for a version at most
START_TIMEOUT_S = 60.0  # until all balancers have started


class StepFailedError(Exception):
    """A step of the scenario could not be executed."""


class Supervisor:
    """One run of a scenario."""

    def __init__(
        self, scenario: scenario_file.Scenario, emit_result: Callable[[StepResult], None], folder: Path
    ) -> None:
        self.scenario = scenario
        self.emit_result = emit_result
        self.folder = folder
        self.base_settings = scenario_file.base_settings()
        self.addresses = AddressPlan(*find_free_ports(3))
        self.measures = Measures(scenario.balancers)
        self.machine_children: dict[int, ChildProcess] = {}
        self.other_children: list[ChildProcess] = []  # agents, hollow balancers, traffic and real balancers
        self.request_totals: list[RequestTotals] = []
        self.agent_totals: asyncio.Queue[AgentTotals] = asyncio.Queue()
        self.started_at = time.monotonic()
        self.change_count = 0
        self.cut_off_region: int | None = None
        self.rejected_change_count = 0
        self.problems: list[str] = []

    # ---- processes ----

    async def run(self) -> RunResult:
        """Run the whole scenario; all child processes have ended when this returns or raises."""
        try:
            await self._start()
            self.started_at, idle_cpu_s = time.monotonic(), self._idle_cpu_seconds()
            for step in self.scenario.steps:
                await self._execute_step(step)
            seconds, idle_cpu_s = time.monotonic() - self.started_at, self._idle_cpu_seconds() - idle_cpu_s
            await self._stop_traffic()
            return await self._build_result(seconds, idle_cpu_s)
        finally:
            await asyncio.gather(
                *(child.stop() for child in [*self.other_children, *self.machine_children.values()])
            )

    async def _start(self) -> None:
        scenario, seed = self.scenario, self.scenario.seed
        await asyncio.gather(*(self._start_machine(n) for n in range(scenario.machines)))
        agents = AgentsConfig(scenario.balancers_by_region(), scenario.machines, self.addresses, seed)
        self.agents_child = await self._start_other("agents", agents)
        traffic = TrafficConfig(
            scenario.real_balancer_indexes(),
            self.addresses,
            scenario.servers,
            scenario.real_requests_per_s,
            seed,
        )
        self.traffic_child = ChildProcess("emulator.control.traffic", traffic, self._on_report)
        self.other_children.append(self.traffic_child)
        discovery_port = (await self.traffic_child.start()).discovery_port
        real = RealConfig(
            scenario.real_balancer_indexes(), self.base_settings, self.addresses, discovery_port, seed
        )
        hollow = [
            HollowConfig(
                n,
                scenario.hollow_balancer_indexes(n),
                self.base_settings,
                self.addresses,
                self._hollow_requests_per_s(n),
                seed,
            )
            for n in range(scenario.hollow_processes)
        ]
        self.real_balancers_child = await self._start_other("real", real)
        self.hollow_children = [await self._start_other("hollow", config) for config in hollow]
        await self._wait_for_starts(scenario.balancers)
        self.traffic_child.send_command(Begin())

    def _hollow_requests_per_s(self, process: int) -> float:
        """Return 0 for the first process: its processor time is then that of the settings alone."""
        return self.scenario.hollow_requests_per_s if process else 0.0

    async def _start_machine(self, index: int) -> None:
        path = str(self.folder / f"machine{index}.log")
        config = MachineConfig(index, self.scenario.machines, self.addresses, path, self.scenario.seed)
        child = ChildProcess("emulator.control.machine", config, self._on_report)
        self.machine_children[index] = child
        await child.start()

    async def _start_other(self, name: str, config: msgspec.Struct) -> ChildProcess:
        child = ChildProcess(f"emulator.control.{name}", config, self._on_report)
        self.other_children.append(child)
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
            self.emit_result(
                FailedResult(
                    report.balancer, report.what, report.after_ms, time.monotonic() - self.started_at
                )
            )
        elif isinstance(report, RequestTotals):
            self.request_totals.append(report)
        elif isinstance(report, AgentTotals):
            self.agent_totals.put_nowait(report)

    def _idle_cpu_seconds(self) -> float:
        """Return the processor time of the hollow balancers that get no requests."""
        return self.hollow_children[0].cpu_seconds()

    async def _wait_for_starts(self, count: int) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while self.measures.start_count < count:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _stop_traffic(self) -> None:
        self.request_totals.clear()
        children = [*self.hollow_children, self.traffic_child]
        for child in children:
            child.send_command(Finish())
        self.agents_child.send_command(Measure())
        async with asyncio.timeout(FINISH_TIMEOUT_S):
            while len(self.request_totals) < len(children):
                await asyncio.sleep(POLL_INTERVAL_S)

    # ---- steps ----

    async def _execute_step(self, step: scenario_file.ScenarioStep) -> None:
        if isinstance(step, scenario_file.ChangeStep):
            for n in range(step.count):
                await self._publish_valid_change(step.machines[n % len(step.machines)])
                await asyncio.sleep(step.every_s)
        elif isinstance(step, scenario_file.RefusedStep):
            for _ in range(step.count):
                await self._publish_expecting_rejection(
                    step.do,
                    step.machine,
                    503,
                    scenario_file.varied_settings(self.base_settings, self.change_count),
                )
        elif isinstance(step, scenario_file.InvalidChangeStep):
            await self._publish_expecting_rejection(
                step.do, 0, 400, scenario_file.invalid_settings(self.base_settings)
            )
        elif isinstance(step, scenario_file.UncheckedInvalidChangeStep):
            await self._publish_unchecked_invalid_change()
        elif isinstance(step, scenario_file.LoseMachinesStep):
            await asyncio.gather(*(self.machine_children[n].kill() for n in step.machines))
        elif isinstance(step, scenario_file.RecoverMachinesStep):
            await asyncio.gather(*(self._start_machine(n) for n in step.machines))
        elif isinstance(step, scenario_file.SplitStep):
            self._set_split(step.region)
        elif isinstance(step, scenario_file.HealStep):
            self._set_split(None)
        elif isinstance(step, scenario_file.RestartBalancersStep):
            await self._restart_balancers(step.count)
        else:
            await asyncio.sleep(step.seconds)

    async def _publish(
        self, machine: int, settings: dict[str, Any], unchecked: bool = False
    ) -> tuple[int, PublishReply]:
        """Publish a change; return the status and the reply. It is sent again while its result is unknown."""
        self.change_count += 1
        body = msgspec.json.encode(PublishRequest(f"change-{self.change_count}", settings, unchecked))
        for attempt in range(MAX_PUBLISH_ATTEMPTS):
            address = self.addresses.machine_address(machine)
            client = HttpClient(asyncio.get_running_loop(), (address.host, address.port), 1024 * 1024)
            try:
                response = await client.call("/v1/settings", PUBLISH_TIMEOUT_S, body)
            except (OSError, TimeoutError) as exc:
                raise StepFailedError(
                    f"control machine {machine} did not respond to a change: {exc}"
                ) from None
            finally:
                client.close()
            reply: PublishReply = msgspec.json.decode(response.body, type=PublishReply)
            if response.status != 504 or attempt == MAX_PUBLISH_ATTEMPTS - 1:
                return response.status, reply
        raise AssertionError("unreachable")

    async def _publish_valid_change(self, machine: int) -> None:
        published_at_ns = time.monotonic_ns()
        status, reply = await self._publish(
            machine, scenario_file.varied_settings(self.base_settings, self.change_count)
        )
        if status != 200:
            self.problems.append(f"control machine {machine} did not accept a valid change: {reply.error}")
            return
        version = reply.version
        self.measures.published_at_ns[version] = published_at_ns
        await self._wait_until_in_force(version)
        delay, missing = self.measures.version_delay(version)
        cut_off = set(self._cut_off_balancers())
        missing = [balancer for balancer in missing if balancer not in cut_off]
        if missing:
            self.problems.append(f"version {version} is not in force at {len(missing)} balancers")
        self.emit_result(
            ChangeResult(version, machine, delay.sample_count, delay.p50_s, delay.p99_s, delay.max_s)
        )

    def _cut_off_balancers(self) -> list[int]:
        return [] if self.cut_off_region is None else self.scenario.balancers_by_region()[self.cut_off_region]

    async def _wait_until_in_force(self, version: int) -> None:
        """Wait until the version is in force at all balancers that can receive it, or the wait times out."""
        expected = set(range(self.scenario.balancers)) - set(self._cut_off_balancers())
        deadline = time.monotonic() + MAX_WAIT_BAR_MULTIPLE * self.scenario.bar_s
        while time.monotonic() < deadline:
            if all(self.measures.newest_versions.get(balancer, 0) >= version for balancer in expected):
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _publish_expecting_rejection(
        self, what: str, machine: int, expected_status: int, settings: dict[str, Any]
    ) -> None:
        status, reply = await self._publish(machine, settings)
        if status != expected_status or not reply.error or "\n" in reply.error:
            self.problems.append(
                f"control machine {machine} returned {status} {reply.error!r}, expected {expected_status}"
            )
        self.rejected_change_count += 1
        self.emit_result(RefusedResult(what, machine, status, reply.error))

    async def _publish_unchecked_invalid_change(self) -> None:
        """Publish an invalid change: all balancers have to reject it with one line and keep their version."""
        status, reply = await self._publish(
            0, scenario_file.invalid_settings(self.base_settings), unchecked=True
        )
        deadline = time.monotonic() + MAX_WAIT_BAR_MULTIPLE * self.scenario.bar_s
        reasons = self.measures.rejection_reasons[reply.version]
        while len(reasons) < self.scenario.balancers and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
        if len(reasons) < self.scenario.balancers:
            self.problems.append(
                f"only {len(reasons)} balancers rejected the invalid version {reply.version}"
            )
        if max(self.measures.newest_versions.values()) >= reply.version:
            self.problems.append(f"the invalid version {reply.version} is in force")
        self.emit_result(
            RefusedResult("bad_unchecked", 0, status, next(iter(reasons.values()), ""), len(reasons))
        )

    def _set_split(self, region: int | None) -> None:
        """Cut one region off, with its control machine; None: end the split."""
        all_machines = range(self.scenario.machines)
        reconnected_balancers = self._cut_off_balancers()
        self.cut_off_region = region
        for index, child in self.machine_children.items():
            unreachable = [n for n in all_machines if n != index and region in (n, index)]
            child.send_command(Cut(unreachable))
        reachable_by_region = [
            [m for m in all_machines if region is None or (m == region) == (n == region)]
            for n in all_machines
        ]
        self.agents_child.send_command(Reach(reachable_by_region))
        for balancer in reconnected_balancers:
            self.measures.reachable_since_ns[balancer].append(time.monotonic_ns())

    async def _restart_balancers(self, count: int) -> None:
        balancer_count = self.scenario.balancers
        chosen = (
            list(range(0, balancer_count, max(1, balancer_count // count)))[:count]
            if count
            else list(range(balancer_count))
        )
        expected_starts = self.measures.start_count + len(chosen)
        self.measures.on_restarting(chosen)
        for n, child in enumerate(self.hollow_children):
            child.send_command(
                Restart([b for b in self.scenario.hollow_balancer_indexes(n) if b in set(chosen)])
            )
        self.real_balancers_child.send_command(
            Restart([b for b in self.scenario.real_balancer_indexes() if b in set(chosen)])
        )
        await self._wait_for_starts(expected_starts)

    # ---- results ----

    async def _build_result(self, seconds: float, idle_cpu_s: float) -> RunResult:
        scenario, measures = self.scenario, self.measures
        incomplete_versions = [v for v in measures.published_at_ns if measures.version_delay(v)[1]]
        if incomplete_versions:
            self.problems.append(
                f"versions {incomplete_versions} are not in force at all balancers at the end"
            )
        agent_totals = await asyncio.wait_for(self.agent_totals.get(), FINISH_TIMEOUT_S)
        delay = measures.overall_delay()
        return RunResult(
            balancers=scenario.balancers,
            seconds=seconds,
            versions=len(measures.published_at_ns),
            refused=self.rejected_change_count,
            samples=delay.sample_count,
            p50=delay.p50_s,
            p99=delay.p99_s,
            most=delay.max_s,
            backwards=len(measures.version_regressions),
            starts=measures.start_count,
            repeated_lines=measures.repeated_rejection_count,
            requests=sum(totals.requests for totals in self.request_totals),
            failed=sum(totals.refused + totals.failed for totals in self.request_totals),
            lost=sum(totals.lost for totals in self.request_totals),
            repeated=sum(totals.repeated for totals in self.request_totals),
            killed_with_balancers=sum(totals.restarted for totals in self.request_totals),
            bytes_per_s=(agent_totals.to_agents + agent_totals.to_balancers) / scenario.balancers / seconds,
            cpu_share=idle_cpu_s / len(scenario.hollow_balancer_indexes(0)) / seconds,
            problems=self.problems,
        )


async def run(scenario: scenario_file.Scenario, emit_result: Callable[[StepResult], None]) -> RunResult:
    """Run a scenario; the logs of the control machines are in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return await Supervisor(scenario, emit_result, Path(folder)).run()
