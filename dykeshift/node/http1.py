"""HTTP/1.1 messages of limited size, assembled from the callbacks of the llhttp parser."""

from __future__ import annotations

from typing import Protocol

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 64
MAX_CHUNKED_SIZE_MULTIPLE = 4  # a chunked body may take this multiple of the largest body on the wire
MAX_FEED_BYTES = 16 * 1024  # passed to the parser at a time, between two checks of the limits


class Parser(Protocol):
    """A parser of httptools, for requests or responses."""

    def feed_data(self, data: memoryview, /) -> None:
        """Parse input and call the callbacks; raises HttpParserError or HttpParserUpgrade."""


class UnacceptableMessage(Exception):
    """A message over a limit or of an unsupported kind; `status` is that of a server's response to it."""

    def __init__(self, status: int) -> None:
        super().__init__(f"HTTP message is not acceptable (status {status})")
        self.status = status


class MessageAssembler:
    """Collects one message at a time from a parser's callbacks; subclasses handle the complete message."""

    __slots__ = (
        "headers",
        "header_count",
        "body",
        "bytes_fed",
        "undelivered_bytes",
        "in_head",
        "max_body_bytes",
    )

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.max_body_bytes = max_body_bytes
        self.start_counts()
        self.start_message()

    def start_message(self) -> None:
        """Begin a message without any content."""
        self.headers: dict[bytes, bytes] = {}
        self.header_count = 0
        self.body = bytearray()
        self.in_head = True

    def start_counts(self) -> None:
        """Count the bytes passed to the parser from zero, as the next message has not begun."""
        self.bytes_fed = 0
        self.undelivered_bytes = 0  # since the parser has last delivered a field or a part of a body

    def is_message_complete(self) -> bool:
        """Whether the message has ended, so that its limits no longer apply to further input."""
        raise NotImplementedError

    def has_excess_message(self) -> bool:
        """Whether a message has begun that must not come now; further input is not parsed."""
        raise NotImplementedError

    def feed(self, parser: Parser, data: bytes | memoryview) -> None:
        """Pass input to the parser, in pieces, until a message begins that must not come now.

        Raises UnacceptableMessage for a message over a limit, and the exceptions of the parser.
        """
        view = memoryview(data)
        for start in range(0, len(data), MAX_FEED_BYTES):
            piece = view[start : start + MAX_FEED_BYTES]
            self.undelivered_bytes += len(piece)
            parser.feed_data(piece)
            if self.has_excess_message():
                return
            if not self.is_message_complete():
                self._check_limits(len(piece))

    def _check_limits(self, size: int) -> None:
        """Check what an incomplete message holds after this many further bytes.

        The parser buffers an incomplete field, chunk extension or trailer without any callback, so that only
        the number of bytes passed to it shows how much it holds.
        """
        self.bytes_fed += size
        if self.in_head and self.bytes_fed > MAX_HEAD_BYTES:
            raise UnacceptableMessage(431)
        if self.undelivered_bytes > MAX_HEAD_BYTES + MAX_FEED_BYTES:
            raise UnacceptableMessage(431)
        if self.bytes_fed > MAX_HEAD_BYTES + MAX_CHUNKED_SIZE_MULTIPLE * self.max_body_bytes:
            raise UnacceptableMessage(413)

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Store a field of the head; a trailer counts, but its content is not used (RFC 9110, 6.5.1)."""
        self.undelivered_bytes = 0
        self.header_count += 1
        if self.header_count > MAX_HEADERS or len(name) + len(value or b"") > MAX_HEAD_BYTES:
            raise UnacceptableMessage(431)
        if not self.in_head:
            return
        name, value = name.lower(), (value or b"").strip()
        # HTTP joins the values of repeated headers. Two ids or deadlines then fail validation.
        self.headers[name] = self.headers[name] + b", " + value if name in self.headers else value

    def on_headers_complete(self) -> None:
        """Check the head; raises UnacceptableMessage."""
        self.in_head = False
        coding = self.headers.get(b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            # The parser would take a body with a further coding for a plain chunked one.
            raise UnacceptableMessage(501)
        length = self.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self.max_body_bytes:
            raise UnacceptableMessage(413)

    def on_body(self, data: bytes) -> None:
        """Store a part of the body; raises UnacceptableMessage if the body is too long."""
        self.undelivered_bytes = 0
        if len(self.body) + len(data) > self.max_body_bytes:
            raise UnacceptableMessage(413)
        self.body += data


def error_status(error: Exception) -> int:
    """Status of a server's response: that of the callback which stopped the parser, or else 400."""
    cause = error if isinstance(error, UnacceptableMessage) else error.__context__
    return cause.status if isinstance(cause, UnacceptableMessage) else 400
