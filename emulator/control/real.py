"""Keeps the real balancers, each a `run` process of its own: `python -m emulator.control.real`.

They are configured at version 0 of the settings at each start, as a deployment's files may be old.
"""

from __future__ import annotations

import asyncio
import json
import re
import signal
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from dykeshift.node.call import HttpClient
from emulator.control.child import run_child, send_report
from emulator.control.contract import Command, InForce, Ready, RealConfig, Restart, Started, TurnedDown
from emulator.deployment import BALANCER_LIMITS, start_balancer

IN_FORCE = re.compile(r"settings version (\d+) is in force")
TURNED_DOWN = re.compile(r"settings version (\d+) is turned down.*")
READY_POLL = 0.02  # seconds
READY_TIMEOUT = 20.0  # seconds
STOP_TIMEOUT = 6.0  # seconds until one that was asked to end is killed


class RealBalancer:
    """One balancer through its restarts."""

    def __init__(self, number: int, config: RealConfig, folder: Path) -> None:
        self.number = number
        self.config = config
        self.path = folder / f"balancer{number}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.reading: asyncio.Task[None] | None = None
        self.version = 0
        self.path.write_text(json.dumps(self._configuration()))

    def _configuration(self) -> dict[str, Any]:
        addresses = self.config.addresses
        listen, agent = addresses.balancer_address(self.number), addresses.agent_address(self.number)
        return {
            "name": f"n{self.number}",
            "listen": f"{listen.host}:{listen.port}",
            "discovery": f"127.0.0.1:{self.config.discovery_port}",
            "control": f"{agent.host}:{agent.port}",
            "seed": f"{self.config.seed}-{self.number}",
            "limits": BALANCER_LIMITS,
            "known": None,
            "settings": {**self.config.settings, "az": 0, "me": self.number},
            "settings_version": 0,
        }

    async def start(self) -> None:
        """Start it and wait until it is ready."""
        self.version = 0
        self.process = await start_balancer(
            {"NODE_CONFIG": str(self.path)}, stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE
        )
        assert self.process.stderr is not None
        self.reading = asyncio.create_task(self._read(self.process.stderr))
        await self._wait_ready()
        send_report(Started(self.number, self.version, time.monotonic_ns()))

    async def _read(self, log: asyncio.StreamReader) -> None:
        while line := (await log.readline()).decode(errors="replace"):
            if match := IN_FORCE.search(line):
                self.version = int(match[1])
                send_report(InForce(self.number, self.version, time.monotonic_ns()))
            elif match := TURNED_DOWN.search(line):
                send_report(TurnedDown(self.number, int(match[1]), match[0]))

    async def _wait_ready(self) -> None:
        address = self.config.addresses.balancer_address(self.number)
        caller = HttpClient(asyncio.get_running_loop(), (address.host, address.port), 1024)
        async with asyncio.timeout(READY_TIMEOUT):
            while True:
                try:
                    if (await caller.call("/ready", 1.0)).status == 200:
                        break
                except (OSError, TimeoutError):
                    caller.close()
                await asyncio.sleep(READY_POLL)
        caller.close()
        await asyncio.sleep(READY_POLL)  # its log from before it listened has been read by then

    async def stop(self) -> None:
        """As at a planned restart."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()

    async def restart(self) -> None:
        """A planned restart."""
        await self.stop()
        await self.start()


async def main(config: RealConfig, commands: AsyncIterator[Command]) -> None:
    """Keep them running until the commands end."""
    with tempfile.TemporaryDirectory() as folder:
        balancers = {n: RealBalancer(n, config, Path(folder)) for n in config.balancers}
        try:
            await asyncio.gather(*(balancer.start() for balancer in balancers.values()))
            send_report(Ready())
            async for command in commands:
                if isinstance(command, Restart):
                    await asyncio.gather(*(balancers[n].restart() for n in command.balancers))
        finally:
            await asyncio.gather(*(balancer.stop() for balancer in balancers.values()))


if __name__ == "__main__":
    run_child(RealConfig, main)
