"""The control scenario: its file, its measurements and bars, and a small run with all processes."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import psutil
import pytest
from click.testing import CliRunner

from dykeshift.node.call import HttpClient
from emulator.cli import main as command_line
from emulator.control.contract import InForce, MachineConfig, Started, TurnedDown
from emulator.control.contract import AddressPlan
from emulator.control.machine import CRASH_EXIT_CODE, PublishReply, PublishRequest
from emulator.control.measures import Measures
from emulator.control.process import ChildProcess
from emulator.control.results import RunResult, missed_bars
from emulator.control.scenario import FULL_SCENARIO_PATH, QUICK_SCENARIO_PATH, base_settings, load_scenario
from emulator.free_ports import find_free_ports

NS_PER_S = 1_000_000_000
COMMAND = [sys.executable, "-m", "emulator", "control"]

SMALL_SCENARIO = """
balancers = 9
real_balancers = 1
hollow_processes = 2
hollow_requests_per_s = 4.0
steps = [
    {do = "change", count = 2, every_s = 0.1},
    {do = "lose", machines = [1, 2]},
    {do = "refused", machine = 0},
    {do = "restart", count = 3},
    {do = "recover", machines = [1, 2]},
    {do = "split", region = 2},
    {do = "refused", machine = 2},
    {do = "change", machines = [1], every_s = 0.1},
    {do = "heal"},
    {do = "bad"},
    {do = "bad_unchecked"},
    {do = "restart"},
    {do = "change", machines = [2], every_s = 0.1},
]
"""


def test_all_steps_with_nine_balancers_hold_every_bar(tmp_path: Path) -> None:
    path = tmp_path / "small.toml"
    path.write_text(SMALL_SCENARIO)
    completed = subprocess.run([*COMMAND, str(path)], capture_output=True, text=True, timeout=120)
    lines = [json.loads(line) for line in completed.stdout.splitlines()]
    assert completed.returncode == 0, (completed.stderr, lines)
    assert [line["type"] for line in lines].count("change") == 4
    rejections = [line["line"] for line in lines if line["type"] == "refused"]
    assert rejections[:2] == ["turned down: 1 of 3 control machines answered, 2 are needed"] * 2
    assert (
        all("settings.services[2].deadlineNs is 'soon'" in line for line in rejections[2:])
        and len(rejections) == 4
    )
    run = lines[-1]
    assert (run["versions"], run["starts"], run["samples"]) == (4, 9 + 3 + 9, 4 * 9)


def test_interrupt_ends_all_processes(tmp_path: Path) -> None:
    path = tmp_path / "small.toml"
    path.write_text(
        SMALL_SCENARIO.replace("steps = [", 'steps = [{do = "change", count = 1000, every_s = 0.01},')
    )
    with subprocess.Popen([*COMMAND, str(path)], stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None and '"change"' in process.stdout.readline()
        children = psutil.Process(process.pid).children(recursive=True)
        assert len(children) >= 3 + 1 + 1 + 1 + 1 + 2
        process.send_signal(signal.SIGINT)
        process.stdout.read()
        assert process.wait() == 130
    assert not [child for child in children if child.is_running()]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("balancers = 0\nsteps = []", "balancers"),
        ("steps = [{do = 'dance'}]", "steps.0"),
        ("steps = [{do = 'lose', machines = [7]}]", "steps[0] names a machine"),
        ("steps = []\nunknown = 1", "unknown"),
        ("steps = [", "cannot read"),
        ("balancers = 4\nreal_balancers = 4\nsteps = []", "there are no hollow ones"),
    ],
)
def test_invalid_scenario_gives_one_line_and_exit_code_2(text: str, expected: str, tmp_path: Path) -> None:
    path = tmp_path / "invalid.toml"
    path.write_text(text)
    result = CliRunner().invoke(command_line, ["control", str(path)])
    assert result.exit_code == 2 and expected in result.output and result.output.count("\n") == 1


def test_included_scenarios_are_valid_and_have_the_same_steps() -> None:
    full, quick = load_scenario(FULL_SCENARIO_PATH), load_scenario(QUICK_SCENARIO_PATH)
    assert [step.do for step in full.steps] == [step.do for step in quick.steps]
    assert full.balancers == quick.balancers == 420
    assert full.real_balancers == quick.real_balancers == 8
    hollow_indexes = [n for process in range(3) for n in full.hollow_balancer_indexes(process)]
    assert (
        sorted(full.real_balancer_indexes() + hollow_indexes)
        == sorted(sum(full.balancers_by_region(), []))
        == list(range(420))
    )


# ---- measurements ----


def create_measures(balancer_count: int = 3) -> Measures:
    measures = Measures(balancer_count)
    measures.published_at_ns = {1: 10 * NS_PER_S, 2: 20 * NS_PER_S}
    return measures


def test_delay_starts_at_publishing_and_ends_with_this_version_or_a_newer_one() -> None:
    measures = create_measures()
    measures.on_in_force(InForce(0, 1, 11 * NS_PER_S))
    measures.on_in_force(InForce(1, 2, 22 * NS_PER_S))
    delay, missing = measures.version_delay(1)
    assert (delay.sample_count, missing) == (2, [2])
    assert 0.99 <= delay.p50_s <= 1.01 and 11.9 <= delay.max_s <= 12.1
    assert measures.version_delay(2)[1] == [0, 2]


def test_delay_starts_when_the_balancer_is_reachable_again() -> None:
    measures = create_measures(1)
    measures.reachable_since_ns[0] += [
        15 * NS_PER_S,  # the end of a split
        40 * NS_PER_S,  # a restart after the version was in force
    ]
    measures.on_in_force(InForce(0, 1, 16 * NS_PER_S))
    assert 0.99 <= measures.version_delay(1)[0].max_s <= 1.01


def test_regression_to_an_older_version_is_counted_in_service_and_at_a_start() -> None:
    measures = create_measures()
    for report in (InForce(0, 2, 21 * NS_PER_S), InForce(0, 1, 22 * NS_PER_S), InForce(1, 1, 22 * NS_PER_S)):
        measures.on_in_force(report)
    measures.on_started(Started(0, 1, 30 * NS_PER_S))
    measures.on_started(Started(1, 1, 30 * NS_PER_S))
    assert measures.version_regressions == [InForce(0, 1, 22 * NS_PER_S), Started(0, 1, 30 * NS_PER_S)]


def test_repeated_rejection_is_counted_within_one_incarnation_of_a_balancer() -> None:
    measures = create_measures()
    measures.on_rejected(TurnedDown(0, 3, "bad"))
    measures.on_restarting([0])
    measures.on_rejected(TurnedDown(0, 3, "bad"))
    assert measures.repeated_rejection_count == 0
    measures.on_rejected(TurnedDown(0, 3, "bad"))
    assert measures.repeated_rejection_count == 1


PASSING_RESULT = RunResult(
    420, 60.0, 10, 5, 4200, 0.1, 0.2, 0.3, 0, 900, 0, 5000, 0, 0, 0, 3, 900.0, 0.0005, []
)


@pytest.mark.parametrize(
    "change",
    [
        {"most": 4.01},
        {"samples": 0},
        {"backwards": 1},
        {"repeated_lines": 1},
        {"failed": 1},
        {"lost": 1},
        {"repeated": 1},
        {"problems": ["a version is missing"]},
    ],
)
def test_each_missed_bar_fails_the_run(change: dict[str, object]) -> None:
    assert missed_bars(PASSING_RESULT, 4.0) == []
    assert len(missed_bars(msgspec.structs.replace(PASSING_RESULT, **change), 4.0)) == 1


# ---- control machines as processes ----

MAX_PUBLISH_ATTEMPTS = 10  # a change may find no majority in time if the test machine is busy
FAULT_POINT_COUNT = 12  # of a machine that proposes one change: four for each of its three records


class MachineProcesses:
    """Three control machines as processes; `crash_after` ends one at a fault point of its log."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.addresses = AddressPlan(*find_free_ports(3))
        self.children: dict[int, ChildProcess] = {}

    async def start(self, index: int, crash_after: int = 0) -> None:
        path = str(self.folder / f"log{index}")
        config = MachineConfig(index, 3, self.addresses, path, seed=1, crash_after=crash_after)
        self.children[index] = ChildProcess("emulator.control.machine", config, lambda _: None)
        await self.children[index].start()

    async def call(self, index: int, path: str, body: bytes | None = None) -> bytes:
        address = self.addresses.machine_address(index)
        client = HttpClient(asyncio.get_running_loop(), (address.host, address.port), 1 << 20)
        try:
            return (await client.call(path, 10.0, body)).body
        finally:
            client.close()

    async def publish(self, index: int, change_id: str) -> int:
        """Return the version; a change that found no majority in time is sent again with the same ID."""
        body = msgspec.json.encode(PublishRequest(change_id, {**base_settings(), "label": change_id}))
        for _ in range(MAX_PUBLISH_ATTEMPTS):
            response = await self.call(index, "/v1/settings", body)
            reply: PublishReply = msgspec.json.decode(response, type=PublishReply)
            if reply.version:
                return reply.version
        raise AssertionError(reply.error)

    async def change_ids(self, index: int, version_count: int) -> list[str]:
        """Return the ID of the change of each version at this machine, once it has all versions."""
        await self.call(index, f"/v1/settings?from={version_count - 1}&hold_ms=10000")
        documents = [
            await self.call(index, f"/v1/settings?before={v + 1}") for v in range(1, version_count + 1)
        ]
        return [json.loads(document)["settings"]["label"] for document in documents]


def test_machine_process_that_crashes_at_any_fault_point_loses_no_accepted_version(tmp_path: Path) -> None:
    """The process ends before, within or after a write, or after a sync, while it publishes a change."""

    async def main() -> None:
        machines = MachineProcesses(tmp_path)
        accepted: list[str] = []
        try:
            await asyncio.gather(*(machines.start(n) for n in (1, 2)))
            for point in range(1, FAULT_POINT_COUNT + 1):
                await machines.start(0, crash_after=point)
                with pytest.raises(OSError):
                    await machines.publish(0, f"killed{point}")
                process = machines.children[0].process
                assert process is not None and await process.wait() == CRASH_EXIT_CODE
                for change_id in (f"other{point}", f"killed{point}"):
                    version = await machines.publish(1 + point % 2, change_id)
                    accepted += [""] * (version - len(accepted))
                    accepted[version - 1] = change_id
            await machines.start(0)
            sequences = [await machines.change_ids(n, len(accepted)) for n in range(3)]
            assert sequences[0] == sequences[1] == sequences[2] == accepted
            # Any two majorities share a machine, so that what one has accepted is in a log of the other.
            await machines.children[1].kill()
            assert await machines.publish(2, "last") == len(accepted) + 1
            await asyncio.gather(*(machines.children[n].kill() for n in (0, 2)))
            await asyncio.gather(*(machines.start(n) for n in (0, 1)))
            assert await machines.publish(1, "after") == len(accepted) + 2
            assert (await machines.change_ids(1, len(accepted) + 2))[-2:] == ["last", "after"]
        finally:
            await asyncio.gather(*(child.stop() for child in machines.children.values()))

    asyncio.run(asyncio.wait_for(main(), 60))
