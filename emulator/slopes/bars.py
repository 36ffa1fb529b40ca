"""The bars: limits for figures measured at the target."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from emulator.slopes.report import Row, format_value
from emulator.slopes.roles import Figure
from emulator.slopes.sizes import SMALL_DEPLOYMENT, TARGET, Axis, Scale, axis_points

# 100 servers and 100 tenants, all other sizes as at the target.
SMALL_FLEET = axis_points(Axis.FLEET)[0].scale


class Bar(msgspec.Struct, frozen=True):
    """A limit on one measure at the target: on its value, or on its ratio to the value at another scale."""

    role: str
    measure: str
    text: str
    limit: float
    reference: Scale | None = None  # if set, the limit applies to the ratio to the value at this scale
    passes_below: float | None = None  # a value below this passes regardless of its ratio
    related_measure: str | None = None  # shown next to the measure

    def required_scales(self) -> tuple[Scale, ...]:
        """Return the scales at which the measure is needed, the target last."""
        return (TARGET,) if self.reference is None else (self.reference, TARGET)


BARS = (
    Bar(
        "module",
        "request and outcome, processor time",
        "at 6,400 servers and 15,000 tenants at most 1.5 times that at 100 and 100",
        1.5,
        SMALL_FLEET,
    ),
    Bar(
        "module",
        "one changed entry, processor time",
        "at 6,400 servers at most 3 times that at 100",
        3.0,
        SMALL_FLEET,
    ),
    Bar(
        "module",
        "timers, longest call",
        "under 1 ms at 6,400 servers, or flat: at most 1.5 times that at 100",
        1.5,
        SMALL_FLEET,
        passes_below=1.0,
    ),
    Bar("balancer-idle", "idle, share of a core", "at most 2.3 % of a core", 2.3),
    Bar("balancer-idle", "idle, resident memory", "at most 32 MB resident", 32.0),
    Bar(
        "balancer-idle",
        "idle, control traffic with a day's changes, and log",
        "at most 4 KB/s together",
        4_000.0,
    ),
    Bar(
        "balancer-load",
        "load, added latency p99",
        "adds at most 6.8 ms for 99 in 100",
        6.8,
        related_measure="load, rig without the balancer p99",
    ),
    Bar(
        "balancer-load",
        "load, share of a core",
        "at most twice that of 10 servers and 9 tenants",
        2.0,
        SMALL_DEPLOYMENT,
    ),
    Bar("first-list", "first list, longest wait for /ready", "holds the loop at most 20 ms", 20.0),
)

FigureLookup = Callable[[str, str, Scale], Figure | None]  # role, measure, scale


def evaluate_bar(bar: Bar, lookup: FigureLookup) -> Row | None:
    """Return the row of a bar; None if one of its scales has not been measured."""
    available = [lookup(bar.role, bar.measure, scale) for scale in bar.required_scales()]
    figures = [figure for figure in available if figure is not None]
    if len(figures) < len(available):
        return None
    value = figures[-1].value
    compared_value = value if bar.reference is None else value / max(figures[0].value, 1e-9)
    passed = compared_value <= bar.limit or (bar.passes_below is not None and value < bar.passes_below)
    text = bar.text
    if bar.reference is not None:
        text += f" (ratio {format_value(compared_value)})"
    related = bar.related_measure and lookup(bar.role, bar.related_measure, TARGET)
    if related:
        text += f" ({related.measure.removeprefix('load, ')}: {format_value(related.value)} {related.unit})"
    return Row(
        role=bar.role,
        measure=bar.measure,
        unit=figures[-1].unit,
        axis="bar",
        sizes=[scale.servers for scale in bar.required_scales()],
        values=[figure.value for figure in figures],
        exponent=None,
        linear=None,
        bar=text,
        passed=passed,
    )


def format_missed_bar(row: Row) -> str:
    """Return the error line for a missed bar."""
    values = " and ".join(format_value(value) for value in row.values)
    return f"missed: {row.role}: {row.measure}: {values} {row.unit}; bar: {row.bar}"
