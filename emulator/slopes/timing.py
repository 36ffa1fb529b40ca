"""Processor time of short pieces of work, for machines that others use as well."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import TypeVar

Subject = TypeVar("Subject")

MIN_RUNS = 3
MAX_RUNS = 60


def min_cpu_time_ns(work: Callable[[Subject], object], setup: Callable[[], Subject], seconds: float) -> int:
    """Nanoseconds of this thread's processor time in the quickest of some runs, without garbage collections.

    Runs go on for about `seconds`; `setup` gives each run its subject and is not part of its time.
    """
    times: list[int] = []
    end = time.thread_time() + seconds
    collecting = gc.isenabled()
    gc.disable()  # a collection walks all of this process, not only what is measured
    try:
        while len(times) < MIN_RUNS or (len(times) < MAX_RUNS and time.thread_time() < end):
            subject = setup()
            began = time.thread_time_ns()
            work(subject)
            times.append(time.thread_time_ns() - began)
    finally:
        if collecting:
            gc.enable()
    return min(times)
