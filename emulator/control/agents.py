"""The agents on the balancers' machines, all in one process: `python -m emulator.control.agents`.

Each pulls versions from the control machines that it can reach, each call at the next one of them, so that a
machine that lags or is cut off delays a version by one hold at most. It outlives restarts of its balancer.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from random import Random

import msgspec

from dykeshift.control import Document, DocumentError, parse_document
from dykeshift.node.call import HttpClient
from emulator.control.child import run_child, send_report
from emulator.control.contract import (
    AddressPlan,
    AgentsConfig,
    AgentTotals,
    Command,
    Finish,
    Measure,
    Reach,
    Ready,
)
from emulator.control.history import SettingsHistory
from emulator.control.http_server import HttpRequest, HttpResponse, HttpServer, query_int

HOLD_MS = 1_000
GRACE = 0.5  # seconds beyond the hold
SEARCH_TIMEOUT = 0.2  # seconds for a call on behalf of a balancer that waits
LEAST_PAUSE, MOST_PAUSE = 0.1, 0.4  # seconds after a call that failed
SKIP = 0.02  # seconds from a machine out of reach to the next one
MAX_DOCUMENT = 4 * 1024 * 1024  # bytes


class UnreachableError(ConnectionError):
    """The machine is beyond a split: nothing that was sent arrives."""


class SettingsAgent:
    """The agent of one balancer."""

    def __init__(self, machines: int, addresses: AddressPlan, reach: list[int], seed: int) -> None:
        loop = asyncio.get_running_loop()
        self.reachable_machines = reach
        self.random = Random(seed)
        self.history = SettingsHistory()
        self.callers: list[HttpClient] = []
        for machine in map(addresses.machine_address, range(machines)):
            self.callers.append(HttpClient(loop, (machine.host, machine.port), MAX_DOCUMENT))
        self.turn = self.random.randrange(machines)
        self.poll_task = loop.create_task(self._pull())

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """One call of the balancer."""
        if request.path != "/v1/settings":
            return HttpResponse(b"not found\n", 404)
        before = query_int(request, "before", 0)
        if before and before - 1 not in self.history.settings_by_version:
            await self._search(before)
        return await self.history.respond(request)

    async def _pull(self) -> None:
        while True:
            self.turn = (self.turn + 1) % len(self.callers)
            machine = self.turn
            if machine not in self.reachable_machines:
                await asyncio.sleep(SKIP)
                continue
            try:
                path = f"/v1/settings?from={self.history.newest_version}&hold_ms={HOLD_MS}"
                await self._ask(self.callers[machine], machine, path, HOLD_MS / 1000 + GRACE)
            except (OSError, TimeoutError, DocumentError):
                self.callers[machine].close()
                await asyncio.sleep(self.random.uniform(LEAST_PAUSE, MOST_PAUSE))

    async def _search(self, version: int) -> None:
        """Ask the machines for the newest version before this one, which this agent may never have had."""
        for machine in self.reachable_machines:
            address = self.callers[machine].address
            caller = HttpClient(asyncio.get_running_loop(), address, MAX_DOCUMENT)
            try:
                await self._ask(caller, machine, f"/v1/settings?before={version}", SEARCH_TIMEOUT)
                return
            except (OSError, TimeoutError, DocumentError):
                continue
            finally:
                caller.close()

    async def _ask(self, caller: HttpClient, machine: int, path: str, timeout: float) -> None:
        answer = await caller.call(path, timeout)
        if machine not in self.reachable_machines:
            raise UnreachableError
        document: Document = parse_document(msgspec.json.decode(answer.body))
        if document.settings is not None:
            self.history.add(document.version, msgspec.json.encode(document.settings).decode())


async def main(config: AgentsConfig, commands: AsyncIterator[Command]) -> None:
    """Serve all balancers until the commands end."""
    everywhere = list(range(config.machines))
    agents: list[list[SettingsAgent]] = []  # by region
    servers: list[HttpServer] = []
    for balancers in config.regions:
        agents.append([])
        for balancer in balancers:
            agent = SettingsAgent(config.machines, config.addresses, everywhere, config.seed + balancer)
            address = config.addresses.agent_address(balancer)
            server = HttpServer(agent.handle)
            await server.listen(address.host, address.port)
            agents[-1].append(agent)
            servers.append(server)
    send_report(Ready())
    async for command in commands:
        if isinstance(command, Reach):
            for region, machines in zip(agents, command.machines, strict=True):
                for agent in region:
                    agent.reachable_machines = machines
        elif isinstance(command, Finish | Measure):
            totals = AgentTotals(sum(s.bytes_in for s in servers), sum(s.bytes_out for s in servers))
            send_report(totals)


if __name__ == "__main__":
    run_child(AgentsConfig, main)
