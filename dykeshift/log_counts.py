"""Counts and maxima since the last log report. They are logged, and no decision depends on them."""

from __future__ import annotations


def increment(counts: dict[str, int], name: str) -> None:
    """Count one more of this name."""
    counts[name] = counts.get(name, 0) + 1


def format_counts(counts: dict[str, int]) -> str:
    """The counts ordered by name; "-" if there are none."""
    return " ".join(f"{name}:{n}" for name, n in sorted(counts.items())) or "-"


class StartStatistics:
    """How late attempts are written, by class. All durations are given in nanoseconds and logged in ms."""

    def __init__(self) -> None:
        self.longest_waits: dict[str, int] = {}  # from the decision on, by class and number of the attempt
        self.latest_repeats: dict[str, int] = {}  # after the first start of the request
        self.refused_counts: dict[str, int] = {}

    def record_wait(self, class_name: str, attempt_index: int, duration: int) -> None:
        """An attempt is written this long after it was decided on."""
        self._keep_maximum(self.longest_waits, f"{class_name}/{attempt_index + 1}", duration)

    def record_repeat(self, class_name: str, duration: int) -> None:
        """An attempt is written this long after the first one of its request that may have been executed."""
        self._keep_maximum(self.latest_repeats, class_name, duration)

    def record_refused(self, class_name: str) -> None:
        """An attempt got its connection when it could no longer be written."""
        increment(self.refused_counts, class_name)

    @staticmethod
    def _keep_maximum(maxima_ms: dict[str, int], name: str, duration: int) -> None:
        maxima_ms[name] = max(maxima_ms.get(name, 0), duration // 1_000_000)

    def take_report(self) -> str:
        """The text to be logged, empty if no attempt got a connection; starts new counts."""
        if not self.longest_waits and not self.refused_counts:
            return ""
        text = (
            f"longest waits for a connection in ms {format_counts(self.longest_waits)} "
            f"latest repeats in ms {format_counts(self.latest_repeats)} "
            f"starts refused {format_counts(self.refused_counts)}"
        )
        for counts in (self.longest_waits, self.latest_repeats, self.refused_counts):
            counts.clear()
        return text
