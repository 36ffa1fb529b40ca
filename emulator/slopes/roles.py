"""A role as the command sees it: a name, its axes, and a function that measures it at a given scale."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from emulator.slopes.sizes import Axis, Scale


class MeasurementError(Exception):
    """A point could not be measured; the message is one line for the user."""


class Figure(msgspec.Struct, frozen=True):
    """One measured value."""

    measure: str
    unit: str
    value: float


class MeasurementBudget(msgspec.Struct, frozen=True):
    """How long and how often each point is measured."""

    block_seconds: float  # processor time for repeating a piece of work; the fastest run counts
    idle_seconds: float
    load_seconds: float
    bar_idle_seconds: float  # in place of idle_seconds, at the scales of the bars
    bar_load_seconds: float  # in place of load_seconds, at the scales of the bars
    starts: int  # how often a balancer is started for a measurement of which the best start counts


FULL_BUDGET = MeasurementBudget(
    block_seconds=0.5,
    idle_seconds=2.5,
    load_seconds=3.0,
    bar_idle_seconds=8.0,
    bar_load_seconds=16.0,
    starts=2,
)
QUICK_BUDGET = MeasurementBudget(
    block_seconds=0.1,
    idle_seconds=1.0,
    load_seconds=1.5,
    bar_idle_seconds=2.0,
    bar_load_seconds=3.0,
    starts=1,
)

MeasureFunction = Callable[[Scale, MeasurementBudget, int], list[Figure]]  # scale, budget, seed


class Role(msgspec.Struct, frozen=True):
    """A part of the deployment that is measured separately."""

    name: str
    description: str
    axes: tuple[Axis, ...]
    quick_axes: tuple[Axis, ...]  # for a quick run without --axis
    measure: MeasureFunction
