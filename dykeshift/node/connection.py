"""An outgoing connection, to an upstream or to discovery: one request at a time, one end for each."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic
from typing import Protocol, cast

import httptools

from dykeshift.node.http1 import MAX_BODY_BYTES, MessageAssembler, UnacceptableMessage, has_input

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    headers: dict[bytes, bytes]
    body: bytes


class ResponseHandler(Protocol):
    """Whoever sent the request; exactly one of the two is called, once."""

    def on_response(self, response: Response) -> None: ...

    def on_failure(self, request_sent: bool) -> None:
        """No whole answer will come; `written`: the request's last byte had been handed over."""


class Connection(MessageAssembler, asyncio.Protocol):
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
        "reusable",
        "was_used",
        "ends_at_close",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_idle: Callable[[Connection], None],
        on_lost: Callable[[Connection], None],
        max_body: int = MAX_BODY_BYTES,
    ) -> None:
        super().__init__(max_body)
        self.loop = loop
        self.on_idle, self.on_lost = on_idle, on_lost
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.handler: ResponseHandler | None = None
        self.response: Response | None = None
        self.idle_since = monotonic()  # the loop's clock stands still while the loop is busy
        self.last_activity = self.idle_since  # when it was last written to or a byte came
        self.has_unwritten = self.has_stray_data = self.ends_at_close = False
        self.reusable, self.was_used = True, False

    # ---- sending ----

    def is_usable(self) -> bool:
        """Whether a request may be written to it.

        Protects against a close that has arrived but that the event loop has not come to yet: a
        request written then would end as a reset, which an unsafe request does not survive.
        """
        if self.transport is None or self.transport.is_closing() or self.has_stray_data:
            return False
        return not self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Whether bytes or a close have arrived that the event loop has not come to yet."""
        return self.transport is not None and has_input(self.transport.get_extra_info("socket"))

    def send(self, data: bytes, handler: ResponseHandler, now: float) -> None:
        """Write a request; `now` is the caller's reading of the clock, in seconds.

        It reads none itself: the process may be held up at any reading, and what the caller has checked
        would no longer hold as the request is written.
        """
        assert self.transport is not None and self.handler is None
        self.handler, self.response, self.reusable, self.bytes_fed = handler, None, False, 0
        self.last_activity = now
        self.transport.write(data)

    def close(self) -> None:
        """Give up whatever is on it; the exchange hears nothing any more."""
        self.handler = None
        if self.transport is not None:
            self.transport.abort()

    # ---- callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # Written through at once, and pause_writing tells as soon as a byte could not be handed over.
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        self.has_unwritten = True

    def resume_writing(self) -> None:
        self.has_unwritten = False

    def data_received(self, data: bytes) -> None:
        if self.parser is None:
            return
        self.last_activity = monotonic()
        sound = self.handler is not None
        if not sound and self.was_used:
            log.warning(
                "%.1f ms after its answer a server sent what nobody had asked for",
                (monotonic() - self.idle_since) * 1e3,
            )
        try:
            self.parser.feed_data(data)
            if self.response is None:
                self.count_bytes(len(data))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, UnacceptableMessage):
            sound = False
        if self.response is not None:
            self._complete(
                self.response, sound and self.reusable and not self.has_stray_data and not self.has_unwritten
            )
        elif not sound:
            self._break()

    def _complete(self, response: Response, reuse: bool) -> None:
        handler, self.handler, self.response = self.handler, None, None
        if reuse:
            self.was_used = True
            self.idle_since = monotonic()
            self.on_idle(self)
        elif self.transport is not None:
            self.transport.abort()
        if handler is not None:
            handler.on_response(response)

    def _break(self) -> None:
        handler, self.handler = self.handler, None
        if self.transport is not None:
            self.transport.abort()
        if handler is not None:
            handler.on_failure(not self.has_unwritten)

    def eof_received(self) -> None:
        """The end of an answer that has no length; a reset, which is told as a loss alone, is none."""
        if self.ends_at_close and self.handler is not None and self.parser is not None:
            response = Response(self.parser.get_status_code(), self.headers, bytes(self.body))
            self._complete(response, False)

    def connection_lost(self, exc: Exception | None) -> None:
        self._break()
        self.transport = self.parser = None  # ends the cycle with the parser, so no collection is needed
        self.on_lost(self)

    # ---- callbacks of the parser ----

    def on_message_begin(self) -> None:
        if self.response is not None or self.handler is None:
            self.has_stray_data = True  # more than one answer to one request: nothing on it can be trusted
        self.start_message()
        self.ends_at_close = False

    def on_headers_complete(self) -> None:
        """Protects against waiting for an answer that nothing but the end of its connection would end.

        Unless it says that it closes: then that end is the answer's.
        """
        super().on_headers_complete()
        assert self.parser is not None
        framed = b"content-length" in self.headers or b"transfer-encoding" in self.headers
        if not framed and self.parser.get_status_code() >= 200:
            if self.headers.get(b"connection", b"").lower() != b"close":
                raise UnacceptableMessage(501)
            self.ends_at_close = True

    def on_message_complete(self) -> None:
        if self.parser is None or self.has_stray_data:
            return
        status = self.parser.get_status_code()
        if status < 200:
            return  # an interim answer; the final one follows
        self.reusable = self.parser.should_keep_alive()
        self.response = Response(status, self.headers, bytes(self.body))
