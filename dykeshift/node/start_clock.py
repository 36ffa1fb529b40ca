"""Turns the Unix times at which servers started into times of this process's monotonic clock.

The wall clock of this machine may be off when the process starts, by an hour even. A server's age then reads
as too high, and a cold server gets the load of a warm one, or as too low, and it counts as cold for an hour.
So what the wall clock says is held against what is known: no server has started in the future, and one that
was not listed a moment ago has just started, as far as anybody can tell.
"""

from __future__ import annotations

import time
from bisect import bisect_right

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
MAX_CLOCK_SKEW_NS = 1 * NS_PER_S  # by which other machines' clocks may be ahead of this one's
# By which a start that nobody had heard of may lie before the last list was read. One that was told later
# is taken for newer than it is: a wall clock that is ahead by seconds looks just like that.
MAX_REPORT_DELAY_NS = 3 * NS_PER_S // 2
MAX_CORRECTIONS = 10_000  # corrections, the newest


class StartTimeConverter:
    """One offset for all starts, and others for starts that showed the wall clock to be off.

    The time that a start is turned into never changes, as a later one means that the server was restarted: a
    correction holds for starts that are later than all that were heard of before. What is listed when this
    process starts, with a clock that is ahead, stays unnoticed: nothing there contradicts the clock.
    """

    def __init__(self) -> None:
        self._offsets = [time.monotonic_ns() - time.time_ns()]  # from the start of the same index on
        self._offset_from_ms = [0]
        self._newest_start_ms = 0
        self._list_read_at_ns: int | None = None  # monotonic

    def note_list_read(self) -> None:
        """A list has been read: what it does not name had not been told until now."""
        self._list_read_at_ns = time.monotonic_ns()

    def monotonic_start_ns(self, unix_ms: int) -> int:
        """When the server started, in nanoseconds of the monotonic clock; 0 for 0, which says long ago."""
        if not unix_ms:
            return 0
        began = unix_ms * NS_PER_MS
        started = began + self._offsets[bisect_right(self._offset_from_ms, unix_ms) - 1]
        if unix_ms > self._newest_start_ms:
            now = time.monotonic_ns()
            if self._contradicts(now, started):
                started = now  # the latest possible: taken for colder than it is, if anything
                self._offset_from_ms.append(self._newest_start_ms + 1)
                self._offsets.append(now - began)
                if len(self._offset_from_ms) > MAX_CORRECTIONS:
                    del self._offset_from_ms[1], self._offsets[1]
            self._newest_start_ms = unix_ms
        return max(1, started)

    def _contradicts(self, now: int, started: int) -> bool:
        """Whether a server of which nobody had heard before cannot have started then."""
        if started > now + MAX_CLOCK_SKEW_NS:
            return True
        return self._list_read_at_ns is not None and started < self._list_read_at_ns - MAX_REPORT_DELAY_NS
