"""Serves HTTP/1.1 for the photo servers, each at its own loopback address."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast
from urllib.parse import parse_qs

import httptools

from dykeshift.interface import Outcome
from emulator.fleet.contract import Address
from emulator.fleet.photo_server_group import PhotoServerGroup, TrackedAttempt
from emulator.fleet.settings_for_balancers import LOAD_REPORT_FIELDS

BACKLOG = 128
DEFAULT_WAIT_S = 4.0  # for a request without X-Deadline-Ms
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
NOT_EXECUTED = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


class HttpContext:
    """Objects that all connections of a process share."""

    def __init__(
        self,
        group: PhotoServerGroup,
        mean_work_s: float,
        now_s: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        self.group = group
        self.mean_work_s = mean_work_s
        self.now_s = now_s
        self.on_change = on_change  # called when deadlines may have been added


class ServerEndpoint:
    """Listening socket and connections of one photo server."""

    def __init__(self, number: int, address: Address, context: HttpContext) -> None:
        self.number = number
        self.context = context
        self.connections: set[HttpServerConnection] = set()
        self._address = address
        self._server: asyncio.Server | None = None
        self._black_hole: list[socket.socket] = []

    async def listen(self) -> None:
        """Accept connections."""
        self._close_black_hole()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpServerConnection(self), self._address.host, self._address.port, backlog=BACKLOG
        )

    def stop(self) -> None:
        """Stop the server process: its connections are aborted and new ones refused."""
        self._close_black_hole()
        self._close_server()
        for connection in list(self.connections):
            connection.abort()

    def become_unreachable(self) -> None:
        """Lose the machine: open connections stay silent and new ones are neither accepted nor refused."""
        self._close_server()
        self._open_black_hole()

    def _close_server(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _open_black_hole(self) -> None:
        """Listen with the shortest backlog and fill it, so that the kernel drops all further connects."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        address = (self._address.host, self._address.port)
        listener.bind(address)
        listener.listen(0)
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(address)
        self._black_hole = [listener, filler]

    def _close_black_hole(self) -> None:
        for black_hole_socket in self._black_hole:
            black_hole_socket.close()
        self._black_hole = []


class HttpServerConnection(asyncio.Protocol):
    """Connection of a real balancer to a photo server, with one request at a time."""

    def __init__(self, endpoint: ServerEndpoint) -> None:
        self._endpoint = endpoint
        self._context = endpoint.context
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._attempt: TrackedAttempt | None = None
        self._target = b""
        self._headers: dict[bytes, bytes] = {}

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    # ---- callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Callback of asyncio.Protocol."""
        self._transport = cast(asyncio.Transport, transport)
        self._endpoint.connections.add(self)
        self._context.group.connection_tables[self._endpoint.number].count_opened()

    def connection_lost(self, exc: Exception | None) -> None:
        """Callback of asyncio.Protocol: closing the connection cancels its attempt."""
        self._transport = None
        self._endpoint.connections.discard(self)
        self._context.group.connection_tables[self._endpoint.number].open_count -= 1
        if self._attempt is not None:
            self._context.group.cancel(self._attempt)
            self._attempt = None

    def data_received(self, data: bytes) -> None:
        """Callback of asyncio.Protocol."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()

    # ---- callbacks of the parser ----

    def on_message_begin(self) -> None:
        """Callback of the parser: abort the connection if the previous request has no response yet."""
        if self._attempt is not None:
            self.abort()
        self._target, self._headers = b"", {}

    def on_url(self, url: bytes) -> None:
        """Callback of the parser."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Callback of the parser."""
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        """Callback of the parser: submit the complete request to the photo server."""
        if self._transport is None or self._attempt is not None:
            return
        if b"x-request-id" not in self._headers:
            self._transport.write(NOT_FOUND)
            return
        context = self._context
        now_s = context.now_s()
        wait_s = _parse_number(self._headers.get(b"x-deadline-ms"), DEFAULT_WAIT_S * 1e3) / 1e3
        query = parse_qs(self._target.partition(b"?")[2])
        work_us = self._headers.get(b"x-work-us") or query.get(b"work_us", [b""])[0]
        balancer = int(_parse_number(query.get(b"balancer", [b""])[0], 0.0))
        if not context.group.is_known_pair(self._endpoint.number, balancer):
            balancer = 0
        self._attempt = context.group.submit(
            now_s,
            self,
            0,
            self._endpoint.number,
            balancer,
            _parse_number(work_us, context.mean_work_s * 1e6) / 1e6,
            wait_s,
            over_http=True,
        )
        context.on_change()

    # ---- response ----

    def deliver(self, attempt: TrackedAttempt) -> None:
        """Part of `ResultReceiver`."""
        if attempt is not self._attempt or self._transport is None:
            return
        self._attempt = None
        if attempt.outcome is Outcome.OK:
            self._transport.write(self._encode_ok(attempt))
        elif attempt.outcome is Outcome.FULL:
            self._transport.write(NOT_EXECUTED)
        else:
            self.abort()

    def _encode_ok(self, attempt: TrackedAttempt) -> bytes:
        held_us = int((self._context.now_s() - attempt.sent_s) * 1e6)
        request_id = self._headers[b"x-request-id"]
        body = b'{"served":"%s","server":%d,"held_us":%d}' % (request_id, attempt.server, held_us)
        in_flight, service_ms = LOAD_REPORT_FIELDS
        report = f'{{"{in_flight}":{attempt.in_flight},"{service_ms}":{attempt.service_s * 1e3:.3f}}}'
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            f"X-Load: {report}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


def _parse_number(text: bytes | None, default: float) -> float:
    """Parse a non-negative integer of a header or query; the default if it is missing or malformed."""
    return float(text) if text and text.isdigit() else default
