"""What a run tells: its rows as JSON lines in a folder, and as a table on the terminal."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from emulator.slopes.fit import Slope

ROWS_FILE = "slopes.jsonl"
NOTHING = 1e-9


class Row(msgspec.Struct, frozen=True):
    """One measure along one axis; a row of a single size states a point alone."""

    role: str
    measure: str
    unit: str
    axis: str
    sizes: list[float]
    values: list[float]
    exponent: Slope | None  # on logarithmic axes
    linear: Slope | None  # units of the measure for each unit of size
    bar: str | None = None
    passed: bool | None = None


def write_rows(rows: Iterable[Row], folder: Path) -> None:
    """One JSON line for each row."""
    encoded = [msgspec.json.encode(row) + b"\n" for row in rows]
    (folder / ROWS_FILE).write_bytes(b"".join(encoded))


def format_value(value: float) -> str:
    """A figure with four significant digits; what is left of rounding alone is 0."""
    if abs(value) < NOTHING:
        return "0"
    return f"{value:,.0f}" if abs(value) >= 10_000 else f"{value:.4g}"


def _shown_slope(slope: Slope | None) -> str:
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
        _shown_slope(row.exponent),
        _shown_slope(row.linear),
        f"{row.bar}: {verdict}" if row.bar else "",
    )


COLUMNS = ("role", "measure", "unit", "axis", "sizes", "values", "exponent", "linear", "bar")


def print_rows(rows: Sequence[Row], console: Console) -> None:
    """A table where a person watches, else one tab-separated line for each row."""
    if not console.is_terminal:
        for cells in (COLUMNS, *map(_cells, rows)):
            print("\t".join(cells), file=console.file)
        return
    table = Table(*COLUMNS, title="slopes")
    for row in rows:
        table.add_row(*_cells(row), style="red" if row.passed is False else None)
    console.print(table)
