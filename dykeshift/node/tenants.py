"""The tenants of the settings: their numbers by name, in a fraction of the memory of a dict of objects."""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import accumulate


def _empty_numbers() -> array[int]:
    return array("I")


@dataclass(frozen=True, slots=True)
class TenantTable:
    """Sorted names in one block of bytes, found by binary search.

    Of a name that comes twice the last holds.
    """

    names: bytes = b""
    name_ends: array[int] = field(default_factory=_empty_numbers)  # of each name in the block, ascending
    numbers: array[int] = field(default_factory=_empty_numbers)  # in the settings' order, by sorted name

    @classmethod
    def from_names(cls, names: Sequence[bytes]) -> TenantTable:
        """The table of names that are given in the settings' order."""
        numbers = array("I", sorted(range(len(names)), key=names.__getitem__))
        name_ends = array("I", accumulate(len(names[number]) for number in numbers))
        return cls(b"".join([names[number] for number in numbers]), name_ends, numbers)

    def __len__(self) -> int:
        return len(self.numbers)

    def number_of(self, name: bytes) -> int:
        """The tenant's number; that behind the last one for a name that the settings do not hold."""
        place = bisect_right(range(len(self)), name, key=self._name_at) - 1
        if place < 0 or self._name_at(place) != name:
            return len(self)
        return self.numbers[place]

    def _name_at(self, place: int) -> bytes:
        start = self.name_ends[place - 1] if place else 0
        return self.names[start : self.name_ends[place]]
