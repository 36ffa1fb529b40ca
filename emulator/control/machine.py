"""One control machine: `python -m emulator.control.machine`.

`POST /v1/settings` with `{"change": id, "settings": {...}}` publishes a change. The status is 200 with its
version, 400 if it is invalid, 503 if it is rejected because no majority responded, and 504 if the result is
unknown. `GET /v1/settings` returns versions in the same form as an agent does. `POST /v1/replica` delivers
messages from another machine.
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

TICK_INTERVAL_S = 0.02
PEER_TIMEOUT_S = 0.5  # of a call to another machine; a message without a response in time counts as lost
MAX_QUEUED_MESSAGES = 256  # to one machine
CRASH_EXIT_CODE = 70  # of a process that ends at the fault point in its configuration

_STATUS_BY_VERDICT = {Verdict.ACCEPTED: 200, Verdict.REJECTED: 503, Verdict.UNKNOWN: 504}


class PublishRequest(msgspec.Struct, frozen=True):
    """The body of the request that publishes a change."""

    change: str
    settings: dict[str, Any]
    unchecked: bool = False  # skips the check, as a control plane with a faulty check would


class PublishReply(msgspec.Struct, frozen=True):
    """The body of the response to a publisher; an empty `error` means that the change is accepted."""

    version: int = 0
    error: str = ""


class Peer:
    """The connection to another machine; delivers messages in order or loses them."""

    def __init__(self, sender: int, address: tuple[str, int]) -> None:
        self.sender = sender
        self.client = HttpClient(asyncio.get_running_loop(), address, 1024)
        self.queue: asyncio.Queue[Message] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self.task = asyncio.get_running_loop().create_task(self._deliver())

    def send(self, message: Message) -> None:
        """Queue a message; it is dropped if the queue is full, which the algorithm tolerates."""
        if not self.queue.full():
            self.queue.put_nowait(message)

    async def _deliver(self) -> None:
        while True:
            messages = [await self.queue.get()]
            while not self.queue.empty():
                messages.append(self.queue.get_nowait())
            body = msgspec.json.encode(Envelope(self.sender, messages))
            try:
                await self.client.call("/v1/replica", PEER_TIMEOUT_S, body)
            except (OSError, TimeoutError):
                self.client.close()


class ControlMachine:
    """The replica with its log, its peers, and the publishers and agents that call it."""

    def __init__(self, config: MachineConfig, log: DurableLog) -> None:
        self.config = config
        self.log = log
        self.replica = Replica(config.index, config.machines, log.records, config.seed + config.index)
        self.history = SettingsHistory()
        self.unreachable_machines: set[int] = set()
        # By change ID.
        self.waiting_publishers: defaultdict[str, list[asyncio.Future[Outcome]]] = defaultdict(list)
        self.peers = {
            n: Peer(
                config.index,
                (config.addresses.machine_address(n).host, config.addresses.machine_address(n).port),
            )
            for n in range(config.machines)
            if n != config.index
        }
        self.unlogged_outputs: list[ReplicaOutput] = []  # in order; their records could not be written yet
        self.failed_write_count = 0
        self._update_history()

    def execute(self, output: ReplicaOutput) -> None:
        """Write the records to the log, then send the messages and report the outcomes.

        While the log cannot be written, nothing is sent or reported: the replica's state depends on records
        that a crash would lose. The outputs are kept, and each later call tries to write all of them again,
        at the latest that of the next tick.
        """
        self.unlogged_outputs.append(output)
        try:
            self.log.append([record for unlogged in self.unlogged_outputs for record in unlogged.records])
        except OSError as exc:
            self.failed_write_count += 1
            if self.failed_write_count == 1:
                log.warning("control machine %d cannot write its log: %s", self.config.index, exc)
            return
        if self.failed_write_count:
            log.warning(
                "control machine %d can write its log again after %d failed attempts",
                self.config.index,
                self.failed_write_count,
            )
            self.failed_write_count = 0
        outputs, self.unlogged_outputs = self.unlogged_outputs, []
        for logged_output in outputs:
            self._process_logged(logged_output)

    def _process_logged(self, output: ReplicaOutput) -> None:
        """Send the messages and report the outcomes of an output whose records are durable."""
        for receiver, message in output.messages:
            if receiver not in self.unreachable_machines:
                self.peers[receiver].send(message)
        self._update_history()
        for outcome in output.outcomes:
            for future in self.waiting_publishers.pop(outcome.change_id, []):
                if not future.done():
                    future.set_result(outcome)

    def _update_history(self) -> None:
        for version in range(self.history.newest_version + 1, self.replica.newest_version + 1):
            self.history.add(version, self.replica.chosen[version].settings)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request of an agent, a publisher or another machine."""
        if request.path == "/v1/settings" and request.method == "GET":
            return await self.history.respond(request)
        if request.path == "/v1/settings" and request.method == "POST":
            return await self._publish(request)
        if request.path == "/v1/replica" and request.method == "POST":
            return self._receive(request)
        return HttpResponse(b"not found\n", 404)

    def _receive(self, request: HttpRequest) -> HttpResponse:
        envelope: Envelope = msgspec.json.decode(request.body, type=Envelope)
        if envelope.sender not in self.unreachable_machines:
            for message in envelope.messages:
                self.execute(self.replica.receive(time.monotonic(), envelope.sender, message))
        return HttpResponse(b"")

    async def _publish(self, request: HttpRequest) -> HttpResponse:
        try:
            request_body: PublishRequest = msgspec.json.decode(request.body, type=PublishRequest)
            if not request_body.unchecked:
                check_published(request_body.settings, self._newest_valid_settings())
        except (msgspec.DecodeError, msgspec.ValidationError, SettingsError) as exc:
            error = " ".join(f"turned down: {exc}".split())
            return HttpResponse(msgspec.json.encode(PublishReply(error=error)), 400)
        change = Change(request_body.change, msgspec.json.encode(request_body.settings).decode())
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self.waiting_publishers[change.change_id].append(future)
        self.execute(self.replica.submit(time.monotonic(), change))
        outcome = await future
        reply = PublishReply(outcome.version, outcome.reason)
        return HttpResponse(msgspec.json.encode(reply), _STATUS_BY_VERDICT[outcome.verdict])

    def _newest_valid_settings(self) -> dict[str, Any] | None:
        """Return the newest settings that pass the check on their own, or None."""
        for version in range(self.history.newest_version, 0, -1):
            settings: dict[str, Any] = msgspec.json.decode(self.history.settings_by_version[version])
            try:
                check_published(settings, None)
            except SettingsError:
                continue
            return settings
        return None

    async def run_ticks(self) -> None:
        """Call the replica's `tick` at regular intervals until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.execute(self.replica.tick(time.monotonic()))


def crash_at_fault_point(point: int) -> FaultPointHook:
    """Return a hook that ends the process at once at this fault point, counted from 1; 0: never."""
    if not point:
        return ignore_fault_point
    reached_count = 0

    def on_fault_point(_: str) -> None:
        nonlocal reached_count
        reached_count += 1
        if reached_count == point:
            os._exit(CRASH_EXIT_CODE)

    return on_fault_point


async def main(config: MachineConfig, commands: AsyncIterator[Command]) -> None:
    """Run the control machine until the commands end."""
    machine = ControlMachine(
        config, DurableLog(Path(config.log_path), crash_at_fault_point(config.crash_after))
    )
    address = config.addresses.machine_address(config.index)
    await HttpServer(machine.handle).listen(address.host, address.port)
    tick_task = asyncio.get_running_loop().create_task(machine.run_ticks())
    send_report(Ready())
    async for command in commands:
        if isinstance(command, Cut):
            machine.unreachable_machines = set(command.machines)
    tick_task.cancel()


if __name__ == "__main__":
    run_child(MachineConfig, main)
