"""What the processes of this half of a run print each second, and how a process's part is taken from it."""

from __future__ import annotations

import msgspec

from emulator.fleet.client_model import RequestOutcome, TryOutcome
from emulator.fleet.latency import LatencySummary

REQUEST_OUTCOMES = tuple(end.value for end in RequestOutcome)


class RequestCounts(msgspec.Struct):
    """Requests and tries since the last measure."""

    asked: int = 0  # first tries that have come due
    missed: int = 0  # of these, never made: this machine came to them too late
    tries: int = 0
    ended: dict[str, int] = {}  # by RequestEnd
    tries_ended: dict[str, int] = {}  # by TryEnd

    def count_request_outcome(self, end: RequestOutcome) -> None:
        """A request is over."""
        self.ended[end.value] = self.ended.get(end.value, 0) + 1

    def count_try_outcome(self, end: TryOutcome) -> None:
        """A try is over."""
        self.tries_ended[end.value] = self.tries_ended.get(end.value, 0) + 1


class HollowMeasure(msgspec.Struct, frozen=True, tag="hollow", tag_field="kind"):
    """One second of a hollow worker."""

    at_s: float
    index: int
    balancers: int  # that are up
    requests: RequestCounts
    attempts: int
    cancels: int
    not_sent: int
    log_bytes: int
    decision_calls: int
    decision_us: int  # processor time, estimated from a sample
    open_tries: int
    added: LatencySummary  # answer time less the server's service and the network's time
    lag: LatencySummary  # how much later than due an arrival was taken
    tenant_asked: list[int]  # by rank
    tenant_within_split: list[int]  # of these, within the tenant's quota split evenly over the balancers
    ready_ms: list[float]  # of the balancers that became ready: from their turn to their first list
    ready_wait_ms: list[float]  # of the same: how long they waited for their turn in this process
    bytes_sent: int
    bytes_received: int


class ClientMeasure(msgspec.Struct, frozen=True, tag="clients", tag_field="kind"):
    """One second of the clients of the real balancers."""

    at_s: float
    index: int
    requests: RequestCounts
    open_requests: int
    connections: int
    added: LatencySummary
    lag: LatencySummary
    unsound_answers: int  # bodies that no stand-in made for the request


class ProcessMeasure(msgspec.Struct, frozen=True, tag="process", tag_field="kind"):
    """What the operating system says of one process."""

    at_s: float
    role: str
    index: int
    cpu_share: float  # of one core
    resident_mb: float
    log_bytes_per_s: float


Measure = HollowMeasure | ClientMeasure | ProcessMeasure
