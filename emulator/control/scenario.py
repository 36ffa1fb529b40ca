"""The scenario file of `python -m emulator control`: the size of the fleet and the steps of the run."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from emulator.errors import BadInputError

SCENARIO_FOLDER = Path(__file__).parent / "scenarios"
FULL_SCENARIO_PATH = SCENARIO_FOLDER / "full.toml"
QUICK_SCENARIO_PATH = SCENARIO_FOLDER / "quick.toml"
BASE_SETTINGS_PATH = SCENARIO_FOLDER / "settings.json"


class Part(BaseModel):
    """Base of all tables of the file: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ChangeStep(Part):
    """Publishes valid changes at the given machines in turn, each one after the previous is in force."""

    do: Literal["change"]
    count: int = Field(1, ge=1)
    every_s: float = Field(1.0, ge=0)
    machines: list[int] = [0, 1, 2]


class RefusedStep(Part):
    """Publishes valid changes that have to be rejected because the machine finds no majority."""

    do: Literal["refused"]
    count: int = Field(1, ge=1)
    machine: int


class InvalidChangeStep(Part):
    """Publishes an invalid change that a control machine has to reject."""

    do: Literal["bad"]


class UncheckedInvalidChangeStep(Part):
    """Publishes an invalid change that the control machines do not check: each balancer has to reject it."""

    do: Literal["bad_unchecked"]


class LoseMachinesStep(Part):
    """Kills these control machines."""

    do: Literal["lose"]
    machines: list[int]


class RecoverMachinesStep(Part):
    """Starts these control machines again from their logs."""

    do: Literal["recover"]
    machines: list[int]


class SplitStep(Part):
    """Cuts a region off, with its control machine, which has the same index as the region."""

    do: Literal["split"]
    region: int


class HealStep(Part):
    """Ends the split."""

    do: Literal["heal"]


class RestartBalancersStep(Part):
    """Restarts this number of balancers at the same time; 0: all of them."""

    do: Literal["restart"]
    count: int = Field(0, ge=0)


class PauseStep(Part):
    """Waits."""

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
    """A complete scenario."""

    balancers: int = Field(420, ge=2)
    real_balancers: int = Field(8, ge=1)
    hollow_processes: int = Field(3, ge=1)
    machines: int = Field(3, ge=3, le=3)
    hollow_requests_per_s: float = Field(0.5, ge=0)  # at each one, but none in the first hollow process
    real_requests_per_s: float = Field(10.0, gt=0)  # at each real balancer
    servers: int = Field(4, ge=1)
    seed: int = 1
    bar_s: float = Field(4.0, gt=0)  # longest time that a version may take until it is in force
    steps: list[ScenarioStep]

    @model_validator(mode="after")
    def check_references(self) -> Scenario:
        """Check that there are hollow balancers, and that all machines and regions in the steps exist."""
        if self.real_balancers >= self.balancers:
            raise ValueError("real_balancers must be less than balancers: there are no hollow ones")
        for n, step in enumerate(self.steps):
            referenced = getattr(step, "machines", []) + [
                getattr(step, "machine", 0),
                getattr(step, "region", 0),
            ]
            if not all(0 <= index < self.machines for index in referenced):
                raise ValueError(
                    f"steps[{n}] names a machine or region that does not exist: there are {self.machines}"
                )
        return self

    def balancers_by_region(self) -> list[list[int]]:
        """Return the indexes of the balancers of each region."""
        return [list(range(n, self.balancers, self.machines)) for n in range(self.machines)]

    def real_balancer_indexes(self) -> list[int]:
        """Return the indexes of the real balancers."""
        return list(range(self.real_balancers))

    def hollow_balancer_indexes(self, process: int) -> list[int]:
        """Return the indexes of the hollow balancers of one process."""
        return list(range(self.real_balancers + process, self.balancers, self.hollow_processes))


def load_scenario(path: Path) -> Scenario:
    """Read a scenario file. Raises BadInputError with the reason if it is invalid."""
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, ValueError) as exc:
        raise BadInputError(f"cannot read {path}: {exc}") from None
    try:
        return Scenario.model_validate(raw)
    except ValidationError as exc:
        first_error = exc.errors()[0]
        location = ".".join(map(str, first_error["loc"])) or "scenario"
        raise BadInputError(f"{path}: {location}: {first_error['msg']}") from None


def base_settings() -> dict[str, Any]:
    """Return version 0, the content of the configuration files of all balancers."""
    settings: dict[str, Any] = json.loads(BASE_SETTINGS_PATH.read_text())
    return settings


def varied_settings(base: dict[str, Any], variant_number: int) -> dict[str, Any]:
    """Return a valid variant; `variant_number` determines the worths, quotas, limits, times and classes."""
    factor = 1.0 + variant_number % 5 / 10
    services = [{**s, "worth": s["worth"] * factor} for s in base["services"]]
    services.insert(variant_number % 4, {**base["services"][0], "name": f"campaign-{variant_number % 3}"})
    return {
        **base,
        "balancers": base["balancers"] + variant_number % 7,
        "services": services,
        "parties": [{**p, "quotaPerS": p["quotaPerS"] * factor} for p in base["parties"]][
            variant_number % 2 :
        ],
        "bounds": {
            **base["bounds"],
            "maxAttempts": 2 + variant_number % 2,
            "connectTimeoutNs": base["bounds"]["connectTimeoutNs"] + variant_number * 1_000_000,
        },
        "obligations": {
            **base["obligations"],
            "fallNs": base["obligations"]["fallNs"] * (1 + variant_number % 2),
        },
    }


def invalid_settings(base: dict[str, Any]) -> dict[str, Any]:
    """Return a variant with an invalid value in a nested object."""
    services = [*base["services"][:-1], {**base["services"][-1], "deadlineNs": "soon"}]
    return {**base, "services": services}
