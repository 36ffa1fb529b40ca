"""The measurements of a run, from the reports of its processes and the actions of the supervisor."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from emulator.control.contract import InForce, Started, TurnedDown

NS_PER_US = 1_000
US_PER_S = 1_000_000
MAX_DELAY_US = 600 * US_PER_S  # upper end of the histograms


@dataclass(frozen=True, slots=True)
class PropagationDelay:
    """Distribution of the time from the publishing of a version until it is in force at a balancer."""

    sample_count: int
    p50_s: float
    p99_s: float
    max_s: float


def summarize_delays(histogram: HdrHistogram) -> PropagationDelay:
    """Return the percentiles of a histogram of microseconds."""
    return PropagationDelay(
        sample_count=histogram.get_total_count(),
        p50_s=histogram.get_value_at_percentile(50) / US_PER_S,
        p99_s=histogram.get_value_at_percentile(99) / US_PER_S,
        max_s=histogram.get_max_value() / US_PER_S if histogram.get_total_count() else 0.0,
    )


@dataclass
class Measures:
    """Collects the measurements during the run."""

    balancer_count: int
    # Of each valid version that was accepted: when its publisher sent the change.
    published_at_ns: dict[int, int] = field(default_factory=dict)
    # By balancer, in the order in which they were received.
    in_force_reports: dict[int, list[InForce]] = field(default_factory=lambda: defaultdict(list))
    # By balancer: the times at which it started or the split of its region ended.
    reachable_since_ns: dict[int, list[int]] = field(default_factory=lambda: defaultdict(list))
    newest_versions: dict[int, int] = field(default_factory=dict)  # by balancer: newest one ever in force
    # By version and balancer; only those of the current incarnation of each balancer.
    rejection_reasons: dict[int, dict[int, str]] = field(default_factory=lambda: defaultdict(dict))
    repeated_rejection_count: int = 0  # rejections of a version after the first one by the same incarnation
    version_regressions: list[InForce | Started] = field(default_factory=list)
    start_count: int = 0

    def on_in_force(self, report: InForce) -> None:
        """Record that a balancer has applied a version."""
        self.in_force_reports[report.balancer].append(report)
        self._check_for_regression(report)

    def on_started(self, report: Started) -> None:
        """Record that a balancer has started to serve."""
        self.start_count += 1
        self.reachable_since_ns[report.balancer].append(report.at_ns)
        self._check_for_regression(report)

    def on_rejected(self, report: TurnedDown) -> None:
        """Record that a balancer has rejected a version."""
        reasons = self.rejection_reasons[report.version]
        self.repeated_rejection_count += report.balancer in reasons
        reasons[report.balancer] = report.reason

    def on_restarting(self, balancers: list[int]) -> None:
        """Record a restart: a new incarnation may reject the same invalid version once more."""
        for reasons in self.rejection_reasons.values():
            for balancer in balancers:
                reasons.pop(balancer, None)

    def _check_for_regression(self, report: InForce | Started) -> None:
        newest = self.newest_versions.get(report.balancer, 0)
        if report.version < newest:
            self.version_regressions.append(report)
        self.newest_versions[report.balancer] = max(newest, report.version)

    def version_delay(self, version: int) -> tuple[PropagationDelay, list[int]]:
        """Return the delay until this or a newer version was in force, and the balancers where neither is."""
        histogram = HdrHistogram(1, MAX_DELAY_US, 3)
        missing = []
        for balancer in range(self.balancer_count):
            delay_ns = self._delay_ns(balancer, version)
            if delay_ns is None:
                missing.append(balancer)
            else:
                histogram.record_value(max(1, delay_ns // NS_PER_US))
        return summarize_delays(histogram), missing

    def _delay_ns(self, balancer: int, version: int) -> int | None:
        """Return the time from when the balancer could first receive the version until it was in force."""
        published_at_ns = self.published_at_ns[version]
        in_force_at_ns = next(
            (r.at_ns for r in self.in_force_reports[balancer] if r.version >= version), None
        )
        if in_force_at_ns is None:
            return None
        reachable_times = self.reachable_since_ns[balancer]
        count = bisect_right(reachable_times, in_force_at_ns)
        return in_force_at_ns - max(published_at_ns, reachable_times[count - 1] if count else 0)

    def overall_delay(self) -> PropagationDelay:
        """Return the delay over all valid versions and all balancers."""
        histogram = HdrHistogram(1, MAX_DELAY_US, 3)
        for version in self.published_at_ns:
            for balancer in range(self.balancer_count):
                delay_ns = self._delay_ns(balancer, version)
                if delay_ns is not None:
                    histogram.record_value(max(1, delay_ns // NS_PER_US))
        return summarize_delays(histogram)
