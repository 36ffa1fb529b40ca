"""Watches the settings at the agent on this machine and applies each new version."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Generic

from dykeshift.control import Apply, DocumentError, Ignore, ParsedSettings, Query, Reject, SettingsControl
from dykeshift.node.address import Address
from dykeshift.node.call import HttpClient
from dykeshift.node.connection import Response

log = logging.getLogger(__name__)

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
LONG_POLL_GRACE_S = 0.5  # after the hold; then a call without a response counts as failed
MIN_HELD_SHARE = 0.5  # of the hold; a response without a newer version that arrives earlier was not held
STARTUP_WAIT_S = 3.0  # longest wait of a new process for the agent's newest version


class SettingsWatch(Generic[ParsedSettings]):
    """Queries the agent continuously, with a back-off after failures.

    The settings in force stay until a newer valid version arrives.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        control: SettingsControl[ParsedSettings],
        apply_settings: Callable[[ParsedSettings], bool],
    ) -> None:
        self.loop = loop
        self.control = control
        self.apply_settings = apply_settings  # returns whether it succeeded
        self.client = HttpClient(loop, address, MAX_DOCUMENT_BYTES)
        self.up_to_date = asyncio.Event()  # set once the agent's newest valid version is in force
        self.is_failing = False  # the last call failed
        self.task = loop.create_task(self._watch())

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
        """Stop the watch and close its connection."""
        self.task.cancel()
        self.client.close()

    async def _watch(self) -> None:
        while True:
            try:
                await self._query(self.control.next_query())
            except (OSError, TimeoutError, DocumentError) as exc:
                await self._back_off(exc)

    async def _query(self, query: Query) -> None:
        started_at = self.loop.time()
        response = await self.client.call(query.path, query.hold_s + LONG_POLL_GRACE_S)
        decision = self._handle_response(response)
        if self.is_failing:
            log.info("the settings watch works again")
        self.is_failing = False
        if self.control.is_up_to_date():
            self.up_to_date.set()
        elapsed_s = self.loop.time() - started_at
        if isinstance(decision, Ignore) and elapsed_s < MIN_HELD_SHARE * query.hold_s:
            # An agent that does not hold calls must not be queried more often than one that does.
            await asyncio.sleep(query.hold_s - elapsed_s)

    async def _back_off(self, failure: Exception) -> None:
        if not self.is_failing:
            log.warning("the settings watch fails: %s", str(failure) or "no response")
        self.is_failing = True
        self.client.close()
        await asyncio.sleep(self.control.on_call_failed())

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
