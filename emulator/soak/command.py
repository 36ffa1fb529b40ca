"""The `soak` command: runs real balancers under seeded faults and reports every broken rule."""

from __future__ import annotations

import multiprocessing
import tempfile
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

import click

from emulator.errors import BarFailedError
from emulator.faults.shim import ShimBuildError
from emulator.soak.rules import Rule
from emulator.soak.run import SoakResult, run_seed

MAX_JOBS = 4  # parallel runs, each with several processes
MAX_DESCRIBED_BREACHES = 5  # of a run


def describe_result(result: SoakResult) -> Iterator[str]:
    """Yield a line about the run, then lines about its breaches and the command that repeats it."""
    plan = result.plan
    verdict = f"{len(result.breaches)} BREACHES" if result.breaches else "kept"
    yield (
        f"seed {plan.seed}: {verdict}; {plan.balancer_count} balancers, {result.request_count} requests, "
        f"{result.served_count} served, {result.attempt_count} attempts, "
        f"{result.resent_count} sent again after a close, "
        f"recording process late by at most {result.max_lag_s * 1000:.0f} ms"
    )
    for breach, lines in list(zip(result.breaches, result.timelines, strict=True))[:MAX_DESCRIBED_BREACHES]:
        yield f"  {breach.rule.value}: {breach.subject}: {breach.detail}"
        yield from (f"    {line}" for line in lines)
    if result.breaches:
        yield f"  repeat: python -m emulator soak --first {plan.seed} --seeds 1 --seconds {plan.seconds:g}"


@click.command(name="soak")
@click.option("--seeds", default=4, show_default=True, type=click.IntRange(1, 10_000), help="Number of runs.")
@click.option("--first", default=1, show_default=True, type=click.IntRange(0), help="Seed of the first run.")
@click.option(
    "--seconds", default=10.0, show_default=True, type=click.FloatRange(3, 600), help="Length of a run."
)
@click.option("--jobs", default=2, show_default=True, type=click.IntRange(1, MAX_JOBS), help="Parallel runs.")
@click.option(
    "--logs", type=click.Path(file_okay=False, path_type=Path), help="Keep the logs of the balancers here."
)
@click.option(
    "--plant", type=click.Choice([rule.value for rule in Rule]), help="Break this rule deliberately."
)
def command(seeds: int, first: int, seconds: float, jobs: int, logs: Path | None, plant: str | None) -> None:
    """Run real balancers under seeded faults; check the rules against the records of clients and servers."""
    with tempfile.TemporaryDirectory(prefix="soak-") as temporary_folder:
        folder = logs or Path(temporary_folder)
        broken_rule = Rule(plant) if plant is not None else None
        failed_run_count = 0
        context = multiprocessing.get_context("spawn")
        with ProcessPoolExecutor(jobs, mp_context=context) as pool:
            all_seeds = range(first, first + seeds)
            runs = [
                pool.submit(run_seed, seed, seconds, folder / str(seed), broken_rule) for seed in all_seeds
            ]
            try:
                for run in as_completed(runs):
                    result = run.result()
                    failed_run_count += bool(result.breaches)
                    for line in describe_result(result):
                        click.echo(line)
            except ShimBuildError as error:
                raise click.ClickException(str(error)) from None
            finally:  # runs in progress end by themselves, the others are not started
                pool.shutdown(wait=False, cancel_futures=True)
    click.echo(f"{seeds - failed_run_count} of {seeds} runs kept every rule")
    if failed_run_count:
        raise BarFailedError(f"{failed_run_count} of {seeds} runs broke a rule")
