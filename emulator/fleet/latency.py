"""Latency histograms with cheap recording, small encoding and exact merging."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import numpy
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 2
STEPS_PER_OCTAVE = 256  # values are rounded down to a 256th of their power of two before they are counted


class LatencySummary(msgspec.Struct, frozen=True):
    """Percentiles of a histogram, in microseconds, and the histogram in the encoding of HdrHistogram."""

    count: int
    p50_us: int
    p99_us: int
    max_us: int
    encoded: str


def new_histogram() -> HdrHistogram:
    """Empty histogram with the range and precision of this module."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def summarize(histogram: HdrHistogram) -> LatencySummary:
    """Summary of a histogram."""
    count = int(histogram.get_total_count())
    return LatencySummary(
        count=count,
        p50_us=int(histogram.get_value_at_percentile(50)) if count else 0,
        p99_us=int(histogram.get_value_at_percentile(99)) if count else 0,
        max_us=int(histogram.get_max_value()) if count else 0,
        encoded=histogram.encode().decode(),
    )


def merge_summaries(summaries: Iterable[LatencySummary]) -> LatencySummary:
    """Summary of the values of all given summaries."""
    histogram = new_histogram()
    for summary in summaries:
        if summary.count:
            histogram.decode_and_add(summary.encoded.encode())
    return summarize(histogram)


class LatencyRecorder:
    """Collects values as plain numbers, as recording each in an HdrHistogram would cost microseconds."""

    def __init__(self) -> None:
        self._values_us: list[int] = []
        self.record_us = self._values_us.append

    def take_summary(self) -> LatencySummary:
        """Summary of the values recorded since the last call."""
        histogram = new_histogram()
        if self._values_us:
            values = numpy.clip(
                numpy.array(self._values_us, dtype=numpy.int64), MIN_LATENCY_US, MAX_LATENCY_US
            )
            self._values_us.clear()
            step = numpy.maximum(1, 2 ** numpy.log2(values).astype(numpy.int64) // STEPS_PER_OCTAVE)
            for value, count in zip(*numpy.unique(values // step * step, return_counts=True), strict=True):
                histogram.record_value(int(value), int(count))
        return summarize(histogram)
