"""A small HTTP/1.1 server for the stand-ins, on the parser and the bounds that the balancer uses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import cast
from urllib.parse import parse_qsl, urlsplit

import httptools

from dykeshift.node.http1 import MessageAssembler, UnacceptableMessage

MAX_BODY = 4 * 1024 * 1024  # bytes
BACKLOG = 1024
_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[bytes, bytes]
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An answer with JSON or plain text."""

    body: bytes
    status: int = 200


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def query_int(request: HttpRequest, name: str, default: int) -> int:
    """A whole number from the query, or the default where it is absent or none."""
    text = request.query.get(name, "")
    return int(text) if text.isascii() and text.isdecimal() else default


class HttpServer:
    """Answers one request at a time on each connection and counts the bytes of all."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.bytes_in = self.bytes_out = 0
        self.connections: set[_Connection] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Begin to accept; the port is returned, as 0 picks one."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: _Connection(self), host, port, backlog=BACKLOG)
        return int(self.server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop accepting and end all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()


class _Connection(MessageAssembler, asyncio.Protocol):
    """One client's connection."""

    def __init__(self, server: HttpServer) -> None:
        super().__init__(MAX_BODY)
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.answering: asyncio.Task[None] | None = None

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
        if self.answering is not None:
            self.answering.cancel()

    def on_message_begin(self) -> None:
        self.start_message()
        self.target = b""

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        parts = urlsplit(self.target.decode("ascii", "replace"))
        request = HttpRequest(
            method=self.parser.get_method().decode(),
            path=parts.path,
            query=dict(parse_qsl(parts.query)),
            headers=self.headers,
            body=bytes(self.body),
        )
        self.answering = asyncio.get_running_loop().create_task(self._answer(request))

    async def _answer(self, request: HttpRequest) -> None:
        response = await self.server.handler(request)
        if self.transport is None:
            return
        status = f"{response.status} {_REASONS[response.status]}"
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(response.body)}\r\n\r\n"
        data = head.encode() + response.body
        self.server.bytes_out += len(data)
        self.transport.write(data)
