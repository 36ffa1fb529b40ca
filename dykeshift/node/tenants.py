"""Maps the names of the settings' tenants to their indexes in a fraction of the memory of a dict."""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import accumulate


def _empty_array() -> array[int]:
    return array("I")


@dataclass(frozen=True, slots=True)
class TenantTable:
    """The sorted names in one block of bytes, searched by bisection.

    If a name occurs twice, its last occurrence counts.
    """

    names: bytes = b""
    # Where each name ends in the block, and its index in the settings, both in the order of the sorted names.
    name_ends: array[int] = field(default_factory=_empty_array)
    indexes: array[int] = field(default_factory=_empty_array)

    @classmethod
    def from_names(cls, names: Sequence[bytes]) -> TenantTable:
        """Build the table from names in the order of the settings."""
        indexes = array("I", sorted(range(len(names)), key=names.__getitem__))
        name_ends = array("I", accumulate(len(names[index]) for index in indexes))
        return cls(b"".join([names[index] for index in indexes]), name_ends, indexes)

    def __len__(self) -> int:
        return len(self.indexes)

    def index_of(self, name: bytes) -> int:
        """Return the tenant's index, or the number of tenants for a name that the settings do not contain."""
        position = bisect_right(range(len(self)), name, key=self._name_at) - 1
        if position < 0 or self._name_at(position) != name:
            return len(self)
        return self.indexes[position]

    def _name_at(self, position: int) -> bytes:
        start = self.name_ends[position - 1] if position else 0
        return self.names[start : self.name_ends[position]]
