"""Which server list of discovery is in force, and whether the response to a call still adds to it.

Calls overlap, so that their responses may come in another order than the calls began, and from an address
that is no longer used.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


@dataclass(frozen=True, slots=True)
class ListQuery:
    """What a call requested: the full list, or the changes since a generation."""

    address_number: int  # of the discovery addresses used so far; generations of two are not comparable
    generation: int | None  # None: the full list


class Verdict(Enum):
    """What to do with a response."""

    APPLY = auto()
    IGNORE = auto()  # what is in force is at least as new
    REQUEST_FULL_LIST = auto()  # it belongs to another list than the one in force


class ListInForce:
    """The origin of the list that the balancer uses."""

    def __init__(self) -> None:
        self.address_number = 0
        self.generation: int | None = None  # None: unknown, so that only a full list can be applied
        self.calls_begun = 0  # when the list was applied; the responses to these calls may be older than it

    def replace(self, address_number: int, generation: int | None, calls_begun: int) -> None:
        """Record that a list or a change has been applied."""
        self.address_number, self.generation, self.calls_begun = address_number, generation, calls_begun

    def forget_generation(self) -> None:
        """Make the full list be requested next."""
        self.generation = None

    def generation_at(self, address_number: int) -> int | None:
        """The generation from which calls to this address continue; None if they need the full list."""
        return self.generation if address_number == self.address_number else None

    def judge(self, query: ListQuery, call_number: int, generation: int, is_full: bool) -> Verdict:
        """Decide about the response of this generation to a call."""
        if query.address_number < self.address_number:
            return Verdict.IGNORE
        if query.address_number > self.address_number:
            return Verdict.APPLY
        is_overlapping = call_number <= self.calls_begun
        if is_full or query.generation is None:
            is_older = self.generation is not None and generation <= self.generation
            return Verdict.IGNORE if is_older and is_overlapping else Verdict.APPLY
        if self.generation is None or self.generation < query.generation:
            return Verdict.IGNORE  # changes to a list that is no longer in force
        if generation >= self.generation:
            return Verdict.APPLY
        return Verdict.IGNORE if is_overlapping else Verdict.REQUEST_FULL_LIST
