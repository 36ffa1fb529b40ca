"""Hosts one instance of the decision module: plays events to it on a clock of its own and does as it says."""

from __future__ import annotations

import heapq
import time
from random import Random

from dykeshift.interface import Action, AttemptEnd, ListKind, Log, Outcome, Request, Send
from dykeshift.interface import ServerListUpdate, ServerState, SetTimer
from dykeshift.rules import Balancer
from dykeshift.settings import parse_settings
from emulator.slopes.deployment import CLIENT_PATIENCE_MS, MILLISECOND, SECOND, server_entry, settings_object
from emulator.slopes.sizes import Scale

START = 100 * SECOND  # of the module's clock
SERVICE_TIME = 20 * MILLISECOND  # of every attempt


class ModuleHost:
    """Plays requests, timers and lists to one instance of the module; every attempt ends well."""

    def __init__(self, scale: Scale, seed: int, me: int = 0) -> None:
        self.scale = scale
        self.random = Random(seed)
        self.now = START
        self.balancer = Balancer(parse_settings(settings_object(scale, me=me)), seed)
        self.timers: list[tuple[int, str]] = []
        self.log_bytes = self.timers_set = 0
        self.requests = 0
        self.longest_timer = 0  # nanoseconds of processor time in one timer's call
        self.attempts: dict[int, int] = {}  # by server
        self._take(self.balancer.on_start(self.now))
        self.whole = ServerListUpdate(ListKind.FULL, tuple(server_entry(n) for n in range(scale.servers)))

    def load_list(self) -> None:
        """Tell the whole list of servers."""
        self._take(self.balancer.on_list(self.now, self.whole))

    def change_one(self, state: ServerState) -> None:
        """Tell that one server is in a new state."""
        changed = server_entry(self.scale.servers // 2, state)
        self._take(self.balancer.on_list(self.now, ServerListUpdate(ListKind.DELTA, (changed,))))

    def serve(self, requests: int) -> None:
        """Play requests at the scale's rate, one after another, each answered before the next."""
        gap = SECOND // self.scale.requests
        for _ in range(requests):
            self.advance(self.now + max(0, gap - SERVICE_TIME))
            self.serve_one()

    def serve_one(self) -> None:
        """One request with its outcome: the first attempt is answered, and copies of it are cancelled."""
        self.requests += 1
        name = f"r{self.requests}"
        request = Request(
            id=name,
            class_index=self.random.randrange(self.scale.services),
            deadline=self.now + CLIENT_PATIENCE_MS * MILLISECOND,
            tenant_index=self.random.randrange(self.scale.tenants),
        )
        sends = [a for a in self._take(self.balancer.on_request(self.now, request)) if isinstance(a, Send)]
        self.now += SERVICE_TIME
        for number, send in enumerate(sends):
            self.attempts[send.server_id] = self.attempts.get(send.server_id, 0) + 1
            outcome = Outcome.CANCELLED if number else Outcome.OK
            end = AttemptEnd(name, number, send.server_id, outcome, SERVICE_TIME, True)
            self._take(self.balancer.on_attempt_end(self.now, end))

    def advance(self, until: int) -> None:
        """Let time pass, with the timers that come due."""
        while self.timers and self.timers[0][0] <= until:
            at, token = heapq.heappop(self.timers)
            self.now = max(self.now, at)
            began = time.thread_time_ns()
            actions = self.balancer.on_timer(self.now, token)
            self.longest_timer = max(self.longest_timer, time.thread_time_ns() - began)
            self._take(actions)
        self.now = until

    def _take(self, actions: list[Action]) -> list[Action]:
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers_set += 1
                heapq.heappush(self.timers, (action.fire_at, action.token))
            elif isinstance(action, Log):
                self.log_bytes += len(action.text) + 1
        return actions
