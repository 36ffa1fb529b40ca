"""Notices when the event loop got no processor time, and since when what is read then may have waited."""

from __future__ import annotations

import asyncio
import logging

log = logging.getLogger(__name__)

# Seconds between two beats. What arrives in a hold is dated back by up to so much more, and a shorter hold
# goes unnoticed: clients wait some 0.06 s beyond their time.
TICK_INTERVAL_S = 0.03
TICK_TOLERANCE_S = 0.01  # seconds by which a beat may be late without the process having been held up
MIN_LOGGED_STALL_S = 0.05  # seconds: a shorter hold is counted alone
MIN_LOG_INTERVAL_S = 1.0  # seconds between two lines that tell of holds


class StallDetector:
    """Dates what has just been read from a socket; all times are seconds of the loop's clock.

    That clock stands still while callbacks run. It is set when the loop comes back from waiting, so that
    bytes which arrived while the process was held up seem to have come at the end of the hold: a request
    would be given time that its client no longer has. The loop is known to have looked at its sockets, and
    found nothing there, at each beat; after a gap without one the bytes may have come at any time since.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._last_tick = loop.time()
        self._stalled_since: float | None = None  # until the sockets have been looked at after a hold
        self._timer = loop.call_later(TICK_INTERVAL_S, self._tick)
        self._logged_at = float("-inf")  # when the log last told of a hold
        self.stall_count = 0  # since the start

    def earliest_arrival(self) -> float:
        """Since when the bytes that a protocol has been handed just now may have waited."""
        now = self._loop.time()
        if self._stalled_since is not None:
            return self._stalled_since
        # The loop comes back from waiting to its sockets first, and to its timers after that.
        return self._last_tick if self._is_tick_overdue(now) else now

    def close(self) -> None:
        """End the beats."""
        self._timer.cancel()

    def _is_tick_overdue(self, now: float) -> bool:
        return now - self._last_tick > TICK_INTERVAL_S + TICK_TOLERANCE_S

    def _tick(self) -> None:
        now = self._loop.time()
        if self._is_tick_overdue(now):
            self._record_stall(now)
        self._last_tick = now
        self._timer = self._loop.call_later(TICK_INTERVAL_S, self._tick)

    def _record_stall(self, now: float) -> None:
        self.stall_count += 1
        self._stalled_since = self._last_tick
        # Called before the loop looks at its sockets, so the second turn from here comes after that.
        self._loop.call_soon(self._loop.call_soon, self._clear_stall)
        length = now - self._last_tick - TICK_INTERVAL_S
        if length > MIN_LOGGED_STALL_S and now - self._logged_at >= MIN_LOG_INTERVAL_S:
            self._logged_at = now
            log.warning("held up for %.0f ms; %d times since the start", length * 1000, self.stall_count)

    def _clear_stall(self) -> None:
        self._stalled_since = None
