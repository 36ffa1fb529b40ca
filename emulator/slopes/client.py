"""Clients on loopback: an open-loop stream of requests, and a probe of `/ready`."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import cast

import httptools
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from emulator.slopes.deployment import (
    CLIENT_TIMEOUT_MS,
    class_idempotency,
    class_name,
    exponential_quantile,
    tenant_name,
)
from emulator.slopes.sizes import Scale

Address = tuple[str, int]

MAX_RECORDED_US = 60_000_000  # upper end of the histogram
SIGNIFICANT_DIGITS = 3  # precision of the histogram
REQUEST_BODY = b"x" * 200
RESPONSE_WAIT_S = 1.5  # for pending responses, after the last request
NO_RESPONSE = 0  # in place of a status
ResponseCallback = Callable[[int, bytes], None]  # status and body


class ClientConnection(asyncio.Protocol):
    """A connection to a server, with one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.on_response: ResponseCallback | None = None

    def send_request(self, message: bytes, on_response: ResponseCallback) -> None:
        """Send a request.

        `on_response` is called once: with the response, or with NO_RESPONSE if the connection is lost before.
        """
        assert self.transport is not None
        self.on_response = on_response
        self.transport.write(message)

    def is_usable(self) -> bool:
        """Return whether a request may be sent now."""
        return self.transport is not None and not self.transport.is_closing() and self.on_response is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Callback of asyncio.Protocol."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Callback of asyncio.Protocol."""
        self.transport = None
        self._finish(NO_RESPONSE)

    def data_received(self, data: bytes) -> None:
        """Callback of asyncio.Protocol."""
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Callback of the parser."""
        self.body = b""

    def on_body(self, data: bytes) -> None:
        """Callback of the parser."""
        self.body += data

    def on_message_complete(self) -> None:
        """Callback of the parser."""
        if not self.parser.should_keep_alive() and self.transport is not None:
            self.transport.close()
        self._finish(self.parser.get_status_code())

    def _finish(self, status: int) -> None:
        on_response, self.on_response = self.on_response, None
        if on_response is not None:
            on_response(status, self.body)


async def open_connection(address: Address) -> ClientConnection:
    """Open a connection; raises OSError if that fails."""
    _, connection = await asyncio.get_running_loop().create_connection(ClientConnection, *address)
    return connection


def build_request(request_id: str, class_index: int, tenant_index: int) -> bytes:
    """Return the bytes of a request; its class determines the method and the idempotency key."""
    idempotency = class_idempotency(class_index)
    method, body = ("GET", b"") if idempotency == "pure" else ("POST", REQUEST_BODY)
    lines = [
        f"{method} /api HTTP/1.1",
        "Host: backend.local",
        f"X-Request-Id: {request_id}",
        f"X-Class: {class_name(class_index)}",
        f"X-Tenant: {tenant_name(tenant_index)}",
        f"X-Deadline-Ms: {CLIENT_TIMEOUT_MS}",
    ]
    if idempotency == "token":
        lines.append(f"Idempotency-Key: key-{request_id}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class OpenLoopClient:
    """Sends requests at random times, regardless of responses, and records the latency added to the service.

    The added latency is the time from sending a request to the last byte of its response, minus the time for
    which the photo server held the request, as the body of the response states. It is caused by the balancer,
    the network and this process.
    """

    def __init__(self, targets: list[Address], scale: Scale, seed: int) -> None:
        self.targets = targets
        self.scale = scale
        self.random = Random(seed)
        self.idle_connections: dict[Address, list[ClientConnection]] = {target: [] for target in targets}
        self.added_latency_us = HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
        self.status_counts: Counter[int] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()
        self.request_count = 0

    def reset(self) -> None:
        """Discard the records, for example after a warm-up."""
        self.added_latency_us.reset()
        self.status_counts.clear()
        self.request_count = 0

    async def run(self, seconds: float) -> None:
        """Send requests for this long; responses may still be pending on return."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        send_at = loop.time()
        while True:
            send_at += exponential_quantile(self.random.random(), 1 / self.scale.requests)
            if send_at >= end:
                return
            await asyncio.sleep(send_at - loop.time())
            task = loop.create_task(self._send_request())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def wait_for_responses(self) -> None:
        """Wait for pending responses; requests without one after RESPONSE_WAIT_S are cancelled."""
        if self.tasks:
            _, pending = await asyncio.wait(self.tasks, timeout=RESPONSE_WAIT_S)
            for task in pending:
                task.cancel()
                self._record(NO_RESPONSE, 0)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in (item for idle in self.idle_connections.values() for item in idle):
            if connection.transport is not None:
                connection.transport.close()

    async def _send_request(self) -> None:
        target = self.random.choice(self.targets)
        request_id = f"{self.random.getrandbits(64):016x}"
        message = build_request(
            request_id, self.random.randrange(self.scale.services), self.random.randrange(self.scale.tenants)
        )
        self.request_count += 1
        sent_at_ns = time.monotonic_ns()
        idle = self.idle_connections[target]
        connection = idle.pop() if idle else None
        if connection is None or not connection.is_usable():
            try:
                connection = await open_connection(target)
            except OSError:
                self._record(NO_RESPONSE, 0)
                return
        finished: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        connection.send_request(
            message, lambda status, body: self._on_response(sent_at_ns, finished, status, body)
        )
        await finished
        if connection.is_usable():
            idle.append(connection)

    def _record(self, status: int, added_ns: int) -> None:
        """Record a request; one that is not served counts with the whole client timeout."""
        self.status_counts[status] += 1
        added_us = added_ns // 1_000 if status == 200 else CLIENT_TIMEOUT_MS * 1_000
        self.added_latency_us.record_value(max(1, added_us))

    def _on_response(self, sent_at_ns: int, finished: asyncio.Future[None], status: int, body: bytes) -> None:
        if finished.cancelled():  # already recorded as NO_RESPONSE
            return
        self._record(status, time.monotonic_ns() - sent_at_ns - int(body) if status == 200 else 0)
        finished.set_result(None)


PROBE_REQUEST = b"GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n"
PROBE_INTERVAL_S = 0.001  # between a response and the next request


class ReadinessProbe:
    """Requests `/ready` repeatedly on one connection, and records the longest wait for a response."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.max_wait_s = 0.0
        self.connection: ClientConnection | None = None

    async def probe(self) -> int:
        """Send one request and return the status of its response, or NO_RESPONSE."""
        loop = asyncio.get_running_loop()
        if self.connection is None or not self.connection.is_usable():
            try:
                self.connection = await open_connection(self.address)
            except OSError:
                return NO_RESPONSE
        status: asyncio.Future[int] = loop.create_future()
        sent_at = loop.time()
        self.connection.send_request(
            PROBE_REQUEST, lambda code, _: None if status.done() else status.set_result(code)
        )
        code = await status
        self.max_wait_s = max(self.max_wait_s, time.monotonic() - sent_at)
        return code

    async def probe_for(self, seconds: float) -> float:
        """Probe repeatedly for this long, and return the longest wait in seconds."""
        loop = asyncio.get_running_loop()
        self.max_wait_s = 0.0
        end = loop.time() + seconds
        while loop.time() < end:
            await self.probe()
            await asyncio.sleep(PROBE_INTERVAL_S)
        return self.max_wait_s
