"""The list of upstreams: the one known from before, the whole one, and the watch on its changes."""

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
    ServerListing,
    ListReader,
    ServerRow,
    decode_text,
    find_no_server,
)

log = logging.getLogger(__name__)

# How long a watch may wait at discovery: short, so that one that has fallen silent shows within two
# seconds. Going on from the last answer is no new call, and no work for discovery.
LONG_POLL_MS = 1_000
LONG_POLL_GRACE_S = 1.0  # seconds more until a watch that said nothing counts as failed
MAX_LIST_BYTES = 4 * 1024 * 1024
YIELDING_READ_SHARE = (
    0.4  # of the drain grace: while a list is read for longer, nothing goes out by the old one
)
# Of the drain grace, for an agent on this machine: it answers a call that it need not hold at once, or is
# silent, and is asked again at no cost. Both together leave time to stop sending.
PUSH_SILENCE_SHARE = 0.4
PUSH_RETRY_SHARE = 0.2
PUSH_RESPONSE_TIMEOUT_S = (
    2.0  # seconds: the longest that its answer may take in all while bytes of it go on coming
)

ApplyList = Callable[[ListKind, list[ListedServer]], bool]


class UnusableResponse(ConnectionError):
    """A call was answered, with no list."""


class DiscoveryWatch:
    """Watches while told to; whatever goes wrong is reported once and ends the watch."""

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
        self.has_servers = False  # there are servers from an earlier list, to which requests go
        self.generation: int | None = None  # None: no list yet, so the whole one is asked for
        self.last_call_failed = False  # the last call failed: the next one is not held
        self.call_finished = asyncio.Event()  # a call has come to its end, be it with nothing
        self.watch_task: asyncio.Task[None] | None = None

    def apply_known_list(self, known: ServerListing[ServerRow] | None) -> None:
        """The list from before the start, used up by this: it may be old, and it may be unsound or missing.

        It serves until discovery answers. Where lists are pushed, the whole list is asked for all the
        same: its generation may be another discovery's, and changes from there on would hide what changed
        before. Where they are asked for, each call takes a share of what discovery can do for all, and
        one that goes on from this generation is the only one that a start needs.
        """
        if known is None:
            return
        self.has_servers = bool(known.servers)
        rows, servers = known.servers, list[ListedServer]()
        rows.reverse()
        while rows:  # each is let go as it is converted: no list is held whole in both forms
            servers.append(self.reader.convert(rows.pop()))
        self.apply_list(ListKind.CACHED, servers)
        if not self.is_pushed:
            self.generation = known.generation

    def start(self) -> None:
        """Begin a watch, unless one is on: the watch goes on by itself from answer to answer."""
        if self.watch_task is None or self.watch_task.done():
            self.watch_task = self.loop.create_task(self._run())

    def change_address(self, address: Address) -> None:
        """Leave for another discovery: its whole list comes next, as its generations need not compare.

        The watch that this ends has not failed, and is not reported so.
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
                    raise UnusableResponse(f"status {response.status}, or unsound")
                self._on_call_succeeded()
        except (OSError, TimeoutError) as exc:
            if not self.last_call_failed:
                log.warning("the watch is lost: %s", str(exc) or "silent")
            self.last_call_failed = True
            failure = ListKind.FAILED if isinstance(exc, UnusableResponse) else ListKind.INTERRUPTED
        finally:  # its own connection alone: after a move another watch has one of its own
            client.close()
            self.call_finished.set()
        self.watch_task = None
        self.on_failure(failure)
        if self.is_pushed:  # the module does not ask where lists are pushed
            self.loop.call_later(PUSH_RETRY_SHARE * self.drain_grace_s, self.start)

    async def _call_discovery(self, client: HttpClient) -> Response:
        """One call, held at discovery where it has a list to go on from.

        Where lists are pushed, an agent that was lost is asked for what it has until it answers: what
        it hears once it is back counts as told at once, and a held call may be lost on it.
        """
        path, hold = "/v1/endpoints", 0
        if self.generation is not None:
            hold = 0 if self.is_pushed and self.last_call_failed else LONG_POLL_MS
            path += f"?from={self.generation}&hold_ms={hold}"
        if self.is_pushed and not hold:
            return await client.call(
                path, PUSH_RESPONSE_TIMEOUT_S, max_silence_s=PUSH_SILENCE_SHARE * self.drain_grace_s
            )
        return await client.call(path, hold / 1000 + LONG_POLL_GRACE_S)

    def _on_call_succeeded(self) -> None:
        if self.last_call_failed:
            log.info("the watch is back")
        self.last_call_failed = False
        self.call_finished.set()

    async def _apply_response(self, response: Response) -> bool:
        """Take over an update, unless any part of it is unsound.

        A move that comes while it is read cancels it: nothing of it is applied after newer news.
        """
        if response.status != 200:
            return False
        yield_for_s = YIELDING_READ_SHARE * self.drain_grace_s if self.has_servers else math.inf
        try:
            listing = await self.reader.read(
                decode_text(response.body), time.monotonic() + yield_for_s, self.find_server
            )
        except ValueError as exc:
            log.warning("an update from discovery is dropped: %s", exc)
            return False
        return self._apply_listing(listing)

    def _apply_listing(self, listing: ServerListing[ListedServer]) -> bool:
        generation, is_full = listing.generation, listing.is_full
        if not is_full and self.generation is not None and generation < self.generation:
            log.warning("generation %d after %d: another discovery's", generation, self.generation)
            self.generation = None  # the whole list is asked for next
            return True
        if is_full or listing.servers:
            log.info("%s %d: %d servers", "list" if is_full else "change", generation, len(listing.servers))
        self.has_servers = self.has_servers or bool(listing.servers)
        sound = self.apply_list(ListKind.FULL if is_full else ListKind.DELTA, listing.servers)
        # What the module failed over it may hold in part: the whole list is asked for next.
        self.generation = generation if sound else None
        return sound
