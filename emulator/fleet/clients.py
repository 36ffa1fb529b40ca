"""Process with the HTTP clients of the real balancers: `python -m emulator.fleet.clients`."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Coroutine
from functools import partial
from random import Random

import msgspec

from emulator.fleet.client_model import (
    MAX_ARRIVAL_LAG_NS,
    NS_PER_MS,
    NS_PER_S,
    ClientModel,
    ClientTry,
    RequestOutcome,
    TryOutcome,
    balancer_requests_per_s,
)
from emulator.fleet.contract import request_target
from emulator.fleet.hollow_timers import TimerQueue
from emulator.fleet.http_client import ConnectionPool, HttpResponse, HttpClientConnection
from emulator.fleet.latency import LatencyRecorder
from emulator.fleet.measures import ClientMeasure, RequestCounts
from emulator.fleet.process import ScenarioClock, FleetContext, run_child, print_message
from emulator.fleet.settings_for_balancers import tenant_name
from emulator.fleet.timeline import Event

ROLE = "clients"
TICK_S = 0.001
MOST_AT_ONCE_NS = 5_000_000  # for deadlines, before the sockets are looked at again
ANSWER_GRACE_NS = 20 * NS_PER_MS  # a client gives up so long after its deadline
REFUSALS = (429, 503)


class ServerBody(msgspec.Struct):
    """Body of a stand-in photo server's 200 answer."""

    served: str  # the request's id
    held_us: int  # from the request's last byte to the answer, the network's delays included


class OpenTry:
    """One try that has no answer yet."""

    __slots__ = ("begun", "client_try", "connection", "over")

    def __init__(self, client_try: ClientTry, begun: int) -> None:
        self.client_try = client_try
        self.begun = begun  # when this process came to it, which is no delay of the balancer's
        self.connection: HttpClientConnection | None = None
        self.over = False


class Clients:
    """All clients of the real balancers."""

    def __init__(self, fleet: FleetContext) -> None:
        config, scenario, layout = fleet.config, fleet.scenario, fleet.layout
        balancers = scenario.balancers.real
        self.config = config
        self.scenario = scenario
        self.deadlines = TimerQueue()
        self.model = ClientModel(scenario, layout, f"{config.seed}/clients")
        self._random = Random(f"{config.seed}/choice of balancer")
        self._rates = [balancer_requests_per_s(scenario, layout, number) for number in range(balancers)]
        self._pools = [
            ConnectionPool(config.addresses.balancer_address(number)) for number in range(balancers)
        ]
        self._open: set[OpenTry] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._counts = RequestCounts()
        self._added, self._lag = LatencyRecorder(), LatencyRecorder()
        self._unsound = 0

    # ---- the life of the process ----

    async def listen(self) -> None:
        """Nothing connects to the clients."""

    def start(self, clock: ScenarioClock) -> None:
        """Begin to ask."""
        start_ns = time.monotonic_ns() - int(clock.now_s() * NS_PER_S)
        for number, rate in enumerate(self._rates):
            if rate:
                self._plan_arrival(number, start_ns)
        self._run_task(self._tick())

    def apply(self, event: Event) -> None:
        """Clients learn of nothing but what they are answered."""

    def finish(self) -> None:
        """Hang up."""
        for task in list(self._tasks):
            task.cancel()
        for pool in self._pools:
            pool.close()

    def _run_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tick(self) -> None:
        while True:
            busy = self.deadlines.run_due(time.monotonic_ns, time.monotonic_ns() + MOST_AT_ONCE_NS)
            await asyncio.sleep(0 if busy else TICK_S)

    # ---- tries ----

    def _plan_arrival(self, balancer: int, after: int) -> None:
        due = after + self.model.draw_interarrival_ns(self._rates[balancer])
        self.deadlines.add(due, partial(self._arrive, balancer, due))

    def _arrive(self, balancer: int, due: int, now: int) -> None:
        self._counts.asked += 1
        self._lag.record_us((now - due) // 1000)
        if now - due > MAX_ARRIVAL_LAG_NS:
            self._counts.missed += 1
        else:
            self._begin(balancer, self.model.draw_first_try(balancer, due), now)
        self._plan_arrival(balancer, due)

    def _begin(self, balancer: int, client_try: ClientTry, now: int) -> None:
        self._counts.tries += 1
        one = OpenTry(client_try, now)
        self._open.add(one)
        given_up = client_try.sent_at + client_try.timeout_ns + ANSWER_GRACE_NS
        self.deadlines.add(given_up, partial(self._expire, one))
        if client_try.request.disconnects_after_ns and client_try.index == 0:
            self.deadlines.add(
                client_try.sent_at + client_try.request.disconnects_after_ns, partial(self._leave, one)
            )
        self._run_task(self._send(balancer, one))

    async def _send(self, balancer: int, one: OpenTry) -> None:
        try:
            connection = await self._pools[balancer].acquire()
        except OSError:
            self._end(one, TryOutcome.CONNECTION_FAILED, 0)
            return
        if one.over:
            connection.close()
            return
        one.connection = connection
        connection.send_request(self._message(one.client_try, balancer), partial(self._answered, one))

    def _message(self, client_try: ClientTry, balancer: int) -> bytes:
        request, klass = client_try.request, self.scenario.classes[client_try.request.class_index]
        method = "GET" if klass.idempotency == "safe" else "POST"
        headers = [
            f"{method} {request_target(request.work_us, balancer)} HTTP/1.1",
            "Host: backend.local",
            f"X-Request-Id: {_request_id(client_try)}",
            f"X-Class: {klass.name}",
            f"X-Tenant: {tenant_name(request.tenant_index)}",
            f"X-Deadline-Ms: {client_try.timeout_ns // NS_PER_MS}",
        ]
        if client_try.is_retry:
            headers.append("X-Retry: 1")
        if klass.idempotency == "keyed":
            headers.append(f"Idempotency-Key: key-{request.number}")
        if method == "POST":
            headers.append("Content-Length: 0")
        return "\r\n".join([*headers, "", ""]).encode()

    def _answered(self, one: OpenTry, response: HttpResponse | None) -> None:
        if response is None:
            self._end(one, TryOutcome.CONNECTION_FAILED, 0)
        elif response.status == 200:
            self._served(one, response.body)
        elif response.status in REFUSALS:
            self._end(one, TryOutcome.REFUSED, int(response.retry_after_s * NS_PER_S))
        else:
            self._end(one, TryOutcome.FAILED, 0)

    def _served(self, one: OpenTry, body: bytes) -> None:
        now = time.monotonic_ns()
        try:
            made: ServerBody = msgspec.json.decode(body, type=ServerBody)
        except msgspec.DecodeError:
            self._unsound += 1
        else:
            self._unsound += made.served != _request_id(one.client_try)
            self._added.record_us((now - one.begun) // 1000 - made.held_us)
        self._end(one, TryOutcome.SERVED, 0)

    def _expire(self, one: OpenTry, now: int) -> None:
        if not one.over:
            if one.connection is not None:
                one.connection.cancel_request()
            self._end(one, TryOutcome.NO_ANSWER, 0)

    def _leave(self, one: OpenTry, now: int) -> None:
        if not one.over:
            one.over = True
            self._open.discard(one)
            if one.connection is not None:
                one.connection.cancel_request()
            self._counts.count_request_outcome(RequestOutcome.CLIENT_GONE)

    def _end(self, one: OpenTry, end: TryOutcome, retry_after_ns: int) -> None:
        if one.over:
            return
        one.over = True
        self._open.discard(one)
        self._counts.count_try_outcome(end)
        now = time.monotonic_ns()
        again = None
        if end is not TryOutcome.SERVED:
            again = self.model.plan_retry(now, one.client_try, end, retry_after_ns)
        if again is None:
            self._counts.count_request_outcome(self.model.request_outcome(now, one.client_try, end))
        else:
            balancer = self._random.randrange(len(self._pools))
            self.deadlines.add(again.sent_at, partial(self._begin, balancer, again))

    # ---- measures ----

    def measure(self, at_s: float) -> None:
        """Print what happened since the last call."""
        counts, self._counts = self._counts, RequestCounts()
        unsound, self._unsound = self._unsound, 0
        measure = ClientMeasure(
            at_s=at_s,
            index=self.config.index,
            requests=counts,
            open_requests=len(self._open),
            connections=len(self._open) + sum(pool.idle_count() for pool in self._pools),
            added=self._added.take_summary(),
            lag=self._lag.take_summary(),
            unsound_answers=unsound,
        )
        print_message(measure)


def _request_id(client_try: ClientTry) -> str:
    return f"r{client_try.request.number}-{client_try.index}"


if __name__ == "__main__":
    sys.exit(run_child(ROLE, Clients))
