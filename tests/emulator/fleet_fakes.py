"""A simulated clock, a small scenario and fake servers for hollow balancers, without sockets."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path

from dykeshift.interface import (
    Action,
    AttemptEnd,
    ListKind,
    Outcome,
    Request,
    Send,
    ServerEntry,
    ServerState,
)
from dykeshift.settings import parse_settings
from emulator.fleet.client_model import ClientModel, ClientTry, TryOutcome
from emulator.fleet.hollow import HollowAttempt, HollowBalancer
from emulator.fleet.hollow_discovery import ListedPhotoServer
from emulator.fleet.hollow_timers import TimerQueue
from emulator.fleet.layout import build_layout
from emulator.fleet.scenario import Scenario, load_scenario
from emulator.fleet.settings_for_balancers import build_settings

MS = 1_000_000
S = 1000 * MS

SCENARIO_TEXT = """
name = "small"
seed = 1
duration_s = {duration_s}
requests_per_s = {requests_per_s}
[[regions]]
name = "one"
zones = [
    {{ name = "a", server_share = 0.5, traffic_share = 0.5 }},
    {{ name = "b", server_share = 0.5, traffic_share = 0.5 }},
]
[servers]
count = 12
kinds = [{{ name = "box", share = 1.0, cores = 1, speed = [0.9, 1.1] }}]
[cold_start]
from_share = 0.4
warm_s = 2.0
overload_multiple = 3.0
overload_window_s = 1.0
[balancers]
total = {balancers}
real = {real}
hollow_workers = 1
[[classes]]
name = "read"
share = 0.8
work_ms = 4.0
aim_ms = 100.0
deadline_ms = 400.0
worth = 2.0
idempotency = "safe"
[[classes]]
name = "write"
share = 0.2
work_ms = 6.0
aim_ms = 200.0
deadline_ms = 600.0
worth = 3.0
idempotency = "keyed"
window_ms = 600.0
[tenants]
count = 10
zipf_exponent = 1.0
[clients]
retries = 2
try_share = 0.5
backoff_ms = 20.0
honour_retry_after = 0.5
leaving_share = 0.05
[network]
same_zone_ms = 0.1
cross_zone_ms = 0.5
cross_region_ms = 5.0
[discovery]
lag_s = 0.1
cross_region_lag_s = 0.1
failure_notice_s = 0.5
spread_s = 0.05
period_s = 0.1
[[events]]
kind = "drain_wave"
at_s = 0.5
servers = 2
group = 1
every_s = 0.5
drain_s = 0.5
down_s = 0.5
"""


def write_scenario(
    folder: Path,
    duration_s: float = 4.0,
    requests_per_s: float = 120.0,
    balancers: int = 4,
    real: int = 1,
    events: str = "",
) -> Path:
    """Write a small scenario file and return its path."""
    path = folder / "small.toml"
    text = SCENARIO_TEXT.format(
        duration_s=duration_s, requests_per_s=requests_per_s, balancers=balancers, real=real
    )
    path.write_text(text + events, encoding="utf-8")
    return path


def small_scenario(folder: Path) -> Scenario:
    """The small scenario, loaded from its file."""
    return load_scenario(write_scenario(folder))


@dataclass
class Answer:
    """A final answer to a client."""

    answered_at: int
    client_try: ClientTry
    outcome: TryOutcome


@dataclass
class FakeEffects:
    """Carries out the actions of a hollow balancer on a simulated clock."""

    now: int = 100 * S
    timers: TimerQueue = field(default_factory=TimerQueue)
    sent: list[HollowAttempt] = field(default_factory=list)
    cancelled: list[HollowAttempt] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    watch_count: int = 0
    serve: Callable[[HollowAttempt], tuple[int, Outcome] | None] = lambda attempt: (5 * MS, Outcome.OK)

    def send(self, attempt: HollowAttempt, work_us: int, wait_us: int) -> None:
        """Answer after the time and with the outcome that `serve` returns; never if it returns None."""
        assert wait_us > 0
        attempt.number = len(self.sent)
        self.sent.append(attempt)
        served = self.serve(attempt)
        if served is not None:
            after, outcome = served
            self.timers.add(self.now + after, lambda now: self._deliver(now, attempt, outcome))

    def _deliver(self, now: int, attempt: HollowAttempt, outcome: Outcome) -> None:
        if attempt not in self.cancelled:
            attempt.balancer.end_attempt(now, attempt, outcome)

    def cancel(self, attempt: HollowAttempt) -> None:
        """Record the cancelled attempt."""
        self.cancelled.append(attempt)

    def add_timer(self, at: int, callback: Callable[[int], None]) -> None:
        """Call `callback` with the simulated time, once `at` has passed."""
        self.timers.add(at, callback)

    def start_watch(self) -> None:
        """Count the watch."""
        self.watch_count += 1

    def on_final_answer(
        self, now: int, client_try: ClientTry, outcome: TryOutcome, unloaded_us: int, retry_after_ns: int
    ) -> None:
        """Record the answer."""
        self.answers.append(Answer(now, client_try, outcome))

    def run_for(self, duration: int) -> None:
        """Advance the clock from timer to timer, then to the end of the duration."""
        end = self.now + duration
        while (at := self.timers.next_due_at()) is not None and at <= end:
            self.now = max(self.now, at)
            self.timers.run_due(lambda: self.now, self.now)
        self.now = end


class ScriptedModule:
    """Replaces the decision module: sends each request to all target servers and does nothing else."""

    def __init__(self, *targets: int) -> None:
        self.targets = targets
        self.attempt_ends: list[AttemptEnd] = []

    def on_request(self, now: int, request: Request) -> list[Action]:
        """Send one attempt to each target."""
        return [Send(request.id, server, 0) for server in self.targets]

    def try_start_attempt(self, now: int, request_id: str, attempt_index: int) -> bool:
        """Let each attempt start."""
        return True

    def on_attempt_end(self, now: int, end: AttemptEnd) -> list[Action]:
        """Record the end of the attempt."""
        self.attempt_ends.append(end)
        return []

    def on_client_gone(self, now: int, request_id: str) -> list[Action]:
        """Do nothing."""
        return []

    def on_timer(self, now: int, token: str) -> list[Action]:
        """Ignore a timer that the replaced decision module had set."""
        return []


def make_balancer(scenario: Scenario, effects: FakeEffects, servers: int = 12) -> HollowBalancer:
    """A started hollow balancer with a list of ready servers."""
    layout = build_layout(scenario, 1)
    settings = replace(parse_settings(build_settings(scenario, layout, 0)), balancer_count=1)
    balancer = HollowBalancer(settings, 1, effects)
    balancer.start(effects.now)
    balancer.update_server_list(
        effects.now, ListKind.FULL, [listed_server(number) for number in range(servers)]
    )
    return balancer


def listed_server(number: int, state: ServerState = ServerState.READY) -> ListedPhotoServer:
    """A list entry whose server id differs from the stand-in's number."""
    return ListedPhotoServer(ServerEntry(1000 + number, number % 2, 0, 0, state, 1.0, 0), number)


def make_model(scenario: Scenario) -> ClientModel:
    """The client model of the scenario."""
    return ClientModel(scenario, build_layout(scenario, 1), "test")
