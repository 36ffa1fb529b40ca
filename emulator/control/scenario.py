"""The scenario file of `python -m emulator control`: the size of the fleet and what happens, step by step."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from emulator.errors import BadInputError

SCENARIO_FOLDER = Path(__file__).parent / "scenarios"
FULL_SCENARIO_PATH, QUICK_SCENARIO_PATH = SCENARIO_FOLDER / "full.toml", SCENARIO_FOLDER / "quick.toml"
BASE_SETTINGS_PATH = SCENARIO_FOLDER / "settings.json"


class Part(BaseModel):
    """What all parts of the file have in common: unknown keys are faults."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ChangeStep(Part):
    """Sound changes, published at one machine after another, each in force before the next."""

    do: Literal["change"]
    count: int = Field(1, ge=1)
    every_s: float = Field(1.0, ge=0)
    machines: list[int] = [0, 1, 2]


class RefusedStep(Part):
    """Changes that no majority can be found for."""

    do: Literal["refused"]
    count: int = Field(1, ge=1)
    machine: int


class InvalidChangeStep(Part):
    """A change that the control machines turn down."""

    do: Literal["bad"]


class UncheckedInvalidChangeStep(Part):
    """A bad change that the control machines let through, so that each balancer turns it down."""

    do: Literal["bad_unchecked"]


class LoseMachinesStep(Part):
    """These machines are killed."""

    do: Literal["lose"]
    machines: list[int]


class RecoverMachinesStep(Part):
    """They start again from their logs."""

    do: Literal["recover"]
    machines: list[int]


class SplitStep(Part):
    """A region is cut off, with its machine; the regions are numbered as the machines."""

    do: Literal["split"]
    region: int


class HealStep(Part):
    """The split is over."""

    do: Literal["heal"]


class RestartBalancersStep(Part):
    """Balancers restart, all at once; 0: all of the fleet."""

    do: Literal["restart"]
    count: int = Field(0, ge=0)


class PauseStep(Part):
    """Nothing happens."""

    do: Literal["pause"]
    seconds: float = Field(gt=0)


ScenarioStep = Annotated[
    ChangeStep
    | RefusedStep
    | InvalidChangeStep
    | UncheckedInvalidChangeStep
    | LoseMachinesStep
    | RecoverMachinesStep
    | SplitStep
    | HealStep
    | RestartBalancersStep
    | PauseStep,
    Field(discriminator="do"),
]


class Scenario(Part):
    """A whole scenario."""

    balancers: int = Field(420, ge=2)
    real_balancers: int = Field(8, ge=1)
    hollow_processes: int = Field(3, ge=1)
    machines: int = Field(3, ge=3, le=3)
    hollow_requests_per_s: float = Field(0.5, ge=0)
    real_requests_per_s: float = Field(10.0, gt=0)
    servers: int = Field(4, ge=1)
    seed: int = 1
    bar_s: float = Field(4.0, gt=0)
    steps: list[ScenarioStep]

    @model_validator(mode="after")
    def check_members(self) -> Scenario:
        """All numbers name somebody."""
        if self.real_balancers >= self.balancers:
            raise ValueError("real_balancers leave no hollow ones")
        for n, step in enumerate(self.steps):
            named = getattr(step, "machines", []) + [getattr(step, "machine", 0), getattr(step, "region", 0)]
            if not all(0 <= number < self.machines for number in named):
                raise ValueError(f"steps[{n}] names a machine or region that is none of {self.machines}")
        return self

    def balancers_by_region(self) -> list[list[int]]:
        """The balancers of each region."""
        return [list(range(n, self.balancers, self.machines)) for n in range(self.machines)]

    def real_balancer_indexes(self) -> list[int]:
        """The numbers of the real balancers."""
        return list(range(self.real_balancers))

    def hollow_balancer_indexes(self, process: int) -> list[int]:
        """The numbers of the hollow balancers of one process."""
        return list(range(self.real_balancers + process, self.balancers, self.hollow_processes))


def load_scenario(path: Path) -> Scenario:
    """The scenario in a file; BadInputError names what is wrong with it."""
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, ValueError) as exc:
        raise BadInputError(f"cannot read {path}: {exc}") from None
    try:
        return Scenario.model_validate(raw)
    except ValidationError as exc:
        first = exc.errors()[0]
        place = ".".join(map(str, first["loc"])) or "scenario"
        raise BadInputError(f"{path}: {place}: {first['msg']}") from None


def base_settings() -> dict[str, Any]:
    """Version 0: what the configuration files of all balancers hold."""
    settings: dict[str, Any] = json.loads(BASE_SETTINGS_PATH.read_text())
    return settings


def varied_settings(base: dict[str, Any], number: int) -> dict[str, Any]:
    """Another version: each number changes worths, shares, limits, times, and which classes there are."""
    factor = 1.0 + number % 5 / 10
    services = [{**s, "worth": s["worth"] * factor} for s in base["services"]]
    services.insert(number % 4, {**base["services"][0], "name": f"campaign-{number % 3}"})
    return {
        **base,
        "balancers": base["balancers"] + number % 7,
        "services": services,
        "parties": [{**p, "quotaPerS": p["quotaPerS"] * factor} for p in base["parties"]][number % 2 :],
        "bounds": {
            **base["bounds"],
            "maxAttempts": 2 + number % 2,
            "connectTimeoutNs": base["bounds"]["connectTimeoutNs"] + number * 1_000_000,
        },
        "obligations": {**base["obligations"], "fallNs": base["obligations"]["fallNs"] * (1 + number % 2)},
    }


def invalid_settings(base: dict[str, Any]) -> dict[str, Any]:
    """A version with a fault deep inside."""
    services = [*base["services"][:-1], {**base["services"][-1], "deadlineNs": "soon"}]
    return {**base, "services": services}
