"""Whole lists are sent to a few balancers at a time.

Each agent of a real fleet answers on a machine of its own. Here all of them, and many balancers, share a few
processes: when all ask at once, a list of a megabyte for each would arrive everywhere too late, all calls
would be given up, and all would ask again.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

LARGE_RESPONSE_BYTES = 64 * 1024  # bytes from which an answer waits for its turn
MAX_CONCURRENT_TRANSFERS = 8
TRANSFER_SLOT_S = 0.1  # after which a balancer that has not called again no longer holds up others


class Receiver(Protocol):
    """A connection that an answer is written to."""

    def has_disconnected(self) -> bool:
        """Whether the balancer has closed the connection, be it that the event loop has not seen it yet."""

    def write(self, body: bytes) -> None:
        """Write the answer with this body; does nothing if the connection is gone."""


class TransferQueue:
    """Gives turns to large answers, the newest first: the oldest calls are about to be given up."""

    def __init__(self, call_later: Callable[[float, Callable[[], None]], object]) -> None:
        self._call_later = call_later
        self._waiting: dict[Receiver, bytes] = {}
        self._active: dict[Receiver, object] = {}

    def send(self, receiver: Receiver, body: bytes) -> None:
        """Write an answer now, or when its turn comes."""
        if len(body) < LARGE_RESPONSE_BYTES:
            receiver.write(body)
            return
        self._waiting[receiver] = body
        self._start_next()

    def finish(self, receiver: Receiver) -> None:
        """The receiver has called again, or is gone."""
        self._waiting.pop(receiver, None)
        if self._active.pop(receiver, None) is not None:
            self._start_next()

    def _start_next(self) -> None:
        while self._waiting and len(self._active) < MAX_CONCURRENT_TRANSFERS:
            receiver, body = self._waiting.popitem()
            if receiver.has_disconnected():
                continue
            slot = self._active[receiver] = object()
            receiver.write(body)
            self._call_later(TRANSFER_SLOT_S, partial(self._end_slot, receiver, slot))

    def _end_slot(self, receiver: Receiver, slot: object) -> None:
        if self._active.get(receiver) is slot:
            self.finish(receiver)
