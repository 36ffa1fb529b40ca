"""The end of service after SIGTERM: nobody is turned away too early, all taken are answered in time."""

from __future__ import annotations

import asyncio
import logging
import time

from dykeshift.node.listener import Listener
from dykeshift.node.server import Frontend

log = logging.getLogger(__name__)

# All times in seconds.
ACCEPT_AFTER_SIGTERM_S = 0.6  # after SIGTERM, in which new connections still come
SIGKILL_AFTER_DEADLINE_S = 0.7  # from the longest deadline to the earliest SIGKILL
MAX_COUNTED_DEADLINE_S = 3.0  # a longer deadline counts for so much
MAX_STALL_S = 0.15  # that the process may get no processor time for, at any moment
# Before SIGKILL, by which all is answered: the process may be held up once before it comes to SIGTERM and
# once more before its last answers are written, and these take some time when many requests end at once.
SIGKILL_MARGIN_S = 2 * MAX_STALL_S + 0.05
CLOSING_PHASE_S = 0.3  # before the end of service, in which no client is kept any more
CLIENT_CLOSE_WAIT_S = 0.15  # after the end of service, for clients to read and close
POLL_INTERVAL_S = 0.02  # between two looks whether all is answered


class StopSignal:
    """SIGTERM or SIGINT; the time until SIGKILL runs from when the first of them came."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._received = asyncio.Event()
        self.received_at: float | None = None  # by the loop's clock, in seconds

    def __call__(self) -> None:
        """Handle the signal."""
        if self.received_at is None:
            self.received_at = self._loop.time()
            self._received.set()

    async def wait(self) -> float:
        """Wait for the signal; when it came, by the loop's clock."""
        await self._received.wait()
        assert self.received_at is not None
        return self.received_at


async def shut_down_gracefully(
    front: Frontend, listener: Listener, signalled_at: float, longest_deadline: float
) -> None:
    """Let go of the clients: none is turned away while some may still come, all taken are answered.

    Those connected are served for as long as there is time: let go at once, they found nobody where the
    other balancers were being restarted too. `told_at` is when SIGTERM came, `longest` the longest deadline
    in seconds.
    """
    loop = asyncio.get_running_loop()
    end = (
        signalled_at
        + min(longest_deadline, MAX_COUNTED_DEADLINE_S)
        + SIGKILL_AFTER_DEADLINE_S
        - SIGKILL_MARGIN_S
    )
    front.is_stopping = True
    front.driver.set_stop_deadline(time.monotonic_ns() + int((end - loop.time()) * 1e9))
    jobs = front.driver.open_requests
    log.info("stopping: %d clients are connected, %d requests open", len(front.connections), len(jobs))
    while loop.time() < min(signalled_at + ACCEPT_AFTER_SIGTERM_S, end) or (
        front.connections and loop.time() < end - CLOSING_PHASE_S
    ):
        await asyncio.sleep(POLL_INTERVAL_S)
    front.closes_after_response = True
    while listener.has_pending_connections() and loop.time() < end:
        await asyncio.sleep(0)  # closed now, it would reset those who wait to be accepted
    await listener.close()
    await close_idle_until(front, end)
    front.refuse_incomplete_requests()
    await close_idle_until(front, end + CLIENT_CLOSE_WAIT_S)
    log.info(
        "stopped: %d clients are left, %d requests open",
        sum(not client.is_lingering() for client in front.connections),
        len(jobs),
    )


async def close_idle_until(front: Frontend, deadline: float) -> None:
    """Close connections as they come to rest, until none is left or that time of the loop has come."""
    loop = asyncio.get_running_loop()
    while front.connections and loop.time() < deadline:
        front.close_idle()
        await asyncio.sleep(POLL_INTERVAL_S)
