"""A client's request, checked before anything is decided about it."""

from __future__ import annotations

import re
from dataclasses import dataclass

from dykeshift.interface import Idempotency, RequestClass
from dykeshift.node.tenants import TenantTable

_ID_PATTERN = re.compile(rb"[!-~]{1,128}\Z")
_NUMBER_PATTERN = re.compile(rb"[0-9]{1,9}\Z")
_TARGET_PATTERN = re.compile(rb"/[!-~]*\Z")


class BadRequest(Exception):
    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class ClientRequest:
    id: str
    class_index: int
    is_unsafe: bool  # must not run twice
    client_timeout_ns: int  # nanoseconds that the client waits, from its sending
    latency_target_ns: int  # nanoseconds within which an answer is worth most
    is_retry: bool
    tenant_index: int
    cost_hint: int
    head: bytes  # request line and headers for the upstream, but for the deadline's value
    body: bytes

    def message(self, remaining_ns: int) -> bytes:
        return b"%s%d\r\n\r\n%s" % (self.head, max(1, remaining_ns // 1_000_000), self.body)


def _read_number(headers: dict[bytes, bytes], name: bytes) -> int:
    text = headers.get(name, b"")
    if not _NUMBER_PATTERN.match(text):
        raise BadRequest(400, f"{name.decode()} is missing or no whole number")
    return int(text)


def _check_method(method: bytes, kind: Idempotency, key: bytes | None, body: bytes | bytearray) -> None:
    wanted = b"GET" if kind is Idempotency.SAFE else b"POST"
    if method != wanted:
        raise BadRequest(400, f"the method of this class is {wanted.decode()}")
    if kind is Idempotency.SAFE and body:
        raise BadRequest(400, "a GET carries no body")
    if (kind is Idempotency.KEYED) != (key is not None):
        raise BadRequest(400, "idempotency-key goes with keyed classes, and only with them")
    if key is not None and not _ID_PATTERN.match(key):
        raise BadRequest(400, "idempotency-key is malformed")


class RequestReader:
    """Knows classes and tenants; turns a whole HTTP message into a request or raises BadRequest."""

    def __init__(self, classes: tuple[RequestClass, ...], tenants: TenantTable) -> None:
        self.classes = classes
        self.tenants = tenants
        self.class_indices: dict[bytes, int] = {c.name.encode(): n for n, c in enumerate(classes)}

    def read(
        self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes | bytearray
    ) -> ClientRequest:
        index = self.class_indices.get(headers.get(b"x-class", b""))
        if index is None:
            raise BadRequest(400, "x-class is missing or unknown")
        klass = self.classes[index]
        rid, key = headers.get(b"x-request-id", b""), headers.get(b"idempotency-key")
        if not _ID_PATTERN.match(rid):
            raise BadRequest(400, "x-request-id is missing or malformed")
        if not _TARGET_PATTERN.match(target):
            raise BadRequest(400, "the target is no path")
        _check_method(method, klass.idempotency, key, body)
        client_timeout_ns = _read_number(headers, b"x-deadline-ms") * 1_000_000
        if not client_timeout_ns:
            raise BadRequest(400, "x-deadline-ms is zero")
        host = headers.get(b"host", b"backend.local")
        head = b"%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n" % (method, target, host, rid)
        if key is not None:
            head += b"Idempotency-Key: %s\r\n" % key
        if method != b"GET":
            head += b"Content-Length: %d\r\n" % len(body)
        return ClientRequest(
            id=rid.decode(),
            class_index=index,
            is_unsafe=klass.idempotency is Idempotency.UNSAFE,
            client_timeout_ns=min(client_timeout_ns, klass.client_timeout),
            latency_target_ns=klass.latency_target,
            is_retry=headers.get(b"x-retry") == b"1",
            tenant_index=self.tenants.number_of(headers.get(b"x-tenant", b"")),
            cost_hint=_read_number(headers, b"x-cost-hint") * 1000 if b"x-cost-hint" in headers else 0,
            head=head + b"X-Deadline-Ms: ",
            body=bytes(body),
        )
