"""Watches the settings at the agent on this machine and puts each new version into force."""

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

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024  # bytes
ANSWER_GRACE_S = 0.5  # seconds, beyond the hold, until a call that had no answer counts as failed
MIN_HELD_SHARE = 0.5  # of the hold: an answer without news that comes sooner was not held
STARTUP_WAIT_S = 3.0  # seconds that a new process waits at most for the agent's newest version


class SettingsWatch(Generic[ParsedSettings]):
    """Asks again and again, after a failure with a pause; what is in force stays until a sound one comes."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        control: SettingsControl[ParsedSettings],
        apply_settings: Callable[[ParsedSettings], bool],
    ) -> None:
        self.loop = loop
        self.control = control
        self.apply_settings = apply_settings  # says whether it could be done
        self.caller = HttpClient(loop, address, MAX_DOCUMENT_BYTES)
        self.up_to_date = asyncio.Event()  # the newest sound version of the agent has been in force once
        self.lost = False  # the last call failed
        self.task = loop.create_task(self._watch())

    async def wait_until_up_to_date(self) -> None:
        """Wait until the agent's newest version is in force, but only for so long.

        Protects against serving an older version than the one in force before a restart.
        """
        try:
            async with asyncio.timeout(STARTUP_WAIT_S):
                await self.up_to_date.wait()
        except TimeoutError:
            log.warning("the agent has not told its settings: version %d serves", self.control.version)

    def close(self) -> None:
        """End the watch."""
        self.task.cancel()
        self.caller.close()

    async def _watch(self) -> None:
        while True:
            try:
                await self._ask(self.control.next_query())
            except (OSError, TimeoutError, DocumentError) as exc:
                await self._pause(exc)

    async def _ask(self, query: Query) -> None:
        began = self.loop.time()
        answer = await self.caller.call(query.path, query.hold_s + ANSWER_GRACE_S)
        decision = self._take(answer)
        if self.lost:
            log.info("the settings watch is back")
        self.lost = False
        if self.control.is_up_to_date():
            self.up_to_date.set()
        waited = self.loop.time() - began
        if isinstance(decision, Ignore) and waited < MIN_HELD_SHARE * query.hold_s:
            await asyncio.sleep(query.hold_s - waited)  # an agent that holds no calls is asked no more often

    async def _pause(self, failure: Exception) -> None:
        if not self.lost:
            log.warning("the settings watch is lost: %s", str(failure) or "silent")
        self.lost = True
        self.caller.close()
        await asyncio.sleep(self.control.on_call_failed())

    def _take(self, answer: Response) -> Apply[ParsedSettings] | Ignore | Reject:
        if answer.status != 200:
            raise DocumentError(f"the agent answered {answer.status}")
        try:
            raw = json.loads(answer.body)
        except (ValueError, RecursionError) as exc:
            raise DocumentError(f"a settings document is no JSON: {exc}") from None
        decision = self.control.on_document(raw)
        if isinstance(decision, Apply):
            if self.apply_settings(decision.parsed):
                self.control.on_applied(decision.version)
                log.info("settings version %d is in force", decision.version)
                return decision
            decision = self.control.reject(decision.version, "the decision module failed over it")
        if isinstance(decision, Reject):
            log.error("%s", decision.reason)
        return decision
