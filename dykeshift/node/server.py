"""The clients' side: their connections, one answer to each request, and /ready."""

from __future__ import annotations

import asyncio
import logging
from typing import cast

import httptools

from dykeshift.node.driver import FAILED_RESPONSE, ClientResponse, Driver
from dykeshift.node.http1 import (
    MessageAssembler,
    UnacceptableMessage,
    error_status,
    has_input,
    has_peer_closed,
)
from dykeshift.node.loop_watch import StallDetector
from dykeshift.node.requests import BadRequest, RequestReader

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 0.1  # seconds between two looks at connections that do nothing
FIRST_REQUEST_TIMEOUT_S = (
    2.5  # seconds from connecting for the first request to come whole, whatever trickles in
)
TRANSFER_TIMEOUT_S = 2.5  # seconds for a later one to come whole, or for an answer to be read
BACKLOG_DATA_WINDOW_S = (
    0.03  # seconds from accepting a connection in which its first bytes may have waited with it
)
KEEPALIVE_TIMEOUT_S = 30.0  # seconds that a connection is kept after an answer
SHORT_KEEPALIVE_TIMEOUT_S = 2.0  # the same where one request was all that came, and for all in a crowd
CROWDED_SHARE = 0.5  # of the limit on connections: so many that have been answered are one
LINGERING_CLOSE_TIMEOUT_S = (
    0.5  # seconds in which a client may go on sending after its last answer, so that it sees it
)
_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    501: b"Not Implemented",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


SERVICE_ENDED_RESPONSE = ClientResponse(503, b"refused: service ends here\n")


def encode_response(response: ClientResponse, keep_alive: bool) -> bytes:
    lines = [
        b"HTTP/1.1 %d %s" % (response.status, _REASON_PHRASES[response.status]),
        b"Content-Type: " + response.content_type,
        b"Content-Length: %d" % len(response.body),
    ]
    if response.retry_after_ns:
        lines.append(b"Retry-After: %.3f" % (response.retry_after_ns / 1e9))
    if not keep_alive:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + response.body


class Frontend:
    """All client connections together, within a bound."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        driver: Driver,
        request_reader: RequestReader,
        max_connections: int,
    ) -> None:
        self.loop = loop
        self.driver = driver
        self.request_reader = request_reader
        self.max_connections = max_connections
        self.connections: set[ClientConnection] = set()
        self.served_connections = 0  # those of them that have been answered
        self.is_stopping = self.closes_after_response = False  # no longer ready; letting go of the clients
        self.refuses_requests = False  # nothing is begun any more
        self.sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self.close_timed_out_connections)
        self.loop_watch = StallDetector(loop)

    def new_connection(self) -> ClientConnection:
        return ClientConnection(self)

    def is_ready(self) -> bool:
        return not self.is_stopping and self.driver.pool.has_ready_server()

    def add_connection(self, client: ClientConnection) -> None:
        """Count a new connection in; over the limit, another makes room.

        Protects the limit on descriptors, and the usual clients from those that connect and say
        nothing: after those that have had their last answer these go first, the oldest of them, then who
        asked once and stayed, then who has been idle longest.
        """
        self.connections.add(client)
        if len(self.connections) > self.max_connections:
            idle = [c for c in self.connections if (c.is_idle() or c.is_lingering()) and c is not client]
            idle.sort(key=lambda c: (not c.is_lingering(), min(c.response_count, 2), c.last_active_at))
            next((c for c in idle if not c.has_input()), client).abort()

    def close_timed_out_connections(self) -> None:
        now = self.loop.time()
        for client in list(self.connections):
            client.close_if_timed_out(now)
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.close_timed_out_connections)

    def is_crowded(self) -> bool:
        return self.served_connections > self.max_connections * CROWDED_SHARE

    def close_idle(self) -> None:
        """Close connections on which no request has arrived, be it unread."""
        for client in list(self.connections):
            if client.is_idle() and not client.has_input():
                client.abort()

    def refuse_incomplete_requests(self) -> None:
        """Service ends: turn away whose request has not come whole yet, and all that come from now on.

        A request whose last byte comes as the process ends is taken on; its client has to have an answer.
        """
        self.refuses_requests = True
        for client in list(self.connections):
            client.refuse_incomplete_request()


class ClientConnection(MessageAssembler, asyncio.Protocol):
    __slots__ = (
        "frontend",
        "transport",
        "parser",
        "target",
        "has_open_request",
        "connected_at",
        "earliest_connect_at",
        "last_active_at",
        "keep_alive",
        "discards_input",
        "request_id",
        "request_started_ns",
        "is_complete",
        "is_pipelined",
        "response_count",
    )

    def __init__(self, frontend: Frontend) -> None:
        super().__init__()
        self.frontend = frontend
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target = b""
        self.has_open_request = False  # a request has been taken and not answered
        self.is_complete = False
        self.is_pipelined = False  # more than one request at a time has come
        self.keep_alive = True
        self.discards_input = False  # what comes from it is dropped
        self.request_id = ""  # the driver's name of the request that it has
        self.request_started_ns = 0  # when the first byte of the request came
        self.connected_at = self.last_active_at = frontend.loop.time()  # since: when it last did something
        self.earliest_connect_at = frontend.loop_watch.earliest_arrival()  # to be accepted, at the earliest
        self.response_count = 0

    def is_idle(self) -> bool:
        """Idle: no byte of a request has come that is not answered, and no answer waits to be read."""
        return (
            not self.has_open_request
            and not self.request_started_ns
            and not self.discards_input
            and not self.has_unread_response()
        )

    def is_lingering(self) -> bool:
        """Has had its last answer, and may close."""
        return self.discards_input and not self.has_unread_response()

    def has_unread_response(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def is_connected(self) -> bool:
        """Whether its close has not come, be it one that the event loop has not told yet."""
        return self.transport is not None and not has_peer_closed(self.transport.get_extra_info("socket"))

    def has_input(self) -> bool:
        return self.transport is not None and has_input(self.transport.get_extra_info("socket"))

    def close_if_timed_out(self, now: float) -> None:
        """Let go of who is slow, silent or done.

        Protects descriptors: a first request is due from connecting on, however its bytes trickle in,
        and who was turned away does not hold its connection by sending on.
        """
        if self.has_open_request:
            return
        if self.discards_input:
            late = now - self.last_active_at > (
                LINGERING_CLOSE_TIMEOUT_S if not self.has_unread_response() else TRANSFER_TIMEOUT_S
            )
        elif not self.response_count:
            late = now - self.connected_at > FIRST_REQUEST_TIMEOUT_S
        elif self.is_idle():
            # Clients that ask once and stay would take the connections of those that come back.
            late = now - self.last_active_at > (
                SHORT_KEEPALIVE_TIMEOUT_S
                if self.response_count == 1 or self.frontend.is_crowded()
                else KEEPALIVE_TIMEOUT_S
            )
        else:
            late = now - self.last_active_at > TRANSFER_TIMEOUT_S
        if late and self.request_started_ns and not self.discards_input:
            self._reject(ClientResponse(408, b"the request did not come in time\n"))
        elif late and not self.has_input():
            self.abort()

    def refuse_incomplete_request(self) -> None:
        """Turn away a request of which only a part has come."""
        if self.request_started_ns and not self.has_open_request and not self.discards_input:
            self._reject(SERVICE_ENDED_RESPONSE)

    def abort(self) -> None:
        # Out of the count at once: its end is told later, and until then it would be let go once more
        # for each one that comes, and they would all stay.
        self.frontend.connections.discard(self)
        if self.transport is not None:
            self.transport.abort()

    # ---- callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.frontend.add_connection(self)

    def data_received(self, data: bytes) -> None:
        if self.discards_input or self.parser is None:
            return
        if not self.request_started_ns and not self.has_open_request:
            # By the earliest time that it may have come: a request may have waited while the process was held
            # up, and its client counts from its sending.
            self.request_started_ns = int(self._earliest_arrival() * 1e9)
            self.last_active_at = self.frontend.loop.time()
        try:
            self.parser.feed_data(data)
            if not self.is_complete:
                self.count_bytes(len(data))
        except httptools.HttpParserUpgrade:
            # The parser leaves the body of such a request unread: it would go on without it.
            self._reject(ClientResponse(400, b"no upgrade is offered\n"))
        except (httptools.HttpParserError, UnacceptableMessage) as exc:
            self._reject(ClientResponse(error_status(exc), b"unacceptable or malformed HTTP\n"))
        if self.is_pipelined and not self.discards_input:
            self._reject(ClientResponse(400, b"one request at a time\n"))
        if self.is_complete:
            self.is_complete = False
            self._handle_request()

    def _earliest_arrival(self) -> float:
        """When the bytes that have just been read may have come, in seconds of the loop's clock.

        What is read at once on a new connection may have waited for as long as the connection itself.
        """
        earliest = self.frontend.loop_watch.earliest_arrival()
        if not self.response_count and self.frontend.loop.time() - self.connected_at < BACKLOG_DATA_WINDOW_S:
            return min(earliest, self.earliest_connect_at)
        return earliest

    def connection_lost(self, exc: Exception | None) -> None:
        self.frontend.connections.discard(self)
        self.frontend.served_connections -= self.response_count > 0
        self.transport = self.parser = None
        if self.has_open_request:
            self.has_open_request = False
            self.frontend.driver.client_disconnected(self.request_id)

    # ---- callbacks of the parser ----

    def on_message_begin(self) -> None:
        if self.is_complete or self.has_open_request:
            self.is_pipelined = True
            return
        self.start_message()
        self.target = b""

    def on_url(self, url: bytes) -> None:
        if not self.is_pipelined:
            self.target += url

    def on_headers_complete(self) -> None:
        if self.is_pipelined:
            return
        super().on_headers_complete()
        if self.headers.get(b"expect", b"").lower() == b"100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_header(self, name: bytes, value: bytes | None) -> None:
        if not self.is_pipelined:
            super().on_header(name, value)

    def on_body(self, data: bytes) -> None:
        if not self.is_pipelined:
            super().on_body(data)

    def on_message_complete(self) -> None:
        if not self.is_pipelined and self.parser is not None:
            self.keep_alive = self.parser.should_keep_alive()
            self.is_complete = True

    # ---- one request ----

    def _handle_request(self) -> None:
        assert self.parser is not None
        self.has_open_request = True
        method = self.parser.get_method()
        if method == b"HEAD":
            self.keep_alive = False  # its answer would have to come without the body that all here have
        if self.target.partition(b"?")[0] == b"/ready":
            ready = self.frontend.is_ready()
            self.send_response(
                ClientResponse(200, b"ready\n") if ready else ClientResponse(503, b"not ready\n")
            )
            return
        if self.frontend.refuses_requests:
            self.send_response(SERVICE_ENDED_RESPONSE)
            return
        try:
            client_request = self.frontend.request_reader.read(method, self.target, self.headers, self.body)
            if self.frontend.driver.is_id_in_use(client_request):
                raise BadRequest(409, "x-request-id is in use")
        except BadRequest as exc:
            self.keep_alive = False  # who asks like this goes on like this, at full speed
            self.send_response(ClientResponse(exc.status, f"{exc}\n".encode()))
            return
        assert self.transport is not None
        if has_peer_closed(self.transport.get_extra_info("socket")):  # told by the loop a turn later
            self.has_open_request = False
            self.abort()
            return
        self.request_id = self.frontend.driver.new_request_id(client_request)
        try:
            self.frontend.driver.submit(
                self.request_id,
                client_request,
                self.request_started_ns,
                self.send_response,
                self.is_connected,
            )
        except Exception:  # the program's own fault: an attempt may be out, so this is no refusal
            log.exception("request %s", client_request.id)
            self.frontend.driver.client_disconnected(self.request_id)  # else it would answer the next request
            if self.has_open_request:
                self.send_response(FAILED_RESPONSE)

    def send_response(self, response: ClientResponse) -> None:
        if self.transport is None or not self.has_open_request:
            return
        # In a crowd a first answer ends its connection: many clients ask once and stay, and those that
        # come back would find no room, nor a descriptor of their own to come with.
        keep_alive = (
            self.keep_alive
            and not self.frontend.closes_after_response
            and (self.response_count > 0 or not self.frontend.is_crowded())
        )
        self.has_open_request, self.request_started_ns, self.request_id, self.bytes_fed = False, 0, "", 0
        self.frontend.served_connections += not self.response_count
        self.last_active_at, self.response_count = self.frontend.loop.time(), self.response_count + 1
        self.transport.write(encode_response(response, keep_alive))
        if not keep_alive:
            # Closed outright, what the client still sends would be met by a reset, which can take the
            # answer with it: read on until it closes, or for LINGERING_CLOSE_TIMEOUT_S at the most.
            self.discards_input = True
            self.transport.write_eof()

    def _reject(self, response: ClientResponse) -> None:
        """Answer what is no single sound and whole request, and close.

        Protects against serving one request of several that came together, or one with unreadable
        bytes behind it: nobody can tell what such a client takes for the answer to what. One that is
        with the driver already is given up, and may have run.
        """
        self.keep_alive, self.is_complete = False, False
        if self.has_open_request:
            self.frontend.driver.client_disconnected(self.request_id)
        self.has_open_request = True
        self.send_response(response)
