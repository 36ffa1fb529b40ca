"""A child process as the supervisor sees it."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from contextlib import suppress

import msgspec
import psutil

from emulator.control.child import MAX_LINE_BYTES
from emulator.control.contract import Command, Ready, Report

START_TIMEOUT = 30.0  # seconds
END_TIMEOUT = 10.0  # seconds from the end of its input until it is killed

_report: msgspec.json.Decoder[Report] = msgspec.json.Decoder(Report)


class ChildFailedError(Exception):
    """A child ended that should not have; its message names it."""


class ChildProcess:
    """Runs a module, gives it its configuration, and hands on what it reports."""

    def __init__(self, module: str, config: msgspec.Struct, on_report: Callable[[Report], None]) -> None:
        self.module = module
        self.config = config
        self.on_report = on_report
        self.process: asyncio.subprocess.Process | None = None
        self.reading: asyncio.Task[None] | None = None
        self.ready: asyncio.Future[Ready] = asyncio.get_running_loop().create_future()

    async def start(self) -> Ready:
        """Start it and wait until it is ready."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self.module,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
            start_new_session=True,  # an interrupt from the terminal is the supervisor's to pass on
        )
        assert self.process.stdout is not None
        self.reading = asyncio.create_task(self._read(self.process.stdout))
        self._write(self.config)
        async with asyncio.timeout(START_TIMEOUT):
            return await self.ready

    def _write(self, message: msgspec.Struct) -> None:
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    def send_command(self, command: Command) -> None:
        """Give it a command."""
        self._write(command)

    async def _read(self, output: asyncio.StreamReader) -> None:
        while line := await output.readline():
            message = _report.decode(line)
            if isinstance(message, Ready):
                self.ready.set_result(message)
            else:
                self.on_report(message)
        if not self.ready.done():
            self.ready.set_exception(ChildFailedError(f"{self.module} ended before it was ready"))

    def cpu_seconds(self) -> float:
        """Processor time that it has used, without its own children."""
        assert self.process is not None
        times = psutil.Process(self.process.pid).cpu_times()
        return float(times.user + times.system)

    async def kill(self) -> None:
        """End it at once, as a machine that is lost."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def stop(self) -> None:
        """End its input, and wait until it is gone."""
        if self.process is None or self.process.returncode is not None:
            return
        assert self.process.stdin is not None
        self.process.stdin.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(END_TIMEOUT):
                await self.process.wait()
        await self.kill()
