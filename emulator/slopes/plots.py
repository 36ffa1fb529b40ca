"""Plots of a run's rows, as PNG files; a module of its own because matplotlib is slow to load."""

from __future__ import annotations

import math
from collections.abc import Sequence
from pathlib import Path

import matplotlib

from emulator.slopes.report import Row

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - after the choice of a backend that needs no display

PLOT_COLUMNS = 3
PLOT_SIZE = 4.6  # inches, of one axis


def plot(rows: Sequence[Row], folder: Path) -> list[Path]:
    """One figure for each role with a part for each axis: growth of its measures from the smallest size."""
    plotted = [row for row in rows if len(row.sizes) > 1 and min(row.values) > 0]
    return [
        _plot_role(role, [row for row in plotted if row.role == role], folder)
        for role in dict.fromkeys(row.role for row in plotted)
    ]


def _plot_role(role: str, rows: Sequence[Row], folder: Path) -> Path:
    axes = list(dict.fromkeys(row.axis for row in rows))
    columns = min(PLOT_COLUMNS, len(axes))
    height = math.ceil(len(axes) / columns)
    figure, grid = pyplot.subplots(
        height,
        columns,
        squeeze=False,
        figsize=(PLOT_SIZE * columns, PLOT_SIZE * height),
        layout="constrained",
    )
    for part in grid.flat[len(axes) :]:
        part.set_visible(False)
    for part, axis in zip(grid.flat, axes, strict=False):
        part.set(xscale="log", yscale="log", xlabel=axis, ylabel="times the value at the smallest size")
        for row in rows:
            if row.axis == axis:
                growth = [value / row.values[0] for value in row.values]
                part.plot(row.sizes, growth, marker="o", label=row.measure)
        part.legend(fontsize="xx-small")
        part.grid(True, alpha=0.3)
    figure.suptitle(role)
    path = folder / f"slopes-{role}.png"
    figure.savefig(path)
    pyplot.close(figure)
    return path
