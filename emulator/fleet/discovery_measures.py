"""Measures of stand-in discovery: the time from the release of a change to its acknowledgement."""

from __future__ import annotations

from collections import deque

import msgspec
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

MIN_DELAY_US = 1
MAX_DELAY_US = 120_000_000
SIGNIFICANT_DIGITS = 3


class Propagation(msgspec.Struct, frozen=True):
    """Propagation of changes to hollow or to real balancers; times from release to acknowledgement.

    A change counts once for each balancer. `released` is the sum of `acknowledged`, `superseded` (by a
    restart of the balancer, whose next full list contains the change) and `pending`.
    """

    released: int
    acknowledged: int
    superseded: int
    pending: int
    p50_ms: float
    p99_ms: float
    max_ms: float


class DiscoverySecond(msgspec.Struct, frozen=True, tag=True):
    """One second of the run. `pending` counts all changes pending at its end, whenever they were released."""

    at_s: float
    calls: int
    whole_lists: int  # responses with a full list
    silent_calls: int  # calls without a response, in an outage or with silent watches
    sent_bytes: int
    received_bytes: int
    hollow: Propagation
    real: Propagation


class DiscoveryTotal(msgspec.Struct, frozen=True, tag=True):
    """The whole run; counts as in `DiscoverySecond`.

    `hollow_histogram` and `real_histogram` are encoded HDR histograms in microseconds.
    """

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
    """Propagation to one kind of balancer over a period of time."""

    def __init__(self) -> None:
        self.released = self.acknowledged = self.superseded = 0
        self.histogram = HdrHistogram(MIN_DELAY_US, MAX_DELAY_US, SIGNIFICANT_DIGITS)

    def acknowledge(self, delay_s: float) -> None:
        """Count a change acknowledged by a balancer."""
        self.acknowledged += 1
        self.histogram.record_value(min(MAX_DELAY_US, max(MIN_DELAY_US, round(delay_s * 1e6))))

    def summary(self, pending: int) -> Propagation:
        """The counts as a measure."""
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
    """Propagation to one kind of balancer (hollow or real), over the current second and over the run."""

    def __init__(self) -> None:
        self.second = PropagationCounts()
        self.total = PropagationCounts()
        self.pending = 0

    def count_released(self) -> None:
        """Count a change released to a balancer's agent."""
        self.pending += 1
        self.second.released += 1
        self.total.released += 1

    def count_acknowledged(self, delay_s: float) -> None:
        """Count a change acknowledged by a balancer."""
        self.pending -= 1
        self.second.acknowledge(delay_s)
        self.total.acknowledge(delay_s)

    def count_superseded(self, changes: int) -> None:
        """Count changes that a balancer did not acknowledge before it was restarted."""
        self.pending -= changes
        self.second.superseded += changes
        self.total.superseded += changes

    def take_second(self) -> Propagation:
        """Propagation in the current second; starts a new second."""
        summary = self.second.summary(self.pending)
        self.second = PropagationCounts()
        return summary


class AcknowledgementTracker:
    """Tracks the changes released to a balancer which it has not acknowledged."""

    def __init__(self, series: PropagationSeries) -> None:
        self._series = series
        self._pending: deque[tuple[int, float]] = deque()  # generation, time of release
        self._has_called = False

    def handle_call(self, generation: int | None, now_s: float) -> None:
        """Handle a call of the balancer; its generation acknowledges all changes up to that generation."""
        self._has_called = True
        while generation is not None and self._pending and self._pending[0][0] <= generation:
            _, released_s = self._pending.popleft()
            self._series.count_acknowledged(now_s - released_s)

    def track_release(self, generation: int, now_s: float) -> None:
        """Track a released change, or count it as superseded if the balancer has not called yet."""
        self._series.count_released()
        if self._has_called:
            self._pending.append((generation, now_s))
        else:
            self._series.count_superseded(1)

    def handle_balancer_restart(self) -> None:
        """Count the pending changes as superseded: the balancer has ended and its list is lost."""
        self._series.count_superseded(len(self._pending))
        self._pending.clear()
        self._has_called = False
