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
from emulator.fleet.http_client import ConnectionPool, HttpClientConnection, HttpResponse
from emulator.fleet.latency import LatencyRecorder
from emulator.fleet.measures import ClientMeasure, RequestCounts
from emulator.fleet.process import FleetContext, ScenarioClock, print_message, run_child
from emulator.fleet.settings_for_balancers import tenant_name
from emulator.fleet.timeline import Event

ROLE = "clients"
TIMER_INTERVAL_S = 0.001
MAX_TIMER_RUN_NS = 5_000_000  # due timers run for at most this long before the sockets are served again
RESPONSE_GRACE_NS = 20 * NS_PER_MS  # a client waits this much longer than the timeout of its try
REFUSAL_STATUSES = (429, 503)


class ServerBody(msgspec.Struct):
    """Body of a 200 response of a stand-in photo server."""

    served: str  # id of the request
    held_us: int  # from the last byte of the request to the response, including the simulated network delays


class OpenTry:
    """A try that has no response yet."""

    __slots__ = ("client_try", "connection", "is_closed", "started_at")

    def __init__(self, client_try: ClientTry, started_at: int) -> None:
        self.client_try = client_try
        # Later than `sent_at` by the lag of this process, which must not count as latency of the balancer.
        self.started_at = started_at
        self.connection: HttpClientConnection | None = None
        self.is_closed = False


class ClientProcess:
    """The clients of all real balancers."""

    def __init__(self, fleet: FleetContext) -> None:
        config, scenario, layout = fleet.config, fleet.scenario, fleet.layout
        balancers = scenario.balancers.real
        self.config = config
        self.scenario = scenario
        self.timers = TimerQueue()
        self.model = ClientModel(scenario, layout, f"{config.seed}/clients")
        self._random = Random(f"{config.seed}/choice of balancer")
        self._rates = [balancer_requests_per_s(scenario, layout, number) for number in range(balancers)]
        self._pools = [
            ConnectionPool(config.addresses.balancer_address(number)) for number in range(balancers)
        ]
        self._open_tries: set[OpenTry] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._counts = RequestCounts()
        self._added, self._lag = LatencyRecorder(), LatencyRecorder()
        self._invalid_answers = 0

    # ---- ChildRole: start and end of the process ----

    async def listen(self) -> None:
        """Do nothing: clients accept no connections."""

    def start(self, clock: ScenarioClock) -> None:
        """Schedule the first arrival for each balancer."""
        start_ns = time.monotonic_ns() - int(clock.now_s() * NS_PER_S)
        for number, rate in enumerate(self._rates):
            if rate:
                self._schedule_arrival(number, start_ns)
        self._start_task(self._run_timers())

    def apply(self, event: Event) -> None:
        """Do nothing: clients learn of events only by the responses that they receive."""

    def finish(self) -> None:
        """Stop all tasks and close the idle connections."""
        for task in list(self._tasks):
            task.cancel()
        for pool in self._pools:
            pool.close()

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_timers(self) -> None:
        while True:
            has_due_timers = self.timers.run_due(time.monotonic_ns, time.monotonic_ns() + MAX_TIMER_RUN_NS)
            await asyncio.sleep(0 if has_due_timers else TIMER_INTERVAL_S)

    # ---- tries ----

    def _schedule_arrival(self, balancer: int, after: int) -> None:
        due = after + self.model.draw_interarrival_ns(self._rates[balancer])
        self.timers.add(due, partial(self._arrive, balancer, due))

    def _arrive(self, balancer: int, due: int, now: int) -> None:
        self._counts.asked += 1
        self._lag.record_us((now - due) // 1000)
        if now - due > MAX_ARRIVAL_LAG_NS:
            self._counts.missed += 1
        else:
            self._start_try(balancer, self.model.draw_first_try(balancer, due), now)
        self._schedule_arrival(balancer, due)

    def _start_try(self, balancer: int, client_try: ClientTry, now: int) -> None:
        self._counts.tries += 1
        open_try = OpenTry(client_try, now)
        self._open_tries.add(open_try)
        expires_at = client_try.sent_at + client_try.timeout_ns + RESPONSE_GRACE_NS
        self.timers.add(expires_at, partial(self._expire, open_try))
        if client_try.request.disconnects_after_ns and client_try.index == 0:
            self.timers.add(
                client_try.sent_at + client_try.request.disconnects_after_ns,
                partial(self._disconnect, open_try),
            )
        self._start_task(self._send_try(balancer, open_try))

    async def _send_try(self, balancer: int, open_try: OpenTry) -> None:
        try:
            connection = await self._pools[balancer].acquire()
        except OSError:
            self._end_try(open_try, TryOutcome.CONNECTION_FAILED, 0)
            return
        if open_try.is_closed:
            connection.close()
            return
        open_try.connection = connection
        connection.send_request(
            self._encode_request(open_try.client_try, balancer), partial(self._on_response, open_try)
        )

    def _encode_request(self, client_try: ClientTry, balancer: int) -> bytes:
        request, request_class = client_try.request, self.scenario.classes[client_try.request.class_index]
        method = "GET" if request_class.idempotency == "safe" else "POST"
        headers = [
            f"{method} {request_target(request.work_us, balancer)} HTTP/1.1",
            "Host: backend.local",
            f"X-Request-Id: {_request_id(client_try)}",
            f"X-Class: {request_class.name}",
            f"X-Tenant: {tenant_name(request.tenant_index)}",
            f"X-Deadline-Ms: {client_try.timeout_ns // NS_PER_MS}",
        ]
        if client_try.is_retry:
            headers.append("X-Retry: 1")
        if request_class.idempotency == "keyed":
            headers.append(f"Idempotency-Key: key-{request.number}")
        if method == "POST":
            headers.append("Content-Length: 0")
        return "\r\n".join([*headers, "", ""]).encode()

    def _on_response(self, open_try: OpenTry, response: HttpResponse | None) -> None:
        if response is None:
            self._end_try(open_try, TryOutcome.CONNECTION_FAILED, 0)
        elif response.status == 200:
            self._on_ok(open_try, response.body)
        elif response.status in REFUSAL_STATUSES:
            self._end_try(open_try, TryOutcome.REFUSED, int(response.retry_after_s * NS_PER_S))
        else:
            self._end_try(open_try, TryOutcome.FAILED, 0)

    def _on_ok(self, open_try: OpenTry, body: bytes) -> None:
        now = time.monotonic_ns()
        try:
            decoded: ServerBody = msgspec.json.decode(body, type=ServerBody)
        except msgspec.DecodeError:
            self._invalid_answers += 1
        else:
            self._invalid_answers += decoded.served != _request_id(open_try.client_try)
            self._added.record_us((now - open_try.started_at) // 1000 - decoded.held_us)
        self._end_try(open_try, TryOutcome.SERVED, 0)

    def _expire(self, open_try: OpenTry, now: int) -> None:
        if not open_try.is_closed:
            if open_try.connection is not None:
                open_try.connection.cancel_request()
            self._end_try(open_try, TryOutcome.NO_ANSWER, 0)

    def _disconnect(self, open_try: OpenTry, now: int) -> None:
        if not open_try.is_closed:
            open_try.is_closed = True
            self._open_tries.discard(open_try)
            if open_try.connection is not None:
                open_try.connection.cancel_request()
            self._counts.count_request_outcome(RequestOutcome.CLIENT_GONE)

    def _end_try(self, open_try: OpenTry, outcome: TryOutcome, retry_after_ns: int) -> None:
        if open_try.is_closed:
            return
        open_try.is_closed = True
        self._open_tries.discard(open_try)
        self._counts.count_try_outcome(outcome)
        now = time.monotonic_ns()
        retry = None
        if outcome is not TryOutcome.SERVED:
            retry = self.model.plan_retry(now, open_try.client_try, outcome, retry_after_ns)
        if retry is None:
            self._counts.count_request_outcome(self.model.request_outcome(now, open_try.client_try, outcome))
        else:
            balancer = self._random.randrange(len(self._pools))
            self.timers.add(retry.sent_at, partial(self._start_try, balancer, retry))

    # ---- measures ----

    def measure(self, at_s: float) -> None:
        """Print the measures since the last call."""
        counts, self._counts = self._counts, RequestCounts()
        invalid_answers, self._invalid_answers = self._invalid_answers, 0
        measure = ClientMeasure(
            at_s=at_s,
            index=self.config.index,
            requests=counts,
            open_requests=len(self._open_tries),
            connections=len(self._open_tries) + sum(pool.idle_count() for pool in self._pools),
            added=self._added.take_summary(),
            lag=self._lag.take_summary(),
            unsound_answers=invalid_answers,
        )
        print_message(measure)


def _request_id(client_try: ClientTry) -> str:
    return f"r{client_try.request.number}-{client_try.index}"


if __name__ == "__main__":
    sys.exit(run_child(ROLE, ClientProcess))
