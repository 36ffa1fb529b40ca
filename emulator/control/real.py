"""Runs the real balancers, each as a process of its own: `python -m emulator.control.real`.

At each start their configuration files contain version 0 of the settings, as the files of a real deployment
may be outdated too.
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

IN_FORCE_PATTERN = re.compile(r"settings version (\d+) is in force")
REJECTED_PATTERN = re.compile(r"settings version (\d+) is turned down.*")
READY_POLL_INTERVAL_S = 0.02
READY_TIMEOUT_S = 20.0  # from the start of a balancer
STOP_TIMEOUT_S = 6.0  # from SIGTERM until a balancer that has not ended is killed


class RealBalancer:
    """One balancer, over all its restarts."""

    def __init__(self, balancer_index: int, config: RealConfig, folder: Path) -> None:
        self.balancer_index = balancer_index
        self.config = config
        self.config_path = folder / f"balancer{balancer_index}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.log_task: asyncio.Task[None] | None = None
        self.version = 0
        self.config_path.write_text(json.dumps(self._configuration()))

    def _configuration(self) -> dict[str, Any]:
        addresses = self.config.addresses
        listen, agent = (
            addresses.balancer_address(self.balancer_index),
            addresses.agent_address(self.balancer_index),
        )
        return {
            "name": f"n{self.balancer_index}",
            "listen": f"{listen.host}:{listen.port}",
            "discovery": f"127.0.0.1:{self.config.discovery_port}",
            "control": f"{agent.host}:{agent.port}",
            "seed": f"{self.config.seed}-{self.balancer_index}",
            "limits": BALANCER_LIMITS,
            "known": None,
            "settings": {**self.config.settings, "az": 0, "me": self.balancer_index},
            "settings_version": 0,
        }

    async def start(self) -> None:
        """Start the balancer and wait until it is ready."""
        self.version = 0
        self.process = await start_balancer(
            {"NODE_CONFIG": str(self.config_path)},
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        assert self.process.stderr is not None
        self.log_task = asyncio.create_task(self._read_log(self.process.stderr))
        await self._wait_until_ready()
        send_report(Started(self.balancer_index, self.version, time.monotonic_ns()))

    async def _read_log(self, log: asyncio.StreamReader) -> None:
        while line := (await log.readline()).decode(errors="replace"):
            if match := IN_FORCE_PATTERN.search(line):
                self.version = int(match[1])
                send_report(InForce(self.balancer_index, self.version, time.monotonic_ns()))
            elif match := REJECTED_PATTERN.search(line):
                send_report(TurnedDown(self.balancer_index, int(match[1]), match[0]))

    async def _wait_until_ready(self) -> None:
        address = self.config.addresses.balancer_address(self.balancer_index)
        client = HttpClient(asyncio.get_running_loop(), (address.host, address.port), 1024)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    if (await client.call("/ready", 1.0)).status == 200:
                        break
                except (OSError, TimeoutError):
                    client.close()
                await asyncio.sleep(READY_POLL_INTERVAL_S)
        client.close()
        await asyncio.sleep(READY_POLL_INTERVAL_S)  # leaves time to read what it logged before it was ready

    async def stop(self) -> None:
        """Stop the balancer gracefully, as for a planned restart."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()

    async def restart(self) -> None:
        """Restart the balancer gracefully."""
        await self.stop()
        await self.start()


async def main(config: RealConfig, commands: AsyncIterator[Command]) -> None:
    """Run the real balancers until the commands end."""
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
