"""Agent of stand-in discovery, which answers the calls of one balancer over HTTP/1.1."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol, cast
from urllib.parse import parse_qs

import httptools

from dykeshift.node.sockets import has_peer_closed
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
    """Calls and bytes of all agents together."""

    calls: int = 0
    whole_lists: int = 0  # responses with a full list
    silent_calls: int = 0  # calls that get no response, in an outage or with silent watches
    sent_bytes: int = 0
    received_bytes: int = 0


@dataclass(frozen=True, slots=True)
class DiscoveryCall:
    """One call of a balancer."""

    generation: int | None  # of the balancer's list; None: it asks for the full list
    hold_ms: int  # maximal wait of a long poll; 0: the call is answered at once


class ResponseSender(Protocol):
    """Sends the response to a call."""

    def respond(self, body: bytes) -> None:
        """Send a response with this body, unless the balancer has disconnected."""


@dataclass(slots=True, eq=False)
class PendingLongPoll:
    """A call that waits for a change of the list."""

    generation: int
    sender: ResponseSender


@dataclass(slots=True, eq=False)
class DiscoveryAgent:
    """Sends one balancer the list versions that the discovery replica of its region has released."""

    encoder: RegionEncoder
    acknowledgements: AcknowledgementTracker
    traffic: TrafficCounts
    releases: DeadlineHeap
    versions: Sequence[ListVersion]
    visible_at_s: Callable[[float], float]  # from the release time of a version to when this agent has it
    call_later: Callable[[float, Callable[[], None]], object]
    generation: int = FIRST_GENERATION  # latest one that this agent has
    ignores_calls: bool = False
    ignores_long_polls: bool = False
    long_polls: list[PendingLongPoll] = field(default_factory=list)

    def schedule_release(self) -> None:
        """Schedule the time at which this agent gets the next version."""
        next_index = self.generation - FIRST_GENERATION
        if next_index < len(self.versions):
            self.releases.add(self.visible_at_s(self.versions[next_index].release_s), self._release)

    def handle_call(self, call: DiscoveryCall, sender: ResponseSender, now_s: float) -> None:
        """Answer a call at once, hold it as a long poll, or ignore it."""
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
        """Ignore all calls, or long polls only. Pending long polls are never answered."""
        if long_polls_only:
            self.ignores_long_polls = True
        else:
            self.ignores_calls = True
        self.traffic.silent_calls += len(self.long_polls)
        self.long_polls.clear()

    def handle_balancer_restart(self) -> None:
        """Forget the pending calls of a balancer whose process has ended."""
        self.acknowledgements.handle_balancer_restart()
        self.long_polls.clear()

    def _release(self, at_s: float) -> None:
        first = self.generation - FIRST_GENERATION
        for version in self.versions[first:]:
            if self.visible_at_s(version.release_s) > at_s:
                break
            self.generation = version.generation
            self.acknowledgements.track_release(version.generation, at_s)
        waiting, self.long_polls = self.long_polls, []
        for long_poll in waiting:
            long_poll.sender.respond(self.encoder.delta(long_poll.generation, self.generation))
        self.schedule_release()

    def _expire(self, long_poll: PendingLongPoll) -> None:
        if long_poll in self.long_polls:
            self.long_polls.remove(long_poll)
            long_poll.sender.respond(self.encoder.delta(long_poll.generation, self.generation))


class AgentConnection(asyncio.Protocol):
    """Connection of a balancer to its agent."""

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
        """Callback of asyncio.Protocol."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Callback of asyncio.Protocol."""
        self._transport = None
        self._transfers.finish(self)

    def data_received(self, data: bytes) -> None:
        """Callback of asyncio.Protocol."""
        self._agent.traffic.received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._transport is not None:
                self._transport.close()
        self._rearm()

    def on_message_begin(self) -> None:
        """Callback of the parser."""
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Callback of the parser."""
        self._target += url

    def on_message_complete(self) -> None:
        """Callback of the parser."""
        self._transfers.finish(self)
        call = parse_call(self._target)
        if call is None or self._parser.get_method() != b"GET":
            self._send(NOT_FOUND)
        else:
            self._agent.handle_call(call, self, self._now_s())

    def respond(self, body: bytes) -> None:
        """Part of `ResponseSender`."""
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
    """Parse a request target; None if it is not a valid call."""
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
