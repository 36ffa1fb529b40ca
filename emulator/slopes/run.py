"""One run: which roles are measured at which points, and the rows that come of it."""

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
    """What the user asked for; no axis means all of a role's own."""

    roles: tuple[str, ...]
    axes: tuple[Axis, ...]
    quick: bool
    bars: bool
    seed: int


class MeasurementTask(msgspec.Struct, frozen=True):
    """One role at one scale."""

    role: str
    scale: Scale


class MeasurementRun:
    """Measures each role at each scale once, and keeps the figures."""

    def __init__(self, plan: MeasurementPlan) -> None:
        self.plan = plan
        self.budget = QUICK_BUDGET if plan.quick else FULL_BUDGET
        if IDLE_ROLE.name not in plan.roles:
            self.budget = msgspec.structs.replace(self.budget, idle_seconds=0.0, bar_idle_seconds=0.0)
        if LOAD_ROLE.name not in plan.roles:
            self.budget = msgspec.structs.replace(self.budget, load_seconds=0.0, bar_load_seconds=0.0)
        self.figures: dict[MeasurementTask, list[Figure]] = {}
        self.failures: list[str] = []

    def _lines(self) -> Iterator[tuple[Role, Axis, tuple[Point, ...]]]:
        for name in self.plan.roles:
            role = ROLES[name]
            own = role.quick_axes if self.plan.quick and not self.plan.axes else role.axes
            for axis in own:
                if not self.plan.axes or axis in self.plan.axes:
                    yield role, axis, axis_points(axis, self.plan.quick)

    def _bars(self) -> list[Bar]:
        return [bar for bar in BARS if self.plan.bars and bar.role in self.plan.roles]

    def tasks(self) -> list[MeasurementTask]:
        """All that is to be measured, each once, role by role."""
        wanted = [MeasurementTask(role.name, p.scale) for role, _, points in self._lines() for p in points]
        wanted += [
            MeasurementTask(bar.role, scale) for bar in self._bars() for scale in bar.required_scales()
        ]
        unique = list(dict.fromkeys(wanted))
        return sorted(unique, key=lambda task: self.plan.roles.index(task.role))

    def measure(self, task: MeasurementTask) -> None:
        """Measure and keep; a failure is kept too."""
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
        columns = [self.figures[MeasurementTask(role.name, p.scale)] for p in measured]
        for along in zip(*columns, strict=True):
            values = [figure.value for figure in along]
            yield Row(
                role=role.name,
                measure=along[0].measure,
                unit=along[0].unit,
                axis=axis.value,
                sizes=sizes,
                values=values,
                exponent=fit_exponent(sizes, values),
                linear=fit_slope(sizes, values),
            )

    def rows(self) -> list[Row]:
        """All rows that the figures so far give, those of the bars at the end."""
        rows = [row for line in self._lines() for row in self._axis_rows(*line)]
        judged = (evaluate_bar(bar, self._lookup) for bar in self._bars())
        return rows + [row for row in judged if row is not None]
