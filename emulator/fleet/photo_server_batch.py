"""Receives batches of attempts of hollow balancers, over one TCP connection from each hollow worker."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec

from emulator.fleet.contract import AttemptBatch, Result, ResultBatch, encode_frame, split_frames
from emulator.fleet.photo_server_group import PhotoServerGroup, TrackedAttempt

MAX_UNPARSED_BYTES = 16 * 1024 * 1024  # of a batch that is still incomplete
CANCEL_RETENTION_S = 1.0  # an attempt is kept this long after its timeout, as a cancel may still arrive


class BatchConnection(asyncio.Protocol):
    """Connection of one hollow worker."""

    def __init__(
        self,
        group: PhotoServerGroup,
        now_s: Callable[[], float],
        on_change: Callable[[], None],
        connections: set[BatchConnection],
    ) -> None:
        self._group = group
        self._now_s = now_s
        self._on_change = on_change  # called when deadlines or results may have been added
        self._connections = connections
        self._decoder: msgspec.msgpack.Decoder[AttemptBatch] = msgspec.msgpack.Decoder(AttemptBatch)
        self._received = bytearray()
        self._open_attempts: dict[int, TrackedAttempt] = {}
        self._results: list[Result] = []
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Callback of asyncio.Protocol."""
        self._transport = cast(asyncio.Transport, transport)
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Callback of asyncio.Protocol: the worker has ended, so cancel its attempts."""
        self._transport = None
        self._connections.discard(self)
        for attempt in self._open_attempts.values():
            self._group.cancel(attempt)
        self._open_attempts.clear()

    def data_received(self, data: bytes) -> None:
        """Callback of asyncio.Protocol."""
        self._received += data
        try:
            for body in split_frames(self._received):
                self._handle_batch(self._decoder.decode(body))
        except msgspec.DecodeError:
            self.abort()
        if len(self._received) > MAX_UNPARSED_BYTES:
            self.abort()
        self._on_change()

    def deliver(self, attempt: TrackedAttempt) -> None:
        """Part of `ResultReceiver`."""
        if self._open_attempts.pop(attempt.number, None) is not None and attempt.outcome is not None:
            service_us = int(attempt.service_s * 1e6)
            name = attempt.outcome.name
            self._results.append(Result(attempt.number, name, attempt.in_flight, service_us))

    def flush(self) -> None:
        """Send the results received since the last flush."""
        if self._results and self._transport is not None:
            self._transport.write(encode_frame(ResultBatch(self._results)))
        self._results = []

    def forget_expired(self, now_s: float) -> None:
        """Cancel attempts whose timeout passed more than `CANCEL_RETENTION_S` ago."""
        expired = [
            number
            for number, attempt in self._open_attempts.items()
            if attempt.deadline_s < now_s - CANCEL_RETENTION_S
        ]
        for number in expired:
            self._group.cancel(self._open_attempts.pop(number))

    def _handle_batch(self, batch: AttemptBatch) -> None:
        now_s = self._now_s()
        for attempt in batch.attempts:
            if not self._group.is_known_pair(attempt.server, attempt.balancer):
                self.abort()
                return
            self._open_attempts[attempt.number] = self._group.submit(
                now_s,
                self,
                attempt.number,
                attempt.server,
                attempt.balancer,
                attempt.work_us / 1e6,
                attempt.wait_us / 1e6,
            )
        for number in batch.cancelled:
            cancelled = self._open_attempts.pop(number, None)
            if cancelled is not None:
                self._group.cancel(cancelled)

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()
