"""Clients on loopback: an open-loop stream of requests, and pings of `/ready`."""

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
    REQUEST_TIMEOUT_MS,
    class_idempotency,
    class_name,
    exponential_quantile,
    tenant_name,
)
from emulator.slopes.sizes import Scale

Address = tuple[str, int]

MAX_RECORDED_US = 60_000_000  # that the histogram can tell
DIGITS = 3
BODY = b"x" * 200
SETTLE_SECONDS = 1.5  # after the last request, for its answer to come
NO_RESPONSE = 0  # in place of a status
ResponseCallback = Callable[[int, bytes], None]  # status and body


class ClientConnection(asyncio.Protocol):
    """One connection with one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.done: ResponseCallback | None = None

    def send_request(self, message: bytes, done: ResponseCallback) -> None:
        """Send a request; `done` is called once."""
        assert self.transport is not None
        self.done = done
        self.transport.write(message)

    def is_usable(self) -> bool:
        """Whether another request may be sent on it."""
        return self.transport is not None and not self.transport.is_closing() and self.done is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the loop."""
        self.transport = None
        self._finish(NO_RESPONSE)

    def data_received(self, data: bytes) -> None:
        """Called by the loop."""
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self.body = b""

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        self.body += data

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if not self.parser.should_keep_alive() and self.transport is not None:
            self.transport.close()
        self._finish(self.parser.get_status_code())

    def _finish(self, status: int) -> None:
        done, self.done = self.done, None
        if done is not None:
            done(status, self.body)


async def open_connection(address: Address) -> ClientConnection:
    """A new connection."""
    _, connection = await asyncio.get_running_loop().create_connection(ClientConnection, *address)
    return connection


def build_request(rid: str, klass: int, tenant: int) -> bytes:
    """A client's request as the protocol wants it: the class decides method and key."""
    kind = class_idempotency(klass)
    method, body = ("GET", b"") if kind == "pure" else ("POST", BODY)
    lines = [
        f"{method} /api HTTP/1.1",
        "Host: backend.local",
        f"X-Request-Id: {rid}",
        f"X-Class: {class_name(klass)}",
        f"X-Tenant: {tenant_name(tenant)}",
        f"X-Deadline-Ms: {REQUEST_TIMEOUT_MS}",
    ]
    if kind == "token":
        lines.append(f"Idempotency-Key: key-{rid}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class OpenLoopClient:
    """Sends at random times whatever comes back, and keeps what each answer took beyond the service.

    The added time runs from the sending to the answer's last byte, less what the photo server says that
    it held the request: what is left is the balancer, the network and this process.
    """

    def __init__(self, targets: list[Address], scale: Scale, seed: int) -> None:
        self.targets = targets
        self.scale = scale
        self.random = Random(seed)
        self.idle_connections: dict[Address, list[ClientConnection]] = {target: [] for target in targets}
        self.added_latency = HdrHistogram(1, MAX_RECORDED_US, DIGITS)
        self.status_counts: Counter[int] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()
        self.request_count = 0

    def reset(self) -> None:
        """Forget what was recorded, as after a warm-up."""
        self.added_latency.reset()
        self.status_counts.clear()
        self.request_count = 0

    async def run(self, seconds: float) -> None:
        """Send for so long, then wait a little for the last answers."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        due = loop.time()
        while True:
            due += exponential_quantile(self.random.random(), 1 / self.scale.requests)
            if due >= end:
                return
            await asyncio.sleep(due - loop.time())
            task = loop.create_task(self._ask())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def wait_for_responses(self) -> None:
        """Wait for the answers that are still out; those that do not come are given up."""
        if self.tasks:
            _, late = await asyncio.wait(self.tasks, timeout=SETTLE_SECONDS)
            for task in late:
                task.cancel()
                self._record(NO_RESPONSE, 0)

    def close(self) -> None:
        """Close the connections that are idle."""
        for connection in (one for idle in self.idle_connections.values() for one in idle):
            if connection.transport is not None:
                connection.transport.close()

    async def _ask(self) -> None:
        target = self.random.choice(self.targets)
        rid = f"{self.random.getrandbits(64):016x}"
        message = build_request(
            rid, self.random.randrange(self.scale.services), self.random.randrange(self.scale.tenants)
        )
        self.request_count += 1
        began = time.monotonic_ns()
        idle = self.idle_connections[target]
        connection = idle.pop() if idle else None
        if connection is None or not connection.is_usable():
            try:
                connection = await open_connection(target)
            except OSError:
                self._record(NO_RESPONSE, 0)
                return
        ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        connection.send_request(message, lambda status, body: self._ended(began, ended, status, body))
        await ended
        if connection.is_usable():
            idle.append(connection)

    def _record(self, status: int, added: int) -> None:
        """Count one request; what is not served counts as the client's whole patience."""
        self.status_counts[status] += 1
        added_us = added // 1_000 if status == 200 else REQUEST_TIMEOUT_MS * 1_000
        self.added_latency.record_value(max(1, added_us))

    def _ended(self, began: int, ended: asyncio.Future[None], status: int, body: bytes) -> None:
        if ended.cancelled():  # given up and counted already
            return
        self._record(status, time.monotonic_ns() - began - int(body) if status == 200 else 0)
        ended.set_result(None)


PING = b"GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n"
PING_PAUSE = 0.001  # seconds between an answer and the next ping


class ReadinessProbe:
    """Asks for `/ready` again and again on one connection, and keeps the longest wait for an answer."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.max_wait_s = 0.0  # seconds
        self.connection: ClientConnection | None = None

    async def probe(self) -> int:
        """One ping; its status, or NO_ANSWER."""
        loop = asyncio.get_running_loop()
        if self.connection is None or not self.connection.is_usable():
            try:
                self.connection = await open_connection(self.address)
            except OSError:
                return NO_RESPONSE
        status: asyncio.Future[int] = loop.create_future()
        began = loop.time()
        self.connection.send_request(PING, lambda code, _: None if status.done() else status.set_result(code))
        code = await status
        self.max_wait_s = max(self.max_wait_s, time.monotonic() - began)
        return code

    async def probe_for(self, seconds: float) -> float:
        """Ping for so long; the longest wait within it."""
        loop = asyncio.get_running_loop()
        self.max_wait_s = 0.0
        end = loop.time() + seconds
        while loop.time() < end:
            await self.probe()
            await asyncio.sleep(PING_PAUSE)
        return self.max_wait_s
