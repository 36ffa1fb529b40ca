"""Counts and latencies of one hollow worker between two measures."""

from __future__ import annotations

from emulator.fleet.client_model import MAX_ARRIVAL_LAG_NS
from emulator.fleet.hollow import HollowCounts
from emulator.fleet.latency import LatencyRecorder
from emulator.fleet.measures import HollowMeasure, RequestCounts


class HollowMeter:
    """Counts the requests of a worker and the work of its balancers, for one measure per second."""

    def __init__(self, tenants: int) -> None:
        self.counts = RequestCounts()
        # Of stopped balancers; those of running balancers are added when the measure is taken.
        self.balancer_counts = HollowCounts()
        self._tenants = tenants
        self._added = LatencyRecorder()
        self._lag = LatencyRecorder()
        self._tenant_asked = [0] * tenants
        self._tenant_within = [0] * tenants
        self._ready_ms: list[float] = []
        self._ready_wait_ms: list[float] = []
        self._last_bytes_moved = (0, 0)

    def record_arrival(self, lag_ns: int) -> bool:
        """Record a first try by its lag behind the due time; False if it is too late to be made."""
        self.counts.asked += 1
        self._lag.record_us(lag_ns // 1000)
        missed = lag_ns > MAX_ARRIVAL_LAG_NS
        self.counts.missed += missed
        return not missed

    def count_tenant_request(self, tenant: int, within_quota: bool) -> None:
        """Count a request of a tracked tenant, and whether it is within the balancer's part of the quota."""
        self._tenant_asked[tenant] += 1
        self._tenant_within[tenant] += within_quota

    def record_served(self, added_us: int) -> None:
        """Record a served try and its latency beyond that on an idle, warm server."""
        self._added.record_us(added_us)

    def record_ready(self, took_ms: float, waited_ms: float) -> None:
        """Record the start of a balancer: the start itself, and the wait until it could begin."""
        self._ready_ms.append(round(took_ms, 1))
        self._ready_wait_ms.append(round(waited_ms, 1))

    def take_measure(
        self, at_s: float, index: int, balancers: int, open_tries: int, bytes_moved: tuple[int, int]
    ) -> HollowMeasure:
        """The measure of what happened since the last one."""
        counts, self.counts = self.counts, RequestCounts()
        hollow, self.balancer_counts = self.balancer_counts, HollowCounts()
        asked, self._tenant_asked = self._tenant_asked, [0] * self._tenants
        within, self._tenant_within = self._tenant_within, [0] * self._tenants
        ready, self._ready_ms = self._ready_ms, []
        waits, self._ready_wait_ms = self._ready_wait_ms, []
        sent_before, received_before = self._last_bytes_moved
        self._last_bytes_moved = bytes_moved
        return HollowMeasure(
            at_s=at_s,
            index=index,
            balancers=balancers,
            requests=counts,
            attempts=hollow.attempts,
            cancels=hollow.cancels,
            not_sent=hollow.not_sent,
            log_bytes=hollow.log_bytes,
            decision_calls=hollow.decision_calls,
            decision_us=hollow.decision_ns // 1000,
            open_tries=open_tries,
            added=self._added.take_summary(),
            lag=self._lag.take_summary(),
            tenant_asked=asked,
            tenant_within_split=within,
            ready_ms=ready,
            ready_wait_ms=waits,
            bytes_sent=bytes_moved[0] - sent_before,
            bytes_received=bytes_moved[1] - received_before,
        )
