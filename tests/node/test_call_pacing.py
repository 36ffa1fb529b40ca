"""How often discovery is called, and how long calls stay open."""

from __future__ import annotations

import math

import pytest

from dykeshift.node.call_pacing import (
    INFORMED_AFTER_S,
    INFORMED_AFTER_SIGHUP_S,
    LAST_SLOW_INTERVAL_S,
    LONG_POLL_MS,
    PUSH_RETRY_SHARE,
    PUSH_SILENCE_SHARE,
    RESPONSE_TIMEOUT_S,
    CallPacing,
)
from dykeshift.node.overlapping_calls import MAX_OPEN_CALLS

GRACE_S = 0.3
HOLD_S = LONG_POLL_MS / 1000
SHORT_INTERVAL_S = (PUSH_SILENCE_SHARE + PUSH_RETRY_SHARE) * GRACE_S


def silent_intervals(pacing: CallPacing, now: float, until: float) -> list[float]:
    """Make calls that get no response until a time; return the intervals between them."""
    intervals = list[float]()
    while now < until:
        limits = pacing.begin_call(False, GRACE_S, now)
        intervals.append(limits.silence_s + PUSH_RETRY_SHARE * GRACE_S)
        now += intervals[-1]
    return intervals


def prompt_pacing(is_pushed: bool = True) -> CallPacing:
    pacing = CallPacing(is_pushed)
    pacing.begin_call(False, GRACE_S, 0.0)
    pacing.on_response(False, 0.0)
    return pacing


def test_an_agent_that_was_prompt_is_called_at_short_constant_intervals() -> None:
    """What it has counts as told at once when it returns from an outage."""
    intervals = silent_intervals(prompt_pacing(), 1.0, 60.0)
    assert intervals == pytest.approx([SHORT_INTERVAL_S] * len(intervals))


def test_a_slow_agent_is_called_less_often_each_time_while_it_may_still_respond() -> None:
    pacing = prompt_pacing()
    pacing.begin_call(True, GRACE_S, 1.0)
    pacing.on_response(True, 3.0)
    intervals = silent_intervals(pacing, 3.0, 3.0 + INFORMED_AFTER_S + 5.0)
    assert max(intervals) <= LAST_SLOW_INTERVAL_S and intervals[1] > 1.0
    assert sum(interval > 2 * SHORT_INTERVAL_S for interval in intervals) <= 4
    assert intervals[-1] == pytest.approx(SHORT_INTERVAL_S)  # it is taken to be down by then


def test_after_sighup_calls_are_few_until_the_balancer_counts_as_informed() -> None:
    pacing = prompt_pacing()
    pacing.on_address_changed(100.0)
    intervals = silent_intervals(pacing, 100.0, 100.0 + INFORMED_AFTER_SIGHUP_S)
    assert len(intervals) <= 6
    assert sum(intervals) <= INFORMED_AFTER_SIGHUP_S + SHORT_INTERVAL_S
    later = silent_intervals(pacing, 100.0 + INFORMED_AFTER_SIGHUP_S, 110.0)
    assert later == pytest.approx([SHORT_INTERVAL_S] * len(later))


@pytest.mark.parametrize("grace_s", [0.15, 0.3, 0.7])
def test_few_calls_are_open_at_a_time_but_some_for_long(grace_s: float) -> None:
    """However long the agent takes from some moment on, a call that begins soon after stays open for it."""
    pacing, began, now = prompt_pacing(), list[tuple[float, float]](), 1.0
    while now < 60.0:
        limits = pacing.begin_call(False, grace_s, now)
        began.append((now, now + limits.lifetime_s))
        now += limits.silence_s + PUSH_RETRY_SHARE * grace_s
    assert began[0][1] == math.inf
    assert max(sum(start <= at < end for start, end in began) for at, _ in began) <= MAX_OPEN_CALLS
    for delay_s in (0.3, 1.0, 3.0):
        starts = [start for start, end in began[1:] if end - start >= delay_s]
        gaps = [later - earlier for earlier, later in zip(starts, starts[1:], strict=False)]
        assert max(gaps) <= 2 * delay_s


def test_a_watch_continues_with_held_calls_in_both_modes() -> None:
    for is_pushed in (False, True):
        limits = prompt_pacing(is_pushed).begin_call(True, GRACE_S, 1.0)
        assert limits.hold_s == HOLD_S and limits.lifetime_s == math.inf
        # The next call, and its response 2 s later, come within the 6 s after which a change is told.
        assert limits.hold_s + limits.silence_s + 2.0 <= INFORMED_AFTER_S


def test_calls_in_ask_mode_stay_open_whatever_their_age() -> None:
    pacing = prompt_pacing(is_pushed=False)
    for number in range(20):
        limits = pacing.begin_call(number % 2 == 0, GRACE_S, float(number))
        assert limits.lifetime_s == math.inf
        assert limits.silence_s <= limits.response_s == RESPONSE_TIMEOUT_S
