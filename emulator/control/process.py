"""The supervisor's side of a child process."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from contextlib import suppress

import msgspec
import psutil

from emulator.control.child import MAX_LINE_BYTES
from emulator.control.contract import Command, Ready, Report

START_TIMEOUT_S = 30.0  # until the process has to be ready
EXIT_TIMEOUT_S = 10.0  # from the closing of its stdin until it is killed

_report_decoder: msgspec.json.Decoder[Report] = msgspec.json.Decoder(Report)


class ChildFailedError(Exception):
    """A child process ended before it was ready; the message names its module."""


class ChildProcess:
    """Runs a module as a process, sends it its configuration and commands, and passes its reports on."""

    def __init__(self, module: str, config: msgspec.Struct, on_report: Callable[[Report], None]) -> None:
        self.module = module
        self.config = config
        self.on_report = on_report
        self.process: asyncio.subprocess.Process | None = None
        self.reader_task: asyncio.Task[None] | None = None
        self.ready: asyncio.Future[Ready] = asyncio.get_running_loop().create_future()

    async def start(self) -> Ready:
        """Start the process and wait until it reports that it is ready."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self.module,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
            start_new_session=True,  # so that SIGINT from the terminal reaches the supervisor alone
        )
        assert self.process.stdout is not None
        self.reader_task = asyncio.create_task(self._read_reports(self.process.stdout))
        self._write(self.config)
        async with asyncio.timeout(START_TIMEOUT_S):
            return await self.ready

    def _write(self, message: msgspec.Struct) -> None:
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    def send_command(self, command: Command) -> None:
        """Send a command to the process."""
        self._write(command)

    async def _read_reports(self, output: asyncio.StreamReader) -> None:
        while line := await output.readline():
            message = _report_decoder.decode(line)
            if isinstance(message, Ready):
                self.ready.set_result(message)
            else:
                self.on_report(message)
        if not self.ready.done():
            self.ready.set_exception(ChildFailedError(f"{self.module} ended before it was ready"))

    def cpu_seconds(self) -> float:
        """Return the processor time that the process has used, without its own children."""
        assert self.process is not None
        times = psutil.Process(self.process.pid).cpu_times()
        return float(times.user + times.system)

    async def kill(self) -> None:
        """Kill the process, as in the failure of a machine."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def stop(self) -> None:
        """Close its stdin and wait until it ends; kill it after EXIT_TIMEOUT_S."""
        if self.process is None or self.process.returncode is not None:
            return
        assert self.process.stdin is not None
        self.process.stdin.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await self.process.wait()
        await self.kill()
