"""`python -m emulator control`: changes the settings of a whole fleet in service and measures the effect."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from emulator.control import supervisor
from emulator.control.process import ChildFailedError
from emulator.control.results import RunResult, StepResult, missed_bars
from emulator.control.scenario import FULL_SCENARIO_PATH, QUICK_SCENARIO_PATH, Scenario, load_scenario
from emulator.control.supervisor import StepFailedError
from emulator.errors import BarFailedError

EXIT_INTERRUPTED = 130  # of a run that SIGINT or SIGTERM ended


def print_line(result: StepResult | RunResult) -> None:
    """Print one result as a line of JSON."""
    click.echo(msgspec.json.encode(result).decode())


def print_table(result: RunResult, bar_s: float) -> None:
    """Print the results of the whole run as a table for people."""
    table = Table(title=f"Settings in service at {result.balancers} balancers, {result.seconds:.0f} s")
    for column in ("figure", "value", "bar"):
        table.add_column(column, justify="left" if column == "figure" else "right")
    table.add_row("versions accepted / changes rejected", f"{result.versions} / {result.refused}", "")
    table.add_row("until in force, p50", f"{result.p50:.3f} s", "")
    table.add_row("until in force, p99", f"{result.p99:.3f} s", "")
    table.add_row("until in force, maximum", f"{result.most:.3f} s", f"{bar_s:g} s")
    table.add_row("older versions served", str(result.backwards), "0")
    table.add_row("balancer starts", str(result.starts), "")
    table.add_row("requests", str(result.requests), "")
    table.add_row("requests refused or failed", str(result.failed), "0")
    table.add_row("requests lost", str(result.lost), "0")
    table.add_row("unsafe requests repeated", str(result.repeated), "0")
    table.add_row("bytes per balancer and second", f"{result.bytes_per_s:.0f}", "")
    table.add_row("processor time per balancer", f"{result.cpu_share:.3%} of a core", "")
    Console(stderr=True).print(table)


async def _run(scenario: Scenario) -> RunResult:
    """Run the scenario; SIGINT and SIGTERM cancel it, after which it ends all its child processes."""
    task = asyncio.ensure_future(supervisor.run(scenario, print_line))
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, task.cancel)
    return await task


@click.command(name="control")
@click.argument("scenario", type=click.Path(path_type=Path), required=False)
@click.option("--quick", is_flag=True, help="Run the same steps in less than a minute.")
def command(scenario: Path | None, quick: bool) -> None:
    """Change the settings of a whole fleet in service, with failed control machines and a network split.

    SCENARIO is a TOML file; the default is the scenario that comes with the emulator.
    """
    loaded_scenario = load_scenario(scenario or (QUICK_SCENARIO_PATH if quick else FULL_SCENARIO_PATH))
    try:
        result = asyncio.run(_run(loaded_scenario))
    except asyncio.CancelledError:
        raise click.exceptions.Exit(EXIT_INTERRUPTED) from None
    except (ChildFailedError, StepFailedError, TimeoutError) as exc:
        raise BarFailedError(f"the run failed: {exc or 'a process did not respond in time'}") from None
    print_line(result)
    print_table(result, loaded_scenario.bar_s)
    missed = missed_bars(result, loaded_scenario.bar_s)
    if missed:
        raise BarFailedError("; ".join(missed))
