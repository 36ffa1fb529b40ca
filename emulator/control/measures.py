"""What a run measures, out of the reports of its processes and the supervisor's own notes."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from emulator.control.contract import InForce, Started, TurnedDown

NS_PER_US, US_PER_S = 1_000, 1_000_000
LONGEST_US = 600 * US_PER_S


@dataclass(frozen=True, slots=True)
class Delay:
    """Time from a version's acceptance until it was in force, over the balancers, in seconds."""

    balancers: int
    p50: float
    p99: float
    most: float


def delay_of(histogram: HdrHistogram) -> Delay:
    """The percentiles in a histogram of microseconds."""
    return Delay(
        balancers=histogram.get_total_count(),
        p50=histogram.get_value_at_percentile(50) / US_PER_S,
        p99=histogram.get_value_at_percentile(99) / US_PER_S,
        most=histogram.get_max_value() / US_PER_S if histogram.get_total_count() else 0.0,
    )


@dataclass
class Measures:
    """Grows with the run."""

    balancers: int
    accepted: dict[int, int] = field(default_factory=dict)  # sound versions: when their publisher asked
    in_force: dict[int, list[InForce]] = field(default_factory=lambda: defaultdict(list))  # by balancer
    reachable: dict[int, list[int]] = field(
        default_factory=lambda: defaultdict(list)
    )  # when it could hear again
    newest: dict[int, int] = field(default_factory=dict)  # by balancer: the newest version ever in force
    turned_down: dict[int, dict[int, str]] = field(default_factory=lambda: defaultdict(dict))
    repeated_lines: int = 0  # reports of one bad version by one balancer, beyond the first of a life
    backwards: list[InForce | Started] = field(default_factory=list)
    starts: int = 0

    def on_in_force(self, report: InForce) -> None:
        """A balancer has put a version into force."""
        self.in_force[report.balancer].append(report)
        self._check_order(report)

    def on_started(self, report: Started) -> None:
        """A balancer begins to serve."""
        self.starts += 1
        self.reachable[report.balancer].append(report.at_ns)
        self._check_order(report)

    def on_turned_down(self, report: TurnedDown) -> None:
        """A balancer has turned a version down."""
        told = self.turned_down[report.version]
        self.repeated_lines += report.balancer in told
        told[report.balancer] = report.reason

    def on_restarting(self, balancers: list[int]) -> None:
        """A new life may turn the same bad version down once more."""
        for told in self.turned_down.values():
            for balancer in balancers:
                told.pop(balancer, None)

    def _check_order(self, report: InForce | Started) -> None:
        newest = self.newest.get(report.balancer, 0)
        if report.version < newest:
            self.backwards.append(report)
        self.newest[report.balancer] = max(newest, report.version)

    def delays(self, version: int) -> tuple[Delay, list[int]]:
        """How long this version took, or a newer one in its place; and the balancers that have neither."""
        histogram = HdrHistogram(1, LONGEST_US, 3)
        missing = []
        for balancer in range(self.balancers):
            reached = self._reached(balancer, version)
            if reached is None:
                missing.append(balancer)
            else:
                histogram.record_value(max(1, reached // NS_PER_US))
        return delay_of(histogram), missing

    def _reached(self, balancer: int, version: int) -> int | None:
        """Nanoseconds from when the balancer could hear of it until it was in force."""
        asked = self.accepted[version]
        at = next((r.at_ns for r in self.in_force[balancer] if r.version >= version), None)
        if at is None:
            return None
        times = self.reachable[balancer]
        last = bisect_right(times, at)
        return at - max(asked, times[last - 1] if last else 0)

    def all_delays(self) -> Delay:
        """Over all sound versions and balancers."""
        histogram = HdrHistogram(1, LONGEST_US, 3)
        for version in self.accepted:
            for balancer in range(self.balancers):
                reached = self._reached(balancer, version)
                if reached is not None:
                    histogram.record_value(max(1, reached // NS_PER_US))
        return delay_of(histogram)
