"""Watches the settings at the agent on this machine and applies each new version."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Generic

from dykeshift.control import Apply, DocumentError, Ignore, ParsedSettings, Query, Reject, SettingsControl
from dykeshift.node.address import Address
from dykeshift.node.connection import Response
from dykeshift.node.overlapping_calls import CallLimits, OpenCall, OverlappingCalls

log = logging.getLogger(__name__)

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
LONG_POLL_GRACE_S = 0.5  # after the hold; then a call without a response is overdue
MIN_HELD_SHARE = 0.5  # of the hold; a response without a newer version that arrives earlier was not held
STARTUP_WAIT_S = 3.0  # longest wait of a new process for the agent's newest version


class SettingsWatch(Generic[ParsedSettings]):
    """Queries the agent continuously, with a back-off after failures.

    The settings in force stay until a newer valid version arrives. A query that is overdue counts as failed,
    but its response is still used if it comes before that of a later one.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        control: SettingsControl[ParsedSettings],
        apply_settings: Callable[[ParsedSettings], bool],
    ) -> None:
        self.loop = loop
        self.address = address
        self.control = control
        self.apply_settings = apply_settings  # returns whether it succeeded
        self.calls = OverlappingCalls[Query](loop, MAX_DOCUMENT_BYTES, self)
        self.up_to_date = asyncio.Event()  # set once the agent's newest valid version is in force
        self.is_failing = False  # the last call failed
        self.back_off: asyncio.TimerHandle | None = None  # until the next query after a failure
        self._begin_query()

    async def wait_until_up_to_date(self) -> None:
        """Wait until the agent's newest version is in force, at most STARTUP_WAIT_S.

        Without this wait, a restarted balancer could serve with an older version than before the restart.
        """
        try:
            async with asyncio.timeout(STARTUP_WAIT_S):
                await self.up_to_date.wait()
        except TimeoutError:
            log.warning(
                "the agent did not provide its newest settings in time; serving with version %d",
                self.control.version,
            )

    def close(self) -> None:
        """Stop the watch and close its connections."""
        self._end_back_off()
        self.calls.close_all()

    def _begin_query(self, after: OpenCall[Query] | None = None) -> None:
        self.back_off = None
        query = self.control.next_query()
        limits = CallLimits(query.hold_s, LONG_POLL_GRACE_S, LONG_POLL_GRACE_S, LONG_POLL_GRACE_S)
        self.calls.begin(self.address, query.path, query, limits, after)

    def _end_back_off(self) -> None:
        if self.back_off is not None:
            self.back_off.cancel()
            self.back_off = None

    # ---- results of queries ----

    async def on_response(self, call: OpenCall[Query], response: Response) -> None:
        """Handle the agent's response. Other open queries are out of date with it, and are closed."""
        age_s = call.age_s()
        try:
            decision = self._handle_response(response)
        except DocumentError as error:
            self.on_failed(call, error)
            return
        self._end_back_off()
        self.calls.close_all(but=call)
        if self.is_failing:
            log.info("the settings watch works again")
        self.is_failing = False
        if self.control.is_up_to_date():
            self.up_to_date.set()
        if isinstance(decision, Ignore) and age_s < MIN_HELD_SHARE * call.query.hold_s:
            # An agent that does not hold calls must not be queried more often than one that does.
            await asyncio.sleep(call.query.hold_s - age_s)
        self._begin_query(after=call)

    def on_overdue(self, call: OpenCall[Query]) -> None:
        """Query again after a back-off."""
        self._back_off(TimeoutError("no response"))

    def on_failed(self, call: OpenCall[Query], error: Exception) -> None:
        """Query again after a back-off, unless the query was overdue: then that has begun already."""
        if not call.is_overdue:
            self._back_off(error)

    def _back_off(self, failure: Exception) -> None:
        if not self.is_failing:
            log.warning("the settings watch fails: %s", str(failure) or "no response")
        self.is_failing = True
        self._end_back_off()
        self.back_off = self.loop.call_later(self.control.on_call_failed(), self._begin_query)

    def _handle_response(self, response: Response) -> Apply[ParsedSettings] | Ignore | Reject:
        if response.status != 200:
            raise DocumentError(f"the agent responded with status {response.status}")
        try:
            raw = json.loads(response.body)
        except (ValueError, RecursionError) as exc:
            raise DocumentError(f"the settings document is not valid JSON: {exc}") from None
        decision = self.control.on_document(raw)
        if isinstance(decision, Apply):
            if self.apply_settings(decision.parsed):
                self.control.on_applied(decision.version)
                log.info("settings version %d is in force", decision.version)
                return decision
            decision = self.control.reject(decision.version, "the decision module failed to apply it")
        if isinstance(decision, Reject):
            log.error("%s", decision.reason)
        return decision
