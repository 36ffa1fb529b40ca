"""Validation of clients' requests, before any decision is made on them."""

from __future__ import annotations

import re
from dataclasses import dataclass

from dykeshift.interface import Idempotency, RequestClass
from dykeshift.node.tenants import TenantTable

_ID_PATTERN = re.compile(rb"[!-~]{1,128}\Z")
_NUMBER_PATTERN = re.compile(rb"[0-9]{1,9}\Z")
_TARGET_PATTERN = re.compile(rb"/[!-~]*\Z")


class BadRequest(Exception):
    """A request that is refused as invalid; its text is the body of the response."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A valid request of a client, and the message that is sent to a server for it."""

    id: str
    class_index: int
    is_unsafe: bool  # must not be executed twice
    client_timeout_ns: int  # how long the client waits, from when it sent the request
    latency_target_ns: int  # a response within this time has the full worth
    is_retry: bool
    tenant_index: int
    cost_hint: int  # expected work; 0: unknown
    head: bytes  # request line and headers for the server, without the value of the last one, X-Deadline-Ms
    body: bytes

    def build_message(self, remaining_ns: int) -> bytes:
        """The HTTP message for a server, with the time that remains until the deadline."""
        return b"%s%d\r\n\r\n%s" % (self.head, max(1, remaining_ns // 1_000_000), self.body)


def _read_number(headers: dict[bytes, bytes], name: bytes) -> int:
    text = headers.get(name, b"")
    if not _NUMBER_PATTERN.match(text):
        raise BadRequest(400, f"{name.decode()} is missing or no whole number")
    return int(text)


def _check_method(
    method: bytes, idempotency: Idempotency, key: bytes | None, body: bytes | bytearray
) -> None:
    expected = b"GET" if idempotency is Idempotency.SAFE else b"POST"
    if method != expected:
        raise BadRequest(400, f"the method of this class is {expected.decode()}")
    if idempotency is Idempotency.SAFE and body:
        raise BadRequest(400, "a GET carries no body")
    if (idempotency is Idempotency.KEYED) != (key is not None):
        raise BadRequest(400, "idempotency-key goes with keyed classes, and only with them")
    if key is not None and not _ID_PATTERN.match(key):
        raise BadRequest(400, "idempotency-key is malformed")


class RequestReader:
    """Validates complete HTTP messages against the known classes and tenants."""

    def __init__(self, classes: tuple[RequestClass, ...], tenants: TenantTable) -> None:
        self.classes = classes
        self.tenants = tenants
        self.class_indices: dict[bytes, int] = {c.name.encode(): n for n, c in enumerate(classes)}

    def read(
        self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes | bytearray
    ) -> ClientRequest:
        """Return the request in an HTTP message; raise BadRequest if it is invalid."""
        class_index = self.class_indices.get(headers.get(b"x-class", b""))
        if class_index is None:
            raise BadRequest(400, "x-class is missing or unknown")
        request_class = self.classes[class_index]
        request_id, key = headers.get(b"x-request-id", b""), headers.get(b"idempotency-key")
        if not _ID_PATTERN.match(request_id):
            raise BadRequest(400, "x-request-id is missing or malformed")
        if not _TARGET_PATTERN.match(target):
            raise BadRequest(400, "the target is no path")
        _check_method(method, request_class.idempotency, key, body)
        client_timeout_ns = _read_number(headers, b"x-deadline-ms") * 1_000_000
        if not client_timeout_ns:
            raise BadRequest(400, "x-deadline-ms is zero")
        host = headers.get(b"host", b"backend.local")
        head = b"%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n" % (method, target, host, request_id)
        if key is not None:
            head += b"Idempotency-Key: %s\r\n" % key
        if method != b"GET":
            head += b"Content-Length: %d\r\n" % len(body)
        return ClientRequest(
            id=request_id.decode(),
            class_index=class_index,
            is_unsafe=request_class.idempotency is Idempotency.UNSAFE,
            client_timeout_ns=min(client_timeout_ns, request_class.client_timeout),
            latency_target_ns=request_class.latency_target,
            is_retry=headers.get(b"x-retry") == b"1",
            tenant_index=self.tenants.index_of(headers.get(b"x-tenant", b"")),
            cost_hint=_read_number(headers, b"x-cost-hint") * 1000 if b"x-cost-hint" in headers else 0,
            head=head + b"X-Deadline-Ms: ",
            body=bytes(body),
        )
