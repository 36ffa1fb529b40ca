"""One Python child process of the supervisor: start, configuration, measures and stop."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec

from emulator.deployment import PROJECT_ROOT
from emulator.fleet.contract import ProcessConfig, Ready, Start
from emulator.fleet.process_logs import ProcessLog

MAX_LINE_BYTES = 16 * 1024 * 1024  # of one line of measures
STOP_TIMEOUT_S = 5.0  # from the end of its standard input until it is killed

OnLine = Callable[["ManagedChild", bytes], None]


class ManagedChild:
    """A process that follows `emulator.fleet.contract`, from its configuration to the end of its input."""

    def __init__(self, role: str, module: str, config: ProcessConfig, folder: Path, on_line: OnLine) -> None:
        self.role = role
        self.index = config.index
        self.log = ProcessLog(folder / f"{role}-{config.index}.log")
        self.is_ready = False
        self.is_stopping = False  # the supervisor is stopping it
        self.process: asyncio.subprocess.Process | None = None
        self._module = module
        self._config = config
        self._on_line = on_line
        self._read_task: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """Name for messages."""
        return f"{self.role} {self.index}"

    @property
    def pid(self) -> int | None:
        """Process id; None while it is not running."""
        if self.process is None or self.process.returncode is not None:
            return None
        return self.process.pid

    async def start(self) -> None:
        """Start the process, which then waits for its configuration."""
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
        """Send the configuration, once everything that the process connects to is ready."""
        self._send(self._config)

    async def wait_ready(self) -> None:
        """Wait for `Ready`; raises EOFError if the process ends before."""
        assert self.process is not None and self.process.stdout is not None
        line = await self.process.stdout.readline()
        if not line:
            raise EOFError(self.name)
        msgspec.json.decode(line, type=Ready)
        self.is_ready = True

    def send_start(self, start: Start) -> None:
        """Send the time of the scenario's start, and start to read measures."""
        self._send(start)
        self._read_task = asyncio.create_task(self._read_lines())

    async def stop(self) -> None:
        """Close its standard input, read its last lines, and kill it after STOP_TIMEOUT_S."""
        self.is_stopping = True
        if self.process is None:
            return
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                if self._read_task is not None:
                    await self._read_task
                await self.process.wait()
        except TimeoutError:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()

    def _send(self, message: msgspec.Struct) -> None:
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    async def _read_lines(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        while line := await self.process.stdout.readline():
            self._on_line(self, line)
