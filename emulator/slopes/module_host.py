"""Runs the decision module of one balancer on a simulated clock: passes it events, executes its actions."""

from __future__ import annotations

import heapq
import time
from random import Random

from dykeshift.interface import (
    Action,
    AttemptEnd,
    ListKind,
    Log,
    Outcome,
    Request,
    Send,
    ServerListUpdate,
    ServerState,
    SetTimer,
)
from dykeshift.rules import Balancer
from dykeshift.settings import parse_settings
from emulator.slopes.deployment import (
    NS_PER_MS,
    NS_PER_S,
    CLIENT_TIMEOUT_MS,
    build_server_entry,
    build_settings,
)
from emulator.slopes.sizes import Scale

START_NS = 100 * NS_PER_S  # on the simulated clock
SERVICE_TIME_NS = 20 * NS_PER_MS  # of every attempt


class ModuleHost:
    """Passes requests, timers and server lists to one balancer; the first attempt of a request succeeds."""

    def __init__(self, scale: Scale, seed: int, balancer_index: int = 0) -> None:
        self.scale = scale
        self.random = Random(seed)
        self.now_ns = START_NS
        self.balancer = Balancer(parse_settings(build_settings(scale, balancer_index=balancer_index)), seed)
        self.timers: list[tuple[int, str]] = []
        self.log_bytes = self.timer_count = 0
        self.request_count = 0
        self.max_timer_call_ns = 0  # processor time of the longest call of on_timer
        self.attempts_by_server: dict[int, int] = {}
        self._process_actions(self.balancer.on_start(self.now_ns))
        self.full_list = ServerListUpdate(
            ListKind.FULL, tuple(build_server_entry(n) for n in range(scale.servers))
        )

    def apply_full_list(self) -> None:
        """Pass the full server list to the balancer."""
        self._process_actions(self.balancer.on_list(self.now_ns, self.full_list))

    def change_server(self, state: ServerState) -> None:
        """Pass a delta with the new state of one server to the balancer."""
        changed = build_server_entry(self.scale.servers // 2, state)
        self._process_actions(
            self.balancer.on_list(self.now_ns, ServerListUpdate(ListKind.DELTA, (changed,)))
        )

    def serve_requests(self, count: int) -> None:
        """Serve requests one after another, at the request rate of the scale."""
        interval_ns = NS_PER_S // self.scale.requests
        for _ in range(count):
            self.advance_to(self.now_ns + max(0, interval_ns - SERVICE_TIME_NS))
            self.serve_request()

    def serve_request(self) -> None:
        """Serve one request: its first attempt succeeds, and its copies at other servers are cancelled."""
        self.request_count += 1
        request_id = f"r{self.request_count}"
        request = Request(
            id=request_id,
            class_index=self.random.randrange(self.scale.services),
            deadline=self.now_ns + CLIENT_TIMEOUT_MS * NS_PER_MS,
            tenant_index=self.random.randrange(self.scale.tenants),
        )
        sends = [
            action
            for action in self._process_actions(self.balancer.on_request(self.now_ns, request))
            if isinstance(action, Send)
        ]
        for attempt_index in range(len(sends)):
            self.balancer.try_start_attempt(self.now_ns, request_id, attempt_index)
        self.now_ns += SERVICE_TIME_NS
        for attempt_index, send in enumerate(sends):
            self.attempts_by_server[send.server_id] = self.attempts_by_server.get(send.server_id, 0) + 1
            outcome = Outcome.CANCELLED if attempt_index else Outcome.OK
            end = AttemptEnd(request_id, attempt_index, send.server_id, outcome, SERVICE_TIME_NS, True)
            self._process_actions(self.balancer.on_attempt_end(self.now_ns, end))

    def advance_to(self, time_ns: int) -> None:
        """Advance the clock to `time_ns`, and fire the timers that are due until then."""
        while self.timers and self.timers[0][0] <= time_ns:
            fire_at, token = heapq.heappop(self.timers)
            self.now_ns = max(self.now_ns, fire_at)
            call_started_at_ns = time.thread_time_ns()
            actions = self.balancer.on_timer(self.now_ns, token)
            self.max_timer_call_ns = max(self.max_timer_call_ns, time.thread_time_ns() - call_started_at_ns)
            self._process_actions(actions)
        self.now_ns = time_ns

    def _process_actions(self, actions: list[Action]) -> list[Action]:
        for action in actions:
            if isinstance(action, SetTimer):
                self.timer_count += 1
                heapq.heappush(self.timers, (action.fire_at, action.token))
            elif isinstance(action, Log):
                self.log_bytes += len(action.text) + 1
        return actions
