"""Settings that change while the decision module runs: what it keeps and what takes effect at once."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from dykeshift.interface import DedupScope, Idempotency, ListKind, Outcome, Request, RequestClass, ServerState
from dykeshift.rules import MAX_KNOWN_SERVERS
from tests.harness import (
    CLASSES,
    KEYED_CELL,
    MS,
    SAFE,
    UNSAFE,
    BalancerHarness,
    S,
    make_settings,
    server_entry,
)
from tests.test_properties import RandomHistories

# In a fleet of this size, servers for the repeats of keyed requests are looked up by cell or zone.
LARGE_FLEET_SERVERS = 3 * MAX_KNOWN_SERVERS
STREAM = replace(SAFE, name="stream", worth=9.0)


def change_settings(harness: BalancerHarness, **changes: object) -> None:
    """Apply other settings, as a document of the agent does."""
    harness.settings = replace(harness.settings, **changes)  # type: ignore[arg-type]
    harness.execute(harness.balancer.on_settings(harness.now, harness.settings))


def indexes(*names: str) -> dict[bytes, int]:
    """Tenant indexes for names in this order."""
    return {name.encode(): n for n, name in enumerate(names)}


def make_harness(classes: tuple[RequestClass, ...], servers: int = 6, **changes: object) -> BalancerHarness:
    harness = BalancerHarness(make_settings(classes=classes, **changes))
    harness.update_server_list(ListKind.FULL, *(server_entry(n) for n in range(servers)))
    return harness


def test_learned_latency_follows_a_class_by_its_name() -> None:
    harness = make_harness((SAFE, UNSAFE))
    for _ in range(30):
        request_id = harness.submit(1)
        harness.advance(20 * MS)
        harness.end_all_attempts(request_id)
    learned = harness.balancer.usual_latency[1]
    change_settings(harness, classes=(STREAM, UNSAFE, SAFE))
    assert harness.balancer.usual_latency[1] == learned
    change_settings(harness, classes=(UNSAFE, STREAM))
    assert harness.balancer.usual_latency[0] == learned != harness.balancer.usual_latency[1]


def test_open_requests_of_a_removed_class_keep_its_rules() -> None:
    harness = make_harness((SAFE, UNSAFE, KEYED_CELL), servers=9)
    unsafe, keyed = harness.submit(1), harness.submit(2)
    change_settings(harness, classes=(STREAM,))
    # The request may have run; the harness checks that the retry stays in the cell.
    harness.end_attempt(keyed, 0, Outcome.ERROR)
    assert len(harness.requests[keyed].server_ids) == 2
    harness.end_attempt(unsafe, 0, Outcome.ERROR)
    assert harness.requests[unsafe].final_answer == "Fail"
    harness.end_attempt(keyed, 1, Outcome.OK)
    assert harness.requests[keyed].final_answer == "OK"
    change_settings(harness, classes=(STREAM, SAFE))
    assert len(harness.balancer.usual_latency) == 2  # no state remains of classes without open requests
    harness.finish_all_requests()


def test_an_open_unsafe_request_stays_unsafe() -> None:
    harness = make_harness((UNSAFE,))
    request_id = harness.submit(0)
    change_settings(harness, classes=(replace(UNSAFE, idempotency=Idempotency.SAFE),))
    harness.end_attempt(request_id, 0, Outcome.RESET)
    assert (
        len(harness.requests[request_id].server_ids) == 1
        and harness.requests[request_id].final_answer == "Fail"
    )
    later = harness.submit(0)
    harness.end_all_attempts(later, Outcome.ERROR)
    assert len(harness.requests[later].server_ids) > 1  # it follows the new settings


def test_attempts_at_a_replaced_server_process_follow_the_new_class_indexes() -> None:
    """The process is no longer listed when the class indexes change, but its attempt is still open."""
    harness = make_harness((SAFE, UNSAFE), servers=1)
    request_id = harness.submit(1)
    # A new process at the same server.
    harness.update_server_list(ListKind.DELTA, server_entry(0, started_at=harness.now))
    # The class of the request gets an index beyond the old ones.
    change_settings(harness, classes=(STREAM, KEYED_CELL, SAFE))
    harness.end_attempt(request_id, 0, Outcome.OK)
    assert harness.requests[request_id].final_answer == "OK"
    harness.finish_all_requests()


def test_a_class_that_returns_while_its_requests_are_open_has_one_index() -> None:
    harness = make_harness((SAFE, UNSAFE))
    request_id = harness.submit(1)
    change_settings(harness, classes=(SAFE,))
    change_settings(harness, classes=(STREAM, UNSAFE))
    assert harness.balancer.class_names == ["stream", "post"]
    harness.end_attempt(request_id, 0, Outcome.OK)
    harness.finish_all_requests()


def test_attempt_limit_and_copies_change_at_once() -> None:
    harness = make_harness((SAFE,), max_attempts=5)
    request_id = harness.submit(0)
    change_settings(harness, max_attempts=1, copies_allowed=False)
    sent = len(harness.requests[request_id].server_ids)
    harness.end_all_attempts(request_id, Outcome.ERROR)
    assert (
        len(harness.requests[request_id].server_ids) == sent
        and harness.requests[request_id].final_answer == "Refuse"
    )


def test_a_waiting_request_gets_no_attempt_beyond_a_lowered_limit() -> None:
    """A lowered attempt limit holds for requests that wait for a server, as it does for those in flight.

    Both servers have just failed, so both requests wait, and a timer starts their next search. By then the
    settings allow no more attempts than they have had.
    """
    harness = make_harness((SAFE,), servers=2, max_attempts=3)
    waiting = [harness.submit(0), harness.submit(0)]
    for request_id in waiting:
        harness.end_attempt(request_id, 0, Outcome.ERROR)
        record = harness.requests[request_id]
        assert len(record.server_ids) == 1 and not record.final_answer, "it should wait for its next attempt"
    change_settings(harness, max_attempts=1)
    # The harness checks the limit whenever an attempt is sent.
    harness.advance(20 * MS)
    harness.finish_all_requests()
    for request_id in waiting:
        assert len(harness.requests[request_id].server_ids) == 1
        assert harness.requests[request_id].final_answer == "Refuse"


def test_worths_change_at_once() -> None:
    low, high = replace(SAFE, name="low", worth=1.0), replace(SAFE, name="high", worth=10.0)
    harness = make_harness((low, high))
    change_settings(harness, classes=(replace(low, worth=10.0), replace(high, worth=1.0)))
    assert harness.balancer.relative_worth[0] > harness.balancer.relative_worth[1]


def test_used_quota_is_kept_by_tenant_name_and_limited_by_the_new_quota() -> None:
    harness = make_harness(
        (SAFE,), tenant_quotas_per_s=(8.0, 40.0), tenant_indexes=indexes("acme", "globex"), balancer_count=1
    )

    def requests_within_quota(tenant: int) -> int:
        """Count the consecutive requests that are within the tenant's quota."""
        count = 0
        while harness.balancer.tenant_quotas.consume(harness.now, Request("r", 0, 0, tenant_index=tenant)):
            count += 1
        return count

    assert requests_within_quota(0) == 24  # the quota of three seconds
    change_settings(
        harness, tenant_quotas_per_s=(40.0, 8.0, 4.0), tenant_indexes=indexes("globex", "acme", "new")
    )
    assert (requests_within_quota(0), requests_within_quota(1), requests_within_quota(2)) == (120, 0, 12)
    harness.advance(S)
    change_settings(harness, tenant_quotas_per_s=(80.0,), tenant_indexes=indexes("globex"), balancer_count=40)
    # A fortieth of the quota of three seconds, however much remained before.
    assert requests_within_quota(0) == 6


def test_a_retry_finds_its_cell_although_no_earlier_class_needed_cells() -> None:
    """The servers are grouped by cell only while a class, or an open request of a removed one, needs it."""
    harness = make_harness((SAFE,), servers=LARGE_FLEET_SERVERS)
    change_settings(harness, classes=(SAFE, KEYED_CELL))
    request_id = harness.submit(1)
    harness.end_attempt(request_id, 0, Outcome.ERROR)
    # The harness checks that both are in the same cell.
    assert len(harness.requests[request_id].server_ids) == 2
    change_settings(harness, classes=(SAFE,))
    cell = harness.listed_entries[harness.requests[request_id].server_ids[0]].cell
    others = [n for n in range(LARGE_FLEET_SERVERS) if harness.listed_entries[n].cell != cell]
    harness.update_server_list(ListKind.DELTA, *(server_entry(n, ServerState.DRAINING) for n in others))
    harness.end_attempt(request_id, 1, Outcome.ERROR)
    assert len(harness.requests[request_id].server_ids) == 3  # the cells are kept for this open request
    harness.finish_all_requests()


def test_the_balancer_count_follows_the_new_settings() -> None:
    harness = make_harness((SAFE,))
    change_settings(harness, balancer_count=400)
    assert harness.balancer._balancers_per_server() == 400


def test_the_measured_request_rate_is_kept_when_the_overload_window_changes() -> None:
    harness = make_harness((SAFE,))
    for _ in range(200):
        harness.end_all_attempts(harness.submit(0))
        harness.advance(20 * MS)
    before = harness.balancer.requests_per_window / harness.settings.overload_window
    change_settings(harness, overload_window=harness.settings.overload_window * 4)
    assert abs(harness.balancer.requests_per_window / harness.settings.overload_window - before) < 1e-12


def test_applying_equal_settings_changes_no_decision() -> None:
    """Except through the relative worth of the classes, which each change of the settings recomputes."""
    unchanged, reapplied = make_harness(CLASSES), make_harness(CLASSES)
    for n in range(300):
        for harness in (unchanged, reapplied):
            if n % 7 == 0:
                change_settings(
                    harness
                ) if harness is reapplied else harness.balancer._update_relative_worth()
            request_id = harness.submit(n % len(CLASSES))
            harness.advance(9 * MS)
            harness.end_all_attempts(request_id, Outcome.ERROR if n % 5 == 0 else Outcome.OK)
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


class ChangingRules(RandomHistories):
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
            self.harness,
            classes=tuple(classes),
            max_attempts=limit,
            copies_allowed=copies,
            cancel_allowed=cancels,
            balancer_count=balancers,
            overload_window=window,
        )

    @rule(
        class_index=st.integers(0, 3),
        timeout=st.sampled_from([None, 30 * MS]),
        cost_hint=st.sampled_from([0, 20 * MS]),
    )
    def submit(self, class_index: int, timeout: int | None, cost_hint: int) -> None:
        self.harness.submit(class_index % len(self.harness.settings.classes), timeout, cost_hint)


TestChangingRules = ChangingRules.TestCase
TestChangingRules.settings = settings(
    derandomize=True,
    database=None,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
