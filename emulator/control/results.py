"""The result lines that a run prints, and the bars that its figures have to hold."""

from __future__ import annotations

import msgspec


class ChangeResult(msgspec.Struct, frozen=True, tag="change"):
    """One version: seconds until it was in force, over the balancers that could receive it."""

    version: int
    machine: int  # control machine at which it was published
    balancers: int
    p50_s: float
    p99_s: float
    max_s: float


class RefusedResult(msgspec.Struct, frozen=True, tag="refused"):
    """One rejected change and the reason, as one line."""

    what: str
    machine: int
    status: int
    line: str
    balancers: int = 0  # that rejected it, if the control machines had accepted it


class FailedResult(msgspec.Struct, frozen=True, tag="request failed"):
    """One request that was refused, failed or lost."""

    balancer: int
    what: str
    after_ms: float  # after it was sent
    at_s: float  # after the start of the run


class RunResult(msgspec.Struct, frozen=True, tag="run"):
    """The results of the whole run."""

    balancers: int
    seconds: float
    versions: int  # accepted by the control machines, without invalid ones
    refused: int  # changes that the control machines rejected
    samples: int  # measured delays: one for each version and balancer
    p50: float  # seconds from the publishing of a version until it is in force
    p99: float
    most: float  # maximum
    backwards: int  # number of times that a balancer served an older version than before
    starts: int  # of balancers
    # Rejections of an invalid version after the first one by the same incarnation of a balancer.
    repeated_lines: int
    requests: int
    failed: int  # including refused ones
    lost: int
    repeated: int  # second and later attempts of unsafe requests at servers
    killed_with_balancers: int  # requests open at hollow balancers when these were killed; in no other count
    bytes_per_s: float  # between a balancer and its agent, in both directions
    cpu_share: float  # share of one core that a balancer without requests uses
    problems: list[str]


StepResult = ChangeResult | RefusedResult | FailedResult


def missed_bars(result: RunResult, bar_s: float) -> list[str]:
    """Return a line for each missed bar and each problem of the run."""
    missed = list(result.problems)
    if not result.samples or result.most > bar_s:
        missed.append(f"a version took {result.most:.3f} s until it was in force, the bar is {bar_s:g} s")
    for name in ("backwards", "repeated_lines", "failed", "lost", "repeated"):
        value = getattr(result, name)
        if value:
            missed.append(f"{name} is {value}, the bar is 0")
    return missed
