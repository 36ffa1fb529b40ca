"""The real balancer processes of a soak: started, told to end, killed as early as allowed, started anew."""

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
from emulator.faults.shim import Faults, SystemCall
from emulator.free_ports import reserve_port
from emulator.soak.connections import PEER_GONE
from emulator.soak.discovery import Discovery
from emulator.soak.plan import HOLD_S, Plan
from emulator.soak.records import Journal, ProcessRecord

POLL_S = 0.02
FRONT_NOTICES_S = 0.3  # after SIGTERM the front goes on dealing out connections for so long
HOLDS_APART_S = 1.0  # one at a time is what the terms allow
DOWN_S = 0.3  # from the end of a process to the start of the next one


class Balancer:
    """One balancer; its address stays, its processes come and go."""

    def __init__(
        self,
        number: int,
        plan: Plan,
        discovery: Discovery,
        folder: Path,
        environment: dict[str, str],
        journal: Journal,
    ) -> None:
        self.number = number
        self.reservation = reserve_port()
        self.address: tuple[str, int] = self.reservation.getsockname()
        self.plan = plan
        self.discovery = discovery
        self.folder = folder
        self.environment = environment
        self.journal = journal
        self.discovery_address = 0  # which of its two
        self.process: asyncio.subprocess.Process | None = None
        self.record: ProcessRecord | None = None
        self.held_at = -math.inf  # when it last got no processor time
        self.may_be_held = True

    @property
    def configuration(self) -> Path:
        """The file that NODE_CONFIG names."""
        return self.folder / f"balancer-{self.number}.json"

    def in_service(self) -> bool:
        """Whether the front deals out connections to it."""
        record = self.record
        if record is None or record.ready_at is None or record.kill_at is not None:
            return False
        return record.term_at is None or time.monotonic() < record.term_at + FRONT_NOTICES_S

    async def start(self) -> None:
        """Start a process; returns before it is ready."""
        self._write_configuration()
        self.record = ProcessRecord(self.number, time.monotonic())
        self.journal.processes.append(self.record)
        with open(self.folder / f"balancer-{self.number}.log", "ab") as log:
            variables = {"NODE_CONFIG": str(self.configuration), **self.environment}
            self.process = await start_balancer(variables, log, log, start_new_session=True)
        self.discovery.tell_new_process(self.number)
        await self._wait_ready(self.record, self.process)

    def _write_configuration(self) -> None:
        host, port = self.discovery.addresses[self.number][self.discovery_address]
        known = msgspec.to_builtins(self.discovery.listing(None))
        text = json.dumps(
            {
                "name": f"n{self.number}",
                "listen": "{}:{}".format(*self.address),
                "discovery": f"{host}:{port}",
                "seed": f"{self.plan.seed}/{self.number}",
                "limits": BALANCER_LIMITS,
                "known": known,
                "settings": {**self.plan.settings(), "me": self.number},
            }
        )
        fresh = self.configuration.with_suffix(".new")
        fresh.write_text(text)
        fresh.replace(self.configuration)

    async def _wait_ready(self, record: ProcessRecord, process: asyncio.subprocess.Process) -> None:
        while process.returncode is None and record.ready_at is None and record.term_at is None:
            with suppress(TimeoutError, *PEER_GONE):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(*self.address)
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
                    if b" 200 " in await reader.readuntil(b"\r\n"):
                        record.ready_at = time.monotonic()
                    writer.transport.abort()
            await asyncio.sleep(POLL_S)

    def hang_up(self) -> None:
        """Move it to its other discovery address."""
        self.discovery_address = 1 - self.discovery_address
        self.discovery.agents[self.number].moved_at = time.monotonic()
        self._write_configuration()
        self._signal(signal.SIGHUP)

    async def restart(self) -> None:
        """End it as a planned restart does, and start it anew."""
        record, process = self.record, self.process
        if record is None or process is None or record.term_at is not None or process.returncode is not None:
            return
        record.term_at = time.monotonic()
        self._signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(self.plan.kill_after_s()):
                await process.wait()
        except TimeoutError:
            record.kill_at = time.monotonic()
            self._signal(signal.SIGKILL)
        await self._start_after_end()

    async def kill(self) -> None:
        """Kill it outright, and start it anew."""
        if self.record is None or self.record.term_at is not None:
            return
        self.record.kill_at = time.monotonic()
        self._signal(signal.SIGKILL)
        await self._start_after_end()

    async def hold(self) -> None:
        """Give its process no processor time for a moment, unless it had none a moment ago.

        One that the shim holds up now and then is left alone: the terms know of one hold at a time.
        """
        held, now = self.process, time.monotonic()
        held_by_shim = any(rule.call is SystemCall.CLOCK for rule in self.plan.faults[self.number].rules)
        if held is not None and not held_by_shim and self.may_be_held and now > self.held_at + HOLDS_APART_S:
            self.held_at = now
            self._signal(signal.SIGSTOP)
            await asyncio.sleep(HOLD_S)
            with suppress(ProcessLookupError):
                held.send_signal(signal.SIGCONT)

    async def _start_after_end(self) -> None:
        await self.note_end()
        await asyncio.sleep(DOWN_S)
        await self.start()

    async def note_end(self) -> None:
        """Wait for the process's end and record it."""
        if self.process is not None and self.record is not None:
            self.record.exit_code = await self.process.wait()
            self.record.ended_at = time.monotonic()

    async def end(self) -> None:
        """End it for good, whatever it does."""
        self.reservation.close()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def _signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)


def shim_environment(faults: Faults, library: Path) -> dict[str, str]:
    """What the shim needs, or nothing where nothing is to fail."""
    return faults.environment(library) if faults.rules or faults.clock_steps else {}
