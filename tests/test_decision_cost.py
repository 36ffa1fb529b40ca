"""Work and memory of the decision module with up to 6,400 servers and 15,000 tenants.

The tests count executed bytecode instructions of the module, allocated bytes, objects and logged bytes. These
are the same in each run, however busy the machine is. Instructions do not include loops inside built-in
functions such as sorted, so for events whose cost must not grow with the fleet, allocated bytes are checked
too.
"""

from __future__ import annotations

import gc
import sys
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from types import FrameType
from typing import Any

import pytest

from dykeshift import attempts, executions, log_counts, rules, server_state
from dykeshift.interface import (
    Action,
    AttemptEnd,
    ListKind,
    Log,
    Outcome,
    Request,
    Send,
    ServerEntry,
    ServerListUpdate,
    ServerState,
)
from dykeshift.rules import MAX_KNOWN_SERVERS, MAX_LOGGED_SERVERS, Balancer
from dykeshift.server_state import Server, ServerClassState
from tests.harness import MS, S, make_settings

SMALL = (100, 100)  # servers, tenants
PARTLY_KNOWN = (1_000, 100)  # too many servers for the state of all to be kept
LARGE = (6_400, 15_000)
BALANCER_COUNT = 420
REQUEST_INTERVAL_NS = 16 * MS  # 62 requests per second
LATENCY_NS = 10 * MS
SWEEP_INTERVAL_NS = 375 * MS
DECISION_FILES = {module.__file__ for module in (rules, attempts, executions, server_state, log_counts)}


def count_instructions(call: Callable[[], object]) -> int:
    """Count the bytecode instructions of the decision module that the call executes."""
    count = 0

    def on_event(frame: FrameType, event: str, arg: Any) -> Any:
        nonlocal count
        if frame.f_code.co_filename not in DECISION_FILES:
            return None
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        count += event == "opcode"
        return on_event

    before = sys.gettrace()
    sys.settrace(on_event)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


def peak_bytes(call: Callable[[], object]) -> int:
    """Return the peak of the bytes allocated during the call."""
    gc.collect()
    tracemalloc.start()
    try:
        call()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


class Traffic:
    """One of many balancers, at 62 requests per second.

    Attempts are answered quickly unless a test gives other outcomes.
    """

    def __init__(self, size: tuple[int, int]) -> None:
        server_count, self.tenant_count = size
        self.entries = tuple(
            ServerEntry(1_009 * n, n % 3, n % 40, 0, ServerState.READY, 1.0, 0) for n in range(server_count)
        )
        quotas = (2.0,) * self.tenant_count
        self.balancer = Balancer(
            make_settings(balancer_count=BALANCER_COUNT, balancer_index=211, tenant_quotas_per_s=quotas),
            seed=7,
        )
        self.now, self.request_count, self.log_lines = 100 * S, 0, list[str]()
        self.next_sweep = self.now + SWEEP_INTERVAL_NS
        self.balancer.on_start(self.now)

    def apply_full_list(self) -> None:
        self.balancer.on_list(self.now, ServerListUpdate(ListKind.FULL, self.entries))

    def with_full_list(self) -> Traffic:
        self.apply_full_list()
        return self

    def drain_and_restore(self, index_from_end: int = 17) -> None:
        """Let one server drain and become ready again."""
        entry = self.entries[-index_from_end]
        for changed in (replace(entry, state=ServerState.DRAINING), entry):
            self.balancer.on_list(self.now, ServerListUpdate(ListKind.DELTA, (changed,)))

    def sweep(self) -> None:
        actions = self.balancer.on_timer(self.now, "sweep")
        self.log_lines += [action.text for action in actions if isinstance(action, Log)]

    def submit(self, class_index: int = 0, *first_outcomes: Outcome) -> list[Action]:
        """Submit a request and end its attempts, the first ones with these outcomes and the others with OK.

        Returns all actions that followed.
        """
        self.request_count += 1
        request_id, tenant_index = f"q{self.request_count}", self.request_count * 7 % self.tenant_count
        outcomes, sent = list(first_outcomes), 0
        deadline = self.now + 400 * MS
        actions = queue = self.balancer.on_request(
            self.now, Request(request_id, class_index, deadline, tenant_index=tenant_index)
        )
        while queue:
            action, *queue = queue
            if isinstance(action, Send):
                outcome = outcomes.pop(0) if outcomes else Outcome.OK
                end = AttemptEnd(
                    request_id, sent, action.server_id, outcome, LATENCY_NS, outcome is Outcome.OK
                )
                sent += 1
                more = self.balancer.on_attempt_end(self.now + LATENCY_NS, end)
                actions, queue = actions + more, queue + more
        return actions

    def submit_many(self, count: int, class_index: int = 0, *first_outcomes: Outcome) -> None:
        for _ in range(count):
            self.now += REQUEST_INTERVAL_NS
            if self.now >= self.next_sweep:
                self.sweep()
                self.next_sweep += SWEEP_INTERVAL_NS
            self.submit(class_index, *first_outcomes)


def submit_one_of_each_class(traffic: Traffic, *first_outcomes: Outcome) -> None:
    for class_index in range(len(traffic.balancer.settings.classes)):
        traffic.now += REQUEST_INTERVAL_NS
        traffic.submit(class_index, *first_outcomes)


def warmed_up(size: tuple[int, int]) -> Traffic:
    traffic = Traffic(size).with_full_list()
    for class_index in (0, 1, 2, 3, 4):
        traffic.submit_many(60, class_index)
    return traffic


def sweep_four_times(traffic: Traffic) -> None:
    for _ in range(4):
        traffic.sweep()


EVENTS: dict[str, Callable[[Traffic], None]] = {
    "requests": submit_one_of_each_class,
    "failed connects": lambda traffic: submit_one_of_each_class(traffic, Outcome.CONNECT_FAILED),
    "resets and repeats of keyed requests": lambda traffic: submit_one_of_each_class(traffic, Outcome.RESET),
    "sweeps": sweep_four_times,
}


@pytest.mark.parametrize("name", EVENTS)
@pytest.mark.parametrize(
    "start", [lambda size: Traffic(size).with_full_list(), warmed_up], ids=["first", "warm"]
)
def test_requests_and_sweeps_cost_the_same_at_any_size(
    start: Callable[[tuple[int, int]], Traffic], name: str
) -> None:
    calls = [partial(EVENTS[name], start(size)) for size in (SMALL, PARTLY_KNOWN, LARGE)]
    instructions = [count_instructions(call) for call in calls]
    assert instructions[2] <= 1.5 * min(instructions[:2]), instructions
    allocated = [peak_bytes(call) for call in calls]
    # One pointer to each server would already take 51,200 bytes.
    assert allocated[2] <= 1.5 * max(allocated[:2]) + 10_000, allocated


def test_a_changed_entry_costs_hardly_more_in_a_large_fleet() -> None:
    instructions = [
        count_instructions(warmed_up(size).drain_and_restore) for size in (SMALL, PARTLY_KNOWN, LARGE)
    ]
    assert instructions[2] <= 3 * instructions[0] and instructions[2] <= 1.5 * instructions[1], instructions


def test_a_full_list_costs_a_few_instructions_per_server() -> None:
    # In a small fleet, state is created for each server at once.
    for size, max_per_server in ((SMALL, 300), (LARGE, 100)):
        assert count_instructions(Traffic(size).apply_full_list) <= max_per_server * size[0]
        assert count_instructions(warmed_up(size).apply_full_list) <= max_per_server * size[0]


def test_state_is_kept_only_for_servers_that_are_used() -> None:
    traffic = Traffic(LARGE)
    bytes_before_traffic = peak_bytes(traffic.apply_full_list)
    assert bytes_before_traffic <= 1_000_000
    tracemalloc.start()
    other = Balancer(traffic.balancer.settings, seed=8)
    other.on_list(traffic.now, ServerListUpdate(ListKind.FULL, traffic.entries))
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert (
        allocated <= 800_000
    ), "without the entries, more than an index of the servers and two numbers per tenant"
    assert len(other.servers) == len(other.pool) == 10


def test_state_of_unused_servers_is_dropped_beyond_a_limit() -> None:
    traffic = Traffic(LARGE).with_full_list()
    for _ in range(40):  # a server that cannot be reached is replaced in the pool by another
        traffic.submit_many(20, 2, *[Outcome.CONNECT_FAILED] * 2)
    traffic.submit_many(1200, 3)
    balancer = traffic.balancer
    assert len(balancer.servers) <= len(balancer.pool) + MAX_KNOWN_SERVERS
    del balancer, traffic
    gc.collect()
    kept = [o for o in gc.get_objects() if isinstance(o, Server | ServerClassState)]
    assert not kept, "still referenced although the balancer was deleted"


def test_the_log_is_short_at_any_size() -> None:
    log_sizes = []
    for size in (SMALL, LARGE):
        traffic = warmed_up(size)
        traffic.submit_many(60, 2, Outcome.ERROR)
        traffic.log_lines.clear()
        for _ in range(2):
            traffic.sweep()
        assert len(traffic.log_lines) == 2 + MAX_LOGGED_SERVERS
        log_sizes.append(sum(map(len, traffic.log_lines)))
    assert max(log_sizes) <= 1_500 and log_sizes[1] <= 1.5 * log_sizes[0], log_sizes


def test_the_log_counts_all_servers_and_names_those_that_fail() -> None:
    traffic = warmed_up(LARGE)
    failing = {a.server_id for _ in range(4) for a in traffic.submit(2, Outcome.ERROR) if isinstance(a, Send)}
    traffic.drain_and_restore()
    entry = traffic.entries[0]
    draining = replace(entry, state=ServerState.DRAINING)
    traffic.balancer.on_list(traffic.now, ServerListUpdate(ListKind.DELTA, (draining,)))
    traffic.log_lines.clear()
    traffic.sweep()
    traffic.sweep()
    (counts,) = (line for line in traffic.log_lines if line.startswith("servers "))
    assert counts.startswith("servers 6400 ready 6399 draining 1 pool 10 known 1")
    assert f" failing {len(failing)} " in counts and "post/ERROR:4" in counts
    named = {int(line.split()[1], 16) for line in traffic.log_lines if line.startswith("server ")}
    assert failing <= named and len(named) == MAX_LOGGED_SERVERS


def test_a_repeat_of_a_keyed_request_goes_to_a_sample_of_its_cell() -> None:
    traffic = warmed_up(LARGE)
    cells = {entry.id: entry.cell for entry in traffic.entries}
    repeats = 0
    for _ in range(50):
        traffic.now += REQUEST_INTERVAL_NS
        server_ids = [a.server_id for a in traffic.submit(1, Outcome.RESET) if isinstance(a, Send)]
        repeats += len(server_ids) > 1
        assert len({cells[server_id] for server_id in server_ids}) <= 1
    assert repeats > 25, "limited to the pool, which has hardly one of the 160 servers of a cell"


def test_a_tenant_gets_no_more_than_its_quota_at_long_intervals() -> None:
    traffic = Traffic(LARGE).with_full_list()
    quotas = traffic.balancer.tenant_quotas
    quota_per_balancer = 2.0 / BALANCER_COUNT
    within_quota = 0
    for n in range(2_000):  # one tenant, far over its quota, and requests of others between
        traffic.now += 10 * S // 3
        within_quota += quotas.consume(traffic.now, Request(f"t{n}", 0, traffic.now + S, tenant_index=14_999))
        quotas.consume(traffic.now, Request(f"u{n}", 0, traffic.now + S, tenant_index=n))
    assert within_quota == pytest.approx(quota_per_balancer * 2_000 * 10 / 3, abs=2)


def test_a_server_whose_state_was_dropped_gets_no_second_attempt_of_the_same_request() -> None:
    """Guards against taking a server for another one because its state was dropped between two attempts."""
    balancer = Balancer(make_settings(balancer_count=BALANCER_COUNT), seed=7)
    now = 100 * S
    entry = ServerEntry(5, 0, 0, 0, ServerState.READY, 1.0, 0)
    balancer.on_list(now, ServerListUpdate(ListKind.FULL, (entry,)))
    (send,) = (a for a in balancer.on_request(now, Request("q", 0, now + S)) if isinstance(a, Send))
    del balancer.servers[send.server_id]
    balancer.on_list(now, ServerListUpdate(ListKind.DELTA, (entry,)))
    end = AttemptEnd("q", 0, send.server_id, Outcome.FULL, MS, False)
    actions = balancer.on_attempt_end(now + MS, end) + balancer.on_timer(now + 50 * MS, "r:q")
    assert not any(isinstance(action, Send) for action in actions)


def test_servers_listed_later_start_with_the_mean_limit() -> None:
    """Guards against keeping the initial limit of a short outdated list that came first.

    That limit was low, as all balancers shared each of the few servers of that list.
    """
    traffic = Traffic(LARGE)
    balancer = traffic.balancer
    balancer.on_list(traffic.now, ServerListUpdate(ListKind.CACHED, traffic.entries[:10]))
    for server in balancer.servers.values():
        server.in_flight_limit = 3.0
    traffic.apply_full_list()
    assert balancer.initial_limit == pytest.approx(3.0)
    assert [server.in_flight_limit for server in balancer.pool] == [pytest.approx(3.0)] * 10
    traffic.drain_and_restore()
    assert balancer.initial_limit == pytest.approx(3.0)
