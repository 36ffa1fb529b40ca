"""One Python child of the supervisor: its start, its lines and its end."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec

from emulator.deployment import PROJECT_ROOT
from emulator.fleet.contract import ProcessConfig, Ready, Start
from emulator.fleet.process_logs import ProcessLog


MAX_LINE_BYTES = 16 * 1024 * 1024  # bytes of one line of measures
STOP_TIMEOUT_S = 5.0  # from the end of its input until it is killed

LineReceived = Callable[["ManagedChild", bytes], None]


class ManagedChild:
    """A process that follows the contract's life: configuration, Ready, Start, measures, end of input."""

    def __init__(
        self, role: str, module: str, config: ProcessConfig, folder: Path, received: LineReceived
    ) -> None:
        self.role = role
        self.index = config.index
        self.log = ProcessLog(folder / f"{role}-{config.index}.log")
        self.is_ready = False
        self.is_stopping = False  # its end is wanted
        self.process: asyncio.subprocess.Process | None = None
        self._module = module
        self._config = config
        self._received = received
        self._reading: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """For people."""
        return f"{self.role} {self.index}"

    @property
    def pid(self) -> int | None:
        """Of the running process."""
        if self.process is None or self.process.returncode is not None:
            return None
        return self.process.pid

    async def start(self) -> None:
        """Start the process; it waits for its configuration."""
        with self.log.open() as log_file:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self._module,
                cwd=PROJECT_ROOT,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log_file,
                limit=MAX_LINE_BYTES,
                start_new_session=True,
            )

    def configure(self) -> None:
        """Give it its configuration: everything that it connects to is ready."""
        self._write(self._config)

    async def wait_ready(self) -> None:
        """Wait for `Ready`; EOFError if the process ends before."""
        assert self.process is not None and self.process.stdout is not None
        line = await self.process.stdout.readline()
        if not line:
            raise EOFError(self.name)
        msgspec.json.decode(line, type=Ready)
        self.is_ready = True

    def send_start(self, start: Start) -> None:
        """Tell the scenario's time 0, and take in measures from now on."""
        self._write(start)
        self._reading = asyncio.create_task(self._read())

    async def stop(self) -> None:
        """End its input, wait for its last lines, kill it if it stays."""
        self.is_stopping = True
        if self.process is None:
            return
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                if self._reading is not None:
                    await self._reading
                await self.process.wait()
        except TimeoutError:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()

    def _write(self, message: msgspec.Struct) -> None:
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    async def _read(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        while line := await self.process.stdout.readline():
            self._received(self, line)
