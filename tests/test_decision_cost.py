"""What the decision module's work and memory cost at 6,400 servers and 15,000 tenants, as counts.

Counted are executed byte codes of the module, bytes allocated, objects held and bytes logged: the
same on each run, however busy the machine. Byte codes miss the loops inside built-in functions such
as sorted; the bytes that those allocate are counted for the events that must not grow at all.
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

from dykeshift import rules
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
from dykeshift.rules import MAX_KNOWN_SERVERS, MAX_LOGGED_SERVERS, Balancer, Server, ServerClassState
from tests.harness import MS, S, make_settings

SMALL = (100, 100)  # servers, tenants
UNKNOWN_IN_PART = (1_000, 100)  # too many servers for all to be known
LARGE = (6_400, 15_000)
BALANCERS = 420
BETWEEN = 16 * MS  # 62 requests a second
LATENCY = 10 * MS
SWEEP = 375 * MS


def byte_codes(call: Callable[[], object]) -> int:
    """How many byte codes of rules.py the call executes."""
    count = 0

    def on_event(frame: FrameType, event: str, arg: Any) -> Any:
        nonlocal count
        if frame.f_code.co_filename != rules.__file__:
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
    """How many bytes are allocated at once while the call runs."""
    gc.collect()
    tracemalloc.start()
    try:
        call()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


class Traffic:
    """One balancer of many at 62 requests a second; attempts are answered quickly unless told otherwise."""

    def __init__(self, size: tuple[int, int]) -> None:
        servers, self.tenants = size
        self.entries = tuple(
            ServerEntry(1_009 * n, n % 3, n % 40, 0, ServerState.READY, 1.0, 0) for n in range(servers)
        )
        shares = (2.0,) * self.tenants
        self.balancer = Balancer(
            make_settings(balancer_count=BALANCERS, balancer_index=211, tenant_quotas_per_s=shares), seed=7
        )
        self.now, self.count, self.logged = 100 * S, 0, list[str]()
        self.next_sweep = self.now + SWEEP
        self.balancer.on_start(self.now)

    def list_all(self) -> None:
        self.balancer.on_list(self.now, ServerListUpdate(ListKind.FULL, self.entries))

    def listed(self) -> Traffic:
        self.list_all()
        return self

    def change(self, number: int = 17) -> None:
        """One server drains and comes back."""
        entry = self.entries[-number]
        for changed in (replace(entry, state=ServerState.DRAINING), entry):
            self.balancer.on_list(self.now, ServerListUpdate(ListKind.DELTA, (changed,)))

    def sweep(self) -> None:
        actions = self.balancer.on_timer(self.now, "sweep")
        self.logged += [action.text for action in actions if isinstance(action, Log)]

    def request(self, klass: int = 0, *first_ends: Outcome) -> list[Action]:
        """One request with its outcome: its first attempts end as told, all further ones well."""
        self.count += 1
        name, tenant = f"q{self.count}", self.count * 7 % self.tenants
        ends, sent = list(first_ends), 0
        deadline = self.now + 400 * MS
        seen = queue = self.balancer.on_request(self.now, Request(name, klass, deadline, tenant_index=tenant))
        while queue:
            action, *queue = queue
            if isinstance(action, Send):
                outcome = ends.pop(0) if ends else Outcome.OK
                end = AttemptEnd(name, sent, action.server_id, outcome, LATENCY, outcome is Outcome.OK)
                sent += 1
                more = self.balancer.on_attempt_end(self.now + LATENCY, end)
                seen, queue = seen + more, queue + more
        return seen

    def requests(self, count: int, klass: int = 0, *first_ends: Outcome) -> None:
        for _ in range(count):
            self.now += BETWEEN
            if self.now >= self.next_sweep:
                self.sweep()
                self.next_sweep += SWEEP
            self.request(klass, *first_ends)


def one_request_each(traffic: Traffic, *first_ends: Outcome) -> None:
    for klass in range(len(traffic.balancer.settings.classes)):
        traffic.now += BETWEEN
        traffic.request(klass, *first_ends)


def warmed(size: tuple[int, int]) -> Traffic:
    traffic = Traffic(size).listed()
    for klass in (0, 1, 2, 3, 4):
        traffic.requests(60, klass)
    return traffic


def four_sweeps(traffic: Traffic) -> None:
    for _ in range(4):
        traffic.sweep()


EVENTS: dict[str, Callable[[Traffic], None]] = {
    "requests": one_request_each,
    "requests whose connects fail": lambda t: one_request_each(t, Outcome.CONNECT_FAILED),
    "requests whose answers fail, keyed ones sent again": lambda t: one_request_each(t, Outcome.RESET),
    "sweeps": four_sweeps,
}


@pytest.mark.parametrize("name", EVENTS)
@pytest.mark.parametrize("start", [lambda size: Traffic(size).listed(), warmed], ids=["first", "warm"])
def test_requests_and_sweeps_do_the_same_work_at_any_size(
    start: Callable[[tuple[int, int]], Traffic], name: str
) -> None:
    calls = [partial(EVENTS[name], start(size)) for size in (SMALL, UNKNOWN_IN_PART, LARGE)]
    work = [byte_codes(call) for call in calls]
    assert work[2] <= 1.5 * min(work[:2]), work
    space = [peak_bytes(call) for call in calls]
    assert space[2] <= 1.5 * max(space[:2]) + 10_000, space  # a pointer to each server takes 51,200


def test_a_changed_entry_costs_hardly_more_among_many() -> None:
    work = [byte_codes(warmed(size).change) for size in (SMALL, UNKNOWN_IN_PART, LARGE)]
    assert work[2] <= 3 * work[0] and work[2] <= 1.5 * work[1], work


def test_a_whole_list_costs_a_few_steps_a_server() -> None:
    for size, most in ((SMALL, 300), (LARGE, 100)):  # of a small fleet each server is met at once
        assert byte_codes(Traffic(size).list_all) <= most * size[0]
        assert byte_codes(warmed(size).list_all) <= most * size[0]


def test_learned_state_is_held_for_the_servers_met_alone() -> None:
    traffic = Traffic(LARGE)
    bytes_before_traffic = peak_bytes(traffic.list_all)
    assert bytes_before_traffic <= 1_000_000
    tracemalloc.start()
    other = Balancer(traffic.balancer.settings, seed=8)
    other.on_list(traffic.now, ServerListUpdate(ListKind.FULL, traffic.entries))
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert held <= 800_000, "entries aside: an index of the servers and two numbers a tenant"
    assert len(other.servers) == len(other.pool) == 10


def test_servers_once_met_are_forgotten_beyond_a_bound() -> None:
    traffic = Traffic(LARGE).listed()
    for _ in range(40):  # whoever cannot be reached gives its place in the pool to another
        traffic.requests(20, 2, *[Outcome.CONNECT_FAILED] * 2)
    traffic.requests(1200, 3)
    balancer = traffic.balancer
    assert len(balancer.servers) <= len(balancer.pool) + MAX_KNOWN_SERVERS
    del balancer, traffic
    gc.collect()
    kept = [o for o in gc.get_objects() if isinstance(o, Server | ServerClassState)]
    assert not kept, "a balancer that is dropped leaves nothing behind"


def test_log_lines_are_few_and_short_at_any_size() -> None:
    sizes = []
    for size in (SMALL, LARGE):
        traffic = warmed(size)
        traffic.requests(60, 2, Outcome.ERROR)
        traffic.logged.clear()
        for _ in range(2):
            traffic.sweep()
        assert len(traffic.logged) == 2 + MAX_LOGGED_SERVERS
        sizes.append(sum(map(len, traffic.logged)))
    assert max(sizes) <= 1_500 and sizes[1] <= 1.5 * sizes[0], sizes


def test_a_report_counts_all_servers_and_names_those_that_fail() -> None:
    traffic = warmed(LARGE)
    failing = {
        a.server_id for _ in range(4) for a in traffic.request(2, Outcome.ERROR) if isinstance(a, Send)
    }
    traffic.change()
    entry = traffic.entries[0]
    drains = replace(entry, state=ServerState.DRAINING)
    traffic.balancer.on_list(traffic.now, ServerListUpdate(ListKind.DELTA, (drains,)))
    traffic.logged.clear()
    traffic.sweep()
    traffic.sweep()
    (counts,) = (line for line in traffic.logged if line.startswith("servers "))
    assert counts.startswith("servers 6400 ready 6399 draining 1 pool 10 known 1")
    assert f" failing {len(failing)} " in counts and "post/ERROR:4" in counts
    named = {int(line.split()[1], 16) for line in traffic.logged if line.startswith("server ")}
    assert failing <= named and len(named) == MAX_LOGGED_SERVERS


def test_a_keyed_repeat_looks_at_a_sample_of_its_cell() -> None:
    traffic = warmed(LARGE)
    cells = {entry.id: entry.cell for entry in traffic.entries}
    repeats = 0
    for _ in range(50):
        traffic.now += BETWEEN
        sent = [a.server_id for a in traffic.request(1, Outcome.RESET) if isinstance(a, Send)]
        repeats += len(sent) > 1
        assert len({cells[number] for number in sent}) <= 1
    assert repeats > 25, "its cell has 160 servers, of which the pool holds hardly one"


def test_a_tenant_gets_no_more_than_its_share_however_seldom_it_asks() -> None:
    traffic = Traffic(LARGE).listed()
    shares = traffic.balancer.tenant_quotas
    part = 2.0 / BALANCERS
    within = 0
    for n in range(2_000):  # one tenant's requests, far beyond its share, and others between
        traffic.now += 10 * S // 3
        within += shares.consume(traffic.now, Request(f"t{n}", 0, traffic.now + S, tenant_index=14_999))
        shares.consume(traffic.now, Request(f"u{n}", 0, traffic.now + S, tenant_index=n))
    assert within == pytest.approx(part * 2_000 * 10 / 3, abs=2)


def test_a_server_met_anew_gets_no_second_attempt_of_the_same_request() -> None:
    """Its state was dropped between two attempts: by that alone it looked like another server."""
    balancer = Balancer(make_settings(balancer_count=BALANCERS), seed=7)
    now = 100 * S
    entry = ServerEntry(5, 0, 0, 0, ServerState.READY, 1.0, 0)
    balancer.on_list(now, ServerListUpdate(ListKind.FULL, (entry,)))
    (sent,) = (a for a in balancer.on_request(now, Request("q", 0, now + S)) if isinstance(a, Send))
    del balancer.servers[sent.server_id]
    balancer.on_list(now, ServerListUpdate(ListKind.DELTA, (entry,)))
    end = AttemptEnd("q", 0, sent.server_id, Outcome.FULL, MS, False)
    actions = balancer.on_attempt_end(now + MS, end) + balancer.on_timer(now + 50 * MS, "r:q")
    assert not any(isinstance(action, Send) for action in actions)


def test_servers_met_later_begin_with_the_trust_of_the_list_that_told_of_them() -> None:
    """A short cached list of long ago came first: its servers were each shared by all balancers."""
    traffic = Traffic(LARGE)
    balancer = traffic.balancer
    balancer.on_list(traffic.now, ServerListUpdate(ListKind.CACHED, traffic.entries[:10]))
    for server in balancer.servers.values():
        server.in_flight_limit = 3.0
    traffic.list_all()
    assert balancer.initial_limit == pytest.approx(3.0)
    assert [server.in_flight_limit for server in balancer.pool] == [pytest.approx(3.0)] * 10
    traffic.change()
    assert balancer.initial_limit == pytest.approx(3.0)
