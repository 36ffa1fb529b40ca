"""Settings that change while the decision module runs: what it keeps and what takes effect at once."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from dykeshift.interface import Idempotency, ListKind, Outcome, Request, RequestClass, DedupScope, ServerState
from dykeshift.rules import MAX_KNOWN_SERVERS
from tests.harness import CLASSES, KEYED_CELL, MS, SAFE, UNSAFE, S, World, entry, make_settings
from tests.test_properties import Rules

# In a fleet of this size, servers for the repeats of keyed requests are looked up by cell or zone.
LARGE_FLEET_SERVERS = 3 * MAX_KNOWN_SERVERS
STREAM = replace(SAFE, name="stream", worth=9.0)


def change_settings(world: World, **changes: object) -> None:
    """Apply other settings, as a document of the agent does."""
    world.settings = replace(world.settings, **changes)  # type: ignore[arg-type]
    world.play(world.balancer.on_settings(world.now, world.settings))


def indexes(*names: str) -> dict[bytes, int]:
    """Tenant indexes for names in this order."""
    return {name.encode(): n for n, name in enumerate(names)}


def make_world(classes: tuple[RequestClass, ...], servers: int = 6, **changes: object) -> World:
    world = World(make_settings(classes=classes, **changes))
    world.announce(ListKind.FULL, *(entry(n) for n in range(servers)))
    return world


def test_learned_latency_follows_a_class_by_its_name() -> None:
    world = make_world((SAFE, UNSAFE))
    for _ in range(30):
        request_id = world.submit(1)
        world.advance(20 * MS)
        world.end_all(request_id)
    learned = world.balancer.usual_latency[1]
    change_settings(world, classes=(STREAM, UNSAFE, SAFE))
    assert world.balancer.usual_latency[1] == learned
    change_settings(world, classes=(UNSAFE, STREAM))
    assert world.balancer.usual_latency[0] == learned != world.balancer.usual_latency[1]


def test_open_requests_of_a_removed_class_keep_its_rules() -> None:
    world = make_world((SAFE, UNSAFE, KEYED_CELL), servers=9)
    unsafe, keyed = world.submit(1), world.submit(2)
    change_settings(world, classes=(STREAM,))
    world.end(keyed, 0, Outcome.ERROR)  # may have run; the harness checks that the retry stays in the cell
    assert len(world.requests[keyed].servers) == 2
    world.end(unsafe, 0, Outcome.ERROR)
    assert world.requests[unsafe].final == "Fail"
    world.end(keyed, 1, Outcome.OK)
    assert world.requests[keyed].final == "OK"
    change_settings(world, classes=(STREAM, SAFE))
    assert len(world.balancer.usual_latency) == 2  # no state remains of classes without open requests
    world.settle()


def test_an_open_unsafe_request_stays_unsafe() -> None:
    world = make_world((UNSAFE,))
    request_id = world.submit(0)
    change_settings(world, classes=(replace(UNSAFE, idempotency=Idempotency.SAFE),))
    world.end(request_id, 0, Outcome.RESET)
    assert len(world.requests[request_id].servers) == 1 and world.requests[request_id].final == "Fail"
    later = world.submit(0)
    world.end_all(later, Outcome.ERROR)
    assert len(world.requests[later].servers) > 1  # it follows the new settings


def test_attempts_at_a_replaced_server_process_follow_the_new_class_indexes() -> None:
    """The process is no longer listed when the class indexes change, but its attempt is still open."""
    world = make_world((SAFE, UNSAFE), servers=1)
    request_id = world.submit(1)
    world.announce(ListKind.DELTA, entry(0, started=world.now))  # a new process at the same server
    # The class of the request gets an index beyond the old ones.
    change_settings(world, classes=(STREAM, KEYED_CELL, SAFE))
    world.end(request_id, 0, Outcome.OK)
    assert world.requests[request_id].final == "OK"
    world.settle()


def test_a_class_that_returns_while_its_requests_are_open_has_one_index() -> None:
    world = make_world((SAFE, UNSAFE))
    request_id = world.submit(1)
    change_settings(world, classes=(SAFE,))
    change_settings(world, classes=(STREAM, UNSAFE))
    assert world.balancer.class_names == ["stream", "post"]
    world.end(request_id, 0, Outcome.OK)
    world.settle()


def test_attempt_limit_and_copies_change_at_once() -> None:
    world = make_world((SAFE,), max_attempts=5)
    request_id = world.submit(0)
    change_settings(world, max_attempts=1, copies_allowed=False)
    sent = len(world.requests[request_id].servers)
    world.end_all(request_id, Outcome.ERROR)
    assert len(world.requests[request_id].servers) == sent and world.requests[request_id].final == "Refuse"


def test_worths_change_at_once() -> None:
    low, high = replace(SAFE, name="low", worth=1.0), replace(SAFE, name="high", worth=10.0)
    world = make_world((low, high))
    change_settings(world, classes=(replace(low, worth=10.0), replace(high, worth=1.0)))
    assert world.balancer.relative_worth[0] > world.balancer.relative_worth[1]


def test_used_quota_is_kept_by_tenant_name_and_limited_by_the_new_quota() -> None:
    world = make_world(
        (SAFE,), tenant_quotas_per_s=(8.0, 40.0), tenant_indexes=indexes("acme", "globex"), balancer_count=1
    )

    def requests_within_quota(tenant: int) -> int:
        """Count the consecutive requests that are within the tenant's quota."""
        count = 0
        while world.balancer.tenant_quotas.consume(world.now, Request("r", 0, 0, tenant_index=tenant)):
            count += 1
        return count

    assert requests_within_quota(0) == 24  # the quota of three seconds
    change_settings(
        world, tenant_quotas_per_s=(40.0, 8.0, 4.0), tenant_indexes=indexes("globex", "acme", "new")
    )
    assert (requests_within_quota(0), requests_within_quota(1), requests_within_quota(2)) == (120, 0, 12)
    world.advance(S)
    change_settings(world, tenant_quotas_per_s=(80.0,), tenant_indexes=indexes("globex"), balancer_count=40)
    # A fortieth of the quota of three seconds, however much remained before.
    assert requests_within_quota(0) == 6


def test_a_retry_finds_its_cell_although_no_earlier_class_needed_cells() -> None:
    """The servers are grouped by cell only while a class, or an open request of a removed one, needs it."""
    world = make_world((SAFE,), servers=LARGE_FLEET_SERVERS)
    change_settings(world, classes=(SAFE, KEYED_CELL))
    request_id = world.submit(1)
    world.end(request_id, 0, Outcome.ERROR)
    assert len(world.requests[request_id].servers) == 2  # the harness checks that both are in the same cell
    change_settings(world, classes=(SAFE,))
    cell = world.list[world.requests[request_id].servers[0]].cell
    others = [n for n in range(LARGE_FLEET_SERVERS) if world.list[n].cell != cell]
    world.announce(ListKind.DELTA, *(entry(n, ServerState.DRAINING) for n in others))
    world.end(request_id, 1, Outcome.ERROR)
    assert len(world.requests[request_id].servers) == 3  # the cells are kept for this open request
    world.settle()


def test_the_balancer_count_follows_the_new_settings() -> None:
    world = make_world((SAFE,))
    change_settings(world, balancer_count=400)
    assert world.balancer._balancers_per_server() == 400


def test_the_measured_request_rate_is_kept_when_the_overload_window_changes() -> None:
    world = make_world((SAFE,))
    for _ in range(200):
        world.end_all(world.submit(0))
        world.advance(20 * MS)
    before = world.balancer.requests_per_window / world.settings.overload_window
    change_settings(world, overload_window=world.settings.overload_window * 4)
    assert abs(world.balancer.requests_per_window / world.settings.overload_window - before) < 1e-12


def test_applying_equal_settings_changes_no_decision() -> None:
    """Except through the relative worth of the classes, which each change of the settings recomputes."""
    unchanged, reapplied = make_world(CLASSES), make_world(CLASSES)
    for n in range(300):
        for world in (unchanged, reapplied):
            if n % 7 == 0:
                change_settings(world) if world is reapplied else world.balancer._update_relative_worth()
            request_id = world.submit(n % len(CLASSES))
            world.advance(9 * MS)
            world.end_all(request_id, Outcome.ERROR if n % 5 == 0 else Outcome.OK)
    assert unchanged.actions == reapplied.actions


# ---- random histories ----

CLASS_VARIANTS = [replace(c, idempotency=kind) for c in CLASSES for kind in Idempotency]
CLASS_VARIANTS += [
    replace(c, latency_target=c.latency_target // 4, client_timeout=c.client_timeout * 2, worth=0.0)
    for c in CLASSES
]
CLASS_VARIANTS += [
    replace(c, dedup_scope=scope, dedup_window=50 * MS) for c in CLASSES for scope in DedupScope
]


class ChangingRules(Rules):
    """The invariants of random histories hold while the settings change."""

    @rule(
        classes=st.lists(st.sampled_from(CLASS_VARIANTS), min_size=1, max_size=4, unique_by=lambda c: c.name),
        limit=st.integers(1, 4),
        copies=st.booleans(),
        cancels=st.booleans(),
        balancers=st.sampled_from([1, 4, 420]),
        window=st.sampled_from([200 * MS, 1500 * MS]),
    )
    def settings_change(
        self,
        classes: list[RequestClass],
        limit: int,
        copies: bool,
        cancels: bool,
        balancers: int,
        window: int,
    ) -> None:
        change_settings(
            self.world,
            classes=tuple(classes),
            max_attempts=limit,
            copies_allowed=copies,
            cancel_allowed=cancels,
            balancer_count=balancers,
            overload_window=window,
        )

    @rule(
        klass=st.integers(0, 3), patience=st.sampled_from([None, 30 * MS]), hint=st.sampled_from([0, 20 * MS])
    )
    def submit(self, klass: int, patience: int | None, hint: int) -> None:
        self.world.submit(klass % len(self.world.settings.classes), patience, hint)


TestChangingRules = ChangingRules.TestCase
TestChangingRules.settings = settings(
    derandomize=True,
    database=None,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
