"""Runs of small fleets by the command `fleet`, as processes on loopback."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil
import pytest
from click.testing import CliRunner

from emulator.cli import main
from emulator.fleet.measures import REQUEST_OUTCOMES
from emulator.fleet.run_record import RunRecord
from emulator.fleet.scenario import load_scenario
from tests.emulator.fleet_fakes import write_scenario

REPOSITORY = Path(__file__).resolve().parents[2]
TIMEOUT_S = 60.0
PLOTS = ("change_in_force.png", "cost_by_role.png", "latency.png", "requests_by_end.png")
RESTART = '[[events]]\nkind = "restart_all_balancers"\nat_s = 1.2\ndown_s = 0.3\n'


def fleet_command(*arguments: str) -> list[str]:
    return [sys.executable, "-m", "emulator", "fleet", *arguments]


@dataclass
class Run:
    """A run that has ended."""

    folder: Path
    exit_code: int
    output: str
    errors: str
    children: list[psutil.Process]  # running before `disturb` was called

    def summary(self) -> dict[str, Any]:
        values: dict[str, Any] = json.loads((self.folder / "summary.json").read_text())
        return values

    def lines(self, name: str) -> list[dict[str, Any]]:
        return [json.loads(line) for line in (self.folder / name).read_text().splitlines()]


def run_fleet(scenario: Path, folder: Path, disturb: Callable[[psutil.Process], None]) -> Run:
    """Run a scenario; `disturb` is called with the command's process after the first measures."""
    process = subprocess.Popen(
        fleet_command(str(scenario), "--out", str(folder), "--no-bars"),
        cwd=REPOSITORY,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        command, measures = psutil.Process(process.pid), folder / "measures.jsonl"
        give_up_at = time.monotonic() + TIMEOUT_S
        while not (measures.exists() and measures.stat().st_size) and process.poll() is None:
            assert time.monotonic() < give_up_at
            time.sleep(0.05)
        children = command.children(recursive=True) if process.poll() is None else []
        disturb(command)
        output, errors = process.communicate(timeout=TIMEOUT_S)
    finally:
        process.kill()
    return Run(folder, process.returncode, output, errors, children)


def assert_nothing_left(run: Run) -> None:
    assert run.children
    _, alive = psutil.wait_procs(run.children, timeout=1)
    assert not alive


def assert_files_complete(run: Run) -> None:
    assert all((run.folder / name).stat().st_size for name in PLOTS)
    assert {line["kind"] for line in run.lines("measures.jsonl")} >= {
        "hollow",
        "clients",
        "process",
        "discovery",
    }
    assert run.lines("events.jsonl")
    assert run.summary()["roles"].keys() >= {"balancer", "hollow", "discovery", "photo_servers", "supervisor"}


@pytest.fixture(scope="module")
def complete_run(tmp_path_factory: pytest.TempPathFactory) -> Run:
    folder = tmp_path_factory.mktemp("whole")
    scenario = write_scenario(folder, duration_s=3.0, events=RESTART)
    return run_fleet(scenario, folder / "out", lambda command: None)


def test_complete_run_writes_all_files_and_leaves_no_process(complete_run: Run) -> None:
    assert complete_run.exit_code == 0, complete_run.errors
    assert_nothing_left(complete_run)
    assert_files_complete(complete_run)
    summary = complete_run.summary()
    assert summary["elapsed_s"] == summary["planned_s"] == 3.0
    assert not summary["dead"] and not summary["interrupted"] and not summary["unsound_answers"]


def test_summary_has_figures_of_requests_changes_and_restarts(complete_run: Run) -> None:
    summary = complete_run.summary()
    assert summary["change"]["acknowledged"] and 0 < summary["change"]["p50_s"] <= summary["change"]["max_s"]
    assert (summary["hollow_ready"]["starts"], summary["real_ready"]["starts"]) == (3, 1)
    for name in ("hollow", "real"):
        figures = summary[name]
        assert set(figures["ended"]) == set(REQUEST_OUTCOMES)
        assert figures["ended"]["in_time"] and figures["added"]["count"] and figures["lag"]["count"]
    assert summary["servers"]["pushed_over"] == 0


def test_output_is_plain_lines_without_a_terminal(complete_run: Run) -> None:
    assert "change in force: p50 " in complete_run.output
    assert "bar: processes that died: 0 processes, at most 0: holds" in complete_run.output
    assert "\x1b" not in complete_run.output + complete_run.errors


def test_equal_seeds_give_equal_events(complete_run: Run, tmp_path: Path) -> None:
    recorded_events = (complete_run.folder / "events.jsonl").read_bytes()
    scenario = load_scenario(complete_run.folder / "scenario.toml")
    for seed in (1, 2):
        record = RunRecord(scenario, seed, tmp_path, elapsed_s=scenario.duration_s)
        record.write_events()
        assert ((tmp_path / "events.jsonl").read_bytes() == recorded_events) is (seed == 1)


def test_interrupted_run_writes_all_files_and_leaves_no_process(tmp_path: Path) -> None:
    scenario = write_scenario(tmp_path, duration_s=60.0)
    run = run_fleet(scenario, tmp_path / "out", lambda command: command.send_signal(signal.SIGINT))
    assert run.exit_code == 0, run.errors
    assert_nothing_left(run)
    assert_files_complete(run)
    assert run.summary()["interrupted"] and run.summary()["elapsed_s"] < 30


def kill_real_balancer(command: psutil.Process) -> None:
    balancers = [child for child in command.children() if "dykeshift.node" in child.cmdline()]
    balancers[0].kill()


def test_failed_child_is_reported_with_its_last_log_lines(tmp_path: Path) -> None:
    scenario = write_scenario(tmp_path, duration_s=60.0, balancers=1)
    run = run_fleet(scenario, tmp_path / "out", kill_real_balancer)
    assert run.exit_code == 1
    assert "balancer 0 died with exit code -9, its last log lines:\n  " in run.errors
    assert "dykeshift.node.d" in run.errors, "the lines are those of the balancer"
    assert run.summary()["dead"] == ["balancer 0"]
    assert_nothing_left(run)


@pytest.mark.parametrize(
    "arguments",
    [
        ("missing.toml",),
        ("broken.toml",),
        ("small.toml", "--seed", "x"),
        ("small.toml", "--unknown"),
        ("small.toml", "--out", "occupied"),
        (),
    ],
)
def test_invalid_call_is_reported_in_one_line_and_starts_nothing(
    arguments: tuple[str, ...], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    write_scenario(tmp_path)
    (tmp_path / "broken.toml").write_text("name = ")
    (tmp_path / "occupied").mkdir()
    (tmp_path / "occupied" / "file").write_text("kept")
    before = sorted(tmp_path.rglob("*"))
    monkeypatch.chdir(tmp_path)
    result = CliRunner().invoke(main, ["fleet", *arguments])
    assert result.exit_code == 2
    assert result.stdout == "" and len(result.stderr.splitlines()) == 1
    assert sorted(tmp_path.rglob("*")) == before
    assert not psutil.Process().children()
