"""Measures that hollow workers, client processes and the supervisor record each second."""

from __future__ import annotations

import msgspec

from emulator.fleet.client_model import RequestOutcome, TryOutcome
from emulator.fleet.latency import LatencySummary

REQUEST_OUTCOMES = tuple(outcome.value for outcome in RequestOutcome)


class RequestCounts(msgspec.Struct):
    """Requests and tries since the last measure. A request has one or more tries."""

    asked: int = 0  # first tries that have come due
    missed: int = 0  # first tries not made, as this machine was too late for them
    tries: int = 0
    ended: dict[str, int] = {}  # by value of RequestOutcome
    tries_ended: dict[str, int] = {}  # by value of TryOutcome

    def count_request_outcome(self, outcome: RequestOutcome) -> None:
        """Count a request that has ended."""
        self.ended[outcome.value] = self.ended.get(outcome.value, 0) + 1

    def count_try_outcome(self, outcome: TryOutcome) -> None:
        """Count a try that has ended."""
        self.tries_ended[outcome.value] = self.tries_ended.get(outcome.value, 0) + 1


class HollowMeasure(msgspec.Struct, frozen=True, tag="hollow", tag_field="kind"):
    """One second of a hollow worker."""

    at_s: float
    index: int
    balancers: int  # running
    requests: RequestCounts
    attempts: int
    cancels: int
    not_sent: int
    log_bytes: int
    decision_calls: int
    decision_us: int  # processor time, estimated from a sample
    open_tries: int
    added: LatencySummary  # response time less the server's service time and the network delay
    lag: LatencySummary  # lateness of arrivals behind their due times
    tenant_asked: list[int]  # requests of each tracked tenant, by rank
    tenant_within_split: list[int]  # of these, within the tenant's quota divided evenly among the balancers
    ready_ms: list[float]  # duration of each balancer's start, until its first call to discovery has ended
    ready_wait_ms: list[float]  # of the same balancers: wait until this process began their start
    bytes_sent: int
    bytes_received: int


class ClientMeasure(msgspec.Struct, frozen=True, tag="clients", tag_field="kind"):
    """One second of the clients of the real balancers; `added` and `lag` as in `HollowMeasure`."""

    at_s: float
    index: int
    requests: RequestCounts
    open_requests: int
    connections: int
    added: LatencySummary
    lag: LatencySummary
    unsound_answers: int  # 200 responses whose body no stand-in sent for this request


class ProcessMeasure(msgspec.Struct, frozen=True, tag="process", tag_field="kind"):
    """One second of a process, as reported by the operating system."""

    at_s: float
    role: str
    index: int
    cpu_share: float  # of one core
    resident_mb: float
    log_bytes_per_s: float


Measure = HollowMeasure | ClientMeasure | ProcessMeasure
