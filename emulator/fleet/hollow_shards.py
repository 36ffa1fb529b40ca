"""Connections of a hollow worker to the shards of photo servers, with attempts and results in batches."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec

from emulator.fleet.contract import Attempt, AttemptBatch, Result, ResultBatch, encode_frame, split_frames
from emulator.fleet.hollow import HollowAttempt

LOOPBACK = "127.0.0.1"

ResultReceived = Callable[[HollowAttempt, Result], None]


class ShardConnection(asyncio.Protocol):
    """One connection; what is sent waits until the next flush."""

    def __init__(self, received: ResultReceived) -> None:
        self.bytes_sent = self.bytes_received = 0
        self.is_lost = False
        self._received = received
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._decoder: msgspec.msgpack.Decoder[ResultBatch] = msgspec.msgpack.Decoder(ResultBatch)
        self._attempts: list[Attempt] = []
        self._cancelled: list[int] = []
        self._pending: dict[int, HollowAttempt] = {}
        self._numbered = 0

    @property
    def pending_count(self) -> int:
        """Attempts that are out."""
        return len(self._pending)

    def send(self, attempt: HollowAttempt, balancer: int, work_us: int, wait_us: int) -> None:
        """Queue an attempt and number it."""
        attempt.number = self._numbered
        self._numbered += 1
        self._pending[attempt.number] = attempt
        self._attempts.append(Attempt(attempt.number, attempt.server, work_us, wait_us, balancer))

    def cancel(self, attempt: HollowAttempt) -> None:
        """Queue the cancel of an attempt that is out; its result is not wanted any more."""
        if self._pending.pop(attempt.number, None) is not None:
            self._cancelled.append(attempt.number)

    def flush(self) -> None:
        """Write what has been queued."""
        if self._transport is not None and (self._attempts or self._cancelled):
            message = encode_frame(AttemptBatch(self._attempts, self._cancelled))
            self.bytes_sent += len(message)
            self._transport.write(message)
            self._attempts, self._cancelled = [], []

    def close(self) -> None:
        """Hang up."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Protocol callback."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Protocol callback."""
        self.is_lost = True

    def data_received(self, data: bytes) -> None:
        """Protocol callback: hand over each result whose attempt is still wanted."""
        self.bytes_received += len(data)
        self._buffer += data
        for body in split_frames(self._buffer):
            for result in self._decoder.decode(body).results:
                attempt = self._pending.pop(result.number, None)
                if attempt is not None:
                    self._received(attempt, result)


class ShardConnections:
    """All shards: photo server n is on shard n % shards."""

    def __init__(self, received: ResultReceived) -> None:
        self._received = received
        self._links: list[ShardConnection] = []

    async def connect(self, ports: tuple[int, ...]) -> None:
        """Open one connection to each shard."""
        loop = asyncio.get_running_loop()
        for port in ports:
            _, link = await loop.create_connection(lambda: ShardConnection(self._received), LOOPBACK, port)
            self._links.append(link)

    def connection_for(self, attempt: HollowAttempt) -> ShardConnection:
        """The link of the attempt's server."""
        return self._links[attempt.server % len(self._links)]

    def flush(self) -> None:
        """Write what has been queued for any shard."""
        for link in self._links:
            link.flush()

    def close(self) -> None:
        """Hang up on all."""
        for link in self._links:
            link.close()

    @property
    def is_lost(self) -> bool:
        """Whether any shard has hung up."""
        return any(link.is_lost for link in self._links)

    def bytes_moved(self) -> tuple[int, int]:
        """Bytes sent and received since the start."""
        return sum(link.bytes_sent for link in self._links), sum(link.bytes_received for link in self._links)
