"""The soak: a short seeded run keeps every rule, and each rule that is broken on purpose is reported."""

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
SEED = 4  # of the planted runs: with drains, restarts, and starts that conceal matters for
SECONDS = 8.0


@pytest.fixture(scope="module")
def planted(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[Rule, Future[SoakResult]]]:
    """A run for each rule in which it is broken, side by side."""
    folder = tmp_path_factory.mktemp("planted")
    with ProcessPoolExecutor(JOBS, mp_context=multiprocessing.get_context("spawn")) as pool:
        yield {rule: pool.submit(run_seed, SEED, SECONDS, folder / rule.name, rule) for rule in Rule}


@pytest.mark.parametrize("rule", Rule)
def test_a_rule_that_is_broken_on_purpose_is_reported(
    rule: Rule, planted: dict[Rule, Future[SoakResult]]
) -> None:
    result = planted[rule].result()
    assert rule in {breach.rule for breach in result.breaches}
    text = "\n".join(describe_result(result))
    assert f"  {result.breaches[0].rule.value}: " in text and f"soak --first {SEED} --seeds 1" in text


def test_a_short_soak_keeps_every_rule(tmp_path: Path) -> None:
    call = ["soak", "--first", "1", "--seeds", "6", "--seconds", "8", "--jobs", str(JOBS)]
    done = CliRunner().invoke(main, [*call, "--logs", str(tmp_path)])
    assert done.exit_code == 0, done.output
    assert "6 of 6 runs kept every rule" in done.output


def test_a_plan_is_drawn_from_its_seed_alone() -> None:
    assert draw_plan(5, 10.0) == draw_plan(5, 10.0) != draw_plan(6, 10.0)


@pytest.mark.parametrize(("late", "reported"), [(1, False), (2, True)])
def test_more_than_one_final_answer_in_500_after_its_time_is_reported(late: int, reported: bool) -> None:
    run_records = RunRecords()
    for number in range(600):
        ended_at = 1.1 if number < late else 0.5  # the client has gone 0.06 s after its second
        run_records.requests[str(number)] = RequestRecord(
            str(number), 0, Idempotency.SAFE, 1.0, 0, ended_at=ended_at, status=503
        )
    breaches = RuleChecker(run_records, draw_plan(1, 10.0).limits).find_breaches()
    assert [breach.rule for breach in breaches] == [Rule.LOST] * reported


# ---- the proxy ----


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send back the first 8 bytes, and close."""
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
def test_the_proxy_does_to_the_bytes_what_it_is_told(faults: StreamFaults, received: bytes | None) -> None:
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
