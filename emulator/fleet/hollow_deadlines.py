"""Timers of one process in one heap, driven by whoever owns the clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

Clock = Callable[[], int]  # nanoseconds, never backwards


class Deadlines:
    """Calls back what has come due, in order of its time; entries cannot be taken back."""

    def __init__(self) -> None:
        self._entries: list[tuple[int, int, Callable[[int], None]]] = []
        self._sequence = count()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, at: int, callback: Callable[[int], None]) -> None:
        """Call `callback` with the time of the call, once `at` has passed."""
        heapq.heappush(self._entries, (at, next(self._sequence), callback))

    def next_at(self) -> int | None:
        """When the earliest entry comes due; None if there is none."""
        return self._entries[0][0] if self._entries else None

    def run_due(self, clock: Clock, limit: int) -> int:
        """Call what has come due, `limit` entries at most; the number that were called."""
        entries = self._entries
        for called in range(limit):
            if not entries or entries[0][0] > clock():
                return called
            heapq.heappop(entries)[2](clock())
        return limit
