"""The command `fleet`: run a scenario, write its report and check its figures against the bars."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import UTC, datetime
from pathlib import Path

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from emulator.errors import BadInputError, BarFailedError
from emulator.fleet.derived_scenario import write_quick_scenario, write_traffic_share
from emulator.fleet.report import print_summary, write_report
from emulator.fleet.run_record import FailedProcess, RunRecord
from emulator.fleet.scenario import Scenario, load_scenario
from emulator.fleet.summary import Summary
from emulator.fleet.supervisor import Supervisor

OUTPUT_ROOT = Path("emulator-out")
SCENARIO_FILE = "scenario.toml"

HELP = """Run the fleet of a scenario file on this machine, on loopback only.

Stand-in discovery, stand-in photo servers, hollow balancers, real balancer processes and their clients
run the scenario. Measures, events, a summary and plots are written to a folder; Ctrl-C ends the run early
and still writes them.

\b
Examples:
  python -m emulator fleet emulator/scenarios/target.toml --quick
  python -m emulator fleet emulator/scenarios/target.toml --seed 7 --out emulator-out/seven
  python -m emulator fleet emulator/scenarios/target.toml --traffic 0.25 --no-bars
"""


class OneLineCommand(click.Command):
    """A command that reports invalid arguments in one line."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Parse the arguments; raises BadInputError instead of UsageError."""
        try:
            return super().parse_args(ctx, args)
        except click.UsageError as error:
            raise BadInputError(f"{error.format_message()} (see --help)") from None


@click.command("fleet", cls=OneLineCommand, help=HELP, short_help="Run a whole fleet on loopback.")
@click.argument("scenario_path", metavar="SCENARIO", type=click.Path(path_type=Path))
@click.option("--quick", is_flag=True, help="Make the scenario short and small: under a minute.")
@click.option(
    "--traffic",
    type=click.FloatRange(0.0, 1.0, min_open=True),
    default=1.0,
    help="Share of the scenario's requests to make: 8 cores cannot carry all of the target's.",
)
@click.option("--seed", type=click.IntRange(min=0), help="Seed of all events; default: the scenario's.")
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder for the results; default: emulator-out/<name>-<utc time>.",
)
@click.option("--bars/--no-bars", default=True, help="Fail if a figure misses its bar; default: on.")
def command(
    scenario_path: Path, quick: bool, traffic: float, seed: int | None, out: Path | None, bars: bool
) -> None:
    """Run a scenario; the help text is HELP."""
    scenario = load_scenario(scenario_path)
    folder = _make_folder(out, scenario)
    path = folder / SCENARIO_FILE
    if quick:
        scenario = write_quick_scenario(scenario, path)
    else:
        shutil.copyfile(scenario_path, path)
    if traffic < 1.0:
        scenario = write_traffic_share(scenario, traffic, path)
    record = RunRecord(scenario, scenario.seed if seed is None else seed, folder)
    with _show_progress(scenario) as progress:
        asyncio.run(Supervisor(path, scenario, record, progress).run())
    summary = write_report(record)
    print_summary(summary, Console())
    click.echo(f"results: {folder}")
    _check_outcome(record, summary, bars)


def _make_folder(out: Path | None, scenario: Scenario) -> Path:
    folder = out
    if folder is None:
        folder = OUTPUT_ROOT / f"{scenario.name}-{datetime.now(UTC):%Y%m%dT%H%M%SZ}"
    try:
        folder.mkdir(parents=True, exist_ok=True)
        is_occupied = any(folder.iterdir())
    except OSError as error:
        raise BadInputError(f"{folder}: cannot be written to: {error.strerror or error}") from None
    if is_occupied:
        raise BadInputError(f"{folder}: is not empty")
    return folder


@contextmanager
def _show_progress(scenario: Scenario) -> Iterator[Callable[[str, float], None]]:
    """Show a progress bar on standard error if it is a terminal."""
    console = Console(stderr=True)
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console, disable=not console.is_terminal) as bar:
        task = bar.add_task("starting", total=scenario.duration_s)
        yield lambda phase, elapsed_s: bar.update(task, description=phase, completed=elapsed_s)


def _check_outcome(record: RunRecord, summary: Summary, bars: bool) -> None:
    if record.failed_processes:
        raise BarFailedError("; ".join(map(_describe_failure, record.failed_processes)))
    if record.interrupted:
        return  # the figures of an interrupted run are not checked against the bars
    missed_bars = [bar for bar in summary.bars if not bar.holds]
    if bars and missed_bars:
        raise BarFailedError("missed: " + "; ".join(bar.name for bar in missed_bars))


def _describe_failure(failure: FailedProcess) -> str:
    text = (
        failure.name
        if failure.exit_code is None
        else f"{failure.name} died with exit code {failure.exit_code}"
    )
    if failure.last_lines:
        text += ", its last log lines:\n  " + "\n  ".join(failure.last_lines)
    return text
