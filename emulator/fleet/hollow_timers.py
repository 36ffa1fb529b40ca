"""Timers of one process in one heap, driven by whoever owns the clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

NanosecondClock = Callable[[], int]  # nanoseconds, never backwards


class TimerQueue:
    """Calls back what has come due, in order of its time; entries cannot be taken back."""

    def __init__(self) -> None:
        self._entries: list[tuple[int, int, Callable[[int], None]]] = []
        self._sequence = count()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, at: int, callback: Callable[[int], None]) -> None:
        """Call `callback` with the time of the call, once `at` has passed."""
        heapq.heappush(self._entries, (at, next(self._sequence), callback))

    def next_due_at(self) -> int | None:
        """When the earliest entry comes due; None if there is none."""
        return self._entries[0][0] if self._entries else None

    def run_due(self, clock: NanosecondClock, until: int) -> bool:
        """Call what has come due, but no more once it is `until`; whether any is left."""
        entries = self._entries
        now = clock()
        while entries and entries[0][0] <= now:
            if now > until:
                return True
            heapq.heappop(entries)[2](now)
            now = clock()
        return False
