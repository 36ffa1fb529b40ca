"""Sends full lists to a few balancers at a time.

Each agent of a real fleet runs on its own machine. In the emulator all agents and many balancers share a few
processes. If all balancers ask for the full list at once and all are answered at once, each with a list of a
megabyte, every list arrives too late: all calls time out, and all balancers ask again.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

LARGE_RESPONSE_BYTES = 64 * 1024  # a response of at least this size waits for a slot
MAX_CONCURRENT_TRANSFERS = 8
TRANSFER_SLOT_S = 0.1  # a slot is freed after this time if its balancer has not called again


class Receiver(Protocol):
    """Connection that a response is written to."""

    def has_disconnected(self) -> bool:
        """Whether the balancer has closed the connection, even if the event loop has not noticed it yet."""

    def write(self, body: bytes) -> None:
        """Write a response with this body, unless the connection is closed."""


class TransferQueue:
    """Limits the number of concurrent large responses.

    The newest call gets the next slot, as the oldest calls are about to time out.
    """

    def __init__(self, call_later: Callable[[float, Callable[[], None]], object]) -> None:
        self._call_later = call_later
        self._waiting: dict[Receiver, bytes] = {}
        self._active: dict[Receiver, object] = {}

    def send(self, receiver: Receiver, body: bytes) -> None:
        """Write a response at once if it is small or a slot is free, else when it gets a slot."""
        if len(body) < LARGE_RESPONSE_BYTES:
            receiver.write(body)
            return
        self._waiting[receiver] = body
        self._start_next()

    def finish(self, receiver: Receiver) -> None:
        """Free the slot of a receiver that called again or disconnected, and drop its waiting response."""
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
