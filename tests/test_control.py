"""Which version of the settings is in force: the decisions, and the check of a document."""

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
    return SettingsControl(settings(), version, lambda given: given, seed=1)


def document(version: int, **changes: Any) -> dict[str, Any]:
    return {"version": version, "settings": settings(**changes)}


def take(control: SettingsControl[Settings], raw: Any) -> Apply[Settings] | Ignore | Reject:
    """The decision, carried out."""
    decision = control.on_document(raw)
    if isinstance(decision, Apply):
        control.on_applied(decision.version)
    return decision


def test_a_newer_version_is_applied_and_an_older_or_equal_one_ignored() -> None:
    control = make_control(version=3)
    for version in (3, 2, 0):
        assert take(control, document(version)) == Ignore()
    assert take(control, document(5)) == Apply(5, settings())
    assert take(control, document(4)) == Ignore()
    assert (control.version, control.is_up_to_date()) == (5, True)


def test_a_bad_version_is_turned_down_whole_once_and_the_newest_before_it_is_wanted() -> None:
    control = make_control(version=3)
    decision = take(control, document(7, services=[{"name": "check"}]))
    assert isinstance(decision, Reject) and decision.reason.count("\n") == 0
    assert "version 7 is turned down, version 3 stays" in decision.reason
    assert "settings.services[0].goalTimeNs is missing" in decision.reason
    assert control.version == 3 and not control.is_up_to_date()
    assert control.next_query().path == "/v1/settings?before=7"
    assert take(control, document(6, balancers=9)) == Apply(6, settings(balancers=9))
    assert control.next_query().path == "/v1/settings?from=7&hold_ms=2000"  # not the same bad one again
    assert take(control, document(7, services=[{"name": "check"}])) == Ignore()  # told once
    assert control.version == 6


def test_a_search_below_a_bad_version_ends_where_nothing_newer_is_left() -> None:
    control = make_control(version=3)
    take(control, document(7, balancers=0))
    assert isinstance(take(control, document(6, balancers=0)), Reject)
    assert control.next_query().path == "/v1/settings?before=6"
    assert take(control, document(3)) == Ignore()
    assert control.is_up_to_date() and control.version == 3
    take(control, document(9, balancers=0))
    assert take(control, {"version": 9}) == Ignore() and control.is_up_to_date()


def test_what_fails_as_it_is_put_into_force_is_turned_down_too() -> None:
    control = make_control(version=3)
    assert isinstance(control.on_document(document(4)), Apply)
    assert control.reject(4, "two\nlines").reason.endswith("version 3 stays: two lines")
    assert control.next_query().path == "/v1/settings?before=4"


def test_the_agent_is_asked_to_answer_at_once_at_the_start_and_after_a_failure() -> None:
    control = make_control(version=3)
    assert control.next_query().path == "/v1/settings?from=3&hold_ms=0"
    take(control, {"version": 3})
    assert control.next_query().path == "/v1/settings?from=3&hold_ms=2000"
    control.on_call_failed()
    assert control.next_query().path == "/v1/settings?from=3&hold_ms=0" and not control.is_up_to_date()


def test_pauses_grow_with_jitter_and_start_anew_after_an_answer() -> None:
    control = make_control()
    pauses = [control.on_call_failed() for _ in range(2000)]
    assert FIRST_BACKOFF_S / 2 <= pauses[0] <= FIRST_BACKOFF_S
    assert max(pauses) <= MAX_BACKOFF_S and max(pauses) > 0.95 * MAX_BACKOFF_S
    assert min(pauses[4:]) >= MAX_BACKOFF_S / 2 and len(set(pauses)) > 1900
    take(control, {"version": 3})
    assert control.on_call_failed() <= FIRST_BACKOFF_S


@pytest.mark.parametrize(
    "raw",
    [None, [], 5, {}, {"version": "4"}, {"version": -1}, {"version": True}, {"version": 4, "settings": None}],
)
def test_what_is_no_document_is_a_failed_call(raw: Any) -> None:
    with pytest.raises(DocumentError):
        make_control().on_document(raw)


def test_an_answer_that_is_not_below_the_bad_version_is_a_failed_call() -> None:
    control = make_control()
    take(control, document(7, balancers=0))
    with pytest.raises(DocumentError):
        control.on_document(document(8))


def test_settings_that_are_no_object_are_turned_down_as_bad() -> None:
    assert isinstance(take(make_control(), {"version": 9, "settings": [1]}), Reject)


def changed(path: list[Any], value: Any) -> Settings:
    """Sound settings but for one value; a value of `...` takes the key away."""
    whole = deepcopy(settings())
    place: Any = whole
    for key in path[:-1]:
        place = place[key]
    if value is ...:
        del place[path[-1]]
    else:
        place[path[-1]] = value
    return whole


BAD: list[tuple[list[Any], Any, str]] = [
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


@pytest.mark.parametrize(("path", "value", "told"), BAD)
def test_a_fault_is_named_by_its_path_on_one_line(path: list[Any], value: Any, told: str) -> None:
    with pytest.raises(SettingsError) as caught:
        check_settings(changed(path, value))
    text = str(caught.value)
    assert text.startswith(f"{told} ") and "\n" not in text and len(text) < 200


def test_what_passes_the_check_can_be_parsed() -> None:
    check_settings(settings())
    assert parse_settings(settings()).tenant_quotas_per_s == (50.0, 25.0)
    check_settings({**settings(), "unknown": {"key": 1}})


@pytest.mark.parametrize("key", ["az", "me", "failureDomains", "kinds", "discovery"])
def test_what_the_balancer_is_cannot_change_in_service(key: str) -> None:
    other: dict[str, Any] = {"az": 1, "me": 7, "failureDomains": ["b"], "kinds": [], "discovery": "push"}
    decision = take(make_control(), document(4, **{key: other[key]}))
    assert isinstance(decision, Reject) and f"settings.{key} is" in decision.reason
    absent = settings()
    absent.pop(key, None)
    assert take(make_control(), {"version": 4, "settings": absent}) == Apply(4, settings())


def test_what_is_one_balancers_own_cannot_be_published() -> None:
    shared = {key: value for key, value in settings().items() if key not in ("az", "me")}
    check_published(shared, None)
    check_published(shared, shared)
    for bad in ({**shared, "me": 3}, {**shared, "kinds": ["n"]}, {**shared, "balancers": 0}):
        with pytest.raises(SettingsError):
            check_published(bad, shared)
