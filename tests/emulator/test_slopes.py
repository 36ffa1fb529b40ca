"""The command `slopes`: fits, counts, bars, invalid arguments and interrupts."""

from __future__ import annotations

import gc
import json
import os
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import msgspec
import numpy as np
import psutil
import pytest
from click.testing import CliRunner

from emulator.cli import main
from emulator.deployment import DEPLOY_FILE, DEPLOYED_PYTHON, balancer_command
from emulator.slopes import command as command_module
from emulator.slopes import discovery_role, module_role, server_role
from emulator.slopes import run as run_module
from emulator.slopes.bars import BARS, Bar, evaluate_bar
from emulator.slopes.counting import count_executed_lines, measure_reachable
from emulator.slopes.fit import fit_exponent, fit_slope
from emulator.slopes.plots import save_plots
from emulator.slopes.report import ROWS_FILE, Row
from emulator.slopes.roles import QUICK_BUDGET, Figure, MeasurementBudget
from emulator.slopes.run import MeasurementPlan, MeasurementRun
from emulator.slopes.sizes import BASE, TARGET, Axis, Scale, axis_points
from emulator.slopes.timing import min_cpu_time_ns

TINY = msgspec.structs.replace(BASE, servers=20, tenants=5, services=3, balancers=2)
BRIEF_BUDGET = msgspec.structs.replace(QUICK_BUDGET, block_seconds=0.0)
TIME_UNITS = ("ms", "us")  # units of the measures that differ from run to run


def without_times(figures: list[Figure]) -> list[Figure]:
    return [figure for figure in figures if figure.unit not in TIME_UNITS]


def test_fit_recovers_known_slopes() -> None:
    x = [1.0, 2.0, 4.0, 8.0, 16.0]
    line = fit_slope(x, [3.0 + 2.0 * value for value in x])
    assert line is not None and line.error is not None
    assert line.value == pytest.approx(2.0) and line.error == pytest.approx(0.0, abs=1e-9)
    power = fit_exponent(x, [5.0 * value**1.5 for value in x])
    assert power is not None and power.value == pytest.approx(1.5)


def test_fit_gives_the_same_standard_error_as_numpy() -> None:
    x, y = [1.0, 2.0, 3.0, 4.0, 5.0], [1.1, 1.9, 3.2, 3.7, 5.4]
    coefficients, covariance = np.polyfit(x, y, 1, cov=True)
    slope = fit_slope(x, y)
    assert slope is not None and slope.value == pytest.approx(coefficients[0])
    assert slope.error == pytest.approx(covariance[0, 0] ** 0.5)


def test_fit_gives_no_result_for_too_few_or_unsuitable_points() -> None:
    assert fit_slope([3.0], [1.0]) is None
    assert fit_slope([3.0, 3.0], [1.0, 2.0]) is None
    assert fit_exponent([1.0, 2.0], [0.0, 2.0]) is None
    slope_of_two_points = fit_slope([1.0, 2.0], [1.0, 3.0])
    assert slope_of_two_points is not None and slope_of_two_points.error is None


def test_all_axes_have_at_least_five_sizes_up_to_the_target() -> None:
    for axis in Axis:
        points = axis_points(axis)
        assert len(points) >= 5 and len(axis_points(axis, quick=True)) == 3
        largest = points[-1].scale
        assert largest == TARGET if axis is Axis.FLEET else points[-1].size == getattr(TARGET, axis.value)


def test_line_counts_leave_out_other_code_and_restore_the_tracer() -> None:
    tracer = sys.gettrace()
    assert count_executed_lines(lambda: sum(range(5))) == 0
    assert sys.gettrace() is tracer


def test_min_cpu_time_leaves_out_the_setup_and_enables_garbage_collection_again() -> None:
    cpu_time_ns = min_cpu_time_ns(lambda _: None, lambda: sum(range(1_000_000)), seconds=0.0)
    assert 0 < cpu_time_ns < 1_000_000  # the setup takes several times as long
    assert gc.isenabled()


def test_reachable_objects_are_counted_once() -> None:
    shared = [1000, 2000]
    assert measure_reachable([shared, shared]).objects == 4
    assert measure_reachable([shared, [1000, 3000]]).objects > 4


@pytest.mark.parametrize("role", [module_role, discovery_role, server_role], ids=lambda r: r.ROLE.name)
def test_counts_are_the_same_in_two_runs_with_one_seed(role: object) -> None:
    """Tests can check the growth of counts on any machine only if counts do not differ between runs."""
    measure = role.ROLE.measure  # type: ignore[attr-defined]
    first, second = measure(TINY, BRIEF_BUDGET, 7), measure(TINY, BRIEF_BUDGET, 7)
    assert without_times(first) == without_times(second)
    assert len(without_times(first)) >= 4 and all(figure.value > 0 for figure in first)


def run_command(*arguments: str) -> tuple[int, str, str]:
    result = CliRunner().invoke(main, ["slopes", *arguments])
    return result.exit_code, result.stdout, result.stderr


@pytest.mark.parametrize(
    ("arguments", "expected_text"),
    [
        (("--role", "nonsense"), "nonsense"),
        (("--axis", "nonsense"), "nonsense"),
        (("--seed", "nonsense"), "nonsense"),
        (("--nonsense",), "nonsense"),
        (("--role", "first-list", "--axis", "tenants", "--no-bars"), "axes"),
        (("--out", "/dev/null/folder"), "/dev/null/folder"),
    ],
)
def test_invalid_arguments_give_one_error_line_and_measure_nothing(
    arguments: tuple[str, ...], expected_text: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(MeasurementRun, "measure", lambda *_: pytest.fail("something was measured"))
    code, out, err = run_command(*arguments)
    assert (code, out) == (2, "")
    assert expected_text in err and err.count("\n") == 1


def fake_first_list_role(monkeypatch: pytest.MonkeyPatch, target_value: float, plots: bool = False) -> None:
    """Replace the role first-list: its value grows with the servers, to `target_value` at the target."""
    if not plots:  # each plot takes half a second
        monkeypatch.setattr(command_module, "_save_plots", lambda *_: None)

    def measure(scale: Scale, _: MeasurementBudget, __: int) -> list[Figure]:
        return [Figure("first list, longest wait for /ready", "ms", target_value * scale.servers / 6_400)]

    role = msgspec.structs.replace(run_module.ROLES["first-list"], measure=measure)
    monkeypatch.setitem(run_module.ROLES, "first-list", role)


def test_a_missed_bar_gives_exit_code_1_and_one_error_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fake_first_list_role(monkeypatch, 20.1)
    code, out, err = run_command("--role", "first-list", "--out", str(tmp_path))
    assert code == 1
    expected_figure = "first list, longest wait for /ready: 20.1 ms"
    assert err == f"missed: first-list: {expected_figure}; bar: holds the loop at most 20 ms\n"
    assert "MISSED" in out


def test_bars_that_hold_give_exit_code_0_rows_and_a_plot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fake_first_list_role(monkeypatch, 20.0, plots=True)
    code, _, err = run_command("--role", "first-list", "--out", str(tmp_path))
    assert (code, err) == (0, "")
    rows = [json.loads(line) for line in (tmp_path / ROWS_FILE).read_text().splitlines()]
    assert [row["axis"] for row in rows] == ["servers", "fleet", "bar"]
    assert rows[0]["sizes"] == [100, 400, 1_000, 2_500, 6_400]
    assert rows[0]["exponent"]["value"] == pytest.approx(1.0) and rows[2]["passed"] is True
    assert (tmp_path / "slopes-first-list.png").read_bytes().startswith(b"\x89PNG")


def test_bars_are_not_checked_with_no_bars(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    fake_first_list_role(monkeypatch, 500.0)
    code, out, _ = run_command("--role", "first-list", "--no-bars", "--out", str(tmp_path))
    assert code == 0 and "MISSED" not in out


def test_a_ratio_bar_passes_by_its_ratio_or_by_a_small_value() -> None:
    bar = Bar("module", "m", "text", limit=1.5, reference=BASE, passes_below=1.0)

    def passes(reference: float, value: float) -> bool | None:
        row = evaluate_bar(bar, lambda _, __, scale: Figure("m", "ms", reference if scale is BASE else value))
        assert row is not None
        return row.passed

    assert passes(2.0, 3.0) and not passes(2.0, 3.1) and passes(0.1, 0.9)
    assert evaluate_bar(bar, lambda *_: None) is None


def test_every_bar_of_the_module_names_a_measure_of_the_role() -> None:
    """A bar whose measure does not exist is never evaluated, so a misspelt name would go unnoticed."""
    measures = {figure.measure for figure in module_role.measure(TINY, BRIEF_BUDGET, 1)}
    assert {bar.measure for bar in BARS if bar.role == "module"} <= measures


def test_rows_of_zeros_are_not_plotted(tmp_path: Path) -> None:
    """Growth is plotted relative to the first value, and on logarithmic axes."""
    row = Row("r", "m", "u", "servers", [1.0, 2.0], [0.0, 0.0], None, None)
    assert save_plots([row], tmp_path) == []


def test_points_shared_by_axes_and_bars_are_measured_once() -> None:
    tasks = MeasurementRun(MeasurementPlan(("balancer-idle",), (), quick=False, bars=True, seed=1)).tasks()
    assert len(tasks) == len(set(tasks))
    assert sum(task.scale == BASE for task in tasks) == 1
    assert sum(task.scale == TARGET for task in tasks) == 1


def children_of(pid: int) -> list[psutil.Process]:
    return psutil.Process(pid).children(recursive=True)


def wait_for_balancer(pid: int) -> list[psutil.Process]:
    """Wait until a balancer runs below this process; returns all of its child processes."""
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        children = children_of(pid)
        if any("dykeshift.node" in " ".join(child.cmdline()) for child in children):
            return children
        time.sleep(0.02)
    raise AssertionError("no balancer was started within 10 s")


def test_sigint_stops_all_child_processes_and_keeps_the_rows_measured_so_far(tmp_path: Path) -> None:
    """The rig runs in a session of its own: the command has to stop it, and with it the balancer."""
    arguments = [
        "--role",
        "discovery",
        "--role",
        "balancer-idle",
        "--axis",
        "balancers",
        "--quick",
        "--no-bars",
    ]
    process = subprocess.Popen(
        [sys.executable, "-m", "emulator", "slopes", *arguments, "--out", str(tmp_path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        cwd=Path(__file__).parents[2],
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    )
    try:
        children = wait_for_balancer(process.pid)
        process.send_signal(signal.SIGINT)
        _, err = process.communicate(timeout=20)
    finally:
        process.kill()
    assert process.returncode == 130 and b"interrupted" in err and b"Traceback" not in err
    assert not any(child.is_running() for child in children)
    rows = [json.loads(line) for line in (tmp_path / ROWS_FILE).read_text().splitlines()]
    assert {row["role"] for row in rows} == {"discovery"}


def test_balancers_are_started_with_the_command_of_the_deploy_file() -> None:
    """Measurements apply to deployed balancers only with the same command and environment."""
    deployed_command = tomllib.loads(DEPLOY_FILE.read_text())["run"]
    environment, _, arguments = deployed_command.partition(DEPLOYED_PYTHON)
    assert balancer_command() == f"{environment}{sys.executable}{arguments}"
    assert "MALLOC_" in environment and arguments == " -m dykeshift.node"
