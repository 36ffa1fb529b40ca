"""The command `slopes`: measures how each role grows along each axis, and checks the bars."""

from __future__ import annotations

import signal
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
OUTPUT_ROOT = Path("emulator-out")


class OneLineErrorCommand(click.Command):
    """A command that reports invalid arguments in one line."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Parse the arguments; raises BadInputError if they are invalid."""
        try:
            return super().parse_args(ctx, args)
        except click.UsageError as error:
            raise BadInputError(" ".join(error.format_message().split())) from None


def _describe(names: dict[str, str]) -> str:
    return "\n".join(f"  {name}: {text}" for name, text in names.items())


HELP = f"""Measure how state, messages, processor time and memory grow with the deployment.

Each role is measured along its axes, at five sizes up to the target, with all other sizes at the base;
slopes are fitted by least squares. All traffic stays on loopback. Times of the module are processor times,
the fastest of several runs; `lines` are executed lines of the balancer's code, the same on any machine.

\b
Roles:
{_describe({role.name: role.description for role in ROLES.values()})}

\b
Axes:
{_describe({axis.value: description for axis, description in AXIS_DESCRIPTIONS.items()})}

\b
Base:   {BASE}
Target: {TARGET}

\b
Examples:
  python -m emulator slopes --quick
  python -m emulator slopes --role module --axis servers --axis tenants
  python -m emulator slopes --role balancer-idle --role balancer-load --no-bars --out /tmp/slopes

Exit codes: 0, the run is valid and every bar holds; 1, a bar is missed or a point could not be measured;
2, the arguments are invalid and nothing was started; 130, interrupted: the measurements so far are written.
"""


def _make_folder(out: Path | None) -> Path:
    """Create the folder for the results; raises BadInputError if it cannot be written to."""
    utc_time = datetime.now(UTC).strftime("%Y%m%dT%H%M%SZ")
    folder = out or OUTPUT_ROOT / f"slopes-{utc_time}"
    try:
        folder.mkdir(parents=True, exist_ok=True)
        write_rows([], folder)
    except OSError as error:
        raise BadInputError(f"--out: cannot write to {folder}: {error.strerror}") from None
    return folder


def _measure_all(run: MeasurementRun, console: Console) -> bool:
    """Run all tasks, with a progress bar on a terminal; returns False if interrupted."""
    tasks = run.tasks()
    columns = (TextColumn("{task.description}"), MofNCompleteColumn(), TimeElapsedColumn())
    try:
        with Progress(*columns, console=console, disable=not console.is_terminal) as progress:
            progress_task = progress.add_task("slopes", total=len(tasks))
            for task in tasks:
                progress.update(progress_task, description=f"{task.role}, {task.scale.servers} servers")
                run.measure(task)
                progress.advance(progress_task)
    except KeyboardInterrupt:
        return False
    return True


def _save_plots(rows: list[Row], folder: Path) -> None:
    from emulator.slopes.plots import save_plots  # slow to import, and needed only here

    save_plots(rows, folder)


@click.command(cls=OneLineErrorCommand, help=HELP)
@click.option(
    "--role",
    "roles",
    multiple=True,
    type=click.Choice(list(ROLES)),
    help="Measure only this role; repeatable.",
)
@click.option(
    "--axis",
    "axes",
    multiple=True,
    type=click.Choice([axis.value for axis in Axis]),
    help="Measure only this axis; repeatable.",
)
@click.option("--quick", is_flag=True, help="Three sizes, short measurements, few axes: about a minute.")
@click.option("--bars/--no-bars", default=True, show_default=True, help="Check the bars of these roles.")
@click.option("--seed", type=click.IntRange(0, 2**63 - 1), default=1, show_default=True)
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    help=f"Folder for JSON lines and plots.  [default: {OUTPUT_ROOT}/slopes-<utc time>]",
)
def command(**options: Any) -> None:
    """See HELP."""
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
    # A shell without job control starts its background jobs with this signal ignored.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    folder = _make_folder(options["out"])
    completed = _measure_all(run, Console(stderr=True))
    rows = run.rows()
    write_rows(rows, folder)
    print_rows(rows, Console())
    _save_plots(rows, folder)
    click.echo(f"written to {folder}")
    problems = [format_missed_bar(row) for row in rows if row.passed is False] + run.failures
    for line in problems:
        click.echo(line, err=True)
    if not completed:
        click.echo("interrupted: only the measurements before the interrupt are written", err=True)
        sys.exit(EXIT_INTERRUPTED)
    if problems:
        sys.exit(EXIT_BAR_FAILED)
