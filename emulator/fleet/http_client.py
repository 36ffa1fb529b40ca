"""HTTP/1.1 keep-alive connections of the modelled clients, with one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

import httptools

from emulator.fleet.contract import Address


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    retry_after_s: float
    body: bytes


# Called with None if the connection fails before the response is complete.
ResponseCallback = Callable[[HttpResponse | None], None]


class HttpClientConnection(asyncio.Protocol):
    """One connection to a balancer."""

    def __init__(self, on_idle: Callable[[HttpClientConnection], None]) -> None:
        self.is_usable = False
        self._on_idle = on_idle
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._on_response: ResponseCallback | None = None
        self._retry_after_s = 0.0
        self._body = bytearray()

    def send_request(self, message: bytes, on_response: ResponseCallback) -> None:
        """Send a request; `on_response` is called once, unless the request is cancelled."""
        assert self._transport is not None and self._on_response is None
        self._on_response = on_response
        self._transport.write(message)

    def cancel_request(self) -> None:
        """Close the connection without calling `on_response`."""
        self._on_response = None
        self.close()

    def close(self) -> None:
        """Abort the connection."""
        self.is_usable = False
        if self._transport is not None:
            self._transport.abort()

    # ---- callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Callback of asyncio.Protocol."""
        self._transport = cast(asyncio.Transport, transport)
        self.is_usable = True

    def data_received(self, data: bytes) -> None:
        """Callback of asyncio.Protocol."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._finish(None)
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Callback of asyncio.Protocol."""
        self.is_usable = False
        self._finish(None)

    # ---- callbacks of the parser ----

    def on_message_begin(self) -> None:
        """Callback of the parser."""
        self._retry_after_s = 0.0
        self._body.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Callback of the parser."""
        if name.lower() == b"retry-after":
            self._retry_after_s = float(value)

    def on_body(self, body: bytes) -> None:
        """Callback of the parser."""
        self._body += body

    def on_message_complete(self) -> None:
        """Callback of the parser."""
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
    """Connections to one balancer. Idle ones are reused, the most recently used first."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.open = 0
        self._idle: list[HttpClientConnection] = []

    async def acquire(self) -> HttpClientConnection:
        """An idle connection or a new one; raises OSError if the new one fails."""
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
        """Number of idle connections."""
        self._idle = [connection for connection in self._idle if connection.is_usable]
        return len(self._idle)

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.close()
