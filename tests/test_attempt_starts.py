"""Attempts that are started later than they are decided on, since their connections come up late."""

from __future__ import annotations

from dykeshift.interface import ListKind, Log, Outcome
from tests.harness import CLASSES, KEYED_ALL, MS, BalancerHarness, S, make_settings, server_entry


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
    expected = f"in ms set/1:{waited // MS} set/2:7 latest repeats in ms set:7"
    assert any(text.endswith(expected) for text in texts)
