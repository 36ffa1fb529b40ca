"""What clients ask for, how long they wait and when they try again; no I/O and no clock of its own."""

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
MAX_ARRIVAL_LAG_NS = 250_000_000  # a first try that is this late is not made: the machine does not carry it


class TryOutcome(StrEnum):
    """How one try ended for its client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    CONNECTION_FAILED = "broken"  # the balancer died or could not be reached
    NO_ANSWER = "no_answer"


class RequestOutcome(StrEnum):
    """How a request ended over all its tries."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    NO_ANSWER = "no_answer"
    CLIENT_GONE = "left"  # the client went away


_ENDS_WITHOUT_ANSWER = {
    TryOutcome.REFUSED: RequestOutcome.REFUSED,
    TryOutcome.FAILED: RequestOutcome.FAILED,
    TryOutcome.CONNECTION_FAILED: RequestOutcome.FAILED,
    TryOutcome.NO_ANSWER: RequestOutcome.NO_ANSWER,
}


@dataclass(slots=True, eq=False)
class ClientRequest:
    """What a client wants, over all its tries."""

    number: int
    balancer: int  # that its first try goes to
    class_index: int
    tenant_index: int
    work_us: int
    started_at: int
    honours_retry_after: bool
    disconnects_after_ns: int  # of its first try; 0: stays


@dataclass(slots=True, eq=False)
class ClientTry:
    """One try of a request."""

    request: ClientRequest
    index: int  # 0 for the first
    sent_at: int
    timeout_ns: int

    @property
    def is_retry(self) -> bool:
        """Whether the balancer is told that it is a retry."""
        return self.index > 0


class ClientModel:
    """Draws requests and decides on retries, for the clients of one process."""

    def __init__(self, scenario: Scenario, layout: Layout, seed: str) -> None:
        self.classes = scenario.classes
        self._clients = scenario.clients
        self._random = Random(seed)
        self._class_bounds = list(accumulate(klass.share for klass in scenario.classes))[:-1]
        self._tenant_bounds = list(accumulate(layout.tenant_shares))[:-1]
        self._work = [_lognormal(klass) for klass in scenario.classes]
        self._drawn = 0

    def draw_interarrival_ns(self, requests_per_s: float) -> int:
        """Time from one arrival to the next, Poisson."""
        return int(self._random.expovariate(requests_per_s) * NS_PER_S)

    def draw_first_try(self, balancer: int, now: int) -> ClientTry:
        """A new request that begins now."""
        self._drawn += 1
        class_index = bisect(self._class_bounds, self._random.random())
        patience = self._timeout_ns(class_index)
        mu, sigma = self._work[class_index]
        leaves = self._random.random() < self._clients.leaving_share
        request = ClientRequest(
            number=self._drawn,
            balancer=balancer,
            class_index=class_index,
            tenant_index=bisect(self._tenant_bounds, self._random.random()),
            work_us=max(MIN_WORK_US, int(self._random.lognormvariate(mu, sigma) * 1000)),
            started_at=now,
            honours_retry_after=self._random.random() < self._clients.honour_retry_after,
            disconnects_after_ns=1 + int(self._random.random() * patience) if leaves else 0,
        )
        return ClientTry(request, 0, now, patience)

    def plan_retry(self, now: int, last: ClientTry, end: TryOutcome, retry_after_ns: int) -> ClientTry | None:
        """The try that follows one that was not served; None if the client gives up."""
        request = last.request
        if last.index >= self._clients.retries or not self._may_repeat(request, end):
            return None
        pause = int(self._clients.backoff_ms * NS_PER_MS * (0.5 + self._random.random()))
        if request.honours_retry_after:
            pause = max(pause, retry_after_ns)
        left = request.started_at + self._deadline_ns(request.class_index) - now - pause
        if left < NS_PER_MS:
            return None
        patience = min(left, self._timeout_ns(request.class_index))
        return ClientTry(request, last.index + 1, now + pause, patience)

    def request_outcome(self, now: int, last: ClientTry, end: TryOutcome) -> RequestOutcome:
        """How the request ended, after its last try."""
        if end is not TryOutcome.SERVED:
            return _ENDS_WITHOUT_ANSWER[end]
        klass, took = self.classes[last.request.class_index], now - last.request.started_at
        if took <= klass.aim_ms * NS_PER_MS:
            return RequestOutcome.IN_TIME
        return RequestOutcome.LATE if took <= klass.deadline_ms * NS_PER_MS else RequestOutcome.NO_ANSWER

    def _may_repeat(self, request: ClientRequest, end: TryOutcome) -> bool:
        klass = self.classes[request.class_index]
        repeatable = klass.idempotency == "safe" or (klass.idempotency == "keyed" and klass.scope == "all")
        return repeatable or end is TryOutcome.REFUSED

    def _deadline_ns(self, class_index: int) -> int:
        return int(self.classes[class_index].deadline_ms * NS_PER_MS)

    def _timeout_ns(self, class_index: int) -> int:
        return int(self._deadline_ns(class_index) * self._clients.try_share)


def _lognormal(klass: RequestClass) -> tuple[float, float]:
    """Parameters of the lognormal law with the class's mean and variation, in milliseconds."""
    variance = log(1 + klass.work_cv**2)
    return log(klass.work_ms) - variance / 2, sqrt(variance)


def balancer_requests_per_s(scenario: Scenario, layout: Layout, balancer: int) -> float:
    """Mean rate of one balancer: its zone's share of the traffic, dealt out evenly within the zone."""
    zone = layout.balancer_zones[balancer]
    share = scenario.zones()[zone].traffic_share
    return scenario.requests_per_s * share / layout.balancer_zones.count(zone)
