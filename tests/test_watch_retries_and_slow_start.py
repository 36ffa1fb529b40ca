"""Requirements on all balancers together that depend on the decision module alone.

After a failure of discovery, changes of the server list are known in time. Cold servers are not overloaded by
the sum of all balancers.
"""

from __future__ import annotations

import heapq
import math
from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random

import pytest

from dykeshift.interface import (
    Action,
    AttemptEnd,
    Cancel,
    Fail,
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
from dykeshift.node.call import CONNECT_TIMEOUT_S
from dykeshift.node.call_pacing import LONG_POLL_GRACE_S, LONG_POLL_MS
from dykeshift.rules import Balancer
from tests.harness import MS, BalancerHarness, S, make_settings, server_entry

# ---- changes of the server list are known in time after a failure of discovery ----

MAX_UPDATE_DELAY_NS = 6 * S  # after discovery has the change and can be reached
# In the worst case, a call begins just before discovery can be reached again and is lost. The module learns
# of the failure after LOST_CALL_NS. The next call has its response after NEXT_CALL_NS at the latest, as
# discovery has a change to report and does not hold the call.
LOST_CALL_NS = LONG_POLL_MS * MS + int(LONG_POLL_GRACE_S * S)
NEXT_CALL_NS = int((CONNECT_TIMEOUT_S + LONG_POLL_GRACE_S) * S)


def pause_after(harness: BalancerHarness, kind: ListKind) -> int:
    """Return the pause before the retry that the module schedules after this failure."""
    harness.update_server_list(kind)
    timers = [a.fire_at for a in harness.actions if isinstance(a, SetTimer) and a.token == "watch"]
    return timers[-1] - harness.now


@pytest.mark.parametrize("max_watch_interval", [1 * S, 10 * S, 3600 * S])
@pytest.mark.parametrize("kind", [ListKind.FAILED, ListKind.INTERRUPTED])
@pytest.mark.parametrize("balancer_count", [2, 20, 200, 420])
def test_changes_of_the_list_are_known_in_time_after_any_failure(
    balancer_count: int, kind: ListKind, max_watch_interval: int
) -> None:
    """First and repeated failures: before the first list, after it, and after discovery has moved."""
    longest = 0
    for seed in range(20):
        harness = BalancerHarness(
            make_settings(
                watch_discovery=True,
                balancer_count=balancer_count,
                balancer_index=seed,
                max_watch_interval=max_watch_interval,
            ),
            seed,
        )
        longest = max(longest, *(pause_after(harness, kind) for _ in range(8)))
        harness.update_server_list(ListKind.FULL, server_entry(1))
        longest = max(longest, *(pause_after(harness, kind) for _ in range(8)))
        harness.balancer.on_discovery_moved(harness.now)
        longest = max(longest, *(pause_after(harness, kind) for _ in range(8)))
    delay = (LOST_CALL_NS + longest + NEXT_CALL_NS) / S
    assert delay <= MAX_UPDATE_DELAY_NS / S, f"known after {delay:.2f} s, with a pause of {longest / S:.2f} s"


@pytest.mark.parametrize("balancer_count", [2, 420])
def test_each_pause_after_a_failure_ends_with_a_watch(balancer_count: int) -> None:
    harness = BalancerHarness(make_settings(watch_discovery=True, balancer_count=balancer_count))
    for n, kind in enumerate([ListKind.INTERRUPTED, ListKind.FAILED] * 4, start=1):
        pause = pause_after(harness, kind)
        harness.advance(pause - 1)
        assert harness.watch_count == n
        harness.advance(1)
        assert harness.watch_count == n + 1


@pytest.mark.parametrize("kind", [ListKind.FAILED, ListKind.INTERRUPTED])
def test_in_push_mode_the_module_does_not_watch(kind: ListKind) -> None:
    """In push mode, only the network code repeats the calls to discovery."""
    harness = BalancerHarness(make_settings(watch_discovery=False, balancer_count=420))
    harness.update_server_list(kind)
    assert not harness.watch_count and not any(token == "watch" for _, token in harness.timers)


# ---- slow start with many balancers ----

LOAD_SHARE = 0.6  # of the capacity of all servers while they are warm


@dataclass
class SimulatedServer:
    """Executes a few attempts at once, the slower the colder it is, and queues the others."""

    entry: ServerEntry
    queue: deque[Callable[[], bool]] = field(default_factory=deque)
    executing: int = 0
    arrival_times: list[int] = field(default_factory=list)  # of attempts
    answer_times: list[int] = field(default_factory=list)  # of good answers
    delisted_at: float = math.inf


@dataclass
class SimulatedRequest:
    """A request to one balancer, with its attempts."""

    request: Request
    sends: list[tuple[int, int]] = field(default_factory=list)  # server id and time of each attempt
    ended_attempts: set[int] = field(default_factory=set)
    has_final_answer: bool = False


class SimulatedFleet:
    """Balancers on one simulated clock that share nothing but the servers.

    A server accepts any number of attempts, so that only the decision module itself keeps cold servers from
    being overloaded. The settings promise only a minimum capacity of cold servers: with `cold_is_warm` they
    have as much as warm ones.
    """

    CORES = 2  # of each server

    def __init__(
        self, settings: Settings, server_count: int, rates: list[float], seed: int, cold_is_warm: bool = False
    ) -> None:
        self.settings = settings
        self.cold_is_warm = cold_is_warm
        self.random = Random(seed)
        self.now = 100 * S
        self.rates = rates  # requests per second by balancer
        # Mean execution time of a request at a warm server, in nanoseconds.
        self.work = int(LOAD_SHARE * self.CORES * server_count / sum(rates) * S)
        self.servers = {n: SimulatedServer(server_entry(n)) for n in range(server_count)}
        self.numbers = count()  # for request ids and for the order of simultaneous events
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.requests: list[dict[str, SimulatedRequest]] = [{} for _ in rates]
        self.balancers = [
            Balancer(replace(settings, balancer_index=index), seed * 1000 + index)
            for index in range(settings.balancer_count)
        ]
        update = ServerListUpdate(ListKind.FULL, tuple(server.entry for server in self.servers.values()))
        for index, balancer in enumerate(self.balancers):
            self.execute(index, balancer.on_start(self.now))
            self.execute(index, balancer.on_list(self.now, update))
            self.schedule(self.next_interval(index), lambda index=index: self.submit(index))  # type: ignore[misc]

    def next_interval(self, index: int) -> int:
        """Random time until the next request of a balancer."""
        return int(self.random.expovariate(self.rates[index]) * S)

    def schedule(self, delay: int, event: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.numbers), event))

    def advance(self, duration: int) -> None:
        until = self.now + duration
        while self.events[0][0] <= until:
            self.now, _, event = heapq.heappop(self.events)
            event()
        self.now = until

    def submit(self, index: int) -> None:
        """Submit a request to a balancer and schedule its next one."""
        self.schedule(self.next_interval(index), lambda: self.submit(index))
        class_index = int(self.random.random() * len(self.settings.classes))
        deadline = self.now + self.settings.classes[class_index].client_timeout
        request = Request(f"q{next(self.numbers)}", class_index, deadline)
        self.requests[index][request.id] = SimulatedRequest(request)
        self.schedule(deadline - self.now, lambda: self.expire(index, request.id))
        self.execute(index, self.balancers[index].on_request(self.now, request))

    def expire(self, index: int, request_id: str) -> None:
        """Time out the attempts of a request at its deadline and forget it."""
        simulated_request = self.requests[index][request_id]
        for attempt_index in range(len(simulated_request.sends)):
            self.end_attempt(index, simulated_request, attempt_index, Outcome.TIMEOUT)
        if not simulated_request.has_final_answer:
            self.execute(index, self.balancers[index].on_client_gone(self.now, request_id))
        del self.requests[index][request_id]

    def end_attempt(
        self, index: int, simulated_request: SimulatedRequest, attempt_index: int, outcome: Outcome
    ) -> None:
        if attempt_index in simulated_request.ended_attempts:
            return
        simulated_request.ended_attempts.add(attempt_index)
        server_id, sent_at = simulated_request.sends[attempt_index]
        if outcome is Outcome.OK:
            simulated_request.has_final_answer = True
            self.servers[server_id].answer_times.append(self.now)
        end = AttemptEnd(
            simulated_request.request.id,
            attempt_index,
            server_id,
            outcome,
            self.now - sent_at,
            simulated_request.has_final_answer,
        )
        self.execute(index, self.balancers[index].on_attempt_end(self.now, end))

    def execute(self, index: int, actions: list[Action]) -> None:
        """Execute the actions of a balancer."""
        for action in actions:
            if isinstance(action, Send):
                self.send(index, action)
            elif isinstance(action, SetTimer):
                self.schedule(
                    action.fire_at - self.now,
                    lambda token=action.token: self.fire_timer(index, token),  # type: ignore[misc]
                )
            elif isinstance(action, Cancel):
                simulated_request = self.requests[index][action.request_id]
                self.schedule(
                    0,
                    lambda action=action, cancelled=simulated_request: self.end_attempt(  # type: ignore[misc]
                        index, cancelled, action.attempt_index, Outcome.CANCELLED
                    ),
                )
            elif isinstance(action, Refuse | Fail):
                self.requests[index][action.request_id].has_final_answer = True

    def fire_timer(self, index: int, token: str) -> None:
        self.execute(index, self.balancers[index].on_timer(self.now, token))

    def send(self, index: int, action: Send) -> None:
        """Put an attempt into the queue of its server."""
        simulated_request, server = (
            self.requests[index][action.request_id],
            self.servers[action.server_id],
        )
        attempt_index = len(simulated_request.sends)
        simulated_request.sends.append((action.server_id, self.now))
        server.arrival_times.append(self.now)

        def start() -> bool:
            """Start the attempt unless it has ended; return whether it was started."""
            if attempt_index in simulated_request.ended_attempts:
                return False
            speed = 1.0 if self.cold_is_warm else self.min_capacity_share(server, self.now)
            latency = self.work * (0.5 + self.random.random()) / speed
            self.schedule(int(latency), finish)
            return True

        def finish() -> None:
            server.executing -= 1
            self.end_attempt(index, simulated_request, attempt_index, Outcome.OK)
            self.start_queued(server)

        server.queue.append(start)
        self.start_queued(server)

    def start_queued(self, server: SimulatedServer) -> None:
        while server.queue and server.executing < self.CORES:
            server.executing += server.queue.popleft()()

    def min_capacity_share(self, server: SimulatedServer, at: int) -> float:
        """The share of its full capacity that a server has at this time at least."""
        started_at, share = server.entry.started_at, self.settings.cold_capacity_share
        if not started_at:
            return 1.0
        return min(1.0, share + (1 - share) * (at - started_at) / self.settings.warm_up_time)

    def restart(self, *server_ids: int) -> None:
        """Replace the processes of these servers; all balancers learn of it at the same moment."""
        for server_id in server_ids:
            self.servers[server_id] = SimulatedServer(
                replace(self.servers[server_id].entry, started_at=self.now)
            )
        self.update_server_lists(tuple(self.servers[server_id].entry for server_id in server_ids))

    def replace_servers(self, *server_ids: int) -> None:
        """Replace these servers by new ones under new ids."""
        entries = []
        for server_id in server_ids:
            old, new_id = self.servers[server_id], 1000 + server_id
            old.delisted_at = self.now
            entries.append(replace(old.entry, state=ServerState.GONE))
            self.servers[new_id] = SimulatedServer(replace(old.entry, id=new_id, started_at=self.now))
            entries.append(self.servers[new_id].entry)
        self.update_server_lists(tuple(entries))

    def update_server_lists(self, entries: tuple[ServerEntry, ...]) -> None:
        for index, balancer in enumerate(self.balancers):
            self.execute(index, balancer.on_list(self.now, ServerListUpdate(ListKind.DELTA, entries)))

    def mean_warm_answers(self, begin: int, end: int) -> float:
        """Mean number of good answers of a server that was warm from `begin` to `end`."""
        warm = [s for s in self.servers.values() if not s.entry.started_at and s.delisted_at >= end]
        answers = [bisect_left(s.answer_times, end) - bisect_left(s.answer_times, begin) for s in warm]
        return sum(answers) / len(answers)

    def overload_ratios(self) -> list[float]:
        """For each overload window in which a server was cold: its attempts divided by the allowed number."""
        ratios, window = [], self.settings.overload_window
        for server in self.servers.values():
            if not server.entry.started_at:
                continue
            warm_at = server.entry.started_at + self.settings.warm_up_time
            for first, begin in enumerate(server.arrival_times):
                if begin + window > min(warm_at, self.now):
                    break
                attempts = bisect_left(server.arrival_times, begin + window) - first
                allowed = self.settings.overload_multiple * self.min_capacity_share(server, begin)
                allowed *= self.mean_warm_answers(begin, begin + window)
                # With a margin for random variation.
                ratios.append(attempts / (allowed + 2 * math.sqrt(allowed) + 2))
        return ratios


def one_restarts(fleet: SimulatedFleet) -> None:
    fleet.restart(0)


def a_quarter_restarts(fleet: SimulatedFleet) -> None:
    fleet.restart(*range(0, len(fleet.servers), 4))


def six_in_ten_are_replaced(fleet: SimulatedFleet) -> None:
    server_ids, steps = range(len(fleet.servers) * 6 // 10), 4
    for step in range(steps):
        fleet.replace_servers(*server_ids[step::steps])
        fleet.advance(S)


def request_rates(
    settings: Settings, server_count: int, requests_per_window: int, uneven: bool
) -> list[float]:
    """The rate of each balancer for so many requests per server and overload window.

    If uneven, each sixth balancer has five times the rate of the others.
    """
    weights = [5.0 if uneven and index % 6 == 0 else 1.0 for index in range(settings.balancer_count)]
    total = requests_per_window * server_count / (settings.overload_window / S)
    return [total * weight / sum(weights) for weight in weights]


@dataclass(frozen=True)
class Case:
    balancer_count: int
    server_count: int
    requests_per_window: int  # for each server
    event: Callable[[SimulatedFleet], None]
    uneven: bool
    seed: int
    observed_windows: int = 4  # after the event


def worst_overload_ratio(case: Case, cold_is_warm: bool = False) -> float:
    """The highest overload ratio after the event; above 1, a server may have been overloaded."""
    settings = make_settings(balancer_count=case.balancer_count)
    rates = request_rates(settings, case.server_count, case.requests_per_window, case.uneven)
    fleet = SimulatedFleet(settings, case.server_count, rates, case.seed, cold_is_warm)
    fleet.advance(settings.overload_window)
    case.event(fleet)
    fleet.advance(case.observed_windows * settings.overload_window)
    return max(fleet.overload_ratios(), default=0.0)


def case_name(case: Case) -> str:
    traffic = "uneven" if case.uneven else "even"
    return f"{case.balancer_count}-{case.event.__name__}-{traffic}-{case.requests_per_window}-{case.seed}"


@pytest.mark.parametrize(
    "case",
    [
        Case(20, 12, 20, one_restarts, uneven=False, seed=1),
        Case(20, 12, 20, one_restarts, uneven=True, seed=2),
        Case(20, 12, 20, a_quarter_restarts, uneven=False, seed=3),
        Case(20, 12, 20, a_quarter_restarts, uneven=True, seed=4),
        Case(20, 12, 20, six_in_ten_are_replaced, uneven=False, seed=5),
        Case(20, 12, 20, six_in_ten_are_replaced, uneven=True, seed=6),
        Case(30, 12, 12, one_restarts, uneven=True, seed=1),
        Case(30, 12, 12, a_quarter_restarts, uneven=False, seed=2),
        Case(30, 12, 12, six_in_ten_are_replaced, uneven=True, seed=3),
        Case(60, 16, 20, one_restarts, uneven=False, seed=1),
        Case(60, 16, 20, a_quarter_restarts, uneven=True, seed=2),
        Case(60, 16, 20, six_in_ten_are_replaced, uneven=False, seed=3, observed_windows=3),
        Case(420, 24, 15, a_quarter_restarts, uneven=True, seed=1, observed_windows=4),
        Case(420, 24, 15, six_in_ten_are_replaced, uneven=False, seed=2, observed_windows=1),
    ],
    ids=case_name,
)
def test_all_balancers_together_do_not_overload_a_cold_server(case: Case) -> None:
    """In any window at most N + 2 sqrt(N) + 2 attempts, N being the number that the settings allow."""
    assert worst_overload_ratio(case) <= 1.0


@pytest.mark.parametrize(
    "case",
    [
        Case(20, 12, 20, six_in_ten_are_replaced, uneven=False, seed=1),
        Case(20, 12, 20, six_in_ten_are_replaced, uneven=False, seed=6),
        Case(20, 12, 20, six_in_ten_are_replaced, uneven=True, seed=6),
        Case(20, 12, 100, six_in_ten_are_replaced, uneven=False, seed=1),
        Case(30, 12, 40, six_in_ten_are_replaced, uneven=True, seed=1),
        Case(60, 16, 60, six_in_ten_are_replaced, uneven=False, seed=1, observed_windows=3),
        Case(60, 16, 60, six_in_ten_are_replaced, uneven=True, seed=2, observed_windows=3),
        Case(420, 24, 15, six_in_ten_are_replaced, uneven=True, seed=3, observed_windows=1),
    ],
    ids=case_name,
)
def test_cold_servers_that_answer_quickly_get_no_more_than_the_settings_allow(case: Case) -> None:
    """Only the slow-start budget limits the attempts if cold servers answer as quickly as warm ones."""
    assert worst_overload_ratio(case, cold_is_warm=True) <= 1.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_cold_servers_get_some_requests(seed: int) -> None:
    """The tests above would also pass if cold servers got no requests at all."""
    settings = make_settings(balancer_count=20)
    fleet = SimulatedFleet(settings, 12, request_rates(settings, 12, 20, uneven=False), seed)
    fleet.advance(settings.overload_window)
    a_quarter_restarts(fleet)
    fleet.advance(2 * settings.overload_window)
    assert all(fleet.servers[server_id].arrival_times for server_id in (0, 4, 8))
