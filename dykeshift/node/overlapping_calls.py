"""Calls to one service, of which an overdue one stays open while the next one is made.

A slow or crowded service responds late, and one that is down or cut off never does; a client cannot tell
these apart in time. If late calls were given up, a service that is always late would never be heard, and the
work that it does for them would be wasted. If the client waited for them, a lost call would hide everything
that the service has to tell. So the next call is made beside them, and whichever response comes is used.
"""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from dykeshift.node.address import Address
from dykeshift.node.call import HttpClient
from dykeshift.node.connection import Response

MAX_OPEN_CALLS = 12  # each has a connection

Query = TypeVar("Query")


@dataclass(frozen=True, slots=True)
class CallLimits:
    """When a call is late, overdue and closed; in seconds."""

    hold_s: float  # for which the service may hold the call back
    late_after_s: float  # beyond the hold; a later response shows that the service is slow
    silence_s: float  # beyond the hold, without data; then the call is overdue
    response_s: float  # beyond the hold, even if data keeps arriving; then the call is overdue
    lifetime_s: float = math.inf  # from its beginning; then the call is closed


@dataclass(slots=True, eq=False)
class OpenCall(Generic[Query]):
    """A call without a response so far, with what the caller wants to know about it later."""

    number: int  # in the order in which the calls began
    query: Query
    client: HttpClient
    limits: CallLimits
    began_at: float  # monotonic, in seconds
    is_overdue: bool = False
    check: asyncio.Handle | None = None  # the next check whether it is overdue
    task: asyncio.Task[None] | None = None

    def age_s(self) -> float:
        """Time since the call began, in seconds."""
        return time.monotonic() - self.began_at

    def is_late(self) -> bool:
        """Whether a response that comes now shows that the service is slow."""
        return self.age_s() > self.limits.hold_s + self.limits.late_after_s

    def time_left_s(self) -> float:
        """Time until the call is overdue, in seconds, unless data arrives until then."""
        connection = self.client.connection
        heard_at = self.began_at if connection is None else connection.last_activity
        hold_ends_at = self.began_at + self.limits.hold_s
        silent_until = max(hold_ends_at, heard_at) + self.limits.silence_s
        return min(silent_until, hold_ends_at + self.limits.response_s) - time.monotonic()

    def closes_at(self) -> float:
        """When the call is closed for its age, in seconds of the monotonic clock."""
        return self.began_at + self.limits.lifetime_s

    def has_unread_input(self) -> bool:
        """Whether data has arrived that a busy event loop has not read yet."""
        connection = self.client.connection
        return connection is not None and connection.has_unread_input()


class CallHandler(Protocol[Query]):
    """Is told what becomes of the calls. Nothing is called for a call that has been closed."""

    async def on_response(self, call: OpenCall[Query], response: Response) -> None:
        """Handle the response. The call counts as open until this ends, and may be closed meanwhile."""

    def on_overdue(self, call: OpenCall[Query]) -> None:
        """Handle a call that is overdue; it stays open."""

    def on_failed(self, call: OpenCall[Query], error: Exception) -> None:
        """Handle a call that has ended without a response."""


class OverlappingCalls(Generic[Query]):
    """Makes calls, each on a connection of its own, and reports their responses in any order."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, max_body_bytes: int, handler: CallHandler[Query]
    ) -> None:
        self.loop = loop
        self.max_body_bytes = max_body_bytes
        self.handler = handler
        self.open_calls: list[OpenCall[Query]] = []  # the newest is the last
        self.count = 0  # of all calls begun

    def newest(self) -> OpenCall[Query] | None:
        """The newest call that is open."""
        return self.open_calls[-1] if self.open_calls else None

    def begin(
        self,
        address: Address,
        path: str,
        query: Query,
        limits: CallLimits,
        after: OpenCall[Query] | None = None,
    ) -> None:
        """Begin a call; with `after`, on the connection of that call, which has had its response."""
        if after is None:
            client = HttpClient(self.loop, address, self.max_body_bytes, connect_timeout_s=None)
        else:
            client = after.client
            self._remove(after)
        self.count += 1
        call = OpenCall(self.count, query, client, limits, time.monotonic())
        self.open_calls.append(call)
        call.task = self.loop.create_task(self._run(call, path))
        self._check_progress(call)
        if len(self.open_calls) > MAX_OPEN_CALLS:
            # The oldest one is kept: if the service is slow, its response is the next to come.
            self.close(min(self.open_calls[1:-1], key=OpenCall.closes_at))

    def close(self, call: OpenCall[Query]) -> None:
        """Close a call and its connection."""
        self._remove(call)
        call.client.close()
        if call.task is not None and call.task is not asyncio.current_task(self.loop):
            call.task.cancel()

    def close_older_than(self, call: OpenCall[Query]) -> None:
        """Close the calls that began before this one."""
        for other in list(self.open_calls):
            if other.number < call.number:
                self.close(other)

    def close_all(self, but: OpenCall[Query] | None = None) -> None:
        """Close all calls, but one if it is given."""
        for call in list(self.open_calls):
            if call is not but:
                self.close(call)

    def _remove(self, call: OpenCall[Query]) -> None:
        if call in self.open_calls:
            self.open_calls.remove(call)
        if call.check is not None:
            call.check.cancel()

    async def _run(self, call: OpenCall[Query], path: str) -> None:
        lifetime_s = call.limits.lifetime_s
        try:
            response = await call.client.call(path, None if lifetime_s == math.inf else lifetime_s)
        except (OSError, TimeoutError) as error:
            self.close(call)
            self.handler.on_failed(call, error)
            return
        if call.check is not None:
            call.check.cancel()
        try:
            await self.handler.on_response(call, response)
        finally:
            if call in self.open_calls:
                self.close(call)

    def _check_progress(self, call: OpenCall[Query]) -> None:
        left_s = call.time_left_s()
        if left_s > 0:
            call.check = self.loop.call_later(left_s, self._check_progress, call)
        elif call.has_unread_input():
            call.check = self.loop.call_soon(self._check_progress, call)
        else:
            call.is_overdue = True
            self.handler.on_overdue(call)
