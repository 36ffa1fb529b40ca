"""The `soak` command: seeded faults against real balancers, and each broken rule with its story."""

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

MAX_JOBS = 4  # runs side by side: each has processes of its own
MAX_DESCRIBED_BREACHES = 5  # breaches of a run that are told in full


def describe_result(result: SoakResult) -> Iterator[str]:
    """A line for the run, and lines for what it broke."""
    plan = result.plan
    verdict = f"{len(result.breaches)} BREACHES" if result.breaches else "kept"
    yield (
        f"seed {plan.seed}: {verdict}; {plan.balancer_count} balancers, {result.request_count} requests, "
        f"{result.served_count} served, {result.attempt_count} attempts, "
        f"{result.resent_count} crossed a close, recorder late by {result.max_lag_s * 1000:.0f} ms at most"
    )
    for breach, lines in list(zip(result.breaches, result.timelines, strict=True))[:MAX_DESCRIBED_BREACHES]:
        yield f"  {breach.rule.value}: {breach.subject}: {breach.detail}"
        yield from (f"    {line}" for line in lines)
    if result.breaches:
        yield f"  again: python -m emulator soak --first {plan.seed} --seeds 1 --seconds {plan.seconds:g}"


@click.command(name="soak")
@click.option("--seeds", default=4, show_default=True, type=click.IntRange(1, 10_000), help="Runs.")
@click.option("--first", default=1, show_default=True, type=click.IntRange(0), help="The first seed.")
@click.option("--seconds", default=10.0, show_default=True, type=click.FloatRange(3, 600), help="Of each.")
@click.option("--jobs", default=2, show_default=True, type=click.IntRange(1, MAX_JOBS), help="Side by side.")
@click.option(
    "--logs", type=click.Path(file_okay=False, path_type=Path), help="Keep the balancers' logs here."
)
@click.option("--plant", type=click.Choice([rule.value for rule in Rule]), help="Break this rule on purpose.")
def command(seeds: int, first: int, seconds: float, jobs: int, logs: Path | None, plant: str | None) -> None:
    """Run real balancers under seeded faults and check every rule from the records of clients and servers."""
    with tempfile.TemporaryDirectory(prefix="soak-") as temporary:
        folder = logs or Path(temporary)
        planted = Rule(plant) if plant is not None else None
        broken = 0
        context = multiprocessing.get_context("spawn")
        with ProcessPoolExecutor(jobs, mp_context=context) as pool:
            wanted = range(first, first + seeds)
            runs = [pool.submit(run_seed, seed, seconds, folder / str(seed), planted) for seed in wanted]
            try:
                for run in as_completed(runs):
                    result = run.result()
                    broken += bool(result.breaches)
                    for line in describe_result(result):
                        click.echo(line)
            except ShimBuildError as error:
                raise click.ClickException(str(error)) from None
            finally:  # those that play end by themselves, the others are not begun
                pool.shutdown(wait=False, cancel_futures=True)
    click.echo(f"{seeds - broken} of {seeds} runs kept every rule")
    if broken:
        raise BarFailedError(f"{broken} of {seeds} runs broke a rule")
