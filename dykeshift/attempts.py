"""The open requests of one balancer, their attempts, and whether a request may have one more attempt.

An attempt is decided on first and started, that is, written to a server, once it has a connection. That may
take as long as the connect timeout, and what another attempt does meanwhile may forbid the start. Therefore
the same question is asked at both times: at the decision with regard to all attempts, as those that have no
connection yet may start at any moment, and at the start with regard to those that were started before.

All times and durations are in nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dykeshift.executions import Execution
from dykeshift.interface import (
    UNEXECUTED_OUTCOMES,
    DedupScope,
    Idempotency,
    Outcome,
    Request,
    RequestClass,
    ServerEntry,
    Settings,
)
from dykeshift.server_state import Server


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at one server."""

    server: Server
    decided_at: int
    started_at: int | None = None  # when it was written; None: it waits for its connection
    outcome: Outcome | None = None  # None: in flight

    def earliest_start(self) -> int:
        """When it was started, or from when on it may have been if that has not been reported."""
        return self.decided_at if self.started_at is None else self.started_at


def first_possibly_executed(attempts: list[Attempt]) -> Attempt | None:
    """The first attempt that may have been executed: it limits where and until when a repeat may go."""
    candidates = [a for a in attempts if a.outcome not in UNEXECUTED_OUTCOMES]
    return min(candidates, key=lambda a: a.earliest_start()) if candidates else None


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
    earlier_execution: Execution | None = None  # for an earlier request with the same id of its client

    def first_execution(self, attempts: list[Attempt]) -> Execution | None:
        """The first possible execution, for an earlier request or by these attempts, or None."""
        if self.earlier_execution is not None:
            return self.earlier_execution
        first = first_possibly_executed(attempts)
        if first is None:
            return None
        return Execution(first.earliest_start(), first.server.entry.zone, first.server.entry.cell)

    def started_attempts(self) -> list[Attempt]:
        """The attempts that have been written to a server, whatever became of them."""
        return [a for a in self.attempts if a.started_at is not None]

    def may_have_one_more(self, now: int, settings: Settings, earlier: list[Attempt]) -> bool:
        """Whether one more attempt may run, at a server in its dedup scope, given the earlier ones."""
        if self.closed or self.streaming or len(earlier) >= settings.max_attempts:
            return False
        if not settings.copies_allowed and any(a.outcome is None for a in earlier):
            return False
        first = self.first_execution(earlier)
        if first is None or self.request_class.idempotency is Idempotency.SAFE:
            return True
        return (
            self.request_class.idempotency is Idempotency.KEYED
            and now < first.started_at + self.request_class.dedup_window
        )

    def is_in_dedup_scope(self, entry: ServerEntry, earlier: list[Attempt]) -> bool:
        """Whether this server drops a repeat of the request, given its earlier attempts."""
        scope = self.request_class.dedup_scope
        if self.request_class.idempotency is not Idempotency.KEYED or scope is DedupScope.ALL:
            return True
        first = self.first_execution(earlier)
        if scope is DedupScope.ZONE:
            return first is None or first.zone == entry.zone
        return first is None or first.cell == entry.cell
