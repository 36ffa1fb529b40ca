"""Which requests may have been executed, by the ids of their clients, also after the requests have ended.

A client may leave and come again with the same id. What was executed for the id before then limits what may
be sent for it, as earlier attempts limit those of one request. All times are in nanoseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

MAX_AGE_NS = 60_000_000_000  # a client comes again, if at all, in the few seconds for which it waits in total
MAX_IDS = 4096  # about 0.3 KB each; then the oldest is forgotten


class Execution(NamedTuple):
    """A possible execution of a request, the first one."""

    started_at: int
    zone: int  # of the server
    cell: int


class ExecutionLog:
    """The first possible execution for each of the latest ids."""

    def __init__(self) -> None:
        # Plain tuples of numbers: unlike other objects, they add no work to garbage collections.
        self._executions: OrderedDict[str, tuple[int, ...]] = OrderedDict()  # the oldest first

    def __len__(self) -> int:
        return len(self._executions)

    def find(self, now: int, client_id: str) -> Execution | None:
        """Return what may have been executed for this id, or None if nothing is known of it."""
        found = self._executions.get(client_id)
        if found is None or now - found[0] > MAX_AGE_NS:
            return None
        return Execution._make(found)

    def record(self, now: int, client_id: str, execution: Execution | None) -> None:
        """Replace what is known of this id; None: nothing was executed."""
        if execution is None:
            self._executions.pop(client_id, None)
            return
        compact = tuple(execution)
        if self._executions.get(client_id) != compact:
            self._executions[client_id] = compact
            self._executions.move_to_end(client_id)
            self._forget_old(now)

    def _forget_old(self, now: int) -> None:
        while self._executions:
            oldest_id, (started_at, *_) = next(iter(self._executions.items()))
            if now - started_at <= MAX_AGE_NS and len(self._executions) <= MAX_IDS:
                return
            del self._executions[oldest_id]
