"""Stand-ins on loopback: the discovery agent of a machine, and photo servers."""

from __future__ import annotations

import asyncio
import time
from typing import cast
from urllib.parse import parse_qs, urlsplit

import httptools
import msgspec

from emulator.discovery_schema import Listing
from emulator.slopes.deployment import encode_delta, encode_full_list, server_host

SERVICE_TIME_S = 0.02  # how long a photo server holds each request
LOCALHOST = "127.0.0.1"
MAX_PORT_ATTEMPTS = 20


def http_response(body: bytes, status: str = "200 OK") -> bytes:
    """Return the bytes of an HTTP response."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class HttpServerProtocol(asyncio.Protocol):
    """Parses the requests of one connection; subclasses respond to them one at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Callback of asyncio.Protocol."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Callback of asyncio.Protocol."""
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Callback of asyncio.Protocol."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_message_begin(self) -> None:
        """Callback of the parser."""
        self.target = b""

    def on_url(self, url: bytes) -> None:
        """Callback of the parser, possibly with a part of the target."""
        self.target += url

    def write(self, data: bytes) -> int:
        """Send data unless the connection is closed; returns the number of bytes sent."""
        if self.transport is None:
            return 0
        self.transport.write(data)
        return len(data)


class PhotoServerProtocol(HttpServerProtocol):
    """Responds to each request after the service time; the response states the nanoseconds it was held."""

    def on_message_complete(self) -> None:
        """Callback of the parser."""
        loop = asyncio.get_running_loop()
        loop.call_later(SERVICE_TIME_S, self._respond, time.monotonic_ns())

    def _respond(self, received_at_ns: int) -> None:
        self.write(http_response(b"%d" % (time.monotonic_ns() - received_at_ns)))


async def start_photo_servers(servers: int) -> int:
    """Start servers on different loopback addresses and a common port, and return the port."""
    loop = asyncio.get_running_loop()
    hosts = [server_host(n) for n in range(servers)]
    for _ in range(MAX_PORT_ATTEMPTS):
        first_server = await loop.create_server(PhotoServerProtocol, hosts[0], 0)
        port = int(first_server.sockets[0].getsockname()[1])
        try:
            if len(hosts) > 1:
                await loop.create_server(PhotoServerProtocol, hosts[1:], port)
        except OSError:  # another program uses the port on one of the addresses
            first_server.close()
            continue
        return port
    raise OSError("no port is free on all server addresses")


class DiscoveryAgent:
    """The discovery agent of a balancer: its server list, and the long polls that wait for a newer list."""

    def __init__(self, servers: int, server_port: int) -> None:
        self.servers = servers
        self.server_port = server_port
        self.generation = 1
        self.full_list_response = http_response(encode_full_list(servers, server_port))
        self.delta_response = b""  # of the latest change
        self.withholds_responses = False  # all calls wait, also those for the first list
        # By long poll: the generation that its caller has, None if it has no list.
        self.pending_polls: dict[DiscoveryAgentProtocol, int | None] = {}
        self.bytes_in = self.bytes_out = 0

    def publish_change(self, server_id: int, lifecycle: str) -> None:
        """Change one entry, and respond to all pending long polls."""
        self.generation += 1
        self.delta_response = http_response(
            encode_delta(server_id, self.server_port, lifecycle, self.generation)
        )
        self.release_responses()

    def release_responses(self) -> None:
        """Respond to all pending long polls for which there is a newer list."""
        self.withholds_responses = False
        for caller, known_generation in list(self.pending_polls.items()):
            if known_generation != self.generation:
                self.respond(caller, known_generation)

    def respond(self, caller: DiscoveryAgentProtocol, known_generation: int | None) -> None:
        """Respond to one call: with an empty delta, the latest change or the full list."""
        self.pending_polls.pop(caller, None)
        if known_generation == self.generation:
            data = http_response(msgspec.json.encode(Listing(self.generation, False, [])))
        elif known_generation is not None and known_generation == self.generation - 1:
            data = self.delta_response
        else:
            data = http_response(encode_full_list(self.servers, self.server_port, self.generation))
            if self.generation == 1:
                data = self.full_list_response
        self.bytes_out += caller.write(data)


class DiscoveryAgentProtocol(HttpServerProtocol):
    """A connection of the balancer to its agent."""

    def __init__(self, agent: DiscoveryAgent) -> None:
        super().__init__()
        self.agent = agent

    def data_received(self, data: bytes) -> None:
        """Callback of asyncio.Protocol."""
        self.agent.bytes_in += len(data)
        super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Callback of asyncio.Protocol."""
        super().connection_lost(exc)
        self.agent.pending_polls.pop(self, None)

    def on_message_complete(self) -> None:
        """Callback of the parser."""
        query = parse_qs(urlsplit(self.target).query.decode())
        known_generation = int(query["from"][0]) if "from" in query else None
        hold_s = int(query.get("hold_ms", ["0"])[0]) / 1000
        agent = self.agent
        if agent.withholds_responses:
            agent.pending_polls[self] = known_generation
        elif known_generation != agent.generation or not hold_s:
            agent.respond(self, known_generation)
        else:
            agent.pending_polls[self] = known_generation
            asyncio.get_running_loop().call_later(hold_s, self._end_long_poll, known_generation)

    def _end_long_poll(self, known_generation: int | None) -> None:
        if (
            self.agent.pending_polls.get(self) == known_generation
            and known_generation == self.agent.generation
        ):
            self.agent.respond(self, known_generation)


async def start_discovery_agent(agent: DiscoveryAgent) -> int:
    """Listen on a free port, and return the port."""
    server = await asyncio.get_running_loop().create_server(
        lambda: DiscoveryAgentProtocol(agent), LOCALHOST, 0
    )
    return int(server.sockets[0].getsockname()[1])
