"""The list of upstreams: the one known from before, the whole one, and the watch on its changes."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable

from dykeshift.interface import ListKind
from dykeshift.node.address import Address
from dykeshift.node.call import Caller
from dykeshift.node.connection import Answer
from dykeshift.node.listing import Held, Listed, Listing, ListReader, Row, decode, nothing_held

log = logging.getLogger(__name__)

# How long a watch may wait at discovery: short, so that one that has fallen silent shows within two
# seconds. Going on from the last answer is no new call, and no work for discovery.
HOLD_MS = 1_000
GRACE = 1.0  # seconds more until a watch that said nothing counts as failed
MAX_LIST = 4 * 1024 * 1024
READ_SHARE = 0.4  # of the drain grace: while a list is read for longer, nothing goes out by the old one
# Of the drain grace, for an agent on this machine: it answers a call that it need not hold at once, or is
# silent, and is asked again at no cost. Both together leave time to stop sending.
PUSH_GRACE, PUSH_RETRY = 0.4, 0.2
PUSH_ANSWER = 2.0  # seconds: the longest that its answer may take in all while bytes of it go on coming

Apply = Callable[[ListKind, list[Listed]], bool]


class Refused(ConnectionError):
    """A call was answered, with no list."""


class Discovery:
    """Watches while told to; whatever goes wrong is reported once and ends the watch."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        reader: ListReader,
        apply: Apply,
        failed: Callable[[ListKind], None],
        pushed: bool,
        drain_grace: float,
        held: Held = nothing_held,
    ) -> None:
        self.loop = loop
        self.pushed = pushed
        self.drain_grace = drain_grace
        self.address = address
        self.reader = reader
        self.apply = apply
        self.failed = failed
        self.held = held
        self.listed = False  # there are servers from an earlier list, to which requests go
        self.generation: int | None = None  # None: no list yet, so the whole one is asked for
        self.lost = False  # the last call failed: the next one is not held
        self.asked = asyncio.Event()  # a call has come to its end, be it with nothing
        self.task: asyncio.Task[None] | None = None

    def take_known(self, known: Listing[Row] | None) -> None:
        """The list from before the start, used up by this: it may be old, and it may be unsound or missing.

        It serves until discovery answers. Where lists are pushed, the whole list is asked for all the
        same: its generation may be another discovery's, and changes from there on would hide what changed
        before. Where they are asked for, each call takes a share of what discovery can do for all, and
        one that goes on from this generation is the only one that a start needs.
        """
        if known is None:
            return
        self.listed = bool(known.servers)
        rows, servers = known.servers, list[Listed]()
        rows.reverse()
        while rows:  # each is let go as it is converted: no list is held whole in both forms
            servers.append(self.reader.convert(rows.pop()))
        self.apply(ListKind.CACHED, servers)
        if not self.pushed:
            self.generation = known.generation

    def watch(self) -> None:
        """Begin a watch, unless one is on: the watch goes on by itself from answer to answer."""
        if self.task is None or self.task.done():
            self.task = self.loop.create_task(self._watch())

    def move(self, address: Address) -> None:
        """Leave for another discovery: its whole list comes next, as its generations need not compare.

        The watch that this ends has not failed, and is not reported so.
        """
        self.address, self.generation = address, None
        if self.task is not None:
            self.task.cancel()
            self.task = None
        if self.pushed:
            self.watch()

    async def _watch(self) -> None:
        caller = Caller(self.loop, self.address, MAX_LIST)
        try:
            while True:
                answer = await self._ask(caller)
                if not await self._accept(answer):
                    raise Refused(f"status {answer.status}, or unsound")
                self._found()
        except (OSError, TimeoutError) as exc:
            if not self.lost:
                log.warning("the watch is lost: %s", str(exc) or "silent")
            self.lost = True
            failure = ListKind.FAILED if isinstance(exc, Refused) else ListKind.INTERRUPTED
        finally:  # its own connection alone: after a move another watch has one of its own
            caller.close()
            self.asked.set()
        self.task = None
        self.failed(failure)
        if self.pushed:  # the module does not ask where lists are pushed
            self.loop.call_later(PUSH_RETRY * self.drain_grace, self.watch)

    async def _ask(self, caller: Caller) -> Answer:
        """One call, held at discovery where it has a list to go on from.

        Where lists are pushed, an agent that was lost is asked for what it has until it answers: what
        it hears once it is back counts as told at once, and a held call may be lost on it.
        """
        path, hold = "/v1/endpoints", 0
        if self.generation is not None:
            hold = 0 if self.pushed and self.lost else HOLD_MS
            path += f"?from={self.generation}&hold_ms={hold}"
        if self.pushed and not hold:
            return await caller.call(path, PUSH_ANSWER, silence=PUSH_GRACE * self.drain_grace)
        return await caller.call(path, hold / 1000 + GRACE)

    def _found(self) -> None:
        if self.lost:
            log.info("the watch is back")
        self.lost = False
        self.asked.set()

    async def _accept(self, answer: Answer) -> bool:
        """Take over an update, unless any part of it is unsound.

        A move that comes while it is read cancels it: nothing of it is applied after newer news.
        """
        if answer.status != 200:
            return False
        turns = READ_SHARE * self.drain_grace if self.listed else math.inf
        try:
            listing = await self.reader.read(decode(answer.body), time.monotonic() + turns, self.held)
        except ValueError as exc:
            log.warning("an update from discovery is dropped: %s", exc)
            return False
        return self._take(listing)

    def _take(self, listing: Listing[Listed]) -> bool:
        generation, whole = listing.generation, listing.whole
        if not whole and self.generation is not None and generation < self.generation:
            log.warning("generation %d after %d: another discovery's", generation, self.generation)
            self.generation = None  # the whole list is asked for next
            return True
        if whole or listing.servers:
            log.info("%s %d: %d servers", "list" if whole else "change", generation, len(listing.servers))
        self.listed = self.listed or bool(listing.servers)
        sound = self.apply(ListKind.FULL if whole else ListKind.DELTA, listing.servers)
        # What the module failed over it may hold in part: the whole list is asked for next.
        self.generation = generation if sound else None
        return sound
