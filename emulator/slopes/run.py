"""A measurement run: the tasks of a plan, the measured figures and the rows computed from them."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from emulator.slopes.bars import BARS, Bar, evaluate_bar
from emulator.slopes.discovery_role import ROLE as DISCOVERY_ROLE
from emulator.slopes.fit import fit_exponent, fit_slope
from emulator.slopes.module_role import ROLE as MODULE_ROLE
from emulator.slopes.process_role import FIRST_LIST_ROLE, IDLE_ROLE, LOAD_ROLE
from emulator.slopes.report import Row
from emulator.slopes.roles import FULL_BUDGET, QUICK_BUDGET, Figure, MeasurementError, Role
from emulator.slopes.server_role import ROLE as SERVER_ROLE
from emulator.slopes.sizes import Axis, Point, Scale, axis_points

ROLES: dict[str, Role] = {
    role.name: role
    for role in (MODULE_ROLE, DISCOVERY_ROLE, SERVER_ROLE, IDLE_ROLE, LOAD_ROLE, FIRST_LIST_ROLE)
}


class MeasurementPlan(msgspec.Struct, frozen=True):
    """What the user has selected; without axes, the axes of each role are measured."""

    roles: tuple[str, ...]
    axes: tuple[Axis, ...]
    quick: bool
    bars: bool
    seed: int


class MeasurementTask(msgspec.Struct, frozen=True):
    """The measurement of one role at one scale."""

    role: str
    scale: Scale


class MeasurementRun:
    """Measures each role at each scale once, and collects the figures."""

    def __init__(self, plan: MeasurementPlan) -> None:
        self.plan = plan
        self.budget = QUICK_BUDGET if plan.quick else FULL_BUDGET
        if IDLE_ROLE.name not in plan.roles:
            self.budget = msgspec.structs.replace(self.budget, idle_seconds=0.0, bar_idle_seconds=0.0)
        if LOAD_ROLE.name not in plan.roles:
            self.budget = msgspec.structs.replace(self.budget, load_seconds=0.0, bar_load_seconds=0.0)
        self.figures: dict[MeasurementTask, list[Figure]] = {}
        self.failures: list[str] = []

    def _measured_axes(self) -> Iterator[tuple[Role, Axis, tuple[Point, ...]]]:
        for name in self.plan.roles:
            role = ROLES[name]
            role_axes = role.quick_axes if self.plan.quick and not self.plan.axes else role.axes
            for axis in role_axes:
                if not self.plan.axes or axis in self.plan.axes:
                    yield role, axis, axis_points(axis, self.plan.quick)

    def _selected_bars(self) -> list[Bar]:
        return [bar for bar in BARS if self.plan.bars and bar.role in self.plan.roles]

    def tasks(self) -> list[MeasurementTask]:
        """Return all tasks without duplicates, ordered by role."""
        tasks = [
            MeasurementTask(role.name, p.scale) for role, _, points in self._measured_axes() for p in points
        ]
        tasks += [
            MeasurementTask(bar.role, scale)
            for bar in self._selected_bars()
            for scale in bar.required_scales()
        ]
        unique = list(dict.fromkeys(tasks))
        return sorted(unique, key=lambda task: self.plan.roles.index(task.role))

    def measure(self, task: MeasurementTask) -> None:
        """Run a task, and record its figures or its failure."""
        try:
            figures = ROLES[task.role].measure(task.scale, self.budget, self.plan.seed)
        except MeasurementError as error:
            self.failures.append(f"not measured: {task.role} at {task.scale.servers} servers: {error}")
            return
        self.figures[task] = figures

    def _lookup(self, role: str, measure: str, scale: Scale) -> Figure | None:
        figures = self.figures.get(MeasurementTask(role, scale), [])
        return next((figure for figure in figures if figure.measure == measure), None)

    def _axis_rows(self, role: Role, axis: Axis, points: tuple[Point, ...]) -> Iterator[Row]:
        measured = [p for p in points if MeasurementTask(role.name, p.scale) in self.figures]
        if not measured:
            return
        sizes = [float(p.size) for p in measured]
        figures_by_size = [self.figures[MeasurementTask(role.name, p.scale)] for p in measured]
        for figures in zip(*figures_by_size, strict=True):
            values = [figure.value for figure in figures]
            yield Row(
                role=role.name,
                measure=figures[0].measure,
                unit=figures[0].unit,
                axis=axis.value,
                sizes=sizes,
                values=values,
                exponent=fit_exponent(sizes, values),
                linear=fit_slope(sizes, values),
            )

    def rows(self) -> list[Row]:
        """Return the rows of all figures measured so far, with the rows of the bars last."""
        rows = [row for measured_axis in self._measured_axes() for row in self._axis_rows(*measured_axis)]
        bar_rows = (evaluate_bar(bar, self._lookup) for bar in self._selected_bars())
        return rows + [row for row in bar_rows if row is not None]
