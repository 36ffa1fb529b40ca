"""Whole lists are sent to a few balancers at a time.

Each agent of a real fleet answers on a machine of its own. Here all of them, and many balancers, share a few
processes: when all ask at once, a list of a megabyte for each would arrive everywhere too late, all calls
would be given up, and all would ask again.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

LARGE = 64 * 1024  # bytes from which an answer waits for its turn
MOST_AT_ONCE = 8
TURN_S = 0.1  # after which a balancer that has not called again no longer holds up others


class Receiver(Protocol):
    """A connection that an answer is written to."""

    def has_given_up(self) -> bool:
        """Whether the balancer has closed the connection, be it that the event loop has not seen it yet."""

    def write(self, body: bytes) -> None:
        """Write the answer with this body; does nothing if the connection is gone."""


class Transfers:
    """Gives turns to large answers, the newest first: the oldest calls are about to be given up."""

    def __init__(self, call_later: Callable[[float, Callable[[], None]], object]) -> None:
        self._call_later = call_later
        self._waiting: dict[Receiver, bytes] = {}
        self._active: dict[Receiver, object] = {}

    def send(self, receiver: Receiver, body: bytes) -> None:
        """Write an answer now, or when its turn comes."""
        if len(body) < LARGE:
            receiver.write(body)
            return
        self._waiting[receiver] = body
        self._fill()

    def finished(self, receiver: Receiver) -> None:
        """The receiver has called again, or is gone."""
        self._waiting.pop(receiver, None)
        if self._active.pop(receiver, None) is not None:
            self._fill()

    def _fill(self) -> None:
        while self._waiting and len(self._active) < MOST_AT_ONCE:
            receiver, body = self._waiting.popitem()
            if receiver.has_given_up():
                continue
            turn = self._active[receiver] = object()
            receiver.write(body)
            self._call_later(TURN_S, partial(self._end_turn, receiver, turn))

    def _end_turn(self, receiver: Receiver, turn: object) -> None:
        if self._active.get(receiver) is turn:
            self.finished(receiver)
