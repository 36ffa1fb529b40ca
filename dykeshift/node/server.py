"""HTTP server for clients: their connections, one response to each request, and /ready."""

from __future__ import annotations

import asyncio
import logging
from typing import cast

import httptools

from dykeshift.node.driver import Driver
from dykeshift.node.http1 import MessageAssembler, UnacceptableMessage, error_status
from dykeshift.node.requests import BadRequest, ClientRequest, RequestReader
from dykeshift.node.responses import (
    FAILED_RESPONSE,
    NOT_READY_RESPONSE,
    READY_RESPONSE,
    SERVICE_ENDED_RESPONSE,
    ClientResponse,
    encode_response,
)
from dykeshift.node.sockets import Unread, has_input, is_peer_waiting, unread
from dykeshift.node.stall_detector import StallDetector

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 0.1  # between two checks of all connections for timeouts
# From connecting until the first request is complete, however slowly its bytes arrive.
FIRST_REQUEST_TIMEOUT_S = 2.5
TRANSFER_TIMEOUT_S = 2.5  # until a later request is complete, or until a response has been sent
# Bytes read this soon after a connection is accepted may have waited in the backlog together with it.
BACKLOG_DATA_WINDOW_S = 0.03
KEEPALIVE_TIMEOUT_S = 30.0  # idle time after a response
SHORT_KEEPALIVE_TIMEOUT_S = 2.0  # idle time after a connection's first response, and after all if crowded
# The frontend is crowded if more than this share of the allowed connections have had a response.
CROWDED_SHARE = 0.5
# After its last response a client may go on sending for this long. Closing at once would reset the
# connection, and the client might lose the response.
LINGERING_CLOSE_TIMEOUT_S = 0.5
READ_BUFFER_BYTES = 16 * 1024  # input of one client that is handled in a turn of the event loop


class Frontend:
    """All client connections, up to a maximum number."""

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
        self.served_connections = 0  # connections that have had at least one response
        # If stopping, /ready answers that the balancer is not ready.
        self.is_stopping = self.closes_after_response = False
        self.refuses_requests = False
        self.is_list_overdue = False  # the first server list did not come in time for the start
        self.sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self.close_timed_out_connections)
        self.stall_detector = StallDetector(loop)
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))

    def new_connection(self) -> ClientConnection:
        return ClientConnection(self)

    def is_ready(self) -> bool:
        """Whether clients may come.

        They may if a server is ready. They may as well if discovery is silent for long after the start: the
        platform limits how long a start may take, and requests are refused until there is a list.
        """
        pool = self.driver.pool
        is_start_overdue = self.is_list_overdue and not pool.has_list
        return not self.is_stopping and (is_start_overdue or pool.has_ready_server())

    def add_connection(self, connection: ClientConnection) -> None:
        """Register a new connection; over the limit, close an idle one, or the new one if none is idle.

        This keeps the process within its limit on descriptors and protects regular clients from clients that
        connect and send nothing. Connections are closed in this order: those that have had their last
        response, those without any request, those with one request, all others; within each group the one
        that has been inactive longest goes first.
        """
        self.connections.add(connection)
        if len(self.connections) > self.max_connections:
            idle = [c for c in self.connections if (c.is_idle() or c.is_lingering()) and c is not connection]
            idle.sort(key=lambda c: (not c.is_lingering(), min(c.response_count, 2), c.last_active_at))
            next((c for c in idle if c.is_lingering() or not c.has_input()), connection).abort()

    def close_timed_out_connections(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.close_if_timed_out(now)
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.close_timed_out_connections)

    def is_crowded(self) -> bool:
        return self.served_connections > self.max_connections * CROWDED_SHARE

    def close_idle(self) -> None:
        """Close idle connections, except those with input that has arrived but has not been read yet."""
        for connection in list(self.connections):
            if connection.is_idle() and not connection.has_input():
                connection.abort()

    def refuse_incomplete_requests(self) -> None:
        """Refuse all requests that are incomplete at this moment, and all that arrive from now on.

        Called at the end of service. Otherwise the last byte of a request could arrive just as the process
        exits: the request would count as accepted, but its client would never get the response it is due.
        """
        self.refuses_requests = True
        for connection in list(self.connections):
            connection.refuse_incomplete_request()


class ClientConnection(MessageAssembler, asyncio.BufferedProtocol):
    """A client's connection, which carries one request at a time.

    Of each client at most one buffer of input is read in a turn of the event loop, none while a response has
    not been taken by the system, and one buffer between two sweeps after the last response. So a client that
    sends without limit neither delays the others nor makes this process hold responses for it.
    """

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
        self.has_open_request = False  # a request is complete and has had no response yet
        self.is_complete = False  # the parser has seen the end of a request that is not handled yet
        self.is_pipelined = False  # a request began before the response to the previous one
        self.keep_alive = True
        self.discards_input = False  # the last response has been sent; further input is ignored
        self.request_id = ""  # the driver's id of the open request
        self.request_started_ns = 0  # earliest time at which its first byte may have arrived; 0: no request
        self.connected_at = self.last_active_at = frontend.loop.time()
        # The connection may have waited in the backlog since then.
        self.earliest_connect_at = frontend.stall_detector.earliest_arrival()
        self.response_count = 0

    def is_idle(self) -> bool:
        """Whether there is no request, not even a partial one, and all responses have been sent."""
        return (
            not self.has_open_request
            and not self.request_started_ns
            and not self.discards_input
            and not self.has_unsent_response()
        )

    def is_lingering(self) -> bool:
        """Whether the last response has been sent, so that the connection may be closed."""
        return self.discards_input and not self.has_unsent_response()

    def has_unsent_response(self) -> bool:
        """Whether a part of a response has not been passed to the operating system."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def is_waiting(self) -> bool:
        """Whether the client waits for its response, by all that has arrived, also if it is still unread.

        More input than a buffer during an open request is rejected when it is read.
        """
        return self.transport is not None and is_peer_waiting(
            self.transport.get_extra_info("socket"), READ_BUFFER_BYTES
        )

    def has_input(self) -> bool:
        return self.transport is not None and has_input(self.transport.get_extra_info("socket"))

    def close_if_timed_out(self, now: float) -> None:
        """Close the connection, or reject its partial request, if its client was too slow or idle too long.

        This frees descriptors.
        """
        if self.has_open_request:
            return
        timed_out = self._has_timed_out(now)
        if timed_out and self.request_started_ns and not self.discards_input:
            self._reject(ClientResponse(408, b"the request did not come in time\n"))
        elif timed_out and not (self.is_idle() and self.has_input()):
            self.abort()
        elif self.discards_input:
            self._resume_reading()

    def _has_timed_out(self, now: float) -> bool:
        """Whether a connection without an open request has had its time.

        The time for the first request runs from connecting, so that sending single bytes does not extend it,
        and a client that has had its last response cannot keep its connection open by sending more.
        """
        if not self.response_count:
            return now - self.connected_at > FIRST_REQUEST_TIMEOUT_S
        if self.is_idle():
            timeout_s = self._keepalive_timeout_s()
        elif self.is_lingering():
            timeout_s = LINGERING_CLOSE_TIMEOUT_S
        else:
            timeout_s = TRANSFER_TIMEOUT_S
        return now - self.last_active_at > timeout_s

    def _keepalive_timeout_s(self) -> float:
        """How long the connection may be idle.

        Clients that stay connected after a single request would take up the connections of clients that send
        several.
        """
        if self.response_count == 1 or self.frontend.is_crowded():
            return SHORT_KEEPALIVE_TIMEOUT_S
        return KEEPALIVE_TIMEOUT_S

    def refuse_incomplete_request(self) -> None:
        """Refuse the request if only a part of it has arrived."""
        if self.request_started_ns and not self.has_open_request and not self.discards_input:
            self._reject(SERVICE_ENDED_RESPONSE)

    def abort(self) -> None:
        # Removed at once, as connection_lost is called only later. Until then it would be chosen again for
        # each new connection over the limit, and none of the others would be closed.
        self.frontend.connections.discard(self)
        if self.transport is not None:
            self.transport.abort()

    # ---- callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # pause_writing is then called as soon as a byte could not be passed to the operating system.
        self.transport.set_write_buffer_limits(high=0)
        self.frontend.add_connection(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer of all connections: each read is handled before the next one."""
        return self.frontend.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle input; if the buffer is full, read on after the other connections have had their turn."""
        buffer = self.frontend.read_buffer
        if self.discards_input:
            self._pause_reading()  # until the next sweep
        elif nbytes == len(buffer):
            self._pause_reading()
            self.frontend.loop.call_soon(self._resume_reading)
        self._handle_input(buffer[:nbytes])

    def pause_writing(self) -> None:
        self._pause_reading()

    def resume_writing(self) -> None:
        self._resume_reading()

    def _pause_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if self.transport is None or self.transport.is_closing() or self.has_unsent_response():
            return
        self.transport.resume_reading()

    def _handle_input(self, data: memoryview) -> None:
        if self.discards_input or self.parser is None:
            return
        if not self.request_started_ns and not self.has_open_request:
            # The earliest possible arrival counts: a request may have waited while the process was stalled,
            # and its client's timeout runs from when it was sent.
            self.request_started_ns = int(self._earliest_arrival() * 1e9)
            self.last_active_at = self.frontend.loop.time()
        try:
            self.feed(self.parser, data)
        except httptools.HttpParserUpgrade:
            # The parser does not read the body of such a request, so it would be handled without its body.
            self._reject(ClientResponse(400, b"no upgrade is offered\n"))
        except (httptools.HttpParserError, UnacceptableMessage) as exc:
            self._reject(ClientResponse(error_status(exc), b"unacceptable or malformed HTTP\n"))
        if self.is_pipelined and not self.discards_input:
            self._reject(ClientResponse(400, b"one request at a time\n"))
        if self.is_complete:
            self._handle_unless_more_arrived()

    def _handle_unless_more_arrived(self) -> None:
        """Handle the complete request, unless something has arrived behind it.

        Its client may have closed, and a further request must not come now. Bytes are read first, as there
        may be a close behind them. A close alone counts at once: the connection makes room for others.
        """
        assert self.transport is not None
        arrived = unread(self.transport.get_extra_info("socket"))
        if arrived is Unread.CLOSE:
            self.abort()
        elif arrived is Unread.NOTHING:
            self.is_complete = False
            self._handle_request()

    def _earliest_arrival(self) -> float:
        """Earliest time at which the bytes just read may have arrived, in seconds of the loop's clock.

        Bytes that are read right after the connection was accepted may have waited for as long as the
        connection itself.
        """
        earliest = self.frontend.stall_detector.earliest_arrival()
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

    # ---- parsing ----

    def is_message_complete(self) -> bool:
        return self.is_complete

    def has_excess_message(self) -> bool:
        return self.is_pipelined

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
            self.keep_alive = False  # a response to HEAD must have no body, but all responses here have one
        if self.target.partition(b"?")[0] == b"/ready":
            self.send_response(READY_RESPONSE if self.frontend.is_ready() else NOT_READY_RESPONSE)
            return
        if self.frontend.refuses_requests:
            self.send_response(SERVICE_ENDED_RESPONSE)
            return
        try:
            client_request = self._read_request(method)
        except BadRequest as exc:
            self.keep_alive = False  # such a client usually repeats the request at once, without limit
            self.send_response(ClientResponse(exc.status, f"{exc}\n".encode()))
            return
        self._submit(client_request)

    def _read_request(self, method: bytes) -> ClientRequest:
        """The valid request that has been read; raises BadRequest."""
        client_request = self.frontend.request_reader.read(method, self.target, self.headers, self.body)
        if self.frontend.driver.is_id_in_use(client_request):
            raise BadRequest(409, "x-request-id is in use")
        return client_request

    def _submit(self, client_request: ClientRequest) -> None:
        """Pass the request to the driver."""
        self.start_message()  # the driver has its own copy
        self.request_id = self.frontend.driver.new_request_id(client_request)
        try:
            self.frontend.driver.submit(
                self.request_id,
                client_request,
                self.request_started_ns,
                self.send_response,
                self.is_waiting,
            )
        except Exception:  # a bug in the balancer: an attempt may have been sent, so this is no refusal
            log.exception("unexpected error while starting request %s", client_request.id)
            # Otherwise its late response would be taken for that of the next request.
            self.frontend.driver.client_disconnected(self.request_id)
            if self.has_open_request:
                self.send_response(FAILED_RESPONSE)

    def send_response(self, response: ClientResponse) -> None:
        if self.transport is None or not self.has_open_request:
            return
        # While the frontend is crowded, the first response closes its connection: many clients send one
        # request and stay connected, and clients that come back would find no free connection or descriptor.
        keep_alive = (
            self.keep_alive
            and not self.frontend.closes_after_response
            and (self.response_count > 0 or not self.frontend.is_crowded())
        )
        self.has_open_request, self.request_started_ns, self.request_id = False, 0, ""
        self.start_counts()
        self.start_message()  # what was read of the request is not needed any more
        self.frontend.served_connections += not self.response_count
        self.last_active_at, self.response_count = self.frontend.loop.time(), self.response_count + 1
        self.transport.write(encode_response(response, keep_alive))
        if not keep_alive:
            # If the socket were closed now, further bytes from the client would cause a reset, which can
            # destroy the response before it is read. So input is read and discarded until the client closes,
            # but for LINGERING_CLOSE_TIMEOUT_S at most.
            self.discards_input = True
            self.transport.write_eof()

    def _reject(self, response: ClientResponse) -> None:
        """Respond to input that is not exactly one valid and complete request, and close the connection.

        No request is served if several arrived together or if malformed bytes follow it, because the client
        could assign the response to the wrong request. A request that the driver already has is abandoned,
        but a server may have executed it.
        """
        self.keep_alive, self.is_complete = False, False
        if self.has_open_request:
            self.frontend.driver.client_disconnected(self.request_id)
        self.has_open_request = True
        self.send_response(response)
