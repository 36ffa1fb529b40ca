"""Starts, stalls, restarts and kills the real balancer processes of a soak run."""

from __future__ import annotations

import asyncio
import json
import math
import os
import signal
import time
from contextlib import suppress
from pathlib import Path

import msgspec

from emulator.deployment import BALANCER_LIMITS, start_balancer
from emulator.discovery_schema import Listing
from emulator.faults.shim import Faults, SystemCall
from emulator.free_ports import reserve_port
from emulator.soak.connections import CONNECTION_ERRORS
from emulator.soak.discovery import Discovery
from emulator.soak.plan import STALL_S, Plan
from emulator.soak.records import ProcessRecord, RunRecords

READY_POLL_INTERVAL_S = 0.02
DEREGISTRATION_DELAY_S = 0.3  # after SIGTERM the front load balancer still assigns new connections this long
MIN_STALL_INTERVAL_S = 1.0  # balancers have to cope with one stall at a time only
RESTART_PAUSE_S = 0.3  # from the exit of a process to the start of the next one


class ManagedBalancer:
    """A balancer that keeps its address while its processes are restarted."""

    def __init__(
        self,
        index: int,
        plan: Plan,
        discovery: Discovery,
        folder: Path,
        environment: dict[str, str],
        run_records: RunRecords,
    ) -> None:
        self.index = index
        self.port_reservation = reserve_port()
        self.address: tuple[str, int] = self.port_reservation.getsockname()
        self.plan = plan
        self.discovery = discovery
        self.folder = folder
        self.environment = environment
        self.run_records = run_records
        self.discovery_address_index = 0  # which of its two discovery addresses it uses
        self.first_list: Listing | None = None  # the server list at its first start
        self.process: asyncio.subprocess.Process | None = None
        self.record: ProcessRecord | None = None
        self.last_stalled_at = -math.inf
        self.may_stall = True  # False while its process is suspended: the end of a stall would resume it

    @property
    def config_path(self) -> Path:
        """The configuration file that NODE_CONFIG names."""
        return self.folder / f"balancer-{self.index}.json"

    def is_in_service(self) -> bool:
        """Whether the front load balancer assigns new connections to it."""
        record = self.record
        if record is None or record.ready_at is None or record.sigkill_at is not None:
            return False
        return record.sigterm_at is None or time.monotonic() < record.sigterm_at + DEREGISTRATION_DELAY_S

    async def start(self) -> None:
        """Start a process and wait until it is ready, has exited or has been sent SIGTERM."""
        self._write_config()
        self.record = ProcessRecord(self.index, time.monotonic())
        self.run_records.processes.append(self.record)
        with open(self.folder / f"balancer-{self.index}.log", "ab") as log:
            variables = {"NODE_CONFIG": str(self.config_path), **self.environment}
            self.process = await start_balancer(variables, log, log, start_new_session=True)
        self.discovery.note_process_start(self.index)
        await self._wait_until_ready(self.record, self.process)

    def _write_config(self) -> None:
        host, port = self.discovery.addresses[self.index][self.discovery_address_index]
        newest_list = self.discovery.build_listing(None)
        self.first_list = self.first_list or newest_list
        # A new process counts as informed of all changes: in push mode whatever its known list is, and in ask
        # mode because the known list has them.
        known_list = self.first_list if self.plan.push_mode else newest_list
        config_text = json.dumps(
            {
                "name": f"n{self.index}",
                "listen": "{}:{}".format(*self.address),
                "discovery": f"{host}:{port}",
                "seed": f"{self.plan.seed}/{self.index}",
                "limits": BALANCER_LIMITS,
                "known": msgspec.to_builtins(known_list),
                "settings": {**self.plan.build_settings(), "me": self.index},
            }
        )
        new_file = self.config_path.with_suffix(".new")
        new_file.write_text(config_text)
        new_file.replace(self.config_path)

    async def _wait_until_ready(self, record: ProcessRecord, process: asyncio.subprocess.Process) -> None:
        while process.returncode is None and record.ready_at is None and record.sigterm_at is None:
            with suppress(TimeoutError, *CONNECTION_ERRORS):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(*self.address)
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
                    if b" 200 " in await reader.readuntil(b"\r\n"):
                        record.ready_at = time.monotonic()
                    writer.transport.abort()
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    def switch_discovery(self) -> None:
        """Make it use its other discovery address: write a new configuration file and send SIGHUP."""
        self.discovery_address_index = 1 - self.discovery_address_index
        self.discovery.agents[self.index].address_changed_at = time.monotonic()
        self._write_config()
        self._signal(signal.SIGHUP)

    async def restart(self) -> None:
        """Restart it as a deployment does: SIGTERM, SIGKILL if it does not exit in time, a new process."""
        record, process = self.record, self.process
        if (
            record is None
            or process is None
            or record.sigterm_at is not None
            or process.returncode is not None
        ):
            return
        record.sigterm_at = time.monotonic()
        self._signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(self.plan.sigkill_delay_s()):
                await process.wait()
        except TimeoutError:
            record.sigkill_at = time.monotonic()
            self._signal(signal.SIGKILL)
        await self._restart_after_exit()

    async def kill(self) -> None:
        """Send SIGKILL without SIGTERM, and start a new process."""
        if self.record is None or self.record.sigterm_at is not None:
            return
        self.record.sigkill_at = time.monotonic()
        self._signal(signal.SIGKILL)
        await self._restart_after_exit()

    async def stall(self) -> None:
        """Stop its process for STALL_S, unless its last stall is less than MIN_STALL_INTERVAL_S ago.

        A process that the shim stalls is left alone: it has to cope with one stall at a time only.
        """
        stalled_process, now = self.process, time.monotonic()
        is_stalled_by_shim = any(
            rule.call is SystemCall.CLOCK for rule in self.plan.process_faults[self.index].rules
        )
        if (
            stalled_process is not None
            and not is_stalled_by_shim
            and self.may_stall
            and now > self.last_stalled_at + MIN_STALL_INTERVAL_S
        ):
            self.last_stalled_at = now
            self._signal(signal.SIGSTOP)
            await asyncio.sleep(STALL_S)
            with suppress(ProcessLookupError):
                stalled_process.send_signal(signal.SIGCONT)

    async def _restart_after_exit(self) -> None:
        await self.record_exit()
        await asyncio.sleep(RESTART_PAUSE_S)
        await self.start()

    async def record_exit(self) -> None:
        """Wait until the process has exited and record when and how."""
        if self.process is not None and self.record is not None:
            self.record.exit_code = await self.process.wait()
            self.record.ended_at = time.monotonic()

    async def stop(self) -> None:
        """Kill its process and release its port."""
        self.port_reservation.close()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def _signal(self, signal_number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, signal_number)


def shim_environment(faults: Faults, library: Path) -> dict[str, str]:
    """Return the environment variables of the shim, or none if there are no faults to inject."""
    return faults.environment(library) if faults.rules or faults.clock_steps else {}
