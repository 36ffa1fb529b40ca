"""Validates settings that are to come into force while the balancer serves.

The SettingsError names the path of the first invalid value. The check is stricter than
`settings.parse_settings`, which reads the settings at the start: a serving balancer can keep the settings it
has, so anything doubtful is better rejected.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from dykeshift.settings import SettingsError

Check = Callable[[Any, str], None]

MAX_DURATION_NS = 3_600_000_000_000  # one hour; longer than any time in the settings
# These describe the machine or the whole deployment and keep the values from the start of the balancer.
FIXED_KEYS = ("az", "me", "failureDomains", "kinds", "discovery")
PER_BALANCER_KEYS = ("az", "me")  # fixed keys that differ between balancers
MAX_NUMBER = 1e15  # limit of numbers without a tighter one, such as quotas and worths
MAX_SHOWN_CHARS = 60  # of an invalid value in an error message


def invalid_value(path: str, value: Any, expected: str) -> SettingsError:
    """Return the error for a value that its key does not allow, as one line."""
    return SettingsError(f"{path} is {repr(value)[:MAX_SHOWN_CHARS]}, expected {expected}")


def number_between(minimum: float, maximum: float = MAX_NUMBER) -> Check:
    """Return a check for a number within these limits; infinity and NaN are outside of them."""

    def check(value: Any, path: str) -> None:
        if type(value) not in (int, float) or not minimum <= value <= maximum:
            raise invalid_value(path, value, f"a number from {minimum:g} to {maximum:g}")

    return check


def integer_between(minimum: int, maximum: int) -> Check:
    """Return a check for an integer within these limits; in JSON it may be written with a decimal point."""

    def check(value: Any, path: str) -> None:
        number_between(minimum, maximum)(value, path)
        if value != int(value):
            raise invalid_value(path, value, "a whole number")

    return check


def one_of(*words: str) -> Check:
    """Return a check for one of these strings."""

    def check(value: Any, path: str) -> None:
        if value not in words:
            raise invalid_value(path, value, f"one of {', '.join(words)}")

    return check


def boolean(value: Any, path: str) -> None:
    """Check for true or false."""
    if type(value) is not bool:
        raise invalid_value(path, value, "true or false")


def header_safe_name(value: Any, path: str) -> None:
    """Check for a name that a header can carry."""
    if type(value) is not str or not value or not value.isprintable() or not value.isascii():
        raise invalid_value(path, value, "a name")


DURATION = integer_between(0, MAX_DURATION_NS)
POSITIVE_DURATION = integer_between(1, MAX_DURATION_NS)
SERVICE_REQUIRED: dict[str, Check] = {
    "name": header_safe_name,
    "goalTimeNs": POSITIVE_DURATION,
    "deadlineNs": POSITIVE_DURATION,
    "worth": number_between(0),
    "idempotency": one_of("pure", "token", "side_effect"),
}
SERVICE_OPTIONAL: dict[str, Check] = {
    "group": one_of("all", "zone", "cell"),
    "windowNs": DURATION,
    "lateShare": number_between(0, 1),
    "stream": boolean,
}
PARTY_REQUIRED: dict[str, Check] = {"name": header_safe_name, "quotaPerS": number_between(0)}
BOUNDS_REQUIRED: dict[str, Check] = {
    "maxAttempts": integer_between(1, 100),
    "secondCopies": boolean,
    "cancelling": boolean,
    "keepaliveNs": POSITIVE_DURATION,
    "connectTimeoutNs": POSITIVE_DURATION,
}
BOUNDS_OPTIONAL: dict[str, Check] = {"retryAfter": boolean, "maxRetryAfterNs": DURATION}
OBLIGATIONS_REQUIRED: dict[str, Check] = {
    "coldFrom": number_between(0, 1),
    "coldNs": DURATION,
    "tipMultiple": number_between(0.001),
    # The interval of the decision module's sweep timer is a share of this one, so it must not be too short.
    "fallNs": integer_between(1_000_000, MAX_DURATION_NS),
    "answerSlackNs": DURATION,
    "drainGraceNs": DURATION,
}
OBLIGATIONS_OPTIONAL: dict[str, Check] = {"askEveryNs": POSITIVE_DURATION}
TOP_LEVEL_REQUIRED: dict[str, Check] = {
    "balancers": integer_between(1, 1_000_000),
    "discovery": one_of("push", "ask"),
}
TOP_LEVEL_OPTIONAL: dict[str, Check] = {
    "stepNs": DURATION,
    "overShareWorth": number_between(0),
    "valueBy": one_of("request", "work"),
}


def check_settings(raw: Any) -> None:
    """Raise SettingsError for the first invalid value. Unknown keys are ignored."""
    _check_table(raw, "settings", TOP_LEVEL_REQUIRED, TOP_LEVEL_OPTIONAL)
    _check_table(raw.get("bounds"), "settings.bounds", BOUNDS_REQUIRED, BOUNDS_OPTIONAL)
    _check_table(raw.get("obligations"), "settings.obligations", OBLIGATIONS_REQUIRED, OBLIGATIONS_OPTIONAL)
    _check_table(raw.get("goal", {}), "settings.goal", {}, {"worstClass": number_between(0, 1)})
    _check_list(raw.get("services"), "settings.services", SERVICE_REQUIRED, SERVICE_OPTIONAL)
    if not raw["services"]:
        raise invalid_value("settings.services", [], "one class at least")
    _check_list(raw.get("parties", []), "settings.parties", PARTY_REQUIRED, {})


def _check_table(raw: Any, path: str, required: Mapping[str, Check], optional: Mapping[str, Check]) -> None:
    if type(raw) is not dict:
        raise invalid_value(path, raw, "an object")
    for key, check in required.items():
        if key not in raw:
            raise SettingsError(f"{path}.{key} is missing")
        check(raw[key], f"{path}.{key}")
    for key, check in optional.items():
        if key in raw:
            check(raw[key], f"{path}.{key}")


def _check_list(raw: Any, path: str, required: Mapping[str, Check], optional: Mapping[str, Check]) -> None:
    if type(raw) is not list:
        raise invalid_value(path, raw, "a list")
    names: dict[str, int] = {}
    for n, entry in enumerate(raw):
        _check_table(entry, f"{path}[{n}]", required, optional)
        first = names.setdefault(entry["name"], n)
        if first != n:
            raise SettingsError(f"{path}[{n}].name is {entry['name']!r}, as is that of {path}[{first}]")


def with_fixed_keys(raw: Mapping[str, Any], base: Mapping[str, Any]) -> dict[str, Any]:
    """Return the settings with the fixed keys as in `base`.

    Raises SettingsError if the settings contain another value for such a key.
    """
    for key in FIXED_KEYS:
        if key in raw and raw[key] != base.get(key):
            base_value = repr(base.get(key))[:MAX_SHOWN_CHARS]
            raise invalid_value(f"settings.{key}", raw[key], f"{base_value}, which cannot change in service")
    return {**raw, **{key: base[key] for key in FIXED_KEYS if key in base}}


def check_published(raw: Any, previous: Mapping[str, Any] | None) -> None:
    """Raise SettingsError unless every balancer of a deployment may change from `previous` to `raw`."""
    check_settings(raw)
    for key in PER_BALANCER_KEYS:
        if key in raw:
            raise SettingsError(f"settings.{key} is one balancer's own and cannot be published")
    if previous is not None:
        with_fixed_keys(raw, previous)
