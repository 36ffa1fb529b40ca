"""Divides whole members among parts by their shares, the same way in every process."""

from __future__ import annotations

from collections.abc import Sequence


def apportion(total: int, shares: Sequence[float]) -> list[int]:
    """How many of `total` members each part gets, by largest remainder; the counts add up to `total`."""
    whole = sum(shares)
    exact = [total * share / whole for share in shares]
    counts = [int(value) for value in exact]
    by_remainder = sorted(range(len(shares)), key=lambda part: counts[part] - exact[part])
    for part in by_remainder[: total - sum(counts)]:
        counts[part] += 1
    return counts


def interleave(counts: Sequence[int]) -> list[int]:
    """The part of each member in turn, so that any stretch of members has about the shares of the whole."""
    total = sum(counts)
    given = [0] * len(counts)
    parts = []
    for member in range(1, total + 1):
        behind = [count * member / total - had for count, had in zip(counts, given, strict=True)]
        part = behind.index(max(behind))
        given[part] += 1
        parts.append(part)
    return parts
