"""What stand-in discovery measures: how long each change takes until a balancer has acknowledged it."""

from __future__ import annotations

from collections import deque

import msgspec
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

MIN_DELAY_US, MAX_DELAY_US, SIGNIFICANT_DIGITS = 1, 120_000_000, 3


class Propagation(msgspec.Struct, frozen=True):
    """Changes told to one kind of balancer; times in milliseconds from release until acknowledged.

    One change counts once for each balancer. `released` is `acknowledged` plus `superseded` (by a restart
    of the balancer, whose whole list holds the change) plus `pending`.
    """

    released: int
    acknowledged: int
    superseded: int
    pending: int
    p50_ms: float
    p99_ms: float
    max_ms: float


class DiscoverySecond(msgspec.Struct, frozen=True, tag=True):
    """One second of the run; `pending` counts all that wait at its end, whenever they were released."""

    at_s: float
    calls: int
    whole_lists: int
    silent_calls: int
    sent_bytes: int
    received_bytes: int
    hollow: Propagation
    real: Propagation


class DiscoveryTotal(msgspec.Struct, frozen=True, tag=True):
    """The whole run; `hollow_histogram` and `real_histogram` are encoded HDR histograms in microseconds."""

    at_s: float
    calls: int
    whole_lists: int
    silent_calls: int
    sent_bytes: int
    received_bytes: int
    hollow: Propagation
    real: Propagation
    hollow_histogram: str
    real_histogram: str


class PropagationCounts:
    """Counts of one kind of balancer over some time."""

    def __init__(self) -> None:
        self.released = self.acknowledged = self.superseded = 0
        self.histogram = HdrHistogram(MIN_DELAY_US, MAX_DELAY_US, SIGNIFICANT_DIGITS)

    def acknowledge(self, delay_s: float) -> None:
        """One balancer has acknowledged one change."""
        self.acknowledged += 1
        self.histogram.record_value(min(MAX_DELAY_US, max(MIN_DELAY_US, round(delay_s * 1e6))))

    def summary(self, pending: int) -> Propagation:
        """The counts as a message."""
        return Propagation(
            released=self.released,
            acknowledged=self.acknowledged,
            superseded=self.superseded,
            pending=pending,
            p50_ms=self.histogram.get_value_at_percentile(50) / 1e3,
            p99_ms=self.histogram.get_value_at_percentile(99) / 1e3,
            max_ms=self.histogram.get_max_value() / 1e3,
        )


class PropagationSeries:
    """One kind of balancer: the present second, and the whole run."""

    def __init__(self) -> None:
        self.second = PropagationCounts()
        self.total = PropagationCounts()
        self.pending = 0

    def released(self) -> None:
        """One agent has one more change to tell."""
        self.pending += 1
        self.second.released += 1
        self.total.released += 1

    def acknowledged(self, delay_s: float) -> None:
        """One balancer has acknowledged one change."""
        self.pending -= 1
        self.second.acknowledge(delay_s)
        self.total.acknowledge(delay_s)

    def superseded(self, changes: int) -> None:
        """A balancer was restarted before it acknowledged some changes."""
        self.pending -= changes
        self.second.superseded += changes
        self.total.superseded += changes

    def take_second(self) -> Propagation:
        """The present second, of which a new one begins."""
        summary = self.second.summary(self.pending)
        self.second = PropagationCounts()
        return summary


class AcknowledgementTracker:
    """The changes that one balancer has been told of and has not acknowledged."""

    def __init__(self, series: PropagationSeries) -> None:
        self._series = series
        self._pending: deque[tuple[int, float]] = deque()  # generation, time of release
        self._has_called = False

    def handle_call(self, generation: int | None, now_s: float) -> None:
        """The balancer called; with a generation it acknowledges everything up to it."""
        self._has_called = True
        while generation is not None and self._pending and self._pending[0][0] <= generation:
            _, released_s = self._pending.popleft()
            self._series.acknowledged(now_s - released_s)

    def release(self, generation: int, now_s: float) -> None:
        """There is one more change to tell; one that comes before the first call is superseded by it."""
        self._series.released()
        if self._has_called:
            self._pending.append((generation, now_s))
        else:
            self._series.superseded(1)

    def handle_balancer_restart(self) -> None:
        """The balancer is gone with all that it knew."""
        self._series.superseded(len(self._pending))
        self._pending.clear()
        self._has_called = False
