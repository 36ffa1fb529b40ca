"""Plots of a run's rows, as PNG files; a module of its own because matplotlib is slow to load."""

from __future__ import annotations

import math
from collections.abc import Sequence
from pathlib import Path

import matplotlib
from matplotlib.axes import Axes

from emulator.slopes.report import Row

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - after the choice of a backend that needs no display

COLUMNS = 3
PART_SIZE = 4.0  # inches, of the part for one axis
LEGEND_HEIGHT = 0.14  # inches, of one of its lines
LEAST_SPAN = (0.5, 2.0)  # what a part shows of growth at the least, so that noise does not look like growth
COLORS = matplotlib.colormaps["tab20"]


def save_plots(rows: Sequence[Row], folder: Path) -> list[Path]:
    """One figure for each role with a part for each axis: growth of its measures from the smallest size."""
    plotted = [row for row in rows if row.bar is None and len(row.sizes) > 1 and min(row.values) > 0]
    return [
        _plot_role(role, [row for row in plotted if row.role == role], folder)
        for role in dict.fromkeys(row.role for row in plotted)
    ]


def _plot_role(role: str, rows: Sequence[Row], folder: Path) -> Path:
    axes = list(dict.fromkeys(row.axis for row in rows))
    measures = list(dict.fromkeys(row.measure for row in rows))
    columns = min(COLUMNS, len(axes))
    lines = math.ceil(len(axes) / columns)
    size = (PART_SIZE * columns, PART_SIZE * lines + LEGEND_HEIGHT * len(measures))
    figure, grid = pyplot.subplots(lines, columns, squeeze=False, figsize=size, layout="constrained")
    for part in grid.flat[len(axes) :]:
        part.set_visible(False)
    for part, axis in zip(grid.flat, axes, strict=False):
        _plot_axis(part, axis, [row for row in rows if row.axis == axis], measures)
    drawn = {str(line.get_label()): line for part in grid.flat for line in part.get_lines()}
    figure.legend(list(drawn.values()), list(drawn), loc="outside lower center", ncols=2, fontsize="x-small")
    figure.suptitle(role)
    path = folder / f"slopes-{role}.png"
    figure.savefig(path)
    pyplot.close(figure)
    return path


def _plot_axis(part: Axes, axis: str, rows: Sequence[Row], measures: list[str]) -> None:
    part.set(xscale="log", yscale="log", xlabel=axis, ylabel="times the value at the smallest size")
    for row in rows:
        growth = [value / row.values[0] for value in row.values]
        color = COLORS(measures.index(row.measure) % COLORS.N)
        part.plot(row.sizes, growth, marker="o", color=color, label=f"{row.measure} ({row.unit})")
    low, high = part.get_ylim()
    part.set_ylim(min(low, LEAST_SPAN[0]), max(high, LEAST_SPAN[1]))
    part.grid(True, alpha=0.3)
