"""The agents of all balancers in one process: `python -m emulator.control.agents`.

Each agent polls the reachable control machines in turn, with one long poll at each: a machine that lags
behind or is cut off delays a version by one long poll at most. Agents keep running while their balancers
restart.
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

LONG_POLL_MS = 1_000
LONG_POLL_GRACE_S = 0.5  # beyond the long poll; a call without a response by then counts as failed
FETCH_OLDER_TIMEOUT_S = 0.2  # short, because the balancer waits for its response meanwhile
MIN_BACKOFF_S = 0.1  # after a failed call
MAX_BACKOFF_S = 0.4
SKIP_DELAY_S = 0.02  # from an unreachable machine to the next machine
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024


class UnreachableError(ConnectionError):
    """The control machine became unreachable during the call; its response is discarded."""


class SettingsAgent:
    """The agent of one balancer."""

    def __init__(
        self, machine_count: int, addresses: AddressPlan, reachable_machines: list[int], seed: int
    ) -> None:
        loop = asyncio.get_running_loop()
        self.reachable_machines = reachable_machines
        self.random = Random(seed)
        self.history = SettingsHistory()
        self.clients: list[HttpClient] = []
        for machine in map(addresses.machine_address, range(machine_count)):
            self.clients.append(HttpClient(loop, (machine.host, machine.port), MAX_DOCUMENT_BYTES))
        self.current_machine = self.random.randrange(machine_count)
        self.poll_task = loop.create_task(self._poll())

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request of the balancer."""
        if request.path != "/v1/settings":
            return HttpResponse(b"not found\n", 404)
        before = query_int(request, "before", 0)
        if before and before - 1 not in self.history.settings_by_version:
            await self._fetch_older(before)
        return await self.history.respond(request)

    async def _poll(self) -> None:
        while True:
            self.current_machine = (self.current_machine + 1) % len(self.clients)
            machine = self.current_machine
            if machine not in self.reachable_machines:
                await asyncio.sleep(SKIP_DELAY_S)
                continue
            try:
                path = f"/v1/settings?from={self.history.newest_version}&hold_ms={LONG_POLL_MS}"
                await self._query(
                    self.clients[machine], machine, path, LONG_POLL_MS / 1000 + LONG_POLL_GRACE_S
                )
            except (OSError, TimeoutError, DocumentError):
                self.clients[machine].close()
                await asyncio.sleep(self.random.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S))

    async def _fetch_older(self, version: int) -> None:
        """Request the newest version below this one, which this agent may never have received."""
        for machine in self.reachable_machines:
            address = self.clients[machine].address
            client = HttpClient(asyncio.get_running_loop(), address, MAX_DOCUMENT_BYTES)
            try:
                await self._query(client, machine, f"/v1/settings?before={version}", FETCH_OLDER_TIMEOUT_S)
                return
            except (OSError, TimeoutError, DocumentError):
                continue
            finally:
                client.close()

    async def _query(self, client: HttpClient, machine: int, path: str, timeout_s: float) -> None:
        response = await client.call(path, timeout_s)
        if machine not in self.reachable_machines:
            raise UnreachableError
        document: Document = parse_document(msgspec.json.decode(response.body))
        if document.settings is not None:
            self.history.add(document.version, msgspec.json.encode(document.settings).decode())


async def main(config: AgentsConfig, commands: AsyncIterator[Command]) -> None:
    """Run the agents of all balancers until the commands end."""
    all_machines = list(range(config.machines))
    agents_by_region: list[list[SettingsAgent]] = []
    servers: list[HttpServer] = []
    for balancers in config.regions:
        agents_by_region.append([])
        for balancer in balancers:
            agent = SettingsAgent(config.machines, config.addresses, all_machines, config.seed + balancer)
            address = config.addresses.agent_address(balancer)
            server = HttpServer(agent.handle)
            await server.listen(address.host, address.port)
            agents_by_region[-1].append(agent)
            servers.append(server)
    send_report(Ready())
    async for command in commands:
        if isinstance(command, Reach):
            for region, machines in zip(agents_by_region, command.machines, strict=True):
                for agent in region:
                    agent.reachable_machines = machines
        elif isinstance(command, Finish | Measure):
            totals = AgentTotals(sum(s.bytes_in for s in servers), sum(s.bytes_out for s in servers))
            send_report(totals)


if __name__ == "__main__":
    run_child(AgentsConfig, main)
