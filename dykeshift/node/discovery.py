"""The watch on the server list: a known list from before the start, a full list, and then its changes.

There are two modes. In the ask mode every call costs discovery capacity that all balancers share, and a
watch starts only when the decision module asks for it. In the push mode an agent on this machine is
watched all the time, at no cost.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable

from dykeshift.interface import ListKind
from dykeshift.node.address import Address
from dykeshift.node.call_pacing import PUSH_RETRY_SHARE, CallPacing
from dykeshift.node.connection import Response
from dykeshift.node.list_in_force import ListInForce, ListQuery, Verdict
from dykeshift.node.listing import (
    FindServer,
    ListedServer,
    ListReader,
    ServerListing,
    ServerRow,
    decode_text,
    find_no_server,
    read_usual_head,
)
from dykeshift.node.overlapping_calls import OpenCall, OverlappingCalls

log = logging.getLogger(__name__)

MAX_LIST_BYTES = 4 * 1024 * 1024

# A list is read with pauses for other work for this share of the drain grace, within which requests to a
# draining server have to stop. After that it is read without pauses, so that no more requests are sent
# according to the old list.
YIELDING_READ_SHARE = 0.4
# How long a new process waits in push mode for its first list before it accepts clients all the same. The
# platform wants a restarted balancer to be ready within 10 s.
FIRST_LIST_WAIT_S = 8.0

# Applies a list to the balancer; the last argument says whether the response came late. Returns False if the
# decision module failed over the list.
ApplyList = Callable[[ListKind, list[ListedServer], bool], bool]


class DiscoveryWatch:
    """Watches the server list at discovery by long polls.

    A call that is overdue or has failed is reported once to `on_failure`; `start` then makes the next call,
    beside the overdue one. In the push mode this happens without a request.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        reader: ListReader,
        apply_list: ApplyList,
        on_failure: Callable[[ListKind], None],
        is_pushed: bool,
        drain_grace_s: float,
        find_server: FindServer = find_no_server,
    ) -> None:
        self.loop = loop
        self.is_pushed = is_pushed
        self.drain_grace_s = drain_grace_s
        self.address = address
        self.address_number = 0  # how often the address has changed
        self.reader = reader
        self.apply_list = apply_list
        self.on_failure = on_failure
        self.find_server = find_server
        self.calls = OverlappingCalls[ListQuery](loop, MAX_LIST_BYTES, self)
        self.list_in_force = ListInForce()
        self.read_lock = asyncio.Lock()  # lists are read one after another
        self.has_servers = False  # an earlier list has servers, so requests are being sent
        self.pacing = CallPacing(is_pushed)
        self.is_failure_logged = False
        self.is_closed = False
        self.list_received = asyncio.Event()  # set once a list of discovery has been applied

    def apply_known_list(self, known: ServerListing[ServerRow] | None) -> None:
        """Apply the list from before the start, and consume it.

        The list may be old, invalid or missing. In the ask mode it is used until discovery responds: each
        call takes a share of what discovery can do for all balancers, and a long poll that continues from
        this generation is the only call that a start needs.

        In the push mode it is not used. The balancer counts as informed of what the agent has from the first
        moment of its process, and only the agent's own list tells what that is.
        """
        if known is None:
            return
        if self.is_pushed:
            known.servers.clear()
            return
        self.has_servers = bool(known.servers)
        rows, servers = known.servers, list[ListedServer]()
        rows.reverse()
        while rows:  # frees each row as it is converted, so that the list is never held in both forms
            servers.append(self.reader.convert(rows.pop()))
        self.apply_list(ListKind.CACHED, servers, False)
        self.list_in_force.replace(self.address_number, known.generation, self.calls.count)

    async def wait_for_first_list(self) -> bool:
        """Wait until a list of discovery has been applied, at most FIRST_LIST_WAIT_S; return whether it has.

        Without one, a process in push mode has no servers, and refuses requests until the list arrives.
        """
        try:
            async with asyncio.timeout(FIRST_LIST_WAIT_S):
                await self.list_received.wait()
        except TimeoutError:
            log.warning(
                "no server list within %.0f s; requests are refused until it comes", FIRST_LIST_WAIT_S
            )
            return False
        return True

    def start(self) -> None:
        """Make a call, unless one is open that is not overdue; further ones follow each response."""
        self.loop.call_soon(self._begin_call_if_needed)  # after the known list has been applied

    def _begin_call_if_needed(self) -> None:
        if self.is_closed:
            return
        newest = self.calls.newest()
        if newest is None or newest.is_overdue or newest.query.address_number != self.address_number:
            self._begin_call()

    def change_address(self, address: Address) -> None:
        """Change to another discovery and request its full list, as its generations may not be comparable.

        Open calls to the old discovery stay open until the new one has responded. Their failures are not
        reported.
        """
        self.address = address
        self.address_number += 1
        self.pacing.on_address_changed(time.monotonic())
        if self.is_pushed:
            self.start()

    def close(self) -> None:
        """End the watch for good."""
        self.is_closed = True
        self.calls.close_all()

    def _begin_call(self, after: OpenCall[ListQuery] | None = None) -> None:
        generation = self.list_in_force.generation_at(self.address_number)
        limits = self.pacing.begin_call(generation is not None, self.drain_grace_s, time.monotonic())
        path = "/v1/endpoints"
        if generation is not None:
            path += f"?from={generation}&hold_ms={round(limits.hold_s * 1000)}"
        self.calls.begin(self.address, path, ListQuery(self.address_number, generation), limits, after)

    # ---- results of calls ----

    async def on_response(self, call: OpenCall[ListQuery], response: Response) -> None:
        """Apply the response, and continue the watch on the connection of the call.

        There is no further call if a newer one is open that is not overdue.
        """
        is_late = call.is_late()
        async with self.read_lock:
            is_usable = await self._apply_response(call, response, is_late)
        if not is_usable:
            self.calls.close(call)
            if not call.is_overdue:
                self._report_failure(call, ListKind.FAILED, f"unusable response, status {response.status}")
            return
        self.calls.close_older_than(call)
        if call.query.address_number != self.address_number:
            return
        self._note_response(call, is_late)
        newest = self.calls.newest()
        if newest is call or newest is None or newest.is_overdue:
            self._begin_call(after=call)

    def on_overdue(self, call: OpenCall[ListQuery]) -> None:
        """Report a call without a response as failed; the response is still used if it comes."""
        self._report_failure(call, ListKind.INTERRUPTED, f"no response within {call.age_s():.1f} s")

    def on_failed(self, call: OpenCall[ListQuery], error: Exception) -> None:
        """Report a call whose connection failed, unless it has been reported as overdue."""
        if not call.is_overdue:
            self._report_failure(call, ListKind.INTERRUPTED, str(error) or "no response")

    def _report_failure(self, call: OpenCall[ListQuery], kind: ListKind, reason: str) -> None:
        """Report the newest call as failed. What becomes of older ones makes no difference."""
        if call.number != self.calls.count or call.query.address_number != self.address_number:
            return
        if not self.is_failure_logged:
            log.warning("the discovery watch fails: %s", reason)
        self.is_failure_logged = True
        self.on_failure(kind)
        if self.is_pushed:  # the decision module asks for a watch only in the ask mode
            self.loop.call_later(PUSH_RETRY_SHARE * self.drain_grace_s, self.start)

    def _note_response(self, call: OpenCall[ListQuery], is_late: bool) -> None:
        """Record how fast discovery is; a line is logged only when that has changed."""
        if is_late and not self.pacing.is_slow:
            log.warning("discovery is slow: it responded after %.2f s", call.age_s())
        elif not is_late and self.is_failure_logged:
            log.info("the discovery watch works again")
            self.is_failure_logged = False
        self.pacing.on_response(is_late, time.monotonic())

    async def _apply_response(self, call: OpenCall[ListQuery], response: Response, is_late: bool) -> bool:
        """Apply the list in the response; return False if it is unusable.

        A list is unusable if any part of it is invalid, or if the decision module failed over it. One that
        adds nothing is not read to its end if its head says so: after an outage there may be several.
        """
        if response.status != 200:
            return False
        yield_for_s = YIELDING_READ_SHARE * self.drain_grace_s if self.has_servers else math.inf
        try:
            text = decode_text(response.body)
            head = read_usual_head(text)
            if head is not None and self._judge(call, *head) is Verdict.IGNORE:
                return True
            listing = await self.reader.read(text, time.monotonic() + yield_for_s, self.find_server)
        except ValueError as exc:
            log.warning("ignoring an invalid list from discovery: %s", exc)
            return False
        verdict = self._judge(call, listing.generation, listing.is_full)
        if verdict is Verdict.REQUEST_FULL_LIST:
            log.warning(
                "discovery sent generation %d after %d; requesting the full list",
                listing.generation,
                self.list_in_force.generation,
            )
            self.list_in_force.forget_generation()
        return verdict is not Verdict.APPLY or self._apply_listing(call, listing, is_late)

    def _judge(self, call: OpenCall[ListQuery], generation: int, is_full: bool) -> Verdict:
        return self.list_in_force.judge(call.query, call.number, generation, is_full)

    def _apply_listing(
        self, call: OpenCall[ListQuery], listing: ServerListing[ListedServer], is_late: bool
    ) -> bool:
        if listing.is_full or listing.servers:
            log.info(
                "received %s %d: %d servers",
                "list" if listing.is_full else "change",
                listing.generation,
                len(listing.servers),
            )
        self.has_servers = self.has_servers or bool(listing.servers)
        kind = ListKind.FULL if listing.is_full else ListKind.DELTA
        is_applied = self.apply_list(kind, listing.servers, is_late)
        # After a failure the decision module may hold part of the list, so the full list is requested.
        generation = listing.generation if is_applied else None
        self.list_in_force.replace(call.query.address_number, generation, self.calls.count)
        if is_applied:
            self.list_received.set()
        return is_applied
