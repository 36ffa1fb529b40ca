"""A balancer process of the rig: started with the deployed command, measured and finally killed."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import psutil

from emulator.deployment import BALANCER_LIMITS, start_balancer
from emulator.free_ports import find_free_ports
from emulator.slopes.client import Address, ReadinessProbe
from emulator.slopes.standins import LOCALHOST

READY_TIMEOUT_S = 40.0  # from the start of a balancer


class RigError(Exception):
    """The balancer cannot be measured; the message is one line for the user."""


def process_cpu_seconds(process: psutil.Process) -> float:
    """Return the processor time of all threads in seconds.

    The scheduler's statistics are used where available; without them the resolution is 10 ms.
    """
    try:
        threads = Path(f"/proc/{process.pid}/task").glob("*/schedstat")
        nanoseconds = [int(thread.read_text().split()[0]) for thread in threads]
    except (OSError, ValueError):
        nanoseconds = []
    if sum(nanoseconds):
        return sum(nanoseconds) / 1e9
    times = process.cpu_times()
    return float(times.user + times.system)


class BalancerProcess:
    """A balancer process, started with the deployed command."""

    def __init__(self, process: asyncio.subprocess.Process, address: Address, log_path: Path) -> None:
        self.process = process
        self.address = address
        self.log_path = log_path
        self.psutil_process = psutil.Process(process.pid)

    def _process_tree(self) -> list[psutil.Process]:
        return [self.psutil_process, *self.psutil_process.children(recursive=True)]

    def cpu_seconds(self) -> float:
        """Return the processor time since the start, including all child processes."""
        return sum(process_cpu_seconds(process) for process in self._process_tree())

    def resident_bytes(self) -> int:
        """Return the resident memory, including all child processes."""
        return sum(int(process.memory_info().rss) for process in self._process_tree())

    def log_bytes(self) -> int:
        """Return the number of bytes written to standard output and standard error."""
        return self.log_path.stat().st_size

    def _last_log_line(self) -> str:
        lines = self.log_path.read_text(errors="replace").splitlines()
        return lines[-1] if lines else "its log is empty"

    async def wait_ready(self) -> None:
        """Wait until `/ready` responds with 200; raises RigError if the process exits before."""
        probe = ReadinessProbe(self.address)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while await probe.probe() != 200:
                if self.process.returncode is not None:
                    raise RigError(
                        f"the balancer exited with code {self.process.returncode}: {self._last_log_line()}"
                    )
                await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """Kill the process.

        All measurements are complete, and a graceful shutdown would add more than a second for each start.
        """
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


@asynccontextmanager
async def running_balancer(
    settings: dict[str, Any], seed: int, agent_port: int
) -> AsyncIterator[BalancerProcess]:
    """Run a balancer with these settings inside the context."""
    with tempfile.TemporaryDirectory(prefix="slopes-") as folder:
        (port,) = find_free_ports(1)
        address = (LOCALHOST, port)
        config_path, log_path = Path(folder, "config.json"), Path(folder, "log")
        listen, discovery = f"{LOCALHOST}:{address[1]}", f"{LOCALHOST}:{agent_port}"
        configuration = {
            "name": "n0",
            "listen": listen,
            "discovery": discovery,
            "seed": f"{seed:016x}",
            "limits": BALANCER_LIMITS,
            "settings": settings,
        }
        config_path.write_bytes(msgspec.json.encode(configuration))
        environment = {
            "NODE_NAME": "n0",
            "NODE_LISTEN": listen,
            "NODE_DISCOVERY": discovery,
            "NODE_CONFIG": str(config_path),
        }
        with log_path.open("wb") as log_file:
            process = await start_balancer(environment, stdout=log_file, stderr=log_file)
        balancer = BalancerProcess(process, address, log_path)
        try:
            yield balancer
        finally:
            await balancer.stop()
