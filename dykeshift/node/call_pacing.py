"""How long the discovery watch waits for a response before it makes the next call, and keeps calls open.

A change counts as told at the latest 6 s after discovery had it and could be reached, also where a watch has
fallen silent (STANDING.md), and 4 s after SIGHUP (TERMS). In push mode, what the agent has counts as told at
once; an agent that was down has to be called at short intervals until it is back.
"""

from __future__ import annotations

import math

from dykeshift.node.overlapping_calls import CallLimits

INFORMED_AFTER_S = 6.0
INFORMED_AFTER_SIGHUP_S = 4.0

# How long discovery may hold a long poll. It is short so that a watch which gets no response is noticed
# within two seconds. Continuing from the last response does not count as a new call and costs discovery
# no work.
LONG_POLL_MS = 1_000
LONG_POLL_GRACE_S = 1.0  # time beyond the hold after which a call is overdue
RESPONSE_TIMEOUT_S = 2.0  # beyond the hold, for the whole response, while its data keeps arriving

# Push mode: the agent responds at once to a call that it need not hold, or not at all, and asking it again
# costs nothing. Both shares of the drain grace together leave time to stop sending.
PUSH_SILENCE_SHARE = 0.4  # time without data after which a call is overdue
PUSH_RETRY_SHARE = 0.2  # time between an overdue call and the next one
LATE_AFTER_S = 0.5  # a later response shows that the agent is slow, and not that this process was held up
# An agent that may be slow is called less often each time, from the first interval up to the last.
FIRST_SLOW_INTERVAL_S = 1.0
LAST_SLOW_INTERVAL_S = INFORMED_AFTER_S / 2  # the other half is for the response
LAST_START_INTERVAL_S = 1.0  # until the first response, as a new process waits for it before it serves
MAX_DOUBLINGS = 8  # of the interval; enough to reach the last one


class CallPacing:
    """Decides on the limits of each call of one discovery watch.

    In ask mode the decision module decides when the next call is made, and no call is closed for its age:
    discovery serves it all the same, before the calls that follow it. Times are in seconds of the monotonic
    clock.
    """

    def __init__(self, is_pushed: bool) -> None:
        self.is_pushed = is_pushed
        self.has_response = False  # discovery has responded since the start
        self.is_slow = False  # the last response was late
        # Until then, an agent without a response may be slow; later, it is taken to be down.
        self.may_be_slow_until = -math.inf
        self.calls_without_response = 0  # since the last response or change of address
        self.repeated_calls = 0  # among them, those that followed an overdue or failed one
        self.calls_without_prompt_response = 0

    def begin_call(self, can_continue: bool, drain_grace_s: float, now: float) -> CallLimits:
        """The limits of the next call; `can_continue` says that it continues from a generation.

        Such calls are held. In push mode, after a failure, they are not until the agent responds: the
        balancer counts as informed at once of what the agent learns when it works again, and a held call may
        get no response.
        """
        is_repeated = self.calls_without_response > 0
        is_held = can_continue and not (self.is_pushed and is_repeated)
        if not self.is_pushed:
            limits = _limits(LONG_POLL_MS / 1000 if is_held else 0.0, LONG_POLL_GRACE_S)
        elif is_held:
            limits = self._held_push_limits(drain_grace_s)
        else:
            limits = self._unheld_push_limits(drain_grace_s, now)
        self.calls_without_response += 1
        self.repeated_calls += is_repeated
        self.calls_without_prompt_response += 1
        return limits

    def on_response(self, is_late: bool, now: float) -> None:
        """Record a response."""
        self.has_response = True
        self.calls_without_response = self.repeated_calls = 0
        self.is_slow = is_late
        self.may_be_slow_until = now + INFORMED_AFTER_S if is_late else -math.inf
        if not is_late:
            self.calls_without_prompt_response = 0

    def on_address_changed(self, now: float) -> None:
        """Begin anew with another discovery."""
        self.calls_without_response = self.repeated_calls = self.calls_without_prompt_response = 0
        self.is_slow = False
        self.may_be_slow_until = now + INFORMED_AFTER_SIGHUP_S

    def _held_push_limits(self, drain_grace_s: float) -> CallLimits:
        hold_s = LONG_POLL_MS / 1000
        if not self.is_slow:
            return _limits(hold_s, LONG_POLL_GRACE_S)
        silence_s = LAST_SLOW_INTERVAL_S - hold_s - PUSH_RETRY_SHARE * drain_grace_s
        return _limits(hold_s, LONG_POLL_GRACE_S, max(LONG_POLL_GRACE_S, silence_s))

    def _unheld_push_limits(self, drain_grace_s: float, now: float) -> CallLimits:
        """Limits of a call in push mode that is not held.

        While the agent may be slow, the interval until the next call doubles with each call, as calls would
        pile up there. Otherwise it is short and constant.
        """
        silence_s, retry_s = PUSH_SILENCE_SHARE * drain_grace_s, PUSH_RETRY_SHARE * drain_grace_s
        doublings = min(self.calls_without_prompt_response, MAX_DOUBLINGS)
        interval_s = min(FIRST_SLOW_INTERVAL_S * 2**doublings, self._longest_interval_s(now))
        if interval_s > silence_s + retry_s:  # such calls are few, and a slow agent serves them all the same
            return _limits(0.0, LATE_AFTER_S, interval_s - retry_s)
        lifetime_s = self._lifetime_s(silence_s + retry_s)
        return CallLimits(0.0, LATE_AFTER_S, silence_s, RESPONSE_TIMEOUT_S, lifetime_s)

    def _longest_interval_s(self, now: float) -> float:
        if not self.has_response:
            return LAST_START_INTERVAL_S
        return min(LAST_SLOW_INTERVAL_S, self.may_be_slow_until - now)

    def _lifetime_s(self, interval_s: float) -> float:
        """How long a call in push mode stays open, if calls follow each other at this interval.

        The first of the calls that are not held has no limit. Of the others, every second one has four
        intervals, every fourth eight, and so on, up to the time after which a change counts as told, and the
        rest has two. However slow the agent has become, calls that stay open for long enough thus begin again
        and again, while only a few are open at a time. Source: M. Luby, A. Sinclair, D. Zuckerman, "Optimal
        speedup of Las Vegas algorithms", 1993.
        """
        if not self.repeated_calls:
            return math.inf
        lowest_set_bit = self.repeated_calls & -self.repeated_calls
        return min(2 * interval_s * lowest_set_bit, INFORMED_AFTER_S)


def _limits(hold_s: float, late_after_s: float, silence_s: float = LONG_POLL_GRACE_S) -> CallLimits:
    """The limits of a call without a lifetime."""
    return CallLimits(hold_s, late_after_s, silence_s, max(RESPONSE_TIMEOUT_S, silence_s))
