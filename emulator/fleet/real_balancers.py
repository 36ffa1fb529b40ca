"""Real balancer processes of a run: configuration, start, readiness, restart and stop."""

from __future__ import annotations

import asyncio
import ctypes
import json
import signal
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from emulator.deployment import start_balancer
from emulator.fleet.contract import Address, AddressPlan
from emulator.fleet.layout import Layout
from emulator.fleet.process_logs import ProcessLog
from emulator.fleet.scenario import Scenario
from emulator.fleet.settings_for_balancers import build_node_config, format_host_port

ROLE = "balancer"
READY_TIMEOUT_S = 60.0
READY_POLL_INTERVAL_S = 0.05  # between two requests for /ready
STOP_TIMEOUT_S = 10.0
PR_SET_PDEATHSIG = 1  # option of prctl(2): signal that a process gets when its parent dies

_libc = ctypes.CDLL(None, use_errno=True)


class NotReadyError(Exception):
    """A balancer was not ready within the timeout, or ended before."""


def _set_parent_death_signal() -> None:
    """Have the kernel kill the balancer when the supervisor dies; runs in the child before exec.

    Unlike the Python child processes, a balancer does not stop at the end of its standard input.
    """
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


async def is_ready(address: Address) -> bool:
    """Whether the balancer responds to `GET /ready` with status 200."""
    try:
        reader, writer = await asyncio.open_connection(address.host, address.port)
    except OSError:
        return False
    try:
        writer.write(b"GET /ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
        return b" 200 " in await reader.readline()
    except OSError:
        return False
    finally:
        writer.close()


class RealBalancer:
    """One real balancer over all its restarts, which keep its name and address."""

    def __init__(
        self, number: int, addresses: AddressPlan, config: Callable[[str], dict[str, Any]], folder: Path
    ) -> None:
        self.number = number
        self.address = addresses.balancer_address(number)
        self.log = ProcessLog(folder / f"{ROLE}-{number}.log")
        self.process: asyncio.subprocess.Process | None = None
        self.is_stopping = False  # the supervisor or an event is stopping it
        self._agent = addresses.agent_address(number)
        self._config = config
        self._config_path = folder / f"{ROLE}-{number}.json"

    @property
    def pid(self) -> int | None:
        """Process id; None while it is not running."""
        if self.process is None or self.process.returncode is not None:
            return None
        return self.process.pid

    async def start(self, random: Random) -> None:
        """Start a new process, with a new seed."""
        config = self._config(f"{random.getrandbits(64):016x}")
        self._config_path.write_text(json.dumps(config), encoding="utf-8")
        environment = {
            "NODE_NAME": f"n{self.number}",
            "NODE_LISTEN": format_host_port(self.address),
            "NODE_DISCOVERY": format_host_port(self._agent),
            "NODE_CONFIG": str(self._config_path),
        }
        self.is_stopping = False
        with self.log.open() as log_file:
            self.process = await start_balancer(
                environment,
                stdout=log_file,
                stderr=log_file,
                start_new_session=True,
                preexec_fn=_set_parent_death_signal,
            )

    async def wait_ready(self) -> None:
        """Wait until it is ready; raises NotReadyError if it ends, or after READY_TIMEOUT_S."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await is_ready(self.address):
                    if self.pid is None and not self.is_stopping:
                        raise NotReadyError(f"{ROLE} {self.number} ended before it was ready")
                    await asyncio.sleep(READY_POLL_INTERVAL_S)
        except TimeoutError:
            message = f"{ROLE} {self.number} was not ready within {READY_TIMEOUT_S:g} s"
            raise NotReadyError(message) from None

    def stop(self, *, graceful: bool) -> None:
        """Send SIGTERM if graceful, else SIGKILL."""
        self.is_stopping = True
        if self.process is not None and self.pid is not None:
            self.process.send_signal(signal.SIGTERM if graceful else signal.SIGKILL)

    async def wait_stopped(self) -> None:
        """Wait until the process has ended; it is killed after STOP_TIMEOUT_S."""
        if self.process is None:
            return
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.stop(graceful=False)
            await self.process.wait()


def build_real_balancers(
    scenario: Scenario, layout: Layout, addresses: AddressPlan, folder: Path
) -> list[RealBalancer]:
    """The real balancers of a scenario, with the numbers 0 to real - 1; none is started."""
    return [
        RealBalancer(
            number, addresses, partial(build_node_config, scenario, layout, addresses, number), folder
        )
        for number in range(scenario.balancers.real)
    ]
