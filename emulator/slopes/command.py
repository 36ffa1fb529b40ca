"""The `slopes` command: how each role grows along each axis, and whether the bars hold."""

from __future__ import annotations

import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from emulator.errors import EXIT_BAR_FAILED, BadInputError
from emulator.slopes.bars import format_missed_bar
from emulator.slopes.report import Row, print_rows, write_rows
from emulator.slopes.run import ROLES, MeasurementPlan, MeasurementRun
from emulator.slopes.sizes import AXIS_DESCRIPTIONS, BASE, TARGET, Axis

EXIT_INTERRUPTED = 130
DEFAULT_PARENT = Path("emulator-out")


class OneLineErrorCommand(click.Command):
    """A command that reports a bad call by one plain line."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Arguments into the context."""
        try:
            return super().parse_args(ctx, args)
        except click.UsageError as error:
            raise BadInputError(" ".join(error.format_message().split())) from None


def _described(names: dict[str, str]) -> str:
    return "\n".join(f"  {name}: {text}" for name, text in names.items())


HELP = f"""Measure how state, messages, processor time and memory grow with the deployment.

Each role is measured along its axes, at five sizes up to the target, with all else at the base; slopes are
fitted by least squares. Everything stays on loopback. Times of the module are processor times, the best of
several; `lines` count executed lines of the balancer's code and are the same on any machine.

\b
Roles:
{_described({role.name: role.description for role in ROLES.values()})}

\b
Axes:
{_described({axis.value: description for axis, description in AXIS_DESCRIPTIONS.items()})}

\b
Base:   {BASE}
Target: {TARGET}

\b
Examples:
  python -m emulator slopes --quick
  python -m emulator slopes --role module --axis servers --axis tenants
  python -m emulator slopes --role balancer-idle --role balancer-load --no-bars --out /tmp/slopes

Exit codes: 0, the run is sound and every bar holds; 1, a bar is missed or a point could not be measured;
2, the call is wrong and nothing was started; 130, interrupted: what was measured so far is written.
"""


def _folder(out: Path | None) -> Path:
    """The folder for the results, made and writable."""
    stamp = datetime.now(UTC).strftime("%Y%m%dT%H%M%SZ")
    folder = out or DEFAULT_PARENT / f"slopes-{stamp}"
    try:
        folder.mkdir(parents=True, exist_ok=True)
        write_rows([], folder)
    except OSError as error:
        raise BadInputError(f"--out: cannot write to {folder}: {error.strerror}") from None
    return folder


def _measure_all(run: MeasurementRun, console: Console) -> bool:
    """Measure all tasks, with a progress bar where a person watches; False if interrupted."""
    tasks = run.tasks()
    columns = (TextColumn("{task.description}"), MofNCompleteColumn(), TimeElapsedColumn())
    try:
        with Progress(*columns, console=console, disable=not console.is_terminal) as progress:
            shown = progress.add_task("slopes", total=len(tasks))
            for task in tasks:
                progress.update(shown, description=f"{task.role}, {task.scale.servers} servers")
                run.measure(task)
                progress.advance(shown)
    except KeyboardInterrupt:
        return False
    return True


def _save_plots(rows: list[Row], folder: Path) -> None:
    from emulator.slopes.plots import save_plots  # only now: bad calls and --help need no matplotlib

    save_plots(rows, folder)


@click.command(cls=OneLineErrorCommand, help=HELP)
@click.option("--role", "roles", multiple=True, type=click.Choice(list(ROLES)), help="Only this role.")
@click.option(
    "--axis",
    "axes",
    multiple=True,
    type=click.Choice([axis.value for axis in Axis]),
    help="Only this axis.",
)
@click.option("--quick", is_flag=True, help="Three sizes, short measurements, few axes: a minute.")
@click.option("--bars/--no-bars", default=True, show_default=True, help="Check the bars of these roles.")
@click.option("--seed", type=click.IntRange(0, 2**63 - 1), default=1, show_default=True)
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    help=f"Folder for JSON lines and plots.  [default: {DEFAULT_PARENT}/slopes-<utc time>]",
)
def command(**options: Any) -> None:
    """Described by HELP."""
    plan = MeasurementPlan(
        roles=tuple(name for name in ROLES if name in options["roles"] or not options["roles"]),
        axes=tuple(Axis(name) for name in options["axes"]),
        quick=options["quick"],
        bars=options["bars"],
        seed=options["seed"],
    )
    run = MeasurementRun(plan)
    if not run.tasks():
        raise BadInputError("none of these roles has any of these axes")
    folder = _folder(options["out"])
    finished = _measure_all(run, Console(stderr=True))
    rows = run.rows()
    write_rows(rows, folder)
    print_rows(rows, Console())
    _save_plots(rows, folder)
    click.echo(f"written to {folder}")
    complaints = [format_missed_bar(row) for row in rows if row.passed is False] + run.failures
    for line in complaints:
        click.echo(line, err=True)
    if not finished:
        click.echo("interrupted: only what was measured before is written", err=True)
        sys.exit(EXIT_INTERRUPTED)
    if complaints:
        sys.exit(EXIT_BAR_FAILED)
