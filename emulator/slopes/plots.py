"""Plots the rows of a run to PNG files; a separate module because importing matplotlib is slow."""

from __future__ import annotations

import math
from collections.abc import Sequence
from pathlib import Path

import matplotlib
from matplotlib.axes import Axes

from emulator.slopes.report import Row

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - imported after selecting a backend without a display

MAX_COLUMNS = 3
SUBPLOT_INCHES = 4.0  # width and height of the subplot of one axis
LEGEND_LINE_INCHES = 0.14
MIN_GROWTH_RANGE = (0.5, 2.0)  # smallest range of a y axis, so that noise does not look like growth
COLORS = matplotlib.colormaps["tab20"]


def save_plots(rows: Sequence[Row], folder: Path) -> list[Path]:
    """Save one figure per role, with a subplot per axis, and return the paths.

    The subplots show the growth of the measures relative to the smallest size. Rows of bars, rows with a
    single size and rows with values that are not positive are left out.
    """
    plotted = [row for row in rows if row.bar is None and len(row.sizes) > 1 and min(row.values) > 0]
    return [
        _plot_role(role, [row for row in plotted if row.role == role], folder)
        for role in dict.fromkeys(row.role for row in plotted)
    ]


def _plot_role(role: str, rows: Sequence[Row], folder: Path) -> Path:
    axes = list(dict.fromkeys(row.axis for row in rows))
    measures = list(dict.fromkeys(row.measure for row in rows))
    columns = min(MAX_COLUMNS, len(axes))
    grid_rows = math.ceil(len(axes) / columns)
    size = (SUBPLOT_INCHES * columns, SUBPLOT_INCHES * grid_rows + LEGEND_LINE_INCHES * len(measures))
    figure, grid = pyplot.subplots(grid_rows, columns, squeeze=False, figsize=size, layout="constrained")
    for subplot in grid.flat[len(axes) :]:
        subplot.set_visible(False)
    for subplot, axis in zip(grid.flat, axes, strict=False):
        _plot_axis(subplot, axis, [row for row in rows if row.axis == axis], measures)
    legend_lines = {str(line.get_label()): line for subplot in grid.flat for line in subplot.get_lines()}
    figure.legend(
        list(legend_lines.values()),
        list(legend_lines),
        loc="outside lower center",
        ncols=2,
        fontsize="x-small",
    )
    figure.suptitle(role)
    path = folder / f"slopes-{role}.png"
    figure.savefig(path)
    pyplot.close(figure)
    return path


def _plot_axis(subplot: Axes, axis: str, rows: Sequence[Row], measures: list[str]) -> None:
    subplot.set(xscale="log", yscale="log", xlabel=axis, ylabel="times the value at the smallest size")
    for row in rows:
        growth = [value / row.values[0] for value in row.values]
        color = COLORS(measures.index(row.measure) % COLORS.N)
        subplot.plot(row.sizes, growth, marker="o", color=color, label=f"{row.measure} ({row.unit})")
    low, high = subplot.get_ylim()
    subplot.set_ylim(min(low, MIN_GROWTH_RANGE[0]), max(high, MIN_GROWTH_RANGE[1]))
    subplot.grid(True, alpha=0.3)
