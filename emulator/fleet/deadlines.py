"""Many deadlines behind one timer of the event loop."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from typing import Protocol

# The grain of the event loop's timers: a shorter wait would be none, and the loop would spin.
MIN_WAIT_S = 0.001


class DeadlineOwner(Protocol):
    """Something with deadlines of its own, in seconds of the scenario."""

    def next_deadline(self) -> float | None:
        """The earliest deadline; None if there is none."""

    def advance(self, now_s: float) -> None:
        """Do everything that is due."""


class DeadlineTimer:
    """Calls `advance` of one object at its deadlines."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float], owner: DeadlineOwner
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._owner = owner
        self._timer: asyncio.TimerHandle | None = None
        self._armed_for = float("inf")

    def rearm(self) -> None:
        """Set the timer for the earliest deadline; to be called after anything that may have added one."""
        deadline = self._owner.next_deadline()
        if deadline is None or deadline >= self._armed_for:
            return
        self.stop()
        wait = max(MIN_WAIT_S, deadline - self._clock())
        self._armed_for = deadline
        self._timer = self._loop.call_later(wait, self._fire)

    def stop(self) -> None:
        """Call nothing any more, until armed again."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer, self._armed_for = None, float("inf")

    def _fire(self) -> None:
        self._timer, self._armed_for = None, float("inf")
        self._owner.advance(self._clock())
        self.rearm()


class DeadlineHeap:
    """Callbacks by deadline; equal deadlines are served in the order in which they were added."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[float], None]]] = []
        self._added = 0

    def add(self, at_s: float, callback: Callable[[float], None]) -> None:
        """Call back with the deadline, once it has come."""
        self._added += 1
        heapq.heappush(self._heap, (at_s, self._added, callback))

    def next_deadline(self) -> float | None:
        """The earliest deadline; None if there is none."""
        return self._heap[0][0] if self._heap else None

    def advance(self, now_s: float) -> None:
        """Serve everything that is due, with what it adds on the way."""
        heap = self._heap
        while heap and heap[0][0] <= now_s:
            at_s, _, callback = heapq.heappop(heap)
            callback(at_s)
