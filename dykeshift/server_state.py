"""What one balancer has learned about each server. No logic.

All times and durations are in nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dykeshift.interface import LoadReport, ServerEntry


@dataclass(slots=True)
class ServerClassState:
    """One class of requests at one server. A class may hang at a server that answers all others."""

    in_flight: int = 0
    # Time of the latest outcome other than a cancellation, or of the first attempt sent after an idle time.
    silent_since: int = 0
    consecutive_failures: int = 0
    backoff_until: int = 0


@dataclass(slots=True, eq=False)
class Server:
    """What this balancer has learned about one server. Attempts are those of this balancer alone."""

    entry: ServerEntry
    in_flight_limit: float  # attempts that it has shown it can carry at once
    slow_start_budget: float  # attempts that it may be sent while cold
    budget_request_count: int  # value of Balancer.request_count up to which the budget has grown
    class_states: list[ServerClassState]
    in_flight: int = 0
    mean_in_flight: float = 0.0  # running mean of in_flight, sampled when a request considers the server
    limit_cut_at: int = 0
    backoff_until: int = 0
    mean_latency_share: float = 0.0  # running mean of its latency, as a share of the latency target
    answered_since_idle: bool = True  # whether it has answered since it last had no attempts
    silent_since: int = 0  # time of its latest answer, or of the first attempt sent after an idle time
    has_answered: bool = False  # since its start
    relative_latency: float = 1.0  # running mean of its latency over the usual latency of the class
    load_report: LoadReport | None = None
    load_reported_at: int = 0
    abandoned_until: list[int] = field(default_factory=list)  # until when abandoned attempts count as running
    connect_failures: int = 0  # consecutive ones
    # By class and outcome, since the last log report.
    outcome_counts: dict[str, int] = field(default_factory=dict)
    failure_count: int = 0  # of these outcomes
