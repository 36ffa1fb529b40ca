"""Connections of a hollow worker to the shards of photo servers; attempts and results are sent in batches."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec

from emulator.fleet.contract import Attempt, AttemptBatch, Result, ResultBatch, encode_frame, split_frames
from emulator.fleet.hollow import HollowAttempt

LOOPBACK = "127.0.0.1"

OnResult = Callable[[HollowAttempt, Result], None]


class ShardConnection(asyncio.Protocol):
    """Connection to one shard; messages are queued until the next flush."""

    def __init__(self, on_result: OnResult) -> None:
        self.bytes_sent = self.bytes_received = 0
        self.is_lost = False
        self._on_result = on_result
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._decoder: msgspec.msgpack.Decoder[ResultBatch] = msgspec.msgpack.Decoder(ResultBatch)
        self._attempts: list[Attempt] = []
        self._cancelled: list[int] = []
        self._pending: dict[int, HollowAttempt] = {}
        self._next_number = 0

    @property
    def pending_count(self) -> int:
        """Attempts without a result."""
        return len(self._pending)

    def send(self, attempt: HollowAttempt, balancer: int, work_us: int, wait_us: int) -> None:
        """Queue an attempt and set its number."""
        attempt.number = self._next_number
        self._next_number += 1
        self._pending[attempt.number] = attempt
        self._attempts.append(Attempt(attempt.number, attempt.server_number, work_us, wait_us, balancer))

    def cancel(self, attempt: HollowAttempt) -> None:
        """Queue the cancellation of an attempt, unless it has ended; drop a result that still arrives."""
        if self._pending.pop(attempt.number, None) is not None:
            self._cancelled.append(attempt.number)

    def flush(self) -> None:
        """Write the queued messages as one batch."""
        if self._transport is not None and (self._attempts or self._cancelled):
            message = encode_frame(AttemptBatch(self._attempts, self._cancelled))
            self.bytes_sent += len(message)
            self._transport.write(message)
            self._attempts, self._cancelled = [], []

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Callback of asyncio.Protocol."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Callback of asyncio.Protocol."""
        self.is_lost = True

    def data_received(self, data: bytes) -> None:
        """Callback of asyncio.Protocol: report each result whose attempt has not been cancelled."""
        self.bytes_received += len(data)
        self._buffer += data
        for body in split_frames(self._buffer):
            for result in self._decoder.decode(body).results:
                attempt = self._pending.pop(result.number, None)
                if attempt is not None:
                    self._on_result(attempt, result)


class ShardConnections:
    """Connections to all shards: photo server n is on shard n % (number of shards)."""

    def __init__(self, on_result: OnResult) -> None:
        self._on_result = on_result
        self._connections: list[ShardConnection] = []

    async def connect(self, ports: tuple[int, ...]) -> None:
        """Open one connection to each shard."""
        loop = asyncio.get_running_loop()
        for port in ports:
            _, connection = await loop.create_connection(
                lambda: ShardConnection(self._on_result), LOOPBACK, port
            )
            self._connections.append(connection)

    def connection_for(self, attempt: HollowAttempt) -> ShardConnection:
        """The connection to the shard of the attempt's server."""
        return self._connections[attempt.server_number % len(self._connections)]

    def flush(self) -> None:
        """Write the queued messages for all shards."""
        for connection in self._connections:
            connection.flush()

    def close(self) -> None:
        """Abort all connections."""
        for connection in self._connections:
            connection.close()

    @property
    def is_lost(self) -> bool:
        """Whether the connection to any shard is lost."""
        return any(connection.is_lost for connection in self._connections)

    def bytes_moved(self) -> tuple[int, int]:
        """Bytes sent and received since the start."""
        return (
            sum(connection.bytes_sent for connection in self._connections),
            sum(connection.bytes_received for connection in self._connections),
        )
