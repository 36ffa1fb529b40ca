"""A hollow balancer and its clients' model, driven by a clock of their own."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import pytest

from dykeshift.interface import ListKind, Outcome, ServerState
from emulator.fleet.client_model import NS_PER_MS, RequestOutcome, TryOutcome
from emulator.fleet.contract import loopback_address
from emulator.fleet.hollow import HollowAttempt, HollowBalancer
from emulator.fleet.hollow_discovery import server_number_of
from emulator.fleet.hollow_measuring import HollowMeter
from emulator.fleet.latency import LatencyRecorder, merge_summaries
from emulator.fleet.derived_scenario import write_quick_scenario
from emulator.fleet.scenario import Scenario, load_scenario
from emulator.fleet.tenant_quota import TokenBucket
from emulator.fleet.timeline import build_timeline
from tests.emulator.fleet_fakes import (
    MS,
    S,
    FakeEffects,
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


def some_fail(attempt: HollowAttempt) -> tuple[int, Outcome] | None:
    """By the attempt's number: silence, each kind of failure, and many good answers."""
    bad = {0: None, 1: Outcome.CONNECT_FAILED, 2: Outcome.FULL, 3: Outcome.RESET, 4: Outcome.ERROR}
    kind = attempt.number % 12
    if kind not in bad:
        return (kind * MS, Outcome.OK)
    outcome = bad[kind]
    return None if outcome is None else (2 * MS, outcome)


def test_each_try_has_exactly_one_final_answer_in_time(scenario: Scenario) -> None:
    effects, model = FakeEffects(serve=some_fail), make_model(scenario)
    balancer = make_balancer(scenario, effects)
    tries = []
    for _ in range(600):
        tries.append(model.draw_first_try(0, effects.now))
        balancer.submit(effects.now, tries[-1])
        effects.run_for(4 * MS)
    effects.run_for(2 * S)
    answered = Counter(id(answer.client_try) for answer in effects.answers)
    assert answered == Counter({id(one): 1 for one in tries})
    assert all(
        answer.at <= answer.client_try.sent_at + answer.client_try.timeout_ns for answer in effects.answers
    )
    assert {answer.end for answer in effects.answers} >= {TryOutcome.SERVED}
    assert balancer.open_try_count == 0, "attempts that nobody waits for are forgotten"
    assert balancer.take_counts().attempts == len(effects.sent)


def test_a_client_that_leaves_is_not_answered(scenario: Scenario) -> None:
    effects = FakeEffects(serve=lambda attempt: None)
    balancer = make_balancer(scenario, effects)
    name = balancer.submit(effects.now, make_model(scenario).draw_first_try(0, effects.now))
    effects.run_for(5 * MS)
    assert balancer.disconnect_client(effects.now, name)
    assert not balancer.disconnect_client(effects.now, name)
    effects.run_for(S)
    assert not effects.answers
    assert set(map(id, effects.cancelled)) == set(map(id, effects.sent)), "what was out is cancelled"


def test_nothing_is_sent_to_a_server_that_drains_or_is_gone(scenario: Scenario) -> None:
    effects, model = FakeEffects(), make_model(scenario)
    balancer = make_balancer(scenario, effects)
    changed = [listed_server(n, ServerState.DRAINING if n % 2 else ServerState.GONE) for n in range(4)]
    balancer.update_server_list(effects.now, ListKind.DELTA, changed)
    for _ in range(200):
        balancer.submit(effects.now, model.draw_first_try(0, effects.now))
        effects.run_for(4 * MS)
    assert effects.sent
    assert not {attempt.server for attempt in effects.sent} & {0, 1, 2, 3}
    assert all(attempt.server_id == 1000 + attempt.server for attempt in effects.sent)


def script(monkeypatch: pytest.MonkeyPatch, balancer: HollowBalancer, *targets: int) -> ScriptedModule:
    module = ScriptedModule(*targets)
    monkeypatch.setattr(balancer, "_decision_module", module)
    return module


def test_a_module_that_says_nothing_leaves_no_client_without_an_answer(
    scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    effects = FakeEffects()
    balancer = make_balancer(scenario, effects)
    script(monkeypatch, balancer)
    one = make_model(scenario).draw_first_try(0, effects.now)
    balancer.submit(effects.now, one)
    effects.run_for(S)
    assert [(answer.client_try, answer.end) for answer in effects.answers] == [(one, TryOutcome.FAILED)]
    assert effects.answers[0].at <= one.sent_at + one.timeout_ns


def test_only_the_first_good_answer_reaches_the_client(
    scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    effects = FakeEffects()
    balancer = make_balancer(scenario, effects)
    module = script(monkeypatch, balancer, 1001, 1002)
    balancer.submit(effects.now, make_model(scenario).draw_first_try(0, effects.now))
    effects.run_for(S)
    assert [answer.end for answer in effects.answers] == [TryOutcome.SERVED]
    assert [(end.outcome, end.request_closed) for end in module.attempt_ends] == [(Outcome.OK, True)] * 2


def test_what_is_sent_to_a_server_not_on_the_list_ends_as_not_sent(
    scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    effects = FakeEffects()
    balancer = make_balancer(scenario, effects)
    balancer.update_server_list(effects.now, ListKind.DELTA, [listed_server(3, ServerState.DRAINING)])
    module = script(monkeypatch, balancer, 1003, 4711)
    balancer.submit(effects.now, make_model(scenario).draw_first_try(0, effects.now))
    effects.run_for(5 * MS)
    assert not effects.sent
    assert [(end.outcome, end.request_closed) for end in module.attempt_ends] == [
        (Outcome.NOT_SENT, False)
    ] * 2


def test_a_stopped_balancer_returns_its_open_tries_and_stays_silent(scenario: Scenario) -> None:
    effects, model = FakeEffects(serve=lambda attempt: (50 * MS, Outcome.OK)), make_model(scenario)
    balancer = make_balancer(scenario, effects)
    tries = [model.draw_first_try(0, effects.now) for _ in range(5)]
    for one in tries:
        balancer.submit(effects.now, one)
    assert balancer.stop(effects.now) == tries
    before = len(effects.sent)
    effects.run_for(5 * S)
    assert not effects.answers and len(effects.sent) == before


def test_clients_try_again_as_often_and_as_long_as_the_scenario_says(scenario: Scenario) -> None:
    model, now = make_model(scenario), 10 * S
    for _ in range(200):
        one = model.draw_first_try(0, now)
        request, tries, at = one.request, 1, now
        deadline = now + int(scenario.classes[request.class_index].deadline_ms * NS_PER_MS)
        while (again := model.plan_retry(at, one, TryOutcome.REFUSED, 0)) is not None:
            assert again.sent_at > at and again.is_retry and again.request is request
            assert again.sent_at + again.timeout_ns <= deadline
            one, tries, at = again, tries + 1, again.sent_at
        assert tries == 1 + scenario.clients.retries
        assert model.request_outcome(at, one, TryOutcome.REFUSED) is RequestOutcome.REFUSED


def test_the_end_of_a_served_request_depends_on_its_time(scenario: Scenario) -> None:
    one = make_model(scenario).draw_first_try(0, 0)
    klass, model = scenario.classes[one.request.class_index], make_model(scenario)
    ends = [
        model.request_outcome(int(ms * NS_PER_MS), one, TryOutcome.SERVED)
        for ms in (klass.aim_ms, klass.deadline_ms, klass.deadline_ms + 1)
    ]
    assert ends == [RequestOutcome.IN_TIME, RequestOutcome.LATE, RequestOutcome.NO_ANSWER]


def test_a_servers_number_is_found_from_its_address() -> None:
    assert [server_number_of(loopback_address(64, n, 80).host) for n in (0, 253, 254, 6399)] == [
        0,
        253,
        254,
        6399,
    ]


def test_a_quota_split_over_many_balancers_lets_less_in_than_the_whole() -> None:
    whole, parts = TokenBucket(10.0, 0.0), [TokenBucket(0.1, 0.0) for _ in range(100)]
    at_one = sum(parts[0].consume(second / 10) for second in range(100))  # all come to one balancer
    at_whole = sum(whole.consume(second / 10) for second in range(100))
    assert at_one < 3 and at_whole == 100


def test_latencies_are_recorded_and_merged_within_a_hundredth() -> None:
    recorders = [LatencyRecorder(), LatencyRecorder()]
    for value in range(1, 10_001):
        recorders[value % 2].record_us(value)
    summary = merge_summaries(recorder.take_summary() for recorder in recorders)
    assert summary.count == 10_000
    assert summary.p50_us == pytest.approx(5000, rel=0.01)
    assert summary.p99_us == pytest.approx(9900, rel=0.01)
    assert recorders[0].take_summary().count == 0


@pytest.mark.parametrize("path", sorted(SCENARIOS.glob("*.toml")), ids=lambda path: path.stem)
def test_each_scenario_can_be_made_short_and_small(path: Path, tmp_path: Path) -> None:
    quick = write_quick_scenario(load_scenario(path), tmp_path / "quick.toml")
    assert quick.duration_s <= 20 and quick.balancers.total <= 32 and quick.balancers.real <= 4
    assert len(quick.events) == len(load_scenario(path).events)
    assert build_timeline(quick, 1)


def test_an_arrival_that_is_far_too_late_is_counted_and_not_made() -> None:
    meter = HollowMeter(1)
    assert (
        meter.record_arrival(1 * MS) and meter.record_arrival(200 * MS) and not meter.record_arrival(300 * MS)
    )
    counts = meter.take_measure(1.0, 0, 1, 0, (0, 0)).requests
    assert (counts.asked, counts.missed) == (3, 1)
