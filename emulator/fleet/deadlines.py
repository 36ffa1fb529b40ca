"""Any number of deadlines with one timer of the event loop."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from typing import Protocol

# Resolution of the event loop's timers: a shorter wait would end at once, and the loop would spin.
MIN_WAIT_S = 0.001


class DeadlineOwner(Protocol):
    """An object with deadlines, in seconds since the start of the scenario."""

    def next_deadline(self) -> float | None:
        """The earliest deadline; None if there is none."""

    def advance(self, now_s: float) -> None:
        """Process all deadlines up to `now_s`."""


class DeadlineTimer:
    """Calls `advance` of a `DeadlineOwner` at its deadlines."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float], owner: DeadlineOwner
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._owner = owner
        self._timer: asyncio.TimerHandle | None = None
        self._timer_deadline = float("inf")

    def rearm(self) -> None:
        """Set the timer to the earliest deadline. Call this whenever a deadline may have been added."""
        deadline = self._owner.next_deadline()
        if deadline is None or deadline >= self._timer_deadline:
            return
        self.stop()
        wait = max(MIN_WAIT_S, deadline - self._clock())
        self._timer_deadline = deadline
        self._timer = self._loop.call_later(wait, self._fire)

    def stop(self) -> None:
        """Cancel the timer, until `rearm` is called."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer, self._timer_deadline = None, float("inf")

    def _fire(self) -> None:
        self._timer, self._timer_deadline = None, float("inf")
        self._owner.advance(self._clock())
        self.rearm()


class DeadlineHeap:
    """Callbacks ordered by deadline, and by order of adding among equal deadlines."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callable[[float], None]]] = []
        self._added = 0

    def add(self, at_s: float, callback: Callable[[float], None]) -> None:
        """Call `callback` with its deadline once the deadline has passed."""
        self._added += 1
        heapq.heappush(self._heap, (at_s, self._added, callback))

    def next_deadline(self) -> float | None:
        """The earliest deadline; None if there is none."""
        return self._heap[0][0] if self._heap else None

    def advance(self, now_s: float) -> None:
        """Run all callbacks that are due, including those that they add."""
        heap = self._heap
        while heap and heap[0][0] <= now_s:
            at_s, _, callback = heapq.heappop(heap)
            callback(at_s)
