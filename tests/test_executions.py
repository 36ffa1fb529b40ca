"""Ids that come again: what was executed for them limits what may be sent, also after the request's end."""

from __future__ import annotations

import pytest

from dykeshift.executions import MAX_AGE_NS, MAX_IDS, Execution, ExecutionLog
from dykeshift.interface import ListKind, Outcome
from tests.harness import (
    CLASSES,
    KEYED_ALL,
    KEYED_CELL,
    MS,
    UNSAFE,
    BalancerHarness,
    make_settings,
    server_entry,
)


def harness_with_cells() -> BalancerHarness:
    """Six ready servers in three cells."""
    harness = BalancerHarness(make_settings())
    harness.update_server_list(ListKind.CACHED, *(server_entry(n, cell=n // 2) for n in range(6)))
    return harness


def submit_and_leave(harness: BalancerHarness, class_index: int) -> int:
    """A client sends the request "c", its attempt is started, and the client leaves; returns the server."""
    request_id = harness.submit(class_index, client_id="c")
    assert harness.balancer.try_start_attempt(harness.now, request_id, 0)
    harness.disconnect_client(request_id)
    harness.end_all_attempts(request_id, Outcome.CANCELLED)
    assert not harness.balancer.open_requests
    return harness.requests[request_id].server_ids[0]


def test_unsafe_request_that_may_have_been_executed_fails_when_it_comes_again() -> None:
    # Guards against: an unsafe request runs twice when it comes again after its client has left.
    harness = harness_with_cells()
    submit_and_leave(harness, CLASSES.index(UNSAFE))
    again = harness.submit(CLASSES.index(UNSAFE), client_id="c")
    assert harness.requests[again].final_answer == "Fail" and not harness.requests[again].server_ids


def test_keyed_request_that_comes_again_goes_to_servers_that_drop_it() -> None:
    # Guards against: a keyed request runs in two cells, as it comes again after its client has left.
    for _ in range(20):
        harness = harness_with_cells()
        first_server = submit_and_leave(harness, CLASSES.index(KEYED_CELL))
        again = harness.submit(CLASSES.index(KEYED_CELL), client_id="c")
        assert {n // 2 for n in harness.requests[again].server_ids} == {first_server // 2}


@pytest.mark.parametrize("request_class", [KEYED_ALL, KEYED_CELL])
def test_keyed_request_that_comes_again_after_its_window_is_not_sent(request_class: object) -> None:
    # Guards against: a keyed request runs twice, as it comes again when servers no longer drop it.
    index = next(n for n, known in enumerate(CLASSES) if known is request_class)
    harness = harness_with_cells()
    submit_and_leave(harness, index)
    harness.advance(CLASSES[index].dedup_window)
    again = harness.submit(index, client_id="c")
    assert not harness.requests[again].server_ids
    assert harness.requests[again].final_answer == ("Refuse" if request_class is KEYED_ALL else "Fail")


def test_attempt_that_never_ran_does_not_stop_its_request_from_coming_again() -> None:
    harness = harness_with_cells()
    request_id = harness.submit(CLASSES.index(UNSAFE), client_id="c")
    assert harness.balancer.try_start_attempt(harness.now, request_id, 0)
    harness.disconnect_client(request_id)
    harness.end_all_attempts(request_id, Outcome.FULL)
    again = harness.submit(CLASSES.index(UNSAFE), client_id="c")
    assert len(harness.requests[again].server_ids) == 1


def test_log_of_executions_is_bounded_in_number_and_age() -> None:
    # Guards against: memory that grows with every id that a client makes up.
    log = ExecutionLog()
    for n in range(3 * MAX_IDS):
        log.record(n * MS, f"r{n}", Execution(n * MS, zone=0, cell=0))
    now = 3 * MAX_IDS * MS
    assert len(log) <= MAX_IDS and log.find(now, f"r{3 * MAX_IDS - 1}") is not None
    log.record(now + MAX_AGE_NS, "last", Execution(now + MAX_AGE_NS, zone=0, cell=0))
    assert len(log) == 1 and log.find(now + 2 * MAX_AGE_NS + 1, "last") is None
