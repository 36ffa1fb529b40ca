"""The control scenario: its file, its measures and bars, and a small run of all its processes."""

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

S = 1_000_000_000
COMMAND = [sys.executable, "-m", "emulator", "control"]

SMALL = """
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


def test_all_steps_hold_every_bar_at_nine_balancers(tmp_path: Path) -> None:
    path = tmp_path / "small.toml"
    path.write_text(SMALL)
    done = subprocess.run([*COMMAND, str(path)], capture_output=True, text=True, timeout=120)
    lines = [json.loads(line) for line in done.stdout.splitlines()]
    assert done.returncode == 0, (done.stderr, lines)
    assert [line["type"] for line in lines].count("change") == 4
    told = [line["line"] for line in lines if line["type"] == "refused"]
    assert told[:2] == ["turned down: 1 of 3 control machines answered, 2 are needed"] * 2
    assert all("settings.services[2].deadlineNs is 'soon'" in line for line in told[2:]) and len(told) == 4
    run = lines[-1]
    assert (run["versions"], run["starts"], run["samples"]) == (4, 9 + 3 + 9, 4 * 9)


def test_an_interrupt_ends_all_processes(tmp_path: Path) -> None:
    path = tmp_path / "small.toml"
    path.write_text(SMALL.replace("steps = [", 'steps = [{do = "change", count = 1000, every_s = 0.01},'))
    with subprocess.Popen([*COMMAND, str(path)], stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None and '"change"' in process.stdout.readline()
        children = psutil.Process(process.pid).children(recursive=True)
        assert len(children) >= 3 + 1 + 1 + 1 + 1 + 2
        process.send_signal(signal.SIGINT)
        process.stdout.read()
        assert process.wait() == 130
    assert not [child for child in children if child.is_running()]


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("balancers = 0\nsteps = []", "balancers"),
        ("steps = [{do = 'dance'}]", "steps.0"),
        ("steps = [{do = 'lose', machines = [7]}]", "steps[0] names a machine"),
        ("steps = []\nunknown = 1", "unknown"),
        ("steps = [", "cannot read"),
        ("balancers = 4\nreal_balancers = 4\nsteps = []", "there are no hollow ones"),
    ],
)
def test_a_bad_scenario_is_one_line_and_exit_2(text: str, told: str, tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(text)
    result = CliRunner().invoke(command_line, ["control", str(path)])
    assert result.exit_code == 2 and told in result.output and result.output.count("\n") == 1


def test_the_scenarios_that_come_with_it_are_sound_and_of_the_same_story() -> None:
    full, quick = load_scenario(FULL_SCENARIO_PATH), load_scenario(QUICK_SCENARIO_PATH)
    assert [step.do for step in full.steps] == [step.do for step in quick.steps]
    assert full.balancers == quick.balancers == 420
    assert full.real_balancers == quick.real_balancers == 8
    hollow = [n for process in range(3) for n in full.hollow_balancer_indexes(process)]
    assert (
        sorted(full.real_balancer_indexes() + hollow)
        == sorted(sum(full.balancers_by_region(), []))
        == list(range(420))
    )


# ---- measures ----


def make_measures(balancers: int = 3) -> Measures:
    measures = Measures(balancers)
    measures.published_at_ns = {1: 10 * S, 2: 20 * S}
    return measures


def test_a_delay_counts_from_acceptance_and_a_newer_version_counts_for_an_older_one() -> None:
    measures = make_measures()
    measures.on_in_force(InForce(0, 1, 11 * S))
    measures.on_in_force(InForce(1, 2, 22 * S))
    delay, missing = measures.version_delay(1)
    assert (delay.sample_count, missing) == (2, [2])
    assert 0.99 <= delay.p50_s <= 1.01 and 11.9 <= delay.max_s <= 12.1
    assert measures.version_delay(2)[1] == [0, 2]


def test_a_delay_counts_from_when_the_balancer_could_hear_again() -> None:
    measures = make_measures(1)
    measures.reachable_since_ns[0] += [
        15 * S,
        40 * S,
    ]  # the end of a split; a restart after the version was in force
    measures.on_in_force(InForce(0, 1, 16 * S))
    assert 0.99 <= measures.version_delay(1)[0].max_s <= 1.01


def test_an_older_version_in_force_or_at_a_start_is_counted() -> None:
    measures = make_measures()
    for report in (InForce(0, 2, 21 * S), InForce(0, 1, 22 * S), InForce(1, 1, 22 * S)):
        measures.on_in_force(report)
    measures.on_started(Started(0, 1, 30 * S))
    measures.on_started(Started(1, 1, 30 * S))
    assert measures.version_regressions == [InForce(0, 1, 22 * S), Started(0, 1, 30 * S)]


def test_a_bad_version_is_one_line_in_each_life_of_a_balancer() -> None:
    measures = make_measures()
    measures.on_rejected(TurnedDown(0, 3, "bad"))
    measures.on_restarting([0])
    measures.on_rejected(TurnedDown(0, 3, "bad"))
    assert measures.repeated_rejection_count == 0
    measures.on_rejected(TurnedDown(0, 3, "bad"))
    assert measures.repeated_rejection_count == 1


SOUND = RunResult(420, 60.0, 10, 5, 4200, 0.1, 0.2, 0.3, 0, 900, 0, 5000, 0, 0, 0, 3, 900.0, 0.0005, [])


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
def test_each_bar_fails_the_run(change: dict[str, object]) -> None:
    assert missed_bars(SOUND, 4.0) == []
    assert len(missed_bars(msgspec.structs.replace(SOUND, **change), 4.0)) == 1


# ---- control machines as processes ----

PUBLISH_TRIES = 10  # on a busy machine
FAULT_POINTS = 12  # of a machine that proposes one change: four for each of its three records


class Machines:
    """Three control machines as processes, the first of which is killed between its writes."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.addresses = AddressPlan(*find_free_ports(3))
        self.children: dict[int, ChildProcess] = {}

    async def start(self, index: int, crash_after: int = 0) -> None:
        path = str(self.folder / f"log{index}")
        config = MachineConfig(index, 3, self.addresses, path, seed=1, crash_after=crash_after)
        self.children[index] = ChildProcess("emulator.control.machine", config, lambda _: None)
        await self.children[index].start()

    async def ask(self, index: int, path: str, body: bytes | None = None) -> bytes:
        address = self.addresses.machine_address(index)
        caller = HttpClient(asyncio.get_running_loop(), (address.host, address.port), 1 << 20)
        try:
            return (await caller.call(path, 10.0, body)).body
        finally:
            caller.close()

    async def publish(self, index: int, change_id: str) -> int:
        """The version; a change that found no majority in time is sent again under its id."""
        body = msgspec.json.encode(PublishRequest(change_id, {**base_settings(), "label": change_id}))
        for _ in range(PUBLISH_TRIES):
            answer = await self.ask(index, "/v1/settings", body)
            reply: PublishReply = msgspec.json.decode(answer, type=PublishReply)
            if reply.version:
                return reply.version
        raise AssertionError(reply.error)

    async def history(self, index: int, versions: int) -> list[str]:
        """Which change each version is at this machine, once it has them all."""
        await self.ask(index, f"/v1/settings?from={versions - 1}&hold_ms=10000")
        documents = [await self.ask(index, f"/v1/settings?before={v + 1}") for v in range(1, versions + 1)]
        return [json.loads(document)["settings"]["label"] for document in documents]


def test_a_machine_killed_between_any_two_writes_loses_no_accepted_version(tmp_path: Path) -> None:
    async def main() -> None:
        machines = Machines(tmp_path)
        accepted: list[str] = []
        try:
            await asyncio.gather(*(machines.start(n) for n in (1, 2)))
            for point in range(1, FAULT_POINTS + 1):
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
            histories = [await machines.history(n, len(accepted)) for n in range(3)]
            assert histories[0] == histories[1] == histories[2] == accepted
            # What one majority accepted is known to each other one, by the log of a machine in both.
            await machines.children[1].kill()
            assert await machines.publish(2, "last") == len(accepted) + 1
            await asyncio.gather(*(machines.children[n].kill() for n in (0, 2)))
            await asyncio.gather(*(machines.start(n) for n in (0, 1)))
            assert await machines.publish(1, "after") == len(accepted) + 2
            assert (await machines.history(1, len(accepted) + 2))[-2:] == ["last", "after"]
        finally:
            await asyncio.gather(*(child.stop() for child in machines.children.values()))

    asyncio.run(asyncio.wait_for(main(), 60))
