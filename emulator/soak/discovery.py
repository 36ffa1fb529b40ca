"""Stand-in discovery of a soak: an agent for each balancer, which can be silent or reset its calls."""

from __future__ import annotations

import asyncio
import math
import time
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial

import msgspec

from emulator.discovery_schema import Instance, Listing
from emulator.soak.connections import CONNECTION_OVER
from emulator.soak.plants import Plant
from emulator.soak.records import Journal, Told
from emulator.soak.servers import Server

COUNTS_AS_TOLD_S = 6.0  # after discovery had a change and could be reached
MOVE_S = 4.0  # after a move to another address
LOOK_S = 0.02  # between two looks whether a change counts as told by now


@dataclass(slots=True)
class Entry:
    """One server of the list."""

    server: Server
    lifecycle: str
    generation: int  # of its last change


@dataclass(slots=True)
class Agent:
    """Where one balancer asks; it may be silent until some time."""

    balancer: int
    silent_until: float = 0.0
    moved_at: float = -math.inf  # when the balancer was last told to ask at its other address
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def has_it_at(self, changed_at: float) -> float:
        """When a change counts as with this agent, and in reach of its balancer."""
        at = max(changed_at, self.silent_until)
        return at if at < self.moved_at - MOVE_S else max(at, self.moved_at + MOVE_S)

    def reset(self) -> None:
        """Reset all open calls."""
        for writer in list(self.writers):
            writer.transport.abort()


class Discovery:
    """The list of servers, its changes, and what each balancer has been told of them."""

    def __init__(self, balancers: int, pushed: bool, plant: Plant, journal: Journal) -> None:
        self.pushed = pushed
        self.plant = plant
        self.journal = journal
        self.generation = 1
        self.entries: dict[str, Entry] = {}
        self.agents = [Agent(number) for number in range(balancers)]
        self.addresses: list[list[tuple[str, int]]] = [[] for _ in range(balancers)]
        self.changed = asyncio.Event()

    async def listen(self) -> None:
        """Serve each balancer at two addresses, so that it can be moved from one to the other."""
        for agent in self.agents:
            for _ in range(2):
                server = await asyncio.start_server(partial(self._serve, agent), "127.0.0.1", 0)
                self.addresses[agent.balancer].append(server.sockets[0].getsockname()[:2])

    def put(self, server: Server, lifecycle: str) -> None:
        """Change one entry; one that goes out of service is noted, to be held against what is sent to it."""
        self.generation += 1
        concealed = lifecycle == "leaving" and self.plant.conceals_drains
        self.entries[server.name] = Entry(server, "active" if concealed else lifecycle, self.generation)
        if lifecycle == "leaving":
            self.journal.told.append(Told(server.name, time.monotonic()))
        self.changed.set()
        self.changed = asyncio.Event()

    def listing(self, since: int | None) -> Listing:
        """The whole list, or the changes since a generation."""
        reset = since is None or since > self.generation
        wanted = [e for e in self.entries.values() if reset or e.generation > (since or 0)]
        instances = [self._instance(e) for e in wanted if not (reset and e.lifecycle == "left")]
        return Listing(self.generation, reset, instances)

    def _instance(self, entry: Entry) -> Instance:
        host, port = entry.server.address
        return Instance(
            instance_id=entry.server.name,
            host_port=f"{host}:{port}",
            zone="a",
            machine_type="m",
            cell=1,
            lifecycle=entry.lifecycle,
            started_at_ms=0 if self.plant.conceals_starts else entry.server.started_unix_ms,
        )

    async def count_as_told(self) -> None:
        """Note who counts as told by now though nothing has reached them; runs until it is cancelled.

        Where lists are pushed, what the agent has counts at once.
        """
        patience_s = 0.0 if self.pushed else COUNTS_AS_TOLD_S
        while True:
            await asyncio.sleep(LOOK_S)
            now = time.monotonic()
            for told in self.journal.told:
                for agent in self.agents:
                    at = agent.has_it_at(told.changed_at) + patience_s
                    if now > at:
                        told.balancers.setdefault(agent.balancer, at)

    def tell_new_process(self, balancer: int) -> None:
        """A process that starts has the whole list with its configuration."""
        self._note_told(balancer)

    def _note_told(self, balancer: int) -> None:
        now = time.monotonic()
        for told in self.journal.told:
            told.balancers.setdefault(balancer, now)

    async def _serve(self, agent: Agent, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        agent.writers.add(writer)
        try:
            with suppress(*CONNECTION_OVER):
                while True:
                    path = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
                    await self._answer(agent, path, reader, writer)
        finally:
            agent.writers.discard(writer)
            writer.transport.abort()

    async def _answer(
        self, agent: Agent, path: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        query = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
        since = int(query["from"]) if "from" in query else None
        hold_ends = time.monotonic() + int(query.get("hold_ms", "0")) / 1000
        while since == self.generation and time.monotonic() < hold_ends:
            with suppress(TimeoutError):
                async with asyncio.timeout(hold_ends - time.monotonic()):
                    await self.changed.wait()
        await asyncio.sleep(max(0.0, agent.silent_until - time.monotonic()))
        if reader.at_eof():
            raise ConnectionResetError("the balancer has given the call up")
        body = msgspec.json.encode(self.listing(since))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        self._note_told(agent.balancer)
