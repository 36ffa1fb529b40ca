"""Responses of overlapping calls never replace a newer server list by an older one."""

from __future__ import annotations

import pytest

from dykeshift.node.list_in_force import ListInForce, ListQuery, Verdict


@pytest.fixture
def in_force() -> ListInForce:
    """Generation 40 of the second address, applied when five calls had begun."""
    result = ListInForce()
    result.replace(address_number=1, generation=40, calls_begun=5)
    return result


OVERLAPPING, LATER = 5, 6  # numbers of calls


@pytest.mark.parametrize(
    ("query", "call_number", "generation", "is_full", "verdict"),
    [
        pytest.param(ListQuery(1, None), OVERLAPPING, 39, True, Verdict.IGNORE, id="older full list"),
        pytest.param(ListQuery(1, None), OVERLAPPING, 40, True, Verdict.IGNORE, id="same full list"),
        pytest.param(ListQuery(1, None), OVERLAPPING, 41, True, Verdict.APPLY, id="newer full list"),
        pytest.param(ListQuery(1, 40), LATER, 3, True, Verdict.APPLY, id="full list after a restart"),
        pytest.param(ListQuery(1, 40), LATER, 41, False, Verdict.APPLY, id="change"),
        pytest.param(ListQuery(1, 40), LATER, 40, False, Verdict.APPLY, id="no change"),
        pytest.param(ListQuery(1, 38), OVERLAPPING, 41, False, Verdict.APPLY, id="change since an older one"),
        pytest.param(ListQuery(1, 38), OVERLAPPING, 39, False, Verdict.IGNORE, id="change known already"),
        pytest.param(ListQuery(1, 40), LATER, 3, False, Verdict.REQUEST_FULL_LIST, id="generation went back"),
        pytest.param(
            ListQuery(1, 90), OVERLAPPING, 91, False, Verdict.IGNORE, id="change to a replaced list"
        ),
        pytest.param(
            ListQuery(0, 38), OVERLAPPING, 99, False, Verdict.IGNORE, id="change at the old address"
        ),
        pytest.param(ListQuery(0, None), OVERLAPPING, 99, True, Verdict.IGNORE, id="list of the old address"),
        pytest.param(ListQuery(2, None), LATER, 3, True, Verdict.APPLY, id="list of a newer address"),
    ],
)
def test_verdicts(
    in_force: ListInForce,
    query: ListQuery,
    call_number: int,
    generation: int,
    is_full: bool,
    verdict: Verdict,
) -> None:
    assert in_force.judge(query, call_number, generation, is_full) is verdict


def test_the_full_list_is_requested_at_a_new_address_and_after_a_failure(in_force: ListInForce) -> None:
    assert in_force.generation_at(1) == 40 and in_force.generation_at(2) is None
    in_force.forget_generation()
    assert in_force.generation_at(1) is None
    assert in_force.judge(ListQuery(1, 38), OVERLAPPING, 41, False) is Verdict.IGNORE
    assert in_force.judge(ListQuery(1, None), LATER, 3, True) is Verdict.APPLY
