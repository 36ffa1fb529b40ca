"""Scenario files: the shipped ones load, and each invalid one is reported in one line with file and key."""

from __future__ import annotations

from pathlib import Path

import pytest

from emulator.errors import BadInputError
from emulator.fleet.derived_scenario import write_traffic_share
from emulator.fleet.scenario import load_scenario

SCENARIOS = Path(__file__).parents[2] / "emulator" / "scenarios"
QUICK = (SCENARIOS / "quick.toml").read_text(encoding="utf-8")


def error_message(tmp_path: Path, text: str | bytes) -> str:
    """The error message for a file with this content, without the leading path."""
    path = tmp_path / "bad.toml"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    with pytest.raises(BadInputError) as caught:
        load_scenario(path)
    message = caught.value.message
    assert message.startswith(f"{path}: ")
    assert "\n" not in message
    return message.removeprefix(f"{path}: ")


def quick_with_replaced(old: str, new: str) -> str:
    """The quick scenario with one passage replaced."""
    assert old in QUICK
    return QUICK.replace(old, new, 1)


def quick_with_event(**values: object) -> str:
    """The quick scenario with one more event."""
    lines = "".join(f"{key} = {value!r}\n" for key, value in values.items())
    return f"{QUICK}\n[[events]]\n{lines}"


ADDED_EVENT_KEY = f"events.{QUICK.count('[[events]]')}"  # key of the event that quick_with_event adds


@pytest.mark.parametrize("path", sorted(SCENARIOS.glob("*.toml")), ids=lambda path: path.stem)
def test_shipped_scenarios_load_and_begin_with_a_description(path: Path) -> None:
    assert load_scenario(path).name == path.stem
    assert path.read_text(encoding="utf-8").startswith("# ")


def test_target_scenario_has_the_target_size() -> None:
    target = load_scenario(SCENARIOS / "target.toml")
    assert (len(target.regions), len(target.zones())) == (2, 7)
    assert (target.servers.count, target.balancers.total, target.tenants.count) == (6400, 420, 15000)
    assert target.balancers.real >= 8
    assert target.requests_per_s == 26000
    failures = target.random_failures
    assert (failures.machine_failures_per_day, failures.restarts_per_day) == (18, 1200)


def test_files_without_a_scenario_are_rejected(tmp_path: Path) -> None:
    assert error_message(tmp_path, "name = ").startswith("is not TOML: ")
    assert error_message(tmp_path, b"\xff\xfe\x00") == "is not UTF-8 text"
    assert error_message(tmp_path, "") == "name: Field required"
    for path in (tmp_path / "missing.toml", tmp_path):
        with pytest.raises(BadInputError, match=f"{path}: cannot be read: "):
            load_scenario(path)


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("seed = 1", "seed = 1\nspeed = 2", "speed"),
        ("count = 240", "count = 240\ncolour = 1", "servers.colour"),
        ("duration_s = 30.0", 'duration_s = "30"', "duration_s"),
        ("duration_s = 30.0", "duration_s = 2026-12-02", "duration_s"),
        ("duration_s = 30.0", "duration_s = 0.0", "duration_s"),
        ("count = 240", "count = 240.5", "servers.count"),
        ("requests_per_s = 400.0", "requests_per_s = -1.0", "requests_per_s"),
        ("requests_per_s = 400.0", "requests_per_s = nan", "requests_per_s"),
        ("requests_per_s = 400.0", "requests_per_s = inf", "requests_per_s"),
        ("restarts_per_day = 45.0", "restarts_per_day = -1.0", "random_failures.restarts_per_day"),
        ("work_ms = 14.0", "work_ms = 0.0", "classes.0.work_ms"),
        ('idempotency = "keyed"', 'idempotency = "twice"', "classes.2.idempotency"),
        ("aim_ms = 400.0", "aim_ms = 4000.0", "classes.2.aim_ms"),
        ("server_share = 0.18", "server_share = 0.28", "regions.zones.server_share"),
        ("share = 0.63", "share = 0.62", "servers.kinds.share"),
        ("speed = [0.33, 0.43]", "speed = [0.43, 0.33]", "servers.kinds.0.speed"),
        ('name = "koege"', 'name = "vejle-syd"', "regions.zones.name"),
        ("real = 2", "real = 22", "balancers.real"),
        ("hollow_workers = 2", "hollow_workers = 0", "balancers.hollow_workers"),
        ("count = 300", "count = 300\nin_settings = 301", "tenants.in_settings"),
        ('zone = "koege"', 'zone = "kolding"', "events.4.zone"),
        ('"sjaelland"]', '"fyn"]', "events.5.regions"),
        ('"sjaelland"]', '"jylland"]', "events.5.regions"),
        ("count = 1\n", "count = 3\n", "events.9.count"),
        ("servers = 12\ngroup = 4", "servers = 241\ngroup = 241", "events.8.servers"),
        ('kind = "hang"', 'kind = "pause"', "events.2"),
        ('kind = "hang"\n', "", "events.2"),
        ("share = 0.03", "share = 1.03", "events.2.share"),
    ],
)
def test_each_invalid_value_is_reported_with_its_key(tmp_path: Path, old: str, new: str, key: str) -> None:
    assert error_message(tmp_path, quick_with_replaced(old, new)).startswith(f"{key}: ")


@pytest.mark.parametrize(
    ("event", "key"),
    [
        ({"kind": "restart_all_balancers", "at_s": 30.0}, f"{ADDED_EVENT_KEY}.at_s"),
        ({"kind": "restart_all_balancers", "at_s": -1.0}, f"{ADDED_EVENT_KEY}.at_s"),
        ({"kind": "restart_all_balancers", "at_s": 29.0, "over_s": 2.0}, ADDED_EVENT_KEY),
        ({"kind": "discovery_outage", "at_s": 29.0, "duration_s": 2.0}, ADDED_EVENT_KEY),
        (
            {"kind": "discovery_outage", "at_s": 1.0, "duration_s": 2.0, "region": "fyn"},
            f"{ADDED_EVENT_KEY}.region",
        ),
        ({"kind": "rack_failure", "at_s": 1.0, "duration_s": 2.0, "zone": "fyn"}, f"{ADDED_EVENT_KEY}.zone"),
        (
            {"kind": "rack_failure", "at_s": 1.0, "duration_s": 2.0, "zone": "koege", "rack": 4},
            f"{ADDED_EVENT_KEY}.rack",
        ),
    ],
)
def test_events_outside_the_scenario_are_rejected(tmp_path: Path, event: dict[str, object], key: str) -> None:
    assert error_message(tmp_path, quick_with_event(**event)).startswith(f"{key}: ")


def test_traffic_share_changes_only_the_request_rate(tmp_path: Path) -> None:
    target = load_scenario(SCENARIOS / "target.toml")
    quarter = write_traffic_share(target, 0.25, tmp_path / "quarter.toml")
    assert quarter.requests_per_s == 6500
    assert quarter.model_copy(update={"requests_per_s": 26000.0}) == target
