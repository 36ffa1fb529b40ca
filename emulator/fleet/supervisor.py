"""Starts the processes of a run, applies the events of real balancers, and stops all processes."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random

from emulator.fleet.contract import AddressPlan, ProcessConfig, Start
from emulator.fleet.layout import build_layout
from emulator.fleet.managed_child import ManagedChild
from emulator.fleet.process_monitor import ProcessMonitor
from emulator.fleet.real_balancers import ROLE as BALANCER_ROLE
from emulator.fleet.real_balancers import NotReadyError, RealBalancer, build_real_balancers
from emulator.fleet.run_record import FailedProcess, MeasureLog, RunRecord
from emulator.fleet.scenario import Scenario
from emulator.fleet.timeline import BalancersStarted, BalancersStopped, Event, build_timeline
from emulator.free_ports import find_free_ports

SHARD_COUNT = 2  # processes that share the photo servers
START_DELAY_S = 0.5  # from the last `Ready` to the scenario's start
START_TIMEOUT_S = 240.0  # until all processes are ready
FAILURE_POLL_INTERVAL_S = 0.1  # between two checks for processes that died
MEASURE_INTERVAL_S = 1.0

Progress = Callable[[str, float], None]  # phase, seconds of the scenario


def _choose_ports(shards: int) -> AddressPlan:
    server, agent, balancer, *shard_ports = find_free_ports(3 + shards)
    return AddressPlan(server, agent, balancer, tuple(shard_ports))


class Supervisor:
    """Supervises one run, from the start of the first process to the end of the last one."""

    def __init__(self, path: Path, scenario: Scenario, record: RunRecord, progress: Progress) -> None:
        self.scenario = scenario
        self.record = record
        self._progress = progress
        self._logs = record.folder / "logs"
        self._logs.mkdir()
        self._measures = MeasureLog(record)
        self._random = Random(f"{record.seed}/starts of real balancers")
        self._stop_event = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._path = path.resolve()
        self._addresses = _choose_ports(SHARD_COUNT)
        layout = build_layout(scenario, record.seed)
        self._balancers = build_real_balancers(scenario, layout, self._addresses, self._logs)
        self._children: list[ManagedChild] = []
        self._monitors = [ProcessMonitor("supervisor", 0, None)]
        self._pid_getters: list[Callable[[], int | None]] = [os.getpid]

    async def run(self) -> None:
        """Run the scenario; all processes are stopped even after an error or an interruption."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, self._interrupt)
        started_at = time.monotonic()
        try:
            if await self._start_all():
                self.record.starting_s = time.monotonic() - started_at
                await self._run_scenario()
        finally:
            await self._stop_all()
            self._measures.close()
            for number in (signal.SIGINT, signal.SIGTERM):
                loop.remove_signal_handler(number)

    def _interrupt(self) -> None:
        self.record.interrupted = True
        self._stop_event.set()

    # ---- start ----

    async def _start_all(self) -> bool:
        """Start all processes; returns False if the run was interrupted or a process failed meanwhile."""
        watch = asyncio.create_task(self._watch_for_failures())
        starting = asyncio.create_task(self._start_in_order())
        stopped = asyncio.create_task(self._stop_event.wait())
        done, _ = await asyncio.wait(
            {starting, stopped}, timeout=START_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
        )
        stopped.cancel()
        if starting in done and not self._stop_event.is_set():
            self._tasks.add(watch)
            try:
                starting.result()
            except (NotReadyError, EOFError, OSError) as error:
                # Wait until the exit code of a child that died is known, so that it is reported by name.
                await asyncio.sleep(FAILURE_POLL_INTERVAL_S)
                self._record_failures()
                if not self.record.failed_processes:
                    self.record.failed_processes.append(FailedProcess(str(error), None, ()))
                return False
            return True
        for task in (starting, watch):
            task.cancel()
        await asyncio.gather(starting, watch, return_exceptions=True)
        if not done:
            late = [child.name for child in self._children if not child.is_ready]
            self.record.failed_processes.append(
                FailedProcess(f"not ready in time: {', '.join(late)}", None, ())
            )
        return False

    async def _start_in_order(self) -> None:
        """Start the Python processes side by side, and configure each role after those that it connects to.

        The real balancers start once the stand-ins and the hollow balancers are ready.
        """
        stand_ins = [self._create_child("discovery", "emulator.fleet.discovery", 0, 1)]
        stand_ins += [
            self._create_child("photo_servers", "emulator.fleet.photo_server_process", index, SHARD_COUNT)
            for index in range(SHARD_COUNT)
        ]
        workers = self._count_workers()
        hollow = [
            self._create_child("hollow", "emulator.fleet.hollow_worker", index, workers)
            for index in range(workers)
        ]
        clients = [self._create_child("clients", "emulator.fleet.clients", 0, 1)] if self._balancers else []
        for child in self._children:
            await child.start()
        await self._configure_and_wait("starting the stand-ins", stand_ins)
        await self._configure_and_wait("starting the hollow balancers", hollow)
        self._progress("starting the real balancers", 0.0)
        for balancer in self._balancers:
            self._monitor(BALANCER_ROLE, balancer)
            await balancer.start(self._random)
        for balancer in self._balancers:
            await balancer.wait_ready()
        await self._configure_and_wait("starting the clients", clients)

    def _count_workers(self) -> int:
        all_real = self.scenario.balancers.total == self.scenario.balancers.real
        return 0 if all_real else self.scenario.balancers.hollow_workers

    def _create_child(self, role: str, module: str, index: int, processes: int) -> ManagedChild:
        config = ProcessConfig(
            scenario=str(self._path),
            seed=self.record.seed,
            index=index,
            processes=processes,
            addresses=self._addresses,
        )
        child = ManagedChild(role, module, config, self._logs, self._on_line)
        self._children.append(child)
        self._monitor(role, child)
        return child

    def _monitor(self, role: str, member: ManagedChild | RealBalancer) -> None:
        index = member.index if isinstance(member, ManagedChild) else member.number
        self._monitors.append(ProcessMonitor(role, index, member.log))
        self._pid_getters.append(lambda: member.pid)

    async def _configure_and_wait(self, phase: str, children: list[ManagedChild]) -> None:
        self._progress(phase, 0.0)
        for child in children:
            child.configure()
        for child in children:
            await child.wait_ready()

    def _on_line(self, child: ManagedChild, line: bytes) -> None:
        self._measures.add_line(child.role, child.index, line)

    # ---- run ----

    async def _run_scenario(self) -> None:
        start = Start(time.monotonic_ns() + int(START_DELAY_S * 1e9))
        for child in self._children:
            child.send_start(start)
        timeline = build_timeline(self.scenario, self.record.seed)
        self._start_task(self._apply_events(start, timeline))
        end_s, next_s = self.scenario.duration_s, MEASURE_INTERVAL_S
        while not self._stop_event.is_set() and self.record.elapsed_s < end_s:
            wait_s = min(next_s, end_s) - _elapsed_s(start)
            try:
                async with asyncio.timeout(max(0.0, wait_s)):
                    await self._stop_event.wait()
            except TimeoutError:
                pass
            self.record.elapsed_s = min(_elapsed_s(start), end_s)
            if _elapsed_s(start) >= next_s:
                self._measure(_elapsed_s(start))
                next_s += MEASURE_INTERVAL_S
            self._progress("running", self.record.elapsed_s)

    async def _apply_events(self, start: Start, timeline: tuple[Event, ...]) -> None:
        for event in timeline:
            await asyncio.sleep(max(0.0, event.at_s - _elapsed_s(start)))
            if isinstance(event, BalancersStopped):
                for balancer in self._balancers_in(event.balancers):
                    balancer.stop(graceful=event.graceful)
            elif isinstance(event, BalancersStarted):
                for balancer in self._balancers_in(event.balancers):
                    self._start_task(self._restart(balancer))

    def _balancers_in(self, balancers: tuple[int, ...]) -> list[RealBalancer]:
        return [balancer for balancer in self._balancers if balancer.number in balancers]

    async def _restart(self, balancer: RealBalancer) -> None:
        await balancer.wait_stopped()
        started_at = time.monotonic()
        await balancer.start(self._random)
        try:
            await balancer.wait_ready()
        except NotReadyError as error:
            self.record.failed_processes.append(
                FailedProcess(str(error), None, tuple(balancer.log.last_lines()))
            )
            self._stop_event.set()
            return
        self.record.real_ready_ms.append(round((time.monotonic() - started_at) * 1e3, 1))

    def _measure(self, at_s: float) -> None:
        for monitor, pid in zip(self._monitors, self._pid_getters, strict=True):
            measure = monitor.measure(at_s, pid())
            if measure is not None:
                self._measures.add(measure)

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # ---- failed processes ----

    async def _watch_for_failures(self) -> None:
        while not self._record_failures():
            await asyncio.sleep(FAILURE_POLL_INTERVAL_S)
        self._stop_event.set()

    def _record_failures(self) -> bool:
        for child in self._children:
            if child.process is not None and child.pid is None and not child.is_stopping:
                self._record_failure(child.name, child.process.returncode, child.log.last_lines())
        for balancer in self._balancers:
            if balancer.process is not None and balancer.pid is None and not balancer.is_stopping:
                name = f"{BALANCER_ROLE} {balancer.number}"
                self._record_failure(name, balancer.process.returncode, balancer.log.last_lines())
        return bool(self.record.failed_processes)

    def _record_failure(self, name: str, exit_code: int | None, lines: list[str]) -> None:
        if name not in {failure.name for failure in self.record.failed_processes}:
            self.record.failed_processes.append(FailedProcess(name, exit_code, tuple(lines)))

    # ---- stop ----

    async def _stop_all(self) -> None:
        """Stop all processes, each before those that it connects to."""
        self._progress("ending", self.record.elapsed_s)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for role in ("clients", BALANCER_ROLE, "hollow", "discovery", "photo_servers"):
            if role == BALANCER_ROLE:
                for balancer in self._balancers:
                    balancer.stop(graceful=False)
                await asyncio.gather(*(balancer.wait_stopped() for balancer in self._balancers))
            else:
                children = [child for child in self._children if child.role == role]
                await asyncio.gather(*(child.stop() for child in children))


def _elapsed_s(start: Start) -> float:
    return (time.monotonic_ns() - start.monotonic_ns) / 1e9
