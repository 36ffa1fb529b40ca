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
from dykeshift.node.call import HttpClient
from dykeshift.node.connection import Response
from dykeshift.node.listing import (
    FindServer,
    ListedServer,
    ListReader,
    ServerListing,
    ServerRow,
    decode_text,
    find_no_server,
)

log = logging.getLogger(__name__)

# How long discovery may hold a long poll. It is short so that a watch which gets no response is noticed
# within two seconds. Continuing from the last response does not count as a new call and costs discovery
# no work.
LONG_POLL_MS = 1_000
LONG_POLL_GRACE_S = 1.0  # time beyond the hold after which a call has failed
MAX_LIST_BYTES = 4 * 1024 * 1024

# Shares of the drain grace, within which requests to a draining server have to stop.
# A list is read with pauses for other work for this long. After that it is read without pauses, so that no
# more requests are sent according to the old list.
YIELDING_READ_SHARE = 0.4
# Push mode: the agent responds at once to a call that it need not hold, or not at all, and asking it again
# costs nothing. Both shares together leave time to stop sending.
PUSH_SILENCE_SHARE = 0.4  # time without data after which a call has failed
PUSH_RETRY_SHARE = 0.2  # time between a failed call and the next one

PUSH_RESPONSE_TIMEOUT_S = 2.0  # for the whole response, while its data keeps arriving
# Until the first list, in push mode, the time without data doubles with each failed call, this often at most:
# nothing is sent yet, so an agent may be slow.
MAX_SILENCE_DOUBLINGS = 3
# How long a new process waits in push mode for its first list before it accepts clients all the same. The
# platform wants a restarted balancer to be ready within 10 s.
FIRST_LIST_WAIT_S = 8.0

# Applies a list to the balancer; returns False if the decision module failed over it.
ApplyList = Callable[[ListKind, list[ListedServer]], bool]


class UnusableResponse(ConnectionError):
    """The response to a call has an error status or contains no valid list."""


class DiscoveryWatch:
    """Watches the server list at discovery by long polls.

    A failed call ends the watch and is reported once to `on_failure`; `start` starts it again. In the push
    mode it starts again by itself.
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
        self.reader = reader
        self.apply_list = apply_list
        self.on_failure = on_failure
        self.find_server = find_server
        self.has_servers = False  # an earlier list has servers, so requests are being sent
        self.generation: int | None = None  # None: the full list is requested next
        self.last_call_failed = False  # in the push mode, the call after a failed one is not held
        self.list_received = asyncio.Event()  # set once a list of discovery has been applied
        self.silence_doublings = 0  # failed calls before the first list, up to MAX_SILENCE_DOUBLINGS
        self.watch_task: asyncio.Task[None] | None = None

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
        self.apply_list(ListKind.CACHED, servers)
        self.generation = known.generation

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
        """Start the watch, unless it is running; it continues by itself after each response."""
        if self.watch_task is None or self.watch_task.done():
            self.watch_task = self.loop.create_task(self._run())

    def change_address(self, address: Address) -> None:
        """Change to another discovery and request its full list, as its generations may not be comparable.

        The watch on the old discovery ends without being reported as failed.
        """
        self.address, self.generation = address, None
        if self.watch_task is not None:
            self.watch_task.cancel()
            self.watch_task = None
        if self.is_pushed:
            self.start()

    async def _run(self) -> None:
        client = HttpClient(self.loop, self.address, MAX_LIST_BYTES)
        try:
            while True:
                response = await self._call_discovery(client)
                if not await self._apply_response(response):
                    raise UnusableResponse(f"status {response.status}, or an invalid list")
                self._on_call_succeeded()
        except (OSError, TimeoutError) as exc:
            if not self.last_call_failed:
                log.warning("the discovery watch fails: %s", str(exc) or "no response")
            self.last_call_failed = True
            if not self.list_received.is_set():
                self.silence_doublings = min(self.silence_doublings + 1, MAX_SILENCE_DOUBLINGS)
            failure = ListKind.FAILED if isinstance(exc, UnusableResponse) else ListKind.INTERRUPTED
        finally:  # closes only its own connection: after a change of address another watch is running
            client.close()
        self.watch_task = None
        self.on_failure(failure)
        if self.is_pushed:  # the decision module asks for a watch only in the ask mode
            self.loop.call_later(PUSH_RETRY_SHARE * self.drain_grace_s, self.start)

    async def _call_discovery(self, client: HttpClient) -> Response:
        """Call discovery once; the call is held there if there is a generation to continue from.

        In the push mode, after a failure, the agent is called without a hold until it responds. The balancer
        counts as informed at once of what the agent learns when it works again, and a held call may get no
        response.
        """
        path, hold_ms = "/v1/endpoints", 0
        if self.generation is not None:
            hold_ms = 0 if self.is_pushed and self.last_call_failed else LONG_POLL_MS
            path += f"?from={self.generation}&hold_ms={hold_ms}"
        if self.is_pushed and not hold_ms:
            return await client.call(path, PUSH_RESPONSE_TIMEOUT_S, max_silence_s=self._max_silence_s())
        return await client.call(path, hold_ms / 1000 + LONG_POLL_GRACE_S)

    def _max_silence_s(self) -> float:
        """Time without data after which a call in push mode has failed."""
        doublings = 0 if self.list_received.is_set() else self.silence_doublings
        return PUSH_SILENCE_SHARE * self.drain_grace_s * (1 << doublings)

    def _on_call_succeeded(self) -> None:
        if self.last_call_failed:
            log.info("the discovery watch works again")
        self.last_call_failed = False

    async def _apply_response(self, response: Response) -> bool:
        """Apply the list in the response; return False if it is unusable.

        A list is unusable if any part of it is invalid, or if the decision module failed over it. If the
        address changes while the list is being read, the task is cancelled, so that the list is not applied
        after that of the other discovery.
        """
        if response.status != 200:
            return False
        yield_for_s = YIELDING_READ_SHARE * self.drain_grace_s if self.has_servers else math.inf
        try:
            listing = await self.reader.read(
                decode_text(response.body), time.monotonic() + yield_for_s, self.find_server
            )
        except ValueError as exc:
            log.warning("ignoring an invalid list from discovery: %s", exc)
            return False
        return self._apply_listing(listing)

    def _apply_listing(self, listing: ServerListing[ListedServer]) -> bool:
        generation, is_full = listing.generation, listing.is_full
        if not is_full and self.generation is not None and generation < self.generation:
            # These are changes to the list of another discovery, not to the list applied here.
            log.warning(
                "discovery sent generation %d after %d; requesting the full list", generation, self.generation
            )
            self.generation = None
            return True
        if is_full or listing.servers:
            log.info(
                "received %s %d: %d servers",
                "list" if is_full else "change",
                generation,
                len(listing.servers),
            )
        self.has_servers = self.has_servers or bool(listing.servers)
        is_applied = self.apply_list(ListKind.FULL if is_full else ListKind.DELTA, listing.servers)
        # After a failure the decision module may hold part of the list, so the full list is requested.
        self.generation = generation if is_applied else None
        if is_applied:
            self.list_received.set()
        return is_applied
