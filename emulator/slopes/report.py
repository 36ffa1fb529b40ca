"""The results of a run: rows as JSON lines in a file, and as a table on the terminal."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from emulator.slopes.fit import Slope

ROWS_FILE = "slopes.jsonl"
MAX_ROUNDING_ERROR = 1e-9


class Row(msgspec.Struct, frozen=True):
    """The values of one measure along one axis, or at the scales of a bar.

    A row with a single size has no slopes.
    """

    role: str
    measure: str
    unit: str
    axis: str
    sizes: list[float]
    values: list[float]
    exponent: Slope | None  # on logarithmic axes
    linear: Slope | None  # in units of the measure per unit of size
    bar: str | None = None
    passed: bool | None = None


def write_rows(rows: Iterable[Row], folder: Path) -> None:
    """Write one JSON line per row to ROWS_FILE in `folder`."""
    encoded = [msgspec.json.encode(row) + b"\n" for row in rows]
    (folder / ROWS_FILE).write_bytes(b"".join(encoded))


def format_value(value: float) -> str:
    """Format a value with four significant digits, from 10,000 on as an integer; rounding errors become 0."""
    if abs(value) < MAX_ROUNDING_ERROR:
        return "0"
    return f"{value:,.0f}" if abs(value) >= 10_000 else f"{value:.4g}"


def _format_slope(slope: Slope | None) -> str:
    if slope is None:
        return "-"
    return (
        format_value(slope.value)
        if slope.error is None
        else f"{format_value(slope.value)} ± {format_value(slope.error)}"
    )


def _cells(row: Row) -> tuple[str, ...]:
    verdict = {None: "", True: "pass", False: "MISSED"}[row.passed]
    return (
        row.role,
        row.measure,
        row.unit,
        row.axis,
        " ".join(format_value(size) for size in row.sizes),
        " ".join(format_value(value) for value in row.values),
        _format_slope(row.exponent),
        _format_slope(row.linear),
        f"{row.bar}: {verdict}" if row.bar else "",
    )


COLUMNS = ("role", "measure", "unit", "axis", "sizes", "values", "exponent", "linear", "bar")


def print_rows(rows: Sequence[Row], console: Console) -> None:
    """Print a table on a terminal, otherwise one line with tab-separated cells per row."""
    if not console.is_terminal:
        for cells in (COLUMNS, *map(_cells, rows)):
            print("\t".join(cells), file=console.file)
        return
    table = Table(*COLUMNS, title="slopes")
    for row in rows:
        table.add_row(*_cells(row), style="red" if row.passed is False else None)
    console.print(table)
