"""Timers of one process in a heap, run by the owner of the clock. Times are in nanoseconds."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

NanosecondClock = Callable[[], int]  # monotonic, in nanoseconds


class TimerQueue:
    """Calls back in order of the due times; an entry cannot be cancelled."""

    def __init__(self) -> None:
        self._entries: list[tuple[int, int, Callable[[int], None]]] = []
        self._sequence = count()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, at: int, callback: Callable[[int], None]) -> None:
        """Call `callback` with the current time, once `at` has passed."""
        heapq.heappush(self._entries, (at, next(self._sequence), callback))

    def next_due_at(self) -> int | None:
        """Due time of the earliest entry; None if there is none."""
        return self._entries[0][0] if self._entries else None

    def run_due(self, clock: NanosecondClock, until: int) -> bool:
        """Run the entries that are due, stopping at `until`; returns whether any due entry is left."""
        entries = self._entries
        now = clock()
        while entries and entries[0][0] <= now:
            if now > until:
                return True
            heapq.heappop(entries)[2](now)
            now = clock()
        return False
