"""Latency histograms that are cheap to record, small to send and exact to merge."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import numpy
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

LOWEST_US, HIGHEST_US, DIGITS = 1, 120_000_000, 2
STEP_SHARE = 256  # values are rounded to a 256th of their power of two before they are counted


class LatencySummary(msgspec.Struct, frozen=True):
    """Percentiles of one histogram, in microseconds, and the histogram itself in HDR's own encoding."""

    count: int
    p50_us: int
    p99_us: int
    max_us: int
    encoded: str


def new_histogram() -> HdrHistogram:
    """An empty histogram with this module's range."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def summarize(histogram: HdrHistogram) -> LatencySummary:
    """The figures of a histogram, ready to be sent."""
    count = int(histogram.get_total_count())
    return LatencySummary(
        count=count,
        p50_us=int(histogram.get_value_at_percentile(50)) if count else 0,
        p99_us=int(histogram.get_value_at_percentile(99)) if count else 0,
        max_us=int(histogram.get_max_value()) if count else 0,
        encoded=histogram.encode().decode(),
    )


def merge_summaries(summaries: Iterable[LatencySummary]) -> LatencySummary:
    """One summary over the values of all of them."""
    histogram = new_histogram()
    for summary in summaries:
        if summary.count:
            histogram.decode_and_add(summary.encoded.encode())
    return summarize(histogram)


class LatencyRecorder:
    """Collects values as plain numbers; HDR's own recording would cost microseconds for each."""

    def __init__(self) -> None:
        self._values_us: list[int] = []
        self.record_us = self._values_us.append

    def take_summary(self) -> LatencySummary:
        """Summary of what was recorded since the last call."""
        histogram = new_histogram()
        if self._values_us:
            values = numpy.clip(numpy.array(self._values_us, dtype=numpy.int64), LOWEST_US, HIGHEST_US)
            self._values_us.clear()
            step = numpy.maximum(1, 2 ** numpy.log2(values).astype(numpy.int64) // STEP_SHARE)
            for value, count in zip(*numpy.unique(values // step * step, return_counts=True), strict=True):
                histogram.record_value(int(value), int(count))
        return summarize(histogram)
