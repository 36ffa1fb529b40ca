"""Property-based tests: the rules of the decision module hold for any sequence of possible events.

The harness checks each action, and that each request has its final answer in time.
"""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from dykeshift.interface import ListKind, LoadReport, Outcome, ServerState
from tests.harness import CLASSES, MS, BalancerHarness, S, make_settings, server_entry

OUTCOMES = st.sampled_from([o for o in Outcome if o is not Outcome.NOT_SENT])
REPORTS = st.sampled_from([None, LoadReport(queued=3.0), LoadReport(utilization=0.99, errors_per_s=2.0)])
STATES = st.sampled_from(list(ServerState))


# Hypothesis orders the rules by their number of arguments and their names, and derives the seed from the
# source of the class. Any change of that source except comments changes the tested sequences of events.
class RandomHistories(RuleBasedStateMachine):
    """Random events for one balancer to which server lists are pushed."""

    changes: dict[str, object] = {}  # of the settings

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
        in_flight = self.harness.attempts_in_flight()
        request_id, attempt_index = in_flight[pick % len(in_flight)]
        self.harness.end_attempt(request_id, attempt_index, outcome, report)

    @precondition(lambda self: self.harness.requests)
    @rule(pick=st.integers(0, 1000))
    def client_leaves(self, pick: int) -> None:
        request_ids = list(self.harness.requests)
        self.harness.disconnect_client(request_ids[pick % len(request_ids)])

    @rule(duration=st.sampled_from([0, 1 * MS, 20 * MS, 90 * MS, 400 * MS, 2 * S]))
    def time_passes(self, duration: int) -> None:
        self.harness.advance(duration)

    @rule(server_id=st.integers(0, 7), state=STATES, restarts=st.booleans())
    def delta(self, server_id: int, state: ServerState, restarts: bool) -> None:
        old = self.harness.listed_entries.get(server_id)
        started_at = self.harness.now - 100 * MS if restarts else old.started_at if old else 0
        self.harness.update_server_list(ListKind.DELTA, server_entry(server_id, state, started_at))

    @rule(server_ids=st.sets(st.integers(0, 7)), state=STATES)
    def snapshot(self, server_ids: set[int], state: ServerState) -> None:
        old = dict(self.harness.listed_entries)
        entries = [
            server_entry(n, state if n == 3 else ServerState.READY, old[n].started_at if n in old else 0)
            for n in sorted(server_ids)
        ]
        self.harness.update_server_list(ListKind.FULL, *entries)

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
    """The balancer has to watch discovery, and may have only one attempt of a request in flight."""

    changes = {"watch_discovery": True, "copies_allowed": False, "min_call_interval": 2 * MS}


RUN_SETTINGS = settings(
    derandomize=True,
    database=None,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestRandomHistories = RandomHistories.TestCase
TestRandomHistories.settings = RUN_SETTINGS
TestRandomHistoriesInAskMode = RandomHistoriesInAskMode.TestCase
TestRandomHistoriesInAskMode.settings = RUN_SETTINGS
