"""Counts the connections that hollow balancers would have to photo servers; none is opened."""

from __future__ import annotations


class BalancerConnections:
    """Connections between one balancer and one server."""

    __slots__ = ("in_use", "idle", "last_used_s")

    def __init__(self) -> None:
        self.in_use = 0
        self.idle = 0
        self.last_used_s = 0.0

    def count(self) -> int:
        """Number of connections, in use and idle."""
        return self.in_use + self.idle


class ConnectionTable:
    """Connections of one server."""

    __slots__ = ("open_count", "peak_count", "_by_balancer", "_keepalive_s")

    def __init__(self, keepalive_s: float) -> None:
        self.open_count = 0
        self.peak_count = 0
        self._by_balancer: dict[int, BalancerConnections] = {}
        self._keepalive_s = keepalive_s

    def has_idle_connection(self, balancer: int, now_s: float) -> bool:
        """Whether the balancer has an idle connection that has not reached the keep-alive time."""
        connections = self._by_balancer.get(balancer)
        return (
            connections is not None
            and connections.idle > 0
            and now_s - connections.last_used_s < self._keepalive_s
        )

    def acquire(self, balancer: int, now_s: float) -> bool:
        """Use an idle connection or open one; return whether it is new."""
        connections = self._by_balancer.get(balancer)
        if connections is None:
            connections = self._by_balancer[balancer] = BalancerConnections()
        elif now_s - connections.last_used_s >= self._keepalive_s:
            self.open_count -= connections.idle
            connections.idle = 0
        connections.last_used_s = now_s
        connections.in_use += 1
        if connections.idle:
            connections.idle -= 1
            return False
        self.count_opened()
        return True

    def release(self, balancer: int, now_s: float, *, keep: bool) -> None:
        """Return a connection after its attempt has ended; if not `keep`, it is closed."""
        connections = self._by_balancer.get(balancer)
        if connections is None or not connections.in_use:
            return  # all connections were closed before the attempt ended
        connections.in_use -= 1
        connections.last_used_s = now_s
        if keep:
            connections.idle += 1
        else:
            self.open_count -= 1

    def count_opened(self) -> None:
        """Count a new connection."""
        self.open_count += 1
        self.peak_count = max(self.peak_count, self.open_count)

    def close_all(self) -> None:
        """Close all counted connections, as the server process has ended."""
        self.open_count -= sum(connections.count() for connections in self._by_balancer.values())
        self._by_balancer.clear()

    def close_idle(self, now_s: float) -> None:
        """Close connections unused for the keep-alive time, also those whose attempt was never answered."""
        old = [
            balancer
            for balancer, connections in self._by_balancer.items()
            if now_s - connections.last_used_s >= self._keepalive_s
        ]
        for balancer in old:
            self.open_count -= self._by_balancer.pop(balancer).count()
