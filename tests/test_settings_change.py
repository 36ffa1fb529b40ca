"""Settings that change in service, at the decision module: what is kept and what takes effect at once."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from dykeshift.interface import Idempotency, ListKind, Outcome, Request, RequestClass, DedupScope, ServerState
from dykeshift.rules import MAX_KNOWN_SERVERS
from tests.harness import CLASSES, KEYED_CELL, MS, SAFE, UNSAFE, S, World, entry, make_settings
from tests.test_properties import Rules

SEARCHED = (
    3 * MAX_KNOWN_SERVERS
)  # servers: in a fleet of so many, the repeats of keyed requests are sought in groups
STREAM = replace(SAFE, name="stream", worth=9.0)


def change(world: World, **changes: object) -> None:
    """Bring other settings into force, as an agent's document would."""
    world.settings = replace(world.settings, **changes)  # type: ignore[arg-type]
    world.play(world.balancer.on_settings(world.now, world.settings))


def numbers(*names: str) -> dict[bytes, int]:
    """Tenants in this order."""
    return {name.encode(): n for n, name in enumerate(names)}


def make_world(classes: tuple[RequestClass, ...], servers: int = 6, **changes: object) -> World:
    world = World(make_settings(classes=classes, **changes))
    world.announce(ListKind.FULL, *(entry(n) for n in range(servers)))
    return world


def test_learned_latency_follows_a_class_by_its_name() -> None:
    world = make_world((SAFE, UNSAFE))
    for _ in range(30):
        rid = world.submit(1)
        world.advance(20 * MS)
        world.end_all(rid)
    learned = world.balancer.usual_latency[1]
    change(world, classes=(STREAM, UNSAFE, SAFE))
    assert world.balancer.usual_latency[1] == learned
    change(world, classes=(UNSAFE, STREAM))
    assert world.balancer.usual_latency[0] == learned != world.balancer.usual_latency[1]


def test_open_requests_of_a_removed_class_end_as_they_began() -> None:
    world = make_world((SAFE, UNSAFE, KEYED_CELL), servers=9)
    unsafe, keyed = world.submit(1), world.submit(2)
    change(world, classes=(STREAM,))
    world.end(keyed, 0, Outcome.ERROR)  # may have run: the next one goes to its cell, as the harness checks
    assert len(world.requests[keyed].servers) == 2
    world.end(unsafe, 0, Outcome.ERROR)
    assert world.requests[unsafe].final == "Fail"
    world.end(keyed, 1, Outcome.OK)
    assert world.requests[keyed].final == "OK"
    change(world, classes=(STREAM, SAFE))
    assert len(world.balancer.usual_latency) == 2  # nothing is left of classes that nobody uses
    world.settle()


def test_unsafe_stays_unsafe_for_a_request_that_began_so() -> None:
    world = make_world((UNSAFE,))
    rid = world.submit(0)
    change(world, classes=(replace(UNSAFE, idempotency=Idempotency.SAFE),))
    world.end(rid, 0, Outcome.RESET)
    assert len(world.requests[rid].servers) == 1 and world.requests[rid].final == "Fail"
    other = world.submit(0)
    world.end_all(other, Outcome.ERROR)
    assert len(world.requests[other].servers) > 1  # new ones are as the new settings say


def test_attempts_at_a_process_that_is_listed_no_more_are_renumbered_too() -> None:
    world = make_world((SAFE, UNSAFE), servers=1)
    rid = world.submit(1)
    world.announce(ListKind.DELTA, entry(0, started=world.now))  # a new process has taken its place
    change(world, classes=(STREAM, KEYED_CELL, SAFE))  # its class has a higher number than any before
    world.end(rid, 0, Outcome.OK)
    assert world.requests[rid].final == "OK"
    world.settle()


def test_a_class_that_comes_back_while_its_requests_are_open_has_one_number() -> None:
    world = make_world((SAFE, UNSAFE))
    rid = world.submit(1)
    change(world, classes=(SAFE,))
    change(world, classes=(STREAM, UNSAFE))
    assert world.balancer.class_names == ["stream", "post"]
    world.end(rid, 0, Outcome.OK)
    world.settle()


def test_attempt_limit_and_second_copies_take_effect_at_once() -> None:
    world = make_world((SAFE,), max_attempts=5)
    rid = world.submit(0)
    change(world, max_attempts=1, copies_allowed=False)
    sent = len(world.requests[rid].servers)
    world.end_all(rid, Outcome.ERROR)
    assert len(world.requests[rid].servers) == sent and world.requests[rid].final == "Refuse"


def test_worths_count_at_once() -> None:
    cheap, dear = replace(SAFE, name="cheap", worth=1.0), replace(SAFE, name="dear", worth=10.0)
    world = make_world((cheap, dear))
    change(world, classes=(replace(cheap, worth=10.0), replace(dear, worth=1.0)))
    assert world.balancer.relative_worth[0] > world.balancer.relative_worth[1]


def test_shares_are_kept_by_the_name_of_the_tenant_and_bounded_by_the_new_ones() -> None:
    world = make_world(
        (SAFE,), tenant_quotas_per_s=(8.0, 40.0), tenant_indexes=numbers("acme", "globex"), balancer_count=1
    )

    def within(tenant: int) -> int:
        """How many requests in a row are within the tenant's share."""
        count = 0
        while world.balancer.tenant_quotas.consume(world.now, Request("r", 0, 0, tenant_index=tenant)):
            count += 1
        return count

    assert within(0) == 24  # three seconds' worth
    change(world, tenant_quotas_per_s=(40.0, 8.0, 4.0), tenant_indexes=numbers("globex", "acme", "new"))
    assert (within(0), within(1), within(2)) == (120, 0, 12)
    world.advance(S)
    change(world, tenant_quotas_per_s=(80.0,), tenant_indexes=numbers("globex"), balancer_count=40)
    assert within(0) == 6  # a fortieth of three seconds' worth, however much was left before


def test_a_class_whose_repeats_go_to_a_cell_finds_it_though_no_class_needed_cells_before() -> None:
    world = make_world((SAFE,), servers=SEARCHED)
    change(world, classes=(SAFE, KEYED_CELL))
    rid = world.submit(1)
    world.end(rid, 0, Outcome.ERROR)
    assert len(world.requests[rid].servers) == 2  # in the cell of the first, as the harness checks
    change(world, classes=(SAFE,))
    cell = world.list[world.requests[rid].servers[0]].cell
    others = [n for n in range(SEARCHED) if world.list[n].cell != cell]
    world.announce(ListKind.DELTA, *(entry(n, ServerState.DRAINING) for n in others))
    world.end(rid, 1, Outcome.ERROR)
    assert len(world.requests[rid].servers) == 3  # the cell is still known for the sake of this one
    world.settle()


def test_the_balancer_count_is_that_of_the_new_settings() -> None:
    world = make_world((SAFE,))
    change(world, balancer_count=400)
    assert world.balancer._balancers_per_server() == 400


def test_a_measured_rate_is_kept_when_the_window_that_it_counts_in_changes() -> None:
    world = make_world((SAFE,))
    for _ in range(200):
        world.end_all(world.submit(0))
        world.advance(20 * MS)
    before = world.balancer.requests_per_window / world.settings.overload_window
    change(world, overload_window=world.settings.overload_window * 4)
    assert abs(world.balancer.requests_per_window / world.settings.overload_window - before) < 1e-12


def test_settings_that_are_the_same_change_no_decision() -> None:
    """But for the worth of each class, which every change appraises anew."""
    plain, changed = make_world(CLASSES), make_world(CLASSES)
    for n in range(300):
        for world in (plain, changed):
            if n % 7 == 0:
                change(world) if world is changed else world.balancer._update_relative_worth()
            rid = world.submit(n % len(CLASSES))
            world.advance(9 * MS)
            world.end_all(rid, Outcome.ERROR if n % 5 == 0 else Outcome.OK)
    assert plain.actions == changed.actions


# ---- any history ----

VARIANTS = [replace(c, idempotency=kind) for c in CLASSES for kind in Idempotency]
VARIANTS += [
    replace(c, latency_target=c.latency_target // 4, client_timeout=c.client_timeout * 2, worth=0.0)
    for c in CLASSES
]
VARIANTS += [replace(c, dedup_scope=scope, dedup_window=50 * MS) for c in CLASSES for scope in DedupScope]


class ChangingRules(Rules):
    """The rules of any history hold with settings that change in the middle of it."""

    @rule(
        classes=st.lists(st.sampled_from(VARIANTS), min_size=1, max_size=4, unique_by=lambda c: c.name),
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
        change(
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
