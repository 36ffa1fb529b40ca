"""One agent of stand-in discovery: answers the calls of one balancer, over HTTP/1.1."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol, cast
from urllib.parse import parse_qs

import httptools

from dykeshift.node.http1 import has_peer_closed
from emulator.fleet.deadlines import DeadlineHeap
from emulator.fleet.discovery_encoding import RegionEncoder
from emulator.fleet.discovery_list import FIRST_GENERATION, ListVersion
from emulator.fleet.discovery_measures import AcknowledgementTracker
from emulator.fleet.discovery_transfers import TransferQueue

ENDPOINTS_PATH = b"/v1/endpoints"
MAX_LONG_POLL_MS = 60_000
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


@dataclass(slots=True)
class TrafficCounts:
    """What all agents together have been asked and have answered."""

    calls: int = 0
    whole_lists: int = 0
    silent_calls: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


@dataclass(frozen=True, slots=True)
class DiscoveryCall:
    """One call of a balancer."""

    generation: int | None  # that the balancer has; None: it asks for the whole list
    hold_ms: int


class ResponseSender(Protocol):
    """Where the answer to a call goes."""

    def respond(self, body: bytes) -> None:
        """Send the answer; does nothing if the balancer is gone."""


@dataclass(slots=True, eq=False)
class PendingLongPoll:
    """A call that waits for news."""

    generation: int
    sender: ResponseSender


@dataclass(slots=True, eq=False)
class DiscoveryAgent:
    """Tells one balancer what the replica of its region has released to it."""

    encoder: RegionEncoder
    acknowledgements: AcknowledgementTracker
    traffic: TrafficCounts
    releases: DeadlineHeap
    versions: Sequence[ListVersion]
    visible_at_s: Callable[[float], float]  # when this agent can tell what was released at a time
    call_later: Callable[[float, Callable[[], None]], object]
    generation: int = FIRST_GENERATION
    ignores_calls: bool = False  # answers nothing
    ignores_long_polls: bool = False  # answers no held call
    long_polls: list[PendingLongPoll] = field(default_factory=list)

    def schedule_release(self) -> None:
        """Add the time at which the next version becomes visible here."""
        upcoming = self.generation - FIRST_GENERATION
        if upcoming < len(self.versions):
            self.releases.add(self.visible_at_s(self.versions[upcoming].release_s), self._release)

    def handle_call(self, call: DiscoveryCall, sender: ResponseSender, now_s: float) -> None:
        """Answer a call, at once or later, or stay silent."""
        self.traffic.calls += 1
        if self.ignores_calls or (self.ignores_long_polls and call.hold_ms):
            self.traffic.silent_calls += 1
            return
        self.acknowledgements.handle_call(call.generation, now_s)
        if call.generation is None or not FIRST_GENERATION <= call.generation <= self.generation:
            self.traffic.whole_lists += 1
            sender.respond(self.encoder.full_list(self.generation))
        elif call.generation < self.generation or not call.hold_ms:
            sender.respond(self.encoder.delta(call.generation, self.generation))
        else:
            long_poll = PendingLongPoll(call.generation, sender)
            self.long_polls.append(long_poll)
            self.call_later(call.hold_ms / 1e3, lambda: self._expire(long_poll))

    def stop_responding(self, *, long_polls_only: bool) -> None:
        """Answer no call any more, or only those that are not held; calls that wait are never answered."""
        if long_polls_only:
            self.ignores_long_polls = True
        else:
            self.ignores_calls = True
        self.traffic.silent_calls += len(self.long_polls)
        self.long_polls.clear()

    def handle_balancer_restart(self) -> None:
        """The balancer has ended."""
        self.acknowledgements.handle_balancer_restart()
        self.long_polls.clear()

    def _release(self, at_s: float) -> None:
        first = self.generation - FIRST_GENERATION
        for version in self.versions[first:]:
            if self.visible_at_s(version.release_s) > at_s:
                break
            self.generation = version.generation
            self.acknowledgements.release(version.generation, at_s)
        waiting, self.long_polls = self.long_polls, []
        for long_poll in waiting:
            long_poll.sender.respond(self.encoder.delta(long_poll.generation, self.generation))
        self.schedule_release()

    def _expire(self, long_poll: PendingLongPoll) -> None:
        if long_poll in self.long_polls:
            self.long_polls.remove(long_poll)
            long_poll.sender.respond(self.encoder.delta(long_poll.generation, self.generation))


class AgentConnection(asyncio.Protocol):
    """One connection of a balancer to its agent."""

    def __init__(
        self,
        agent: DiscoveryAgent,
        transfers: TransferQueue,
        now_s: Callable[[], float],
        rearm: Callable[[], None],
    ) -> None:
        self._agent = agent
        self._transfers = transfers
        self._now_s = now_s
        self._rearm = rearm
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of asyncio.Protocol."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Part of asyncio.Protocol."""
        self._transport = None
        self._transfers.finish(self)

    def data_received(self, data: bytes) -> None:
        """Part of asyncio.Protocol."""
        self._agent.traffic.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._transport is not None:
                self._transport.close()
        self._rearm()

    def on_message_begin(self) -> None:
        """Part of the parser's callbacks."""
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Part of the parser's callbacks."""
        self._target += url

    def on_message_complete(self) -> None:
        """Part of the parser's callbacks."""
        self._transfers.finish(self)
        call = parse_call(self._target)
        if call is None or self._parser.get_method() != b"GET":
            self._send(NOT_FOUND)
        else:
            self._agent.handle_call(call, self, self._now_s())

    def respond(self, body: bytes) -> None:
        """Part of `Reply`."""
        self._transfers.send(self, body)

    def has_disconnected(self) -> bool:
        """Part of `Receiver`."""
        return self._transport is None or has_peer_closed(self._transport.get_extra_info("socket"))

    def write(self, body: bytes) -> None:
        """Part of `Receiver`."""
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
        self._send(head + body)

    def _send(self, data: bytes) -> None:
        if self._transport is not None:
            self._agent.traffic.sent_bytes += len(data)
            self._transport.write(data)


def parse_call(target: bytes) -> DiscoveryCall | None:
    """The call that a request target makes; None if it makes none."""
    path, _, query = target.partition(b"?")
    if path != ENDPOINTS_PATH:
        return None
    values = parse_qs(query.decode("latin-1"))
    try:
        generation = int(values["from"][0]) if "from" in values else None
        hold_ms = int(values.get("hold_ms", ["0"])[0])
    except ValueError:
        return None
    return DiscoveryCall(generation, min(max(hold_ms, 0), MAX_LONG_POLL_MS))
