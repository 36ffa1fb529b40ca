"""The open requests of one balancer and their attempts.

All times and durations are in nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dykeshift.interface import UNEXECUTED_OUTCOMES, Outcome, Request, RequestClass
from dykeshift.server_state import Server


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at one server."""

    server: Server
    decided_at: int
    started_at: int | None = None  # when it was written; None: it waits for its connection
    outcome: Outcome | None = None  # None: in flight


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request until it is answered and all its attempts have ended."""

    request: Request
    request_class: RequestClass
    arrived_at: int
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    closed: bool = False
    streaming: bool = False
    over_quota: bool = False  # of its tenant

    def first_possibly_executed(self) -> Attempt | None:
        """The first attempt that may have been executed: it limits where and until when a repeat may go."""
        return next((a for a in self.attempts if a.outcome not in UNEXECUTED_OUTCOMES), None)
