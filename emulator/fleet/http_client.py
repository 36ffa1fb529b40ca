"""HTTP/1.1 connections of the modelled clients: kept alive, one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

from emulator.fleet.contract import Address


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole answer."""

    status: int
    retry_after_s: float
    body: bytes


ResponseCallback = Callable[[HttpResponse | None], None]  # None: the connection broke before a whole answer


class HttpClientConnection(asyncio.Protocol):
    """One connection to one balancer."""

    def __init__(self, on_idle: Callable[[HttpClientConnection], None]) -> None:
        self.is_usable = False
        self._on_idle = on_idle
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._on_response: ResponseCallback | None = None
        self._retry_after_s = 0.0
        self._body = bytearray()

    def send_request(self, message: bytes, on_response: ResponseCallback) -> None:
        """Send a request; `received` is called once."""
        assert self._transport is not None and self._on_response is None
        self._on_response = on_response
        self._transport.write(message)

    def cancel_request(self) -> None:
        """Close it without waiting for the answer; nothing is called back."""
        self._on_response = None
        self.close()

    def close(self) -> None:
        """Hang up."""
        self.is_usable = False
        if self._transport is not None:
            self._transport.abort()

    # ---- callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Protocol callback."""
        self._transport = cast(asyncio.Transport, transport)
        self.is_usable = True

    def data_received(self, data: bytes) -> None:
        """Protocol callback."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._finish(None)
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Protocol callback."""
        self.is_usable = False
        self._finish(None)

    # ---- callbacks of the parser ----

    def on_message_begin(self) -> None:
        """Parser callback."""
        self._retry_after_s = 0.0
        self._body.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback."""
        if name.lower() == b"retry-after":
            self._retry_after_s = float(value)

    def on_body(self, body: bytes) -> None:
        """Parser callback."""
        self._body += body

    def on_message_complete(self) -> None:
        """Parser callback."""
        response = HttpResponse(self._parser.get_status_code(), self._retry_after_s, bytes(self._body))
        self.is_usable = self.is_usable and self._parser.should_keep_alive()
        if self.is_usable:
            self._on_idle(self)
        else:
            self.close()
        self._finish(response)

    def _finish(self, response: HttpResponse | None) -> None:
        on_response, self._on_response = self._on_response, None
        if on_response is not None:
            on_response(response)


class ConnectionPool:
    """Connections to one balancer: those that are idle are used again, the latest first."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.open = 0
        self._idle: list[HttpClientConnection] = []

    async def acquire(self) -> HttpClientConnection:
        """An idle connection or a new one; OSError if none comes up."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: HttpClientConnection(self._idle.append), self.address.host, self.address.port
        )
        return connection

    def idle_count(self) -> int:
        """How many are open and unused."""
        self._idle = [connection for connection in self._idle if connection.is_usable]
        return len(self._idle)

    def close(self) -> None:
        """Hang up on all that are idle."""
        for connection in self._idle:
            connection.close()
