"""One control machine: `python -m emulator.control.machine`.

`POST /v1/settings` with `{"change": id, "settings": {...}}` publishes a change: 200 with its version, 400 if
it is bad, 503 if it is turned down for want of a majority, 504 if that is not known. `GET /v1/settings` hands
out versions as an agent does. `POST /v1/replica` brings messages from another machine.
"""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections import defaultdict
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import msgspec

from dykeshift.node.call import HttpClient
from dykeshift.settings import SettingsError
from dykeshift.settings_check import check_published
from emulator.control.child import report, run_child
from emulator.control.contract import Command, Cut, MachineConfig, Ready
from emulator.control.durable_log import DurableLog, FaultPoint, no_fault
from emulator.control.history import History
from emulator.control.http_server import HttpRequest, HttpResponse, HttpServer
from emulator.control.messages import Change, Envelope, Message
from emulator.control.replica import Outcome, Replica, Step, Verdict

log = logging.getLogger(__name__)

TICK = 0.02  # seconds
PEER_TIMEOUT = 0.5  # seconds for one call to another machine; its messages are lost after that
QUEUE = 256  # messages to one machine that may wait
CRASHED = 70  # exit code of a process that was told to crash

_STATUS = {Verdict.ACCEPTED: 200, Verdict.TURNED_DOWN: 503, Verdict.UNKNOWN: 504}


class PublishRequest(msgspec.Struct, frozen=True):
    """The body of a change."""

    change: str
    settings: dict[str, Any]
    unchecked: bool = False  # stands for a control plane whose own check has a fault


class PublishReply(msgspec.Struct, frozen=True):
    """What a publisher is told."""

    version: int = 0
    error: str = ""


class Peer:
    """The way to another machine: messages in order, or lost."""

    def __init__(self, sender: int, address: tuple[str, int]) -> None:
        self.sender = sender
        self.caller = HttpClient(asyncio.get_running_loop(), address, 1024)
        self.queue: asyncio.Queue[Message] = asyncio.Queue(QUEUE)
        self.task = asyncio.get_running_loop().create_task(self._deliver())

    def send(self, message: Message) -> None:
        """Queue a message; one too many is lost, which the algorithm allows."""
        if not self.queue.full():
            self.queue.put_nowait(message)

    async def _deliver(self) -> None:
        while True:
            messages = [await self.queue.get()]
            while not self.queue.empty():
                messages.append(self.queue.get_nowait())
            body = msgspec.json.encode(Envelope(self.sender, messages))
            try:
                await self.caller.call("/v1/replica", PEER_TIMEOUT, body)
            except (OSError, TimeoutError):
                self.caller.close()


class Machine:
    """The replica with its log, its peers and its callers."""

    def __init__(self, config: MachineConfig, log: DurableLog) -> None:
        self.config = config
        self.log = log
        self.replica = Replica(config.index, config.machines, log.records, config.seed + config.index)
        self.history = History()
        self.cut: set[int] = set()
        self.waiting: defaultdict[str, list[asyncio.Future[Outcome]]] = defaultdict(list)  # by change
        self.peers = {
            n: Peer(config.index, (config.addresses.machine(n).host, config.addresses.machine(n).port))
            for n in range(config.machines)
            if n != config.index
        }
        self.owed: list[Step] = []  # in order, as the log could not take their records yet
        self.failed_writes = 0
        self._hand_out()

    def carry_out(self, step: Step) -> None:
        """First the log, then whatever others may learn from.

        While the log fails nobody learns anything: the replica goes by records that a crash would take. The
        steps stay owed, and each later one, of a tick at the latest, tries again with all of them.
        """
        self.owed.append(step)
        try:
            self.log.append([record for owed in self.owed for record in owed.records])
        except OSError as error:
            self.failed_writes += 1
            if self.failed_writes == 1:
                log.warning("machine %d cannot write its log: %s", self.config.index, error)
            return
        if self.failed_writes:
            log.warning("machine %d writes its log again: %d failed", self.config.index, self.failed_writes)
            self.failed_writes = 0
        owed, self.owed = self.owed, []
        for one in owed:
            self._tell(one)

    def _tell(self, step: Step) -> None:
        """Let others learn of a step whose records are durable."""
        for receiver, message in step.messages:
            if receiver not in self.cut:
                self.peers[receiver].send(message)
        self._hand_out()
        for outcome in step.outcomes:
            for future in self.waiting.pop(outcome.change_id, []):
                if not future.done():
                    future.set_result(outcome)

    def _hand_out(self) -> None:
        for version in range(self.history.newest + 1, self.replica.newest + 1):
            self.history.add(version, self.replica.chosen[version].settings)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """One call from an agent, a publisher or another machine."""
        if request.path == "/v1/settings" and request.method == "GET":
            return await self.history.answer(request)
        if request.path == "/v1/settings" and request.method == "POST":
            return await self._publish(request)
        if request.path == "/v1/replica" and request.method == "POST":
            return self._receive(request)
        return HttpResponse(b"not found\n", 404)

    def _receive(self, request: HttpRequest) -> HttpResponse:
        envelope: Envelope = msgspec.json.decode(request.body, type=Envelope)
        if envelope.sender not in self.cut:
            for message in envelope.messages:
                self.carry_out(self.replica.receive(time.monotonic(), envelope.sender, message))
        return HttpResponse(b"")

    async def _publish(self, request: HttpRequest) -> HttpResponse:
        try:
            wanted: PublishRequest = msgspec.json.decode(request.body, type=PublishRequest)
            if not wanted.unchecked:
                check_published(wanted.settings, self._previous())
        except (msgspec.DecodeError, msgspec.ValidationError, SettingsError) as exc:
            line = " ".join(f"turned down: {exc}".split())
            return HttpResponse(msgspec.json.encode(PublishReply(error=line)), 400)
        change = Change(wanted.change, msgspec.json.encode(wanted.settings).decode())
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self.waiting[change.change_id].append(future)
        self.carry_out(self.replica.submit(time.monotonic(), change))
        outcome = await future
        reply = PublishReply(outcome.version, outcome.reason)
        return HttpResponse(msgspec.json.encode(reply), _STATUS[outcome.verdict])

    def _previous(self) -> dict[str, Any] | None:
        """The newest version that passes the check itself."""
        for version in range(self.history.newest, 0, -1):
            held: dict[str, Any] = msgspec.json.decode(self.history.settings[version])
            try:
                check_published(held, None)
            except SettingsError:
                continue
            return held
        return None

    async def tick(self) -> None:
        """Tell the replica of the time, without end."""
        while True:
            await asyncio.sleep(TICK)
            self.carry_out(self.replica.tick(time.monotonic()))


def crash_at(point: int) -> FaultPoint:
    """End the process, with nothing more written, at this fault point of its log; 0: never."""
    if not point:
        return no_fault
    reached = 0

    def reach(_: str) -> None:
        nonlocal reached
        reached += 1
        if reached == point:
            os._exit(CRASHED)

    return reach


async def main(config: MachineConfig, commands: AsyncIterator[Command]) -> None:
    """Serve until the commands end."""
    machine = Machine(config, DurableLog(Path(config.log_path), crash_at(config.crash_after)))
    address = config.addresses.machine(config.index)
    await HttpServer(machine.handle).listen(address.host, address.port)
    ticking = asyncio.get_running_loop().create_task(machine.tick())
    report(Ready())
    async for command in commands:
        if isinstance(command, Cut):
            machine.cut = set(command.machines)
    ticking.cancel()


if __name__ == "__main__":
    run_child(MachineConfig, main)
