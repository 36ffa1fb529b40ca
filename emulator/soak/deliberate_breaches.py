"""A deliberate breach of each rule, to prove that the soak reports it."""

from __future__ import annotations

from dataclasses import dataclass

from emulator.faults.proxy import NO_STREAM_FAULTS, StreamFaults
from emulator.soak.rules import Rule

FAULT_SHARE = 0.05  # of the chunks of one direction
LONG_DELAY_S = 2.0  # of requests to a server: their clients have stopped waiting by then


@dataclass(frozen=True, slots=True)
class DeliberateBreach:
    """Faults of the network, of discovery or of a process that do not occur in a deployment."""

    client_to_balancer: StreamFaults = NO_STREAM_FAULTS
    balancer_to_client: StreamFaults = NO_STREAM_FAULTS
    balancer_to_server: StreamFaults = NO_STREAM_FAULTS
    hides_drains: bool = False  # discovery keeps listing draining servers as active
    hides_starts: bool = False  # discovery lists servers that have just started as started long ago
    suspends_process: bool = False  # a balancer is stopped (SIGSTOP) from its start on
    crashes_process: bool = False  # a balancer gets SIGSEGV


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
