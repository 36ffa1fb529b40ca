"""Hosts one hollow balancer in a worker: its starts and stops, its clients and its network."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Protocol

from dykeshift.interface import ListKind, Settings
from emulator.fleet.client_model import NS_PER_S, ClientModel, ClientTry, RequestOutcome, TryOutcome
from emulator.fleet.contract import Address
from emulator.fleet.hollow import HollowAttempt, HollowBalancer, HollowCounts
from emulator.fleet.hollow_discovery import DiscoveryClient, ListedPhotoServer
from emulator.fleet.hollow_measuring import HollowMeter
from emulator.fleet.hollow_shards import ShardConnections
from emulator.fleet.hollow_timers import TimerQueue
from emulator.fleet.tenant_quota import TokenBucket

READY_TIMEOUT_S = 30.0


class HostContext(Protocol):
    """What all hosts of a worker share."""

    timers: TimerQueue
    shards: ShardConnections
    model: ClientModel
    meter: HollowMeter
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    drain_grace_s: float
    answer_grace_ns: int
    tenant_quotas: list[float]  # one balancer's part of each tracked tenant's quota, in requests per second

    def pick_running_host(self) -> HollowHost | None:
        """A host whose balancer is running, for a client that retries; None if there is none."""


class HollowHost:
    """Carries out the actions of its balancer and simulates its clients."""

    def __init__(
        self,
        shared: HostContext,
        number: int,
        zone: int,
        agent: Address,
        settings: Settings,
        requests_per_s: float,
        random: Random,
    ) -> None:
        self.shared = shared
        self.number = number
        self.zone = zone
        self.balancer: HollowBalancer | None = None
        self.first_list_received = asyncio.Event()  # stays set when the balancer is restarted
        self._agent = agent
        self._settings = settings
        self._requests_per_s = requests_per_s
        self._random = random
        self._discovery: DiscoveryClient | None = None
        self._quotas = [TokenBucket(quota, 0.0) for quota in shared.tenant_quotas]
        self._next_arrival = 0

    @property
    def is_up(self) -> bool:
        """Whether clients can reach the balancer."""
        return self.balancer is not None

    # ---- start and stop ----

    async def start(self) -> None:
        """Start a new balancer without any state; it serves once it has a list of discovery.

        Raises TimeoutError if that takes longer than READY_TIMEOUT_S; the balancer serves all the same.
        """
        balancer = HollowBalancer(self._settings, self._random.getrandbits(63), self)
        discovery = self._discovery = DiscoveryClient(
            self._agent,
            self.shared.zones,
            self.shared.kinds,
            not self._settings.watch_discovery,
            self.shared.drain_grace_s,
            partial(self._on_server_list, balancer),
            balancer.report_discovery_failure,
        )
        balancer.start(time.monotonic_ns())
        discovery.start()
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await discovery.wait_for_first_list()
        finally:
            if self._discovery is discovery:
                self.balancer = balancer
            else:
                balancer.stop(time.monotonic_ns())

    def _on_server_list(
        self,
        balancer: HollowBalancer,
        now: int,
        kind: ListKind,
        listed: list[ListedPhotoServer],
        is_late: bool,
    ) -> None:
        balancer.update_server_list(now, kind, listed, is_late)
        self.first_list_received.set()

    def stop(self, now: int) -> HollowCounts:
        """Kill the balancer; its clients lose their connections. Returns its last counts."""
        if self._discovery is not None:
            self._discovery.stop()
            self._discovery = None
        balancer, self.balancer = self.balancer, None
        if balancer is None:
            return HollowCounts()
        for client_try in balancer.stop(now):
            self._end_try(now, client_try, TryOutcome.CONNECTION_FAILED, 0)
        return balancer.counts

    # ---- clients ----

    def start_arrivals(self, at: int) -> None:
        """Let requests arrive from the time `at` on."""
        if self._requests_per_s:
            self._next_arrival = at + self.shared.model.draw_interarrival_ns(self._requests_per_s)
            self.shared.timers.add(self._next_arrival, self._arrive)

    def _arrive(self, now: int) -> None:
        due_at = self._next_arrival
        if self.shared.meter.record_arrival(now - due_at):
            self._make_first_try(due_at, now)
        self._next_arrival = due_at + self.shared.model.draw_interarrival_ns(self._requests_per_s)
        self.shared.timers.add(self._next_arrival, self._arrive)

    def _make_first_try(self, due_at: int, now: int) -> None:
        client_try = self.shared.model.draw_first_try(self.number, due_at)
        tenant = client_try.request.tenant_index
        if tenant < len(self._quotas):
            within_quota = self._quotas[tenant].consume(due_at / NS_PER_S) > 0
            self.shared.meter.count_tenant_request(tenant, within_quota)
        self._submit(now, client_try)

    def retry(self, client_try: ClientTry, now: int) -> None:
        """Accept a retry of a client whose last try went to this or to another balancer."""
        self._submit(now, client_try)

    def _submit(self, now: int, client_try: ClientTry) -> None:
        self.shared.meter.counts.tries += 1
        if self.balancer is None:
            self._end_try(now, client_try, TryOutcome.CONNECTION_FAILED, 0)
            return
        name = self.balancer.submit(now, client_try)
        disconnects_after_ns = client_try.request.disconnects_after_ns
        if disconnects_after_ns and client_try.index == 0:
            disconnect = partial(self._disconnect, self.balancer, name)
            self.shared.timers.add(client_try.sent_at + disconnects_after_ns, disconnect)

    def _disconnect(self, balancer: HollowBalancer, name: str, now: int) -> None:
        if balancer.disconnect_client(now, name):
            self.shared.meter.counts.count_request_outcome(RequestOutcome.CLIENT_GONE)

    def _end_try(self, now: int, client_try: ClientTry, outcome: TryOutcome, retry_after_ns: int) -> None:
        self.shared.meter.counts.count_try_outcome(outcome)
        next_try = None
        if outcome is not TryOutcome.SERVED:
            next_try = self.shared.model.plan_retry(now, client_try, outcome, retry_after_ns)
        if next_try is None:
            request_outcome = self.shared.model.request_outcome(now, client_try, outcome)
            self.shared.meter.counts.count_request_outcome(request_outcome)
            return
        host = self.shared.pick_running_host() or self
        self.shared.timers.add(next_try.sent_at, partial(host.retry, next_try))

    # ---- Effects of the balancer ----

    def send(self, attempt: HollowAttempt, work_us: int, wait_us: int) -> None:
        """Send an attempt to the shard of its photo server."""
        self.shared.shards.connection_for(attempt).send(attempt, self.number, work_us, wait_us)

    def cancel(self, attempt: HollowAttempt) -> None:
        """Cancel an attempt at the shard of its photo server."""
        self.shared.shards.connection_for(attempt).cancel(attempt)

    def add_timer(self, at: int, callback: Callable[[int], None]) -> None:
        """Call `callback` with the current time, once `at` has passed."""
        self.shared.timers.add(at, callback)

    def start_watch(self) -> None:
        """Start a watch of discovery."""
        if self._discovery is not None:
            self._discovery.start()

    def on_final_answer(
        self, now: int, client_try: ClientTry, outcome: TryOutcome, unloaded_us: int, retry_after_ns: int
    ) -> None:
        """End the client's try, with NO_ANSWER if the client's timeout and the answer grace are over."""
        has_timed_out = now > client_try.sent_at + client_try.timeout_ns + self.shared.answer_grace_ns
        if has_timed_out:
            outcome = TryOutcome.NO_ANSWER
        elif outcome is TryOutcome.SERVED:
            self.shared.meter.record_served((now - client_try.sent_at) // 1000 - unloaded_us)
        self._end_try(now, client_try, outcome, retry_after_ns)
