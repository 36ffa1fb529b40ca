"""Simulated clients of a soak run.

They keep their connections alive. Some abandon requests, some send a request in two parts, some stay idle.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random

from emulator.soak.connections import CONNECTION_ERRORS
from emulator.soak.records import Idempotency, RequestRecord, RunRecords

CLASS_NAMES = {Idempotency.SAFE: "read", Idempotency.KEYED: "write", Idempotency.UNSAFE: "order"}
# The simulated clients wait this long beyond their timeout, to record late responses too. A request without a
# response by then is lost.
RESPONSE_WAIT_MARGIN_S = 2.0
SPLIT_WRITE_PAUSE_S = 0.004  # between the two parts of a request
MAX_START_DELAY_S = 1.0  # starting all clients at once would delay the process that records them
RETRY_ID_SUFFIX = "-again"  # appended to the id of a request that is sent again


@dataclass(frozen=True, slots=True)
class ClientProfile:
    """How the clients of a run behave."""

    client_count: int
    mean_think_time_s: float  # between two requests of a client
    abandon_share: float  # of the requests: the client may close the connection within its timeout
    split_write_share: float  # of the requests: sent in two parts
    idle_client_count: int  # clients that keep a connection open without sending a request
    client_timeouts_s: dict[Idempotency, float]  # longest client timeout of each class


class ClientConnection:
    """A client's connection to one balancer."""

    def __init__(
        self, balancer_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.balancer_index = balancer_index
        self.reader = reader
        self.writer = writer
        self.response_count = 0
        self.is_open = True

    def close(self) -> None:
        """Close the connection, as a client does that abandons its request."""
        self.is_open = False
        self.writer.transport.abort()


class Clients:
    """All clients of a run.

    `addresses` are those of the balancers; `is_in_service` tells, by index, which balancers the front load
    balancer assigns new connections to.
    """

    def __init__(
        self,
        client_profile: ClientProfile,
        addresses: list[tuple[str, int]],
        is_in_service: Callable[[int], bool],
        run_records: RunRecords,
        random: Random,
    ) -> None:
        self.client_profile = client_profile
        self.addresses = addresses
        self.is_in_service = is_in_service
        self.run_records = run_records
        self.random = random
        self.request_numbers = itertools.count()
        self.stopping = False

    async def run(self, until: float) -> None:
        """Send requests until this time, and wait for the last responses."""
        tasks = [
            asyncio.create_task(self._run_client(until)) for _ in range(self.client_profile.client_count)
        ]
        tasks += [
            asyncio.create_task(self._run_idle_client(until))
            for _ in range(self.client_profile.idle_client_count)
        ]
        await asyncio.gather(*tasks)

    # ---- clients ----

    async def _run_client(self, until: float) -> None:
        connection: ClientConnection | None = None
        await asyncio.sleep(self.random.uniform(0.0, MAX_START_DELAY_S))
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(1 / self.client_profile.mean_think_time_s))
            if connection is None or not connection.is_open or connection.reader.at_eof():
                if connection is not None:
                    connection.close()
                connection = await self._connect()
            if connection is not None:
                await self._request_photo(connection)
        if connection is not None:
            connection.close()

    async def _run_idle_client(self, until: float) -> None:
        while time.monotonic() < until:
            connection = await self._connect()
            if connection is not None:
                with suppress(TimeoutError, *CONNECTION_ERRORS):
                    async with asyncio.timeout(max(0.0, until - time.monotonic())):
                        await connection.reader.read()
                connection.close()
            await asyncio.sleep(self.random.uniform(0.05, 0.2))

    async def _connect(self) -> ClientConnection | None:
        candidates = [index for index in range(len(self.addresses)) if self.is_in_service(index)]
        if not candidates:
            return None
        balancer_index = self.random.choice(candidates)
        try:
            return ClientConnection(
                balancer_index, *await asyncio.open_connection(*self.addresses[balancer_index])
            )
        except OSError:
            return None

    # ---- requests ----

    async def _request_photo(self, connection: ClientConnection) -> None:
        idempotency = self.random.choice(list(Idempotency))
        client_timeout_s = self.client_profile.client_timeouts_s[idempotency] * self.random.uniform(0.5, 1.0)
        record = await self._send(connection, f"q{next(self.request_numbers)}", idempotency, client_timeout_s)
        was_unanswered = (
            record.status is None and record.client_closed_at is None and not record.response_bytes
        )
        # The balancer may have closed the idle connection while the request was on its way.
        if was_unanswered and record.earlier_response_count:
            retry_connection = await self._connect()
            if retry_connection is not None:
                record.retry_id = record.id + RETRY_ID_SUFFIX
                await self._send(retry_connection, record.retry_id, idempotency, client_timeout_s)
                retry_connection.close()

    async def _send(
        self, connection: ClientConnection, request_id: str, idempotency: Idempotency, client_timeout_s: float
    ) -> RequestRecord:
        record = RequestRecord(
            request_id, connection.balancer_index, idempotency, client_timeout_s, connection.response_count
        )
        abandons = self.random.random() < self.client_profile.abandon_share
        wait_s = (
            self.random.uniform(0.0, client_timeout_s)
            if abandons
            else client_timeout_s + RESPONSE_WAIT_MARGIN_S
        )
        try:
            await self._write(connection, _build_message(record))
            record.sent_at = time.monotonic()
            self.run_records.requests[request_id] = record
            async with asyncio.timeout(wait_s):
                await self._read_response(connection, record)
            connection.response_count += 1
        except TimeoutError:
            connection.close()
            record.client_closed_at = time.monotonic() if abandons else None
        except (*CONNECTION_ERRORS, ValueError):
            connection.close()
            record.ended_at = time.monotonic()
        return record

    async def _write(self, connection: ClientConnection, message: bytes) -> None:
        if self.random.random() < self.client_profile.split_write_share:
            split_at = self.random.randrange(1, len(message))
            connection.writer.write(message[:split_at])
            await asyncio.sleep(SPLIT_WRITE_PAUSE_S)
            message = message[split_at:]
        connection.writer.write(message)

    @staticmethod
    async def _read_response(connection: ClientConnection, record: RequestRecord) -> None:
        reader = connection.reader
        first_byte = await reader.readexactly(1)
        record.response_bytes = 1
        lines = (first_byte + await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {
            key.lower(): value.strip() for key, _, value in (line.partition(":") for line in lines[1:])
        }
        body = await reader.readexactly(int(headers["content-length"]))
        record.ended_at, record.body = time.monotonic(), body
        record.status = int(lines[0].split()[1])
        record.response_bytes += len(body)
        if headers.get("connection") == "close":
            connection.close()


def _build_message(record: RequestRecord) -> bytes:
    lines = [
        f"{'GET' if record.idempotency is Idempotency.SAFE else 'POST'} /photo HTTP/1.1",
        "Host: backend.local",
        f"X-Request-Id: {record.id}",
        f"X-Class: {CLASS_NAMES[record.idempotency]}",
        "X-Tenant: acme",
        f"X-Deadline-Ms: {int(record.client_timeout_s * 1000)}",
    ]
    if record.idempotency is Idempotency.KEYED:
        lines.append(f"Idempotency-Key: key-{record.id.removesuffix(RETRY_ID_SUFFIX)}")
    if record.idempotency is not Idempotency.SAFE:
        lines.append("Content-Length: 0")
    return "\r\n".join([*lines, "", ""]).encode()
