"""Detects stalls, in which the process got no processor time, and dates the input that arrived in them."""

from __future__ import annotations

import asyncio
import logging

log = logging.getLogger(__name__)

# The time computed for input that arrives in a stall may be too early by up to this much, and shorter stalls
# are not detected. Both errors stay below the 0.06 s or so that clients wait beyond their deadline.
TICK_INTERVAL_S = 0.03
TICK_TOLERANCE_S = 0.01  # lateness of a tick that does not count as a stall
MIN_LOGGED_STALL_S = 0.05  # shorter stalls are only counted
MIN_LOG_INTERVAL_S = 1.0  # between warnings about stalls


class StallDetector:
    """Dates bytes that have just been read from a socket; all times are seconds of the loop's clock.

    That clock does not advance while callbacks run. It is updated when the loop returns from polling, so that
    bytes which arrived during a stall appear to have arrived at its end, and a request would be given time
    that its client no longer has. At each timer tick the loop is known to have polled its sockets and found
    nothing. After a gap without ticks, the bytes may have arrived at any time since the last tick. Nothing
    can have arrived before `start`.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._last_tick = loop.time()
        self._stalled_since: float | None = None  # set until the sockets have been polled after a stall
        self._logged_at = float("-inf")  # loop time of the last warning about a stall
        self.stall_count = 0  # since the start

    def start(self) -> None:
        """Begin to detect stalls, when the process begins to listen."""
        self._last_tick = self._loop.time()
        self._loop.call_later(TICK_INTERVAL_S, self._tick)

    def earliest_arrival(self) -> float:
        """The earliest time at which the bytes just passed to a protocol may have arrived."""
        now = self._loop.time()
        if self._stalled_since is not None:
            return self._stalled_since
        # After polling, the loop handles sockets before timers, so this stall may not have been recorded yet.
        return self._last_tick if self._is_tick_overdue(now) else now

    def _is_tick_overdue(self, now: float) -> bool:
        return now - self._last_tick > TICK_INTERVAL_S + TICK_TOLERANCE_S

    def _tick(self) -> None:
        now = self._loop.time()
        if self._is_tick_overdue(now):
            self._record_stall(now)
        self._last_tick = now
        self._loop.call_later(TICK_INTERVAL_S, self._tick)

    def _record_stall(self, now: float) -> None:
        self.stall_count += 1
        self._stalled_since = self._last_tick
        # The first callback runs before the loop polls its sockets, and the second one after that.
        self._loop.call_soon(self._loop.call_soon, self._clear_stall)
        length = now - self._last_tick - TICK_INTERVAL_S
        if length > MIN_LOGGED_STALL_S and now - self._logged_at >= MIN_LOG_INTERVAL_S:
            self._logged_at = now
            log.warning(
                "process stalled for %.0f ms; %d stalls since the start", length * 1000, self.stall_count
            )

    def _clear_stall(self) -> None:
        self._stalled_since = None
