"""The real program as a process of the rig: started as the deployment does, measured, stopped by its id."""

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

READY_TIMEOUT_S = 40.0  # until a balancer has to be ready


class RigError(Exception):
    """The balancer cannot be measured; its text is one line for people."""


def process_cpu_seconds(process: psutil.Process) -> float:
    """Processor time of all threads: from the scheduler in nanoseconds, else in steps of 10 ms."""
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
    """The real program, as the deployment runs it."""

    def __init__(self, process: asyncio.subprocess.Process, address: Address, log_path: Path) -> None:
        self.process = process
        self.address = address
        self.log_path = log_path
        self.psutil_process = psutil.Process(process.pid)

    def _tree(self) -> list[psutil.Process]:
        return [self.psutil_process, *self.psutil_process.children(recursive=True)]

    def cpu_seconds(self) -> float:
        """Processor time of the program since its start, with all processes that it started."""
        return sum(process_cpu_seconds(one) for one in self._tree())

    def resident_bytes(self) -> int:
        """Bytes resident, of all its processes."""
        return sum(int(one.memory_info().rss) for one in self._tree())

    def log_bytes(self) -> int:
        """Bytes that it has written to standard output and error."""
        return self.log_path.stat().st_size

    def _last_line(self) -> str:
        lines = self.log_path.read_text(errors="replace").splitlines()
        return lines[-1] if lines else "nothing in its log"

    async def wait_ready(self) -> None:
        """Until `/ready` answers 200."""
        probe = ReadinessProbe(self.address)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while await probe.probe() != 200:
                if self.process.returncode is not None:
                    raise RigError(
                        f"the balancer ended with code {self.process.returncode}: {self._last_line()}"
                    )
                await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """SIGKILL: all is measured, and a graceful stop would take more than a second for each start."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


@asynccontextmanager
async def running_balancer(
    settings: dict[str, Any], seed: int, agent_port: int
) -> AsyncIterator[BalancerProcess]:
    """Start the program with these settings, and stop it in the end."""
    with tempfile.TemporaryDirectory(prefix="slopes-") as folder:
        (port,) = find_free_ports(1)
        address = (LOCALHOST, port)
        config, log = Path(folder, "config.json"), Path(folder, "log")
        listen, discovery = f"{LOCALHOST}:{address[1]}", f"{LOCALHOST}:{agent_port}"
        configuration = {
            "name": "n0",
            "listen": listen,
            "discovery": discovery,
            "seed": f"{seed:016x}",
            "limits": BALANCER_LIMITS,
            "settings": settings,
        }
        config.write_bytes(msgspec.json.encode(configuration))
        environment = {
            "NODE_NAME": "n0",
            "NODE_LISTEN": listen,
            "NODE_DISCOVERY": discovery,
            "NODE_CONFIG": str(config),
        }
        with log.open("wb") as output:
            process = await start_balancer(environment, stdout=output, stderr=output)
        balancer = BalancerProcess(process, address, log)
        try:
            yield balancer
        finally:
            await balancer.stop()
