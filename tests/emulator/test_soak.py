"""Tests of the soak: short seeded runs keep every rule, and each deliberately broken rule is reported."""

from __future__ import annotations

import asyncio
import multiprocessing
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from pathlib import Path
from random import Random

import pytest
from click.testing import CliRunner

from emulator.cli import main
from emulator.faults.proxy import FaultProxy, StreamFaults
from emulator.soak.command import describe_result
from emulator.soak.plan import draw_plan
from emulator.soak.records import Idempotency, RequestRecord, RunRecords
from emulator.soak.rules import Rule, RuleChecker
from emulator.soak.run import SoakResult, run_seed

JOBS = 3
SEED = 4  # of the runs with a deliberate breach; its plan has restarts, drains and starts of cold servers
SECONDS = 8.0


@pytest.fixture(scope="module")
def runs_with_breach(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[Rule, Future[SoakResult]]]:
    """A run for each rule with a deliberate breach of it, several at a time."""
    folder = tmp_path_factory.mktemp("deliberate-breaches")
    with ProcessPoolExecutor(JOBS, mp_context=multiprocessing.get_context("spawn")) as pool:
        yield {rule: pool.submit(run_seed, SEED, SECONDS, folder / rule.name, rule) for rule in Rule}


@pytest.mark.parametrize("rule", Rule)
def test_deliberate_breach_of_each_rule_is_reported(
    rule: Rule, runs_with_breach: dict[Rule, Future[SoakResult]]
) -> None:
    result = runs_with_breach[rule].result()
    assert rule in {breach.rule for breach in result.breaches}
    text = "\n".join(describe_result(result))
    assert f"  {result.breaches[0].rule.value}: " in text and f"soak --first {SEED} --seeds 1" in text


def test_short_soak_keeps_every_rule(tmp_path: Path) -> None:
    arguments = ["soak", "--first", "1", "--seeds", "6", "--seconds", "8", "--jobs", str(JOBS)]
    result = CliRunner().invoke(main, [*arguments, "--logs", str(tmp_path)])
    assert result.exit_code == 0, result.output
    assert "6 of 6 runs kept every rule" in result.output


def test_plan_depends_on_its_seed_alone() -> None:
    assert draw_plan(5, 10.0) == draw_plan(5, 10.0) != draw_plan(6, 10.0)


@pytest.mark.parametrize(("late_count", "is_reported"), [(1, False), (2, True)])
def test_more_than_one_late_response_in_500_is_reported(late_count: int, is_reported: bool) -> None:
    run_records = RunRecords()
    for index in range(600):
        ended_at = 1.1 if index < late_count else 0.5  # the client waits for 1 s and 0.06 s more
        run_records.requests[str(index)] = RequestRecord(
            str(index), 0, Idempotency.SAFE, 1.0, 0, ended_at=ended_at, status=503
        )
    breaches = RuleChecker(run_records, draw_plan(1, 10.0).limits).find_breaches()
    assert [breach.rule for breach in breaches] == [Rule.LOST] * is_reported


# ---- the proxy ----


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send back the first 8 bytes and close the connection."""
    writer.write(await reader.readexactly(8))
    writer.close()


@pytest.mark.parametrize(
    ("faults", "received"),
    [
        (StreamFaults(), b"abcdefgh"),
        (StreamFaults(split_share=1.0, delay_s=0.001), b"abcdefgh"),
        (StreamFaults(truncate_share=1.0), b"abcd"),
        (StreamFaults(duplicate_share=1.0), b"abcdefghabcdefgh"),
        (StreamFaults(replace_share=1.0, pattern=b"cd", replacement=b"CD"), b"abCDefgh"),
        (StreamFaults(reset_share=1.0), None),
    ],
)
def test_proxy_injects_the_given_faults(faults: StreamFaults, received: bytes | None) -> None:
    async def main() -> bytes | None:
        target = await asyncio.start_server(echo, "127.0.0.1", 0)
        proxy = FaultProxy(target.sockets[0].getsockname(), Random(1), faults_to_client=faults)
        await proxy.listen()
        reader, writer = await asyncio.open_connection(*proxy.address)
        try:
            writer.write(b"abcdefgh")
            return await reader.read()
        except ConnectionResetError:
            return None
        finally:
            writer.transport.abort()
            proxy.stop()
            target.close()

    assert asyncio.run(asyncio.wait_for(main(), 20)) == received
