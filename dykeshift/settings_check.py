"""Checks a settings object that is to come into force in service; the first fault is named by its path.

Stricter than `settings.parse_settings`, which reads what a deployment starts with: a balancer that serves can
keep what it has, so that anything doubtful is better turned down.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from dykeshift.settings import SettingsError

Check = Callable[[Any, str], None]

HOUR = 3_600_000_000_000  # nanoseconds; longer than any time in the settings
# What describes the machine or the whole deployment: it is as the balancer was started with.
FIXED = ("az", "me", "failureDomains", "kinds", "discovery")
OWN = ("az", "me")  # those of them that differ from one balancer to another
LARGEST = 1e15  # of rates and worths
SHOWN = 60  # characters of a wrong value that are repeated


def fault(path: str, value: Any, expected: str) -> SettingsError:
    """The error for a value that is not what its place demands, on one line."""
    return SettingsError(f"{path} is {repr(value)[:SHOWN]}, expected {expected}")


def number(least: float, most: float = LARGEST) -> Check:
    """A number within bounds; neither infinity nor what is no number lies within them."""

    def check(value: Any, path: str) -> None:
        if type(value) not in (int, float) or not least <= value <= most:
            raise fault(path, value, f"a number from {least:g} to {most:g}")

    return check


def whole(least: int, most: int) -> Check:
    """A whole number within bounds; the wire may write it with a decimal point."""

    def check(value: Any, path: str) -> None:
        number(least, most)(value, path)
        if value != int(value):
            raise fault(path, value, "a whole number")

    return check


def one_of(*words: str) -> Check:
    """One of a few words."""

    def check(value: Any, path: str) -> None:
        if value not in words:
            raise fault(path, value, f"one of {', '.join(words)}")

    return check


def flag(value: Any, path: str) -> None:
    """True or false."""
    if type(value) is not bool:
        raise fault(path, value, "true or false")


def label(value: Any, path: str) -> None:
    """A name that a header can carry."""
    if type(value) is not str or not value or not value.isprintable() or not value.isascii():
        raise fault(path, value, "a name")


DURATION = whole(0, HOUR)
SOME_TIME = whole(1, HOUR)
SERVICE: dict[str, Check] = {
    "name": label,
    "goalTimeNs": SOME_TIME,
    "deadlineNs": SOME_TIME,
    "worth": number(0),
    "idempotency": one_of("pure", "token", "side_effect"),
}
SERVICE_OPTIONAL: dict[str, Check] = {
    "group": one_of("all", "zone", "cell"),
    "windowNs": DURATION,
    "lateShare": number(0, 1),
    "stream": flag,
}
PARTY: dict[str, Check] = {"name": label, "quotaPerS": number(0)}
BOUNDS: dict[str, Check] = {
    "maxAttempts": whole(1, 100),
    "secondCopies": flag,
    "cancelling": flag,
    "keepaliveNs": SOME_TIME,
    "connectTimeoutNs": SOME_TIME,
}
BOUNDS_OPTIONAL: dict[str, Check] = {"retryAfter": flag, "maxRetryAfterNs": DURATION}
OBLIGATIONS: dict[str, Check] = {
    "coldFrom": number(0, 1),
    "coldNs": DURATION,
    "tipMultiple": number(0.001),
    "fallNs": whole(1_000_000, HOUR),  # the module's sweeps follow from it
    "answerSlackNs": DURATION,
    "drainGraceNs": DURATION,
}
OBLIGATIONS_OPTIONAL: dict[str, Check] = {"askEveryNs": SOME_TIME}
TOP: dict[str, Check] = {"balancers": whole(1, 1_000_000), "discovery": one_of("push", "ask")}
TOP_OPTIONAL: dict[str, Check] = {
    "stepNs": DURATION,
    "overShareWorth": number(0),
    "valueBy": one_of("request", "work"),
}


def check_settings(raw: Any) -> None:
    """Raise SettingsError at the first fault; unknown keys are skipped."""
    _check_table(raw, "settings", TOP, TOP_OPTIONAL)
    _check_table(raw.get("bounds"), "settings.bounds", BOUNDS, BOUNDS_OPTIONAL)
    _check_table(raw.get("obligations"), "settings.obligations", OBLIGATIONS, OBLIGATIONS_OPTIONAL)
    _check_table(raw.get("goal", {}), "settings.goal", {}, {"worstClass": number(0, 1)})
    _check_list(raw.get("services"), "settings.services", SERVICE, SERVICE_OPTIONAL)
    if not raw["services"]:
        raise fault("settings.services", [], "one class at least")
    _check_list(raw.get("parties", []), "settings.parties", PARTY, {})


def _check_table(raw: Any, path: str, needed: Mapping[str, Check], optional: Mapping[str, Check]) -> None:
    if type(raw) is not dict:
        raise fault(path, raw, "an object")
    for key, check in needed.items():
        if key not in raw:
            raise SettingsError(f"{path}.{key} is missing")
        check(raw[key], f"{path}.{key}")
    for key, check in optional.items():
        if key in raw:
            check(raw[key], f"{path}.{key}")


def _check_list(raw: Any, path: str, needed: Mapping[str, Check], optional: Mapping[str, Check]) -> None:
    if type(raw) is not list:
        raise fault(path, raw, "a list")
    names: dict[str, int] = {}
    for n, row in enumerate(raw):
        _check_table(row, f"{path}[{n}]", needed, optional)
        first = names.setdefault(row["name"], n)
        if first != n:
            raise SettingsError(f"{path}[{n}].name is {row['name']!r}, as is that of {path}[{first}]")


def with_fixed_keys(raw: Mapping[str, Any], base: Mapping[str, Any]) -> dict[str, Any]:
    """The settings with what cannot change in service as in `base`; SettingsError if they say otherwise."""
    for key in FIXED:
        if key in raw and raw[key] != base.get(key):
            was = repr(base.get(key))[:SHOWN]
            raise fault(f"settings.{key}", raw[key], f"{was}, which cannot change in service")
    return {**raw, **{key: base[key] for key in FIXED if key in base}}


def check_published(raw: Any, previous: Mapping[str, Any] | None) -> None:
    """Raise SettingsError unless these settings may follow `previous` for all balancers of a deployment."""
    check_settings(raw)
    for key in OWN:
        if key in raw:
            raise SettingsError(f"settings.{key} is one balancer's own and cannot be published")
    if previous is not None:
        with_fixed_keys(raw, previous)
