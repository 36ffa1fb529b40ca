"""The standing acceptance test's newest terms, where the decision module alone can keep or break them."""

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
from dykeshift.node.discovery import LONG_POLL_GRACE_S, LONG_POLL_MS
from dykeshift.rules import Balancer
from tests.harness import MS, BalancerHarness, S, make_settings, server_entry

# ---- a change counts as told 6 s after discovery had it and could be reached ----

TOLD = 6 * S
# Reachable again just after a call was begun that is lost: this long until the module hears of the failure,
# and, from the next call's beginning, at the most until its answer, for which discovery need not wait.
LOST_CALL = LONG_POLL_MS * MS + int(LONG_POLL_GRACE_S * S)
NEXT_CALL = int((CONNECT_TIMEOUT_S + LONG_POLL_GRACE_S) * S)


def pause_after(harness: BalancerHarness, kind: ListKind) -> int:
    """How long the module waits with the next call after this failure."""
    harness.update_server_list(kind)
    timers = [a.fire_at for a in harness.actions if isinstance(a, SetTimer) and a.token == "watch"]
    return timers[-1] - harness.now


@pytest.mark.parametrize("ask_every", [1 * S, 10 * S, 3600 * S])
@pytest.mark.parametrize("kind", [ListKind.FAILED, ListKind.INTERRUPTED])
@pytest.mark.parametrize("balancers", [2, 20, 200, 420])
def test_news_is_in_within_its_time_after_any_failure(balancers: int, kind: ListKind, ask_every: int) -> None:
    """First and repeated failures alike, of a watch that stood, that never did, and after a move."""
    longest = 0
    for seed in range(20):
        harness = BalancerHarness(
            make_settings(
                watch_discovery=True,
                balancer_count=balancers,
                balancer_index=seed,
                max_watch_interval=ask_every,
            ),
            seed,
        )
        longest = max(longest, *(pause_after(harness, kind) for _ in range(8)))
        harness.update_server_list(ListKind.FULL, server_entry(1))
        longest = max(longest, *(pause_after(harness, kind) for _ in range(8)))
        harness.balancer.on_discovery_moved(harness.now)
        longest = max(longest, *(pause_after(harness, kind) for _ in range(8)))
    late = (LOST_CALL + longest + NEXT_CALL) / S
    assert late <= TOLD / S, f"news is in after {late:.2f} s, of which the pause takes {longest / S:.2f} s"


@pytest.mark.parametrize("balancers", [2, 420])
def test_each_pause_after_a_failure_ends_with_a_call(balancers: int) -> None:
    harness = BalancerHarness(make_settings(watch_discovery=True, balancer_count=balancers))
    for n, kind in enumerate([ListKind.INTERRUPTED, ListKind.FAILED] * 4, start=1):
        pause = pause_after(harness, kind)
        harness.advance(pause - 1)
        assert harness.watch_count == n
        harness.advance(1)
        assert harness.watch_count == n + 1


@pytest.mark.parametrize("kind", [ListKind.FAILED, ListKind.INTERRUPTED])
def test_where_lists_are_pushed_the_module_leaves_the_calls_to_the_network_code(kind: ListKind) -> None:
    harness = BalancerHarness(make_settings(watch_discovery=False, balancer_count=420))
    harness.update_server_list(kind)
    assert not harness.watch_count and not any(token == "watch" for _, token in harness.timers)


# ---- a cold server under the sum of all processes ----

LOAD = 0.6  # of what all servers can do while they are whole


@dataclass
class RemoteServer:
    """Works on a few requests at a time, the slower the colder it is; the others wait in line."""

    entry: ServerEntry
    waiting: deque[Callable[[], bool]] = field(default_factory=deque)
    running: int = 0
    attempts: list[int] = field(default_factory=list)  # when each came
    answers: list[int] = field(default_factory=list)  # when each good answer went out
    gone: float = math.inf  # when it was taken off the list


@dataclass
class ClientRequest:
    """A request of one instance, and what became of its attempts."""

    request: Request
    sends: list[tuple[int, int]] = field(default_factory=list)  # server and time of each attempt
    ended: set[int] = field(default_factory=set)
    final: bool = False


class Fleet:
    """Instances of the module side by side on one simulated clock, sharing nothing but the servers.

    A server takes any number of attempts: nothing but the module itself keeps a cold one from being sent
    too much. The settings name only the least that a cold server can do: with `cold_is_whole` it can do
    all that a warm one can.
    """

    CORES = 2  # of each server

    def __init__(
        self, settings: Settings, servers: int, rates: list[float], seed: int, cold_is_whole: bool = False
    ) -> None:
        self.settings = settings
        self.cold_is_whole = cold_is_whole
        self.random = Random(seed)
        self.now = 100 * S
        self.rates = rates  # requests per second of each instance
        self.work = int(
            LOAD * self.CORES * servers / sum(rates) * S
        )  # of a request at a whole server, on average
        self.servers = {n: RemoteServer(server_entry(n)) for n in range(servers)}
        self.numbers = count()
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.requests: list[dict[str, ClientRequest]] = [{} for _ in rates]
        self.instances = [
            Balancer(replace(settings, balancer_index=me), seed * 1000 + me)
            for me in range(settings.balancer_count)
        ]
        listed = ServerListUpdate(ListKind.FULL, tuple(server.entry for server in self.servers.values()))
        for me, instance in enumerate(self.instances):
            self.play(me, instance.on_start(self.now))
            self.play(me, instance.on_list(self.now, listed))
            self.schedule(self.gap(me), lambda me=me: self.arrive(me))  # type: ignore[misc]

    def gap(self, me: int) -> int:
        return int(self.random.expovariate(self.rates[me]) * S)

    def schedule(self, after: int, event: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + after, next(self.numbers), event))

    def advance(self, span: int) -> None:
        until = self.now + span
        while self.events[0][0] <= until:
            self.now, _, event = heapq.heappop(self.events)
            event()
        self.now = until

    def arrive(self, me: int) -> None:
        self.schedule(self.gap(me), lambda: self.arrive(me))
        klass = int(self.random.random() * len(self.settings.classes))
        deadline = self.now + self.settings.classes[klass].client_timeout
        request = Request(f"q{next(self.numbers)}", klass, deadline)
        self.requests[me][request.id] = ClientRequest(request)
        self.schedule(deadline - self.now, lambda: self.expire(me, request.id))
        self.play(me, self.instances[me].on_request(self.now, request))

    def expire(self, me: int, request_id: str) -> None:
        held = self.requests[me][request_id]
        for attempt in range(len(held.sends)):
            self.end(me, held, attempt, Outcome.TIMEOUT)
        if not held.final:
            self.play(me, self.instances[me].on_client_gone(self.now, request_id))
        del self.requests[me][request_id]

    def end(self, me: int, held: ClientRequest, attempt: int, outcome: Outcome) -> None:
        if attempt in held.ended:
            return
        held.ended.add(attempt)
        server, sent = held.sends[attempt]
        if outcome is Outcome.OK:
            held.final = True
            self.servers[server].answers.append(self.now)
        told = AttemptEnd(held.request.id, attempt, server, outcome, self.now - sent, held.final)
        self.play(me, self.instances[me].on_attempt_end(self.now, told))

    def play(self, me: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.send(me, action)
            elif isinstance(action, SetTimer):
                self.schedule(action.fire_at - self.now, lambda token=action.token: self.tick(me, token))  # type: ignore[misc]
            elif isinstance(action, Cancel):
                held = self.requests[me][action.request_id]
                self.schedule(0, lambda a=action, h=held: self.end(me, h, a.attempt_index, Outcome.CANCELLED))  # type: ignore[misc]
            elif isinstance(action, Refuse | Fail):
                self.requests[me][action.request_id].final = True

    def tick(self, me: int, token: str) -> None:
        self.play(me, self.instances[me].on_timer(self.now, token))

    def send(self, me: int, action: Send) -> None:
        held, server = self.requests[me][action.request_id], self.servers[action.server_id]
        attempt = len(held.sends)
        held.sends.append((action.server_id, self.now))
        server.attempts.append(self.now)

        def begin() -> bool:
            """Whether it is still wanted, and has begun."""
            if attempt in held.ended:
                return False
            speed = 1.0 if self.cold_is_whole else self.warmth(server, self.now)
            latency = self.work * (0.5 + self.random.random()) / speed
            self.schedule(int(latency), finish)
            return True

        def finish() -> None:
            server.running -= 1
            self.end(me, held, attempt, Outcome.OK)
            self.begin_next(server)

        server.waiting.append(begin)
        self.begin_next(server)

    def begin_next(self, server: RemoteServer) -> None:
        while server.waiting and server.running < self.CORES:
            server.running += server.waiting.popleft()()

    def warmth(self, server: RemoteServer, at: int) -> float:
        """Least share of its capacity that a server has by now."""
        started, share = server.entry.started_at, self.settings.cold_capacity_share
        if not started:
            return 1.0
        return min(1.0, share + (1 - share) * (at - started) / self.settings.warm_up_time)

    def replace(self, *numbers: int) -> None:
        """New processes in place of these, told to all instances in the same instant."""
        for number in numbers:
            self.servers[number] = RemoteServer(replace(self.servers[number].entry, started_at=self.now))
        self.tell(tuple(self.servers[number].entry for number in numbers))

    def exchange(self, *numbers: int) -> None:
        """New servers under new ids; the old ones are gone."""
        entries = []
        for number in numbers:
            old, new = self.servers[number], 1000 + number
            old.gone = self.now
            entries.append(replace(old.entry, state=ServerState.GONE))
            self.servers[new] = RemoteServer(replace(old.entry, id=new, started_at=self.now))
            entries.append(self.servers[new].entry)
        self.tell(tuple(entries))

    def tell(self, entries: tuple[ServerEntry, ...]) -> None:
        for me, instance in enumerate(self.instances):
            self.play(me, instance.on_list(self.now, ServerListUpdate(ListKind.DELTA, entries)))

    def served(self, begin: int, end: int) -> float:
        """Answers of a whole server from `begin` to `end`, on average."""
        whole = [s for s in self.servers.values() if not s.entry.started_at and s.gone >= end]
        answers = [bisect_left(s.answers, end) - bisect_left(s.answers, begin) for s in whole]
        return sum(answers) / len(answers)

    def excesses(self) -> list[float]:
        """For each window in which a server warmed up: its attempts over those that it bears."""
        found, window = [], self.settings.overload_window
        for server in self.servers.values():
            if not server.entry.started_at:
                continue
            warm = server.entry.started_at + self.settings.warm_up_time
            for first, begin in enumerate(server.attempts):
                if begin + window > min(warm, self.now):
                    break
                sent = bisect_left(server.attempts, begin + window) - first
                allowed = self.settings.overload_multiple * self.warmth(server, begin)
                allowed *= self.served(begin, begin + window)
                found.append(sent / (allowed + 2 * math.sqrt(allowed) + 2))
        return found


def one_restarts(fleet: Fleet) -> None:
    fleet.replace(0)


def a_quarter_restarts(fleet: Fleet) -> None:
    fleet.replace(*range(0, len(fleet.servers), 4))


def six_in_ten_are_replaced(fleet: Fleet) -> None:
    replaced, steps = range(len(fleet.servers) * 6 // 10), 4
    for step in range(steps):
        fleet.exchange(*replaced[step::steps])
        fleet.advance(S)


def request_rates(settings: Settings, servers: int, per_window: int, uneven: bool) -> list[float]:
    """Of each instance, so that each server has so many; uneven: one in six sees five times as many."""
    weights = [5.0 if uneven and me % 6 == 0 else 1.0 for me in range(settings.balancer_count)]
    total = per_window * servers / (settings.overload_window / S)
    return [total * weight / sum(weights) for weight in weights]


@dataclass(frozen=True)
class Case:
    instances: int
    servers: int
    per_window: int  # requests for each server
    event: Callable[[Fleet], None]
    uneven: bool
    seed: int
    windows: int = 4  # that are watched after the event


def worst_excess(case: Case, cold_is_whole: bool = False) -> float:
    """The largest of all windows' excesses after the event: above 1, a server may have been pushed over."""
    settings = make_settings(balancer_count=case.instances)
    rates = request_rates(settings, case.servers, case.per_window, case.uneven)
    fleet = Fleet(settings, case.servers, rates, case.seed, cold_is_whole)
    fleet.advance(settings.overload_window)
    case.event(fleet)
    fleet.advance(case.windows * settings.overload_window)
    return max(fleet.excesses(), default=0.0)


def case_name(case: Case) -> str:
    traffic = "uneven" if case.uneven else "even"
    return f"{case.instances}-{case.event.__name__}-{traffic}-{case.per_window}-{case.seed}"


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
        Case(60, 16, 20, six_in_ten_are_replaced, uneven=False, seed=3, windows=3),
        Case(420, 24, 15, a_quarter_restarts, uneven=True, seed=1, windows=4),
        Case(420, 24, 15, six_in_ten_are_replaced, uneven=False, seed=2, windows=1),
    ],
    ids=case_name,
)
def test_all_instances_together_push_no_cold_server_over(case: Case) -> None:
    """N + 2 x root of N + 2 attempts in any window, N being what the settings allow the server then."""
    assert worst_excess(case) <= 1.0


@pytest.mark.parametrize(
    "case",
    [
        Case(20, 12, 20, six_in_ten_are_replaced, uneven=False, seed=1),
        Case(20, 12, 20, six_in_ten_are_replaced, uneven=False, seed=6),
        Case(20, 12, 20, six_in_ten_are_replaced, uneven=True, seed=6),
        Case(20, 12, 100, six_in_ten_are_replaced, uneven=False, seed=1),
        Case(30, 12, 40, six_in_ten_are_replaced, uneven=True, seed=1),
        Case(60, 16, 60, six_in_ten_are_replaced, uneven=False, seed=1, windows=3),
        Case(60, 16, 60, six_in_ten_are_replaced, uneven=True, seed=2, windows=3),
        Case(420, 24, 15, six_in_ten_are_replaced, uneven=True, seed=3, windows=1),
    ],
    ids=case_name,
)
def test_good_answers_of_cold_servers_return_no_more_than_the_settings_allow(case: Case) -> None:
    """Nothing but the credit holds instances back where cold servers answer as quickly as warm ones."""
    assert worst_excess(case, cold_is_whole=True) <= 1.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_cold_fleet_is_still_sent_requests(seed: int) -> None:
    """What the test above bounds is not nothing."""
    settings = make_settings(balancer_count=20)
    fleet = Fleet(settings, 12, request_rates(settings, 12, 20, uneven=False), seed)
    fleet.advance(settings.overload_window)
    a_quarter_restarts(fleet)
    fleet.advance(2 * settings.overload_window)
    assert all(fleet.servers[number].attempts for number in (0, 4, 8))
