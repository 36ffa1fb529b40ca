"""Graceful shutdown after SIGTERM: accepts connections for a while, answers all requests before SIGKILL."""

from __future__ import annotations

import asyncio
import logging
import time

from dykeshift.node.listener import Listener
from dykeshift.node.server import Frontend

log = logging.getLogger(__name__)

ACCEPT_AFTER_SIGTERM_S = 0.6  # new connections still arrive for this long
SIGKILL_AFTER_CLIENT_TIMEOUT_S = 0.7  # from SIGTERM plus the longest client timeout to the earliest SIGKILL
MAX_COUNTED_CLIENT_TIMEOUT_S = 3.0  # longer client timeouts do not delay SIGKILL any further
MAX_STALL_S = 0.15  # time for which the process may get no processor time at any moment
# From the end of service, when every request has its final response, to the earliest SIGKILL. The process may
# stall once before it handles SIGTERM and once more before its last responses are written, and writing them
# takes some time when many requests end at once.
SIGKILL_MARGIN_S = 2 * MAX_STALL_S + 0.05
CLOSING_PHASE_S = 0.3  # before the end of service; connections are no longer kept alive in it
CLIENT_CLOSE_WAIT_S = 0.15  # after the end of service, for clients to read and close; then the process ends
POLL_INTERVAL_S = 0.02


class StopSignal:
    """Handler of SIGTERM and SIGINT; the time until SIGKILL is counted from the first of them."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._received = asyncio.Event()
        self.received_at: float | None = None  # loop time in seconds

    def __call__(self) -> None:
        """Handle the signal."""
        if self.received_at is None:
            self.received_at = self._loop.time()
            self._received.set()

    async def wait(self) -> float:
        """Wait for the signal and return the loop time, in seconds, at which it was handled."""
        await self._received.wait()
        assert self.received_at is not None
        return self.received_at


async def shut_down_gracefully(
    frontend: Frontend, listener: Listener, signalled_at: float, longest_client_timeout_s: float
) -> None:
    """Serve, answer and then close all client connections before the earliest SIGKILL.

    New connections are accepted for at least ACCEPT_AFTER_SIGTERM_S. Connected clients are served until the
    closing phase, because clients that were disconnected at once found no balancer while the others were
    restarted too. `signalled_at` is the loop time of SIGTERM.
    """
    loop = asyncio.get_running_loop()
    service_end = (
        signalled_at
        + min(longest_client_timeout_s, MAX_COUNTED_CLIENT_TIMEOUT_S)
        + SIGKILL_AFTER_CLIENT_TIMEOUT_S
        - SIGKILL_MARGIN_S
    )
    frontend.is_stopping = True
    frontend.driver.set_stop_deadline(time.monotonic_ns() + int((service_end - loop.time()) * 1e9))
    open_requests = frontend.driver.open_requests
    log.info(
        "shutting down: %d clients connected, %d requests in flight",
        len(frontend.connections),
        len(open_requests),
    )
    while loop.time() < min(signalled_at + ACCEPT_AFTER_SIGTERM_S, service_end) or (
        frontend.connections and loop.time() < service_end - CLOSING_PHASE_S
    ):
        await asyncio.sleep(POLL_INTERVAL_S)
    frontend.closes_after_response = True
    while listener.has_pending_connections() and loop.time() < service_end:
        await asyncio.sleep(0)  # closing the socket now would reset pending connections
    await listener.close()
    await close_idle_until(frontend, service_end)
    frontend.refuse_incomplete_requests()
    await close_idle_until(frontend, service_end + CLIENT_CLOSE_WAIT_S)
    log.info(
        "shutdown complete: %d clients without a final response, %d requests in flight",
        sum(not connection.is_lingering() for connection in frontend.connections),
        len(open_requests),
    )


async def close_idle_until(frontend: Frontend, deadline: float) -> None:
    """Close connections as they become idle, until none is left or the loop time reaches `deadline`."""
    loop = asyncio.get_running_loop()
    while frontend.connections and loop.time() < deadline:
        frontend.close_idle()
        await asyncio.sleep(POLL_INTERVAL_S)
