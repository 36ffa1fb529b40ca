"""Processor time of short pieces of work, measured on machines that run other programs too."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import TypeVar

Subject = TypeVar("Subject")

MIN_RUNS = 3
MAX_RUNS = 60


def min_cpu_time_ns(work: Callable[[Subject], object], setup: Callable[[], Subject], seconds: float) -> int:
    """Return the processor time of this thread in the fastest of several runs, in nanoseconds.

    Runs are repeated for about `seconds` of processor time, between MIN_RUNS and MAX_RUNS times, without
    garbage collection. `setup` creates the subject of each run; its time is not counted.
    """
    times: list[int] = []
    end = time.thread_time() + seconds
    was_gc_enabled = gc.isenabled()
    gc.disable()  # a collection visits all objects of this process, not only the measured ones
    try:
        while len(times) < MIN_RUNS or (len(times) < MAX_RUNS and time.thread_time() < end):
            subject = setup()
            started_at_ns = time.thread_time_ns()
            work(subject)
            times.append(time.thread_time_ns() - started_at_ns)
    finally:
        if was_gc_enabled:
            gc.enable()
    return min(times)
