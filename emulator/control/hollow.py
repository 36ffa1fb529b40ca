"""Hollow balancers, many in one process: `python -m emulator.control.hollow`.

Each has the real settings client and the real decision module, and a few requests at made-up servers that
answer after a fixed time, so that a change finds requests in every state.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from dykeshift.control import Reject, SettingsControl
from dykeshift.interface import (
    Action,
    AttemptEnd,
    Cancel,
    Fail,
    Idempotency,
    ListKind,
    Outcome,
    Refuse,
    Request,
    Send,
    ServerEntry,
    ServerListUpdate,
    ServerState,
    SetTimer,
    Settings,
)
from dykeshift.node.settings_watch import SettingsWatch
from dykeshift.rules import Balancer
from dykeshift.settings import parse_settings
from emulator.control.child import run_child, send_report
from emulator.control.contract import (
    Command,
    Finish,
    HollowConfig,
    InForce,
    Measure,
    Ready,
    RequestFailed,
    RequestTotals,
    Restart,
    Started,
    TurnedDown,
)

SERVERS = 10
SERVICE_TIME = 0.02  # seconds


def parse(raw: dict[str, Any]) -> Settings:
    """The settings with the names of their tenants, as a balancer reads them."""
    numbers = {party["name"].encode(): n for n, party in enumerate(raw["parties"])}
    return replace(parse_settings(raw), tenant_indexes=numbers)


class ReportingControl(SettingsControl[Settings]):
    """Reports what comes into force and what does not."""

    def __init__(self, balancer: int, base: dict[str, Any], seed: int) -> None:
        super().__init__(base, 0, parse, seed)
        self.balancer = balancer

    def on_applied(self, version: int) -> None:
        """Say so, with the time."""
        super().on_applied(version)
        send_report(InForce(self.balancer, version, time.monotonic_ns()))

    def reject(self, version: int, reason: str) -> Reject:
        """Say so, with the reason."""
        reject = super().reject(version, reason)
        send_report(TurnedDown(self.balancer, version, reject.reason))
        return reject


@dataclass(slots=True)
class Totals:
    """Counts over all balancers of the process."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    repeated: int = 0
    restarted: int = 0


@dataclass(slots=True)
class OpenRequest:
    """A request until its final answer and the ends of its attempts."""

    unsafe: bool
    arrived: int
    servers: list[int] = field(default_factory=list)
    ended: set[int] = field(default_factory=set)
    sent: list[int] = field(default_factory=list)
    final: bool = False


class HollowBalancer:
    """One life of a balancer: a restart makes a new one."""

    def __init__(self, number: int, config: HollowConfig, totals: Totals, life: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.number = number
        self.config = config
        self.totals = totals
        seed = config.seed + 1000 * life + number
        self.random = Random(seed)
        base = {**config.settings, "az": 0, "me": number}
        self.module = Balancer(parse(base), seed)
        address = config.addresses.agent_address(number)
        control = ReportingControl(number, base, seed)
        self.watch = SettingsWatch(self.loop, (address.host, address.port), control, self._put_in_force)
        self.open: dict[str, OpenRequest] = {}
        self.count = 0
        self.alive = True
        self.task = self.loop.create_task(self._live())

    def kill(self) -> None:
        """End at once; what is open is the clients' to try again."""
        self.alive = False
        self.task.cancel()
        self.watch.close()
        self.totals.restarted += sum(not request.final for request in self.open.values())

    def _put_in_force(self, settings: Settings) -> bool:
        self._do(self.module.on_settings(time.monotonic_ns(), settings))
        return True

    async def _live(self) -> None:
        now = time.monotonic_ns()
        self._do(self.module.on_start(now))
        entries = [
            ServerEntry(id=n, zone=0, cell=0, kind=0, state=ServerState.READY, weight=1.0, started_at=0)
            for n in range(SERVERS)
        ]
        self._do(self.module.on_list(now, ServerListUpdate(ListKind.FULL, tuple(entries))))
        await self.watch.wait_until_up_to_date()
        send_report(Started(self.number, self.watch.control.version, time.monotonic_ns()))
        while self.config.requests_per_s:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) / self.config.requests_per_s)
            self._submit()

    def stop(self) -> None:
        """No further requests."""
        self.task.cancel()

    def _submit(self) -> None:
        self.count += 1
        self.totals.requests += 1
        classes = self.module.settings.classes
        number = self.random.randrange(len(classes))
        name, now = f"{self.number}/{self.count}", time.monotonic_ns()
        self.open[name] = OpenRequest(classes[number].idempotency is Idempotency.UNSAFE, now)
        tenant = self.random.randrange(len(self.module.settings.tenant_quotas_per_s) + 1)
        request = Request(name, number, now + classes[number].client_timeout, tenant_index=tenant)
        self._do(self.module.on_request(now, request))

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, SetTimer):
                wait = (action.fire_at - time.monotonic_ns()) / 1e9
                self.loop.call_later(max(0.0, wait), self._timer, action.token)
            elif isinstance(action, Cancel):
                self.loop.call_soon(self._end, action.request_id, action.attempt_index, Outcome.CANCELLED)
            elif isinstance(action, Refuse):
                self.totals.refused += 1
                self._report_failed(action.request_id, "refused")
                self._finish(action.request_id)
            elif isinstance(action, Fail):
                self.totals.failed += 1
                self._report_failed(action.request_id, "failed")
                self._finish(action.request_id)

    def _report_failed(self, name: str, what: str) -> None:
        """With the reasons for which the module has given requests up lately."""
        request = self.open[name]
        reasons = " ".join(f"{reason}:{n}" for reason, n in self.module.give_up_counts.items())
        after_ms = (time.monotonic_ns() - request.arrived) / 1e6
        send_report(RequestFailed(self.number, f"{what}, {reasons}", after_ms))

    def _timer(self, token: str) -> None:
        if self.alive:
            self._do(self.module.on_timer(time.monotonic_ns(), token))

    def _send(self, action: Send) -> None:
        request = self.open[action.request_id]
        self.totals.repeated += request.unsafe and bool(request.servers)
        attempt = len(request.servers)
        request.servers.append(action.server_id)
        request.sent.append(time.monotonic_ns())
        self.loop.call_later(SERVICE_TIME, self._end, action.request_id, attempt, Outcome.OK)

    def _end(self, name: str, attempt: int, outcome: Outcome) -> None:
        request = self.open.get(name)
        if not self.alive or request is None or attempt in request.ended:
            return
        request.ended.add(attempt)
        if outcome is Outcome.OK and not request.final:
            self.totals.served += 1
            request.final = True
        now = time.monotonic_ns()
        server, latency = request.servers[attempt], now - request.sent[attempt]
        end = AttemptEnd(name, attempt, server, outcome, latency, request.final)
        self._do(self.module.on_attempt_end(now, end))
        self._forget(name)

    def _finish(self, name: str) -> None:
        self.open[name].final = True
        self._forget(name)

    def _forget(self, name: str) -> None:
        request = self.open.get(name)
        if request is not None and request.final and len(request.ended) == len(request.servers):
            del self.open[name]


class HollowProcess:
    """All hollow balancers of one process."""

    def __init__(self, config: HollowConfig) -> None:
        self.config = config
        self.totals = Totals()
        self.lives = 0
        self.balancers = {n: HollowBalancer(n, config, self.totals, 0) for n in config.balancers}

    def restart(self, numbers: list[int]) -> None:
        """Kill these and start them again."""
        self.lives += 1
        for number in numbers:
            self.balancers[number].kill()
            self.balancers[number] = HollowBalancer(number, self.config, self.totals, self.lives)

    def request_totals(self) -> RequestTotals:
        """The counts so far; what has no answer is lost."""
        open_requests = sum(not r.final for b in self.balancers.values() for r in b.open.values())
        t = self.totals
        return RequestTotals(
            t.requests, t.served, t.refused, t.failed, open_requests, t.repeated, t.restarted
        )

    async def finish(self) -> None:
        """Let all open requests come to their end."""
        for balancer in self.balancers.values():
            balancer.stop()
        longest = max(
            (c.client_timeout for b in self.balancers.values() for c in b.module.settings.classes), default=0
        )
        until = asyncio.get_running_loop().time() + longest / 1e9
        while asyncio.get_running_loop().time() < until and self.request_totals().lost:
            await asyncio.sleep(0.05)
        send_report(self.request_totals())


async def main(config: HollowConfig, commands: AsyncIterator[Command]) -> None:
    """Run all balancers until the commands end."""
    logging.disable(logging.ERROR)  # what would be logged is reported
    process = HollowProcess(config)
    send_report(Ready())
    async for command in commands:
        if isinstance(command, Restart):
            process.restart(command.balancers)
        elif isinstance(command, Measure):
            send_report(process.request_totals())
        elif isinstance(command, Finish):
            await process.finish()


if __name__ == "__main__":
    run_child(HollowConfig, main)
