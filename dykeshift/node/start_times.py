"""Converts the Unix times at which servers started to times of this process's monotonic clock.

The wall clock of this machine may be wrong when the process starts, even by an hour. If server ages then come
out too high, a cold server gets the load of a warm one; if too low, a server counts as cold for an hour.
Converted times are therefore checked against two known facts: no server started in the future, and a server
that was missing from the previous list has only just started.
"""

from __future__ import annotations

import time
from bisect import bisect_right

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
MAX_CLOCK_SKEW_NS = 1 * NS_PER_S  # by which clocks of other machines may be ahead
# A server that the last list did not name may have started this long before that list was read. One that is
# reported later than this is taken for newer than it is, because a wall clock that is seconds ahead looks
# the same.
MAX_REPORT_DELAY_NS = 3 * NS_PER_S // 2
MAX_CORRECTIONS = 10_000  # the newest are kept


class StartTimeConverter:
    """Holds one clock offset, and corrected ones from start times that showed the wall clock to be wrong.

    The converted time of a start must never change, because a later time means that the server was restarted.
    A correction therefore applies only to starts later than all starts known before it. If the wall clock is
    ahead when this process starts, the servers listed then get no correction: nothing contradicts the clock.
    """

    def __init__(self) -> None:
        self._offsets = [time.monotonic_ns() - time.time_ns()]
        self._offset_from_ms = [0]  # the start from which on the offset of the same index applies
        self._newest_start_ms = 0
        self._list_read_at_ns: int | None = None  # monotonic

    def note_list_read(self) -> None:
        """Record that a list has been read: servers not named in it were not known until now."""
        self._list_read_at_ns = time.monotonic_ns()

    def monotonic_start_ns(self, unix_ms: int) -> int:
        """Convert a server's start to nanoseconds of the monotonic clock; 0, meaning long ago, stays 0."""
        if not unix_ms:
            return 0
        started_unix_ns = unix_ms * NS_PER_MS
        started_ns = started_unix_ns + self._offsets[bisect_right(self._offset_from_ms, unix_ms) - 1]
        if unix_ms > self._newest_start_ms:
            now_ns = time.monotonic_ns()
            if self._contradicts(now_ns, started_ns):
                started_ns = now_ns  # the latest possible: the server may be taken for colder than it is
                self._offset_from_ms.append(self._newest_start_ms + 1)
                self._offsets.append(now_ns - started_unix_ns)
                if len(self._offset_from_ms) > MAX_CORRECTIONS:
                    del self._offset_from_ms[1], self._offsets[1]
            self._newest_start_ms = unix_ms
        return max(1, started_ns)

    def _contradicts(self, now_ns: int, started_ns: int) -> bool:
        """Whether a server that was not known before cannot have started at this monotonic time."""
        if started_ns > now_ns + MAX_CLOCK_SKEW_NS:
            return True
        return self._list_read_at_ns is not None and started_ns < self._list_read_at_ns - MAX_REPORT_DELAY_NS
