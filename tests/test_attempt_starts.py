"""Attempts that are started later than they are decided on, since their connections come up late."""

from __future__ import annotations

from dataclasses import replace

import pytest

from dykeshift.interface import ListKind, Log, Outcome
from tests.harness import CLASSES, KEYED_ALL, MS, BalancerHarness, S, make_settings, server_entry

WINDOW = KEYED_ALL.dedup_window


def harness_with_warm_servers(**changes: object) -> BalancerHarness:
    """Six ready servers, each of which has answered, so that a delayed copy finds an idle one."""
    harness = BalancerHarness(make_settings(**changes))
    harness.update_server_list(ListKind.CACHED, *(server_entry(n) for n in range(6)))
    while not all(server.has_answered for server in harness.balancer.servers.values()):
        request_id = harness.submit()
        harness.advance(10 * MS)
        harness.end_all_attempts(request_id)
    return harness


def submit_with_delayed_copy(harness: BalancerHarness) -> str:
    """Submit a keyed request whose first attempt waits for its connection until a copy is decided on."""
    request_id = harness.submit(CLASSES.index(KEYED_ALL))
    for _ in range(KEYED_ALL.dedup_window // (10 * MS)):
        if len(harness.requests[request_id].server_ids) > 1:
            break
        harness.advance(10 * MS)
    assert len(harness.requests[request_id].server_ids) == 2
    return request_id


def start(harness: BalancerHarness, request_id: str, attempt_index: int) -> bool:
    """Have the connection of an attempt come up; returns whether the attempt is written."""
    return harness.balancer.try_start_attempt(harness.now, request_id, attempt_index)


def test_the_log_has_the_longest_waits_for_connections_and_the_latest_repeats() -> None:
    harness = harness_with_warm_servers()
    request_id = submit_with_delayed_copy(harness)
    waited = harness.now - harness.requests[request_id].sent_at[0]
    assert start(harness, request_id, 0)
    harness.advance(7 * MS)
    assert start(harness, request_id, 1)
    harness.end_all_attempts(request_id, Outcome.OK)
    harness.advance(S)
    texts = [action.text for action in harness.actions if isinstance(action, Log)]
    expected = f"in ms set/1:{waited // MS} set/2:7 latest repeats in ms set:7 starts refused -"
    assert any(text.endswith(expected) for text in texts)


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.ERROR, None])
def test_a_first_attempt_is_not_started_after_the_window_of_a_copy_that_may_have_run(
    outcome: Outcome | None,
) -> None:
    # Guards against a second execution of a keyed request whose first attempt has a late connection.
    harness = harness_with_warm_servers()
    request_id = submit_with_delayed_copy(harness)
    assert start(harness, request_id, 1)
    if outcome is not None:  # otherwise the copy is still out
        harness.end_attempt(request_id, 1, outcome)
    harness.advance(WINDOW)
    assert not start(harness, request_id, 0)
    harness.end_attempt(request_id, 0, Outcome.NOT_SENT)
    harness.finish_all_requests()


def test_a_first_attempt_is_started_within_the_window_of_a_copy_that_may_have_run() -> None:
    harness = harness_with_warm_servers()
    request_id = submit_with_delayed_copy(harness)
    assert start(harness, request_id, 1)
    harness.advance(WINDOW - 1)
    assert start(harness, request_id, 0)


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_a_first_attempt_is_started_however_late_if_nothing_can_have_run(outcome: Outcome) -> None:
    harness = harness_with_warm_servers()
    request_id = submit_with_delayed_copy(harness)
    assert outcome is not Outcome.FULL or start(harness, request_id, 1)
    harness.end_attempt(request_id, 1, outcome)
    harness.advance(WINDOW)
    assert start(harness, request_id, 0)


def test_the_window_of_a_first_attempt_with_a_late_connection_begins_at_its_start() -> None:
    harness = harness_with_warm_servers()
    request_id = submit_with_delayed_copy(harness)
    harness.advance(WINDOW)
    assert start(harness, request_id, 0)
    harness.advance(WINDOW - 1)
    assert start(harness, request_id, 1)


@pytest.mark.parametrize("change", [{"copies_allowed": False}, {"max_attempts": 1}])
def test_no_copy_is_started_once_new_settings_forbid_it(change: dict[str, object]) -> None:
    # Guards against a second attempt beside the first one that was decided on under the old settings.
    harness = harness_with_warm_servers()
    request_id = submit_with_delayed_copy(harness)
    harness.settings = replace(harness.settings, **change)  # type: ignore[arg-type]
    harness.execute(harness.balancer.on_settings(harness.now, harness.settings))
    assert start(harness, request_id, 1)
    assert not start(harness, request_id, 0)


def test_a_waiting_keyed_request_gets_no_attempt_after_its_window() -> None:
    # Guards against a repeat that is decided on after a wait for a server that outlasts the window.
    short = replace(KEYED_ALL, dedup_window=50 * MS)
    harness = BalancerHarness(make_settings(classes=(short,)))
    harness.update_server_list(ListKind.CACHED, server_entry(0))
    request_id = harness.submit()
    harness.end_attempt(request_id, 0, Outcome.ERROR)
    harness.advance(short.dedup_window)
    assert not harness.requests[request_id].final_answer, "it should wait for a server"
    harness.update_server_list(ListKind.DELTA, server_entry(1))
    harness.finish_all_requests()  # the harness checks the window of each attempt
    assert harness.requests[request_id].server_ids == [0]
    assert harness.requests[request_id].final_answer == "Refuse"
