"""The ordinary path, each outcome for each idempotency, lists, cold servers and holding."""

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

BAD = [o for o in Outcome if o is not Outcome.OK]


def test_safe_requests_are_copied_to_idle_servers_and_losers_cancelled() -> None:
    harness = harness_with_servers()
    warm_up(harness)
    rid = harness.submit(0)
    seen = harness.requests[rid]
    assert len(seen.server_ids) == 2 and len(set(seen.server_ids)) == 2
    harness.advance(20 * MS)
    harness.actions.clear()
    harness.end_attempt(rid, 1, Outcome.OK)
    assert [(a.request_id, a.attempt_index) for a in harness.actions if isinstance(a, Cancel)] == [(rid, 0)]
    harness.finish_all_requests()


def test_no_copies_where_the_others_are_at_work_though_none_of_ours_is_there() -> None:
    """Fleet days: seven sharers each took a server for idle that held two attempts of the others."""
    harness = harness_with_servers(60, balancer_count=40)
    warm_up(harness, 200)
    for used, copies in ((0.0, 2), (0.4, 1)):
        for server in harness.balancer.pool:
            server.mean_in_flight = used
        rid = harness.submit(0)
        assert len(harness.requests[rid].server_ids) == copies
        harness.end_all_attempts(rid)
    harness.finish_all_requests()


@pytest.mark.parametrize("klass", [1, 2, 3, 4])
def test_other_requests_go_once(klass: int) -> None:
    harness = harness_with_servers()
    warm_up(harness)
    assert len(harness.requests[harness.submit(klass)].server_ids) == 1
    harness.finish_all_requests()


@pytest.mark.parametrize("bad", [Outcome.ERROR, Outcome.FULL, Outcome.RESET, Outcome.CONNECT_FAILED])
def test_a_bad_end_ends_nothing_while_another_copy_runs(bad: Outcome) -> None:
    harness = harness_with_servers()
    warm_up(harness)
    rid = harness.submit(0)
    harness.end_attempt(rid, 0, bad)
    assert not harness.requests[rid].final_answer
    harness.end_attempt(rid, 1, Outcome.OK)
    assert harness.requests[rid].final_answer == "OK"
    harness.finish_all_requests()


@pytest.mark.parametrize("klass", range(len(CLASSES)))
@pytest.mark.parametrize("bad", BAD)
def test_each_outcome_for_each_idempotency(klass: int, bad: Outcome) -> None:
    """All attempts end alike: what follows is a legal retry, then the answer that is true."""
    harness = harness_with_servers()
    rid = harness.submit(klass)
    seen, k = harness.requests[rid], CLASSES[klass]
    for _ in range(4):
        harness.end_all_attempts(rid, bad)
    if k.idempotency is Idempotency.UNSAFE and bad not in UNEXECUTED_OUTCOMES:
        assert len(seen.server_ids) == 1 and seen.final_answer == "Fail"
    if bad in UNEXECUTED_OUTCOMES:
        harness.advance(k.client_timeout)
        assert seen.final_answer == "Refuse"
    harness.finish_all_requests()
    if (
        k.idempotency is Idempotency.KEYED
        and k.dedup_scope is not DedupScope.ALL
        and bad not in UNEXECUTED_OUTCOMES
    ):
        assert seen.final_answer == "Fail"
    assert {
        type(a)
        for a in harness.actions
        if getattr(a, "request_id", "") == rid and isinstance(a, Refuse | Fail)
    } == {Refuse if seen.final_answer == "Refuse" else Fail}


def test_no_server_is_answered_in_time_and_honestly() -> None:
    harness = BalancerHarness()
    ids = [harness.submit(k) for k in range(len(CLASSES))]
    harness.advance(400 * MS)
    assert all(harness.requests[r].final_answer == "Refuse" for r in ids)
    harness.finish_all_requests()


def test_a_held_request_goes_out_when_a_server_appears() -> None:
    harness = BalancerHarness()
    rid = harness.submit(2)
    harness.advance(40 * MS)
    harness.update_server_list(ListKind.DELTA, server_entry(3))
    harness.advance(60 * MS)
    assert harness.requests[rid].server_ids == [3]
    harness.end_attempt(rid, 0, Outcome.OK)
    harness.finish_all_requests()


@pytest.mark.parametrize("kind", [ListKind.DELTA, ListKind.FULL])
@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_draining_and_gone_servers_get_nothing_new(kind: ListKind, state: ServerState) -> None:
    harness = harness_with_servers(3)
    harness.update_server_list(kind, server_entry(0, state), *(server_entry(n) for n in (1, 2)))
    for _ in range(50):
        harness.submit(0)
        harness.advance(30 * MS)
    assert all(0 not in s.server_ids for s in harness.requests.values())
    harness.finish_all_requests()


def test_a_restart_is_a_cold_server_whose_past_is_dropped() -> None:
    harness = harness_with_servers(2)
    warm_up(harness)
    assert any(s.has_answered for s in harness.balancer.servers.values())
    harness.update_server_list(ListKind.DELTA, server_entry(0, started_at=harness.now - 10 * MS))
    assert not harness.balancer.servers[0].has_answered
    harness.update_server_list(ListKind.DELTA, server_entry(0, started_at=harness.now - 10 * MS))
    harness.finish_all_requests()


def cold_sends(harness: BalancerHarness, cold: int, rounds: int) -> tuple[int, float]:
    """Busy servers all round, a cold one that answers nothing: what it was sent, and the others' mean."""
    counts: dict[int, int] = {}
    for _ in range(rounds):
        rid = harness.submit(2)
        harness.advance(4 * MS)
        silent = harness.requests[rid].server_ids[0] == cold
        harness.end_attempt(rid, 0, Outcome.CANCELLED if silent else Outcome.OK, LoadReport(queued=3.0))
    for seen in harness.requests.values():
        for server in seen.server_ids:
            counts[server] = counts.get(server, 0) + 1
    others = [n for s, n in counts.items() if s != cold]
    return counts.get(cold, 0), sum(others) / max(1, len(others))


def test_a_cold_server_gets_the_share_it_bears_by_chance() -> None:
    """Incident i076e68: one attempt a window from each of 235 balancers pushed cold servers over."""
    harness = harness_with_servers(8)
    warm_up(harness)
    harness.requests.clear()
    harness.update_server_list(ListKind.DELTA, server_entry(7, started_at=harness.now))
    sent, mean = cold_sends(harness, 7, 500)
    s = harness.settings
    assert mean > 50
    assert 0 < sent <= s.overload_multiple * s.cold_capacity_share * mean
    harness.finish_all_requests()


def test_a_small_cold_server_gets_less() -> None:
    """Incident i076e68: the small kinds bore 1.6 times their limit while the large ones kept theirs."""
    sent = []
    for weight in (1.0, 0.2):
        harness = harness_with_servers(8)
        warm_up(harness)
        harness.requests.clear()
        harness.update_server_list(
            ListKind.DELTA, replace(server_entry(7, started_at=harness.now), weight=weight)
        )
        sent.append(cold_sends(harness, 7, 500)[0])
        harness.finish_all_requests()
    assert sent[1] < sent[0] / 2


def test_a_cold_server_that_answers_gets_more_than_one_that_does_not() -> None:
    """khovd-west big-2: servers warm far above the least were held to it through a whole deploy."""
    sent = []
    for cold_end in (Outcome.OK, Outcome.CANCELLED):
        harness = harness_with_servers(8)
        warm_up(harness)
        harness.update_server_list(ListKind.DELTA, server_entry(7, started_at=harness.now))
        for _ in range(1500):
            rid = harness.submit(2)
            harness.advance(4 * MS)
            cold = harness.requests[rid].server_ids[0] == 7
            harness.end_attempt(rid, 0, cold_end if cold else Outcome.OK, LoadReport(queued=3.0))
        sent.append(sum(s.server_ids[:1] == [7] for s in harness.requests.values()))
        harness.finish_all_requests()
    assert sent[0] > 1.3 * sent[1]


def test_restarted_balancers_that_know_nothing_do_not_push_a_cold_fleet_over() -> None:
    """Each of 300 has measured nothing and finds only cold servers: together they send a few a window."""
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
        total += sum(len(s.server_ids) for s in harness.requests.values())
    assert 0 < total / 4 <= 20, f"{total / 4} attempts a window to each cold server"


def test_a_failed_watch_is_repeated_in_time_with_growing_spread_pauses() -> None:
    harness = BalancerHarness(make_settings(watch_discovery=True))
    assert harness.watch_count == 1
    pauses = []
    for n in range(1, 6):
        harness.update_server_list(ListKind.FAILED)
        since = harness.now
        while harness.watch_count == n:
            harness.advance(10 * MS)
        pauses.append(harness.now - since)
    assert pauses[0] < pauses[2] and max(pauses) <= harness.settings.max_watch_interval
    harness.finish_all_requests()


def test_servers_gone_for_good_are_forgotten() -> None:
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
    ("limit", "admit", "least"),
    [
        (0, 1.0, 0),
        (750 * MS, 1.0, 1),
        (30 * MS, 0.1, 30 * MS),
    ],
)
def test_a_refusal_says_when_to_come_back_within_the_limit(limit: int, admit: float, least: int) -> None:
    harness = BalancerHarness(make_settings(max_retry_after=limit))
    harness.balancer.admission_share = admit
    harness.submit(0)
    harness.advance(S)
    (refusal,) = (a for a in harness.actions if isinstance(a, Refuse))
    assert least <= refusal.retry_after <= limit
    harness.finish_all_requests()


def test_a_client_whose_answer_can_no_longer_be_in_time_is_told_to_stay_away() -> None:
    """Recording inc7570: such clients were asked back within milliseconds, for nothing."""
    harness = harness_with_servers(1, max_retry_after=2 * S)
    rid = harness.submit(0)
    harness.advance(CLASSES[0].latency_target)
    harness.end_all_attempts(rid, Outcome.TIMEOUT)
    (refusal,) = (a for a in harness.actions if isinstance(a, Refuse))
    assert refusal.retry_after == CLASSES[0].client_timeout - CLASSES[0].latency_target
    harness.finish_all_requests()


def test_the_log_tells_why_requests_are_given_up_and_how_servers_answer() -> None:
    w = BalancerHarness(make_settings())
    w.submit()  # no server is known
    w.advance(200 * MS)
    w.update_server_list(ListKind.FULL, server_entry(1))
    w.end_all_attempts(w.submit(), Outcome.ERROR)  # and no other is there
    w.advance(S)
    lines = [a.text for a in w.actions if isinstance(a, Log)]
    assert any("gave up read/no-room:2" in line for line in lines)
    assert any(line.startswith("server 1 ") and line.endswith("ends read/ERROR:1") for line in lines)
