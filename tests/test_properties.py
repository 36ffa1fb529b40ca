"""The four rules as properties over arbitrary legal event sequences."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from dykeshift.interface import ListKind, LoadReport, Outcome, ServerState
from tests.harness import CLASSES, MS, BalancerHarness, S, make_settings, server_entry

OUTCOMES = st.sampled_from([o for o in Outcome if o is not Outcome.NOT_SENT])
REPORTS = st.sampled_from([None, LoadReport(queued=3.0), LoadReport(utilization=0.99, errors_per_s=2.0)])
STATES = st.sampled_from(list(ServerState))


class RandomHistories(RuleBasedStateMachine):
    changes: dict[str, object] = {}

    def __init__(self) -> None:
        super().__init__()
        self.harness = BalancerHarness(make_settings(**self.changes))
        self.harness.update_server_list(ListKind.CACHED, *(server_entry(n) for n in range(6)))

    @rule(
        class_index=st.integers(0, len(CLASSES) - 1),
        timeout=st.sampled_from([None, 1 * MS, 30 * MS, 150 * MS]),
        cost_hint=st.sampled_from([0, 20 * MS]),
    )
    def submit(self, class_index: int, timeout: int | None, cost_hint: int) -> None:
        self.harness.submit(class_index, timeout, cost_hint)

    @precondition(lambda self: self.harness.attempts_in_flight())
    @rule(pick=st.integers(0, 1000), outcome=OUTCOMES, report=REPORTS)
    def end(self, pick: int, outcome: Outcome, report: LoadReport | None) -> None:
        out = self.harness.attempts_in_flight()
        request_id, n = out[pick % len(out)]
        self.harness.end_attempt(request_id, n, outcome, report)

    @precondition(lambda self: self.harness.requests)
    @rule(pick=st.integers(0, 1000))
    def client_leaves(self, pick: int) -> None:
        ids = list(self.harness.requests)
        self.harness.disconnect_client(ids[pick % len(ids)])

    @rule(span=st.sampled_from([0, 1 * MS, 20 * MS, 90 * MS, 400 * MS, 2 * S]))
    def time_passes(self, span: int) -> None:
        self.harness.advance(span)

    @rule(n=st.integers(0, 7), state=STATES, fresh=st.booleans())
    def delta(self, n: int, state: ServerState, fresh: bool) -> None:
        old = self.harness.listed_entries.get(n)
        started = self.harness.now - 100 * MS if fresh else old.started_at if old else 0
        self.harness.update_server_list(ListKind.DELTA, server_entry(n, state, started))

    @rule(present=st.sets(st.integers(0, 7)), state=STATES)
    def snapshot(self, present: set[int], state: ServerState) -> None:
        keep = dict(self.harness.listed_entries)
        rows = [
            server_entry(n, state if n == 3 else ServerState.READY, keep[n].started_at if n in keep else 0)
            for n in sorted(present)
        ]
        self.harness.update_server_list(ListKind.FULL, *rows)

    @rule()
    def discovery_fails(self) -> None:
        self.harness.update_server_list(ListKind.FAILED)

    @rule(token=st.sampled_from(["r:unknown", "r:q1", "nonsense", "sweep", "watch"]))
    def stale_timer(self, token: str) -> None:
        self.harness.execute(self.harness.balancer.on_timer(self.harness.now, token))

    @invariant()
    def answered_in_time(self) -> None:
        self.harness.check_answered_in_time()

    def teardown(self) -> None:
        self.harness.finish_all_requests()


class RandomHistoriesInAskMode(RandomHistories):
    changes = {"watch_discovery": True, "copies_allowed": False, "min_call_interval": 2 * MS}


LIMITS = settings(
    derandomize=True,
    database=None,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestRandomHistories = RandomHistories.TestCase
TestRandomHistories.settings = LIMITS
TestRandomHistoriesInAskMode = RandomHistoriesInAskMode.TestCase
TestRandomHistoriesInAskMode.settings = LIMITS
