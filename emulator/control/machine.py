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
from emulator.control.child import run_child, send_report
from emulator.control.contract import Command, Cut, MachineConfig, Ready
from emulator.control.durable_log import DurableLog, FaultPointHook, ignore_fault_point
from emulator.control.history import SettingsHistory
from emulator.control.http_server import HttpRequest, HttpResponse, HttpServer
from emulator.control.messages import Change, Envelope, Message
from emulator.control.replica import Outcome, Replica, ReplicaOutput, Verdict

log = logging.getLogger(__name__)

TICK = 0.02  # seconds
PEER_TIMEOUT = 0.5  # seconds for one call to another machine; its messages are lost after that
QUEUE = 256  # messages to one machine that may wait
CRASH_EXIT_CODE = 70  # exit code of a process that was told to crash

_STATUS = {Verdict.ACCEPTED: 200, Verdict.REJECTED: 503, Verdict.UNKNOWN: 504}


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


class ControlMachine:
    """The replica with its log, its peers and its callers."""

    def __init__(self, config: MachineConfig, log: DurableLog) -> None:
        self.config = config
        self.log = log
        self.replica = Replica(config.index, config.machines, log.records, config.seed + config.index)
        self.history = SettingsHistory()
        self.cut: set[int] = set()
        self.waiting_publishers: defaultdict[str, list[asyncio.Future[Outcome]]] = defaultdict(
            list
        )  # by change
        self.peers = {
            n: Peer(
                config.index,
                (config.addresses.machine_address(n).host, config.addresses.machine_address(n).port),
            )
            for n in range(config.machines)
            if n != config.index
        }
        self.pending_steps: list[ReplicaOutput] = []  # in order, as the log could not take their records yet
        self.failed_write_count = 0
        self._hand_out()

    def execute(self, step: ReplicaOutput) -> None:
        """First the log, then whatever others may learn from.

        While the log fails nobody learns anything: the replica goes by records that a crash would take. The
        steps stay owed, and each later one, of a tick at the latest, tries again with all of them.
        """
        self.pending_steps.append(step)
        try:
            self.log.append(
                [record for pending_steps in self.pending_steps for record in pending_steps.records]
            )
        except OSError as error:
            self.failed_write_count += 1
            if self.failed_write_count == 1:
                log.warning("machine %d cannot write its log: %s", self.config.index, error)
            return
        if self.failed_write_count:
            log.warning(
                "machine %d writes its log again: %d failed", self.config.index, self.failed_write_count
            )
            self.failed_write_count = 0
        pending_steps, self.pending_steps = self.pending_steps, []
        for one in pending_steps:
            self._tell(one)

    def _tell(self, step: ReplicaOutput) -> None:
        """Let others learn of a step whose records are durable."""
        for receiver, message in step.messages:
            if receiver not in self.cut:
                self.peers[receiver].send(message)
        self._hand_out()
        for outcome in step.outcomes:
            for future in self.waiting_publishers.pop(outcome.change_id, []):
                if not future.done():
                    future.set_result(outcome)

    def _hand_out(self) -> None:
        for version in range(self.history.newest_version + 1, self.replica.newest_version + 1):
            self.history.add(version, self.replica.chosen[version].settings)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """One call from an agent, a publisher or another machine."""
        if request.path == "/v1/settings" and request.method == "GET":
            return await self.history.respond(request)
        if request.path == "/v1/settings" and request.method == "POST":
            return await self._publish(request)
        if request.path == "/v1/replica" and request.method == "POST":
            return self._receive(request)
        return HttpResponse(b"not found\n", 404)

    def _receive(self, request: HttpRequest) -> HttpResponse:
        envelope: Envelope = msgspec.json.decode(request.body, type=Envelope)
        if envelope.sender not in self.cut:
            for message in envelope.messages:
                self.execute(self.replica.receive(time.monotonic(), envelope.sender, message))
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
        self.waiting_publishers[change.change_id].append(future)
        self.execute(self.replica.submit(time.monotonic(), change))
        outcome = await future
        reply = PublishReply(outcome.version, outcome.reason)
        return HttpResponse(msgspec.json.encode(reply), _STATUS[outcome.verdict])

    def _previous(self) -> dict[str, Any] | None:
        """The newest version that passes the check itself."""
        for version in range(self.history.newest_version, 0, -1):
            held: dict[str, Any] = msgspec.json.decode(self.history.settings_by_version[version])
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
            self.execute(self.replica.tick(time.monotonic()))


def crash_at_fault_point(point: int) -> FaultPointHook:
    """End the process, with nothing more written, at this fault point of its log; 0: never."""
    if not point:
        return ignore_fault_point
    reached = 0

    def reach(_: str) -> None:
        nonlocal reached
        reached += 1
        if reached == point:
            os._exit(CRASH_EXIT_CODE)

    return reach


async def main(config: MachineConfig, commands: AsyncIterator[Command]) -> None:
    """Serve until the commands end."""
    machine = ControlMachine(
        config, DurableLog(Path(config.log_path), crash_at_fault_point(config.crash_after))
    )
    address = config.addresses.machine_address(config.index)
    await HttpServer(machine.handle).listen(address.host, address.port)
    ticking = asyncio.get_running_loop().create_task(machine.tick())
    send_report(Ready())
    async for command in commands:
        if isinstance(command, Cut):
            machine.cut = set(command.machines)
    ticking.cancel()


if __name__ == "__main__":
    run_child(MachineConfig, main)
