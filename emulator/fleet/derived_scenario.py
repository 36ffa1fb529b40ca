"""Scenarios derived from another one: a short and small version, or one with a share of the traffic."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from emulator.fleet.scenario import Scenario, load_scenario

MAX_QUICK_DURATION_S = 20.0
MAX_QUICK_BALANCERS = 32
MAX_QUICK_REAL_BALANCERS = 4
MAX_QUICK_HOLLOW_WORKERS = 4
MAX_QUICK_TENANTS = 50
MIN_CHANGE_INTERVAL_S = 1.0

TIME_KEYS = ("at_s", "duration_s", "every_s", "drain_s", "down_s", "over_s")
SIZE_KEYS = ("servers", "group")


def write_quick_scenario(scenario: Scenario, path: Path) -> Scenario:
    """Write a reduced scenario as TOML and load it; raises BadInputError if the result is invalid."""
    return _write(_reduce(scenario), path)


def write_traffic_share(scenario: Scenario, share: float, path: Path) -> Scenario:
    """Write the scenario with this share of its requests per second as TOML and load it."""
    changed: dict[str, Any] = scenario.model_dump(mode="json", exclude_none=True)
    changed["requests_per_s"] *= share
    return _write(changed, path)


def _write(values: dict[str, Any], path: Path) -> Scenario:
    path.write_text(
        "".join(f"{key} = {_format_toml(value)}\n" for key, value in values.items()), encoding="utf-8"
    )
    return load_scenario(path)


def _reduce(scenario: Scenario) -> dict[str, Any]:
    time_factor = min(1.0, MAX_QUICK_DURATION_S / scenario.duration_s)
    size_factor = min(1.0, MAX_QUICK_BALANCERS / scenario.balancers.total)
    reduced: dict[str, Any] = scenario.model_dump(mode="json", exclude_none=True)
    reduced["duration_s"] *= time_factor
    reduced["requests_per_s"] *= size_factor
    reduced["servers"]["count"] = max(1, round(scenario.servers.count * size_factor))
    balancers = reduced["balancers"]
    balancers["total"] = round(scenario.balancers.total * size_factor)
    balancers["real"] = min(scenario.balancers.real, MAX_QUICK_REAL_BALANCERS)
    balancers["hollow_workers"] = min(scenario.balancers.hollow_workers, MAX_QUICK_HOLLOW_WORKERS)
    tenants = reduced["tenants"]
    tenants["count"] = min(scenario.tenants.count, MAX_QUICK_TENANTS)
    if "in_settings" in tenants:
        tenants["in_settings"] = min(tenants["in_settings"], tenants["count"])
    for event in reduced["events"]:
        _reduce_event(event, time_factor, size_factor, balancers["real"])
    return reduced


def _reduce_event(event: dict[str, Any], time_factor: float, size_factor: float, real: int) -> None:
    for key in TIME_KEYS:
        if key in event:
            event[key] *= time_factor
    for key in SIZE_KEYS:
        if key in event:
            event[key] = max(1, round(event[key] * size_factor))
    if event["kind"] == "list_changes":
        event["every_s"] = max(MIN_CHANGE_INTERVAL_S, event["every_s"])
    if "count" in event:
        event["count"] = min(event["count"], real)
    event.pop("rack", None)  # the reduced zone may not have this rack, so a random one fails instead


def _format_toml(value: Any) -> str:
    """A TOML value on one line; strings and numbers are written as in JSON."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {_format_toml(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(map(_format_toml, value)) + "]"
    return json.dumps(value)
