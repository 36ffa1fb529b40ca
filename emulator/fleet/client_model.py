"""Model of the clients: their requests, timeouts and retries. It has no I/O and no clock of its own.

A request of a client consists of one or more tries: HTTP requests to a balancer, the first and its retries.
Times are in nanoseconds.
"""

from __future__ import annotations

from bisect import bisect
from dataclasses import dataclass
from enum import StrEnum
from itertools import accumulate
from math import log, sqrt
from random import Random

from emulator.fleet.layout import Layout
from emulator.fleet.scenario import RequestClass, Scenario

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
MIN_WORK_US = 50
# A first try that is later than this is counted as missed and not made, as this machine is overloaded.
MAX_ARRIVAL_LAG_NS = 250_000_000


class TryOutcome(StrEnum):
    """Outcome of one try for its client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    CONNECTION_FAILED = "broken"  # the balancer ended or could not be reached
    NO_ANSWER = "no_answer"


class RequestOutcome(StrEnum):
    """Outcome of a request over all its tries."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    NO_ANSWER = "no_answer"
    CLIENT_GONE = "left"  # the client disconnected


_OUTCOMES_IF_NOT_SERVED = {
    TryOutcome.REFUSED: RequestOutcome.REFUSED,
    TryOutcome.FAILED: RequestOutcome.FAILED,
    TryOutcome.CONNECTION_FAILED: RequestOutcome.FAILED,
    TryOutcome.NO_ANSWER: RequestOutcome.NO_ANSWER,
}


@dataclass(slots=True, eq=False)
class ClientRequest:
    """Request of a client, with all its tries."""

    number: int  # counted from 1 among the requests of the process
    balancer: int  # of the first try
    class_index: int
    tenant_index: int
    work_us: int  # processor time on a core of speed 1
    started_at: int
    honours_retry_after: bool
    disconnects_after_ns: int  # from the start of its first try; 0: never


@dataclass(slots=True, eq=False)
class ClientTry:
    """One try of a request."""

    request: ClientRequest
    index: int  # 0: the first try of the request
    sent_at: int  # time at which it is due, which may be in the future
    timeout_ns: int

    @property
    def is_retry(self) -> bool:
        """Whether the client marks the try as a retry in its HTTP request."""
        return self.index > 0


class ClientModel:
    """Draws the requests and decides on the retries of the clients of one process."""

    def __init__(self, scenario: Scenario, layout: Layout, seed: str) -> None:
        self.classes = scenario.classes
        self._clients = scenario.clients
        self._random = Random(seed)
        self._class_bounds = list(accumulate(request_class.share for request_class in scenario.classes))[:-1]
        self._tenant_bounds = list(accumulate(layout.tenant_shares))[:-1]
        self._work_parameters = [_lognormal_parameters(request_class) for request_class in scenario.classes]
        self._request_count = 0

    def draw_interarrival_ns(self, requests_per_s: float) -> int:
        """Time from one arrival to the next in a Poisson process."""
        return int(self._random.expovariate(requests_per_s) * NS_PER_S)

    def draw_first_try(self, balancer: int, now: int) -> ClientTry:
        """First try of a new request, which starts now."""
        self._request_count += 1
        class_index = bisect(self._class_bounds, self._random.random())
        timeout = self._timeout_ns(class_index)
        mu, sigma = self._work_parameters[class_index]
        disconnects = self._random.random() < self._clients.leaving_share
        request = ClientRequest(
            number=self._request_count,
            balancer=balancer,
            class_index=class_index,
            tenant_index=bisect(self._tenant_bounds, self._random.random()),
            work_us=max(MIN_WORK_US, int(self._random.lognormvariate(mu, sigma) * 1000)),
            started_at=now,
            honours_retry_after=self._random.random() < self._clients.honour_retry_after,
            disconnects_after_ns=1 + int(self._random.random() * timeout) if disconnects else 0,
        )
        return ClientTry(request, 0, now, timeout)

    def plan_retry(
        self, now: int, last: ClientTry, outcome: TryOutcome, retry_after_ns: int
    ) -> ClientTry | None:
        """The retry after a try that was not served; None if the client gives up."""
        request = last.request
        if last.index >= self._clients.retries or not self._may_retry(request, outcome):
            return None
        backoff = int(self._clients.backoff_ms * NS_PER_MS * (0.5 + self._random.random()))
        if request.honours_retry_after:
            backoff = max(backoff, retry_after_ns)
        time_left = request.started_at + self._deadline_ns(request.class_index) - now - backoff
        if time_left < NS_PER_MS:
            return None
        timeout = min(time_left, self._timeout_ns(request.class_index))
        return ClientTry(request, last.index + 1, now + backoff, timeout)

    def request_outcome(self, now: int, last: ClientTry, outcome: TryOutcome) -> RequestOutcome:
        """Outcome of a request after its last try."""
        if outcome is not TryOutcome.SERVED:
            return _OUTCOMES_IF_NOT_SERVED[outcome]
        request_class, duration = self.classes[last.request.class_index], now - last.request.started_at
        if duration <= request_class.aim_ms * NS_PER_MS:
            return RequestOutcome.IN_TIME
        return (
            RequestOutcome.LATE
            if duration <= request_class.deadline_ms * NS_PER_MS
            else RequestOutcome.NO_ANSWER
        )

    def _may_retry(self, request: ClientRequest, outcome: TryOutcome) -> bool:
        request_class = self.classes[request.class_index]
        repeatable = request_class.idempotency == "safe" or (
            request_class.idempotency == "keyed" and request_class.scope == "all"
        )
        return repeatable or outcome is TryOutcome.REFUSED

    def _deadline_ns(self, class_index: int) -> int:
        return int(self.classes[class_index].deadline_ms * NS_PER_MS)

    def _timeout_ns(self, class_index: int) -> int:
        return int(self._deadline_ns(class_index) * self._clients.try_share)


def _lognormal_parameters(request_class: RequestClass) -> tuple[float, float]:
    """Mu and sigma of the lognormal distribution of a class's work, in milliseconds."""
    variance = log(1 + request_class.work_cv**2)
    return log(request_class.work_ms) - variance / 2, sqrt(variance)


def balancer_requests_per_s(scenario: Scenario, layout: Layout, balancer: int) -> float:
    """Mean request rate of one balancer: its zone's share of the traffic, divided evenly within the zone."""
    zone = layout.balancer_zones[balancer]
    share = scenario.zones()[zone].traffic_share
    return scenario.requests_per_s * share / layout.balancer_zones.count(zone)
