"""Decisions of the balancer: dispatch, outcomes, the server list, slow start, Retry-After and the log."""

from __future__ import annotations

from dataclasses import replace

import pytest

from dykeshift.interface import (
    UNEXECUTED_OUTCOMES,
    Cancel,
    DedupScope,
    Fail,
    Idempotency,
    ListKind,
    LoadReport,
    Log,
    Outcome,
    Refuse,
    ServerState,
)
from tests.harness import CLASSES, MS, BalancerHarness, S, make_settings, server_entry
from tests.test_regressions import harness_with_servers, warm_up

FAILED_OUTCOMES = [o for o in Outcome if o is not Outcome.OK]


def test_safe_requests_go_as_copies_to_idle_servers_and_the_first_answer_cancels_the_others() -> None:
    harness = harness_with_servers()
    warm_up(harness)
    request_id = harness.submit(0)
    record = harness.requests[request_id]
    assert len(record.server_ids) == 2 and len(set(record.server_ids)) == 2
    harness.advance(20 * MS)
    harness.actions.clear()
    harness.end_attempt(request_id, 1, Outcome.OK)
    assert [(a.request_id, a.attempt_index) for a in harness.actions if isinstance(a, Cancel)] == [
        (request_id, 0)
    ]
    harness.finish_all_requests()


def test_no_copies_are_sent_if_other_balancers_probably_use_the_idle_servers() -> None:
    """Guards against copies to servers that look idle only because this balancer has no attempts there.

    In a fleet test, each of seven balancers that shared a server considered it idle while it held two
    attempts of the others.
    """
    harness = harness_with_servers(60, balancer_count=40)
    warm_up(harness, 200)
    for mean_in_flight, attempts in ((0.0, 2), (0.4, 1)):
        for server in harness.balancer.pool:
            server.mean_in_flight = mean_in_flight
        request_id = harness.submit(0)
        assert len(harness.requests[request_id].server_ids) == attempts
        harness.end_all_attempts(request_id)
    harness.finish_all_requests()


@pytest.mark.parametrize("class_index", [1, 2, 3, 4])
def test_requests_that_are_not_safe_to_repeat_are_sent_once(class_index: int) -> None:
    harness = harness_with_servers()
    warm_up(harness)
    assert len(harness.requests[harness.submit(class_index)].server_ids) == 1
    harness.finish_all_requests()


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.FULL, Outcome.RESET, Outcome.CONNECT_FAILED])
def test_a_failed_copy_does_not_end_the_request_while_another_is_in_flight(outcome: Outcome) -> None:
    harness = harness_with_servers()
    warm_up(harness)
    request_id = harness.submit(0)
    harness.end_attempt(request_id, 0, outcome)
    assert not harness.requests[request_id].final_answer
    harness.end_attempt(request_id, 1, Outcome.OK)
    assert harness.requests[request_id].final_answer == "OK"
    harness.finish_all_requests()


@pytest.mark.parametrize("class_index", range(len(CLASSES)))
@pytest.mark.parametrize("outcome", FAILED_OUTCOMES)
def test_requests_of_each_class_are_retried_and_answered_correctly_after_each_failure(
    class_index: int, outcome: Outcome
) -> None:
    """All attempts end with the same outcome; the harness checks that each retry is allowed."""
    harness = harness_with_servers()
    request_id = harness.submit(class_index)
    record, request_class = harness.requests[request_id], CLASSES[class_index]
    for _ in range(4):
        harness.end_all_attempts(request_id, outcome)
    if request_class.idempotency is Idempotency.UNSAFE and outcome not in UNEXECUTED_OUTCOMES:
        assert len(record.server_ids) == 1 and record.final_answer == "Fail"
    if outcome in UNEXECUTED_OUTCOMES:
        harness.advance(request_class.client_timeout)
        assert record.final_answer == "Refuse"
    harness.finish_all_requests()
    if (
        request_class.idempotency is Idempotency.KEYED
        and request_class.dedup_scope is not DedupScope.ALL
        and outcome not in UNEXECUTED_OUTCOMES
    ):
        assert record.final_answer == "Fail"
    assert {
        type(a)
        for a in harness.actions
        if getattr(a, "request_id", "") == request_id and isinstance(a, Refuse | Fail)
    } == {Refuse if record.final_answer == "Refuse" else Fail}


def test_requests_are_refused_in_time_if_no_server_is_known() -> None:
    harness = BalancerHarness()
    request_ids = [harness.submit(class_index) for class_index in range(len(CLASSES))]
    harness.advance(400 * MS)
    assert all(harness.requests[request_id].final_answer == "Refuse" for request_id in request_ids)
    harness.finish_all_requests()


def test_a_waiting_request_is_sent_when_a_server_appears() -> None:
    harness = BalancerHarness()
    request_id = harness.submit(2)
    harness.advance(40 * MS)
    harness.update_server_list(ListKind.DELTA, server_entry(3))
    harness.advance(60 * MS)
    assert harness.requests[request_id].server_ids == [3]
    harness.end_attempt(request_id, 0, Outcome.OK)
    harness.finish_all_requests()


@pytest.mark.parametrize("kind", [ListKind.DELTA, ListKind.FULL])
@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_draining_and_gone_servers_get_no_new_attempts(kind: ListKind, state: ServerState) -> None:
    harness = harness_with_servers(3)
    harness.update_server_list(kind, server_entry(0, state), *(server_entry(n) for n in (1, 2)))
    for _ in range(50):
        harness.submit(0)
        harness.advance(30 * MS)
    assert all(0 not in record.server_ids for record in harness.requests.values())
    harness.finish_all_requests()


def test_what_was_learned_about_a_server_is_dropped_when_it_restarts() -> None:
    harness = harness_with_servers(2)
    warm_up(harness)
    assert any(s.has_answered for s in harness.balancer.servers.values())
    harness.update_server_list(ListKind.DELTA, server_entry(0, started_at=harness.now - 10 * MS))
    assert not harness.balancer.servers[0].has_answered
    harness.update_server_list(ListKind.DELTA, server_entry(0, started_at=harness.now - 10 * MS))
    harness.finish_all_requests()


def attempts_at_cold_server(harness: BalancerHarness, cold_server_id: int, rounds: int) -> tuple[int, float]:
    """Send requests to servers that report a queue; the cold one answers none of them.

    Returns the number of attempts at the cold server and the mean number at the others.
    """
    counts: dict[int, int] = {}
    for _ in range(rounds):
        request_id = harness.submit(2)
        harness.advance(4 * MS)
        is_unanswered = harness.requests[request_id].server_ids[0] == cold_server_id
        harness.end_attempt(
            request_id, 0, Outcome.CANCELLED if is_unanswered else Outcome.OK, LoadReport(queued=3.0)
        )
    for record in harness.requests.values():
        for server_id in record.server_ids:
            counts[server_id] = counts.get(server_id, 0) + 1
    others = [count for server_id, count in counts.items() if server_id != cold_server_id]
    return counts.get(cold_server_id, 0), sum(others) / max(1, len(others))


def test_a_cold_server_gets_at_most_the_load_that_it_can_carry() -> None:
    """Guards against overloading cold servers by small contributions of many balancers.

    In incident i076e68, one attempt per overload window from each of 235 balancers was enough.
    """
    harness = harness_with_servers(8)
    warm_up(harness)
    harness.requests.clear()
    harness.update_server_list(ListKind.DELTA, server_entry(7, started_at=harness.now))
    sent, mean = attempts_at_cold_server(harness, 7, 500)
    settings = harness.settings
    assert mean > 50
    assert 0 < sent <= settings.overload_multiple * settings.cold_capacity_share * mean
    harness.finish_all_requests()


def test_a_small_cold_server_gets_less() -> None:
    """Guards against sending the same load to cold servers of all sizes.

    In incident i076e68, small kinds of servers got 1.6 times the load allowed for them, while large ones got
    no more than theirs.
    """
    sent = []
    for weight in (1.0, 0.2):
        harness = harness_with_servers(8)
        warm_up(harness)
        harness.requests.clear()
        harness.update_server_list(
            ListKind.DELTA, replace(server_entry(7, started_at=harness.now), weight=weight)
        )
        sent.append(attempts_at_cold_server(harness, 7, 500)[0])
        harness.finish_all_requests()
    assert sent[1] < sent[0] / 2


def test_a_cold_server_that_answers_gets_more_than_one_that_does_not() -> None:
    """Guards against limiting cold servers to the minimum capacity of the settings when they can do more.

    In a replayed deploy, servers with far more capacity than that minimum were limited to it throughout.
    """
    sent = []
    for cold_outcome in (Outcome.OK, Outcome.CANCELLED):
        harness = harness_with_servers(8)
        warm_up(harness)
        harness.update_server_list(ListKind.DELTA, server_entry(7, started_at=harness.now))
        for _ in range(1500):
            request_id = harness.submit(2)
            harness.advance(4 * MS)
            is_cold = harness.requests[request_id].server_ids[0] == 7
            harness.end_attempt(
                request_id, 0, cold_outcome if is_cold else Outcome.OK, LoadReport(queued=3.0)
            )
        sent.append(sum(record.server_ids[:1] == [7] for record in harness.requests.values()))
        harness.finish_all_requests()
    assert sent[0] > 1.3 * sent[1]


def test_restarted_balancers_do_not_overload_a_fleet_of_cold_servers() -> None:
    """300 balancers that have measured nothing yet find only cold servers; their attempts are summed."""
    total, window = 0, 0
    for seed in range(300):
        harness = BalancerHarness(make_settings(balancer_count=300), seed)
        harness.update_server_list(
            ListKind.CACHED, *(server_entry(n, started_at=harness.now) for n in range(4))
        )
        window = harness.settings.overload_window
        for _ in range(6):
            harness.submit(0)
            harness.advance(window // 6)
        total += sum(len(record.server_ids) for record in harness.requests.values())
    assert 0 < total / 4 <= 20, f"{total / 4} attempts per overload window at each cold server"


def test_a_failed_watch_is_retried_in_time_with_growing_pauses() -> None:
    harness = BalancerHarness(make_settings(watch_discovery=True))
    assert harness.watch_count == 1
    pauses = []
    for n in range(1, 6):
        harness.update_server_list(ListKind.FAILED)
        failed_at = harness.now
        while harness.watch_count == n:
            harness.advance(10 * MS)
        pauses.append(harness.now - failed_at)
    assert pauses[0] < pauses[2] and max(pauses) <= harness.settings.max_watch_interval
    harness.finish_all_requests()


def test_servers_that_have_left_the_list_are_forgotten() -> None:
    harness = harness_with_servers(6)
    for n in range(300):
        harness.update_server_list(ListKind.DELTA, server_entry(10 + n, started_at=harness.now - 30 * S))
        harness.update_server_list(
            ListKind.DELTA, server_entry(10 + n, ServerState.GONE, started_at=harness.now - 30 * S)
        )
        harness.advance(20 * MS)
    harness.advance(30 * S)
    assert len(harness.balancer.servers) == 6
    harness.finish_all_requests()


@pytest.mark.parametrize(
    ("max_retry_after", "admission_share", "min_retry_after"),
    [
        (0, 1.0, 0),
        (750 * MS, 1.0, 1),
        (30 * MS, 0.1, 30 * MS),
    ],
)
def test_a_refusal_has_a_retry_after_within_the_limit(
    max_retry_after: int, admission_share: float, min_retry_after: int
) -> None:
    harness = BalancerHarness(make_settings(max_retry_after=max_retry_after))
    harness.balancer.admission_share = admission_share
    harness.submit(0)
    harness.advance(S)
    (refusal,) = (a for a in harness.actions if isinstance(a, Refuse))
    assert min_retry_after <= refusal.retry_after <= max_retry_after
    harness.finish_all_requests()


def test_no_retry_is_advised_once_no_answer_can_meet_the_latency_target() -> None:
    """Guards against useless retries: the Retry-After has to last until the client stops waiting.

    In the recording of incident inc7570, such clients were advised to retry within milliseconds.
    """
    harness = harness_with_servers(1, max_retry_after=2 * S)
    request_id = harness.submit(0)
    harness.advance(CLASSES[0].latency_target)
    harness.end_all_attempts(request_id, Outcome.TIMEOUT)
    (refusal,) = (a for a in harness.actions if isinstance(a, Refuse))
    assert refusal.retry_after == CLASSES[0].client_timeout - CLASSES[0].latency_target
    harness.finish_all_requests()


def test_the_log_has_the_reasons_for_giving_up_and_the_outcomes_at_servers() -> None:
    harness = BalancerHarness(make_settings())
    harness.submit()  # given up, as no server is known
    harness.advance(200 * MS)
    harness.update_server_list(ListKind.FULL, server_entry(1))
    harness.end_all_attempts(harness.submit(), Outcome.ERROR)  # given up, as there is no other server
    harness.advance(S)
    lines = [a.text for a in harness.actions if isinstance(a, Log)]
    assert any("gave up read/no-room:2" in line for line in lines)
    assert any(line.startswith("server 1 ") and line.endswith("outcomes read/ERROR:1") for line in lines)
