"""Hollow balancers, many in one process: `python -m emulator.control.hollow`.

Each runs the real settings client and the real decision module, and processes a few requests with simulated
servers that respond after a fixed time, so that settings change while requests are in every state.
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

SERVER_COUNT = 10  # simulated servers of each hollow balancer
SERVICE_TIME_S = 0.02  # of every attempt


def parse_with_tenants(raw: dict[str, Any]) -> Settings:
    """Parse settings together with the names of the tenants, as a real balancer does."""
    indexes = {party["name"].encode(): n for n, party in enumerate(raw["parties"])}
    return replace(parse_settings(raw), tenant_indexes=indexes)


class ReportingSettingsControl(SettingsControl[Settings]):
    """Reports each version that is applied or rejected."""

    def __init__(self, balancer_index: int, base: dict[str, Any], seed: int) -> None:
        super().__init__(base, 0, parse_with_tenants, seed)
        self.balancer_index = balancer_index

    def on_applied(self, version: int) -> None:
        """Record and report that this version is in force."""
        super().on_applied(version)
        send_report(InForce(self.balancer_index, version, time.monotonic_ns()))

    def reject(self, version: int, reason: str) -> Reject:
        """Record and report that this version is rejected."""
        reject = super().reject(version, reason)
        send_report(TurnedDown(self.balancer_index, version, reject.reason))
        return reject


@dataclass(slots=True)
class Totals:
    """Numbers of requests over all balancers of the process."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    repeated: int = 0
    restarted: int = 0


@dataclass(slots=True)
class OpenRequest:
    """A request until it has its final answer and all its attempts have ended."""

    is_unsafe: bool
    arrived_at_ns: int
    server_ids: list[int] = field(default_factory=list)  # by attempt
    ended_attempts: set[int] = field(default_factory=set)
    sent_at_ns: list[int] = field(default_factory=list)  # by attempt
    is_closed: bool = False  # it has its final answer


class HollowBalancer:
    """One incarnation of a balancer, from one start to the next."""

    def __init__(self, balancer_index: int, config: HollowConfig, totals: Totals, incarnation: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.balancer_index = balancer_index
        self.config = config
        self.totals = totals
        seed = config.seed + 1000 * incarnation + balancer_index
        self.random = Random(seed)
        base = {**config.settings, "az": 0, "me": balancer_index}
        self.decision_module = Balancer(parse_with_tenants(base), seed)
        address = config.addresses.agent_address(balancer_index)
        control = ReportingSettingsControl(balancer_index, base, seed)
        self.settings_watch = SettingsWatch(
            self.loop, (address.host, address.port), control, self._apply_settings
        )
        self.open_requests: dict[str, OpenRequest] = {}
        self.request_count = 0
        self.is_alive = True
        self.task = self.loop.create_task(self._run())

    def kill(self) -> None:
        """End this incarnation at once.

        Its open requests count as `restarted`, not as lost: their clients would repeat them.
        """
        self.is_alive = False
        self.task.cancel()
        self.settings_watch.close()
        self.totals.restarted += sum(not request.is_closed for request in self.open_requests.values())

    def _apply_settings(self, settings: Settings) -> bool:
        self._execute(self.decision_module.on_settings(time.monotonic_ns(), settings))
        return True

    async def _run(self) -> None:
        now = time.monotonic_ns()
        self._execute(self.decision_module.on_start(now))
        entries = [
            ServerEntry(id=n, zone=0, cell=0, kind=0, state=ServerState.READY, weight=1.0, started_at=0)
            for n in range(SERVER_COUNT)
        ]
        self._execute(self.decision_module.on_list(now, ServerListUpdate(ListKind.FULL, tuple(entries))))
        await self.settings_watch.wait_until_up_to_date()
        send_report(Started(self.balancer_index, self.settings_watch.control.version, time.monotonic_ns()))
        while self.config.requests_per_s:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) / self.config.requests_per_s)
            self._submit()

    def stop(self) -> None:
        """Stop sending requests."""
        self.task.cancel()

    def _submit(self) -> None:
        self.request_count += 1
        self.totals.requests += 1
        classes = self.decision_module.settings.classes
        class_index = self.random.randrange(len(classes))
        request_id, now = f"{self.balancer_index}/{self.request_count}", time.monotonic_ns()
        self.open_requests[request_id] = OpenRequest(
            classes[class_index].idempotency is Idempotency.UNSAFE, now
        )
        tenant_index = self.random.randrange(len(self.decision_module.settings.tenant_quotas_per_s) + 1)
        request = Request(
            request_id, class_index, now + classes[class_index].client_timeout, tenant_index=tenant_index
        )
        self._execute(self.decision_module.on_request(now, request))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, SetTimer):
                delay_s = (action.fire_at - time.monotonic_ns()) / 1e9
                self.loop.call_later(max(0.0, delay_s), self._on_timer, action.token)
            elif isinstance(action, Cancel):
                self.loop.call_soon(
                    self._end_attempt, action.request_id, action.attempt_index, Outcome.CANCELLED
                )
            elif isinstance(action, Refuse):
                self.totals.refused += 1
                self._report_failed(action.request_id, "refused")
                self._close_request(action.request_id)
            elif isinstance(action, Fail):
                self.totals.failed += 1
                self._report_failed(action.request_id, "failed")
                self._close_request(action.request_id)

    def _report_failed(self, request_id: str, what: str) -> None:
        """Report the request with the decision module's counts of reasons for giving requests up."""
        request = self.open_requests[request_id]
        give_up_counts = " ".join(
            f"{reason}:{n}" for reason, n in self.decision_module.give_up_counts.items()
        )
        after_ms = (time.monotonic_ns() - request.arrived_at_ns) / 1e6
        send_report(RequestFailed(self.balancer_index, f"{what}, {give_up_counts}", after_ms))

    def _on_timer(self, token: str) -> None:
        if self.is_alive:
            self._execute(self.decision_module.on_timer(time.monotonic_ns(), token))

    def _send(self, action: Send) -> None:
        request = self.open_requests[action.request_id]
        self.totals.repeated += request.is_unsafe and bool(request.server_ids)
        attempt_index = len(request.server_ids)
        request.server_ids.append(action.server_id)
        request.sent_at_ns.append(time.monotonic_ns())
        self.loop.call_later(SERVICE_TIME_S, self._end_attempt, action.request_id, attempt_index, Outcome.OK)

    def _end_attempt(self, request_id: str, attempt_index: int, outcome: Outcome) -> None:
        request = self.open_requests.get(request_id)
        if not self.is_alive or request is None or attempt_index in request.ended_attempts:
            return
        request.ended_attempts.add(attempt_index)
        if outcome is Outcome.OK and not request.is_closed:
            self.totals.served += 1
            request.is_closed = True
        now = time.monotonic_ns()
        server_id, latency = request.server_ids[attempt_index], now - request.sent_at_ns[attempt_index]
        attempt_end = AttemptEnd(request_id, attempt_index, server_id, outcome, latency, request.is_closed)
        self._execute(self.decision_module.on_attempt_end(now, attempt_end))
        self._remove_if_done(request_id)

    def _close_request(self, request_id: str) -> None:
        self.open_requests[request_id].is_closed = True
        self._remove_if_done(request_id)

    def _remove_if_done(self, request_id: str) -> None:
        request = self.open_requests.get(request_id)
        if (
            request is not None
            and request.is_closed
            and len(request.ended_attempts) == len(request.server_ids)
        ):
            del self.open_requests[request_id]


class HollowProcess:
    """All hollow balancers of one process."""

    def __init__(self, config: HollowConfig) -> None:
        self.config = config
        self.totals = Totals()
        self.latest_incarnation = 0
        self.balancers = {n: HollowBalancer(n, config, self.totals, 0) for n in config.balancers}

    def restart(self, balancer_indexes: list[int]) -> None:
        """Kill these balancers and start them again."""
        self.latest_incarnation += 1
        for index in balancer_indexes:
            self.balancers[index].kill()
            self.balancers[index] = HollowBalancer(index, self.config, self.totals, self.latest_incarnation)

    def request_totals(self) -> RequestTotals:
        """Return the totals so far; requests without a final answer count as lost."""
        open_request_count = sum(
            not r.is_closed for b in self.balancers.values() for r in b.open_requests.values()
        )
        totals = self.totals
        return RequestTotals(
            totals.requests,
            totals.served,
            totals.refused,
            totals.failed,
            open_request_count,
            totals.repeated,
            totals.restarted,
        )

    async def finish(self) -> None:
        """Stop new requests; report the totals when none is open, or after the longest client timeout."""
        for balancer in self.balancers.values():
            balancer.stop()
        longest_client_timeout = max(
            (c.client_timeout for b in self.balancers.values() for c in b.decision_module.settings.classes),
            default=0,
        )
        end_time = asyncio.get_running_loop().time() + longest_client_timeout / 1e9
        while asyncio.get_running_loop().time() < end_time and self.request_totals().lost:
            await asyncio.sleep(0.05)
        send_report(self.request_totals())


async def main(config: HollowConfig, commands: AsyncIterator[Command]) -> None:
    """Run all balancers until the commands end."""
    logging.disable(logging.ERROR)  # reports contain what would be logged
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
