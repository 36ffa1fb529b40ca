"""What a run measures, out of the reports of its processes and the supervisor's own notes."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from emulator.control.contract import InForce, Started, TurnedDown

NS_PER_US, US_PER_S = 1_000, 1_000_000
MAX_DELAY_US = 600 * US_PER_S


@dataclass(frozen=True, slots=True)
class PropagationDelay:
    """Time from a version's acceptance until it was in force, over the balancers, in seconds."""

    sample_count: int
    p50_s: float
    p99_s: float
    max_s: float


def summarize_delays(histogram: HdrHistogram) -> PropagationDelay:
    """The percentiles in a histogram of microseconds."""
    return PropagationDelay(
        sample_count=histogram.get_total_count(),
        p50_s=histogram.get_value_at_percentile(50) / US_PER_S,
        p99_s=histogram.get_value_at_percentile(99) / US_PER_S,
        max_s=histogram.get_max_value() / US_PER_S if histogram.get_total_count() else 0.0,
    )


@dataclass
class Measures:
    """Grows with the run."""

    balancer_count: int
    accepted_at_ns: dict[int, int] = field(default_factory=dict)  # sound versions: when their publisher asked
    in_force_reports: dict[int, list[InForce]] = field(
        default_factory=lambda: defaultdict(list)
    )  # by balancer
    reachable_since_ns: dict[int, list[int]] = field(
        default_factory=lambda: defaultdict(list)
    )  # when it could hear again
    newest_versions: dict[int, int] = field(
        default_factory=dict
    )  # by balancer: the newest version ever in force
    rejection_reasons: dict[int, dict[int, str]] = field(default_factory=lambda: defaultdict(dict))
    repeated_rejection_count: int = (
        0  # reports of one bad version by one balancer, beyond the first of a life
    )
    version_regressions: list[InForce | Started] = field(default_factory=list)
    start_count: int = 0

    def on_in_force(self, report: InForce) -> None:
        """A balancer has put a version into force."""
        self.in_force_reports[report.balancer].append(report)
        self._check_order(report)

    def on_started(self, report: Started) -> None:
        """A balancer begins to serve."""
        self.start_count += 1
        self.reachable_since_ns[report.balancer].append(report.at_ns)
        self._check_order(report)

    def on_rejected(self, report: TurnedDown) -> None:
        """A balancer has turned a version down."""
        told = self.rejection_reasons[report.version]
        self.repeated_rejection_count += report.balancer in told
        told[report.balancer] = report.reason

    def on_restarting(self, balancers: list[int]) -> None:
        """A new life may turn the same bad version down once more."""
        for told in self.rejection_reasons.values():
            for balancer in balancers:
                told.pop(balancer, None)

    def _check_order(self, report: InForce | Started) -> None:
        newest = self.newest_versions.get(report.balancer, 0)
        if report.version < newest:
            self.version_regressions.append(report)
        self.newest_versions[report.balancer] = max(newest, report.version)

    def version_delay(self, version: int) -> tuple[PropagationDelay, list[int]]:
        """How long this version took, or a newer one in its place; and the balancers that have neither."""
        histogram = HdrHistogram(1, MAX_DELAY_US, 3)
        missing = []
        for balancer in range(self.balancer_count):
            reached = self._reached(balancer, version)
            if reached is None:
                missing.append(balancer)
            else:
                histogram.record_value(max(1, reached // NS_PER_US))
        return summarize_delays(histogram), missing

    def _reached(self, balancer: int, version: int) -> int | None:
        """Nanoseconds from when the balancer could hear of it until it was in force."""
        asked = self.accepted_at_ns[version]
        at = next((r.at_ns for r in self.in_force_reports[balancer] if r.version >= version), None)
        if at is None:
            return None
        times = self.reachable_since_ns[balancer]
        last = bisect_right(times, at)
        return at - max(asked, times[last - 1] if last else 0)

    def overall_delay(self) -> PropagationDelay:
        """Over all sound versions and balancers."""
        histogram = HdrHistogram(1, MAX_DELAY_US, 3)
        for version in self.accepted_at_ns:
            for balancer in range(self.balancer_count):
                reached = self._reached(balancer, version)
                if reached is not None:
                    histogram.record_value(max(1, reached // NS_PER_US))
        return summarize_delays(histogram)
