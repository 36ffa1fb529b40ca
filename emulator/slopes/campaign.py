"""One run: which roles are measured at which points, and the rows that come of it."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from emulator.slopes.bars import BARS, Bar, judge
from emulator.slopes.discovery_role import ROLE as DISCOVERY_ROLE
from emulator.slopes.fit import exponent, least_squares
from emulator.slopes.module_role import ROLE as MODULE_ROLE
from emulator.slopes.process_role import FIRST_LIST_ROLE, IDLE_ROLE, LOAD_ROLE
from emulator.slopes.report import Row
from emulator.slopes.roles import FULL, QUICK, Figure, MeasurementError, Role
from emulator.slopes.server_role import ROLE as SERVER_ROLE
from emulator.slopes.sizes import Axis, Point, Scale, points_of

ROLES: dict[str, Role] = {
    role.name: role
    for role in (MODULE_ROLE, DISCOVERY_ROLE, SERVER_ROLE, IDLE_ROLE, LOAD_ROLE, FIRST_LIST_ROLE)
}


class Plan(msgspec.Struct, frozen=True):
    """What the user asked for; no axis means all of a role's own."""

    roles: tuple[str, ...]
    axes: tuple[Axis, ...]
    quick: bool
    bars: bool
    seed: int


class Task(msgspec.Struct, frozen=True):
    """One role at one scale."""

    role: str
    scale: Scale


class Campaign:
    """Measures each role at each scale once, and keeps the figures."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.effort = QUICK if plan.quick else FULL
        if IDLE_ROLE.name not in plan.roles:
            self.effort = msgspec.structs.replace(self.effort, idle_seconds=0.0, bar_idle_seconds=0.0)
        if LOAD_ROLE.name not in plan.roles:
            self.effort = msgspec.structs.replace(self.effort, load_seconds=0.0, bar_load_seconds=0.0)
        self.figures: dict[Task, list[Figure]] = {}
        self.failures: list[str] = []

    def _lines(self) -> Iterator[tuple[Role, Axis, tuple[Point, ...]]]:
        for name in self.plan.roles:
            role = ROLES[name]
            own = role.quick_axes if self.plan.quick and not self.plan.axes else role.axes
            for axis in own:
                if not self.plan.axes or axis in self.plan.axes:
                    yield role, axis, points_of(axis, self.plan.quick)

    def _bars(self) -> list[Bar]:
        return [bar for bar in BARS if self.plan.bars and bar.role in self.plan.roles]

    def tasks(self) -> list[Task]:
        """All that is to be measured, each once, role by role."""
        wanted = [Task(role.name, p.scale) for role, _, points in self._lines() for p in points]
        wanted += [Task(bar.role, scale) for bar in self._bars() for scale in bar.scales()]
        unique = list(dict.fromkeys(wanted))
        return sorted(unique, key=lambda task: self.plan.roles.index(task.role))

    def measure(self, task: Task) -> None:
        """Measure and keep; a failure is kept too."""
        try:
            figures = ROLES[task.role].measure(task.scale, self.effort, self.plan.seed)
        except MeasurementError as error:
            self.failures.append(f"not measured: {task.role} at {task.scale.servers} servers: {error}")
            return
        self.figures[task] = figures

    def _lookup(self, role: str, measure: str, scale: Scale) -> Figure | None:
        figures = self.figures.get(Task(role, scale), [])
        return next((figure for figure in figures if figure.measure == measure), None)

    def _axis_rows(self, role: Role, axis: Axis, points: tuple[Point, ...]) -> Iterator[Row]:
        measured = [p for p in points if Task(role.name, p.scale) in self.figures]
        if not measured:
            return
        sizes = [float(p.size) for p in measured]
        columns = [self.figures[Task(role.name, p.scale)] for p in measured]
        for along in zip(*columns, strict=True):
            values = [figure.value for figure in along]
            yield Row(
                role=role.name,
                measure=along[0].measure,
                unit=along[0].unit,
                axis=axis.value,
                sizes=sizes,
                values=values,
                exponent=exponent(sizes, values),
                linear=least_squares(sizes, values),
            )

    def rows(self) -> list[Row]:
        """All rows that the figures so far give, those of the bars at the end."""
        rows = [row for line in self._lines() for row in self._axis_rows(*line)]
        judged = (judge(bar, self._lookup) for bar in self._bars())
        return rows + [row for row in judged if row is not None]
