"""Connections that hollow balancers would hold to photo servers, counted but not opened."""

from __future__ import annotations


class Pair:
    """The connections between one balancer and one server."""

    __slots__ = ("in_use", "idle", "used_s")

    def __init__(self) -> None:
        self.in_use = 0
        self.idle = 0
        self.used_s = 0.0

    def count(self) -> int:
        """All of them."""
        return self.in_use + self.idle


class ConnectionTable:
    """All connections of one server."""

    __slots__ = ("open", "most", "_pairs", "_keepalive_s")

    def __init__(self, keepalive_s: float) -> None:
        self.open = 0
        self.most = 0
        self._pairs: dict[int, Pair] = {}
        self._keepalive_s = keepalive_s

    def has_idle(self, balancer: int, now_s: float) -> bool:
        """Whether the balancer has a connection on which nothing is out and that is not too old."""
        pair = self._pairs.get(balancer)
        return pair is not None and pair.idle > 0 and now_s - pair.used_s < self._keepalive_s

    def take(self, balancer: int, now_s: float) -> bool:
        """Use an idle connection or open one; whether it is a new one."""
        pair = self._pairs.get(balancer)
        if pair is None:
            pair = self._pairs[balancer] = Pair()
        elif now_s - pair.used_s >= self._keepalive_s:
            self.open -= pair.idle
            pair.idle = 0
        pair.used_s = now_s
        pair.in_use += 1
        if pair.idle:
            pair.idle -= 1
            return False
        self.opened()
        return True

    def give_back(self, balancer: int, now_s: float, *, keep: bool) -> None:
        """An attempt has ended; its connection stays idle, or is closed."""
        pair = self._pairs.get(balancer)
        if pair is None or not pair.in_use:
            return  # all were closed in the meantime
        pair.in_use -= 1
        pair.used_s = now_s
        if keep:
            pair.idle += 1
        else:
            self.open -= 1

    def opened(self) -> None:
        """Count one more connection."""
        self.open += 1
        self.most = max(self.most, self.open)

    def close_all(self) -> None:
        """The process has ended, and all its connections with it."""
        self.open -= sum(pair.count() for pair in self._pairs.values())
        self._pairs.clear()

    def expire(self, now_s: float) -> None:
        """Close what has not been used for the keepalive time, also what was never answered."""
        old = [balancer for balancer, pair in self._pairs.items() if now_s - pair.used_s >= self._keepalive_s]
        for balancer in old:
            self.open -= self._pairs.pop(balancer).count()
