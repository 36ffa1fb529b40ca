"""Divides members of a fleet among parts (zones, machine types) by their shares, alike in every process."""

from __future__ import annotations

from collections.abc import Sequence


def apportion(total: int, shares: Sequence[float]) -> list[int]:
    """Number of members per part, by the largest remainder method. The counts add up to `total`."""
    share_sum = sum(shares)
    exact = [total * share / share_sum for share in shares]
    counts = [int(value) for value in exact]
    by_remainder = sorted(range(len(shares)), key=lambda part: counts[part] - exact[part])
    for part in by_remainder[: total - sum(counts)]:
        counts[part] += 1
    return counts


def interleave(counts: Sequence[int]) -> list[int]:
    """The part of each member, such that any run of members has about the same shares as all of them."""
    total = sum(counts)
    assigned = [0] * len(counts)
    parts = []
    for member in range(1, total + 1):
        deficits = [count * member / total - done for count, done in zip(counts, assigned, strict=True)]
        part = deficits.index(max(deficits))
        assigned[part] += 1
        parts.append(part)
    return parts
