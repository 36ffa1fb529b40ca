"""HTTP/1.1 messages of limited size, assembled from the callbacks of the llhttp parser."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 64
MAX_CHUNKED_SIZE_MULTIPLE = 4  # a chunked body may take this multiple of the largest body on the wire


class UnacceptableMessage(Exception):
    """A message over a limit or of an unsupported kind; `status` is that of a server's response to it."""

    def __init__(self, status: int) -> None:
        super().__init__(f"HTTP message is not acceptable (status {status})")
        self.status = status


class MessageAssembler:
    """Collects one message at a time from a parser's callbacks; subclasses handle the complete message."""

    __slots__ = ("headers", "header_count", "body", "bytes_fed", "in_head", "max_body_bytes")

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.max_body_bytes = max_body_bytes
        self.bytes_fed = 0
        self.start_message()

    def start_message(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.header_count = 0
        self.body = bytearray()
        self.in_head = True

    def count_bytes(self, size: int) -> None:
        """Check the number of bytes passed to the parser so far against the limits.

        To be called after each piece of input that did not complete a message. This keeps memory within its
        limit: the parser buffers an incomplete header, chunk extension or trailer without any callback, so
        that only the number of bytes passed to it shows how much it holds.
        """
        self.bytes_fed += size
        if self.in_head and self.bytes_fed > MAX_HEAD_BYTES:
            raise UnacceptableMessage(431)
        if self.bytes_fed > MAX_HEAD_BYTES + MAX_CHUNKED_SIZE_MULTIPLE * self.max_body_bytes:
            raise UnacceptableMessage(413)

    def on_header(self, name: bytes, value: bytes | None) -> None:
        self.header_count += 1
        if self.header_count > MAX_HEADERS or len(name) + len(value or b"") > MAX_HEAD_BYTES:
            raise UnacceptableMessage(431)
        name, value = name.lower(), (value or b"").strip()
        # HTTP joins the values of repeated headers. Two ids or deadlines then fail validation.
        self.headers[name] = self.headers[name] + b", " + value if name in self.headers else value

    def on_headers_complete(self) -> None:
        self.in_head = False
        coding = self.headers.get(b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            # The parser would take a body with a further coding for a plain chunked one.
            raise UnacceptableMessage(501)
        length = self.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self.max_body_bytes:
            raise UnacceptableMessage(413)

    def on_body(self, data: bytes) -> None:
        if len(self.body) + len(data) > self.max_body_bytes:
            raise UnacceptableMessage(413)
        self.body += data


def error_status(error: Exception) -> int:
    """Status of a server's response: that of the callback which stopped the parser, or else 400."""
    cause = error if isinstance(error, UnacceptableMessage) else error.__context__
    return cause.status if isinstance(cause, UnacceptableMessage) else 400
