"""Stand-ins on loopback: the agent that speaks discovery's protocol, and photo servers."""

from __future__ import annotations

import asyncio
import time
from typing import cast
from urllib.parse import parse_qs, urlsplit

import httptools
import msgspec

from emulator.discovery_schema import Listing
from emulator.slopes.deployment import encode_delta, encode_full_list, server_host

SERVICE_TIME_S = 0.02  # that a photo server holds each request
LOCALHOST = "127.0.0.1"
MAX_PORT_ATTEMPTS = 20


def http_response(body: bytes, status: str = "200 OK") -> bytes:
    """A whole HTTP answer."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class HttpServerProtocol(asyncio.Protocol):
    """Parses requests on one connection; subclasses answer them one at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the loop."""
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Called by the loop."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self.target = b""

    def on_url(self, url: bytes) -> None:
        """Called by the parser, maybe with a part of it."""
        self.target += url

    def write(self, data: bytes) -> int:
        """Send, unless the connection is gone; says how many bytes were sent."""
        if self.transport is None:
            return 0
        self.transport.write(data)
        return len(data)


class PhotoServerProtocol(HttpServerProtocol):
    """Answers each request after the service time; the body tells for how many nanoseconds it was held."""

    def on_message_complete(self) -> None:
        """Called by the parser."""
        loop = asyncio.get_running_loop()
        loop.call_later(SERVICE_TIME_S, self._answer, time.monotonic_ns())

    def _answer(self, arrived: int) -> None:
        self.write(http_response(b"%d" % (time.monotonic_ns() - arrived)))


async def start_photo_servers(servers: int) -> int:
    """Listen at an address of its own for each server, all on one port, which is returned."""
    loop = asyncio.get_running_loop()
    hosts = [server_host(n) for n in range(servers)]
    for _ in range(MAX_PORT_ATTEMPTS):
        probe = await loop.create_server(PhotoServerProtocol, hosts[0], 0)
        port = int(probe.sockets[0].getsockname()[1])
        try:
            if len(hosts) > 1:
                await loop.create_server(PhotoServerProtocol, hosts[1:], port)
        except OSError:  # taken at one of them by another program
            probe.close()
            continue
        return port
    raise OSError("no port is free at all servers' addresses")


class DiscoveryAgent:
    """What discovery has told this balancer's machine, and the calls that wait for something newer."""

    def __init__(self, servers: int, server_port: int) -> None:
        self.servers = servers
        self.server_port = server_port
        self.generation = 1
        self.full_list_response = http_response(encode_full_list(servers, server_port))
        self.delta_response = b""  # the latest one, already an answer
        self.withholds_responses = False  # calls wait, also for the first list
        self.pending_polls: dict[
            DiscoveryAgentProtocol, int | None
        ] = {}  # with the generation that the caller has
        self.bytes_in = self.bytes_out = 0

    def publish_change(self, number: int, lifecycle: str) -> None:
        """Tell one changed entry to all who wait."""
        self.generation += 1
        self.delta_response = http_response(
            encode_delta(number, self.server_port, lifecycle, self.generation)
        )
        self.release_responses()

    def release_responses(self) -> None:
        """Answer all calls that wait and have something to be told."""
        self.withholds_responses = False
        for caller, known in list(self.pending_polls.items()):
            if known != self.generation:
                self.respond(caller, known)

    def respond(self, caller: DiscoveryAgentProtocol, known: int | None) -> None:
        """Answer one call: nothing new, the latest change, or the whole list."""
        self.pending_polls.pop(caller, None)
        if known == self.generation:
            data = http_response(msgspec.json.encode(Listing(self.generation, False, [])))
        elif known is not None and known == self.generation - 1:
            data = self.delta_response
        else:
            data = http_response(encode_full_list(self.servers, self.server_port, self.generation))
            if self.generation == 1:
                data = self.full_list_response
        self.bytes_out += caller.write(data)


class DiscoveryAgentProtocol(HttpServerProtocol):
    """One connection of the balancer to its agent."""

    def __init__(self, agent: DiscoveryAgent) -> None:
        super().__init__()
        self.agent = agent

    def data_received(self, data: bytes) -> None:
        """Called by the loop."""
        self.agent.bytes_in += len(data)
        super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the loop."""
        super().connection_lost(exc)
        self.agent.pending_polls.pop(self, None)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        query = parse_qs(urlsplit(self.target).query.decode())
        known = int(query["from"][0]) if "from" in query else None
        hold = int(query.get("hold_ms", ["0"])[0]) / 1000
        agent = self.agent
        if agent.withholds_responses:
            agent.pending_polls[self] = known
        elif known != agent.generation or not hold:
            agent.respond(self, known)
        else:
            agent.pending_polls[self] = known
            asyncio.get_running_loop().call_later(hold, self._expire, known)

    def _expire(self, known: int | None) -> None:
        if self.agent.pending_polls.get(self) == known and known == self.agent.generation:
            self.agent.respond(self, known)


async def start_discovery_agent(agent: DiscoveryAgent) -> int:
    """Listen on a free port, which is returned."""
    server = await asyncio.get_running_loop().create_server(
        lambda: DiscoveryAgentProtocol(agent), LOCALHOST, 0
    )
    return int(server.sockets[0].getsockname()[1])
