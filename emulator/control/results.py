"""The lines that a run prints, and the bars that its figures have to hold."""

from __future__ import annotations

import msgspec


class ChangeResult(msgspec.Struct, frozen=True, tag="change"):
    """One version: seconds until in force, over the balancers that could hear of it."""

    version: int
    machine: int
    balancers: int
    p50_s: float
    p99_s: float
    max_s: float


class RefusedResult(msgspec.Struct, frozen=True, tag="refused"):
    """One change that was turned down, and the line that says so."""

    what: str
    machine: int
    status: int
    line: str
    balancers: int = 0  # that turned it down, where the machines had let it through


class FailedResult(msgspec.Struct, frozen=True, tag="request failed"):
    """One request that was refused, failed or lost."""

    balancer: int
    what: str
    after_ms: float  # since it was sent
    at_s: float  # of the run


class RunResult(msgspec.Struct, frozen=True, tag="run"):
    """The whole run."""

    balancers: int
    seconds: float
    versions: int
    refused: int
    samples: int
    p50: float  # seconds from acceptance until in force
    p99: float
    most: float
    backwards: int  # times that a balancer served an older version than before
    starts: int
    repeated_lines: int
    requests: int
    failed: int  # refused ones included
    lost: int
    repeated: int  # unsafe requests that reached servers twice
    killed_with_balancers: int  # open at hollow balancers that were killed; in no other count
    bytes_per_s: float  # between a balancer and its agent, both ways
    cpu_share: float  # of one core, of a balancer without requests
    problems: list[str]


StepResult = ChangeResult | RefusedResult | FailedResult


def missed_bars(result: RunResult, bar_s: float) -> list[str]:
    """Each bar that a figure missed, as one line."""
    missed = list(result.problems)
    if not result.samples or result.most > bar_s:
        missed.append(f"a version took {result.most:.3f} s until in force, the bar is {bar_s:g} s")
    for name in ("backwards", "repeated_lines", "failed", "lost", "repeated"):
        value = getattr(result, name)
        if value:
            missed.append(f"{name} is {value}, the bar is 0")
    return missed
