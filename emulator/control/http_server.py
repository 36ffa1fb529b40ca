"""A small HTTP/1.1 server for machines, agents and photo servers, on the balancer's MessageAssembler."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import cast
from urllib.parse import parse_qsl, urlsplit

import httptools

from dykeshift.node.http1 import MessageAssembler, UnacceptableMessage

MAX_BODY_BYTES = 4 * 1024 * 1024
ACCEPT_BACKLOG = 1024  # connections that may wait to be accepted
_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[bytes, bytes]
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response with a body of JSON or plain text."""

    body: bytes
    status: int = 200


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def query_int(request: HttpRequest, name: str, default: int) -> int:
    """Return this query parameter as a non-negative integer, or the default if it is absent or not one."""
    text = request.query.get(name, "")
    return int(text) if text.isascii() and text.isdecimal() else default


class HttpServer:
    """Processes one request at a time on each connection; counts the bytes of all connections."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.bytes_in = self.bytes_out = 0
        self.connections: set[_Connection] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Start to accept connections and return the port; with port 0 the kernel chooses it."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: _Connection(self), host, port, backlog=ACCEPT_BACKLOG)
        return int(self.server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop accepting connections and abort the open ones."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()


class _Connection(MessageAssembler, asyncio.Protocol):
    """The connection of one client."""

    def __init__(self, server: HttpServer) -> None:
        super().__init__(MAX_BODY_BYTES)
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.response_task: asyncio.Task[None] | None = None

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        self.server.bytes_in += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, UnacceptableMessage):
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.server.connections.discard(self)
        if self.response_task is not None:
            self.response_task.cancel()

    def on_message_begin(self) -> None:
        self.start_message()
        self.target = b""

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        url = urlsplit(self.target.decode("ascii", "replace"))
        request = HttpRequest(
            method=self.parser.get_method().decode(),
            path=url.path,
            query=dict(parse_qsl(url.query)),
            headers=self.headers,
            body=bytes(self.body),
        )
        self.response_task = asyncio.get_running_loop().create_task(self._respond(request))

    async def _respond(self, request: HttpRequest) -> None:
        response = await self.server.handler(request)
        if self.transport is None:
            return
        status_line = f"{response.status} {_REASON_PHRASES[response.status]}"
        head = f"HTTP/1.1 {status_line}\r\nContent-Length: {len(response.body)}\r\n\r\n"
        data = head.encode() + response.body
        self.server.bytes_out += len(data)
        self.transport.write(data)
