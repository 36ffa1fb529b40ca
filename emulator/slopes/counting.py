"""Counts work instead of timing it: executed lines of the balancer and objects in memory.

The counts are the same on any machine.
"""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from pathlib import Path
from types import CodeType, FrameType, FunctionType, ModuleType
from typing import Any

import msgspec

import dykeshift

BALANCER_FOLDER = str(Path(dykeshift.__file__).parent)
_EXCLUDED_TYPES = (type, ModuleType, FunctionType, CodeType, FrameType)


class ReachableObjects(msgspec.Struct, frozen=True):
    """Number and size of the objects reachable from a root, including the root; each is counted once."""

    objects: int
    size: int  # bytes


def measure_reachable(root: object) -> ReachableObjects:
    """Count the objects and bytes reachable from `root`, without code, classes, modules and frames."""
    seen_ids = {id(root)}
    unvisited: list[object] = [root]
    size = 0
    while unvisited:
        item = unvisited.pop()
        size += sys.getsizeof(item)
        for referent in gc.get_referents(item):
            if id(referent) not in seen_ids and not isinstance(referent, _EXCLUDED_TYPES):
                seen_ids.add(id(referent))
                unvisited.append(referent)
    return ReachableObjects(len(seen_ids), size)


def count_executed_lines(work: Callable[[], object]) -> int:
    """Count the lines of the balancer's code that `work` executes; repeated lines count each time."""
    if sys.version_info >= (3, 12):
        from emulator.slopes.monitoring import count_lines_by_monitoring

        return count_lines_by_monitoring(work, BALANCER_FOLDER)
    return _count_lines_by_tracing(work)


def _count_lines_by_tracing(work: Callable[[], object]) -> int:
    lines = 0

    def on_line(_: FrameType, event: str, __: Any) -> Any:
        nonlocal lines
        lines += event == "line"
        return on_line

    def on_call(frame: FrameType, _: str, __: Any) -> Any:
        return on_line if frame.f_code.co_filename.startswith(BALANCER_FOLDER) else None

    previous_tracer = sys.gettrace()
    sys.settrace(on_call)
    try:
        work()
    finally:
        sys.settrace(previous_tracer)
    return lines
