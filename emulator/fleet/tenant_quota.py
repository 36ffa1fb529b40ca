"""Which requests of a tenant are within its quota, by a token bucket."""

from __future__ import annotations

from emulator.fleet.scenario import Scenario

MAX_TRACKED_TENANTS = 500  # by rank: each worker counts these one by one, and the others not at all
BURST_S = 3.0  # what a tenant leaves of its quota is kept for it for so long


class TokenBucket:
    """Grows by the quota each second and holds one token at the least, as in the decision module."""

    __slots__ = ("_filled_s", "_most", "_rate", "_tokens")

    def __init__(self, requests_per_s: float, now_s: float) -> None:
        self._rate = requests_per_s
        self._most = max(1.0, requests_per_s * BURST_S) if requests_per_s else 0.0
        self._tokens = self._most
        self._filled_s = now_s

    def consume(self, now_s: float, wanted: int = 1) -> int:
        """How many of the requests are within the quota."""
        grown = self._tokens + (now_s - self._filled_s) * self._rate
        self._tokens, self._filled_s = min(self._most, grown), now_s
        taken = min(wanted, int(self._tokens))
        self._tokens -= taken
        return taken


def tracked_tenant_count(scenario: Scenario) -> int:
    """How many tenants are counted one by one."""
    return min(scenario.tenants.count, MAX_TRACKED_TENANTS)
