"""Decisions about the settings version in force, and the validation of settings."""

from __future__ import annotations

from copy import deepcopy
from typing import Any

import pytest

from dykeshift.control import (
    FIRST_BACKOFF_S,
    MAX_BACKOFF_S,
    Apply,
    DocumentError,
    Ignore,
    Reject,
    SettingsControl,
)
from dykeshift.settings import SettingsError, parse_settings
from dykeshift.settings_check import check_published, check_settings
from tests.node.stubs import settings

Settings = dict[str, Any]


def make_control(version: int = 3) -> SettingsControl[Settings]:
    return SettingsControl(settings(), version, lambda raw: raw, seed=1)


def document(version: int, **changes: Any) -> dict[str, Any]:
    return {"version": version, "settings": settings(**changes)}


def receive(control: SettingsControl[Settings], raw: Any) -> Apply[Settings] | Ignore | Reject:
    """Decide about a document; if it is to be applied, report that as done."""
    decision = control.on_document(raw)
    if isinstance(decision, Apply):
        control.on_applied(decision.version)
    return decision


def test_only_a_newer_version_is_applied() -> None:
    control = make_control(version=3)
    for version in (3, 2, 0):
        assert receive(control, document(version)) == Ignore()
    assert receive(control, document(5)) == Apply(5, settings())
    assert receive(control, document(4)) == Ignore()
    assert (control.version, control.is_up_to_date()) == (5, True)


def test_an_invalid_version_is_rejected_once_and_the_newest_below_it_requested() -> None:
    control = make_control(version=3)
    decision = receive(control, document(7, services=[{"name": "check"}]))
    assert isinstance(decision, Reject) and decision.reason.count("\n") == 0
    assert "version 7 is turned down, version 3 stays" in decision.reason
    assert "settings.services[0].goalTimeNs is missing" in decision.reason
    assert control.version == 3 and not control.is_up_to_date()
    assert control.next_query().path == "/v1/settings?before=7"
    assert receive(control, document(6, balancers=9)) == Apply(6, settings(balancers=9))
    assert control.next_query().path == "/v1/settings?from=7&hold_ms=2000"  # not version 7 again
    assert receive(control, document(7, services=[{"name": "check"}])) == Ignore()  # rejected only once
    assert control.version == 6


def test_the_search_below_an_invalid_version_ends_at_the_version_in_force() -> None:
    control = make_control(version=3)
    receive(control, document(7, balancers=0))
    assert isinstance(receive(control, document(6, balancers=0)), Reject)
    assert control.next_query().path == "/v1/settings?before=6"
    assert receive(control, document(3)) == Ignore()
    assert control.is_up_to_date() and control.version == 3
    receive(control, document(9, balancers=0))
    assert receive(control, {"version": 9}) == Ignore() and control.is_up_to_date()


def test_a_version_that_cannot_be_applied_is_rejected() -> None:
    control = make_control(version=3)
    assert isinstance(control.on_document(document(4)), Apply)
    assert control.reject(4, "two\nlines").reason.endswith("version 3 stays: two lines")
    assert control.next_query().path == "/v1/settings?before=4"


def test_the_first_call_and_the_one_after_a_failure_are_not_held() -> None:
    control = make_control(version=3)
    assert control.next_query().path == "/v1/settings?from=3&hold_ms=0"
    receive(control, {"version": 3})
    assert control.next_query().path == "/v1/settings?from=3&hold_ms=2000"
    control.on_call_failed()
    assert control.next_query().path == "/v1/settings?from=3&hold_ms=0" and not control.is_up_to_date()


def test_back_off_grows_with_jitter_and_is_reset_by_a_response() -> None:
    control = make_control()
    backoffs = [control.on_call_failed() for _ in range(2000)]
    assert FIRST_BACKOFF_S / 2 <= backoffs[0] <= FIRST_BACKOFF_S
    assert max(backoffs) <= MAX_BACKOFF_S and max(backoffs) > 0.95 * MAX_BACKOFF_S
    assert min(backoffs[4:]) >= MAX_BACKOFF_S / 2 and len(set(backoffs)) > 1900
    receive(control, {"version": 3})
    assert control.on_call_failed() <= FIRST_BACKOFF_S


@pytest.mark.parametrize(
    "raw",
    [None, [], 5, {}, {"version": "4"}, {"version": -1}, {"version": True}, {"version": 4, "settings": None}],
)
def test_a_response_that_is_not_a_document_is_a_failed_call(raw: Any) -> None:
    with pytest.raises(DocumentError):
        make_control().on_document(raw)


def test_a_version_not_below_the_rejected_one_is_a_failed_call() -> None:
    control = make_control()
    receive(control, document(7, balancers=0))
    with pytest.raises(DocumentError):
        control.on_document(document(8))


def test_settings_that_are_not_an_object_are_rejected() -> None:
    assert isinstance(receive(make_control(), {"version": 9, "settings": [1]}), Reject)


def with_value(path: list[Any], value: Any) -> Settings:
    """Valid settings except for one value; `...` as the value removes the key."""
    raw = deepcopy(settings())
    parent: Any = raw
    for key in path[:-1]:
        parent = parent[key]
    if value is ...:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return raw


INVALID_VALUES: list[tuple[list[Any], Any, str]] = [
    (["services"], [], "settings.services"),
    (["services"], {}, "settings.services"),
    (["services"], ..., "settings.services"),
    (["services", 1], 5, "settings.services[1]"),
    (["services", 1, "name"], ..., "settings.services[1].name"),
    (["services", 1, "name"], "check", "settings.services[1].name"),
    (["services", 1, "name"], "two\r\nlines", "settings.services[1].name"),
    (["services", 2, "worth"], float("nan"), "settings.services[2].worth"),
    (["services", 2, "worth"], -1.0, "settings.services[2].worth"),
    (["services", 2, "worth"], "5", "settings.services[2].worth"),
    (["services", 0, "deadlineNs"], 0, "settings.services[0].deadlineNs"),
    (["services", 0, "deadlineNs"], 1.5, "settings.services[0].deadlineNs"),
    (["services", 0, "goalTimeNs"], True, "settings.services[0].goalTimeNs"),
    (["services", 0, "idempotency"], "maybe", "settings.services[0].idempotency"),
    (["services", 0, "idempotency"], ["pure"], "settings.services[0].idempotency"),
    (["services", 0, "group"], "town", "settings.services[0].group"),
    (["services", 0, "lateShare"], 1.01, "settings.services[0].lateShare"),
    (["parties", 1, "quotaPerS"], -1, "settings.parties[1].quotaPerS"),
    (["parties", 1, "name"], "acme", "settings.parties[1].name"),
    (["balancers"], 0, "settings.balancers"),
    (["balancers"], 10**400, "settings.balancers"),
    (["bounds"], None, "settings.bounds"),
    (["bounds", "maxAttempts"], 0, "settings.bounds.maxAttempts"),
    (["bounds", "secondCopies"], "no", "settings.bounds.secondCopies"),
    (["bounds", "connectTimeoutNs"], ..., "settings.bounds.connectTimeoutNs"),
    (["obligations", "fallNs"], 0, "settings.obligations.fallNs"),
    (["obligations", "coldFrom"], float("inf"), "settings.obligations.coldFrom"),
    (["goal"], {"worstClass": 2}, "settings.goal.worstClass"),
]


@pytest.mark.parametrize(("path", "value", "named_path"), INVALID_VALUES)
def test_an_invalid_value_is_reported_with_its_path_on_one_line(
    path: list[Any], value: Any, named_path: str
) -> None:
    with pytest.raises(SettingsError) as caught:
        check_settings(with_value(path, value))
    text = str(caught.value)
    assert text.startswith(f"{named_path} ") and "\n" not in text and len(text) < 200


def test_settings_that_pass_the_check_can_be_parsed() -> None:
    check_settings(settings())
    assert parse_settings(settings()).tenant_quotas_per_s == (50.0, 25.0)
    check_settings({**settings(), "unknown": {"key": 1}})


@pytest.mark.parametrize("key", ["az", "me", "failureDomains", "kinds", "discovery"])
def test_fixed_keys_cannot_change_in_service(key: str) -> None:
    """These keys describe the machine or the deployment; if absent, the values at the start apply."""
    changed: dict[str, Any] = {"az": 1, "me": 7, "failureDomains": ["b"], "kinds": [], "discovery": "push"}
    decision = receive(make_control(), document(4, **{key: changed[key]}))
    assert isinstance(decision, Reject) and f"settings.{key} is" in decision.reason
    absent = settings()
    absent.pop(key, None)
    assert receive(make_control(), {"version": 4, "settings": absent}) == Apply(4, settings())


def test_keys_of_one_balancer_cannot_be_published() -> None:
    shared = {key: value for key, value in settings().items() if key not in ("az", "me")}
    check_published(shared, None)
    check_published(shared, shared)
    for invalid in ({**shared, "me": 3}, {**shared, "kinds": ["n"]}, {**shared, "balancers": 0}):
        with pytest.raises(SettingsError):
            check_published(invalid, shared)
