"""Hollow balancers and the client model on a simulated clock, and the measures of a worker."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import pytest

from dykeshift.interface import ListKind, Outcome, ServerState
from emulator.fleet.client_model import NS_PER_MS, RequestOutcome, TryOutcome
from emulator.fleet.contract import loopback_address
from emulator.fleet.derived_scenario import write_quick_scenario
from emulator.fleet.hollow import HollowAttempt, HollowBalancer
from emulator.fleet.hollow_discovery import server_number_of
from emulator.fleet.hollow_measuring import HollowMeter
from emulator.fleet.latency import LatencyRecorder, merge_summaries
from emulator.fleet.scenario import Scenario, load_scenario
from emulator.fleet.tenant_quota import TokenBucket
from emulator.fleet.timeline import build_timeline
from tests.emulator.fleet_fakes import (
    MS,
    FakeEffects,
    S,
    ScriptedModule,
    listed_server,
    make_balancer,
    make_model,
    small_scenario,
)

SCENARIOS = Path(__file__).resolve().parents[2] / "emulator" / "scenarios"


@pytest.fixture
def scenario(tmp_path: Path) -> Scenario:
    return small_scenario(tmp_path)


def fail_some_attempts(attempt: HollowAttempt) -> tuple[int, Outcome] | None:
    """Time and outcome by the attempt's number: no response, each kind of failure, or a success."""
    failures = {0: None, 1: Outcome.CONNECT_FAILED, 2: Outcome.FULL, 3: Outcome.RESET, 4: Outcome.ERROR}
    kind = attempt.number % 12
    if kind not in failures:
        return (kind * MS, Outcome.OK)
    outcome = failures[kind]
    return None if outcome is None else (2 * MS, outcome)


def test_each_try_gets_exactly_one_final_answer_before_its_timeout(scenario: Scenario) -> None:
    effects, model = FakeEffects(serve=fail_some_attempts), make_model(scenario)
    balancer = make_balancer(scenario, effects)
    tries = []
    for _ in range(600):
        tries.append(model.draw_first_try(0, effects.now))
        balancer.submit(effects.now, tries[-1])
        effects.run_for(4 * MS)
    effects.run_for(2 * S)
    answered = Counter(id(answer.client_try) for answer in effects.answers)
    assert answered == Counter({id(client_try): 1 for client_try in tries})
    assert all(
        answer.answered_at <= answer.client_try.sent_at + answer.client_try.timeout_ns
        for answer in effects.answers
    )
    assert {answer.outcome for answer in effects.answers} >= {TryOutcome.SERVED}
    assert balancer.open_try_count == 0, "tries without attempts in flight are removed"
    assert balancer.take_counts().attempts == len(effects.sent)


def test_disconnected_client_gets_no_answer(scenario: Scenario) -> None:
    effects = FakeEffects(serve=lambda attempt: None)
    balancer = make_balancer(scenario, effects)
    name = balancer.submit(effects.now, make_model(scenario).draw_first_try(0, effects.now))
    effects.run_for(5 * MS)
    assert balancer.disconnect_client(effects.now, name)
    assert not balancer.disconnect_client(effects.now, name)
    effects.run_for(S)
    assert not effects.answers
    assert set(map(id, effects.cancelled)) == set(map(id, effects.sent)), "attempts in flight are cancelled"


def test_no_attempt_is_sent_to_draining_or_gone_servers(scenario: Scenario) -> None:
    effects, model = FakeEffects(), make_model(scenario)
    balancer = make_balancer(scenario, effects)
    changed = [listed_server(n, ServerState.DRAINING if n % 2 else ServerState.GONE) for n in range(4)]
    balancer.update_server_list(effects.now, ListKind.DELTA, changed)
    for _ in range(200):
        balancer.submit(effects.now, model.draw_first_try(0, effects.now))
        effects.run_for(4 * MS)
    assert effects.sent
    assert not {attempt.server_number for attempt in effects.sent} & {0, 1, 2, 3}
    assert all(attempt.server_id == 1000 + attempt.server_number for attempt in effects.sent)


def install_scripted_module(
    monkeypatch: pytest.MonkeyPatch, balancer: HollowBalancer, *targets: int
) -> ScriptedModule:
    module = ScriptedModule(*targets)
    monkeypatch.setattr(balancer, "_decision_module", module)
    return module


def test_try_fails_at_its_deadline_if_the_decision_module_takes_no_action(
    scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    effects = FakeEffects()
    balancer = make_balancer(scenario, effects)
    install_scripted_module(monkeypatch, balancer)
    client_try = make_model(scenario).draw_first_try(0, effects.now)
    balancer.submit(effects.now, client_try)
    effects.run_for(S)
    assert [(answer.client_try, answer.outcome) for answer in effects.answers] == [
        (client_try, TryOutcome.FAILED)
    ]
    assert effects.answers[0].answered_at <= client_try.sent_at + client_try.timeout_ns


def test_client_gets_only_the_first_successful_response(
    scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two attempts succeed: the second one must neither answer again nor leave its attempt open."""
    effects = FakeEffects()
    balancer = make_balancer(scenario, effects)
    module = install_scripted_module(monkeypatch, balancer, 1001, 1002)
    balancer.submit(effects.now, make_model(scenario).draw_first_try(0, effects.now))
    effects.run_for(S)
    assert [answer.outcome for answer in effects.answers] == [TryOutcome.SERVED]
    assert [(end.outcome, end.request_closed) for end in module.attempt_ends] == [(Outcome.OK, True)] * 2


def test_attempt_at_unlisted_or_draining_server_ends_as_not_sent(
    scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    effects = FakeEffects()
    balancer = make_balancer(scenario, effects)
    balancer.update_server_list(effects.now, ListKind.DELTA, [listed_server(3, ServerState.DRAINING)])
    module = install_scripted_module(monkeypatch, balancer, 1003, 4711)
    balancer.submit(effects.now, make_model(scenario).draw_first_try(0, effects.now))
    effects.run_for(5 * MS)
    assert not effects.sent
    assert [(end.outcome, end.request_closed) for end in module.attempt_ends] == [
        (Outcome.NOT_SENT, False)
    ] * 2


def test_stopped_balancer_returns_its_open_tries_and_sends_nothing(scenario: Scenario) -> None:
    effects, model = FakeEffects(serve=lambda attempt: (50 * MS, Outcome.OK)), make_model(scenario)
    balancer = make_balancer(scenario, effects)
    tries = [model.draw_first_try(0, effects.now) for _ in range(5)]
    for client_try in tries:
        balancer.submit(effects.now, client_try)
    assert balancer.stop(effects.now) == tries
    before = len(effects.sent)
    effects.run_for(5 * S)
    assert not effects.answers and len(effects.sent) == before


def test_clients_retry_within_the_limits_of_the_scenario(scenario: Scenario) -> None:
    model, now = make_model(scenario), 10 * S
    for _ in range(200):
        client_try = model.draw_first_try(0, now)
        request, tries, at = client_try.request, 1, now
        deadline = now + int(scenario.classes[request.class_index].deadline_ms * NS_PER_MS)
        while (retry := model.plan_retry(at, client_try, TryOutcome.REFUSED, 0)) is not None:
            assert retry.sent_at > at and retry.is_retry and retry.request is request
            assert retry.sent_at + retry.timeout_ns <= deadline
            client_try, tries, at = retry, tries + 1, retry.sent_at
        assert tries == 1 + scenario.clients.retries
        assert model.request_outcome(at, client_try, TryOutcome.REFUSED) is RequestOutcome.REFUSED


def test_outcome_of_a_served_request_depends_on_its_latency(scenario: Scenario) -> None:
    client_try = make_model(scenario).draw_first_try(0, 0)
    request_class, model = scenario.classes[client_try.request.class_index], make_model(scenario)
    outcomes = [
        model.request_outcome(int(ms * NS_PER_MS), client_try, TryOutcome.SERVED)
        for ms in (request_class.aim_ms, request_class.deadline_ms, request_class.deadline_ms + 1)
    ]
    assert outcomes == [RequestOutcome.IN_TIME, RequestOutcome.LATE, RequestOutcome.NO_ANSWER]


def test_server_number_of_inverts_loopback_address() -> None:
    assert [server_number_of(loopback_address(64, n, 80).host) for n in (0, 253, 254, 6399)] == [
        0,
        253,
        254,
        6399,
    ]


def test_split_quota_admits_less_than_the_whole_quota() -> None:
    whole_quota, split_quotas = TokenBucket(10.0, 0.0), [TokenBucket(0.1, 0.0) for _ in range(100)]
    # All requests come to one balancer.
    admitted_by_one_part = sum(split_quotas[0].consume(second / 10) for second in range(100))
    admitted_by_whole = sum(whole_quota.consume(second / 10) for second in range(100))
    assert admitted_by_one_part < 3 and admitted_by_whole == 100


def test_latency_percentiles_are_accurate_to_one_percent() -> None:
    recorders = [LatencyRecorder(), LatencyRecorder()]
    for value in range(1, 10_001):
        recorders[value % 2].record_us(value)
    summary = merge_summaries(recorder.take_summary() for recorder in recorders)
    assert summary.count == 10_000
    assert summary.p50_us == pytest.approx(5000, rel=0.01)
    assert summary.p99_us == pytest.approx(9900, rel=0.01)
    assert recorders[0].take_summary().count == 0


@pytest.mark.parametrize("path", sorted(SCENARIOS.glob("*.toml")), ids=lambda path: path.stem)
def test_each_shipped_scenario_can_be_reduced_to_a_quick_one(path: Path, tmp_path: Path) -> None:
    quick = write_quick_scenario(load_scenario(path), tmp_path / "quick.toml")
    assert quick.duration_s <= 20 and quick.balancers.total <= 32 and quick.balancers.real <= 4
    assert len(quick.events) == len(load_scenario(path).events)
    assert build_timeline(quick, 1)


def test_arrival_beyond_the_maximal_lag_is_counted_as_missed() -> None:
    meter = HollowMeter(1)
    assert (
        meter.record_arrival(1 * MS) and meter.record_arrival(200 * MS) and not meter.record_arrival(300 * MS)
    )
    counts = meter.take_measure(1.0, 0, 1, 0, (0, 0)).requests
    assert (counts.asked, counts.missed) == (3, 1)
