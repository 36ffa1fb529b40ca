"""An outgoing HTTP connection, to a server or an agent, which carries one request at a time."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic
from typing import Protocol, cast

import httptools

from dykeshift.node.http1 import MAX_BODY_BYTES, MessageAssembler, UnacceptableMessage
from dykeshift.node.sockets import acknowledge_received_bytes, has_input

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response; the names of its headers are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class ResponseHandler(Protocol):
    """Receives the result of one request: exactly one of the methods is called, once.

    Neither is called after `Connection.close`.
    """

    def on_response(self, response: Response) -> None:
        """Handle the complete response."""

    def on_failure(self, request_sent: bool) -> None:
        """Handle a connection that was lost, or an invalid response.

        `request_sent` is False if part of the request had not been passed to the operating system yet.
        """


class Connection(MessageAssembler, asyncio.Protocol):
    """One connection, which may be reused for further requests after each response.

    `on_idle` is called when a response is complete and the connection may be reused, `on_lost` when the
    connection has ended.
    """

    __slots__ = (
        "loop",
        "transport",
        "parser",
        "handler",
        "response",
        "idle_since",
        "last_activity",
        "has_unwritten",
        "on_idle",
        "on_lost",
        "has_stray_data",
        "is_reusable",
        "was_used",
        "ends_at_close",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_idle: Callable[[Connection], None],
        on_lost: Callable[[Connection], None],
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        super().__init__(max_body_bytes)
        self.loop = loop
        self.on_idle, self.on_lost = on_idle, on_lost
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.handler: ResponseHandler | None = None
        self.response: Response | None = None
        self.idle_since = monotonic()  # not by the event loop's clock, which lags while the loop is busy
        self.last_activity = self.idle_since  # when a request was written or data received
        # has_unwritten: part of the request has not been passed to the operating system yet.
        # has_stray_data: a response arrived without a request.
        # ends_at_close: the response in progress has no length and ends with the connection.
        self.has_unwritten = self.has_stray_data = self.ends_at_close = False
        # is_reusable: the server keeps the connection open; was_used: it has had a complete response.
        self.is_reusable, self.was_used = True, False

    # ---- sending ----

    def is_usable(self) -> bool:
        """Return whether a request may be written to the connection.

        It may not if the server has closed the connection and the event loop has not read this yet: the
        request would end as a reset, after which an unsafe request cannot be retried.
        """
        if self.transport is None or self.transport.is_closing() or self.has_stray_data:
            return False
        return not self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Return whether data or a close has arrived that the event loop has not read yet."""
        return self.transport is not None and has_input(self.transport.get_extra_info("socket"))

    def send(self, data: bytes, handler: ResponseHandler, now: float) -> None:
        """Write a request; `now` is the time in seconds of the monotonic clock, as read by the caller.

        No clock is read here, because the process may stall while reading it. The conditions that the
        caller has checked might then no longer hold when the request is written.
        """
        assert self.transport is not None and self.handler is None
        self.handler, self.response, self.is_reusable = handler, None, False
        self.start_counts()
        self.last_activity = now
        self.transport.write(data)

    def close(self) -> None:
        """Abort the connection without calling the handler of the current request."""
        self.handler = None
        if self.transport is not None:
            self.transport.abort()

    # ---- callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # pause_writing is then called as soon as a byte could not be passed to the operating system.
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self.has_unwritten = True

    def resume_writing(self) -> None:
        self.has_unwritten = False

    def data_received(self, data: bytes) -> None:
        if self.parser is None:
            return
        self.last_activity = monotonic()
        is_valid = self.handler is not None
        if not is_valid and self.was_used:
            log.warning(
                "received unexpected data %.1f ms after the response of a server",
                (monotonic() - self.idle_since) * 1e3,
            )
        try:
            self.feed(self.parser, data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, UnacceptableMessage):
            is_valid = False
        if self.response is not None:
            self._complete(
                self.response,
                is_valid and self.is_reusable and not self.has_stray_data and not self.has_unwritten,
            )
        elif not is_valid:
            self._fail()

    def _complete(self, response: Response, reuse: bool) -> None:
        handler, self.handler, self.response = self.handler, None, None
        if reuse and self._acknowledge_response():
            self.was_used = True
            self.idle_since = monotonic()  # not before the acknowledgement, which frees a second response
            self.on_idle(self)
        elif self.transport is not None:
            self.transport.abort()
        if handler is not None:
            handler.on_response(response)

    def _acknowledge_response(self) -> bool:
        """Acknowledge the response at once; return False if that fails, after which there must be no reuse.

        The server's system may hold back a second response to the same request until the first one has been
        acknowledged. Otherwise that would happen along with the next request, and the second response would
        be taken for that of the next request.
        """
        if self.transport is None:
            return False
        try:
            acknowledge_received_bytes(self.transport.get_extra_info("socket"))
        except OSError as error:
            log.warning("a response could not be acknowledged at once: %s", error.strerror)
            return False
        return True

    def _fail(self) -> None:
        handler, self.handler = self.handler, None
        if self.transport is not None:
            self.transport.abort()
        if handler is not None:
            handler.on_failure(not self.has_unwritten)

    def eof_received(self) -> None:
        """Complete a response whose end is that of its connection.

        A reset does not complete it: the event loop reports a reset by connection_lost alone.
        """
        if self.ends_at_close and self.handler is not None and self.parser is not None:
            response = Response(self.parser.get_status_code(), self.headers, bytes(self.body))
            self._complete(response, False)

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail()
        # Breaks the reference cycle with the parser, so that no garbage collection is needed.
        self.transport = self.parser = None
        self.on_lost(self)

    # ---- parsing ----

    def is_message_complete(self) -> bool:
        return self.response is not None

    def has_excess_message(self) -> bool:
        return self.has_stray_data

    def on_message_begin(self) -> None:
        if self.response is not None or self.handler is None:
            self.has_stray_data = True  # a response without a request: no later response can be attributed
        self.start_message()
        self.ends_at_close = False

    def on_headers_complete(self) -> None:
        """Check how the end of the response is determined.

        A response without a length ends with its connection, and is accepted only if it announces that
        the connection closes. Otherwise the connection may stay open and the response would never end.
        """
        super().on_headers_complete()
        assert self.parser is not None
        is_framed = b"content-length" in self.headers or b"transfer-encoding" in self.headers
        if not is_framed and self.parser.get_status_code() >= 200:
            if self.headers.get(b"connection", b"").lower() != b"close":
                raise UnacceptableMessage(501)
            self.ends_at_close = True

    def on_message_complete(self) -> None:
        if self.parser is None or self.has_stray_data:
            return
        status = self.parser.get_status_code()
        if status < 200:
            return  # an interim response; the final one follows
        self.is_reusable = self.parser.should_keep_alive()
        self.response = Response(status, self.headers, bytes(self.body))
