"""Stand-in discovery of a soak run, with an agent per balancer that can be silent or reset its calls."""

from __future__ import annotations

import asyncio
import math
import time
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial

import msgspec

from emulator.discovery_schema import Instance, Listing
from emulator.soak.connections import CONNECTION_ERRORS_OR_CANCELLED
from emulator.soak.deliberate_breaches import DeliberateBreach
from emulator.soak.records import DrainRecord, RunRecords
from emulator.soak.servers import Server

# In ask mode, and in push mode if the agent is slow, a balancer counts as informed of a change this long
# after its agent has the change and can be reached.
INFORMED_AFTER_S = 6.0
ADDRESS_CHANGE_S = 4.0  # a changed discovery address is in use this long after the change at the latest
CHECK_INTERVAL_S = 0.02  # between two checks of which balancers count as informed


@dataclass(slots=True)
class ListEntry:
    """A server of the list."""

    server: Server
    lifecycle: str
    generation: int  # of its last change


@dataclass(slots=True)
class DiscoveryAgent:
    """The discovery agent of one balancer; it does not respond before `silent_until`, and late after that."""

    balancer_index: int
    silent_until: float = 0.0
    response_delay_s: float = 0.0  # from a call, or the end of its hold, to its response
    address_changed_at: float = -math.inf  # when the balancer last got its other discovery address
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def informed_at(self, changed_at: float, push_mode: bool) -> float:
        """Return the time from which the balancer counts as informed although no response has reached it."""
        if not push_mode:
            return self.available_at(changed_at) + INFORMED_AFTER_S
        if self.response_delay_s:
            return max(changed_at, self.silent_until) + INFORMED_AFTER_S
        return self.available_at(changed_at)

    def available_at(self, changed_at: float) -> float:
        """Return the time from which this agent has a change and its balancer can reach it."""
        ready_at = max(changed_at, self.silent_until)
        return (
            ready_at
            if ready_at < self.address_changed_at - ADDRESS_CHANGE_S
            else max(ready_at, self.address_changed_at + ADDRESS_CHANGE_S)
        )

    def reset_connections(self) -> None:
        """Close the connections of all open calls with a reset."""
        for writer in list(self.writers):
            writer.transport.abort()


class Discovery:
    """The server list, its changes, and when each balancer is informed of them."""

    def __init__(
        self,
        balancer_count: int,
        push_mode: bool,
        deliberate_breach: DeliberateBreach,
        run_records: RunRecords,
    ) -> None:
        self.push_mode = push_mode
        self.deliberate_breach = deliberate_breach
        self.run_records = run_records
        self.generation = 1
        self.entries: dict[str, ListEntry] = {}
        self.agents = [DiscoveryAgent(index) for index in range(balancer_count)]
        self.addresses: list[list[tuple[str, int]]] = [[] for _ in range(balancer_count)]
        self.changed = asyncio.Event()

    async def listen(self) -> None:
        """Serve each balancer at two addresses, so that it can be switched from one to the other."""
        for agent in self.agents:
            for _ in range(2):
                server = await asyncio.start_server(partial(self._serve, agent), "127.0.0.1", 0)
                self.addresses[agent.balancer_index].append(server.sockets[0].getsockname()[:2])

    def update_server(self, server: Server, lifecycle: str) -> None:
        """Change one entry of the list, and record a drain if the server goes out of service."""
        self.generation += 1
        hides_drain = lifecycle == "leaving" and self.deliberate_breach.hides_drains
        self.entries[server.name] = ListEntry(server, "active" if hides_drain else lifecycle, self.generation)
        if lifecycle == "leaving":
            self.run_records.drains.append(DrainRecord(server.name, time.monotonic()))
        self.changed.set()
        self.changed = asyncio.Event()

    def build_listing(self, since: int | None) -> Listing:
        """Return the full list if `since` is None or unknown, otherwise the changes since that generation."""
        is_full = since is None or since > self.generation
        selected = [e for e in self.entries.values() if is_full or e.generation > (since or 0)]
        instances = [self._build_instance(e) for e in selected if not (is_full and e.lifecycle == "left")]
        return Listing(self.generation, is_full, instances)

    def _build_instance(self, entry: ListEntry) -> Instance:
        host, port = entry.server.address
        return Instance(
            instance_id=entry.server.name,
            host_port=f"{host}:{port}",
            zone="a",
            machine_type="m",
            cell=1,
            lifecycle=entry.lifecycle,
            started_at_ms=0 if self.deliberate_breach.hides_starts else entry.server.started_unix_ms,
        )

    async def track_informed_balancers(self) -> None:
        """Record which balancers count as informed although no response has reached them, until cancelled.

        In push mode they count as informed as soon as their agent has the change and can be reached.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            for drain in self.run_records.drains:
                for agent in self.agents:
                    informed_at = agent.informed_at(drain.changed_at, self.push_mode)
                    if now > informed_at:
                        drain.informed_at.setdefault(agent.balancer_index, informed_at)

    def note_process_start(self, balancer_index: int) -> None:
        """Record that a starting process counts as informed of all changes."""
        self._note_informed(balancer_index)

    def _note_informed(self, balancer_index: int, changed_until: float = math.inf) -> None:
        now = time.monotonic()
        for drain in self.run_records.drains:
            if drain.changed_at <= changed_until:
                drain.informed_at.setdefault(balancer_index, now)

    async def _serve(
        self, agent: DiscoveryAgent, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        agent.writers.add(writer)
        try:
            with suppress(*CONNECTION_ERRORS_OR_CANCELLED):
                while True:
                    path = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
                    await self._respond(agent, path, reader, writer)
        finally:
            agent.writers.discard(writer)
            writer.transport.abort()

    async def _respond(
        self, agent: DiscoveryAgent, path: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        query = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
        since = int(query["from"]) if "from" in query else None
        hold_until = time.monotonic() + int(query.get("hold_ms", "0")) / 1000
        while since == self.generation and time.monotonic() < hold_until:
            with suppress(TimeoutError):
                async with asyncio.timeout(hold_until - time.monotonic()):
                    await self.changed.wait()
        await asyncio.sleep(max(0.0, agent.silent_until - time.monotonic()))
        body, built_at = msgspec.json.encode(self.build_listing(since)), time.monotonic()
        await asyncio.sleep(agent.response_delay_s)
        if reader.at_eof():
            raise ConnectionResetError("the balancer has closed the connection of its call")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        self._note_informed(agent.balancer_index, built_at)
