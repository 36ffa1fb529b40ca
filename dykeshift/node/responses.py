"""Responses to clients, and how they are written in HTTP/1.1."""

from __future__ import annotations

from dataclasses import dataclass

_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """The final response to a client."""

    status: int
    body: bytes
    content_type: bytes = b"text/plain"  # that of the server's response, if one is passed on
    retry_after_ns: int = 0  # 0: no Retry-After header


FAILED_RESPONSE = ClientResponse(500, b"failed: it may have had its effect\n")
TIMEOUT_RESPONSE = ClientResponse(504, b"failed: no answer in time\n")
SERVICE_ENDED_RESPONSE = ClientResponse(503, b"refused: service ends here\n")
READY_RESPONSE = ClientResponse(200, b"ready\n")
NOT_READY_RESPONSE = ClientResponse(503, b"not ready\n")


def encode_response(response: ClientResponse, keep_alive: bool) -> bytes:
    """The bytes of the whole response; without `keep_alive` it announces that the connection closes."""
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
