"""Counts the requests of a tenant that are within its quota, with a token bucket."""

from __future__ import annotations

from emulator.fleet.scenario import Scenario

MAX_TRACKED_TENANTS = 500  # those with the largest traffic shares; the others are not counted per tenant
BURST_S = 3.0  # a bucket holds the unused quota of at most this time


class TokenBucket:
    """Token bucket as in the decision module: its capacity is at least one token, unless the quota is 0."""

    __slots__ = ("_capacity", "_rate", "_refilled_at_s", "_tokens")

    def __init__(self, requests_per_s: float, now_s: float) -> None:
        self._rate = requests_per_s
        self._capacity = max(1.0, requests_per_s * BURST_S) if requests_per_s else 0.0
        self._tokens = self._capacity
        self._refilled_at_s = now_s

    def consume(self, now_s: float, wanted: int = 1) -> int:
        """Take up to `wanted` tokens and return how many there were."""
        tokens = self._tokens + (now_s - self._refilled_at_s) * self._rate
        self._tokens, self._refilled_at_s = min(self._capacity, tokens), now_s
        taken = min(wanted, int(self._tokens))
        self._tokens -= taken
        return taken


def tracked_tenant_count(scenario: Scenario) -> int:
    """Number of tenants whose requests are counted per tenant."""
    return min(scenario.tenants.count, MAX_TRACKED_TENANTS)
