"""The decision module in this process: work, time and state at a given scale, on a clock of its own."""

from __future__ import annotations

import gc
import heapq
import time
from collections.abc import Callable
from random import Random

from dykeshift.interface import Action, AttemptEnd, ListKind, Log, Outcome, Request, Send
from dykeshift.interface import ServerList, ServerState, SetTimer
from dykeshift.rules import Balancer
from dykeshift.settings import parse_settings
from emulator.slopes.counting import count_lines, held
from emulator.slopes.deployment import CLIENT_PATIENCE_MS, MILLISECOND, SECOND, server_entry, settings_object
from emulator.slopes.roles import Effort, Figure, Role
from emulator.slopes.sizes import Axis, Scale

START = 100 * SECOND  # of the module's clock
SERVICE_TIME = 20 * MILLISECOND  # of every attempt
WARM_REQUESTS = 400  # before anything is measured: servers are known and running means have settled
TIMED_REQUESTS = 200  # in one timed block
LEAST_REPEATS = 3
LONGEST_NS = 2_000_000_000  # of processor time in the repeats of one block: no further one is begun
COUNTED_REQUESTS = 50
IDLE_SECONDS = 8  # of the module's clock, over which timers and log are counted


class ModuleHost:
    """Plays requests, timers and lists to one instance of the module; every attempt ends well."""

    def __init__(self, scale: Scale, seed: int, me: int = 0) -> None:
        self.scale = scale
        self.random = Random(seed)
        self.now = START
        self.balancer = Balancer(parse_settings(settings_object(scale, me=me)), seed)
        self.timers: list[tuple[int, str]] = []
        self.log_bytes = 0
        self.requests = 0
        self.longest_timer = 0  # nanoseconds of processor time in one timer's call
        self.attempts: dict[int, int] = {}  # by server
        self._take(self.balancer.on_start(self.now))
        self.whole = ServerList(ListKind.FULL, tuple(server_entry(n) for n in range(scale.servers)))

    def load_list(self) -> None:
        """Tell the whole list of servers."""
        self._take(self.balancer.on_list(self.now, self.whole))

    def change_one(self, state: ServerState) -> None:
        """Tell that one server is in a new state."""
        changed = server_entry(self.scale.servers // 2, state)
        self._take(self.balancer.on_list(self.now, ServerList(ListKind.DELTA, (changed,))))

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
            klass=self.random.randrange(self.scale.services),
            deadline=self.now + CLIENT_PATIENCE_MS * MILLISECOND,
            tenant=self.random.randrange(self.scale.tenants),
        )
        sends = [a for a in self._take(self.balancer.on_request(self.now, request)) if isinstance(a, Send)]
        self.now += SERVICE_TIME
        for number, send in enumerate(sends):
            self.attempts[send.server] = self.attempts.get(send.server, 0) + 1
            outcome = Outcome.CANCELLED if number else Outcome.OK
            end = AttemptEnd(name, number, send.server, outcome, SERVICE_TIME, True)
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
                heapq.heappush(self.timers, (action.at, action.token))
            elif isinstance(action, Log):
                self.log_bytes += len(action.text) + 1
        return actions


def _best_time(work: Callable[[], object], repeats: int) -> float:
    """Processor time of the quickest of some runs, in nanoseconds; fewer runs where they take long."""
    times: list[int] = []
    while len(times) < repeats and (len(times) < LEAST_REPEATS or sum(times) < LONGEST_NS):
        began = time.thread_time_ns()
        work()
        times.append(time.thread_time_ns() - began)
    return min(times)


def _list_figures(scale: Scale, seed: int) -> list[Figure]:
    fresh = [ModuleHost(scale, seed) for _ in range(LEAST_REPEATS)]
    elapsed = _best_time(lambda: fresh.pop().load_list(), len(fresh))
    lines = count_lines(ModuleHost(scale, seed).load_list)
    return [
        Figure("whole list, processor time", "ms", elapsed / 1e6),
        Figure("whole list, lines executed", "lines", lines),
    ]


def _request_figures(host: ModuleHost, effort: Effort) -> list[Figure]:
    def serve() -> None:
        for _ in range(TIMED_REQUESTS):
            host.serve_one()
            host.now += SECOND // host.scale.requests  # no timer comes due: those are measured by themselves

    def count() -> None:
        for _ in range(COUNTED_REQUESTS):
            host.serve_one()

    elapsed = _best_time(serve, effort.repeats)
    return [
        Figure("request and outcome, processor time", "us", elapsed / TIMED_REQUESTS / 1e3),
        Figure("request and outcome, lines executed", "lines", count_lines(count) / COUNTED_REQUESTS),
    ]


def _timer_figures(host: ModuleHost, effort: Effort) -> list[Figure]:
    longest: list[int] = []
    log_bytes: list[int] = []

    def idle() -> None:
        host.longest_timer = host.log_bytes = 0
        host.advance(host.now + IDLE_SECONDS * SECOND)
        longest.append(host.longest_timer)
        log_bytes.append(host.log_bytes)

    elapsed = _best_time(idle, effort.repeats)
    quickest = min(longest)
    lines = count_lines(idle)
    return [
        Figure("timers, longest call", "ms", quickest / 1e6),
        Figure("timers, processor time a second", "us", elapsed / IDLE_SECONDS / 1e3),
        Figure("timers, lines executed a second", "lines", lines / IDLE_SECONDS),
        Figure("log, bytes a second", "B/s", log_bytes[-1] / IDLE_SECONDS),
    ]


def _change_figures(host: ModuleHost, effort: Effort) -> list[Figure]:
    def drain_and_return() -> None:
        host.change_one(ServerState.DRAINING)
        host.change_one(ServerState.READY)

    elapsed = _best_time(drain_and_return, 3 * effort.repeats) / 2
    lines = count_lines(drain_and_return) / 2
    changes = host.scale.changes
    return [
        Figure("one changed entry, processor time", "us", elapsed / 1e3),
        Figure("one changed entry, lines executed", "lines", lines),
        Figure("a day of changes, processor time", "ms", elapsed * changes / 1e6),
        Figure("a day of changes, lines executed", "lines", lines * changes),
    ]


def measure(scale: Scale, effort: Effort, seed: int) -> list[Figure]:
    """All measures of the module at one scale."""
    gc.collect()
    figures = _list_figures(scale, seed)
    host = ModuleHost(scale, seed)
    host.load_list()
    host.serve(WARM_REQUESTS)
    state = held(host.balancer)
    figures += [
        Figure("state, objects", "objects", state.objects),
        Figure("state, size", "MB", state.size / 1e6),
    ]
    figures += _change_figures(host, effort)
    figures += _request_figures(host, effort)
    return figures + _timer_figures(host, effort)


ROLE = Role(
    name="module",
    about="the decision module in this process; times are processor times, the best of several",
    axes=tuple(Axis),
    quick_axes=(Axis.SERVERS, Axis.TENANTS, Axis.FLEET),
    measure=measure,
)
