"""Planted faults: for each rule a way to break it, to prove that the soak would report it."""

from __future__ import annotations

from dataclasses import dataclass

from emulator.faults.proxy import NO_STREAM_FAULTS, StreamFaults
from emulator.soak.rules import Rule

FAULT_SHARE = 0.05  # of the pieces of a direction
LONG_DELAY_S = 2.0  # of requests on their way to a server: their clients have ended by then


@dataclass(frozen=True, slots=True)
class DeliberateBreach:
    """What is done between the parties, or to the processes, that no deployment does."""

    client_to_balancer: StreamFaults = NO_STREAM_FAULTS
    balancer_to_client: StreamFaults = NO_STREAM_FAULTS
    balancer_to_server: StreamFaults = NO_STREAM_FAULTS
    hides_drains: bool = False  # discovery leaves them out
    hides_starts: bool = False  # discovery tells servers that start as old ones
    suspends_process: bool = False  # it gets no processor time from its start on
    crashes_process: bool = False


NO_DELIBERATE_BREACH = DeliberateBreach()

DELIBERATE_BREACHES: dict[Rule, DeliberateBreach] = {
    Rule.LOST: DeliberateBreach(balancer_to_client=StreamFaults(truncate_share=FAULT_SHARE)),
    Rule.WRONG_RESPONSE: DeliberateBreach(
        balancer_to_client=StreamFaults(replace_share=FAULT_SHARE, pattern=b" by ", replacement=b" BY ")
    ),
    Rule.FORWARDED_AFTER_CLOSE: DeliberateBreach(balancer_to_server=StreamFaults(delay_s=LONG_DELAY_S)),
    Rule.DUPLICATE: DeliberateBreach(balancer_to_server=StreamFaults(duplicate_share=0.5)),
    Rule.REJECTED_POSSIBLY_EXECUTED: DeliberateBreach(
        balancer_to_client=StreamFaults(
            replace_share=FAULT_SHARE, pattern=b"HTTP/1.1 200", replacement=b"HTTP/1.1 503"
        )
    ),
    Rule.SENT_TO_DRAINING: DeliberateBreach(hides_drains=True),
    Rule.SLOW_START: DeliberateBreach(hides_starts=True),
    Rule.FORWARDED_DEADLINE: DeliberateBreach(
        balancer_to_server=StreamFaults(
            replace_share=FAULT_SHARE, pattern=b"X-Deadline-Ms: ", replacement=b"X-Deadline-Ms: 9"
        )
    ),
    Rule.NOT_READY: DeliberateBreach(suspends_process=True),
    Rule.CRASH: DeliberateBreach(crashes_process=True),
}
